//! Who polls, what each holds, and whose question waits; without I/O. `R` is whatever a question is answered
//! through.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::ProxyId;
use wrenthread_core::fleet::StreamId;
use wrenthread_core::history::{History, HistoryEntry};
use wrenthread_core::table_versions::{self, Delta, Digest};

/// A proxy is taken for gone when it has asked nothing for so long after its last question was answered.
const LOST_AFTER: Duration = Duration::from_secs(15);
/// Report numbers that are remembered of each proxy.
const NUMBERS: usize = 64;

/// A question that waits.
#[derive(Debug)]
struct Waiting<R> {
    reply: R,
    until: Duration,
}

#[derive(Debug)]
struct Poller<R> {
    name: Arc<str>,
    held: Option<(u64, Digest)>,
    /// The digest that its last question named, whether it is known here or not.
    said: Option<Digest>,
    waiting: Option<Waiting<R>>,
    due: Duration,
    numbers: VecDeque<u64>,
}

/// What a question is answered by.
#[derive(Debug, Clone, PartialEq)]
pub enum Told {
    Whole(HistoryEntry),
    Delta(u64, Delta),
    Unchanged(u64, Digest),
    /// A later question of the same session took its place.
    Superseded,
    /// The session is over.
    Over,
}

/// What became due.
#[derive(Debug, PartialEq)]
pub enum Due<R> {
    /// A question has waited for as long as it may.
    Waited(R, Told),
    /// A proxy has not asked for too long.
    Lost(StreamId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no such session here: join again")]
pub struct NoSession;

#[derive(Debug)]
pub struct Polls<R> {
    sessions: BTreeMap<StreamId, Poller<R>>,
    due: BTreeSet<(Duration, StreamId)>,
}

impl<R> Default for Polls<R> {
    fn default() -> Self {
        Polls { sessions: BTreeMap::new(), due: BTreeSet::new() }
    }
}

/// What a question came to.
#[derive(Debug, PartialEq)]
pub struct Asked<R> {
    /// A version that the proxy holds, and so acknowledges.
    pub acked: Option<u64>,
    /// The question that was waiting before, to be answered as superseded.
    pub superseded: Option<R>,
}

impl<R> Polls<R> {
    /// A proxy has joined; the number of its stream is its session's.
    pub fn opened(&mut self, now: Duration, session: StreamId, name: Arc<str>) {
        let due = now + LOST_AFTER;
        let poller = Poller { name, held: None, said: None, waiting: None, due, numbers: VecDeque::new() };
        self.sessions.insert(session, poller);
        self.due.insert((due, session));
    }

    fn set_due(&mut self, session: StreamId, due: Duration) {
        if let Some(poller) = self.sessions.get_mut(&session) {
            self.due.remove(&(poller.due, session));
            poller.due = due;
            self.due.insert((due, session));
        }
    }

    /// A question: what differs from `held`, the version and digest that the proxy says it holds? It waits
    /// here until [`Polls::flush`] has something, or `wait` is over.
    ///
    /// What is said to be held counts only if it is what was told under that version: a proxy that holds
    /// something else of the same number (a fault of somebody's) is told the whole.
    #[allow(clippy::too_many_arguments)]
    pub fn asked(
        &mut self,
        now: Duration,
        session: StreamId,
        number: ProxyId,
        held: Option<(u64, Digest)>,
        wait: Duration,
        history: &History,
        reply: R,
    ) -> Result<Asked<R>, (NoSession, R)> {
        let Some(poller) = self.sessions.get_mut(&session) else { return Err((NoSession, reply)) };
        let known = held.filter(|(version, digest)| history.held(number, *version, digest).is_some());
        // A version of another life is known by its content alone. One that is kept here never is: were
        // digests alike by somebody's fault, a proxy would stay on an old table for ever.
        poller.said = held.filter(|_| known.is_none()).map(|(_, digest)| digest);
        let newest = history.newest(number).filter(|newest| poller.said == Some(newest.digest));
        poller.held = known.or(newest.map(|newest| (newest.version, newest.digest)));
        let acked = poller.held.map(|(version, _)| version);
        let superseded = poller.waiting.replace(Waiting { reply, until: now + wait }).map(|old| old.reply);
        self.set_due(session, now + wait);
        Ok(Asked { acked, superseded })
    }

    pub fn sessions(&self) -> Vec<StreamId> {
        self.sessions.keys().copied().collect()
    }

    /// Whether a proxy's question waits.
    pub fn waits(&self, session: StreamId) -> bool {
        self.sessions.get(&session).is_some_and(|poller| poller.waiting.is_some())
    }

    /// Answers a waiting question if the newest version is not what is held: through what, by what, with how
    /// many lines.
    pub fn flush(
        &mut self,
        now: Duration,
        session: StreamId,
        number: ProxyId,
        history: &History,
    ) -> Option<(R, Told, usize)> {
        let newest = history.newest(number)?;
        let poller = self.sessions.get_mut(&session)?;
        let base = poller.held.and_then(|(version, digest)| history.held(number, version, &digest));
        // Who comes back to another life with the very content that this one arrives at holds it already.
        let returned = poller.held.is_none() && poller.said == Some(newest.digest);
        if returned || base.is_some_and(|base| base.state == newest.state) {
            poller.held = Some((newest.version, newest.digest));
            return None;
        }
        let waiting = poller.waiting.take()?;
        let whole_lines = newest.state.entry_count().max(1);
        let (told, lines) = match base {
            Some(base) => {
                let delta = table_versions::delta(&base.state, base.digest, &newest.state, newest.digest);
                let lines = delta.changes.values().map(|change| match change {
                    table_versions::TableChange::UseDefaultTable => 1,
                    table_versions::TableChange::Entries { changed, removed, .. } => {
                        1 + changed.len() + removed.len()
                    }
                });
                (Told::Delta(newest.version, delta.clone()), lines.sum())
            }
            None => (Told::Whole(newest.clone()), whole_lines),
        };
        self.set_due(session, now + LOST_AFTER);
        Some((waiting.reply, told, lines))
    }

    /// Whether a report of this number is new.
    pub fn reported(&mut self, session: StreamId, number: u64) -> Result<bool, NoSession> {
        let poller = self.sessions.get_mut(&session).ok_or(NoSession)?;
        if poller.numbers.contains(&number) {
            return Ok(false);
        }
        if poller.numbers.len() == NUMBERS {
            poller.numbers.pop_front();
        }
        poller.numbers.push_back(number);
        Ok(true)
    }

    pub fn name(&self, session: StreamId) -> Option<&Arc<str>> {
        self.sessions.get(&session).map(|poller| &poller.name)
    }

    /// A session is over; its waiting question, if any.
    pub fn close(&mut self, session: StreamId) -> Option<R> {
        let poller = self.sessions.remove(&session)?;
        self.due.remove(&(poller.due, session));
        poller.waiting.map(|waiting| waiting.reply)
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|(due, _)| *due)
    }

    /// What is due now, one after another.
    pub fn due(&mut self, now: Duration) -> Option<Due<R>> {
        let (due, session) = *self.due.first()?;
        if due > now {
            return None;
        }
        let poller = self.sessions.get_mut(&session)?;
        match poller.waiting.take_if(|waiting| waiting.until <= now) {
            Some(waiting) => {
                let (version, digest) = poller.held.unwrap_or((0, [0; 32]));
                self.set_due(session, now + LOST_AFTER);
                Some(Due::Waited(waiting.reply, Told::Unchanged(version, digest)))
            }
            None => {
                self.close(session);
                Some(Due::Lost(session))
            }
        }
    }

    /// All sessions' waiting questions, as the governor stops.
    pub fn stop(&mut self) -> Vec<R> {
        self.due.clear();
        std::mem::take(&mut self.sessions).into_values().filter_map(|one| Some(one.waiting?.reply)).collect()
    }

    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use wrenthread::types::RetryPolicy;
    use wrenthread_core::table_versions::{MILLION, PublishedEntry, PublishedState, PublishedTable};

    const fn s(seconds: u64) -> Duration {
        Duration::from_secs(seconds)
    }

    fn version(version: u64, weight: u32) -> HistoryEntry {
        let line = PublishedEntry { address: "a:1".into(), zone: 0, weight };
        let lines = [("a".into(), line)].into();
        let said = PublishedTable {
            entries: lines,
            admission_millionths: MILLION,
            retry_policy: RetryPolicy::Never,
        };
        let whole = PublishedState { classes: vec![Some(said)] };
        HistoryEntry { version, published_at: s(0), digest: whole.digest(), state: Arc::new(whole) }
    }

    fn polls(versions: &[(u64, u32)]) -> (Polls<u32>, History) {
        let (mut polls, mut history) = (Polls::default(), History::new(2, 1000));
        polls.opened(s(0), 9, "p".into());
        versions.iter().for_each(|(at, weight)| history.push(0, version(*at, *weight)));
        (polls, history)
    }

    fn held(at: u64, weight: u32) -> Option<(u64, Digest)> {
        Some((at, version(at, weight).digest))
    }

    #[test]
    fn who_holds_nothing_is_told_the_whole_and_who_holds_a_kept_version_a_delta() {
        let (mut polls, mut history) = polls(&[(1, 5)]);
        polls.asked(s(1), 9, 0, None, s(30), &history, 1).unwrap();
        let (reply, told, _) = polls.flush(s(1), 9, 0, &history).unwrap();
        assert_eq!((reply, told), (1, Told::Whole(version(1, 5))));
        assert!(polls.flush(s(1), 9, 0, &history).is_none(), "nobody asks");
        let asked = polls.asked(s(2), 9, 0, held(1, 5), s(30), &history, 2).unwrap();
        assert_eq!(asked.acked, Some(1));
        assert!(polls.flush(s(2), 9, 0, &history).is_none(), "nothing new");
        history.push(0, version(2, 6));
        let (_, told, lines) = polls.flush(s(3), 9, 0, &history).unwrap();
        assert!(matches!(told, Told::Delta(2, _)) && lines == 2);
        // It missed that one and a later one, which pushed its version out.
        history.push(0, version(3, 7));
        polls.asked(s(4), 9, 0, held(1, 5), s(30), &history, 3).unwrap();
        assert!(matches!(polls.flush(s(4), 9, 0, &history), Some((3, Told::Whole(_), _))));
    }

    #[test]
    fn a_digest_that_does_not_belong_to_its_version_is_no_base() {
        let (mut polls, history) = polls(&[(1, 5), (2, 6)]);
        let asked = polls.asked(s(1), 9, 0, held(1, 77), s(30), &history, 1).unwrap();
        assert_eq!(asked.acked, None);
        assert!(matches!(polls.flush(s(1), 9, 0, &history), Some((_, Told::Whole(_), _))));
        // What has the newest content holds the newest version, whatever number it knows it by.
        let asked = polls.asked(s(2), 9, 0, held(1, 6), s(30), &history, 2).unwrap();
        assert_eq!(asked.acked, Some(2));
    }

    #[test]
    fn content_that_this_life_comes_to_later_is_not_sent_to_who_holds_it() {
        let (mut polls, mut history) = polls(&[(1, 5)]);
        let asked = polls.asked(s(1), 9, 0, held(0, 6), s(30), &history, 1).unwrap();
        assert_eq!(asked.acked, None);
        history.push(0, version(2, 6));
        assert!(polls.flush(s(2), 9, 0, &history).is_none() && polls.waits(9));
    }

    #[test]
    fn digests_that_collide_by_a_fault_leave_nobody_on_an_old_table() {
        let (mut polls, mut history) = polls(&[]);
        let collide = |at, weight| HistoryEntry { digest: [7; 32], ..version(at, weight) };
        history.push(0, collide(1, 5));
        history.push(0, collide(2, 6));
        let asked = polls.asked(s(1), 9, 0, Some((1, [7; 32])), s(30), &history, 1).unwrap();
        assert_eq!(asked.acked, Some(1));
        assert!(matches!(polls.flush(s(1), 9, 0, &history), Some((1, Told::Delta(2, _), _))));
    }

    #[test]
    fn a_question_waits_as_long_as_it_may_and_a_later_one_takes_its_place() {
        let (mut polls, history) = polls(&[(1, 5)]);
        polls.asked(s(1), 9, 0, held(1, 5), s(30), &history, 1).unwrap();
        let asked = polls.asked(s(2), 9, 0, held(1, 5), s(10), &history, 2).unwrap();
        assert_eq!(asked.superseded, Some(1));
        assert_eq!(polls.next_due(), Some(s(12)));
        assert!(polls.due(s(11)).is_none());
        assert_eq!(polls.due(s(12)), Some(Due::Waited(2, Told::Unchanged(1, version(1, 5).digest))));
        assert!(polls.due(s(26)).is_none());
        assert_eq!(polls.due(s(27)), Some(Due::Lost(9)));
        assert!(polls.is_empty() && polls.next_due().is_none());
        assert_eq!(polls.asked(s(28), 9, 0, None, s(1), &history, 3), Err((NoSession, 3)));
    }

    #[test]
    fn a_report_number_counts_once() {
        let (mut polls, _) = polls(&[]);
        assert_eq!(polls.reported(9, 4), Ok(true));
        assert_eq!(polls.reported(9, 4), Ok(false));
        assert_eq!(polls.reported(8, 4), Err(NoSession));
        assert!((100..300).all(|number| polls.reported(9, number) == Ok(true)));
        assert_eq!(polls.sessions[&9].numbers.len(), NUMBERS, "and what is remembered is bounded");
    }
}
