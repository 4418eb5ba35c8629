//! The list: moves of discovery while something is on its way, agents that are behind or count anew.

use super::*;

/// Moves discovery to another agent.
fn moved(to: &Agent) -> Value {
    config(to.address)
}

#[test]
fn a_drain_that_was_spoilt_on_its_way_while_discovery_moved_is_asked_for() {
    play(async || {
        let (from, to) = (Agent::start().await, Agent::start().await);
        let mut stage = Stage::start("spoilt", &from, |_| {}).await;
        let mut proxy = stage.join(3).await;
        stage.until("it watches", |_| from.heard(&watch_from(1)) == 1).await;
        from.tell(&watch_from(1), &[object(2, false, &[("r3", "drained")])]).await;
        stage.held_until("the object has come", |service| service.watch_events.len() == 1).await;
        stage.reload(&moved(&to));
        // Only now it is read: whoever heard it is on the way out, and the next watches from before it.
        stage.until("all is asked for", |_| to.heard(WHOLE) == 1).await;
        to.tell_whole(&object(2, true, &[("r1", "up"), ("r2", "up"), ("r3", "draining"), ("r4", "up")]))
            .await;
        proxy.until_told(&mut stage, |order| takes_out(order, "r3")).await;
    });
}

#[test]
fn what_was_written_before_discovery_moved_is_heard_though_the_new_address_is_silent() {
    play(async || {
        let (from, to) = (Agent::start().await, Agent::start().await);
        let mut stage = Stage::start("written", &from, |_| {}).await;
        let mut proxy = stage.join(3).await;
        stage.until("it watches", |_| from.heard(&watch_from(1)) == 1).await;
        // Nothing runs between these two: the drain lies in the socket.
        from.tell(&watch_from(1), &[object(2, false, &[("r3", "draining")])]).await;
        stage.reload(&moved(&to));
        proxy.until_told(&mut stage, |order| takes_out(order, "r3")).await;
        // The old connection is heard out and then left; nobody goes back to the old address.
        stage.pass(FORMER_WATCHER_TIME + Duration::from_secs(10)).await;
        assert_eq!(from.asked.borrow().len(), 1);
        let mut rest = [0; 16];
        assert_eq!(from.asked.borrow()[0].1.try_read(&mut rest).ok(), Some(0));
    });
}

#[test]
fn discovery_that_moves_twice_at_once_is_followed_where_it_is() {
    play(async || {
        let (from, by, to) = (Agent::start().await, Agent::start().await, Agent::start().await);
        let mut stage = Stage::start("twice", &from, |_| {}).await;
        let mut proxy = stage.join(3).await;
        stage.reload(&moved(&by));
        stage.reload(&moved(&to));
        stage.until("the last one is watched", |_| to.heard(&watch_from(1)) == 1).await;
        to.tell(&watch_from(1), &[object(2, false, &[("r3", "draining")])]).await;
        proxy.until_told(&mut stage, |order| takes_out(order, "r3")).await;
        // One that was left behind and is still open tells of nothing that is newer.
        if by.heard(&watch_from(1)) == 1 {
            by.tell(&watch_from(1), &[object(2, false, &[("r3", "up")])]).await;
            stage.pass(Duration::from_secs(1)).await;
            assert!(!proxy.read().0.iter().any(|order| order.to_string().contains("r3")));
        }
    });
}

#[test]
fn a_spoilt_drain_is_asked_for_until_an_agent_that_is_behind_has_it() {
    play(async || {
        let agent = Agent::start().await;
        let mut stage = Stage::start("behind", &agent, |_| {}).await;
        let mut proxy = stage.join(3).await;
        stage.until("it watches", |_| agent.heard(&watch_from(1)) == 1).await;
        agent.tell(&watch_from(1), &[object(2, false, &[("r3", "drained")])]).await;
        stage.until("all is asked for", |_| agent.heard(WHOLE) == 1).await;
        agent.tell_whole(&object(1, true, &UP)).await;
        stage.until("and once more", |_| agent.heard(WHOLE) == 2).await;
        agent
            .tell_whole(&object(2, true, &[("r1", "up"), ("r2", "up"), ("r3", "draining"), ("r4", "up")]))
            .await;
        proxy.until_told(&mut stage, |order| takes_out(order, "r3")).await;
        stage.until("it watches on", |_| agent.heard(&watch_from(2)) == 1).await;
    });
}

#[test]
fn an_agent_that_counts_anew_is_believed_after_a_while_and_one_that_is_behind_is_not() {
    play(async || {
        let agent = Agent::start().await;
        let mut stage = Stage::start("anew", &agent, |config| config["known"]["index"] = json!(100)).await;
        let mut proxy = stage.join(3).await;
        let older = object(5, true, &[("r1", "up"), ("r2", "up"), ("r4", "up")]);
        let began = Instant::now();
        let mut dials = 0;
        while agent.heard(WHOLE) == 0 {
            // A watch that says nothing more is dialled anew, and told the same.
            stage.until("it dials", |_| agent.asked.borrow().len() > dials).await;
            dials = agent.asked.borrow().len();
            if agent.heard(WHOLE) == 0 {
                agent.tell(&watch_from(100), std::slice::from_ref(&older)).await;
            }
            assert!(began.elapsed() < 40 * Duration::from_secs(1), "it is never believed");
        }
        assert!(began.elapsed() > 20 * Duration::from_secs(1), "{:?}", began.elapsed());
        assert!(!proxy.read().0.iter().any(|order| takes_out(order, "r3")), "it may just be behind");
        agent.tell_whole(&older).await;
        proxy.until_told(&mut stage, |order| takes_out(order, "r3")).await;
        stage.until("it watches on", |_| agent.heard(&watch_from(5)) == 1).await;
    });
}

#[test]
fn a_governor_that_starts_with_an_old_list_hears_what_drained_meanwhile() {
    play(async || {
        let agent = Agent::start().await;
        let mut stage = Stage::start("old", &agent, |_| {}).await;
        let mut proxy = stage.join(3).await;
        stage.until("it watches", |_| agent.heard(&watch_from(1)) == 1).await;
        agent
            .tell(&watch_from(1), &[object(9, true, &[("r1", "up"), ("r2", "draining"), ("r4", "up")])])
            .await;
        proxy.until_told(&mut stage, |order| takes_out(order, "r2") && takes_out(order, "r3")).await;
    });
}

#[test]
fn a_whole_list_in_the_middle_of_a_watch_counts_and_an_older_one_does_not() {
    play(async || {
        let agent = Agent::start().await;
        let mut stage = Stage::start("middle", &agent, |_| {}).await;
        let mut proxy = stage.join(3).await;
        stage.until("it watches", |_| agent.heard(&watch_from(1)) == 1).await;
        agent.tell(&watch_from(1), &[object(3, false, &[("r3", "draining")])]).await;
        proxy.until_told(&mut stage, |order| takes_out(order, "r3")).await;
        agent.tell_more(&watch_from(1), &object(2, true, &UP)).await;
        stage.pass(Duration::from_secs(1)).await;
        assert!(!proxy.read().0.iter().any(|order| order.to_string().contains("r3")), "it is older");
        agent.tell_more(&watch_from(1), &object(5, true, &[("r1", "up"), ("r2", "up")])).await;
        proxy.until_told(&mut stage, |order| takes_out(order, "r4")).await;
        assert_eq!(agent.asked.borrow().len(), 1, "one watch told all of it");
    });
}
