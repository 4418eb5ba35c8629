//! Fleet health: failure rates by zone, and the ejection and probation of replicas.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Governor;
use super::arithmetic::{get_or_default, ratio};
use super::replica_state::{AttemptCounts, HealthState, ReplicaState};

/// Minimum number of attempts for the fleet's failure rate to be significant.
const MIN_OBSERVED_ATTEMPTS: f64 = 50.0;
/// As [`MIN_OBSERVED_ATTEMPTS`], for one zone.
const MIN_ZONE_ATTEMPTS: f64 = 0.4 * MIN_OBSERVED_ATTEMPTS;
/// Failure rate above which a zone counts as stressed.
const MIN_STRESS: f64 = 0.05;
/// Minimum number of attempts for one replica's failure rate to be significant.
pub(super) const MIN_REPLICA_ATTEMPTS: f64 = 4.0;
/// If most replicas have a higher failure rate than this, the fault is fleet-wide.
const FLEET_FAULT_FRACTION: f64 = 0.1;
/// Maximum number of failed attempts, as a fraction of the successful ones, with which a replica passes its
/// probation.
const PROBATION_FAILURE_FRACTION: f64 = 0.25;

/// The observed health of the fleet.
#[derive(Default)]
pub(super) struct FleetHealth {
    /// The larger of the zone's and the fleet's failure rate, by zone; only stressed zones have an entry.
    pub(super) zone_stress: BTreeMap<usize, f64>,
    /// Most replicas have a high failure rate, so the cause is not a fault of single replicas.
    pub(super) fleet_wide_fault: bool,
    /// Too few attempts have been observed since the start to judge the fleet's health.
    pub(super) unobserved: bool,
    /// Zones without an available replica that is warmed up.
    pub(super) underprovisioned_zones: BTreeSet<usize>,
}

impl Governor {
    /// Updates the health of the fleet and of each replica.
    pub(super) fn update_health(&mut self, now: Duration) {
        let failure_rate = self.update_fleet_health();
        let outliers = self.find_outliers(now, failure_rate);
        self.eject_outliers(now, outliers);
        self.restore_ejected(now);
        self.update_withheld(now);
        self.update_probations(now);
    }

    /// Returns the failure rate of the whole fleet.
    fn update_fleet_health(&mut self) -> f64 {
        let attempts = self.sum_by_zone(|replica| available_attempts(replica).total());
        let failed = self.sum_by_zone(|replica| available_attempts(replica).failed);
        let all_attempts: f64 = attempts.values().sum();
        let failure_rate = ratio(failed.values().sum(), all_attempts.max(1.0));
        let fleet_wide_fault = self.most_replicas_fail();
        let health = &mut self.fleet_health;
        health.unobserved = health.unobserved && all_attempts < MIN_OBSERVED_ATTEMPTS;
        health.fleet_wide_fault = fleet_wide_fault;
        health.zone_stress.clear();
        for (zone, failed) in failed {
            let zone_failure_rate = ratio(failed, get_or_default(&attempts, &zone).max(MIN_ZONE_ATTEMPTS));
            let stress = zone_failure_rate.max(failure_rate);
            if stress > MIN_STRESS {
                health.zone_stress.insert(zone, stress);
            }
        }
        failure_rate
    }

    fn most_replicas_fail(&self) -> bool {
        let mut observed = 0;
        let mut failing = 0;
        for replica in self.replicas.values() {
            let counts = available_attempts(replica);
            if counts.total() >= MIN_REPLICA_ATTEMPTS {
                observed += 1;
                failing += usize::from(counts.failed > FLEET_FAULT_FRACTION * counts.total());
            }
        }
        2 * failing > observed
    }

    /// Puts ejected replicas on probation when their ejection ends, and marks them healthy once they respond.
    fn update_probations(&mut self, now: Duration) {
        for replica in self.replicas.values_mut() {
            let counts = replica.attempt_counts();
            let passed = counts.succeeded >= MIN_REPLICA_ATTEMPTS
                && counts.failed < PROBATION_FAILURE_FRACTION * counts.succeeded;
            match replica.health {
                HealthState::Ejected { until, failures }
                    if now >= until && replica.failed_health_checks == 0 =>
                {
                    replica.reset_observations(now, HealthState::Probation { failures });
                }
                HealthState::Probation { .. } if passed => replica.health = HealthState::Healthy,
                _ => {}
            }
        }
    }
}

/// Attempt counts of an available replica. Attempts at unavailable replicas say nothing about the fleet.
fn available_attempts(replica: &ReplicaState) -> AttemptCounts {
    if replica.is_unavailable() { AttemptCounts::default() } else { replica.attempt_counts() }
}
