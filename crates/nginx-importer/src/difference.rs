//! Compares a new import with an earlier one or with a running governor.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::fleet::{ImportedFleet, Routes};

/// Replicas and traffic classes by name, each with its known fields. Only fields known on both sides are
/// compared.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ComparableFleet {
    /// Replicas by name, with the values of their known fields.
    pub replicas: BTreeMap<String, BTreeMap<&'static str, String>>,
    /// Traffic classes by name, with the values of their known fields.
    pub classes: BTreeMap<String, BTreeMap<&'static str, String>>,
}

/// How a replica or a class changed.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// It was added.
    Added,
    /// It was removed.
    #[serde(rename = "gone")]
    Removed,
    /// A field changed: its name, the old and the new value.
    Changed(&'static str, String, String),
}

/// A difference between two fleets.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// `replica` or `group`.
    pub kind: &'static str,
    /// The replica's or the class's name.
    pub name: String,
    /// How it changed.
    #[serde(rename = "what")]
    pub change: ChangeKind,
}

impl From<&ImportedFleet> for ComparableFleet {
    fn from(fleet: &ImportedFleet) -> Self {
        let replica = |replica: &crate::fleet::ImportedReplica| {
            let fields = [
                ("address", replica.address.clone()),
                ("zone", replica.zone.clone()),
                ("weight", replica.weight.to_string()),
                ("phase", replica.phase.to_string()),
                ("backup", replica.backup.to_string()),
            ];
            (replica.id.clone(), fields.into())
        };
        let class = |class: &crate::fleet::ImportedClass| {
            let fields = [
                ("effect", if class.idempotent { "retriable" } else { "non-retriable" }.to_string()),
                ("latency_budget", class.latency_objective.to_string()),
                ("expiry", class.request_deadline.to_string()),
                (
                    "routes",
                    match &class.routes {
                        Routes::Paths(paths) => paths.join(", "),
                        Routes::Header(header) => header.clone(),
                    },
                ),
            ];
            (class.name.clone(), fields.into())
        };
        ComparableFleet {
            replicas: fleet.replicas.iter().map(replica).collect(),
            classes: fleet.classes.iter().map(class).collect(),
        }
    }
}

/// Lists the differences from `current` to `new`.
pub fn compare(current: &ComparableFleet, new: &ComparableFleet) -> Vec<Difference> {
    let mut all = Vec::new();
    for (kind, current, new) in
        [("group", &current.classes, &new.classes), ("replica", &current.replicas, &new.replicas)]
    {
        let mut add = |name: &String, change| all.push(Difference { kind, name: name.clone(), change });
        current
            .keys()
            .filter(|name| !new.contains_key(*name))
            .for_each(|name| add(name, ChangeKind::Removed));
        for (name, fields) in new {
            let Some(current_fields) = current.get(name) else {
                add(name, ChangeKind::Added);
                continue;
            };
            for (field, value) in fields {
                if let Some(old_value) = current_fields.get(field).filter(|old_value| *old_value != value) {
                    add(name, ChangeKind::Changed(field, old_value.clone(), value.clone()));
                }
            }
        }
    }
    all
}

#[cfg(test)]
mod tests;
