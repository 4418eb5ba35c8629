//! The channel to the proxies: messages leave one after another at a rate of entries, and then travel to the proxy.

use std::collections::VecDeque;
use std::time::Duration;

use serde_json::Value;

use super::SentMessage;

/// How fast the channel is.
#[derive(Clone, Copy)]
pub struct ChannelRate {
    pub entries_per_second: f64,
    /// Entries that a message takes beside its own.
    pub message_overhead: f64,
    /// The time from the end of the channel to the proxy.
    pub transit_delay: Duration,
}

/// A message in the channel, by its index among those sent.
struct Queued {
    sent_index: usize,
    arrives_at: Duration,
}

pub struct Channel {
    rate: ChannelRate,
    queue: VecDeque<Queued>,
    free_at: Duration,
    next_index: usize,
    max_queued: f64,
}

impl Channel {
    pub fn new(rate: ChannelRate, now: Duration) -> Self {
        Channel { rate, queue: VecDeque::new(), free_at: now, next_index: 0, max_queued: 0.0 }
    }

    /// Takes in the messages that were sent since the last call.
    pub fn enqueue(&mut self, now: Duration, sent: &[SentMessage]) {
        for (sent_index, message) in sent.iter().enumerate().skip(self.next_index) {
            let entries = self.rate.message_overhead + entries(message) as f64;
            self.free_at = self.free_at.max(now);
            self.free_at += Duration::from_secs_f64(entries / self.rate.entries_per_second);
            let arrives_at = self.free_at + self.rate.transit_delay;
            self.queue.push_back(Queued { sent_index, arrives_at });
        }
        self.next_index = sent.len();
        let queued = self.free_at.saturating_sub(now).as_secs_f64() * self.rate.entries_per_second;
        self.max_queued = self.max_queued.max(queued);
    }

    /// The index of the next message that has arrived, and when it did.
    pub fn next_arrival(&mut self, now: Duration) -> Option<(usize, Duration)> {
        let queued = self.queue.pop_front_if(|queued| queued.arrives_at <= now)?;
        Some((queued.sent_index, queued.arrives_at))
    }

    /// The maximum number of entries that waited.
    pub fn max_queued(&self) -> f64 {
        self.max_queued
    }
}

fn entries(message: &SentMessage) -> usize {
    let list = |part: &Value, field: &str| part[field].as_array().map_or(0, Vec::len);
    let flag = |part: &Value, field: &str| usize::from(!part[field].is_null());
    let of_part = |part: &Value| {
        list(part, "lines")
            + list(part, "out")
            + list(part, "back")
            + flag(part, "level")
            + flag(part, "ticket")
            + flag(part, "whole")
    };
    message.parts.iter().map(of_part).sum()
}
