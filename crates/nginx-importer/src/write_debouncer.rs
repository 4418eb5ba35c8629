//! When a file is written for an nginx and it is told to read it: drains soon, the rest seldom, and what
//! fails again after longer and longer waits. No file is touched here and no clock read.
//!
//! Each reload starts new processes beside the old ones, which go on until their last flow ends: a reload
//! with every change would fill the machine with them. So changes are merged, and what is written is always
//! the newest state.

use std::time::Duration;

use crate::blocks::Tables;

/// After failures in a row the wait doubles, up to this.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// When to write the file of one nginx.
#[derive(Debug)]
pub struct WriteDebouncer {
    min_interval: Duration,
    min_drain_interval: Duration,
    /// What nginx was last told to read.
    applied: Option<Tables>,
    wanted: Option<Tables>,
    /// What is being written.
    writing: Option<Tables>,
    last_write: Option<Duration>,
    failures: u32,
}

impl WriteDebouncer {
    /// `every`: from one file to the next, at the least; `drains_every`: the same for one that shuts a line.
    pub fn new(every: Duration, drains_every: Duration) -> Self {
        let drains_every = drains_every.min(every);
        WriteDebouncer {
            min_interval: every,
            min_drain_interval: drains_every,
            applied: None,
            wanted: None,
            writing: None,
            last_write: None,
            failures: 0,
        }
    }

    /// What the governor says now.
    pub fn set_wanted(&mut self, tables: Tables) {
        self.wanted = Some(tables);
    }

    /// What to write, if it is time; then [`WriteDebouncer::write_finished`] is to be called.
    pub fn start_write(&mut self, now: Duration) -> Option<Tables> {
        self.next_deadline().filter(|due| now >= *due)?;
        self.writing = self.wanted.clone();
        self.last_write = Some(now);
        self.writing.clone()
    }

    /// Whether the file was written and nginx reads it. If not, nginx goes on with what it read before.
    pub fn write_finished(&mut self, succeeded: bool) {
        let written = self.writing.take();
        if succeeded {
            (self.applied, self.failures) = (written, 0);
        } else {
            self.failures = self.failures.saturating_add(1);
        }
    }

    /// When [`WriteDebouncer::start_write`] is next to be called; none if there is nothing to write.
    pub fn next_deadline(&self) -> Option<Duration> {
        let wanted = self.wanted.as_ref()?;
        if self.writing.is_some() || self.applied.as_ref() == Some(wanted) {
            return None;
        }
        let Some(last) = self.last_write else { return Some(Duration::ZERO) };
        let reduces_traffic = self.applied.as_ref().is_none_or(|applied| reduces_traffic(applied, wanted));
        let wait = if reduces_traffic { self.min_drain_interval } else { self.min_interval };
        // A drain is tried again as often, at first: it is a duty to others. But a command that always fails
        // must not be run every second for ever.
        let doubled = wait.saturating_mul(1 << self.failures.min(16));
        Some(last + doubled.min(MAX_WAIT.max(wait)))
    }

    /// Writes that failed since the last that did not.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

/// Whether something that is sent to by one is not by the other, or less is let in.
fn reduces_traffic(now: &Tables, later: &Tables) -> bool {
    now.iter().any(|(class, table)| {
        later.get(class).is_none_or(|later| {
            let is_kept = |address: &String| later.servers.iter().any(|(known, _)| known == address);
            later.admission_fraction < table.admission_fraction
                || !table.servers.iter().all(|(address, _)| is_kept(address))
        })
    })
}

#[cfg(test)]
mod tests;
