//! Tests of proxies that migrate between governors.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use super::*;

fn migrated_proxy(replicas: &[&str], sent_at: Duration) -> MigratedProxy {
    let published_entry = |id: &&str| {
        let entry = crate::table_versions::PublishedEntry {
            address: format!("{id}:1").into(),
            zone: 0,
            weight: 1000,
        };
        (ReplicaId::from(*id), entry)
    };
    let table = PublishedTable {
        entries: replicas.iter().map(published_entry).collect(),
        admission_millionths: crate::table_versions::MILLION,
        retry_policy: RetryPolicy::Never,
    };
    MigratedProxy {
        from: "g0".into(),
        state: PublishedState { classes: vec![Some(table), None] },
        published_at: sent_at,
        report: None,
    }
}

#[test]
fn migrated_tables_stand_until_the_module_decides() {
    let mut engine = engine(&["a", "b", "c", "d", "e"]);
    run(&mut engine, ms(600));
    let mut roster = ready(&["a", "b", "c", "d", "e"]);
    roster[1].phase = Phase::Draining;
    // The replica restarted after the other governor had published the table.
    roster[2].started_at = Some(ms(500));
    engine.update_roster(ms(700), roster);
    run(&mut engine, ms(1000));
    let with_governor_tables = JoinRequest { holds_governor_tables: true, ..join("p", &["a"]) };
    let proxy_id = engine.proxy_connected(ms(1001), 1, &with_governor_tables).unwrap().proxy;
    assert_eq!(
        engine.adopt_migrated_tables(ms(1001), proxy_id, migrated_proxy(&["a", "b", "c", "never"], ms(400))),
        1
    );
    assert_eq!(
        routable_replicas(&engine, proxy_id),
        ["a"],
        "at once, without draining, cold and unknown replicas"
    );
    assert_eq!(engine.frozen_tables().count(), 1);
    run(&mut engine, ms(1600));
    assert!(
        routable_replicas(&engine, proxy_id).len() >= 3,
        "the module has decided: {:?}",
        routable_replicas(&engine, proxy_id)
    );
    assert_eq!(engine.frozen_tables().count(), 0);
    // Migrated tables are ignored for a proxy that the module has decided for, or that is on its default
    // table.
    assert_eq!(engine.adopt_migrated_tables(ms(1700), proxy_id, migrated_proxy(&["a"], ms(400))), 0);
    let on_default_table = engine.proxy_connected(ms(1700), 2, &join("q", &["a", "d", "e"])).unwrap().proxy;
    assert_eq!(engine.adopt_migrated_tables(ms(1700), on_default_table, migrated_proxy(&["a"], ms(400))), 0);
    // No entry of the migrated table is usable here: it would be empty, so the proxy keeps what it has until
    // the module decides.
    let proxy_id = engine
        .proxy_connected(ms(1700), 3, &JoinRequest { holds_governor_tables: true, ..join("r", &[]) })
        .unwrap()
        .proxy;
    assert_eq!(engine.adopt_migrated_tables(ms(1700), proxy_id, migrated_proxy(&["b", "never"], ms(400))), 0);
    assert!(!engine.proxy(proxy_id).unwrap().has_known_tables());
}

#[test]
fn migrates_the_last_report_and_counts_it_once() {
    let (mut source, mut target) = (engine(&["a", "b", "c"]), engine(&["a", "b", "c"]));
    let proxy_id = source.proxy_connected(ms(1), 1, &join("p", &[])).unwrap().proxy;
    run(&mut source, ms(600));
    let rejected_requests = vec![(0, 7)];
    let report = LoadReport {
        interval: Duration::from_millis(500),
        observations: vec![],
        rejected: rejected_requests,
    };
    source.record_report(ms(700), "p", 1, &report).unwrap();
    let (newest, last) = source.migration_state(ms(900), proxy_id).unwrap();
    let (age, state) = last.unwrap();
    assert_eq!((age, state, newest.version), (Duration::from_millis(200), &report, newest.version));
    let sent_at = newest.published_at;
    let migrated_proxy = MigratedProxy {
        from: "g0".into(),
        state: (*newest.state).clone(),
        published_at: sent_at,
        report: Some(report.clone()),
    };
    let migrated = target
        .proxy_connected(ms(901), 1, &JoinRequest { holds_governor_tables: true, ..join("p", &[]) })
        .unwrap()
        .proxy;
    assert_eq!(target.adopt_migrated_tables(ms(901), migrated, migrated_proxy), 2);
    assert_eq!(routable_replicas(&target, migrated), routable_replicas(&source, proxy_id));
    assert_eq!(target.reports().1, 1);
    // The proxy repeats the report, as it received no response.
    assert_eq!(target.record_report(ms(1000), "p", 1, &report), Err(DiscardReason::Copy));
    target.stream_closed(ms(1100), 1);
    assert_eq!(target.frozen_tables().count(), 0, "migrated tables are dropped when the stream closes");
}

proptest::proptest! {
    /// Two governors have different rosters, and a proxy moves back and forth between them.
    #[test]
    fn proxy_between_governors_with_different_rosters_always_has_a_route(
        rosters in proptest::collection::vec(
            (0usize..2, proptest::collection::vec((0usize..6, 0usize..3, proptest::bool::ANY), 1..7)), 1..6),
        waits in proptest::collection::vec(1u64..900, 1..6),
    ) {
        let names = ["a", "b", "c", "d", "e", "f"];
        let mut engines = [engine(&names), engine(&names)];
        let mut listed = [[true; 6]; 2];
        let (mut now, mut stream, mut at) = (1000, 10, 0);
        engines.iter_mut().for_each(|engine| drop(run(engine, ms(900))));
        let mut proxy_id = engines[0].proxy_connected(ms(now), stream, &join("p", &[])).unwrap().proxy;
        let mut rosters = rosters.into_iter();
        for wait in waits {
            for _ in 0..4 {
                now += wait / 4 + 1;
                engines.iter_mut().for_each(|engine| drop(run(engine, ms(now))));
                let proxy = engines[at].proxy(proxy_id).unwrap();
                // Its published tables always have a routable entry, as long as any listed replica is ready
                // at that governor.
                let published = proxy.tables.iter().flatten();
                let bare = published.filter(|versioned| versioned.table.entries.iter().all(|published_entry| !published_entry.routable)).count();
                proptest::prop_assert!(bare == 0 || listed[at].iter().all(|ready| !ready), "a table without a routable entry at {now}");
            }
            if let Some((of, changes)) = rosters.next() {
                let mut roster = ready(&names);
                for (index, ready) in listed[of].iter().enumerate() {
                    if !ready {
                        roster[index].phase = Phase::Draining;
                    }
                }
                for (index, phase, cold) in changes {
                    roster[index].phase = [Phase::Ready, Phase::Draining, Phase::Gone][phase];
                    roster[index].started_at = cold.then(|| ms(now));
                }
                let is_ready = |entry: &RosterEntry| entry.phase == Phase::Ready;
                listed[of] = std::array::from_fn(|index| is_ready(&roster[index]));
                engines[of].update_roster(ms(now), roster);
            }
            // The proxy moves to the other governor, after its state was handed over.
            let state = engines[at].migration_state(ms(now), proxy_id);
            let state = state.map(|(newest, _)| (newest.state.clone(), newest.published_at));
            engines[at].stream_closed(ms(now), stream);
            (at, stream) = (1 - at, stream + 1);
            let holds = JoinRequest { holds_governor_tables: true, ..join("p", &[]) };
            proxy_id = engines[at].proxy_connected(ms(now), stream, &holds).unwrap().proxy;
            if let Some((state, sent_at)) = state {
                let published = (*state).clone();
                let from = "g".into();
                engines[at].adopt_migrated_tables(ms(now), proxy_id, MigratedProxy { from, state: published, published_at: sent_at, report: None });
            }
        }
    }
}
