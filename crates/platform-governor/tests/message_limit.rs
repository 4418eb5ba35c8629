//! Tests the lowest values of the platform's limit on messages to a proxy within an interval.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod driven;

use std::time::Duration;

use driven::{DrivenGovernor, read_config, replica};
use serde_json::{Value, json};

const INTERVAL: Duration = Duration::from_secs(1);
/// One tick of the governor and one step of the test.
const SLACK: Duration = Duration::from_millis(300);
const PROXIES: u16 = 6;

fn settings(messages: u64) -> Value {
    json!({
        "categories": [{"name": "find", "deadline_us": 5_000_000, "effect": "retryable", "objective_us": 2_000_000}],
        "extra": {"agents": 20, "bootstrap": 8, "channel_rate": 10_000.0, "cycle_us": 500_000,
            "level_kind": "ratio", "most_waiting": 20_000.0, "per_message": 10.0, "worst_transit_us": 100_000,
            "update_cap": messages, "messages_over_us": INTERVAL.as_micros() as u64},
        "rules": {"cold_from": 0.3, "warm_after_us": 10_000_000}, "siblings": 1, "zones": ["a"],
    })
}

/// Connects proxies one after another while replicas start draining one after another.
fn run_joins_and_drains(messages: u64) -> (DrivenGovernor, Vec<(String, Duration)>) {
    let mut driven = DrivenGovernor::new(&read_config(&settings(messages)).unwrap());
    let names: Vec<String> = (1..=8).map(|number| format!("r{number}")).collect();
    let up: Vec<Value> = names.iter().map(|name| replica(name, "up")).collect();
    driven.send_list(true, &up);
    let mut drains = Vec::new();
    for proxy in 0..PROXIES {
        driven.connect(proxy, 2.0, proxy % 2 == 0);
        driven.advance_by(Duration::from_millis(700));
        if let Some(name) = names.get(usize::from(proxy)).filter(|_| proxy < 4) {
            drains.push((name.clone(), driven.now));
            driven.send_list(false, &[replica(name, "draining")]);
        }
        driven.advance_by(Duration::from_millis(450));
    }
    driven.advance_by(5 * INTERVAL);
    (driven, drains)
}

/// Guards against a panic (0 divided by 0) with a limit of one or two messages.
#[test]
fn limits_of_one_two_and_three_messages_are_kept_and_tables_and_drains_are_sent() {
    for messages in 1..=3 {
        let (driven, drains) = run_joins_and_drains(messages);
        for proxy in 0..PROXIES {
            let sent: Vec<_> = driven.sent.iter().filter(|message| message.proxy == proxy).collect();
            for window in sent.windows(messages as usize + 1) {
                let span = window[window.len() - 1].at - window[0].at;
                assert!(span >= INTERVAL, "proxy {proxy}: {} messages in {span:?}", messages + 1);
            }
            let has_table = sent.iter().any(|message| !message.weighted_replicas().is_empty());
            assert!(has_table || proxy % 2 == 0, "limit {messages}: proxy {proxy} was sent no table");
        }
        for (name, drained_at) in drains {
            // A proxy that was sent its first table after the drain never had the replica in it.
            let was_weighted = |proxy| {
                let mut earlier = driven.sent.iter().filter(|message| message.at <= drained_at);
                earlier.any(|message| message.proxy == proxy && message.weighted_replicas().contains(&name))
            };
            for proxy in (0..PROXIES).filter(|proxy| was_weighted(*proxy)) {
                let removed = driven.sent.iter().find(|message| {
                    message.proxy == proxy && message.at >= drained_at && message.removes(&name)
                });
                let delay = removed.map(|message| message.at - drained_at);
                assert!(
                    delay.is_some_and(|delay| delay <= INTERVAL + SLACK),
                    "limit {messages}: {name} was removed from proxy {proxy} after {delay:?}"
                );
            }
        }
    }
}
