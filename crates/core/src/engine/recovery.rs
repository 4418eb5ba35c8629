//! State stored across restarts, and its use after a restart. [`crate::snapshot`] decides how much of it
//! still counts; see `docs/design/state.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{Phase, ProxyId, ReplicaId, ReplicaStatistics, RetryPolicy};

use crate::fleet::{JoinRequest, Proxy, TableKind};
use crate::frozen_tables::FrozenTable;
use crate::overrides::OverrideKind;
use crate::snapshot::{
    self, RestoredState, StoredFrozenEntry, StoredFrozenTable, StoredItem, StoredItems, StoredProxy,
    StoredReplica,
};
use crate::table_versions::{PublishedEntry, PublishedTable};
use crate::tables::{Table, VersionedTable};

use super::{Cause, Engine};

/// Tables that were migrated, or were held before a restart, are used for this long at most unless the module
/// decides earlier.
pub(super) const MIGRATED_TABLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A table that an operator froze before a restart, of a proxy that has not reconnected yet.
#[derive(Debug, Clone)]
pub(super) struct AwaitedFrozenTable {
    pub(super) published_at: Duration,
    pub(super) until: Duration,
    pub(super) stored: StoredFrozenTable,
}

// ---- before a restart

impl Engine {
    /// The items to store for the next run, by name. `before`: the items stored last time; `calendar`: the
    /// current time in calendar seconds; `epoch`: the number of this run; `classes`: the names of the traffic
    /// classes.
    pub fn stored_items(
        &self,
        now: Duration,
        before: &StoredItems,
        calendar: f64,
        epoch: u64,
        classes: &[String],
    ) -> StoredItems {
        let mut items = StoredItems::new();
        self.store_connected_proxies(&mut items, before, epoch);
        self.store_absent_proxies(&mut items, now);
        self.store_replicas(&mut items, now);
        self.store_admission(&mut items, now, classes);
        self.store_frozen_tables(&mut items, now, calendar, classes);
        self.store_awaited_frozen_tables(&mut items, now, calendar, classes);
        self.store_overrides(&mut items, now, calendar);
        items
    }

    fn store_connected_proxies(&self, items: &mut StoredItems, before: &StoredItems, epoch: u64) {
        for (id, proxy) in self.fleet.iter() {
            let name = format!("proxy/{}", proxy.name);
            let version = proxy.newest_version();
            let demand: Vec<f64> = (0..self.class_count)
                .map(|class| snapshot::quantized(self.guard.requests_per_second(id, class)))
                .collect();
            // Equal versions have equal tables, so these are not copied and compared again each time.
            let unchanged = before.get(&name).filter(|item| {
                matches!(&***item, StoredItem::Proxy(old)
                    if old.epoch == epoch && old.version == version && old.requests_per_second == demand)
            });
            let item = match unchanged {
                Some(item) => item.clone(),
                None => Arc::new(StoredItem::Proxy(stored_proxy(proxy, epoch, version, demand))),
            };
            items.insert(name, item);
        }
    }

    /// Keeps the state of proxies that have not reconnected yet, so that a second restart does not lose it.
    fn store_absent_proxies(&self, items: &mut StoredItems, now: Duration) {
        // In whole minutes, so that the growing duration is not written each time.
        let elapsed = self.restored.age + now.saturating_sub(self.restored_at);
        let elapsed_seconds = elapsed.as_secs() / 60 * 60;
        for (name, proxy) in &self.restored.proxies {
            let item = || StoredProxy {
                absent_seconds: proxy.absent_seconds + elapsed_seconds as f64,
                ..proxy.clone()
            };
            items.entry(format!("proxy/{name}")).or_insert_with(|| Arc::new(StoredItem::Proxy(item())));
        }
    }

    fn store_replicas(&self, items: &mut StoredItems, now: Duration) {
        let mut replicas: BTreeMap<&ReplicaId, StoredReplica> = BTreeMap::new();
        for (id, zone, per_second) in self.guard.throughput(now) {
            replicas.entry(id).or_default().throughput.push((zone, snapshot::quantized(per_second)));
        }
        for (id, known) in self.roster.iter() {
            if known.phase == Phase::Ready && self.tables.is_ejected(id) {
                replicas.entry(id).or_default().ejected = true;
            }
        }
        // Until the first roster, the restored ejections are not in use yet but must not be lost.
        for id in self.restored.ejected.keys() {
            replicas.entry(id).or_default().ejected = true;
        }
        for (id, replica) in replicas {
            items.insert(format!("replica/{id}"), Arc::new(StoredItem::Replica(replica)));
        }
    }

    fn store_admission(&self, items: &mut StoredItems, now: Duration, classes: &[String]) {
        let restored = (now < self.restored_admission_until).then_some(&self.restored.admission_fractions);
        for (class, ((fraction, policy), class_name)) in
            self.tables.admission().iter().zip(classes).enumerate()
        {
            let restored = restored.and_then(|fractions| fractions.get(&class).copied());
            let fraction = fraction.min(restored.unwrap_or(1.0));
            if fraction < 1.0 {
                let item = StoredItem::Admission { fraction, retry_policy: (*policy).into() };
                items.insert(format!("level/{class_name}"), Arc::new(item));
            }
        }
    }

    fn store_frozen_tables(&self, items: &mut StoredItems, now: Duration, calendar: f64, classes: &[String]) {
        for (name, class, frozen) in self.frozen_tables().filter(|(.., frozen)| !frozen.migrated) {
            let entry = |(id, entry): (&ReplicaId, &PublishedEntry)| StoredFrozenEntry {
                replica: id.clone(),
                address: entry.address.clone(),
                zone: entry.zone,
                weight: entry.weight,
            };
            let item = StoredFrozenTable {
                version: frozen.version,
                published_at: (calendar - now.saturating_sub(frozen.published_at).as_secs_f64()).round(),
                until: stored_until(frozen.until, now, calendar),
                reason: frozen.reason.clone(),
                entries: frozen.table.entries.iter().map(entry).collect(),
                admission_millionths: frozen.table.admission_millionths,
                retry_policy: frozen.table.retry_policy.into(),
            };
            let class = classes.get(class).map_or("", String::as_str);
            items.insert(format!("hold/{class}/{name}"), Arc::new(StoredItem::FrozenTable(item)));
        }
    }

    /// Keeps the frozen tables of proxies that have not reconnected yet, so that a second restart does not
    /// lose them.
    fn store_awaited_frozen_tables(
        &self,
        items: &mut StoredItems,
        now: Duration,
        calendar: f64,
        classes: &[String],
    ) {
        for ((name, class), frozen) in &self.awaited_frozen_tables {
            let until = stored_until(frozen.until, now, calendar);
            let item = || StoredItem::FrozenTable(StoredFrozenTable { until, ..frozen.stored.clone() });
            let class = classes.get(*class).map_or("", String::as_str);
            items.entry(format!("hold/{class}/{name}")).or_insert_with(|| Arc::new(item()));
        }
    }

    fn store_overrides(&self, items: &mut StoredItems, now: Duration, calendar: f64) {
        for (id, replica_override) in self.overrides.iter() {
            let weight = match replica_override.kind {
                OverrideKind::Exclude => None,
                OverrideKind::Weight(factor) => Some(factor),
            };
            let until = stored_until(replica_override.until, now, calendar);
            let item = StoredItem::Override { weight, until, reason: replica_override.reason.clone() };
            items.insert(format!("override/{id}"), Arc::new(item));
        }
        // Restored overrides that wait for the first roster.
        for (id, restored) in &self.restored.overrides {
            let until = stored_until(self.restored_at + restored.remaining, now, calendar);
            let item =
                StoredItem::Override { weight: restored.weight, until, reason: restored.reason.clone() };
            items.entry(format!("override/{id}")).or_insert_with(|| Arc::new(item));
        }
    }
}

/// Converts a time of this run to calendar seconds.
fn stored_until(until: Duration, now: Duration, calendar: f64) -> f64 {
    (calendar + until.saturating_sub(now).as_secs_f64()).round()
}

fn stored_proxy(proxy: &Proxy, epoch: u64, version: u64, requests_per_second: Vec<f64>) -> StoredProxy {
    let stored_table =
        |table: &Option<VersionedTable>| table.as_ref().map(|versioned| (&*versioned.table).into());
    StoredProxy {
        zone: proxy.zone,
        epoch,
        version,
        has_dedicated_table: proxy.kind() == TableKind::Assigned,
        tables: proxy.tables.iter().map(stored_table).collect(),
        retry_policies: proxy.retry_policies.1.iter().map(|policy| (*policy).into()).collect(),
        requests_per_second,
        absent_seconds: 0.0,
    }
}

// ---- after a restart

impl Engine {
    /// Loads the state from before a restart. Must be called before the first roster and the first proxy.
    pub fn restore(&mut self, now: Duration, restored: RestoredState) {
        self.restored_at = now;
        self.restored_admission_until = now + restored.admission_remaining;
        self.awaited_frozen_tables = restored
            .frozen_tables
            .iter()
            .map(|(key, restored)| {
                let frozen = AwaitedFrozenTable {
                    published_at: now.saturating_sub(restored.age),
                    until: now + restored.remaining,
                    stored: restored.stored.clone(),
                };
                (key.clone(), frozen)
            })
            .collect();
        for ((id, zone), per_second) in &restored.throughput {
            self.guard.restore_throughput(now, id, *zone, *per_second);
        }
        self.restored = restored;
    }

    /// The usual request rate of a proxy: the rate that it reports, mixed with the rate measured before a
    /// restart.
    pub(super) fn ordinary_demand(&self, join: &JoinRequest, restored: Option<&StoredProxy>) -> f64 {
        let Some(known) = restored else { return join.requests_per_second };
        let weight = snapshot::decay_factor(self.restored.age, snapshot::DEMAND_HALF_LIFE);
        join.requests_per_second
            + (known.requests_per_second.iter().sum::<f64>() - join.requests_per_second) * weight
    }

    /// Restores the tables that a newly connected proxy was sent before a restart, so that it is sent only
    /// the differences. Dedicated tables apply, less what the rules forbid, until the module has decided.
    pub(super) fn resume_proxy(&mut self, now: Duration, id: ProxyId, known: StoredProxy) {
        let version = self.version;
        let policies: Vec<RetryPolicy> = known.retry_policies.iter().map(|policy| (*policy).into()).collect();
        let reason: Arc<str> = "known from before a restart".into();
        for (class, stored) in known.tables.into_iter().enumerate().take(self.class_count) {
            let Some(stored) = stored else { continue };
            let table = Table::from(stored);
            let demand = known.requests_per_second.get(class).copied().unwrap_or(0.0);
            self.guard.set_current_table(id, class, demand, Some(&table));
            if known.has_dedicated_table {
                let policy = policies.get(class).copied().unwrap_or_default();
                let frozen = FrozenTable {
                    version,
                    published_at: now.saturating_sub(self.restored.age),
                    table: PublishedTable::of(&table, policy),
                    since: now,
                    until: now + MIGRATED_TABLE_TIMEOUT,
                    reason: reason.clone(),
                    migrated: true,
                };
                self.frozen_tables.entry((id, class)).or_insert(frozen);
            }
            if let Some(proxy) = self.fleet.get_mut(id) {
                proxy.tables[class] = Some(VersionedTable { version, table: Arc::new(table) });
            }
        }
        if let Some(proxy) = self.fleet.get_mut(id)
            && proxy.retry_policies.1.len() == policies.len()
        {
            proxy.retry_policies = (version, policies);
        }
    }

    /// Applies the restored state of replicas, once there is a roster.
    pub(super) fn apply_restored_replicas(&mut self, now: Duration) {
        let throughput = std::mem::take(&mut self.restored.throughput);
        if !self.restored.ejected.is_empty() {
            self.report_restored_successes(now, throughput);
        }
        for (id, attempts) in std::mem::take(&mut self.restored.ejected) {
            let Some(known) = self.roster.get(&id).filter(|known| known.phase == Phase::Ready) else {
                continue;
            };
            // The replica was replaced under the same name since; the stored state is of another process.
            if known.started_at.is_some_and(|started| now.saturating_sub(started) < self.restored.age) {
                continue;
            }
            self.report_restored_statistics(now, known.zone, id, attempts, attempts);
        }
        for (id, restored) in std::mem::take(&mut self.restored.overrides) {
            let kind = restored.weight.map_or(OverrideKind::Exclude, OverrideKind::Weight);
            let until = self.restored_at + restored.remaining;
            // Fails for a replica that is no longer listed, which needs no override.
            let _ = self.override_replica(now, &id, kind, until, &restored.reason);
        }
    }

    /// The module ejects a replica where everything fails only if it observes successes at others.
    fn report_restored_successes(&mut self, now: Duration, throughput: BTreeMap<(ReplicaId, usize), f64>) {
        for ((id, zone), per_second) in throughput {
            let succeeded =
                (per_second * snapshot::RESTORED_REPORT_INTERVAL.as_secs_f64()).round().min(1e6) as u64;
            let ready = self.roster.is_ready(&id);
            if ready && succeeded > 0 && !self.restored.ejected.contains_key(&id) {
                self.report_restored_statistics(now, zone, id, succeeded, 0);
            }
        }
    }

    fn report_restored_statistics(
        &mut self,
        now: Duration,
        zone: usize,
        replica: ReplicaId,
        attempts: u64,
        failed: u64,
    ) {
        let statistics = ReplicaStatistics {
            zone,
            replica,
            attempts,
            failed,
            mean_latency: None,
            interval: self.report_interval,
            load: Vec::new(),
        };
        self.governor.record_replica_statistics(now, statistics);
        self.causes.insert(Cause::Reports);
    }

    /// Drops restored state that has expired.
    pub(super) fn expire_restored(&mut self, now: Duration) {
        if !self.restored.admission_fractions.is_empty() && now >= self.restored_admission_until {
            self.restored.admission_fractions.clear();
            self.refresh(now, &self.fleet.proxy_ids());
        }
        if now >= self.restored_at + snapshot::TABLE_LIFETIME {
            // A proxy that has not reconnected by now has moved to another governor or no longer exists.
            self.restored.proxies.clear();
        }
        self.awaited_frozen_tables.retain(|_, frozen| now < frozen.until);
    }
}
