//! Tests of scheduling: determinism, pauses of the process.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use super::*;
use crate::engine::scheduling::CATCH_UP;

#[test]
fn same_inputs_give_the_same_actions() {
    let actions = || {
        let mut engine = engine(&["a", "b", "c"]);
        engine.proxy_connected(ms(1), 1, &join("p", &["a", "b", "c"])).unwrap();
        engine.proxy_connected(ms(2), 2, &join("q", &[])).unwrap();
        let mut actions = Vec::new();
        for tick in 1..40 {
            engine.update_roster(
                ms(tick * 250),
                ready(if tick % 3 == 0 { &["a", "b"] } else { &["a", "b", "c"] }),
            );
            while let Some(action) = engine.next_action(ms(tick * 250)) {
                if let Action::Flush(number) = action {
                    engine.tables_sent(ms(tick * 250), number, 2, 1);
                    let proxy = engine.proxy(number).unwrap();
                    let (stream, newest) = (proxy.stream, proxy.newest_version());
                    engine.version_acknowledged(stream, newest);
                }
                actions.push(action);
            }
        }
        actions
    };
    let first = actions();
    assert!(first.len() > 20);
    assert_eq!(first, actions());
}

#[test]
fn does_not_mistake_its_own_pause_for_silent_replicas() {
    let all = ["a", "b", "c", "d"];
    let mut engine = engine(&all);
    engine.proxy_connected(ms(1), 1, &join("p", &all)).unwrap();
    engine.proxy_connected(ms(1), 2, &join("q", &all)).unwrap();
    let report_successes = |engine: &mut Engine, now: u64, name: &str, stream, ids: &[&str]| {
        let observation = |id: &&str| ReplicaObservation {
            class: 0,
            replica: (*id).into(),
            succeeded: 10,
            failed: 0,
            issued: 10,
            in_flight: 0,
            latency_sum_and_count: (Duration::from_micros(500_000 + now), 10),
            load: vec![1.0],
        };
        let report = LoadReport {
            interval: ms(500) - ms(0),
            observations: ids.iter().map(observation).collect(),
            rejected: vec![],
        };
        let _ = engine.record_report(ms(now), name, stream, &report);
    };
    for now in (500..5000).step_by(100) {
        if now % 500 == 0 {
            report_successes(&mut engine, now, "p", 1, &all);
            report_successes(&mut engine, now, "q", 2, &all);
        }
        run(&mut engine, ms(now));
    }
    // The process pauses after a report on one replica and resumes with a report on another one; it learns
    // only a moment later that its proxies have left.
    run(&mut engine, ms(5100));
    report_successes(&mut engine, 5200, "p", 1, &["a"]);
    report_successes(&mut engine, 19_000, "q", 2, &["b"]);
    run(&mut engine, ms(19_000));
    (1..3).for_each(|stream| engine.stream_closed(ms(19_150), stream));
    run(&mut engine, ms(19_150));
    engine.proxy_connected(ms(19_500), 3, &join("p", &all)).unwrap();
    for now in (19_500..25_000).step_by(100) {
        if now % 500 == 0 && now >= 20_000 {
            report_successes(&mut engine, now, "p", 3, &all);
        }
        run(&mut engine, ms(now));
        let ejected: Vec<&str> = all.into_iter().filter(|id| engine.is_ejected(&(*id).into())).collect();
        assert!(ejected.is_empty(), "at {now} ms: {ejected:?}");
    }
}

#[test]
fn a_process_that_is_always_late_still_decides() {
    let mut engine = engine(&["a", "b"]);
    run(&mut engine, ms(0));
    // It is always called six seconds apart, so the module gets every second tick.
    let waits = (1..5).map(|action| {
        run(&mut engine, ms(6000 * action));
        engine.next_tick - ms(6000 * action)
    });
    let waits: Vec<bool> = waits.map(|wait| wait < CATCH_UP).collect();
    assert_eq!(waits, [false, true, false, true]);
}
