//! What the engine asks its host to do, and what it reports for the log.

use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{ClassSet, ProxyId, ReplicaId, RetryPolicy};

use crate::fleet::StreamId;
use crate::frozen_tables::ReleaseReason;
use crate::guard::Refusal;

#[cfg(doc)]
use super::Engine;

/// One thing for the host to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Have the proxy's front write what it should hold and was not sent; then call [`Engine::tables_sent`], or
    /// [`Engine::stream_full`] if its stream has no capacity.
    Flush(ProxyId),
    /// A stream is over, as a later one of the same proxy has replaced it.
    CloseStream(StreamId),
    /// Send one health check to a replica, and call [`Engine::health_checked`] with its result.
    CheckHealth(ReplicaId),
    /// Something to write to the log.
    Report(EngineEvent),
}

/// A kind of input that came since the module was last asked for decisions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The module's timer is due.
    Beat,
    /// The roster changed.
    Roster,
    /// Load reports were aggregated.
    Reports,
    /// A proxy connected.
    Joined,
    /// A proxy disconnected.
    Left,
    /// A proxy acknowledged what the module wanted acknowledged.
    Acked,
    /// A health check has a result.
    Probed,
}

/// One event for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineEvent {
    /// What the module decided, the version that it goes out under, and the inputs that it answers.
    Decided {
        /// The decision.
        what: DecisionSummary,
        /// The version that it goes out under.
        version: u64,
        /// The inputs since the last flush.
        answers: Arc<[Cause]>,
    },
    /// An empty roster is not believed before this time.
    EmptyRosterDoubted(Duration),
    /// A proxy rejected a version, in its own words; its last good tables stand.
    VersionRejected {
        /// The proxy's name.
        proxy: Arc<str>,
        /// The version that it rejected.
        version: u64,
        /// Its reason, in its own words.
        words: String,
    },
    /// So many proxies wait in the join queue, as the channel is full.
    JoinsQueued(usize),
    /// An operator's override of a replica has expired.
    OverrideExpired(ReplicaId),
    /// Something is not sent as it was decided. A refusal that lasts is reported once.
    TableRefused(Refusal),
    /// A frozen table was released.
    FrozenTableReleased {
        /// The proxy's name.
        proxy: Arc<str>,
        /// The traffic class.
        group: usize,
        /// Why it was released.
        over: ReleaseReason,
    },
}

/// A decision of the module, in short.
#[derive(Debug, Clone, PartialEq)]
pub enum DecisionSummary {
    /// A replica, and whether it is ejected (`true`) or restored.
    Withdraw(ReplicaId, bool),
    /// The proxy that a table is for, and how many entries of it changed.
    Lines(Arc<str>, usize),
    /// A proxy is assigned a table for these traffic classes.
    Follow(Arc<str>, ClassSet),
    /// Admission fraction and retry policy of these traffic classes.
    Level(ClassSet, f64, RetryPolicy),
}
