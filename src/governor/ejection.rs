//! Ejects faulty replicas, and restores ejected ones where no better replica is available.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Governor;
use super::arithmetic::get_or_default;
use super::outlier_detection::Outlier;
use super::replica_state::{HealthState, ReplicaState};
use crate::types::ReplicaId;

/// How long a replica is ejected before its first probation. Each failed probation doubles the time.
pub(super) const FIRST_EJECTION: Duration = Duration::from_secs(4);
/// Maximum number of doublings of [`FIRST_EJECTION`].
const MAX_DOUBLINGS: u32 = 4;
/// Maximum part of the ready replicas that may be ejected, in [`TENTHS`].
const MAX_EJECTED_TENTHS: usize = 4;
const TENTHS: usize = 10;
/// Minimum fraction of its capacity that a zone with zone-bound requests keeps when unresponsive replicas are
/// ejected.
const MIN_ZONE_CAPACITY: f64 = 0.34;
/// As [`MIN_ZONE_CAPACITY`], when the ejected replicas fail only some of their attempts.
const MIN_ZONE_CAPACITY_FOR_PARTIAL_FAULTS: f64 = 0.7;

/// A zone's capacity after an ejection.
struct ZoneRemainder {
    /// Sum of the warm fractions of all ready replicas.
    total: f64,
    /// Sum of the warm fractions of the available replicas, without the ejected one.
    remaining: f64,
    /// The largest warm fraction among the remaining replicas.
    warmest: f64,
}

impl Governor {
    /// Ejects outliers, the worst first, but not so many that the remaining replicas of the fleet or of a
    /// zone could not carry the load. A replica that fails its probation is ejected again whatever these
    /// limits.
    pub(super) fn eject_outliers(&mut self, now: Duration, outliers: Vec<Outlier>) {
        let ready = self.replicas.values().filter(|replica| replica.ready).count();
        let unavailable = |replica: &&ReplicaState| replica.ready && replica.is_unavailable();
        let mut ejected = self.replicas.values().filter(unavailable).count();
        for outlier in outliers {
            let spared = self.fleet_health.fleet_wide_fault
                || TENTHS * (ejected + 1) > MAX_EJECTED_TENTHS * ready
                || self.would_starve_zone(&outlier, now);
            let Some(replica) = self.replicas.get_mut(&outlier.replica) else { continue };
            let failures = match replica.health {
                HealthState::Probation { failures } => failures,
                _ => 0,
            };
            if failures > 0 || !spared {
                ejected += 1;
                let duration = FIRST_EJECTION * 2u32.pow(failures.min(MAX_DOUBLINGS));
                let health = HealthState::Ejected { until: now + duration, failures: failures + 1 };
                replica.reset_observations(now, health);
            }
        }
    }

    /// Whether ejecting the outlier would leave a zone with zone-bound requests without a warm replica, or
    /// with too little capacity.
    fn would_starve_zone(&self, outlier: &Outlier, now: Duration) -> bool {
        if !self.parameters.has_zone_bound_classes() {
            return false;
        }
        let zone = self.zone_remainder(&outlier.replica, now);
        let min_fraction =
            if outlier.is_partial() { MIN_ZONE_CAPACITY_FOR_PARTIAL_FAULTS } else { MIN_ZONE_CAPACITY };
        zone.warmest < 1.0 || zone.remaining < zone.total * min_fraction
    }

    fn zone_remainder(&self, ejected: &ReplicaId, now: Duration) -> ZoneRemainder {
        let zone = self.replicas[ejected].zone;
        let mut remainder = ZoneRemainder { total: 0.0, remaining: 0.0, warmest: 0.0 };
        for (id, replica) in &self.replicas {
            if replica.zone != zone || !replica.ready {
                continue;
            }
            let warm_fraction = replica.warm_fraction(self.parameters.slow_start, now);
            remainder.total += warm_fraction;
            if id != ejected && !replica.is_unavailable() {
                remainder.remaining += warm_fraction;
                remainder.warmest = warm_fraction.max(remainder.warmest);
            }
        }
        remainder
    }

    /// Restores ejected replicas where no warm replica is available, for example because others drained after
    /// the ejection: a faulty replica is better than none.
    pub(super) fn restore_ejected(&mut self, now: Duration) {
        let slow_start = self.parameters.slow_start;
        let available_fraction = |replica: &ReplicaState| {
            if replica.is_unavailable() { 0.0 } else { replica.warm_fraction(slow_start, now) }
        };
        let warmest: BTreeMap<usize, f64> = self.max_by_zone(available_fraction);
        let warmest_of_fleet = warmest.values().copied().fold(0.0, f64::max);
        let zone_bound = self.parameters.has_zone_bound_classes();
        for replica in self.replicas.values_mut() {
            if !replica.ready || !replica.is_unavailable() {
                continue;
            }
            let warmest = if zone_bound { get_or_default(&warmest, &replica.zone) } else { warmest_of_fleet };
            if warmest == 0.0 || warmest < 1.0 && replica.warm_fraction(slow_start, now) >= 1.0 {
                replica.reset_observations(now, HealthState::Healthy);
            }
        }
        let underprovisioned = warmest.into_iter().filter(|(_, warmest)| *warmest < 1.0);
        self.fleet_health.underprovisioned_zones = underprovisioned.map(|(zone, _)| zone).collect();
    }
}
