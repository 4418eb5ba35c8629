//! Tests of fleet health.

use super::fixtures::*;
use super::*;

#[test]
fn assumes_stress_until_enough_is_observed() {
    let mut governor = Governor::new(settings(), Duration::ZERO);
    add_replica(&mut governor, "a", observed_replica(0, 20.0, 0.0, SECOND));
    governor.update_health(SECOND);
    assert!(governor.fleet_health.unobserved);
    add_replica(&mut governor, "a", observed_replica(0, 60.0, 0.0, SECOND));
    governor.update_health(SECOND);
    assert!(!governor.fleet_health.unobserved && governor.fleet_health.zone_stress.is_empty());
}

#[test]
fn puts_an_ejected_replica_on_probation_until_it_responds() {
    let mut governor = governor();
    add_replica(&mut governor, "b", warm_replica(0));
    add_replica(&mut governor, "a", ejected_replica(SECOND, 1));
    governor.update_health(SECOND);
    assert_eq!(replica(&governor, "a").health, HealthState::Probation { failures: 1 });
    replica_mut(&mut governor, "a").observations = observations(4.0, 0.0, 0.1, SECOND);
    governor.update_health(SECOND);
    assert_eq!(replica(&governor, "a").health, HealthState::Healthy);
}

#[test]
fn computes_stress_by_zone() {
    let mut governor = governor();
    add_replica(&mut governor, "a", observed_replica(0, 30.0, 30.0, SECOND));
    add_replica(&mut governor, "z", observed_replica(1, 1000.0, 0.0, SECOND));
    governor.update_health(SECOND);
    assert!(
        get_or_default(&governor.fleet_health.zone_stress, &0) > 0.4
            && get_or_default(&governor.fleet_health.zone_stress, &1) < 0.1
    );
}

#[test]
fn restores_an_ejected_replica_if_no_warm_one_is_available() {
    let mut governor = governor();
    add_replica(&mut governor, "a", ejected_replica(9 * SECOND, 1));
    governor.update_health(SECOND);
    assert!(!replica(&governor, "a").is_unavailable());
}

#[test]
fn ejects_no_replica_in_a_fleet_wide_fault() {
    let mut governor = governor_with_unresponsive_replica();
    for (name, failed) in [("a", 20.0), ("b", 5.0), ("c", 5.0), ("d", 0.0)] {
        let observations = observations(25.0 - failed, failed, 0.1, 30 * SECOND);
        add_replica(&mut governor, name, ReplicaState { observations, ..warm_replica(0) });
    }
    governor.update_health(30 * SECOND);
    assert!(
        governor.fleet_health.fleet_wide_fault
            && governor.replicas.values().all(|replica| !replica.is_unavailable())
    );
    replica_mut(&mut governor, "c").observations = observations(20.0, 0.0, 0.1, 30 * SECOND);
    governor.update_health(30 * SECOND);
    assert!(!governor.fleet_health.fleet_wide_fault && replica(&governor, "a").is_unavailable());
}
