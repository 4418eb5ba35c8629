//! Holds: tables that operators stepped back to, or that another governor handed over, and what of them may
//! still be told.
//!
//! A hold never decides: it takes the lines of an earlier version, which the module decided then, and leaves
//! out what the module would not have now. See `docs/design/versions.md` for how the two live together.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{Phase, ReplicaId};

use crate::roster::Roster;
use crate::table_versions::PublishedTable;
use crate::tables::{ResolvedEntry, Table};

/// An earlier table of a proxy's group, in force until released.
#[derive(Debug, Clone, PartialEq)]
pub struct FrozenTable {
    /// The version that was stepped back to, and when it was told.
    pub version: u64,
    pub published_at: Duration,
    pub table: PublishedTable,
    pub since: Duration,
    pub until: Duration,
    pub why: Arc<str>,
    /// Another governor told it: it holds until the module here has spoken.
    pub migrated: bool,
}

/// Why a line of a held table is not told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum OmissionReason {
    #[error("gone or draining")]
    Gone,
    #[error("withdrawn by the module")]
    Withdrawn,
    #[error("started since, and not in the module's present table")]
    Cold,
}

/// Why a hold is over.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ReleaseReason {
    #[error("released")]
    Released,
    #[error("its time is over")]
    Time,
    #[error("nothing of it is left, and the proxy would be bare")]
    Bare,
    #[error("another step back took its place: {0}")]
    Replaced(Arc<str>),
    #[error("the proxy's number went to another")]
    Reused,
}

/// What a hold comes to now, beside the module's present table for the same proxy and group.
///
/// A replica that started after the version was told is another process than the one that the table meant:
/// how much of it can be borne is the module's to say. It gets the share of the table that the module gives
/// it now, at most its held one, or is left out where the module gives it none. `withdrawn` is the module's
/// word too.
///
/// None where no line is left: the hold is over then.
pub fn told(
    hold: &FrozenTable,
    present: &Table,
    roster: &Roster,
    withdrawn: impl Fn(&ReplicaId) -> bool,
) -> (Option<Table>, BTreeMap<ReplicaId, OmissionReason>) {
    let mut left_out = BTreeMap::new();
    let open = |line: &&ResolvedEntry| line.routable;
    let all: f64 = present.entries.iter().filter(open).map(|line| line.weight).sum();
    let held: f64 = hold.table.entries.values().map(|line| f64::from(line.weight)).sum();
    let mut lines = Vec::new();
    let mut capped = Vec::new();
    for (id, line) in &hold.table.entries {
        let known = roster.get(id).filter(|known| known.phase == Phase::Ready);
        let Some(known) = known else {
            left_out.insert(id.clone(), OmissionReason::Gone);
            continue;
        };
        if withdrawn(id) {
            left_out.insert(id.clone(), OmissionReason::Withdrawn);
            continue;
        }
        let share = f64::from(line.weight) / held;
        let made = |weight| ResolvedEntry {
            replica: id.clone(),
            address: known.address.clone(),
            zone: known.zone,
            weight,
            routable: true,
        };
        if known.started_at.is_none_or(|at| at <= hold.published_at) {
            lines.push(made(share));
            continue;
        }
        match present.entries.iter().filter(open).find(|present| present.replica == *id) {
            Some(now) => capped.push((made(share), now.weight / all)),
            None => drop(left_out.insert(id.clone(), OmissionReason::Cold)),
        }
    }
    if lines.is_empty() {
        // With nothing but what started since, the module's own table is the only one that is known to be
        // borne.
        return (None, left_out);
    }
    // Shares are of the table as it comes out: what is left out must not raise a capped one's beyond its cap.
    let firm: f64 = lines.iter().map(|line| line.weight).sum();
    let caps: f64 = capped.iter().map(|(_, cap)| cap).sum::<f64>().min(0.95);
    let whole = firm / (1.0 - caps);
    for (mut line, cap) in capped {
        line.weight = line.weight.min(cap * whole);
        lines.push(line);
    }
    lines.sort_by(|one, other| one.replica.cmp(&other.replica));
    // The level is not held: it says what the fleet bears now.
    (Some(Table { entries: lines, admission_fraction: present.admission_fraction }), left_out)
}

#[cfg(test)]
mod tests;
