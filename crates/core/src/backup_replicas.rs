//! Backup replicas: active only while no primary replica is ready.
//!
//! They stay active until a primary has been ready for as long as a slow start takes, without a break. That guards
//! against a cold replica that comes back to all requests at once, and against a roster that flaps; it does harm where
//! backups are slow or far, for so long.

use std::time::Duration;

use wrenthread::types::Phase;

use crate::roster::RosterEntry;

/// Which entries of a roster are active.
#[derive(Debug)]
pub struct BackupReplicas {
    release_delay: Duration,
    /// The last complete roster; kept only while it has backups.
    last: Vec<RosterEntry>,
    /// Backups are active, as no primary was ready.
    active: bool,
    /// Since when some primary is ready without a break.
    primary_ready_since: Option<Duration>,
}

impl BackupReplicas {
    /// `release_delay`: for how long a primary must be ready before backups are released.
    pub fn new(release_delay: Duration) -> Self {
        BackupReplicas { release_delay, last: Vec::new(), active: false, primary_ready_since: None }
    }

    /// A complete roster, as its source has it: its active entries.
    pub fn update(&mut self, now: Duration, entries: Vec<RosterEntry>) -> Vec<RosterEntry> {
        let any = entries.iter().any(|entry| entry.backup);
        let ready = entries.iter().any(|entry| !entry.backup && entry.phase == Phase::Ready);
        match ready {
            true => drop(self.primary_ready_since.get_or_insert(now)),
            // An empty roster is doubted by whoever takes it; it activates nobody.
            false if any => (self.active, self.primary_ready_since) = (true, None),
            false => self.primary_ready_since = None,
        }
        self.last = if any { entries.clone() } else { Vec::new() };
        self.active_entries(now, entries)
    }

    /// The active entries anew, when backups are released.
    pub fn release_due(&mut self, now: Duration) -> Option<Vec<RosterEntry>> {
        self.next_deadline().filter(|due| now >= *due)?;
        Some(self.active_entries(now, self.last.clone()))
    }

    /// When [`BackupReplicas::release_due`] is next to be called.
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
