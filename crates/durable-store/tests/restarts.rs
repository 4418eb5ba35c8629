//! Crash recovery of a governor's engine: its disk crashes at each call in turn, and the next run starts from the remaining
//! files. The restarted engine must not break the rules for routing tables.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::Phase;
use wrenthread_core::engine::{Action, Engine, EngineSettings};
use wrenthread_core::fleet::JoinRequest;
use wrenthread_core::overrides::OverrideKind;
use wrenthread_core::roster::RosterEntry;
use wrenthread_core::snapshot::{self, StoredItem, StoredItems};
use wrenthread_durable_store::disk::{Fault, MemoryDisk, Unsynced};
use wrenthread_durable_store::{Change, Store, reserve_epoch};

const REPLICAS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const PROXIES: usize = 4;

fn ms(at: u64) -> Duration {
    Duration::from_millis(100_000 + at)
}

fn list(draining: Option<&str>, anew: Option<Duration>) -> Vec<RosterEntry> {
    let entry = |id: &&str| RosterEntry {
        id: (*id).into(),
        address: format!("{id}:1").into(),
        zone: 0,
        weight: 1.0,
        phase: if draining == Some(*id) { Phase::Draining } else { Phase::Ready },
        started_at: anew.filter(|_| *id == "f"),
        backup: false,
    };
    REPLICAS.iter().map(entry).collect()
}

fn names() -> StoredItem {
    StoredItem::Names {
        governor: "g".into(),
        zones: vec!["z".into()],
        groups: vec!["one".into(), "other".into()],
    }
}

/// The tables that each proxy has: the epoch of the run that sent them, and their version.
type MemoryFile = [Option<(u64, u64)>; PROXIES];

struct Run {
    engine: Engine,
    epoch: u64,
    store: Store<MemoryDisk>,
    before: StoredItems,
}

impl Run {
    fn start(disk: &MemoryDisk, calendar: f64, chance: u16) -> Run {
        let epoch = reserve_epoch(&mut disk.clone(), (calendar * 1e6) as u64, chance).epoch;
        let (store, found) = Store::open(disk.clone()).expect("the folder can be listed");
        let known: StoredItems = found
            .entries
            .iter()
            .filter_map(|(name, bytes)| Some((name.clone(), Arc::new(snapshot::decode(bytes)?))))
            .collect();
        let mut setup = EngineSettings::example(2);
        setup.governor.proxy_count = PROXIES as u64;
        let mut engine = Engine::new(setup, ms(0));
        engine.restore(ms(0), snapshot::recall(known.clone(), calendar, &names()).0);
        Run { engine, epoch, store, before: known }
    }

    fn store(&mut self, now: u64, calendar: f64) -> bool {
        let groups = ["one".to_string(), "other".to_string()];
        let mut known = self.engine.stored_items(ms(now), &self.before, calendar, self.epoch, &groups);
        known.insert(snapshot::NAMES.into(), Arc::new(names()));
        known.insert(snapshot::ALIVE.into(), Arc::new(StoredItem::Alive { at: calendar }));
        let changes: Vec<Change> = snapshot::changes(&self.before, &known)
            .into_iter()
            .map(|(name, item)| Change { name, content: item.map(snapshot::encode) })
            .collect();
        self.before = known;
        self.store.write(&changes).is_ok()
    }

    fn join(&mut self, now: u64, held: &MemoryFile) {
        for (place, held) in held.iter().enumerate() {
            // The draining replica `b` is left out: a default table with it would be replaced at once.
            let drawn = REPLICAS.into_iter().filter(|id| place < 2 && *id != "b");
            let standing = drawn.map(|id| (id.into(), 1.0)).collect();
            let join = JoinRequest {
                name: format!("p{place}").into(),
                zone: 0,
                requests_per_second: 10.0,
                default_table: standing,
                holds_governor_tables: held.is_some(),
                ownership_proof: held.map(|_| "a word".into()),
                proven_version: *held,
            };
            self.engine
                .proxy_connected(ms(now), place as u64, &join)
                .expect("the fleet has room for the proxy");
        }
    }

    /// Delivers all pending tables to proxies that acknowledge at once, and asserts the rules on all current tables.
    fn pump(&mut self, now: u64, held: &mut MemoryFile, draining: Option<&str>) {
        while let Some(step) = self.engine.next_action(ms(now)) {
            let Action::Flush(number) = step else { continue };
            let proxy = self.engine.proxy(number).expect("the proxy is connected");
            let (stream, newest) = (proxy.stream, proxy.newest());
            held[stream as usize] = Some((self.epoch, newest));
            self.engine.tables_sent(ms(now), number, 6, 1);
            self.engine.version_acknowledged(ms(now), stream, newest);
        }
        let mut on_cold = 0.0;
        for (_, proxy) in self.engine.fleet().iter() {
            for kept in proxy.tables.iter().flatten() {
                let open: Vec<_> = kept.table.entries.iter().filter(|line| line.routable).collect();
                assert!(!open.is_empty(), "{now}: the table of `{}` has no routable replica", proxy.name);
                assert!(
                    open.iter().all(|line| Some(&*line.replica) != draining),
                    "{now}: a table routes to the draining replica"
                );
                assert!((0.0..=1.0).contains(&kept.table.admission_fraction));
                let all: f64 = open.iter().map(|line| line.weight).sum();
                let cold = open.iter().filter(|line| &*line.replica == "f");
                on_cold += 5.0 * cold.map(|line| line.weight).sum::<f64>() / all;
            }
        }
        // The proxies send 40 requests per second in all. A replica that was restarted may get at most about twice
        // its share of them; warm replicas are not checked.
        if self.engine.known_roster().get(&"f".into()).is_some_and(|f| f.started_at == Some(ms(900))) {
            assert!(
                on_cold < 2.5 * 40.0 * 0.3 / 4.3,
                "{now}: {on_cold} requests per second on the restarted replica"
            );
        }
    }
}

/// Runs a governor that connects proxies, gets an override and a drain, and stores its state until its disk crashes.
fn first_run(disk: &MemoryDisk) -> (MemoryFile, u64) {
    let mut run = Run::start(disk, 1000.0, 1);
    let mut held: MemoryFile = [None; PROXIES];
    run.engine.update_roster(ms(0), list(None, None));
    run.join(1, &held);
    for now in (50..1500).step_by(50) {
        if now == 300 {
            let (what, why) = (OverrideKind::Exclude, "its disk is full");
            run.engine
                .override_replica(ms(now), &"a".into(), what, ms(60_000), why)
                .expect("the replica is in the roster");
        }
        if now == 600 {
            run.engine.update_roster(ms(now), list(Some("b"), None));
        }
        run.pump(now, &mut held, (now >= 600).then_some("b"));
        if now % 100 == 0 && !run.store(now, 1000.0 + now as f64 / 1000.0) {
            break;
        }
    }
    (held, run.epoch)
}

#[test]
fn a_restart_after_a_crash_at_any_call_keeps_the_rules() {
    let quiet = MemoryDisk::default();
    first_run(&quiet);
    let (mut starts, mut resumed) = (0, 0);
    for call in 0..quiet.calls() {
        for unsynced in [
            Unsynced::Lost,
            Unsynced::Kept,
            Unsynced::FirstHalfKept,
            Unsynced::LastHalfKept,
            Unsynced::NamesLost,
        ] {
            let disk = MemoryDisk::default();
            disk.fault(call, Fault::Crash);
            let (mut held, epoch) = first_run(&disk);
            let mut run = Run::start(&disk.after_crash(unsynced), 1002.0, 2);
            assert_ne!(run.epoch, epoch, "call {call}, {unsynced:?}: two runs have the same epoch");
            // By now `b` is draining, and `f` was restarted under the same name while the governor was down.
            run.engine.update_roster(ms(0), list(Some("b"), Some(ms(900))));
            run.join(1, &held);
            resumed += run.engine.fleet().iter().filter(|(_, proxy)| proxy.holds_default_table).count();
            for now in (10..3000).step_by(60) {
                run.pump(now, &mut held, Some("b"));
            }
            assert!(run.store(3000, 1005.0), "call {call}, {unsynced:?}: the state could not be stored");
            starts += 1;
        }
    }
    assert!(starts > 150 && resumed > starts / 2, "{starts} restarts, {resumed} proxies resumed");
}
