//! The sessions of proxies: what each holds and whose poll is pending; without I/O.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::ProxyId;
use wrenthread_core::fleet::StreamId;
use wrenthread_core::history::{History, HistoryEntry};
use wrenthread_core::table_versions::{self, Delta, Digest, TableChange};

/// A proxy is taken for gone when it has not polled for so long after its last poll was answered.
const SESSION_TIMEOUT: Duration = Duration::from_secs(15);
/// Where a session's end is noticed later than this, the governor stood still, and polls that came meanwhile are unread.
const STANDSTILL: Duration = Duration::from_secs(1);
/// What sessions have then, once, to be heard.
const STANDSTILL_GRACE: Duration = Duration::from_secs(2);
/// Report numbers that are remembered of each proxy.
const MAX_REPORT_NUMBERS: usize = 64;

/// A version of the tables as a proxy holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldVersion {
    /// The version; 0 for one of another epoch.
    pub version: u64,
    /// The digest of its content.
    pub digest: Digest,
}

/// A poll that waits for a change.
#[derive(Debug)]
struct PendingPoll<R> {
    reply: R,
    deadline: Duration,
}

/// The session of one proxy.
#[derive(Debug)]
struct Session<R> {
    proxy: Arc<str>,
    held: Option<HeldVersion>,
    /// The digest that its last poll named, if that is not of a version retained here.
    unknown_digest: Option<Digest>,
    pending: Option<PendingPoll<R>>,
    deadline: Duration,
    /// Its deadline was put off since its last poll, as the governor had stood still.
    deferred: bool,
    report_numbers: VecDeque<u64>,
}

/// What a poll is answered by.
#[derive(Debug, Clone, PartialEq)]
pub enum PollOutcome {
    /// All tables of a version.
    Complete(HistoryEntry),
    /// What differs between the version held and a newer one.
    Delta {
        /// The newer version.
        version: u64,
        /// What differs.
        delta: Delta,
    },
    /// Nothing newer than what is held.
    Unchanged {
        /// What the proxy holds.
        held: Option<HeldVersion>,
    },
    /// A later poll of the same session took its place.
    Superseded,
    /// The session is over.
    SessionClosed,
}

/// What a deadline ended.
#[derive(Debug, PartialEq)]
pub enum Expired<R> {
    /// A poll has waited for as long as it may.
    Poll {
        /// Where its answer goes.
        reply: R,
        /// What it is answered by.
        outcome: PollOutcome,
    },
    /// A proxy has not polled for too long.
    Session(StreamId),
}

/// There is no such session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no such session here: join again")]
pub struct UnknownSessionError;

/// A poll: what differs from the version that is held?
#[derive(Debug)]
pub struct Poll<R> {
    /// The session that polls.
    pub session: StreamId,
    /// Its proxy's number.
    pub proxy: ProxyId,
    /// What the proxy says it holds.
    pub held: Option<HeldVersion>,
    /// How long the poll may wait.
    pub wait: Duration,
    /// Where its answer goes.
    pub reply: R,
}

/// What a poll says besides, once it is pending.
#[derive(Debug, PartialEq)]
pub struct AcceptedPoll<R> {
    /// The version that the proxy holds, and so acknowledges.
    pub acknowledged_version: Option<u64>,
    /// The poll that was pending before, to be answered as superseded.
    pub superseded: Option<R>,
}

/// The answer to a pending poll.
#[derive(Debug, PartialEq)]
pub struct PollAnswer<R> {
    /// Where it goes.
    pub reply: R,
    /// What it says.
    pub outcome: PollOutcome,
    /// How many table entries it has.
    pub entries: usize,
}

/// Whether a load report was received before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportNumber {
    /// It is the first of its number.
    New,
    /// One of its number was received before.
    Duplicate,
}

/// All sessions. `R` is whatever a poll is answered through.
#[derive(Debug)]
pub struct Sessions<R> {
    sessions: BTreeMap<StreamId, Session<R>>,
    deadlines: BTreeSet<(Duration, StreamId)>,
}

impl<R> Default for Sessions<R> {
    fn default() -> Self {
        Sessions { sessions: BTreeMap::new(), deadlines: BTreeSet::new() }
    }
}

impl<R> Sessions<R> {
    /// A proxy has joined; the number of its stream is its session's.
    pub fn open(&mut self, now: Duration, id: StreamId, proxy: Arc<str>) {
        let deadline = now + SESSION_TIMEOUT;
        let session = Session {
            proxy,
            held: None,
            unknown_digest: None,
            pending: None,
            deadline,
            deferred: false,
            report_numbers: VecDeque::new(),
        };
        self.sessions.insert(id, session);
        self.deadlines.insert((deadline, id));
    }

    fn set_deadline(&mut self, id: StreamId, deadline: Duration) {
        if let Some(session) = self.sessions.get_mut(&id) {
            self.deadlines.remove(&(session.deadline, id));
            session.deadline = deadline;
            self.deadlines.insert((deadline, id));
        }
    }

    /// A poll. It is pending until [`Sessions::answer_pending`] has something new for it, or its wait is over.
    ///
    /// What is said to be held counts only if it is what was sent under that version: a proxy that holds something
    /// else of the same number (by a fault of either side) is sent complete tables.
    ///
    /// # Errors
    /// There is no such session; with the reply, to say so.
    pub fn poll(
        &mut self,
        now: Duration,
        poll: Poll<R>,
        history: &History,
    ) -> Result<AcceptedPoll<R>, (UnknownSessionError, R)> {
        let Poll { session: id, proxy, held, wait, reply } = poll;
        let Some(session) = self.sessions.get_mut(&id) else { return Err((UnknownSessionError, reply)) };
        let retained = held.filter(|held| history.find(proxy, held.version, &held.digest).is_some());
        // A version of another epoch is known by its content alone. One that is retained here never is: if digests
        // collided by a fault, the proxy would stay on an old table for ever.
        session.unknown_digest = match retained {
            Some(_) => None,
            None => held.map(|held| held.digest),
        };
        let newest = history.newest(proxy).filter(|newest| session.unknown_digest == Some(newest.digest));
        let newest = newest.map(|newest| HeldVersion { version: newest.version, digest: newest.digest });
        session.held = retained.or(newest);
        let acknowledged_version = session.held.map(|held| held.version);
        let pending = PendingPoll { reply, deadline: now + wait };
        session.deferred = false;
        let superseded = session.pending.replace(pending).map(|earlier| earlier.reply);
        self.set_deadline(id, now + wait);
        Ok(AcceptedPoll { acknowledged_version, superseded })
    }

    /// The ids of all sessions.
    pub fn ids(&self) -> Vec<StreamId> {
        self.sessions.keys().copied().collect()
    }

    /// Whether a session has a pending poll.
    pub fn has_pending_poll(&self, id: StreamId) -> bool {
        self.sessions.get(&id).is_some_and(|session| session.pending.is_some())
    }

    /// Answers a session's pending poll if the newest version is not what the proxy holds.
    pub fn answer_pending(
        &mut self,
        now: Duration,
        id: StreamId,
        proxy: ProxyId,
        history: &History,
    ) -> Option<PollAnswer<R>> {
        let newest = history.newest(proxy)?;
        let session = self.sessions.get_mut(&id)?;
        let base = session.held.and_then(|held| history.find(proxy, held.version, &held.digest));
        // Who returns from another epoch with the very content that this one arrives at holds it already.
        let holds_same_content = session.held.is_none() && session.unknown_digest == Some(newest.digest);
        if holds_same_content || base.is_some_and(|base| base.state == newest.state) {
            session.held = Some(HeldVersion { version: newest.version, digest: newest.digest });
            return None;
        }
        let pending = session.pending.take()?;
        let (outcome, entries) = match base {
            Some(base) => delta_outcome(base, newest),
            None => (PollOutcome::Complete(newest.clone()), newest.state.entry_count().max(1)),
        };
        self.set_deadline(id, now + SESSION_TIMEOUT);
        Some(PollAnswer { reply: pending.reply, outcome, entries })
    }

    /// Remembers the number of a load report: whether it is new.
    ///
    /// # Errors
    /// There is no such session.
    pub fn record_report_number(
        &mut self,
        id: StreamId,
        number: u64,
    ) -> Result<ReportNumber, UnknownSessionError> {
        let session = self.sessions.get_mut(&id).ok_or(UnknownSessionError)?;
        if session.report_numbers.contains(&number) {
            return Ok(ReportNumber::Duplicate);
        }
        if session.report_numbers.len() == MAX_REPORT_NUMBERS {
            session.report_numbers.pop_front();
        }
        session.report_numbers.push_back(number);
        Ok(ReportNumber::New)
    }

    /// The name of a session's proxy.
    pub fn proxy_name(&self, id: StreamId) -> Option<&Arc<str>> {
        self.sessions.get(&id).map(|session| &session.proxy)
    }

    /// Ends a session: where its pending poll is to be answered, if it has one.
    pub fn close(&mut self, id: StreamId) -> Option<R> {
        let session = self.sessions.remove(&id)?;
        self.deadlines.remove(&(session.deadline, id));
        session.pending.map(|pending| pending.reply)
    }

    /// When [`Sessions::next_expired`] has something next.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// What has expired by now, one after another.
    pub fn next_expired(&mut self, now: Duration) -> Option<Expired<R>> {
        loop {
            let (deadline, id) = *self.deadlines.first()?;
            if deadline > now {
                return None;
            }
            let session = self.sessions.get_mut(&id)?;
            if let Some(pending) = session.pending.take_if(|pending| pending.deadline <= now) {
                let outcome = PollOutcome::Unchanged { held: session.held };
                self.set_deadline(id, now + SESSION_TIMEOUT);
                return Some(Expired::Poll { reply: pending.reply, outcome });
            }
            let is_late = now > deadline + STANDSTILL;
            if !is_late || session.deferred {
                self.close(id);
                return Some(Expired::Session(id));
            }
            session.deferred = true;
            self.set_deadline(id, now + STANDSTILL_GRACE);
        }
    }

    /// Ends all sessions, as the governor stops: where their pending polls are to be answered.
    pub fn close_all(&mut self) -> Vec<R> {
        self.deadlines.clear();
        let sessions = std::mem::take(&mut self.sessions);
        sessions.into_values().filter_map(|session| Some(session.pending?.reply)).collect()
    }

    /// How many sessions there are.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }
}

/// What differs between two versions, and how many entries that is.
fn delta_outcome(base: &HistoryEntry, newest: &HistoryEntry) -> (PollOutcome, usize) {
    let delta = table_versions::delta(&base.state, base.digest, &newest.state, newest.digest);
    let entries = delta.changes.values().map(|change| match change {
        TableChange::UseDefaultTable => 1,
        TableChange::Entries { changed, removed, .. } => 1 + changed.len() + removed.len(),
    });
    let entries = entries.sum();
    (PollOutcome::Delta { version: newest.version, delta }, entries)
}
