//! Frozen tables: tables that operators rolled back to, or that another governor handed over, and what of them may
//! still be published.
//!
//! A frozen table never decides: it takes the entries of an earlier version, which the module decided then, and omits
//! what the module would not have now. See `docs/design/versions.md` for how the two live together.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{Phase, ReplicaId};

use crate::roster::Roster;
use crate::table_versions::PublishedTable;
use crate::tables::{ResolvedEntry, Table};

/// An earlier table of a proxy's traffic class, in force until released.
#[derive(Debug, Clone, PartialEq)]
pub struct FrozenTable {
    /// The version that it is of.
    pub version: u64,
    /// When that was published.
    pub published_at: Duration,
    /// The table as it was published.
    pub table: PublishedTable,
    /// When it was frozen.
    pub since: Duration,
    /// When it is released at the latest.
    pub until: Duration,
    /// The operator's reason.
    pub why: Arc<str>,
    /// Another governor published it: it stands until the module here has decided.
    pub migrated: bool,
}

/// Why an entry of a frozen table is not published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum OmissionReason {
    /// The replica is not ready.
    #[error("gone or draining")]
    Gone,
    /// The replica is ejected.
    #[error("withdrawn by the module")]
    Withdrawn,
    /// The replica restarted, and the module does not send to it yet.
    #[error("started since, and not in the module's present table")]
    Cold,
}

/// Why a frozen table was released.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ReleaseReason {
    /// An operator released it.
    #[error("released")]
    Released,
    /// Its time is over.
    #[error("its time is over")]
    Time,
    /// Nothing of it is left.
    #[error("nothing of it is left, and the proxy would be bare")]
    Bare,
    /// A later rollback replaced it; its reason.
    #[error("another step back took its place: {0}")]
    Replaced(Arc<str>),
    /// The proxy's number was assigned to another proxy.
    #[error("the proxy's number went to another")]
    Reused,
}

/// What a frozen table comes to now, and what of it is omitted. `current`: the module's current table for the same
/// proxy and traffic class; `ejected`: whether the module has ejected a replica.
///
/// A replica that started after the version was published is another process than the one that the table meant: how much
/// load it can bear is the module's to say. It gets the fraction of the table that the module gives it now, at most its
/// frozen one, or is omitted where the module gives it none.
///
/// None where no entry is left: the frozen table is to be released then.
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
            omitted.insert(id.clone(), OmissionReason::Gone);
            continue;
        };
        if ejected(id) {
            omitted.insert(id.clone(), OmissionReason::Withdrawn);
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
                omitted.insert(id.clone(), OmissionReason::Cold);
            }
        }
    }
    if entries.is_empty() {
        // With nothing but what restarted since, the module's own table is the only one that is known to be borne.
        return (None, omitted);
    }
    add_capped(&mut entries, restarted);
    entries.sort_by(|one, other| one.replica.cmp(&other.replica));
    // Admission control is not frozen: it says what the fleet bears now.
    (Some(Table { entries, admission_fraction: current.admission_fraction }), omitted)
}

/// An entry that may have at most a fraction of the table.
struct CappedEntry {
    entry: ResolvedEntry,
    cap: f64,
}

/// Together, capped entries have at most this fraction of a table.
const MAX_CAPPED_FRACTION: f64 = 0.95;

/// Fractions are of the table as it comes out: what is omitted must not raise a capped one's beyond its cap.
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
