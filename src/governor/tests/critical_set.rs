//! Tests of the paper's mechanism: critical set and water-filling.

use super::fixtures::*;
use super::*;

fn rate(replica: usize, rate: f64) -> ReplicaRate {
    ReplicaRate { replica, rate }
}

fn bin(level: f64, capacity: f64, replica: usize) -> Bin {
    Bin { level, capacity, replica }
}

/// Proxy 1 sends 12 requests per second to `a` and proxy 2 sends 8, while `b` is idle.
fn load_model() -> LoadModel {
    let capacity = ReplicaCapacity { zone: 0, requests_per_second: 10.0 };
    let flow = |requests_per_second| Flow { zone: 0, requests_per_second, distribution: 0 };
    let mut model = LoadModel {
        replicas: vec![id("a"), id("b")],
        capacities: vec![capacity; 2],
        distributions: vec![vec![ReplicaShare { replica: 0, fraction: 1.0 }]],
        flows: [(TableKey::new(1, AnyZone), flow(12.0)), (TableKey::new(2, AnyZone), flow(8.0))].into(),
        groups: [(FlowGroup { zone: 0, distribution: 0 }, 20.0)].into(),
        cross_zone_price: 1.0,
        ..LoadModel::default()
    };
    model.reset_loads();
    model
}

#[test]
fn adds_the_proxy_that_sends_most_to_the_most_utilised_replica() {
    assert_eq!(load_model().largest_senders(&BTreeSet::new(), 1), vec![1]);
    assert_eq!(load_model().largest_senders(&[1].into(), 2), vec![2]);
}

#[test]
fn lowers_the_peak_and_charges_the_disturbance() {
    let mut model = load_model();
    assert!(model.reward().ratio < 0.51);
    model.solve(&[1].into());
    let Reward { ratio, payoff } = model.reward();
    assert!(ratio > 0.99 && payoff < ratio - 0.4);
}

#[test]
fn prices_replicas_in_other_zones() {
    let mut model = LoadModel { cross_zone_price: 1.5, ..load_model() };
    model.capacities[1] = ReplicaCapacity { zone: 1, requests_per_second: 10.0 };
    model.solve(&[1, 2].into());
    assert!(model.loads[0] > 1.4 * model.loads[1]);
}

#[test]
fn solves_after_cycles_below_the_target() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[("a", 1.0)]);
    add_proxy(&mut governor, 2, 0, &[("a", 1.0), ("b", 1.0)]);
    add_replica(&mut governor, "a", ReplicaState { in_flight: Some(9.0), ..warm_replica(0) });
    add_replica(&mut governor, "b", ReplicaState { in_flight: Some(1.0), ..warm_replica(0) });
    governor.update_critical_set(SECOND);
    assert!(governor.critical_set.tables.is_empty());
    governor.critical_set.cycles_below_target = 3;
    governor.update_critical_set(SECOND);
    assert!(!governor.critical_set.tables.is_empty());
}

#[test]
fn fills_the_bin_with_the_lowest_level_first() {
    let bins = [bin(0.0, 2.0, 7), bin(1.0, 2.0, 9)];
    assert_eq!(water_fill(4.0, &bins), vec![rate(7, 3.0), rate(9, 1.0)]);
}
