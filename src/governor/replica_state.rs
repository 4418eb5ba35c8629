//! The state of one replica.
use std::collections::BTreeMap;
use std::time::Duration;

use super::arithmetic::ratio;
use super::parameters::{Parameters, SlowStart};
use super::proxy_state::DefaultTableSample;
use crate::types::ReplicaStatistics;

/// A replica's health, as judged by its responses to proxies.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub(super) enum HealthState {
    #[default]
    Healthy,
    /// The replica is sent no requests until a time.
    Ejected { until: Duration, failures: u32 },
    /// The replica is sent few requests and must answer them before it counts as healthy.
    Probation { failures: u32 },
}

/// A replica's last report of its queued requests.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) struct QueueSample {
    pub(super) length: f64,
    pub(super) at: Duration,
}

/// Attempts with and without a successful response. Older attempts have less weight.
#[derive(Clone, Copy, Default)]
pub(super) struct AttemptCounts {
    pub(super) succeeded: f64,
    pub(super) failed: f64,
}

impl AttemptCounts {
    pub(super) fn total(self) -> f64 {
        self.succeeded + self.failed
    }
}

/// Statistics of a replica from the proxies of one zone.
#[derive(Clone, Default)]
pub(super) struct ZoneObservation {
    pub(super) succeeded: f64,
    pub(super) failed: f64,
    pub(super) attempts_per_second: f64,
    pub(super) latency_seconds: f64,
    pub(super) last_report: Duration,
    pub(super) last_success: Duration,
}

impl ZoneObservation {
    /// Updates the moving averages with a report.
    pub(super) fn record(&mut self, now: Duration, report: &ReplicaStatistics, averaging_seconds: f64) {
        let interval = report.interval.as_secs_f64().max(0.001);
        let succeeded = report.attempts.saturating_sub(report.failed) as f64;
        let decay = (-interval / averaging_seconds).exp();
        self.succeeded = self.succeeded * decay + succeeded;
        self.failed = self.failed * decay + report.failed as f64;
        // The first report initialises the average, which would otherwise start too low.
        let decay = if self.last_report.is_zero() { 0.0 } else { decay };
        self.attempts_per_second +=
            (report.attempts as f64 / interval - self.attempts_per_second) * (1.0 - decay);
        self.last_report = now;
        if succeeded > 0.0 {
            self.last_success = now;
        }
        if let Some(mean_latency) = report.mean_latency {
            let has_latency = self.latency_seconds > 0.0;
            let share = if has_latency { ratio(succeeded, self.succeeded.max(1.0)) } else { 1.0 };
            self.latency_seconds += (mean_latency.as_secs_f64() - self.latency_seconds) * share;
        }
    }
}

/// The state of one replica.
#[derive(Default)]
pub(super) struct ReplicaState {
    pub(super) zone: usize,
    /// Capacity once warmed up, as stated in the roster.
    pub(super) weight: f64,
    /// The roster lists it as ready.
    pub(super) ready: bool,
    /// When it was first listed as draining or gone, or was missing from the roster.
    pub(super) not_ready_since: Option<Duration>,
    /// When it was first listed as gone, or missing from the roster.
    pub(super) gone_since: Option<Duration>,
    pub(super) started_at: Option<Duration>,
    /// When it was first listed as ready; default tables sampled later may contain it.
    pub(super) first_ready_at: Option<Duration>,
    /// It is sent nothing while it warms up, as default tables that may contain it would use its full weight.
    pub(super) withheld: bool,
    pub(super) health: HealthState,
    /// Proxies have been instructed not to send to it.
    pub(super) ejection_sent: bool,
    /// The flush that is being composed instructs proxies that they may send to it again.
    pub(super) readmission_due: bool,
    /// Start of the time in which missing responses count; earlier requests were sent by other tables.
    pub(super) observed_since: Duration,
    /// Statistics, by the proxies' zone.
    pub(super) observations: BTreeMap<usize, ZoneObservation>,
    /// Moving average of the requests per second that the tables send it.
    pub(super) expected_rate: f64,
    /// Logarithm of the ratio of its estimated capacity to its listed weight.
    pub(super) capacity_correction: f64,
    /// Requests in flight, averaged over health checks.
    pub(super) in_flight: Option<f64>,
    pub(super) queue: Option<QueueSample>,
    /// Number of consecutive health checks without a response.
    pub(super) failed_health_checks: u32,
}

impl ReplicaState {
    /// Whether the replica is draining, gone, ejected, or withheld while it warms up.
    pub(super) fn is_unavailable(&self) -> bool {
        !self.ready || self.withheld || matches!(self.health, HealthState::Ejected { .. })
    }

    /// Whether proxies must be told to avoid the replica.
    pub(super) fn awaits_ejection(&self) -> bool {
        self.is_unavailable() && !self.ejection_sent
    }

    /// Whether proxies must be told that they may use the replica again.
    pub(super) fn awaits_readmission(&self) -> bool {
        !self.is_unavailable() && self.ejection_sent
    }

    /// Whether proxies avoid the replica whatever their tables contain, also after the current flush.
    pub(super) fn stays_ejected(&self) -> bool {
        self.ejection_sent && !self.readmission_due
    }

    /// Whether proxies that have the replica in their tables may send to it.
    pub(super) fn is_routable(&self) -> bool {
        !self.is_unavailable() && !self.stays_ejected()
    }

    /// Whether default tables of a sample may contain the replica.
    pub(super) fn is_candidate(&self, sample: DefaultTableSample) -> bool {
        let listed_by_then = self.first_ready_at.is_some_and(|first| first <= sample.roster_at);
        listed_by_then && sample.zone == self.zone
    }

    /// The minimum fraction of its capacity that the replica has reached.
    pub(super) fn warm_fraction(&self, slow_start: SlowStart, now: Duration) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let age = now.saturating_sub(started_at).as_secs_f64();
        (slow_start.initial_fraction + slow_start.growth_per_second * age).min(1.0)
    }

    /// The replica's weight times its warm fraction; 0 if it is unavailable.
    pub(super) fn available_weight(&self, parameters: &Parameters, now: Duration) -> f64 {
        if self.is_unavailable() {
            return 0.0;
        }
        self.weight * self.warm_fraction(parameters.slow_start, now)
    }

    /// The attempts of the proxies of all zones.
    pub(super) fn attempt_counts(&self) -> AttemptCounts {
        let mut counts = AttemptCounts::default();
        for observation in self.observations.values() {
            counts.succeeded += observation.succeeded;
            counts.failed += observation.failed;
        }
        counts
    }

    /// Discards all observations, which no longer apply to the replica.
    pub(super) fn reset_observations(&mut self, now: Duration, health: HealthState) {
        self.health = health;
        self.observed_since = now;
        self.expected_rate = 0.0;
        self.capacity_correction = 0.0;
        self.observations.clear();
        self.in_flight = None;
        self.failed_health_checks = 0;
    }
}
