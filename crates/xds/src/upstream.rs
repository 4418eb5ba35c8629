//! xDS client that follows the endpoints of another control plane as the governor's roster.

use std::collections::BTreeMap;
use std::time::Duration;

use prost::Message;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Endpoint;
use wrenthread_core::roster::RosterEntry;

use crate::XdsConfig;
use crate::clients::ads::AggregatedDiscoveryServiceClient;
use crate::decode;
use crate::encode::ResourceType;
use crate::pb::envoy::config::core::v3::Node;
use crate::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use crate::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};
use crate::pb::google::rpc::Status;

/// Initial and maximum delay before a reconnect; the delay doubles in between.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(10));

/// Merges a response into the known clusters: returns the new state, or why the response is rejected.
///
/// A response need not contain all clusters; those that it omits keep their endpoints.
pub fn merge_response(
    wire: &XdsConfig,
    known: &BTreeMap<String, Vec<RosterEntry>>,
    response: &DiscoveryResponse,
    started_at: impl Fn(f64) -> Option<Duration>,
) -> Result<BTreeMap<String, Vec<RosterEntry>>, String> {
    let mut merged = known.clone();
    for resource in &response.resources {
        let assignment = ClusterLoadAssignment::decode(resource.value.as_slice())
            .map_err(|error| format!("not a ClusterLoadAssignment: {error}"))?;
        let entries =
            decode::roster_entries(wire, &assignment, &started_at).map_err(|error| error.to_string())?;
        merged.insert(assignment.cluster_name, entries);
    }
    let mut cluster_by_replica = BTreeMap::new();
    for (cluster, entries) in &merged {
        for entry in entries {
            if let Some(other_cluster) = cluster_by_replica.insert(entry.id.clone(), cluster) {
                return Err(format!(
                    "replica `{}` is in `{other_cluster}` and in `{cluster}`, or twice in one",
                    entry.id
                ));
            }
        }
    }
    Ok(merged)
}

/// Follows clusters of an upstream until the receiver of `rosters` is gone, and sends it the complete roster
/// after each change. An invalid response is answered by a NACK with the error, and the last valid roster is
/// kept.
pub async fn follow(
    wire: XdsConfig,
    uri: String,
    clusters: Vec<String>,
    started_at: impl Fn(f64) -> Option<Duration> + Clone,
    rosters: mpsc::Sender<Vec<RosterEntry>>,
) {
    let (mut known, mut backoff) = (BTreeMap::new(), RETRY_BACKOFF.0);
    while !rosters.is_closed() {
        match follow_stream(&wire, &uri, &clusters, &started_at, &rosters, &mut known).await {
            Ok(true) => backoff = RETRY_BACKOFF.0,
            Ok(false) => {}
            Err(error) => {
                tracing::warn!(%uri, %error, "following the upstream control plane failed; keeping the last roster");
            }
        }
        tokio::time::sleep(backoff).await;
        backoff = (2 * backoff).min(RETRY_BACKOFF.1);
    }
}

async fn follow_stream(
    wire: &XdsConfig,
    uri: &str,
    clusters: &[String],
    started_at: &(impl Fn(f64) -> Option<Duration> + Clone),
    rosters: &mpsc::Sender<Vec<RosterEntry>>,
    known: &mut BTreeMap<String, Vec<RosterEntry>>,
) -> Result<bool, Box<dyn std::error::Error>> {
    let endpoint = Endpoint::from_shared(uri.to_string())?
        .connect_timeout(Duration::from_secs(3))
        .http2_keep_alive_interval(Duration::from_secs(10))
        .keep_alive_while_idle(true);
    let mut client = AggregatedDiscoveryServiceClient::new(endpoint.connect().await?);
    let (requests, stream) = mpsc::channel(4);
    let request = |version: &str, nonce: &str, error: Option<String>, node: bool| DiscoveryRequest {
        version_info: version.to_string(),
        node: node.then(|| Node { id: format!("wrenthread-{:x}", wire.epoch), ..Node::default() }),
        resource_names: clusters.to_vec(),
        type_url: ResourceType::Endpoints.type_url(),
        response_nonce: nonce.to_string(),
        error_detail: error.map(|message| Status { code: 3, message, ..Status::default() }),
        ..DiscoveryRequest::default()
    };
    requests.send(request("", "", None, true)).await?;
    let mut responses = client.stream_aggregated_resources(ReceiverStream::new(stream)).await?.into_inner();
    let (mut version, mut accepted_any) = (String::new(), false);
    while let Some(response) = responses.next().await {
        let response = response?;
        match merge_response(wire, known, &response, started_at) {
            Ok(merged) => {
                *known = merged;
                accepted_any = true;
                version.clone_from(&response.version_info);
                requests.send(request(&version, &response.nonce, None, false)).await?;
                rosters.send(known.values().flatten().cloned().collect()).await?;
            }
            Err(error) => {
                tracing::warn!(%uri, %error, "rejected an upstream response; keeping the last roster");
                requests.send(request(&version, &response.nonce, Some(error), false)).await?;
            }
        }
    }
    Ok(accepted_any)
}

#[cfg(test)]
mod tests;
