//! Governors, replicas and proxies for tests.

use super::*;

pub(super) const SECOND: Duration = Duration::from_secs(1);

/// A proxy of zone 0 that has its default table and no other.
pub(super) fn with_default_table(proxy: ProxyId, requests_per_second: f64) -> ProxyConnection {
    ProxyConnection { proxy, zone: 0, requests_per_second, held_tables: HeldTables::CheckedDefault }
}

/// A proxy of zone 0 whose tables are not known.
pub(super) fn with_unknown_tables(proxy: ProxyId, requests_per_second: f64) -> ProxyConnection {
    ProxyConnection { held_tables: HeldTables::Unknown, ..with_default_table(proxy, requests_per_second) }
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

/// A governor that has observed enough attempts to judge the fleet's health.
pub(super) fn observed(settings: Settings) -> Governor {
    let mut governor = Governor::new(settings, Duration::ZERO);
    governor.fleet_health.unobserved = false;
    governor
}

pub(super) fn governor() -> Governor {
    observed(settings())
}

/// A governor whose second class is bound to the proxy's own zone.
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

/// Statistics from the proxies of zone 0, with an attempt rate equal to the number of attempts.
pub(super) fn observations(
    succeeded: f64,
    failed: f64,
    latency_seconds: f64,
    last_report: Duration,
) -> BTreeMap<usize, ZoneObservation> {
    let observation = ZoneObservation {
        succeeded,
        failed,
        attempts_per_second: succeeded + failed,
        latency_seconds,
        last_report,
        last_success: last_report,
    };
    BTreeMap::from([(0, observation)])
}

/// A warm replica with statistics from proxies of zone 0 and a latency of 100 ms.
pub(super) fn observed_replica(
    zone: usize,
    succeeded: f64,
    failed: f64,
    last_report: Duration,
) -> ReplicaState {
    let observations = observations(succeeded, failed, 0.1, last_report);
    ReplicaState { observations, ..warm_replica(zone) }
}

pub(super) fn draining_replica(zone: usize) -> ReplicaState {
    ReplicaState { ready: false, ..warm_replica(zone) }
}

pub(super) fn ejected_replica(until: Duration, failures: u32) -> ReplicaState {
    ReplicaState { health: HealthState::Ejected { until, failures }, ..warm_replica(0) }
}

pub(super) fn add_replica(governor: &mut Governor, name: &str, replica: ReplicaState) {
    governor.replicas.insert(id(name), replica);
}

pub(super) fn replica<'a>(governor: &'a Governor, name: &str) -> &'a ReplicaState {
    &governor.replicas[name]
}

pub(super) fn replica_mut<'a>(governor: &'a mut Governor, name: &str) -> &'a mut ReplicaState {
    governor.replicas.get_mut(name).expect("the test added it")
}

/// Adds a proxy that follows dedicated tables with these entries and receives 5 requests per second of each
/// class.
pub(super) fn add_proxy(governor: &mut Governor, proxy: ProxyId, zone: usize, entries: &[(&str, f64)]) {
    let state = ProxyState {
        zone,
        request_rates: vec![5.0, 5.0],
        connected_at: Duration::ZERO,
        last_reports: vec![Duration::ZERO; 2],
        default_table: None,
        unsynchronised: false,
    };
    governor.proxies.insert(proxy, state);
    governor.last_connections.insert(zone, Duration::ZERO);
    let weights: Weights = entries.iter().map(|(name, weight)| (id(name), *weight)).collect();
    for scope in RouteScope::ALL {
        governor.sent_tables.insert(TableKey::new(proxy, scope), weights.clone());
    }
}

/// Sets the requests per second that a proxy receives of each class.
pub(super) fn set_class_rates(governor: &mut Governor, proxy: ProxyId, requests_per_second: f64) {
    let proxy = governor.proxies.get_mut(&proxy).expect("the test connected it");
    proxy.request_rates = vec![requests_per_second; 2];
}

/// The default table of zone 0 for classes that may go to any zone.
pub(super) fn default_table(governor: &Governor) -> Weights {
    governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)].clone()
}

/// Flushes until the limit allows no more.
pub(super) fn use_all_flushes(governor: &mut Governor, now: Duration) {
    let limit = governor.parameters.flush_limit;
    while governor.flush_limiter.remaining(now, &limit) > 0 {
        governor.flush_limiter.record_flush(now, &limit);
    }
}

pub(super) fn roster_entry(name: &str, phase: Phase) -> ReplicaEntry {
    ReplicaEntry { id: id(name), phase, zone: 0, weight: 1.0, started_at: None }
}

pub(super) fn decisions(governor: &Governor) -> Vec<&Decision> {
    governor.pending.iter().collect()
}

/// A governor with late responses from four replicas, of which `queued` report queued requests. Its proxy
/// receives 100 requests per second.
pub(super) fn governor_with_late_responses(queued: usize) -> Governor {
    let mut governor = governor();
    governor.admission.latency = LatencySum { responses: 50.0, seconds: 60.0 };
    add_proxy(&mut governor, 1, 0, &[]);
    set_class_rates(&mut governor, 1, 50.0);
    for (index, name) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let length = if index < queued { 5.0 } else { 0.0 };
        let queue = Some(QueueSample { length, at: 9 * SECOND });
        let observations = observations(10.0, 0.0, 1.0, 9 * SECOND);
        add_replica(&mut governor, name, ReplicaState { queue, observations, ..warm_replica(0) });
    }
    governor
}

/// A governor with one zone of 40 replicas and 10 proxies whose default tables are partial samples of them.
pub(super) fn governor_with_large_zone() -> Governor {
    let mut governor = governor();
    for index in 0..40 {
        add_replica(&mut governor, &format!("r{index:02}"), warm_replica(0));
    }
    governor.roster_updated_at = SECOND;
    for proxy in 0..10 {
        governor.proxy_connected(SECOND, with_default_table(proxy, 10.0));
    }
    governor
}

/// Marks the first `lost` replicas as not ready.
pub(super) fn with_draining_replicas(mut governor: Governor, count: usize) -> Governor {
    for replica in governor.replicas.values_mut().take(count) {
        replica.ready = false;
    }
    governor
}

/// A governor with two replicas that are sent 5 requests per second each. The last report of `a` is 10 s old.
pub(super) fn governor_with_unresponsive_replica() -> Governor {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[("a", 1.0), ("b", 1.0)]);
    for (name, last_report) in [("a", 20 * SECOND), ("b", 30 * SECOND)] {
        let observed = observed_replica(0, 20.0, 0.0, last_report);
        add_replica(&mut governor, name, ReplicaState { expected_rate: 5.0, ..observed });
    }
    governor.reports.last_by_zone.insert(0, 30 * SECOND);
    governor
}
