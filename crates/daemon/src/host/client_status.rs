//! The client status discovery service (CSDS): which xDS resources each proxy has acknowledged.

use wrenthread_core::fleet::Proxy;
use wrenthread_xds::encode;
use wrenthread_xds::pb::envoy::admin::v3::ClientResourceStatus;
use wrenthread_xds::pb::envoy::config::core::v3::{Locality, Node};
use wrenthread_xds::pb::envoy::service::status::v3::client_config::GenericXdsConfig;
use wrenthread_xds::pb::envoy::service::status::v3::{
    ClientConfig, ClientStatusRequest, ClientStatusResponse, ConfigStatus,
};
use wrenthread_xds::pb::envoy::r#type::matcher::v3::string_matcher::MatchPattern;
use wrenthread_xds::session::ResourceStatus;

use super::Host;

impl Host {
    pub(super) fn client_status(&self, request: &ClientStatusRequest) -> ClientStatusResponse {
        let wanted = exact_node_ids(request);
        let proxies = self.engine.fleet().iter().map(|(_, proxy)| proxy);
        let matching = proxies.filter(|proxy| wanted.is_empty() || wanted.contains(&&*proxy.name));
        let config = matching.filter_map(|proxy| self.client_config(request, proxy)).collect();
        ClientStatusResponse { config }
    }

    /// The configuration of one proxy; `None` if it has no ADS stream.
    fn client_config(&self, request: &ClientStatusRequest, proxy: &Proxy) -> Option<ClientConfig> {
        let session = self.streams.get(&proxy.stream)?.session.as_ref()?;
        let mut configs = Vec::new();
        for (kind, name, version, standing) in session.status(&self.wire, proxy) {
            let resource = match request.exclude_resource_contents {
                true => None,
                false => encode::resource(&self.wire, proxy, kind, &name).map(|(resource, _)| resource),
            };
            configs.push(GenericXdsConfig {
                type_url: kind.type_url(),
                name,
                version_info: format!("{:x}.{version}", self.wire.epoch),
                xds_config: resource,
                config_status: config_status(&standing) as i32,
                client_status: client_resource_status(&standing) as i32,
                ..GenericXdsConfig::default()
            });
        }
        let locality = Locality { zone: self.zone_name(proxy.zone).to_string(), ..Locality::default() };
        let node = Node { id: proxy.name.to_string(), locality: Some(locality), ..Node::default() };
        Some(ClientConfig { node: Some(node), generic_xds_configs: configs, ..ClientConfig::default() })
    }
}

/// The node ids that a request matches exactly. If there are none, because only other kinds of matchers are used, all
/// proxies are returned rather than none.
fn exact_node_ids(request: &ClientStatusRequest) -> Vec<&str> {
    let mut ids = Vec::new();
    for matcher in &request.node_matchers {
        let pattern = matcher.node_id.as_ref().and_then(|matcher| matcher.match_pattern.as_ref());
        if let Some(MatchPattern::Exact(id)) = pattern {
            ids.push(id.as_str());
        }
    }
    ids
}

fn config_status(standing: &ResourceStatus) -> ConfigStatus {
    match standing {
        ResourceStatus::Acked => ConfigStatus::Synced,
        ResourceStatus::Sent => ConfigStatus::Stale,
        ResourceStatus::Nacked => ConfigStatus::Error,
        ResourceStatus::NotSent => ConfigStatus::NotSent,
    }
}

fn client_resource_status(standing: &ResourceStatus) -> ClientResourceStatus {
    match standing {
        ResourceStatus::Acked => ClientResourceStatus::Acked,
        ResourceStatus::Sent | ResourceStatus::NotSent => ClientResourceStatus::Requested,
        ResourceStatus::Nacked => ClientResourceStatus::Nacked,
    }
}
