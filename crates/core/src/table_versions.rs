//! What proxies are told, in versions: whole states, their digests, and deltas between them.
//!
//! A delta names the version that it starts from and the digest that it must come to. Who applies it checks
//! both before anything takes effect; what does not come out is answered by asking for the whole, never by
//! guessing.

use std::collections::BTreeMap;
use std::sync::Arc;

use wrenthread::types::{ReplicaId, RetryPolicy};

use crate::tables::Table;
use crate::weights;

/// Levels are said in parts of a million.
pub const MILLION: u32 = 1_000_000;

/// One open line, as proxies hear it: weights are whole, so that everybody's digest is over the same numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedEntry {
    pub address: Arc<str>,
    pub zone: usize,
    pub weight: u32,
}

/// A group's table as a proxy is told it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedTable {
    pub entries: BTreeMap<ReplicaId, PublishedEntry>,
    /// Flows let in, in parts of a million.
    pub admission_millionths: u32,
    pub retry_policy: RetryPolicy,
}

/// All that a proxy is told, by group. None: it stays on its standing table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PublishedState {
    pub classes: Vec<Option<PublishedTable>>,
}

pub type Digest = [u8; 32];

/// Bytes as text.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Text as bytes; none if it is not made by [`hex`].
pub fn unhex(text: &str) -> Option<Vec<u8>> {
    let pair = |at: usize| u8::from_str_radix(text.get(at..at + 2)?, 16).ok();
    let pairs = text.len().is_multiple_of(2) && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    pairs.then(|| (0..text.len()).step_by(2).map(pair).collect())?
}

impl PublishedTable {
    pub fn of(table: &Table, tries: RetryPolicy) -> PublishedTable {
        let open: Vec<_> = table.entries.iter().filter(|line| line.routable).collect();
        let weights = weights::whole(&open.iter().map(|line| line.weight).collect::<Vec<_>>());
        let lines = open.into_iter().zip(weights).map(|(line, weight)| {
            (line.replica.clone(), PublishedEntry { address: line.address.clone(), zone: line.zone, weight })
        });
        let level = (table.admission_fraction.clamp(0.0, 1.0) * f64::from(MILLION)).round() as u32;
        PublishedTable { entries: lines.collect(), admission_millionths: level, retry_policy: tries }
    }
}

impl PublishedState {
    /// Over all content, each part with its length, so that no two states are spelled alike.
    pub fn digest(&self) -> Digest {
        let mut hasher = blake3::Hasher::new();
        let text = |hasher: &mut blake3::Hasher, text: &str| {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        };
        hasher.update(&(self.classes.len() as u64).to_le_bytes());
        for said in &self.classes {
            let Some(said) = said else {
                hasher.update(&[0]);
                continue;
            };
            hasher.update(&[1 + said.retry_policy as u8]);
            hasher.update(&said.admission_millionths.to_le_bytes());
            hasher.update(&(said.entries.len() as u64).to_le_bytes());
            for (replica, line) in &said.entries {
                text(&mut hasher, replica);
                text(&mut hasher, &line.address);
                hasher.update(&(line.zone as u64).to_le_bytes());
                hasher.update(&line.weight.to_le_bytes());
            }
        }
        hasher.finalize().into()
    }

    /// Lines in all groups.
    pub fn entry_count(&self) -> usize {
        self.classes.iter().flatten().map(|said| said.entries.len()).sum()
    }
}

/// A line that changed: what a proxy does not know of the replica yet, or what is different, is said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedEntry {
    pub replica: ReplicaId,
    pub weight: u32,
    /// None: as in the base.
    pub at: Option<(Arc<str>, usize)>,
}

/// What changes in a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableChange {
    /// The proxy stays on its standing table from here on.
    UseDefaultTable,
    Entries {
        changed: Vec<ChangedEntry>,
        removed: Vec<ReplicaId>,
        level: u32,
        tries: RetryPolicy,
    },
}

/// From one state to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    pub base: Digest,
    pub digest: Digest,
    /// By group's place.
    pub changes: BTreeMap<usize, TableChange>,
}

/// Why a delta can't take effect. The answer to each is to ask for the whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Mismatch {
    #[error("it starts from a state that is not held")]
    Base,
    #[error("it names a replica whose address is not known")]
    Unknown,
    #[error("it names a group that is not known")]
    Group,
    #[error("what it comes to has another digest than it says")]
    Digest,
}

/// The delta from one state to another. `base` and `digest` are theirs.
pub fn delta(from: &PublishedState, base: Digest, to: &PublishedState, digest: Digest) -> Delta {
    let mut changes = BTreeMap::new();
    for (place, new) in to.classes.iter().enumerate() {
        let old = from.classes.get(place).and_then(Option::as_ref);
        let Some(new) = new else {
            if old.is_some() {
                changes.insert(place, TableChange::UseDefaultTable);
            }
            continue;
        };
        if old == Some(new) {
            continue;
        }
        let held = |id: &ReplicaId| old.and_then(|old| old.entries.get(id));
        let changed = new.entries.iter().filter(|(id, line)| held(id) != Some(line)).map(|(id, line)| {
            let same = held(id).is_some_and(|held| held.address == line.address && held.zone == line.zone);
            let at = (!same).then(|| (line.address.clone(), line.zone));
            ChangedEntry { replica: id.clone(), weight: line.weight, at }
        });
        let removed = old.into_iter().flat_map(|old| old.entries.keys());
        let removed = removed.filter(|id| !new.entries.contains_key(*id)).cloned().collect();
        let lines = TableChange::Entries {
            changed: changed.collect(),
            removed,
            level: new.admission_millionths,
            tries: new.retry_policy,
        };
        changes.insert(place, lines);
    }
    Delta { base, digest, changes }
}

/// What a delta comes to from a state that is held.
///
/// Errors: as [`Mismatch`]; the state held stays as it is.
pub fn apply(held: &PublishedState, held_digest: Digest, delta: &Delta) -> Result<PublishedState, Mismatch> {
    if delta.base != held_digest {
        return Err(Mismatch::Base);
    }
    let mut whole = held.clone();
    for (place, change) in &delta.changes {
        let group = whole.classes.get_mut(*place).ok_or(Mismatch::Group)?;
        let TableChange::Entries { changed, removed, level, tries } = change else {
            *group = None;
            continue;
        };
        let said = group.get_or_insert_with(|| PublishedTable {
            entries: BTreeMap::new(),
            admission_millionths: MILLION,
            retry_policy: RetryPolicy::Never,
        });
        (said.admission_millionths, said.retry_policy) = (*level, *tries);
        for id in removed {
            said.entries.remove(id);
        }
        for ChangedEntry { replica, weight, at } in changed {
            let line = match (at, said.entries.get(replica)) {
                (Some((address, zone)), _) => {
                    PublishedEntry { address: address.clone(), zone: *zone, weight: *weight }
                }
                (None, Some(held)) => PublishedEntry { weight: *weight, ..held.clone() },
                (None, None) => return Err(Mismatch::Unknown),
            };
            said.entries.insert(replica.clone(), line);
        }
    }
    if whole.digest() != delta.digest {
        return Err(Mismatch::Digest);
    }
    Ok(whole)
}

#[cfg(test)]
mod tests;
