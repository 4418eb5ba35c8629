//! The critical set: the few proxies whose tables are computed by the solver, as in the paper:
//!
//! M. Ye, J. Zhang, Z. Guo and H. J. Chao, "FlexDATE: Flexible and Disturbance-Aware Traffic Engineering With
//! Reinforcement Learning in Software-Defined Networks": most flows stay on a static routing; a few critical
//! ones are given split ratios that minimise the peak utilisation, and a reward weighs the performance ratio
//! against the network disturbance, the part of all traffic that was rerouted (equations 2 to 4 and 11).
//!
//! A greedy loop replaces the paper's trained policy. It starts from the previous critical set, which is thus
//! kept unless a larger set has a higher payoff, and adds the proxies that send the most to the most utilised
//! replica. The tables are solved in `water_filling`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Governor;
use super::arithmetic::{get_or_default, ratio};
use super::load_model::{LoadModel, ReplicaRate};
use super::tables::{RouteScope, TableKey, Tables};
use crate::types::ProxyId;

/// The paper's target for the performance ratio.
const TARGET_RATIO: f64 = 0.9;
/// Penalty for disturbance while the ratio is below the target.
const PENALTY_BELOW_TARGET: f64 = 0.5;
/// Penalty for disturbance once the ratio has reached the target.
const PENALTY_AT_TARGET: f64 = 1.0;
/// Consecutive cycles below the target before the critical set is solved.
const MIN_CYCLES_BELOW_TARGET: u32 = 3;
/// Maximum fraction of this governor's proxies in the critical set.
const MAX_CRITICAL_FRACTION: f64 = 0.15;
/// Each iteration adds the set's size divided by this, which bounds the solving time for large fleets.
const JOINING_DIVISOR: usize = 4;

/// The critical proxies and their tables.
#[derive(Default)]
pub(super) struct CriticalSet {
    pub(super) tables: Tables,
    pub(super) cycles_below_target: u32,
}

impl CriticalSet {
    pub(super) fn proxies(&self) -> BTreeSet<ProxyId> {
        self.tables.keys().map(|key| key.proxy).collect()
    }

    pub(super) fn contains(&self, proxy: ProxyId) -> bool {
        let first = TableKey::new(proxy, RouteScope::AnyZone);
        let last = TableKey::new(proxy, RouteScope::OwnZone);
        self.tables.range(first..=last).next().is_some()
    }

    pub(super) fn remove(&mut self, proxy: ProxyId) {
        self.tables.retain(|key, _| key.proxy != proxy);
    }
}

/// The value of a load distribution, as in the paper.
#[derive(Clone, Copy)]
pub(super) struct Reward {
    /// Mean utilisation divided by peak utilisation.
    pub(super) ratio: f64,
    /// The ratio minus the penalty for disturbance.
    pub(super) payoff: f64,
}

impl Governor {
    /// Grows the previous critical set step by step and adopts the step with the highest payoff, if that
    /// exceeds the payoff of the current tables.
    pub(super) fn update_critical_set(&mut self, now: Duration) {
        self.count_cycle_below_target(now);
        let waiting = self.critical_set.cycles_below_target < MIN_CYCLES_BELOW_TARGET;
        if waiting || self.fleet_health.fleet_wide_fault {
            return;
        }
        let max_proxies = (self.proxies.len() as f64 * MAX_CRITICAL_FRACTION).ceil() as usize;
        let mut proxies = self.critical_set.proxies();
        let mut model = self.load_model(now);
        let mut best_payoff = model.reward().payoff;
        loop {
            model.solve(&proxies);
            let reward = model.reward();
            if reward.payoff > best_payoff && !model.solved.is_empty() {
                best_payoff = reward.payoff;
                self.critical_set.tables = model.solved_tables();
            }
            let max_count =
                (1 + proxies.len() / JOINING_DIVISOR).min(max_proxies.saturating_sub(proxies.len()));
            let joining = model.largest_senders(&proxies, max_count);
            if reward.ratio >= TARGET_RATIO || joining.is_empty() {
                break;
            }
            proxies.extend(joining);
        }
    }

    fn count_cycle_below_target(&mut self, now: Duration) {
        let utilisation = self.fleet_utilisation(now);
        if utilisation.mean < TARGET_RATIO * utilisation.peak {
            self.critical_set.cycles_below_target += 1;
        } else {
            self.critical_set.cycles_below_target = 0;
        }
    }
}

impl LoadModel {
    /// Computes the performance ratio, and the paper's reward for it given the disturbance by the solved
    /// flows.
    pub(super) fn reward(&self) -> Reward {
        let disturbed: f64 = self.solved.iter().map(|(key, rates)| self.rerouted_rate(key, rates)).sum();
        let load: f64 = self.loads.iter().sum();
        let capacity: f64 = self.capacities.iter().map(|capacity| capacity.requests_per_second).sum();
        let mean = ratio(load, capacity);
        let ratio_to_peak = self.most_utilised().map_or(1.0, |peak| ratio(mean, peak.utilisation).min(1.0));
        let penalty = if ratio_to_peak < TARGET_RATIO { PENALTY_BELOW_TARGET } else { PENALTY_AT_TARGET };
        Reward { ratio: ratio_to_peak, payoff: ratio_to_peak - penalty * ratio(disturbed, load) }
    }

    /// Requests per second of a solved flow that go to other replicas than by the current tables.
    fn rerouted_rate(&self, key: &TableKey, rates: &[ReplicaRate]) -> f64 {
        let flow = self.flows[key];
        let shares = &self.distributions[flow.distribution];
        let fractions: BTreeMap<usize, f64> =
            shares.iter().map(|share| (share.replica, share.fraction)).collect();
        let rerouted = rates.iter().map(|sent| {
            let before = flow.requests_per_second * get_or_default(&fractions, &sent.replica);
            (sent.rate - before).max(0.0)
        });
        rerouted.sum()
    }

    /// Returns the proxies outside the set that send the most to the most utilised replica.
    pub(super) fn largest_senders(&self, set: &BTreeSet<ProxyId>, max_count: usize) -> Vec<ProxyId> {
        let Some(peak) = self.most_utilised() else { return Vec::new() };
        let mut rates: BTreeMap<ProxyId, f64> = BTreeMap::new();
        for (key, flow) in self.flows.iter().filter(|(key, _)| !set.contains(&key.proxy)) {
            let shares = &self.distributions[flow.distribution];
            let share = shares.iter().find(|share| share.replica == peak.replica);
            let fraction = share.map_or(0.0, |share| share.fraction);
            *rates.entry(key.proxy).or_insert(0.0) += flow.requests_per_second * fraction;
        }
        let mut senders: Vec<(ProxyId, f64)> = rates.into_iter().filter(|(_, rate)| *rate > 0.0).collect();
        senders.sort_by(|a, b| b.1.total_cmp(&a.1).then(b.0.cmp(&a.0)));
        senders.into_iter().take(max_count).map(|(proxy, _)| proxy).collect()
    }
}
