use super::*;
use wrenthread::types::RetryPolicy;
use wrenthread_core::table_versions::{MILLION, PublishedEntry, PublishedState, PublishedTable};

const SESSION: StreamId = 9;
const PROXY: ProxyId = 0;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn version(version: u64, weight: u32) -> HistoryEntry {
    let entry = PublishedEntry { address: "a:1".into(), zone: 0, weight };
    let table = PublishedTable {
        entries: [("a".into(), entry)].into(),
        admission_millionths: MILLION,
        retry_policy: RetryPolicy::Never,
    };
    let state = PublishedState { classes: vec![Some(table)] };
    HistoryEntry { version, published_at: s(0), digest: state.digest(), state: Arc::new(state) }
}

/// One open session, and a history of versions, each given by its number and the weight of its only entry.
fn sessions(versions: &[(u64, u32)]) -> (Sessions<u32>, History) {
    let (mut sessions, mut history) = (Sessions::default(), History::new(2, 1000));
    sessions.open(s(0), SESSION, "p".into());
    versions.iter().for_each(|(number, weight)| history.push(PROXY, version(*number, *weight)));
    (sessions, history)
}

fn held(number: u64, weight: u32) -> Option<HeldVersion> {
    Some(HeldVersion { version: number, digest: version(number, weight).digest })
}

fn poll(held: Option<HeldVersion>, wait: Duration, reply: u32) -> Poll<u32> {
    Poll { session: SESSION, proxy: PROXY, held, wait, reply }
}

#[test]
fn complete_tables_are_sent_unless_the_held_version_is_retained() {
    let (mut sessions, mut history) = sessions(&[(1, 5)]);
    sessions.poll(s(1), poll(None, s(30), 1), &history).unwrap();
    let answer = sessions.answer_pending(s(1), SESSION, PROXY, &history).unwrap();
    assert_eq!((answer.reply, answer.outcome), (1, PollOutcome::Complete(version(1, 5))));
    assert!(sessions.answer_pending(s(1), SESSION, PROXY, &history).is_none(), "no poll is pending");
    let accepted = sessions.poll(s(2), poll(held(1, 5), s(30), 2), &history).unwrap();
    assert_eq!(accepted.acknowledged_version, Some(1));
    assert!(sessions.answer_pending(s(2), SESSION, PROXY, &history).is_none(), "nothing new");
    history.push(PROXY, version(2, 6));
    let answer = sessions.answer_pending(s(3), SESSION, PROXY, &history).unwrap();
    assert!(matches!(answer.outcome, PollOutcome::Delta { version: 2, .. }) && answer.entries == 2);
    // The proxy missed version 2 and a later one, with which its own version is no longer retained.
    history.push(PROXY, version(3, 7));
    sessions.poll(s(4), poll(held(1, 5), s(30), 3), &history).unwrap();
    let answer = sessions.answer_pending(s(4), SESSION, PROXY, &history).unwrap();
    assert!(matches!((answer.reply, answer.outcome), (3, PollOutcome::Complete(_))));
}

#[test]
fn a_version_with_a_wrong_digest_is_not_used_as_a_base() {
    let (mut sessions, history) = sessions(&[(1, 5), (2, 6)]);
    let accepted = sessions.poll(s(1), poll(held(1, 77), s(30), 1), &history).unwrap();
    assert_eq!(accepted.acknowledged_version, None);
    let answer = sessions.answer_pending(s(1), SESSION, PROXY, &history).unwrap();
    assert!(matches!(answer.outcome, PollOutcome::Complete(_)));
    // A proxy with the newest content holds the newest version, under whatever number.
    let accepted = sessions.poll(s(2), poll(held(1, 6), s(30), 2), &history).unwrap();
    assert_eq!(accepted.acknowledged_version, Some(2));
}

#[test]
fn content_held_from_another_epoch_is_not_sent_again() {
    let (mut sessions, mut history) = sessions(&[(1, 5)]);
    let accepted = sessions.poll(s(1), poll(held(0, 6), s(30), 1), &history).unwrap();
    assert_eq!(accepted.acknowledged_version, None);
    history.push(PROXY, version(2, 6));
    assert!(sessions.answer_pending(s(2), SESSION, PROXY, &history).is_none());
    assert!(sessions.has_pending_poll(SESSION));
}

#[test]
fn a_digest_collision_does_not_keep_a_proxy_on_an_old_table() {
    let (mut sessions, mut history) = sessions(&[]);
    let colliding = |number, weight| HistoryEntry { digest: [7; 32], ..version(number, weight) };
    history.push(PROXY, colliding(1, 5));
    history.push(PROXY, colliding(2, 6));
    let held = Some(HeldVersion { version: 1, digest: [7; 32] });
    let accepted = sessions.poll(s(1), poll(held, s(30), 1), &history).unwrap();
    assert_eq!(accepted.acknowledged_version, Some(1));
    let answer = sessions.answer_pending(s(1), SESSION, PROXY, &history).unwrap();
    assert!(matches!((answer.reply, answer.outcome), (1, PollOutcome::Delta { version: 2, .. })));
}

#[test]
fn a_poll_waits_until_its_deadline_and_is_superseded_by_a_later_one() {
    let (mut sessions, history) = sessions(&[(1, 5)]);
    sessions.poll(s(1), poll(held(1, 5), s(30), 1), &history).unwrap();
    let accepted = sessions.poll(s(2), poll(held(1, 5), s(10), 2), &history).unwrap();
    assert_eq!(accepted.superseded, Some(1));
    assert_eq!(sessions.next_deadline(), Some(s(12)));
    assert!(sessions.next_expired(s(11)).is_none());
    let expired = sessions.next_expired(s(12));
    assert_eq!(
        expired,
        Some(Expired::Poll { reply: 2, outcome: PollOutcome::Unchanged { held: held(1, 5) } })
    );
    assert!(sessions.next_expired(s(26)).is_none());
    assert_eq!(sessions.next_expired(s(27)), Some(Expired::Session(SESSION)));
    assert!(sessions.is_empty() && sessions.next_deadline().is_none());
    let refused = sessions.poll(s(28), poll(None, s(1), 3), &history);
    assert_eq!(refused, Err((UnknownSessionError, 3)));
}

#[test]
fn detects_duplicate_report_numbers() {
    let (mut sessions, _) = sessions(&[]);
    assert_eq!(sessions.record_report_number(SESSION, 4), Ok(ReportNumber::New));
    assert_eq!(sessions.record_report_number(SESSION, 4), Ok(ReportNumber::Duplicate));
    assert_eq!(sessions.record_report_number(8, 4), Err(UnknownSessionError));
    assert!(
        (100..300).all(|number| { sessions.record_report_number(SESSION, number) == Ok(ReportNumber::New) })
    );
    let remembered = sessions.sessions[&SESSION].report_numbers.len();
    assert_eq!(remembered, MAX_REPORT_NUMBERS, "the number of remembered report numbers is bounded");
}

/// Guards against a whole fleet that has to join again because the governor was stalled for longer than the session
/// timeout, so that polls that had arrived in time were still unread.
#[test]
fn a_session_deadline_is_extended_once_after_a_stall_of_the_governor() {
    let (mut sessions, history) = sessions(&[(1, 5)]);
    assert!(sessions.next_expired(s(40)).is_none(), "a poll may be unread");
    sessions.poll(s(40), poll(held(1, 5), s(10), 1), &history).unwrap();
    assert_eq!(sessions.len(), 1);
    // A session without a poll after that ends, even if the governor is late again.
    assert!(matches!(sessions.next_expired(s(50)), Some(Expired::Poll { .. })));
    assert!(sessions.next_expired(s(70)).is_none());
    assert_eq!(sessions.next_expired(s(90)), Some(Expired::Session(SESSION)));
}
