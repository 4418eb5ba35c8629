use super::*;

#[test]
fn who_has_little_to_say_is_not_taken_for_silent() {
    let (second, every) = (Duration::from_secs(1), Duration::from_millis(500));
    let silent = |silence, owed: Option<u32>, usual| {
        has_fallen_silent(silence * second, owed.map(|owed| owed * second), usual, every)
    };
    assert!(!silent(12, Some(12), 50.0), "answers may wait in a slow channel");
    assert!(silent(14, Some(14), 0.1), "it owes an answer");
    assert!(silent(16, None, 6.0), "eighteen flows would have come");
    assert!(!silent(60, None, 0.2), "nine would, and chance may leave them out");
}
