//! The health of the fleet.

use super::fixtures::*;
use super::*;

#[test]
fn assumes_stress_until_enough_is_observed() {
    let mut governor = Governor::new(settings(), Duration::ZERO);
    governor.replicas.insert(
        id("a"),
        ReplicaState { observations: observations(20.0, 0.0, 0.1, SECOND), ..warm_replica(0) },
    );
    governor.update_health(SECOND);
    assert!(governor.fleet_health.unobserved);
    governor.replicas.insert(
        id("a"),
        ReplicaState { observations: observations(60.0, 0.0, 0.1, SECOND), ..warm_replica(0) },
    );
    governor.update_health(SECOND);
    assert!(!governor.fleet_health.unobserved && governor.fleet_health.zone_stress.is_empty());
}

#[test]
fn puts_an_ejected_replica_on_probation_that_answers_end() {
    let mut governor = governor();
    governor.replicas.insert(id("b"), warm_replica(0));
    governor.replicas.insert(
        id("a"),
        ReplicaState { health: HealthState::Ejected { until: SECOND, failures: 1 }, ..warm_replica(0) },
    );
    governor.update_health(SECOND);
    assert_eq!(governor.replicas[&id("a")].health, HealthState::Probation { failures: 1 });
    governor.replicas.entry(id("a")).and_modify(|one| one.observations = observations(4.0, 0.0, 0.1, SECOND));
    governor.update_health(SECOND);
    assert_eq!(governor.replicas[&id("a")].health, HealthState::Healthy);
}

#[test]
fn computes_stress_by_zone() {
    let mut governor = governor();
    governor.replicas.insert(
        id("a"),
        ReplicaState { observations: observations(30.0, 30.0, 0.1, SECOND), ..warm_replica(0) },
    );
    governor.replicas.insert(
        id("z"),
        ReplicaState { observations: observations(1000.0, 0.0, 0.1, SECOND), ..warm_replica(1) },
    );
    governor.update_health(SECOND);
    assert!(
        get_or_default(&governor.fleet_health.zone_stress, &0) > 0.4
            && get_or_default(&governor.fleet_health.zone_stress, &1) < 0.1
    );
}

#[test]
fn restores_an_ejected_replica_where_no_warm_one_is_available() {
    let mut governor = governor();
    governor.replicas.insert(
        id("a"),
        ReplicaState { health: HealthState::Ejected { until: 9 * SECOND, failures: 1 }, ..warm_replica(0) },
    );
    governor.update_health(SECOND);
    assert!(!governor.replicas[&id("a")].is_unavailable());
}

#[test]
fn ejects_no_replica_in_a_fleet_wide_fault() {
    let mut governor = governor_with_silent_replica();
    for (name, dropped) in [("a", 20.0), ("b", 5.0), ("c", 5.0), ("d", 0.0)] {
        let observations = observations(25.0 - dropped, dropped, 0.1, 30 * SECOND);
        governor.replicas.insert(id(name), ReplicaState { observations, ..warm_replica(0) });
    }
    governor.update_health(30 * SECOND);
    assert!(
        governor.fleet_health.fleet_wide_fault && governor.replicas.values().all(|one| !one.is_unavailable())
    );
    governor
        .replicas
        .entry(id("c"))
        .and_modify(|one| one.observations = observations(20.0, 0.0, 0.1, 30 * SECOND));
    governor.update_health(30 * SECOND);
    assert!(!governor.fleet_health.fleet_wide_fault && governor.replicas[&id("a")].is_unavailable());
}
