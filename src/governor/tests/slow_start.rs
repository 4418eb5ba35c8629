//! Tests of slow start.

use super::fixtures::*;
use super::*;

#[test]
fn sends_a_warming_replica_more_with_age_and_less_with_stress() {
    let mut governor = governor();
    add_replica(&mut governor, "a", warm_replica(0));
    let replica = warming_replica(0, Duration::ZERO);
    assert!((governor.usable_fraction(&replica, 5 * SECOND) - 0.6).abs() < 1e-9);
    governor.fleet_health.zone_stress.insert(0, 0.2);
    assert!((governor.usable_fraction(&replica, 5 * SECOND) - 0.36 * 0.8).abs() < 1e-9);
    governor.fleet_health.zone_stress.insert(0, 0.4);
    assert_eq!(governor.usable_fraction(&replica, 5 * SECOND), 0.0);
    governor.fleet_health.zone_stress.clear();
    governor.fleet_health.underprovisioned_zones.insert(0);
    assert!((governor.usable_fraction(&replica, 5 * SECOND) - 0.36).abs() < 1e-9);
    governor.parameters.classes.own_zone = 1;
    assert!((governor.usable_fraction(&replica, 5 * SECOND) - 0.6).abs() < 1e-9);
}

#[test]
fn limits_an_underprovisioned_zone_to_its_capacity() {
    let mut governor = governor_with_zone_bound_class();
    for proxy in 1..5 {
        add_proxy(&mut governor, proxy, 0, &[]);
    }
    add_proxy(&mut governor, 9, 1, &[]);
    add_replica(&mut governor, "a", warming_replica(0, Duration::ZERO));
    governor.fleet_health.underprovisioned_zones.insert(0);
    let observations = observations(20.0, 0.0, 0.1, SECOND);
    add_replica(&mut governor, "z", ReplicaState { observations, ..warm_replica(1) });
    governor.send_tables(SECOND, Recipients::All);
    let bound =
        (1..5).filter(|proxy| !governor.sent_tables[&TableKey::new(*proxy, OwnZone)].is_empty()).count();
    assert_eq!(bound, 1);
}

#[test]
fn withholds_a_warming_replica_that_partial_samples_may_contain() {
    let mut governor = governor_with_large_zone();
    add_replica(&mut governor, "r00", warming_replica(0, SECOND));
    governor.update_withheld(2 * SECOND);
    assert!(replica(&governor, "r00").is_unavailable());
    governor.update_withheld(9 * SECOND);
    assert!(!replica(&governor, "r00").is_unavailable());
}
