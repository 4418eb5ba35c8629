//! Builds the message to a stream at the end of a pull.

use std::collections::{BTreeMap, BTreeSet};

use wrenthread::types::{ClassSet, ReplicaId, TableId};

use super::stream::{Admission, Ejection, Stream};
use super::wire::{ConfigPart, retry_policy_number};
use super::{MAX_CLASSES, PendingChanges, TableEntries, all_classes, contains_class};

/// The maximum number of entries in a part, which keeps each part well below the maximum message size.
const MAX_ENTRIES_PER_PART: usize = 2000;

/// The decisions in force and the changes of the pull that ends.
pub(super) struct MessageBuilder<'a> {
    pub class_names: &'a [String],
    pub default_admission: Admission,
    pub tables: &'a BTreeMap<TableId, TableEntries>,
    pub ejected: &'a BTreeSet<ReplicaId>,
    pub admissions: &'a [Option<Admission>],
    pub pending: &'a PendingChanges,
}

/// Replicas whose ejection or restoration has to be sent on a stream.
#[derive(Default)]
struct EjectionChanges<'a> {
    ejected: Vec<&'a str>,
    restored: Vec<&'a str>,
}

impl<'a> MessageBuilder<'a> {
    /// Builds the parts of the stream's message, and records them in `stream` as sent.
    pub fn build(&self, stream: &mut Stream) -> Vec<ConfigPart<'a>> {
        let mut parts = Vec::new();
        let newly_assigned = std::mem::take(&mut stream.newly_assigned);
        let changes = self.ejection_changes(stream, &newly_assigned);
        for names in changes.ejected.chunks(MAX_ENTRIES_PER_PART) {
            parts.push(ConfigPart { ejected: names.to_vec(), ..ConfigPart::default() });
        }
        for (table, classes) in &stream.assigned_tables {
            if newly_assigned.contains(table) {
                self.reset_admissions(&mut stream.admissions, *classes);
                self.push_complete_table(&mut parts, *table, *classes);
            } else {
                self.push_changed_entries(&mut parts, *table, *classes);
            }
        }
        push_restored(&mut parts, &changes.restored);
        if !parts.is_empty() || self.pending.admission_changed {
            self.push_admissions(&mut parts, &mut stream.admissions);
        }
        parts
    }

    /// Resets admissions to the default, as the proxy does when it receives a complete table.
    fn reset_admissions(&self, admissions: &mut [Option<Admission>], classes: ClassSet) {
        for (class, admission) in admissions.iter_mut().enumerate() {
            if contains_class(classes, class) {
                *admission = Some(self.default_admission);
            }
        }
    }

    fn push_complete_table(&self, parts: &mut Vec<ConfigPart<'a>>, table: TableId, classes: ClassSet) {
        let entries = wire_entries(self.tables.get(&table));
        if entries.is_empty() {
            let class_names = self.class_names(classes);
            parts.push(ConfigPart { class_names, is_complete: true, ..ConfigPart::default() });
        }
        for (index, entries) in entries.chunks(MAX_ENTRIES_PER_PART).enumerate() {
            let class_names = self.class_names(classes);
            let is_complete = index == 0;
            parts.push(ConfigPart {
                class_names,
                is_complete,
                entries: entries.to_vec(),
                ..ConfigPart::default()
            });
        }
    }

    fn push_changed_entries(&self, parts: &mut Vec<ConfigPart<'a>>, table: TableId, classes: ClassSet) {
        let entries = wire_entries(self.pending.entries.get(&table));
        for entries in entries.chunks(MAX_ENTRIES_PER_PART) {
            let class_names = self.class_names(classes);
            parts.push(ConfigPart { class_names, entries: entries.to_vec(), ..ConfigPart::default() });
        }
    }

    /// Adds the admissions in force that the proxy does not have yet. Every message includes them.
    fn push_admissions(&self, parts: &mut Vec<ConfigPart<'a>>, sent: &mut [Option<Admission>]) {
        let mut changes: Vec<(Admission, ClassSet)> = Vec::new();
        for (class, (sent, decided)) in sent.iter_mut().zip(self.admissions).enumerate().take(MAX_CLASSES) {
            let Some(decided) = *decided else { continue };
            if *sent == Some(decided) {
                continue;
            }
            *sent = Some(decided);
            match changes.iter_mut().find(|(admission, _)| *admission == decided) {
                Some((_, classes)) => *classes |= 1 << class,
                None => changes.push((decided, 1 << class)),
            }
        }
        for (admission, classes) in changes {
            parts.push(ConfigPart {
                class_names: self.class_names(classes),
                admission_fraction: Some(admission.fraction),
                retry_policy: Some(retry_policy_number(admission.retry_policy)),
                ..ConfigPart::default()
            });
        }
    }

    /// The replicas in the stream's tables whose current ejection state was not sent on it.
    fn ejection_changes(
        &self,
        stream: &mut Stream,
        newly_assigned: &BTreeSet<TableId>,
    ) -> EjectionChanges<'a> {
        let mut changes = EjectionChanges::default();
        for table in stream.assigned_tables.keys() {
            let Some(entries) = self.tables.get(table) else { continue };
            if newly_assigned.contains(table) {
                for replica in entries.keys() {
                    self.record_ejection(&mut changes, &mut stream.ejections, replica);
                }
                continue;
            }
            let changed = self.pending.entries.get(table).into_iter().flat_map(BTreeMap::keys);
            for replica in changed.chain(&self.pending.ejections) {
                if entries.contains_key(replica) {
                    self.record_ejection(&mut changes, &mut stream.ejections, replica);
                }
            }
        }
        // Some classes use tables that are not this governor's. The replicas in those are unknown: all changes are sent.
        if stream.assigned_classes() != all_classes(self.class_names.len()) {
            for replica in &self.pending.ejections {
                self.record_ejection(&mut changes, &mut stream.ejections, replica);
            }
        }
        changes
    }

    fn record_ejection(
        &self,
        changes: &mut EjectionChanges<'a>,
        sent: &mut BTreeMap<ReplicaId, Ejection>,
        replica: &'a ReplicaId,
    ) {
        let ejection = if self.ejected.contains(replica) { Ejection::Ejected } else { Ejection::Restored };
        if sent.get(replica) == Some(&ejection) {
            return;
        }
        sent.insert(replica.clone(), ejection);
        match ejection {
            Ejection::Ejected => changes.ejected.push(replica),
            Ejection::Restored => changes.restored.push(replica),
        }
    }

    /// The names of these classes; `None` for all classes.
    fn class_names(&self, classes: ClassSet) -> Option<Vec<&'a str>> {
        if classes == all_classes(self.class_names.len()) {
            return None;
        }
        let mut names = Vec::new();
        for (class, name) in self.class_names.iter().enumerate() {
            if contains_class(classes, class) {
                names.push(name.as_str());
            }
        }
        Some(names)
    }
}

/// Adds restored replicas after the tables: to the last part unless it already has some, or else as new parts.
fn push_restored<'a>(parts: &mut Vec<ConfigPart<'a>>, restored: &[&'a str]) {
    for names in restored.chunks(MAX_ENTRIES_PER_PART) {
        if let Some(part) = parts.last_mut()
            && part.restored.is_empty()
        {
            part.restored = names.to_vec();
        } else {
            parts.push(ConfigPart { restored: names.to_vec(), ..ConfigPart::default() });
        }
    }
}

fn wire_entries(entries: Option<&TableEntries>) -> Vec<(&str, f64)> {
    entries.into_iter().flatten().map(|(replica, weight)| (&**replica, *weight)).collect()
}
