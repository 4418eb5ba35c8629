//! The send rate limiter: it decides which proxy may be sent its pending update next.
//!
//! No messages are queued. A proxy either has the newest state or a pending update; the messages are built
//! when the proxy's turn comes, so that states in between are merged. Urgent updates (drains) are sent first,
//! then the others in the order of their waiting time. A proxy that does not read its stream does not delay
//! others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wrenthread::token_bucket::{TokenBucket, TokenRate};
use wrenthread::types::{MessageLimit, ProxyId};

/// The burst size, as time at the entry rate: after a pause this much may be sent at once, so that a flush is
/// sent as a whole.
const BURST: Duration = Duration::from_millis(250);
/// Entries that are unacknowledged for longer do not count as queued: the proxy does not read its stream.
const STALLED_AFTER: Duration = Duration::from_secs(5);

/// The maximum number of messages in a flush, one per resource type. An update is sent when the message limit
/// allows all of them.
const FLUSH_MESSAGES: usize = 4;
/// Messages that ordinary updates leave to urgent ones.
const URGENT_MESSAGES: usize = 1;
/// The part of the message limit that may be used at once is the limit divided by this, or a flush and
/// [`URGENT_MESSAGES`] if that is more.
const MESSAGE_BURST_DIVISOR: usize = 4;
/// The fraction of the queue up to which joins are admitted, counting all that waits to be sent; the rest is
/// reserved for urgent updates.
const ORDINARY_FRACTION: f64 = 0.8;
/// The number of turns examined to find the next deadline.
const LOOK_AHEAD: usize = 64;
/// The maximum wait for tokens in seconds.
const MAX_WAIT_SECONDS: f64 = 60.0;

/// The capacity of the channel to all proxies, as configured.
#[derive(Debug, Clone, PartialEq)]
pub struct ChannelLimits {
    /// The maximum number of table entries per second.
    pub entries_per_second: f64,
    /// The overhead of a message, in entries.
    pub message_overhead_entries: f64,
    /// The maximum number of queued entries in total.
    pub max_queued_entries: f64,
    /// The maximum number of messages to one proxy within an interval.
    pub message_limit: Option<MessageLimit>,
}

/// An update to be sent to a proxy.
#[derive(Debug, Default, Clone)]
struct PendingUpdate {
    since: Duration,
    entries: usize,
    urgent: bool,
    /// The stream has no capacity, as the proxy does not read it.
    stalled: bool,
}

/// Entries that were sent and not acknowledged yet.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    entries: usize,
    /// When the first of them were sent.
    since: Duration,
}

/// The send state of one proxy.
#[derive(Debug, Default)]
struct ProxyQueue {
    pending: Option<PendingUpdate>,
    in_flight: Option<InFlight>,
    /// The messages that the limit allows.
    messages: TokenBucket,
}

/// The turn of a proxy. The derived order is the order of sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    /// `false` for urgent updates, which are sent first.
    ordinary: bool,
    since: Duration,
    proxy: ProxyId,
}

impl PendingUpdate {
    fn turn(&self, proxy: ProxyId) -> Turn {
        Turn { ordinary: !self.urgent, since: self.since, proxy }
    }
}

/// The pending updates of all proxies, and the rate at which they are sent.
#[derive(Debug)]
pub struct SendLimiter {
    limits: ChannelLimits,
    /// The rate of messages to one proxy, if they are limited.
    message_rate: Option<TokenRate>,
    /// The number of entries that may be sent now; negative after an urgent update.
    tokens: f64,
    refilled_at: Duration,
    proxies: BTreeMap<ProxyId, ProxyQueue>,
    queue: BTreeSet<Turn>,
    /// The number of entries in pending updates.
    pending_entries: usize,
    max_pending_entries: usize,
}

impl SendLimiter {
    /// Creates a limiter with a full burst.
    pub fn new(limits: ChannelLimits, now: Duration) -> Self {
        let tokens = limits.entries_per_second * BURST.as_secs_f64();
        SendLimiter {
            message_rate: limits.message_limit.map(message_rate),
            limits,
            tokens,
            refilled_at: now,
            proxies: BTreeMap::new(),
            queue: BTreeSet::new(),
            pending_entries: 0,
            max_pending_entries: 0,
        }
    }

    /// Adds an update of `entries` changed entries for a proxy. It is merged with a pending one; if either is
    /// urgent, the merged update is.
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

    /// The next proxy that may be sent its update. The update stays pending until [`SendLimiter::sent`] or
    /// [`SendLimiter::stream_full`] is called.
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

    /// A proxy was sent `entries` entries in `messages` messages; both are 0 if there was nothing to send.
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
        if let Some(rate) = &self.message_rate {
            queue.messages.take(now, u32::try_from(messages).unwrap_or(u32::MAX), rate);
        }
        self.tokens -= self.limits.message_overhead_entries * messages.max(1) as f64 + entries as f64;
    }

    /// A proxy's stream has no capacity: the proxy is skipped until [`SendLimiter::stream_has_capacity`], and
    /// its updates continue to be merged.
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

    /// A proxy acknowledged or rejected everything that it was sent.
    pub fn acknowledged(&mut self, proxy: ProxyId) {
        if let Some(queue) = self.proxies.get_mut(&proxy) {
            queue.in_flight = None;
        }
    }

    /// A proxy's stream was closed or replaced. Messages that were sent recently still count: otherwise a
    /// proxy that reconnects could be sent up to twice the limit within the interval. *Harm:* a proxy that
    /// reconnects after it used up its limit waits for the rest of the interval with the tables that it
    /// holds.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.clear_pending(proxy);
        let Some(queue) = self.proxies.remove(&proxy) else { return };
        if queue.messages != TokenBucket::default() {
            self.proxies.insert(proxy, ProxyQueue { messages: queue.messages, ..ProxyQueue::default() });
        }
    }

    /// When to call [`SendLimiter::next_proxy`] again if no other event occurs.
    pub fn next_deadline(&self, now: Duration) -> Option<Duration> {
        let ready_at = |turn: &Turn| {
            let queue = self.proxies.get(&turn.proxy)?;
            let refilled_at = self.refilled_to(self.required_tokens(queue, !turn.ordinary));
            Some(self.ready_at(queue, !turn.ordinary, now).max(refilled_at))
        };
        // All turns wait for the same tokens, so the first few determine the deadline.
        let first = self.queue.iter().filter_map(ready_at).take(LOOK_AHEAD).min();
        first.map(|at| at.max(now))
    }

    /// The number of queued entries: pending, or sent within the last 5 s and not acknowledged.
    pub fn queued_entries(&self, now: Duration) -> usize {
        let in_flight = |queue: &ProxyQueue| match queue.in_flight {
            Some(sent) if now < sent.since + STALLED_AFTER => sent.entries,
            _ => 0,
        };
        self.pending_entries + self.proxies.values().map(in_flight).sum::<usize>()
    }

    /// The peak of the number of pending entries so far. The configured limit is
    /// [`ChannelLimits::max_queued_entries`].
    pub fn max_queued_entries(&self) -> usize {
        self.max_pending_entries
    }

    /// Whether this many more entries may be queued while a reserve is left for urgent updates.
    pub fn has_capacity(&self, entries: f64) -> bool {
        let overhead = self.queue.len() as f64 * self.limits.message_overhead_entries;
        let debt = (-self.tokens).max(0.0);
        let waiting = self.pending_entries as f64 + overhead + debt + entries;
        waiting <= ORDINARY_FRACTION * self.limits.max_queued_entries
    }

    fn pending_mut(&mut self, proxy: ProxyId) -> Option<&mut PendingUpdate> {
        self.proxies.get_mut(&proxy)?.pending.as_mut()
    }

    /// The tokens that a flush requires. An urgent one may overdraw them by at most one burst, and the other
    /// updates then wait longer.
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

    /// When this many tokens are available.
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

    /// When a proxy may be sent an update, apart from the rate of entries. An ordinary update waits for the
    /// acknowledgement of the previous one, so that a slow proxy is sent fewer and newer states. An urgent
    /// one waits only for the message limit, of which one message is reserved for it.
    fn ready_at(&self, queue: &ProxyQueue, urgent: bool, now: Duration) -> Duration {
        let acknowledged_at = match queue.in_flight {
            Some(sent) if !urgent => sent.since + STALLED_AFTER,
            _ => now,
        };
        let Some(rate) = &self.message_rate else { return acknowledged_at };
        let required = FLUSH_MESSAGES + if urgent { 0 } else { URGENT_MESSAGES };
        let allowed_at = queue.messages.available_at(required as u32, rate);
        acknowledged_at.max(allowed_at)
    }
}

fn message_rate(limit: MessageLimit) -> TokenRate {
    let burst = (limit.messages / MESSAGE_BURST_DIVISOR).max(FLUSH_MESSAGES + URGENT_MESSAGES);
    TokenRate::new(limit.messages, limit.interval, burst)
}

#[cfg(test)]
mod tests;
