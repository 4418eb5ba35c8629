//! The roster of replicas, and when an empty one is accepted.
//!
//! Each roster is complete. An empty one that follows a non-empty one is usually the fault of a source that
//! lost its list. It is accepted only after it has lasted for a configured time; until then the previous
//! roster stays in force. This prevents a faulty source from blocking the fleet. *Harm:* if all replicas
//! really left at once, proxies keep entries for them during that time, and their requests fail either way.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{Phase, ReplicaEntry, ReplicaId};

/// A replica as listed by the roster source.
#[derive(Debug, Clone, PartialEq)]
pub struct RosterEntry {
    /// The name of the replica.
    pub id: ReplicaId,
    /// Where proxies reach it, `host:port`.
    pub address: Arc<str>,
    /// The index of its zone in the settings.
    pub zone: usize,
    /// Its capacity relative to other replicas.
    pub weight: f64,
    /// Whether requests may be sent to it.
    pub phase: Phase,
    /// When its process started, on the host's clock; `None` if it started long ago.
    pub started_at: Option<Duration>,
    /// Whether it is a backup, active only while no primary is ready: [`crate::backup_replicas`].
    pub backup: bool,
}

/// The last known state of a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownReplica {
    /// Where proxies reach it, `host:port`.
    pub address: Arc<str>,
    /// The index of its zone in the settings.
    pub zone: usize,
    /// Its capacity relative to other replicas.
    pub weight: f64,
    /// Whether requests may be sent to it.
    pub phase: Phase,
    /// When its process started, on the host's clock; `None` if it started long ago.
    pub started_at: Option<Duration>,
}

/// The last accepted roster.
#[derive(Debug)]
pub struct Roster {
    known: BTreeMap<ReplicaId, KnownReplica>,
    by_address: BTreeMap<Arc<str>, ReplicaId>,
    empty_roster_timeout: Duration,
    /// Since when the source has reported an empty roster.
    empty_since: Option<Duration>,
}

/// The result of an update.
#[derive(Debug, Clone, PartialEq)]
pub enum RosterChange {
    /// Nothing changed.
    Same,
    /// The complete changed roster for the module.
    Changed(Vec<ReplicaEntry>),
    /// The roster is empty; the previous one stays in force until the given time.
    Unconfirmed(Duration),
}

impl Roster {
    /// `empty_roster_timeout`: how long an empty roster must last before it is accepted.
    pub fn new(empty_roster_timeout: Duration) -> Self {
        Roster {
            known: BTreeMap::new(),
            by_address: BTreeMap::new(),
            empty_roster_timeout,
            empty_since: None,
        }
    }

    /// Applies a complete roster; replicas that it does not list are gone. A start time later than `now` is
    /// replaced by `now`: it means that the source's clock is ahead, and the replica would otherwise count as
    /// cold for too long.
    pub fn update(&mut self, now: Duration, entries: Vec<RosterEntry>) -> RosterChange {
        let has_listed = self.known.values().any(|replica| replica.phase != Phase::Gone);
        if entries.is_empty() && has_listed {
            let since = *self.empty_since.get_or_insert(now);
            if now < since + self.empty_roster_timeout {
                return RosterChange::Unconfirmed(since + self.empty_roster_timeout);
            }
        } else {
            self.empty_since = None;
        }
        self.replace(now, entries)
    }

    /// Accepts an empty roster after its timeout. Returns the complete roster for the module if it changed.
    pub fn accept_empty(&mut self, now: Duration) -> Option<Vec<ReplicaEntry>> {
        let since = self.empty_since.filter(|since| now >= *since + self.empty_roster_timeout)?;
        match self.replace(since, Vec::new()) {
            RosterChange::Changed(listed) => Some(listed),
            _ => None,
        }
    }

    /// When to call [`Roster::accept_empty`] next.
    pub fn next_deadline(&self) -> Option<Duration> {
        let has_listed = self.known.values().any(|replica| replica.phase != Phase::Gone);
        self.empty_since.filter(|_| has_listed).map(|since| since + self.empty_roster_timeout)
    }

    fn replace(&mut self, now: Duration, entries: Vec<RosterEntry>) -> RosterChange {
        let before = self.known.clone();
        self.known.values_mut().for_each(|replica| replica.phase = Phase::Gone);
        for entry in entries {
            let RosterEntry { id, address, zone, weight, phase, started_at: started, backup: _ } = entry;
            // Keeps the first clamped value: a start time that changed with each roster would look like a new
            // process each time.
            let known = before.get(&id).and_then(|known| known.started_at);
            let started = started.map(|at| if at > now { known.unwrap_or(now) } else { at });
            self.known.insert(id, KnownReplica { address, zone, weight, phase, started_at: started });
        }
        if self.known == before {
            return RosterChange::Same;
        }
        // If two replicas had the same address one after the other, the one that is not gone gets it.
        self.by_address.clear();
        let (gone, present): (Vec<_>, Vec<_>) =
            self.known.iter().partition(|(_, replica)| replica.phase == Phase::Gone);
        for (id, replica) in gone.into_iter().chain(present) {
            self.by_address.insert(replica.address.clone(), id.clone());
        }
        let listed = self.known.iter().filter(|(_, replica)| replica.phase != Phase::Gone);
        RosterChange::Changed(
            listed
                .map(|(id, replica)| ReplicaEntry {
                    id: id.clone(),
                    phase: replica.phase,
                    zone: replica.zone,
                    weight: replica.weight,
                    started_at: replica.started_at,
                })
                .collect(),
        )
    }

    /// The last known state of a replica, including one that is gone.
    pub fn get(&self, id: &ReplicaId) -> Option<&KnownReplica> {
        self.known.get(id)
    }

    /// The replica that has, or had last, this address.
    pub fn replica_at(&self, address: &str) -> Option<&ReplicaId> {
        self.by_address.get(address)
    }

    /// Whether a replica is ready.
    pub fn is_ready(&self, id: &ReplicaId) -> bool {
        self.known.get(id).is_some_and(|replica| replica.phase == Phase::Ready)
    }

    /// The number of ready replicas in a zone.
    pub fn ready_count(&self, zone: usize) -> usize {
        self.known.values().filter(|replica| replica.zone == zone && replica.phase == Phase::Ready).count()
    }

    /// All replicas, including those that are gone and still named by a table.
    pub fn iter(&self) -> impl Iterator<Item = (&ReplicaId, &KnownReplica)> {
        self.known.iter()
    }

    /// Whether an empty roster is waiting for its timeout.
    pub fn empty_roster_unconfirmed(&self) -> bool {
        self.next_deadline().is_some()
    }

    /// Drops gone replicas that `named` does not report as still in use, so that replica names of past
    /// deployments do not accumulate.
    pub fn forget_gone(&mut self, named: impl Fn(&ReplicaId) -> bool) {
        self.known.retain(|id, replica| replica.phase != Phase::Gone || named(id));
        self.by_address.retain(|_, id| self.known.contains_key(id));
    }
}

#[cfg(test)]
mod tests;
