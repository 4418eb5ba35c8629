//! A token bucket that limits how many events occur within any interval of a given length.

use std::time::Duration;

/// The capacity of a bucket, and the rate at which tokens are refilled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenRate {
    capacity: u32,
    refill_interval: Duration,
}

impl TokenRate {
    /// The rate of a bucket from which at most `limit` tokens are taken within any time shorter than
    /// `interval`: the whole capacity, and the tokens that are refilled meanwhile. The capacity is between 1
    /// and `limit`, which is at least 1.
    pub fn new(limit: usize, interval: Duration, capacity: usize) -> Self {
        let limit = u32::try_from(limit).unwrap_or(u32::MAX).max(1);
        let capacity = u32::try_from(capacity).unwrap_or(u32::MAX).clamp(1, limit);
        let refilled = u128::from(limit - capacity) + 1;
        let refill_nanos = interval.as_nanos().div_ceil(refilled);
        let refill_interval = Duration::from_nanos(u64::try_from(refill_nanos).unwrap_or(u64::MAX));
        TokenRate { capacity, refill_interval }
    }

    /// The maximum number of tokens.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// The time in which one token is refilled.
    pub fn refill_interval(&self) -> Duration {
        self.refill_interval
    }
}

/// The content of a bucket, which is full at first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenBucket {
    full_at: Duration,
}

impl TokenBucket {
    /// The number of tokens in the bucket.
    pub fn tokens(&self, now: Duration, rate: &TokenRate) -> u32 {
        let missing_nanos = self.full_at.saturating_sub(now).as_nanos();
        let missing = missing_nanos.div_ceil(rate.refill_interval.as_nanos().max(1));
        rate.capacity.saturating_sub(u32::try_from(missing).unwrap_or(u32::MAX))
    }

    /// When the bucket has this many tokens, at most its capacity, if none are taken before.
    pub fn available_at(&self, tokens: u32, rate: &TokenRate) -> Duration {
        let unneeded = rate.capacity.saturating_sub(tokens);
        self.full_at.saturating_sub(rate.refill_interval.saturating_mul(unneeded))
    }

    /// Takes tokens. If there are fewer, the bucket is empty afterwards.
    pub fn take(&mut self, now: Duration, tokens: u32, rate: &TokenRate) {
        let taken = self.full_at.max(now).saturating_add(rate.refill_interval.saturating_mul(tokens));
        let empty = now.saturating_add(rate.refill_interval.saturating_mul(rate.capacity));
        self.full_at = taken.min(empty);
    }
}

#[cfg(test)]
mod tests;
