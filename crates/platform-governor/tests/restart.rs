//! Proxies with default tables that connect to a governor after its restart. Their tables may contain replicas that were
//! gone before, so that no list of this governor has named them.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod driven;

use std::collections::BTreeMap;
use std::time::Duration;

use driven::channel::{Channel, ChannelRate};
use driven::holdings::Holdings;
use driven::{DrivenGovernor, START, STEP, read_config, replica_of_zone};
use serde_json::{Value, json};
use wrenthread::types::ProxyId;
use wrenthread_platform_protocol::decode::Decoder;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// When the proxies that could not reach a governor return, after its restart.
const RETURN: Duration = Duration::from_secs(8);
/// How long the last proxy of the previous process takes to reconnect.
const RECONNECT: Duration = Duration::from_millis(2100);
/// When the collector of a zone reports what its proxies met in their first half second.
const REPORT_DELAY: Duration = Duration::from_millis(1100);
/// The protocol's allowance on sockets.
const GRACE_SLACK: Duration = Duration::from_millis(300);

/// A deployment's fleet and limits.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    proxies: u16,
    replicas_per_zone: usize,
    entries_per_second: f64,
    max_queued_entries: f64,
    messages_in_10_s: u64,
    transit_delay: Duration,
    drain_grace: Duration,
    /// Whether a class's requests must stay in the proxy's zone.
    zone_bound: bool,
}

const GATES: Deployment = Deployment {
    proxies: 16,
    replicas_per_zone: 6,
    entries_per_second: 12_900.0,
    max_queued_entries: 25_800.0,
    messages_in_10_s: 30,
    transit_delay: Duration::from_millis(341),
    drain_grace: Duration::from_millis(3600),
    zone_bound: false,
};
const DEPLOYMENTS: [Deployment; 3] = [
    GATES,
    Deployment { messages_in_10_s: 12, drain_grace: Duration::from_secs(3), zone_bound: true, ..GATES },
    Deployment { proxies: 120, replicas_per_zone: 40, ..GATES },
];
/// All proxies of a large deployment at one governor.
const LARGE: Deployment = Deployment {
    proxies: 723,
    replicas_per_zone: 8,
    entries_per_second: 10_500.0,
    max_queued_entries: 33_300.0,
    transit_delay: Duration::from_millis(243),
    drain_grace: Duration::from_millis(4500),
    ..GATES
};

fn settings(deployment: Deployment) -> Value {
    let class = |name: &str, effect: &str| json!({"name": name, "deadline_us": 5_000_000, "effect": effect, "objective_us": 1_500_000});
    json!({
        "categories": [class("match", "retryable"), class("charge", "fragile")],
        "extra": {"agents": deployment.proxies, "bootstrap": 12, "channel_rate": deployment.entries_per_second,
            "class_own_zone": [false, deployment.zone_bound], "cycle_us": 500_000, "ejects": 3, "level_kind": "ratio",
            "most_waiting": deployment.max_queued_entries, "per_message": 10.0, "retry_default": 0,
            "worst_transit_us": (2.5 * deployment.transit_delay.as_secs_f64() * 1e6) as u64,
            "update_cap": deployment.messages_in_10_s, "messages_over_us": 10_000_000},
        "rules": {"cold_from": 0.22, "warm_after_us": 18_000_000}, "siblings": 1, "zones": ZONES,
    })
}

fn name(zone: usize, number: usize) -> String {
    format!("s-{}-{number}", ZONES[zone])
}

/// A restarted governor. The first replica of each zone was gone before; the proxies' tables have it.
struct Fleet {
    deployment: Deployment,
    driven: DrivenGovernor,
    channel: Channel,
    holdings: BTreeMap<ProxyId, Holdings>,
}

impl Fleet {
    fn new(deployment: Deployment) -> Self {
        let mut driven = DrivenGovernor::new(&read_config(&settings(deployment)).unwrap());
        driven.acknowledges = false;
        let mut rows = Vec::new();
        for (zone, zone_name) in ZONES.iter().enumerate() {
            let listed = 1..deployment.replicas_per_zone;
            rows.extend(listed.map(|number| replica_of_zone(&name(zone, number), "up", zone_name, None)));
        }
        driven.send_list(true, &rows);
        let rate = ChannelRate {
            entries_per_second: deployment.entries_per_second,
            message_overhead: 10.0,
            transit_delay: deployment.transit_delay,
        };
        let channel = Channel::new(rate, START);
        Fleet { deployment, driven, channel, holdings: BTreeMap::new() }
    }

    fn connect(&mut self, proxy: ProxyId) {
        let zone = usize::from(proxy) % ZONES.len();
        self.driven.connect_in_zone(proxy, zone, 1.0, true);
        let table = (0..self.deployment.replicas_per_zone).map(|number| name(zone, number));
        self.holdings.insert(proxy, Holdings::with_table(table));
    }

    fn run_until(&mut self, end: Duration) {
        while self.driven.now < end {
            self.driven.now += STEP;
            self.driven.advance();
            self.channel.enqueue(self.driven.now, &self.driven.sent);
            while let Some((index, arrived_at)) = self.channel.next_arrival(self.driven.now) {
                let message = &self.driven.sent[index];
                let (proxy, latency) = (message.proxy, arrived_at - message.at);
                self.holdings.get_mut(&proxy).unwrap().apply(message);
                if let Some(nonce) = message.nonce() {
                    self.driven.acknowledge(proxy, nonce, latency);
                }
            }
        }
    }

    /// The proxies that may send to a replica of their zone.
    fn users(&self, number: usize) -> Vec<ProxyId> {
        let may_use =
            |proxy: ProxyId, held: &Holdings| held.may_use(&name(usize::from(proxy) % ZONES.len(), number));
        let users = self.holdings.iter().filter(|(proxy, held)| may_use(**proxy, held));
        users.map(|(proxy, _)| *proxy).collect()
    }
}

/// Guards against a restarted governor that takes an old default table for one of the replicas listed now: its proxies
/// went on sending to replicas that were gone before the restart.
#[test]
fn proxies_that_return_after_a_restart_leave_replicas_that_were_gone_before() {
    for deployment in DEPLOYMENTS {
        let mut fleet = Fleet::new(deployment);
        fleet.run_until(START + RETURN);
        (0..deployment.proxies).for_each(|proxy| fleet.connect(proxy));
        fleet.run_until(START + RETURN + deployment.drain_grace + GRACE_SLACK);
        assert_eq!(fleet.users(0), [0; 0], "{deployment:?}");
        let served = |held: &Holdings| held.usable_replicas().next().is_some();
        assert!(fleet.holdings.values().all(served), "{deployment:?}");
        let zone_of =
            |replica: &str| ZONES.iter().position(|zone| replica.starts_with(&format!("s-{zone}-")));
        for (proxy, held) in &fleet.holdings {
            let zone = usize::from(*proxy) % ZONES.len();
            assert!(held.usable_replicas().all(|replica| zone_of(replica) == Some(zone)), "{deployment:?}");
        }
    }
}

/// Guards against proxies that return so soon after the restart that they are taken for those of the previous process: what
/// their zone's collector reports tells that they send to replicas that were gone.
#[test]
fn proxies_leave_a_replica_that_no_list_named_once_its_failures_are_reported() {
    let mut fleet = Fleet::new(GATES);
    fleet.run_until(START + RECONNECT);
    (0..GATES.proxies).for_each(|proxy| fleet.connect(proxy));
    fleet.run_until(START + RECONNECT + REPORT_DELAY);
    let report = json!({"@type": "LOAD", "locality": ZONES[1], "endpoint": name(1, 0), "total": 1, "errors": 1,
        "interval": 500.0});
    let decoder = Decoder::new(&read_config(&settings(GATES)).unwrap());
    let message = decoder.decode(report.to_string().as_bytes(), |_| None).unwrap();
    fleet.driven.governor.collector_message(fleet.driven.now, message);
    fleet.run_until(START + RECONNECT + GATES.drain_grace + GRACE_SLACK);
    let users = fleet.users(0);
    assert!(users.iter().all(|proxy| usize::from(*proxy) % ZONES.len() != 1), "{users:?}");
    assert_eq!(users.len(), 12, "nothing was reported of the other zones");
}

/// Guards against a fleet whose tables are all replaced at once, so that the channel is full and a drain is late.
#[test]
fn a_large_fleet_that_returns_at_once_leaves_room_for_a_drain() {
    let mut fleet = Fleet::new(LARGE);
    fleet.run_until(START + RETURN);
    (0..LARGE.proxies).for_each(|proxy| fleet.connect(proxy));
    fleet.run_until(START + RETURN + Duration::from_secs(1));
    let rows =
        ZONES.iter().enumerate().map(|(zone, of)| replica_of_zone(&name(zone, 1), "draining", of, None));
    fleet.driven.send_list(false, &rows.collect::<Vec<_>>());
    let told_at = fleet.driven.now;
    fleet.run_until(START + RETURN + LARGE.drain_grace + GRACE_SLACK);
    assert_eq!(fleet.users(0), [0; 0], "gone before the restart");
    fleet.run_until(told_at + LARGE.drain_grace + GRACE_SLACK);
    assert_eq!(fleet.users(1), [0; 0], "draining");
    let queued = fleet.channel.max_queued();
    assert!(queued <= LARGE.max_queued_entries, "{queued} entries waited");
}

/// Guards against a restart that costs each proxy a table: the proxies of the governor's previous process reconnect at once,
/// and still avoid what it told them to avoid.
#[test]
fn proxies_that_reconnect_right_after_a_restart_keep_their_tables() {
    let mut fleet = Fleet::new(LARGE);
    fleet.run_until(START + RECONNECT);
    (0..LARGE.proxies).for_each(|proxy| fleet.connect(proxy));
    fleet.run_until(START + RETURN);
    assert_eq!(fleet.driven.sent.len(), 0);
}
