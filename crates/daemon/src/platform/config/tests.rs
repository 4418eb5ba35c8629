use super::*;
use serde_json::json;

fn complete() -> Value {
    json!({"discovery": "127.0.0.1:8500", "limits": {"memory_mb": 64, "sockets": 256},
        "settings": {"zones": ["a"], "extra": {"agents": 20.0, "channel_rate": 100},
            "categories": [{"name": "find", "deadline_us": 5000000, "objective_us": 2000000}]}})
}

#[test]
fn errors_name_the_invalid_field() {
    let config = Config::from_value(complete()).expect("the configuration is complete");
    assert_eq!((config.memory_bytes, config.sockets), (64 << 20, 256));
    assert_eq!(config.deployment.settings.proxy_count, 20, "a count may be written as 20.0");
    for (at, invalid, expected) in [
        ("/discovery", json!("nowhere"), "`discovery`"),
        ("/limits/sockets", json!(-3), "`limits.sockets`"),
        ("/settings/zones", json!([]), "`settings.zones`"),
        ("/settings/categories/0/deadline_us", json!("long"), "`deadline_us`"),
        ("/settings/extra/agents", json!(0), "`settings.extra.agents`"),
        ("/settings/extra/agents", json!("20"), "`agents`"),
        ("/settings/extra/channel_rate", json!(-1), "`channel_rate`"),
        ("/settings/extra/agents", json!(2.5), "`agents`"),
        ("/settings/extra/agents", Value::Null, "`settings.extra.agents`"),
        ("/settings/extra", json!([]), "`extra`"),
        ("/settings", json!(3), "`settings`"),
    ] {
        let mut broken = complete();
        *broken.pointer_mut(at).expect("the field exists") = invalid;
        let error = Config::from_value(broken).expect_err(at).to_string();
        assert!(error.contains(expected), "{at}: {error}");
    }
}
