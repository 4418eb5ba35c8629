//! What a governor decides, and what it takes for true.

use std::time::Duration;

use super::{ClassSet, ProxyId, ReplicaId, RetryPolicy, TableId};

/// One entry of a table: a replica and the weight that a proxy picks it by.
#[derive(Debug, Clone, PartialEq)]
pub struct TableEntry {
    /// The replica.
    pub replica: ReplicaId,
    /// Its weight beside the table's other entries; in an update, 0 removes the entry.
    pub weight: f64,
}

/// One thing decided. All that is pulled in one go travels as one message to each proxy concerned.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Call [`Governor::tick`](crate::governor::Governor::tick) after this time.
    ScheduleTick(Duration),
    /// Whether connected proxies are to send to a replica, whatever their tables hold.
    SetEjected {
        /// The replica.
        replica: ReplicaId,
        /// True stops them; false lets them send again.
        ejected: bool,
    },
    /// Entries of a table change.
    UpdateTable {
        /// The table.
        table: TableId,
        /// The changed entries; a weight of 0 removes one.
        entries: Vec<TableEntry>,
    },
    /// A proxy uses a table for these classes until its stream ends.
    AssignTable {
        /// The proxy.
        proxy: ProxyId,
        /// The table.
        table: TableId,
        /// The classes whose requests are routed by it.
        classes: ClassSet,
    },
    /// For all connected proxies: what they admit of these classes, and how they retry.
    SetAdmission {
        /// The classes.
        classes: ClassSet,
        /// The fraction of requests that is admitted, 1 for all of them.
        fraction: f64,
        /// What becomes of failed attempts.
        retry_policy: RetryPolicy,
    },
    /// Have each proxy that this message reaches acknowledge it by this number.
    RequestAcknowledgement(u16),
    /// Send a replica a health check.
    CheckHealth(ReplicaId),
}

/// What a governor takes for true, for operators to hold against what they see.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StateEstimate {
    /// Requests a second that its proxies receive.
    pub offered_per_second: f64,
    /// Requests a second that replicas answer.
    pub answered_per_second: f64,
    /// The fraction of requests that is admitted.
    pub admission_fraction: f64,
    /// Replicas that are ready and not ejected.
    pub available_replicas: usize,
    /// Replicas that are ready and ejected, or held back while they warm up.
    pub ejected_replicas: usize,
    /// Connected proxies.
    pub proxies: usize,
    /// Proxies that must be given tables before anything is known of what they hold.
    pub unsynchronised_proxies: usize,
}
