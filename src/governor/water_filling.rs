//! Water-filling: distributes a flow over replicas so that the peak utilisation is minimal.
//!
//! This replaces the linear programme of FlexDATE (M. Ye, J. Zhang, Z. Guo and H. J. Chao, "FlexDATE:
//! Flexible and Disturbance-Aware Traffic Engineering With Reinforcement Learning in Software-Defined
//! Networks"). With one hop and divisible flows both reach the same peak utilisation.

use std::collections::BTreeSet;

use super::arithmetic::ratio;
use super::load_model::{LoadModel, ReplicaRate};
use super::tables::{MAX_TABLE_ENTRIES, RouteScope, TableKey, Tables, Weights};
use crate::types::ProxyId;

/// The sum of a solved table's weights.
const SOLVED_TABLE_WEIGHT: f64 = 100.0;
/// Minimum weight of an entry in a solved table, out of [`SOLVED_TABLE_WEIGHT`]; replicas with less get none.
const MIN_SOLVED_WEIGHT: f64 = 1.5;

/// A replica as a bin to fill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Bin {
    /// The replica's utilisation before filling.
    pub(super) level: f64,
    /// Requests per second that raise the level by 1.
    pub(super) capacity: f64,
    pub(super) replica: usize,
}

/// Distributes a rate over bins so that the highest level is minimal. The bins must be sorted by level.
pub(super) fn water_fill(rate: f64, bins: &[Bin]) -> Vec<ReplicaRate> {
    let mut capacity = 0.0;
    let mut filled = rate;
    for bin in bins {
        if bin.level * capacity < filled {
            capacity += bin.capacity;
            filled += bin.level * bin.capacity;
        }
    }
    let level = ratio(filled, capacity);
    let rate = |bin: &Bin| ReplicaRate { replica: bin.replica, rate: (level - bin.level) * bin.capacity };
    bins.iter().map(rate).filter(|filled| filled.rate > 0.0).collect()
}

/// Inputs for the computation of a small default table.
pub(super) struct SmallDefault<'a> {
    pub(super) key: TableKey,
    pub(super) zone: usize,
    pub(super) requests_per_second: f64,
    pub(super) entries: usize,
    /// The zone's complete default table.
    pub(super) candidates: &'a Weights,
    /// The proxy's current table.
    pub(super) current: &'a Weights,
}

impl LoadModel {
    /// Replicas as bins for the proxies of a zone, in ascending order of level. A replica's level is
    /// multiplied by its price and its capacity divided by it. Replicas without a price are omitted.
    fn bins_by_level(&self, zone: usize, added_rate: f64, price: impl Fn(usize) -> Option<f64>) -> Vec<Bin> {
        let bins = self.capacities.iter().zip(&self.loads).enumerate();
        let bins = bins.filter_map(|(replica, (capacity, load))| {
            let zone_price = if capacity.zone == zone { 1.0 } else { self.cross_zone_price };
            let price = price(replica)? * zone_price;
            let level = ratio((load + added_rate) * price, capacity.requests_per_second);
            Some(Bin { level, capacity: capacity.requests_per_second / price, replica })
        });
        let mut bins: Vec<Bin> = bins.collect();
        bins.sort_by(|a, b| a.level.total_cmp(&b.level));
        bins
    }

    /// Solves the flows of the critical proxies while all other flows stay unchanged: largest first, in two
    /// passes.
    pub(super) fn solve(&mut self, critical: &BTreeSet<ProxyId>) {
        self.reset_loads();
        let mut keys: Vec<TableKey> =
            self.flows.keys().filter(|key| critical.contains(&key.proxy)).copied().collect();
        keys.sort_by(|a, b| {
            let rate = |key: &TableKey| self.flows[key].requests_per_second;
            rate(b).total_cmp(&rate(a))
        });
        for key in keys.iter().chain(&keys) {
            self.solve_flow(*key);
        }
    }

    fn solve_flow(&mut self, key: TableKey) {
        let current = self.remove_flow(key);
        let flow = self.flows[&key];
        let usable = |replica: usize| {
            let capacity = self.capacities[replica];
            let reachable = key.scope == RouteScope::AnyZone || capacity.zone == flow.zone;
            capacity.requests_per_second > 0.0 && reachable
        };
        let mut bins = self.bins_by_level(flow.zone, 0.0, |replica| usable(replica).then_some(1.0));
        bins.truncate(MAX_TABLE_ENTRIES);
        let solved = water_fill(flow.requests_per_second, &bins);
        let rates = if solved.is_empty() { current } else { solved };
        self.add_rates(&rates);
        self.solved.insert(key, rates);
    }

    /// Converts the solved flows to tables.
    pub(super) fn solved_tables(&self) -> Tables {
        self.solved.iter().map(|(key, rates)| (*key, self.solved_weights(rates))).collect()
    }

    fn solved_weights(&self, rates: &[ReplicaRate]) -> Weights {
        let scale = ratio(SOLVED_TABLE_WEIGHT, rates.iter().map(|sent| sent.rate).sum());
        let mut weights = Weights::new();
        for sent in rates {
            let weight = sent.rate * scale;
            if weight >= MIN_SOLVED_WEIGHT {
                weights.insert(self.replicas[sent.replica].clone(), weight);
            }
        }
        weights
    }

    /// Computes a default table of few entries with equal weights from the replicas with the lowest levels.
    /// Replicas that the current table contains are preferred.
    pub(super) fn small_default(&mut self, wanted: &SmallDefault) -> Weights {
        self.remove_flow(wanted.key);
        let rate_per_entry = wanted.requests_per_second / wanted.entries as f64;
        let bins = self.bins_by_level(wanted.zone, rate_per_entry, |replica| {
            let id = &self.replicas[replica];
            let price = if wanted.current.contains_key(id) { 1.0 / self.retention_preference } else { 1.0 };
            wanted.candidates.contains_key(id).then_some(price)
        });
        // Other zones have many more replicas, some of which always have a lower level. The number of entries
        // in other zones is therefore limited to the part that the default table spills over.
        let entries_in_zone = self.entries_in_zone(wanted);
        let (mut chosen, mut elsewhere): (Vec<Bin>, Vec<Bin>) =
            bins.into_iter().partition(|bin| self.capacities[bin.replica].zone == wanted.zone);
        chosen.truncate(entries_in_zone);
        elsewhere.truncate(wanted.entries.saturating_sub(entries_in_zone));
        chosen.extend(elsewhere);
        let mut weights = Weights::new();
        for bin in chosen {
            self.loads[bin.replica] += rate_per_entry;
            weights.insert(self.replicas[bin.replica].clone(), 1.0);
        }
        weights
    }

    /// The number of entries of a small default table in its own zone, in proportion to the complete default
    /// table.
    fn entries_in_zone(&self, wanted: &SmallDefault) -> usize {
        let in_zone = super::tables::weight_fraction(wanted.candidates, |id| {
            let replica = self.replicas.binary_search(id);
            replica.is_ok_and(|replica| self.capacities[replica].zone == wanted.zone)
        });
        (wanted.entries as f64 * in_zone).round() as usize
    }
}
