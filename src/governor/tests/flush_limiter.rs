//! Tests of the limit on flushes.

use super::fixtures::SECOND;
use super::*;

const INTERVAL: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(10);
/// As many flushes as a limit of so many messages allows; one at least.
const RESERVED_MESSAGES: usize = 2;

fn limit(messages: usize) -> FlushLimit {
    FlushLimit::new(Some(MessageLimit { messages, interval: INTERVAL }))
}

/// The times of the flushes when one is wanted at all times from `quiet_until` on.
fn flush_at_all_times(limit: &FlushLimit, quiet_until: Duration) -> Vec<Duration> {
    let mut limiter = FlushLimiter::default();
    let mut flushes = Vec::new();
    let mut now = quiet_until;
    while now < quiet_until + 5 * INTERVAL {
        while limiter.allowed_at(limit, Urgency::Urgent) <= now {
            limiter.record_flush(now, limit);
            flushes.push(now);
        }
        now += STEP;
    }
    flushes
}

#[test]
fn never_allows_more_flushes_within_an_interval_than_the_limit() {
    for messages in 0..100 {
        let allowed = messages.max(RESERVED_MESSAGES + 1) - RESERVED_MESSAGES;
        for window in flush_at_all_times(&limit(messages), 3 * INTERVAL).windows(allowed + 1) {
            assert!(window[allowed] - window[0] >= INTERVAL, "{messages} messages: {window:?}");
        }
    }
}

/// Guards against a burst that uses up the limit, so that a drain waits until the first of its flushes is an interval old.
#[test]
fn an_urgent_flush_waits_for_its_even_share_of_the_interval_however_many_were_before() {
    for messages in 3..100 {
        let allowed = (messages - RESERVED_MESSAGES) as u32;
        // A third is held back for bursts at the most.
        let longest = (INTERVAL / allowed) * 3 / 2 + STEP;
        let flushes = flush_at_all_times(&limit(messages), INTERVAL);
        let gaps = flushes.windows(2).map(|pair| pair[1] - pair[0]);
        let wait = gaps.max().unwrap_or_default();
        assert!(wait <= longest, "{messages} messages: {wait:?} of {longest:?}");
    }
}

#[test]
fn without_a_limit_flushes_are_always_allowed() {
    let unlimited = FlushLimit::new(None);
    let mut limiter = FlushLimiter::default();
    (0..100).for_each(|_| limiter.record_flush(SECOND, &unlimited));
    assert_eq!(limiter.allowed_at(&unlimited, Urgency::Ordinary), Duration::ZERO);
    assert_eq!(limiter.remaining(SECOND, &unlimited), usize::MAX);
}
