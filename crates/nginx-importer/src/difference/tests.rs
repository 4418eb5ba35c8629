//! Tests of `difference`.

use super::*;

#[test]
fn what_is_known_on_both_sides_is_compared() {
    let replica = |weight: &str| BTreeMap::from([("weight", weight.to_string())]);
    let now = ComparableFleet {
        replicas: [("a".into(), replica("1")), ("b".into(), replica("1"))].into(),
        classes: [("entry".into(), BTreeMap::new())].into(),
    };
    let later = ComparableFleet {
        replicas: [("b".into(), replica("2")), ("c".into(), replica("1"))].into(),
        classes: [("entry".into(), BTreeMap::from([("expiry", "3".to_string())]))].into(),
    };
    let said: Vec<_> = between(&now, &later).into_iter().map(|one| (one.name, one.what)).collect();
    let changed = ChangeKind::Changed("weight", "1".into(), "2".into());
    assert_eq!(
        said,
        [("a".into(), ChangeKind::Gone), ("b".into(), changed), ("c".into(), ChangeKind::Added)]
    );
    assert_eq!(between(&now, &now), []);
}
