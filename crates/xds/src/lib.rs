//! The gRPC front, by the public specifications of xDS and LRS: nothing of ours is needed on a proxy's side.
//!
//! [`session::Session`] is what the protocol is about, for one stream, without I/O: subscriptions, versions,
//! nonces, what was sent and is not acknowledged. [`encode`] and [`decode`] turn the core's words into
//! messages and back. [`service`] carries messages between sockets and the one task that owns engine and
//! sessions; [`upstream`] is the other way round, the governor as a client that follows another's endpoints
//! as its roster.

pub mod decode;
pub mod encode;
pub mod service;
pub mod session;
pub mod upstream;

/// The messages of the specifications, for those who stand on the other side of a socket.
pub use envoy_types::pb;

/// The services' clients, by the services' short names.
pub mod clients {
    use crate::pb::envoy::service;
    pub use service::discovery::v3::aggregated_discovery_service_client as ads;
    pub use service::load_stats::v3::load_reporting_service_client as lrs;
    pub use service::status::v3::client_status_discovery_service_client as csds;
}

/// In the metadata of a stream's end: the governor that the proxy is to go to, empty for whoever is next in
/// its own order. Proxies of the public kind don't read it, and come back by their own.
pub const GO_TO: &str = "wrenthread-go-to";

/// What the front needs to know of the settings to name things on the wire.
#[derive(Debug, Clone, PartialEq)]
pub struct Wire {
    /// This governor's life; versions and nonces carry it.
    pub epoch: u64,
    /// This governor's name among those that share the fleet; empty where it is alone.
    pub governor: String,
    /// What it signs claims with; none are given without it.
    pub key: Option<wrenthread_core::ownership::SigningKey>,
    /// The zones' names, in the order of their numbers.
    pub zones: Vec<String>,
    /// The traffic classes, in the order of their numbers.
    pub groups: Vec<WireGroup>,
    /// How often proxies are to report.
    pub report_every: std::time::Duration,
    /// The names of load metrics in reports, in the order of the module's load fields.
    pub load_metrics: Vec<String>,
    /// The metric that holds an answer's time in milliseconds.
    pub answer_metric: String,
}

impl Wire {
    /// The signed word that a proxy holds this governor's orders up to a version.
    pub fn claim(&self, proxy: &str, version: u64) -> Option<String> {
        let (governor, proxy) = (self.governor.clone(), proxy.to_string());
        let claim =
            wrenthread_core::ownership::OwnershipClaim { governor, epoch: self.epoch, version, proxy };
        self.key.as_ref().map(|key| wrenthread_core::ownership::sign(key, &claim))
    }

    /// Who says so, in each response: `wrenthread/GOVERNOR/EPOCH`, and the claim behind it if there is one.
    pub fn identifier(&self, proxy: &str, version: u64) -> String {
        let claim = self.claim(proxy, version).map_or_else(String::new, |claim| format!("/{claim}"));
        format!("wrenthread/{}/{:x}{claim}", self.governor, self.epoch)
    }
}

/// What [`Wire::identifier`] says: the governor, its epoch, and the claim if there is one.
pub fn parse_identifier(identifier: &str) -> Option<(&str, u64, Option<&str>)> {
    let mut parts = identifier.strip_prefix("wrenthread/")?.splitn(3, '/');
    let (name, epoch) = (parts.next()?, parts.next()?);
    Some((name, u64::from_str_radix(epoch, 16).ok()?, parts.next()))
}

/// A traffic group: a cluster of its own and a route to it.
#[derive(Debug, Clone, PartialEq)]
pub struct WireGroup {
    /// The class's name, which is its cluster's, too.
    pub name: String,
    /// What leads requests to it.
    pub route: Route,
    /// How long a request may take in all.
    pub expiry: std::time::Duration,
}

/// What tells a group's flows from others'.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// Paths that begin with this.
    Prefix(String),
    /// Requests whose header (the first) has this value (the second).
    Header(String, String),
    /// Several paths; which goes before which is [`Path`]'s.
    Paths(Vec<Path>),
}

/// A path that leads to a group. First come exact ones; then the longest prefix if it is a firm one; then the
/// first pattern; then the longest prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Path {
    /// Paths that begin with this.
    Prefix(String),
    /// This path and no other.
    Exact(String),
    /// A prefix that goes before patterns.
    Firm(String),
    /// A regular expression that some part of the path fits; whether upper and lower case are alike.
    Pattern(String, bool),
}

#[cfg(test)]
mod tests;
