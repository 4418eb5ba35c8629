//! Tests of [`super`].

use super::*;
use proptest::prelude::*;

fn states() -> impl Strategy<Value = PublishedState> {
    let entry = (0usize..8, 0usize..2, 1u32..5000);
    let optional_table = prop::option::of((prop::collection::vec(entry, 0..6), 0u32..=MILLION, 0usize..3));
    let class = optional_table.prop_map(|table| {
        table.map(|(entries, admitted, policy)| PublishedTable {
            entries: entries
                .into_iter()
                .map(|(id, zone, weight)| {
                    let address = format!("10.0.{zone}.{id}:80").as_str().into();
                    (format!("r{id}").as_str().into(), PublishedEntry { address, zone, weight })
                })
                .collect(),
            admission_millionths: admitted,
            retry_policy: [RetryPolicy::Never, RetryPolicy::IfNotExecuted, RetryPolicy::OnAnyFailure][policy],
        })
    });
    prop::collection::vec(class, 3).prop_map(|tables| PublishedState { classes: tables })
}

proptest! {
    #[test]
    fn applies_a_delta_to_its_base_and_to_nothing_else(one in states(), two in states()) {
        let change = delta(&one, one.digest(), &two, two.digest());
        prop_assert_eq!(apply(&one, one.digest(), &change).unwrap(), two.clone());
        if one != two {
            prop_assert_eq!(apply(&two, two.digest(), &change), Err(Mismatch::Base));
            prop_assert_ne!(one.digest(), two.digest());
        }
    }

    /// Deltas may be skipped, repeated and reordered, and a proxy may restart. A proxy that requests the
    /// complete state whenever a delta does not apply ends on the governor's version.
    #[test]
    fn any_delivery_order_ends_on_the_governors_version(
        history in prop::collection::vec(states(), 2..10),
        deliveries in prop::collection::vec((0usize..10, 0usize..10), 0..40),
    ) {
        let mut current = PublishedState::default();
        for (from, to) in deliveries {
            let (from, to) = (&history[from % history.len()], &history[to % history.len()]);
            let change = delta(from, from.digest(), to, to.digest());
            let before = current.clone();
            match apply(&current, current.digest(), &change) {
                Ok(after) => {
                    prop_assert_eq!(after.digest(), to.digest());
                    current = after;
                }
                Err(_) => {
                    prop_assert_eq!(&current, &before);
                    current = to.clone(); // requests the complete state
                }
            }
        }
        let last = history.last().unwrap();
        let change = delta(&current, current.digest(), last, last.digest());
        let end = apply(&current, current.digest(), &change).unwrap_or_else(|_| last.clone());
        prop_assert_eq!(&end, last);
    }
}

fn state_with_weight(weight: u32) -> PublishedState {
    let entry = PublishedEntry { address: "a:1".into(), zone: 0, weight };
    let state_with_weight = PublishedTable {
        entries: BTreeMap::from([("a".into(), entry)]),
        admission_millionths: MILLION,
        retry_policy: RetryPolicy::Never,
    };
    PublishedState { classes: vec![Some(state_with_weight)] }
}

#[test]
fn rejects_a_delta_that_does_not_fit_before_it_takes_effect() {
    let (one, two) = (state_with_weight(1), state_with_weight(2));
    let valid = delta(&one, one.digest(), &two, two.digest());
    // As if one side computed digests incorrectly.
    let wrong = Delta { digest: [7; 32], ..valid.clone() };
    assert_eq!(apply(&one, one.digest(), &wrong), Err(Mismatch::Digest));
    let same_result = Delta { base: two.digest(), ..valid.clone() };
    assert_eq!(
        apply(&two, two.digest(), &same_result),
        Ok(two.clone()),
        "the delta sets the weight that the state already has"
    );
    let unknown_replica = ChangedEntry { replica: "b".into(), weight: 1, location: None };
    let entries = TableChange::Entries {
        changed: vec![unknown_replica],
        removed: vec![],
        admission_millionths: 0,
        retry_policy: RetryPolicy::Never,
    };
    let unknown = Delta { changes: BTreeMap::from([(0, entries.clone())]), ..valid.clone() };
    assert_eq!(apply(&one, one.digest(), &unknown), Err(Mismatch::UnknownReplica));
    let unknown_class = Delta { changes: BTreeMap::from([(5, entries)]), ..valid };
    assert_eq!(apply(&one, one.digest(), &unknown_class), Err(Mismatch::UnknownClass));
}

#[test]
fn sends_addresses_only_of_replicas_new_to_a_proxy() {
    let (one, two) = (state_with_weight(1), state_with_weight(2));
    let change = delta(&one, one.digest(), &two, two.digest());
    let TableChange::Entries { changed, .. } = &change.changes[&0] else { panic!() };
    assert_eq!(changed[0].location, None);
    let first = delta(&PublishedState { classes: vec![None] }, [0; 32], &two, two.digest());
    let TableChange::Entries { changed, .. } = &first.changes[&0] else { panic!() };
    assert_eq!(changed[0].location, Some(("a:1".into(), 0)));
}
