//! Tests of the readmission of replicas that proxies were told to avoid.

use super::fixtures::*;
use super::*;

/// A replica that is available again while proxies still avoid it.
fn avoided_replica() -> ReplicaState {
    ReplicaState { ejection_sent: true, ..warm_replica(0) }
}

/// A governor with a full channel, whose proxy 1 has a dedicated table. Proxies avoid `a`, and not `b`.
fn governor_with_avoided_replica() -> Governor {
    let mut governor = governor();
    add_proxy(&mut governor, 1, 0, &[("b", 1.0)]);
    add_replica(&mut governor, "a", avoided_replica());
    add_replica(&mut governor, "b", warm_replica(0));
    governor.send_queue.entries = governor.parameters.max_queued_entries;
    governor
}

fn readmissions(governor: &Governor) -> Vec<&str> {
    let readmitted = |decision: &'_ Decision| matches!(decision, Decision::SetEjected { ejected: false, .. });
    let decisions = governor.pending.iter().filter(|decision| readmitted(decision));
    let names = decisions.map(|decision| match decision {
        Decision::SetEjected { replica, .. } => &**replica,
        _ => unreachable!("only readmissions are left"),
    });
    names.collect()
}

/// Guards against a solved table that takes a busy proxy its other replicas and leaves it only ones that it avoids.
#[test]
fn a_solved_table_of_avoided_replicas_is_not_used() {
    let mut governor = governor_with_avoided_replica();
    governor.critical_set.tables.insert(TableKey::new(1, AnyZone), [(id("a"), 100.0)].into());
    let default = default_table(&governor);
    let mut model = governor.load_model(SECOND);
    let desired = governor.desired_table(TableKey::new(1, AnyZone), &default, &mut model, SECOND);
    assert_eq!(desired, [(id("b"), 1.0)].into());
}

/// Guards against the solver's choice of replicas that look idle since proxies avoid them.
#[test]
fn the_solver_moves_no_requests_to_replicas_that_proxies_avoid() {
    let mut governor = governor_with_avoided_replica();
    add_replica(&mut governor, "c", warm_replica(0));
    let mut model = governor.load_model(SECOND);
    model.solve(&[1].into());
    let table = &model.solved_tables()[&TableKey::new(1, AnyZone)];
    assert_eq!(table.keys().map(|id| &**id).collect::<Vec<_>>(), ["b", "c"]);
}

#[test]
fn a_default_table_that_is_followed_does_not_become_stale_by_an_avoided_replica() {
    let mut governor = governor_with_avoided_replica();
    governor.proxy_connected(SECOND, with_default_table(2, 1.0));
    let sample = DefaultTableSample { roster_at: SECOND, zone: 0 };
    let default = default_table(&governor);
    assert_eq!(governor.staleness(sample, &default), Staleness::Current);
}

#[test]
fn tables_include_a_replica_that_the_same_flush_readmits() {
    let mut governor = governor_with_avoided_replica();
    governor.send_queue.entries = 0.0;
    governor.publish(SECOND, PublishTrigger::FlushDue);
    assert_eq!(readmissions(&governor), ["a"]);
    let a = entry(id("a"), 1.0);
    assert!(governor.pending.contains(&Decision::UpdateTable { table: 2, entries: vec![a] }));
}

/// Guards against readmissions that wait until all of them fit into the channel at once, which may never be so.
#[test]
fn readmissions_are_sent_in_part_if_even_an_empty_channel_takes_no_more() {
    let mut governor = governor();
    ["a", "b", "c", "d"].iter().for_each(|name| add_replica(&mut governor, name, avoided_replica()));
    add_replica(&mut governor, "e", warm_replica(0));
    // One readmission costs 8 entries for each of 46 proxies, two cost 9, and 400 may be queued.
    (0..46).for_each(|proxy| governor.proxy_connected(Duration::ZERO, with_default_table(proxy, 1.0)));
    governor.send_queue.entries = 20.0;
    governor.send_queue.drained_at = SECOND;
    governor.publish(SECOND, PublishTrigger::FlushDue);
    assert_eq!(readmissions(&governor), ["a"]);
}

/// Guards against proxies that wait without a replica as readmissions may use a part of the channel only.
#[test]
fn a_replica_is_readmitted_at_once_if_proxies_avoid_all_others() {
    let mut governor = governor_with_avoided_replica();
    add_replica(&mut governor, "b", ReplicaState { ejection_sent: true, ..draining_replica(0) });
    governor.send_queue.drained_at = SECOND;
    governor.publish(SECOND, PublishTrigger::Event);
    assert_eq!(readmissions(&governor), ["a"]);
}
