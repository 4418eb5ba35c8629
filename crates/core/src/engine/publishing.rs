//! Publishing: the module's tables with operators' overrides applied, checked by the guard, and stored under
//! a version.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{Phase, ProxyId, ReplicaId, RetryPolicy};

use crate::fleet::{AcknowledgementRequest, Proxy};
use crate::frozen_tables::{self, ReleaseReason};
use crate::guard::{ProposedTable, ShiftLimit};
use crate::history::HistoryEntry;
use crate::table_versions::{PublishedState, PublishedTable};
use crate::tables::{ResolvedEntry, Table, Tables, VersionedTable};

use super::{Action, Engine, EngineEvent};

/// Options of a refresh.
#[derive(Debug, Clone, Copy)]
pub(super) struct RefreshOptions {
    /// The number with which the module requested an acknowledgement of what is published, if it did.
    pub(super) requested_acknowledgement: Option<u16>,
    pub(super) shift_limit: ShiftLimit,
    pub(super) recheck: Recheck,
}

impl Default for RefreshOptions {
    fn default() -> Self {
        RefreshOptions {
            requested_acknowledgement: None,
            shift_limit: ShiftLimit::Unlimited,
            recheck: Recheck::ChangedTables,
        }
    }
}

/// Which tables a refresh has the guard check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Recheck {
    /// Changed tables only.
    ChangedTables,
    /// Changed tables, and unchanged ones that may break rules since the state that they are judged by has
    /// changed.
    SuspectTables,
}

/// The table that a proxy should hold.
struct DesiredTable {
    table: Table,
    /// The proxy has a frozen table of which no usable entry is left.
    frozen_table_empty: bool,
}

/// A table that a proxy should hold and does not hold yet, or that must be checked again.
struct ChangedTable {
    proxy: ProxyId,
    class: usize,
    table: Table,
}

/// Tables that the guard passed or corrected, by proxy and traffic class.
type CheckedTables = BTreeMap<(ProxyId, usize), Table>;

impl Engine {
    /// Updates the tables of these proxies and queues the changes for sending.
    pub(super) fn refresh(&mut self, now: Duration, proxies: &[ProxyId]) {
        self.refresh_with(now, proxies, RefreshOptions::default());
    }

    /// Like [`Engine::refresh`], with options.
    pub(super) fn refresh_with(&mut self, now: Duration, proxies: &[ProxyId], options: RefreshOptions) {
        let changed = self.changed_tables(now, proxies, options.recheck);
        let mut checked = self.check_tables(now, changed, options.shift_limit);
        let version = self.version + 1;
        let retry_policies = self.tables.retry_policies();
        let mut updated = Vec::new();
        for id in proxies {
            let Some(proxy) = self.fleet.get_mut(*id) else { continue };
            let update = Update {
                version,
                tables: &self.tables,
                excluded: |id: &ReplicaId| self.overrides.excludes(id),
            };
            let mut change = update.apply(*id, proxy, &mut checked);
            if proxy.retry_policies.1 != retry_policies {
                proxy.retry_policies = (version, retry_policies.clone());
                change.entries += self.class_count;
            }
            if change.entries > 0 {
                updated.push(*id);
                if let Some(number) = options.requested_acknowledgement {
                    proxy.request_acknowledgement(AcknowledgementRequest { version, number, at: now });
                }
                self.send_limiter.request(now, *id, change.entries, change.urgent);
            }
        }
        self.version += u64::from(!updated.is_empty());
        for id in updated {
            self.store_version(now, id);
        }
    }

    /// The tables of these proxies that differ from the ones they hold, or must be checked again.
    fn changed_tables(&mut self, now: Duration, proxies: &[ProxyId], recheck: Recheck) -> Vec<ChangedTable> {
        let (suspects, refused) = match recheck {
            Recheck::ChangedTables => (BTreeSet::new(), BTreeSet::new()),
            Recheck::SuspectTables => (self.suspect_replicas(now), self.guard.proxies_with_refusals()),
        };
        let routes_to_suspect = |table: &Table| {
            table.entries.iter().any(|entry| entry.routable && suspects.contains(&entry.replica))
        };
        let mut changed = Vec::new();
        for id in proxies.iter().copied() {
            for class in 0..self.class_count {
                let Some(desired) = self.desired_table(id, class) else { continue };
                if desired.frozen_table_empty {
                    self.release_empty(id, class);
                }
                let current = self.fleet.get(id).and_then(|proxy| proxy.tables[class].as_ref());
                let unchanged = current.is_some_and(|current| *current.table == desired.table);
                if unchanged {
                    self.guard.clear_refusals(id, class);
                }
                let check_again = recheck == Recheck::SuspectTables
                    && (refused.contains(&id) || routes_to_suspect(&desired.table));
                let has_content = current.is_some() || !desired.table.entries.is_empty();
                if (!unchanged || check_again) && has_content {
                    changed.push(ChangedTable { proxy: id, class, table: desired.table });
                }
            }
        }
        changed
    }

    fn release_empty(&mut self, id: ProxyId, class: usize) {
        self.frozen_tables.remove(&(id, class));
        let event = EngineEvent::FrozenTableReleased {
            proxy: self.name_of(id),
            class,
            reason: ReleaseReason::NoUsableEntry,
        };
        self.pending_actions.push_back(Action::Report(event));
    }

    /// Lets the guard check the changed tables as one change, and reports its refusals.
    fn check_tables(
        &mut self,
        now: Duration,
        changed: Vec<ChangedTable>,
        shift_limit: ShiftLimit,
    ) -> CheckedTables {
        let keys: Vec<(ProxyId, usize)> = changed.iter().map(|change| (change.proxy, change.class)).collect();
        let fleet = &self.fleet;
        let proposed = |change: ChangedTable| {
            let proxy = fleet.get(change.proxy)?;
            Some(ProposedTable {
                proxy: change.proxy,
                zone: proxy.zone,
                class: change.class,
                held: proxy.tables[change.class].as_ref().map(|current| &*current.table),
                default_table: &proxy.default_table,
                wanted: change.table,
            })
        };
        let proposed: Vec<ProposedTable> = changed.into_iter().filter_map(proposed).collect();
        let (tables, overrides) = (&self.tables, &self.overrides);
        let ejected = |id: &ReplicaId| tables.is_ejected(id) || overrides.excludes(id);
        let checked = self.guard.check(now, &self.roster, ejected, shift_limit, proposed);
        while let Some(refusal) = self.guard.next_new_refusal() {
            self.pending_actions.push_back(Action::Report(EngineEvent::TableRefused(refusal)));
        }
        keys.into_iter().zip(checked).collect()
    }

    /// The table that a proxy should hold for a traffic class; `None` if nothing is to be published to it.
    fn desired_table(&self, id: ProxyId, class: usize) -> Option<DesiredTable> {
        let proxy = self.fleet.get(id)?;
        let module_table = self.module_table(proxy, class);
        let empty = Table { entries: Vec::new(), admission_fraction: 1.0 };
        let mut desired = match self.frozen_tables.get(&(id, class)) {
            None => DesiredTable { table: module_table?, frozen_table_empty: false },
            Some(frozen) => {
                let current = module_table.as_ref().unwrap_or(&empty);
                let ejected = |id: &ReplicaId| self.tables.is_ejected(id);
                match frozen_tables::resolve(frozen, current, &self.roster, ejected) {
                    (Some(table), _) => DesiredTable { table, frozen_table_empty: false },
                    (None, _) => {
                        DesiredTable { table: module_table.unwrap_or(empty), frozen_table_empty: true }
                    }
                }
            }
        };
        self.overrides.apply(&mut desired.table);
        Some(desired)
    }

    /// The module's table. An admission fraction from before a restart caps its own while it is valid.
    fn module_table(&self, proxy: &Proxy, class: usize) -> Option<Table> {
        let overridden = proxy.default_table.iter().any(|(id, _)| self.overrides.contains(id));
        let published = proxy.tables[class].is_some() || overridden;
        let assigned = proxy.assigned_tables[class];
        let mut table =
            self.tables.resolve(&self.roster, class, assigned, &proxy.default_table, published)?;
        // The restored fraction applies until the module sets another one, and for some seconds at most. The
        // module starts by admitting everything, so without it a continuing overload would be admitted until
        // it is detected again.
        if let Some(fraction) = self.restored.admission_fractions.get(&class) {
            table.admission_fraction = table.admission_fraction.min(*fraction);
        }
        Some(table)
    }

    /// The module's current table for a proxy's traffic class, whether frozen or not.
    pub(super) fn current_table(&self, id: ProxyId, class: usize) -> Table {
        let current = self.fleet.get(id).and_then(|proxy| {
            let assigned = proxy.assigned_tables[class];
            self.tables.resolve(&self.roster, class, assigned, &proxy.default_table, true)
        });
        current.unwrap_or(Table { entries: Vec::new(), admission_fraction: 1.0 })
    }

    /// Whether a replica must receive no requests: the module has ejected it, or an operator has excluded it.
    pub(super) fn is_out(&self, replica: &ReplicaId) -> bool {
        self.tables.is_ejected(replica) || self.overrides.excludes(replica)
    }

    /// Replicas that are not ready, are out, or are overloaded; tables that route to them must be checked
    /// again.
    fn suspect_replicas(&self, now: Duration) -> BTreeSet<ReplicaId> {
        let mut suspects = self.guard.overloaded_replicas(now, &self.roster, |id| self.is_out(id));
        for (id, known) in self.roster.iter() {
            if known.phase != Phase::Ready || self.is_out(id) {
                suspects.insert(id.clone());
            }
        }
        suspects
    }

    /// Checks all tables again after a new roster.
    pub(super) fn recheck_everything(&mut self, now: Duration) {
        let options = RefreshOptions { recheck: Recheck::SuspectTables, ..RefreshOptions::default() };
        self.refresh_with(now, &self.fleet.proxy_ids(), options);
    }

    /// Checks the refused tables again, and the current tables that route to an overloaded replica.
    pub(super) fn recheck_overloaded(&mut self, now: Duration) {
        let overloaded = self.guard.overloaded_replicas(now, &self.roster, |id| self.is_out(id));
        let refused = self.guard.proxies_with_refusals();
        let routes_to_overloaded = |proxy: &Proxy| {
            let mut entries = proxy.tables.iter().flatten().flat_map(|current| &current.table.entries);
            entries.any(|entry| entry.routable && overloaded.contains(&entry.replica))
        };
        let affected = |(id, proxy): (ProxyId, &Proxy)| {
            (refused.contains(&id) || !overloaded.is_empty() && routes_to_overloaded(proxy)).then_some(id)
        };
        let affected: Vec<ProxyId> = self.fleet.iter().filter_map(affected).collect();
        if affected.is_empty() {
            return;
        }
        let options = RefreshOptions {
            shift_limit: ShiftLimit::Limited,
            recheck: Recheck::SuspectTables,
            ..RefreshOptions::default()
        };
        self.refresh_with(now, &affected, options);
    }

    /// Stores the current tables of a proxy as a version in the history.
    pub(super) fn store_version(&mut self, now: Duration, id: ProxyId) {
        let Some(proxy) = self.fleet.get(id) else { return };
        let published = |(versioned, policy): (&Option<VersionedTable>, &RetryPolicy)| {
            versioned.as_ref().map(|versioned| PublishedTable::of(&versioned.table, *policy))
        };
        let state = PublishedState {
            classes: proxy.tables.iter().zip(&proxy.retry_policies.1).map(published).collect(),
        };
        let entry = HistoryEntry {
            version: proxy.newest_version(),
            published_at: now,
            digest: state.digest(),
            state: Arc::new(state),
        };
        self.history.push(id, entry);
    }
}

/// Replaces the tables that a proxy holds by checked ones.
struct Update<'a, Excluded> {
    version: u64,
    tables: &'a Tables,
    /// Whether an operator excludes a replica.
    excluded: Excluded,
}

/// The result of an update of a proxy.
#[derive(Debug, Default)]
struct ProxyChange {
    /// The number of changed entries.
    entries: usize,
    /// The change must not wait behind ordinary updates of other proxies.
    urgent: bool,
}

impl<Excluded: Fn(&ReplicaId) -> bool> Update<'_, Excluded> {
    fn apply(&self, id: ProxyId, proxy: &mut Proxy, checked: &mut CheckedTables) -> ProxyChange {
        let mut change = ProxyChange::default();
        for class in 0..proxy.tables.len() {
            let Some(table) = checked.remove(&(id, class)) else { continue };
            let current = proxy.tables[class].take();
            if current.as_ref().is_some_and(|current| *current.table == table) {
                proxy.tables[class] = current;
                continue;
            }
            change.entries += match &current {
                Some(current) => table.count_differences(&current.table),
                None => table.entries.len() + 1,
            };
            change.urgent |= match &current {
                Some(current) => self.routes_to_unavailable(&current.table),
                None => self.holds_unknown_or_ejected(proxy),
            };
            // Traffic classes with equal tables share one allocation.
            let equal = proxy.tables[..class].iter().flatten().find(|other| *other.table == table);
            let table = equal.map_or_else(|| Arc::new(table), |other| other.table.clone());
            proxy.tables[class] = Some(VersionedTable { version: self.version, table });
        }
        change
    }

    fn routes_to_unavailable(&self, current: &Table) -> bool {
        let excluded = |entry: &ResolvedEntry| entry.routable && (self.excluded)(&entry.replica);
        self.tables.routes_to_ejected(current) || current.entries.iter().any(excluded)
    }

    /// An update is urgent for a proxy whose tables are unknown, or whose default table names an ejected
    /// replica: it may send requests to a draining replica.
    fn holds_unknown_or_ejected(&self, proxy: &Proxy) -> bool {
        !proxy.holds_default_table || proxy.default_table.iter().any(|(id, _)| self.tables.is_ejected(id))
    }
}
