//! Versions of the state published to proxies: complete states, their digests, and deltas between them.
//!
//! A delta contains the digest of its base state and of the resulting state. Whoever applies it checks both
//! before it takes effect; on a mismatch the complete state is requested.

use std::collections::BTreeMap;
use std::sync::Arc;

use wrenthread::types::{ReplicaId, RetryPolicy};

use crate::tables::Table;
use crate::weights;

/// The unit of published admission fractions: one millionth.
pub const MILLION: u32 = 1_000_000;

/// A routable entry as it is published. Weights are integers, so that all parties compute the digest over the
/// same numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedEntry {
    /// Where proxies reach the replica, `host:port`.
    pub address: Arc<str>,
    /// The index of its zone in the settings.
    pub zone: usize,
    /// The weight, at least 1.
    pub weight: u32,
}

/// The table of a traffic class as it is published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedTable {
    /// Routable entries by replica.
    pub entries: BTreeMap<ReplicaId, PublishedEntry>,
    /// The fraction of requests to admit, in millionths.
    pub admission_millionths: u32,
    /// The class's retry policy.
    pub retry_policy: RetryPolicy,
}

/// The complete state published to a proxy.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PublishedState {
    /// The tables by traffic class; `None`: the proxy uses its default table.
    pub classes: Vec<Option<PublishedTable>>,
}

/// The BLAKE3 digest of a published state.
pub type Digest = [u8; 32];

/// Bytes as hexadecimal text.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal text; `None` if it is not valid.
pub fn unhex(text: &str) -> Option<Vec<u8>> {
    let pair = |at: usize| u8::from_str_radix(text.get(at..at + 2)?, 16).ok();
    let pairs = text.len().is_multiple_of(2) && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    pairs.then(|| (0..text.len()).step_by(2).map(pair).collect())?
}

impl PublishedTable {
    /// Converts a table to its published form: its routable entries, with integer weights.
    pub fn of(table: &Table, retry_policy: RetryPolicy) -> PublishedTable {
        let routable: Vec<_> = table.entries.iter().filter(|entry| entry.routable).collect();
        let weights = weights::to_integers(&routable.iter().map(|entry| entry.weight).collect::<Vec<_>>());
        let entries = routable.into_iter().zip(weights).map(|(entry, weight)| {
            let published = PublishedEntry { address: entry.address.clone(), zone: entry.zone, weight };
            (entry.replica.clone(), published)
        });
        let fraction = table.admission_fraction.clamp(0.0, 1.0);
        PublishedTable {
            entries: entries.collect(),
            admission_millionths: (fraction * f64::from(MILLION)).round() as u32,
            retry_policy,
        }
    }
}

impl PublishedState {
    /// The digest of the content. Each part is preceded by its length, so that different states have
    /// different encodings.
    pub fn digest(&self) -> Digest {
        let mut hasher = blake3::Hasher::new();
        let text = |hasher: &mut blake3::Hasher, text: &str| {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        };
        hasher.update(&(self.classes.len() as u64).to_le_bytes());
        for table in &self.classes {
            let Some(table) = table else {
                hasher.update(&[0]);
                continue;
            };
            // The discriminant of the variant is hashed, so the order of the variants must not change.
            hasher.update(&[1 + table.retry_policy as u8]);
            hasher.update(&table.admission_millionths.to_le_bytes());
            hasher.update(&(table.entries.len() as u64).to_le_bytes());
            for (replica, entry) in &table.entries {
                text(&mut hasher, replica);
                text(&mut hasher, &entry.address);
                hasher.update(&(entry.zone as u64).to_le_bytes());
                hasher.update(&entry.weight.to_le_bytes());
            }
        }
        hasher.finalize().into()
    }

    /// The number of entries in all traffic classes.
    pub fn entry_count(&self) -> usize {
        self.classes.iter().flatten().map(|table| table.entries.len()).sum()
    }
}

/// A new or changed entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedEntry {
    /// The replica's name.
    pub replica: ReplicaId,
    /// Its weight.
    pub weight: u32,
    /// The address and zone of the replica; `None`: unchanged from the base.
    pub location: Option<(Arc<str>, usize)>,
}

/// The change of a traffic class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableChange {
    /// The proxy uses its default table from now on.
    UseDefaultTable,
    /// The table changes.
    Entries {
        /// New and changed entries.
        changed: Vec<ChangedEntry>,
        /// The replicas of removed entries.
        removed: Vec<ReplicaId>,
        /// The fraction of requests to admit, in millionths.
        admission_millionths: u32,
        /// The class's retry policy.
        retry_policy: RetryPolicy,
    },
}

/// The difference between two states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// The digest of the base state.
    pub base: Digest,
    /// The digest of the resulting state.
    pub digest: Digest,
    /// The changes by traffic class.
    pub changes: BTreeMap<usize, TableChange>,
}

/// Why a delta can't be applied. In each case the complete state must be requested.
///
/// The texts are part of responses and must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Mismatch {
    /// It was made for another base state.
    #[error("it starts from a state that is not held")]
    Base,
    /// It omits the address of a replica that the base does not contain.
    #[error("it names a replica whose address is not known")]
    UnknownReplica,
    /// It names an unknown traffic class.
    #[error("it names a group that is not known")]
    UnknownClass,
    /// The resulting state does not have the digest in the delta.
    #[error("what it comes to has another digest than it says")]
    Digest,
}

/// The delta from one state to another. `base` and `digest` are the digests of `from` and `to`.
pub fn delta(from: &PublishedState, base: Digest, to: &PublishedState, digest: Digest) -> Delta {
    let mut changes = BTreeMap::new();
    for (class, new) in to.classes.iter().enumerate() {
        let old = from.classes.get(class).and_then(Option::as_ref);
        match new {
            None if old.is_some() => {
                changes.insert(class, TableChange::UseDefaultTable);
            }
            Some(new) if old != Some(new) => {
                changes.insert(class, table_change(old, new));
            }
            _ => {}
        }
    }
    Delta { base, digest, changes }
}

fn table_change(old: Option<&PublishedTable>, new: &PublishedTable) -> TableChange {
    let held = |id: &ReplicaId| old.and_then(|old| old.entries.get(id));
    let changed = new.entries.iter().filter(|(id, entry)| held(id) != Some(entry)).map(|(id, entry)| {
        let same_location =
            held(id).is_some_and(|held| held.address == entry.address && held.zone == entry.zone);
        let location = (!same_location).then(|| (entry.address.clone(), entry.zone));
        ChangedEntry { replica: id.clone(), weight: entry.weight, location }
    });
    let removed = old.into_iter().flat_map(|old| old.entries.keys());
    TableChange::Entries {
        changed: changed.collect(),
        removed: removed.filter(|id| !new.entries.contains_key(*id)).cloned().collect(),
        admission_millionths: new.admission_millionths,
        retry_policy: new.retry_policy,
    }
}

/// Applies a delta to a state.
///
/// # Errors
/// See [`Mismatch`].
pub fn apply(held: &PublishedState, held_digest: Digest, delta: &Delta) -> Result<PublishedState, Mismatch> {
    if delta.base != held_digest {
        return Err(Mismatch::Base);
    }
    let mut state = held.clone();
    for (class, change) in &delta.changes {
        let table = state.classes.get_mut(*class).ok_or(Mismatch::UnknownClass)?;
        apply_change(table, change)?;
    }
    if state.digest() != delta.digest {
        return Err(Mismatch::Digest);
    }
    Ok(state)
}

fn apply_change(table: &mut Option<PublishedTable>, change: &TableChange) -> Result<(), Mismatch> {
    let TableChange::Entries { changed, removed, admission_millionths, retry_policy } = change else {
        *table = None;
        return Ok(());
    };
    let table = table.get_or_insert_with(|| PublishedTable {
        entries: BTreeMap::new(),
        admission_millionths: MILLION,
        retry_policy: RetryPolicy::Never,
    });
    table.admission_millionths = *admission_millionths;
    table.retry_policy = *retry_policy;
    for id in removed {
        table.entries.remove(id);
    }
    for ChangedEntry { replica, weight, location } in changed {
        let entry = match (location, table.entries.get(replica)) {
            (Some((address, zone)), _) => {
                PublishedEntry { address: address.clone(), zone: *zone, weight: *weight }
            }
            (None, Some(held)) => PublishedEntry { weight: *weight, ..held.clone() },
            (None, None) => return Err(Mismatch::UnknownReplica),
        };
        table.entries.insert(replica.clone(), entry);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
