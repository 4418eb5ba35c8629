//! Each test builds the state it needs and calls one function.

use super::admission_control::{ClassAdmission, LastCut, LatencySum, QUEUE_DRAINING_FRACTION};
use super::arithmetic::get_or_default;
use super::critical_set::Reward;
use super::default_tables::{Staleness, ZoneScope};
use super::ejection::FIRST_EJECTION;
use super::ejection_updates::EjectionChange;
use super::load_model::{Flow, FlowGroup, LoadModel, ReplicaCapacity, ReplicaRate, ReplicaShare};
use super::outlier_detection::Outlier;
use super::replica_state::ZoneObservation;
use super::send_queue::SentBatch;
use super::table_updates::{Assignment, Recipients};
use super::tables::RouteScope::{self, AnyZone, OwnZone};
use super::tables::{TableKey, Weights};
use super::water_filling::{Bin, water_fill};
use super::*;
use crate::types::{
    AdmissionControl, Idempotency, LoadField, MessageLimit, RetryPolicy, TableEntry, TableId, TrafficClass,
};

const SECOND: Duration = Duration::from_secs(1);

/// A proxy of zone 0 that holds its default table and nothing else.
fn with_default_table(proxy: ProxyId, requests_per_second: f64) -> ProxyConnection {
    ProxyConnection { proxy, zone: 0, requests_per_second, holds_default_table: true }
}

/// A proxy of zone 0 of which it is not known what it holds.
fn with_unknown_tables(proxy: ProxyId, requests_per_second: f64) -> ProxyConnection {
    ProxyConnection { holds_default_table: false, ..with_default_table(proxy, requests_per_second) }
}

fn entry(replica: ReplicaId, weight: f64) -> TableEntry {
    TableEntry { replica, weight }
}

fn id(name: &str) -> ReplicaId {
    name.into()
}

fn traffic_class(idempotency: Idempotency, same_zone_only: bool, priority_weight: f64) -> TrafficClass {
    TrafficClass {
        idempotency,
        latency_objective: SECOND,
        request_deadline: 3 * SECOND,
        priority_weight,
        same_zone_only,
    }
}

fn settings() -> Settings {
    Settings {
        governor_count: 1,
        classes: vec![
            traffic_class(Idempotency::Idempotent, false, 1.0),
            traffic_class(Idempotency::NotIdempotent, false, 3.0),
        ],
        key_slices: 0,
        proxy_count: 4,
        default_table_size: 8,
        initial_capacity_fraction: 0.2,
        slow_start_duration: 10 * SECOND,
        proxies_eject_locally: true,
        report_interval: SECOND / 2,
        entries_per_second: 1000.0,
        message_overhead_entries: 5.0,
        max_queued_entries: 1000.0,
        max_transit_delay: SECOND / 2,
        message_limit: Some(MessageLimit { messages: 10, interval: 10 * SECOND }),
        admission_control: AdmissionControl::Fraction,
        default_retry_policy: RetryPolicy::Never,
        cross_zone_cost: 0.05,
        health_check_cost: None,
        load_fields: vec![LoadField::Queued],
    }
}

/// A governor that has observed enough to trust the fleet.
fn observed(settings: Settings) -> Governor {
    let mut governor = Governor::new(settings, Duration::ZERO);
    governor.fleet_health.unobserved = false;
    governor
}

fn governor() -> Governor {
    observed(settings())
}

/// One whose second class is bound to the proxy's own zone.
fn governor_with_zone_bound_class() -> Governor {
    let classes = vec![
        traffic_class(Idempotency::Idempotent, false, 1.0),
        traffic_class(Idempotency::Idempotent, true, 3.0),
    ];
    observed(Settings { classes, ..settings() })
}

fn default_of_zone(zone: usize, scope: RouteScope) -> ZoneScope {
    ZoneScope { zone, scope }
}

fn outlier(severity: f64, name: &str) -> Outlier {
    Outlier { severity, replica: id(name) }
}

fn rate(replica: usize, rate: f64) -> ReplicaRate {
    ReplicaRate { replica, rate }
}

fn bin(level: f64, capacity: f64, replica: usize) -> Bin {
    Bin { level, capacity, replica }
}

fn warm(zone: usize) -> ReplicaState {
    ReplicaState {
        zone,
        weight: 1.0,
        ready: true,
        first_ready_at: Some(Duration::ZERO),
        ..ReplicaState::default()
    }
}

fn cold(zone: usize, started: Duration) -> ReplicaState {
    ReplicaState { started_at: Some(started), ..warm(zone) }
}

fn seen(delivered: f64, dropped: f64, time: f64, last: Duration) -> BTreeMap<usize, ZoneObservation> {
    let rate = delivered + dropped;
    [(
        0,
        ZoneObservation {
            succeeded: delivered,
            failed: dropped,
            attempts_per_second: rate,
            latency_seconds: time,
            last_report: last,
            last_success: last,
        },
    )]
    .into()
}

/// A proxy that follows its own table with these lines and receives 10 flows a second.
fn follower(governor: &mut Governor, proxy: ProxyId, zone: usize, lines: &[(&str, f64)]) {
    let rates = vec![5.0, 5.0];
    governor.proxies.insert(
        proxy,
        ProxyState {
            zone,
            request_rates: rates,
            connected_at: Duration::ZERO,
            last_reports: vec![Duration::ZERO; 2],
            default_table: None,
            unsynchronised: false,
        },
    );
    governor.last_connections.insert(zone, Duration::ZERO);
    let lines: Weights = lines.iter().map(|(name, weight)| (id(name), *weight)).collect();
    for scope in RouteScope::ALL {
        governor.sent_tables.insert(TableKey::new(proxy, scope), lines.clone());
    }
}

fn listed(name: &str, phase: Phase) -> ReplicaEntry {
    ReplicaEntry { id: id(name), phase, zone: 0, weight: 1.0, started_at: None }
}

fn out(governor: &Governor) -> Vec<&Decision> {
    governor.pending.iter().collect()
}

#[test]
fn what_a_complete_list_leaves_out_is_gone() {
    let mut governor = governor();
    governor.replicas.insert(id("a"), warm(0));
    governor.update_replicas(SECOND, &[listed("b", Phase::Ready)], RosterScope::Complete);
    assert!(!governor.replicas[&id("a")].ready);
}

#[test]
fn the_first_sum_of_a_replica_stands_for_what_went_before() {
    let mut governor = governor();
    governor.replicas.insert(id("a"), warm(0));
    let (replica, mean) = (id("a"), Some(SECOND));
    governor.record_replica_statistics(
        SECOND,
        ReplicaStatistics {
            zone: 0,
            replica,
            attempts: 5,
            failed: 0,
            mean_latency: mean,
            interval: SECOND / 2,
            load: vec![],
        },
    );
    assert_eq!(governor.success_rate(), 10.0);
}

#[test]
fn a_new_start_clears_what_was_held_against_the_old_process() {
    let mut governor = governor();
    governor.replicas.insert(
        id("a"),
        ReplicaState { health: HealthState::Ejected { until: SECOND, failures: 3 }, ..warm(0) },
    );
    governor.update_replicas(
        SECOND,
        &[ReplicaEntry { started_at: Some(SECOND), ..listed("a", Phase::Ready) }],
        RosterScope::Changes,
    );
    assert_eq!(governor.replicas[&id("a")].health, HealthState::Healthy);
}

#[test]
fn a_joiner_with_unknown_holdings_is_unsure_and_a_fresh_one_stands() {
    let mut governor = governor();
    ["a", "b", "c"].iter().for_each(|name| drop(governor.replicas.insert(id(name), warm(0))));
    governor.proxy_connected(SECOND, with_unknown_tables(1, 4.0));
    governor.proxy_connected(SECOND, with_default_table(2, 4.0));
    assert!(governor.proxies[&1].unsynchronised && !governor.proxies[&2].unsynchronised);
    assert_eq!(governor.proxies[&2].request_rates, vec![2.0, 2.0]);
}

#[test]
fn a_fresh_joiner_may_hold_a_cold_replica_so_it_is_unsure() {
    let mut governor = governor();
    governor.replicas.insert(id("a"), cold(0, SECOND));
    governor.proxy_connected(2 * SECOND, with_default_table(1, 4.0));
    assert!(governor.proxies[&1].unsynchronised);
}

#[test]
fn withdrawing_comes_first_and_changed_lines_after() {
    let mut governor = governor();
    follower(&mut governor, 1, 0, &[("a", 1.0), ("b", 1.0)]);
    governor.replicas.insert(id("a"), ReplicaState { ready: false, ..warm(0) });
    governor.replicas.insert(id("b"), warm(0));
    governor.publish(SECOND, PublishTrigger::Event);
    assert_eq!(out(&governor)[0], &Decision::SetEjected { replica: id("a"), ejected: true });
    assert_eq!(out(&governor)[1], &Decision::UpdateTable { table: 2, entries: vec![entry(id("a"), 0.0)] });
}

#[test]
fn lines_of_a_returning_replica_go_before_it_is_let_back() {
    let mut governor = governor();
    follower(&mut governor, 1, 0, &[("b", 1.0)]);
    governor.replicas.insert(id("a"), ReplicaState { ejection_sent: true, ..cold(0, SECOND) });
    governor.replicas.insert(id("b"), warm(0));
    governor.publish(SECOND, PublishTrigger::FlushDue);
    let orders = out(&governor);
    let widens = |one: &&&Decision| matches!(one, Decision::UpdateTable { table: 2, entries: lines } if lines[0].replica == id("a"));
    let line = orders.iter().position(|one| widens(&one));
    let back =
        orders.iter().position(|one| **one == Decision::SetEjected { replica: id("a"), ejected: false });
    assert!(line.is_some() && line < back);
}

#[test]
fn an_unsure_joiner_is_bound_at_once_to_what_is_open() {
    let mut governor = governor();
    governor.replicas.insert(id("a"), ReplicaState { ready: false, ..warm(0) });
    governor.replicas.insert(id("b"), warm(0));
    governor.proxy_connected(SECOND, with_unknown_tables(3, 4.0));
    governor.publish(SECOND, PublishTrigger::Tick);
    let orders = out(&governor);
    assert!(orders.contains(&&Decision::UpdateTable { table: 6, entries: vec![entry(id("b"), 1.0)] }));
    assert!(orders.contains(&&Decision::AssignTable { proxy: 3, table: 6, classes: 0b11 }));
}

#[test]
fn a_full_span_of_messages_holds_orders_back() {
    let mut governor = governor();
    follower(&mut governor, 1, 0, &[("a", 1.0)]);
    governor.replicas.insert(id("a"), ReplicaState { ready: false, ..warm(0) });
    governor.send_queue.recent_flushes = vec![SECOND; 8].into();
    governor.publish(2 * SECOND, PublishTrigger::FlushDue);
    assert!(governor.pending.is_empty());
}

#[test]
fn a_full_channel_lets_no_table_out() {
    let mut governor = governor();
    follower(&mut governor, 1, 0, &[]);
    governor.replicas.insert(id("a"), warm(0));
    governor.send_queue.entries = 800.0;
    governor.send_tables(Duration::ZERO, Recipients::All);
    assert!(governor.pending.is_empty());
    // Nor for one whose holdings are unknown, though it may send to what drains: a storm of them would
    // break the rule.
    governor.proxy_connected(Duration::ZERO, with_unknown_tables(2, 1.0));
    governor.send_tables(Duration::ZERO, Recipients::Unsynchronised);
    assert!(governor.pending.is_empty());
    governor.send_queue.entries = 500.0;
    governor.send_tables(Duration::ZERO, Recipients::Unsynchronised);
    assert!(governor.pending.contains(&Decision::AssignTable { proxy: 2, table: 4, classes: 0b11 }));
}

/// A hundred joiners whose holdings are unknown, and a few replicas.
fn storm(names: &[&str]) -> Governor {
    let mut governor = governor();
    governor.replicas.extend(names.iter().map(|name| (id(name), warm(0))));
    (0..100).for_each(|proxy| governor.proxy_connected(Duration::ZERO, with_unknown_tables(proxy, 1.0)));
    governor
}

#[test]
fn a_storm_of_joiners_leaves_room_for_drains_in_the_channel() {
    let mut governor = storm(&["a", "b", "c", "d"]);
    governor.publish(SECOND, PublishTrigger::Tick);
    let bound = governor.proxies.values().filter(|one| !one.unsynchronised).count();
    assert!(bound > 20 && bound < 100, "{bound}");
    assert!(governor.send_queue.entries <= 0.64 * 1000.0, "{}", governor.send_queue.entries);
}

#[test]
fn withdrawals_fit_the_channel_and_what_drains_goes_before_what_is_ill() {
    let mut governor = storm(&["a", "b", "c"]);
    governor
        .replicas
        .values_mut()
        .for_each(|one| one.health = HealthState::Ejected { until: SECOND, failures: 1 });
    governor.replicas.insert(id("d"), ReplicaState { ready: false, ..warm(0) });
    governor.send_ejections(EjectionChange::Eject);
    assert_eq!(out(&governor), [&Decision::SetEjected { replica: id("d"), ejected: true }]);
    // A line and a head for each proxy whose table can't be read.
    assert_eq!(governor.send_queue.entries, 100.0 * (1.0 + 7.0));
    governor.send_ejections(EjectionChange::Eject);
    assert_eq!(out(&governor).len(), 1, "the others wait");
    governor.send_queue.entries = 0.0;
    governor.send_ejections(EjectionChange::Eject);
    assert_eq!(out(&governor)[1], &Decision::SetEjected { replica: id("a"), ejected: true });
}

#[test]
fn a_withdrawal_counts_for_those_that_may_name_the_replica() {
    let names: Vec<String> = (0..100).map(|at| format!("r{at}")).collect();
    let mut governor = storm(&names.iter().map(String::as_str).collect::<Vec<_>>());
    governor.replicas.insert(id("r1"), ReplicaState { ready: false, ..warm(0) });
    governor.proxies.values_mut().for_each(|one| one.unsynchronised = false);
    governor.send_ejections(EjectionChange::Eject);
    let expected = 100.0 * (1.0 + 7.0) * 16.0 / 99.0;
    assert!(
        (governor.send_queue.entries - expected).abs() < 1e-6,
        "{} {expected}",
        governor.send_queue.entries
    );
}

#[test]
fn an_acknowledgement_tells_what_has_left_the_channel_and_a_late_one_little() {
    let batch = |at| SentBatch { at: at * SECOND, entries: 100.0 };
    let channel = || {
        let mut governor = governor();
        governor.send_queue.batches = (1..=4).map(batch).collect();
        governor.send_queue.entries = 400.0;
        governor.send_queue.drained_at = 5 * SECOND;
        governor
    };
    let mut quick = channel();
    quick.acknowledged(SECOND);
    assert_eq!(
        quick.send_queue.entries, 100.0,
        "it was ordered at 3.5 s at the soonest, as its answer was on its way as well"
    );
    let mut slow = channel();
    slow.acknowledged(4 * SECOND);
    assert_eq!(slow.send_queue.entries, 400.0);
    // Without answers time counts, at a bad channel's pace.
    slow.publish(6 * SECOND, PublishTrigger::Event);
    assert_eq!(slow.send_queue.entries, 400.0 - 0.2 * 1000.0);
    slow.publish(60 * SECOND, PublishTrigger::Event);
    assert!(slow.send_queue.entries == 0.0 && slow.send_queue.batches.is_empty());
}

#[test]
fn the_part_of_a_cold_replica_grows_with_its_age_and_shrinks_with_stress() {
    let mut governor = governor();
    governor.replicas.insert(id("a"), warm(0));
    let replica = cold(0, Duration::ZERO);
    assert!((governor.usable_fraction(&replica, 5 * SECOND) - 0.6).abs() < 1e-9);
    governor.fleet_health.zone_stress.insert(0, 0.2);
    assert!((governor.usable_fraction(&replica, 5 * SECOND) - 0.36 * 0.8).abs() < 1e-9);
    governor.fleet_health.zone_stress.insert(0, 0.4);
    assert_eq!(governor.usable_fraction(&replica, 5 * SECOND), 0.0);
    governor.fleet_health.zone_stress.clear();
    governor.fleet_health.underprovisioned_zones.insert(0);
    assert!((governor.usable_fraction(&replica, 5 * SECOND) - 0.36).abs() < 1e-9);
    governor.parameters.classes.own_zone = 1;
    assert!((governor.usable_fraction(&replica, 5 * SECOND) - 0.6).abs() < 1e-9);
}

#[test]
fn stress_is_assumed_until_the_fleet_is_heard() {
    let mut governor = Governor::new(settings(), Duration::ZERO);
    governor.replicas.insert(id("a"), ReplicaState { observations: seen(20.0, 0.0, 0.1, SECOND), ..warm(0) });
    governor.update_health(SECOND);
    assert!(governor.fleet_health.unobserved);
    governor.replicas.insert(id("a"), ReplicaState { observations: seen(60.0, 0.0, 0.1, SECOND), ..warm(0) });
    governor.update_health(SECOND);
    assert!(!governor.fleet_health.unobserved && governor.fleet_health.zone_stress.is_empty());
}

#[test]
fn levels_wait_until_the_fleet_is_heard() {
    let mut governor = Governor::new(settings(), Duration::ZERO);
    follower(&mut governor, 1, 0, &[]);
    governor.publish(SECOND, PublishTrigger::FlushDue);
    assert!(!out(&governor).iter().any(|one| matches!(one, Decision::SetAdmission { .. })));
}

/// Two replicas sent 5 flows a second each, `a` last heard of 10 s ago.
fn silence() -> Governor {
    let mut governor = governor();
    follower(&mut governor, 1, 0, &[("a", 1.0), ("b", 1.0)]);
    for (name, last) in [("a", 20), ("b", 30)] {
        let sights = seen(20.0, 0.0, 0.1, last * SECOND);
        governor
            .replicas
            .insert(id(name), ReplicaState { observations: sights, expected_rate: 5.0, ..warm(0) });
    }
    governor.reports.last_by_zone.insert(0, 30 * SECOND);
    governor
}

fn suspected(mut governor: Governor) -> Vec<ReplicaId> {
    governor.find_outliers(30 * SECOND, 0.0).into_iter().map(|outlier| outlier.replica).collect()
}

#[test]
fn a_replica_that_owes_answers_is_suspected() {
    assert_eq!(suspected(silence()), vec![id("a")]);
}

#[test]
fn silence_counts_only_while_the_zones_sums_come() {
    let mut governor = silence();
    governor.reports.last_by_zone.insert(0, 20 * SECOND);
    assert!(suspected(governor).is_empty());
}

#[test]
fn proxies_that_just_joined_say_nothing_by_their_silence() {
    let mut governor = silence();
    governor.last_connections.insert(0, 29 * SECOND);
    assert!(suspected(governor).is_empty());
}

#[test]
fn a_line_just_widened_owes_no_answers_yet() {
    let mut governor = silence();
    governor.replicas.entry(id("a")).and_modify(|one| one.expected_rate = 0.2);
    assert!(suspected(governor).is_empty());
}

#[test]
fn a_replica_in_no_table_starts_to_owe_answers_once_it_is_in_one() {
    let mut governor = silence();
    governor.sent_tables.clear();
    governor.find_outliers(30 * SECOND, 0.0);
    assert_eq!(governor.replicas[&id("a")].observed_since, 30 * SECOND);
}

#[test]
fn unanswered_probes_shorten_the_wait_only_where_they_are_rare() {
    let mut governor = silence();
    let last = 29 * SECOND;
    for name in ["a", "c", "d", "e", "f", "g"] {
        governor
            .replicas
            .insert(id(name), ReplicaState { observations: seen(20.0, 0.0, 0.1, last), ..warm(0) });
    }
    governor.replicas.entry(id("a")).and_modify(|one| {
        (one.expected_rate, one.failed_health_checks) = (5.0, 2);
    });
    assert_eq!(governor.find_outliers(30 * SECOND, 0.0).len(), 1);
    governor.replicas.values_mut().for_each(|one| one.failed_health_checks = 2);
    assert!(governor.find_outliers(30 * SECOND, 0.0).is_empty());
}

#[test]
fn one_that_drops_unlike_the_fleet_is_suspected_unless_it_is_busy() {
    let mut governor = silence();
    let sights = seen(10.0, 10.0, 0.1, 30 * SECOND);
    governor.replicas.insert(id("a"), ReplicaState { observations: sights, ..warm(0) });
    assert_eq!(governor.find_outliers(30 * SECOND, 0.05).len(), 1);
    assert!(governor.find_outliers(30 * SECOND, 0.4).is_empty());
    governor
        .replicas
        .entry(id("a"))
        .and_modify(|one| one.queue = Some(QueueSample { length: 9.0, at: 30 * SECOND }));
    assert!(governor.find_outliers(30 * SECOND, 0.05).is_empty());
}

#[test]
fn an_unanswered_probe_raises_what_a_replica_is_taken_to_hold() {
    let probed =
        Settings { health_check_cost: Some(0.0), load_fields: vec![LoadField::InFlight], ..settings() };
    let mut governor = Governor::new(probed, Duration::ZERO);
    governor.replicas.insert(id("a"), ReplicaState { in_flight: Some(2.0), ..warm(0) });
    governor.record_health_check(SECOND, &id("a"), None, &[]);
    assert_eq!(governor.replicas[&id("a")].in_flight, Some(2.6));
}

#[test]
fn at_most_four_in_ten_are_withdrawn_for_their_health() {
    let mut governor = governor();
    let names = ["a", "b", "c", "d", "e"];
    names.iter().for_each(|name| drop(governor.replicas.insert(id(name), warm(0))));
    governor.eject_outliers(SECOND, names.iter().map(|name| outlier(2.0, name)).collect());
    assert_eq!(governor.replicas.values().filter(|one| one.is_unavailable()).count(), 2);
}

#[test]
fn a_zone_to_which_groups_are_bound_keeps_a_third() {
    let mut governor = governor_with_zone_bound_class();
    ["a", "b"].iter().for_each(|name| drop(governor.replicas.insert(id(name), warm(0))));
    (0..8).for_each(|other| drop(governor.replicas.insert(id(&format!("z{other}")), warm(1))));
    governor.eject_outliers(SECOND, vec![outlier(2.0, "a"), outlier(2.0, "b")]);
    assert!(governor.replicas[&id("a")].is_unavailable() && !governor.replicas[&id("b")].is_unavailable());
}

#[test]
fn a_zone_to_which_groups_are_bound_keeps_half_of_what_it_bears_and_its_last_warm_one() {
    let mut governor = governor_with_zone_bound_class();
    governor.replicas.insert(id("a"), warm(0));
    (0..3).for_each(|other| drop(governor.replicas.insert(id(&format!("c{other}")), cold(0, SECOND))));
    (0..8).for_each(|other| drop(governor.replicas.insert(id(&format!("z{other}")), warm(1))));
    governor.eject_outliers(10 * SECOND, vec![outlier(2.0, "a")]);
    assert!(!governor.replicas[&id("a")].is_unavailable());
}

#[test]
fn a_failed_trial_doubles_the_wait() {
    let mut governor = governor();
    governor
        .replicas
        .insert(id("a"), ReplicaState { health: HealthState::Probation { failures: 2 }, ..warm(0) });
    governor.eject_outliers(SECOND, vec![outlier(f64::MAX, "a")]);
    assert_eq!(
        governor.replicas[&id("a")].health,
        HealthState::Ejected { until: SECOND + 4 * FIRST_EJECTION, failures: 3 }
    );
}

#[test]
fn a_withdrawn_replica_goes_on_trial_and_passes_by_answers() {
    let mut governor = governor();
    governor.replicas.insert(id("b"), warm(0));
    governor.replicas.insert(
        id("a"),
        ReplicaState { health: HealthState::Ejected { until: SECOND, failures: 1 }, ..warm(0) },
    );
    governor.update_health(SECOND);
    assert_eq!(governor.replicas[&id("a")].health, HealthState::Probation { failures: 1 });
    governor.replicas.entry(id("a")).and_modify(|one| one.observations = seen(4.0, 0.0, 0.1, SECOND));
    governor.update_health(SECOND);
    assert_eq!(governor.replicas[&id("a")].health, HealthState::Healthy);
}

#[test]
fn the_last_of_a_zone_is_taken_back_however_ill() {
    let mut governor = governor_with_zone_bound_class();
    governor.replicas.insert(
        id("a"),
        ReplicaState { health: HealthState::Ejected { until: 9 * SECOND, failures: 1 }, ..warm(0) },
    );
    governor.replicas.insert(id("b"), ReplicaState { ready: false, ..warm(0) });
    governor.replicas.insert(id("z"), warm(1));
    governor.restore_ejected(SECOND);
    assert!(!governor.replicas[&id("a")].is_unavailable());
}

#[test]
fn a_default_stays_in_its_zone_until_the_zone_is_hurt() {
    let mut governor = governor();
    follower(&mut governor, 1, 0, &[]);
    follower(&mut governor, 2, 1, &[]);
    for (name, zone) in [("a", 0), ("b", 0), ("y", 1), ("z", 1)] {
        governor.replicas.insert(id(name), warm(zone));
    }
    assert_eq!(governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)].len(), 2);
    governor.replicas.entry(id("b")).and_modify(|one| one.ready = false);
    let spilled = governor.default_tables(SECOND);
    assert!(
        spilled[&default_of_zone(0, AnyZone)].contains_key("z")
            && !spilled[&default_of_zone(0, OwnZone)].contains_key("z")
    );
}

#[test]
fn unheard_proxies_of_other_governors_count_in_a_zones_demand() {
    let mut governor = governor();
    governor.parameters.shared_proxies = 40.0;
    follower(&mut governor, 1, 0, &[]);
    governor.replicas.insert(id("a"), warm(0));
    governor.replicas.insert(id("b"), cold(0, Duration::ZERO));
    governor.replicas.insert(id("z"), warm(1));
    let kept = get_or_default(&governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)], &id("a"));
    governor.parameters.shared_proxies = 0.0;
    assert!(
        get_or_default(&governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)], &id("a"))
            < kept + 1e-9
    );
}

#[test]
fn a_limping_replica_shrinks_in_the_default() {
    let mut governor = governor();
    follower(&mut governor, 1, 0, &[]);
    governor
        .replicas
        .insert(id("a"), ReplicaState { capacity_correction: -0.4, in_flight: Some(9.0), ..warm(0) });
    governor.replicas.insert(id("b"), ReplicaState { in_flight: Some(1.0), ..warm(0) });
    assert!(get_or_default(&governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)], &id("a")) < 0.7);
    governor.correct_capacities(SECOND);
    assert!(
        governor.replicas[&id("a")].capacity_correction < -0.5
            && governor.replicas[&id("b")].capacity_correction > 0.0
    );
}

#[test]
fn a_standing_table_rots_by_a_new_replica_a_partial_one_or_the_loss_of_all() {
    let mut governor = governor();
    follower(&mut governor, 1, 0, &[]);
    governor.replicas.insert(id("a"), warm(0));
    let rotten = |governor: &Governor| {
        let default = &governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)];
        governor.staleness(DefaultTableSample { roster_at: SECOND, zone: 0 }, default) != Staleness::Current
    };
    assert!(!rotten(&governor));
    governor.replicas.insert(id("b"), ReplicaState { first_ready_at: Some(2 * SECOND), ..warm(0) });
    assert!(rotten(&governor));
    governor.replicas.remove(&id("b"));
    governor.replicas.insert(id("a"), cold(0, SECOND));
    assert!(rotten(&governor));
    governor.replicas.insert(id("a"), ReplicaState { ready: false, ..warm(0) });
    governor.replicas.insert(id("z"), warm(1));
    assert!(rotten(&governor));
}

#[test]
fn only_what_cold_replicas_bear_goes_to_a_zone_with_nothing_warm() {
    let mut governor = governor_with_zone_bound_class();
    for proxy in 1..5 {
        follower(&mut governor, proxy, 0, &[]);
    }
    follower(&mut governor, 9, 1, &[]);
    governor.replicas.insert(id("a"), cold(0, Duration::ZERO));
    governor.fleet_health.underprovisioned_zones.insert(0);
    let sights = seen(20.0, 0.0, 0.1, SECOND);
    governor.replicas.insert(id("z"), ReplicaState { observations: sights, ..warm(1) });
    governor.send_tables(SECOND, Recipients::All);
    let bound =
        (1..5).filter(|proxy| !governor.sent_tables[&TableKey::new(*proxy, OwnZone)].is_empty()).count();
    assert_eq!(bound, 1);
}

#[test]
fn a_solved_table_colder_than_the_default_gives_way() {
    let mut governor = governor();
    governor.replicas.insert(id("a"), cold(0, SECOND));
    governor.replicas.insert(id("b"), ReplicaState { ready: false, ..warm(0) });
    governor.replicas.insert(id("c"), warm(0));
    governor.critical_set.tables.insert(TableKey::new(1, AnyZone), [(id("a"), 10.0), (id("b"), 90.0)].into());
    let default: Weights = [(id("a"), 0.2), (id("c"), 1.0)].into();
    follower(&mut governor, 1, 0, &[]);
    let mut model = governor.load_model(SECOND);
    assert_eq!(governor.desired_table(TableKey::new(1, AnyZone), &default, &mut model, SECOND), default);
}

#[test]
fn small_changes_of_a_line_stay_unsent() {
    let mut governor = governor();
    follower(&mut governor, 1, 0, &[("a", 1.0), ("b", 1.0)]);
    let cost = governor.update_table(
        TableKey::new(1, AnyZone),
        [(id("a"), 1.05), (id("b"), 1.5)].into(),
        Assignment::Existing,
    );
    assert_eq!(
        (cost, out(&governor)),
        (1, vec![&Decision::UpdateTable { table: 2, entries: vec![entry(id("b"), 1.5)] }])
    );
}

#[test]
fn demand_is_what_levels_let_in() {
    let mut governor = governor();
    follower(&mut governor, 1, 0, &[]);
    governor.admission.classes[0].fraction = 0.2;
    assert_eq!(governor.admitted_demand(&governor.proxies[&1], 0b11), 6.0);
}

/// Proxy 1 sends 12 flows a second to `a` and proxy 2 sends 8, while `b` idles beside it.
fn load_model() -> LoadModel {
    let capacity = ReplicaCapacity { zone: 0, requests_per_second: 10.0 };
    let flow = |requests_per_second| Flow { zone: 0, requests_per_second, distribution: 0 };
    let mut model = LoadModel {
        replicas: vec![id("a"), id("b")],
        capacities: vec![capacity; 2],
        distributions: vec![vec![ReplicaShare { replica: 0, fraction: 1.0 }]],
        flows: [(TableKey::new(1, AnyZone), flow(12.0)), (TableKey::new(2, AnyZone), flow(8.0))].into(),
        groups: [(FlowGroup { zone: 0, distribution: 0 }, 20.0)].into(),
        cross_zone_price: 1.0,
        ..LoadModel::default()
    };
    model.reset_loads();
    model
}

#[test]
fn the_greedy_step_takes_who_sends_most_to_the_hottest() {
    assert_eq!(load_model().largest_senders(&BTreeSet::new(), 1), vec![1]);
    assert_eq!(load_model().largest_senders(&[1].into(), 2), vec![2]);
}

#[test]
fn filling_lowers_the_peak_and_payoff_charges_what_moves() {
    let mut model = load_model();
    assert!(model.reward().ratio < 0.51);
    model.solve(&[1].into());
    let Reward { ratio, payoff } = model.reward();
    assert!(ratio > 0.99 && payoff < ratio - 0.4);
}

#[test]
fn a_crossing_replica_must_be_cooler_by_its_price() {
    let mut model = LoadModel { cross_zone_price: 1.5, ..load_model() };
    model.capacities[1] = ReplicaCapacity { zone: 1, requests_per_second: 10.0 };
    model.solve(&[1, 2].into());
    assert!(model.loads[0] > 1.4 * model.loads[1]);
}

#[test]
fn the_solver_waits_for_cycles_below_the_target() {
    let mut governor = governor();
    follower(&mut governor, 1, 0, &[("a", 1.0)]);
    follower(&mut governor, 2, 0, &[("a", 1.0), ("b", 1.0)]);
    governor.replicas.insert(id("a"), ReplicaState { in_flight: Some(9.0), ..warm(0) });
    governor.replicas.insert(id("b"), ReplicaState { in_flight: Some(1.0), ..warm(0) });
    governor.update_critical_set(SECOND);
    assert!(governor.critical_set.tables.is_empty());
    governor.critical_set.cycles_below_target = 3;
    governor.update_critical_set(SECOND);
    assert!(!governor.critical_set.tables.is_empty());
}

#[test]
fn pouring_fills_the_coolest_first() {
    let bins = [bin(0.0, 2.0, 7), bin(1.0, 2.0, 9)];
    assert_eq!(water_fill(4.0, &bins), vec![rate(7, 3.0), rate(9, 1.0)]);
}

/// Late answers from replicas of which `queued` report flows waiting, with 100 flows a second offered.
fn late(queued: usize) -> Governor {
    let mut governor = governor();
    governor.admission.latency = LatencySum { answers: 50.0, seconds: 60.0 };
    follower(&mut governor, 1, 0, &[]);
    governor.proxies.entry(1).and_modify(|one| one.request_rates = vec![50.0, 50.0]);
    for (place, name) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let length = if place < queued { 5.0 } else { 0.0 };
        let queue = Some(QueueSample { length, at: 9 * SECOND });
        let sights = seen(10.0, 0.0, 1.0, 9 * SECOND);
        governor.replicas.insert(id(name), ReplicaState { queue, observations: sights, ..warm(0) });
    }
    governor
}

#[test]
fn levels_are_cut_to_what_jammed_replicas_answer() {
    let mut governor = late(4);
    governor.adjust_admission(10 * SECOND);
    assert!((governor.admission.fraction - QUEUE_DRAINING_FRACTION * 0.4).abs() < 1e-9);
    governor.admission.latency = LatencySum { answers: 50.0, seconds: 60.0 };
    governor.adjust_admission(11 * SECOND);
    assert!((governor.admission.fraction - QUEUE_DRAINING_FRACTION * 0.4).abs() < 1e-9);
}

#[test]
fn late_answers_of_drained_queues_cut_nothing() {
    let mut governor = late(1);
    governor.adjust_admission(10 * SECOND);
    assert_eq!(governor.admission.fraction, 1.0);
}

#[test]
fn the_least_useful_group_is_cut_first_and_tries_end() {
    let mut governor = late(4);
    governor.admission.fraction = 0.7;
    governor.publish_admission(10 * SECOND);
    assert_eq!(
        governor.admission.classes,
        [0.4, 1.0].map(|fraction| ClassAdmission { fraction, retry_policy: RetryPolicy::Never })
    );
}

#[test]
fn further_tries_are_only_those_that_cannot_act_twice() {
    let mut governor = late(0);
    governor.publish_admission(10 * SECOND);
    let tries = governor.admission.classes.iter().map(|admission| admission.retry_policy);
    assert!(tries.into_iter().all(|tries| tries == RetryPolicy::IfNotExecuted));
}

#[test]
fn in_a_fleet_mostly_cold_levels_fall_to_what_it_bears() {
    let mut governor = Governor { nominal_weight: 4.0, ..governor() };
    follower(&mut governor, 1, 0, &[]);
    ["a", "b"].iter().for_each(|name| drop(governor.replicas.insert(id(name), cold(0, Duration::ZERO))));
    governor.publish_admission(5 * SECOND);
    assert_eq!((governor.admission.classes[0].fraction, governor.admission.classes[1].fraction), (0.0, 0.85));
}

#[test]
fn where_levels_are_not_heeded_none_is_cut() {
    let mut governor = late(4);
    (governor.parameters.limits_admission, governor.admission.fraction) = (false, 0.5);
    governor.publish_admission(10 * SECOND);
    assert!(governor.admission.classes.iter().all(|admission| admission.fraction == 1.0));
}

#[test]
fn a_whole_zone_spills_too_when_it_is_overfull() {
    let mut governor = governor();
    follower(&mut governor, 1, 0, &[]);
    governor.replicas.insert(id("a"), warm(0));
    governor.replicas.insert(id("z"), warm(1));
    assert!(governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)].contains_key("z"));
}

#[test]
fn beyond_what_jammed_the_fleet_levels_come_back_slowly() {
    let mut governor = late(0);
    governor.admission.fraction = 0.6;
    governor.admission.last_cut = LastCut { answered_fraction: 0.5, at: Duration::ZERO };
    governor.admission.latency = LatencySum { answers: 50.0, seconds: 5.0 };
    governor.adjust_admission(10 * SECOND);
    assert!((governor.admission.fraction - 0.612).abs() < 1e-9);
    (governor.admission.fraction, governor.admission.latency) =
        (0.4, LatencySum { answers: 50.0, seconds: 5.0 });
    governor.adjust_admission(11 * SECOND);
    assert!(governor.admission.fraction >= 0.42);
}

#[test]
fn demand_that_is_not_answered_shows_no_room_in_a_zone_with_cold_replicas() {
    let mut governor = governor();
    follower(&mut governor, 1, 0, &[]);
    governor.replicas.insert(id("a"), cold(0, SECOND));
    governor.replicas.insert(id("b"), ReplicaState { observations: seen(10.0, 0.0, 0.1, SECOND), ..warm(0) });
    governor.replicas.insert(id("z"), warm(1));
    let kept = |governor: &Governor| {
        get_or_default(&governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)], &id("b"))
    };
    let answered = kept(&governor);
    governor.replicas.insert(id("b"), ReplicaState { observations: seen(5.0, 5.0, 0.1, SECOND), ..warm(0) });
    assert!(kept(&governor) < 0.8 * answered);
}

#[test]
fn partial_droppers_of_a_bound_zone_stay_where_it_could_not_bear_their_loss() {
    let mut governor = governor_with_zone_bound_class();
    ["a", "b", "c"].iter().for_each(|name| drop(governor.replicas.insert(id(name), warm(0))));
    (0..8).for_each(|other| drop(governor.replicas.insert(id(&format!("z{other}")), warm(1))));
    governor.eject_outliers(SECOND, vec![outlier(0.6, "a")]);
    assert!(!governor.replicas[&id("a")].is_unavailable());
    governor.eject_outliers(SECOND, vec![outlier(2.0, "a")]);
    assert!(governor.replicas[&id("a")].is_unavailable());
}

#[test]
fn stress_is_told_by_zone() {
    let mut governor = governor();
    governor
        .replicas
        .insert(id("a"), ReplicaState { observations: seen(30.0, 30.0, 0.1, SECOND), ..warm(0) });
    governor
        .replicas
        .insert(id("z"), ReplicaState { observations: seen(1000.0, 0.0, 0.1, SECOND), ..warm(1) });
    governor.update_health(SECOND);
    assert!(
        get_or_default(&governor.fleet_health.zone_stress, &0) > 0.4
            && get_or_default(&governor.fleet_health.zone_stress, &1) < 0.1
    );
}

#[test]
fn an_urgent_order_waits_the_longer_the_fuller_the_span_is() {
    let mut governor = governor();
    follower(&mut governor, 1, 0, &[("a", 1.0)]);
    governor.replicas.insert(id("a"), ReplicaState { ready: false, ..warm(0) });
    governor.send_queue.recent_flushes = vec![SECOND; 7].into();
    governor.publish(SECOND + SECOND / 2, PublishTrigger::Event);
    assert!(governor.pending.is_empty());
    governor.publish(3 * SECOND, PublishTrigger::Event);
    assert_eq!(out(&governor)[0], &Decision::SetEjected { replica: id("a"), ejected: true });
}

#[test]
fn judging_takes_back_what_is_ill_where_nothing_warm_is_open() {
    let mut governor = governor();
    governor.replicas.insert(
        id("a"),
        ReplicaState { health: HealthState::Ejected { until: 9 * SECOND, failures: 1 }, ..warm(0) },
    );
    governor.update_health(SECOND);
    assert!(!governor.replicas[&id("a")].is_unavailable());
}

/// One zone of 40 replicas, from which 10 standing tables that can't be read were drawn.
fn large() -> Governor {
    let mut governor = governor();
    for place in 0..40 {
        governor.replicas.insert(id(&format!("r{place:02}")), warm(0));
    }
    (governor.roster_updated_at, governor.fleet_health.underprovisioned_zones) = (SECOND, BTreeSet::new());
    (0..10).for_each(|proxy| governor.proxy_connected(SECOND, with_default_table(proxy, 10.0)));
    governor
}

fn losing(mut governor: Governor, lost: usize) -> Governor {
    governor.replicas.values_mut().take(lost).for_each(|one| one.ready = false);
    governor
}

#[test]
fn tables_that_cannot_be_read_stand_until_little_of_their_zone_is_left() {
    let rotten = |lost| {
        let governor = losing(large(), lost);
        governor.staleness(
            DefaultTableSample { roster_at: SECOND, zone: 0 },
            &governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)],
        )
    };
    assert_eq!((rotten(1), rotten(10)), (Staleness::Current, Staleness::Current));
    assert_eq!((rotten(17), rotten(24)), (Staleness::Stale, Staleness::Urgent));
}

#[test]
fn own_defaults_of_a_large_zone_are_small_and_cover_it_evenly() {
    let mut governor = losing(large(), 1);
    (0..10).for_each(|proxy| governor.proxy_connected(SECOND, with_unknown_tables(proxy, 10.0)));
    governor.send_tables(SECOND, Recipients::All);
    let mut named: BTreeMap<&ReplicaId, usize> = BTreeMap::new();
    for lines in governor.sent_tables.iter().filter(|(key, _)| key.scope == AnyZone).map(|(_, lines)| lines) {
        assert_eq!(lines.len(), 8);
        lines.keys().for_each(|id| *named.entry(id).or_default() += 1);
    }
    assert!(named.len() == 39 && named.values().all(|times| (1..=3).contains(times)));
}

#[test]
fn an_own_default_keeps_its_lines_when_another_zone_replica_goes() {
    let mut governor = losing(large(), 1);
    (0..10).for_each(|proxy| governor.proxy_connected(SECOND, with_unknown_tables(proxy, 10.0)));
    governor.send_tables(SECOND, Recipients::All);
    governor.pending.clear();
    governor.replicas.entry(id("r39")).and_modify(|one| one.ready = false);
    governor.send_tables(SECOND, Recipients::All);
    let lines =
        |one: &Decision| if let Decision::UpdateTable { entries: lines, .. } = one { lines.len() } else { 0 };
    let moved: usize = governor.pending.iter().map(lines).sum();
    assert!((2..=6).contains(&moved), "{moved}");
}

#[test]
fn a_subset_of_what_has_no_room_still_names_something() {
    let mut governor = governor_with_zone_bound_class();
    let names: Weights = (0..40).map(|place| (id(&format!("r{place:02}")), 1.0)).collect();
    for name in names.keys() {
        governor.replicas.insert(name.clone(), cold(0, SECOND));
    }
    governor.fleet_health.zone_stress.insert(0, 0.9);
    follower(&mut governor, 1, 0, &[]);
    let mut model = governor.load_model(SECOND);
    assert_eq!(governor.desired_table(TableKey::new(1, OwnZone), &names, &mut model, SECOND).len(), 8);
}

#[test]
fn a_cold_replica_that_unread_tables_may_name_is_held_back_until_it_bears_its_load() {
    let mut governor = large();
    governor.replicas.insert(id("r00"), cold(0, SECOND));
    governor.update_withheld(2 * SECOND);
    assert!(governor.replicas[&id("r00")].is_unavailable());
    governor.update_withheld(9 * SECOND);
    assert!(!governor.replicas[&id("r00")].is_unavailable());
}

#[test]
fn silence_begins_only_when_waiting_lines_would_have_come() {
    let mut governor = silence();
    governor.reports.delay = 10 * SECOND;
    assert!(suspected(governor).is_empty());
}

#[test]
fn the_shortest_span_tells_how_long_lines_wait() {
    let mut governor = governor();
    follower(&mut governor, 1, 0, &[]);
    for span in [3, 2, 4] {
        governor.record_demand(
            SECOND,
            DemandStatistics { proxy: 1, class: 0, requests: 9, failed: 0, interval: span * SECOND },
        );
    }
    (governor.tick_pending, governor.ticks) = (true, 7);
    governor.decide(SECOND);
    assert_eq!(governor.reports.delay, 3 * SECOND / 2);
}

#[test]
fn who_cannot_wait_and_who_is_busiest_is_bound_first() {
    let mut governor = losing(large(), 17);
    governor.proxy_connected(SECOND, with_unknown_tables(20, 1.0));
    governor.proxies.entry(5).and_modify(|one| one.request_rates = vec![90.0, 90.0]);
    governor.send_tables(SECOND, Recipients::All);
    let follow =
        |one: &Decision| if let Decision::AssignTable { proxy, .. } = one { Some(*proxy) } else { None };
    let bound: Vec<ProxyId> = governor.pending.iter().filter_map(follow).collect();
    assert_eq!(bound[..2], [20, 5]);
}

#[test]
fn a_withdrawal_is_counted_once_for_each_that_may_hold_it() {
    let mut governor = losing(large(), 1);
    governor.send_ejections(EjectionChange::Eject);
    // What standing tables name is told nowhere, so on sockets each of ten is sent a line and a head.
    assert_eq!(governor.send_queue.entries, 10.0 * (1.0 + 7.0));
}

#[test]
fn a_proxy_beyond_the_last_table_number_is_left_on_what_it_holds() {
    let mut governor = governor();
    governor.replicas.insert(id("a"), warm(0));
    [ProxyId::MAX, ProxyId::MAX / 2]
        .iter()
        .for_each(|proxy| governor.proxy_connected(SECOND, with_unknown_tables(*proxy, 1.0)));
    governor.send_tables(SECOND, Recipients::All);
    assert!(governor.pending.is_empty());
}

#[test]
fn a_trouble_of_most_replicas_is_common_and_withdraws_none() {
    let mut governor = silence();
    for (name, dropped) in [("a", 20.0), ("b", 5.0), ("c", 5.0), ("d", 0.0)] {
        let sights = seen(25.0 - dropped, dropped, 0.1, 30 * SECOND);
        governor.replicas.insert(id(name), ReplicaState { observations: sights, ..warm(0) });
    }
    governor.update_health(30 * SECOND);
    assert!(
        governor.fleet_health.fleet_wide_fault && governor.replicas.values().all(|one| !one.is_unavailable())
    );
    governor.replicas.entry(id("c")).and_modify(|one| one.observations = seen(20.0, 0.0, 0.1, 30 * SECOND));
    governor.update_health(30 * SECOND);
    assert!(!governor.fleet_health.fleet_wide_fault && governor.replicas[&id("a")].is_unavailable());
}

#[test]
fn own_defaults_keep_their_lines_in_a_common_trouble() {
    let mut governor = losing(large(), 1);
    follower(&mut governor, 1, 0, &[("r01", 1.0), ("r02", 1.0)]);
    follower(&mut governor, 2, 0, &[("r01", 9.0)]);
    governor.proxies.entry(2).and_modify(|one| one.request_rates = vec![900.0, 900.0]);
    let default = governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)].clone();
    let keeps = |governor: &Governor| {
        governor
            .desired_table(TableKey::new(1, AnyZone), &default, &mut governor.load_model(SECOND), SECOND)
            .contains_key("r01")
    };
    assert!(!keeps(&governor));
    governor.fleet_health.fleet_wide_fault = true;
    assert!(keeps(&governor));
}

#[test]
fn a_busy_proxy_is_bound_though_its_table_stands() {
    let mut governor = large();
    governor.proxies.entry(5).and_modify(|one| one.request_rates = vec![90.0, 90.0]);
    governor
        .proxies
        .values_mut()
        .filter(|one| one.request_rates[0] < 9.0)
        .for_each(|one| one.request_rates = vec![0.5, 0.5]);
    governor.send_tables(SECOND, Recipients::All);
    assert!(governor.proxies[&5].default_table.is_none() && governor.proxies[&4].default_table.is_some());
}

#[test]
fn subsets_cross_zones_only_as_far_as_the_default_spills() {
    let mut governor = losing(large(), 1);
    (0..120).for_each(|other| drop(governor.replicas.insert(id(&format!("z{other:03}")), warm(1))));
    follower(&mut governor, 1, 0, &[]);
    let spilling = |weight: f64| {
        let own = (1..40).map(|place| (id(&format!("r{place:02}")), 1.0));
        own.chain((0..120).map(|place| (id(&format!("z{place:03}")), weight))).collect::<Weights>()
    };
    let crossing = |weight| {
        let mut model = governor.load_model(SECOND);
        let lines = governor.desired_table(TableKey::new(1, AnyZone), &spilling(weight), &mut model, SECOND);
        lines.keys().filter(|id| id.starts_with('z')).count()
    };
    assert_eq!((crossing(0.01), crossing(0.325)), (0, 4));
}

#[test]
fn governors_dealt_by_zone_take_the_unheard_to_be_in_other_zones() {
    let mut governor = governor();
    governor.parameters.shared_proxies = 4.0;
    for (name, zone) in [("a", 0), ("y", 1)] {
        governor.replicas.insert(id(name), warm(zone));
    }
    follower(&mut governor, 1, 0, &[]);
    follower(&mut governor, 2, 0, &[]);
    assert!(!governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)].contains_key("y"));
}

#[test]
fn acks_and_time_free_the_channel_slowly_until_it_is_known_to_keep_pace() {
    let mut governor = governor();
    governor.send_queue.batches = [SentBatch { at: Duration::ZERO, entries: 900.0 }].into();
    governor.send_queue.entries = 900.0;
    governor.publish(SECOND / 2, PublishTrigger::Event);
    assert_eq!(governor.send_queue.entries, 900.0 - 0.2 * 500.0);
    governor.acknowledged(SECOND / 2);
    assert_eq!(governor.send_queue.entries, 900.0 - 0.2 * 500.0, "others of the same order may wait yet");
    governor.publish(3 * SECOND / 2, PublishTrigger::Event);
    governor.acknowledged(SECOND / 2);
    assert_eq!(governor.send_queue.entries, 0.0, "it was ordered later, and has left");
}

#[test]
fn a_rise_of_levels_waits_where_it_would_fill_the_channel_and_a_cut_does_not() {
    let mut governor = late(4);
    governor.send_queue.entries = 600.0;
    governor.admission.fraction = 0.5;
    governor.publish_admission(10 * SECOND);
    assert!(governor.admission.classes[0].fraction < 0.5);
    (governor.send_queue.entries, governor.admission.fraction) = (600.0, 1.0);
    governor.publish_admission(10 * SECOND);
    assert!(governor.admission.classes[0].fraction < 0.5);
    governor.send_queue.entries = 0.0;
    governor.publish_admission(10 * SECOND);
    assert_eq!(governor.admission.classes[0].fraction, 1.0);
}

#[test]
fn those_nearly_bare_come_before_the_busiest_and_others_leave_them_room() {
    let mut governor = losing(large(), 1);
    let eight: Vec<String> = (1..9).map(|place| format!("r{place:02}")).collect();
    let eight: Vec<(&str, f64)> = eight.iter().map(|name| (name.as_str(), 2.0)).collect();
    follower(&mut governor, 1, 0, &eight);
    follower(&mut governor, 2, 0, &eight[..2]);
    governor.proxies.entry(1).and_modify(|one| one.request_rates = vec![90.0, 90.0]);
    governor.send_queue.entries = 550.0;
    governor.send_tables(SECOND, Recipients::All);
    let numbers = governor.pending.iter().filter_map(|one| match one {
        Decision::UpdateTable { table: number, .. } => Some(*number),
        _ => None,
    });
    let numbers: Vec<TableId> = numbers.collect();
    assert!(!numbers.is_empty() && numbers.iter().all(|number| number / 2 == 2));
}

#[test]
fn a_group_whose_flows_hang_is_cut_before_less_useful_ones() {
    let mut governor = late(4);
    governor.admission.fraction = 0.7;
    governor.admission.failed_fractions = vec![0.0, 0.8];
    governor.publish_admission(10 * SECOND);
    assert_eq!((governor.admission.classes[0].fraction, governor.admission.classes[1].fraction), (1.0, 0.4));
}

#[test]
fn what_levels_block_does_not_count_as_unanswered_or_answered() {
    let mut governor = late(0);
    let came = |governor: &mut Governor, dropped| {
        governor.record_demand(
            SECOND,
            DemandStatistics { proxy: 1, class: 1, requests: 100, failed: dropped, interval: SECOND },
        );
        governor.admission.failed_fractions[1]
    };
    assert!((came(&mut governor, 50) - 0.005).abs() < 1e-9);
    governor.admission.classes[1].fraction = 0.5;
    assert!((came(&mut governor, 50) - 0.009975).abs() < 1e-9);
    governor.admission.classes[1].fraction = 0.0;
    assert!((came(&mut governor, 0) - 0.009975).abs() < 1e-9);
}

#[test]
fn what_is_long_gone_and_in_no_table_is_forgotten() {
    let (gone, now) = (Some(SECOND), 300 * SECOND);
    let old = || ReplicaState { ready: false, gone_since: gone, ejection_sent: true, ..warm(0) };
    let mut governor = Governor {
        replicas: [(id("a"), old()), (id("b"), old()), (id("c"), warm(0))].into(),
        sent_tables: [(TableKey::new(7, AnyZone), [(id("b"), 1.0)].into())].into(),
        ..governor()
    };
    governor.replicas.insert(id("d"), ReplicaState { gone_since: Some(250 * SECOND), ..old() });
    governor.forget_gone_replicas(now);
    let left: Vec<&str> = governor.replicas.keys().map(|id| &**id).collect();
    assert_eq!(left, ["b", "c", "d"], "a table may still name it, or one drawn lately");
    assert_eq!(governor.pending, [Decision::SetEjected { replica: id("a"), ejected: false }]);
}

#[test]
fn rare_flows_are_not_taken_for_more_as_silence_has_no_line() {
    let mut governor = governor();
    governor.proxy_connected(Duration::ZERO, with_unknown_tables(1, 0.4));
    // A flow every five seconds; its line tells of the last half second only.
    for second in (5..200).step_by(5) {
        governor.record_demand(
            second * SECOND,
            DemandStatistics { proxy: 1, class: 0, requests: 1, failed: 0, interval: SECOND / 2 },
        );
    }
    let rate = governor.proxies[&1].request_rates[0];
    assert!((0.19..0.21).contains(&rate), "{rate}");
}

#[test]
fn who_joins_as_another_governor_ends_is_not_taken_for_overload() {
    let mut governor = late(4);
    for proxy in 2..4 {
        governor.proxy_connected(9 * SECOND, with_unknown_tables(proxy, 100.0));
    }
    governor.adjust_admission(10 * SECOND);
    assert!(
        (governor.admission.fraction - QUEUE_DRAINING_FRACTION * 0.4).abs() < 1e-9,
        "{}",
        governor.admission.fraction
    );
}

#[test]
fn what_replicas_answered_before_they_went_is_not_answered_now() {
    let mut governor = late(4);
    governor.reports.last_by_zone = [(0, 60 * SECOND)].into();
    for replica in governor.replicas.values_mut().take(2) {
        replica.observations = seen(10.0, 0.0, 1.0, 60 * SECOND);
    }
    assert!((governor.success_rate() - 20.0).abs() < 0.01, "{}", governor.success_rate());
}
