//! The default tables, and when sampled ones are stale.

use super::fixtures::*;
use super::*;

#[test]
fn keeps_a_default_table_in_its_zone_until_the_zone_loses_capacity() {
    let mut governor = governor();
    add_follower(&mut governor, 1, 0, &[]);
    add_follower(&mut governor, 2, 1, &[]);
    for (name, zone) in [("a", 0), ("b", 0), ("y", 1), ("z", 1)] {
        governor.replicas.insert(id(name), warm_replica(zone));
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
fn counts_other_governors_proxies_in_a_zones_demand() {
    let mut governor = governor();
    governor.parameters.shared_proxies = 40.0;
    add_follower(&mut governor, 1, 0, &[]);
    governor.replicas.insert(id("a"), warm_replica(0));
    governor.replicas.insert(id("b"), warming_replica(0, Duration::ZERO));
    governor.replicas.insert(id("z"), warm_replica(1));
    let kept = get_or_default(&governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)], &id("a"));
    governor.parameters.shared_proxies = 0.0;
    assert!(
        get_or_default(&governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)], &id("a"))
            < kept + 1e-9
    );
}

#[test]
fn lowers_the_weight_of_a_slow_replica() {
    let mut governor = governor();
    add_follower(&mut governor, 1, 0, &[]);
    governor
        .replicas
        .insert(id("a"), ReplicaState { capacity_correction: -0.4, in_flight: Some(9.0), ..warm_replica(0) });
    governor.replicas.insert(id("b"), ReplicaState { in_flight: Some(1.0), ..warm_replica(0) });
    assert!(get_or_default(&governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)], &id("a")) < 0.7);
    governor.correct_capacities(SECOND);
    assert!(
        governor.replicas[&id("a")].capacity_correction < -0.5
            && governor.replicas[&id("b")].capacity_correction > 0.0
    );
}

#[test]
fn takes_a_sample_as_stale_after_changes_of_its_zone() {
    let mut governor = governor();
    add_follower(&mut governor, 1, 0, &[]);
    governor.replicas.insert(id("a"), warm_replica(0));
    let rotten = |governor: &Governor| {
        let default = &governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)];
        governor.staleness(DefaultTableSample { roster_at: SECOND, zone: 0 }, default) != Staleness::Current
    };
    assert!(!rotten(&governor));
    governor.replicas.insert(id("b"), ReplicaState { first_ready_at: Some(2 * SECOND), ..warm_replica(0) });
    assert!(rotten(&governor));
    governor.replicas.remove(&id("b"));
    governor.replicas.insert(id("a"), warming_replica(0, SECOND));
    assert!(rotten(&governor));
    governor.replicas.insert(id("a"), ReplicaState { ready: false, ..warm_replica(0) });
    governor.replicas.insert(id("z"), warm_replica(1));
    assert!(rotten(&governor));
}

#[test]
fn spills_over_from_an_overfull_zone() {
    let mut governor = governor();
    add_follower(&mut governor, 1, 0, &[]);
    governor.replicas.insert(id("a"), warm_replica(0));
    governor.replicas.insert(id("z"), warm_replica(1));
    assert!(governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)].contains_key("z"));
}

#[test]
fn keeps_less_in_a_warming_zone_while_demand_is_not_answered() {
    let mut governor = governor();
    add_follower(&mut governor, 1, 0, &[]);
    governor.replicas.insert(id("a"), warming_replica(0, SECOND));
    governor.replicas.insert(
        id("b"),
        ReplicaState { observations: observations(10.0, 0.0, 0.1, SECOND), ..warm_replica(0) },
    );
    governor.replicas.insert(id("z"), warm_replica(1));
    let kept = |governor: &Governor| {
        get_or_default(&governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)], &id("b"))
    };
    let answered = kept(&governor);
    governor.replicas.insert(
        id("b"),
        ReplicaState { observations: observations(5.0, 5.0, 0.1, SECOND), ..warm_replica(0) },
    );
    assert!(kept(&governor) < 0.8 * answered);
}

#[test]
fn takes_a_partial_sample_as_stale_once_little_of_it_is_left() {
    let rotten = |lost| {
        let governor = without_replicas(governor_with_large_zone(), lost);
        governor.staleness(
            DefaultTableSample { roster_at: SECOND, zone: 0 },
            &governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)],
        )
    };
    assert_eq!((rotten(1), rotten(10)), (Staleness::Current, Staleness::Current));
    assert_eq!((rotten(17), rotten(24)), (Staleness::Stale, Staleness::Urgent));
}

#[test]
fn takes_other_governors_proxies_to_be_in_other_zones() {
    let mut governor = governor();
    governor.parameters.shared_proxies = 4.0;
    for (name, zone) in [("a", 0), ("y", 1)] {
        governor.replicas.insert(id(name), warm_replica(zone));
    }
    add_follower(&mut governor, 1, 0, &[]);
    add_follower(&mut governor, 2, 0, &[]);
    assert!(!governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)].contains_key("y"));
}
