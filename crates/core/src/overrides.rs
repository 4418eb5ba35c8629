//! Temporary overrides of replicas by operators: a replica is excluded, or its weight in the module's tables
//! is multiplied by a factor. Overrides are applied to every proposed table, which the guard then checks like
//! any other.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::ReplicaId;

use crate::tables::Table;

/// The range of weight factors; a value outside it is taken for a typing error.
pub const FACTOR_RANGE: (f64, f64) = (0.01, 100.0);
/// The maximum number of overrides; a fleet that needs more needs another roster.
pub const MAX_OVERRIDES: usize = 1000;

/// The effect of an override.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OverrideKind {
    /// No requests are sent to the replica.
    Exclude,
    /// The replica's weights are multiplied by this factor.
    Weight(f64),
}

/// An override of one replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Override {
    /// The effect.
    pub kind: OverrideKind,
    /// When it was set.
    pub since: Duration,
    /// When it expires.
    pub until: Duration,
    /// The operator's reason.
    pub reason: Arc<str>,
}

/// Why an override was rejected.
///
/// The texts are part of responses and must not change.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum OverrideError {
    /// The replica is not listed.
    #[error("no replica `{0}` is listed")]
    NoReplica(ReplicaId),
    /// The factor is not within [`FACTOR_RANGE`].
    #[error("a factor is from 0.01 to 100, and not {0}")]
    Factor(f64),
    /// There are [`MAX_OVERRIDES`] overrides already.
    #[error("{MAX_OVERRIDES} replicas are overridden already")]
    Full,
}

/// The overrides in force.
#[derive(Debug, Default)]
pub struct Overrides {
    by_replica: BTreeMap<ReplicaId, Override>,
}

impl Overrides {
    /// Sets an override; a later one of the same replica replaces an earlier one.
    ///
    /// # Errors
    /// The factor is out of range, or there are too many overrides; on error nothing changes.
    pub fn set(&mut self, replica: ReplicaId, new: Override) -> Result<(), OverrideError> {
        if let OverrideKind::Weight(factor) = new.kind
            && !(FACTOR_RANGE.0..=FACTOR_RANGE.1).contains(&factor)
        {
            return Err(OverrideError::Factor(factor));
        }
        if self.by_replica.len() >= MAX_OVERRIDES && !self.by_replica.contains_key(&replica) {
            return Err(OverrideError::Full);
        }
        self.by_replica.insert(replica, new);
        Ok(())
    }

    /// Ends the override of a replica. Returns whether there was one.
    pub fn end(&mut self, replica: &str) -> bool {
        self.by_replica.remove(replica).is_some()
    }

    /// Removes expired overrides and returns their replicas.
    pub fn take_expired(&mut self, now: Duration) -> BTreeSet<ReplicaId> {
        self.by_replica.extract_if(.., |_, entry| entry.until <= now).map(|(id, _)| id).collect()
    }

    /// When the next override expires.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.by_replica.values().map(|entry| entry.until).min()
    }

    /// Whether a replica is excluded.
    pub fn excludes(&self, replica: &ReplicaId) -> bool {
        self.by_replica.get(replica).is_some_and(|entry| entry.kind == OverrideKind::Exclude)
    }

    /// Whether there is an override of a replica.
    pub fn contains(&self, replica: &ReplicaId) -> bool {
        self.by_replica.contains_key(replica)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_replica.is_empty()
    }

    /// Applies the overrides to a proposed table.
    pub fn apply(&self, table: &mut Table) {
        if self.by_replica.is_empty() {
            return;
        }
        for entry in &mut table.entries {
            match self.by_replica.get(&entry.replica).map(|entry| entry.kind) {
                Some(OverrideKind::Exclude) => entry.routable = false,
                Some(OverrideKind::Weight(factor)) => entry.weight *= factor,
                None => {}
            }
        }
    }

    /// All overrides, by replica.
    pub fn iter(&self) -> impl Iterator<Item = (&ReplicaId, &Override)> {
        self.by_replica.iter()
    }
}
