//! A soak test of real processes: random scenarios, generated from a seed and checked by the traffic on the sockets.
//!
//! `SOAK_SEEDS=1-50 cargo test -p wrenthread-daemon --test soak -- --nocapture` runs other seeds than CI does, and
//! prints a summary; `WRENTHREAD_SOAK_PROGRAM` names a program to test instead of the one built with the test.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

#[path = "../common/mod.rs"]
mod common;

mod check;
mod discovery;
mod event_log;
mod governor;
mod proxy;
mod runner;
mod scenario;
mod stored_state;
mod summary;
mod table;

use std::path::PathBuf;
use std::sync::Mutex;

use scenario::Scenario;
use summary::Summary;

/// The environment variable for other seeds, as `FIRST-LAST`.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";
/// The seeds that CI runs.
const DEFAULT_SEEDS: std::ops::RangeInclusive<u64> = 1..=16;
/// How many scenarios run in parallel.
const PARALLEL_SCENARIOS: usize = 4;

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else { return DEFAULT_SEEDS.collect() };
    let (first, last) = text.split_once('-').expect("SOAK_SEEDS is FIRST-LAST");
    (first.parse().expect("FIRST is a number")..=last.parse().expect("LAST is a number")).collect()
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("wrenthread-soak-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Runs the scenario of a seed. Returns its summary, or the violations with everything needed to analyse them.
fn run_scenario(seed: u64) -> Result<Summary, String> {
    let scenario = Scenario::generate(seed);
    let folder = folder(&seed.to_string());
    let outcome = runner::run(&scenario, &folder);
    let _ = std::fs::remove_dir_all(&folder);
    let violations = check::check(&outcome);
    if violations.is_empty() {
        return Ok(Summary::of(&outcome.entries));
    }
    let entries: String = outcome.entries.iter().map(|entry| format!("{entry}\n")).collect();
    Err(format!(
        "seed {seed}: {violations:#?}\n{scenario:#?}\n--- events\n{entries}{}\nseed {seed}: {violations:#?}",
        outcome.governor_logs
    ))
}

#[test]
fn the_same_seed_generates_the_same_scenario() {
    assert_eq!(Scenario::generate(5), Scenario::generate(5));
    assert_ne!(Scenario::generate(5), Scenario::generate(6));
}

#[test]
fn governors_keep_the_rules_in_scenarios_of_restarts_signals_outages_and_crowds() {
    let seeds = Mutex::new(seeds());
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_SCENARIOS {
            scope.spawn(|| {
                loop {
                    let Some(seed) = seeds.lock().unwrap().pop() else { return };
                    let result = run_scenario(seed);
                    results.lock().unwrap().push(result);
                }
            });
        }
    });
    let results = results.into_inner().unwrap();
    let failures: Vec<&String> = results.iter().filter_map(|result| result.as_ref().err()).collect();
    failures.iter().for_each(|failure| eprintln!("{failure}"));
    let summaries = results.iter().filter_map(|result| result.as_ref().ok());
    println!("{}", Summary::total(summaries));
    assert!(failures.is_empty(), "{} of {} seeds failed", failures.len(), results.len());
}
