//! What a governor is told at its start.

use std::time::Duration;

/// Which replicas drop a repeat of the same request that carries an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every replica of the fleet.
    All,
    /// Those in the zone of the replica that ran it first.
    SameZone,
    /// Those in the cell (a group of replicas that share state) of the replica that ran it first.
    SameCell,
}

/// What running a request of a class a second time would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing more than running it once.
    Idempotent,
    /// Repeats are dropped within `scope`, for `window` after the first attempt that may have run.
    IdempotentWithKey {
        /// Where repeats are recognised.
        scope: DeduplicationScope,
        /// How long they are recognised.
        window: Duration,
    },
    /// The effect takes place a second time.
    NotIdempotent,
}

/// One traffic class.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficClass {
    /// What a repeated request does.
    pub idempotency: Idempotency,
    /// Within this a response is worth the whole priority weight.
    pub latency_objective: Duration,
    /// After this the client has given up.
    pub request_deadline: Duration,
    /// What a successful request is worth beside those of other classes.
    pub priority_weight: f64,
    /// Its requests may go only to replicas in the proxy's own zone.
    pub same_zone_only: bool,
}

/// How proxies limit the admission of a class, if they do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionControl {
    /// By the fraction of requests that are admitted.
    Fraction,
    /// By a rate of requests that are admitted.
    Rate,
    /// Proxies admit everything.
    Unsupported,
}

/// What a proxy does after an attempt without a good response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RetryPolicy {
    /// No further attempt.
    #[default]
    Never,
    /// One more, at another replica, once it is proven that the first was not executed.
    IfNotExecuted,
    /// One more, at another replica, whatever became of the first.
    OnAnyFailure,
}

/// What one value of a load report means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadField {
    /// Requests being executed or queued.
    InFlight,
    /// Requests queued.
    Queued,
    /// Mean service time in milliseconds.
    ServiceMillis,
    /// Something that the decision module makes no use of.
    Other,
}

/// How many messages one proxy may be sent within an interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageLimit {
    /// The largest number of messages.
    pub messages: usize,
    /// The sliding interval that they are counted in.
    pub interval: Duration,
}

/// What a governor is told at its start. The module derives its parameters from it and drops the rest.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How many governors share the fleet of proxies.
    pub governor_count: u64,
    /// The traffic classes, at most 64 of which are decided on.
    pub classes: Vec<TrafficClass>,
    /// Slices of the key space; the module serves deployments without any (0).
    pub key_slices: u64,
    /// How many proxies all governors have together.
    pub proxy_count: u64,
    /// Most replicas in a default table, sampled in the proxy's zone if at least three are there.
    pub default_table_size: usize,
    /// A replica starts with this fraction of its capacity or more, and has all of it after
    /// `slow_start_duration`.
    pub initial_capacity_fraction: f64,
    /// How long a replica takes to warm up.
    pub slow_start_duration: Duration,
    /// Proxies by themselves avoid, for some seconds, a replica that failed a few of their attempts in a row.
    pub proxies_eject_locally: bool,
    /// How often statistics are gathered.
    pub report_interval: Duration,
    /// Table entries that the channel to the proxies carries in a second.
    pub entries_per_second: f64,
    /// What a message costs in the channel beside its entries, in entries.
    pub message_overhead_entries: f64,
    /// Table entries that may be queued in the channel.
    pub max_queued_entries: f64,
    /// The longest time that a message takes from the channel to its proxy.
    pub max_transit_delay: Duration,
    /// How often one proxy may be sent a message; none where there is no such limit.
    pub message_limit: Option<MessageLimit>,
    /// How proxies limit admission.
    pub admission_control: AdmissionControl,
    /// What proxies do about retries until told otherwise.
    pub default_retry_policy: RetryPolicy,
    /// What a request that crosses zones costs, as a fraction of a successful one's priority weight.
    pub cross_zone_cost: f64,
    /// What a health check costs, as a fraction of a request; none where the governor may send none.
    pub health_check_cost: Option<f64>,
    /// The meaning of a load report's values, in their order.
    pub load_fields: Vec<LoadField>,
}
