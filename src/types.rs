//! The types that a host and the decision module exchange.
//!
//! Times are durations since the epoch of the host's clock. Replica identifiers are strings chosen by the
//! host. Proxies, zones, traffic classes and tables are identified by numbers.
//!
//! A host creates one [`Governor`](crate::governor::Governor) for each governor process, subscribes to the
//! roster of replicas, and
//!
//! 1. passes inputs to it: first [`update_replicas`](crate::governor::Governor::update_replicas) with the
//!    latest complete roster, then the other inputs as they arrive;
//! 2. calls [`next_decision`](crate::governor::Governor::next_decision) until it returns `None`, and carries
//!    out the decisions in this order. The decisions of one such series are sent as one message to each proxy
//!    that they affect.
//!
//! After a restart, a governor is created anew and knows nothing of the time before. A proxy's default table may
//! be older than that: see [`HeldTables`].
//!
//! ```
//! use std::time::Duration;
//! use wrenthread::governor::Governor;
//! use wrenthread::types::*;
//!
//! let class = TrafficClass {
//!     idempotency: Idempotency::Idempotent,
//!     latency_objective: Duration::from_secs(1),
//!     request_deadline: Duration::from_secs(3),
//!     priority_weight: 1.0,
//!     same_zone_only: false,
//! };
//! let settings = Settings {
//!     governor_count: 1,
//!     classes: vec![class],
//!     key_slices: 0,
//!     proxy_count: 1,
//!     default_table_size: 8,
//!     initial_capacity_fraction: 0.2,
//!     slow_start_duration: Duration::from_secs(15),
//!     proxies_eject_locally: false,
//!     report_interval: Duration::from_secs(1),
//!     entries_per_second: 1000.0,
//!     message_overhead_entries: 5.0,
//!     max_queued_entries: 2000.0,
//!     max_transit_delay: Duration::from_millis(500),
//!     message_limit: None,
//!     admission_control: AdmissionControl::Unsupported,
//!     default_retry_policy: RetryPolicy::IfNotExecuted,
//!     cross_zone_cost: 0.01,
//!     health_check_cost: None,
//!     load_fields: vec![],
//! };
//! let now = Duration::from_secs(100);
//! let mut governor = Governor::new(settings, now);
//! let replica =
//!     ReplicaEntry { id: "r1".into(), phase: Phase::Ready, zone: 0, weight: 2.0, started_at: None };
//! governor.update_replicas(now, &[replica], RosterScope::Complete);
//! governor.proxy_connected(
//!     now,
//!     ProxyConnection { proxy: 7, zone: 0, requests_per_second: 10.0, held_tables: HeldTables::Unknown },
//! );
//! let decisions: Vec<Decision> = std::iter::from_fn(|| governor.next_decision(now)).collect();
//! // The proxy's tables are not known, so it is sent its zone's default table at once.
//! let entry = TableEntry { replica: "r1".into(), weight: 2.0 };
//! assert!(decisions.contains(&Decision::UpdateTable { table: 14, entries: vec![entry] }));
//! assert!(decisions.contains(&Decision::AssignTable { proxy: 7, table: 14, classes: 1 }));
//! ```

mod decisions;
mod events;
mod settings;

pub use decisions::{ChannelEstimate, Decision, SentEntries, StateEstimate, TableEntry};
pub use events::{
    DemandStatistics, HeldTables, Phase, ProxyConnection, ReplicaEntry, ReplicaStatistics, RosterScope,
};
pub use settings::{
    AdmissionControl, DeduplicationScope, Idempotency, LoadField, MessageLimit, RetryPolicy, Settings,
    TrafficClass,
};

use std::sync::Arc;

/// A replica's name as given by the host. The decision module does not interpret it.
pub type ReplicaId = Arc<str>;
/// A proxy's number.
pub type ProxyId = u16;
/// A table's number, chosen by the decision module and opaque to the host.
pub type TableId = u16;
/// A set of traffic classes: bit `1 << k` stands for the class at index `k` of [`Settings::classes`].
pub type ClassSet = u64;
