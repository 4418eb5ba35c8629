//! Tests of [`super`].

use super::*;
use proptest::prelude::*;

fn states() -> impl Strategy<Value = PublishedState> {
    let line = (0usize..8, 0usize..2, 1u32..5000);
    let said = prop::option::of((prop::collection::vec(line, 0..6), 0u32..=MILLION, 0usize..3));
    let group = said.prop_map(|said| {
        said.map(|(lines, level, tries)| PublishedTable {
            entries: lines
                .into_iter()
                .map(|(id, zone, weight)| {
                    let address = format!("10.0.{zone}.{id}:80").as_str().into();
                    (format!("r{id}").as_str().into(), PublishedEntry { address, zone, weight })
                })
                .collect(),
            admission_millionths: level,
            retry_policy: [RetryPolicy::Never, RetryPolicy::IfNotExecuted, RetryPolicy::OnAnyFailure][tries],
        })
    });
    prop::collection::vec(group, 3).prop_map(|groups| PublishedState { classes: groups })
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
        let mut held = PublishedState::default();
        for (from, to) in deliveries {
            let (from, to) = (&history[from % history.len()], &history[to % history.len()]);
            let change = delta(from, from.digest(), to, to.digest());
            let before = held.clone();
            match apply(&held, held.digest(), &change) {
                Ok(after) => {
                    prop_assert_eq!(after.digest(), to.digest());
                    held = after;
                }
                Err(_) => {
                    prop_assert_eq!(&held, &before);
                    held = to.clone(); // requests the complete state
                }
            }
        }
        let last = history.last().unwrap();
        let change = delta(&held, held.digest(), last, last.digest());
        let end = apply(&held, held.digest(), &change).unwrap_or_else(|_| last.clone());
        prop_assert_eq!(&end, last);
    }
}

fn said(weight: u32) -> PublishedState {
    let line = PublishedEntry { address: "a:1".into(), zone: 0, weight };
    let said = PublishedTable {
        entries: BTreeMap::from([("a".into(), line)]),
        admission_millionths: MILLION,
        retry_policy: RetryPolicy::Never,
    };
    PublishedState { classes: vec![Some(said)] }
}

#[test]
fn rejects_a_delta_that_does_not_fit_before_it_takes_effect() {
    let (one, two) = (said(1), said(2));
    let good = delta(&one, one.digest(), &two, two.digest());
    // As if one side computed digests incorrectly.
    let wrong = Delta { digest: [7; 32], ..good.clone() };
    assert_eq!(apply(&one, one.digest(), &wrong), Err(Mismatch::Digest));
    let collides = Delta { base: two.digest(), ..good.clone() };
    assert_eq!(
        apply(&two, two.digest(), &collides),
        Ok(two.clone()),
        "the delta sets the weight that the state already has"
    );
    let stranger = ChangedEntry { replica: "b".into(), weight: 1, at: None };
    let lines = TableChange::Entries {
        changed: vec![stranger],
        removed: vec![],
        level: 0,
        tries: RetryPolicy::Never,
    };
    let unknown = Delta { changes: BTreeMap::from([(0, lines.clone())]), ..good.clone() };
    assert_eq!(apply(&one, one.digest(), &unknown), Err(Mismatch::Unknown));
    let beyond = Delta { changes: BTreeMap::from([(5, lines)]), ..good };
    assert_eq!(apply(&one, one.digest(), &beyond), Err(Mismatch::Group));
}

#[test]
fn sends_addresses_only_of_replicas_new_to_a_proxy() {
    let (one, two) = (said(1), said(2));
    let change = delta(&one, one.digest(), &two, two.digest());
    let TableChange::Entries { changed, .. } = &change.changes[&0] else { panic!() };
    assert_eq!(changed[0].at, None);
    let first = delta(&PublishedState { classes: vec![None] }, [0; 32], &two, two.digest());
    let TableChange::Entries { changed, .. } = &first.changes[&0] else { panic!() };
    assert_eq!(changed[0].at, Some(("a:1".into(), 0)));
}
