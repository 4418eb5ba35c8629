//! The settings of a governor.
use std::time::Duration;

/// The replicas that recognise and drop a repeated request by its idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every replica of the fleet.
    All,
    /// Those in the zone of the replica that executed it first.
    SameZone,
    /// Those in the cell (a group of replicas that share state) of the replica that executed it first.
    SameCell,
}

/// The effect of executing a request of a class a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// No additional effect.
    Idempotent,
    /// Repeats are dropped within `scope`, for `window` after the first attempt that may have been executed.
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
    /// The effect of a repeated request.
    pub idempotency: Idempotency,
    /// A response within this time is worth the full priority weight.
    pub latency_objective: Duration,
    /// The time after which the client gives up.
    pub request_deadline: Duration,
    /// The value of a successful request relative to other classes.
    pub priority_weight: f64,
    /// Its requests may go only to replicas in the proxy's own zone.
    pub same_zone_only: bool,
}

/// How proxies limit the admission of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionControl {
    /// By the fraction of admitted requests.
    Fraction,
    /// By the rate of admitted requests.
    Rate,
    /// Proxies admit everything.
    Unsupported,
}

/// When a proxy retries an attempt without a successful response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RetryPolicy {
    /// No further attempt.
    #[default]
    Never,
    /// One retry at another replica, if the first attempt was certainly not executed.
    IfNotExecuted,
    /// One retry at another replica after any failure.
    OnAnyFailure,
}

/// The meaning of one value in a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadField {
    /// Requests being executed or queued.
    InFlight,
    /// Requests queued.
    Queued,
    /// Mean service time in milliseconds.
    ServiceMillis,
    /// A value that the decision module does not use.
    Other,
}

/// Limit on the number of messages sent to one proxy within an interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageLimit {
    /// The maximum number of messages.
    pub messages: usize,
    /// The sliding interval in which they are counted.
    pub interval: Duration,
}

/// The settings of a governor. The decision module derives its parameters from them at the start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of governors that share the fleet of proxies.
    pub governor_count: u64,
    /// The traffic classes. Only the first 64 are taken into account.
    pub classes: Vec<TrafficClass>,
    /// Number of slices of the key space. Only deployments without slices (0) are supported.
    pub key_slices: u64,
    /// Number of proxies of all governors together.
    pub proxy_count: u64,
    /// Maximum number of replicas in a default table, which is sampled from the proxy's zone if at least
    /// three replicas are ready there.
    pub default_table_size: usize,
    /// Minimum fraction of its capacity that a replica starts with. It reaches full capacity after
    /// `slow_start_duration`.
    pub initial_capacity_fraction: f64,
    /// Time that a replica takes to warm up.
    pub slow_start_duration: Duration,
    /// Whether proxies locally avoid a replica for some seconds after a few consecutive failed attempts.
    pub proxies_eject_locally: bool,
    /// Interval between statistics reports.
    pub report_interval: Duration,
    /// Table entries per second that the channel to the proxies transmits.
    pub entries_per_second: f64,
    /// Cost of a message in the channel in addition to its entries, in entries.
    pub message_overhead_entries: f64,
    /// Maximum number of table entries queued in the channel.
    pub max_queued_entries: f64,
    /// Maximum time that a message takes from the channel to its proxy.
    pub max_transit_delay: Duration,
    /// Limit on messages to one proxy; `None` if there is no limit.
    pub message_limit: Option<MessageLimit>,
    /// How proxies limit admission.
    pub admission_control: AdmissionControl,
    /// The proxies' retry policy until a decision changes it.
    pub default_retry_policy: RetryPolicy,
    /// Cost of a request to another zone, as a fraction of a successful request's priority weight.
    pub cross_zone_cost: f64,
    /// Cost of a health check, as a fraction of a request; `None` if the governor may not send any.
    pub health_check_cost: Option<f64>,
    /// The meaning of each value in a load report, in order.
    pub load_fields: Vec<LoadField>,
}
