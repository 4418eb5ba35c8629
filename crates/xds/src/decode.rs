//! Decodes xDS and LRS messages into the types of the core. Errors name the offending field.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{Phase, ReplicaId};
use wrenthread_core::fleet::JoinRequest;
use wrenthread_core::reports::{LoadReport, ReplicaObservation};
use wrenthread_core::roster::RosterEntry;

use crate::XdsConfig;
use crate::pb::envoy::config::core::v3::{
    Address, HealthStatus, Metadata, Node, address, socket_address::PortSpecifier,
};
use crate::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use crate::pb::envoy::config::endpoint::v3::{ClusterLoadAssignment, ClusterStats};
use crate::pb::google::protobuf::{Struct, Value, value};

/// Metadata key of nodes and endpoints for values that xDS has no field for.
pub const METADATA_KEY: &str = "wrenthread";
/// Maximum length of a node id.
const MAX_NODE_ID_BYTES: usize = 256;
/// Maximum number of entries in a node's default table.
const MAX_DEFAULT_ENTRIES: usize = 1000;

/// Why a message can't be decoded.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// The first request of a stream has no node.
    #[error("the stream's first message has no node")]
    MissingNode,
    /// The node's id is empty or too long.
    #[error("node id: {0}")]
    InvalidNodeId(String),
    /// The node's zone is not in the settings.
    #[error("node `{node}` is in zone `{zone}`; the settings know {known_zones}")]
    UnknownZone {
        /// The node's id.
        node: String,
        /// The node's zone.
        zone: String,
        /// The zones in the settings.
        known_zones: String,
    },
    /// A field of the node's metadata is invalid.
    #[error("node `{node}`: metadata `wrenthread.{field}`: {reason}")]
    InvalidMetadata {
        /// The node's id.
        node: String,
        /// The field of the metadata.
        field: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// An endpoint of an upstream cluster is invalid.
    #[error("endpoint {position} of `{cluster}`: {reason}")]
    InvalidEndpoint {
        /// The cluster's name.
        cluster: String,
        /// The position of the endpoint in the cluster, from 1.
        position: usize,
        /// What is wrong with it.
        reason: String,
    },
}

fn field<'a>(fields: &'a Struct, name: &str) -> Option<&'a value::Kind> {
    fields.fields.get(name)?.kind.as_ref()
}

fn number(value: Option<&value::Kind>) -> Option<f64> {
    match value {
        Some(value::Kind::NumberValue(number)) if number.is_finite() => Some(*number),
        _ => None,
    }
}

fn text(value: Option<&value::Kind>) -> Option<&str> {
    match value {
        Some(value::Kind::StringValue(text)) => Some(text),
        _ => None,
    }
}

fn wrenthread_metadata(metadata: Option<&Metadata>) -> Option<&Struct> {
    metadata?.filter_metadata.get(METADATA_KEY)
}

/// Returns a node's id, after validation.
pub fn node_id(node: Option<&Node>) -> Result<&str, DecodeError> {
    let node = node.ok_or(DecodeError::MissingNode)?;
    if node.id.is_empty() {
        return Err(DecodeError::InvalidNodeId("is empty; every proxy needs one of its own".into()));
    }
    if node.id.len() > MAX_NODE_ID_BYTES {
        return Err(DecodeError::InvalidNodeId(format!(
            "has {} bytes; {MAX_NODE_ID_BYTES} are allowed",
            node.id.len()
        )));
    }
    Ok(&node.id)
}

/// Decodes the node of a stream's first request. `default_requests_per_second` applies if the node's metadata
/// does not state its request rate.
///
/// The metadata holds the request rate (`usual`) and the default table (`standing`):
/// `{"wrenthread": {"usual": 6.5, "standing": [{"replica": "r1", "weight": 1.0}, ...]}}`.
pub fn join_request(
    wire: &XdsConfig,
    node: Option<&Node>,
    default_requests_per_second: f64,
    holds_tables: bool,
) -> Result<JoinRequest, DecodeError> {
    let name = node_id(node)?;
    let node = node.ok_or(DecodeError::MissingNode)?;
    let zone_name = node.locality.as_ref().map_or("", |locality| &locality.zone);
    let zone = match wire.zones.iter().position(|zone| zone == zone_name) {
        Some(zone) => zone,
        None if zone_name.is_empty() && wire.zones.len() == 1 => 0,
        None => {
            let known_zones =
                wire.zones.iter().map(|zone| format!("`{zone}`")).collect::<Vec<_>>().join(", ");
            return Err(DecodeError::UnknownZone { node: name.into(), zone: zone_name.into(), known_zones });
        }
    };
    let invalid = |field, reason: &str| DecodeError::InvalidMetadata {
        node: name.into(),
        field,
        reason: reason.into(),
    };
    let mut join = JoinRequest {
        name: Arc::from(name),
        zone,
        requests_per_second: default_requests_per_second,
        default_table: Vec::new(),
        holds_governor_tables: holds_tables,
        ownership_proof: None,
        proven_version: None,
    };
    let metadata = node.metadata.as_ref().and_then(|metadata| field(metadata, METADATA_KEY));
    let Some(value::Kind::StructValue(fields)) = metadata else { return Ok(join) };
    if fields.fields.contains_key("usual") {
        let rate = number(field(fields, "usual")).filter(|rate| *rate >= 0.0);
        join.requests_per_second =
            rate.ok_or_else(|| invalid("usual", "is not a number of flows a second"))?;
    }
    if let Some(claim) = field(fields, "claim") {
        let value::Kind::StringValue(claim) = claim else { return Err(invalid("claim", "is not a text")) };
        join.ownership_proof = Some(claim.clone());
    }
    if let Some(table) = field(fields, "standing") {
        let value::Kind::ListValue(entries) = table else { return Err(invalid("standing", "is not a list")) };
        if entries.values.len() > MAX_DEFAULT_ENTRIES {
            return Err(invalid("standing", &format!("has more than {MAX_DEFAULT_ENTRIES} lines")));
        }
        let entry = |value: &Value| {
            let Some(value::Kind::StructValue(entry)) = &value.kind else { return None };
            let weight = number(field(entry, "weight")).filter(|weight| *weight > 0.0)?;
            Some((ReplicaId::from(text(field(entry, "replica"))?), weight))
        };
        let entries: Option<Vec<_>> = entries.values.iter().map(entry).collect();
        join.default_table =
            entries.ok_or_else(|| invalid("standing", "a line needs a `replica` and a `weight` above 0"))?;
    }
    Ok(join)
}

/// Formats an address as `host:port`, as in the roster.
pub fn host_port(address: Option<&Address>) -> Option<String> {
    let Some(address::Address::SocketAddress(socket)) = &address?.address else { return None };
    let Some(PortSpecifier::PortValue(port)) = &socket.port_specifier else { return None };
    Some(match socket.address.contains(':') {
        true => format!("[{}]:{port}", socket.address),
        false => format!("{}:{port}", socket.address),
    })
}

/// Decodes one proxy's load statistics into one report per reporting interval. `replica_at` returns the
/// replica at an address. Clusters that are not in the settings and endpoints whose address is unknown are
/// skipped; the second result is their number.
pub fn load_reports(
    wire: &XdsConfig,
    stats: &[ClusterStats],
    replica_at: impl Fn(&str) -> Option<ReplicaId>,
) -> (Vec<LoadReport>, usize) {
    let mut by_interval: BTreeMap<Duration, LoadReport> = BTreeMap::new();
    let mut unknown_entries = 0;
    for cluster in stats {
        let Some(group) = wire.classes.iter().position(|group| group.name == cluster.cluster_name) else {
            unknown_entries += 1;
            continue;
        };
        let interval = cluster.load_report_interval.as_ref().map_or(Duration::ZERO, |span| {
            Duration::new(span.seconds.try_into().unwrap_or(0), span.nanos.clamp(0, 999_999_999) as u32)
        });
        let report = by_interval.entry(interval).or_insert(LoadReport {
            interval,
            observations: Vec::new(),
            rejected: Vec::new(),
        });
        report.rejected.push((group, cluster.total_dropped_requests));
        for endpoint in cluster.upstream_locality_stats.iter().flat_map(|zone| &zone.upstream_endpoint_stats)
        {
            let Some(replica) = host_port(endpoint.address.as_ref()).and_then(|address| replica_at(&address))
            else {
                unknown_entries += 1;
                continue;
            };
            let metric = |name: &String| {
                endpoint.load_metric_stats.iter().find(|metric| metric.metric_name == *name).filter(
                    |metric| {
                        metric.num_requests_finished_with_metric > 0
                            && metric.total_metric_value.is_finite()
                            && metric.total_metric_value >= 0.0
                    },
                )
            };
            let mean_value = |name: &String| {
                metric(name)
                    .map(|metric| metric.total_metric_value / metric.num_requests_finished_with_metric as f64)
            };
            // All metrics or none: the module reads them by index.
            let load: Option<Vec<f64>> = wire.load_metrics.iter().map(mean_value).collect();
            let latency_sum_and_count = metric(&wire.latency_metric).map_or((Duration::ZERO, 0), |metric| {
                let seconds = Duration::try_from_secs_f64(metric.total_metric_value / 1000.0);
                (seconds.unwrap_or(Duration::MAX), metric.num_requests_finished_with_metric)
            });
            report.observations.push(ReplicaObservation {
                class: group,
                replica,
                succeeded: endpoint.total_successful_requests,
                failed: endpoint.total_error_requests,
                issued: endpoint.total_issued_requests,
                in_flight: endpoint.total_requests_in_progress,
                latency_sum_and_count,
                load: load.unwrap_or_default(),
            });
        }
    }
    (by_interval.into_values().collect(), unknown_entries)
}

/// Decodes the endpoints of an upstream cluster into roster entries. `started_at` converts Unix seconds to the
/// host's clock.
///
/// DRAINING endpoints are draining. All others are ready, also with UNHEALTHY, TIMEOUT or DEGRADED: the module
/// detects failures itself, and an upstream that marked every endpoint unhealthy would leave the fleet without
/// replicas. Endpoints that are missing from the message leave the roster. All localities with a priority
/// above 0 are backups of equal rank.
pub fn roster_entries(
    wire: &XdsConfig,
    assignment: &ClusterLoadAssignment,
    started_at: impl Fn(f64) -> Option<Duration>,
) -> Result<Vec<RosterEntry>, DecodeError> {
    let mut entries = Vec::new();
    for zone in &assignment.endpoints {
        let backup = zone.priority > 0;
        let zone_name = zone.locality.as_ref().map_or("", |locality| &locality.zone);
        for endpoint in &zone.lb_endpoints {
            let position = entries.len() + 1;
            let invalid = |reason: String| DecodeError::InvalidEndpoint {
                cluster: assignment.cluster_name.clone(),
                position,
                reason,
            };
            let zone = wire
                .zones
                .iter()
                .position(|zone| zone == zone_name)
                .or((zone_name.is_empty() && wire.zones.len() == 1).then_some(0))
                .ok_or_else(|| invalid(format!("zone `{zone_name}` is not in the settings")))?;
            let Some(HostIdentifier::Endpoint(host)) = &endpoint.host_identifier else {
                return Err(invalid("has no address of its own".into()));
            };
            let address = host_port(host.address.as_ref())
                .ok_or_else(|| invalid("has no address with a port".into()))?;
            let custom = wrenthread_metadata(endpoint.metadata.as_ref());
            let id = custom.and_then(|custom| text(field(custom, "replica"))).unwrap_or(&address);
            let start_time = custom.and_then(|custom| number(field(custom, "started"))).and_then(&started_at);
            let weight =
                endpoint.load_balancing_weight.as_ref().map_or(1.0, |weight| f64::from(weight.value));
            entries.push(RosterEntry {
                id: id.into(),
                address: address.as_str().into(),
                zone,
                weight: weight.max(1.0),
                phase: match HealthStatus::try_from(endpoint.health_status) {
                    Ok(HealthStatus::Draining) => Phase::Draining,
                    _ => Phase::Ready,
                },
                started_at: start_time,
                backup,
            });
        }
    }
    Ok(entries)
}

#[cfg(test)]
mod tests;
