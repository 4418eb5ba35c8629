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
const GROUPS: usize = 3;

fn ms(at: u64) -> Duration {
    Duration::from_millis(100_000 + at)
}

fn list() -> Vec<RosterEntry> {
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
type Held = BTreeMap<usize, (u64, Digest)>;

struct Run {
    engine: Engine,
    held: Held,
    numbers: BTreeMap<u16, usize>,
    lines: usize,
    messages: usize,
    /// Entries sent in the first three seconds.
    soon: usize,
    began: u64,
    first: Option<u64>,
    last: u64,
}

impl Run {
    fn new(relays: usize, now: u64) -> Run {
        let mut setup = EngineSettings::example(GROUPS);
        setup.governor.proxy_count = relays as u64;
        setup.max_report_entries_per_second = 20_000.0;
        setup.governor.entries_per_second = 20_000.0;
        setup.governor.max_queued_entries = 400_000.0;
        let engine = Engine::new(setup, ms(now));
        Run {
            engine,
            held: Held::new(),
            numbers: BTreeMap::new(),
            lines: 0,
            messages: 0,
            soon: 0,
            began: now,
            first: None,
            last: now,
        }
    }

    fn join(&mut self, now: u64, relay: usize, epoch: u64) {
        let standing = (0..REPLICAS).filter(|n| n % 3 == relay % 3).skip(relay % 5).take(8);
        let proven = self.held.get(&relay).map(|(version, _)| (epoch, *version));
        let join = JoinRequest {
            name: format!("p{relay}").into(),
            zone: relay % 3,
            requests_per_second: 5.0,
            default_table: standing.map(|n| (format!("r{n:02}").into(), 1.0)).collect(),
            holds_governor_tables: proven.is_some(),
            ownership_proof: proven.map(|_| "a proof".into()),
            proven_version: proven,
        };
        let joined =
            self.engine.proxy_connected(ms(now), relay as u64, &join).expect("capacity for all proxies");
        self.numbers.insert(joined.proxy, relay);
    }

    /// Acts as a host whose proxies accept everything at once and are sent only the differences from what
    /// they hold.
    fn pump(&mut self, now: u64) {
        while let Some(step) = self.engine.next_action(ms(now)) {
            let Action::Flush(number) = step else { continue };
            let relay = self.numbers[&number];
            let newest =
                self.engine.history().newest(number).map(|one| (one.version, one.digest, one.state.clone()));
            let Some((version, digest, whole)) = newest else {
                self.engine.tables_sent(ms(now), number, 0, 0);
                continue;
            };
            let known = self.held.get(&relay).is_some_and(|(_, held)| *held == digest);
            let has_word =
                self.engine.proxy(number).is_some_and(wrenthread_core::fleet::Proxy::has_known_tables);
            let lines = if known || !has_word { 0 } else { PublishedState::entry_count(&whole) };
            if lines > 0 {
                self.held.insert(relay, (version, digest));
                (self.lines, self.messages, self.last) = (self.lines + lines, self.messages + 1, now);
                self.first.get_or_insert(now);
                if now < self.began + 3000 {
                    self.soon += lines;
                }
            }
            self.engine.tables_sent(ms(now), number, lines, usize::from(lines > 0));
            self.engine.version_acknowledged(ms(now), relay as u64, version);
        }
    }

    /// The observations of all proxies in one second, with one replica that fails all requests.
    fn report(&mut self, now: u64, relays: usize) {
        for relay in 0..relays {
            let met = (0..REPLICAS).filter(|n| n % 3 == relay % 3).skip(relay % 5).take(8).map(|n| {
                ReplicaObservation {
                    class: 0,
                    replica: format!("r{n:02}").into(),
                    issued: 4,
                    in_flight: 0,
                    succeeded: if n == 4 { 0 } else { 4 },
                    failed: if n == 4 { 4 } else { 0 },
                    // Differs each time, as an identical report is discarded as a copy.
                    answers: if n == 4 {
                        (Duration::ZERO, 0)
                    } else {
                        (Duration::from_micros(80_000 + now), 4)
                    },
                    load: vec![0.0],
                }
            });
            let report = LoadReport {
                interval: Duration::from_secs(1),
                observations: met.collect(),
                rejected: Vec::new(),
            };
            let _ = self.engine.record_report(ms(now), &format!("p{relay}"), relay as u64, &report);
        }
    }
}

fn main() {
    for relays in [24, 200, 1000] {
        let mut before = Run::new(relays, 0);
        before.engine.update_roster(ms(0), list());
        (0..relays).for_each(|relay| before.join(10, relay, 1));
        for now in (20..20_000).step_by(20) {
            if now % 1000 == 0 {
                before.report(now, relays);
            }
            if now == 15_000 {
                let (what, why) = (OverrideKind::Weight(0.5), "half of its cores failed");
                before
                    .engine
                    .override_replica(ms(now), &"r07".into(), what, ms(900_000), why)
                    .expect("a listed replica");
            }
            before.pump(now);
        }
        let groups: Vec<String> = (0..GROUPS).map(|group| format!("g{group}")).collect();
        let names = StoredItem::Names {
            governor: "g".into(),
            zones: ["a", "b", "c"].map(String::from).into(),
            groups: groups.clone(),
        };
        let took = |before_known: &StoredItems| {
            let began = Instant::now();
            let known = before.engine.stored_items(ms(20_000), before_known, 1000.0, 1, &groups);
            let changed: usize = snapshot::changes(before_known, &known)
                .into_iter()
                .map(|(_, item)| item.map_or(0, |item| snapshot::encode(item).len()))
                .sum();
            (began.elapsed().as_secs_f64() * 1e3, changed, known)
        };
        let (whole_ms, whole_bytes, mut known) = took(&StoredItems::new());
        let (again_ms, again_bytes, _) = took(&known);
        known.insert(snapshot::NAMES.into(), std::sync::Arc::new(names.clone()));
        known.insert(snapshot::ALIVE.into(), std::sync::Arc::new(StoredItem::Alive { at: 1000.0 }));
        let withdrawn = before.engine.is_ejected(&"r04".into());
        for age in [None, Some(1.0), Some(600.0), Some(36_000.0)] {
            let mut after = Run::new(relays, 20_500);
            if let Some(age) = age {
                let (recalled, unfit) = snapshot::recall(known.clone(), 1000.0 + age, &names);
                assert!(unfit.is_empty());
                after.engine.restore(ms(20_500), recalled);
            }
            after.held = before.held.clone();
            after.engine.update_roster(ms(20_500), list());
            // The proxies reconnect spread over half a second.
            let mut left: BTreeSet<usize> = (0..relays).collect();
            let mut out = None;
            for now in (20_500..50_500).step_by(20) {
                let due = (relays as f64 * f64::min((now - 20_500) as f64 / 500.0, 1.0)) as usize;
                let come: Vec<usize> = left.iter().copied().take_while(|relay| *relay < due).collect();
                for relay in come {
                    left.remove(&relay);
                    after.join(now, relay, 1);
                }
                if now % 1000 == 0 {
                    after.report(now, relays);
                }
                after.pump(now);
                if out.is_none() && after.engine.is_ejected(&"r04".into()) {
                    out = Some(now - 20_500);
                }
            }
            let known = age.map_or("no stored state".to_string(), |age| format!("state {age} s old"));
            println!(
                "{relays} proxies, {known}: first update {:?} ms, last {} ms, {} entries in 3 s, {} in 30 s, \
                 {} messages; faulty replica ejected again after {out:?} ms",
                after.first.map(|first| first - 20_500),
                after.last - 20_500,
                after.soon,
                after.lines,
                after.messages,
            );
        }
        println!(
            "{relays} proxies: complete state {whole_ms:.1} ms and {whole_bytes} bytes; no changes {again_ms:.2} ms \
             and {again_bytes} bytes; faulty replica ejected before the restart: {withdrawn}"
        );
    }
}
