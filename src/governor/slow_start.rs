//! Slow start: limits the requests sent to replicas that are warming up.
//!
//! A replica's warm fraction is the minimum fraction of its capacity that it has reached. While many attempts
//! fail, it is sent less than that, since load then concentrates on the replicas that still respond.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Governor;
use super::arithmetic::{get_or_default, ratio};
use super::proxy_state::{DefaultTableSample, ProxyState};
use super::replica_state::{HealthState, ReplicaState};
use super::tables::MAX_TABLE_ENTRIES;

/// The fraction of its capacity that a fleet is designed to use.
pub(super) const NOMINAL_UTILISATION: f64 = 0.7;
/// The stress assumed until enough attempts are observed, as a governor may restart while many attempts fail.
const ASSUMED_STRESS: f64 = 0.5;
/// The fraction of its weight that a replica on probation is sent: enough for a few responses within seconds.
const PROBATION_FRACTION: f64 = 0.1;
/// Requests per unit of capacity for zones with only warming replicas, relative to the fleet's success rate
/// per unit of capacity.
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
        // Requests bound to a zone without a warm replica can't go elsewhere, so all its replicas must take
        // their part.
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

    /// The fraction of its weight that a table may send a replica: nothing while proxies have been instructed
    /// to avoid it, as the table would only take other replicas from them.
    pub(super) fn routable_fraction(&self, replica: &ReplicaState, now: Duration) -> f64 {
        if replica.stays_ejected() { 0.0 } else { self.usable_fraction(replica, now) }
    }

    /// Updates which replicas are withheld. Default tables whose entries are not known can't be sent a
    /// reduced weight, so a replica that they may contain is withheld until it can take its usual load.
    pub(super) fn update_withheld(&mut self, now: Duration) {
        let samples: BTreeSet<DefaultTableSample> =
            self.proxies.values().filter_map(ProxyState::default_sample).collect();
        let partial: Vec<DefaultTableSample> =
            samples.into_iter().filter(|sample| self.is_partial_sample(*sample)).collect();
        for replica in self.replicas.values_mut() {
            let in_partial_sample = partial.iter().any(|sample| replica.is_candidate(*sample));
            let warm_fraction = replica.warm_fraction(self.parameters.slow_start, now);
            replica.withheld = in_partial_sample && warm_fraction < NOMINAL_UTILISATION;
        }
    }

    /// Whether there were more candidates than a default table has entries, and more than
    /// [`MAX_TABLE_ENTRIES`], so that it is not known which ones a table contains.
    pub(super) fn is_partial_sample(&self, sample: DefaultTableSample) -> bool {
        let candidates = self.replicas.values().filter(|replica| replica.is_candidate(sample)).count();
        candidates > self.parameters.default_table_size.max(MAX_TABLE_ENTRIES)
    }

    /// Requests per second that may be sent to each zone without a warm replica, if any requests are bound to
    /// their zone.
    pub(super) fn underprovisioned_capacity(&self, now: Duration) -> BTreeMap<usize, f64> {
        let available = self.sum_by_zone(|replica| replica.available_weight(&self.parameters, now));
        let rate_per_weight = WARMING_HEADROOM * ratio(self.success_rate(), available.values().sum());
        let mut capacity = BTreeMap::new();
        if !self.parameters.has_zone_bound_classes() {
            return capacity;
        }
        for (zone, weight) in available {
            if self.fleet_health.underprovisioned_zones.contains(&zone) {
                capacity.insert(zone, rate_per_weight * weight);
            }
        }
        capacity
    }
}
