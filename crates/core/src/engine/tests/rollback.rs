//! Tests of tables frozen at an earlier version, and of their release.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use super::*;

/// An engine with one proxy on dedicated tables, and the version at which it held all of them.
fn engine_with_proxy(names: &[&str]) -> (Engine, u64) {
    let mut engine = engine(names);
    engine.proxy_connected(ms(1), 1, &join("p", &[])).unwrap();
    run(&mut engine, ms(600));
    let newest = engine.proxy(0).unwrap().newest_version();
    engine.version_acknowledged(1, newest);
    (engine, newest)
}

fn run_and_acknowledge(engine: &mut Engine, now: Duration) -> Vec<EngineEvent> {
    let (_, events) = run(engine, now);
    engine.version_acknowledged(1, engine.proxy(0).unwrap().newest_version());
    events
}

#[test]
fn rollback_freezes_old_tables_less_drained_replicas_until_released() {
    let (mut engine, before) = engine_with_proxy(&["a", "b", "c"]);
    engine.update_roster(ms(1000), ready(&["a", "b", "c", "d", "e"]));
    run_and_acknowledge(&mut engine, ms(2000));
    assert_eq!(routable_replicas(&engine, 0).len(), 5);
    // One replica of the old table drains and leaves before the rollback.
    engine.update_roster(ms(3000), ready(&["b", "c", "d", "e"]));
    run_and_acknowledge(&mut engine, ms(4000));
    let report = engine.rollback(ms(5000), &TableScope::All, before, "too wide", ms(60_000)).unwrap();
    assert_eq!((report.frozen, report.unfreezable, report.omitted.len()), (2, 0, 2));
    assert_eq!(report.omitted[0].3, OmissionReason::NotReady);
    run_and_acknowledge(&mut engine, ms(5100));
    assert_eq!(routable_replicas(&engine, 0), ["b", "c"]);
    // While the table is frozen, the module's updates are not published, but drains are.
    let mut roster = ready(&["b", "c", "d", "e", "f"]);
    roster[0].phase = Phase::Draining;
    engine.update_roster(ms(6000), roster);
    run_and_acknowledge(&mut engine, ms(7000));
    assert_eq!(routable_replicas(&engine, 0), ["c"]);
    assert_eq!(engine.release(ms(8000), &TableScope::Proxy("p".into())), Ok(2));
    let events = run_and_acknowledge(&mut engine, ms(8100));
    assert!(matches!(events[0], EngineEvent::FrozenTableReleased { reason: ReleaseReason::Released, .. }));
    assert_eq!(routable_replicas(&engine, 0), ["c", "d", "e", "f"]);
}

#[test]
fn frozen_table_ends_by_its_time_or_when_nothing_is_left_of_it() {
    let (mut engine, before) = engine_with_proxy(&["a", "b"]);
    engine.update_roster(ms(1000), ready(&["a", "b", "c"]));
    run_and_acknowledge(&mut engine, ms(2000));
    engine.rollback(ms(3000), &TableScope::Class(1), before, "", ms(9000)).unwrap();
    assert_eq!(engine.frozen_tables().count(), 1);
    run_and_acknowledge(&mut engine, ms(8990));
    assert_eq!(engine.next_deadline(ms(8990)).min(ms(9000)), engine.next_deadline(ms(8990)));
    let events = run_and_acknowledge(&mut engine, ms(9000));
    assert!(events.iter().any(|event| matches!(
        event,
        EngineEvent::FrozenTableReleased { class: 1, reason: ReleaseReason::Expired, .. }
    )));
    engine.rollback(ms(10_000), &TableScope::All, before, "", ms(90_000)).unwrap();
    run_and_acknowledge(&mut engine, ms(10_100));
    engine.update_roster(ms(11_000), ready(&["c"]));
    let events = run_and_acknowledge(&mut engine, ms(12_000));
    assert!(events.iter().any(|event| matches!(
        event,
        EngineEvent::FrozenTableReleased { reason: ReleaseReason::NoUsableEntry, .. }
    )));
    assert_eq!(routable_replicas(&engine, 0), ["c"], "the module's own table");
    assert_eq!(engine.frozen_tables().count(), 0);
}

#[test]
fn later_rollback_replaces_an_earlier_one_and_names_it() {
    let (mut engine, before) = engine_with_proxy(&["a", "b", "c"]);
    engine.update_roster(ms(1000), ready(&["a", "b"]));
    run_and_acknowledge(&mut engine, ms(2000));
    engine.rollback(ms(3000), &TableScope::All, before, "first", ms(60_000)).unwrap();
    engine.rollback(ms(3001), &TableScope::All, before, "second", ms(60_000)).unwrap();
    let events = run_and_acknowledge(&mut engine, ms(3100));
    assert!(events.iter().any(|event| matches!(event,
        EngineEvent::FrozenTableReleased { reason: ReleaseReason::Replaced(why), .. } if &**why == "first")));
    assert!(engine.frozen_tables().all(|(_, _, frozen_table)| &*frozen_table.reason == "second"));
}

#[test]
fn rejects_rollbacks_to_unknown_versions_and_proxies() {
    let (mut engine, before) = engine_with_proxy(&["a", "b", "c"]);
    let later = engine.status(ms(0)).version + 1;
    let roll_back =
        |engine: &mut Engine, scope, version| engine.rollback(ms(1000), &scope, version, "", ms(9000));
    assert!(matches!(roll_back(&mut engine, TableScope::All, later), Err(RollbackError::UnknownVersion(..))));
    assert_eq!(roll_back(&mut engine, TableScope::All, 0), Err(RollbackError::NotRetained(0)));
    let unknown = TableScope::Proxy("nobody".into());
    assert_eq!(roll_back(&mut engine, unknown.clone(), before), Err(RollbackError::NoProxy("nobody".into())));
    assert!(engine.release(ms(1000), &unknown).is_err());
    assert_eq!(engine.frozen_tables().count(), 0);
}

#[test]
fn frozen_table_caps_a_replica_that_restarted() {
    let (mut engine, before) = engine_with_proxy(&["a", "b", "c"]);
    let mut roster = ready(&["a", "b", "c"]);
    roster[2].started_at = Some(ms(1000));
    engine.update_roster(ms(1000), roster);
    run_and_acknowledge(&mut engine, ms(1600));
    let weight_fraction = |engine: &Engine| {
        let table_entries = &engine.proxy(0).unwrap().tables[0].as_ref().unwrap().table.entries;
        let total: f64 = table_entries.iter().filter(|entry| entry.routable).map(|entry| entry.weight).sum();
        table_entries
            .iter()
            .filter(|entry| entry.routable && &*entry.replica == "c")
            .map(|entry| entry.weight)
            .sum::<f64>()
            / total
    };
    let current = engine.current_table(0, 0);
    let total: f64 = current.entries.iter().map(|entry| entry.weight).sum();
    let cap = current
        .entries
        .iter()
        .filter(|entry| &*entry.replica == "c")
        .map(|entry| entry.weight / total)
        .sum::<f64>();
    assert!(cap < 0.2, "the module limits its weight: {cap}");
    engine.rollback(ms(2000), &TableScope::All, before, "", ms(60_000)).unwrap();
    assert!(weight_fraction(&engine) <= cap + 1e-9, "{} {cap}", weight_fraction(&engine));
}
