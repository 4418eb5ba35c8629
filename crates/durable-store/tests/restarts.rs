//! Crash recovery of a governor's engine: its disk crashes at each call in turn, and the next run starts from the
//! remaining files. The restarted engine must not break the rules for routing tables.

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

fn ms(millis: u64) -> Duration {
    Duration::from_millis(100_000 + millis)
}

fn roster(draining: Option<&str>, f_started_at: Option<Duration>) -> Vec<RosterEntry> {
    let entry = |id: &&str| RosterEntry {
        id: (*id).into(),
        address: format!("{id}:1").into(),
        zone: 0,
        weight: 1.0,
        phase: if draining == Some(*id) { Phase::Draining } else { Phase::Ready },
        started_at: f_started_at.filter(|_| *id == "f"),
        backup: false,
    };
    REPLICAS.iter().map(entry).collect()
}

fn stored_names() -> StoredItem {
    StoredItem::Names {
        governor: "g".into(),
        zones: vec!["z".into()],
        groups: vec!["one".into(), "other".into()],
    }
}

/// The tables that each proxy has: the epoch of the run that sent them, and their version.
type AppliedVersions = [Option<(u64, u64)>; PROXIES];

struct Run {
    engine: Engine,
    epoch: u64,
    store: Store<MemoryDisk>,
    stored_items: StoredItems,
}

impl Run {
    fn start(disk: &MemoryDisk, wall_clock: f64, random: u16) -> Run {
        let epoch = reserve_epoch(&mut disk.clone(), (wall_clock * 1e6) as u64, random).epoch;
        let (store, recovered) = Store::open(disk.clone()).expect("the folder can be listed");
        let items: StoredItems = recovered
            .entries
            .iter()
            .filter_map(|(name, bytes)| Some((name.clone(), Arc::new(snapshot::decode(bytes)?))))
            .collect();
        let mut settings = EngineSettings::example(2);
        settings.governor.proxy_count = PROXIES as u64;
        let mut engine = Engine::new(settings, ms(0));
        engine.restore(ms(0), snapshot::restore(items.clone(), wall_clock, &stored_names()).0);
        Run { engine, epoch, store, stored_items: items }
    }

    fn store(&mut self, now: u64, wall_clock: f64) -> bool {
        let groups = ["one".to_string(), "other".to_string()];
        let mut items =
            self.engine.stored_items(ms(now), &self.stored_items, wall_clock, self.epoch, &groups);
        items.insert(snapshot::NAMES_ITEM.into(), Arc::new(stored_names()));
        items.insert(snapshot::ALIVE_ITEM.into(), Arc::new(StoredItem::Alive { at: wall_clock }));
        let changes: Vec<Change> = snapshot::changes(&self.stored_items, &items)
            .into_iter()
            .map(|(name, item)| Change { name, content: item.map(snapshot::encode) })
            .collect();
        self.stored_items = items;
        self.store.write(&changes).is_ok()
    }

    fn join(&mut self, now: u64, applied: &AppliedVersions) {
        for (index, version) in applied.iter().enumerate() {
            // The draining replica `b` is left out: a default table with it would be replaced at once.
            let default_replicas = REPLICAS.into_iter().filter(|id| index < 2 && *id != "b");
            let weights = default_replicas.map(|id| (id.into(), 1.0)).collect();
            let join = JoinRequest {
                name: format!("p{index}").into(),
                zone: 0,
                requests_per_second: 10.0,
                default_table: weights,
                holds_governor_tables: version.is_some(),
                ownership_proof: version.map(|_| "a word".into()),
                proven_version: *version,
            };
            self.engine
                .proxy_connected(ms(now), index as u64, &join)
                .expect("the fleet has room for the proxy");
        }
    }

    /// Delivers all pending tables to proxies that acknowledge at once, and asserts the rules on all current tables.
    fn deliver_tables(&mut self, now: u64, applied: &mut AppliedVersions, draining: Option<&str>) {
        while let Some(action) = self.engine.next_action(ms(now)) {
            let Action::Flush(number) = action else { continue };
            let proxy = self.engine.proxy(number).expect("the proxy is connected");
            let (stream, newest) = (proxy.stream, proxy.newest_version());
            applied[stream as usize] = Some((self.epoch, newest));
            self.engine.tables_sent(ms(now), number, 6, 1);
            self.engine.version_acknowledged(stream, newest);
        }
        let mut cold_rate = 0.0;
        for (_, proxy) in self.engine.fleet().iter() {
            for current in proxy.tables.iter().flatten() {
                let routable: Vec<_> = current.table.entries.iter().filter(|entry| entry.routable).collect();
                assert!(!routable.is_empty(), "{now}: the table of `{}` has no routable replica", proxy.name);
                assert!(
                    routable.iter().all(|entry| Some(&*entry.replica) != draining),
                    "{now}: a table routes to the draining replica"
                );
                assert!((0.0..=1.0).contains(&current.table.admission_fraction));
                let total: f64 = routable.iter().map(|entry| entry.weight).sum();
                let cold = routable.iter().filter(|entry| &*entry.replica == "f");
                cold_rate += 5.0 * cold.map(|entry| entry.weight).sum::<f64>() / total;
            }
        }
        // The proxies send 40 requests per second in all. A replica that was restarted may get at most about twice
        // its share of them; warm replicas are not checked.
        if self.engine.accepted_roster().get(&"f".into()).is_some_and(|f| f.started_at == Some(ms(900))) {
            assert!(
                cold_rate < 2.5 * 40.0 * 0.3 / 4.3,
                "{now}: {cold_rate} requests per second on the restarted replica"
            );
        }
    }
}

/// Runs a governor that connects proxies, gets an override and a drain, and stores its state until its disk crashes.
fn first_run(disk: &MemoryDisk) -> (AppliedVersions, u64) {
    let mut run = Run::start(disk, 1000.0, 1);
    let mut applied: AppliedVersions = [None; PROXIES];
    run.engine.update_roster(ms(0), roster(None, None));
    run.join(1, &applied);
    for now in (50..1500).step_by(50) {
        if now == 300 {
            let (kind, reason) = (OverrideKind::Exclude, "its disk is full");
            run.engine
                .override_replica(ms(now), &"a".into(), kind, ms(60_000), reason)
                .expect("the replica is in the roster");
        }
        if now == 600 {
            run.engine.update_roster(ms(now), roster(Some("b"), None));
        }
        run.deliver_tables(now, &mut applied, (now >= 600).then_some("b"));
        if now % 100 == 0 && !run.store(now, 1000.0 + now as f64 / 1000.0) {
            break;
        }
    }
    (applied, run.epoch)
}

#[test]
fn a_restart_after_a_crash_at_any_call_keeps_the_table_rules() {
    let fault_free = MemoryDisk::default();
    first_run(&fault_free);
    let (mut starts, mut resumed) = (0, 0);
    for call in 0..fault_free.modifying_calls() {
        for unsynced in [
            Unsynced::Lost,
            Unsynced::Kept,
            Unsynced::FirstHalfKept,
            Unsynced::LastHalfKept,
            Unsynced::NamesLost,
        ] {
            let disk = MemoryDisk::default();
            disk.inject_fault(call, Fault::Crash);
            let (mut applied, epoch) = first_run(&disk);
            let mut run = Run::start(&disk.after_crash(unsynced), 1002.0, 2);
            assert_ne!(run.epoch, epoch, "call {call}, {unsynced:?}: two runs have the same epoch");
            // By now `b` is draining, and `f` was restarted under the same name while the governor was down.
            run.engine.update_roster(ms(0), roster(Some("b"), Some(ms(900))));
            run.join(1, &applied);
            resumed += run.engine.fleet().iter().filter(|(_, proxy)| proxy.holds_default_table).count();
            for now in (10..3000).step_by(60) {
                run.deliver_tables(now, &mut applied, Some("b"));
            }
            assert!(run.store(3000, 1005.0), "call {call}, {unsynced:?}: the state could not be stored");
            starts += 1;
        }
    }
    assert!(starts > 150 && resumed > starts / 2, "{starts} restarts, {resumed} proxies resumed");
}
