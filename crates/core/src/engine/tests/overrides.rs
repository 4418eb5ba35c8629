//! Tests of operators' overrides of replicas.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use super::*;

#[test]
fn overrides_hold_for_all_proxies_until_they_expire() {
    let mut engine = engine(&["a", "b", "c"]);
    let with_default_table = engine.proxy_connected(ms(1), 1, &join("p", &["a", "b", "c"])).unwrap().proxy;
    let assigned = engine.proxy_connected(ms(1), 2, &join("q", &[])).unwrap().proxy;
    run(&mut engine, ms(600));
    let exclude = |engine: &mut Engine, at: u64, id: &str| {
        engine.override_replica(
            ms(at),
            &id.into(),
            OverrideKind::Exclude,
            ms(5000),
            "suspected hardware fault",
        )
    };
    exclude(&mut engine, 700, "a").unwrap();
    let (mut flushed, _) = run(&mut engine, ms(800));
    flushed.sort_unstable();
    assert_eq!(flushed, [with_default_table, assigned], "a proxy on its default table is updated as well");
    assert!([with_default_table, assigned].iter().all(|one| routable_replicas(&engine, *one) == ["b", "c"]));
    let half_weight = OverrideKind::Weight(0.5);
    engine.override_replica(ms(900), &"b".into(), half_weight, ms(5000), "half its capacity").unwrap();
    let table = engine.proxy(assigned).unwrap().tables[0].as_ref().unwrap().table.clone();
    let weight = |id: &str| table.entries.iter().find(|line| &*line.replica == id).unwrap().weight;
    assert!((weight("b") / weight("c") - 0.5).abs() < 1e-9);
    // Excluding all replicas would leave the tables without a routable entry, so the guard refuses it.
    exclude(&mut engine, 1000, "b").unwrap();
    exclude(&mut engine, 1000, "c").unwrap();
    assert!([with_default_table, assigned].iter().all(|one| !routable_replicas(&engine, *one).is_empty()));
    assert_eq!(exclude(&mut engine, 1000, "never"), Err(OverrideError::NoReplica("never".into())));
    let out_of_range =
        engine.override_replica(ms(1000), &"a".into(), OverrideKind::Weight(0.0), ms(5000), "");
    assert_eq!(out_of_range, Err(OverrideError::Factor(0.0)));
    assert!(engine.end_override(ms(1100), "c") && !engine.end_override(ms(1100), "c"));
    assert!([with_default_table, assigned].iter().all(|one| routable_replicas(&engine, *one) == ["c"]));
    assert!(engine.next_deadline(ms(4990)) <= ms(5000));
    let (_, events) = run(&mut engine, ms(5000));
    assert_eq!(events.iter().filter(|event| matches!(event, EngineEvent::OverrideExpired(_))).count(), 2);
    assert!([with_default_table, assigned].iter().all(|one| routable_replicas(&engine, *one).len() == 3));
}
