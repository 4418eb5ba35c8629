//! Tests of connecting proxies: default tables, tables of other governors, the join queue.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use super::*;

#[test]
fn leaves_a_default_table_alone_and_assigns_tables_where_there_is_none() {
    let mut engine = engine(&["a", "b", "c"]);
    let with_default_table = engine.proxy_connected(ms(1), 1, &join("p", &["a", "b", "c"])).unwrap().proxy;
    let without_table = engine.proxy_connected(ms(1), 2, &join("q", &[])).unwrap().proxy;
    let (flushed, _) = run(&mut engine, ms(300));
    assert_eq!(flushed, [without_table]);
    assert!(engine.proxy(with_default_table).unwrap().tables.iter().all(Option::is_none));
    assert_eq!(routable_replicas(&engine, without_table), ["a", "b", "c"]);
}

#[test]
fn does_not_trust_a_default_table_that_names_unlisted_replicas() {
    let mut engine = engine(&["a", "b", "c"]);
    engine.proxy_connected(ms(1), 1, &join("p", &["a", "gone"])).unwrap();
    engine
        .proxy_connected(
            ms(1),
            2,
            &JoinRequest { holds_governor_tables: true, ..join("q", &["a", "b", "c"]) },
        )
        .unwrap();
    let (flushed, _) = run(&mut engine, ms(300));
    assert_eq!(flushed, [0, 1]);
}

#[test]
fn sends_a_complete_state_to_a_proxy_with_tables_of_another_governor() {
    let mut engine = engine(&["a", "b", "c"]);
    let rejoin = JoinRequest { holds_governor_tables: true, ..join("p", &[]) };
    engine.proxy_connected(ms(1), 1, &rejoin).unwrap();
    assert_eq!(run(&mut engine, ms(300)).0, [0]);
    assert_eq!(routable_replicas(&engine, 0), ["a", "b", "c"]);
}

#[test]
fn admits_a_thousand_queued_joins_as_the_channel_has_capacity() {
    let names: Vec<String> = (0..24).map(|n| format!("r{n:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut settings = EngineSettings::example(2);
    (settings.governor.entries_per_second, settings.governor.max_queued_entries) = (5000.0, 4000.0);
    let max_queued_entries = settings.governor.max_queued_entries;
    let mut engine = Engine::new(settings, ms(0));
    engine.update_roster(ms(0), ready(&names));
    for number in 0..1000 {
        engine.proxy_connected(ms(number), number, &join(&format!("p{number:04}"), &[])).unwrap();
    }
    let late = engine.proxy_connected(ms(999), 5000, &join("late", &[]));
    assert_eq!(late, Err(JoinError::Full { connected: 1000, capacity: 1000 }));
    let mut done = BTreeSet::new();
    for tick in 0..2000 {
        let now = ms(1000 + tick * 20);
        for number in run(&mut engine, now).0 {
            engine.version_acknowledged(u64::from(number), engine.proxy(number).unwrap().newest_version());
            done.insert(number);
        }
        let status = engine.status(now);
        assert!((status.queued_entries as f64) < max_queued_entries, "{status:?}");
        if done.len() == 1000 {
            return;
        }
    }
    panic!("{} of 1000 have tables", done.len());
}
