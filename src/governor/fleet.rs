//! Aggregates over the fleet's replicas.

use std::collections::BTreeMap;

use super::Governor;
use super::replica_state::ReplicaState;
use super::tables::Weights;
use crate::types::ReplicaId;

impl Governor {
    pub(super) fn sum_replicas(&self, value: impl Fn(&ReplicaState) -> f64) -> f64 {
        self.replicas.values().map(value).sum()
    }

    pub(super) fn sum_by_zone(&self, value: impl Fn(&ReplicaState) -> f64) -> BTreeMap<usize, f64> {
        self.aggregate_by_zone(|sum, value| sum + value, value)
    }

    pub(super) fn max_by_zone(&self, value: impl Fn(&ReplicaState) -> f64) -> BTreeMap<usize, f64> {
        self.aggregate_by_zone(f64::max, value)
    }

    fn aggregate_by_zone(
        &self,
        combine: fn(f64, f64) -> f64,
        value: impl Fn(&ReplicaState) -> f64,
    ) -> BTreeMap<usize, f64> {
        let mut zones = BTreeMap::new();
        for replica in self.replicas.values() {
            let value = value(replica);
            zones
                .entry(replica.zone)
                .and_modify(|aggregate| *aggregate = combine(*aggregate, value))
                .or_insert(value);
        }
        zones
    }

    /// The replicas that satisfy a condition.
    pub(super) fn replica_ids(&self, condition: impl Fn(&ReplicaState) -> bool) -> Vec<ReplicaId> {
        let replicas = self.replicas.iter().filter(|(_, replica)| condition(replica));
        replicas.map(|(id, _)| id.clone()).collect()
    }

    /// Returns a table of all replicas with a positive weight.
    pub(super) fn weigh_replicas(&self, weight: impl Fn(&ReplicaState) -> f64) -> Weights {
        let weights = self.replicas.iter().filter_map(|(id, replica)| {
            let weight = weight(replica);
            (weight > 0.0).then(|| (id.clone(), weight))
        });
        weights.collect()
    }

    /// The number of replicas that are listed as ready.
    pub(super) fn ready_replicas(&self) -> f64 {
        self.sum_replicas(|replica| if replica.ready { 1.0 } else { 0.0 })
    }
}
