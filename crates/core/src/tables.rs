//! What the module's decisions make of each proxy's tables.
//!
//! Lines are the module's, or a proxy's own standing ones: none is made up here. A withdrawn replica's line
//! stands, shut, so that fronts can tell proxies of it by the same resource as all else.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wrenthread::types::{ClassSet, ReplicaId, RetryPolicy, TableEntry, TableId};

use crate::roster::Roster;

/// One line of a proxy's table, with all that a front needs to say it.
#[derive(Debug, Clone, PartialEq)]
pub struct ResolvedEntry {
    pub replica: ReplicaId,
    pub address: Arc<str>,
    pub zone: usize,
    pub weight: f64,
    /// Shut lines are not to be sent to: the replica drains, is gone, or is held back.
    pub routable: bool,
}

/// A group's table, as one proxy should hold it. Lines are in the order of their replicas' names.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    pub entries: Vec<ResolvedEntry>,
    /// The share of the group's flows to let in.
    pub admission_fraction: f64,
}

impl Table {
    /// Lines that differ from another table's.
    pub fn count_differences(&self, other: &Table) -> usize {
        let mut old = other.entries.iter().peekable();
        let mut differing = 0;
        for line in &self.entries {
            while old.next_if(|old| old.replica < line.replica).is_some() {
                differing += 1;
            }
            match old.next_if(|old| old.replica == line.replica) {
                Some(same) if same == line => {}
                _ => differing += 1,
            }
        }
        differing + old.count() + usize::from(self.admission_fraction != other.admission_fraction)
    }
}

/// A table with the version of its last change.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedTable {
    pub version: u64,
    pub table: Arc<Table>,
}

#[derive(Debug, Default)]
pub struct Tables {
    entries_by_table: BTreeMap<TableId, BTreeMap<ReplicaId, f64>>,
    ejected: BTreeSet<ReplicaId>,
    admission: Vec<(f64, RetryPolicy)>,
}

impl Tables {
    /// So many groups, all of their flows let in, with these further tries.
    pub fn new(groups: usize, tries: RetryPolicy) -> Self {
        Tables { admission: vec![(1.0, tries); groups], ..Tables::default() }
    }

    /// Changed lines of a table; a weight of 0 takes the line out.
    pub fn update_entries(&mut self, table: TableId, entries: Vec<TableEntry>) {
        let laid = self.entries_by_table.entry(table).or_default();
        laid.extend(entries.into_iter().map(|entry| (entry.replica, entry.weight)));
        laid.retain(|_, weight| *weight > 0.0);
    }

    pub fn set_ejected(&mut self, replica: ReplicaId, out: bool) {
        if out {
            self.ejected.insert(replica);
        } else {
            self.ejected.remove(&replica);
        }
    }

    pub fn set_admission(&mut self, groups: ClassSet, level: f64, tries: RetryPolicy) {
        for (place, kept) in self.admission.iter_mut().enumerate().take(64) {
            if groups >> place & 1 == 1 {
                *kept = (level, tries);
            }
        }
    }

    pub fn admission(&self) -> &[(f64, RetryPolicy)] {
        &self.admission
    }

    pub fn retry_policies(&self) -> Vec<RetryPolicy> {
        self.admission.iter().map(|(_, tries)| *tries).collect()
    }

    pub fn is_ejected(&self, replica: &ReplicaId) -> bool {
        self.ejected.contains(replica)
    }

    /// What a proxy should hold for a group: the table that it follows; else its own standing lines, where
    /// something is to be said of them; else nothing, and it stays on what it has.
    ///
    /// `told`: the proxy holds something from here for this group already, which must be kept up to date. A
    /// line to a replica that no list ever named is left out, as nobody knows where it is.
    pub fn resolve(
        &self,
        roster: &Roster,
        group: usize,
        follows: Option<TableId>,
        standing: &[(ReplicaId, f64)],
        told: bool,
    ) -> Option<Table> {
        let level = self.admission.get(group).map_or(1.0, |(level, _)| *level);
        let line = |(replica, weight): (&ReplicaId, f64)| {
            let known = roster.get(replica)?;
            Some(ResolvedEntry {
                replica: replica.clone(),
                address: known.address.clone(),
                zone: known.zone,
                weight,
                routable: !self.ejected.contains(replica),
            })
        };
        if let Some(table) = follows {
            let laid = self.entries_by_table.get(&table).into_iter().flatten();
            return Some(Table {
                entries: laid.map(|(id, weight)| (id, *weight)).filter_map(line).collect(),
                admission_fraction: level,
            });
        }
        let mut lines: Vec<ResolvedEntry> =
            standing.iter().map(|(id, weight)| (id, *weight)).filter_map(line).collect();
        lines.sort_by(|one, other| one.replica.cmp(&other.replica));
        let told = told || level < 1.0 || lines.iter().any(|line| !line.routable);
        (told && !lines.is_empty()).then_some(Table { entries: lines, admission_fraction: level })
    }

    /// Whether a table that a proxy holds lets flows go to what is withdrawn by now.
    pub fn routes_to_ejected(&self, held: &Table) -> bool {
        held.entries.iter().any(|line| line.routable && self.ejected.contains(&line.replica))
    }

    /// Whether any table, withdrawn or not, names a replica.
    pub fn names_replica(&self, replica: &ReplicaId) -> bool {
        self.entries_by_table.values().any(|lines| lines.contains_key(replica))
    }
}

#[cfg(test)]
mod tests;
