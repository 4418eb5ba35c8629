//! Tests of [`super`].

use wrenthread::types::Phase;

use super::*;
use crate::roster::RosterEntry;
use crate::tables::ResolvedEntry;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Replicas a to f in zone 0 and g in zone 1. Those in `draining` drain; those in `cold` started a second
/// ago.
fn roster(draining: &[&str], cold: &[&str]) -> Roster {
    let mut roster = Roster::new(s(30));
    let entry = |id: &str| RosterEntry {
        id: id.into(),
        address: format!("{id}:1").into(),
        zone: usize::from(id == "g"),
        weight: 1.0,
        phase: if draining.contains(&id) { Phase::Draining } else { Phase::Ready },
        started_at: cold.contains(&id).then_some(s(99)),
        backup: false,
    };
    roster.update(s(100), ["a", "b", "c", "d", "e", "f", "g"].map(entry).into());
    roster
}

fn guard(same_zone_only: bool) -> Guard {
    let mut guard = Guard::new(GuardLimits {
        initial_capacity_fraction: 0.25,
        slow_start_duration: s(20),
        proxy_count: 4,
        max_entries: 20.0,
        same_zone_only: vec![same_zone_only],
        not_idempotent: vec![true],
    });
    for proxy in 0..4 {
        guard.proxy_connected(proxy, 30.0, &["a", "b", "c", "d", "e", "f"].map(|id| (id.into(), 1.0)));
    }
    guard
}

fn table(entries: &[(&str, f64)]) -> Table {
    let entry = |(id, weight): &(&str, f64)| ResolvedEntry {
        replica: (*id).into(),
        address: format!("{id}:1").into(),
        zone: usize::from(*id == "g"),
        weight: *weight,
        routable: true,
    };
    Table { entries: entries.iter().map(entry).collect(), admission_fraction: 1.0 }
}

fn change(proxy: ProxyId, held: Option<&Table>, wanted: Table) -> ProposedTable<'_> {
    ProposedTable { proxy, zone: 0, class: 0, held, default_table: &[], wanted }
}

/// Checks one change of proxy 0. Returns the table that is published and the new refusals.
fn check_one(
    guard: &mut Guard,
    roster: &Roster,
    held: Option<&Table>,
    wanted: Table,
) -> (Table, Vec<(RefusalReason, RefusalOutcome)>) {
    let before = guard.refusals().count();
    let out = guard
        .check(s(100), roster, |_| false, ShiftLimit::Unlimited, vec![change(0, held, wanted)])
        .remove(0);
    (out, guard.refusals().skip(before).map(|refusal| (refusal.reason, refusal.outcome)).collect())
}

fn routable(table: &Table) -> Vec<(String, f64)> {
    let entries = table.entries.iter().filter(|entry| entry.routable);
    entries.map(|entry| (entry.replica.to_string(), entry.weight)).collect()
}

#[test]
fn replaces_a_table_without_routes_by_the_last_good_one_or_a_last_resort() {
    let (mut guard, roster) = (guard(false), roster(&["b"], &[]));
    let held = table(&[("a", 2.0), ("b", 1.0), ("c", 1.0)]);
    let (out, refused) = check_one(&mut guard, &roster, Some(&held), table(&[]));
    assert_eq!(routable(&out), [("a".to_string(), 2.0), ("c".into(), 1.0)]);
    assert_eq!(refused, [(RefusalReason::NoRoute, RefusalOutcome::Kept)]);
    let (out, refused) = check_one(&mut guard, &roster, None, table(&[("b", 1.0)]));
    assert_eq!(
        refused,
        [
            (RefusalReason::AllEntriesClosed, RefusalOutcome::Kept),
            (RefusalReason::NoRoute, RefusalOutcome::LastResort)
        ]
    );
    assert_eq!(routable(&out).len(), 5, "all ready replicas of its zone");
    let default_table = [("b".into(), 1.0), ("d".into(), 3.0)];
    let same_zone = ProposedTable { default_table: &default_table, ..change(0, None, table(&[])) };
    assert_eq!(
        routable(&guard.check(s(100), &roster, |_| false, ShiftLimit::Unlimited, vec![same_zone])[0]),
        [("d".to_string(), 3.0)]
    );
    // With all replicas ejected, one that may be bad is better than none. With all draining, no replica is
    // left.
    let change = change(0, Some(&held), table(&[("a", 1.0)]));
    let out = guard.check(s(100), &roster, |_| true, ShiftLimit::Unlimited, vec![change.clone()]).remove(0);
    assert_eq!(routable(&out), [("a".to_string(), 1.0)]);
    let all_draining = super::tests::roster(&["a", "b", "c", "d", "e", "f", "g"], &[]);
    assert!(
        routable(&guard.check(s(100), &all_draining, |_| false, ShiftLimit::Unlimited, vec![change])[0])
            .is_empty()
    );
}

#[test]
fn corrects_entries_out_of_the_zone_and_impossible_figures() {
    let (mut same_zone, roster) = (guard(true), roster(&[], &[]));
    let (out, refused) = check_one(&mut same_zone, &roster, None, table(&[("a", 1.0), ("g", 1.0)]));
    assert_eq!(
        (routable(&out).len(), refused),
        (1, vec![(RefusalReason::OutOfZone, RefusalOutcome::Corrected)])
    );
    let (out, refused) = check_one(&mut same_zone, &roster, None, table(&[("g", 1.0)]));
    assert!(
        refused.contains(&(RefusalReason::NoRouteInZone, RefusalOutcome::LastResort))
            && routable(&out).len() == 6
    );
    // An entry of the last good table that was closed for a drain is opened again after the drain.
    let mut held = table(&[("a", 1.0), ("b", 1.0), ("g", 1.0)]);
    held.entries.iter_mut().for_each(|entry| entry.routable = &*entry.replica == "b");
    let only_b_draining = super::tests::roster(&["b"], &[]);
    let (out, _) = check_one(&mut super::tests::guard(true), &only_b_draining, Some(&held), table(&[]));
    assert_eq!(
        routable(&out),
        [("a".to_string(), 1.0)],
        "and no replica outside the zone of a same-zone class"
    );
    let last_good = repair::last_good_table(&change(0, Some(&held), table(&[])), true, &|_| true);
    assert_eq!(last_good.map(|last_good| routable(&last_good).len()), Some(2));
    let mut guard = guard(false);
    let invalid = [("a", f64::NAN), ("b", f64::INFINITY), ("c", -1.0), ("d", 1.0), ("e", 2.0)];
    let (out, refused) = check_one(&mut guard, &roster, None, table(&invalid));
    assert_eq!(routable(&out), [("d".to_string(), 1.0), ("e".into(), 2.0)]);
    assert_eq!(refused, [(RefusalReason::InvalidWeight, RefusalOutcome::Corrected); 3]);
    let (out, refused) = check_one(&mut guard, &roster, None, table(&[("a", 1.0), ("b", 1.0), ("c", 1e-9)]));
    assert_eq!(
        (routable(&out)[2].1, refused),
        (1.0 / limits::MAX_WEIGHT_RATIO, vec![(RefusalReason::WeightRatio, RefusalOutcome::Corrected)])
    );
    for fraction in [f64::NAN, -0.1, 1.1] {
        let wanted = Table { admission_fraction: fraction, ..table(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]) };
        let held = Table { admission_fraction: 0.4, ..wanted.clone() };
        let (out, refused) = check_one(&mut guard, &roster, Some(&held), wanted);
        assert_eq!(
            (out.admission_fraction, refused),
            (0.4, vec![(RefusalReason::InvalidAdmissionFraction, RefusalOutcome::Corrected)])
        );
    }
}

#[test]
fn forbids_retries_after_any_failure_of_requests_that_are_not_idempotent() {
    let mut guard = guard(false);
    let split = vec![(0b10, RetryPolicy::OnAnyFailure), (0b01, RetryPolicy::IfNotExecuted)];
    assert_eq!(guard.check_retry_policy(s(1), 0b11, RetryPolicy::OnAnyFailure), split);
    let kept = vec![(0b11, RetryPolicy::IfNotExecuted)];
    assert_eq!(guard.check_retry_policy(s(1), 0b11, RetryPolicy::IfNotExecuted), kept);
    assert_eq!(guard.counts().0[&RefusalReason::UnsafeRetryPolicy], 1);
}

#[test]
fn limits_the_load_of_cold_and_warm_replicas_over_all_proxies() {
    let (mut guard, cold) = (guard(false), roster(&[], &["a"]));
    // 120 requests per second over a capacity of 6.3 warm replicas make 19 each and 5.4 for the cold one, at
    // most twice that.
    let heavy = || table(&[("a", 10.0), ("b", 1.0), ("c", 1.0), ("d", 1.0)]);
    let changes = (0..4).map(|proxy| change(proxy, None, heavy())).collect();
    let out = guard.check(s(100), &cold, |_| false, ShiftLimit::Unlimited, changes);
    let sent: f64 = out
        .iter()
        .map(|out| 30.0 * routable(out)[0].1 / routable(out).iter().map(|entry| entry.1).sum::<f64>())
        .sum();
    assert!(sent < 12.5 && sent > 4.0, "{sent}");
    assert!(guard.refusals().all(|refusal| refusal.reason == RefusalReason::ColdOverload));
    assert!((guard.expected_load(&"a".into()) - sent).abs() < 1e-6, "the ledger holds the published tables");
    // A small load comes in bursts; for a large load the mean is enough.
    let factors =
        [1.0, 3.5, 20.0, 500.0].map(|share| (limits::allowed_cold_load(share) / share * 100.0).round());
    assert_eq!(factors, [160.0, 160.0, 189.0, 200.0]);
    // The same replica when warm: 17 each, at most three times that.
    let warm = roster(&[], &[]);
    let changes = (0..4).map(|proxy| change(proxy, None, heavy())).collect();
    guard.check(s(100), &warm, |_| false, ShiftLimit::Unlimited, changes);
    assert!(guard.expected_load(&"a".into()) < 52.0, "{}", guard.expected_load(&"a".into()));
    assert!(guard.counts().0[&RefusalReason::WarmOverload] > 0);
    // If all replicas but a cold one are ejected, the ejections are not followed.
    let mut ejecting = super::tests::guard(false);
    let mut wanted = heavy();
    wanted.entries.iter_mut().skip(1).for_each(|entry| entry.routable = false);
    let change_of = |proxy| change(proxy, None, wanted.clone());
    let out = ejecting.check(
        s(100),
        &cold,
        |id| &**id != "a",
        ShiftLimit::Unlimited,
        (0..4).map(change_of).collect(),
    );
    assert!(out.iter().all(|out| routable(out).len() == 4) && ejecting.expected_load(&"a".into()) < 12.5);
    assert!(ejecting.counts().0[&RefusalReason::TooManyEjections] > 0);
    // The same if all are ejected and the ready replicas are published anyway.
    let mut all_ejected = super::tests::guard(false);
    let held = heavy();
    let changes = (0..4).map(|proxy| change(proxy, Some(&held), table(&[]))).collect();
    all_ejected.check(s(100), &cold, |_| true, ShiftLimit::Unlimited, changes);
    assert!(all_ejected.expected_load(&"a".into()) < 12.5, "{}", all_ejected.expected_load(&"a".into()));
    // No limit applies if a replica has shown a higher throughput, or if it is the only one in the table: an
    // overloaded replica is better than none.
    guard.record_throughput(s(100), &"a".into(), 0, 100, s(1));
    let (_, refused) = check_one(&mut guard, &warm, None, heavy());
    assert_eq!(refused, []);
    let mut fresh = super::tests::guard(false);
    let changes = (0..4).map(|proxy| change(proxy, None, table(&[("a", 1.0)]))).collect();
    assert!(
        fresh
            .check(s(100), &warm, |_| false, ShiftLimit::Unlimited, changes)
            .iter()
            .all(|out| routable(out).len() == 1)
    );
    assert!(fresh.refusals().all(|refusal| refusal.outcome == RefusalOutcome::LetThrough));
    // With four of eighty proxies here, a large load by their demand is small for a replica.
    let mut partial = super::tests::guard(false);
    partial.limits.proxy_count = 80;
    let changes = (0..4).map(|proxy| change(proxy, None, heavy())).collect();
    partial.check(s(100), &warm, |_| false, ShiftLimit::Unlimited, changes);
    assert_eq!(partial.refusals().count(), 0);
    // Current tables are checked again when a replica restarts or demand grows.
    assert!(guard.overloaded_replicas(s(100), &cold, |_| false).contains("a"));
    assert!(guard.overloaded_replicas(s(100), &warm, |_| false).is_empty());
}

#[test]
fn holds_back_a_shift_without_a_cause_and_defers_excess_entries() {
    let (mut guard, roster) = (guard(false), roster(&[], &[]));
    let held = table(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    let first = (0..4).map(|proxy| change(proxy, None, held.clone())).collect();
    guard.check(s(100), &roster, |_| false, ShiftLimit::Limited, first);
    assert!(guard.counts().0.is_empty(), "first tables move no traffic");
    let wanted = table(&[("d", 1.0), ("e", 1.0), ("f", 1.0)]);
    let shift = || (0..4).map(|proxy| change(proxy, Some(&held), wanted.clone())).collect();
    let mut at = |seconds, limit| guard.check(s(seconds), &roster, |_| false, limit, shift())[0] == wanted;
    assert!(!at(101, ShiftLimit::Limited) && !at(104, ShiftLimit::Limited));
    assert!(at(106, ShiftLimit::Limited), "a mistake of the guard must not block a fleet");
    let mut unlimited = super::tests::guard(false);
    unlimited.check(
        s(100),
        &roster,
        |_| false,
        ShiftLimit::Limited,
        (0..4).map(|p| change(p, None, held.clone())).collect(),
    );
    assert!(
        unlimited.check(s(101), &roster, |_| false, ShiftLimit::Unlimited, shift())[0] == wanted,
        "the cause requires the shift"
    );
    // The limit is 20 entries per change: six tables of three.
    let many = (0..8).map(|proxy| change(proxy, Some(&held), wanted.clone())).collect();
    let out = unlimited.check(s(102), &roster, |_| false, ShiftLimit::Unlimited, many);
    assert_eq!(out.iter().filter(|out| **out == wanted).count(), 6);
    assert_eq!(unlimited.proxies_with_refusals().len(), 2, "the others are checked again");
    assert_eq!((unlimited.alarms(s(102)), unlimited.alarms(s(113))), (0, 2));
    unlimited.clear_refusals(6, 0);
    unlimited.proxy_disconnected(7);
    assert_eq!(unlimited.alarms(s(113)), 0);
}
