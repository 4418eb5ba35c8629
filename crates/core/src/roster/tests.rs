//! Tests of [`super`].

use super::*;

fn entry(id: &str, phase: Phase, started: Option<u64>) -> RosterEntry {
    RosterEntry {
        id: id.into(),
        address: format!("10.0.0.1:{}", id.len()).into(),
        zone: 0,
        weight: 1.0,
        phase,
        started_at: started.map(Duration::from_secs),
        backup: false,
    }
}

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn believes_an_empty_roster_only_after_its_timeout() {
    let mut roster = Roster::new(s(30));
    roster.update(s(1), vec![entry("a", Phase::Ready, None)]);
    assert_eq!(roster.update(s(10), vec![]), RosterChange::Unconfirmed(s(40)));
    assert_eq!(roster.accept_empty(s(39)), None);
    assert!(roster.is_ready(&"a".into()));
    assert_eq!(roster.update(s(20), vec![entry("a", Phase::Ready, None)]), RosterChange::Same);
    assert_eq!(roster.next_deadline(), None, "the source lists replicas again");
    assert_eq!(roster.update(s(50), vec![]), RosterChange::Unconfirmed(s(80)));
    assert_eq!(roster.accept_empty(s(80)), Some(vec![]));
    assert!(!roster.is_ready(&"a".into()));
}

#[test]
fn clamps_a_start_time_ahead_of_the_clock_to_when_it_was_first_listed() {
    let mut roster = Roster::new(s(30));
    roster.update(s(10), vec![entry("a", Phase::Ready, Some(500))]);
    assert_eq!(roster.get(&"a".into()).unwrap().started_at, Some(s(10)));
    assert_eq!(roster.update(s(11), vec![entry("a", Phase::Ready, Some(500))]), RosterChange::Same);
}

#[test]
fn reports_a_new_process_under_an_old_name() {
    let mut roster = Roster::new(s(30));
    roster.update(s(10), vec![entry("a", Phase::Ready, Some(1))]);
    let RosterChange::Changed(listed) = roster.update(s(20), vec![entry("a", Phase::Ready, Some(15))]) else {
        panic!("the start time differs")
    };
    assert_eq!(listed[0].started_at, Some(s(15)));
}

#[test]
fn finds_the_replica_at_an_address_that_is_not_gone() {
    let mut roster = Roster::new(s(30));
    roster.update(s(1), vec![entry("b", Phase::Ready, None)]);
    roster.update(s(2), vec![entry("a", Phase::Ready, None)]);
    assert_eq!(roster.replica_at("10.0.0.1:1"), Some(&"a".into()));
    roster.forget_gone(|_| false);
    assert!(roster.get(&"b".into()).is_none());
}
