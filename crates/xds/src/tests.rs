use super::parse_identifier;

#[test]
fn parses_control_plane_identifiers() {
    assert_eq!(parse_identifier("wrenthread/g1/1f"), Some(("g1", 31, None)));
    assert_eq!(
        parse_identifier("wrenthread/g1/1f/k.67.1f.2.70.00"),
        Some(("g1", 31, Some("k.67.1f.2.70.00")))
    );
    assert_eq!(
        (
            parse_identifier("another/g1/1f"),
            parse_identifier("wrenthread/g1"),
            parse_identifier("wrenthread/g1/x")
        ),
        (None, None, None)
    );
}
