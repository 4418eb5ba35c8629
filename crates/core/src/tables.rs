//! The tables of the module, and the table of each proxy that results from them.
//!
//! All entries come from the module or from a proxy's own default table. The entry of an ejected replica
//! stays in the table but is not routable, so that front ends publish the ejection in the same resource as
//! other changes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wrenthread::types::{ClassSet, ReplicaId, RetryPolicy, TableEntry, TableId};

use crate::roster::Roster;

/// An entry of a proxy's table, with everything that a front end needs to encode it.
#[derive(Debug, Clone, PartialEq)]
pub struct ResolvedEntry {
    /// The replica's name.
    pub replica: ReplicaId,
    /// Where proxies reach it, `host:port`.
    pub address: Arc<str>,
    /// The index of its zone in the settings.
    pub zone: usize,
    /// Its weight relative to the table's other entries.
    pub weight: f64,
    /// `false` if the replica is draining, gone or ejected.
    pub routable: bool,
}

/// The table that a proxy should hold for a traffic class. Entries are ordered by replica name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// Ordered by replica name.
    pub entries: Vec<ResolvedEntry>,
    /// The fraction of the class's requests to admit, from 0 to 1.
    pub admission_fraction: f64,
}

impl Table {
    /// The number of entries that differ from another table; a changed admission fraction counts as one.
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
    /// Traffic classes with equal tables share one allocation.
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
    /// Creates `class_count` traffic classes that admit all requests, with this retry policy.
    pub fn new(class_count: usize, default_retry_policy: RetryPolicy) -> Self {
        Tables { admission: vec![(1.0, default_retry_policy); class_count], ..Tables::default() }
    }

    /// Updates entries of a table; a weight of 0 removes an entry.
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

    /// The table that a proxy should hold for a traffic class: the assigned table, else its default table if
    /// that must be published, else `None`, and the proxy keeps what it has.
    ///
    /// `published`: the proxy already holds a published table for this class, which must be kept up to date.
    /// Entries of replicas that no roster has ever listed are omitted, as their addresses are unknown.
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
        entries.sort_by(|left, right| left.replica.cmp(&right.replica));
        let is_restricted = admission_fraction < 1.0 || entries.iter().any(|entry| !entry.routable);
        let must_publish = published || is_restricted;
        (must_publish && !entries.is_empty()).then_some(Table { entries, admission_fraction })
    }

    /// Whether a table that a proxy holds routes to a replica that has been ejected.
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
