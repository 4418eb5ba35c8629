//! Tests of what is known after a restart.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use super::*;

/// A life that ends, and the next one with what is known of it, so many seconds later.
fn next_life(before: &Engine, later: f64, names: &[&str]) -> Engine {
    let mut engine = next_life_without_roster(before, ms(5000), later);
    engine.update_roster(ms(0), ready(names));
    engine
}

/// The life after one that ends at `now`, before it has a roster.
fn next_life_without_roster(before: &Engine, now: Duration, later: f64) -> Engine {
    let groups = ["one".to_string(), "other".to_string()];
    let names_of =
        StoredItem::Names { governor: "g".into(), zones: vec!["z".into()], groups: groups.to_vec() };
    let mut known = before.stored_items(now, &StoredItems::new(), 1000.0, 7, &groups);
    known.insert(snapshot::NAMES.into(), Arc::new(names_of.clone()));
    known.insert(snapshot::ALIVE.into(), Arc::new(StoredItem::Alive { at: 1000.0 }));
    let known = known
        .into_iter()
        .map(|(name, item)| (name, Arc::new(snapshot::decode(&snapshot::encode(&item)).unwrap())));
    let (recalled, unfit) = snapshot::recall(known.collect(), 1000.0 + later, &names_of);
    assert_eq!(unfit, []);
    let mut engine = Engine::new(EngineSettings::example(2), ms(0));
    engine.restore(ms(0), recalled);
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
    let number = before.proxy_connected(ms(1), 1, &join("p", &["a", "b", "c"])).unwrap().proxy;
    let bound = before.proxy_connected(ms(1), 2, &join("q", &[])).unwrap().proxy;
    run(&mut before, ms(600));
    // Something is said of the standing one, too: it is told a table from then on.
    before.override_replica(ms(700), &"c".into(), OverrideKind::Exclude, ms(60_000), "its disk").unwrap();
    run(&mut before, ms(800));
    let held = [number, bound].map(|number| (before.proxy(number).unwrap().newest(), open(&before, number)));
    assert_eq!(held[0].1.len(), 2);

    let mut after = next_life(&before, 1.0, &all);
    let number = after.proxy_connected(ms(1), 1, &proven("p", &["a", "b", "c"], held[0].0)).unwrap().proxy;
    let bound = after.proxy_connected(ms(1), 2, &proven("q", &[], held[1].0)).unwrap().proxy;
    let stranger = after.proxy_connected(ms(1), 3, &proven("r", &["a", "b", "c"], 9)).unwrap().proxy;
    assert!(
        after.proxy(number).unwrap().holds_default_table,
        "the module is told that it stands on its own table"
    );
    assert!(
        !after.proxy(bound).unwrap().holds_default_table
            && !after.proxy(stranger).unwrap().holds_default_table
    );
    let whole = |engine: &Engine, number| engine.history().newest(number).unwrap().digest;
    let now = [number, bound].map(|number| whole(&after, number));
    assert_eq!(now, [whole(&before, 0), whole(&before, 1)]);
    run(&mut after, ms(900));
    assert_eq!(whole(&after, number), now[0], "nothing is told to who stands");
    assert_eq!(open(&after, number), held[0].1, "what operators exclude stays out");
    assert_eq!(after.overrides().iter().count(), 1);
    // Killed again before anybody was back: what is known of them is not forgotten with that.
    let between = next_life(&before, 1.0, &all);
    let mut third = next_life(&between, 1.0, &all);
    let joined = third.proxy_connected(ms(1), 1, &proven("p", &["a", "b", "c"], held[0].0)).unwrap();
    assert!(third.proxy(joined.proxy).unwrap().holds_default_table);
    // Who does not come back is not carried along for ever.
    let mut alone = next_life(&before, 1.0, &all);
    let is_known = |engine: &Engine, now| {
        engine.stored_items(now, &StoredItems::new(), 0.0, 8, &[]).contains_key("proxy/p")
    };
    run(&mut alone, ms(500_000));
    assert!(is_known(&alone, ms(500_000)));
    run(&mut alone, ms(600_000));
    assert!(!is_known(&alone, ms(600_000)));
    // Without the word, or with that of another version or life, nothing is known of it.
    let mut after = next_life(&before, 1.0, &all);
    let mut odd = proven("p", &["a", "b", "c"], held[0].0 - 1);
    assert!(
        !after
            .proxy_connected(ms(1), 1, &odd)
            .is_ok_and(|joined| after.proxy(joined.proxy).unwrap().holds_default_table)
    );
    odd.proven_version = None;
    let mut after = next_life(&before, 1.0, &all);
    let number = after.proxy_connected(ms(1), 1, &odd).unwrap().proxy;
    assert!(!after.proxy(number).unwrap().holds_default_table);
    // Nor after so long that it has been elsewhere.
    let mut after = next_life(&before, 700.0, &all);
    let joined = after.proxy_connected(ms(1), 1, &proven("p", &["a", "b", "c"], held[0].0)).unwrap();
    assert!(!after.proxy(joined.proxy).unwrap().holds_default_table);
}

#[test]
fn resumed_tables_omit_replicas_lost_during_the_restart() {
    let mut before = engine(&["a", "b", "c"]);
    let number = before.proxy_connected(ms(1), 1, &join("q", &[])).unwrap().proxy;
    run(&mut before, ms(600));
    let version = before.proxy(number).unwrap().newest();
    let mut after = next_life(&before, 2.0, &["a", "c"]);
    let number = after.proxy_connected(ms(1), 1, &proven("q", &[], version)).unwrap().proxy;
    assert_eq!(open(&after, number), ["a", "c"], "before the module has spoken");
    let (flushed, _) = run(&mut after, ms(10));
    assert!(flushed.contains(&number), "at once");
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
    let mut after = next_life(&before, 1.0, &all);
    after.proxy_connected(ms(1), 1, &join("p", &all)).unwrap();
    let mut out_at = None;
    for now in (10..20_000).step_by(50) {
        run(&mut after, ms(now));
        if out_at.is_none() && after.is_ejected(&"b".into()) {
            out_at = Some(now);
        }
    }
    assert!(out_at.is_some_and(|at| at < 2000), "{out_at:?}");
    assert!(!after.is_ejected(&"a".into()));
    assert!(!after.is_ejected(&"b".into()), "and let back once its time is over, with nothing against it");
    // The level held for what was left of its time, and no longer.
    let mut levels = next_life(&before, 4.0, &all);
    let number = levels.proxy_connected(ms(1), 1, &join("p", &all)).unwrap().proxy;
    run(&mut levels, ms(300));
    let level = |engine: &Engine| {
        engine.proxy(number).unwrap().tables[0].as_ref().map(|kept| kept.table.admission_fraction)
    };
    assert_eq!(level(&levels), Some(0.25));
    for now in (300..6100).step_by(100) {
        run(&mut levels, ms(now));
    }
    assert_eq!(level(&levels), Some(1.0));
    // Replaced under its name while nobody looked: it is judged by nothing that the old one did.
    let mut anew = next_life(&before, 5.0, &[]);
    let mut list = ready(&all);
    list[1].started_at = Some(ms(0).saturating_sub(Duration::from_secs(2)));
    anew.update_roster(ms(0), list);
    anew.proxy_connected(ms(1), 1, &join("p", &all)).unwrap();
    for now in (10..4000).step_by(50) {
        run(&mut anew, ms(now));
        assert!(!anew.is_ejected(&"b".into()));
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
    // `c` is back, and the operator has the table of before it went.
    before.update_roster(ms(1600), ready(&all));
    before.rollback(ms(1700), &TableScope::All, version, "a mistake", ms(15_000)).unwrap();
    run(&mut before, ms(1800));
    assert_eq!(before.frozen_tables().count(), 2);
    let mut after = next_life(&before, 1.0, &all);
    let number = after.proxy_connected(ms(1), 1, &join("q", &[])).unwrap().proxy;
    run(&mut after, ms(900));
    let held: Vec<_> = after
        .frozen_tables()
        .map(|(name, group, hold)| (name.to_string(), group, hold.why.clone()))
        .collect();
    assert_eq!(held, [("q".into(), 0, "a mistake".into()), ("q".into(), 1, "a mistake".into())]);
    assert!(!open(&after, number).is_empty());
    // Ten seconds were left at the last look.
    for now in (1000..10_500).step_by(100) {
        run(&mut after, ms(now));
    }
    assert_eq!(after.frozen_tables().count(), 0);
    assert_eq!(next_life(&before, 11.0, &all).awaited_frozen_tables.len(), 0);
}

/// Guards against knowledge that is removed from the store by the first write of a life that has no roster yet, or whose
/// proxies have not come back.
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
    let mut first = next_life_without_roster(&before, ms(5000), 1.0);
    first.restored.ejected.insert("b".into(), 20);
    first.restored.admission_fractions.insert(1, 0.5);
    first.restored_admission_until = ms(9000);
    let second = next_life_without_roster(&first, ms(2000), 1.0);
    assert_eq!(second.restored.overrides["c"].reason.as_ref(), "its disk");
    assert_eq!(
        second.restored.overrides["c"].remaining,
        Duration::from_millis(51_000),
        "no longer than was left"
    );
    assert!(second.restored.ejected.contains_key("b"), "{:?}", second.restored.ejected);
    assert_eq!(second.restored.admission_fractions.get(&1), Some(&0.5));
    assert_eq!(second.awaited_frozen_tables.len(), 2);
    // A roster that comes late leaves an override no longer than it was to stand.
    let mut late = next_life_without_roster(&second, ms(1000), 1.0);
    late.update_roster(ms(60_000), ready(&all));
    run(&mut late, ms(60_300));
    assert_eq!(late.overrides().iter().count(), 0);
}
