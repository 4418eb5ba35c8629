//! Decodes the messages of proxies and collectors.
//!
//! Every field is validated. An invalid message is discarded as a whole; those before and after it are used.

mod fields;
#[cfg(test)]
mod tests;
mod wire;

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use thiserror::Error;
use wrenthread::types::{
    DemandStatistics, HeldTables, ProxyConnection, ProxyId, ReplicaId, ReplicaStatistics,
};
use wrenthread_deployment_config::DeploymentConfig;

use fields::{MAX_INTERVAL_MILLIS, MAX_REQUESTS_PER_SECOND, MessageFields, max_count};

/// The largest valid mean latency, in multiples of the longest request deadline: a client waits no longer than the
/// deadline, but measurement noise is added.
const MAX_LATENCY_DEADLINES: f64 = 2.0;
/// The largest valid value in a load report.
const MAX_LOAD: f64 = 1e9;

/// A decoded message.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A request for a reply.
    Ping,
    /// Identifies the connection as a collector's.
    Collector {
        /// The zone for which it collects reports.
        zone: usize,
    },
    /// Identifies the connection as a proxy's stream.
    ProxyConnected(ProxyConnection),
    /// Statistics about a replica from the proxies of a zone.
    ReplicaStatistics(ReplicaStatistics),
    /// All requests of a zone's proxies to a replica failed whose name is not known.
    UnlistedReplicaFailed {
        /// The proxies' zone.
        zone: usize,
    },
    /// Statistics about the requests of a class that a proxy received.
    DemandStatistics(DemandStatistics),
    /// A proxy has applied all messages up to a nonce.
    Acknowledged {
        /// The proxy.
        proxy: ProxyId,
        /// The nonce of the acknowledgement request.
        nonce: u16,
        /// The latency that the proxy reports.
        latency: Duration,
    },
}

/// Why a message is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The message is not a JSON object, for the given reason. Later bytes on the connection can't be relied on either.
    #[error("not a message: {0}")]
    Unreadable(String),
    /// The field by this name is invalid.
    #[error("`{0}` is missing, of another type or out of range")]
    InvalidField(&'static str),
    /// The field by this name has a value that is not known.
    #[error("`{0}` has an unknown value")]
    UnknownName(&'static str),
}

/// Decodes messages, using the names in the deployment's configuration.
pub struct Decoder {
    zones: BTreeMap<String, usize>,
    classes: BTreeMap<String, usize>,
    load_field_names: Vec<String>,
    proxy_count: u64,
    max_latency_millis: f64,
}

impl Decoder {
    /// Creates a decoder for one deployment.
    pub fn new(config: &DeploymentConfig) -> Self {
        let deadlines = config.settings.classes.iter().map(|class| class.request_deadline);
        let longest_deadline = deadlines.max().unwrap_or(Duration::MAX);
        Decoder {
            zones: index_by_name(&config.zone_names),
            classes: index_by_name(&config.class_names),
            load_field_names: config.load_field_names.clone(),
            proxy_count: config.settings.proxy_count,
            max_latency_millis: 1000.0 * MAX_LATENCY_DEADLINES * longest_deadline.as_secs_f64(),
        }
    }

    /// Decodes one frame. `find_replica` returns the ID of the replica with this name, if it is known.
    ///
    /// # Errors
    ///
    /// The frame is not a message, or one of its fields is invalid.
    pub fn decode(
        &self,
        frame: &[u8],
        find_replica: impl Fn(&str) -> Option<ReplicaId>,
    ) -> Result<Message, DecodeError> {
        let message = match serde_json::from_slice(frame) {
            Ok(Value::Object(message)) => message,
            Ok(_) => return Err(DecodeError::Unreadable("not an object".into())),
            Err(error) => return Err(DecodeError::Unreadable(error.to_string())),
        };
        let fields = MessageFields::new(&message);
        match fields.text(wire::TYPE)? {
            wire::PING => Ok(Message::Ping),
            wire::SOURCE => Ok(Message::Collector { zone: self.zone(&fields)? }),
            wire::SUBSCRIBE => self.proxy_connection(&fields).map(Message::ProxyConnected),
            wire::ACK => self.acknowledgement(&fields),
            wire::LOAD => self.replica_statistics(&fields, find_replica),
            wire::RATE => self.demand_statistics(&fields).map(Message::DemandStatistics),
            _ => Err(DecodeError::UnknownName(wire::TYPE)),
        }
    }

    fn proxy_connection(&self, fields: &MessageFields) -> Result<ProxyConnection, DecodeError> {
        Ok(ProxyConnection {
            proxy: self.proxy(fields)?,
            zone: self.zone(fields)?,
            requests_per_second: fields.number(wire::REQUESTS_PER_SECOND, MAX_REQUESTS_PER_SECOND)?,
            held_tables: held_tables(fields.flag(wire::HOLDS_DEFAULT_TABLE)?),
        })
    }

    fn acknowledgement(&self, fields: &MessageFields) -> Result<Message, DecodeError> {
        Ok(Message::Acknowledged {
            proxy: self.proxy(fields)?,
            nonce: fields.count(wire::NONCE, f64::from(u16::MAX))? as u16,
            latency: fields.millis(wire::LATENCY_MILLIS, MAX_INTERVAL_MILLIS)?,
        })
    }

    fn replica_statistics(
        &self,
        fields: &MessageFields,
        find_replica: impl Fn(&str) -> Option<ReplicaId>,
    ) -> Result<Message, DecodeError> {
        let interval = fields.interval()?;
        let attempts = fields.count(wire::TOTAL, max_count(interval))?;
        let failed = fields.count(wire::FAILED, attempts as f64)?;
        let mean_latency = self.mean_latency(fields, attempts > failed)?;
        let zone = self.zone(fields)?;
        let replica = find_replica(fields.text(wire::REPLICA)?);
        let load = self.load(fields)?;
        match replica {
            Some(replica) => Ok(Message::ReplicaStatistics(ReplicaStatistics {
                zone,
                replica,
                attempts,
                failed,
                mean_latency,
                interval,
                load,
            })),
            // A name that was garbled on the way is that of a replica that serves requests.
            None if attempts > 0 && failed == attempts => Ok(Message::UnlistedReplicaFailed { zone }),
            None => Err(DecodeError::UnknownName(wire::REPLICA)),
        }
    }

    /// The mean latency of the successful attempts, which is required if there were any.
    fn mean_latency(
        &self,
        fields: &MessageFields,
        any_succeeded: bool,
    ) -> Result<Option<Duration>, DecodeError> {
        if !any_succeeded && fields.get(wire::MEAN_LATENCY_MILLIS).is_none() {
            return Ok(None);
        }
        let mean = fields.millis(wire::MEAN_LATENCY_MILLIS, self.max_latency_millis)?;
        Ok(if any_succeeded && !mean.is_zero() { Some(mean) } else { None })
    }

    fn demand_statistics(&self, fields: &MessageFields) -> Result<DemandStatistics, DecodeError> {
        let interval = fields.interval()?;
        let requests = fields.count(wire::TOTAL, max_count(interval))?;
        // Requests received in an earlier interval may fail in this one, so `failed` may exceed `requests`.
        let failed = fields.count(wire::FAILED, max_count(interval))?;
        let class = self.classes.get(fields.text(wire::CLASS)?).copied();
        let class = class.ok_or(DecodeError::UnknownName(wire::CLASS))?;
        let proxy = self.proxy(fields)?;
        Ok(DemandStatistics { proxy, class, requests, failed, interval })
    }

    fn zone(&self, fields: &MessageFields) -> Result<usize, DecodeError> {
        let zone = self.zones.get(fields.text(wire::ZONE)?);
        zone.copied().ok_or(DecodeError::UnknownName(wire::ZONE))
    }

    fn proxy(&self, fields: &MessageFields) -> Result<ProxyId, DecodeError> {
        let proxy = fields.count(wire::PROXY, f64::from(ProxyId::MAX))?;
        if proxy < self.proxy_count {
            Ok(proxy as ProxyId)
        } else {
            Err(DecodeError::UnknownName(wire::PROXY))
        }
    }

    /// The load report's values in the settings' order, up to the first absent one. An absent value must not be read as
    /// 0, and skipping it would shift the later values to wrong positions.
    fn load(&self, fields: &MessageFields) -> Result<Vec<f64>, DecodeError> {
        const INVALID: DecodeError = DecodeError::InvalidField(wire::LOAD_REPORT);
        let Some(report) = fields.get(wire::LOAD_REPORT) else { return Ok(Vec::new()) };
        let report = report.as_object().ok_or(INVALID)?;
        let mut load = Vec::new();
        for name in &self.load_field_names {
            match report.get(name) {
                None | Some(Value::Null) => break,
                Some(value) => {
                    let value = value.as_f64().filter(|value| (0.0..=MAX_LOAD).contains(value));
                    load.push(value.ok_or(INVALID)?);
                }
            }
        }
        Ok(load)
    }
}

fn index_by_name(names: &[String]) -> BTreeMap<String, usize> {
    names.iter().cloned().enumerate().map(|(index, name)| (name, index)).collect()
}

/// What a proxy states of the tables that it holds. A default table's replicas are not part of the message.
fn held_tables(is_on_default_table: bool) -> HeldTables {
    if is_on_default_table { HeldTables::UncheckedDefault } else { HeldTables::Unknown }
}
