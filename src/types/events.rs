//! The inputs of a governor.

use std::time::Duration;

use super::{ProxyId, ReplicaId};

/// A replica's phase according to the roster.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// It serves requests.
    Ready,
    /// It completes its current requests and should not be sent any more.
    Draining,
    /// It no longer exists.
    #[default]
    Gone,
}

/// One entry of the roster.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaEntry {
    /// The replica's name.
    pub id: ReplicaId,
    /// The replica's phase.
    pub phase: Phase,
    /// The zone it runs in.
    pub zone: usize,
    /// Its capacity once warmed up, relative to other replicas.
    pub weight: f64,
    /// When it last started; `None` if that is long ago.
    pub started_at: Option<Duration>,
}

/// Whether a roster update lists all replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RosterScope {
    /// Replicas that are not listed are gone.
    Complete,
    /// Replicas that are not listed have not changed.
    Changes,
}

/// A proxy that has opened its stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProxyConnection {
    /// The proxy's number.
    pub proxy: ProxyId,
    /// The zone it runs in.
    pub zone: usize,
    /// The rate of requests that it usually receives.
    pub requests_per_second: f64,
    /// What is known of the tables that it holds.
    pub held_tables: HeldTables,
}

/// What is known of the tables that a proxy holds as it opens its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldTables {
    /// Its default table and no other, all of whose replicas the host has found ready in the current roster.
    CheckedDefault,
    /// Its default table and no other, as the proxy states. Neither the table's replicas nor its age are known.
    UncheckedDefault,
    /// Nothing is known.
    Unknown,
}

/// Statistics of a replica from the proxies of one zone, summed over `interval`.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaStatistics {
    /// The proxies' zone.
    pub zone: usize,
    /// The replica.
    pub replica: ReplicaId,
    /// Requests sent to it, including retries.
    pub attempts: u64,
    /// Attempts without a successful response.
    pub failed: u64,
    /// Mean latency of the successful attempts, if there were any.
    pub mean_latency: Option<Duration>,
    /// The period that the counts cover.
    pub interval: Duration,
    /// The replica's latest load report, in the order of
    /// [`Settings::load_fields`](super::Settings::load_fields); may be empty.
    pub load: Vec<f64>,
}

/// Statistics of a class's requests at a proxy, summed over `interval`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandStatistics {
    /// The proxy's number.
    pub proxy: ProxyId,
    /// The class's index in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Requests received, including those that were not admitted.
    pub requests: u64,
    /// Requests that were admitted and not answered.
    pub failed: u64,
    /// The period that the counts cover.
    pub interval: Duration,
}
