//! Tests of `values`.

use super::*;

#[test]
fn parses_durations_addresses_and_percentages() {
    let durations = ["60", "500ms", "1m30s", "1h 5m", "2d", "", "x", "5q", "-1", "s"].map(parse_seconds);
    let expected = [Some(60.0), Some(0.5), Some(90.0), Some(3900.0), Some(172_800.0)];
    assert_eq!(durations[..5], expected);
    assert_eq!(durations[5..], [None; 5]);
    let address = |text: &str| Some(Target::Address(text.into()));
    assert_eq!(parse_target("10.0.0.1", 80), address("10.0.0.1:80"));
    assert_eq!(parse_target("10.0.0.1:8080", 80), address("10.0.0.1:8080"));
    assert_eq!(parse_target("[::1]", 80), address("[::1]:80"));
    assert_eq!(parse_target("[::1]:81", 80), address("[::1]:81"));
    assert_eq!(parse_target("gate.example", 80), Some(Target::Name("gate.example:80".into())));
    assert_eq!(parse_target("unix:/run/gate.sock", 80), Some(Target::Unix("/run/gate.sock".into())));
    assert_eq!(
        ["", ":80", "a:0", "a:x", "[::", "a b", "$x", "unix:"].map(|text| parse_target(text, 80)),
        [const { None }; 8]
    );
    assert_eq!(
        ["12.5%", "0%", "101%", "x%", "5"].map(parse_percentage),
        [Some(0.125), Some(0.0), None, None, None]
    );
    assert_eq!([slugify("/Api/v1/"), slugify("~ ^/x$"), slugify("/")], ["api-v1", "x", ""]);
}
