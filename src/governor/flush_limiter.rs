//! Limits the number of flushes, as each proxy may be sent only so many messages within a sliding interval.
//!
//! A token bucket: a flush takes a token, and tokens are refilled at an even rate. A limit that only counted
//! the flushes of the last interval would let a burst use all of them, and even a draining replica could then
//! not be ejected until the first flush of the burst is an interval old.

use std::time::Duration;

use crate::types::MessageLimit;

/// Messages of the limit that flushes do not use, one of them for a connecting proxy. If the limit is too low
/// for that, one flush is still allowed.
const RESERVED_MESSAGES: usize = 2;
/// The bucket holds the flushes of an interval divided by this. A larger bucket is refilled more slowly, as
/// bucket and refill together must not exceed the limit.
const BURST_DIVISOR: usize = 4;
/// Tokens that ordinary flushes leave to urgent ones.
const URGENT_TOKENS: u32 = 1;

/// How urgent a flush is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Urgency {
    /// It waits while the bucket has only the tokens that are left to urgent flushes.
    Ordinary,
    /// It waits only for a token.
    Urgent,
}

/// The size and the refill rate of the bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct FlushLimit {
    /// At least 1, so that draining replicas can be ejected.
    pub(super) max_tokens: u32,
    /// Zero if flushes are not limited.
    pub(super) refill_interval: Duration,
    /// The limit leaves no message for a connecting proxy, whose first table must wait for a flush.
    pub(super) first_tables_need_flush: bool,
}

impl FlushLimit {
    pub(super) fn new(limit: Option<MessageLimit>) -> Self {
        let Some(limit) = limit else {
            return FlushLimit { max_tokens: u32::MAX, ..FlushLimit::default() };
        };
        let flushes = limit.messages.saturating_sub(RESERVED_MESSAGES).max(1);
        let max_tokens = (flushes / BURST_DIVISOR).max(1);
        // Within an interval the whole bucket is used, and this many tokens less one are refilled.
        let refilled = u32::try_from(flushes - max_tokens + 1).unwrap_or(u32::MAX);
        FlushLimit {
            max_tokens: u32::try_from(max_tokens).unwrap_or(u32::MAX),
            // The division rounds down.
            refill_interval: limit.interval / refilled + Duration::from_nanos(1),
            first_tables_need_flush: limit.messages <= 1,
        }
    }

    fn required_tokens(&self, urgency: Urgency) -> u32 {
        match urgency {
            Urgency::Urgent => 1,
            Urgency::Ordinary => (1 + URGENT_TOKENS).min(self.max_tokens),
        }
    }
}

/// The bucket's content.
#[derive(Default)]
pub(super) struct FlushLimiter {
    /// When all tokens are refilled.
    full_at: Duration,
}

impl FlushLimiter {
    /// The number of flushes that are allowed now.
    pub(super) fn tokens(&self, now: Duration, limit: &FlushLimit) -> u32 {
        let missing_time = self.full_at.saturating_sub(now).as_nanos();
        if missing_time == 0 {
            return limit.max_tokens;
        }
        let missing = missing_time.div_ceil(limit.refill_interval.as_nanos().max(1));
        limit.max_tokens.saturating_sub(u32::try_from(missing).unwrap_or(u32::MAX))
    }

    /// Whether a flush is allowed now.
    pub(super) fn allows(&self, now: Duration, limit: &FlushLimit, urgency: Urgency) -> bool {
        self.tokens(now, limit) >= limit.required_tokens(urgency)
    }

    /// Takes the token of a flush.
    pub(super) fn record_flush(&mut self, now: Duration, limit: &FlushLimit) {
        self.full_at = self.full_at.max(now) + limit.refill_interval;
    }
}
