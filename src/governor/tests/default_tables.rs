//! Tests of default tables and their staleness.

use super::fixtures::*;
use super::*;

#[test]
fn keeps_a_default_table_in_its_zone_until_the_zone_loses_capacity() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[]);
    add_proxy(&mut governor, 2, 1, &[]);
    for (name, zone) in [("a", 0), ("b", 0), ("y", 1), ("z", 1)] {
        add_replica(&mut governor, name, warm_replica(zone));
    }
    assert_eq!(default_table(&governor).len(), 2);
    replica_mut(&mut governor, "b").ready = false;
    let spilled = governor.default_tables(SECOND);
    assert!(
        spilled[&default_of_zone(0, AnyZone)].contains_key("z")
            && !spilled[&default_of_zone(0, OwnZone)].contains_key("z")
    );
}

#[test]
fn counts_other_governors_proxies_in_a_zones_demand() {
    let mut governor = governor();
    governor.parameters.shared_proxies = 40.0;
    add_proxy(&mut governor, 1, 0, &[]);
    add_replica(&mut governor, "a", warm_replica(0));
    add_replica(&mut governor, "b", warming_replica(0, Duration::ZERO));
    add_replica(&mut governor, "z", warm_replica(1));
    let kept = get_or_default(&default_table(&governor), &id("a"));
    governor.parameters.shared_proxies = 0.0;
    assert!(get_or_default(&default_table(&governor), &id("a")) < kept + 1e-9);
}

#[test]
fn lowers_the_weight_of_a_slow_replica() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[]);
    add_replica(
        &mut governor,
        "a",
        ReplicaState { capacity_correction: -0.4, in_flight: Some(9.0), ..warm_replica(0) },
    );
    add_replica(&mut governor, "b", ReplicaState { in_flight: Some(1.0), ..warm_replica(0) });
    assert!(get_or_default(&default_table(&governor), &id("a")) < 0.7);
    governor.correct_capacities(SECOND);
    assert!(
        replica(&governor, "a").capacity_correction < -0.5
            && replica(&governor, "b").capacity_correction > 0.0
    );
}

#[test]
fn marks_a_sample_stale_after_changes_in_its_zone() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[]);
    add_replica(&mut governor, "a", warm_replica(0));
    let is_stale = |governor: &Governor| {
        let default = &default_table(governor);
        governor.staleness(DefaultTableSample { roster_at: SECOND, zone: 0 }, default) != Staleness::Current
    };
    assert!(!is_stale(&governor));
    add_replica(&mut governor, "b", ReplicaState { first_ready_at: Some(2 * SECOND), ..warm_replica(0) });
    assert!(is_stale(&governor));
    governor.replicas.remove(&id("b"));
    add_replica(&mut governor, "a", warming_replica(0, SECOND));
    assert!(is_stale(&governor));
    add_replica(&mut governor, "a", draining_replica(0));
    add_replica(&mut governor, "z", warm_replica(1));
    assert!(is_stale(&governor));
}

#[test]
fn spills_over_from_an_overloaded_zone() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[]);
    add_replica(&mut governor, "a", warm_replica(0));
    add_replica(&mut governor, "z", warm_replica(1));
    assert!(default_table(&governor).contains_key("z"));
}

#[test]
fn keeps_less_in_a_warming_zone_while_demand_is_not_answered() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[]);
    add_replica(&mut governor, "a", warming_replica(0, SECOND));
    add_replica(&mut governor, "b", observed_replica(0, 10.0, 0.0, SECOND));
    add_replica(&mut governor, "z", warm_replica(1));
    let kept = |governor: &Governor| get_or_default(&default_table(governor), &id("b"));
    let answered = kept(&governor);
    add_replica(&mut governor, "b", observed_replica(0, 5.0, 5.0, SECOND));
    assert!(kept(&governor) < 0.8 * answered);
}

#[test]
fn marks_a_partial_sample_stale_once_little_capacity_is_left() {
    let staleness = |lost| {
        let governor = with_draining_replicas(governor_with_large_zone(), lost);
        governor.staleness(DefaultTableSample { roster_at: SECOND, zone: 0 }, &default_table(&governor))
    };
    assert_eq!((staleness(1), staleness(10)), (Staleness::Current, Staleness::Current));
    assert_eq!((staleness(17), staleness(24)), (Staleness::Stale, Staleness::Urgent));
}

#[test]
fn assumes_other_governors_proxies_are_in_other_zones() {
    let mut governor = governor();
    governor.parameters.shared_proxies = 4.0;
    for (name, zone) in [("a", 0), ("y", 1)] {
        add_replica(&mut governor, name, warm_replica(zone));
    }
    add_proxy(&mut governor, 1, 0, &[]);
    add_proxy(&mut governor, 2, 0, &[]);
    assert!(!default_table(&governor).contains_key("y"));
}
