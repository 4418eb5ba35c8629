//! Rolling deploys with many proxies at one governor, over a channel that the ejections of draining replicas nearly fill.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod driven;

use std::collections::BTreeMap;
use std::time::Duration;

use driven::channel::{Channel, ChannelRate};
use driven::holdings::Holdings;
use driven::{DrivenGovernor, START, STEP, read_config, replica_of_zone};
use serde_json::{Value, json};
use wrenthread::types::{DemandStatistics, ProxyId, ReplicaStatistics};
use wrenthread_platform_protocol::decode::Message;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const REPLICAS: usize = 32;
/// The part of the replicas that a deploy replaces, and the time in which it does.
const REPLACED: usize = 30;
const DEPLOY: Duration = Duration::from_secs(25);
/// How long a replica drains before it is gone and its successor is listed.
const DRAINING: Duration = Duration::from_secs(4);
/// How long the fleet runs before each deploy, and after the last.
const BETWEEN_DEPLOYS: Duration = Duration::from_secs(20);
const DEPLOYS: usize = 2;
const REQUESTS_PER_SECOND: f64 = 150.0;
const MEAN_LATENCY: Duration = Duration::from_millis(300);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const MESSAGE_OVERHEAD: f64 = 10.0;
const TRANSIT_DELAY: Duration = Duration::from_millis(490);
/// How long a proxy may have no replica to send to while a warm one is listed, with the protocol's allowance on sockets.
const UNSERVED_LIMIT: Duration = Duration::from_millis(5200 + 300);
/// How long a proxy may send to a draining replica, with the same allowance.
const DRAIN_LIMIT: Duration = Duration::from_millis(4000 + 300);

/// The order in which a deploy replaces replicas.
#[derive(Clone, Copy, PartialEq)]
enum DeployOrder {
    /// One of each zone after another.
    AcrossZones,
    ZoneByZone,
}

/// How many proxies a governor has, and over what channel.
#[derive(Clone, Copy)]
struct Scale {
    proxies: u16,
    entries_per_second: f64,
}

impl Scale {
    /// Two seconds of the channel.
    fn max_queued_entries(self) -> f64 {
        2.0 * self.entries_per_second
    }
}

fn settings(scale: Scale) -> Value {
    let class = |name: &str, effect: &str| json!({"name": name, "deadline_us": 5_000_000, "effect": effect, "objective_us": 1_500_000});
    json!({
        "categories": [class("match", "retryable"), class("count", "retryable"), class("charge", "fragile")],
        "extra": {"agents": scale.proxies, "bootstrap": 12, "channel_rate": scale.entries_per_second, "cycle_us": 500_000,
            "ejects": 3, "level_kind": "ratio", "most_waiting": scale.max_queued_entries(), "per_message": MESSAGE_OVERHEAD,
            "retry_default": 0, "worst_transit_us": 1_225_000, "update_cap": 30, "messages_over_us": 10_000_000},
        "rules": {"cold_from": 0.22, "warm_after_us": 18_000_000}, "siblings": 1, "zones": ZONES,
    })
}

/// A proxy with its share of the requests.
struct Proxy {
    zone: usize,
    requests_per_second: f64,
    holdings: Holdings,
    /// Since when it has had no replica to send to.
    unserved_since: Option<Duration>,
}

struct Fleet {
    driven: DrivenGovernor,
    channel: Channel,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// Names of the replicas that are listed as up, by their zone.
    replicas: BTreeMap<String, usize>,
    report_at: Duration,
    /// Requests that are not reported yet, as statistics count whole ones.
    unreported_demand: BTreeMap<ProxyId, f64>,
    unreported_attempts: BTreeMap<(String, usize), f64>,
    longest_unserved: Duration,
    /// Replicas that some proxy may still use, and since when the governor knows that they drain.
    drains: BTreeMap<String, Duration>,
    longest_drain: Duration,
}

impl Fleet {
    fn new(scale: Scale) -> Self {
        let mut driven = DrivenGovernor::new(&read_config(&settings(scale)).unwrap());
        driven.acknowledges = false;
        let replicas: BTreeMap<String, usize> =
            (0..REPLICAS).map(|number| (format!("s{number:02}"), number % ZONES.len())).collect();
        let rows: Vec<Value> =
            replicas.iter().map(|(name, zone)| replica_of_zone(name, "up", ZONES[*zone], None)).collect();
        driven.send_list(true, &rows);
        let channel_rate = ChannelRate {
            entries_per_second: scale.entries_per_second,
            message_overhead: MESSAGE_OVERHEAD,
            transit_delay: TRANSIT_DELAY,
        };
        let mut fleet = Fleet {
            drains: BTreeMap::new(),
            longest_drain: Duration::ZERO,
            channel: Channel::new(channel_rate, START),
            driven,
            proxies: BTreeMap::new(),
            replicas,
            report_at: START + REPORT_INTERVAL,
            unreported_demand: BTreeMap::new(),
            unreported_attempts: BTreeMap::new(),
            longest_unserved: Duration::ZERO,
        };
        (0..scale.proxies).for_each(|proxy| fleet.join(proxy, scale.proxies));
        fleet
    }

    /// A few proxies receive many times the requests of most others.
    fn join(&mut self, proxy: ProxyId, proxies: u16) {
        let zone = usize::from(proxy) % ZONES.len();
        let rank = f64::from(proxy + 1) / f64::from(proxies);
        let requests_per_second = REQUESTS_PER_SECOND / f64::from(proxies) * 0.5 / rank.sqrt();
        self.driven.connect_in_zone(proxy, zone, requests_per_second, true);
        let in_zone = self.replicas.iter().filter(|(_, of)| **of == zone).map(|(name, _)| name.clone());
        let holdings = Holdings::with_table(in_zone);
        self.proxies.insert(proxy, Proxy { zone, requests_per_second, holdings, unserved_since: None });
    }

    fn run_until(&mut self, end: Duration) {
        while self.driven.now < end {
            self.driven.now += STEP;
            self.report();
            self.driven.advance();
            self.channel.enqueue(self.driven.now, &self.driven.sent);
            self.deliver();
            self.check_served();
            self.check_drains();
        }
    }

    fn deliver(&mut self) {
        while let Some((index, arrived_at)) = self.channel.next_arrival(self.driven.now) {
            let message = &self.driven.sent[index];
            let (proxy, latency) = (message.proxy, arrived_at - message.at);
            self.proxies.get_mut(&proxy).unwrap().holdings.apply(message);
            if let Some(nonce) = message.nonce() {
                self.driven.acknowledge(proxy, nonce, latency);
            }
        }
    }

    fn check_served(&mut self) {
        let now = self.driven.now;
        for proxy in self.proxies.values_mut() {
            if proxy.holdings.usable_replicas().next().is_some() {
                proxy.unserved_since = None;
                continue;
            }
            let since = *proxy.unserved_since.get_or_insert(now);
            self.longest_unserved = self.longest_unserved.max(now - since);
        }
    }

    fn check_drains(&mut self) {
        let now = self.driven.now;
        let in_use = |name: &String| self.proxies.values().any(|proxy| proxy.holdings.may_use(name));
        self.drains.retain(|name, since| {
            self.longest_drain = self.longest_drain.max(now - *since);
            in_use(name)
        });
    }

    /// Reports what the proxies sent to which replicas since the last report; all of it succeeded.
    fn report(&mut self) {
        if self.driven.now < self.report_at {
            return;
        }
        self.report_at += REPORT_INTERVAL;
        for (id, proxy) in &self.proxies {
            let requests = proxy.requests_per_second * REPORT_INTERVAL.as_secs_f64();
            *self.unreported_demand.entry(*id).or_default() += requests;
            let replicas: Vec<&String> = proxy.holdings.usable_replicas().collect();
            for replica in &replicas {
                let attempts = self.unreported_attempts.entry(((*replica).clone(), proxy.zone)).or_default();
                *attempts += requests / replicas.len() as f64;
            }
        }
        for (&proxy, unreported) in &mut self.unreported_demand {
            let requests = take_whole(unreported);
            if requests > 0 {
                let demand =
                    DemandStatistics { proxy, class: 0, requests, failed: 0, interval: REPORT_INTERVAL };
                self.driven.governor.collector_message(self.driven.now, Message::DemandStatistics(demand));
            }
        }
        for ((replica, zone), unreported) in &mut self.unreported_attempts {
            let attempts = take_whole(unreported);
            if attempts > 0 {
                let statistics = ReplicaStatistics {
                    zone: *zone,
                    replica: replica.as_str().into(),
                    attempts,
                    failed: 0,
                    mean_latency: Some(MEAN_LATENCY),
                    interval: REPORT_INTERVAL,
                    load: Vec::new(),
                };
                self.driven
                    .governor
                    .collector_message(self.driven.now, Message::ReplicaStatistics(statistics));
            }
        }
    }

    /// Replaces replicas one after another, each by one with a new name.
    fn deploy(&mut self, number: usize, order: DeployOrder) {
        let began = self.driven.now;
        let mut replaced: Vec<(String, usize)> = self.replicas.clone().into_iter().take(REPLACED).collect();
        if order == DeployOrder::ZoneByZone {
            replaced.sort_by_key(|(_, zone)| *zone);
        }
        let mut events: BTreeMap<Duration, Vec<Value>> = BTreeMap::new();
        let mut drains: BTreeMap<Duration, String> = BTreeMap::new();
        for (index, (name, zone)) in replaced.into_iter().enumerate() {
            let drains_at = began + DEPLOY * index as u32 / REPLACED as u32;
            events.entry(drains_at).or_default().push(replica_of_zone(&name, "draining", ZONES[zone], None));
            drains.insert(drains_at, name.clone());
            let gone_at = drains_at + DRAINING;
            let successor = format!("t{number}-{index:02}");
            events.entry(gone_at).or_default().extend([
                replica_of_zone(&name, "removed", ZONES[zone], None),
                replica_of_zone(&successor, "up", ZONES[zone], Some(gone_at)),
            ]);
            self.replicas.remove(&name);
            self.replicas.insert(successor, zone);
        }
        for (at, rows) in events {
            self.run_until(at);
            self.driven.send_list(false, &rows);
            if let Some(name) = drains.remove(&at) {
                self.drains.insert(name, self.driven.now);
            }
        }
    }
}

/// Takes the whole part of a count.
fn take_whole(count: &mut f64) -> u64 {
    let whole = count.floor();
    *count -= whole;
    whole as u64
}

fn run_deploys(scale: Scale, order: DeployOrder) -> Fleet {
    let mut fleet = Fleet::new(scale);
    for number in 0..DEPLOYS {
        fleet.run_until(fleet.driven.now + BETWEEN_DEPLOYS);
        fleet.deploy(number, order);
    }
    fleet.run_until(fleet.driven.now + BETWEEN_DEPLOYS);
    let queued = fleet.channel.max_queued();
    assert!(queued <= scale.max_queued_entries(), "{queued} entries waited");
    fleet
}

/// Guards against tables of proxies without a replica that wait behind the ejections of a deploy.
#[test]
fn no_proxy_is_left_without_a_replica_during_rolling_deploys() {
    let scale = Scale { proxies: 725, entries_per_second: 10_000.0 };
    let longest = run_deploys(scale, DeployOrder::AcrossZones).longest_unserved;
    assert!(longest <= UNSERVED_LIMIT, "a proxy had no replica to send to for {longest:?}");
}

/// The same for proxies on default tables, which lose all replicas of a zone.
#[test]
fn no_proxy_is_left_without_a_replica_by_a_deploy_zone_by_zone() {
    let scale = Scale { proxies: 725, entries_per_second: 10_000.0 };
    let longest = run_deploys(scale, DeployOrder::ZoneByZone).longest_unserved;
    assert!(longest <= UNSERVED_LIMIT, "a proxy had no replica to send to for {longest:?}");
}

/// Guards against drains that wait since the channel is believed to be fuller than it is.
#[test]
fn drains_are_kept_during_rolling_deploys() {
    let scale = Scale { proxies: 660, entries_per_second: 11_000.0 };
    for order in [DeployOrder::AcrossZones, DeployOrder::ZoneByZone] {
        let longest = run_deploys(scale, order).longest_drain;
        assert!(longest <= DRAIN_LIMIT, "proxies could send to a draining replica for {longest:?}");
    }
}
