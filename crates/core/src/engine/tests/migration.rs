//! Tests of proxies that migrate between governors.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use super::*;

fn handed(lines: &[&str], told_at: Duration) -> MigratedProxy {
    let line = |id: &&str| {
        let line = crate::table_versions::PublishedEntry {
            address: format!("{id}:1").into(),
            zone: 0,
            weight: 1000,
        };
        (ReplicaId::from(*id), line)
    };
    let said = PublishedTable {
        entries: lines.iter().map(line).collect(),
        admission_millionths: crate::table_versions::MILLION,
        retry_policy: RetryPolicy::Never,
    };
    MigratedProxy {
        from: "g0".into(),
        state: PublishedState { classes: vec![Some(said), None] },
        published_at: told_at,
        report: None,
    }
}

#[test]
fn migrated_tables_stand_until_the_module_decides() {
    let mut engine = engine(&["a", "b", "c", "d", "e"]);
    run(&mut engine, ms(600));
    let mut list = ready(&["a", "b", "c", "d", "e"]);
    list[1].phase = Phase::Draining;
    // The replica restarted after the other governor had published the table.
    list[2].started_at = Some(ms(500));
    engine.update_roster(ms(700), list);
    run(&mut engine, ms(1000));
    let with_orders = JoinRequest { holds_governor_tables: true, ..join("p", &["a"]) };
    let number = engine.proxy_connected(ms(1001), 1, &with_orders).unwrap().proxy;
    assert_eq!(engine.adopt_migrated_tables(ms(1001), number, handed(&["a", "b", "c", "never"], ms(400))), 1);
    assert_eq!(open(&engine, number), ["a"], "at once, without draining, cold and unknown replicas");
    assert_eq!(engine.frozen_tables().count(), 1);
    run(&mut engine, ms(1600));
    assert!(open(&engine, number).len() >= 3, "the module has decided: {:?}", open(&engine, number));
    assert_eq!(engine.frozen_tables().count(), 0);
    // Migrated tables are ignored for a proxy that the module has decided for, or that is on its default
    // table.
    assert_eq!(engine.adopt_migrated_tables(ms(1700), number, handed(&["a"], ms(400))), 0);
    let fresh = engine.proxy_connected(ms(1700), 2, &join("q", &["a", "d", "e"])).unwrap().proxy;
    assert_eq!(engine.adopt_migrated_tables(ms(1700), fresh, handed(&["a"], ms(400))), 0);
    // No entry of the migrated table is usable here: it would be empty, so the proxy keeps what it has until
    // the module decides.
    let number = engine
        .proxy_connected(ms(1700), 3, &JoinRequest { holds_governor_tables: true, ..join("r", &[]) })
        .unwrap()
        .proxy;
    assert_eq!(engine.adopt_migrated_tables(ms(1700), number, handed(&["b", "never"], ms(400))), 0);
    assert!(!engine.proxy(number).unwrap().has_known_tables());
}

#[test]
fn migrates_the_last_report_and_counts_it_once() {
    let (mut one, mut other) = (engine(&["a", "b", "c"]), engine(&["a", "b", "c"]));
    let number = one.proxy_connected(ms(1), 1, &join("p", &[])).unwrap().proxy;
    run(&mut one, ms(600));
    let blocked = vec![(0, 7)];
    let report = LoadReport { interval: Duration::from_millis(500), observations: vec![], rejected: blocked };
    one.record_report(ms(700), "p", 1, &report).unwrap();
    let (newest, last) = one.migration_state(ms(900), number).unwrap();
    let (age, known) = last.unwrap();
    assert_eq!((age, known, newest.version), (Duration::from_millis(200), &report, newest.version));
    let told_at = newest.published_at;
    let handed = MigratedProxy {
        from: "g0".into(),
        state: (*newest.state).clone(),
        published_at: told_at,
        report: Some(report.clone()),
    };
    let there = other
        .proxy_connected(ms(901), 1, &JoinRequest { holds_governor_tables: true, ..join("p", &[]) })
        .unwrap()
        .proxy;
    assert_eq!(other.adopt_migrated_tables(ms(901), there, handed), 2);
    assert_eq!(open(&other, there), open(&one, number));
    assert_eq!(other.reports().1, 1);
    // The proxy repeats the report, as it received no response.
    assert_eq!(other.record_report(ms(1000), "p", 1, &report), Err(DiscardReason::Copy));
    other.stream_closed(ms(1100), 1);
    assert_eq!(other.frozen_tables().count(), 0, "migrated tables are dropped when the stream closes");
}

proptest::proptest! {
    /// Two governors have different rosters, and a proxy moves back and forth between them.
    #[test]
    fn proxy_between_governors_with_different_rosters_always_has_a_route(
        lists in proptest::collection::vec(
            (0usize..2, proptest::collection::vec((0usize..6, 0usize..3, proptest::bool::ANY), 1..7)), 1..6),
        moves in proptest::collection::vec(1u64..900, 1..6),
    ) {
        let names = ["a", "b", "c", "d", "e", "f"];
        let mut engines = [engine(&names), engine(&names)];
        let mut listed = [[true; 6]; 2];
        let (mut now, mut stream, mut at) = (1000, 10, 0);
        engines.iter_mut().for_each(|engine| drop(run(engine, ms(900))));
        let mut number = engines[0].proxy_connected(ms(now), stream, &join("p", &[])).unwrap().proxy;
        let mut lists = lists.into_iter();
        for wait in moves {
            for _ in 0..4 {
                now += wait / 4 + 1;
                engines.iter_mut().for_each(|engine| drop(run(engine, ms(now))));
                let proxy = engines[at].proxy(number).unwrap();
                // Its published tables always have a routable entry, as long as any listed replica is ready
                // at that governor.
                let told = proxy.tables.iter().flatten();
                let bare = told.filter(|kept| kept.table.entries.iter().all(|line| !line.routable)).count();
                proptest::prop_assert!(bare == 0 || listed[at].iter().all(|ready| !ready), "a table without a routable entry at {now}");
            }
            if let Some((of, changes)) = lists.next() {
                let mut list = ready(&names);
                for (place, ready) in listed[of].iter().enumerate() {
                    if !ready {
                        list[place].phase = Phase::Draining;
                    }
                }
                for (place, phase, cold) in changes {
                    list[place].phase = [Phase::Ready, Phase::Draining, Phase::Gone][phase];
                    list[place].started_at = cold.then(|| ms(now));
                }
                let is_ready = |entry: &RosterEntry| entry.phase == Phase::Ready;
                listed[of] = std::array::from_fn(|place| is_ready(&list[place]));
                engines[of].update_roster(ms(now), list);
            }
            // The proxy moves to the other governor, after its state was handed over.
            let known = engines[at].migration_state(ms(now), number);
            let known = known.map(|(newest, _)| (newest.state.clone(), newest.published_at));
            engines[at].stream_closed(ms(now), stream);
            (at, stream) = (1 - at, stream + 1);
            let holds = JoinRequest { holds_governor_tables: true, ..join("p", &[]) };
            number = engines[at].proxy_connected(ms(now), stream, &holds).unwrap().proxy;
            if let Some((whole, told_at)) = known {
                let whole = (*whole).clone();
                let from = "g".into();
                engines[at].adopt_migrated_tables(ms(now), number, MigratedProxy { from, state: whole, published_at: told_at, report: None });
            }
        }
    }
}
