//! Ejecting faulty replicas, and taking them back.

use super::fixtures::*;
use super::*;

fn outlier(severity: f64, name: &str) -> Outlier {
    Outlier { severity, replica: id(name) }
}

#[test]
fn ejects_at_most_four_in_ten_replicas() {
    let mut governor = governor();
    let names = ["a", "b", "c", "d", "e"];
    names.iter().for_each(|name| drop(governor.replicas.insert(id(name), warm_replica(0))));
    governor.eject_outliers(SECOND, names.iter().map(|name| outlier(2.0, name)).collect());
    assert_eq!(governor.replicas.values().filter(|one| one.is_unavailable()).count(), 2);
}

#[test]
fn keeps_a_third_of_a_zone_with_bound_classes() {
    let mut governor = governor_with_zone_bound_class();
    ["a", "b"].iter().for_each(|name| drop(governor.replicas.insert(id(name), warm_replica(0))));
    (0..8).for_each(|other| drop(governor.replicas.insert(id(&format!("z{other}")), warm_replica(1))));
    governor.eject_outliers(SECOND, vec![outlier(2.0, "a"), outlier(2.0, "b")]);
    assert!(governor.replicas[&id("a")].is_unavailable() && !governor.replicas[&id("b")].is_unavailable());
}

#[test]
fn keeps_the_last_warm_replica_of_a_zone_with_bound_classes() {
    let mut governor = governor_with_zone_bound_class();
    governor.replicas.insert(id("a"), warm_replica(0));
    (0..3).for_each(|other| {
        drop(governor.replicas.insert(id(&format!("c{other}")), warming_replica(0, SECOND)))
    });
    (0..8).for_each(|other| drop(governor.replicas.insert(id(&format!("z{other}")), warm_replica(1))));
    governor.eject_outliers(10 * SECOND, vec![outlier(2.0, "a")]);
    assert!(!governor.replicas[&id("a")].is_unavailable());
}

#[test]
fn doubles_the_ejection_after_a_failed_probation() {
    let mut governor = governor();
    governor
        .replicas
        .insert(id("a"), ReplicaState { health: HealthState::Probation { failures: 2 }, ..warm_replica(0) });
    governor.eject_outliers(SECOND, vec![outlier(f64::MAX, "a")]);
    assert_eq!(
        governor.replicas[&id("a")].health,
        HealthState::Ejected { until: SECOND + 4 * FIRST_EJECTION, failures: 3 }
    );
}

#[test]
fn restores_the_last_replica_of_a_zone_with_bound_classes() {
    let mut governor = governor_with_zone_bound_class();
    governor.replicas.insert(
        id("a"),
        ReplicaState { health: HealthState::Ejected { until: 9 * SECOND, failures: 1 }, ..warm_replica(0) },
    );
    governor.replicas.insert(id("b"), ReplicaState { ready: false, ..warm_replica(0) });
    governor.replicas.insert(id("z"), warm_replica(1));
    governor.restore_ejected(SECOND);
    assert!(!governor.replicas[&id("a")].is_unavailable());
}

#[test]
fn keeps_partially_failing_replicas_that_a_zone_with_bound_classes_needs() {
    let mut governor = governor_with_zone_bound_class();
    ["a", "b", "c"].iter().for_each(|name| drop(governor.replicas.insert(id(name), warm_replica(0))));
    (0..8).for_each(|other| drop(governor.replicas.insert(id(&format!("z{other}")), warm_replica(1))));
    governor.eject_outliers(SECOND, vec![outlier(0.6, "a")]);
    assert!(!governor.replicas[&id("a")].is_unavailable());
    governor.eject_outliers(SECOND, vec![outlier(2.0, "a")]);
    assert!(governor.replicas[&id("a")].is_unavailable());
}
