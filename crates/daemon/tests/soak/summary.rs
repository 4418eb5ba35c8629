//! Counts of what happened in scenarios.

use std::fmt;
use std::time::Duration;

use super::event_log::{Entry, Event, PeerOutcome};

#[derive(Debug, Clone, Default)]
pub struct Summary {
    seeds: usize,
    starts: usize,
    signals: usize,
    streams: usize,
    messages: usize,
    crowds: usize,
    peak_memory_bytes: u64,
    times_to_ready: Vec<Duration>,
}

impl Summary {
    /// The summary of one scenario.
    pub fn of(entries: &[Entry]) -> Summary {
        let mut summary = Summary { seeds: 1, ..Summary::default() };
        let mut started_at = std::collections::BTreeMap::new();
        for Entry { at, event } in entries {
            match event {
                Event::Started { governor } => {
                    summary.starts += 1;
                    started_at.insert(*governor, *at);
                }
                Event::Ready { governor } => summary.times_to_ready.push(*at - started_at[governor]),
                Event::Signalled { .. } => summary.signals += 1,
                Event::Connected { .. } => summary.streams += 1,
                Event::Received { .. } => summary.messages += 1,
                Event::Crowd { outcome: PeerOutcome::ClosedOrRejected, .. } => summary.crowds += 1,
                Event::PeakMemory { bytes, .. } => {
                    summary.peak_memory_bytes = summary.peak_memory_bytes.max(*bytes);
                }
                _ => {}
            }
        }
        summary
    }

    /// The sum of several summaries.
    pub fn total<'a>(summaries: impl Iterator<Item = &'a Summary>) -> Summary {
        let mut total = Summary::default();
        for summary in summaries {
            total.seeds += summary.seeds;
            total.starts += summary.starts;
            total.signals += summary.signals;
            total.streams += summary.streams;
            total.messages += summary.messages;
            total.crowds += summary.crowds;
            total.peak_memory_bytes = total.peak_memory_bytes.max(summary.peak_memory_bytes);
            total.times_to_ready.extend(&summary.times_to_ready);
        }
        total.times_to_ready.sort();
        total
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Summary { seeds, starts, signals, streams, messages, crowds, .. } = self;
        let median = self.times_to_ready.get(self.times_to_ready.len() / 2).copied().unwrap_or_default();
        let worst = self.times_to_ready.last().copied().unwrap_or_default();
        let megabytes = self.peak_memory_bytes >> 20;
        write!(
            formatter,
            "soak: {seeds} seeds passed: {starts} starts, {signals} signals, {streams} streams, \
             {messages} messages, {crowds} crowds, peak memory {megabytes} MiB, time to ready {median:?} (median), \
             {worst:?} (maximum)"
        )
    }
}
