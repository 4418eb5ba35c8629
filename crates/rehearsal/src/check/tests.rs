//! Tests of `check`.

use super::*;
use crate::event_log::{End, Listed};

fn day() -> Day {
    wrenthread_settings::day::parse("d.star", "day(seconds = 10, halls = ['a'], bare_for = 1)").unwrap()
}

fn tape(entries: Vec<(f64, What)>) -> Vec<Entry> {
    entries.into_iter().map(|(at, what)| Entry { at, what }).collect()
}

fn roster(ready: &[bool]) -> What {
    let listed = ready.iter().enumerate().map(|(worker, ready)| Listed { worker, ready: *ready });
    What::Roster { listed: listed.collect() }
}

fn order(relay: usize, lines: Vec<usize>) -> What {
    let tables = BTreeMap::from([("plate-match".to_string(), (lines, 1.0))]);
    What::Order { relay, governor: 0, nonce: "n".into(), lines: 1, tables }
}

#[test]
fn a_bare_relay_is_seen_while_it_is_joined_and_a_warm_worker_is_ready() {
    let came = || What::Came { flow: 1, relay: 0, group: 0 };
    let day = day();
    let bare_for = |extra: What| {
        bare(
            &day,
            &tape(vec![
                (0.0, roster(&[true])),
                (0.0, What::Joined { relay: 0, governor: 0 }),
                (1.0, order(0, vec![])),
                (1.5, extra),
                (3.0, came()),
            ]),
        )
    };
    assert_eq!(bare_for(came()).len(), 1);
    assert!(bare_for(order(0, vec![0])).is_empty());
    assert!(bare_for(What::Broken { relay: 0 }).is_empty());
    assert!(bare_for(roster(&[false])).is_empty());
    assert!(bare_for(What::Started { worker: 0, cold: true }).is_empty());
}

#[test]
fn an_effect_twice_is_seen_and_retriable_ones_are_none() {
    let effect = |worker, group| What::Effect { flow: 5, worker, group };
    assert_eq!(twice(&tape(vec![(1.0, effect(0, 2)), (2.0, effect(1, 2))])).len(), 1);
    assert!(twice(&tape(vec![(1.0, effect(0, 0)), (2.0, effect(1, 0))])).is_empty());
}

#[test]
fn a_try_at_a_drained_worker_is_seen_after_the_grace_only() {
    let tried = What::Try { flow: 1, relay: 0, worker: 1 };
    let at = |at, joined| {
        drains(
            &day(),
            &tape(vec![
                (0.0, roster(&[true, true])),
                (1.0, roster(&[true, false])),
                (joined, What::Joined { relay: 0, governor: 0 }),
                (at, tried.clone()),
            ]),
        )
    };
    assert_eq!(at(4.5, 1.2).len(), 1);
    assert!(at(3.5, 1.2).is_empty());
    assert!(at(4.5, 2.0).is_empty(), "joined later");
    let back = tape(vec![
        (0.0, roster(&[true, false])),
        (0.0, What::Joined { relay: 0, governor: 0 }),
        (5.0, roster(&[true, true])),
        (9.0, tried.clone()),
    ]);
    assert!(drains(&day(), &back).is_empty());
}

#[test]
fn a_cold_worker_pushed_over_is_seen() {
    let day = day();
    let flows = |count: u64, cold| {
        let mut entries = vec![(0.0, What::Started { worker: 0, cold })];
        entries
            .extend((0..count).map(|flow| (1.0 + flow as f64 / count as f64, What::Got { flow, worker: 0 })));
        super::cold(&day, &tape(entries))
    };
    assert!(flows(9, true).is_empty());
    assert!(!flows(40, true).is_empty());
    assert!(flows(40, false).is_empty());
}

#[test]
fn a_flood_of_lines_or_messages_is_seen() {
    let big = What::Order { relay: 0, governor: 0, nonce: "n".into(), lines: 9000, tables: BTreeMap::new() };
    assert_eq!(queue(&tape(vec![(0.0, big)])).len(), 1);
    let many = |step: f64| (0..41).map(|n| (f64::from(n) * step, order(0, vec![0]))).collect();
    assert_eq!(queue(&tape(many(0.1))).len(), 1);
    assert!(queue(&tape(many(0.5))).is_empty());
}

#[test]
fn flows_and_orders_without_an_end_are_seen() {
    let came = What::Came { flow: 1, relay: 0, group: 1 };
    let ended = What::Ended { flow: 1, end: End::Dropped };
    assert!(ends(&tape(vec![(0.0, came.clone()), (2.5, ended.clone())])).is_empty());
    assert_eq!(ends(&tape(vec![(0.0, came.clone()), (3.0, ended.clone())])).len(), 1);
    assert_eq!(ends(&tape(vec![(0.0, came.clone())])).len(), 1);
    assert_eq!(ends(&tape(vec![(0.0, came), (1.0, ended.clone()), (1.0, ended)])).len(), 1);
    let answer = What::Answer { relay: 0, nonce: "n".into(), taken: true };
    assert!(answers(&tape(vec![(0.0, order(0, vec![])), (0.1, answer.clone())])).is_empty());
    assert!(answers(&tape(vec![(0.0, order(0, vec![])), (0.1, What::Broken { relay: 0 })])).is_empty());
    assert_eq!(answers(&tape(vec![(0.0, order(0, vec![]))])).len(), 1);
    assert_eq!(answers(&tape(vec![(0.1, answer)])).len(), 1);
}

#[test]
fn a_relay_without_care_and_orders_of_another_or_an_older_life_are_seen() {
    let fleet = What::Fleet { workers: vec![0], relays: vec![(0, vec![])] };
    let came = What::Came { flow: 1, relay: 0, group: 0 };
    let alone = |up, at| {
        care(
            &day(),
            &tape(vec![(0.0, fleet.clone()), (1.0, What::Governor { governor: 1, up }), (at, came.clone())]),
        )
    };
    assert_eq!((alone(true, 9.0).len(), alone(true, 4.0).len(), alone(false, 9.0).len()), (1, 0, 0));
    let with = |governor| What::Joined { relay: 0, governor };
    let order = |governor, nonce: &str| What::Order {
        relay: 0,
        governor,
        nonce: nonce.into(),
        lines: 1,
        tables: BTreeMap::new(),
    };
    let heeds = |then: Vec<What>| fenced(&tape(then.into_iter().map(|what| (1.0, what)).collect())).len();
    assert_eq!(heeds(vec![with(0), order(0, "b.1"), order(0, "c.1")]), 0);
    assert_eq!(heeds(vec![with(0), order(0, "b.1"), order(0, "a.9")]), 1);
    assert_eq!(heeds(vec![with(0), order(1, "b.1")]), 1);
}
