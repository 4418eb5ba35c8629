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
    pub fn differing(&self, other: &Table) -> usize {
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
    laid: BTreeMap<TableId, BTreeMap<ReplicaId, f64>>,
    withdrawn: BTreeSet<ReplicaId>,
    levels: Vec<(f64, RetryPolicy)>,
}

impl Tables {
    /// So many groups, all of their flows let in, with these further tries.
    pub fn new(groups: usize, tries: RetryPolicy) -> Self {
        Tables { levels: vec![(1.0, tries); groups], ..Tables::default() }
    }

    /// Changed lines of a table; a weight of 0 takes the line out.
    pub fn lay(&mut self, table: TableId, entries: Vec<TableEntry>) {
        let laid = self.laid.entry(table).or_default();
        laid.extend(entries.into_iter().map(|entry| (entry.replica, entry.weight)));
        laid.retain(|_, weight| *weight > 0.0);
    }

    pub fn withdraw(&mut self, replica: ReplicaId, out: bool) {
        if out {
            self.withdrawn.insert(replica);
        } else {
            self.withdrawn.remove(&replica);
        }
    }

    pub fn level(&mut self, groups: ClassSet, level: f64, tries: RetryPolicy) {
        for (place, kept) in self.levels.iter_mut().enumerate().take(64) {
            if groups >> place & 1 == 1 {
                *kept = (level, tries);
            }
        }
    }

    pub fn levels(&self) -> &[(f64, RetryPolicy)] {
        &self.levels
    }

    pub fn tries(&self) -> Vec<RetryPolicy> {
        self.levels.iter().map(|(_, tries)| *tries).collect()
    }

    pub fn is_withdrawn(&self, replica: &ReplicaId) -> bool {
        self.withdrawn.contains(replica)
    }

    /// What a proxy should hold for a group: the table that it follows; else its own standing lines, where
    /// something is to be said of them; else nothing, and it stays on what it has.
    ///
    /// `told`: the proxy holds something from here for this group already, which must be kept up to date. A
    /// line to a replica that no list ever named is left out, as nobody knows where it is.
    pub fn wanted(
        &self,
        roster: &Roster,
        group: usize,
        follows: Option<TableId>,
        standing: &[(ReplicaId, f64)],
        told: bool,
    ) -> Option<Table> {
        let level = self.levels.get(group).map_or(1.0, |(level, _)| *level);
        let line = |(replica, weight): (&ReplicaId, f64)| {
            let known = roster.get(replica)?;
            Some(ResolvedEntry {
                replica: replica.clone(),
                address: known.address.clone(),
                zone: known.zone,
                weight,
                routable: !self.withdrawn.contains(replica),
            })
        };
        if let Some(table) = follows {
            let laid = self.laid.get(&table).into_iter().flatten();
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
    pub fn outdates(&self, held: &Table) -> bool {
        held.entries.iter().any(|line| line.routable && self.withdrawn.contains(&line.replica))
    }

    /// Whether any table, withdrawn or not, names a replica.
    pub fn names(&self, replica: &ReplicaId) -> bool {
        self.laid.values().any(|lines| lines.contains_key(replica))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(replica: &str, weight: f64) -> TableEntry {
        TableEntry { replica: replica.into(), weight }
    }
    use crate::roster::RosterEntry;
    use std::time::Duration;
    use wrenthread::types::Phase;

    fn roster(names: &[&str]) -> Roster {
        let mut roster = Roster::new(Duration::ZERO);
        let entry = |name: &&str| RosterEntry {
            id: (**name).into(),
            address: format!("{name}:1").into(),
            zone: 0,
            weight: 1.0,
            phase: Phase::Ready,
            started_at: None,
            backup: false,
        };
        roster.take(Duration::ZERO, names.iter().map(entry).collect());
        roster
    }

    #[test]
    fn a_standing_table_is_spoken_of_only_once_there_is_something_to_say() {
        let (roster, mut tables) = (roster(&["a", "b"]), Tables::new(1, RetryPolicy::Never));
        let standing = [("b".into(), 1.0), ("a".into(), 2.0)];
        assert_eq!(tables.wanted(&roster, 0, None, &standing, false), None);
        tables.withdraw("a".into(), true);
        let table = tables.wanted(&roster, 0, None, &standing, false).unwrap();
        let lines: Vec<_> =
            table.entries.iter().map(|one| (&*one.replica, one.weight, one.routable)).collect();
        assert_eq!(lines, [("a", 2.0, false), ("b", 1.0, true)]);
        tables.withdraw("a".into(), false);
        assert!(
            tables.wanted(&roster, 0, None, &standing, true).unwrap().entries[0].routable,
            "and kept up then"
        );
    }

    #[test]
    fn a_withdrawal_shuts_lines_laid_before_and_after_it() {
        let (roster, mut tables) = (roster(&["a", "b"]), Tables::new(1, RetryPolicy::Never));
        tables.lay(4, vec![entry("a", 1.0)]);
        tables.withdraw("b".into(), true);
        tables.lay(4, vec![entry("b", 1.0), entry("a", 0.0), entry("unlisted", 1.0)]);
        let table = tables.wanted(&roster, 0, Some(4), &[], false).unwrap();
        assert_eq!(table.entries.len(), 1);
        assert!(!table.entries[0].routable && &*table.entries[0].replica == "b");
    }

    #[test]
    fn differing_lines_are_counted_and_what_lets_flows_to_drains_is_known() {
        let line = |name: &str, weight, open| ResolvedEntry {
            replica: name.into(),
            address: "x".into(),
            zone: 0,
            weight,
            routable: open,
        };
        let one =
            Table { entries: vec![line("a", 1.0, true), line("c", 1.0, true)], admission_fraction: 1.0 };
        let two =
            Table { entries: vec![line("b", 1.0, true), line("c", 2.0, true)], admission_fraction: 0.5 };
        assert_eq!((two.differing(&one), one.differing(&one)), (4, 0));
        let mut tables = Tables::new(1, RetryPolicy::Never);
        assert!(!tables.outdates(&one));
        tables.withdraw("c".into(), true);
        assert!(tables.outdates(&one));
        assert!(!tables.outdates(&Table { entries: vec![line("c", 1.0, false)], admission_fraction: 1.0 }));
    }
}
