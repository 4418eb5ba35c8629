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
    hold: Duration,
    /// The list as its source said it last; kept only while it has backups.
    last: Vec<RosterEntry>,
    /// Backups are on the list, as nobody else was ready.
    called: bool,
    /// Since when some other one is ready without a break.
    back: Option<Duration>,
}

impl BackupReplicas {
    /// `hold`: for how long one of the others must be ready before backups are let go.
    pub fn new(hold: Duration) -> Self {
        BackupReplicas { hold, last: Vec::new(), called: false, back: None }
    }

    /// A whole list, as its source says it: what is on it now.
    pub fn take(&mut self, now: Duration, entries: Vec<RosterEntry>) -> Vec<RosterEntry> {
        let any = entries.iter().any(|entry| entry.backup);
        let ready = entries.iter().any(|entry| !entry.backup && entry.phase == Phase::Ready);
        match ready {
            true => drop(self.back.get_or_insert(now)),
            // An empty list is doubted by whoever takes it; it calls nobody.
            false if any => (self.called, self.back) = (true, None),
            false => self.back = None,
        }
        self.last = if any { entries.clone() } else { Vec::new() };
        self.listed(now, entries)
    }

    /// The list anew, when backups are let go.
    pub fn due(&mut self, now: Duration) -> Option<Vec<RosterEntry>> {
        self.next_due().filter(|due| now >= *due)?;
        Some(self.listed(now, self.last.clone()))
    }

    /// When [`BackupReplicas::due`] is next to be called.
    pub fn next_due(&self) -> Option<Duration> {
        self.back.filter(|_| self.called && !self.last.is_empty()).map(|back| back + self.hold)
    }

    fn listed(&mut self, now: Duration, mut entries: Vec<RosterEntry>) -> Vec<RosterEntry> {
        if self.back.is_some_and(|back| now >= back + self.hold) {
            self.called = false;
        }
        if !self.called {
            entries.retain(|entry| !entry.backup);
        }
        entries
    }
}

#[cfg(test)]
mod tests;
