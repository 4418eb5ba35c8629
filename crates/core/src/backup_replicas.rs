//! Backup replicas: active only while no primary replica is ready.
//!
//! They stay active until a primary has been ready without interruption for the duration of a slow start.
//! This protects a cold replica from receiving all requests at once, and against a flapping roster. *Harm:*
//! requests go to backups for that time, even if these are slow or distant.

use std::time::Duration;

use wrenthread::types::Phase;

use crate::roster::RosterEntry;

/// Selects the active entries of a roster.
#[derive(Debug)]
pub struct BackupReplicas {
    release_delay: Duration,
    /// The last complete roster; stored only if it contains backups.
    last: Vec<RosterEntry>,
    /// Whether backups are active because no primary was ready.
    active: bool,
    /// Since when at least one primary has been ready without interruption.
    primary_ready_since: Option<Duration>,
}

impl BackupReplicas {
    /// `release_delay`: how long a primary must be ready before backups are deactivated.
    pub fn new(release_delay: Duration) -> Self {
        BackupReplicas { release_delay, last: Vec::new(), active: false, primary_ready_since: None }
    }

    /// Processes a complete roster from its source. Returns its active entries.
    pub fn update(&mut self, now: Duration, entries: Vec<RosterEntry>) -> Vec<RosterEntry> {
        let has_backups = entries.iter().any(|entry| entry.backup);
        let ready = entries.iter().any(|entry| !entry.backup && entry.phase == Phase::Ready);
        match ready {
            true => drop(self.primary_ready_since.get_or_insert(now)),
            // An empty roster activates no backups; [`crate::roster::Roster`] delays its acceptance.
            false if has_backups => (self.active, self.primary_ready_since) = (true, None),
            false => self.primary_ready_since = None,
        }
        self.last = if has_backups { entries.clone() } else { Vec::new() };
        self.active_entries(now, entries)
    }

    /// Deactivates backups if due. Returns the new active entries.
    pub fn release_due(&mut self, now: Duration) -> Option<Vec<RosterEntry>> {
        self.next_deadline().filter(|due| now >= *due)?;
        Some(self.active_entries(now, self.last.clone()))
    }

    /// When to call [`BackupReplicas::release_due`] next.
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
