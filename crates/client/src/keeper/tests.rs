//! Tests of the table cache.

use super::*;

fn keeper() -> Keeper {
    let line =
        |name: &str| Standing { replica: name.into(), address: format!("{name}:1").into(), weight: 1.0 };
    let avoid = Some((2, Duration::from_secs(3)));
    Keeper::new(vec!["match".into()], vec![line("a"), line("b")], avoid)
}

fn at(keeper: &mut Keeper, now: u64, chance: f64) -> Option<String> {
    keeper.pick(Duration::from_secs(now), 0, (0.5, chance), None).map(|at| at.to_string())
}

#[test]
fn the_default_table_is_used_until_another_comes_and_levels_reject_requests() {
    let mut keeper = keeper();
    assert_eq!((at(&mut keeper, 0, 0.1), at(&mut keeper, 0, 0.9)), (Some("a:1".into()), Some("b:1".into())));
    keeper.tell("match", vec![("c:1".into(), 5.0)], 1.0);
    assert_eq!(at(&mut keeper, 0, 0.1), Some("c:1".into()));
    keeper.tell("match", vec![("c:1".into(), 5.0)], 0.4);
    assert_eq!(at(&mut keeper, 0, 0.1), None);
    assert_eq!(keeper.take_stats().blocked, [1]);
    keeper.untell("match");
    assert_eq!(at(&mut keeper, 0, 0.1), Some("a:1".into()));
}

#[test]
fn an_address_that_fails_in_a_row_is_ejected_for_a_while() {
    let mut keeper = keeper();
    let a: Arc<str> = "a:1".into();
    keeper.ended(Duration::ZERO, 0, &a, Outcome::Dropped);
    assert_eq!(at(&mut keeper, 0, 0.1), Some("a:1".into()));
    keeper.ended(Duration::ZERO, 0, &a, Outcome::Dropped);
    assert_eq!(at(&mut keeper, 2, 0.1), Some("b:1".into()));
    assert_eq!(at(&mut keeper, 3, 0.1), Some("a:1".into()));
    let other = keeper.pick(Duration::from_secs(4), 0, (0.5, 0.1), Some(&a));
    assert_eq!(other.as_deref(), Some("b:1"));
}

#[test]
fn a_delta_that_does_not_apply_keeps_the_tables_and_requests_a_snapshot() {
    let mut keeper = keeper();
    let line = table_versions::PublishedEntry { address: "c:1".into(), zone: 0, weight: 7 };
    let said = PublishedTable {
        entries: [("c".into(), line)].into(),
        admission_millionths: MILLION,
        retry_policy: RetryPolicy::IfNotExecuted,
    };
    let whole = PublishedState { classes: vec![Some(said)] };
    keeper.tell_whole("e.1".into(), whole.clone());
    let delta =
        table_versions::delta(&whole, whole.digest(), &PublishedState { classes: vec![None] }, [9; 32]);
    assert_eq!(keeper.tell_delta("e.2".into(), &delta), Err(Mismatch::Digest));
    assert!(keeper.held().is_none() && keeper.has_orders());
    assert_eq!(at(&mut keeper, 0, 0.5), Some("c:1".into()));
    assert_eq!(keeper.tries(0), RetryPolicy::IfNotExecuted);
}
