//! Fault injection: faulty decision modules, for tests and rehearsals of the checks behind the module.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use wrenthread::types::{Decision, ReplicaId, RetryPolicy, TableEntry, TableId};

use crate::engine::FaultyDecider;

/// The module's decisions so far, as far as the faults need them.
#[derive(Debug, Default)]
pub struct ObservedDecisions {
    entries_by_table: BTreeMap<TableId, BTreeMap<ReplicaId, f64>>,
    replicas: BTreeSet<ReplicaId>,
    ejected: BTreeSet<ReplicaId>,
    ticks: u64,
}

/// Replaces a decision of the module by those of a faulty one.
pub type Fault = fn(Decision, &ObservedDecisions) -> Vec<Decision>;

/// A decider that asks the module and applies a fault to each of its decisions.
pub fn decider(fault: Fault) -> FaultyDecider {
    let mut observed = ObservedDecisions::default();
    let mut pending = VecDeque::new();
    Box::new(move |now, rules| {
        if let Some(decision) = pending.pop_front() {
            return Some(decision);
        }
        let decision = rules.next_decision(now)?;
        match &decision {
            Decision::UpdateTable { table, entries } => {
                observed.replicas.extend(entries.iter().map(|entry| entry.replica.clone()));
                let entries = entries.iter().map(|entry| (entry.replica.clone(), entry.weight));
                observed.entries_by_table.entry(*table).or_default().extend(entries);
            }
            Decision::SetEjected { replica: id, ejected: true } => drop(observed.ejected.insert(id.clone())),
            Decision::SetEjected { replica: id, ejected: false } => drop(observed.ejected.remove(id)),
            Decision::ScheduleTick(_) => observed.ticks += 1,
            _ => {}
        }
        pending.extend(fault(decision, &observed));
        pending.pop_front()
    })
}

/// With each tick, adds an update of every table seen so far. `weight` gets the index and the id of each
/// replica.
fn every_table(
    decision: Decision,
    observed: &ObservedDecisions,
    weight: impl Fn(usize, &ReplicaId) -> f64,
) -> Vec<Decision> {
    let mut all = vec![decision.clone()];
    if matches!(decision, Decision::ScheduleTick(_)) {
        for table in observed.entries_by_table.keys() {
            let entries = observed.replicas.iter().enumerate();
            let entries =
                entries.map(|(index, id)| TableEntry { replica: id.clone(), weight: weight(index, id) });
            all.push(Decision::UpdateTable { table: *table, entries: entries.collect() });
        }
    }
    all
}

fn with_each_tick(decision: Decision, more: Vec<Decision>) -> Vec<Decision> {
    let more = if matches!(decision, Decision::ScheduleTick(_)) { more } else { Vec::new() };
    more.into_iter().chain([decision]).collect()
}

fn indicator(condition: bool) -> f64 {
    f64::from(u8::from(condition))
}

/// Faults by name. [`faulty_decider`] finds them by these names, which rehearsed days use as well.
pub const FAULTS: [(&str, Fault); 13] = [
    ("empty-tables", |decision, observed| every_table(decision, observed, |_, _| 0.0)),
    ("all-onto-a-drain", |decision, observed| match decision {
        Decision::SetEjected { replica: id, .. } => {
            vec![Decision::SetEjected { replica: id, ejected: false }]
        }
        other => {
            let drain = observed.ejected.first().or(observed.replicas.first()).cloned();
            every_table(other, observed, |_, id| indicator(Some(id) == drain.as_ref()))
        }
    }),
    ("all-onto-the-last", |decision, observed| {
        let last = observed.replicas.last().cloned();
        every_table(decision, observed, |_, id| if Some(id) == last.as_ref() { 1e3 } else { 1.0 })
    }),
    ("flapping", |decision, observed| match decision {
        Decision::SetEjected { replica: id, .. } => {
            vec![Decision::SetEjected { replica: id, ejected: false }]
        }
        other => every_table(other, observed, |index, _| {
            indicator((index as u64 + observed.ticks).is_multiple_of(2))
        }),
    }),
    ("infinite-weights", |decision, observed| {
        every_table(decision, observed, |index, _| if index == 2 { f64::INFINITY } else { 1.0 })
    }),
    ("weights-apart", |decision, observed| {
        every_table(decision, observed, |index, _| if index == 2 { 1e200 } else { 1e-200 })
    }),
    ("levels-out-of-bounds", |decision, _| {
        with_each_tick(
            decision,
            vec![Decision::SetAdmission { classes: 3, fraction: 7.0, retry_policy: RetryPolicy::Never }],
        )
    }),
    ("levels-not-a-number", |decision, _| {
        with_each_tick(
            decision,
            vec![Decision::SetAdmission { classes: 1, fraction: f64::NAN, retry_policy: RetryPolicy::Never }],
        )
    }),
    ("tries-twice", |decision, _| {
        with_each_tick(
            decision,
            vec![Decision::SetAdmission {
                classes: u64::MAX,
                fraction: 1.0,
                retry_policy: RetryPolicy::OnAnyFailure,
            }],
        )
    }),
    ("all-withdrawn", |decision, observed| {
        let out =
            observed.replicas.iter().map(|id| Decision::SetEjected { replica: id.clone(), ejected: true });
        with_each_tick(decision, out.collect())
    }),
    ("tables-not-laid", |decision, _| {
        with_each_tick(
            decision,
            (0..64).map(|proxy| Decision::AssignTable { proxy, table: 60_000, classes: u64::MAX }).collect(),
        )
    }),
    ("replicas-not-listed", |decision, _| match decision {
        Decision::UpdateTable { table, entries } => {
            let unknown_replica = |(index, entry): (usize, TableEntry)| TableEntry {
                replica: ReplicaId::from(format!("made up {index}")),
                weight: entry.weight,
            };
            vec![Decision::UpdateTable {
                table,
                entries: entries.into_iter().enumerate().map(unknown_replica).collect(),
            }]
        }
        other => vec![other],
    }),
    ("flood", |decision, observed| {
        let mut all =
            every_table(decision, observed, |index, _| 1.0 + (index as u64 + observed.ticks) as f64 / 1e3);
        if let [_, more @ ..] = all.as_slice() {
            let more: Vec<Decision> = more.iter().cycle().take(more.len() * 30).cloned().collect();
            all.extend(more);
        }
        all
    }),
];

/// The faulty decider with this name.
pub fn faulty_decider(kind: &str) -> Option<FaultyDecider> {
    FAULTS.iter().find(|(name, _)| *name == kind).map(|(_, fault)| decider(*fault))
}
