//! Tests of recordings and dry runs.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use super::*;

#[test]
fn dry_run_reports_refusals_and_changes_nothing() {
    let mut engine = engine(&["a", "b", "c"]);
    let proxy = engine.proxy_connected(ms(1), 1, &join("p", &[])).unwrap().proxy;
    run(&mut engine, ms(600));
    let before = routable_replicas(&engine, proxy);
    let dry_run = |engine: &Engine, class, admission_fraction, entries: &[(&str, f64)]| {
        let recording = Recording {
            zones: vec!["z".into()],
            groups: vec!["one".into(), "other".into()],
            ..engine.record(ms(700))
        };
        let entries = entries.iter().map(|(id, weight)| ((*id).into(), *weight)).collect();
        let result = recording
            .check_candidates(&[CandidateTable { proxy: "p".into(), class, entries, admission_fraction }])
            .unwrap()?;
        let reasons: Vec<RefusalReason> = result.refusals.iter().map(|one| one.refusal.reason).collect();
        Ok::<_, CandidateError>((result.tables[0].clone(), reasons))
    };
    let (table, reasons) = dry_run(&engine, 0, 2.0, &[("a", 1.0), ("b", -1.0)]).unwrap();
    assert_eq!(
        (table.entries.len(), reasons),
        (1, vec![RefusalReason::InvalidAdmissionFraction, RefusalReason::InvalidWeight])
    );
    let (table, reasons) = dry_run(&engine, 0, 1.0, &[("never", 1.0)]).unwrap();
    assert_eq!(
        (table.entries.len(), reasons.last()),
        (3, Some(&RefusalReason::NoRoute)),
        "the last accepted table"
    );
    assert_eq!(dry_run(&engine, 1, 1.0, &[("a", 1.0), ("c", 1.0)]).unwrap().1, []);
    // An excluded replica is not routable in a dry run, either.
    engine.override_replica(ms(700), &"a".into(), OverrideKind::Exclude, ms(701), "x").unwrap();
    let (table, _) = dry_run(&engine, 0, 1.0, &[("a", 1.0), ("c", 1.0)]).unwrap();
    assert_eq!(table.entries.iter().filter(|line| line.routable).count(), 1);
    engine.end_override(ms(700), "a");
    assert_eq!(dry_run(&engine, 2, 1.0, &[]), Err(CandidateError::UnknownClass(2)));
    assert_eq!((routable_replicas(&engine, proxy), engine.guard().refusals().count()), (before, 0));
}
