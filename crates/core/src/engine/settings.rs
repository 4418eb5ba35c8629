//! The settings of an engine.

use std::time::Duration;

use wrenthread::types::{AdmissionControl, Idempotency, LoadField, RetryPolicy, Settings, TrafficClass};

/// Settings of an engine, and of the decision module in it.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Settings of the decision module.
    pub governor: Settings,
    /// The maximum number of connected proxies.
    pub max_proxies: usize,
    /// The maximum number of aggregated report entries passed to the module per second.
    pub max_report_entries_per_second: f64,
    /// How long an empty roster must last before it is accepted.
    pub empty_roster_timeout: Duration,
    /// The maximum number of retained versions per proxy, and of retained table entries in total.
    pub history: (usize, usize),
}

impl EngineSettings {
    /// Simple settings with `class_count` equal traffic classes, for examples and tests.
    pub fn example(class_count: usize) -> EngineSettings {
        let class = TrafficClass {
            idempotency: Idempotency::NotIdempotent,
            latency_objective: Duration::from_secs(1),
            request_deadline: Duration::from_secs(3),
            priority_weight: 1.0,
            same_zone_only: false,
        };
        EngineSettings {
            governor: Settings {
                governor_count: 1,
                classes: vec![class; class_count],
                key_slices: 0,
                proxy_count: 16,
                default_table_size: 12,
                initial_capacity_fraction: 0.25,
                slow_start_duration: Duration::from_secs(20),
                proxies_eject_locally: true,
                report_interval: Duration::from_millis(500),
                entries_per_second: 10_000.0,
                message_overhead_entries: 10.0,
                max_queued_entries: 20_000.0,
                max_transit_delay: Duration::from_millis(500),
                message_limit: None,
                admission_control: AdmissionControl::Fraction,
                default_retry_policy: RetryPolicy::Never,
                cross_zone_cost: 0.05,
                health_check_cost: None,
                load_fields: vec![LoadField::Queued],
            },
            max_proxies: 1000,
            max_report_entries_per_second: 1000.0,
            empty_roster_timeout: Duration::from_secs(30),
            history: (16, 1_000_000),
        }
    }
}
