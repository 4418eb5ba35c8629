use super::*;

#[test]
fn a_stream_with_little_traffic_is_not_silent() {
    let second = Duration::from_secs(1);
    let has_fallen_silent = |silent_for: u32, unacknowledged_for: Option<u32>, requests_per_second| {
        let stream = StreamActivity {
            proxy: 0,
            silent_for: silent_for * second,
            unacknowledged_for: unacknowledged_for.map(|seconds| seconds * second),
            requests_per_second,
        };
        stream.has_fallen_silent(Duration::from_millis(500))
    };
    assert!(!has_fallen_silent(12, Some(12), 50.0), "acknowledgements may be delayed by a slow channel");
    assert!(has_fallen_silent(14, Some(14), 0.1), "an acknowledgement is outstanding");
    assert!(has_fallen_silent(16, None, 6.0), "eighteen requests are missing");
    assert!(!has_fallen_silent(60, None, 0.2), "nine requests are missing, which may be chance");
}
