//! Tests of outlier detection.

use super::fixtures::*;
use super::*;

fn outliers_of(mut governor: Governor) -> Vec<ReplicaId> {
    governor.find_outliers(30 * SECOND, 0.0).into_iter().map(|outlier| outlier.replica).collect()
}

#[test]
fn finds_a_replica_with_missing_responses() {
    assert_eq!(outliers_of(governor_with_unresponsive_replica()), vec![id("a")]);
}

#[test]
fn ignores_missing_responses_in_a_zone_without_reports() {
    let mut governor = governor_with_unresponsive_replica();
    governor.reports.last_by_zone.insert(0, 20 * SECOND);
    assert!(outliers_of(governor).is_empty());
}

#[test]
fn ignores_missing_responses_to_newly_connected_proxies() {
    let mut governor = governor_with_unresponsive_replica();
    governor.last_connections.insert(0, 29 * SECOND);
    assert!(outliers_of(governor).is_empty());
}

#[test]
fn expects_no_responses_yet_after_a_weight_was_raised() {
    let mut governor = governor_with_unresponsive_replica();
    replica_mut(&mut governor, "a").expected_rate = 0.2;
    assert!(outliers_of(governor).is_empty());
}

#[test]
fn expects_no_responses_from_a_replica_in_no_table() {
    let mut governor = governor_with_unresponsive_replica();
    governor.sent_tables.clear();
    governor.find_outliers(30 * SECOND, 0.0);
    assert_eq!(replica(&governor, "a").observed_since, 30 * SECOND);
}

#[test]
fn counts_failed_health_checks_only_if_they_are_rare() {
    let mut governor = governor_with_unresponsive_replica();
    let last = 29 * SECOND;
    for name in ["a", "c", "d", "e", "f", "g"] {
        add_replica(&mut governor, name, observed_replica(0, 20.0, 0.0, last));
    }
    replica_mut(&mut governor, "a").expected_rate = 5.0;
    replica_mut(&mut governor, "a").failed_health_checks = 2;
    assert_eq!(governor.find_outliers(30 * SECOND, 0.0).len(), 1);
    for replica in governor.replicas.values_mut() {
        replica.failed_health_checks = 2;
    }
    assert!(governor.find_outliers(30 * SECOND, 0.0).is_empty());
}

#[test]
fn finds_a_replica_that_fails_more_than_the_fleet_unless_it_is_overloaded() {
    let mut governor = governor_with_unresponsive_replica();
    let observations = observations(10.0, 10.0, 0.1, 30 * SECOND);
    add_replica(&mut governor, "a", ReplicaState { observations, ..warm_replica(0) });
    assert_eq!(governor.find_outliers(30 * SECOND, 0.05).len(), 1);
    assert!(governor.find_outliers(30 * SECOND, 0.4).is_empty());
    replica_mut(&mut governor, "a").queue = Some(QueueSample { length: 9.0, at: 30 * SECOND });
    assert!(governor.find_outliers(30 * SECOND, 0.05).is_empty());
}

#[test]
fn waits_for_delayed_reports_before_counting_missing_responses() {
    let mut governor = governor_with_unresponsive_replica();
    governor.reports.delay = 10 * SECOND;
    assert!(outliers_of(governor).is_empty());
}
