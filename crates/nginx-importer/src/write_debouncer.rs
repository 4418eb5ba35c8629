//! Decides when an nginx include file is written and nginx reloaded: soon for drains, seldom for other
//! changes, and with increasing delays after failures. Does no input or output and reads no clock.
//!
//! Each reload starts new worker processes next to the old ones, which run until their last request ends; a
//! reload for every change would fill the machine with old processes. Changes are therefore merged, and the
//! newest state is written.

use std::time::Duration;

use crate::blocks::Tables;

/// Upper limit of the delay, which doubles with each consecutive failure; a longer minimum interval is kept.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Schedules the writes of the file of one nginx.
#[derive(Debug)]
pub struct WriteDebouncer {
    min_interval: Duration,
    min_drain_interval: Duration,
    /// The tables that nginx last loaded.
    applied: Option<Tables>,
    wanted: Option<Tables>,
    /// The tables being written.
    writing: Option<Tables>,
    last_write: Option<Duration>,
    failures: u32,
}

impl WriteDebouncer {
    /// `every`: the minimum interval between two writes; `drains_every`: the same for a write that removes
    /// a server or a class or lowers an admission fraction, and for writes until one has succeeded.
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

    /// Sets the current tables of the governor.
    pub fn set_wanted(&mut self, tables: Tables) {
        self.wanted = Some(tables);
    }

    /// The tables to write if a write is due. The caller must then call [`WriteDebouncer::write_finished`].
    pub fn start_write(&mut self, now: Duration) -> Option<Tables> {
        self.next_deadline().filter(|due| now >= *due)?;
        self.writing = self.wanted.clone();
        self.last_write = Some(now);
        self.writing.clone()
    }

    /// Reports whether the file was written and nginx loaded it. If not, nginx continues with the tables that
    /// it loaded before.
    pub fn write_finished(&mut self, succeeded: bool) {
        let written = self.writing.take();
        if succeeded {
            (self.applied, self.failures) = (written, 0);
        } else {
            self.failures = self.failures.saturating_add(1);
        }
    }

    /// When to call [`WriteDebouncer::start_write`] next; none if there is nothing to write.
    pub fn next_deadline(&self) -> Option<Duration> {
        let wanted = self.wanted.as_ref()?;
        if self.writing.is_some() || self.applied.as_ref() == Some(wanted) {
            return None;
        }
        let Some(last) = self.last_write else { return Some(Duration::ZERO) };
        let reduces_traffic = self.applied.as_ref().is_none_or(|applied| reduces_traffic(applied, wanted));
        let wait = if reduces_traffic { self.min_drain_interval } else { self.min_interval };
        // The retries of a failed drain start from its short interval, as others depend on it. The doubling, from
        // the first failure on, keeps a command that always fails from running every second.
        let doubled = wait.saturating_mul(1 << self.failures.min(16));
        Some(last + doubled.min(MAX_WAIT.max(wait)))
    }

    /// Number of consecutive failed writes.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

/// Whether a server of one set of tables is missing in the other, or an admission fraction is lower.
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
