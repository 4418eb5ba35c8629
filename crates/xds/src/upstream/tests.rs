use super::*;
use crate::encode;
use crate::pb::envoy::config::core::v3::{HealthStatus, Locality};
use crate::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use crate::pb::envoy::config::endpoint::v3::{Endpoint, LbEndpoint, LocalityLbEndpoints};
use crate::pb::google::protobuf::Any;
use wrenthread::types::Phase;

fn response(cluster: &str, zone: &str, addresses: &[(&str, HealthStatus)]) -> DiscoveryResponse {
    let endpoint = |(address, health): &(&str, HealthStatus)| LbEndpoint {
        health_status: *health as i32,
        host_identifier: Some(HostIdentifier::Endpoint(Endpoint {
            address: Some(encode::socket_address(address)),
            ..Endpoint::default()
        })),
        ..LbEndpoint::default()
    };
    let assignment = ClusterLoadAssignment {
        cluster_name: cluster.into(),
        endpoints: vec![LocalityLbEndpoints {
            locality: Some(Locality { zone: zone.into(), ..Locality::default() }),
            lb_endpoints: addresses.iter().map(endpoint).collect(),
            ..LocalityLbEndpoints::default()
        }],
        ..ClusterLoadAssignment::default()
    };
    let any = Any { type_url: ResourceType::Endpoints.type_url(), value: assignment.encode_to_vec() };
    DiscoveryResponse { resources: vec![any], ..DiscoveryResponse::default() }
}

fn wire() -> XdsConfig {
    XdsConfig {
        epoch: 1,
        governor: String::new(),
        key: None,
        zones: vec!["north".into()],
        classes: vec![],
        report_interval: Duration::from_secs(1),
        load_metrics: vec![],
        latency_metric: String::new(),
    }
}

#[test]
fn keeps_clusters_missing_from_a_response_and_maps_health_to_phases() {
    let no_start_time = |_| None;
    let first = response("a", "north", &[("10.0.0.1:1", HealthStatus::Healthy)]);
    let known = merge_response(&wire(), &BTreeMap::new(), &first, no_start_time).unwrap();
    let second = response(
        "b",
        "north",
        &[("10.0.0.2:1", HealthStatus::Draining), ("10.0.0.3:1", HealthStatus::Unhealthy)],
    );
    let known = merge_response(&wire(), &known, &second, no_start_time).unwrap();
    let phases: Vec<Phase> = known.values().flatten().map(|entry| entry.phase).collect();
    assert_eq!(phases, [Phase::Ready, Phase::Draining, Phase::Ready]);
}

#[test]
fn rejects_invalid_responses_with_the_location_of_the_error() {
    let error = |response| merge_response(&wire(), &BTreeMap::new(), &response, |_| None).unwrap_err();
    let twice = [("10.0.0.1:1", HealthStatus::Healthy), ("10.0.0.1:1", HealthStatus::Healthy)];
    assert!(error(response("a", "north", &twice)).contains("twice in one"));
    let zone = error(response("a", "west", &twice));
    assert!(zone.contains("endpoint 1 of `a`") && zone.contains("`west`"), "{zone}");
    let mut truncated = response("a", "north", &twice);
    truncated.resources[0].value.truncate(9);
    assert!(error(truncated).contains("not a ClusterLoadAssignment"));
}
