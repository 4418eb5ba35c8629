//! Failover and failback, at the proxy: which governor it connects to next, and when it goes back to its home. See
//! `docs/design/takeover.md`.

use std::time::Duration;

use crate::ownership::ranking;

/// When a proxy that is connected elsewhere goes back to its home governor.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Failback {
    healthy_for: Duration,
    /// The proxy's own part of the spread.
    delay: Duration,
    healthy_since: Option<Duration>,
}

impl Failback {
    /// The home must have answered for `healthy_for` without a break; then the proxy goes back within `spread`, at
    /// a moment that its name settles, so that a fleet comes home evenly and the same way each time.
    pub fn new(proxy: &str, healthy_for: Duration, spread: Duration) -> Self {
        let hash = blake3::derive_key("wrenthread 2026 homeward", proxy.as_bytes());
        let position = u32::from_le_bytes([hash[0], hash[1], hash[2], hash[3]]);
        let delay = spread.mul_f64(f64::from(position) / f64::from(u32::MAX));
        Failback { healthy_for, delay, healthy_since: None }
    }

    /// The home was checked, and answered or did not.
    pub fn home_checked(&mut self, now: Duration, answered: bool) {
        self.healthy_since = if answered { self.healthy_since.or(Some(now)) } else { None };
    }

    /// When the proxy goes back, as far as is known.
    pub fn due_at(&self) -> Option<Duration> {
        self.healthy_since.map(|since| since + self.healthy_for + self.delay)
    }

    /// Whether it goes back now.
    pub fn is_due(&self, now: Duration) -> bool {
        self.due_at().is_some_and(|at| now >= at)
    }
}

/// Which governor a proxy connects to next, and when it leaves one for its home.
///
/// A governor that can't be reached is passed over for the next in rank; after the last it begins anew at home. So a
/// proxy whose governors are all dead goes round until one is back.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GovernorSelector {
    /// Places in the list of governors, best first.
    ranking: Vec<usize>,
    /// The place in the ranking that is connected to.
    rank: usize,
    /// Its governors redirected it here: it stays until the connection is lost, or it is redirected again.
    redirected: bool,
    failback: Failback,
}

impl GovernorSelector {
    /// `governors`: their names, the same list at every proxy; an empty one is of no use, and selects the first for
    /// ever. `healthy_for` and `spread`: as for [`Failback::new`].
    pub fn new(proxy: &str, governors: &[&str], healthy_for: Duration, spread: Duration) -> Self {
        GovernorSelector {
            ranking: ranking(proxy, governors),
            rank: 0,
            redirected: false,
            failback: Failback::new(proxy, healthy_for, spread),
        }
    }

    /// The governor to connect to, by its place in the list.
    pub fn current(&self) -> usize {
        self.ranking.get(self.rank).copied().unwrap_or(0)
    }

    /// The home governor, by its place in the list.
    pub fn home(&self) -> usize {
        self.ranking.first().copied().unwrap_or(0)
    }

    /// Whether the current governor is the home.
    pub fn is_home(&self) -> bool {
        self.rank == 0
    }

    /// The current governor can't be reached, or its stream is over.
    pub fn connection_lost(&mut self) {
        self.rank = (self.rank + 1) % self.ranking.len().max(1);
        self.redirected = false;
    }

    /// The governor redirects it: to another by its place in the list, or (none, or one that is not listed here)
    /// away to whichever is next.
    ///
    /// A proxy that was redirected doesn't go home by itself: its home may have sent it away for being overloaded,
    /// and would again. *Harm:* if governors can't talk any more, it stays where it was redirected to.
    pub fn redirected(&mut self, to: Option<usize>) {
        match to.and_then(|to| self.ranking.iter().position(|place| *place == to)) {
            Some(rank) => {
                self.rank = rank;
                self.redirected = true;
            }
            None => self.connection_lost(),
        }
        self.failback.healthy_since = None;
    }

    /// Its home was checked, and answered or did not. Whether it goes there now.
    pub fn home_checked(&mut self, now: Duration, answered: bool) -> bool {
        if self.is_home() || self.redirected {
            return false;
        }
        self.failback.home_checked(now, answered);
        let is_due = self.failback.is_due(now);
        if is_due {
            self.rank = 0;
            self.failback.home_checked(now, false);
        }
        is_due
    }
}

#[cfg(test)]
mod tests;
