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
    let number = engine.proxy_connected(ms(1), 1, &join("p", &[])).unwrap().proxy;
    run(&mut engine, ms(600));
    let before = open(&engine, number);
    let would = |engine: &Engine, group, level, lines: &[(&str, f64)]| {
        let named = Recording {
            zones: vec!["z".into()],
            groups: vec!["one".into(), "other".into()],
            ..engine.record(ms(700))
        };
        let lines = lines.iter().map(|(id, weight)| ((*id).into(), *weight)).collect();
        let tried = named.would(&[CandidateTable { proxy: "p".into(), group, lines, level }]).unwrap()?;
        let reasons: Vec<RefusalReason> = tried.refusals.iter().map(|one| one.refusal.reason).collect();
        Ok::<_, CandidateError>((tried.tables[0].clone(), reasons))
    };
    let (table, reasons) = would(&engine, 0, 2.0, &[("a", 1.0), ("b", -1.0)]).unwrap();
    assert_eq!((table.entries.len(), reasons), (1, vec![RefusalReason::Level, RefusalReason::Weight]));
    let (table, reasons) = would(&engine, 0, 1.0, &[("never", 1.0)]).unwrap();
    assert_eq!(
        (table.entries.len(), reasons.last()),
        (3, Some(&RefusalReason::Bare)),
        "the last accepted table"
    );
    assert_eq!(would(&engine, 1, 1.0, &[("a", 1.0), ("c", 1.0)]).unwrap().1, []);
    // An excluded replica is not routable in a dry run, either.
    engine.override_replica(ms(700), &"a".into(), OverrideKind::Exclude, ms(701), "x").unwrap();
    let (table, _) = would(&engine, 0, 1.0, &[("a", 1.0), ("c", 1.0)]).unwrap();
    assert_eq!(table.entries.iter().filter(|line| line.routable).count(), 1);
    engine.end_override(ms(700), "a");
    assert_eq!(would(&engine, 2, 1.0, &[]), Err(CandidateError::NoGroup(2)));
    assert_eq!((open(&engine, number), engine.guard().refusals().count()), (before, 0));
}
