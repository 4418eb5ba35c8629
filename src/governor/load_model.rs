//! The load on each replica under the current tables, and its capacity.
//!
//! Replicas are identified by their index in the governor's map of replicas. A flow (the paper's term) is the
//! requests that one proxy sends by one table. Flows that follow the same default table share a distribution
//! over replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Governor;
use super::arithmetic::ratio;
use super::proxy_state::{DefaultTableSample, ProxyState};
use super::replica_state::ReplicaState;
use super::tables::{RouteScope, TableKey, Weights};
use crate::types::ReplicaId;

/// A small table keeps a replica unless another one's utilisation is lower by this factor.
const RETENTION_PREFERENCE: f64 = 1.5;

/// The fraction of a flow's requests that goes to one replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReplicaShare {
    pub(super) replica: usize,
    pub(super) fraction: f64,
}

/// Requests per second that a flow sends to a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReplicaRate {
    pub(super) replica: usize,
    pub(super) rate: f64,
}

/// The capacity of a replica.
#[derive(Clone, Copy)]
pub(super) struct ReplicaCapacity {
    pub(super) zone: usize,
    /// The estimated rate at which the replica has the fleet's mean utilisation.
    pub(super) requests_per_second: f64,
}

/// The requests that one proxy sends by one table.
#[derive(Clone, Copy)]
pub(super) struct Flow {
    pub(super) zone: usize,
    pub(super) requests_per_second: f64,
    /// Index of its distribution in [`LoadModel::distributions`].
    pub(super) distribution: usize,
}

/// All flows of a zone with the same distribution.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FlowGroup {
    pub(super) zone: usize,
    pub(super) distribution: usize,
}

/// The table that a flow is routed by.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Route {
    DefaultTable(DefaultTableSample),
    SentTable(TableKey),
}

/// The replica with the highest utilisation.
#[derive(Clone, Copy)]
pub(super) struct PeakUtilisation {
    pub(super) replica: usize,
    pub(super) utilisation: f64,
}

/// The load and the capacity of each replica.
#[derive(Default)]
pub(super) struct LoadModel {
    pub(super) replicas: Vec<ReplicaId>,
    pub(super) capacities: Vec<ReplicaCapacity>,
    /// Requests per second that each replica is sent.
    pub(super) loads: Vec<f64>,
    pub(super) distributions: Vec<Vec<ReplicaShare>>,
    pub(super) flows: BTreeMap<TableKey, Flow>,
    /// Requests per second of each group.
    pub(super) groups: BTreeMap<FlowGroup, f64>,
    /// The solved rates of the critical flows.
    pub(super) solved: BTreeMap<TableKey, Vec<ReplicaRate>>,
    /// Factor applied to the utilisation of replicas in other zones.
    pub(super) cross_zone_price: f64,
    /// A small table keeps a replica unless another one's utilisation is lower by this factor.
    pub(super) retention_preference: f64,
}

impl Governor {
    pub(super) fn load_model(&self, now: Duration) -> LoadModel {
        // In a fleet-wide fault, connections to newly added replicas mostly fail too, so tables keep their
        // replicas.
        let keep_all = self.fleet_health.fleet_wide_fault;
        let mut model = LoadModel {
            replicas: self.replicas.keys().cloned().collect(),
            cross_zone_price: self.parameters.cross_zone_price,
            retention_preference: if keep_all { f64::MAX } else { RETENTION_PREFERENCE },
            ..LoadModel::default()
        };
        self.add_flows(&mut model);
        model.reset_loads();
        model.capacities = self.capacities(&model, now);
        model
    }

    fn add_flows(&self, model: &mut LoadModel) {
        let mut distributions = BTreeMap::new();
        for (&id, proxy) in &self.proxies {
            for scope in RouteScope::ALL {
                let key = TableKey::new(id, scope);
                let route = route(proxy, key);
                let distribution = *distributions
                    .entry(route)
                    .or_insert_with(|| model.add_distribution(&self.routed_weights(route)));
                model.add_flow(key, proxy.zone, self.scoped_demand(proxy, scope), distribution);
            }
        }
    }

    /// The weights that a route uses. A default table is assumed to contain all candidates, as each proxy's
    /// default table is a random sample of them.
    fn routed_weights(&self, route: Route) -> Weights {
        let mut weights = match route {
            Route::DefaultTable(sample) => {
                self.weigh_replicas(|replica| if replica.is_candidate(sample) { replica.weight } else { 0.0 })
            }
            Route::SentTable(key) => self.sent_tables.get(&key).cloned().unwrap_or_default(),
        };
        weights.retain(|id, _| self.replicas.get(id).is_some_and(|replica| !replica.ejection_sent));
        weights
    }

    /// Divides the total load among the replicas in proportion to their usable, corrected weights.
    fn capacities(&self, model: &LoadModel, now: Duration) -> Vec<ReplicaCapacity> {
        let usable_weight = |replica: &ReplicaState| replica.weight * self.routable_fraction(replica, now);
        let rate_per_weight = ratio(model.loads.iter().sum(), self.sum_replicas(usable_weight));
        let capacity = |replica: &ReplicaState| ReplicaCapacity {
            zone: replica.zone,
            requests_per_second: rate_per_weight * usable_weight(replica) * replica.capacity_correction.exp(),
        };
        self.replicas.values().map(capacity).collect()
    }
}

fn route(proxy: &ProxyState, key: TableKey) -> Route {
    match proxy.default_sample().filter(|_| !proxy.has_sent_tables()) {
        Some(sample) => Route::DefaultTable(sample),
        None => Route::SentTable(key),
    }
}

impl LoadModel {
    fn add_distribution(&mut self, weights: &Weights) -> usize {
        let total = weights.values().sum();
        let shares = weights.iter().map(|(id, weight)| ReplicaShare {
            replica: self.replicas.binary_search(id).unwrap_or_default(),
            fraction: ratio(*weight, total),
        });
        let shares = shares.collect();
        self.distributions.push(shares);
        self.distributions.len() - 1
    }

    fn add_flow(&mut self, key: TableKey, zone: usize, requests_per_second: f64, distribution: usize) {
        if requests_per_second > 0.0 && !self.distributions[distribution].is_empty() {
            self.flows.insert(key, Flow { zone, requests_per_second, distribution });
            *self.groups.entry(FlowGroup { zone, distribution }).or_insert(0.0) += requests_per_second;
        }
    }

    /// Requests per second that each replica is sent under the current tables, by the proxies' zone. Solved
    /// flows are not taken into account.
    pub(super) fn rates_by_zone(&self) -> Vec<BTreeMap<usize, f64>> {
        let mut rates = vec![BTreeMap::new(); self.replicas.len()];
        for (group, requests_per_second) in &self.groups {
            for share in &self.distributions[group.distribution] {
                *rates[share.replica].entry(group.zone).or_insert(0.0) +=
                    requests_per_second * share.fraction;
            }
        }
        rates
    }

    /// Discards the solved flows and recomputes the loads from the current tables.
    pub(super) fn reset_loads(&mut self) {
        self.solved.clear();
        self.loads = self.rates_by_zone().iter().map(|zones| zones.values().sum()).collect();
    }

    /// The number of replicas that a flow is spread over; 0 for a flow without requests.
    pub(super) fn replica_count(&self, key: TableKey) -> usize {
        self.flows.get(&key).map_or(0, |flow| self.distributions[flow.distribution].len())
    }

    /// Finds the replica with the highest ratio of load to capacity. Replicas without capacity count as
    /// unused.
    pub(super) fn most_utilised(&self) -> Option<PeakUtilisation> {
        let utilisations =
            self.capacities.iter().zip(&self.loads).enumerate().map(|(replica, (capacity, load))| {
                let capacity = capacity.requests_per_second;
                let utilisation = if capacity > 0.0 { load / capacity } else { 0.0 };
                PeakUtilisation { replica, utilisation }
            });
        utilisations.max_by(|a, b| a.utilisation.total_cmp(&b.utilisation))
    }

    /// The rates of a flow under the current tables.
    pub(super) fn unsolved_rates(&self, flow: &Flow) -> Vec<ReplicaRate> {
        let shares = &self.distributions[flow.distribution];
        let rate = |share: &ReplicaShare| ReplicaRate {
            replica: share.replica,
            rate: flow.requests_per_second * share.fraction,
        };
        shares.iter().map(rate).collect()
    }

    /// Subtracts a flow from the loads and returns its rates.
    pub(super) fn remove_flow(&mut self, key: TableKey) -> Vec<ReplicaRate> {
        let Some(flow) = self.flows.get(&key).copied() else { return Vec::new() };
        let rates = self.solved.remove(&key).unwrap_or_else(|| self.unsolved_rates(&flow));
        for sent in &rates {
            self.loads[sent.replica] -= sent.rate;
        }
        rates
    }

    /// Adds a flow's rates to the loads.
    pub(super) fn add_rates(&mut self, rates: &[ReplicaRate]) {
        for sent in rates {
            self.loads[sent.replica] += sent.rate;
        }
    }
}
