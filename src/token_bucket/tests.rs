//! Tests of [`super`].

use super::*;

const INTERVAL: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(10);

/// The times at which tokens are taken if one is taken whenever there is one.
fn take_at_all_times(rate: &TokenRate) -> Vec<Duration> {
    let mut bucket = TokenBucket::default();
    let mut taken = Vec::new();
    let mut now = INTERVAL;
    while now < 6 * INTERVAL {
        while bucket.available_at(1, rate) <= now {
            assert!(bucket.tokens(now, rate) >= 1);
            bucket.take(now, 1, rate);
            taken.push(now);
        }
        assert_eq!(bucket.tokens(now, rate), 0);
        now += STEP;
    }
    taken
}

#[test]
fn gives_at_most_the_limit_within_the_interval() {
    for limit in 1..60 {
        for capacity in [0, 1, 2, limit / 4, limit / 2, limit, limit + 1] {
            let taken = take_at_all_times(&TokenRate::new(limit, INTERVAL, capacity));
            for window in taken.windows(limit + 1) {
                assert!(window[limit] - window[0] >= INTERVAL, "{limit} {capacity}: {window:?}");
            }
        }
    }
}

#[test]
fn refills_one_token_after_another() {
    let rate = TokenRate::new(5, INTERVAL, 4);
    let mut bucket = TokenBucket::default();
    bucket.take(INTERVAL, 4, &rate);
    assert_eq!(bucket.available_at(1, &rate), INTERVAL + rate.refill_interval());
    assert_eq!(bucket.available_at(4, &rate), INTERVAL + 4 * rate.refill_interval());
    let tokens: Vec<u32> =
        (0..6).map(|n| bucket.tokens(INTERVAL + n * rate.refill_interval(), &rate)).collect();
    assert_eq!(tokens, [0, 1, 2, 3, 4, 4]);
}

#[test]
fn extreme_limits_and_debts_do_not_overflow() {
    for (limit, interval) in [(0, Duration::ZERO), (usize::MAX, Duration::MAX), (1, Duration::MAX)] {
        let rate = TokenRate::new(limit, interval, limit);
        let mut bucket = TokenBucket::default();
        for _ in 0..3 {
            bucket.take(Duration::MAX, u32::MAX, &rate);
        }
        assert!(bucket.tokens(Duration::MAX, &rate) <= rate.capacity());
        let _ = bucket.available_at(u32::MAX, &rate);
    }
}
