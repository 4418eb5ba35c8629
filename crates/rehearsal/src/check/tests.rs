//! Tests of `check`.

use super::*;
use crate::event_log::{RequestOutcome, RosterEntry};

fn day() -> Day {
    wrenthread_settings::day::parse("d.star", "day(seconds = 10, halls = ['a'], bare_for = 1)").unwrap()
}

fn event_log(entries: Vec<(f64, Event)>) -> Vec<Entry> {
    entries.into_iter().map(|(at, event)| Entry { at, event }).collect()
}

fn roster(ready: &[bool]) -> Event {
    let roster_entries =
        ready.iter().enumerate().map(|(replica, ready)| RosterEntry { replica, ready: *ready });
    Event::Roster { roster_entries: roster_entries.collect() }
}

fn table_update(proxy: usize, entries: Vec<usize>) -> Event {
    let tables = BTreeMap::from([("plate-match".to_string(), (entries, 1.0))]);
    Event::TableUpdate { proxy, governor: 0, nonce: "n".into(), entries: 1, tables }
}

#[test]
fn finds_empty_tables_of_joined_proxies_while_a_warm_replica_is_ready() {
    let arrived = || Event::RequestArrived { request: 1, proxy: 0, class: 0 };
    let day = day();
    let violations = |extra: Event| {
        empty_tables(
            &day,
            &event_log(vec![
                (0.0, roster(&[true])),
                (0.0, Event::Joined { proxy: 0, governor: 0 }),
                (1.0, table_update(0, vec![])),
                (1.5, extra),
                (3.0, arrived()),
            ]),
        )
    };
    assert_eq!(violations(arrived()).len(), 1);
    assert!(violations(table_update(0, vec![0])).is_empty());
    assert!(violations(Event::StreamBroken { proxy: 0 }).is_empty());
    assert!(violations(roster(&[false])).is_empty());
    assert!(violations(Event::Started { replica: 0, cold: true }).is_empty());
}

#[test]
fn finds_repeated_effects_of_non_retriable_requests_only() {
    let effect = |replica, class| Event::EffectApplied { request: 5, replica, class };
    assert_eq!(repeated_effects(&event_log(vec![(1.0, effect(0, 2)), (2.0, effect(1, 2))])).len(), 1);
    assert!(repeated_effects(&event_log(vec![(1.0, effect(0, 0)), (2.0, effect(1, 0))])).is_empty());
}

#[test]
fn finds_attempts_at_drained_replicas_after_the_grace_period() {
    let sent = Event::AttemptSent { request: 1, proxy: 0, replica: 1 };
    let at = |at, joined| {
        drained_replica_attempts(
            &day(),
            &event_log(vec![
                (0.0, roster(&[true, true])),
                (1.0, roster(&[true, false])),
                (joined, Event::Joined { proxy: 0, governor: 0 }),
                (at, sent.clone()),
            ]),
        )
    };
    assert_eq!(at(4.5, 1.2).len(), 1);
    assert!(at(3.5, 1.2).is_empty());
    assert!(at(4.5, 2.0).is_empty(), "joined later");
    let back = event_log(vec![
        (0.0, roster(&[true, false])),
        (0.0, Event::Joined { proxy: 0, governor: 0 }),
        (5.0, roster(&[true, true])),
        (9.0, sent.clone()),
    ]);
    assert!(drained_replica_attempts(&day(), &back).is_empty());
}

#[test]
fn finds_overloaded_cold_replicas() {
    let day = day();
    let requests = |count: u64, cold| {
        let mut entries = vec![(0.0, Event::Started { replica: 0, cold })];
        entries.extend((0..count).map(|request| {
            (1.0 + request as f64 / count as f64, Event::AttemptReceived { request, replica: 0 })
        }));
        super::cold_replica_overloads(&day, &event_log(entries))
    };
    assert!(requests(9, true).is_empty());
    assert!(!requests(40, true).is_empty());
    assert!(requests(40, false).is_empty());
}

#[test]
fn finds_too_many_entries_or_messages() {
    let big = Event::TableUpdate {
        proxy: 0,
        governor: 0,
        nonce: "n".into(),
        entries: 9000,
        tables: BTreeMap::new(),
    };
    assert_eq!(exceeded_send_limits(&event_log(vec![(0.0, big)])).len(), 1);
    let many = |step: f64| (0..41).map(|n| (f64::from(n) * step, table_update(0, vec![0]))).collect();
    assert_eq!(exceeded_send_limits(&event_log(many(0.1))).len(), 1);
    assert!(exceeded_send_limits(&event_log(many(0.5))).is_empty());
}

#[test]
fn finds_unended_requests_and_unanswered_updates() {
    let arrived = Event::RequestArrived { request: 1, proxy: 0, class: 1 };
    let ended = Event::RequestEnded { request: 1, outcome: RequestOutcome::Failed };
    assert!(unended_requests(&event_log(vec![(0.0, arrived.clone()), (2.5, ended.clone())])).is_empty());
    assert_eq!(unended_requests(&event_log(vec![(0.0, arrived.clone()), (3.0, ended.clone())])).len(), 1);
    assert_eq!(unended_requests(&event_log(vec![(0.0, arrived.clone())])).len(), 1);
    assert_eq!(
        unended_requests(&event_log(vec![(0.0, arrived), (1.0, ended.clone()), (1.0, ended)])).len(),
        1
    );
    let answer = Event::UpdateAnswered { proxy: 0, nonce: "n".into(), accepted: true };
    assert!(
        unanswered_updates(&event_log(vec![(0.0, table_update(0, vec![])), (0.1, answer.clone())]))
            .is_empty()
    );
    assert!(
        unanswered_updates(&event_log(vec![
            (0.0, table_update(0, vec![])),
            (0.1, Event::StreamBroken { proxy: 0 })
        ]))
        .is_empty()
    );
    assert_eq!(unanswered_updates(&event_log(vec![(0.0, table_update(0, vec![]))])).len(), 1);
    assert_eq!(unanswered_updates(&event_log(vec![(0.1, answer)])).len(), 1);
}

#[test]
fn finds_unattended_proxies_and_stale_updates() {
    let fleet = Event::Fleet { replicas: vec![0], proxies: vec![(0, vec![])] };
    let arrived = Event::RequestArrived { request: 1, proxy: 0, class: 0 };
    let unattended = |up, at| {
        unattended_proxies(
            &day(),
            &event_log(vec![
                (0.0, fleet.clone()),
                (1.0, Event::Governor { governor: 1, up }),
                (at, arrived.clone()),
            ]),
        )
    };
    assert_eq!(
        (unattended(true, 9.0).len(), unattended(true, 4.0).len(), unattended(false, 9.0).len()),
        (1, 0, 0)
    );
    let with = |governor| Event::Joined { proxy: 0, governor };
    let table_update = |governor, nonce: &str| Event::TableUpdate {
        proxy: 0,
        governor,
        nonce: nonce.into(),
        entries: 1,
        tables: BTreeMap::new(),
    };
    let stale_update_count = |then: Vec<Event>| {
        stale_updates(&event_log(then.into_iter().map(|event| (1.0, event)).collect())).len()
    };
    assert_eq!(stale_update_count(vec![with(0), table_update(0, "b.1"), table_update(0, "c.1")]), 0);
    assert_eq!(stale_update_count(vec![with(0), table_update(0, "b.1"), table_update(0, "a.9")]), 1);
    assert_eq!(stale_update_count(vec![with(0), table_update(1, "b.1")]), 1);
}
