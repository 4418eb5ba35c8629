//! What the module's decisions make of each proxy's tables.
//!
//! Entries are the module's, or those of a proxy's own default table: none is made up here. An ejected replica's entry
//! stays, closed, so that fronts can tell proxies of it by the same resource as all else.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wrenthread::types::{ClassSet, ReplicaId, RetryPolicy, TableEntry, TableId};

use crate::roster::Roster;

/// One entry of a proxy's table, with all that a front needs to write it.
#[derive(Debug, Clone, PartialEq)]
pub struct ResolvedEntry {
    /// The replica's name.
    pub replica: ReplicaId,
    /// Where proxies reach it, `host:port`.
    pub address: Arc<str>,
    /// Its place in the zones of the settings.
    pub zone: usize,
    /// Its weight among the table's entries.
    pub weight: f64,
    /// Entries that are not routable are closed: the replica drains, is gone, or is ejected.
    pub routable: bool,
}

/// The table of a traffic class, as one proxy should hold it. Entries are in the order of their replicas' names.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// In the order of their replicas' names.
    pub entries: Vec<ResolvedEntry>,
    /// The fraction of the class's requests to admit, from 0 to 1.
    pub admission_fraction: f64,
}

impl Table {
    /// How many entries differ from another table's; a changed admission fraction counts as one.
    pub fn count_differences(&self, other: &Table) -> usize {
        let mut old = other.entries.iter().peekable();
        let mut differences = 0;
        for entry in &self.entries {
            while old.next_if(|old| old.replica < entry.replica).is_some() {
                differences += 1;
            }
            match old.next_if(|old| old.replica == entry.replica) {
                Some(same) if same == entry => {}
                _ => differences += 1,
            }
        }
        differences + old.count() + usize::from(self.admission_fraction != other.admission_fraction)
    }
}

/// A table with the version of its last change.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedTable {
    /// The version of its last change.
    pub version: u64,
    /// Traffic classes with equal tables share one copy.
    pub table: Arc<Table>,
}

/// The module's tables, ejections and admission control.
#[derive(Debug, Default)]
pub struct Tables {
    entries_by_table: BTreeMap<TableId, BTreeMap<ReplicaId, f64>>,
    ejected: BTreeSet<ReplicaId>,
    /// By traffic class.
    admission: Vec<(f64, RetryPolicy)>,
}

impl Tables {
    /// So many traffic classes, all requests admitted, with this retry policy.
    pub fn new(class_count: usize, default_retry_policy: RetryPolicy) -> Self {
        Tables { admission: vec![(1.0, default_retry_policy); class_count], ..Tables::default() }
    }

    /// Changed entries of a table; a weight of 0 removes one.
    pub fn update_entries(&mut self, table: TableId, changed: Vec<TableEntry>) {
        let entries = self.entries_by_table.entry(table).or_default();
        entries.extend(changed.into_iter().map(|entry| (entry.replica, entry.weight)));
        entries.retain(|_, weight| *weight > 0.0);
    }

    /// Ejects or restores a replica.
    pub fn set_ejected(&mut self, replica: ReplicaId, ejected: bool) {
        if ejected {
            self.ejected.insert(replica);
        } else {
            self.ejected.remove(&replica);
        }
    }

    /// Sets admission control for a set of traffic classes.
    pub fn set_admission(&mut self, classes: ClassSet, fraction: f64, policy: RetryPolicy) {
        for (class, admission) in self.admission.iter_mut().enumerate().take(ClassSet::BITS as usize) {
            if classes >> class & 1 == 1 {
                *admission = (fraction, policy);
            }
        }
    }

    /// Admission fraction and retry policy by traffic class.
    pub fn admission(&self) -> &[(f64, RetryPolicy)] {
        &self.admission
    }

    /// Retry policies by traffic class.
    pub fn retry_policies(&self) -> Vec<RetryPolicy> {
        self.admission.iter().map(|(_, policy)| *policy).collect()
    }

    /// Whether the module has ejected a replica.
    pub fn is_ejected(&self, replica: &ReplicaId) -> bool {
        self.ejected.contains(replica)
    }

    /// What a proxy should hold for a traffic class: the table that is assigned to it; else its own default table,
    /// where something is to be said of that; else nothing, and it stays on what it has.
    ///
    /// `published`: the proxy holds something from here for this class already, which must be kept up to date. An
    /// entry for a replica that no roster ever named is left out, as nobody knows where it is.
    pub fn resolve(
        &self,
        roster: &Roster,
        class: usize,
        assigned: Option<TableId>,
        default_table: &[(ReplicaId, f64)],
        published: bool,
    ) -> Option<Table> {
        let admission_fraction = self.admission.get(class).map_or(1.0, |(fraction, _)| *fraction);
        let resolved = |(replica, weight): (&ReplicaId, f64)| {
            let known = roster.get(replica)?;
            Some(ResolvedEntry {
                replica: replica.clone(),
                address: known.address.clone(),
                zone: known.zone,
                weight,
                routable: !self.ejected.contains(replica),
            })
        };
        if let Some(table) = assigned {
            let entries = self.entries_by_table.get(&table).into_iter().flatten();
            let entries = entries.map(|(id, weight)| (id, *weight)).filter_map(resolved).collect();
            return Some(Table { entries, admission_fraction });
        }
        let mut entries: Vec<ResolvedEntry> =
            default_table.iter().map(|(id, weight)| (id, *weight)).filter_map(resolved).collect();
        entries.sort_by(|one, other| one.replica.cmp(&other.replica));
        let is_restricted = admission_fraction < 1.0 || entries.iter().any(|entry| !entry.routable);
        let must_publish = published || is_restricted;
        (must_publish && !entries.is_empty()).then_some(Table { entries, admission_fraction })
    }

    /// Whether a table that a proxy holds routes to a replica that is ejected by now.
    pub fn routes_to_ejected(&self, held: &Table) -> bool {
        held.entries.iter().any(|entry| entry.routable && self.ejected.contains(&entry.replica))
    }

    /// Whether any table names a replica, ejected or not.
    pub fn names_replica(&self, replica: &ReplicaId) -> bool {
        self.entries_by_table.values().any(|entries| entries.contains_key(replica))
    }
}

#[cfg(test)]
mod tests;
