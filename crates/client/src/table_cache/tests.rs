//! Tests of the table cache.

use super::*;

fn cache() -> TableCache {
    let entry =
        |name: &str| DefaultEntry { replica: name.into(), address: format!("{name}:1").into(), weight: 1.0 };
    let ejection = Some((2, Duration::from_secs(3)));
    TableCache::new(vec!["match".into()], vec![entry("a"), entry("b")], ejection)
}

fn pick(cache: &mut TableCache, now: u64, random: f64) -> Option<String> {
    cache.pick(Duration::from_secs(now), 0, (0.5, random), None).map(|address| address.to_string())
}

#[test]
fn the_default_table_is_used_until_another_comes_and_levels_reject_requests() {
    let mut cache = cache();
    assert_eq!(
        (pick(&mut cache, 0, 0.1), pick(&mut cache, 0, 0.9)),
        (Some("a:1".into()), Some("b:1".into()))
    );
    cache.set_table("match", vec![("c:1".into(), 5.0)], 1.0);
    assert_eq!(pick(&mut cache, 0, 0.1), Some("c:1".into()));
    cache.set_table("match", vec![("c:1".into(), 5.0)], 0.4);
    assert_eq!(pick(&mut cache, 0, 0.1), None);
    assert_eq!(cache.take_counters().rejected, [1]);
    cache.use_default_table("match");
    assert_eq!(pick(&mut cache, 0, 0.1), Some("a:1".into()));
}

#[test]
fn an_address_that_fails_in_a_row_is_ejected_for_a_while() {
    let mut cache = cache();
    let a: Arc<str> = "a:1".into();
    cache.attempt_ended(Duration::ZERO, 0, &a, Outcome::Failed);
    assert_eq!(pick(&mut cache, 0, 0.1), Some("a:1".into()));
    cache.attempt_ended(Duration::ZERO, 0, &a, Outcome::Failed);
    assert_eq!(pick(&mut cache, 2, 0.1), Some("b:1".into()));
    assert_eq!(pick(&mut cache, 3, 0.1), Some("a:1".into()));
    let other = cache.pick(Duration::from_secs(4), 0, (0.5, 0.1), Some(&a));
    assert_eq!(other.as_deref(), Some("b:1"));
}

#[test]
fn a_delta_that_does_not_apply_keeps_the_tables_and_requests_a_snapshot() {
    let mut cache = cache();
    let entry = table_versions::PublishedEntry { address: "c:1".into(), zone: 0, weight: 7 };
    let table = PublishedTable {
        entries: [("c".into(), entry)].into(),
        admission_millionths: MILLION,
        retry_policy: RetryPolicy::IfNotExecuted,
    };
    let state = PublishedState { classes: vec![Some(table)] };
    cache.set_state("e.1".into(), state.clone());
    let delta =
        table_versions::delta(&state, state.digest(), &PublishedState { classes: vec![None] }, [9; 32]);
    assert_eq!(cache.apply_delta("e.2".into(), &delta), Err(Mismatch::Digest));
    assert!(cache.held_version().is_none() && cache.holds_governor_tables());
    assert_eq!(pick(&mut cache, 0, 0.5), Some("c:1".into()));
    assert_eq!(cache.retry_policy(0), RetryPolicy::IfNotExecuted);
}
