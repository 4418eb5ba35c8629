//! Tests of `difference`.

use super::*;

#[test]
fn compares_fields_known_on_both_sides() {
    let replica = |weight: &str| BTreeMap::from([("weight", weight.to_string())]);
    let current = ComparableFleet {
        replicas: [("a".into(), replica("1")), ("b".into(), replica("1"))].into(),
        classes: [("entry".into(), BTreeMap::new())].into(),
    };
    let new = ComparableFleet {
        replicas: [("b".into(), replica("2")), ("c".into(), replica("1"))].into(),
        classes: [("entry".into(), BTreeMap::from([("expiry", "3".to_string())]))].into(),
    };
    let differences: Vec<_> =
        compare(&current, &new).into_iter().map(|difference| (difference.name, difference.change)).collect();
    let changed = ChangeKind::Changed("weight", "1".into(), "2".into());
    assert_eq!(
        differences,
        [("a".into(), ChangeKind::Removed), ("b".into(), changed), ("c".into(), ChangeKind::Added)]
    );
    assert_eq!(compare(&current, &current), []);
}
