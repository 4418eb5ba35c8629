//! Estimates how full the channel to the proxies is.

use std::collections::VecDeque;
use std::time::Duration;

use super::arithmetic::ratio;
use super::parameters::Parameters;
use crate::types::SentEntries;

/// What entries are sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    Ejection,
    FirstTable,
    Table,
    Readmission,
    Admission,
}

/// Entries that were sent together.
#[derive(Clone, Copy)]
pub(super) struct SentBatch {
    /// The number that its messages are acknowledged with.
    pub(super) number: u16,
    pub(super) entries: f64,
    /// The mean size of its messages, in entries, at least; 0 if it is not known.
    pub(super) entries_per_message: f64,
}

/// The content of a queue before a publishing pass.
#[derive(Clone, Copy)]
pub(super) struct QueueTotals {
    entries: f64,
    messages: f64,
}

/// The estimated queue of the channel, in table entries.
#[derive(Default)]
pub(super) struct SendQueue {
    /// Entries that have been sent and may still be queued.
    pub(super) entries: f64,
    /// Messages sent since the start, at most. A proxy's part of a flush counts once for each purpose.
    pub(super) messages: f64,
    pub(super) batches: VecDeque<SentBatch>,
    pub(super) next_number: u16,
    /// When [`SendQueue::drain`] was last called.
    pub(super) drained_at: Duration,
    /// Entries sent since the start, for operators.
    pub(super) sent: SentEntries,
}

impl SendQueue {
    /// Adds entries that are sent with so many messages.
    pub(super) fn add(&mut self, entries: f64, messages: f64, purpose: Purpose) {
        self.entries += entries;
        self.messages += messages;
        let sent = match purpose {
            Purpose::Ejection => &mut self.sent.ejections,
            Purpose::FirstTable => &mut self.sent.first_tables,
            Purpose::Table => &mut self.sent.tables,
            Purpose::Readmission => &mut self.sent.readmissions,
            Purpose::Admission => &mut self.sent.admissions,
        };
        *sent += entries;
    }

    /// Removes the entries that the channel has transmitted since the last call, at the given rate.
    pub(super) fn drain(&mut self, now: Duration, entries_per_second: f64) {
        let carried = now.saturating_sub(self.drained_at).as_secs_f64() * entries_per_second;
        self.entries = (self.entries - carried).max(0.0);
        self.drained_at = now;
        if self.entries <= 0.0 {
            self.batches.clear();
        }
    }

    /// Records that a message of a batch was acknowledged. The channel preserves order, so earlier batches have
    /// left the queue, and the message itself has. Its batch may take seconds to transmit, and nothing may be
    /// sent in that time that could be acknowledged after it.
    pub(super) fn acknowledge(&mut self, number: u16) {
        let Some(index) = self.batches.iter().position(|batch| batch.number == number) else { return };
        self.batches.drain(..index);
        if let Some(batch) = self.batches.front_mut() {
            batch.entries = (batch.entries - batch.entries_per_message).max(0.0);
        }
        self.entries = self.entries.min(self.batches.iter().map(|batch| batch.entries).sum());
    }

    /// The current totals, for [`SendQueue::record_batch`].
    pub(super) fn totals(&self) -> QueueTotals {
        QueueTotals { entries: self.entries, messages: self.messages }
    }

    /// Records the entries that were sent since the queue had these totals as a batch, and returns its number.
    pub(super) fn record_batch(&mut self, before: QueueTotals) -> u16 {
        let entries = (self.entries - before.entries).max(0.0);
        let entries_per_message = ratio(entries, self.messages - before.messages);
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        self.batches.push_back(SentBatch { number, entries, entries_per_message });
        number
    }

    /// Whether entries fit into the given fraction of the queue.
    pub(super) fn fits(&self, entries: f64, queue_fraction: f64, parameters: &Parameters) -> bool {
        self.entries + entries <= queue_fraction * parameters.max_queued_entries
    }
}
