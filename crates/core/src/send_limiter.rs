//! Which proxy may be written to next, and what waits.
//!
//! Nothing is queued as messages. A proxy either holds the newest state or is due to be told of it; what it
//! is told is drawn up when its turn comes, so that states which came in between are merged. Turns go to
//! drains first, then to who has waited longest. A proxy that does not take what it was sent costs the others
//! nothing.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use wrenthread::types::{MessageLimit, ProxyId};

/// How much of a second's lines may go at once after a pause, so that a flush leaves in one go.
const BURST: Duration = Duration::from_millis(250);
/// What is unacknowledged for longer is with a proxy that does not read, and no longer in the channel.
const STALLED_AFTER: Duration = Duration::from_secs(5);

/// A flush may be so many messages, one of each type of resource; the limit on messages leaves room for them.
const FLUSH_MESSAGES: usize = 4;

/// The channel, as the settings state it.
#[derive(Debug, Clone, PartialEq)]
pub struct ChannelLimits {
    pub entries_per_second: f64,
    /// Lines that a message costs on top of its own.
    pub message_overhead_entries: f64,
    /// Lines that may wait, in all.
    pub max_queued_entries: f64,
    /// Messages that one proxy may be sent within an interval.
    pub message_limit: Option<MessageLimit>,
}

#[derive(Debug, Default, Clone)]
struct Due {
    since: Duration,
    lines: usize,
    urgent: bool,
    /// The front has no room for it: its stream is not being read.
    stalled: bool,
}

#[derive(Debug, Default)]
struct Line {
    due: Option<Due>,
    /// Lines that were written and not acknowledged, and since when the first of them.
    in_flight: Option<(usize, Duration)>,
    written: VecDeque<Duration>,
}

#[derive(Debug)]
pub struct SendLimiter {
    limits: ChannelLimits,
    tokens: f64,
    filled_at: Duration,
    proxies: BTreeMap<ProxyId, Line>,
    queue: BTreeSet<(bool, Duration, ProxyId)>,
    queued_entries: usize,
    max_queued_entries: usize,
}

impl SendLimiter {
    pub fn new(channel: ChannelLimits, now: Duration) -> Self {
        let tokens = channel.entries_per_second * BURST.as_secs_f64();
        SendLimiter {
            limits: channel,
            tokens,
            filled_at: now,
            proxies: BTreeMap::new(),
            queue: BTreeSet::new(),
            queued_entries: 0,
            max_queued_entries: 0,
        }
    }

    /// A proxy's newest state differs from what it was sent by so many lines. What was said of it before is
    /// merged with this; a drain is never held back by the rest.
    pub fn request(&mut self, now: Duration, proxy: ProxyId, lines: usize, urgent: bool) {
        let line = self.proxies.entry(proxy).or_default();
        let old = line.due.take();
        let due = match &old {
            None => Due { since: now, lines, urgent, stalled: false },
            Some(old) => Due { lines: old.lines + lines, urgent: old.urgent || urgent, ..old.clone() },
        };
        if let Some(old) = &old {
            self.queue.remove(&(!old.urgent, old.since, proxy));
            self.queued_entries -= old.lines;
        }
        self.queued_entries += due.lines;
        self.max_queued_entries = self.max_queued_entries.max(self.queued_entries);
        if !due.stalled {
            self.queue.insert((!due.urgent, due.since, proxy));
        }
        line.due = Some(due);
    }

    /// The next proxy that may be written to, in the order of turns. It stays due until [`SendLimiter::sent`] or
    /// [`SendLimiter::stream_full`].
    pub fn next_proxy(&mut self, now: Duration) -> Option<ProxyId> {
        self.refill(now);
        let free = |(ordinary, _, proxy): &&(bool, Duration, ProxyId)| {
            self.proxies.get(proxy).is_some_and(|line| self.ready_at(line, !ordinary, now) <= now)
        };
        let (ordinary, _, proxy) = *self.queue.iter().find(free)?;
        (self.tokens >= self.required_tokens(self.proxies.get(&proxy)?, !ordinary)).then_some(proxy)
    }

    /// A proxy was written so many lines in so many messages: none if there turned out to be nothing to say.
    pub fn sent(&mut self, now: Duration, proxy: ProxyId, lines: usize, messages: usize) {
        self.refill(now);
        self.clear_pending(proxy);
        let Some(line) = self.proxies.get_mut(&proxy) else { return };
        if lines == 0 {
            return;
        }
        let (before, since) = line.in_flight.unwrap_or((0, now));
        line.in_flight = Some((before + lines, since));
        if let Some(MessageLimit { messages: most, interval: over }) = self.limits.message_limit {
            line.written.extend(std::iter::repeat_n(now, messages));
            while line.written.len() > most || line.written.front().is_some_and(|at| *at + over <= now) {
                line.written.pop_front();
            }
        }
        self.tokens -= self.limits.message_overhead_entries * messages.max(1) as f64 + lines as f64;
    }

    /// A proxy's stream has no room: it is left out until [`SendLimiter::stream_has_capacity`], and its state goes on being
    /// merged.
    pub fn stream_full(&mut self, proxy: ProxyId) {
        let Some(due) = self.proxies.get_mut(&proxy).and_then(|line| line.due.as_mut()) else { return };
        due.stalled = true;
        self.queue.remove(&(!due.urgent, due.since, proxy));
    }

    /// A proxy's stream has room again.
    pub fn stream_has_capacity(&mut self, proxy: ProxyId) {
        let Some(due) = self.proxies.get_mut(&proxy).and_then(|line| line.due.as_mut()) else { return };
        due.stalled = false;
        self.queue.insert((!due.urgent, due.since, proxy));
    }

    /// A proxy took (or would not take) all that it was sent.
    pub fn acknowledged(&mut self, proxy: ProxyId) {
        if let Some(line) = self.proxies.get_mut(&proxy) {
            line.in_flight = None;
        }
    }

    /// A proxy's stream is over, or a new one has begun. What it was sent lately counts on: who comes back is
    /// the same proxy, and would be sent up to twice as many messages within the span. *Harm:* one that comes
    /// back with its share used up waits for the rest of the span, on the tables that it holds.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.clear_pending(proxy);
        let written = self.proxies.remove(&proxy).map(|line| line.written).filter(|one| !one.is_empty());
        if let Some(written) = written {
            self.proxies.insert(proxy, Line { written, ..Line::default() });
        }
    }

    /// When [`SendLimiter::next`] is worth asking again, if nothing else happens.
    pub fn next_deadline(&self, now: Duration) -> Option<Duration> {
        let lines = self.queue.iter().filter_map(|(ordinary, _, proxy)| {
            let line = self.proxies.get(proxy)?;
            let short = ((self.required_tokens(line, !ordinary) - self.tokens)
                / self.limits.entries_per_second.max(1e-9))
            .clamp(0.0, 60.0);
            let filled = self.filled_at + Duration::from_secs_f64(short) + Duration::from_millis(1);
            Some(self.ready_at(line, !ordinary, now).max(filled))
        });
        // All wait for the same tokens: the first few in turn tell when it goes on.
        lines.take(64).min().map(|at| at.max(now))
    }

    /// Lines that wait: due to proxies, or written to them less than some seconds ago and not acknowledged.
    pub fn queued_entries(&self, now: Duration) -> usize {
        let flight = |line: &Line| match line.in_flight {
            Some((lines, since)) if now < since + STALLED_AFTER => lines,
            _ => 0,
        };
        self.queued_entries + self.proxies.values().map(flight).sum::<usize>()
    }

    pub fn max_queued_entries(&self) -> usize {
        self.max_queued_entries
    }

    /// Whether so many more lines may come to wait, with a reserve of a fifth left for drains.
    pub fn has_capacity(&self, lines: f64) -> bool {
        let heads = self.queue.len() as f64 * self.limits.message_overhead_entries;
        let debt = (-self.tokens).max(0.0);
        self.queued_entries as f64 + heads + debt + lines <= 0.8 * self.limits.max_queued_entries
    }

    /// The least that must be in store for a flush. A drain may go into debt with the channel, by one burst
    /// at most; the rest then waits the longer.
    fn required_tokens(&self, line: &Line, urgent: bool) -> f64 {
        let lines = line.due.as_ref().map_or(0, |due| due.lines) as f64;
        if urgent { -self.burst() } else { (self.limits.message_overhead_entries + lines).min(self.burst()) }
    }

    fn burst(&self) -> f64 {
        self.limits.entries_per_second * BURST.as_secs_f64()
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.limits.entries_per_second).min(self.burst());
        self.filled_at = self.filled_at.max(now);
    }

    fn clear_pending(&mut self, proxy: ProxyId) {
        if let Some(due) = self.proxies.get_mut(&proxy).and_then(|line| line.due.take()) {
            self.queue.remove(&(!due.urgent, due.since, proxy));
            self.queued_entries -= due.lines;
        }
    }

    /// When a proxy may be written to, the channel apart. What is ordinary waits for the acknowledgement of
    /// what went before, so that a slow proxy gets fewer and newer states; a drain waits for nothing but the
    /// limit on messages, of which one is kept for it.
    fn ready_at(&self, line: &Line, urgent: bool, now: Duration) -> Duration {
        let answered = match line.in_flight {
            Some((_, since)) if !urgent => since + STALLED_AFTER,
            _ => now,
        };
        let Some(limit) = self.limits.message_limit else { return answered };
        let MessageLimit { messages: most, interval: over } = limit;
        let most = (most + 1).saturating_sub(FLUSH_MESSAGES + usize::from(!urgent)).max(1);
        let full = line.written.len().checked_sub(most).and_then(|at| line.written.get(at));
        full.map_or(answered, |at| answered.max(*at + over))
    }
}

#[cfg(test)]
mod tests;
