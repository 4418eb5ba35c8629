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
    Gone,
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
        let replica = |one: &crate::fleet::ImportedReplica| {
            let known = [
                ("address", one.address.clone()),
                ("zone", one.zone.clone()),
                ("weight", one.weight.to_string()),
                ("phase", one.phase.to_string()),
                ("backup", one.backup.to_string()),
            ];
            (one.id.clone(), known.into())
        };
        let group = |one: &crate::fleet::ImportedClass| {
            let known = [
                ("effect", if one.idempotent { "retriable" } else { "non-retriable" }.to_string()),
                ("latency_budget", one.latency_objective.to_string()),
                ("expiry", one.request_deadline.to_string()),
                (
                    "routes",
                    match &one.routes {
                        Routes::Paths(paths) => paths.join(", "),
                        Routes::Header(header) => header.clone(),
                    },
                ),
            ];
            (one.name.clone(), known.into())
        };
        ComparableFleet {
            replicas: fleet.replicas.iter().map(replica).collect(),
            classes: fleet.classes.iter().map(group).collect(),
        }
    }
}

/// What stands differently in the later one.
pub fn between(now: &ComparableFleet, later: &ComparableFleet) -> Vec<Difference> {
    let mut all = Vec::new();
    for (kind, now, later) in
        [("group", &now.classes, &later.classes), ("replica", &now.replicas, &later.replicas)]
    {
        let mut add = |name: &String, what| all.push(Difference { kind, name: name.clone(), what });
        now.keys().filter(|name| !later.contains_key(*name)).for_each(|name| add(name, ChangeKind::Gone));
        for (name, known) in later {
            let Some(before) = now.get(name) else {
                add(name, ChangeKind::Added);
                continue;
            };
            for (field, value) in known {
                if let Some(was) = before.get(field).filter(|was| *was != value) {
                    add(name, ChangeKind::Changed(field, was.clone(), value.clone()));
                }
            }
        }
    }
    all
}

#[cfg(test)]
mod tests;
