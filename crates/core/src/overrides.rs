//! What operators say of a replica for a while: that nothing is to be sent there, or a part of what the
//! module gives it, or a multiple. It is applied to whatever table is wanted, and passes the guard like all
//! else.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::ReplicaId;

use crate::tables::Table;

/// Factors beyond these are slips of the keyboard.
pub const FACTORS: (f64, f64) = (0.01, 100.0);
/// So many at a time: a fleet that needs more needs another list.
pub const MOST: usize = 1000;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OverrideKind {
    Exclude,
    /// Its weights, times this.
    Weight(f64),
}

#[derive(Debug, Clone, PartialEq)]
pub struct Override {
    pub what: OverrideKind,
    pub since: Duration,
    pub until: Duration,
    pub why: Arc<str>,
}

#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum OverrideError {
    #[error("no replica `{0}` is listed")]
    NoReplica(ReplicaId),
    #[error("a factor is from 0.01 to 100, and not {0}")]
    Factor(f64),
    #[error("{MOST} replicas are overridden already")]
    Full,
}

#[derive(Debug, Default)]
pub struct Overrides {
    by_replica: BTreeMap<ReplicaId, Override>,
}

impl Overrides {
    /// A later word about a replica takes an earlier one's place.
    ///
    /// Errors: a factor that can't be meant, or too many; nothing is changed.
    pub fn set(&mut self, replica: ReplicaId, one: Override) -> Result<(), OverrideError> {
        if let OverrideKind::Weight(factor) = one.what
            && !(FACTORS.0..=FACTORS.1).contains(&factor)
        {
            return Err(OverrideError::Factor(factor));
        }
        if self.by_replica.len() >= MOST && !self.by_replica.contains_key(&replica) {
            return Err(OverrideError::Full);
        }
        self.by_replica.insert(replica, one);
        Ok(())
    }

    pub fn end(&mut self, replica: &str) -> bool {
        self.by_replica.remove(replica).is_some()
    }

    /// Replicas whose time is over.
    pub fn take_expired(&mut self, now: Duration) -> BTreeSet<ReplicaId> {
        self.by_replica.extract_if(.., |_, one| one.until <= now).map(|(id, _)| id).collect()
    }

    pub fn next_deadline(&self) -> Option<Duration> {
        self.by_replica.values().map(|one| one.until).min()
    }

    pub fn excludes(&self, replica: &ReplicaId) -> bool {
        self.by_replica.get(replica).is_some_and(|one| one.what == OverrideKind::Exclude)
    }

    pub fn contains(&self, replica: &ReplicaId) -> bool {
        self.by_replica.contains_key(replica)
    }

    pub fn is_empty(&self) -> bool {
        self.by_replica.is_empty()
    }

    /// A table as it is wanted under what operators say.
    pub fn apply(&self, table: &mut Table) {
        if self.by_replica.is_empty() {
            return;
        }
        for line in &mut table.entries {
            match self.by_replica.get(&line.replica).map(|one| one.what) {
                Some(OverrideKind::Exclude) => line.routable = false,
                Some(OverrideKind::Weight(factor)) => line.weight *= factor,
                None => {}
            }
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = (&ReplicaId, &Override)> {
        self.by_replica.iter()
    }
}
