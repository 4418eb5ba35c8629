//! Tests of [`super`].

use super::*;

#[test]
fn accepts_one_of_two_governors_that_believe_they_own_a_proxy() {
    let mut fence = FencingState::default();
    assert_eq!(fence.accept("g1", 1, 1), Err(FencingError::NotFollowed));
    fence.follow("g1");
    assert_eq!(fence.accept("g1", 5, 10), Ok(()));
    assert_eq!(fence.accept("g2", 9, 1), Err(FencingError::NotFollowed));
    fence.follow("g2");
    assert_eq!(fence.accept("g2", 9, 1), Ok(()));
    assert_eq!(fence.accept("g1", 5, 11), Err(FencingError::NotFollowed), "it resumes after a stall");
    // It returns after another governor has taken over, with old updates or with an older epoch.
    fence.follow("g1");
    assert_eq!(fence.accept("g1", 4, 99), Err(FencingError::OlderEpoch));
    assert_eq!(fence.accept("g1", 5, 9), Err(FencingError::OlderVersion));
    assert_eq!(
        fence.accept("g1", 5, 10),
        Err(FencingError::OlderStream),
        "a copy of an update of the earlier stream"
    );
    assert_eq!(
        (fence.accept("g1", 5, 11), fence.accept("g1", 5, 11)),
        (Ok(()), Ok(())),
        "one version in two pieces"
    );
    assert_eq!(fence.accept("g1", 6, 1), Ok(()));
    (0..200).for_each(|n| {
        fence.follow(&format!("made up {n}"));
        assert_eq!(fence.accept(&format!("made up {n}"), 1, 1), Ok(()));
    });
    assert!(fence.newest.len() <= MAX_GOVERNORS);
}
