//! The roster of replicas: what it says, and whether it is believed.
//!
//! Rosters come complete. An empty one after one that was not is most often a source that lost its own list: it is
//! doubted until it has stood for a stated time, and the last one stays in force meanwhile. That guards against a fleet
//! blocked by a broken source; it does harm where all replicas really left at once, as their proxies keep entries for
//! them for so long (and find nobody there either way).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{Phase, ReplicaEntry, ReplicaId};

/// One replica, as its source names it.
#[derive(Debug, Clone, PartialEq)]
pub struct RosterEntry {
    /// Its name.
    pub id: ReplicaId,
    /// Where proxies reach it, `host:port`.
    pub address: Arc<str>,
    /// Its place in the zones of the settings.
    pub zone: usize,
    /// Its capacity beside others'.
    pub weight: f64,
    /// Whether it may be sent to.
    pub phase: Phase,
    /// When its process started, on the host's clock; none for long ago.
    pub started_at: Option<Duration>,
    /// It is active only while no other is ready: [`crate::backup_replicas`].
    pub backup: bool,
}

/// What the engine knows of a replica beyond what the module needs.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownReplica {
    /// Where proxies reach it, `host:port`.
    pub address: Arc<str>,
    /// Its place in the zones of the settings.
    pub zone: usize,
    /// Its capacity beside others'.
    pub weight: f64,
    /// Whether it may be sent to.
    pub phase: Phase,
    /// When its process started, on the host's clock; none for long ago.
    pub started_at: Option<Duration>,
}

/// The roster as it was last believed.
#[derive(Debug)]
pub struct Roster {
    known: BTreeMap<ReplicaId, KnownReplica>,
    by_address: BTreeMap<Arc<str>, ReplicaId>,
    empty_roster_timeout: Duration,
    /// Since when the source has said that there are no replicas at all.
    empty_since: Option<Duration>,
}

/// What became of a roster.
#[derive(Debug, Clone, PartialEq)]
pub enum RosterChange {
    /// Nothing differs from what was known.
    Same,
    /// The complete roster for the module.
    Changed(Vec<ReplicaEntry>),
    /// The roster is empty and the last one stays in force until the time given.
    Doubted(Duration),
}

impl Roster {
    /// `empty_roster_timeout`: how long an empty roster must stand before it is believed.
    pub fn new(empty_roster_timeout: Duration) -> Self {
        Roster {
            known: BTreeMap::new(),
            by_address: BTreeMap::new(),
            empty_roster_timeout,
            empty_since: None,
        }
    }

    /// Takes a complete roster. What it leaves out is gone. A start later than `now` is taken for `now`: the source's
    /// clock runs ahead, and a replica from the future would count as cold for too long.
    pub fn update(&mut self, now: Duration, entries: Vec<RosterEntry>) -> RosterChange {
        let held = self.known.values().any(|one| one.phase != Phase::Gone);
        if entries.is_empty() && held {
            let since = *self.empty_since.get_or_insert(now);
            if now < since + self.empty_roster_timeout {
                return RosterChange::Doubted(since + self.empty_roster_timeout);
            }
        } else {
            self.empty_since = None;
        }
        self.replace(now, entries)
    }

    /// Believes an empty roster whose time is over: the complete roster for the module, if that is so.
    pub fn believe_empty(&mut self, now: Duration) -> Option<Vec<ReplicaEntry>> {
        let since = self.empty_since.filter(|since| now >= *since + self.empty_roster_timeout)?;
        match self.replace(since, Vec::new()) {
            RosterChange::Changed(listed) => Some(listed),
            _ => None,
        }
    }

    /// When [`Roster::believe_empty`] is next to be called.
    pub fn next_deadline(&self) -> Option<Duration> {
        let held = self.known.values().any(|one| one.phase != Phase::Gone);
        self.empty_since.filter(|_| held).map(|since| since + self.empty_roster_timeout)
    }

    fn replace(&mut self, now: Duration, entries: Vec<RosterEntry>) -> RosterChange {
        let before = self.known.clone();
        self.known.values_mut().for_each(|one| one.phase = Phase::Gone);
        for entry in entries {
            let RosterEntry { id, address, zone, weight, phase, started_at: started, backup: _ } = entry;
            // Clamped once: a start that moved with each roster would make a new process of each.
            let known = before.get(&id).and_then(|known| known.started_at);
            let started = started.map(|at| if at > now { known.unwrap_or(now) } else { at });
            self.known.insert(id, KnownReplica { address, zone, weight, phase, started_at: started });
        }
        if self.known == before {
            return RosterChange::Same;
        }
        // Two replicas may have had one address, one after the other: the one that is not gone has it.
        self.by_address.clear();
        let (gone, here): (Vec<_>, Vec<_>) = self.known.iter().partition(|(_, one)| one.phase == Phase::Gone);
        for (id, one) in gone.into_iter().chain(here) {
            self.by_address.insert(one.address.clone(), id.clone());
        }
        let listed = self.known.iter().filter(|(_, one)| one.phase != Phase::Gone);
        RosterChange::Changed(
            listed
                .map(|(id, one)| ReplicaEntry {
                    id: id.clone(),
                    phase: one.phase,
                    zone: one.zone,
                    weight: one.weight,
                    started_at: one.started_at,
                })
                .collect(),
        )
    }

    /// What was last known of a replica, also of one that is gone.
    pub fn get(&self, id: &ReplicaId) -> Option<&KnownReplica> {
        self.known.get(id)
    }

    /// The replica that has an address, or had it last.
    pub fn at(&self, address: &str) -> Option<&ReplicaId> {
        self.by_address.get(address)
    }

    /// Whether a replica is ready.
    pub fn is_ready(&self, id: &ReplicaId) -> bool {
        self.known.get(id).is_some_and(|one| one.phase == Phase::Ready)
    }

    /// Ready replicas of a zone.
    pub fn ready_count(&self, zone: usize) -> usize {
        self.known.values().filter(|one| one.zone == zone && one.phase == Phase::Ready).count()
    }

    /// All replicas, also those that are gone and named by some table.
    pub fn iter(&self) -> impl Iterator<Item = (&ReplicaId, &KnownReplica)> {
        self.known.iter()
    }

    /// Whether an empty roster is being doubted.
    pub fn empty_roster_doubted(&self) -> bool {
        self.next_deadline().is_some()
    }

    /// Drops what is gone and named nowhere, so that years of deployments under new names don't pile up here.
    pub fn forget_gone(&mut self, named: impl Fn(&ReplicaId) -> bool) {
        self.known.retain(|id, one| one.phase != Phase::Gone || named(id));
        self.by_address.retain(|_, id| self.known.contains_key(id));
    }
}

#[cfg(test)]
mod tests;
