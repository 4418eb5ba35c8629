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

fn list(draining: &[&str], started: Option<Duration>) -> Vec<RosterEntry> {
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
fn broken(wrong: Fault, guarded: bool) -> BTreeMap<&'static str, usize> {
    let mut setup = EngineSettings::example(2);
    setup.governor.proxy_count = 4;
    let mut engine = Engine::new(setup, at(0));
    engine.replace_decider(decider(wrong));
    if !guarded {
        engine.switch_guard_off();
    }
    engine.update_roster(at(0), list(&[], None));
    for (stream, name) in ["p", "q", "r", "s"].into_iter().enumerate() {
        let standing = if stream < 2 { vec![] } else { REPLICAS.map(|id| (id.into(), 1.0)).to_vec() };
        let (name, holds_orders) = (name.into(), stream < 2);
        let join = JoinRequest {
            name,
            zone: 0,
            requests_per_second: 20.0,
            default_table: standing,
            holds_governor_tables: holds_orders,
            ownership_proof: None,
            proven_version: None,
        };
        engine.proxy_connected(at(1), stream as u64, &join).unwrap();
    }
    let mut broken: BTreeMap<&'static str, usize> = BTreeMap::new();
    let cold_from = 10_000;
    for now in (100..25_000).step_by(100) {
        if now == 5000 {
            engine.update_roster(at(now), list(&["a", "b"], None));
        }
        if now == cold_from {
            engine.update_roster(at(now), list(&["a"], Some(at(now))));
        }
        while let Some(step) = engine.next_action(at(now)) {
            if let Action::Flush(number) = step {
                engine.tables_sent(at(now), number, 8, 1);
                let (stream, newest) = engine.proxy(number).map(|one| (one.stream, one.newest())).unwrap();
                engine.version_acknowledged(at(now), stream, newest);
            }
        }
        let mut fault = |rule, is: bool| *broken.entry(rule).or_default() += usize::from(is);
        let mut on_cold = 0.0;
        for (_, proxy) in engine.fleet().iter() {
            for kept in proxy.tables.iter().flatten() {
                let lines: Vec<_> = kept.table.entries.iter().filter(|line| line.routable).collect();
                fault("bare", lines.is_empty());
                let phase = |id: &ReplicaId| engine.known_roster().get(id).map(|one| one.phase);
                fault("a drain", lines.iter().any(|line| phase(&line.replica) != Some(Phase::Ready)));
                fault("a weight", lines.iter().any(|one| !(one.weight.is_finite() && one.weight > 0.0)));
                fault("a level", !(0.0..=1.0).contains(&kept.table.admission_fraction));
                let most = lines.iter().map(|line| line.weight).fold(0.0, f64::max);
                fault("the wire", lines.iter().any(|line| line.weight * 4.1e6 < most));
                let all: f64 = lines.iter().map(|line| line.weight).sum();
                let cold = lines.iter().filter(|line| &*line.replica == COLD);
                on_cold += 10.0 * cold.map(|line| line.weight).sum::<f64>() / all;
            }
            fault("an effect twice", proxy.retry_policies.1.contains(&RetryPolicy::OnAnyFailure));
        }
        // 80 requests per second over six warm replicas and one that starts with a quarter of its capacity
        // and reaches all of it after 20 s.
        let warmth = 0.25 + 0.75 * now.saturating_sub(cold_from) as f64 / 20_000.0;
        let part = 80.0 / (6.0 + warmth) * warmth;
        fault("a cold one", now > cold_from + 500 && on_cold > COLD_MARGIN * part * 1.1);
    }
    broken.retain(|_, times| *times > 0);
    broken
}

/// The rule that each fault breaks without the guard. A flood breaks none; it only costs time.
const BREAKS: [(&str, &str); 12] = [
    ("empty-tables", "bare"),
    ("all-onto-a-drain", "a drain"),
    ("all-onto-the-last", "a cold one"),
    ("flapping", "a drain"),
    ("infinite-weights", "a weight"),
    ("weights-apart", "the wire"),
    ("levels-out-of-bounds", "a level"),
    ("levels-not-a-number", "a level"),
    ("tries-twice", "an effect twice"),
    ("all-withdrawn", "bare"),
    ("tables-not-laid", "bare"),
    ("replicas-not-listed", "bare"),
];

#[test]
fn guard_lets_no_faulty_decision_break_a_rule() {
    for (kind, wrong) in FAULTS {
        assert_eq!(broken(wrong, true), BTreeMap::new(), "{kind}");
    }
}

#[test]
fn each_fault_breaks_its_rule_without_the_guard() {
    for (kind, rule) in BREAKS {
        let (_, wrong) = FAULTS.iter().find(|(name, _)| *name == kind).expect("a fault of that name");
        let broken = broken(*wrong, false);
        assert!(broken.contains_key(rule), "{kind}: {broken:?}");
    }
}

#[test]
fn guard_passes_the_decisions_of_the_module_unchanged() {
    assert_eq!(broken(|decision, _| vec![decision], true), BTreeMap::new());
    let mut engine = Engine::new(EngineSettings::example(2), at(0));
    engine.update_roster(at(0), list(&[], None));
    for n in 0..8 {
        let (name, standing) = (format!("p{n}").into(), vec![]);
        let join = JoinRequest {
            name,
            zone: 0,
            requests_per_second: 20.0,
            default_table: standing,
            holds_governor_tables: true,
            ownership_proof: None,
            proven_version: None,
        };
        engine.proxy_connected(at(1), n, &join).unwrap();
    }
    for now in (100..30_000).step_by(100) {
        match now {
            5000 => engine.update_roster(at(now), list(&["a", "b"], None)),
            9000 => engine.update_roster(at(now), list(&[], Some(at(now)))),
            _ => {}
        }
        while let Some(step) = engine.next_action(at(now)) {
            if let Action::Flush(number) = step {
                engine.tables_sent(at(now), number, 8, 1);
            }
        }
    }
    // The guard refuses none of the module's decisions. Current tables are checked again when a replica
    // restarts; there the guard reacts one tick earlier than the module.
    let early = |one: &crate::guard::Refusal| {
        one.reason == RefusalReason::Cold && one.replica.as_deref() == Some(COLD) && one.at < at(9500)
    };
    let (_, passed) = engine.guard().tally();
    let refusals: Vec<_> = engine.guard().refusals().collect();
    assert!(passed > 20 && !refusals.is_empty() && refusals.iter().all(|one| early(one)), "{refusals:?}");
}

#[test]
fn asks_a_module_again_that_never_ends_or_never_ticks() {
    let forever: FaultyDecider = Box::new(|_, _| {
        Some(Decision::SetAdmission { classes: 1, fraction: 0.5, retry_policy: RetryPolicy::Never })
    });
    let never: FaultyDecider = Box::new(|now, rules| match rules.next_decision(now)? {
        Decision::ScheduleTick(_) => Some(Decision::ScheduleTick(Duration::MAX / 4)),
        other => Some(other),
    });
    let at_once: FaultyDecider = Box::new(|now, rules| match rules.next_decision(now)? {
        Decision::ScheduleTick(_) => Some(Decision::ScheduleTick(Duration::ZERO)),
        other => Some(other),
    });
    for decider in [forever, never, at_once] {
        let mut engine = Engine::new(EngineSettings::example(1), at(0));
        engine.replace_decider(decider);
        engine.update_roster(at(0), list(&[], None));
        let steps = std::iter::from_fn(|| engine.next_action(at(1))).take(300_000).count();
        assert!(steps < 300_000);
        let due = engine.next_deadline(at(1));
        assert!(due > at(1) && due <= at(1) + MAX_TICK, "{due:?}");
    }
}
