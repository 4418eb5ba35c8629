//! How much replicas that warm up are sent.
//!
//! A replica's warm fraction is the least part of its capacity that it has by now. While many attempts fail
//! it is sent less than that, since proxies then pile onto the replicas that still answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Governor;
use super::arithmetic::{get_or_default, ratio};
use super::proxy_state::DefaultTableSample;
use super::replica_state::{HealthState, ReplicaState};
use super::tables::MAX_TABLE_ENTRIES;

/// The fraction of its capacity that a fleet is sized to use.
pub(super) const NOMINAL_UTILISATION: f64 = 0.7;
/// The stress that is assumed until enough is observed: a governor may restart while many attempts fail.
const ASSUMED_STRESS: f64 = 0.5;
/// What a replica on probation is sent: enough for a few answers within seconds.
const PROBATION_FRACTION: f64 = 0.1;
/// What warming replicas alone are sent, beside what the fleet answers for its capacity.
const WARMING_HEADROOM: f64 = 1.2;

impl Governor {
    /// The fraction of its weight that a replica may be sent.
    pub(super) fn usable_fraction(&self, replica: &ReplicaState, now: Duration) -> f64 {
        if replica.is_unavailable() {
            return 0.0;
        }
        let health = &self.fleet_health;
        let warm_fraction = replica.warm_fraction(self.parameters.slow_start, now);
        let stress = if health.unobserved {
            ASSUMED_STRESS
        } else {
            get_or_default(&health.zone_stress, &replica.zone)
        };
        let underprovisioned = health.underprovisioned_zones.contains(&replica.zone);
        // What is bound to a zone without a warm replica can't go elsewhere: all of them must take their
        // part.
        let cautious = if self.parameters.has_zone_bound_classes() {
            stress > 0.0 && !underprovisioned
        } else {
            stress > 0.0 || underprovisioned
        };
        let cautious = cautious && warm_fraction < 1.0;
        if cautious && warm_fraction < self.parameters.stress_factor * stress {
            return 0.0;
        }
        match replica.health {
            HealthState::Probation { .. } => PROBATION_FRACTION * warm_fraction,
            _ if cautious => warm_fraction * warm_fraction * (1.0 - stress),
            _ => warm_fraction,
        }
    }

    /// A default table whose entries are not known can't be sent a part of its weight for a replica: the
    /// replica is withheld until it bears its usual load.
    pub(super) fn update_withheld(&mut self, now: Duration) {
        let samples: BTreeSet<DefaultTableSample> =
            self.proxies.values().filter_map(|proxy| proxy.default_table).collect();
        let partial: Vec<DefaultTableSample> =
            samples.into_iter().filter(|sample| self.is_partial_sample(*sample)).collect();
        for replica in self.replicas.values_mut() {
            let named = partial.iter().any(|sample| replica.is_candidate(*sample));
            let warm_fraction = replica.warm_fraction(self.parameters.slow_start, now);
            replica.withheld = named && warm_fraction < NOMINAL_UTILISATION;
        }
    }

    /// Whether there were more candidates than a table has entries, so that it is not known which it names.
    pub(super) fn is_partial_sample(&self, sample: DefaultTableSample) -> bool {
        let candidates = self.replicas.values().filter(|replica| replica.is_candidate(sample)).count();
        candidates > self.parameters.default_table_size.max(MAX_TABLE_ENTRIES)
    }

    /// By zone without a warm replica, where requests are bound to it: how many a second its replicas may be
    /// sent.
    pub(super) fn underprovisioned_capacity(&self, now: Duration) -> BTreeMap<usize, f64> {
        let available = self.sum_by_zone(|replica| replica.available_weight(&self.parameters, now));
        let rate_by_weight = WARMING_HEADROOM * ratio(self.success_rate(), available.values().sum());
        let mut capacity = BTreeMap::new();
        if !self.parameters.has_zone_bound_classes() {
            return capacity;
        }
        for (zone, weight) in available {
            if self.fleet_health.underprovisioned_zones.contains(&zone) {
                capacity.insert(zone, rate_by_weight * weight);
            }
        }
        capacity
    }
}
