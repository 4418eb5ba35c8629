use std::time::Duration;

use serde_json::Value;
use wrenthread::types::{
    AdmissionControl, DeduplicationScope, Idempotency, LoadField, MessageLimit, RetryPolicy, TrafficClass,
};

use super::*;

const SMALL_CONFIG: &str = r#"{"categories":[{"name":"find","deadline_us":5000000,"objective_us":2000000}],
    "extra":{"agents":7,"update_cap":30,"messages_over_us":10000000},"zones":["a","b"],
    "report":{"fields":["queue","latency_ms"]},"new":{"x":[1]}}"#;

fn read_text(text: &str) -> Result<DeploymentConfig, FieldError> {
    let value: Value = serde_json::from_str(text).expect("JSON");
    read(&Fields::new(value.as_object().expect("an object")))
}

#[test]
fn names_are_in_the_order_of_the_settings() {
    let config = read_text(SMALL_CONFIG).expect("valid settings");
    assert_eq!(
        (config.zone_names, config.class_names),
        (vec!["a".into(), "b".into()], vec!["find".to_string()])
    );
    assert_eq!(config.load_field_names, ["queue", "latency_ms"]);
    assert_eq!(config.settings.load_fields, [LoadField::Queued, LoadField::ServiceMillis]);
    assert_eq!(
        config.settings.message_limit,
        Some(MessageLimit { messages: 30, interval: Duration::from_secs(10) })
    );
}

#[test]
fn names_an_invalid_field_of_a_class() {
    assert_eq!(
        read_text(&SMALL_CONFIG.replace("deadline_us\":5000000", "deadline_us\":-1")),
        Err(FieldError::NotWholeNumber("deadline_us".into()))
    );
    assert_eq!(read_text(r#"{"categories":[3]}"#), Err(FieldError::NotObject("categories".into())));
}

const COMPLETE: &str = r#"{
    "siblings": 3, "zones": ["a", "b"],
    "categories": [
        {"name": "find", "effect": "retryable", "objective_us": 2000000, "deadline_us": 5000000, "worth": 2.5},
        {"name": "pay", "effect": "dedup", "group": "cell", "key_ttl_us": 30000000, "objective_us": 1, "deadline_us": 2},
        {"name": "log", "effect": "once", "objective_us": 3.0, "deadline_us": 4}
    ],
    "extra": {"shards": 4, "agents": 7, "bootstrap": 8, "ejects": 1, "cycle_us": 500000, "channel_rate": 100.5,
        "per_message": 10, "most_waiting": 2000, "worst_transit_us": 100000, "update_cap": 30,
        "messages_over_us": 10000000, "level_kind": "ratio", "retry_default": 1, "class_own_zone": [false, true]},
    "rules": {"cold_from": 0.3, "warm_after_us": 10000000},
    "limits": {"probes": true}, "penalties": {"cross_zone": 0.02, "probe": 0.5},
    "report": {"fields": ["inflight", "queue", "latency_ms", "cpu"]}
}"#;

fn complete() -> Value {
    serde_json::from_str(COMPLETE).expect("JSON")
}

/// Reads the complete object with the value at `pointer` replaced.
fn replaced(pointer: &str, value: Value) -> Result<DeploymentConfig, FieldError> {
    let mut object = complete();
    *object.pointer_mut(pointer).expect("an existing field") = value;
    read_text(&object.to_string())
}

fn class(idempotency: Idempotency, objective_us: u64, deadline_us: u64) -> TrafficClass {
    TrafficClass {
        idempotency,
        latency_objective: Duration::from_micros(objective_us),
        request_deadline: Duration::from_micros(deadline_us),
        priority_weight: 1.0,
        same_zone_only: false,
    }
}

fn complete_settings() -> Settings {
    let window = Duration::from_secs(30);
    let keyed = Idempotency::IdempotentWithKey { scope: DeduplicationScope::SameCell, window };
    Settings {
        governor_count: 3,
        classes: vec![
            TrafficClass { priority_weight: 2.5, ..class(Idempotency::Idempotent, 2_000_000, 5_000_000) },
            TrafficClass { same_zone_only: true, ..class(keyed, 1, 2) },
            class(Idempotency::NotIdempotent, 3, 4),
        ],
        key_slices: 4,
        proxy_count: 7,
        default_table_size: 8,
        initial_capacity_fraction: 0.3,
        slow_start_duration: Duration::from_secs(10),
        proxies_eject_locally: true,
        report_interval: Duration::from_millis(500),
        entries_per_second: 100.5,
        message_overhead_entries: 10.0,
        max_queued_entries: 2000.0,
        max_transit_delay: Duration::from_millis(100),
        message_limit: Some(MessageLimit { messages: 30, interval: Duration::from_secs(10) }),
        admission_control: AdmissionControl::Fraction,
        default_retry_policy: RetryPolicy::IfNotExecuted,
        cross_zone_cost: 0.02,
        health_check_cost: Some(0.5),
        load_fields: vec![LoadField::InFlight, LoadField::Queued, LoadField::ServiceMillis, LoadField::Other],
    }
}

fn default_settings() -> Settings {
    Settings {
        governor_count: 1,
        classes: Vec::new(),
        key_slices: 0,
        proxy_count: 1,
        default_table_size: u64::MAX as usize,
        initial_capacity_fraction: 1.0,
        slow_start_duration: Duration::ZERO,
        proxies_eject_locally: false,
        report_interval: Duration::from_secs(1),
        entries_per_second: f64::MAX,
        message_overhead_entries: 0.0,
        max_queued_entries: f64::MAX,
        max_transit_delay: Duration::ZERO,
        message_limit: None,
        admission_control: AdmissionControl::Unsupported,
        default_retry_policy: RetryPolicy::OnAnyFailure,
        cross_zone_cost: 0.0,
        health_check_cost: None,
        load_fields: Vec::new(),
    }
}

#[test]
fn reads_every_field() {
    assert_eq!(read_text(COMPLETE).expect("valid settings").settings, complete_settings());
}

#[test]
fn absent_and_null_fields_take_their_defaults() {
    assert_eq!(read_text("{}").expect("no field is required").settings, default_settings());
    let mut object = complete();
    for (name, value) in object.as_object_mut().expect("an object") {
        match value {
            Value::Object(section) if name != "report" => {
                section.values_mut().for_each(|value| *value = Value::Null);
            }
            value => *value = Value::Null,
        }
    }
    assert_eq!(read_text(&object.to_string()).expect("no field is required").settings, default_settings());
    let required_only =
        r#"{"categories":[{"objective_us":1,"deadline_us":2,"worth":null,"key_ttl_us":null}]}"#;
    let class = class(Idempotency::NotIdempotent, 1, 2);
    assert_eq!(read_text(required_only).expect("valid settings").settings.classes, [class]);
}

#[test]
fn a_field_of_another_type_is_an_error_that_names_it() {
    let wrong_counts =
        [Value::from("3"), Value::from(-1), Value::from(2.5), Value::from(true), Value::from(1e16)];
    for pointer in [
        "/siblings",
        "/extra/shards",
        "/extra/agents",
        "/extra/bootstrap",
        "/extra/ejects",
        "/extra/cycle_us",
        "/extra/worst_transit_us",
        "/extra/update_cap",
        "/extra/messages_over_us",
        "/extra/retry_default",
        "/rules/warm_after_us",
        "/categories/0/objective_us",
        "/categories/0/deadline_us",
        "/categories/1/key_ttl_us",
    ] {
        let name = pointer.rsplit('/').next().unwrap_or_default();
        for wrong in &wrong_counts {
            let error = replaced(pointer, wrong.clone()).expect_err(pointer).to_string();
            assert_eq!(error, format!("`{name}` is not a whole number"), "{wrong}");
        }
    }
    for pointer in [
        "/extra/channel_rate",
        "/extra/per_message",
        "/extra/most_waiting",
        "/rules/cold_from",
        "/penalties/cross_zone",
        "/categories/0/worth",
    ] {
        let name = pointer.rsplit('/').next().unwrap_or_default();
        for wrong in [Value::from("3"), Value::from(-1), Value::from(true)] {
            let error = replaced(pointer, wrong.clone()).expect_err(pointer).to_string();
            assert_eq!(error, format!("`{name}` is not a non-negative number"), "{wrong}");
        }
    }
    for name in ["extra", "rules", "limits", "penalties", "report"] {
        let error = replaced(&format!("/{name}"), Value::from(3)).expect_err(name).to_string();
        assert_eq!(error, format!("`{name}` or one of its entries is not an object"));
    }
    let error = replaced("/categories/1", Value::from("pay")).expect_err("not an object").to_string();
    assert_eq!(error, "`categories` or one of its entries is not an object");
}

#[test]
fn the_error_names_an_absent_required_field_of_a_class() {
    for name in ["objective_us", "deadline_us"] {
        let error = replaced(&format!("/categories/0/{name}"), Value::Null).expect_err(name);
        assert_eq!(error.to_string(), format!("`{name}` is not a whole number"));
    }
}

#[test]
fn the_error_names_the_first_invalid_field_in_reading_order() {
    let mut object = complete();
    object["extra"]["update_cap"] = Value::from("3");
    object["siblings"] = Value::from("3");
    assert_eq!(read_text(&object.to_string()), Err(FieldError::NotWholeNumber("update_cap".into())));
    object["categories"][0]["deadline_us"] = Value::from("3");
    assert_eq!(read_text(&object.to_string()), Err(FieldError::NotWholeNumber("deadline_us".into())));
    object["categories"][0]["objective_us"] = Value::from("3");
    assert_eq!(read_text(&object.to_string()), Err(FieldError::NotWholeNumber("objective_us".into())));
    object["categories"][1]["key_ttl_us"] = Value::from("3");
    assert_eq!(read_text(&object.to_string()), Err(FieldError::NotWholeNumber("objective_us".into())));
    object["categories"][0]["key_ttl_us"] = Value::from("3");
    assert_eq!(read_text(&object.to_string()), Err(FieldError::NotWholeNumber("key_ttl_us".into())));
    object["penalties"] = Value::from("3");
    assert_eq!(read_text(&object.to_string()), Err(FieldError::NotObject("penalties".into())));
    object["rules"] = Value::from("3");
    assert_eq!(read_text(&object.to_string()), Err(FieldError::NotObject("rules".into())));
}

#[test]
fn strings_booleans_and_arrays_of_another_type_count_as_absent() {
    let settings = |pointer: &str, value: Value| {
        replaced(pointer, value).unwrap_or_else(|error| panic!("{pointer}: {error}")).settings
    };
    assert_eq!(
        settings("/extra/level_kind", Value::from(3)).admission_control,
        AdmissionControl::Unsupported
    );
    assert_eq!(settings("/extra/level_kind", Value::from("rps")).admission_control, AdmissionControl::Rate);
    assert!(!settings("/extra/class_own_zone", Value::from(true)).classes[1].same_zone_only);
    assert_eq!(settings("/limits/probes", Value::from("yes")).health_check_cost, None);
    assert_eq!(settings("/penalties/probe", Value::from("x")).health_check_cost, Some(0.0));
    assert_eq!(settings("/penalties/probe", Value::from(-1)).health_check_cost, Some(-1.0));
    assert_eq!(settings("/extra/update_cap", Value::from(0)).message_limit, None);
    assert_eq!(settings("/extra/messages_over_us", Value::Null).message_limit, None);
    assert_eq!(settings("/extra/retry_default", Value::from(0)).default_retry_policy, RetryPolicy::Never);
    assert_eq!(
        settings("/extra/retry_default", Value::from(9)).default_retry_policy,
        RetryPolicy::OnAnyFailure
    );
    assert!(settings("/categories", Value::from(3)).classes.is_empty());
    assert!(settings("/report/fields", Value::from(3)).load_fields.is_empty());
    assert_eq!(
        replaced("/categories/1/name", Value::from(3)).expect("valid settings").class_names,
        ["find", "", "log"]
    );
    assert_eq!(replaced("/zones/0", Value::from(3)).expect("valid settings").zone_names, ["", "b"]);
    assert!(replaced("/zones", Value::from(3)).expect("valid settings").zone_names.is_empty());
    let load = replaced("/report/fields/3", Value::from(3)).expect("valid settings").load_field_names;
    assert_eq!(load, ["inflight", "queue", "latency_ms", ""]);
}
