//! Tests of [`super`].

use super::*;
use crate::roster::RosterEntry;
use crate::table_versions::{MILLION, PublishedEntry};
use wrenthread::types::RetryPolicy;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn hold(names: &[&str]) -> FrozenTable {
    let line = |name: &&str| ((**name).into(), PublishedEntry { address: "x".into(), zone: 0, weight: 1000 });
    let lines = names.iter().map(line).collect();
    FrozenTable {
        version: 3,
        published_at: s(10),
        table: PublishedTable {
            entries: lines,
            admission_millionths: MILLION,
            retry_policy: RetryPolicy::Never,
        },
        since: s(50),
        until: s(100),
        why: "".into(),
        migrated: false,
    }
}

fn roster(entries: &[(&str, Phase, Option<u64>)]) -> Roster {
    let mut roster = Roster::new(Duration::ZERO);
    let entry = |(name, phase, started): &(&str, Phase, Option<u64>)| RosterEntry {
        id: (*name).into(),
        address: format!("{name}:1").into(),
        zone: 0,
        weight: 1.0,
        phase: *phase,
        started_at: started.map(s),
        backup: false,
    };
    roster.update(s(60), entries.iter().map(entry).collect());
    roster
}

fn present(lines: &[(&str, f64)]) -> Table {
    let line = |(name, weight): &(&str, f64)| ResolvedEntry {
        replica: (*name).into(),
        address: "x".into(),
        zone: 0,
        weight: *weight,
        routable: true,
    };
    Table { entries: lines.iter().map(line).collect(), admission_fraction: 0.5 }
}

#[test]
fn omits_replicas_that_drain_are_gone_or_ejected() {
    use Phase::{Draining, Gone, Ready};
    let roster = roster(&[("a", Ready, None), ("b", Draining, None), ("c", Gone, None), ("d", Ready, None)]);
    let (table, left_out) =
        resolve(&hold(&["a", "b", "c", "d", "e"]), &present(&[("a", 1.0)]), &roster, |id| &**id == "d");
    let table = table.unwrap();
    assert_eq!(table.entries.iter().map(|line| &*line.replica).collect::<Vec<_>>(), ["a"]);
    assert_eq!(&*table.entries[0].address, "a:1", "its current address");
    assert_eq!(table.admission_fraction, 0.5);
    let why: Vec<OmissionReason> = left_out.into_values().collect();
    assert_eq!(
        why,
        [OmissionReason::Gone, OmissionReason::Gone, OmissionReason::Withdrawn, OmissionReason::Gone]
    );
}

#[test]
fn caps_replicas_that_restarted_since() {
    let roster =
        roster(&[("a", Phase::Ready, None), ("b", Phase::Ready, Some(40)), ("c", Phase::Ready, Some(40))]);
    let now = present(&[("a", 0.9), ("b", 0.1)]);
    let (table, left_out) = resolve(&hold(&["a", "b", "c"]), &now, &roster, |_| false);
    let lines = table.unwrap().entries;
    let all: f64 = lines.iter().map(|line| line.weight).sum();
    assert!((lines[1].weight / all - 0.1).abs() < 1e-9, "{lines:?}");
    assert_eq!(left_out[&ReplicaId::from("c")], OmissionReason::Cold);
}

#[test]
fn releases_a_frozen_table_all_of_whose_replicas_were_replaced() {
    let roster = roster(&[("a", Phase::Ready, Some(40)), ("b", Phase::Ready, Some(40))]);
    let now = present(&[("a", 0.5), ("b", 0.5)]);
    assert_eq!(resolve(&hold(&["a", "b"]), &now, &roster, |_| false).0, None);
}
