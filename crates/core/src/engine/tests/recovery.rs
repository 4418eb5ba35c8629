//! Tests of state restored after a restart.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use super::*;

/// Restarts an engine with its stored state, `later` seconds after it stopped, with a roster.
fn restart(before: &Engine, later: f64, names: &[&str]) -> Engine {
    let mut engine = restart_without_roster(before, ms(5000), later);
    engine.update_roster(ms(0), ready(names));
    engine
}

/// Restarts an engine that stops at `now`, without a roster yet.
fn restart_without_roster(before: &Engine, now: Duration, later: f64) -> Engine {
    let groups = ["one".to_string(), "other".to_string()];
    let stored_names =
        StoredItem::Names { governor: "g".into(), zones: vec!["z".into()], groups: groups.to_vec() };
    let mut items = before.stored_items(now, &StoredItems::new(), 1000.0, 7, &groups);
    items.insert(snapshot::NAMES_ITEM.into(), Arc::new(stored_names.clone()));
    items.insert(snapshot::ALIVE_ITEM.into(), Arc::new(StoredItem::Alive { at: 1000.0 }));
    let items = items
        .into_iter()
        .map(|(name, item)| (name, Arc::new(snapshot::decode(&snapshot::encode(&item)).unwrap())));
    let (restored, rejected) = snapshot::restore(items.collect(), 1000.0 + later, &stored_names);
    assert_eq!(rejected, []);
    let mut engine = Engine::new(EngineSettings::example(2), ms(0));
    engine.restore(ms(0), restored);
    engine
}

fn proven(name: &str, standing: &[&str], version: u64) -> JoinRequest {
    JoinRequest {
        holds_governor_tables: true,
        ownership_proof: Some("x".into()),
        proven_version: Some((7, version)),
        ..join(name, standing)
    }
}

#[test]
fn resumes_a_proxy_that_proves_the_version_it_holds() {
    let all = ["a", "b", "c", "d"];
    let mut before = engine(&all);
    let on_default = before.proxy_connected(ms(1), 1, &join("p", &["a", "b", "c"])).unwrap().proxy;
    let assigned = before.proxy_connected(ms(1), 2, &join("q", &[])).unwrap().proxy;
    run(&mut before, ms(600));
    // The override also concerns the proxy on its default table, which is sent a table from then on.
    before.override_replica(ms(700), &"c".into(), OverrideKind::Exclude, ms(60_000), "its disk").unwrap();
    run(&mut before, ms(800));
    let held = [on_default, assigned]
        .map(|id| (before.proxy(id).unwrap().newest_version(), routable_replicas(&before, id)));
    assert_eq!(held[0].1.len(), 2);

    let mut after = restart(&before, 1.0, &all);
    let on_default =
        after.proxy_connected(ms(1), 1, &proven("p", &["a", "b", "c"], held[0].0)).unwrap().proxy;
    let assigned = after.proxy_connected(ms(1), 2, &proven("q", &[], held[1].0)).unwrap().proxy;
    let unproven = after.proxy_connected(ms(1), 3, &proven("r", &["a", "b", "c"], 9)).unwrap().proxy;
    assert!(
        after.proxy(on_default).unwrap().holds_default_table,
        "the module is told that it holds its default table"
    );
    assert!(
        !after.proxy(assigned).unwrap().holds_default_table
            && !after.proxy(unproven).unwrap().holds_default_table
    );
    let digest = |engine: &Engine, id| engine.history().newest(id).unwrap().digest;
    let now = [on_default, assigned].map(|id| digest(&after, id));
    assert_eq!(now, [digest(&before, 0), digest(&before, 1)]);
    run(&mut after, ms(900));
    assert_eq!(digest(&after, on_default), now[0], "a proxy on its default table is sent nothing");
    assert_eq!(routable_replicas(&after, on_default), held[0].1, "excluded replicas stay excluded");
    assert_eq!(after.overrides().iter().count(), 1);
    // A second restart before any proxy has reconnected does not lose their state.
    let between = restart(&before, 1.0, &all);
    let mut third = restart(&between, 1.0, &all);
    let joined = third.proxy_connected(ms(1), 1, &proven("p", &["a", "b", "c"], held[0].0)).unwrap();
    assert!(third.proxy(joined.proxy).unwrap().holds_default_table);
    // The state of a proxy that does not reconnect is dropped eventually.
    let mut not_reconnected = restart(&before, 1.0, &all);
    let is_stored = |engine: &Engine, now| {
        engine.stored_items(now, &StoredItems::new(), 0.0, 8, &[]).contains_key("proxy/p")
    };
    run(&mut not_reconnected, ms(500_000));
    assert!(is_stored(&not_reconnected, ms(500_000)));
    run(&mut not_reconnected, ms(600_000));
    assert!(!is_stored(&not_reconnected, ms(600_000)));
    // A proxy without a proof, or with one of another version or epoch, is not resumed.
    let mut after = restart(&before, 1.0, &all);
    let mut join = proven("p", &["a", "b", "c"], held[0].0 - 1);
    assert!(
        !after
            .proxy_connected(ms(1), 1, &join)
            .is_ok_and(|joined| after.proxy(joined.proxy).unwrap().holds_default_table)
    );
    join.proven_version = None;
    let mut after = restart(&before, 1.0, &all);
    let on_default = after.proxy_connected(ms(1), 1, &join).unwrap().proxy;
    assert!(!after.proxy(on_default).unwrap().holds_default_table);
    // Nor is one whose state is so old that it has been connected elsewhere.
    let mut after = restart(&before, 700.0, &all);
    let joined = after.proxy_connected(ms(1), 1, &proven("p", &["a", "b", "c"], held[0].0)).unwrap();
    assert!(!after.proxy(joined.proxy).unwrap().holds_default_table);
}

#[test]
fn resumed_tables_omit_replicas_lost_during_the_restart() {
    let mut before = engine(&["a", "b", "c"]);
    let on_default = before.proxy_connected(ms(1), 1, &join("q", &[])).unwrap().proxy;
    run(&mut before, ms(600));
    let version = before.proxy(on_default).unwrap().newest_version();
    let mut after = restart(&before, 2.0, &["a", "c"]);
    let on_default = after.proxy_connected(ms(1), 1, &proven("q", &[], version)).unwrap().proxy;
    assert_eq!(routable_replicas(&after, on_default), ["a", "c"], "before the module has decided");
    let (flushed, _) = run(&mut after, ms(10));
    assert!(flushed.contains(&on_default), "at once");
}

#[test]
fn restores_ejections_and_admission_for_their_time_and_not_to_a_new_process() {
    let all = ["a", "b", "c", "d"];
    let mut before = engine(&all);
    before.proxy_connected(ms(1), 1, &join("p", &all)).unwrap();
    run(&mut before, ms(600));
    before.tables.set_ejected("b".into(), true);
    ["a", "c", "d"].into_iter().for_each(|id| before.guard.restore_throughput(ms(5000), &id.into(), 0, 20.0));
    before.tables.set_admission(1, 0.25, RetryPolicy::Never);
    let mut after = restart(&before, 1.0, &all);
    after.proxy_connected(ms(1), 1, &join("p", &all)).unwrap();
    let mut ejected_at = None;
    for now in (10..20_000).step_by(50) {
        run(&mut after, ms(now));
        if ejected_at.is_none() && after.is_ejected(&"b".into()) {
            ejected_at = Some(now);
        }
    }
    assert!(ejected_at.is_some_and(|at| at < 2000), "{ejected_at:?}");
    assert!(!after.is_ejected(&"a".into()));
    assert!(!after.is_ejected(&"b".into()), "restored after its time, as no failures were observed");
    // The admission fraction applies for its remaining time only.
    let mut admission = restart(&before, 4.0, &all);
    let on_default = admission.proxy_connected(ms(1), 1, &join("p", &all)).unwrap().proxy;
    run(&mut admission, ms(300));
    let fraction = |engine: &Engine| {
        engine.proxy(on_default).unwrap().tables[0]
            .as_ref()
            .map(|versioned| versioned.table.admission_fraction)
    };
    assert_eq!(fraction(&admission), Some(0.25));
    for now in (300..6100).step_by(100) {
        run(&mut admission, ms(now));
    }
    assert_eq!(fraction(&admission), Some(1.0));
    // A replica replaced by a new process during the restart is not judged by what the old one did.
    let mut replaced = restart(&before, 5.0, &[]);
    let mut roster = ready(&all);
    roster[1].started_at = Some(ms(0).saturating_sub(Duration::from_secs(2)));
    replaced.update_roster(ms(0), roster);
    replaced.proxy_connected(ms(1), 1, &join("p", &all)).unwrap();
    for now in (10..4000).step_by(50) {
        run(&mut replaced, ms(now));
        assert!(!replaced.is_ejected(&"b".into()));
    }
}

#[test]
fn rollback_survives_a_restart_for_its_remaining_time() {
    let all = ["a", "b", "c"];
    let mut before = engine(&all);
    before.proxy_connected(ms(1), 1, &join("q", &[])).unwrap();
    run(&mut before, ms(600));
    let version = before.status(ms(600)).version;
    before.update_roster(ms(700), ready(&["a", "b"]));
    run(&mut before, ms(1500));
    // `c` is back, and the operator rolls back to the table of before it left.
    before.update_roster(ms(1600), ready(&all));
    before.rollback(ms(1700), &TableScope::All, version, "a mistake", ms(15_000)).unwrap();
    run(&mut before, ms(1800));
    assert_eq!(before.frozen_tables().count(), 2);
    let mut after = restart(&before, 1.0, &all);
    let on_default = after.proxy_connected(ms(1), 1, &join("q", &[])).unwrap().proxy;
    run(&mut after, ms(900));
    let held: Vec<_> = after
        .frozen_tables()
        .map(|(name, group, frozen)| (name.to_string(), group, frozen.reason.clone()))
        .collect();
    assert_eq!(held, [("q".into(), 0, "a mistake".into()), ("q".into(), 1, "a mistake".into())]);
    assert!(!routable_replicas(&after, on_default).is_empty());
    // Ten seconds were left when the state was stored.
    for now in (1000..10_500).step_by(100) {
        run(&mut after, ms(now));
    }
    assert_eq!(after.frozen_tables().count(), 0);
    assert_eq!(restart(&before, 11.0, &all).awaited_frozen_tables.len(), 0);
}

/// Guards against restored state that is lost because the first write of a run that has no roster yet, or
/// whose proxies have not reconnected, removes it from the store.
#[test]
fn what_is_not_in_use_yet_survives_a_second_restart() {
    let all = ["a", "b", "c"];
    let mut before = engine(&all);
    before.proxy_connected(ms(1), 1, &join("q", &[])).unwrap();
    run(&mut before, ms(600));
    let version = before.status(ms(600)).version;
    before.override_replica(ms(700), &"c".into(), OverrideKind::Exclude, ms(60_000), "its disk").unwrap();
    before.rollback(ms(1700), &TableScope::All, version, "a mistake", ms(60_000)).unwrap();
    run(&mut before, ms(1800));
    let mut first = restart_without_roster(&before, ms(5000), 1.0);
    first.restored.ejected.insert("b".into(), 20);
    first.restored.admission_fractions.insert(1, 0.5);
    first.restored_admission_until = ms(9000);
    let second = restart_without_roster(&first, ms(2000), 1.0);
    assert_eq!(second.restored.overrides["c"].reason.as_ref(), "its disk");
    assert_eq!(
        second.restored.overrides["c"].remaining,
        Duration::from_millis(51_000),
        "no longer than the remaining time"
    );
    assert!(second.restored.ejected.contains_key("b"), "{:?}", second.restored.ejected);
    assert_eq!(second.restored.admission_fractions.get(&1), Some(&0.5));
    assert_eq!(second.awaited_frozen_tables.len(), 2);
    // A late roster does not extend an override.
    let mut late = restart_without_roster(&second, ms(1000), 1.0);
    late.update_roster(ms(60_000), ready(&all));
    run(&mut late, ms(60_300));
    assert_eq!(late.overrides().iter().count(), 0);
}
