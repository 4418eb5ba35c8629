//! Frozen tables: tables that operators rolled back to or that another governor handed over, and the part of
//! them that may still be published.
//!
//! A frozen table makes no decisions of its own: it takes the entries of an earlier version, which the
//! decision module decided, and omits those that the module would not allow now. `docs/design/versions.md`
//! describes how frozen tables and decisions of the module coexist.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{Phase, ReplicaId};

use crate::roster::Roster;
use crate::table_versions::PublishedTable;
use crate::tables::{ResolvedEntry, Table};

/// An earlier table of a proxy's traffic class that stays in force until it is released.
#[derive(Debug, Clone, PartialEq)]
pub struct FrozenTable {
    /// The version that the table belongs to.
    pub version: u64,
    /// When that version was published.
    pub published_at: Duration,
    /// The table as it was published.
    pub table: PublishedTable,
    /// When it was frozen.
    pub since: Duration,
    /// When it is released at the latest.
    pub until: Duration,
    /// The operator's reason.
    pub reason: Arc<str>,
    /// Whether another governor published it. Then it stays in force until the module here has decided.
    pub migrated: bool,
}

/// Why an entry of a frozen table is not published.
///
/// The texts are part of responses and must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum OmissionReason {
    /// The replica is not ready.
    #[error("gone or draining")]
    NotReady,
    /// The replica is ejected.
    #[error("withdrawn by the module")]
    Ejected,
    /// The replica restarted, and the module does not send requests to it yet.
    #[error("started since, and not in the module's present table")]
    Restarted,
}

/// Why a frozen table was released.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ReleaseReason {
    /// An operator released it.
    #[error("released")]
    Released,
    /// The freeze has expired.
    #[error("the freeze has expired")]
    Expired,
    /// None of its entries can be published any more.
    #[error("none of its entries is usable, so the proxy would have no route")]
    NoUsableEntry,
    /// A later rollback replaced it; the reason of that rollback.
    #[error("replaced by another rollback: {0}")]
    Replaced(Arc<str>),
    /// The proxy's number was assigned to another proxy.
    #[error("the proxy's number was assigned to another proxy")]
    ProxyIdReused,
}

/// Resolves a frozen table against the current state: the table to publish, and the entries that are omitted.
/// `current` is the module's current table for the same proxy and traffic class; `ejected` tells whether the
/// module has ejected a replica.
///
/// A replica that restarted after the version was published is a different process from the one that the
/// table was made for, and only the module can say how much load it can take. It gets the fraction of the
/// table that the module gives it now, at most its frozen one, or is omitted if the module gives it none.
///
/// The table is none if no entry is left: the frozen table is to be released then.
pub fn resolve(
    frozen: &FrozenTable,
    current: &Table,
    roster: &Roster,
    ejected: impl Fn(&ReplicaId) -> bool,
) -> (Option<Table>, BTreeMap<ReplicaId, OmissionReason>) {
    let mut omitted = BTreeMap::new();
    let routable = || current.entries.iter().filter(|entry| entry.routable);
    let current_total: f64 = routable().map(|entry| entry.weight).sum();
    let frozen_total: f64 = frozen.table.entries.values().map(|entry| f64::from(entry.weight)).sum();
    let mut entries: Vec<ResolvedEntry> = Vec::new();
    let mut restarted: Vec<CappedEntry> = Vec::new();
    for (id, entry) in &frozen.table.entries {
        let Some(known) = roster.get(id).filter(|known| known.phase == Phase::Ready) else {
            omitted.insert(id.clone(), OmissionReason::NotReady);
            continue;
        };
        if ejected(id) {
            omitted.insert(id.clone(), OmissionReason::Ejected);
            continue;
        }
        let resolved = || ResolvedEntry {
            replica: id.clone(),
            address: known.address.clone(),
            zone: known.zone,
            weight: f64::from(entry.weight) / frozen_total,
            routable: true,
        };
        if known.started_at.is_none_or(|at| at <= frozen.published_at) {
            entries.push(resolved());
            continue;
        }
        match routable().find(|current| current.replica == *id) {
            Some(current) => {
                restarted.push(CappedEntry { entry: resolved(), cap: current.weight / current_total });
            }
            None => {
                omitted.insert(id.clone(), OmissionReason::Restarted);
            }
        }
    }
    if entries.is_empty() {
        // If only restarted replicas are left, the module's own table is the only one that they are known to
        // be able to take.
        return (None, omitted);
    }
    add_capped(&mut entries, restarted);
    entries.sort_by(|a, b| a.replica.cmp(&b.replica));
    // Admission control is not frozen: it depends on what the fleet can take now.
    (Some(Table { entries, admission_fraction: current.admission_fraction }), omitted)
}

/// An entry that is limited to a fraction of the table.
struct CappedEntry {
    entry: ResolvedEntry,
    cap: f64,
}

/// The largest fraction of a table that capped entries may have together.
const MAX_CAPPED_FRACTION: f64 = 0.95;

/// Adds capped entries. Caps are fractions of the resulting table, so that omitted entries don't raise a
/// capped entry above its cap.
fn add_capped(entries: &mut Vec<ResolvedEntry>, capped: Vec<CappedEntry>) {
    let uncapped_total: f64 = entries.iter().map(|entry| entry.weight).sum();
    let caps: f64 = capped.iter().map(|capped| capped.cap).sum::<f64>().min(MAX_CAPPED_FRACTION);
    let total = uncapped_total / (1.0 - caps);
    for CappedEntry { mut entry, cap } in capped {
        entry.weight = entry.weight.min(cap * total);
        entries.push(entry);
    }
}

#[cfg(test)]
mod tests;
