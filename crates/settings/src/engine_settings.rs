//! Settings as the engine takes them: the script's words become the engine's types here.

use std::time::Duration;

use wrenthread::types::{self, AdmissionControl, DeduplicationScope, Idempotency, LoadField, RetryPolicy};
use wrenthread_core::engine::EngineSettings;

use crate::model::{Group, Settings};

/// A load metric by its name in scripts and reports.
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
            latency_objective: seconds(self.latency_budget),
            request_deadline: seconds(self.expiry),
            priority_weight: self.utility,
            same_zone_only: self.own_zone,
        }
    }

    fn idempotency(&self) -> Idempotency {
        match self.effect.as_str() {
            "retriable" => Idempotency::Idempotent,
            "deduped" => Idempotency::IdempotentWithKey {
                scope: match self.deduped_by.as_deref() {
                    Some("all") => DeduplicationScope::All,
                    Some("pack") => DeduplicationScope::SameCell,
                    _ => DeduplicationScope::SameZone,
                },
                window: seconds(self.deduped_for.unwrap_or_default()),
            },
            _ => Idempotency::NotIdempotent,
        }
    }
}

impl Settings {
    /// The settings of an engine.
    pub fn setup(&self) -> EngineSettings {
        EngineSettings {
            governor: self.governor_settings(),
            max_proxies: self.joined_most as usize,
            max_report_entries_per_second: self.report_lines_per_s,
            empty_roster_timeout: seconds(self.empty_after),
            history: (self.history_versions as usize, self.history_lines as usize),
        }
    }

    fn governor_settings(&self) -> types::Settings {
        types::Settings {
            governor_count: self.governors,
            classes: self.groups.iter().map(Group::traffic_class).collect(),
            key_slices: 0,
            proxy_count: self.proxies,
            default_table_size: self.standing_lines as usize,
            initial_capacity_fraction: self.cold_share,
            slow_start_duration: seconds(self.warm_after),
            proxies_eject_locally: self.proxies_avoid,
            report_interval: seconds(self.report_every),
            entries_per_second: self.lines_per_s,
            message_overhead_entries: self.head_lines,
            max_queued_entries: self.waiting_most,
            max_transit_delay: seconds(self.transit_most),
            message_limit: self.messages_most.map(|messages| types::MessageLimit {
                messages: messages as usize,
                interval: seconds(self.messages_over),
            }),
            admission_control: if self.levels {
                AdmissionControl::Fraction
            } else {
                AdmissionControl::Unsupported
            },
            default_retry_policy: match self.tries.as_str() {
                "once" => RetryPolicy::OnAnyFailure,
                "if-never-ran" => RetryPolicy::IfNotExecuted,
                _ => RetryPolicy::Never,
            },
            cross_zone_cost: self.crossing_cost,
            health_check_cost: None,
            load_fields: self.load.iter().filter_map(|name| load_field(name)).collect(),
        }
    }
}
