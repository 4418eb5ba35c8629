//! Governors, replicas and proxies that tests start from.

use super::*;

pub(super) const SECOND: Duration = Duration::from_secs(1);

/// A proxy of zone 0 that holds its default table and nothing else.
pub(super) fn with_default_table(proxy: ProxyId, requests_per_second: f64) -> ProxyConnection {
    ProxyConnection { proxy, zone: 0, requests_per_second, holds_default_table: true }
}

/// A proxy of zone 0 of which it is not known what it holds.
pub(super) fn with_unknown_tables(proxy: ProxyId, requests_per_second: f64) -> ProxyConnection {
    ProxyConnection { holds_default_table: false, ..with_default_table(proxy, requests_per_second) }
}

pub(super) fn entry(replica: ReplicaId, weight: f64) -> TableEntry {
    TableEntry { replica, weight }
}

pub(super) fn id(name: &str) -> ReplicaId {
    name.into()
}

pub(super) fn traffic_class(
    idempotency: Idempotency,
    same_zone_only: bool,
    priority_weight: f64,
) -> TrafficClass {
    TrafficClass {
        idempotency,
        latency_objective: SECOND,
        request_deadline: 3 * SECOND,
        priority_weight,
        same_zone_only,
    }
}

pub(super) fn settings() -> Settings {
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
pub(super) fn observed(settings: Settings) -> Governor {
    let mut governor = Governor::new(settings, Duration::ZERO);
    governor.fleet_health.unobserved = false;
    governor
}

pub(super) fn governor() -> Governor {
    observed(settings())
}

/// One whose second class is bound to the proxy's own zone.
pub(super) fn governor_with_zone_bound_class() -> Governor {
    let classes = vec![
        traffic_class(Idempotency::Idempotent, false, 1.0),
        traffic_class(Idempotency::Idempotent, true, 3.0),
    ];
    observed(Settings { classes, ..settings() })
}

pub(super) fn default_of_zone(zone: usize, scope: RouteScope) -> ZoneScope {
    ZoneScope { zone, scope }
}

pub(super) fn warm_replica(zone: usize) -> ReplicaState {
    ReplicaState {
        zone,
        weight: 1.0,
        ready: true,
        first_ready_at: Some(Duration::ZERO),
        ..ReplicaState::default()
    }
}

pub(super) fn warming_replica(zone: usize, started: Duration) -> ReplicaState {
    ReplicaState { started_at: Some(started), ..warm_replica(zone) }
}

pub(super) fn observations(
    delivered: f64,
    dropped: f64,
    time: f64,
    last: Duration,
) -> BTreeMap<usize, ZoneObservation> {
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
pub(super) fn add_follower(governor: &mut Governor, proxy: ProxyId, zone: usize, lines: &[(&str, f64)]) {
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

pub(super) fn listed(name: &str, phase: Phase) -> ReplicaEntry {
    ReplicaEntry { id: id(name), phase, zone: 0, weight: 1.0, started_at: None }
}

pub(super) fn decisions(governor: &Governor) -> Vec<&Decision> {
    governor.pending.iter().collect()
}

/// Late answers from replicas of which `queued` report flows waiting, with 100 flows a second offered.
pub(super) fn governor_with_late_answers(queued: usize) -> Governor {
    let mut governor = governor();
    governor.admission.latency = LatencySum { answers: 50.0, seconds: 60.0 };
    add_follower(&mut governor, 1, 0, &[]);
    governor.proxies.entry(1).and_modify(|one| one.request_rates = vec![50.0, 50.0]);
    for (place, name) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let length = if place < queued { 5.0 } else { 0.0 };
        let queue = Some(QueueSample { length, at: 9 * SECOND });
        let observations = observations(10.0, 0.0, 1.0, 9 * SECOND);
        governor.replicas.insert(id(name), ReplicaState { queue, observations, ..warm_replica(0) });
    }
    governor
}

/// One zone of 40 replicas, from which 10 standing tables that can't be read were drawn.
pub(super) fn governor_with_large_zone() -> Governor {
    let mut governor = governor();
    for place in 0..40 {
        governor.replicas.insert(id(&format!("r{place:02}")), warm_replica(0));
    }
    (governor.roster_updated_at, governor.fleet_health.underprovisioned_zones) = (SECOND, BTreeSet::new());
    (0..10).for_each(|proxy| governor.proxy_connected(SECOND, with_default_table(proxy, 10.0)));
    governor
}

pub(super) fn without_replicas(mut governor: Governor, lost: usize) -> Governor {
    governor.replicas.values_mut().take(lost).for_each(|one| one.ready = false);
    governor
}

/// Two replicas sent 5 flows a second each, `a` last heard of 10 s ago.
pub(super) fn governor_with_silent_replica() -> Governor {
    let mut governor = governor();
    add_follower(&mut governor, 1, 0, &[("a", 1.0), ("b", 1.0)]);
    for (name, last) in [("a", 20), ("b", 30)] {
        let observations = observations(20.0, 0.0, 0.1, last * SECOND);
        governor
            .replicas
            .insert(id(name), ReplicaState { observations, expected_rate: 5.0, ..warm_replica(0) });
    }
    governor.reports.last_by_zone.insert(0, 30 * SECOND);
    governor
}
