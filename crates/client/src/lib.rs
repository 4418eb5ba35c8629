//! Client library for proxies: follows a governor by gRPC or long poll, caches its tables across broken streams, picks
//! replicas by weight, enforces admission fractions and retry policies, and reports load.
//!
//! [`table_cache::TableCache`] is the table cache, without I/O; [`grpc`] and [`poll`] update it and send its reports.
//! Everything runs on one thread (a tokio `LocalSet`), so there are no locks.
//!
//! ```
//! use std::time::Duration;
//! use wrenthread_client::table_cache::{DefaultEntry, Outcome, TableCache};
//!
//! let default_table = vec![DefaultEntry { replica: "r1".into(), address: "10.0.0.1:80".into(), weight: 1.0 }];
//! let mut cache = TableCache::new(vec!["match".into()], default_table, None);
//! // Two random numbers from 0 (included) to 1 (excluded), from the proxy's own generator.
//! let address = cache.pick(Duration::ZERO, 0, (0.2, 0.7), None).unwrap();
//! assert_eq!(&*address, "10.0.0.1:80");
//! cache.attempt_started(0, &address);
//! let outcome = Outcome::Succeeded { latency: Duration::from_millis(20), load: &[] };
//! cache.attempt_ended(Duration::from_millis(20), 0, &address, outcome);
//! ```
#![warn(missing_docs)]

pub mod grpc;
pub mod poll;
pub mod table_cache;

use std::collections::BTreeMap;
use std::sync::Arc;

/// The identity of a proxy.
#[derive(Debug, Clone, PartialEq)]
pub struct ProxyIdentity {
    /// Its unique name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The requests per second that it usually receives.
    pub requests_per_second: f64,
}

/// By group: the routable entries (address and weight) and the admission fraction that a response sets.
pub type UpdatedTables = BTreeMap<String, (Vec<(Arc<str>, f64)>, f64)>;

/// Observes streams and responses.
pub trait Observer {
    /// The first messages were sent on a new stream, or a session was opened.
    fn connected(&self) {}
    /// The stream or session ended.
    fn disconnected(&self) {}
    /// A response was received: its nonce or version, the number of its entries, and its tables.
    fn update_received(&self, _version: &str, _entries: usize, _tables: &UpdatedTables) {}
    /// The response was accepted, or rejected.
    fn update_answered(&self, _version: &str, _accepted: bool) {}
}

/// Observes nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoObserver;

impl Observer for NoObserver {}

/// A governor: its name and the URLs of its ports.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Governor {
    /// Its name among the governors that share the fleet; empty if it is the only one.
    pub name: String,
    /// `http://host:port` for gRPC.
    pub grpc: String,
    /// `http://host:port` for long polls.
    pub poll: String,
}

/// Whether the governor at a gRPC port answers the standard health check as serving within a second. A server that
/// does not implement the health check counts as serving.
pub async fn is_serving(uri: &str) -> bool {
    let check = async {
        let channel = grpc::connect(uri).await.ok()?;
        let request = tonic_health::pb::HealthCheckRequest::default();
        match tonic_health::pb::health_client::HealthClient::new(channel).check(request).await {
            Ok(response) => Some(response.into_inner().status == tonic_health::ServingStatus::Serving as i32),
            Err(status) => Some(status.code() == tonic::Code::Unimplemented),
        }
    };
    tokio::time::timeout(std::time::Duration::from_secs(1), check).await.ok().flatten().unwrap_or(false)
}

/// Why following a governor failed or ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A response was rejected because its tables are outdated or come from another governor.
    #[error("tables rejected by the ownership check: {0}")]
    Fenced(#[from] wrenthread_core::fencing::FencingError),
    /// A request failed: the governor's address, and the cause.
    #[error("request to the governor at {0} failed: {1}")]
    Unreachable(String, String),
    /// The governor rejected the request, for this reason.
    #[error("the governor rejected the request: {0}")]
    Rejected(String),
    /// The governor redirects the proxy to the governor with this name; none: to the next one in the proxy's own
    /// ranking.
    #[error("the governor redirects the proxy to {}", .0.as_deref().unwrap_or("the next governor of its ranking"))]
    Redirected(Option<String>),
    /// A response does not decode.
    #[error("what came can't be understood: {0}")]
    Decode(String),
    /// The stream ended.
    #[error("the stream ended")]
    StreamEnded,
}
