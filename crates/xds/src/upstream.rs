//! The governor as a client: it follows endpoints of another control plane as its roster.

use std::collections::BTreeMap;
use std::time::Duration;

use prost::Message;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Endpoint;
use wrenthread_core::roster::RosterEntry;

use crate::Wire;
use crate::clients::ads::AggregatedDiscoveryServiceClient;
use crate::decode;
use crate::encode::Kind;
use crate::pb::envoy::config::core::v3::Node;
use crate::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use crate::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};
use crate::pb::google::rpc::Status;

/// First wait after a broken stream, doubled up to the second.
const AGAIN: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(10));

/// What a response says, put beside what was known: the new whole list, or why it is not taken.
///
/// Endpoints come by cluster, and a response need not name all of them: those it leaves out stay as they
/// were.
pub fn merged(
    wire: &Wire,
    known: &BTreeMap<String, Vec<RosterEntry>>,
    response: &DiscoveryResponse,
    started: impl Fn(f64) -> Option<Duration>,
) -> Result<BTreeMap<String, Vec<RosterEntry>>, String> {
    let mut merged = known.clone();
    for resource in &response.resources {
        let assignment = ClusterLoadAssignment::decode(resource.value.as_slice())
            .map_err(|error| format!("not a ClusterLoadAssignment: {error}"))?;
        let entries = decode::entries(wire, &assignment, &started).map_err(|error| error.to_string())?;
        merged.insert(assignment.cluster_name, entries);
    }
    let mut seen = BTreeMap::new();
    for (cluster, entries) in &merged {
        for entry in entries {
            if let Some(other) = seen.insert(entry.id.clone(), cluster) {
                return Err(format!(
                    "replica `{}` is in `{other}` and in `{cluster}`, or twice in one",
                    entry.id
                ));
            }
        }
    }
    Ok(merged)
}

/// Follows clusters of an upstream for ever; whole lists go to `lists`. A list with an error in it is
/// answered by a NACK with the error's words, and the last good one stays.
pub async fn follow(
    wire: Wire,
    uri: String,
    clusters: Vec<String>,
    started: impl Fn(f64) -> Option<Duration> + Clone,
    lists: mpsc::Sender<Vec<RosterEntry>>,
) {
    let (mut known, mut wait) = (BTreeMap::new(), AGAIN.0);
    while !lists.is_closed() {
        match once(&wire, &uri, &clusters, &started, &lists, &mut known).await {
            Ok(true) => wait = AGAIN.0,
            Ok(false) => {}
            Err(error) => {
                tracing::warn!(%uri, %error, "the upstream roster can't be followed; the last list stays");
            }
        }
        tokio::time::sleep(wait).await;
        wait = (2 * wait).min(AGAIN.1);
    }
}

async fn once(
    wire: &Wire,
    uri: &str,
    clusters: &[String],
    started: &(impl Fn(f64) -> Option<Duration> + Clone),
    lists: &mpsc::Sender<Vec<RosterEntry>>,
    known: &mut BTreeMap<String, Vec<RosterEntry>>,
) -> Result<bool, Box<dyn std::error::Error>> {
    let endpoint = Endpoint::from_shared(uri.to_string())?
        .connect_timeout(Duration::from_secs(3))
        .http2_keep_alive_interval(Duration::from_secs(10))
        .keep_alive_while_idle(true);
    let mut client = AggregatedDiscoveryServiceClient::new(endpoint.connect().await?);
    let (requests, stream) = mpsc::channel(4);
    let ask = |version: &str, nonce: &str, error: Option<String>, node: bool| DiscoveryRequest {
        version_info: version.to_string(),
        node: node.then(|| Node { id: format!("wrenthread-{:x}", wire.epoch), ..Node::default() }),
        resource_names: clusters.to_vec(),
        type_url: Kind::Endpoints.url(),
        response_nonce: nonce.to_string(),
        error_detail: error.map(|message| Status { code: 3, message, ..Status::default() }),
        ..DiscoveryRequest::default()
    };
    requests.send(ask("", "", None, true)).await?;
    let mut responses = client.stream_aggregated_resources(ReceiverStream::new(stream)).await?.into_inner();
    let (mut version, mut any) = (String::new(), false);
    while let Some(response) = responses.next().await {
        let response = response?;
        match merged(wire, known, &response, started) {
            Ok(merged) => {
                *known = merged;
                any = true;
                version.clone_from(&response.version_info);
                requests.send(ask(&version, &response.nonce, None, false)).await?;
                lists.send(known.values().flatten().cloned().collect()).await?;
            }
            Err(error) => {
                tracing::warn!(%uri, %error, "a list of the upstream is not taken; the last one stays");
                requests.send(ask(&version, &response.nonce, Some(error), false)).await?;
            }
        }
    }
    Ok(any)
}

#[cfg(test)]
mod tests {
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
}
