//! Tests of [`super`].

use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limiter(entry_rate: f64, limit: Option<(usize, Duration)>) -> SendLimiter {
    let per_proxy_limit = limit.map(|(messages, interval)| MessageLimit { messages, interval });
    SendLimiter::new(
        ChannelLimits {
            entries_per_second: entry_rate,
            message_overhead_entries: 10.0,
            max_queued_entries: 100.0,
            message_limit: per_proxy_limit,
        },
        ms(0),
    )
}

#[test]
fn reconnecting_does_not_reset_the_message_limit() {
    let mut limiter = limiter(10_000.0, Some((6, Duration::from_secs(10))));
    let mut sent = 0;
    for at in 0..90 {
        if at % 10 == 0 {
            limiter.forget(1);
        }
        limiter.request(ms(100 * at), 1, 1, true);
        while let Some(proxy) = limiter.next_proxy(ms(100 * at)) {
            limiter.sent(ms(100 * at), proxy, 1, 1);
            limiter.acknowledged(proxy);
            sent += 1;
        }
    }
    assert!((1..=6).contains(&sent), "{sent} messages within nine seconds");
}

#[test]
fn urgent_updates_go_first_and_the_longest_waiting_next() {
    let mut limiter = limiter(10_000.0, None);
    limiter.request(ms(1), 1, 5, false);
    limiter.request(ms(2), 2, 5, false);
    limiter.request(ms(3), 3, 1, true);
    let mut order = Vec::new();
    while let Some(proxy) = limiter.next_proxy(ms(4)) {
        limiter.sent(ms(4), proxy, 5, 1);
        order.push(proxy);
    }
    assert_eq!(order, [3, 1, 2]);
    assert_eq!(limiter.pending_entries, 0);
}

#[test]
fn merges_updates_of_a_slow_proxy_but_sends_urgent_ones_at_once() {
    let mut limiter = limiter(10_000.0, None);
    limiter.request(ms(1), 1, 5, false);
    limiter.next_proxy(ms(1)).unwrap();
    limiter.sent(ms(1), 1, 5, 1);
    limiter.request(ms(2), 1, 5, false);
    assert_eq!(limiter.next_proxy(ms(3)), None, "not acknowledged yet");
    limiter.request(ms(4), 1, 2, true);
    assert_eq!(limiter.next_proxy(ms(4)), Some(1));
    assert_eq!(limiter.queued_entries(ms(4)), 12);
    limiter.sent(ms(4), 1, 6, 1);
    limiter.acknowledged(1);
    assert_eq!(limiter.queued_entries(ms(5)), 0);
}

#[test]
fn stalled_proxy_neither_delays_others_nor_grows_the_queue() {
    let mut limiter = limiter(10_000.0, None);
    limiter.request(ms(1), 1, 5, true);
    limiter.request(ms(2), 2, 5, false);
    limiter.stream_full(1);
    assert_eq!(limiter.next_proxy(ms(2)), Some(2));
    (0..1000).for_each(|_| limiter.request(ms(3), 1, 1, true));
    assert_eq!((limiter.proxies.len(), limiter.queue.len()), (2, 1));
    limiter.stream_has_capacity(1);
    assert_eq!(limiter.next_proxy(ms(4)), Some(1));
    limiter.forget(1);
    assert_eq!(limiter.next_proxy(ms(4)), Some(2));
}

#[test]
fn keeps_the_entry_rate_and_returns_the_next_deadline() {
    let mut limiter = limiter(100.0, None);
    limiter.request(ms(0), 1, 90, false);
    limiter.request(ms(0), 2, 1, false);
    assert_eq!(
        limiter.next_proxy(ms(0)),
        Some(1),
        "an update larger than a burst is sent once the burst is full"
    );
    limiter.sent(ms(0), 1, 90, 1);
    assert_eq!(limiter.next_proxy(ms(1)), None);
    let due = limiter.next_deadline(ms(1)).unwrap();
    assert!((ms(800)..ms(900)).contains(&due), "{due:?}");
    assert_eq!(limiter.next_proxy(due), Some(2));
    limiter.request(ms(1), 3, 1, true);
    limiter.sent(due, 2, 1, 1);
    assert!(!limiter.has_capacity(80.0) && limiter.has_capacity(60.0));
}

#[test]
fn limits_messages_and_reserves_the_last_for_an_urgent_update() {
    let mut limiter = limiter(10_000.0, Some((5, ms(1000))));
    limiter.request(ms(0), 1, 1, false);
    limiter.sent(ms(0), 1, 1, 1);
    limiter.acknowledged(1);
    limiter.request(ms(10), 1, 1, false);
    assert_eq!(limiter.next_proxy(ms(10)), None);
    assert_eq!(limiter.next_deadline(ms(10)), Some(ms(1000)));
    limiter.request(ms(20), 1, 1, true);
    assert_eq!(limiter.next_proxy(ms(20)), Some(1));
    limiter.sent(ms(20), 1, 1, 1);
    limiter.request(ms(30), 1, 1, true);
    assert_eq!(limiter.next_proxy(ms(30)), None);
    assert_eq!(limiter.next_proxy(ms(1000)), Some(1));
}

/// Requests an urgent update every `step`, sends each as soon as the limiter allows it, and returns the longest wait.
fn longest_wait_of_urgent_updates(
    limit: MessageLimit,
    step: Duration,
    messages_per_flush: usize,
) -> Duration {
    let mut limiter = limiter(10_000.0, Some((limit.messages, limit.interval)));
    let start = Duration::from_secs(100);
    let mut longest = Duration::ZERO;
    let mut requested_at = None;
    let mut next_request = start;
    let mut now = start;
    while now < start + 3 * limit.interval {
        if now >= next_request {
            limiter.request(now, 1, 1, true);
            requested_at = requested_at.or(Some(now));
            next_request += step;
        }
        while let Some(proxy) = limiter.next_proxy(now) {
            longest = longest.max(now - requested_at.take().expect("an update was requested"));
            limiter.sent(now, proxy, 1, messages_per_flush);
        }
        let due = limiter.next_deadline(now).unwrap_or(next_request);
        assert!(due > now, "an update that may be sent was not");
        now = due.min(next_request);
    }
    longest
}

/// Guards against a series of drains that uses up a proxy's limit on messages, so that later drains wait for seconds.
#[test]
fn each_of_a_series_of_drains_is_sent_within_the_grace() {
    // Limits on messages within 10 s, the grace of drains with the protocol's slack, and the longest transit.
    for (messages, grace, transit) in
        [(30, ms(2300), ms(853)), (12, ms(2300), ms(600)), (20, ms(3300), ms(450))]
    {
        let limit = MessageLimit { messages, interval: Duration::from_secs(10) };
        let longest = longest_wait_of_urgent_updates(limit, ms(233), 1);
        assert!(longest + transit <= grace, "{messages} messages: a drain waited for {longest:?}");
    }
}

#[test]
fn never_exceeds_the_limit_on_messages_within_an_interval() {
    for messages in FLUSH_MESSAGES..60 {
        for flush in 1..=FLUSH_MESSAGES {
            let mut limiter = limiter(1e6, Some((messages, ms(10_000))));
            let mut sent = Vec::new();
            for now in (0..40_000).step_by(50).map(ms) {
                limiter.request(now, 1, 1, true);
                while let Some(proxy) = limiter.next_proxy(now) {
                    limiter.sent(now, proxy, 1, flush);
                    limiter.request(now, 1, 1, true);
                    sent.extend(std::iter::repeat_n(now, flush));
                }
            }
            for window in sent.windows(messages + 1) {
                assert!(
                    window[messages] - window[0] >= ms(10_000),
                    "{messages} in flushes of {flush}: {window:?}"
                );
            }
        }
    }
}
