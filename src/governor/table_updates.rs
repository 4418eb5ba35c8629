//! Telling proxies what their tables hold: solved tables to critical proxies, default tables to the others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Governor;
use super::arithmetic::{get_or_default, ratio};
use super::default_tables::{DefaultTables, Staleness, ZoneScope};
use super::load_model::LoadModel;
use super::proxy_state::{DefaultTableSample, ProxyState};
use super::tables::{MAX_TABLE_ENTRIES, RouteScope, TableKey, Weights, weight_fraction};
use super::water_filling::SmallDefault;
use crate::types::{Decision, ProxyId, ReplicaId, TableEntry};

/// A weight that moved by a smaller fraction is within the noise of the statistics.
const MIN_WEIGHT_CHANGE: f64 = 0.12;
/// Weights are sent as multiples of 1 by this.
const WEIGHT_STEPS: f64 = 1000.0;
/// A table with fewer replicas can't wait.
const MIN_REPLICAS: usize = 3;
/// The few entries of a busy proxy make hot spots if each is sent this part of what a replica is due.
const HOT_SPOT_FRACTION: f64 = 0.07;
/// The part of the channel's queue that tables may fill for proxies that can't wait.
const URGENT_QUEUE_FRACTION: f64 = 0.8;
/// The part of the channel's queue that all other tables may fill; the rest is for ejections.
const ORDINARY_QUEUE_FRACTION: f64 = 0.5;

/// Which proxies are told of their tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Recipients {
    All,
    Unsynchronised,
}

/// Whether a proxy follows its dedicated table already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Assignment {
    Existing,
    New,
}

/// Who is told first, as the channel may not bear all at once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Priority {
    Unsynchronised,
    /// Its table may name few replicas, or none.
    Urgent,
    Ordinary,
}

impl Priority {
    fn queue_fraction(self) -> f64 {
        match self {
            Priority::Unsynchronised | Priority::Urgent => URGENT_QUEUE_FRACTION,
            Priority::Ordinary => ORDINARY_QUEUE_FRACTION,
        }
    }
}

/// A proxy that is to be told of its tables.
struct TableRequest {
    priority: Priority,
    demand: f64,
    proxy: ProxyId,
    assignment: Assignment,
}

/// What tables are made from.
struct TableSources {
    defaults: DefaultTables,
    model: LoadModel,
    /// By zone without a warm replica: requests a second that may still be sent there.
    underprovisioned_capacity: BTreeMap<usize, f64>,
}

/// What tells which proxies need a table of their own.
struct Needs {
    critical: BTreeSet<ProxyId>,
    /// Demand above which the entries of a default table make hot spots.
    busy_demand: f64,
    staleness: BTreeMap<DefaultTableSample, Staleness>,
}

impl Governor {
    /// Tells proxies what their tables should hold, where they hold something else.
    pub(super) fn send_tables(&mut self, now: Duration, recipients: Recipients) {
        let mut sources = TableSources {
            defaults: self.default_tables(now),
            model: self.load_model(now),
            underprovisioned_capacity: self.underprovisioned_capacity(now),
        };
        for request in self.table_requests(&sources, recipients) {
            let entries = 2.0 * MAX_TABLE_ENTRIES as f64;
            if !self.send_queue.fits(entries, request.priority.queue_fraction(), &self.parameters) {
                break;
            }
            self.send_proxy_tables(&request, &mut sources, now);
        }
    }

    /// Those who can't wait first, then the busiest.
    fn table_requests(&self, sources: &TableSources, recipients: Recipients) -> Vec<TableRequest> {
        let mut needs = Needs {
            critical: self.critical_set.proxies(),
            busy_demand: self.busy_demand(&sources.model),
            staleness: BTreeMap::new(),
        };
        let mut requests = Vec::new();
        for (&id, proxy) in &self.proxies {
            requests.extend(self.table_request(id, proxy, sources, &mut needs, recipients));
        }
        requests.sort_by(|one, other| {
            one.priority.cmp(&other.priority).then(other.demand.total_cmp(&one.demand))
        });
        requests
    }

    /// Other governors' proxies count alike.
    fn busy_demand(&self, model: &LoadModel) -> f64 {
        let fleet_factor = ratio(self.parameters.shared_proxies, self.proxies.len() as f64).max(1.0);
        let due_rate = model.loads.iter().sum::<f64>() / self.ready_replicas().max(1.0);
        HOT_SPOT_FRACTION * (fleet_factor * self.parameters.default_table_size as f64) * due_rate
    }

    fn table_request(
        &self,
        id: ProxyId,
        proxy: &ProxyState,
        sources: &TableSources,
        needs: &mut Needs,
        recipients: Recipients,
    ) -> Option<TableRequest> {
        let demand = self.total_admitted_demand(proxy);
        let request = |priority, assignment| Some(TableRequest { priority, demand, proxy: id, assignment });
        if proxy.unsynchronised {
            return request(Priority::Unsynchronised, Assignment::New);
        }
        if recipients == Recipients::Unsynchronised {
            return None;
        }
        let Some(sample) = proxy.default_table else {
            let few = self.names_few_replicas(id, &sources.model);
            return request(if few { Priority::Urgent } else { Priority::Ordinary }, Assignment::Existing);
        };
        let default = &sources.defaults[&ZoneScope { zone: proxy.zone, scope: RouteScope::AnyZone }];
        let staleness = *needs.staleness.entry(sample).or_insert_with(|| self.staleness(sample, default));
        let busy = demand > needs.busy_demand && self.is_partial_sample(sample);
        match staleness {
            Staleness::Urgent => request(Priority::Urgent, Assignment::New),
            Staleness::Stale => request(Priority::Ordinary, Assignment::New),
            Staleness::Current if busy || needs.critical.contains(&id) => {
                request(Priority::Ordinary, Assignment::New)
            }
            Staleness::Current => None,
        }
    }

    fn names_few_replicas(&self, proxy: ProxyId, model: &LoadModel) -> bool {
        let few = |scope: &RouteScope| {
            let used = self.parameters.classes.in_scope(*scope) != 0;
            used && model.spread(TableKey::new(proxy, *scope)) < MIN_REPLICAS
        };
        RouteScope::ALL.iter().any(few)
    }

    fn send_proxy_tables(&mut self, request: &TableRequest, sources: &mut TableSources, now: Duration) {
        let mut cost = 0;
        for scope in RouteScope::ALL {
            if self.parameters.classes.in_scope(scope) != 0 {
                let key = TableKey::new(request.proxy, scope);
                let wanted = self.wanted_weights(key, sources, now);
                cost += self.update_table(key, wanted, request.assignment);
            }
        }
        if cost > 0 {
            self.send_queue.entries += cost as f64 + (self.parameters.message_overhead_entries + 1.0);
        }
        if request.assignment == Assignment::New
            && let Some(proxy) = self.proxies.get_mut(&request.proxy)
        {
            proxy.unsynchronised = false;
            proxy.default_table = None;
        }
    }

    /// What a table should hold. In a zone without a warm replica only as many tables as its capacity allows
    /// hold anything: the other proxies do without until one is warm.
    fn wanted_weights(&self, key: TableKey, sources: &mut TableSources, now: Duration) -> Weights {
        let proxy = &self.proxies[&key.proxy];
        let default = &sources.defaults[&ZoneScope { zone: proxy.zone, scope: key.scope }];
        let wanted = self.desired_table(key, default, &mut sources.model, now);
        if key.scope == RouteScope::AnyZone {
            return wanted;
        }
        let Some(remaining) = sources.underprovisioned_capacity.get_mut(&proxy.zone) else { return wanted };
        *remaining -= self.scoped_demand(proxy, RouteScope::OwnZone);
        if *remaining > 0.0 { wanted } else { Weights::new() }
    }

    /// A proxy's solved table while that stands, else its zone's default.
    pub(super) fn desired_table(
        &self,
        key: TableKey,
        default: &Weights,
        model: &mut LoadModel,
        now: Duration,
    ) -> Weights {
        let mut solved = self.critical_set.tables.get(&key).cloned().unwrap_or_default();
        solved.retain(|id, _| self.usable_fraction(&self.replicas[id], now) > 0.0);
        // The solver, or the loss of its other entries, would lean on a warming replica beside busy ones.
        let warming = |weights: &Weights| weight_fraction(weights, |id| self.is_warming(id, now));
        if !solved.is_empty() && warming(&solved) <= warming(default) {
            return solved;
        }
        if default.len() <= MAX_TABLE_ENTRIES {
            return default.clone();
        }
        let proxy = &self.proxies[&key.proxy];
        let nothing = Weights::new();
        model.small_default(&SmallDefault {
            key,
            zone: proxy.zone,
            requests_per_second: self.scoped_demand(proxy, key.scope),
            entries: self.parameters.default_table_size,
            candidates: default,
            current: self.sent_tables.get(&key).unwrap_or(&nothing),
        })
    }

    fn is_warming(&self, id: &ReplicaId, now: Duration) -> bool {
        self.replicas[id].warm_fraction(self.parameters.slow_start, now) < 1.0
    }

    /// Sends the entries that changed by enough, and returns what that takes in the channel.
    pub(super) fn update_table(&mut self, key: TableKey, wanted: Weights, assignment: Assignment) -> usize {
        let table = self.sent_tables.entry(key).or_default();
        let changes = changed_entries(table, &wanted);
        for change in &changes {
            table.insert(change.replica.clone(), change.weight);
        }
        table.retain(|_, weight| *weight > 0.0);
        let table_size = table.len();
        // A proxy whose number leaves none for its tables stays on what it holds.
        let Some(table) = key.table_id() else { return 0 };
        let change_count = changes.len();
        if !changes.is_empty() {
            self.pending.push_back(Decision::UpdateTable { table, entries: changes });
        }
        match assignment {
            Assignment::Existing => change_count,
            Assignment::New => {
                let classes = self.parameters.classes.in_scope(key.scope);
                self.pending.push_back(Decision::AssignTable { proxy: key.proxy, table, classes });
                // A host may name each entry of a first table twice, as proxies keep other governors'
                // ejections.
                1 + 2 * table_size
            }
        }
    }
}

/// Entries that are not wanted any more, and those whose weight moved by more than the noise.
fn changed_entries(table: &Weights, wanted: &Weights) -> Vec<TableEntry> {
    let mut changes = Vec::new();
    for replica in table.keys() {
        if !wanted.contains_key(replica) {
            changes.push(TableEntry { replica: replica.clone(), weight: 0.0 });
        }
    }
    for (replica, weight) in wanted {
        let weight = (weight * WEIGHT_STEPS).round().max(1.0) / WEIGHT_STEPS;
        let sent = get_or_default(table, replica);
        if (weight - sent).abs() > MIN_WEIGHT_CHANGE * weight.max(sent) {
            changes.push(TableEntry { replica: replica.clone(), weight });
        }
    }
    changes
}
