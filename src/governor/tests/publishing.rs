//! Tests of when and in which order decisions are sent, and of the send queue.

use super::fixtures::*;
use super::*;

/// The time after which another flush is allowed, by the limit of [`settings`]: ten messages within 10 s. Two
/// flushes of eight are allowed at once.
const REFILL_INTERVAL: Duration = Duration::from_millis(1429);

#[test]
fn sends_ejections_before_changed_entries() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[("a", 1.0), ("b", 1.0)]);
    add_replica(&mut governor, "a", draining_replica(0));
    add_replica(&mut governor, "b", warm_replica(0));
    governor.publish(SECOND, PublishTrigger::Event);
    assert_eq!(decisions(&governor)[0], &Decision::SetEjected { replica: id("a"), ejected: true });
    assert_eq!(
        decisions(&governor)[1],
        &Decision::UpdateTable { table: 2, entries: vec![entry(id("a"), 0.0)] }
    );
}

#[test]
fn sends_the_entries_of_a_returning_replica_before_it_is_readmitted() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[("b", 1.0)]);
    add_replica(&mut governor, "a", ReplicaState { ejection_sent: true, ..warming_replica(0, SECOND) });
    add_replica(&mut governor, "b", warm_replica(0));
    governor.publish(SECOND, PublishTrigger::FlushDue);
    let names_a = |decision: &&Decision| match decision {
        Decision::UpdateTable { table: 2, entries } => entries[0].replica == id("a"),
        _ => false,
    };
    let readmits_a =
        |decision: &&Decision| **decision == Decision::SetEjected { replica: id("a"), ejected: false };
    let update = decisions(&governor).iter().position(names_a);
    let readmission = decisions(&governor).iter().position(readmits_a);
    assert!(update.is_some() && update < readmission);
}

#[test]
fn gives_an_unsynchronised_proxy_its_table_at_the_next_tick() {
    let mut governor = governor();
    add_replica(&mut governor, "a", draining_replica(0));
    add_replica(&mut governor, "b", warm_replica(0));
    governor.proxy_connected(SECOND, with_unknown_tables(3, 4.0));
    governor.publish(SECOND, PublishTrigger::Tick);
    let decisions = decisions(&governor);
    assert!(decisions.contains(&&Decision::UpdateTable { table: 6, entries: vec![entry(id("b"), 1.0)] }));
    assert!(decisions.contains(&&Decision::AssignTable { proxy: 3, table: 6, classes: 0b11 }));
}

#[test]
fn sends_nothing_once_the_limit_on_messages_is_reached() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[("a", 1.0)]);
    add_replica(&mut governor, "a", draining_replica(0));
    use_all_flushes(&mut governor, SECOND);
    governor.publish(2 * SECOND, PublishTrigger::FlushDue);
    assert!(governor.pending.is_empty());
}

#[test]
fn sends_no_table_into_a_full_channel() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[]);
    add_replica(&mut governor, "a", warm_replica(0));
    governor.send_queue.entries = 800.0;
    governor.send_tables(Duration::ZERO, Recipients::All);
    assert!(governor.pending.is_empty());
    // No table is sent to an unsynchronised proxy either, although it may send to a draining replica: many
    // such proxies would overfill the channel.
    governor.proxy_connected(Duration::ZERO, with_unknown_tables(2, 1.0));
    governor.send_tables(Duration::ZERO, Recipients::Unsynchronised);
    assert!(governor.pending.is_empty());
    governor.send_queue.entries = 500.0;
    governor.send_tables(Duration::ZERO, Recipients::Unsynchronised);
    assert!(governor.pending.contains(&Decision::AssignTable { proxy: 2, table: 4, classes: 0b11 }));
}

/// A governor with 100 proxies whose tables are not known, and the named replicas.
fn governor_with_unsynchronised_proxies(names: &[&str]) -> Governor {
    let mut governor = governor();
    governor.replicas.extend(names.iter().map(|name| (id(name), warm_replica(0))));
    (0..100).for_each(|proxy| governor.proxy_connected(Duration::ZERO, with_unknown_tables(proxy, 1.0)));
    governor
}

#[test]
fn leaves_channel_capacity_for_ejections_when_many_proxies_connect() {
    let mut governor = governor_with_unsynchronised_proxies(&["a", "b", "c", "d"]);
    governor.publish(SECOND, PublishTrigger::Tick);
    let synchronised = governor.proxies.values().filter(|proxy| !proxy.unsynchronised).count();
    assert!(synchronised > 20 && synchronised < 100, "{synchronised}");
    assert!(governor.send_queue.entries <= 0.64 * 1000.0, "{}", governor.send_queue.entries);
}

#[test]
fn ejects_draining_replicas_before_faulty_ones_within_the_channel_capacity() {
    let mut governor = governor_with_unsynchronised_proxies(&["a", "b", "c"]);
    for replica in governor.replicas.values_mut() {
        replica.health = HealthState::Ejected { until: SECOND, failures: 1 };
    }
    add_replica(&mut governor, "d", draining_replica(0));
    governor.send_ejections();
    assert_eq!(decisions(&governor), [&Decision::SetEjected { replica: id("d"), ejected: true }]);
    // One entry and the overhead of a message for each proxy whose tables are not known.
    assert_eq!(governor.send_queue.entries, 100.0 * (1.0 + 7.0));
    governor.send_ejections();
    assert_eq!(decisions(&governor).len(), 1, "the other ejections do not fit into the channel");
    governor.send_queue.entries = 0.0;
    governor.send_ejections();
    assert_eq!(decisions(&governor)[1], &Decision::SetEjected { replica: id("a"), ejected: true });
}

/// Guards against entries that are counted, never sent, and so never acknowledged.
#[test]
fn counts_an_ejection_for_the_proxies_that_it_is_sent_to() {
    let names: Vec<String> = (0..100).map(|index| format!("r{index}")).collect();
    let mut governor =
        governor_with_unsynchronised_proxies(&names.iter().map(String::as_str).collect::<Vec<_>>());
    for name in ["r1", "r2"] {
        add_replica(&mut governor, name, draining_replica(0));
    }
    for proxy in 0..100 {
        let held: &[&str] = match proxy {
            0..7 => &["r1", "r2", "r3"],
            7..10 => &["r2"],
            _ => &["r3"],
        };
        let entries: Vec<(&str, f64)> = held.iter().map(|name| (*name, 1.0)).collect();
        add_proxy(&mut governor, proxy, 0, &entries);
    }
    governor.send_ejections();
    // `r1` goes to seven proxies and `r2` to ten, each of which is sent one message.
    assert_eq!(governor.send_queue.entries, 7.0 + 10.0 + 10.0 * 7.0);
    assert_eq!(governor.send_queue.messages, 10.0);
}

#[test]
fn drains_the_queue_by_acknowledgements_and_by_time() {
    let batch = |number| SentBatch { number, entries: 100.0, entries_per_message: 0.0 };
    let channel = || {
        let mut governor = governor();
        governor.send_queue.batches = (1..=4).map(batch).collect();
        governor.send_queue.entries = 400.0;
        governor.send_queue.drained_at = 5 * SECOND;
        governor
    };
    let mut quick = channel();
    quick.record_acknowledgement(4);
    assert_eq!(quick.send_queue.entries, 100.0, "other messages of the same batch may still be queued");
    quick.record_acknowledgement(3);
    assert_eq!(quick.send_queue.entries, 100.0, "an older message tells nothing new");
    let mut slow = channel();
    slow.record_acknowledgement(1);
    assert_eq!(slow.send_queue.entries, 400.0);
    // Without acknowledgements the queue drains over time, at the assured rate.
    slow.publish(6 * SECOND, PublishTrigger::Event);
    assert_eq!(slow.send_queue.entries, 400.0 - 0.2 * 1000.0);
    slow.publish(60 * SECOND, PublishTrigger::Event);
    assert!(slow.send_queue.entries == 0.0 && slow.send_queue.batches.is_empty());
}

#[test]
fn delays_an_urgent_flush_until_a_token_is_refilled() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[("a", 1.0)]);
    add_replica(&mut governor, "a", draining_replica(0));
    use_all_flushes(&mut governor, SECOND);
    governor.publish(SECOND + SECOND / 2, PublishTrigger::Event);
    assert!(governor.pending.is_empty());
    governor.publish(SECOND + REFILL_INTERVAL, PublishTrigger::Event);
    assert_eq!(decisions(&governor)[0], &Decision::SetEjected { replica: id("a"), ejected: true });
}

/// Guards against ordinary flushes that use up the limit, so that the next drain waits.
#[test]
fn leaves_a_token_for_a_drain_when_an_ordinary_flush_is_due() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[("b", 1.0)]);
    add_replica(&mut governor, "a", warm_replica(0));
    add_replica(&mut governor, "b", warm_replica(0));
    let limit = governor.parameters.flush_limit;
    governor.flush_limiter.record_flush(SECOND, &limit);
    governor.publish(SECOND, PublishTrigger::FlushDue);
    assert!(governor.pending.is_empty(), "the last token is left to urgent flushes");
    replica_mut(&mut governor, "b").ready = false;
    governor.publish(SECOND, PublishTrigger::Event);
    assert_eq!(decisions(&governor)[0], &Decision::SetEjected { replica: id("b"), ejected: true });
}

#[test]
fn an_ordinary_flush_that_has_to_wait_stays_due() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[]);
    add_replica(&mut governor, "a", warm_replica(0));
    use_all_flushes(&mut governor, SECOND);
    for (at, is_sent) in [(SECOND, false), (SECOND + 2 * REFILL_INTERVAL, true)] {
        governor.tick();
        let decisions: Vec<Decision> = std::iter::from_fn(|| governor.next_decision(at)).collect();
        let updates_table = |decision: &Decision| matches!(decision, Decision::UpdateTable { .. });
        assert_eq!(decisions.iter().any(updates_table), is_sent, "{at:?}");
    }
}

#[test]
fn counts_an_ejection_once_for_each_default_table() {
    let mut governor = with_draining_replicas(governor_with_large_zone(), 1);
    governor.send_ejections();
    // The contents of default tables are not known, so each of the ten proxies costs one entry and the
    // overhead of a message.
    assert_eq!(governor.send_queue.entries, 10.0 * (1.0 + 7.0));
}

#[test]
fn drains_the_queue_slowly_until_it_is_acknowledged() {
    let mut governor = governor();
    let batch = |number, entries| SentBatch { number, entries, entries_per_message: 0.0 };
    governor.send_queue.batches = [batch(7, 900.0), batch(8, 0.0)].into();
    governor.send_queue.entries = 900.0;
    governor.publish(SECOND / 2, PublishTrigger::Event);
    assert_eq!(governor.send_queue.entries, 900.0 - 0.2 * 500.0);
    governor.record_acknowledgement(7);
    assert_eq!(
        governor.send_queue.entries,
        900.0 - 0.2 * 500.0,
        "other messages of the same batch may still be queued"
    );
    governor.record_acknowledgement(8);
    assert_eq!(governor.send_queue.entries, 0.0, "the batch was sent earlier than the message");
}

/// Guards against ejections that fill the channel, so that the tables of connecting proxies never leave.
#[test]
fn sends_first_tables_before_ejections_in_a_flush() {
    let mut governor = governor_with_unsynchronised_proxies(&["a", "b", "c"]);
    governor.parameters.max_queued_entries = 3000.0;
    add_replica(&mut governor, "d", draining_replica(0));
    governor.publish(SECOND, PublishTrigger::FlushDue);
    assert!(governor.proxies.values().all(|proxy| !proxy.unsynchronised));
    let table = decisions(&governor).iter().position(|one| matches!(one, Decision::AssignTable { .. }));
    let ejection = decisions(&governor).iter().position(|one| matches!(one, Decision::SetEjected { .. }));
    assert!(table < ejection, "{table:?} {ejection:?}");
}

/// Guards against the ejections of a release that fill the channel, although a table costs less.
#[test]
fn replaces_default_tables_if_more_ejections_than_they_cost_do_not_fit() {
    let busy = |drains, max_queued_entries| {
        let mut governor = with_draining_replicas(governor_with_large_zone(), drains);
        governor.parameters.max_queued_entries = max_queued_entries;
        governor.publish(SECOND, PublishTrigger::FlushDue);
        governor
    };
    let follows_default =
        |governor: &Governor| governor.proxies.values().all(|proxy| proxy.default_table.is_some());
    // Ten proxies, each 18 ejections and the overhead of a message: 250 entries.
    assert!(follows_default(&busy(18, 300.0)), "the ejections fit");
    assert!(!follows_default(&busy(18, 225.0)));
    assert!(follows_default(&busy(17, 210.0)), "a table of eight entries costs as much as 17 ejections");
}

#[test]
fn asks_for_acknowledgements_of_first_tables() {
    let mut governor = governor_with_unsynchronised_proxies(&["a", "b", "c"]);
    governor.publish(SECOND, PublishTrigger::Tick);
    assert!(matches!(decisions(&governor).last(), Some(Decision::RequestAcknowledgement(_))));
    let limit = governor.parameters.flush_limit;
    let untouched = FlushLimiter::default();
    assert_eq!(
        governor.flush_limiter.remaining(SECOND, &limit),
        untouched.remaining(SECOND, &limit),
        "first tables are not a flush"
    );
}

/// Guards against a large batch that counts as queued until another one is acknowledged, which it keeps from being sent.
#[test]
fn each_acknowledgement_takes_a_message_out_of_the_oldest_batch() {
    let mut governor = governor();
    let batch = SentBatch { number: 7, entries: 900.0, entries_per_message: 9.0 };
    governor.send_queue.batches = [batch].into();
    governor.send_queue.entries = 900.0;
    governor.send_queue.drained_at = 2 * SECOND;
    (0..60).for_each(|_| governor.record_acknowledgement(7));
    assert_eq!(governor.send_queue.entries, 900.0 - 60.0 * 9.0);
    (0..60).for_each(|_| governor.record_acknowledgement(7));
    assert_eq!(governor.send_queue.entries, 0.0);
}

/// Guards against ejections that are sent one by one, each with the overhead of a message to each proxy.
#[test]
fn few_of_many_ejections_wait_while_the_channel_is_busy() {
    let mut governor = governor_with_unsynchronised_proxies(&["a"]);
    for name in ["b", "c", "d", "e", "f", "g", "h", "i"] {
        add_replica(&mut governor, name, draining_replica(0));
    }
    governor.send_queue.entries = 50.0;
    governor.send_ejections();
    assert!(governor.pending.is_empty(), "{:?}", governor.pending);
    governor.send_queue.entries = 0.0;
    governor.send_ejections();
    assert_eq!(decisions(&governor).len(), 1, "nothing more fits into the empty channel");
}

/// Guards against proxies without a replica that wait for room which the ejections of a release leave.
#[test]
fn a_proxy_without_a_replica_is_sent_its_table_before_ejections() {
    let mut governor = governor();
    ["a", "b"].iter().for_each(|name| add_replica(&mut governor, name, warm_replica(0)));
    add_replica(&mut governor, "c", draining_replica(0));
    add_replica(&mut governor, "d", ReplicaState { ejection_sent: true, ..draining_replica(0) });
    (0..40).for_each(|proxy| add_proxy(&mut governor, proxy, 0, &[("a", 1.0), ("b", 1.0), ("c", 1.0)]));
    add_proxy(&mut governor, 40, 0, &[("d", 1.0)]);
    // The ejection of `c` costs 328 entries of the 480 that are left to ejections, and 240 are left to urgent tables.
    governor.send_queue.entries = 400.0;
    governor.send_queue.drained_at = SECOND;
    governor.publish(SECOND, PublishTrigger::Event);
    let sent = decisions(&governor);
    assert!(matches!(sent[0], Decision::UpdateTable { table: 80, .. }), "{sent:?}");
    assert!(sent.contains(&&Decision::SetEjected { replica: id("c"), ejected: true }), "{sent:?}");
}

/// Guards against proxies on default tables that wait likewise once their zone's replicas have drained.
#[test]
fn a_proxy_whose_default_table_is_exhausted_is_sent_another_before_ejections() {
    let mut governor = governor();
    ["a", "b", "c"].iter().for_each(|name| add_replica(&mut governor, name, warm_replica(0)));
    ["d", "e", "f"].iter().for_each(|name| add_replica(&mut governor, name, warm_replica(1)));
    governor.proxy_connected(SECOND, with_default_table(40, 1.0));
    let in_zone_1 = |proxy| ProxyConnection { zone: 1, ..with_default_table(proxy, 1.0) };
    (0..40).for_each(|proxy| governor.proxy_connected(SECOND, in_zone_1(proxy)));
    for name in ["a", "b", "c"] {
        add_replica(&mut governor, name, ReplicaState { ejection_sent: true, ..draining_replica(0) });
    }
    replica_mut(&mut governor, "d").ready = false;
    // As above, with 41 proxies whose tables are not known.
    governor.send_queue.entries = 400.0;
    governor.send_queue.drained_at = SECOND;
    governor.publish(SECOND, PublishTrigger::Event);
    let sent = decisions(&governor);
    assert!(matches!(sent[0], Decision::UpdateTable { table: 80, .. }), "{sent:?}");
    assert!(sent.contains(&&Decision::SetEjected { replica: id("d"), ejected: true }), "{sent:?}");
}
