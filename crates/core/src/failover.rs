//! Failover and failback at the proxy: which governor it connects to next, and when it returns to its home
//! governor. See `docs/design/takeover.md`.

use std::time::Duration;

use crate::ownership::ranking;

/// Decides when a proxy that is connected elsewhere returns to its home governor.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Failback {
    healthy_for: Duration,
    /// The proxy's own delay within the spread.
    delay: Duration,
    healthy_since: Option<Duration>,
}

impl Failback {
    /// The proxy returns after its home has answered for `healthy_for` without interruption, plus a delay of
    /// up to `spread`. The delay is derived from the proxy's name, so that a fleet returns evenly and in the
    /// same order each time.
    pub fn new(proxy: &str, healthy_for: Duration, spread: Duration) -> Self {
        let hash = blake3::derive_key("wrenthread 2026 homeward", proxy.as_bytes());
        let position = u32::from_le_bytes([hash[0], hash[1], hash[2], hash[3]]);
        let delay = spread.mul_f64(f64::from(position) / f64::from(u32::MAX));
        Failback { healthy_for, delay, healthy_since: None }
    }

    /// Records the result of a check of the home.
    pub fn home_checked(&mut self, now: Duration, answered: bool) {
        self.healthy_since = if answered { self.healthy_since.or(Some(now)) } else { None };
    }

    /// When the proxy returns; none while its home does not answer.
    pub fn due_at(&self) -> Option<Duration> {
        self.healthy_since.map(|since| since + self.healthy_for + self.delay)
    }

    /// Whether the proxy returns now.
    pub fn is_due(&self, now: Duration) -> bool {
        self.due_at().is_some_and(|at| now >= at)
    }
}

/// Selects the governor that a proxy connects to next, and decides when it leaves one for its home.
///
/// If a governor can't be reached, the next in rank is selected. After the last one it starts again at the
/// home, so a proxy whose governors are all dead tries them in turn until one is back.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GovernorSelector {
    /// Indices into the list of governors, best first.
    ranking: Vec<usize>,
    /// The index in the ranking of the current governor.
    rank: usize,
    /// Whether a governor redirected the proxy here: it stays until the connection is lost or it is
    /// redirected again.
    redirected: bool,
    failback: Failback,
}

impl GovernorSelector {
    /// `governors` are their names, in the same list at every proxy. With an empty list, index 0 is always
    /// selected. `healthy_for` and `spread` are as for [`Failback::new`].
    pub fn new(proxy: &str, governors: &[&str], healthy_for: Duration, spread: Duration) -> Self {
        GovernorSelector {
            ranking: ranking(proxy, governors),
            rank: 0,
            redirected: false,
            failback: Failback::new(proxy, healthy_for, spread),
        }
    }

    /// The governor to connect to, as an index into the list.
    pub fn current(&self) -> usize {
        self.ranking.get(self.rank).copied().unwrap_or(0)
    }

    /// The home governor, as an index into the list.
    pub fn home(&self) -> usize {
        self.ranking.first().copied().unwrap_or(0)
    }

    /// Whether the current governor is the home.
    pub fn is_home(&self) -> bool {
        self.rank == 0
    }

    /// Selects the next governor, because the current one can't be reached or its stream has ended.
    pub fn connection_lost(&mut self) {
        self.rank = (self.rank + 1) % self.ranking.len().max(1);
        self.redirected = false;
    }

    /// Applies a redirect by the current governor: to the governor with this index in the list, or, if there
    /// is none or it is not on the list, to the next in rank.
    ///
    /// A proxy that was redirected doesn't return home by itself: its home may have sent it away because of
    /// overload, and would do so again. *Harm:* if the governors lose contact with each other, the proxy
    /// stays where it was redirected to.
    pub fn redirected(&mut self, to: Option<usize>) {
        match to.and_then(|to| self.ranking.iter().position(|index| *index == to)) {
            Some(rank) => {
                self.rank = rank;
                self.redirected = true;
            }
            None => self.connection_lost(),
        }
        self.failback.healthy_since = None;
    }

    /// Records the result of a check of the home. Returns whether the proxy returns there now.
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
