//! Read access to the engine for front ends and operators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{ProxyId, ReplicaId, RetryPolicy};

use crate::fleet::{Fleet, Proxy, StreamId};
use crate::frozen_tables::FrozenTable;
use crate::guard::Guard;
use crate::history::History;
use crate::recording::{
    FORMAT_VERSION, RecordedEntry, RecordedProxy, RecordedReplica, RecordedTable, RecordedThroughput,
    Recording,
};
use crate::reports::DiscardReason;
use crate::roster::{KnownReplica, Roster};
use crate::tables::{ResolvedEntry, VersionedTable};

use super::Engine;

/// Counts for status pages and metrics.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineStatus {
    /// The newest version.
    pub version: u64,
    /// The number of flushes.
    pub flushes: u64,
    /// Proxies connected now.
    pub connected_proxies: usize,
    /// Proxies in the join queue.
    pub queued_joins: usize,
    /// Table entries that wait to be sent or acknowledged.
    pub queued_entries: usize,
    /// The peak of the number of pending entries so far.
    pub max_queued_entries: usize,
    /// Aggregated statistics waiting to be passed to the module.
    pub queued_reports: usize,
    /// The cost of the versions retained in history, in table entries; each version costs a few entries
    /// more than it has.
    pub history_entries: usize,
    /// Frozen tables in force.
    pub frozen_tables: usize,
    /// The source reports an empty roster that is not accepted yet.
    pub empty_roster_unconfirmed: bool,
}

impl Engine {
    /// A connected proxy and its tables.
    pub fn proxy(&self, id: ProxyId) -> Option<&Proxy> {
        self.fleet.get(id)
    }

    /// The id of the proxy on a stream.
    pub fn id_on_stream(&self, stream: StreamId) -> Option<ProxyId> {
        self.fleet.id_on_stream(stream)
    }

    /// All connected proxies.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The replicas that are listed, or are gone and still named by a table.
    pub fn replicas(&self) -> impl Iterator<Item = (&ReplicaId, &KnownReplica)> {
        self.roster.iter()
    }

    /// The last accepted roster.
    pub fn accepted_roster(&self) -> &Roster {
        &self.roster
    }

    /// Whether the module has ejected a replica.
    pub fn is_ejected(&self, replica: &ReplicaId) -> bool {
        self.tables.is_ejected(replica)
    }

    /// The module's reason for ejecting a ready replica.
    pub fn ejection_reason(&self, replica: &ReplicaId) -> Option<&'static str> {
        self.governor.ejection_reason(replica)
    }

    /// Whether a proxy is one of the few for which the module computes optimized tables.
    pub fn is_critical(&self, id: ProxyId) -> bool {
        self.governor.is_critical(id)
    }

    /// The admission fraction and retry policy by traffic class.
    pub fn admission(&self) -> &[(f64, RetryPolicy)] {
        self.tables.admission()
    }

    /// The number of discarded reports by reason, and the number of counted reports.
    pub fn reports(&self) -> (&BTreeMap<DiscardReason, u64>, u64) {
        self.reports.tally()
    }

    /// Records the state that the guard judges tables by, for dry runs. The caller fills in the names of
    /// zones and traffic classes.
    pub fn record(&self, now: Duration) -> Recording {
        let throughput = |(id, zone, per_second): (&ReplicaId, usize, f64)| RecordedThroughput {
            replica: id.clone(),
            zone,
            per_second,
        };
        Recording {
            form: FORMAT_VERSION,
            governor: String::new(),
            taken_at: 0.0,
            zones: Vec::new(),
            groups: Vec::new(),
            limits: self.guard.limits().into(),
            replicas: self.roster.iter().map(|(id, known)| self.record_replica(now, id, known)).collect(),
            proxies: self.fleet.iter().map(|(id, proxy)| self.record_proxy(id, proxy)).collect(),
            throughput: self.guard.throughput(now).map(throughput).collect(),
        }
    }

    fn record_replica(&self, now: Duration, id: &ReplicaId, known: &KnownReplica) -> RecordedReplica {
        RecordedReplica {
            id: id.clone(),
            address: known.address.clone(),
            zone: known.zone,
            weight: known.weight,
            phase: known.phase.into(),
            age_seconds: known.started_at.map(|started| now.saturating_sub(started).as_secs_f64()),
            out: self.is_out(id),
        }
    }

    fn record_proxy(&self, id: ProxyId, proxy: &Proxy) -> RecordedProxy {
        let entry = |entry: &ResolvedEntry| RecordedEntry {
            replica: entry.replica.clone(),
            weight: entry.weight,
            routable: entry.routable,
        };
        let table = |(class, held): (usize, &Option<VersionedTable>)| {
            let table = held.as_ref().map(|held| &*held.table);
            RecordedTable {
                requests_per_second: self.guard.requests_per_second(id, class),
                admission_fraction: table.map_or(1.0, |table| table.admission_fraction),
                entries: table.map(|table| table.entries.iter().map(entry).collect()),
            }
        };
        RecordedProxy {
            name: proxy.name.clone(),
            zone: proxy.zone,
            default_table: proxy.default_table.clone(),
            classes: proxy.tables.iter().enumerate().map(table).collect(),
        }
    }

    /// The guard, with its refusals and the load that it judges tables by.
    pub fn guard(&self) -> &Guard {
        &self.guard
    }

    /// The history of published versions by proxy.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// The frozen tables in force: the proxy's name, the traffic class and the table.
    pub fn frozen_tables(&self) -> impl Iterator<Item = (&Arc<str>, usize, &FrozenTable)> {
        self.frozen_tables
            .iter()
            .filter_map(|((id, class), frozen)| Some((&self.fleet.get(*id)?.name, *class, frozen)))
    }

    /// Counts for status pages and metrics.
    pub fn status(&self, now: Duration) -> EngineStatus {
        EngineStatus {
            version: self.version,
            flushes: self.flush_count,
            connected_proxies: self.fleet.len(),
            queued_joins: self.join_queue.len(),
            queued_entries: self.send_limiter.queued_entries(now),
            max_queued_entries: self.send_limiter.max_queued_entries(),
            queued_reports: self.reports.queued_entries(),
            history_entries: self.history.entry_count(),
            frozen_tables: self.frozen_tables.len(),
            empty_roster_unconfirmed: self.roster.empty_roster_unconfirmed(),
        }
    }
}
