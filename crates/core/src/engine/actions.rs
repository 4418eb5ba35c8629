//! Actions that the engine asks its host to carry out, and events for the log.

use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{ClassSet, ProxyId, ReplicaId, RetryPolicy};

use crate::fleet::StreamId;
use crate::frozen_tables::ReleaseReason;
use crate::guard::Refusal;

#[cfg(doc)]
use super::Engine;

/// An action for the host to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// The proxy's front end must send the pending changes; then call [`Engine::tables_sent`], or
    /// [`Engine::stream_full`] if its stream has no capacity.
    Flush(ProxyId),
    /// Close a stream that a newer stream of the same proxy has replaced.
    CloseStream(StreamId),
    /// Send one health check to a replica and pass the result to [`Engine::health_checked`].
    CheckHealth(ReplicaId),
    /// Write an event to the log.
    Report(EngineEvent),
}

/// A kind of input since the module was last asked for decisions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The module's tick was due.
    Tick,
    /// The roster changed.
    Roster,
    /// Load reports were aggregated.
    Reports,
    /// A proxy connected.
    ProxyConnected,
    /// A proxy disconnected.
    ProxyDisconnected,
    /// A proxy sent an acknowledgement that the module had requested.
    Acknowledged,
    /// A health check finished.
    HealthChecked,
}

/// An event for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineEvent {
    /// The module made a decision.
    Decided {
        /// The decision.
        summary: DecisionSummary,
        /// The version under which it is published.
        version: u64,
        /// The kinds of input since the last flush.
        causes: Arc<[Cause]>,
    },
    /// The roster source reported an empty roster; it is not accepted before this time.
    EmptyRosterUnconfirmed(Duration),
    /// A proxy rejected a version and keeps its last accepted tables.
    VersionRejected {
        /// The proxy's name.
        proxy: Arc<str>,
        /// The rejected version.
        version: u64,
        /// The reason reported by the proxy.
        reason: String,
    },
    /// The number of proxies in the join queue, which wait for channel capacity.
    JoinsQueued(usize),
    /// An operator's override of a replica has expired.
    OverrideExpired(ReplicaId),
    /// The guard refused a table or a part of it. A lasting refusal is reported once.
    TableRefused(Refusal),
    /// A frozen table was released.
    FrozenTableReleased {
        /// The proxy's name.
        proxy: Arc<str>,
        /// The traffic class.
        class: usize,
        /// Why it was released.
        reason: ReleaseReason,
    },
}

/// The summary of a decision of the module.
#[derive(Debug, Clone, PartialEq)]
pub enum DecisionSummary {
    /// A replica was ejected (`true`) or restored (`false`).
    Ejection(ReplicaId, bool),
    /// A table changed: the name of its proxy, and the number of changed entries.
    TableUpdate(Arc<str>, usize),
    /// A proxy was assigned a table for these traffic classes.
    TableAssignment(Arc<str>, ClassSet),
    /// The admission fraction and retry policy of these traffic classes were set.
    Admission(ClassSet, f64, RetryPolicy),
}
