use super::*;
use proptest::prelude::*;

fn decoder() -> Decoder {
    let config = serde_json::json!({
        "categories": [{"name": "find", "deadline_us": 5000000, "objective_us": 2000000}],
        "extra": {"agents": 20}, "zones": ["a", "b"], "report": {"fields": ["queue", "latency_ms"]},
    });
    let config = config.as_object().expect("an object").clone();
    Decoder::new(
        &wrenthread_deployment_config::read(&wrenthread_deployment_config::Fields::new(&config))
            .expect("valid settings"),
    )
}

fn decode(text: &str) -> Result<Message, DecodeError> {
    decoder().decode(text.as_bytes(), |name| (name == "r1").then(|| name.into()))
}

const LOAD: &str = r#"{"@type":"LOAD","locality":"b","endpoint":"r1","total":4,"errors":1,
    "rtt":41.5,"interval":500.0,"metrics":{"latency_ms":7,"queue":2}}"#;
const RATE: &str = r#"{"@type":"RATE","node":17,"route":"find","total":19,"errors":0,"interval":1000.0}"#;

#[test]
fn load_values_are_in_the_order_of_the_settings() {
    let Ok(Message::ReplicaStatistics(statistics)) = decode(LOAD) else { panic!("{:?}", decode(LOAD)) };
    assert_eq!(
        (statistics.zone, statistics.attempts, statistics.failed, &*statistics.replica),
        (1, 4, 1, "r1")
    );
    assert_eq!(
        (statistics.mean_latency, statistics.interval),
        (Some(Duration::from_micros(41500)), Duration::from_millis(500))
    );
    assert_eq!(statistics.load, [2.0, 7.0]);
    let Ok(Message::ReplicaStatistics(statistics)) = decode(&LOAD.replace("\"queue\":2", "\"qps\":2")) else {
        panic!("not decoded")
    };
    assert!(statistics.load.is_empty(), "an absent value is neither read as 0 nor replaced by the next one");
}

#[test]
fn names_the_invalid_field() {
    for (from, to, error) in [
        ("\"total\":4", "\"total\":-4", DecodeError::InvalidField("total")),
        ("\"total\":4", "\"total\":4.5", DecodeError::InvalidField("total")),
        ("\"total\":4", "\"total\":1e300", DecodeError::InvalidField("total")),
        ("\"errors\":1", "\"errors\":5", DecodeError::InvalidField("errors")),
        ("\"errors\":1,", "", DecodeError::InvalidField("errors")),
        ("41.5", "\"41.5\"", DecodeError::InvalidField("rtt")),
        ("41.5", "1e9", DecodeError::InvalidField("rtt")),
        ("500.0", "0", DecodeError::InvalidField("interval")),
        ("\"b\"", "\"c\"", DecodeError::UnknownName("locality")),
        ("r1", "r2", DecodeError::UnknownName("endpoint")),
        ("\"queue\":2", "\"queue\":-2", DecodeError::InvalidField("metrics")),
        ("LOAD", "WHAT", DecodeError::UnknownName("@type")),
    ] {
        assert_eq!(decode(&LOAD.replace(from, to)), Err(error), "{from} {to}");
    }
    assert_eq!(decode(&RATE.replace("17", "20")), Err(DecodeError::UnknownName("node")));
    assert_eq!(decode(&RATE.replace("find", "lose")), Err(DecodeError::UnknownName("route")));
    assert!(matches!(decode("{\"@type\":"), Err(DecodeError::Unreadable(_))));
    assert!(matches!(
        decode(RATE),
        Ok(Message::DemandStatistics(DemandStatistics { proxy: 17, class: 0, requests: 19, .. }))
    ));
}

/// Guards against discarding the only sign that proxies send to replicas that were gone before the governor's start.
#[test]
fn failures_of_an_unlisted_replica_are_no_invalid_message() {
    let unlisted = LOAD.replace("r1", "r2").replace("\"errors\":1", "\"errors\":4");
    assert_eq!(decode(&unlisted), Ok(Message::UnlistedReplicaFailed { zone: 1 }));
    let unused = unlisted.replace("\"total\":4,\"errors\":4", "\"total\":0,\"errors\":0");
    assert_eq!(decode(&unused), Err(DecodeError::UnknownName("endpoint")));
}

#[test]
fn more_requests_may_fail_than_were_received_in_the_interval() {
    let late = RATE.replace("\"total\":19,\"errors\":0", "\"total\":0,\"errors\":2");
    assert!(matches!(
        decode(&late),
        Ok(Message::DemandStatistics(DemandStatistics { requests: 0, failed: 2, .. }))
    ));
    assert_eq!(decode(&late.replace(":2", ":2e9")), Err(DecodeError::InvalidField("errors")));
}

proptest! {
    #[test]
    fn no_input_panics(at in 0usize..150, with in any::<Vec<u8>>(), load in any::<bool>()) {
        let mut bytes = if load { LOAD } else { RATE }.as_bytes().to_vec();
        let at = at.min(bytes.len());
        let until = (at + with.len()).min(bytes.len());
        bytes.splice(at..until, with);
        let _ = decoder().decode(&bytes, |name| Some(name.into()));
    }
}
