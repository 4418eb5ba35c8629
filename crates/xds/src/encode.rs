//! Encodes the tables and retry policies that a proxy should hold as xDS resources.
//!
//! Entries that are not routable are omitted. They could be sent as DRAINING instead, but proxies that pick a
//! locality first scale its weight by its fraction of healthy hosts, and would get other shares than proxies
//! that pick among all entries.

use std::collections::BTreeMap;

use prost::{Message, Name};
use wrenthread::types::RetryPolicy;
use wrenthread_core::fleet::Proxy;
use wrenthread_core::tables::Table;
use wrenthread_core::weights;

use crate::pb::envoy::config::cluster::v3::Cluster;
use crate::pb::envoy::config::cluster::v3::cluster::common_lb_config::{
    LocalityConfigSpecifier, LocalityWeightedLbConfig,
};
use crate::pb::envoy::config::cluster::v3::cluster::{
    ClusterDiscoveryType, CommonLbConfig, DiscoveryType, EdsClusterConfig, LbPolicy,
};
use crate::pb::envoy::config::core::v3::{
    Address, AggregatedConfigSource, ApiVersion, ConfigSource, HealthStatus, Locality, SelfConfigSource,
    SocketAddress, address, config_source::ConfigSourceSpecifier, socket_address::PortSpecifier,
};
use crate::pb::envoy::config::endpoint::v3::cluster_load_assignment::{Policy, policy::DropOverload};
use crate::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use crate::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, Endpoint, LbEndpoint, LocalityLbEndpoints,
};
use crate::pb::envoy::config::listener::v3::{ApiListener, Listener};
use crate::pb::envoy::config::route::v3::header_matcher::HeaderMatchSpecifier;
use crate::pb::envoy::config::route::v3::route_match::PathSpecifier;
use crate::pb::envoy::config::route::v3::{
    HeaderMatcher, RetryPolicy as WireRetryPolicy, Route as WireRoute, RouteAction, RouteConfiguration,
    RouteMatch, VirtualHost, route, route_action,
};
use crate::pb::envoy::extensions::filters::http::router::v3::Router;
use crate::pb::envoy::extensions::filters::network::http_connection_manager::v3::{
    HttpConnectionManager, HttpFilter, Rds, http_connection_manager::RouteSpecifier, http_filter,
};
use crate::pb::envoy::r#type::matcher::v3::{RegexMatcher, StringMatcher, string_matcher::MatchPattern};
use crate::pb::envoy::r#type::v3::{FractionalPercent, Percent, fractional_percent::DenominatorType};
use crate::pb::google::protobuf::{Any, Duration, UInt32Value};
use crate::{Path, Route, TrafficClass, XdsConfig};

/// Name of the one listener, which all proxies get.
pub const LISTENER_NAME: &str = "wrenthread";
/// Name of the one route configuration, which all proxies get.
pub const ROUTE_CONFIG_NAME: &str = "wrenthread-routes";
/// Drop category under which proxies report the requests that the admission fraction rejected.
pub const OVERLOAD_CATEGORY: &str = "level";
const MILLION: f64 = 1_000_000.0;

/// The resource types, ordered so that a resource is sent before those that refer to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResourceType {
    /// CDS: one cluster per traffic class.
    Clusters,
    /// EDS: the endpoints of a cluster, from the table of its class.
    Endpoints,
    /// LDS: the one listener.
    Listeners,
    /// RDS: the one route configuration.
    Routes,
}

impl ResourceType {
    /// All types, in the order in which they are sent.
    pub const ALL: [ResourceType; 4] =
        [ResourceType::Clusters, ResourceType::Endpoints, ResourceType::Listeners, ResourceType::Routes];

    /// The type URL.
    pub fn type_url(self) -> String {
        match self {
            ResourceType::Clusters => Cluster::type_url(),
            ResourceType::Endpoints => ClusterLoadAssignment::type_url(),
            ResourceType::Listeners => Listener::type_url(),
            ResourceType::Routes => RouteConfiguration::type_url(),
        }
    }

    /// The type with this URL; none if it is not supported.
    pub fn from_type_url(type_url: &str) -> Option<ResourceType> {
        ResourceType::ALL.into_iter().find(|kind| kind.type_url() == type_url)
    }

    /// Whether state-of-the-world responses of this type must contain all resources, and an initial subscription
    /// without names is a wildcard.
    pub fn requires_full_state(self) -> bool {
        matches!(self, ResourceType::Clusters | ResourceType::Listeners)
    }
}

/// The resources of one type that exist for a proxy: the version of the last change, by name.
pub fn resource_versions(wire: &XdsConfig, proxy: &Proxy, kind: ResourceType) -> BTreeMap<String, u64> {
    let groups = wire.classes.iter().zip(&proxy.tables);
    match kind {
        ResourceType::Clusters => groups.map(|(group, _)| (group.name.clone(), 1)).collect(),
        ResourceType::Endpoints => {
            groups.filter_map(|(group, table)| Some((group.name.clone(), table.as_ref()?.version))).collect()
        }
        ResourceType::Listeners => BTreeMap::from([(LISTENER_NAME.to_string(), 1)]),
        ResourceType::Routes => BTreeMap::from([(ROUTE_CONFIG_NAME.to_string(), proxy.retry_policies.0)]),
    }
}

/// Encodes a resource; also returns its number of entries. None if no resource has this name.
pub fn resource(wire: &XdsConfig, proxy: &Proxy, kind: ResourceType, name: &str) -> Option<(Any, usize)> {
    let class_index = || wire.classes.iter().position(|group| group.name == name);
    Some(match kind {
        ResourceType::Clusters => (to_any(&cluster(&wire.classes[class_index()?])), 1),
        ResourceType::Endpoints => {
            let table = &proxy.tables.get(class_index()?)?.as_ref()?.table;
            (to_any(&assignment(wire, name, table)), table.entries.len().max(1))
        }
        ResourceType::Listeners if name == LISTENER_NAME => (to_any(&listener()), 1),
        ResourceType::Routes if name == ROUTE_CONFIG_NAME => {
            (to_any(&route_configuration(wire, &proxy.retry_policies.1)), wire.classes.len())
        }
        ResourceType::Listeners | ResourceType::Routes => return None,
    })
}

/// A digest of a resource's content, independent of the governor and the version that it was sent with.
pub fn digest(resource: &Any) -> String {
    blake3::hash(&resource.value).to_hex()[..16].to_string()
}

fn to_any<M: Message + Name>(message: &M) -> Any {
    Any { type_url: M::type_url(), value: message.encode_to_vec() }
}

fn proto_duration(duration: std::time::Duration) -> Duration {
    Duration {
        seconds: duration.as_secs().min(i64::MAX as u64) as i64,
        nanos: duration.subsec_nanos() as i32,
    }
}

fn ads_source() -> ConfigSource {
    ConfigSource {
        resource_api_version: ApiVersion::V3 as i32,
        config_source_specifier: Some(ConfigSourceSpecifier::Ads(AggregatedConfigSource {})),
        ..ConfigSource::default()
    }
}

fn cluster(group: &TrafficClass) -> Cluster {
    Cluster {
        name: group.name.clone(),
        cluster_discovery_type: Some(ClusterDiscoveryType::Type(DiscoveryType::Eds as i32)),
        eds_cluster_config: Some(EdsClusterConfig {
            eds_config: Some(ads_source()),
            service_name: String::new(),
        }),
        lb_policy: LbPolicy::RoundRobin as i32,
        common_lb_config: Some(CommonLbConfig {
            // Disables panic mode: a proxy must not fall back on unhealthy hosts because few are healthy.
            healthy_panic_threshold: Some(Percent { value: 0.0 }),
            locality_config_specifier: Some(LocalityConfigSpecifier::LocalityWeightedLbConfig(
                LocalityWeightedLbConfig {},
            )),
            ..CommonLbConfig::default()
        }),
        lrs_server: Some(ConfigSource {
            resource_api_version: ApiVersion::V3 as i32,
            config_source_specifier: Some(ConfigSourceSpecifier::Self_(SelfConfigSource::default())),
            ..ConfigSource::default()
        }),
        ..Cluster::default()
    }
}

/// Encodes `host:port` as a socket address. Other text becomes the host, with port 0.
pub fn socket_address(host_port: &str) -> Address {
    let (host, port) = host_port
        .rsplit_once(':')
        .and_then(|(host, port)| Some((host, port.parse::<u16>().ok()?)))
        .unwrap_or((host_port, 0));
    let host = host.strip_prefix('[').and_then(|host| host.strip_suffix(']')).unwrap_or(host);
    Address {
        address: Some(address::Address::SocketAddress(SocketAddress {
            address: host.to_string(),
            port_specifier: Some(PortSpecifier::PortValue(u32::from(port))),
            ..SocketAddress::default()
        })),
    }
}

/// Encodes a table: its routable entries by zone. The weight of a zone is the sum of its entries' weights.
pub fn assignment(wire: &XdsConfig, name: &str, table: &Table) -> ClusterLoadAssignment {
    let routable: Vec<_> = table.entries.iter().filter(|entry| entry.routable).collect();
    let weights = weights::to_integers(&routable.iter().map(|entry| entry.weight).collect::<Vec<_>>());
    let mut zones: BTreeMap<usize, (u32, Vec<LbEndpoint>)> = BTreeMap::new();
    for (entry, weight) in routable.into_iter().zip(weights) {
        let (sum, endpoints) = zones.entry(entry.zone).or_default();
        *sum += weight;
        endpoints.push(LbEndpoint {
            health_status: HealthStatus::Healthy as i32,
            load_balancing_weight: Some(UInt32Value { value: weight }),
            host_identifier: Some(HostIdentifier::Endpoint(Endpoint {
                address: Some(socket_address(&entry.address)),
                ..Endpoint::default()
            })),
            ..LbEndpoint::default()
        });
    }
    let endpoints = zones.into_iter().map(|(zone, (sum, lb_endpoints))| LocalityLbEndpoints {
        locality: Some(Locality {
            zone: wire.zones.get(zone).cloned().unwrap_or_default(),
            ..Locality::default()
        }),
        lb_endpoints,
        load_balancing_weight: Some(UInt32Value { value: sum }),
        ..LocalityLbEndpoints::default()
    });
    let rejected = ((1.0 - table.admission_fraction.clamp(0.0, 1.0)) * MILLION).round() as u32;
    let overload = DropOverload {
        category: OVERLOAD_CATEGORY.to_string(),
        drop_percentage: Some(FractionalPercent {
            numerator: rejected,
            denominator: DenominatorType::Million as i32,
        }),
    };
    ClusterLoadAssignment {
        cluster_name: name.to_string(),
        endpoints: endpoints.collect(),
        policy: (rejected > 0).then(|| Policy { drop_overloads: vec![overload], ..Policy::default() }),
        ..ClusterLoadAssignment::default()
    }
}

fn listener() -> Listener {
    let manager = HttpConnectionManager {
        stat_prefix: LISTENER_NAME.to_string(),
        route_specifier: Some(RouteSpecifier::Rds(Rds {
            config_source: Some(ads_source()),
            route_config_name: ROUTE_CONFIG_NAME.to_string(),
        })),
        http_filters: vec![HttpFilter {
            name: "envoy.filters.http.router".to_string(),
            config_type: Some(http_filter::ConfigType::TypedConfig(to_any(&Router::default()))),
            ..HttpFilter::default()
        }],
        ..HttpConnectionManager::default()
    };
    Listener {
        name: LISTENER_NAME.to_string(),
        api_listener: Some(ApiListener { api_listener: Some(to_any(&manager)) }),
        ..Listener::default()
    }
}

/// Encodes a retry policy for a route; none if retries are not allowed.
fn route_retry_policy(policy: RetryPolicy) -> Option<WireRetryPolicy> {
    let retry_on = match policy {
        RetryPolicy::Never => return None,
        // Both conditions prove that the first attempt was not executed.
        RetryPolicy::IfNotExecuted => "connect-failure,refused-stream",
        RetryPolicy::OnAnyFailure => "5xx,reset,connect-failure,refused-stream",
    };
    Some(WireRetryPolicy {
        retry_on: retry_on.to_string(),
        num_retries: Some(UInt32Value { value: 1 }),
        host_selection_retry_max_attempts: 3,
        ..WireRetryPolicy::default()
    })
}

/// The index of a traffic class, with the path and header that requests to it match.
type OrderedRoute<'a> = (usize, PathSpecifier, Option<(&'a str, &'a str)>);

/// Orders routes as proxies evaluate them: the first match wins.
///
/// If every class has a single prefix or header, routes keep the order of the settings. If any class has several
/// paths, headers come first, then paths by the precedence that [`Path`] defines. A longer plain prefix under a
/// priority prefix also precedes patterns: an ordered list can't express that it applies only to requests that match no
/// pattern.
fn ordered_routes(groups: &[TrafficClass]) -> Vec<OrderedRoute<'_>> {
    let any_path = || PathSpecifier::Prefix("/".to_string());
    let has_lists = groups.iter().any(|group| matches!(group.route, Route::Paths(_)));
    let mut paths: Vec<(usize, Path)> = Vec::new();
    let mut routes = Vec::new();
    for (class_index, group) in groups.iter().enumerate() {
        match &group.route {
            Route::Header(name, value) => {
                routes.push((class_index, any_path(), Some((name.as_str(), value.as_str()))));
            }
            Route::Prefix(prefix) if has_lists => paths.push((class_index, Path::Prefix(prefix.clone()))),
            Route::Prefix(prefix) => routes.push((class_index, PathSpecifier::Prefix(prefix.clone()), None)),
            Route::Paths(several) => paths.extend(several.iter().map(|path| (class_index, path.clone()))),
        }
    }
    let priority_prefixes: Vec<String> = paths
        .iter()
        .filter_map(
            |(_, path)| if let Path::PriorityPrefix(prefix) = path { Some(prefix.clone()) } else { None },
        )
        .collect();
    let under_priority_prefix =
        |prefix: &String| priority_prefixes.iter().any(|priority| prefix.starts_with(priority));
    let rank = |(_, path): &(usize, Path)| match path {
        Path::Exact(_) => (0, 0),
        Path::PriorityPrefix(prefix) => (1, usize::MAX - prefix.len()),
        Path::Prefix(prefix) if under_priority_prefix(prefix) => (1, usize::MAX - prefix.len()),
        Path::Pattern(..) => (2, 0),
        Path::Prefix(prefix) => (3, usize::MAX - prefix.len()),
    };
    // The sort is stable: patterns keep the order of the settings.
    paths.sort_by_key(rank);
    routes.extend(paths.into_iter().map(|(class_index, path)| {
        let path = match path {
            Path::Exact(path) => PathSpecifier::Path(path),
            Path::PriorityPrefix(prefix) | Path::Prefix(prefix) => PathSpecifier::Prefix(prefix),
            Path::Pattern(pattern, ignore_case) => {
                // xDS patterns have to match the whole path.
                let case_flag = if ignore_case { "i" } else { "" };
                let regex = format!("(?s{case_flag}).*(?:{pattern}).*");
                PathSpecifier::SafeRegex(RegexMatcher { regex, ..RegexMatcher::default() })
            }
        };
        (class_index, path, None)
    }));
    routes
}

fn route_configuration(wire: &XdsConfig, retry_policies: &[RetryPolicy]) -> RouteConfiguration {
    let routes = ordered_routes(&wire.classes).into_iter().filter_map(|(class_index, path, header)| {
        let (group, retry_policy) = (&wire.classes[class_index], retry_policies.get(class_index)?);
        let header = header.map(|(name, value)| {
            let exact = StringMatcher {
                match_pattern: Some(MatchPattern::Exact(value.to_string())),
                ..StringMatcher::default()
            };
            HeaderMatcher {
                name: name.to_string(),
                header_match_specifier: Some(HeaderMatchSpecifier::StringMatch(exact)),
                ..HeaderMatcher::default()
            }
        });
        Some(WireRoute {
            name: group.name.clone(),
            r#match: Some(RouteMatch {
                headers: header.into_iter().collect(),
                path_specifier: Some(path),
                ..RouteMatch::default()
            }),
            action: Some(route::Action::Route(RouteAction {
                cluster_specifier: Some(route_action::ClusterSpecifier::Cluster(group.name.clone())),
                timeout: Some(proto_duration(group.request_timeout)),
                retry_policy: route_retry_policy(*retry_policy),
                ..RouteAction::default()
            })),
            ..WireRoute::default()
        })
    });
    RouteConfiguration {
        name: ROUTE_CONFIG_NAME.to_string(),
        virtual_hosts: vec![VirtualHost {
            name: "all".to_string(),
            domains: vec!["*".to_string()],
            routes: routes.collect(),
            ..VirtualHost::default()
        }],
        ..RouteConfiguration::default()
    }
}

#[cfg(test)]
mod tests;
