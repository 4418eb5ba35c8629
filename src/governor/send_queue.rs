//! How full the channel to the proxies is taken to be, and how often it was written to.

use std::collections::VecDeque;
use std::time::Duration;

use super::parameters::{FlushLimit, Parameters};

/// What was sent at a time.
#[derive(Clone, Copy)]
pub(super) struct SentBatch {
    pub(super) at: Duration,
    pub(super) entries: f64,
}

/// The channel's queue, in table entries.
#[derive(Default)]
pub(super) struct SendQueue {
    /// Entries that were sent and may still be queued.
    pub(super) entries: f64,
    pub(super) batches: VecDeque<SentBatch>,
    /// When the queue was last drained by the channel's rate.
    pub(super) drained_at: Duration,
    pub(super) recent_flushes: VecDeque<Duration>,
}

impl SendQueue {
    /// Takes out what the channel has carried since, at the rate that can be counted on.
    pub(super) fn drain(&mut self, now: Duration, entries_per_second: f64) {
        let carried = now.saturating_sub(self.drained_at).as_secs_f64() * entries_per_second;
        self.entries = (self.entries - carried).max(0.0);
        self.drained_at = now;
        if self.entries <= 0.0 {
            self.batches.clear();
        }
    }

    /// A message took effect this long after it was sent. The channel keeps order: what was sent before it
    /// has left.
    pub(super) fn acknowledge(&mut self, elapsed: Duration, max_transit_delay: Duration) {
        let sent_at = self.drained_at.saturating_sub(elapsed + max_transit_delay);
        self.batches.retain(|batch| batch.at >= sent_at);
        self.entries = self.entries.min(self.batches.iter().map(|batch| batch.entries).sum());
    }

    /// Remembers what was sent since the queue held `before` entries.
    pub(super) fn record_batch(&mut self, now: Duration, before: f64) {
        if self.entries > before {
            self.batches.push_back(SentBatch { at: now, entries: self.entries - before });
        }
    }

    pub(super) fn forget_flushes(&mut self, now: Duration, limit: FlushLimit) {
        self.recent_flushes.retain(|at| *at + limit.interval > now);
    }

    /// Whether an urgent flush should wait for others: the longer, the more of the limit is used.
    pub(super) fn flushed_recently(&self, now: Duration, limit: FlushLimit) -> bool {
        let used = self.recent_flushes.len() as f64;
        let gap = limit.interval.mul_f64(used / (limit.flushes as f64).powi(2));
        self.recent_flushes.back().is_some_and(|last| now < *last + gap)
    }

    /// Whether entries fit into a part of the queue.
    pub(super) fn fits(&self, entries: f64, queue_fraction: f64, parameters: &Parameters) -> bool {
        self.entries + entries <= queue_fraction * parameters.max_queued_entries
    }
}
