use super::*;
use crate::encode;
use crate::pb::envoy::config::core::v3::{HealthStatus, Locality};
use crate::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use crate::pb::envoy::config::endpoint::v3::{Endpoint, LbEndpoint, LocalityLbEndpoints};
use crate::pb::google::protobuf::Any;
use wrenthread::types::Phase;

fn response(cluster: &str, zone: &str, addresses: &[(&str, HealthStatus)]) -> DiscoveryResponse {
    let endpoint = |(at, health): &(&str, HealthStatus)| LbEndpoint {
        health_status: *health as i32,
        host_identifier: Some(HostIdentifier::Endpoint(Endpoint {
            address: Some(encode::address(at)),
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
    let any = Any { type_url: Kind::Endpoints.url(), value: assignment.encode_to_vec() };
    DiscoveryResponse { resources: vec![any], ..DiscoveryResponse::default() }
}

fn wire() -> Wire {
    Wire {
        epoch: 1,
        governor: String::new(),
        key: None,
        zones: vec!["north".into()],
        groups: vec![],
        report_every: Duration::from_secs(1),
        load_metrics: vec![],
        answer_metric: String::new(),
    }
}

#[test]
fn clusters_that_a_response_leaves_out_stay_and_health_becomes_a_phase() {
    let none = |_| None;
    let one = response("a", "north", &[("10.0.0.1:1", HealthStatus::Healthy)]);
    let known = merged(&wire(), &BTreeMap::new(), &one, none).unwrap();
    let two = response(
        "b",
        "north",
        &[("10.0.0.2:1", HealthStatus::Draining), ("10.0.0.3:1", HealthStatus::Unhealthy)],
    );
    let known = merged(&wire(), &known, &two, none).unwrap();
    let phases: Vec<Phase> = known.values().flatten().map(|entry| entry.phase).collect();
    assert_eq!(phases, [Phase::Ready, Phase::Draining, Phase::Ready]);
}

#[test]
fn lists_with_an_error_in_them_are_refused_with_its_place() {
    let why = |response| merged(&wire(), &BTreeMap::new(), &response, |_| None).unwrap_err();
    let twice = [("10.0.0.1:1", HealthStatus::Healthy), ("10.0.0.1:1", HealthStatus::Healthy)];
    assert!(why(response("a", "north", &twice)).contains("twice in one"));
    let zone = why(response("a", "west", &twice));
    assert!(zone.contains("endpoint 1 of `a`") && zone.contains("`west`"), "{zone}");
    let mut cut = response("a", "north", &twice);
    cut.resources[0].value.truncate(9);
    assert!(why(cut).contains("not a ClusterLoadAssignment"));
}
