//! Tests of [`super`].

use super::*;
use crate::guard::{RefusalOutcome, RefusalReason};

/// Two proxies with ten requests per second each on three of four replicas. The fourth replica drains.
fn recording() -> Recording {
    let id = |index: usize| Arc::<str>::from(["a", "b", "c", "d"][index]);
    let replica = |index| RecordedReplica {
        id: id(index),
        address: format!("{}:1", id(index)).into(),
        zone: 0,
        weight: 1.0,
        phase: if index == 3 { RecordedPhase::Draining } else { RecordedPhase::Ready },
        age_seconds: None,
        out: false,
    };
    let held_entries =
        Some((0..3).map(|index| RecordedEntry { replica: id(index), weight: 1.0, routable: true }).collect());
    let group = RecordedTable { requests_per_second: 10.0, admission_fraction: 1.0, entries: held_entries };
    let proxy = |name: &str| RecordedProxy {
        name: name.into(),
        zone: 0,
        default_table: vec![(id(0), 1.0)],
        classes: vec![group.clone()],
    };
    Recording {
        form: FORMAT_VERSION,
        governor: "g".into(),
        taken_at: 0.0,
        zones: vec!["z".into()],
        groups: vec!["entry".into()],
        limits: RecordedLimits {
            initial_capacity_fraction: 0.25,
            slow_start_seconds: 20.0,
            proxy_count: 2,
            max_entries: 100.0,
            same_zone_only: vec![false],
            not_idempotent: vec![true],
        },
        replicas: (0..4).map(replica).collect(),
        proxies: vec![proxy("p"), proxy("q")],
        throughput: vec![],
    }
}

fn wanted(proxy: &str, entries: &[(&str, f64)]) -> CandidateTable {
    let entries = entries.iter().map(|(id, weight)| ((*id).into(), *weight)).collect();
    CandidateTable { proxy: proxy.into(), class: 0, entries, admission_fraction: 1.0 }
}

#[test]
fn checks_candidate_tables_together_against_what_was_held() {
    let recording = recording();
    let even = wanted("p", &[("a", 1.0), ("b", 1.0), ("c", 2.0)]);
    assert_eq!(recording.check_candidates(std::slice::from_ref(&even)).unwrap().unwrap().refusals, []);
    let drain = wanted("q", &[("d", 1.0)]);
    let dry_run = recording.check_candidates(&[even.clone(), drain]).unwrap().unwrap();
    assert_eq!(dry_run.tables[0].entries.len(), 3);
    let reasons: Vec<_> =
        dry_run.refusals.iter().map(|refused| (refused.proxy.as_deref(), refused.refusal.reason)).collect();
    assert_eq!(reasons, [(Some("q"), RefusalReason::AllEntriesClosed), (Some("q"), RefusalReason::NoRoute)]);
    assert_eq!(dry_run.tables[1].entries.len(), 3, "the last good table stays in force");
    // Each table is valid by itself, but together they would put all requests on a cold replica.
    let mut cold = recording;
    cold.replicas[0].age_seconds = Some(1.0);
    let heavy = |proxy| wanted(proxy, &[("a", 1.0), ("b", 1.0)]);
    let dry_run = cold.check_candidates(&[heavy("p"), heavy("q")]).unwrap().unwrap();
    assert!(dry_run.refusals.iter().all(|refused| refused.refusal.reason == RefusalReason::ColdOverload));
    assert!(dry_run.refusals.iter().any(|refused| refused.refusal.outcome == RefusalOutcome::Corrected));
    cold.replicas[0].out = true;
    let dry_run = cold.check_candidates(&[heavy("p")]).unwrap().unwrap();
    assert!(!dry_run.tables[0].entries[0].routable, "an ejected replica stays closed");
}

#[test]
fn rejects_impossible_recordings_and_candidates() {
    let twice = [wanted("p", &[("a", 1.0)]), wanted("p", &[("b", 1.0)])];
    assert_eq!(
        recording().check_candidates(&twice).unwrap(),
        Err(CandidateError::DuplicateTable("p".into()))
    );
    let unknown_proxy = recording().check_candidates(&[wanted("x", &[])]).unwrap();
    assert_eq!(unknown_proxy, Err(CandidateError::UnknownProxy("x".into())));
    let error_after = |change: fn(&mut Recording)| {
        let mut recording = recording();
        change(&mut recording);
        recording.check_candidates(&[]).unwrap_err().to_string()
    };
    assert_eq!(
        error_after(|recording| recording.form = 9),
        "the recording has format 9; this version reads format 1"
    );
    assert_eq!(
        error_after(|recording| recording.proxies[1].zone = 4),
        "proxy `q` has zone index 4; the number of zones is 1"
    );
    assert!(
        error_after(|recording| recording.replicas[0].age_seconds = Some(f64::NAN))
            .contains("replica `a` has the figure `NaN`")
    );
    assert!(error_after(|recording| recording.replicas[1].id = "a".into()).contains("occurs twice"));
    assert!(
        error_after(|recording| recording.proxies[0].classes.clear())
            .contains("`p` has entries for 0 groups")
    );
    assert!(
        error_after(|recording| recording.limits.same_zone_only.clear())
            .contains("the number of groups is 1")
    );
}

#[test]
fn reads_back_a_recording_as_it_was_written() {
    let text = serde_json::to_string(&recording()).unwrap();
    assert_eq!(serde_json::from_str::<Recording>(&text).unwrap(), recording());
    let cut = serde_json::from_str::<Recording>(&text[..text.len() / 2]).unwrap_err().to_string();
    assert!(cut.contains("line 1"), "{cut}");
}
