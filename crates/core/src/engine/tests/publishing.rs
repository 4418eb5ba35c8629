//! Tests of what is sent to proxies and what is not: drains, rejections, acknowledgements, full streams.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use super::*;

#[test]
fn publishes_a_drain_to_default_and_dedicated_tables_at_once() {
    let mut engine = engine(&["a", "b", "c", "d"]);
    engine.proxy_connected(ms(1), 1, &join("p", &["a", "b", "c", "d"])).unwrap();
    engine.proxy_connected(ms(1), 2, &join("q", &[])).unwrap();
    run(&mut engine, ms(600));
    engine.version_acknowledged(2, engine.proxy(1).unwrap().newest_version());
    let mut roster = ready(&["a", "b", "c", "d"]);
    roster[0].phase = Phase::Draining;
    engine.update_roster(ms(700), roster);
    let (flushed, events) = run(&mut engine, ms(1600));
    assert_eq!(flushed, [0, 1]);
    assert!(events.iter().any(|event| matches!(event,
        EngineEvent::Decided { summary: DecisionSummary::Ejection(id, true), causes, .. } if &**id == "a"
            && causes.contains(&Cause::Roster) | causes.contains(&Cause::Tick))));
    assert!((0..2).all(|proxy| !routable_replicas(&engine, proxy).contains(&"a".to_string())));
    assert!(
        !routable_replicas(&engine, 0).is_empty(),
        "the default table is published completely, except for the draining replica"
    );
}

#[test]
fn ignores_a_drain_of_a_replica_that_was_never_listed() {
    let mut engine = engine(&["a", "b", "c"]);
    engine.proxy_connected(ms(1), 1, &join("p", &[])).unwrap();
    run(&mut engine, ms(600));
    let before = routable_replicas(&engine, 0);
    let mut roster = ready(&["a", "b", "c"]);
    roster.push(entry("never", Phase::Draining));
    engine.update_roster(ms(700), roster);
    run(&mut engine, ms(1600));
    assert_eq!(routable_replicas(&engine, 0), before);
}

#[test]
fn doubts_an_empty_roster_and_keeps_tables() {
    let mut engine = engine(&["a", "b", "c"]);
    engine.proxy_connected(ms(1), 1, &join("p", &[])).unwrap();
    run(&mut engine, ms(600));
    engine.update_roster(ms(700), vec![]);
    let (flushed, events) = run(&mut engine, ms(5000));
    assert!(flushed.is_empty() && matches!(events[0], EngineEvent::EmptyRosterUnconfirmed(_)));
    assert_eq!(routable_replicas(&engine, 0).len(), 3);
    engine.update_roster(ms(6000), ready(&["a", "b", "c"]));
    assert!(!engine.status(ms(6000)).empty_roster_unconfirmed);
    assert!(run(&mut engine, ms(60_000)).0.is_empty());
}

#[test]
fn sends_nothing_after_a_rejection_until_something_changes() {
    let mut engine = engine(&["a", "b", "c"]);
    engine.proxy_connected(ms(1), 1, &join("p", &[])).unwrap();
    engine.proxy_connected(ms(1), 2, &join("q", &[])).unwrap();
    run(&mut engine, ms(600));
    let version = engine.proxy(0).unwrap().newest_version();
    engine.version_rejected(1, version, "no such locality");
    engine.version_acknowledged(2, version);
    let (flushed, events) = run(&mut engine, ms(3000));
    assert!(flushed.is_empty());
    assert!(
        matches!(&events[0], EngineEvent::VersionRejected { reason, .. } if reason == "no such locality")
    );
    assert_eq!(engine.proxy(0).unwrap().acknowledged_version, 0);
    engine.update_roster(ms(3100), ready(&["a", "b"]));
    assert_eq!(run(&mut engine, ms(4000)).0, [0, 1]);
    engine.version_acknowledged(1, engine.proxy(0).unwrap().newest_version());
    assert_eq!(engine.proxy(0).unwrap().rejected, None);
}

#[test]
fn reports_each_requested_acknowledgement_once() {
    let mut engine = engine(&["a", "b", "c"]);
    engine.proxy_connected(ms(1), 1, &join("p", &[])).unwrap();
    run(&mut engine, ms(600));
    engine.version_acknowledged(1, engine.proxy(0).unwrap().newest_version());
    engine.update_roster(ms(700), ready(&["a", "b"]));
    run(&mut engine, ms(1600));
    let version = engine.proxy(0).unwrap().newest_version();
    engine.version_acknowledged(1, version - 1);
    assert!(
        !engine.causes.contains(&Cause::Acknowledged),
        "an acknowledgement of an older version answers no later request"
    );
    engine.version_acknowledged(1, version);
    assert!(engine.causes.remove(&Cause::Acknowledged));
    engine.version_acknowledged(1, version);
    assert!(!engine.causes.contains(&Cause::Acknowledged));
}

#[test]
fn merges_updates_for_a_stream_without_capacity() {
    let mut engine = engine(&["a", "b", "c", "d"]);
    engine.proxy_connected(ms(1), 1, &join("p", &[])).unwrap();
    while let Some(action) = engine.next_action(ms(300)) {
        if let Action::Flush(proxy) = action {
            engine.stream_full(proxy);
        }
    }
    for round in 0..50 {
        let roster = if round % 2 == 0 { ready(&["a", "b", "c"]) } else { ready(&["a", "b", "d"]) };
        engine.update_roster(ms(1000 * (round + 1)), roster);
        assert!(run(&mut engine, ms(1000 * (round + 1) + 600)).0.is_empty());
    }
    engine.stream_has_capacity(1);
    assert_eq!(run(&mut engine, ms(60_000)).0, [0], "once, not fifty times");
    assert!(routable_replicas(&engine, 0).contains(&"d".to_string()));
}
