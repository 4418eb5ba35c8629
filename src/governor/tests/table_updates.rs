//! Tests of table updates.

use super::fixtures::*;
use super::*;

#[test]
fn prefers_the_default_to_a_solved_table_with_more_warming_replicas() {
    let mut governor = governor();
    add_replica(&mut governor, "a", warming_replica(0, SECOND));
    add_replica(&mut governor, "b", draining_replica(0));
    add_replica(&mut governor, "c", warm_replica(0));
    governor.critical_set.tables.insert(TableKey::new(1, AnyZone), [(id("a"), 10.0), (id("b"), 90.0)].into());
    let default: Weights = [(id("a"), 0.2), (id("c"), 1.0)].into();
    add_proxy(&mut governor, 1, 0, &[]);
    let mut model = governor.load_model(SECOND);
    assert_eq!(governor.desired_table(TableKey::new(1, AnyZone), &default, &mut model, SECOND), default);
}

#[test]
fn does_not_send_small_changes_of_a_weight() {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[("a", 1.0), ("b", 1.0)]);
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
    let mut governor = with_draining_replicas(governor_with_large_zone(), 1);
    for proxy in 0..10 {
        governor.proxy_connected(SECOND, with_unknown_tables(proxy, 10.0));
    }
    governor.send_tables(SECOND, Recipients::All);
    let mut named: BTreeMap<&ReplicaId, usize> = BTreeMap::new();
    for (_, weights) in governor.sent_tables.iter().filter(|(key, _)| key.scope == AnyZone) {
        assert_eq!(weights.len(), 8);
        for id in weights.keys() {
            *named.entry(id).or_default() += 1;
        }
    }
    assert!(named.len() == 39 && named.values().all(|times| (1..=3).contains(times)));
}

#[test]
fn keeps_most_entries_of_small_default_tables_when_a_replica_drains() {
    let mut governor = with_draining_replicas(governor_with_large_zone(), 1);
    for proxy in 0..10 {
        governor.proxy_connected(SECOND, with_unknown_tables(proxy, 10.0));
    }
    governor.send_tables(SECOND, Recipients::All);
    governor.pending.clear();
    replica_mut(&mut governor, "r39").ready = false;
    governor.send_tables(SECOND, Recipients::All);
    let changes = |decision: &Decision| match decision {
        Decision::UpdateTable { entries, .. } => entries.len(),
        _ => 0,
    };
    let changed: usize = governor.pending.iter().map(changes).sum();
    assert!((2..=6).contains(&changed), "{changed}");
}

#[test]
fn fills_a_small_default_table_from_replicas_without_capacity() {
    let mut governor = governor_with_zone_bound_class();
    let names: Weights = (0..40).map(|place| (id(&format!("r{place:02}")), 1.0)).collect();
    for name in names.keys() {
        governor.replicas.insert(name.clone(), warming_replica(0, SECOND));
    }
    governor.fleet_health.zone_stress.insert(0, 0.9);
    add_proxy(&mut governor, 1, 0, &[]);
    let mut model = governor.load_model(SECOND);
    assert_eq!(governor.desired_table(TableKey::new(1, OwnZone), &names, &mut model, SECOND).len(), 8);
}

#[test]
fn updates_unsynchronised_proxies_first_and_then_the_busiest() {
    let mut governor = with_draining_replicas(governor_with_large_zone(), 17);
    governor.proxy_connected(SECOND, with_unknown_tables(20, 1.0));
    set_class_rates(&mut governor, 5, 90.0);
    governor.send_tables(SECOND, Recipients::All);
    let assigned = |decision: &Decision| match decision {
        Decision::AssignTable { proxy, .. } => Some(*proxy),
        _ => None,
    };
    let assigned: Vec<ProxyId> = governor.pending.iter().filter_map(assigned).collect();
    assert_eq!(assigned[..2], [20, 5]);
}

#[test]
fn sends_nothing_to_a_proxy_without_a_table_number() {
    let mut governor = governor();
    add_replica(&mut governor, "a", warm_replica(0));
    for proxy in [ProxyId::MAX, ProxyId::MAX / 2] {
        governor.proxy_connected(SECOND, with_unknown_tables(proxy, 1.0));
    }
    governor.send_tables(SECOND, Recipients::All);
    assert!(governor.pending.is_empty());
}

#[test]
fn keeps_the_entries_of_small_default_tables_in_a_fleet_wide_fault() {
    let mut governor = with_draining_replicas(governor_with_large_zone(), 1);
    add_proxy(&mut governor, 1, 0, &[("r01", 1.0), ("r02", 1.0)]);
    add_proxy(&mut governor, 2, 0, &[("r01", 9.0)]);
    set_class_rates(&mut governor, 2, 900.0);
    let default = default_table(&governor);
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
    set_class_rates(&mut governor, 5, 90.0);
    for proxy in governor.proxies.values_mut().filter(|proxy| proxy.request_rates[0] < 9.0) {
        proxy.request_rates = vec![0.5, 0.5];
    }
    governor.send_tables(SECOND, Recipients::All);
    assert!(governor.proxies[&5].default_table.is_none() && governor.proxies[&4].default_table.is_some());
}

#[test]
fn crosses_zones_in_small_default_tables_only_as_far_as_the_default_spills() {
    let mut governor = with_draining_replicas(governor_with_large_zone(), 1);
    for index in 0..120 {
        add_replica(&mut governor, &format!("z{index:03}"), warm_replica(1));
    }
    add_proxy(&mut governor, 1, 0, &[]);
    let spilling = |weight: f64| {
        let own = (1..40).map(|place| (id(&format!("r{place:02}")), 1.0));
        own.chain((0..120).map(|place| (id(&format!("z{place:03}")), weight))).collect::<Weights>()
    };
    let crossing = |weight| {
        let mut model = governor.load_model(SECOND);
        let weights =
            governor.desired_table(TableKey::new(1, AnyZone), &spilling(weight), &mut model, SECOND);
        weights.keys().filter(|id| id.starts_with('z')).count()
    };
    assert_eq!((crossing(0.01), crossing(0.325)), (0, 4));
}

#[test]
fn updates_proxies_with_few_replicas_before_the_busiest() {
    let mut governor = with_draining_replicas(governor_with_large_zone(), 1);
    let eight: Vec<String> = (1..9).map(|place| format!("r{place:02}")).collect();
    let eight: Vec<(&str, f64)> = eight.iter().map(|name| (name.as_str(), 2.0)).collect();
    add_proxy(&mut governor, 1, 0, &eight);
    add_proxy(&mut governor, 2, 0, &eight[..2]);
    set_class_rates(&mut governor, 1, 90.0);
    governor.send_queue.entries = 550.0;
    governor.send_tables(SECOND, Recipients::All);
    let updated = governor.pending.iter().filter_map(|decision| match decision {
        Decision::UpdateTable { table, .. } => Some(*table),
        _ => None,
    });
    let updated: Vec<TableId> = updated.collect();
    assert!(!updated.is_empty() && updated.iter().all(|table| table / 2 == 2));
}

/// A governor with 40 replicas in zone 0 and 30 in zone 1, and two proxies for each of them, none of which is busy.
/// The default table of proxy 1 must be replaced.
fn governor_with_unverified_proxy(mut governor: Governor) -> Governor {
    for index in 0..70 {
        add_replica(&mut governor, &format!("r{index:02}"), warm_replica(usize::from(index >= 40)));
    }
    for proxy in 1..=140 {
        let zone = usize::from(proxy > 80);
        governor.proxy_connected(SECOND, ProxyConnection { zone, ..with_default_table(proxy, 10.0) });
    }
    let table = governor.proxies.get_mut(&1).and_then(|proxy| proxy.default_table.as_mut());
    table.expect("it is on its default table").contents = DefaultTableContents::Unverified;
    governor
}

/// Guards against a new default table that needs twice the connections, or leaves the zone of zone-bound classes.
#[test]
fn sends_one_new_default_table_of_the_zone_for_all_classes() {
    let mut governor = governor_with_unverified_proxy(governor_with_zone_bound_class());
    governor.send_tables(SECOND, Recipients::All);
    let table = |scope| &governor.sent_tables[&TableKey::new(1, scope)];
    assert_eq!(table(AnyZone), table(OwnZone));
    assert_eq!(table(OwnZone).len(), 8);
    assert!(table(OwnZone).keys().all(|id| replica(&governor, id).zone == 0));
}

#[test]
fn keeps_a_sent_default_table_until_it_is_stale_and_sends_only_its_changes_then() {
    let mut governor = governor_with_unverified_proxy(governor());
    governor.send_tables(SECOND, Recipients::All);
    let sent = governor.sent_tables[&TableKey::new(1, AnyZone)].clone();
    governor.pending.clear();
    governor.send_tables(2 * SECOND, Recipients::All);
    assert_eq!(governor.pending, []);
    for name in sent.keys() {
        replica_mut(&mut governor, name).ejection_sent = true;
        replica_mut(&mut governor, name).ready = false;
    }
    assert!(governor.proxies_without_replicas().contains(&1), "the contents of its table are known");
    governor.send_tables(3 * SECOND, Recipients::All);
    let assigned = |decision: &Decision| matches!(decision, Decision::AssignTable { .. });
    assert!(!governor.pending.is_empty() && !governor.pending.iter().any(assigned));
}

/// Guards against a channel that tables of a returning fleet fill, so that what is certain has to wait.
#[test]
fn tables_of_unverified_proxies_leave_room_for_ejections_and_urgent_tables() {
    let mut governor = governor_with_unverified_proxy(governor());
    let fits = |governor: &mut Governor, used: f64| {
        governor.send_queue.entries = used * governor.parameters.max_queued_entries - 60.0;
        governor.pending.clear();
        governor.send_tables(SECOND, Recipients::All);
        !governor.pending.is_empty()
    };
    assert!(!fits(&mut governor, 0.51));
    assert!(fits(&mut governor, 0.49));
}

#[test]
fn counts_an_ejection_only_for_sent_default_tables_that_contain_the_replica() {
    let mut governor = governor_with_unverified_proxy(governor());
    let costs = |governor: &Governor| {
        let messages = |name: &String| governor.update_costs(&[id(name)])[0].messages;
        (0..40).map(|index| messages(&format!("r{index:02}"))).sum::<f64>()
    };
    let others = 139.0 * 40.0;
    assert_eq!(costs(&governor) - others, 40.0);
    governor.send_tables(SECOND, Recipients::All);
    assert_eq!(costs(&governor) - others, 8.0);
}
