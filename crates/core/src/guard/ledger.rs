//! The load ledger: the demand and tables of this governor's proxies, and the expected load and observed
//! throughput of each replica.

use std::collections::BTreeMap;
use std::time::Duration;

use wrenthread::types::{Phase, ProxyId, ReplicaId};

use crate::roster::Roster;
use crate::tables::{ResolvedEntry, Table};

use super::checks::ProposedTable;

/// Half-life of observed throughput, in seconds.
const THROUGHPUT_HALF_LIFE_SECONDS: f64 = 60.0;
/// Upper limit of the demand that a proxy can declare; a larger figure can't be true.
const MAX_REQUESTS_PER_SECOND: f64 = 1e9;
/// Intervals are taken to be at least this long.
const MIN_INTERVAL_SECONDS: f64 = 0.1;

/// A proxy and a traffic class.
type AssignmentKey = (ProxyId, usize);

/// The demand of one proxy for one traffic class, and how it is distributed over replicas.
#[derive(Debug, Clone, Default, PartialEq)]
struct Assignment {
    requests_per_second: f64,
    /// By replica; their sum is 1.
    fractions: Vec<(ReplicaId, f64)>,
}

/// Recent peak throughput of a replica, and when it was observed.
#[derive(Debug, Clone, Copy)]
struct PeakThroughput {
    per_second: f64,
    at: Duration,
}

impl PeakThroughput {
    fn decayed(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.per_second * 0.5f64.powf(age / THROUGHPUT_HALF_LIFE_SECONDS)
    }
}

/// Expected load by replica, and the figures that it is computed from.
#[derive(Debug, Clone, Default)]
pub(super) struct LoadLedger {
    assignments: BTreeMap<AssignmentKey, Assignment>,
    /// Requests per second by replica.
    load: BTreeMap<ReplicaId, f64>,
    /// By replica and zone of the proxies.
    throughput: BTreeMap<(ReplicaId, usize), PeakThroughput>,
}

/// Routable entries as fractions of the sum of their weights.
fn fractions(table: &Table) -> Vec<(ReplicaId, f64)> {
    let has_valid_weight =
        |entry: &&ResolvedEntry| entry.routable && entry.weight.is_finite() && entry.weight > 0.0;
    let total: f64 = table.entries.iter().filter(has_valid_weight).map(|entry| entry.weight).sum();
    table
        .entries
        .iter()
        .filter(has_valid_weight)
        .map(|entry| (entry.replica.clone(), entry.weight / total))
        .collect()
}

fn rate(count: u64, interval: Duration) -> f64 {
    count as f64 / interval.as_secs_f64().max(MIN_INTERVAL_SECONDS)
}

impl LoadLedger {
    fn add_load(&mut self, key: AssignmentKey, sign: f64) {
        let Some(assignment) = self.assignments.get(&key) else { return };
        for (replica, fraction) in &assignment.fractions {
            let load = self.load.entry(replica.clone()).or_default();
            *load += sign * assignment.requests_per_second * fraction;
        }
    }

    fn update(&mut self, key: AssignmentKey, update: impl FnOnce(&mut Assignment)) {
        self.add_load(key, -1.0);
        update(self.assignments.entry(key).or_default());
        self.add_load(key, 1.0);
    }

    pub(super) fn connect(
        &mut self,
        proxy: ProxyId,
        class_count: usize,
        requests_per_second: f64,
        default_table: &[(ReplicaId, f64)],
    ) {
        let total: f64 = default_table.iter().map(|(_, weight)| weight.max(0.0)).sum();
        let fraction = |(id, weight): &(ReplicaId, f64)| (id.clone(), weight.max(0.0) / total);
        for class in 0..class_count {
            self.update((proxy, class), |assignment| {
                let demand = requests_per_second.clamp(0.0, MAX_REQUESTS_PER_SECOND);
                assignment.requests_per_second = demand / class_count as f64;
                assignment.fractions = match total > 0.0 {
                    true => default_table.iter().map(fraction).collect(),
                    false => Vec::new(),
                };
            });
        }
    }

    pub(super) fn disconnect(&mut self, proxy: ProxyId) {
        let keys = self.assignments.range((proxy, 0)..=(proxy, usize::MAX));
        let keys: Vec<AssignmentKey> = keys.map(|(key, _)| *key).collect();
        for key in keys {
            self.add_load(key, -1.0);
            self.assignments.remove(&key);
        }
    }

    /// Averages the reported demand with the previous one, so that a single odd report does not distort the
    /// ledger.
    pub(super) fn record_demand(&mut self, proxy: ProxyId, class: usize, requests: u64, interval: Duration) {
        if !self.assignments.contains_key(&(proxy, class)) {
            return;
        }
        let reported = rate(requests, interval);
        self.update((proxy, class), |assignment| {
            // Requests that arrived while a stream was broken are reported together, as if they had all come
            // within one interval: the rise of a single report is limited.
            let known = assignment.requests_per_second;
            assignment.requests_per_second = 0.5 * (known + reported.min(2.0 * known + 1.0));
        });
    }

    pub(super) fn record_throughput(
        &mut self,
        now: Duration,
        replica: &ReplicaId,
        zone: usize,
        succeeded: u64,
        interval: Duration,
    ) {
        let per_second = rate(succeeded, interval);
        let initial = PeakThroughput { per_second: 0.0, at: now };
        let peak = self.throughput.entry((replica.clone(), zone)).or_insert(initial);
        if per_second >= peak.decayed(now) {
            *peak = PeakThroughput { per_second, at: now };
        }
    }

    pub(super) fn restore_throughput(
        &mut self,
        now: Duration,
        replica: &ReplicaId,
        zone: usize,
        per_second: f64,
    ) {
        self.throughput.insert((replica.clone(), zone), PeakThroughput { per_second, at: now });
    }

    pub(super) fn set_current_table(
        &mut self,
        proxy: ProxyId,
        class: usize,
        requests_per_second: f64,
        table: Option<&Table>,
    ) {
        self.update((proxy, class), |assignment| {
            assignment.requests_per_second = requests_per_second;
            if let Some(table) = table {
                assignment.fractions = fractions(table);
            }
        });
    }

    /// Sets the table by which a proxy distributes its requests from now on.
    pub(super) fn set_table(&mut self, proxy: ProxyId, class: usize, table: &Table) {
        self.update((proxy, class), |assignment| assignment.fractions = fractions(table));
    }

    /// Removes the throughput of replicas that are gone, and computes the load from scratch, so that rounding
    /// errors do not accumulate.
    pub(super) fn roster_changed(&mut self, roster: &Roster) {
        let is_listed = |id: &ReplicaId| roster.get(id).is_some_and(|known| known.phase != Phase::Gone);
        self.throughput.retain(|(id, _), _| is_listed(id));
        self.load.clear();
        let keys: Vec<AssignmentKey> = self.assignments.keys().copied().collect();
        for key in keys {
            self.add_load(key, 1.0);
        }
    }

    /// The fraction of all requests that a change moves to other replicas.
    pub(super) fn shifted_fraction(&self, changes: &[ProposedTable], tables: &[Table]) -> f64 {
        let mut shifted = 0.0;
        for (change, table) in changes.iter().zip(tables) {
            let Some(assignment) = self.assignments.get(&(change.proxy, change.class)) else { continue };
            let before: BTreeMap<&ReplicaId, f64> =
                assignment.fractions.iter().map(|(id, fraction)| (id, *fraction)).collect();
            // A proxy's first table does not move requests that an earlier table had placed.
            if before.is_empty() || change.held.is_none() {
                continue;
            }
            let gained: f64 = fractions(table)
                .iter()
                .map(|(id, fraction)| (fraction - before.get(id).copied().unwrap_or(0.0)).max(0.0))
                .sum();
            shifted += assignment.requests_per_second * gained;
        }
        let total = self.total_demand();
        if total > 0.0 { shifted / total } else { 0.0 }
    }

    /// Total demand of the proxies here, in requests per second.
    pub(super) fn total_demand(&self) -> f64 {
        self.assignments.values().map(|assignment| assignment.requests_per_second).sum()
    }

    /// Number of proxies here times the number of traffic classes.
    pub(super) fn assignment_count(&self) -> usize {
        self.assignments.len()
    }

    pub(super) fn requests_per_second(&self, proxy: ProxyId, class: usize) -> f64 {
        self.assignments.get(&(proxy, class)).map_or(0.0, |assignment| assignment.requests_per_second)
    }

    /// Requests per second that proxies here send a replica. Rounding may leave it slightly below 0.
    pub(super) fn load(&self, replica: &ReplicaId) -> f64 {
        self.load.get(replica).copied().unwrap_or(0.0)
    }

    pub(super) fn loaded_replicas(&self) -> impl Iterator<Item = &ReplicaId> {
        self.load.keys()
    }

    pub(super) fn throughput(&self, now: Duration) -> impl Iterator<Item = (&ReplicaId, usize, f64)> {
        self.throughput.iter().map(move |((id, zone), peak)| (id, *zone, peak.decayed(now)))
    }
}
