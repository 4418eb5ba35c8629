//! Cost of the guard: an engine with many proxies on dedicated tables, with the guard and without it, in one
//! run. Measures a roster event, where one replica drains or returns and all tables are checked, and a tick
//! in which nothing changed.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a benchmark may end by panicking, and reads top-down"
)]

use std::time::{Duration, Instant};

use wrenthread::types::Phase;
use wrenthread_core::engine::{Action, Engine, EngineSettings};
use wrenthread_core::fleet::JoinRequest;
use wrenthread_core::roster::RosterEntry;

const REPLICAS: usize = 48;
const EVENTS: u32 = 40;

fn roster_entries(draining: Option<usize>) -> Vec<RosterEntry> {
    let entry = |n: usize| RosterEntry {
        id: format!("r{n:02}").into(),
        address: format!("10.0.0.{n}:80").into(),
        zone: n % 3,
        weight: 1.0,
        phase: if draining == Some(n) { Phase::Draining } else { Phase::Ready },
        started_at: None,
        backup: false,
    };
    (0..REPLICAS).map(entry).collect()
}

fn run(engine: &mut Engine, now: Duration) {
    while let Some(action) = engine.next_action(now) {
        if let Action::Flush(number) = action {
            engine.tables_sent(now, number, 12, 1);
            let proxy = engine.proxy(number).map(|proxy| (proxy.stream, proxy.newest_version()));
            if let Some((stream, newest)) = proxy {
                engine.version_acknowledged(stream, newest);
            }
        }
    }
}

/// Microseconds per roster event and per idle tick, and the numbers of tables that passed and of refusals.
fn measure(proxies: usize, guarded: bool) -> (f64, f64, u64, u64) {
    let mut settings = EngineSettings::example(3);
    (settings.governor.proxy_count, settings.max_proxies) = (proxies as u64, proxies);
    (settings.governor.entries_per_second, settings.governor.max_queued_entries) = (1e6, 1e6);
    let mut now = Duration::from_secs(100);
    let mut engine = Engine::new(settings, now);
    if !guarded {
        engine.switch_guard_off();
    }
    engine.update_roster(now, roster_entries(None));
    for n in 0..proxies {
        let (name, no_default_table) = (format!("relay-{n}").into(), vec![]);
        let join = JoinRequest {
            name,
            zone: n % 3,
            requests_per_second: 5.0,
            default_table: no_default_table,
            holds_governor_tables: true,
            ownership_proof: None,
            proven_version: None,
        };
        engine.proxy_connected(now, n as u64, &join).expect("there is room");
    }
    for _ in 0..100 {
        now += Duration::from_millis(100);
        run(&mut engine, now);
    }
    let (mut events, mut idle_ticks) = (Duration::ZERO, Duration::ZERO);
    for event in 0..EVENTS {
        engine.update_roster(now, roster_entries((event % 2 == 0).then_some(event as usize % REPLICAS)));
        let start = Instant::now();
        run(&mut engine, now);
        events += start.elapsed();
        for _ in 0..10 {
            now += Duration::from_millis(100);
            run(&mut engine, now);
        }
        now += Duration::from_millis(500);
        let start = Instant::now();
        run(&mut engine, now);
        idle_ticks += start.elapsed();
    }
    let (refused, passed) = engine.guard().counts();
    let micros = |span: Duration| span.as_secs_f64() * 1e6 / f64::from(EVENTS);
    (micros(events), micros(idle_ticks), passed, refused.values().sum())
}

fn main() {
    println!(
        "| proxies | roster event, us: guarded | without | ratio | idle tick, us: guarded | without | \
        tables passed | refused |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for proxies in [24, 200, 1000] {
        let (event, idle_tick, passed, refused) = measure(proxies, true);
        let (event_off, idle_tick_off, ..) = measure(proxies, false);
        println!(
            "| {proxies} | {event:.0} | {event_off:.0} | {:.2} | {idle_tick:.0} | {idle_tick_off:.0} | \
             {passed} | {refused} |",
            event / event_off
        );
    }
}
