use super::said_by;

#[test]
fn who_says_an_order_is_read_as_it_was_written() {
    assert_eq!(said_by("wrenthread/g1/1f"), Some(("g1", 31, None)));
    assert_eq!(said_by("wrenthread/g1/1f/k.67.1f.2.70.00"), Some(("g1", 31, Some("k.67.1f.2.70.00"))));
    assert_eq!(
        (said_by("another/g1/1f"), said_by("wrenthread/g1"), said_by("wrenthread/g1/x")),
        (None, None, None)
    );
}
