//! Tests of the engine with faulty decision modules. With the guard, no table in force breaks a rule; without
//! it each fault breaks one, which shows that each of them is effective.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use std::collections::BTreeMap;

use super::*;
use crate::engine::decisions::MAX_TICK;
use crate::fault_injection::{FAULTS, Fault, decider};
use crate::guard::COLD_MARGIN;
use crate::roster::RosterEntry;

const REPLICAS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
/// This replica restarts during the test and is cold then.
const COLD: &str = "h";

fn at(ms: u64) -> Duration {
    Duration::from_millis(100_000 + ms)
}

fn roster(draining: &[&str], started: Option<Duration>) -> Vec<RosterEntry> {
    let entry = |id: &&str| RosterEntry {
        id: (*id).into(),
        address: format!("{id}:1").into(),
        zone: 0,
        weight: 1.0,
        phase: if draining.contains(id) { Phase::Draining } else { Phase::Ready },
        started_at: started.filter(|_| *id == COLD),
        backup: false,
    };
    REPLICAS.iter().map(entry).collect()
}

/// Runs four proxies through a drain and a cold start. Returns the broken rules and how often each was
/// broken.
fn broken_rules(fault: Fault, guarded: bool) -> BTreeMap<&'static str, usize> {
    let mut settings = EngineSettings::example(2);
    settings.governor.proxy_count = 4;
    let mut engine = Engine::new(settings, at(0));
    engine.replace_decider(decider(fault));
    if !guarded {
        engine.switch_guard_off();
    }
    engine.update_roster(at(0), roster(&[], None));
    for (stream, name) in ["p", "q", "r", "s"].into_iter().enumerate() {
        let default_entries = if stream < 2 { vec![] } else { REPLICAS.map(|id| (id.into(), 1.0)).to_vec() };
        let (name, has_governor_tables) = (name.into(), stream < 2);
        let join = JoinRequest {
            name,
            zone: 0,
            requests_per_second: 20.0,
            default_table: default_entries,
            holds_governor_tables: has_governor_tables,
            ownership_proof: None,
            proven_version: None,
        };
        engine.proxy_connected(at(1), stream as u64, &join).unwrap();
    }
    let mut broken_rules: BTreeMap<&'static str, usize> = BTreeMap::new();
    let cold_from = 10_000;
    for now in (100..25_000).step_by(100) {
        if now == 5000 {
            engine.update_roster(at(now), roster(&["a", "b"], None));
        }
        if now == cold_from {
            engine.update_roster(at(now), roster(&["a"], Some(at(now))));
        }
        while let Some(action) = engine.next_action(at(now)) {
            if let Action::Flush(proxy) = action {
                engine.tables_sent(at(now), proxy, 8, 1);
                let (stream, newest) =
                    engine.proxy(proxy).map(|proxy| (proxy.stream, proxy.newest_version())).unwrap();
                engine.version_acknowledged(stream, newest);
            }
        }
        let mut record =
            |rule, violated: bool| *broken_rules.entry(rule).or_default() += usize::from(violated);
        let mut on_cold = 0.0;
        for (_, proxy) in engine.fleet().iter() {
            for versioned in proxy.tables.iter().flatten() {
                let routable_entries: Vec<_> =
                    versioned.table.entries.iter().filter(|entry| entry.routable).collect();
                record("no routable entry", routable_entries.is_empty());
                let phase = |id: &ReplicaId| engine.accepted_roster().get(id).map(|known| known.phase);
                record(
                    "draining replica",
                    routable_entries.iter().any(|entry| phase(&entry.replica) != Some(Phase::Ready)),
                );
                record(
                    "invalid weight",
                    routable_entries.iter().any(|entry| !(entry.weight.is_finite() && entry.weight > 0.0)),
                );
                record(
                    "invalid admission fraction",
                    !(0.0..=1.0).contains(&versioned.table.admission_fraction),
                );
                let heaviest = routable_entries.iter().map(|entry| entry.weight).fold(0.0, f64::max);
                record("weight range", routable_entries.iter().any(|entry| entry.weight * 4.1e6 < heaviest));
                let total: f64 = routable_entries.iter().map(|entry| entry.weight).sum();
                let cold = routable_entries.iter().filter(|entry| &*entry.replica == COLD);
                on_cold += 10.0 * cold.map(|entry| entry.weight).sum::<f64>() / total;
            }
            record("unsafe retry", proxy.retry_policies.1.contains(&RetryPolicy::OnAnyFailure));
        }
        // 80 requests per second over six warm replicas and one that starts with a quarter of its capacity
        // and reaches all of it after 20 s.
        let warmth = 0.25 + 0.75 * now.saturating_sub(cold_from) as f64 / 20_000.0;
        let fair_share = 80.0 / (6.0 + warmth) * warmth;
        record("cold replica", now > cold_from + 500 && on_cold > COLD_MARGIN * fair_share * 1.1);
    }
    broken_rules.retain(|_, times| *times > 0);
    broken_rules
}

/// The rule that each fault breaks without the guard. A flood breaks none; it only costs time.
const BREAKS: [(&str, &str); 12] = [
    ("empty-tables", "no routable entry"),
    ("all-onto-a-drain", "draining replica"),
    ("all-onto-the-last", "cold replica"),
    ("flapping", "draining replica"),
    ("infinite-weights", "invalid weight"),
    ("weights-apart", "weight range"),
    ("levels-out-of-bounds", "invalid admission fraction"),
    ("levels-not-a-number", "invalid admission fraction"),
    ("tries-twice", "unsafe retry"),
    ("all-withdrawn", "no routable entry"),
    ("tables-not-laid", "no routable entry"),
    ("replicas-not-listed", "no routable entry"),
];

#[test]
fn guard_lets_no_faulty_decision_break_a_rule() {
    for (fault_name, fault) in FAULTS {
        assert_eq!(broken_rules(fault, true), BTreeMap::new(), "{fault_name}");
    }
}

#[test]
fn each_fault_breaks_its_rule_without_the_guard() {
    for (fault_name, rule) in BREAKS {
        let (_, fault) = FAULTS.iter().find(|(name, _)| *name == fault_name).expect("a fault of that name");
        let broken_rules = broken_rules(*fault, false);
        assert!(broken_rules.contains_key(rule), "{fault_name}: {broken_rules:?}");
    }
}

#[test]
fn guard_passes_the_decisions_of_the_module_unchanged() {
    assert_eq!(broken_rules(|decision, _| vec![decision], true), BTreeMap::new());
    let mut engine = Engine::new(EngineSettings::example(2), at(0));
    engine.update_roster(at(0), roster(&[], None));
    for n in 0..8 {
        let (name, default_entries) = (format!("p{n}").into(), vec![]);
        let join = JoinRequest {
            name,
            zone: 0,
            requests_per_second: 20.0,
            default_table: default_entries,
            holds_governor_tables: true,
            ownership_proof: None,
            proven_version: None,
        };
        engine.proxy_connected(at(1), n, &join).unwrap();
    }
    for now in (100..30_000).step_by(100) {
        match now {
            5000 => engine.update_roster(at(now), roster(&["a", "b"], None)),
            9000 => engine.update_roster(at(now), roster(&[], Some(at(now)))),
            _ => {}
        }
        while let Some(action) = engine.next_action(at(now)) {
            if let Action::Flush(proxy) = action {
                engine.tables_sent(at(now), proxy, 8, 1);
            }
        }
    }
    // The guard refuses none of the module's decisions. Current tables are checked again when a replica
    // restarts; there the guard reacts one tick earlier than the module.
    let is_early = |refusal: &crate::guard::Refusal| {
        refusal.reason == RefusalReason::ColdOverload
            && refusal.replica.as_deref() == Some(COLD)
            && refusal.at < at(9500)
    };
    let (_, passed) = engine.guard().counts();
    let refusals: Vec<_> = engine.guard().refusals().collect();
    assert!(
        passed > 20 && !refusals.is_empty() && refusals.iter().all(|refusal| is_early(refusal)),
        "{refusals:?}"
    );
}

#[test]
fn asks_a_module_again_that_never_ends_or_never_ticks() {
    let never_ends: FaultyDecider = Box::new(|_, _| {
        Some(Decision::SetAdmission { classes: 1, fraction: 0.5, retry_policy: RetryPolicy::Never })
    });
    let never_ticks: FaultyDecider = Box::new(|now, module| match module.next_decision(now)? {
        Decision::ScheduleTick(_) => Some(Decision::ScheduleTick(Duration::MAX / 4)),
        other => Some(other),
    });
    let ticks_at_once: FaultyDecider = Box::new(|now, module| match module.next_decision(now)? {
        Decision::ScheduleTick(_) => Some(Decision::ScheduleTick(Duration::ZERO)),
        other => Some(other),
    });
    for decider in [never_ends, never_ticks, ticks_at_once] {
        let mut engine = Engine::new(EngineSettings::example(1), at(0));
        engine.replace_decider(decider);
        engine.update_roster(at(0), roster(&[], None));
        let steps = std::iter::from_fn(|| engine.next_action(at(1))).take(300_000).count();
        assert!(steps < 300_000);
        let due = engine.next_deadline(at(1));
        assert!(due > at(1) && due <= at(1) + MAX_TICK, "{due:?}");
    }
}
