//! Follows a governor by xDS, in either variant of ADS, and reports load by LRS.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::{Channel, Endpoint};
use wrenthread::types::RetryPolicy;
use wrenthread_xds::clients::ads::AggregatedDiscoveryServiceClient;
use wrenthread_xds::clients::lrs::LoadReportingServiceClient;
use wrenthread_xds::decode::{METADATA_KEY, host_port};
use wrenthread_xds::encode::{self, ResourceType};
use wrenthread_xds::parse_identifier;
use wrenthread_xds::pb::envoy::config::core::v3::{ControlPlane, Locality, Node};
use wrenthread_xds::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use wrenthread_xds::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, ClusterStats, EndpointLoadMetricStats, UpstreamEndpointStats,
    UpstreamLocalityStats,
};
use wrenthread_xds::pb::envoy::config::route::v3::{RouteConfiguration, route};
use wrenthread_xds::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use wrenthread_xds::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use wrenthread_xds::pb::google::protobuf::{Any, ListValue, Struct, Value, value};
use wrenthread_xds::pb::google::rpc::Status;

use crate::table_cache::{ReportCounters, TableCache};
use crate::{Error, Governor, Observer, ProxyIdentity, UpdatedTables};

/// The versions that a proxy holds, by type and resource name; an empty name stands for the whole type. They are kept
/// across streams.
#[derive(Debug, Clone, Default)]
pub struct Versions(BTreeMap<(ResourceType, String), String>);

fn decode_error(error: impl ToString) -> Error {
    Error::Decode(error.to_string())
}

fn status(uri: &str) -> impl Fn(tonic::Status) -> Error + '_ {
    move |status| match status
        .metadata()
        .get(wrenthread_xds::REDIRECT_METADATA_KEY)
        .and_then(|to| to.to_str().ok())
    {
        Some(to) => Error::Redirected((!to.is_empty()).then(|| to.to_string())),
        None => Error::Unreachable(uri.to_string(), status.message().to_string()),
    }
}

/// Interval of HTTP/2 keepalives, which detect a governor whose process hangs while its sockets stay open.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a keepalive; the stream ends after it.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the initial response headers of a stream.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

async fn with_answer_timeout<T>(
    uri: &str,
    answer: impl Future<Output = Result<T, tonic::Status>>,
) -> Result<T, Error> {
    let timed_out = |_| Error::Unreachable(uri.to_string(), format!("no answer within {ANSWER_TIMEOUT:?}"));
    tokio::time::timeout(ANSWER_TIMEOUT, answer).await.map_err(timed_out)?.map_err(status(uri))
}

pub(crate) async fn connect(uri: &str) -> Result<Channel, Error> {
    let unreachable = |error: tonic::transport::Error| Error::Unreachable(uri.to_string(), error.to_string());
    let endpoint = Endpoint::from_shared(uri.to_string()).map_err(unreachable)?;
    let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
    let endpoint =
        endpoint.http2_keep_alive_interval(KEEPALIVE_INTERVAL).keep_alive_timeout(KEEPALIVE_TIMEOUT);
    endpoint.keep_alive_while_idle(true).connect().await.map_err(unreachable)
}

fn node(identity: &ProxyIdentity, cache: &TableCache) -> Node {
    let text = |text: &str| Value { kind: Some(value::Kind::StringValue(text.into())) };
    let number = |number: f64| Value { kind: Some(value::Kind::NumberValue(number)) };
    let structure = |fields: Vec<(&str, Value)>| {
        let fields = fields.into_iter().map(|(name, value)| (name.to_string(), value)).collect();
        Value { kind: Some(value::Kind::StructValue(Struct { fields })) }
    };
    let entries = cache.default_table().iter();
    let entries = entries
        .map(|entry| structure(vec![("replica", text(&entry.replica)), ("weight", number(entry.weight))]));
    let default_table = Value { kind: Some(value::Kind::ListValue(ListValue { values: entries.collect() })) };
    let mut fields = vec![("usual", number(identity.requests_per_second)), ("standing", default_table)];
    fields.extend(cache.ownership_proof().map(|claim| ("claim", text(claim))));
    let metadata = structure(fields);
    Node {
        id: identity.name.clone(),
        locality: Some(Locality { zone: identity.zone.clone(), ..Locality::default() }),
        metadata: Some(Struct { fields: [(METADATA_KEY.to_string(), metadata)].into() }),
        ..Node::default()
    }
}

/// The subscriptions by type. Endpoints come first, as their request states whether the proxy holds a governor's
/// tables.
fn subscriptions(cache: &TableCache) -> [(ResourceType, Vec<String>); 3] {
    let routes = vec![encode::ROUTE_CONFIG_NAME.to_string()];
    [
        (ResourceType::Endpoints, cache.classes().to_vec()),
        (ResourceType::Clusters, vec![]),
        (ResourceType::Routes, routes),
    ]
}

/// Checks by governor, epoch and version whether a response may be applied. A governor
/// without a name is the only one and is not checked.
fn check_ownership(
    governor: &Governor,
    cache: &Rc<RefCell<TableCache>>,
    control: Option<&ControlPlane>,
    version: &str,
) -> Result<(), Error> {
    if governor.name.is_empty() {
        return Ok(());
    }
    let identifier = control.map(|control| control.identifier.as_str()).unwrap_or_default();
    let version = version.rsplit_once('.').and_then(|(_, version)| version.parse().ok());
    let (Some((name, epoch, claim)), Some(version)) = (parse_identifier(identifier), version) else {
        return Err(decode_error("a response without a valid governor identifier or version"));
    };
    Ok(cache.borrow_mut().accept(name, epoch, version, claim)?)
}

/// Follows a governor over one stream until it ends. The cached tables are kept; call it again with the same `versions`.
///
/// # Errors
/// Why the stream ended.
pub async fn follow(
    governor: &Governor,
    identity: &ProxyIdentity,
    delta: bool,
    cache: &Rc<RefCell<TableCache>>,
    versions: &Rc<RefCell<Versions>>,
    observer: &impl Observer,
) -> Result<(), Error> {
    let mut client = AggregatedDiscoveryServiceClient::new(connect(&governor.grpc).await?);
    cache.borrow_mut().follow_governor(&governor.name);
    match delta {
        true => follow_delta(&mut client, governor, identity, cache, versions, observer).await,
        false => follow_sotw(&mut client, governor, identity, cache, versions, observer).await,
    }
}

async fn follow_sotw(
    client: &mut AggregatedDiscoveryServiceClient<Channel>,
    governor: &Governor,
    identity: &ProxyIdentity,
    cache: &Rc<RefCell<TableCache>>,
    versions: &Rc<RefCell<Versions>>,
    observer: &impl Observer,
) -> Result<(), Error> {
    let (requests, stream) = mpsc::channel(16);
    let kinds = subscriptions(&cache.borrow());
    let names: BTreeMap<ResourceType, Vec<String>> = kinds.clone().into();
    let request_for =
        |kind: ResourceType, nonce: &str, error: Option<String>, node: Option<Node>| DiscoveryRequest {
            version_info: versions.borrow().0.get(&(kind, String::new())).cloned().unwrap_or_default(),
            node,
            resource_names: names[&kind].clone(),
            type_url: kind.type_url(),
            response_nonce: nonce.into(),
            error_detail: error.map(|message| Status { code: 3, message, ..Status::default() }),
            ..DiscoveryRequest::default()
        };
    for (index, (kind, _)) in kinds.into_iter().enumerate() {
        let node = (index == 0).then(|| node(identity, &cache.borrow()));
        requests.send(request_for(kind, "", None, node)).await.map_err(decode_error)?;
    }
    observer.connected();
    let responses = client.stream_aggregated_resources(ReceiverStream::new(stream));
    let mut responses = with_answer_timeout(&governor.grpc, responses).await?.into_inner();
    while let Some(response) = responses.next().await {
        let response = response.map_err(status(&governor.grpc))?;
        check_ownership(governor, cache, response.control_plane.as_ref(), &response.version_info)?;
        let DiscoveryResponse { version_info, resources, type_url, nonce, .. } = response;
        let Some(kind) = ResourceType::from_type_url(&type_url) else { continue };
        let error = match apply_response(kind, &nonce, &resources, cache, observer) {
            Ok(()) => {
                versions.borrow_mut().0.insert((kind, String::new()), version_info);
                None
            }
            Err(error) => Some(error.to_string()),
        };
        let accepted = error.is_none();
        requests.send(request_for(kind, &nonce, error, None)).await.map_err(|_| Error::StreamEnded)?;
        observer.update_answered(&nonce, accepted);
    }
    Err(Error::StreamEnded)
}

async fn follow_delta(
    client: &mut AggregatedDiscoveryServiceClient<Channel>,
    governor: &Governor,
    identity: &ProxyIdentity,
    cache: &Rc<RefCell<TableCache>>,
    versions: &Rc<RefCell<Versions>>,
    observer: &impl Observer,
) -> Result<(), Error> {
    let (requests, stream) = mpsc::channel(16);
    let mut first_node = Some(node(identity, &cache.borrow()));
    let kinds = subscriptions(&cache.borrow());
    for (kind, names) in kinds {
        let held_versions = versions.borrow().0.clone();
        let held_versions =
            held_versions.into_iter().filter(|((of_kind, name), _)| *of_kind == kind && !name.is_empty());
        let request = DeltaDiscoveryRequest {
            node: first_node.take(),
            type_url: kind.type_url(),
            resource_names_subscribe: if names.is_empty() { vec!["*".into()] } else { names },
            initial_resource_versions: held_versions.map(|((_, name), version)| (name, version)).collect(),
            ..DeltaDiscoveryRequest::default()
        };
        requests.send(request).await.map_err(decode_error)?;
    }
    observer.connected();
    let responses = client.delta_aggregated_resources(ReceiverStream::new(stream));
    let mut responses = with_answer_timeout(&governor.grpc, responses).await?.into_inner();
    while let Some(response) = responses.next().await {
        let response = response.map_err(status(&governor.grpc))?;
        check_ownership(governor, cache, response.control_plane.as_ref(), &response.system_version_info)?;
        let DeltaDiscoveryResponse { resources, type_url, removed_resources, nonce, .. } = response;
        let Some(kind) = ResourceType::from_type_url(&type_url) else { continue };
        let contents: Vec<Any> = resources.iter().filter_map(|resource| resource.resource.clone()).collect();
        let error =
            apply_response(kind, &nonce, &contents, cache, observer).err().map(|error| error.to_string());
        let accepted = error.is_none();
        if accepted {
            let held_versions = &mut versions.borrow_mut().0;
            held_versions
                .extend(resources.into_iter().map(|resource| ((kind, resource.name), resource.version)));
            for name in removed_resources {
                if kind == ResourceType::Endpoints {
                    cache.borrow_mut().use_default_table(&name);
                }
                held_versions.remove(&(kind, name));
            }
        }
        let answer = DeltaDiscoveryRequest {
            type_url,
            response_nonce: nonce.clone(),
            error_detail: error.map(|message| Status { code: 3, message, ..Status::default() }),
            ..DeltaDiscoveryRequest::default()
        };
        requests.send(answer).await.map_err(|_| Error::StreamEnded)?;
        observer.update_answered(&nonce, accepted);
    }
    Err(Error::StreamEnded)
}

/// Applies a response completely, or not at all if a part of it does not decode.
fn apply_response(
    kind: ResourceType,
    nonce: &str,
    resources: &[Any],
    cache: &Rc<RefCell<TableCache>>,
    observer: &impl Observer,
) -> Result<(), Error> {
    let (mut tables, mut retry_policies, mut entry_count) = (UpdatedTables::new(), Vec::new(), 0);
    let mut decode_all = || {
        for resource in resources {
            match kind {
                ResourceType::Endpoints => {
                    let table =
                        ClusterLoadAssignment::decode(resource.value.as_slice()).map_err(decode_error)?;
                    let (name, entries, admission_fraction) = decode_table(&table)?;
                    entry_count += entries.len().max(1);
                    tables.insert(name, (entries, admission_fraction));
                }
                ResourceType::Routes => {
                    let routes =
                        RouteConfiguration::decode(resource.value.as_slice()).map_err(decode_error)?;
                    for route in routes.virtual_hosts.iter().flat_map(|host| &host.routes) {
                        let Some(route::Action::Route(action)) = &route.action else { continue };
                        let retry_on = action.retry_policy.as_ref().map(|policy| policy.retry_on.as_str());
                        let allowed_retries = match retry_on {
                            None => RetryPolicy::Never,
                            Some(retry_on) if retry_on.contains("5xx") => RetryPolicy::OnAnyFailure,
                            Some(_) => RetryPolicy::IfNotExecuted,
                        };
                        retry_policies.push((route.name.clone(), allowed_retries));
                        entry_count += 1;
                    }
                }
                ResourceType::Clusters | ResourceType::Listeners => entry_count += 1,
            }
        }
        Ok(())
    };
    let decoded: Result<(), Error> = decode_all();
    observer.update_received(nonce, entry_count, &tables);
    decoded?;
    let mut cache = cache.borrow_mut();
    for (group, (entries, admission_fraction)) in tables {
        cache.set_table(&group, entries, admission_fraction);
    }
    for (group, allowed_retries) in retry_policies {
        cache.set_retry_policy(&group, allowed_retries);
    }
    Ok(())
}

type RoutableEntries = Vec<(Arc<str>, f64)>;

fn decode_table(table: &ClusterLoadAssignment) -> Result<(String, RoutableEntries, f64), Error> {
    let overloads = table.policy.as_ref().and_then(|policy| policy.drop_overloads.first());
    let rejected_millionths =
        overloads.and_then(|overload| overload.drop_percentage).map_or(0, |part| part.numerator);
    let mut entries = Vec::new();
    for endpoint in table.endpoints.iter().flat_map(|zone| &zone.lb_endpoints) {
        let Some(HostIdentifier::Endpoint(host)) = &endpoint.host_identifier else { continue };
        let address =
            host_port(host.address.as_ref()).ok_or_else(|| decode_error("an endpoint without an address"))?;
        let weight = endpoint.load_balancing_weight.map_or(1, |weight| weight.value);
        entries.push((address.as_str().into(), f64::from(weight)));
    }
    Ok((table.cluster_name.clone(), entries, 1.0 - f64::from(rejected_millionths) / 1e6))
}

/// A stream of load reports.
pub struct Reports {
    /// The interval that the governor requested.
    pub every: Duration,
    requests: mpsc::Sender<LoadStatsRequest>,
    answers: Streaming<LoadStatsResponse>,
}

impl Reports {
    /// Opens a stream and receives the reporting interval.
    ///
    /// # Errors
    /// The governor can't be reached, or requests no reports.
    pub async fn open(
        uri: &str,
        identity: &ProxyIdentity,
        cache: &Rc<RefCell<TableCache>>,
    ) -> Result<Reports, Error> {
        let mut client = LoadReportingServiceClient::new(connect(uri).await?);
        let (requests, stream) = mpsc::channel(16);
        let first = LoadStatsRequest { node: Some(node(identity, &cache.borrow())), cluster_stats: vec![] };
        requests.send(first).await.map_err(decode_error)?;
        let answers = client.stream_load_stats(ReceiverStream::new(stream));
        let mut answers = with_answer_timeout(uri, answers).await?.into_inner();
        let first_response = answers.next().await.ok_or(Error::StreamEnded)?.map_err(status(uri))?;
        let every = first_response
            .load_reporting_interval
            .ok_or_else(|| decode_error("a response without a load reporting interval"))?;
        let every = Duration::new(every.seconds.max(0) as u64, every.nanos.clamp(0, 999_999_999) as u32);
        Ok(Reports { every, requests, answers })
    }

    /// Waits until the next report is due.
    ///
    /// # Errors
    /// The stream ended.
    pub async fn wait(&mut self) -> Result<(), Error> {
        tokio::select! {
            () = tokio::time::sleep(self.every) => Ok(()),
            _ = self.answers.next() => Err(Error::StreamEnded),
        }
    }

    /// The sender of reports, for use beyond a borrow of this value.
    pub fn sender(&self) -> mpsc::Sender<LoadStatsRequest> {
        self.requests.clone()
    }
}

/// Encodes a report as an LRS request. `metrics` are the names of the load metrics, in order.
pub fn load_stats_request(
    groups: &[String],
    interval: Duration,
    stats: &ReportCounters,
    metrics: &[&str],
) -> LoadStatsRequest {
    let metric = |name: &str, count: u64, total: f64| EndpointLoadMetricStats {
        metric_name: name.into(),
        num_requests_finished_with_metric: count,
        total_metric_value: total,
    };
    let group = |(index, name): (usize, &String)| {
        let attempted = stats.replicas.iter().filter(|((group, _), _)| *group == index);
        let endpoints = attempted.map(|((_, address), counters)| UpstreamEndpointStats {
            address: Some(encode::socket_address(address)),
            total_successful_requests: counters.succeeded,
            total_error_requests: counters.failed,
            total_issued_requests: counters.attempts,
            load_metric_stats: metrics
                .iter()
                .zip(&counters.load)
                .map(|(name, total)| metric(name, counters.succeeded, *total))
                .chain([metric("answer_ms", counters.succeeded, counters.latency_sum.as_secs_f64() * 1000.0)])
                .collect(),
            ..UpstreamEndpointStats::default()
        });
        ClusterStats {
            cluster_name: name.clone(),
            upstream_locality_stats: vec![UpstreamLocalityStats {
                upstream_endpoint_stats: endpoints.collect(),
                ..UpstreamLocalityStats::default()
            }],
            total_dropped_requests: stats.rejected.get(index).copied().unwrap_or(0),
            load_report_interval: Some(wrenthread_xds::pb::google::protobuf::Duration {
                seconds: interval.as_secs() as i64,
                nanos: interval.subsec_nanos() as i32,
            }),
            ..ClusterStats::default()
        }
    };
    LoadStatsRequest { node: None, cluster_stats: groups.iter().enumerate().map(group).collect() }
}
