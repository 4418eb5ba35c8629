//! Replicas that start draining one after another, as in a release, at the limits on messages of several deployments.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod driven;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use driven::holdings::Holdings;
use driven::{DrivenGovernor, START, STEP, read_config, replica};
use serde_json::{Value, json};
use wrenthread::types::ProxyId;

const PROXIES: u16 = 8;
const REPLICAS: usize = 50;
/// The part of the replicas that drain, and the time in which they do.
const DRAINING: usize = 30;
const RELEASE: Duration = Duration::from_secs(7);
/// Nothing changes before the release, so that the whole limit on messages is left.
const QUIET: Duration = Duration::from_secs(15);
/// The protocol's allowance on sockets.
const GRACE_SLACK: Duration = Duration::from_millis(300);

/// A deployment's limit on messages within 10 s, and how soon a drain must be in force at all proxies.
#[derive(Clone, Copy, Debug)]
struct Limits {
    messages: u64,
    drain_grace: Duration,
    max_transit_delay: Duration,
}

const fn limits(messages: u64, drain_grace_ms: u64, max_transit_delay_ms: u64) -> Limits {
    Limits {
        messages,
        drain_grace: Duration::from_millis(drain_grace_ms),
        max_transit_delay: Duration::from_millis(max_transit_delay_ms),
    }
}

/// The limits of the pages' deployments.
const DEPLOYMENTS: [Limits; 3] = [limits(30, 2000, 853), limits(12, 2000, 600), limits(20, 3000, 450)];

fn settings(limits: Limits) -> Value {
    json!({
        "categories": [{"name": "find", "deadline_us": 5_000_000, "effect": "retryable", "objective_us": 2_000_000}],
        "extra": {"agents": PROXIES, "bootstrap": 8, "channel_rate": 10_000.0, "cycle_us": 500_000,
            "level_kind": "ratio", "most_waiting": 20_000.0, "per_message": 10.0,
            "worst_transit_us": limits.max_transit_delay.as_micros() as u64,
            "update_cap": limits.messages, "messages_over_us": 10_000_000},
        "rules": {"cold_from": 0.3, "warm_after_us": 10_000_000}, "siblings": 1, "zones": [driven::ZONE],
    })
}

/// Lets replicas drain one after another, and returns by name how long it took until no proxy was left that may use it.
fn run_release(limits: Limits) -> BTreeMap<String, Duration> {
    let mut driven = DrivenGovernor::new(&read_config(&settings(limits)).unwrap());
    let names: Vec<String> = (0..REPLICAS).map(|number| format!("r{number:02}")).collect();
    driven.send_list(true, &names.iter().map(|name| replica(name, "up")).collect::<Vec<_>>());
    let mut holdings: BTreeMap<ProxyId, Holdings> = BTreeMap::new();
    for proxy in 0..PROXIES {
        driven.connect(proxy, 2.0, true);
        holdings.insert(proxy, Holdings::default());
    }
    driven.advance_by(QUIET);
    let mut drained_at: BTreeMap<String, Duration> = BTreeMap::new();
    let mut waited = BTreeMap::new();
    let mut applied = 0;
    while driven.now < START + QUIET + 3 * RELEASE {
        if drained_at.len() < DRAINING
            && driven.now >= START + QUIET + RELEASE * drained_at.len() as u32 / DRAINING as u32
        {
            let name = names[drained_at.len()].clone();
            driven.send_list(false, &[replica(&name, "draining")]);
            drained_at.insert(name, driven.now);
        }
        driven.advance_by(STEP);
        for message in driven.sent.iter().skip(applied) {
            holdings.get_mut(&message.proxy).unwrap().apply(message);
        }
        applied = driven.sent.len();
        for (name, at) in &drained_at {
            if holdings.values().all(|held| !held.may_use(name)) {
                waited.entry(name.clone()).or_insert(driven.now - *at);
            }
        }
    }
    let unsent: BTreeSet<&String> = drained_at.keys().filter(|name| !waited.contains_key(*name)).collect();
    assert!(unsent.is_empty(), "{limits:?}: still in use: {unsent:?}");
    waited
}

/// Guards against a series of drains that uses up the limit on messages, so that later drains wait for seconds.
#[test]
fn each_of_a_series_of_drains_is_sent_within_the_grace() {
    for limits in DEPLOYMENTS {
        let allowed = limits.drain_grace + GRACE_SLACK - limits.max_transit_delay;
        let waited = run_release(limits);
        let late: Vec<_> = waited.iter().filter(|(_, waited)| **waited > allowed).collect();
        assert!(late.is_empty(), "{limits:?}: {} sent later than {allowed:?}: {late:?}", late.len());
    }
}
