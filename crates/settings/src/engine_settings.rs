//! Converts settings to those of the engine: names used in scripts become the engine's types.

use std::time::Duration;

use wrenthread::types::{self, AdmissionControl, DeduplicationScope, Idempotency, LoadField, RetryPolicy};
use wrenthread_core::engine::EngineSettings;

use crate::model::{Group, Settings};

/// A load metric, with its name in scripts and reports.
pub(crate) struct LoadMetric {
    pub(crate) name: &'static str,
    field: LoadField,
}

/// All load metrics.
pub(crate) const LOAD_METRICS: [LoadMetric; 3] = [
    LoadMetric { name: "waiting", field: LoadField::Queued },
    LoadMetric { name: "in_hand", field: LoadField::InFlight },
    LoadMetric { name: "service_ms", field: LoadField::ServiceMillis },
];

fn load_field(name: &str) -> Option<LoadField> {
    LOAD_METRICS.iter().find(|metric| metric.name == name).map(|metric| metric.field)
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

impl Group {
    fn traffic_class(&self) -> types::TrafficClass {
        types::TrafficClass {
            idempotency: self.idempotency(),
            latency_objective: seconds(self.latency_objective),
            request_deadline: seconds(self.request_deadline),
            priority_weight: self.priority_weight,
            same_zone_only: self.same_zone_only,
        }
    }

    fn idempotency(&self) -> Idempotency {
        match self.idempotency.as_str() {
            "retriable" => Idempotency::Idempotent,
            "deduped" => Idempotency::IdempotentWithKey {
                scope: match self.deduplication_scope.as_deref() {
                    Some("all") => DeduplicationScope::All,
                    Some("pack") => DeduplicationScope::SameCell,
                    _ => DeduplicationScope::SameZone,
                },
                window: seconds(self.deduplication_window.unwrap_or_default()),
            },
            _ => Idempotency::NotIdempotent,
        }
    }
}

impl Settings {
    /// Returns the settings of the engine.
    pub fn engine_settings(&self) -> EngineSettings {
        EngineSettings {
            governor: self.governor_settings(),
            max_proxies: self.max_proxies as usize,
            max_report_entries_per_second: self.report_entries_per_second,
            empty_roster_timeout: seconds(self.empty_roster_timeout),
            history: (self.history_versions as usize, self.history_entries as usize),
        }
    }

    fn governor_settings(&self) -> types::Settings {
        types::Settings {
            governor_count: self.governor_count,
            classes: self.groups.iter().map(Group::traffic_class).collect(),
            key_slices: 0,
            proxy_count: self.proxy_count,
            default_table_size: self.default_table_size as usize,
            initial_capacity_fraction: self.initial_capacity_fraction,
            slow_start_duration: seconds(self.slow_start_duration),
            proxies_eject_locally: self.proxies_eject_locally,
            report_interval: seconds(self.report_interval),
            entries_per_second: self.entries_per_second,
            message_overhead_entries: self.message_overhead_entries,
            max_queued_entries: self.max_queued_entries,
            max_transit_delay: seconds(self.max_transit_delay),
            message_limit: self.message_limit.map(|messages| types::MessageLimit {
                messages: messages as usize,
                interval: seconds(self.message_limit_interval),
            }),
            admission_control: if self.admission_control {
                AdmissionControl::Fraction
            } else {
                AdmissionControl::Unsupported
            },
            default_retry_policy: match self.default_retry_policy.as_str() {
                "once" => RetryPolicy::OnAnyFailure,
                "if-never-ran" => RetryPolicy::IfNotExecuted,
                _ => RetryPolicy::Never,
            },
            cross_zone_cost: self.cross_zone_cost,
            health_check_cost: None,
            load_fields: self.load_metrics.iter().filter_map(|name| load_field(name)).collect(),
        }
    }
}
