//! What a new import changes against what stands: an earlier one's files, or a governor that runs.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::fleet::{ImportedFleet, Routes};

/// Replicas and groups by name, each with what is known of it. Only what both sides know is compared.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ComparableFleet {
    /// Replicas by name, and what is known of each by field.
    pub replicas: BTreeMap<String, BTreeMap<&'static str, String>>,
    /// Traffic classes by name, and what is known of each by field.
    pub classes: BTreeMap<String, BTreeMap<&'static str, String>>,
}

/// What became of a replica or a class.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// It is new.
    Added,
    /// It is not there any more.
    #[serde(rename = "gone")]
    Removed,
    /// Which figure, from what to what.
    Changed(&'static str, String, String),
}

/// One difference.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// `replica` or `group`.
    pub kind: &'static str,
    /// The replica's or the class's name.
    pub name: String,
    /// What became of it.
    pub what: ChangeKind,
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

/// What stands differently in the later one.
pub fn between(current: &ComparableFleet, new: &ComparableFleet) -> Vec<Difference> {
    let mut all = Vec::new();
    for (kind, current, new) in
        [("group", &current.classes, &new.classes), ("replica", &current.replicas, &new.replicas)]
    {
        let mut add = |name: &String, what| all.push(Difference { kind, name: name.clone(), what });
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
