//! Runs a governor on simulated time, and records everything that it sends.
#![allow(dead_code, reason = "each test file uses a part of this module")]

pub mod channel;
pub mod holdings;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde_json::{Value, json};
use wrenthread::types::{HeldTables, ProxyConnection, ProxyId};
use wrenthread_deployment_config::{DeploymentConfig, FieldError, Fields, read};
use wrenthread_platform_governor::{Action, ConnectionId, PlatformGovernor, WatcherId};
use wrenthread_platform_protocol::decode::Message;

/// The initial time, later than any age that is subtracted from it.
pub const START: Duration = Duration::from_secs(86_400);
/// The step by which time advances.
pub const STEP: Duration = Duration::from_millis(25);
/// The zone that all proxies and replicas are in.
pub const ZONE: &str = "a";

/// A message to a proxy, with its parts decoded.
pub struct SentMessage {
    pub at: Duration,
    pub proxy: ProxyId,
    pub parts: Vec<Value>,
}

impl SentMessage {
    /// Whether the message removes a replica from the proxy's tables, or ejects it.
    pub fn removes(&self, replica: &str) -> bool {
        let is_removed = |part: &Value| {
            let lines = part["lines"].as_array().into_iter().flatten();
            let ejected = part["out"].as_array().into_iter().flatten();
            lines.clone().any(|line| line[0] == replica && line[1] == 0.0)
                || ejected.clone().any(|name| name == replica)
        };
        self.parts.iter().any(is_removed)
    }

    /// The nonce that the message asks to be acknowledged.
    pub fn nonce(&self) -> Option<u16> {
        self.parts.last().and_then(|part| part["ticket"].as_u64()).map(|nonce| nonce as u16)
    }

    /// The replicas to which the message assigns a weight above 0.
    pub fn weighted_replicas(&self) -> BTreeSet<String> {
        let lines = self.parts.iter().flat_map(|part| part["lines"].as_array().into_iter().flatten());
        let weighted = lines.filter(|line| line[1].as_f64().is_some_and(|weight| weight > 0.0));
        weighted.filter_map(|line| Some(line[0].as_str()?.to_string())).collect()
    }
}

pub struct DrivenGovernor {
    pub governor: PlatformGovernor,
    pub now: Duration,
    pub sent: Vec<SentMessage>,
    /// Whether everything sent is acknowledged at once.
    pub acknowledges: bool,
    proxies: BTreeMap<ConnectionId, ProxyId>,
    connections: u64,
    list_version: u64,
}

pub fn read_config(settings: &Value) -> Result<DeploymentConfig, FieldError> {
    read(&Fields::new(settings.as_object().expect("an object")))
}

/// A row of discovery's list.
pub fn replica(name: &str, status: &str) -> Value {
    replica_of_zone(name, status, ZONE, None)
}

/// A row of discovery's list, of a replica that may have started lately.
pub fn replica_of_zone(name: &str, status: &str, zone: &str, started_at: Option<Duration>) -> Value {
    let since_ms = started_at.map_or(0, |at| at.as_millis() as u64);
    json!({"name": name, "zone": zone, "status": status, "weight": 1.0, "since_ms": since_ms})
}

impl DrivenGovernor {
    pub fn new(config: &DeploymentConfig) -> Self {
        DrivenGovernor {
            governor: PlatformGovernor::new(config, START),
            now: START,
            sent: Vec::new(),
            acknowledges: true,
            proxies: BTreeMap::new(),
            connections: 0,
            list_version: 0,
        }
    }

    /// Sends a complete list, or changes to it, from discovery.
    pub fn send_list(&mut self, is_snapshot: bool, rows: &[Value]) {
        self.list_version += 1;
        let event = json!({"index": self.list_version, "snapshot": is_snapshot, "endpoints": rows});
        self.governor.watch_event(self.now, WatcherId(1), event.to_string().as_bytes(), |seconds| {
            Some(Duration::from_secs_f64(seconds))
        });
    }

    pub fn connect(&mut self, proxy: ProxyId, requests_per_second: f64, holds_default_table: bool) {
        self.connect_in_zone(proxy, 0, requests_per_second, holds_default_table);
    }

    pub fn connect_in_zone(
        &mut self,
        proxy: ProxyId,
        zone: usize,
        requests_per_second: f64,
        holds_default_table: bool,
    ) {
        self.connections += 1;
        let connection = ConnectionId(self.connections);
        self.proxies.insert(connection, proxy);
        let held_tables =
            if holds_default_table { HeldTables::UncheckedDefault } else { HeldTables::Unknown };
        let connected = ProxyConnection { proxy, zone, requests_per_second, held_tables };
        self.governor.proxy_connected(self.now, connection, connected);
    }

    pub fn disconnect(&mut self, proxy: ProxyId) {
        if let Some(connection) = self.governor.connection_of(proxy) {
            self.governor.connection_ended(connection, proxy);
        }
    }

    /// Advances time by `span`; everything sent is acknowledged at once.
    pub fn advance_by(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.advance();
        }
    }

    pub fn advance(&mut self) {
        let now = self.now;
        self.governor.advance(now, |_| now);
        while let Some(action) = self.governor.next_action() {
            let Action::Send { connection, bytes } = action else { continue };
            let lines = bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
            let parts: Vec<Value> =
                lines.map(|line| serde_json::from_slice(line).expect("a part is JSON")).collect();
            let proxy = self.proxies[&connection];
            let message = SentMessage { at: now, proxy, parts };
            if let Some(nonce) = message.nonce().filter(|_| self.acknowledges) {
                self.acknowledge(proxy, nonce, Duration::ZERO);
            }
            self.sent.push(message);
        }
    }

    /// Acknowledges a nonce on the proxy's newest stream.
    pub fn acknowledge(&mut self, proxy: ProxyId, nonce: u16, latency: Duration) {
        if let Some(connection) = self.governor.connection_of(proxy) {
            let acknowledged = Message::Acknowledged { proxy, nonce, latency };
            self.governor.proxy_message(self.now, connection, proxy, acknowledged);
        }
    }
}
