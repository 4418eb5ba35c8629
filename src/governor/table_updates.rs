//! Sends table updates: solved tables to critical proxies, default tables to the others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Governor;
use super::arithmetic::{get_or_default, ratio};
use super::default_tables::{DefaultTables, Staleness, ZoneScope};
use super::ejection_updates::EJECT_QUEUE_FRACTION;
use super::load_model::LoadModel;
use super::proxy_state::{DefaultTable, DefaultTableContents, DefaultTableSample, ProxyState};
use super::replica_state::ReplicaState;
use super::send_queue::Purpose;
use super::tables::{MAX_TABLE_ENTRIES, RouteScope, TableKey, Weights, weight_fraction};
use super::water_filling::SmallDefault;
use crate::types::{Decision, ProxyId, ReplicaId, TableEntry};

/// Minimum relative change of a weight to be sent; smaller changes are within the noise of the statistics.
const MIN_WEIGHT_CHANGE: f64 = 0.12;
/// Weights are rounded to multiples of 1 divided by this.
const WEIGHT_STEPS: f64 = 1000.0;
/// Updates of a table with fewer replicas than this are urgent.
const MIN_REPLICAS: usize = 3;
/// A busy proxy's few entries create hot spots if each is sent this fraction of a replica's average load.
const HOT_SPOT_FRACTION: f64 = 0.07;
/// Fraction of the send queue that urgent tables may fill.
const URGENT_QUEUE_FRACTION: f64 = 0.8;
/// Fraction of the send queue that all other tables may fill; the rest is for ejections.
const ORDINARY_QUEUE_FRACTION: f64 = 0.5;

/// The proxies whose tables are updated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Recipients {
    All,
    /// Proxies whose tables are not known.
    Unsynchronised,
    /// Proxies whose tables are not known, or have no replica left that they may use.
    Unserved,
}

/// Whether a proxy already uses the tables that it is sent, and what it follows from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Assignment {
    /// It uses them, and follows its dedicated tables.
    Existing,
    /// It must be assigned them, and follows its dedicated tables.
    New,
    /// It must be assigned them, and goes on following its zone's default table.
    NewDefault,
}

/// The order of updates, as the channel may not have room for all at once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Priority {
    /// The proxy's table has no replica left, so it rejects all requests.
    WithoutReplicas,
    Unsynchronised,
    /// The proxy's table may contain few replicas, or none.
    Urgent,
    /// The proxy's default table may contain replicas that this governor never knew.
    Unverified,
    Ordinary,
}

impl Priority {
    fn queue_fraction(self) -> f64 {
        match self {
            Priority::WithoutReplicas | Priority::Unsynchronised | Priority::Urgent => URGENT_QUEUE_FRACTION,
            Priority::Unverified | Priority::Ordinary => ORDINARY_QUEUE_FRACTION,
        }
    }
}

/// A proxy whose tables are to be updated.
struct PendingUpdate {
    priority: Priority,
    demand: f64,
    proxy: ProxyId,
    assignment: Assignment,
}

/// Inputs for the computation of tables.
struct TableSources {
    defaults: DefaultTables,
    model: LoadModel,
    /// Remaining requests per second that may be sent to each zone without a warm replica.
    underprovisioned_capacity: BTreeMap<usize, f64>,
}

/// Criteria for which proxies need a dedicated table.
struct AssignmentCriteria {
    without_replicas: BTreeSet<ProxyId>,
    critical: BTreeSet<ProxyId>,
    /// Demand above which the entries of a default table create hot spots.
    busy_demand: f64,
    staleness: BTreeMap<DefaultTableSample, Staleness>,
    tables_replace_ejections: bool,
}

impl Governor {
    /// Sends proxies the changes of their tables, as far as they fit into the send queue.
    pub(super) fn send_tables(&mut self, now: Duration, recipients: Recipients) {
        let mut sources = TableSources {
            defaults: self.default_tables(now),
            model: self.load_model(now),
            underprovisioned_capacity: self.underprovisioned_capacity(now),
        };
        let drain_is_unsent = self.unsent_ejections().any(|replica| !replica.ready);
        for update in self.pending_updates(&sources, recipients) {
            let entries = 2.0 * MAX_TABLE_ENTRIES as f64;
            let queue_fraction = match update.priority {
                // The table takes the draining replica from the proxy, for less than its ejection.
                Priority::Unsynchronised if drain_is_unsent => EJECT_QUEUE_FRACTION,
                priority => priority.queue_fraction(),
            };
            if !self.send_queue.fits(entries, queue_fraction, &self.parameters) {
                break;
            }
            self.send_proxy_tables(&update, &mut sources, now);
        }
    }

    /// The proxies to update, by priority and then by demand, the busiest first.
    fn pending_updates(&self, sources: &TableSources, recipients: Recipients) -> Vec<PendingUpdate> {
        let mut criteria = AssignmentCriteria {
            without_replicas: self.proxies_without_replicas(),
            critical: self.critical_set.proxies(),
            busy_demand: self.busy_demand(&sources.model),
            staleness: BTreeMap::new(),
            tables_replace_ejections: self.tables_replace_ejections(),
        };
        let mut updates = Vec::new();
        for (&id, proxy) in &self.proxies {
            updates.extend(self.pending_update(id, proxy, sources, &mut criteria, recipients));
        }
        updates.sort_by(|a, b| a.priority.cmp(&b.priority).then(b.demand.total_cmp(&a.demand)));
        updates
    }

    /// Whether the ejections of all draining replicas that are not sent yet don't fit into the channel, and a
    /// dedicated table takes fewer entries than they do.
    pub(super) fn tables_replace_ejections(&self) -> bool {
        let drains = self.unsent_ejections().filter(|replica| !replica.ready).count();
        let table_size = self.parameters.default_table_size.min(MAX_TABLE_ENTRIES);
        drains > first_table_cost(table_size) && !self.unsent_drains_fit()
    }

    /// The demand above which a proxy needs a dedicated table. The proxies of other governors are assumed to
    /// have the same average demand.
    fn busy_demand(&self, model: &LoadModel) -> f64 {
        let fleet_factor = ratio(self.parameters.shared_proxies, self.proxies.len() as f64).max(1.0);
        let mean_replica_rate = model.loads.iter().sum::<f64>() / self.ready_replicas().max(1.0);
        HOT_SPOT_FRACTION * (fleet_factor * self.parameters.default_table_size as f64) * mean_replica_rate
    }

    fn pending_update(
        &self,
        id: ProxyId,
        proxy: &ProxyState,
        sources: &TableSources,
        criteria: &mut AssignmentCriteria,
        recipients: Recipients,
    ) -> Option<PendingUpdate> {
        let demand = self.total_admitted_demand(proxy);
        let update = |priority, assignment| Some(PendingUpdate { priority, demand, proxy: id, assignment });
        if proxy.unsynchronised || !proxy.has_sent_tables() && criteria.tables_replace_ejections {
            return update(Priority::Unsynchronised, Assignment::New);
        }
        let assignment = if proxy.has_sent_tables() { Assignment::Existing } else { Assignment::New };
        if recipients != Recipients::Unsynchronised && criteria.without_replicas.contains(&id) {
            return update(Priority::WithoutReplicas, assignment);
        }
        if recipients != Recipients::All {
            return None;
        }
        let Some(sample) = proxy.default_sample() else {
            let few_replicas = self.has_few_replicas(id, &sources.model);
            return update(
                if few_replicas { Priority::Urgent } else { Priority::Ordinary },
                Assignment::Existing,
            );
        };
        let default = &sources.defaults[&ZoneScope { zone: proxy.zone, scope: RouteScope::AnyZone }];
        let staleness = *criteria.staleness.entry(sample).or_insert_with(|| self.staleness(sample, default));
        let busy = demand > criteria.busy_demand && self.is_partial_sample(sample);
        let is_current = staleness == Staleness::Current && !busy && !criteria.critical.contains(&id);
        if staleness == Staleness::Urgent {
            update(Priority::Urgent, assignment)
        } else if proxy.is_unverified() {
            update(Priority::Unverified, if is_current { Assignment::NewDefault } else { assignment })
        } else if is_current {
            None
        } else {
            update(Priority::Ordinary, assignment)
        }
    }

    /// The connected proxies that have no replica left which they may use, as far as their tables are known.
    pub(super) fn proxies_without_replicas(&self) -> BTreeSet<ProxyId> {
        let mut exhausted: BTreeMap<DefaultTableSample, bool> = BTreeMap::new();
        let mut lacks_replicas = |id: ProxyId, proxy: &ProxyState| match proxy.default_sample() {
            _ if proxy.has_sent_tables() => self.sent_tables_lack_replicas(id),
            Some(sample) => *exhausted.entry(sample).or_insert_with(|| self.is_exhausted(sample)),
            None => false,
        };
        let proxies = self.proxies.iter().filter(|(id, proxy)| lacks_replicas(**id, proxy));
        proxies.map(|(id, _)| *id).collect()
    }

    /// Whether the default tables of a sample contain only replicas that proxies must not use, while there are
    /// others.
    fn is_exhausted(&self, sample: DefaultTableSample) -> bool {
        let is_candidate = |replica: &&ReplicaState| replica.is_candidate(sample);
        let mut candidates = self.replicas.values().filter(is_candidate).peekable();
        candidates.peek().is_some()
            && !candidates.any(ReplicaState::is_routable)
            && self.replicas.values().any(ReplicaState::is_routable)
    }

    fn sent_tables_lack_replicas(&self, id: ProxyId) -> bool {
        RouteScope::ALL.iter().any(|scope| {
            let is_used = self.parameters.classes.in_scope(*scope) != 0;
            is_used && !self.has_usable_entry(TableKey::new(id, *scope))
        })
    }

    fn has_usable_entry(&self, key: TableKey) -> bool {
        let may_be_used =
            |id: &ReplicaId| self.replicas.get(id).is_some_and(|replica| !replica.ejection_sent);
        self.sent_tables.get(&key).is_some_and(|table| table.keys().any(may_be_used))
    }

    fn has_few_replicas(&self, proxy: ProxyId, model: &LoadModel) -> bool {
        let few_replicas = |scope: &RouteScope| {
            let used = self.parameters.classes.in_scope(*scope) != 0;
            used && model.replica_count(TableKey::new(proxy, *scope)) < MIN_REPLICAS
        };
        RouteScope::ALL.iter().any(few_replicas)
    }

    fn send_proxy_tables(&mut self, update: &PendingUpdate, sources: &mut TableSources, now: Duration) {
        let new_default = (update.assignment == Assignment::NewDefault)
            .then(|| self.new_default_table(update.proxy, sources, now));
        let mut cost = 0;
        for scope in RouteScope::ALL {
            if self.parameters.classes.in_scope(scope) != 0 {
                let key = TableKey::new(update.proxy, scope);
                let wanted = match &new_default {
                    Some(weights) => weights.clone(),
                    None => self.wanted_weights(key, sources, now),
                };
                cost += self.update_table(key, wanted, update.assignment);
            }
        }
        if cost > 0 {
            let is_first = matches!(update.priority, Priority::Unsynchronised | Priority::Unverified);
            let purpose = if is_first { Purpose::FirstTable } else { Purpose::Table };
            let entries = cost as f64 + (self.parameters.message_overhead_entries + 1.0);
            self.send_queue.add(entries, 1.0, purpose);
        }
        let roster_at = self.roster_updated_at;
        if let Some(proxy) = self.proxies.get_mut(&update.proxy) {
            let sample = DefaultTableSample { roster_at, zone: proxy.zone };
            proxy.unsynchronised = false;
            proxy.default_table = match update.assignment {
                Assignment::Existing | Assignment::New => None,
                Assignment::NewDefault => Some(DefaultTable { sample, contents: DefaultTableContents::Sent }),
            };
        }
    }

    /// A default table as a proxy samples it: one for all classes, of replicas in its zone. A table for each scope
    /// would need up to twice as many connections.
    fn new_default_table(&self, proxy: ProxyId, sources: &mut TableSources, now: Duration) -> Weights {
        let zone_bound = self.parameters.has_zone_bound_classes();
        let scope = if zone_bound { RouteScope::OwnZone } else { RouteScope::AnyZone };
        let zone = self.proxies[&proxy].zone;
        let default = &sources.defaults[&ZoneScope { zone, scope: RouteScope::OwnZone }];
        self.desired_table(TableKey::new(proxy, scope), default, &mut sources.model, now)
    }

    /// The entries that a table should have. In a zone without a warm replica, only as many tables as its
    /// capacity allows get entries; the other proxies have empty tables until a replica is warm.
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

    /// A proxy's solved table while it is usable, otherwise its zone's default table.
    pub(super) fn desired_table(
        &self,
        key: TableKey,
        default: &Weights,
        model: &mut LoadModel,
        now: Duration,
    ) -> Weights {
        let mut solved = self.critical_set.tables.get(&key).cloned().unwrap_or_default();
        solved.retain(|id, _| self.routable_fraction(&self.replicas[id], now) > 0.0);
        // The solver prefers warming replicas to busy ones, and the loss of other entries raises their share.
        // The solved table is used only if it sends them no more than the default table.
        let warming = |weights: &Weights| weight_fraction(weights, |id| self.is_warming(id, now));
        if !solved.is_empty() && warming(&solved) <= warming(default) {
            return solved;
        }
        if default.len() <= MAX_TABLE_ENTRIES {
            return default.clone();
        }
        let proxy = &self.proxies[&key.proxy];
        let no_entries = Weights::new();
        model.small_default(&SmallDefault {
            key,
            zone: proxy.zone,
            requests_per_second: self.scoped_demand(proxy, key.scope),
            entries: self.parameters.default_table_size,
            candidates: default,
            current: self.sent_tables.get(&key).unwrap_or(&no_entries),
        })
    }

    fn is_warming(&self, id: &ReplicaId, now: Duration) -> bool {
        self.replicas[id].warm_fraction(self.parameters.slow_start, now) < 1.0
    }

    /// Sends the entries that changed significantly, and returns their cost in the send queue.
    pub(super) fn update_table(&mut self, key: TableKey, wanted: Weights, assignment: Assignment) -> usize {
        let table = self.sent_tables.entry(key).or_default();
        let changes = changed_entries(table, &wanted);
        for change in &changes {
            table.insert(change.replica.clone(), change.weight);
        }
        table.retain(|_, weight| *weight > 0.0);
        let table_size = table.len();
        // A proxy without table numbers keeps the tables that it has.
        let Some(table) = key.table_id() else { return 0 };
        let change_count = changes.len();
        if !changes.is_empty() {
            self.pending.push_back(Decision::UpdateTable { table, entries: changes });
        }
        match assignment {
            Assignment::Existing => change_count,
            Assignment::New | Assignment::NewDefault => {
                let classes = self.parameters.classes.in_scope(key.scope);
                self.pending.push_back(Decision::AssignTable { proxy: key.proxy, table, classes });
                first_table_cost(table_size)
            }
        }
    }
}

/// Entries that a proxy's first table takes in the send queue. A host may send each entry twice, as proxies keep
/// the ejections of other governors.
fn first_table_cost(table_size: usize) -> usize {
    1 + 2 * table_size
}

/// The removed entries, and those whose weight changed by more than [`MIN_WEIGHT_CHANGE`].
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
