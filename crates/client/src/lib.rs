//! For proxies in Rust: follow a governor by gRPC or long poll, cache its tables while streams break, pick replicas by
//! weight, enforce admission fractions and retry policies, and report load.
//!
//! [`table_cache::TableCache`] is the table cache, without I/O; [`grpc`] and [`poll`] keep it up to date and report for it. All of
//! it lives on one thread (a tokio `LocalSet`), so nothing is locked.
//!
//! ```
//! use std::time::Duration;
//! use wrenthread_client::table_cache::{DefaultEntry, Outcome, TableCache};
//!
//! let default_table = vec![DefaultEntry { replica: "r1".into(), address: "10.0.0.1:80".into(), weight: 1.0 }];
//! let mut cache = TableCache::new(vec!["match".into()], default_table, None);
//! // Two numbers from 0 up to 1, from the proxy's own source of chance.
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

/// Who a proxy is.
#[derive(Debug, Clone, PartialEq)]
pub struct ProxyIdentity {
    /// Its name; no other proxy has it.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Requests per second that it ordinarily receives.
    pub requests_per_second: f64,
}

/// By group: the routable entries (address and weight) and the admission fraction that a response sets.
pub type UpdatedTables = BTreeMap<String, (Vec<(Arc<str>, f64)>, f64)>;

/// Observes streams and responses.
pub trait Observer {
    /// A first message went out on a new stream, or a session was opened.
    fn connected(&self) {}
    /// The stream or session is over.
    fn disconnected(&self) {}
    /// A response came: its nonce or version, the number of its entries, and its tables.
    fn update_received(&self, _version: &str, _entries: usize, _tables: &UpdatedTables) {}
    /// The response was accepted, or rejected.
    fn update_answered(&self, _version: &str, _accepted: bool) {}
}

/// Observes nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoObserver;

impl Observer for NoObserver {}

/// A governor, by its name among those that share the fleet (empty where it is alone), and its ports.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Governor {
    /// Its name.
    pub name: String,
    /// `http://host:port` for gRPC.
    pub grpc: String,
    /// `http://host:port` for long polls.
    pub poll: String,
}

/// Whether a governor at a gRPC port serves proxies, by the public health protocol, within a second. One that answers
/// but does not implement that protocol does.
pub async fn answers(uri: &str) -> bool {
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

/// Why a governor can't be followed, or no longer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Its tables belong to another governor, or are outdated.
    #[error("an order is not heeded: {0}")]
    Fenced(#[from] wrenthread_core::fencing::FencingError),
    /// It can't be reached: its address, and the cause.
    #[error("the governor at {0}: {1}")]
    Unreachable(String, String),
    /// It rejected the proxy, for this reason.
    #[error("the governor turned the proxy away: {0}")]
    Rejected(String),
    /// It redirects the proxy to a governor of this name; none: to the next in the proxy's own ranking.
    #[error("the governor sends the proxy on to {}", .0.as_deref().unwrap_or("whoever is next"))]
    Moved(Option<String>),
    /// A response does not decode.
    #[error("what came can't be understood: {0}")]
    Decode(String),
    /// The stream ended.
    #[error("the stream ended")]
    Ended,
}
