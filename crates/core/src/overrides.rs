//! Operators' overrides of replicas, for a while: that nothing is to be sent to one, or a fraction or a multiple of what
//! the module gives it. They are applied to whatever table is wanted, and pass the guard like all else.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::ReplicaId;

use crate::tables::Table;

/// Factors beyond these are slips of the keyboard.
pub const FACTORS: (f64, f64) = (0.01, 100.0);
/// Overrides at a time: a fleet that needs more needs another roster.
pub const MOST: usize = 1000;

/// What an override does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OverrideKind {
    /// Nothing is sent to the replica.
    Exclude,
    /// Its weights, times this.
    Weight(f64),
}

/// An override of one replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Override {
    /// What it does.
    pub what: OverrideKind,
    /// When it was set.
    pub since: Duration,
    /// When it expires.
    pub until: Duration,
    /// The operator's reason.
    pub why: Arc<str>,
}

/// Why an override was rejected.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum OverrideError {
    /// The replica is not listed.
    #[error("no replica `{0}` is listed")]
    NoReplica(ReplicaId),
    /// The factor is not within [`FACTORS`].
    #[error("a factor is from 0.01 to 100, and not {0}")]
    Factor(f64),
    /// There are [`MOST`] overrides already.
    #[error("{MOST} replicas are overridden already")]
    Full,
}

/// Overrides in force.
#[derive(Debug, Default)]
pub struct Overrides {
    by_replica: BTreeMap<ReplicaId, Override>,
}

impl Overrides {
    /// Sets an override; a later one of the same replica replaces an earlier one.
    ///
    /// # Errors
    /// A factor that can't be meant, or too many overrides; nothing is changed then.
    pub fn set(&mut self, replica: ReplicaId, new: Override) -> Result<(), OverrideError> {
        if let OverrideKind::Weight(factor) = new.what
            && !(FACTORS.0..=FACTORS.1).contains(&factor)
        {
            return Err(OverrideError::Factor(factor));
        }
        if self.by_replica.len() >= MOST && !self.by_replica.contains_key(&replica) {
            return Err(OverrideError::Full);
        }
        self.by_replica.insert(replica, new);
        Ok(())
    }

    /// Ends the override of a replica; whether there was one.
    pub fn end(&mut self, replica: &str) -> bool {
        self.by_replica.remove(replica).is_some()
    }

    /// Removes overrides that have expired: the replicas that they were of.
    pub fn take_expired(&mut self, now: Duration) -> BTreeSet<ReplicaId> {
        self.by_replica.extract_if(.., |_, one| one.until <= now).map(|(id, _)| id).collect()
    }

    /// When the next one expires.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.by_replica.values().map(|one| one.until).min()
    }

    /// Whether a replica is excluded.
    pub fn excludes(&self, replica: &ReplicaId) -> bool {
        self.by_replica.get(replica).is_some_and(|one| one.what == OverrideKind::Exclude)
    }

    /// Whether there is an override of a replica.
    pub fn contains(&self, replica: &ReplicaId) -> bool {
        self.by_replica.contains_key(replica)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_replica.is_empty()
    }

    /// Applies the overrides to a table that is wanted.
    pub fn apply(&self, table: &mut Table) {
        if self.by_replica.is_empty() {
            return;
        }
        for entry in &mut table.entries {
            match self.by_replica.get(&entry.replica).map(|one| one.what) {
                Some(OverrideKind::Exclude) => entry.routable = false,
                Some(OverrideKind::Weight(factor)) => entry.weight *= factor,
                None => {}
            }
        }
    }

    /// All of them, by replica.
    pub fn iter(&self) -> impl Iterator<Item = (&ReplicaId, &Override)> {
        self.by_replica.iter()
    }
}
