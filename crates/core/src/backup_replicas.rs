//! Replicas that are listed as backups: on the list only while no other replica is ready.
//!
//! They stay on it until one of the others has been ready for as long as a replica takes to warm up, without
//! a break. That guards against a cold replica that comes back to all flows at once, and against a list that
//! flaps; it does harm where backups are slow or far, for so long.

use std::time::Duration;

use wrenthread::types::Phase;

use crate::roster::RosterEntry;

#[derive(Debug)]
pub struct BackupReplicas {
    release_delay: Duration,
    /// The list as its source said it last; kept only while it has backups.
    last: Vec<RosterEntry>,
    /// Backups are on the list, as nobody else was ready.
    active: bool,
    /// Since when some other one is ready without a break.
    primary_ready_since: Option<Duration>,
}

impl BackupReplicas {
    /// `hold`: for how long one of the others must be ready before backups are let go.
    pub fn new(hold: Duration) -> Self {
        BackupReplicas { release_delay: hold, last: Vec::new(), active: false, primary_ready_since: None }
    }

    /// A whole list, as its source says it: what is on it now.
    pub fn update(&mut self, now: Duration, entries: Vec<RosterEntry>) -> Vec<RosterEntry> {
        let any = entries.iter().any(|entry| entry.backup);
        let ready = entries.iter().any(|entry| !entry.backup && entry.phase == Phase::Ready);
        match ready {
            true => drop(self.primary_ready_since.get_or_insert(now)),
            // An empty list is doubted by whoever takes it; it calls nobody.
            false if any => (self.active, self.primary_ready_since) = (true, None),
            false => self.primary_ready_since = None,
        }
        self.last = if any { entries.clone() } else { Vec::new() };
        self.active_entries(now, entries)
    }

    /// The list anew, when backups are let go.
    pub fn release_due(&mut self, now: Duration) -> Option<Vec<RosterEntry>> {
        self.next_deadline().filter(|due| now >= *due)?;
        Some(self.active_entries(now, self.last.clone()))
    }

    /// When [`BackupReplicas::due`] is next to be called.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.primary_ready_since
            .filter(|_| self.active && !self.last.is_empty())
            .map(|back| back + self.release_delay)
    }

    fn active_entries(&mut self, now: Duration, mut entries: Vec<RosterEntry>) -> Vec<RosterEntry> {
        if self.primary_ready_since.is_some_and(|back| now >= back + self.release_delay) {
            self.active = false;
        }
        if !self.active {
            entries.retain(|entry| !entry.backup);
        }
        entries
    }
}

#[cfg(test)]
mod tests;
