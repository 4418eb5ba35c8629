//! The gRPC server for proxies, by the public specifications of xDS and LRS: proxies need no wrenthread code.
//!
//! [`session::Session`] implements the protocol of one ADS stream, without I/O: subscriptions, versions, nonces
//! and unacknowledged responses. [`encode`] and [`decode`] convert between the types of the core and messages.
//! [`server`] serves them; a pause of the process ends no stream ([`stall_tolerant_timer`]). [`service`] passes messages between sockets and the task that owns the engine and the sessions.
//! [`upstream`] is a client: it follows the endpoints of another control plane as the governor's roster.

pub mod decode;
pub mod encode;
pub mod server;
pub mod service;
pub mod session;
pub mod stall_tolerant_timer;
pub mod upstream;

/// The messages of the specifications, for clients and tests.
pub use envoy_types::pb;

/// Clients of the services, by their short names.
pub mod clients {
    use crate::pb::envoy::service;
    pub use service::discovery::v3::aggregated_discovery_service_client as ads;
    pub use service::load_stats::v3::load_reporting_service_client as lrs;
    pub use service::status::v3::client_status_discovery_service_client as csds;
}

/// Key in the trailing metadata of a stream: the governor that the proxy is redirected to; empty for the next
/// one in the proxy's own ranking. Proxies without wrenthread code ignore it and reconnect on their own.
pub const REDIRECT_METADATA_KEY: &str = "wrenthread-go-to";

/// The settings that are needed to encode and decode messages.
#[derive(Debug, Clone, PartialEq)]
pub struct XdsConfig {
    /// The epoch of this governor's run, which versions and nonces contain.
    pub epoch: u64,
    /// This governor's name among those that share the fleet; empty if it is the only one.
    pub governor: String,
    /// The key that signs ownership proofs; without one none are issued.
    pub key: Option<wrenthread_core::ownership::SigningKey>,
    /// The names of the zones, by index.
    pub zones: Vec<String>,
    /// The traffic classes, by index.
    pub classes: Vec<TrafficClass>,
    /// The interval at which proxies report load.
    pub report_interval: std::time::Duration,
    /// The names of the load metrics in reports, in the order of the module's load fields.
    pub load_metrics: Vec<String>,
    /// The name of the metric with the answer time in milliseconds.
    pub latency_metric: String,
}

impl XdsConfig {
    /// A signed proof that a proxy holds this governor's tables up to a version; none without a key.
    pub fn ownership_proof(&self, proxy: &str, version: u64) -> Option<String> {
        let (governor, proxy) = (self.governor.clone(), proxy.to_string());
        let claim =
            wrenthread_core::ownership::OwnershipClaim { governor, epoch: self.epoch, version, proxy };
        self.key.as_ref().map(|key| wrenthread_core::ownership::sign(key, &claim))
    }

    /// The control plane identifier in responses: `wrenthread/GOVERNOR/EPOCH`, followed by `/` and the ownership
    /// proof if there is one.
    pub fn identifier(&self, proxy: &str, version: u64) -> String {
        let claim =
            self.ownership_proof(proxy, version).map_or_else(String::new, |claim| format!("/{claim}"));
        format!("wrenthread/{}/{:x}{claim}", self.governor, self.epoch)
    }
}

/// Parses the result of [`XdsConfig::identifier`]: the governor, its epoch, and the ownership proof if there is one.
pub fn parse_identifier(identifier: &str) -> Option<(&str, u64, Option<&str>)> {
    let mut parts = identifier.strip_prefix("wrenthread/")?.splitn(3, '/');
    let (name, epoch) = (parts.next()?, parts.next()?);
    Some((name, u64::from_str_radix(epoch, 16).ok()?, parts.next()))
}

/// A traffic class, which has its own cluster and routes to it.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficClass {
    /// The name of the class and of its cluster.
    pub name: String,
    /// Which requests belong to the class.
    pub route: Route,
    /// The timeout of a request, over all its attempts.
    pub request_timeout: std::time::Duration,
}

/// How requests are matched to a traffic class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// Paths with this prefix.
    Prefix(String),
    /// A header's name and the value that it must have.
    Header(String, String),
    /// Several paths; [`Path`] defines their precedence.
    Paths(Vec<Path>),
}

/// A path match of a traffic class. Precedence: an exact path; the longest prefix, if it is a
/// [`Path::PriorityPrefix`]; the first pattern; the longest prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Path {
    /// Paths with this prefix.
    Prefix(String),
    /// Exactly this path.
    Exact(String),
    /// A prefix with precedence over patterns.
    PriorityPrefix(String),
    /// A regular expression that matches some part of the path; whether it ignores case.
    Pattern(String, bool),
}

#[cfg(test)]
mod tests;
