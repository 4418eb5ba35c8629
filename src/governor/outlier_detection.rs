//! Outlier detection: finds replicas that do not respond, or whose failure rate is far above the fleet's.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Governor;
use super::arithmetic::ratio;
use super::health::MIN_REPLICA_ATTEMPTS;
use super::parameters::TICK_INTERVAL;
use super::replica_state::{AttemptCounts, HealthState, ReplicaState};
use crate::types::ReplicaId;

/// Number of consecutive missing responses from which a replica counts as unresponsive; fewer may be missing
/// by chance.
const MISSING_RESPONSE_LIMIT: f64 = 8.0;
/// As [`MISSING_RESPONSE_LIMIT`], if health checks fail too.
const MISSING_RESPONSE_LIMIT_IF_CHECKS_FAIL: f64 = 0.25 * MISSING_RESPONSE_LIMIT;
/// Minimum number of consecutive failed health checks to be taken into account.
const MIN_FAILED_CHECKS: u32 = 2;
/// Failed health checks indicate a fault only if at most one in this many replicas fails them: health checks
/// queue behind requests, so under load many fail.
const FAILED_CHECKS_ARE_RARE: usize = 5;
/// Multiple of the mean latency after which a response is overdue.
const LATENCY_MARGIN: f64 = 1.5;
/// Minimum failure rate of an outlier.
const MIN_OUTLIER_FAILURE_RATE: f64 = 0.3;
/// Multiple of the fleet's failure rate from which a replica is an outlier.
const OUTLIER_FAILURE_FACTOR: f64 = 3.0;
/// A replica with a higher failure rate than this does not work at all, regardless of the fleet's failure
/// rate.
const DEAD_FAILURE_RATE: f64 = 0.95;
/// A replica whose utilisation exceeds this multiple of the mean is overloaded rather than faulty.
const OVERLOADED_UTILISATION: f64 = 1.3;
/// A replica that reports this many queued requests is overloaded rather than faulty.
const OVERLOADED_QUEUE: f64 = 2.0;
/// Minimum severity of an unresponsive replica; at least as high as any failure rate.
const UNRESPONSIVE_SEVERITY: f64 = 1.0;
/// Severity of a replica that failed its probation, which is ejected first.
const FAILED_PROBATION_SEVERITY: f64 = f64::MAX;

/// A replica that looks faulty.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Outlier {
    /// The failure rate of a replica that answers some attempts; [`UNRESPONSIVE_SEVERITY`] or more for one
    /// that does not respond.
    pub(super) severity: f64,
    pub(super) replica: ReplicaId,
}

impl Outlier {
    /// Whether the replica fails some attempts and answers others.
    pub(super) fn is_partial(&self) -> bool {
        self.severity < UNRESPONSIVE_SEVERITY
    }
}

/// Values of the fleet that each replica is compared with.
struct FleetBaseline {
    now: Duration,
    failure_rate: f64,
    /// The time after which a response is overdue.
    response_timeout: Duration,
    /// The time after a change of tables until missing responses are significant.
    settling_time: Duration,
    mean_utilisation: f64,
    failed_checks_are_rare: bool,
}

/// Requests per second that the tables send to one replica, by the proxies' zone.
type RatesByZone = BTreeMap<usize, f64>;

impl Governor {
    /// Finds replicas that look faulty, the worst first.
    pub(super) fn find_outliers(&mut self, now: Duration, failure_rate: f64) -> Vec<Outlier> {
        let expected_rates = self.load_model(now).rates_by_zone();
        let baseline = self.fleet_baseline(now, failure_rate);
        let mut outliers = Vec::new();
        for ((id, replica), rates) in self.replicas.iter().zip(&expected_rates) {
            if !replica.ready {
                continue;
            }
            if let Some(severity) = self.severity(replica, rates, &baseline) {
                outliers.push(Outlier { severity, replica: id.clone() });
            }
        }
        self.update_expected_rates(now, &expected_rates);
        outliers.sort_by(|a, b| b.severity.total_cmp(&a.severity));
        outliers
    }

    fn fleet_baseline(&self, now: Duration, failure_rate: f64) -> FleetBaseline {
        let response_timeout = self.response_timeout();
        let ready = self.replicas.values().filter(|replica| replica.ready);
        let failing_checks = ready.clone().filter(|replica| fails_health_checks(replica)).count();
        FleetBaseline {
            now,
            failure_rate,
            response_timeout,
            settling_time: self.parameters.settling_time + self.reports.delay + response_timeout,
            mean_utilisation: self.fleet_utilisation(now).mean,
            failed_checks_are_rare: FAILED_CHECKS_ARE_RARE * failing_checks <= ready.count(),
        }
    }

    fn response_timeout(&self) -> Duration {
        let mut succeeded = 0.0;
        let mut latency_seconds = 0.0;
        for observation in self.replicas.values().flat_map(|replica| replica.observations.values()) {
            succeeded += observation.succeeded;
            latency_seconds += observation.succeeded * observation.latency_seconds;
        }
        Duration::from_secs_f64(LATENCY_MARGIN * latency_seconds / succeeded.max(1.0))
    }

    /// The severity of a replica's fault, if it is an outlier.
    fn severity(&self, replica: &ReplicaState, rates: &RatesByZone, baseline: &FleetBaseline) -> Option<f64> {
        let counts = replica.attempt_counts();
        let failure_rate = ratio(counts.failed, counts.total().max(1.0));
        let missing_responses = self.missing_responses(replica, rates, baseline);
        let checks_fail = fails_health_checks(replica) && baseline.failed_checks_are_rare;
        let missing_limit =
            if checks_fail { MISSING_RESPONSE_LIMIT_IF_CHECKS_FAIL } else { MISSING_RESPONSE_LIMIT };
        let observed = counts.failed >= MIN_REPLICA_ATTEMPTS;
        let dead = observed && failure_rate > DEAD_FAILURE_RATE;
        let unresponsive = missing_responses >= missing_limit || dead;
        let failing = observed && failure_rate >= outlier_failure_rate(baseline.failure_rate);
        match replica.health {
            HealthState::Healthy if unresponsive => Some(UNRESPONSIVE_SEVERITY + missing_responses),
            HealthState::Healthy if failing && !self.is_overloaded(replica, baseline) => Some(failure_rate),
            HealthState::Probation { .. } if unresponsive || fails_probation(counts) => {
                Some(FAILED_PROBATION_SEVERITY)
            }
            _ => None,
        }
    }

    /// The number of responses that are overdue since the last one.
    fn missing_responses(
        &self,
        replica: &ReplicaState,
        rates: &RatesByZone,
        baseline: &FleetBaseline,
    ) -> f64 {
        let last_success = replica.observations.values().map(|observation| observation.last_success).max();
        let settled = replica.observed_since + baseline.settling_time;
        let overdue_from = (last_success.unwrap_or_default() + baseline.response_timeout).max(settled);
        let missing =
            rates.iter().map(|(zone, rate)| rate * self.unanswered_seconds(*zone, overdue_from, baseline));
        let missing: f64 = missing.sum();
        // Scaled down if its weights were raised recently, as those requests have not been answered yet.
        missing * ratio(replica.expected_rate, rates.values().sum()).min(1.0)
    }

    /// Seconds without a response, as far as the zone's statistics show: 0 if the zone sends no statistics
    /// any more or its proxies have just connected.
    fn unanswered_seconds(&self, zone: usize, overdue_from: Duration, baseline: &FleetBaseline) -> f64 {
        let connected_at = self.last_connections.get(&zone).copied().unwrap_or(baseline.now);
        let from = overdue_from.max(connected_at + baseline.settling_time);
        self.reports.last_report(zone).saturating_sub(from + self.reports.delay).as_secs_f64()
    }

    /// Whether a replica is overloaded. Failures due to a full queue are no reason to eject it, as that would
    /// overload the next replica.
    fn is_overloaded(&self, replica: &ReplicaState, baseline: &FleetBaseline) -> bool {
        let limit = OVERLOADED_UTILISATION * baseline.mean_utilisation;
        let utilised = self.utilisation(replica, baseline.now).is_some_and(|utilisation| utilisation > limit);
        utilised || replica.queue.is_some_and(|queue| queue.length >= OVERLOADED_QUEUE)
    }

    fn update_expected_rates(&mut self, now: Duration, expected_rates: &[RatesByZone]) {
        let gain = TICK_INTERVAL.as_secs_f64();
        for (replica, rates) in self.replicas.values_mut().zip(expected_rates) {
            let rate: f64 = rates.values().sum();
            replica.expected_rate +=
                (rate - replica.expected_rate) * gain / self.parameters.averaging_seconds;
            if rate == 0.0 {
                replica.observed_since = now; // in no table, so no responses are expected
            }
        }
    }
}

fn fails_health_checks(replica: &ReplicaState) -> bool {
    replica.failed_health_checks >= MIN_FAILED_CHECKS
}

fn fails_probation(counts: AttemptCounts) -> bool {
    counts.failed > counts.succeeded.max(1.0)
}

/// The failure rate from which a replica is an outlier. If the fleet's failure rate is high, it is halfway
/// between that and 1.
fn outlier_failure_rate(fleet: f64) -> f64 {
    (OUTLIER_FAILURE_FACTOR * fleet).min(0.5 + 0.5 * fleet).max(MIN_OUTLIER_FAILURE_RATE)
}
