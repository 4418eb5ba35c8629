use super::*;

fn error_of(text: &str) -> String {
    let zones = ["north".to_string(), "south".to_string()];
    parse(Path::new("r.json"), text, &zones, &Clock::start()).unwrap_err().to_string()
}

#[test]
fn rejects_an_invalid_or_truncated_file_with_line_and_cause() {
    let good = r#"{"replicas": [
  {"id": "a", "address": "10.0.0.1:80", "zone": "north"},
  {"id": "b", "address": "10.0.0.2:80", "zone": "south", "weight": 2, "phase": "draining", "started": 5}
]}"#;
    let zones = ["north".to_string(), "south".to_string()];
    let entries = parse(Path::new("r.json"), good, &zones, &Clock::start()).unwrap();
    assert_eq!((entries[1].zone, entries[1].weight, entries[1].phase), (1, 2.0, Phase::Draining));
    assert_eq!(entries[1].started_at, None, "long ago");
    for cut in 1..good.len() - 1 {
        assert!(error_of(&good[..cut]).starts_with("r.json:"), "half written, at {cut}");
    }
    assert!(error_of(&good.replace("south", "west")).contains("r.json:3:1: `zone` of `b`"));
    assert!(error_of(&good.replace("\"b\"", "\"a\"")).contains("`a` is listed twice"));
    assert!(error_of(&good.replace("0.2:80", "0.1:80")).contains("the same address"));
    let negative = error_of(&good.replace("\"weight\": 2", "\"weight\": -2"));
    assert!(negative.starts_with("r.json:3:"), "{negative}");
    assert!(error_of(&good.replace("draining", "asleep")).contains("ready, draining or gone"));
    assert!(error_of(&good.replace("weight", "wieght")).contains("wieght"));
}
