//! Tests of statistics and health check results.

use super::fixtures::*;
use super::*;

#[test]
fn uses_the_full_rate_of_a_replicas_first_report() {
    let mut governor = governor();
    add_replica(&mut governor, "a", warm_replica(0));
    governor.record_replica_statistics(
        SECOND,
        ReplicaStatistics {
            zone: 0,
            replica: id("a"),
            attempts: 5,
            failed: 0,
            mean_latency: Some(SECOND),
            interval: SECOND / 2,
            load: vec![],
        },
    );
    assert_eq!(governor.success_rate(), 10.0);
}

#[test]
fn raises_the_requests_in_flight_after_a_failed_health_check() {
    let with_health_checks =
        Settings { health_check_cost: Some(0.0), load_fields: vec![LoadField::InFlight], ..settings() };
    let mut governor = Governor::new(with_health_checks, Duration::ZERO);
    add_replica(&mut governor, "a", ReplicaState { in_flight: Some(2.0), ..warm_replica(0) });
    governor.record_health_check(SECOND, &id("a"), None, &[]);
    assert_eq!(replica(&governor, "a").in_flight, Some(2.6));
}

#[test]
fn counts_admitted_requests_as_demand() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[]);
    governor.admission.classes[0].fraction = 0.2;
    assert_eq!(governor.admitted_demand(&governor.proxies[&1], 0b11), 6.0);
}

#[test]
fn estimates_the_report_delay_by_the_shortest_interval() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[]);
    for seconds in [3, 2, 4] {
        governor.record_demand(
            SECOND,
            DemandStatistics { proxy: 1, class: 0, requests: 9, failed: 0, interval: seconds * SECOND },
        );
    }
    governor.tick_pending = true;
    governor.ticks = 7;
    governor.decide(SECOND);
    assert_eq!(governor.reports.delay, 3 * SECOND / 2);
}

#[test]
fn counts_failures_of_admitted_requests_only() {
    let mut governor = governor_with_late_responses(0);
    let failed_fraction_after = |governor: &mut Governor, failed| {
        governor.record_demand(
            SECOND,
            DemandStatistics { proxy: 1, class: 1, requests: 100, failed, interval: SECOND },
        );
        governor.admission.failed_fractions[1]
    };
    assert!((failed_fraction_after(&mut governor, 50) - 0.005).abs() < 1e-9);
    governor.admission.classes[1].fraction = 0.5;
    assert!((failed_fraction_after(&mut governor, 50) - 0.009975).abs() < 1e-9);
    governor.admission.classes[1].fraction = 0.0;
    assert!((failed_fraction_after(&mut governor, 0) - 0.009975).abs() < 1e-9);
}

#[test]
fn does_not_overestimate_the_rate_of_rare_requests() {
    let mut governor = governor();
    governor.proxy_connected(Duration::ZERO, with_unknown_tables(1, 0.4));
    // One request every five seconds, with statistics that cover the last half second only.
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
fn fades_the_success_rate_of_replicas_without_reports() {
    let mut governor = governor_with_late_responses(4);
    governor.reports.last_by_zone = [(0, 60 * SECOND)].into();
    for replica in governor.replicas.values_mut().take(2) {
        replica.observations = observations(10.0, 0.0, 1.0, 60 * SECOND);
    }
    assert!((governor.success_rate() - 20.0).abs() < 0.01, "{}", governor.success_rate());
}
