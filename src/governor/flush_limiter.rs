//! Limits the number of flushes, as each proxy may be sent only so many messages within a sliding interval.
//!
//! A flush takes a token from a bucket that is refilled evenly. A limit that only counted the flushes of the
//! last interval would let a burst use all of them, and even a draining replica could then not be ejected
//! until the first flush of the burst is an interval old.

use std::time::Duration;

use crate::token_bucket::{TokenBucket, TokenRate};
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

/// The limit on flushes that follows from the limit on messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct FlushLimit {
    /// `None` if flushes are not limited. At least one is allowed, so that draining replicas can be ejected.
    rate: Option<TokenRate>,
    /// The limit leaves no message for a connecting proxy, whose first table must wait for a flush.
    pub(super) first_tables_need_flush: bool,
}

impl FlushLimit {
    pub(super) fn new(limit: Option<MessageLimit>) -> Self {
        let Some(limit) = limit else { return FlushLimit::default() };
        let flushes = limit.messages.saturating_sub(RESERVED_MESSAGES).max(1);
        FlushLimit {
            rate: Some(TokenRate::new(flushes, limit.interval, flushes / BURST_DIVISOR)),
            first_tables_need_flush: limit.messages <= 1,
        }
    }
}

/// Counts flushes against their limit.
#[derive(Default)]
pub(super) struct FlushLimiter {
    bucket: TokenBucket,
}

impl FlushLimiter {
    /// The number of flushes that are allowed now.
    pub(super) fn remaining(&self, now: Duration, limit: &FlushLimit) -> usize {
        limit.rate.map_or(usize::MAX, |rate| self.bucket.tokens(now, &rate) as usize)
    }

    /// When a flush is allowed.
    pub(super) fn allowed_at(&self, limit: &FlushLimit, urgency: Urgency) -> Duration {
        let Some(rate) = limit.rate else { return Duration::ZERO };
        let required = match urgency {
            Urgency::Urgent => 1,
            Urgency::Ordinary => (1 + URGENT_TOKENS).min(rate.capacity()),
        };
        self.bucket.available_at(required, &rate)
    }

    /// Takes the token of a flush.
    pub(super) fn record_flush(&mut self, now: Duration, limit: &FlushLimit) {
        if let Some(rate) = limit.rate {
            self.bucket.take(now, 1, &rate);
        }
    }
}
