//! A governor's decisions, and its estimate of the fleet's state.

use std::time::Duration;

use super::{ClassSet, ProxyId, ReplicaId, RetryPolicy, TableId};

/// One entry of a table: a replica and its weight in a proxy's random choice.
#[derive(Debug, Clone, PartialEq)]
pub struct TableEntry {
    /// The replica.
    pub replica: ReplicaId,
    /// Its weight relative to the table's other entries. In an update, 0 removes the entry.
    pub weight: f64,
}

/// One decision. The decisions up to the next `None` are sent as one message to each proxy that they affect.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The host must call [`Governor::tick`](crate::governor::Governor::tick) after this time.
    ScheduleTick(Duration),
    /// Sets whether connected proxies may send to a replica, regardless of their tables.
    SetEjected {
        /// The replica.
        replica: ReplicaId,
        /// True if proxies must not send to it, false if they may again.
        ejected: bool,
    },
    /// Changes entries of a table.
    UpdateTable {
        /// The table.
        table: TableId,
        /// The changed entries; a weight of 0 removes one.
        entries: Vec<TableEntry>,
    },
    /// Assigns a table to a proxy for these classes, until the proxy's stream ends.
    AssignTable {
        /// The proxy.
        proxy: ProxyId,
        /// The table.
        table: TableId,
        /// The classes whose requests are routed by it.
        classes: ClassSet,
    },
    /// Sets the admission fraction and the retry policy of these classes for all connected proxies.
    SetAdmission {
        /// The classes.
        classes: ClassSet,
        /// The fraction of requests to admit; 1 admits all.
        fraction: f64,
        /// How failed attempts are retried.
        retry_policy: RetryPolicy,
    },
    /// Asks each receiving proxy to acknowledge this message with this number.
    RequestAcknowledgement(u16),
    /// Sends a health check to a replica.
    CheckHealth(ReplicaId),
}

/// A governor's estimate of the fleet's state, for operators to compare with their own observations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StateEstimate {
    /// Requests per second that its proxies receive.
    pub offered_per_second: f64,
    /// Requests per second that replicas answer.
    pub answered_per_second: f64,
    /// The fraction of requests that are admitted.
    pub admission_fraction: f64,
    /// Number of replicas that are ready and not ejected.
    pub available_replicas: usize,
    /// Number of replicas that are ready and ejected, or withheld while they warm up.
    pub ejected_replicas: usize,
    /// Number of connected proxies.
    pub proxies: usize,
    /// Number of proxies whose tables are not known and that must be sent new ones.
    pub unsynchronised_proxies: usize,
    /// How long the longest waiting of them has been connected.
    pub longest_unsynchronised: Duration,
    /// Number of proxies on default tables that may contain replicas which the governor has never known, and that
    /// must be sent new ones.
    pub unverified_proxies: usize,
    /// Number of replicas whose ejection is not sent yet.
    pub unsent_ejections: usize,
    /// How long ago the first of those that drain or are gone was listed as such.
    pub oldest_unsent_drain: Duration,
    /// Number of available replicas that proxies were told to avoid, and not yet to use again.
    pub unsent_readmissions: usize,
    /// Number of proxies that have no replica left which they may use, as far as their tables are known.
    pub proxies_without_replicas: usize,
    /// The channel to the proxies.
    pub channel: ChannelEstimate,
}

/// The estimated use of the channel to the proxies.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChannelEstimate {
    /// Entries that have been sent and may still be queued.
    pub queued_entries: f64,
    /// Entries that may be queued.
    pub max_queued_entries: f64,
    /// Number of flushes that the limit on messages allows now.
    pub remaining_flushes: usize,
    /// Entries sent since the start.
    pub sent: SentEntries,
}

/// Numbers of entries sent, with the overhead of their messages, by purpose.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SentEntries {
    /// Ejections of draining, gone and faulty replicas.
    pub ejections: f64,
    /// Tables of proxies whose tables were not known.
    pub first_tables: f64,
    /// All other tables.
    pub tables: f64,
    /// Readmissions of replicas.
    pub readmissions: f64,
    /// Admission fractions.
    pub admissions: f64,
}
