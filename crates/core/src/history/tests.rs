//! Tests of [`super`].

use super::*;
use crate::table_versions::{MILLION, PublishedEntry, PublishedTable};
use wrenthread::types::RetryPolicy;

fn version(version: u64, entry_count: usize) -> HistoryEntry {
    let entry = |n: usize| {
        (
            format!("r{n}").as_str().into(),
            PublishedEntry { address: "a".into(), zone: 0, weight: version as u32 },
        )
    };
    let table = PublishedTable {
        entries: (0..entry_count).map(entry).collect(),
        admission_millionths: MILLION,
        retry_policy: RetryPolicy::Never,
    };
    let state = PublishedState { classes: vec![Some(table)] };
    HistoryEntry { version, published_at: Duration::ZERO, digest: state.digest(), state: Arc::new(state) }
}

fn versions(history: &History, proxy: ProxyId) -> Vec<u64> {
    history.of(proxy).map(|entry| entry.version).collect()
}

#[test]
fn retains_the_last_versions_within_both_bounds() {
    let mut history = History::new(3, 1000);
    (1..6).for_each(|n| history.push(0, version(n, 8)));
    assert_eq!(versions(&history, 0), [3, 4, 5]);
    assert_eq!(history.entry_count(), 30);
    let mut tight = History::new(9, 35);
    (1..4).for_each(|n| tight.push(0, version(n, 8)));
    tight.push(1, version(4, 8));
    assert_eq!((versions(&tight, 0), versions(&tight, 1)), (vec![2, 3], vec![4]));
    tight.push(1, version(5, 30));
    assert_eq!((versions(&tight, 0), versions(&tight, 1)), (vec![3], vec![5]), "the newest of each stays");
    tight.forget(1);
    assert_eq!(tight.entry_count(), 10);
}

#[test]
fn finds_a_held_version_only_with_its_digest() {
    let mut history = History::new(3, 1000);
    (1..4).for_each(|n| history.push(0, version(n * 10, 2)));
    let digest = version(20, 2).digest;
    assert!(history.find(0, 20, &digest).is_some());
    assert!(history.find(0, 20, &[0; 32]).is_none() && history.find(0, 21, &digest).is_none());
    assert_eq!(history.as_of(0, 29).map(|entry| entry.version), Some(20));
    assert_eq!(history.as_of(0, 9), None);
    history.push(0, version(30, 2));
    assert_eq!(versions(&history, 0), [10, 20, 30], "a version that does not increase is ignored");
}

#[test]
fn accepts_versions_near_the_end_of_their_range() {
    let mut history = History::new(3, 1000);
    history.push(0, version(u64::MAX - 1, 1));
    history.push(0, version(u64::MAX, 1));
    assert_eq!(versions(&history, 0), [u64::MAX - 1, u64::MAX]);
}
