//! Tests of roster updates and proxy connections.

use super::fixtures::*;
use super::*;

#[test]
fn removes_replicas_missing_from_a_complete_roster() {
    let mut governor = governor();
    add_replica(&mut governor, "a", warm_replica(0));
    governor.update_replicas(SECOND, &[roster_entry("b", Phase::Ready)], RosterScope::Complete);
    assert!(!replica(&governor, "a").ready);
}

#[test]
fn forgets_the_health_of_a_restarted_replicas_old_process() {
    let mut governor = governor();
    add_replica(&mut governor, "a", ejected_replica(SECOND, 3));
    governor.update_replicas(
        SECOND,
        &[ReplicaEntry { started_at: Some(SECOND), ..roster_entry("a", Phase::Ready) }],
        RosterScope::Changes,
    );
    assert_eq!(replica(&governor, "a").health, HealthState::Healthy);
}

#[test]
fn marks_a_proxy_with_unknown_tables_unsynchronised() {
    let mut governor = governor();
    for name in ["a", "b", "c"] {
        add_replica(&mut governor, name, warm_replica(0));
    }
    governor.proxy_connected(SECOND, with_unknown_tables(1, 4.0));
    governor.proxy_connected(SECOND, with_default_table(2, 4.0));
    assert!(governor.proxies[&1].unsynchronised && !governor.proxies[&2].unsynchronised);
    assert_eq!(governor.proxies[&2].request_rates, vec![2.0, 2.0]);
}

#[test]
fn marks_a_proxy_unsynchronised_if_its_default_table_may_contain_a_warming_replica() {
    let mut governor = governor();
    add_replica(&mut governor, "a", warming_replica(0, SECOND));
    governor.proxy_connected(2 * SECOND, with_default_table(1, 4.0));
    assert!(governor.proxies[&1].unsynchronised);
}

#[test]
fn drops_replicas_that_are_long_gone_and_in_no_table() {
    let old = || ReplicaState { gone_since: Some(SECOND), ejection_sent: true, ..draining_replica(0) };
    let mut governor = Governor {
        replicas: [(id("a"), old()), (id("b"), old()), (id("c"), warm_replica(0))].into(),
        sent_tables: [(TableKey::new(7, AnyZone), [(id("b"), 1.0)].into())].into(),
        ..governor()
    };
    add_replica(&mut governor, "d", ReplicaState { gone_since: Some(250 * SECOND), ..old() });
    governor.forget_gone_replicas(300 * SECOND);
    let left: Vec<&str> = governor.replicas.keys().map(|id| &**id).collect();
    assert_eq!(left, ["b", "c", "d"], "a sent table contains `b`, and a sampled one may contain `d`");
    assert_eq!(governor.pending, [Decision::SetEjected { replica: id("a"), ejected: false }]);
}

/// Guards against a restarted governor that takes an old default table for one of the replicas listed now.
#[test]
fn sends_a_new_default_table_to_a_proxy_whose_own_may_predate_the_first_roster() {
    let contents = |held_tables, followed_for: Duration| {
        let mut governor = governor();
        let entries = ["a", "b", "c"].map(|name| roster_entry(name, Phase::Ready));
        governor.update_replicas(100 * SECOND, &entries, RosterScope::Complete);
        let now = 100 * SECOND + followed_for;
        governor.proxy_connected(now, ProxyConnection { held_tables, ..with_default_table(1, 4.0) });
        let held = governor.proxies[&1].default_table.expect("it is on its default table").contents;
        governor.publish(now, PublishTrigger::FlushDue);
        let sent = governor.proxies[&1].default_table.expect("it stays on a default table").contents;
        (held, sent)
    };
    let kept = (DefaultTableContents::Sampled, DefaultTableContents::Sampled);
    let replaced = (DefaultTableContents::Unverified, DefaultTableContents::Sent);
    assert_eq!(contents(HeldTables::UncheckedDefault, 5 * SECOND), replaced);
    assert_eq!(contents(HeldTables::UncheckedDefault, 119 * SECOND), replaced);
    assert_eq!(
        contents(HeldTables::UncheckedDefault, 120 * SECOND),
        kept,
        "what is gone since then is known"
    );
    assert_eq!(contents(HeldTables::UncheckedDefault, 2 * SECOND), kept, "the previous process's proxies");
    assert_eq!(contents(HeldTables::CheckedDefault, 5 * SECOND), kept);
}
