//! What a host tells a governor as things happen.

use std::time::Duration;

use super::{ProxyId, ReplicaId};

/// What the roster says of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// It serves requests.
    Ready,
    /// It finishes what it has, and wants no further requests.
    Draining,
    /// It is not there any more.
    #[default]
    Gone,
}

/// One entry of the roster.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaEntry {
    /// The replica's name.
    pub id: ReplicaId,
    /// Whether it serves requests.
    pub phase: Phase,
    /// The zone it runs in.
    pub zone: usize,
    /// Its capacity once warmed up, beside that of others.
    pub weight: f64,
    /// When it last started; none for long ago.
    pub started_at: Option<Duration>,
}

/// Whether an update of the roster names all replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RosterScope {
    /// Replicas that are not named are gone.
    Complete,
    /// Replicas that are not named have not changed.
    Changes,
}

/// A proxy's stream, as it is opened.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProxyConnection {
    /// The proxy's number.
    pub proxy: ProxyId,
    /// The zone it runs in.
    pub zone: usize,
    /// The request rate that it ordinarily receives.
    pub requests_per_second: f64,
    /// It holds its default table and nothing else; otherwise what it holds is not known.
    pub holds_default_table: bool,
}

/// What the proxies of a zone observed at a replica, summed over `interval`.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaStatistics {
    /// The proxies' zone.
    pub zone: usize,
    /// The replica.
    pub replica: ReplicaId,
    /// Requests sent to it, retries among them.
    pub attempts: u64,
    /// Attempts without a good response.
    pub failed: u64,
    /// Mean time of the answered ones; none if there was none.
    pub mean_latency: Option<Duration>,
    /// What the counts are summed over.
    pub interval: Duration,
    /// The replica's latest load report, in the order of [`Settings::load_fields`](super::Settings::load_fields);
    /// may be empty.
    pub load: Vec<f64>,
}

/// Requests of a class that a proxy received, summed over `interval`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandStatistics {
    /// The proxy's number.
    pub proxy: ProxyId,
    /// The class, by its place in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Requests received, those that were not admitted among them.
    pub requests: u64,
    /// Requests that were admitted and not answered.
    pub failed: u64,
    /// What the counts are summed over.
    pub interval: Duration,
}
