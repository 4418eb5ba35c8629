use super::*;
use crate::encode;
use crate::pb::envoy::config::core::v3::Locality;
use crate::pb::envoy::config::endpoint::v3::{
    EndpointLoadMetricStats, UpstreamEndpointStats, UpstreamLocalityStats,
};

fn wire() -> XdsConfig {
    XdsConfig {
        epoch: 1,
        governor: String::new(),
        key: None,
        zones: vec!["north".into(), "south".into()],
        classes: vec![crate::TrafficClass {
            name: "match".into(),
            route: crate::Route::Prefix("/".into()),
            request_timeout: Duration::from_secs(1),
        }],
        report_interval: Duration::from_secs(1),
        load_metrics: vec!["queue".into()],
        latency_metric: "answer_ms".into(),
    }
}

fn node(id: &str, zone: &str, metadata: Option<Value>) -> Node {
    let fields = metadata.map(|value| (METADATA_KEY.to_string(), value)).into_iter().collect();
    Node {
        id: id.into(),
        locality: Some(Locality { zone: zone.into(), ..Locality::default() }),
        metadata: Some(Struct { fields }),
        ..Node::default()
    }
}

fn structure(fields: Vec<(&str, value::Kind)>) -> Value {
    let fields =
        fields.into_iter().map(|(name, kind)| (name.to_string(), Value { kind: Some(kind) })).collect();
    Value { kind: Some(value::Kind::StructValue(Struct { fields })) }
}

#[test]
fn reads_zone_request_rate_and_default_table_of_a_node() {
    let entry = structure(vec![
        ("replica", value::Kind::StringValue("r1".into())),
        ("weight", value::Kind::NumberValue(2.0)),
    ]);
    let list = crate::pb::google::protobuf::ListValue { values: vec![entry] };
    let metadata =
        structure(vec![("usual", value::Kind::NumberValue(6.5)), ("standing", value::Kind::ListValue(list))]);
    let join = super::join_request(&wire(), Some(&node("p", "south", Some(metadata))), 1.0, false).unwrap();
    assert_eq!((join.zone, join.requests_per_second, join.default_table), (1, 6.5, vec![("r1".into(), 2.0)]));
}

#[test]
fn rejects_invalid_nodes_with_a_reason() {
    let reason = |node: &Node| super::join_request(&wire(), Some(node), 1.0, false).unwrap_err().to_string();
    assert!(reason(&node("p", "west", None)).contains("`north`, `south`"));
    assert!(reason(&node("", "north", None)).contains("every proxy needs one"));
    let metadata = structure(vec![("usual", value::Kind::NumberValue(f64::NAN))]);
    assert!(reason(&node("p", "north", Some(metadata))).contains("wrenthread.usual"));
    let metadata = structure(vec![("standing", value::Kind::BoolValue(true))]);
    assert!(reason(&node("p", "north", Some(metadata))).contains("is not a list"));
    assert!(matches!(super::join_request(&wire(), None, 1.0, false), Err(DecodeError::MissingNode)));
}

#[test]
fn groups_load_statistics_by_interval() {
    let endpoint = |port: u32| UpstreamEndpointStats {
        address: Some(encode::socket_address(&format!("10.0.0.1:{port}"))),
        total_successful_requests: 8,
        total_error_requests: 2,
        total_issued_requests: 11,
        load_metric_stats: vec![
            EndpointLoadMetricStats {
                metric_name: "answer_ms".into(),
                num_requests_finished_with_metric: 8,
                total_metric_value: 160.0,
            },
            EndpointLoadMetricStats {
                metric_name: "queue".into(),
                num_requests_finished_with_metric: 8,
                total_metric_value: 16.0,
            },
        ],
        ..UpstreamEndpointStats::default()
    };
    let stats = |name: &str| ClusterStats {
        cluster_name: name.into(),
        total_dropped_requests: 3,
        load_report_interval: Some(crate::pb::google::protobuf::Duration { seconds: 1, nanos: 5 }),
        upstream_locality_stats: vec![UpstreamLocalityStats {
            upstream_endpoint_stats: vec![endpoint(1), endpoint(2)],
            ..UpstreamLocalityStats::default()
        }],
        ..ClusterStats::default()
    };
    let replica_at = |address: &str| (address == "10.0.0.1:1").then(|| "r1".into());
    let (reports, unknown) = super::load_reports(&wire(), &[stats("match"), stats("other")], replica_at);
    assert_eq!((reports.len(), unknown), (1, 2));
    assert_eq!(reports[0].interval, Duration::new(1, 5));
    assert_eq!(reports[0].rejected, [(0, 3)]);
    let observation = &reports[0].observations[0];
    assert_eq!(
        (observation.succeeded, observation.failed, observation.issued, observation.load.as_slice()),
        (8, 2, 11, [2.0].as_slice())
    );
    assert_eq!(observation.latency_sum_and_count, (Duration::from_millis(160), 8));
}

#[test]
fn addresses_round_trip() {
    for address in ["10.0.0.1:80", "[::1]:8080", "worker.local:1"] {
        assert_eq!(host_port(Some(&encode::socket_address(address))).as_deref(), Some(address));
    }
}
