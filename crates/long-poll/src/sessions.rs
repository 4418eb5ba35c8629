//! The sessions of proxies, without I/O: the version that each proxy holds, its pending poll, and its deadlines.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::ProxyId;
use wrenthread_core::fleet::StreamId;
use wrenthread_core::history::{History, HistoryEntry};
use wrenthread_core::table_versions::{self, Delta, Digest, TableChange};

/// A session ends when its proxy has not polled for this long since its last poll was answered.
const SESSION_TIMEOUT: Duration = Duration::from_secs(15);
/// A session deadline that is handled later than this shows that the governor was stalled. Polls that arrived meanwhile
/// may still be unread.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);
/// The extension, granted once, that lets the unread poll of such a session be processed.
const STALL_GRACE: Duration = Duration::from_secs(2);
/// How many report numbers are remembered per session, to detect duplicates.
const MAX_REPORT_NUMBERS: usize = 64;

/// A version of the tables as a proxy holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldVersion {
    /// The version number; 0 for a version of another epoch.
    pub version: u64,
    /// The digest of its content.
    pub digest: Digest,
}

/// A poll that waits for new tables.
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
    /// The digest that the last poll named, if it belongs to no version retained here.
    unknown_digest: Option<Digest>,
    pending: Option<PendingPoll<R>>,
    deadline: Duration,
    /// The deadline was already extended since the last poll, because the governor was stalled.
    extended: bool,
    report_numbers: VecDeque<u64>,
}

/// The outcome of a poll.
#[derive(Debug, Clone, PartialEq)]
pub enum PollOutcome {
    /// All tables of a version.
    Complete(HistoryEntry),
    /// The changes from the held version to a newer one.
    Delta {
        /// The newer version.
        version: u64,
        /// The changes.
        delta: Delta,
    },
    /// There is nothing newer than the held version.
    Unchanged {
        /// The version that the proxy holds.
        held: Option<HeldVersion>,
    },
    /// A later poll of the same session replaced it.
    Superseded,
    /// The session is over.
    SessionClosed,
}

/// A poll or a session whose deadline has passed.
#[derive(Debug, PartialEq)]
pub enum Expired<R> {
    /// The wait time of a poll is over.
    Poll {
        /// The handle for the response.
        reply: R,
        /// The outcome to respond with.
        outcome: PollOutcome,
    },
    /// The session was closed because its proxy has stopped polling.
    Session(StreamId),
}

/// The session does not exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no such session here: join again")]
pub struct UnknownSessionError;

/// A poll for changes since the version that the proxy holds.
#[derive(Debug)]
pub struct Poll<R> {
    /// The session.
    pub session: StreamId,
    /// The id of its proxy.
    pub proxy: ProxyId,
    /// The version that the proxy claims to hold.
    pub held: Option<HeldVersion>,
    /// How long the poll may wait.
    pub wait: Duration,
    /// The handle for the response.
    pub reply: R,
}

/// The result of accepting a poll, which is now pending.
#[derive(Debug, PartialEq)]
pub struct AcceptedPoll<R> {
    /// The version that the proxy holds and thereby acknowledges.
    pub acknowledged_version: Option<u64>,
    /// The previously pending poll, to be answered with [`PollOutcome::Superseded`].
    pub superseded: Option<R>,
}

/// The answer to a pending poll.
#[derive(Debug, PartialEq)]
pub struct PollAnswer<R> {
    /// The handle for the response.
    pub reply: R,
    /// The outcome to respond with.
    pub outcome: PollOutcome,
    /// The number of table entries in the response.
    pub entries: usize,
}

/// Whether a load report was received before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportNumber {
    /// The number is new.
    New,
    /// A report with this number was received before.
    Duplicate,
}

/// All sessions. `R` is the handle through which a poll is answered.
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
    /// Opens the session of a proxy that has joined. The stream's id becomes the session's id.
    pub fn open(&mut self, now: Duration, id: StreamId, proxy: Arc<str>) {
        let deadline = now + SESSION_TIMEOUT;
        let session = Session {
            proxy,
            held: None,
            unknown_digest: None,
            pending: None,
            deadline,
            extended: false,
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

    /// Registers a poll. It is pending until [`Sessions::answer_pending`] finds something new for it, or its wait time
    /// is over.
    ///
    /// The claimed version is accepted only if its digest is that of the content sent under that number. A proxy that
    /// holds other content under the same number (by a fault of either side) is sent complete tables.
    ///
    /// # Errors
    /// The session does not exist. The error returns the reply handle, so that the caller can respond.
    pub fn poll(
        &mut self,
        now: Duration,
        poll: Poll<R>,
        history: &History,
    ) -> Result<AcceptedPoll<R>, (UnknownSessionError, R)> {
        let Poll { session: id, proxy, held, wait, reply } = poll;
        let Some(session) = self.sessions.get_mut(&id) else { return Err((UnknownSessionError, reply)) };
        let retained = held.filter(|held| history.find(proxy, held.version, &held.digest).is_some());
        // A version that is not retained here, such as one of another epoch, is recognised by its digest alone. A
        // retained one is not: if two digests collided by a fault, the proxy would keep an old table for ever.
        session.unknown_digest = match retained {
            Some(_) => None,
            None => held.map(|held| held.digest),
        };
        let newest = history.newest(proxy).filter(|newest| session.unknown_digest == Some(newest.digest));
        let newest = newest.map(|newest| HeldVersion { version: newest.version, digest: newest.digest });
        session.held = retained.or(newest);
        let acknowledged_version = session.held.map(|held| held.version);
        let pending = PendingPoll { reply, deadline: now + wait };
        session.extended = false;
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

    /// Answers a session's pending poll if the newest version differs from what the proxy holds.
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
        // A proxy from another epoch may already hold the same content as the newest version here.
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

    /// Records the number of a load report and returns whether it is new.
    ///
    /// # Errors
    /// The session does not exist.
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

    /// Closes a session. Returns the reply handle of its pending poll, if it has one.
    pub fn close(&mut self, id: StreamId) -> Option<R> {
        let session = self.sessions.remove(&id)?;
        self.deadlines.remove(&(session.deadline, id));
        session.pending.map(|pending| pending.reply)
    }

    /// The earliest time at which [`Sessions::next_expired`] can return something.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Removes and returns the next poll or session that has expired. To be called until it returns nothing.
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
            let was_stalled = now > deadline + STALL_THRESHOLD;
            if !was_stalled || session.extended {
                self.close(id);
                return Some(Expired::Session(id));
            }
            session.extended = true;
            self.set_deadline(id, now + STALL_GRACE);
        }
    }

    /// Closes all sessions when the governor stops. Returns the reply handles of their pending polls.
    pub fn close_all(&mut self) -> Vec<R> {
        self.deadlines.clear();
        let sessions = std::mem::take(&mut self.sessions);
        sessions.into_values().filter_map(|session| Some(session.pending?.reply)).collect()
    }

    /// The number of sessions.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether there are no sessions.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }
}

/// The delta between two versions, and its size in entries.
fn delta_outcome(base: &HistoryEntry, newest: &HistoryEntry) -> (PollOutcome, usize) {
    let delta = table_versions::delta(&base.state, base.digest, &newest.state, newest.digest);
    let entries = delta.changes.values().map(|change| match change {
        TableChange::UseDefaultTable => 1,
        TableChange::Entries { changed, removed, .. } => 1 + changed.len() + removed.len(),
    });
    let entries = entries.sum();
    (PollOutcome::Delta { version: newest.version, delta }, entries)
}
