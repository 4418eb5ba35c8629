//! Replicas and proxies that come and go.

use super::fixtures::*;
use super::*;

#[test]
fn removes_replicas_that_a_complete_roster_leaves_out() {
    let mut governor = governor();
    governor.replicas.insert(id("a"), warm_replica(0));
    governor.update_replicas(SECOND, &[listed("b", Phase::Ready)], RosterScope::Complete);
    assert!(!governor.replicas[&id("a")].ready);
}

#[test]
fn forgets_the_health_of_a_restarted_replicas_old_process() {
    let mut governor = governor();
    governor.replicas.insert(
        id("a"),
        ReplicaState { health: HealthState::Ejected { until: SECOND, failures: 3 }, ..warm_replica(0) },
    );
    governor.update_replicas(
        SECOND,
        &[ReplicaEntry { started_at: Some(SECOND), ..listed("a", Phase::Ready) }],
        RosterScope::Changes,
    );
    assert_eq!(governor.replicas[&id("a")].health, HealthState::Healthy);
}

#[test]
fn takes_a_proxy_with_unknown_tables_as_unsynchronised() {
    let mut governor = governor();
    ["a", "b", "c"].iter().for_each(|name| drop(governor.replicas.insert(id(name), warm_replica(0))));
    governor.proxy_connected(SECOND, with_unknown_tables(1, 4.0));
    governor.proxy_connected(SECOND, with_default_table(2, 4.0));
    assert!(governor.proxies[&1].unsynchronised && !governor.proxies[&2].unsynchronised);
    assert_eq!(governor.proxies[&2].request_rates, vec![2.0, 2.0]);
}

#[test]
fn takes_a_default_table_that_may_name_a_warming_replica_as_unsynchronised() {
    let mut governor = governor();
    governor.replicas.insert(id("a"), warming_replica(0, SECOND));
    governor.proxy_connected(2 * SECOND, with_default_table(1, 4.0));
    assert!(governor.proxies[&1].unsynchronised);
}

#[test]
fn forgets_replicas_that_are_long_gone_and_in_no_table() {
    let (gone, now) = (Some(SECOND), 300 * SECOND);
    let old = || ReplicaState { ready: false, gone_since: gone, ejection_sent: true, ..warm_replica(0) };
    let mut governor = Governor {
        replicas: [(id("a"), old()), (id("b"), old()), (id("c"), warm_replica(0))].into(),
        sent_tables: [(TableKey::new(7, AnyZone), [(id("b"), 1.0)].into())].into(),
        ..governor()
    };
    governor.replicas.insert(id("d"), ReplicaState { gone_since: Some(250 * SECOND), ..old() });
    governor.forget_gone_replicas(now);
    let left: Vec<&str> = governor.replicas.keys().map(|id| &**id).collect();
    assert_eq!(left, ["b", "c", "d"], "a table may still name it, or one drawn lately");
    assert_eq!(governor.pending, [Decision::SetEjected { replica: id("a"), ejected: false }]);
}
