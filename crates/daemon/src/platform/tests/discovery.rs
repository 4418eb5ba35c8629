//! The endpoint list: changes of discovery's address with events in flight, and agents with an old list or a restarted
//! numbering.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use super::*;

/// A configuration with this agent as discovery's address.
fn config_for(to: &Agent) -> Value {
    config(to.address)
}

#[test]
fn fetches_a_snapshot_for_an_invalid_drain_read_after_discovery_moved() {
    run_paused(async || {
        let (from, to) = (Agent::start().await, Agent::start().await);
        let mut harness = Harness::start("invalid", &from, |_| {}).await;
        let mut proxy = harness.connect_proxy(3).await;
        harness.wait_until("discovery is watched", |_| from.request_count(&watch_from(1)) == 1).await;
        from.answer_watch(&watch_from(1), &[event(2, false, &[("r3", "drained")])]).await;
        harness.wait_without_governor("the event arrives", |service| service.watch_events.len() == 1).await;
        harness.reload(&config_for(&to));
        // The event is handled only now, from the former watcher; the new watcher starts at the version before it.
        harness.wait_until("a snapshot is fetched", |_| to.request_count(SNAPSHOT_PATH) == 1).await;
        to.send_snapshot(&event(2, true, &[("r1", "up"), ("r2", "up"), ("r3", "draining"), ("r4", "up")]))
            .await;
        proxy.receive_matching(&mut harness, |message| removes(message, "r3")).await;
    });
}

#[test]
fn applies_events_written_before_discovery_moved_to_a_silent_address() {
    run_paused(async || {
        let (from, to) = (Agent::start().await, Agent::start().await);
        let mut harness = Harness::start("written", &from, |_| {}).await;
        let mut proxy = harness.connect_proxy(3).await;
        harness.wait_until("discovery is watched", |_| from.request_count(&watch_from(1)) == 1).await;
        // Nothing runs between these two calls, so the drain is still in the socket at the reload.
        from.answer_watch(&watch_from(1), &[event(2, false, &[("r3", "draining")])]).await;
        harness.reload(&config_for(&to));
        proxy.receive_matching(&mut harness, |message| removes(message, "r3")).await;
        // The old connection is read for a while and then closed, without reconnecting to the old address.
        harness.run_for(FORMER_WATCHER_LIFETIME + Duration::from_secs(10)).await;
        assert_eq!(from.requests.borrow().len(), 1);
        let mut rest = [0; 16];
        assert_eq!(from.requests.borrow()[0].1.try_read(&mut rest).ok(), Some(0));
    });
}

#[test]
fn watches_the_last_address_when_discovery_moves_twice_at_once() {
    run_paused(async || {
        let (from, by, to) = (Agent::start().await, Agent::start().await, Agent::start().await);
        let mut harness = Harness::start("twice", &from, |_| {}).await;
        let mut proxy = harness.connect_proxy(3).await;
        harness.reload(&config_for(&by));
        harness.reload(&config_for(&to));
        harness.wait_until("the last address is watched", |_| to.request_count(&watch_from(1)) == 1).await;
        to.answer_watch(&watch_from(1), &[event(2, false, &[("r3", "draining")])]).await;
        proxy.receive_matching(&mut harness, |message| removes(message, "r3")).await;
        // An event with the same version from a former watch that is still open is ignored.
        if by.request_count(&watch_from(1)) == 1 {
            by.answer_watch(&watch_from(1), &[event(2, false, &[("r3", "up")])]).await;
            harness.run_for(Duration::from_secs(1)).await;
            assert!(!proxy.read().0.iter().any(|message| message.to_string().contains("r3")));
        }
    });
}

#[test]
fn fetches_snapshots_until_a_stale_agent_has_the_invalid_drain() {
    run_paused(async || {
        let agent = Agent::start().await;
        let mut harness = Harness::start("behind", &agent, |_| {}).await;
        let mut proxy = harness.connect_proxy(3).await;
        harness.wait_until("discovery is watched", |_| agent.request_count(&watch_from(1)) == 1).await;
        agent.answer_watch(&watch_from(1), &[event(2, false, &[("r3", "drained")])]).await;
        harness.wait_until("a snapshot is fetched", |_| agent.request_count(SNAPSHOT_PATH) == 1).await;
        agent.send_snapshot(&event(1, true, &ALL_UP)).await;
        harness.wait_until("another snapshot is fetched", |_| agent.request_count(SNAPSHOT_PATH) == 2).await;
        agent
            .send_snapshot(&event(2, true, &[("r1", "up"), ("r2", "up"), ("r3", "draining"), ("r4", "up")]))
            .await;
        proxy.receive_matching(&mut harness, |message| removes(message, "r3")).await;
        harness
            .wait_until("discovery is watched from there", |_| agent.request_count(&watch_from(2)) == 1)
            .await;
    });
}

#[test]
fn accepts_a_restarted_numbering_after_twenty_seconds_and_not_before() {
    run_paused(async || {
        let agent = Agent::start().await;
        let mut harness =
            Harness::start("anew", &agent, |config| config["known"]["index"] = json!(100)).await;
        let mut proxy = harness.connect_proxy(3).await;
        let older = event(5, true, &[("r1", "up"), ("r2", "up"), ("r4", "up")]);
        let began = Instant::now();
        let mut requests = 0;
        while agent.request_count(SNAPSHOT_PATH) == 0 {
            // A silent watch is reconnected, and the agent answers with the same events again.
            harness.wait_until("the watch reconnects", |_| agent.requests.borrow().len() > requests).await;
            requests = agent.requests.borrow().len();
            if agent.request_count(SNAPSHOT_PATH) == 0 {
                agent.answer_watch(&watch_from(100), std::slice::from_ref(&older)).await;
            }
            assert!(began.elapsed() < 40 * Duration::from_secs(1), "the numbering is never accepted");
        }
        assert!(began.elapsed() > 20 * Duration::from_secs(1), "{:?}", began.elapsed());
        assert!(
            !proxy.read().0.iter().any(|message| removes(message, "r3")),
            "the agent may have an old list"
        );
        agent.send_snapshot(&older).await;
        proxy.receive_matching(&mut harness, |message| removes(message, "r3")).await;
        harness
            .wait_until("discovery is watched from there", |_| agent.request_count(&watch_from(5)) == 1)
            .await;
    });
}

#[test]
fn a_governor_started_with_an_old_list_learns_of_later_drains() {
    run_paused(async || {
        let agent = Agent::start().await;
        let mut harness = Harness::start("old", &agent, |_| {}).await;
        let mut proxy = harness.connect_proxy(3).await;
        harness.wait_until("discovery is watched", |_| agent.request_count(&watch_from(1)) == 1).await;
        agent
            .answer_watch(
                &watch_from(1),
                &[event(9, true, &[("r1", "up"), ("r2", "draining"), ("r4", "up")])],
            )
            .await;
        proxy
            .receive_matching(&mut harness, |message| removes(message, "r2") && removes(message, "r3"))
            .await;
    });
}

#[test]
fn applies_a_newer_snapshot_within_a_watch_and_ignores_an_older_one() {
    run_paused(async || {
        let agent = Agent::start().await;
        let mut harness = Harness::start("middle", &agent, |_| {}).await;
        let mut proxy = harness.connect_proxy(3).await;
        harness.wait_until("discovery is watched", |_| agent.request_count(&watch_from(1)) == 1).await;
        agent.answer_watch(&watch_from(1), &[event(3, false, &[("r3", "draining")])]).await;
        proxy.receive_matching(&mut harness, |message| removes(message, "r3")).await;
        agent.send_event(&watch_from(1), &event(2, true, &ALL_UP)).await;
        harness.run_for(Duration::from_secs(1)).await;
        assert!(
            !proxy.read().0.iter().any(|message| message.to_string().contains("r3")),
            "the snapshot is older"
        );
        agent.send_event(&watch_from(1), &event(5, true, &[("r1", "up"), ("r2", "up")])).await;
        proxy.receive_matching(&mut harness, |message| removes(message, "r4")).await;
        assert_eq!(agent.requests.borrow().len(), 1, "all events came on one watch");
    });
}
