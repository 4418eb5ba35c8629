//! Tests of ejecting and restoring replicas.

use super::fixtures::*;
use super::*;

fn outlier(severity: f64, name: &str) -> Outlier {
    Outlier { severity, replica: id(name) }
}

#[test]
fn ejects_at_most_four_in_ten_replicas() {
    let mut governor = governor();
    let names = ["a", "b", "c", "d", "e"];
    for name in names {
        add_replica(&mut governor, name, warm_replica(0));
    }
    governor.eject_outliers(SECOND, names.iter().map(|name| outlier(2.0, name)).collect());
    assert_eq!(governor.replicas.values().filter(|replica| replica.is_unavailable()).count(), 2);
}

#[test]
fn keeps_a_third_of_a_zone_with_bound_classes() {
    let mut governor = governor_with_zone_bound_class();
    for name in ["a", "b"] {
        add_replica(&mut governor, name, warm_replica(0));
    }
    for index in 0..8 {
        add_replica(&mut governor, &format!("z{index}"), warm_replica(1));
    }
    governor.eject_outliers(SECOND, vec![outlier(2.0, "a"), outlier(2.0, "b")]);
    assert!(replica(&governor, "a").is_unavailable() && !replica(&governor, "b").is_unavailable());
}

#[test]
fn keeps_the_last_warm_replica_of_a_zone_with_bound_classes() {
    let mut governor = governor_with_zone_bound_class();
    add_replica(&mut governor, "a", warm_replica(0));
    for index in 0..3 {
        add_replica(&mut governor, &format!("c{index}"), warming_replica(0, SECOND));
    }
    for index in 0..8 {
        add_replica(&mut governor, &format!("z{index}"), warm_replica(1));
    }
    governor.eject_outliers(10 * SECOND, vec![outlier(2.0, "a")]);
    assert!(!replica(&governor, "a").is_unavailable());
}

#[test]
fn doubles_the_ejection_after_a_failed_probation() {
    let mut governor = governor();
    add_replica(
        &mut governor,
        "a",
        ReplicaState { health: HealthState::Probation { failures: 2 }, ..warm_replica(0) },
    );
    governor.eject_outliers(SECOND, vec![outlier(f64::MAX, "a")]);
    assert_eq!(
        replica(&governor, "a").health,
        HealthState::Ejected { until: SECOND + 4 * FIRST_EJECTION, failures: 3 }
    );
}

#[test]
fn restores_the_last_replica_of_a_zone_with_bound_classes() {
    let mut governor = governor_with_zone_bound_class();
    add_replica(&mut governor, "a", ejected_replica(9 * SECOND, 1));
    add_replica(&mut governor, "b", draining_replica(0));
    add_replica(&mut governor, "z", warm_replica(1));
    governor.restore_ejected(SECOND);
    assert!(!replica(&governor, "a").is_unavailable());
}

#[test]
fn keeps_partially_failing_replicas_that_a_zone_with_bound_classes_needs() {
    let mut governor = governor_with_zone_bound_class();
    for name in ["a", "b", "c"] {
        add_replica(&mut governor, name, warm_replica(0));
    }
    for index in 0..8 {
        add_replica(&mut governor, &format!("z{index}"), warm_replica(1));
    }
    governor.eject_outliers(SECOND, vec![outlier(0.6, "a")]);
    assert!(!replica(&governor, "a").is_unavailable());
    governor.eject_outliers(SECOND, vec![outlier(2.0, "a")]);
    assert!(replica(&governor, "a").is_unavailable());
}
