//! Measures a governor's restart with and without stored state, in one run: the time until its first update
//! and until the fleet is settled, the amount of data sent, and the cost of storing the state.
//!
//! Run: `cargo bench -p wrenthread-core --bench restart`

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a benchmark may end by panicking, and reads top-down"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wrenthread::types::Phase;
use wrenthread_core::engine::{Action, Engine, EngineSettings};
use wrenthread_core::fleet::JoinRequest;
use wrenthread_core::overrides::OverrideKind;
use wrenthread_core::reports::{LoadReport, ReplicaObservation};
use wrenthread_core::roster::RosterEntry;
use wrenthread_core::snapshot::{self, StoredItem, StoredItems};
use wrenthread_core::table_versions::{Digest, PublishedState};

const REPLICAS: usize = 48;
const CLASSES: usize = 3;

fn ms(at: u64) -> Duration {
    Duration::from_millis(100_000 + at)
}

fn replica_roster() -> Vec<RosterEntry> {
    let entry = |n: usize| RosterEntry {
        id: format!("r{n:02}").into(),
        address: format!("10.0.0.{n}:80").into(),
        zone: n % 3,
        weight: 1.0,
        phase: Phase::Ready,
        started_at: None,
        backup: false,
    };
    (0..REPLICAS).map(entry).collect()
}

/// By proxy: the version that it holds and its digest.
type HeldVersions = BTreeMap<usize, (u64, Digest)>;

struct Run {
    engine: Engine,
    held: HeldVersions,
    by_id: BTreeMap<u16, usize>,
    entries: usize,
    messages: usize,
    /// Entries sent in the first three seconds.
    entries_within_3_s: usize,
    started_at: u64,
    first: Option<u64>,
    last: u64,
}

impl Run {
    fn new(proxy_count: usize, now: u64) -> Run {
        let mut settings = EngineSettings::example(CLASSES);
        settings.governor.proxy_count = proxy_count as u64;
        settings.max_report_entries_per_second = 20_000.0;
        settings.governor.entries_per_second = 20_000.0;
        settings.governor.max_queued_entries = 400_000.0;
        let engine = Engine::new(settings, ms(now));
        Run {
            engine,
            held: HeldVersions::new(),
            by_id: BTreeMap::new(),
            entries: 0,
            messages: 0,
            entries_within_3_s: 0,
            started_at: now,
            first: None,
            last: now,
        }
    }

    fn join(&mut self, now: u64, proxy: usize, epoch: u64) {
        let default_table = (0..REPLICAS).filter(|n| n % 3 == proxy % 3).skip(proxy % 5).take(8);
        let proven = self.held.get(&proxy).map(|(version, _)| (epoch, *version));
        let join = JoinRequest {
            name: format!("p{proxy}").into(),
            zone: proxy % 3,
            requests_per_second: 5.0,
            default_table: default_table.map(|n| (format!("r{n:02}").into(), 1.0)).collect(),
            holds_governor_tables: proven.is_some(),
            ownership_proof: proven.map(|_| "a proof".into()),
            proven_version: proven,
        };
        let joined =
            self.engine.proxy_connected(ms(now), proxy as u64, &join).expect("capacity for all proxies");
        self.by_id.insert(joined.proxy, proxy);
    }

    /// Acts as a host whose proxies accept everything at once and are sent only the differences from what
    /// they hold.
    fn run_actions(&mut self, now: u64) {
        while let Some(action) = self.engine.next_action(ms(now)) {
            let Action::Flush(id) = action else { continue };
            let proxy = self.by_id[&id];
            let newest = self
                .engine
                .history()
                .newest(id)
                .map(|entry| (entry.version, entry.digest, entry.state.clone()));
            let Some((version, digest, published)) = newest else {
                self.engine.tables_sent(ms(now), id, 0, 0);
                continue;
            };
            let known = self.held.get(&proxy).is_some_and(|(_, held)| *held == digest);
            let has_known_tables =
                self.engine.proxy(id).is_some_and(wrenthread_core::fleet::Proxy::has_known_tables);
            let entries =
                if known || !has_known_tables { 0 } else { PublishedState::entry_count(&published) };
            if entries > 0 {
                self.held.insert(proxy, (version, digest));
                (self.entries, self.messages, self.last) = (self.entries + entries, self.messages + 1, now);
                self.first.get_or_insert(now);
                if now < self.started_at + 3000 {
                    self.entries_within_3_s += entries;
                }
            }
            self.engine.tables_sent(ms(now), id, entries, usize::from(entries > 0));
            self.engine.version_acknowledged(proxy as u64, version);
        }
    }

    /// The observations of all proxies in one second, with one replica that fails all requests.
    fn report(&mut self, now: u64, proxy_count: usize) {
        for proxy in 0..proxy_count {
            let observations =
                (0..REPLICAS).filter(|n| n % 3 == proxy % 3).skip(proxy % 5).take(8).map(|n| {
                    ReplicaObservation {
                        class: 0,
                        replica: format!("r{n:02}").into(),
                        issued: 4,
                        in_flight: 0,
                        succeeded: if n == 4 { 0 } else { 4 },
                        failed: if n == 4 { 4 } else { 0 },
                        // Differs each time, as an identical report is discarded as a copy.
                        latency_sum_and_count: if n == 4 {
                            (Duration::ZERO, 0)
                        } else {
                            (Duration::from_micros(80_000 + now), 4)
                        },
                        load: vec![0.0],
                    }
                });
            let report = LoadReport {
                interval: Duration::from_secs(1),
                observations: observations.collect(),
                rejected: Vec::new(),
            };
            let _ = self.engine.record_report(ms(now), &format!("p{proxy}"), proxy as u64, &report);
        }
    }
}

fn main() {
    for proxy_count in [24, 200, 1000] {
        let mut before = Run::new(proxy_count, 0);
        before.engine.update_roster(ms(0), replica_roster());
        (0..proxy_count).for_each(|proxy| before.join(10, proxy, 1));
        for now in (20..20_000).step_by(20) {
            if now % 1000 == 0 {
                before.report(now, proxy_count);
            }
            if now == 15_000 {
                let (what, why) = (OverrideKind::Weight(0.5), "half of its cores failed");
                before
                    .engine
                    .override_replica(ms(now), &"r07".into(), what, ms(900_000), why)
                    .expect("a listed replica");
            }
            before.run_actions(now);
        }
        let classes: Vec<String> = (0..CLASSES).map(|class_index| format!("g{class_index}")).collect();
        let names = StoredItem::Names {
            governor: "g".into(),
            zones: ["a", "b", "c"].map(String::from).into(),
            groups: classes.clone(),
        };
        let store = |before_known: &StoredItems| {
            let started_at = Instant::now();
            let known = before.engine.stored_items(ms(20_000), before_known, 1000.0, 1, &classes);
            let changed: usize = snapshot::changes(before_known, &known)
                .into_iter()
                .map(|(_, item)| item.map_or(0, |item| snapshot::encode(item).len()))
                .sum();
            (started_at.elapsed().as_secs_f64() * 1e3, changed, known)
        };
        let (complete_ms, complete_bytes, mut known) = store(&StoredItems::new());
        let (unchanged_ms, unchanged_bytes, _) = store(&known);
        known.insert(snapshot::NAMES_ITEM.into(), std::sync::Arc::new(names.clone()));
        known.insert(snapshot::ALIVE_ITEM.into(), std::sync::Arc::new(StoredItem::Alive { at: 1000.0 }));
        let ejected_before = before.engine.is_ejected(&"r04".into());
        for age in [None, Some(1.0), Some(600.0), Some(36_000.0)] {
            let mut after = Run::new(proxy_count, 20_500);
            if let Some(age) = age {
                let (restored, rejected) = snapshot::restore(known.clone(), 1000.0 + age, &names);
                assert!(rejected.is_empty());
                after.engine.restore(ms(20_500), restored);
            }
            after.held = before.held.clone();
            after.engine.update_roster(ms(20_500), replica_roster());
            // The proxies reconnect spread over half a second.
            let mut remaining: BTreeSet<usize> = (0..proxy_count).collect();
            let mut ejected_after_ms = None;
            for now in (20_500..50_500).step_by(20) {
                let due = (proxy_count as f64 * f64::min((now - 20_500) as f64 / 500.0, 1.0)) as usize;
                let joining: Vec<usize> =
                    remaining.iter().copied().take_while(|proxy| *proxy < due).collect();
                for proxy in joining {
                    remaining.remove(&proxy);
                    after.join(now, proxy, 1);
                }
                if now % 1000 == 0 {
                    after.report(now, proxy_count);
                }
                after.run_actions(now);
                if ejected_after_ms.is_none() && after.engine.is_ejected(&"r04".into()) {
                    ejected_after_ms = Some(now - 20_500);
                }
            }
            let known = age.map_or("no stored state".to_string(), |age| format!("state {age} s old"));
            println!(
                "{proxy_count} proxies, {known}: first update {:?} ms, last {} ms, {} entries in 3 s, {} in 30 s, \
                 {} messages; faulty replica ejected again after {ejected_after_ms:?} ms",
                after.first.map(|first| first - 20_500),
                after.last - 20_500,
                after.entries_within_3_s,
                after.entries,
                after.messages,
            );
        }
        println!(
            "{proxy_count} proxies: complete state {complete_ms:.1} ms and {complete_bytes} bytes; no changes {unchanged_ms:.2} ms \
             and {unchanged_bytes} bytes; faulty replica ejected before the restart: {ejected_before}"
        );
    }
}
