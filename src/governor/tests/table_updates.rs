//! What proxies are told of their tables.

use super::fixtures::*;
use super::*;

#[test]
fn prefers_the_default_to_a_solved_table_with_more_warming_replicas() {
    let mut governor = governor();
    governor.replicas.insert(id("a"), warming_replica(0, SECOND));
    governor.replicas.insert(id("b"), ReplicaState { ready: false, ..warm_replica(0) });
    governor.replicas.insert(id("c"), warm_replica(0));
    governor.critical_set.tables.insert(TableKey::new(1, AnyZone), [(id("a"), 10.0), (id("b"), 90.0)].into());
    let default: Weights = [(id("a"), 0.2), (id("c"), 1.0)].into();
    add_follower(&mut governor, 1, 0, &[]);
    let mut model = governor.load_model(SECOND);
    assert_eq!(governor.desired_table(TableKey::new(1, AnyZone), &default, &mut model, SECOND), default);
}

#[test]
fn does_not_send_small_changes_of_a_weight() {
    let mut governor = governor();
    add_follower(&mut governor, 1, 0, &[("a", 1.0), ("b", 1.0)]);
    let cost = governor.update_table(
        TableKey::new(1, AnyZone),
        [(id("a"), 1.05), (id("b"), 1.5)].into(),
        Assignment::Existing,
    );
    assert_eq!(
        (cost, decisions(&governor)),
        (1, vec![&Decision::UpdateTable { table: 2, entries: vec![entry(id("b"), 1.5)] }])
    );
}

#[test]
fn spreads_small_default_tables_evenly_over_a_large_zone() {
    let mut governor = without_replicas(governor_with_large_zone(), 1);
    (0..10).for_each(|proxy| governor.proxy_connected(SECOND, with_unknown_tables(proxy, 10.0)));
    governor.send_tables(SECOND, Recipients::All);
    let mut named: BTreeMap<&ReplicaId, usize> = BTreeMap::new();
    for lines in governor.sent_tables.iter().filter(|(key, _)| key.scope == AnyZone).map(|(_, lines)| lines) {
        assert_eq!(lines.len(), 8);
        lines.keys().for_each(|id| *named.entry(id).or_default() += 1);
    }
    assert!(named.len() == 39 && named.values().all(|times| (1..=3).contains(times)));
}

#[test]
fn keeps_most_entries_of_small_default_tables_when_a_replica_goes() {
    let mut governor = without_replicas(governor_with_large_zone(), 1);
    (0..10).for_each(|proxy| governor.proxy_connected(SECOND, with_unknown_tables(proxy, 10.0)));
    governor.send_tables(SECOND, Recipients::All);
    governor.pending.clear();
    governor.replicas.entry(id("r39")).and_modify(|one| one.ready = false);
    governor.send_tables(SECOND, Recipients::All);
    let lines =
        |one: &Decision| if let Decision::UpdateTable { entries: lines, .. } = one { lines.len() } else { 0 };
    let moved: usize = governor.pending.iter().map(lines).sum();
    assert!((2..=6).contains(&moved), "{moved}");
}

#[test]
fn fills_a_small_default_table_from_replicas_without_capacity() {
    let mut governor = governor_with_zone_bound_class();
    let names: Weights = (0..40).map(|place| (id(&format!("r{place:02}")), 1.0)).collect();
    for name in names.keys() {
        governor.replicas.insert(name.clone(), warming_replica(0, SECOND));
    }
    governor.fleet_health.zone_stress.insert(0, 0.9);
    add_follower(&mut governor, 1, 0, &[]);
    let mut model = governor.load_model(SECOND);
    assert_eq!(governor.desired_table(TableKey::new(1, OwnZone), &names, &mut model, SECOND).len(), 8);
}

#[test]
fn serves_unsynchronised_proxies_first_and_then_the_busiest() {
    let mut governor = without_replicas(governor_with_large_zone(), 17);
    governor.proxy_connected(SECOND, with_unknown_tables(20, 1.0));
    governor.proxies.entry(5).and_modify(|one| one.request_rates = vec![90.0, 90.0]);
    governor.send_tables(SECOND, Recipients::All);
    let follow =
        |one: &Decision| if let Decision::AssignTable { proxy, .. } = one { Some(*proxy) } else { None };
    let bound: Vec<ProxyId> = governor.pending.iter().filter_map(follow).collect();
    assert_eq!(bound[..2], [20, 5]);
}

#[test]
fn sends_nothing_to_a_proxy_without_a_table_number() {
    let mut governor = governor();
    governor.replicas.insert(id("a"), warm_replica(0));
    [ProxyId::MAX, ProxyId::MAX / 2]
        .iter()
        .for_each(|proxy| governor.proxy_connected(SECOND, with_unknown_tables(*proxy, 1.0)));
    governor.send_tables(SECOND, Recipients::All);
    assert!(governor.pending.is_empty());
}

#[test]
fn keeps_the_entries_of_small_default_tables_in_a_fleet_wide_fault() {
    let mut governor = without_replicas(governor_with_large_zone(), 1);
    add_follower(&mut governor, 1, 0, &[("r01", 1.0), ("r02", 1.0)]);
    add_follower(&mut governor, 2, 0, &[("r01", 9.0)]);
    governor.proxies.entry(2).and_modify(|one| one.request_rates = vec![900.0, 900.0]);
    let default = governor.default_tables(SECOND)[&default_of_zone(0, AnyZone)].clone();
    let keeps = |governor: &Governor| {
        governor
            .desired_table(TableKey::new(1, AnyZone), &default, &mut governor.load_model(SECOND), SECOND)
            .contains_key("r01")
    };
    assert!(!keeps(&governor));
    governor.fleet_health.fleet_wide_fault = true;
    assert!(keeps(&governor));
}

#[test]
fn gives_a_busy_proxy_a_dedicated_table() {
    let mut governor = governor_with_large_zone();
    governor.proxies.entry(5).and_modify(|one| one.request_rates = vec![90.0, 90.0]);
    governor
        .proxies
        .values_mut()
        .filter(|one| one.request_rates[0] < 9.0)
        .for_each(|one| one.request_rates = vec![0.5, 0.5]);
    governor.send_tables(SECOND, Recipients::All);
    assert!(governor.proxies[&5].default_table.is_none() && governor.proxies[&4].default_table.is_some());
}

#[test]
fn crosses_zones_in_small_default_tables_only_as_far_as_the_default_spills() {
    let mut governor = without_replicas(governor_with_large_zone(), 1);
    (0..120).for_each(|other| drop(governor.replicas.insert(id(&format!("z{other:03}")), warm_replica(1))));
    add_follower(&mut governor, 1, 0, &[]);
    let spilling = |weight: f64| {
        let own = (1..40).map(|place| (id(&format!("r{place:02}")), 1.0));
        own.chain((0..120).map(|place| (id(&format!("z{place:03}")), weight))).collect::<Weights>()
    };
    let crossing = |weight| {
        let mut model = governor.load_model(SECOND);
        let lines = governor.desired_table(TableKey::new(1, AnyZone), &spilling(weight), &mut model, SECOND);
        lines.keys().filter(|id| id.starts_with('z')).count()
    };
    assert_eq!((crossing(0.01), crossing(0.325)), (0, 4));
}

#[test]
fn serves_proxies_with_few_replicas_before_the_busiest() {
    let mut governor = without_replicas(governor_with_large_zone(), 1);
    let eight: Vec<String> = (1..9).map(|place| format!("r{place:02}")).collect();
    let eight: Vec<(&str, f64)> = eight.iter().map(|name| (name.as_str(), 2.0)).collect();
    add_follower(&mut governor, 1, 0, &eight);
    add_follower(&mut governor, 2, 0, &eight[..2]);
    governor.proxies.entry(1).and_modify(|one| one.request_rates = vec![90.0, 90.0]);
    governor.send_queue.entries = 550.0;
    governor.send_tables(SECOND, Recipients::All);
    let numbers = governor.pending.iter().filter_map(|one| match one {
        Decision::UpdateTable { table: number, .. } => Some(*number),
        _ => None,
    });
    let numbers: Vec<TableId> = numbers.collect();
    assert!(!numbers.is_empty() && numbers.iter().all(|number| number / 2 == 2));
}
