//! The send rate limiter: which proxy may be written to next, and what waits.
//!
//! Nothing is queued as messages. A proxy either holds the newest state or has a pending update; what it is sent is
//! built when its turn comes, so that states which came in between are merged. Turns go to urgent updates (drains)
//! first, then to who has waited longest. A proxy that does not read what it was sent costs the others nothing.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use wrenthread::types::{MessageLimit, ProxyId};

/// So long a share of the entry rate may be sent at once after a pause, so that a flush leaves in one go.
const BURST: Duration = Duration::from_millis(250);
/// What is unacknowledged for longer is with a proxy that does not read, and no longer in the channel.
const STALLED_AFTER: Duration = Duration::from_secs(5);

/// A flush may be so many messages, one of each type of resource; the message limit keeps capacity for them.
const FLUSH_MESSAGES: usize = 4;
/// Joins may fill this fraction of the queue; the rest is left for urgent updates.
const ORDINARY_FRACTION: f64 = 0.8;
/// Turns that are looked at for the next deadline.
const LOOK_AHEAD: usize = 64;
/// No wait for tokens is longer, in seconds.
const MAX_WAIT_SECONDS: f64 = 60.0;

/// The channel to all proxies, as the settings state it.
#[derive(Debug, Clone, PartialEq)]
pub struct ChannelLimits {
    /// Table entries that it carries a second.
    pub entries_per_second: f64,
    /// Entries that a message costs on top of its own.
    pub message_overhead_entries: f64,
    /// Entries that may wait, in all.
    pub max_queued_entries: f64,
    /// Messages that one proxy may be sent within an interval.
    pub message_limit: Option<MessageLimit>,
}

/// What a proxy should be sent.
#[derive(Debug, Default, Clone)]
struct PendingUpdate {
    since: Duration,
    entries: usize,
    urgent: bool,
    /// The stream has no capacity for it: it is not being read.
    stalled: bool,
}

/// Entries that were written and not acknowledged.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    entries: usize,
    /// When the first of them were written.
    since: Duration,
}

/// What is known of one proxy.
#[derive(Debug, Default)]
struct ProxyQueue {
    pending: Option<PendingUpdate>,
    in_flight: Option<InFlight>,
    /// When the messages of the last interval were written.
    written: VecDeque<Duration>,
}

/// A proxy's turn; they are taken in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    /// Not urgent: `false` goes first.
    ordinary: bool,
    since: Duration,
    proxy: ProxyId,
}

impl PendingUpdate {
    fn turn(&self, proxy: ProxyId) -> Turn {
        Turn { ordinary: !self.urgent, since: self.since, proxy }
    }
}

/// Pending updates of all proxies, and the rate at which they are sent.
#[derive(Debug)]
pub struct SendLimiter {
    limits: ChannelLimits,
    /// Entries that may be sent now; negative after an urgent update that went into debt.
    tokens: f64,
    refilled_at: Duration,
    proxies: BTreeMap<ProxyId, ProxyQueue>,
    queue: BTreeSet<Turn>,
    /// Entries of pending updates.
    pending_entries: usize,
    max_pending_entries: usize,
}

impl SendLimiter {
    /// A limiter with a full burst.
    pub fn new(limits: ChannelLimits, now: Duration) -> Self {
        let tokens = limits.entries_per_second * BURST.as_secs_f64();
        SendLimiter {
            limits,
            tokens,
            refilled_at: now,
            proxies: BTreeMap::new(),
            queue: BTreeSet::new(),
            pending_entries: 0,
            max_pending_entries: 0,
        }
    }

    /// A proxy's newest state differs from what it was sent by so many entries. What was pending before is merged
    /// with this; an urgent update is never held back by the rest.
    pub fn request(&mut self, now: Duration, proxy: ProxyId, entries: usize, urgent: bool) {
        let queue = self.proxies.entry(proxy).or_default();
        let old = queue.pending.take();
        if let Some(old) = &old {
            self.queue.remove(&old.turn(proxy));
            self.pending_entries -= old.entries;
        }
        let update = match old {
            None => PendingUpdate { since: now, entries, urgent, stalled: false },
            Some(old) => {
                PendingUpdate { entries: old.entries + entries, urgent: old.urgent || urgent, ..old }
            }
        };
        self.pending_entries += update.entries;
        self.max_pending_entries = self.max_pending_entries.max(self.pending_entries);
        if !update.stalled {
            self.queue.insert(update.turn(proxy));
        }
        queue.pending = Some(update);
    }

    /// The next proxy that may be written to, in the order of turns. Its update stays pending until
    /// [`SendLimiter::sent`] or [`SendLimiter::stream_full`].
    pub fn next_proxy(&mut self, now: Duration) -> Option<ProxyId> {
        self.refill(now);
        let is_ready = |turn: &&Turn| {
            let queue = self.proxies.get(&turn.proxy);
            queue.is_some_and(|queue| self.ready_at(queue, !turn.ordinary, now) <= now)
        };
        let turn = *self.queue.iter().find(is_ready)?;
        let required = self.required_tokens(self.proxies.get(&turn.proxy)?, !turn.ordinary);
        (self.tokens >= required).then_some(turn.proxy)
    }

    /// A proxy was written so many entries in so many messages: none if there turned out to be nothing to send.
    pub fn sent(&mut self, now: Duration, proxy: ProxyId, entries: usize, messages: usize) {
        self.refill(now);
        self.clear_pending(proxy);
        let Some(queue) = self.proxies.get_mut(&proxy) else { return };
        if entries == 0 {
            return;
        }
        queue.in_flight = Some(match queue.in_flight {
            None => InFlight { entries, since: now },
            Some(before) => InFlight { entries: before.entries + entries, ..before },
        });
        if let Some(limit) = self.limits.message_limit {
            queue.written.extend(std::iter::repeat_n(now, messages));
            while queue.written.len() > limit.messages
                || queue.written.front().is_some_and(|at| *at + limit.interval <= now)
            {
                queue.written.pop_front();
            }
        }
        self.tokens -= self.limits.message_overhead_entries * messages.max(1) as f64 + entries as f64;
    }

    /// A proxy's stream has no capacity: it is left out until [`SendLimiter::stream_has_capacity`], and its state goes
    /// on being merged.
    pub fn stream_full(&mut self, proxy: ProxyId) {
        let Some(update) = self.pending_mut(proxy) else { return };
        update.stalled = true;
        let turn = update.turn(proxy);
        self.queue.remove(&turn);
    }

    /// A proxy's stream has capacity again.
    pub fn stream_has_capacity(&mut self, proxy: ProxyId) {
        let Some(update) = self.pending_mut(proxy) else { return };
        update.stalled = false;
        let turn = update.turn(proxy);
        self.queue.insert(turn);
    }

    /// A proxy accepted (or rejected) everything that it was sent.
    pub fn acknowledged(&mut self, proxy: ProxyId) {
        if let Some(queue) = self.proxies.get_mut(&proxy) {
            queue.in_flight = None;
        }
    }

    /// A proxy's stream is over, or a new one has begun. What it was sent lately counts on: who comes back is the same
    /// proxy, and would be sent up to twice as many messages within the interval. *Harm:* one that comes back with its
    /// messages used up waits for the rest of the interval, on the tables that it holds.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.clear_pending(proxy);
        let Some(queue) = self.proxies.remove(&proxy) else { return };
        if !queue.written.is_empty() {
            self.proxies.insert(proxy, ProxyQueue { written: queue.written, ..ProxyQueue::default() });
        }
    }

    /// When [`SendLimiter::next_proxy`] is worth asking again, if nothing else happens.
    pub fn next_deadline(&self, now: Duration) -> Option<Duration> {
        let ready_at = |turn: &Turn| {
            let queue = self.proxies.get(&turn.proxy)?;
            let refilled_at = self.refilled_to(self.required_tokens(queue, !turn.ordinary));
            Some(self.ready_at(queue, !turn.ordinary, now).max(refilled_at))
        };
        // All wait for the same tokens: the first few in turn tell when it goes on.
        let first = self.queue.iter().filter_map(ready_at).take(LOOK_AHEAD).min();
        first.map(|at| at.max(now))
    }

    /// Entries that wait: pending, or written less than some seconds ago and not acknowledged.
    pub fn queued_entries(&self, now: Duration) -> usize {
        let in_flight = |queue: &ProxyQueue| match queue.in_flight {
            Some(sent) if now < sent.since + STALLED_AFTER => sent.entries,
            _ => 0,
        };
        self.pending_entries + self.proxies.values().map(in_flight).sum::<usize>()
    }

    /// The most entries that were ever pending.
    pub fn max_queued_entries(&self) -> usize {
        self.max_pending_entries
    }

    /// Whether so many more entries may come to wait, with a reserve left for urgent updates.
    pub fn has_capacity(&self, entries: f64) -> bool {
        let overhead = self.queue.len() as f64 * self.limits.message_overhead_entries;
        let debt = (-self.tokens).max(0.0);
        let waiting = self.pending_entries as f64 + overhead + debt + entries;
        waiting <= ORDINARY_FRACTION * self.limits.max_queued_entries
    }

    fn pending_mut(&mut self, proxy: ProxyId) -> Option<&mut PendingUpdate> {
        self.proxies.get_mut(&proxy)?.pending.as_mut()
    }

    /// The tokens that a flush needs. An urgent one may go into debt with the channel, by one burst at most; the rest
    /// then waits the longer.
    fn required_tokens(&self, queue: &ProxyQueue, urgent: bool) -> f64 {
        if urgent {
            return -self.burst();
        }
        let entries = queue.pending.as_ref().map_or(0, |update| update.entries) as f64;
        (self.limits.message_overhead_entries + entries).min(self.burst())
    }

    fn burst(&self) -> f64 {
        self.limits.entries_per_second * BURST.as_secs_f64()
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.limits.entries_per_second).min(self.burst());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// When there are so many tokens.
    fn refilled_to(&self, required: f64) -> Duration {
        let seconds = (required - self.tokens) / self.limits.entries_per_second.max(1e-9);
        let seconds = seconds.clamp(0.0, MAX_WAIT_SECONDS);
        self.refilled_at + Duration::from_secs_f64(seconds) + Duration::from_millis(1)
    }

    fn clear_pending(&mut self, proxy: ProxyId) {
        let pending = self.proxies.get_mut(&proxy).and_then(|queue| queue.pending.take());
        if let Some(update) = pending {
            self.queue.remove(&update.turn(proxy));
            self.pending_entries -= update.entries;
        }
    }

    /// When a proxy may be written to, the channel apart. An ordinary update waits for the acknowledgement of what went
    /// before, so that a slow proxy gets fewer and newer states; an urgent one waits for nothing but the message limit,
    /// of which one message is kept for it.
    fn ready_at(&self, queue: &ProxyQueue, urgent: bool, now: Duration) -> Duration {
        let acknowledged_at = match queue.in_flight {
            Some(sent) if !urgent => sent.since + STALLED_AFTER,
            _ => now,
        };
        let Some(limit) = self.limits.message_limit else { return acknowledged_at };
        let reserved = FLUSH_MESSAGES + usize::from(!urgent);
        let allowed = (limit.messages + 1).saturating_sub(reserved).max(1);
        let blocking = queue.written.len().checked_sub(allowed).and_then(|at| queue.written.get(at));
        blocking.map_or(acknowledged_at, |at| acknowledged_at.max(*at + limit.interval))
    }
}

#[cfg(test)]
mod tests;
