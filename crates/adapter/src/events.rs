//! Decodes the simulator's messages into the input types of the decision module. The field names of incoming
//! messages occur only here.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use wrenthread::types::{
    DemandStatistics, HeldTables, Phase, ProxyConnection, ProxyId, ReplicaEntry, ReplicaId,
    ReplicaStatistics, RosterScope, Settings,
};
use wrenthread_deployment_config::Fields;

use crate::error::MessageError;
use crate::message::Message;

/// Value of `membership_mode` if governors must subscribe to replica lists.
const MEMBERSHIP_MODE_SUBSCRIBE: &str = "subscribe";
/// Value of `how` for a health check with a response.
const HOW_ANSWERED: u64 = 1;

/// Interned names of replicas.
#[derive(Debug, Default)]
pub struct ReplicaNames(BTreeSet<ReplicaId>);

impl ReplicaNames {
    fn intern(&mut self, name: &str) -> ReplicaId {
        if let Some(known) = self.0.get(name) {
            return known.clone();
        }
        let new: ReplicaId = Arc::from(name);
        self.0.insert(new.clone());
        new
    }
}

/// A replica list and the number that later messages refer to it by.
#[derive(Debug)]
pub struct ReplicaList {
    /// The list's number.
    pub number: u64,
    /// Its replicas.
    pub entries: Vec<ReplicaEntry>,
}

/// The content of a governor's start message.
#[derive(Debug)]
pub struct GovernorStart {
    /// The governor's settings.
    pub settings: Settings,
    /// Whether it must subscribe to receive replica lists.
    pub subscribes: bool,
}

/// An event for a governor.
#[derive(Debug)]
pub enum GovernorEvent {
    /// A replica list replaces or updates its roster.
    RosterUpdated {
        /// The list's number.
        list: u64,
        /// Whether the list contains all replicas.
        scope: RosterScope,
    },
    /// Its subscription to replica lists has ended.
    SubscriptionEnded,
    /// A proxy has opened its stream.
    ProxyConnected(ProxyConnection),
    /// A proxy's stream has closed.
    ProxyDisconnected(ProxyId),
    /// Statistics of a replica from the proxies of one zone.
    ReplicaObserved(ReplicaStatistics),
    /// Statistics of the requests that a proxy received.
    DemandObserved(DemandStatistics),
    /// The result of a health check.
    HealthChecked {
        /// The replica.
        replica: ReplicaId,
        /// The response time, if there was a response.
        response_time: Option<Duration>,
        /// The replica's load report.
        load: Vec<f64>,
    },
    /// The timer fired.
    Tick,
    /// The message with this number was acknowledged.
    Acknowledged(u16),
    /// An event that the decision module does not use: governors exchange no messages, and key slices are not
    /// supported.
    Ignored,
}

/// Reads the time of a batch.
///
/// # Errors
///
/// Returns an error if the time is missing.
pub fn batch_time(message: &Message) -> Result<Duration, MessageError> {
    Ok(message.fields().micros("ts_us")?)
}

/// Reads the number of the governor that a message is for.
///
/// # Errors
///
/// Returns an error if the number is missing.
pub fn governor_id(message: &Message) -> Result<u64, MessageError> {
    Ok(message.fields().count("governor_id")?)
}

/// Reads a replica list.
///
/// # Errors
///
/// Returns an error if the list's number or a replica's name is missing, or if a replica's phase is unknown.
pub fn replica_list(message: &Message, names: &mut ReplicaNames) -> Result<ReplicaList, MessageError> {
    let fields = message.fields();
    let number = fields.count("list")?;
    let mut entries = Vec::new();
    for entry in fields.array_or_empty("elements") {
        entries.push(replica_entry(entry, names)?);
    }
    Ok(ReplicaList { number, entries })
}

fn replica_entry(entry: &Value, names: &mut ReplicaNames) -> Result<ReplicaEntry, MessageError> {
    let fields = Fields::new(entry.as_object().ok_or(MessageError::EntryNotAnObject)?);
    Ok(ReplicaEntry {
        id: names.intern(fields.text("replica")?),
        phase: phase(fields.count("phase").unwrap_or(0))?,
        zone: fields.integer("hall").unwrap_or(0),
        weight: fields.number_or("weight", 1.0),
        started_at: fields.micros("started_at_us").ok().filter(|at| !at.is_zero()),
    })
}

fn phase(number: u64) -> Result<Phase, MessageError> {
    match number {
        0 => Ok(Phase::Gone),
        1 => Ok(Phase::Ready),
        2 => Ok(Phase::Draining),
        unknown => Err(MessageError::UnknownPhase(unknown)),
    }
}

/// Reads a governor's start message.
///
/// # Errors
///
/// Returns an error if the settings are invalid.
pub fn governor_start(message: &Message) -> Result<GovernorStart, MessageError> {
    let info = message.fields().object_or_empty("info");
    Ok(GovernorStart {
        settings: wrenthread_deployment_config::read(&info)?.settings,
        subscribes: info.text_or_empty("membership_mode") == MEMBERSHIP_MODE_SUBSCRIBE,
    })
}

/// Reads an event for a governor.
///
/// # Errors
///
/// Returns an error if the message's name is unknown, or if a field is missing or has the wrong type.
pub fn governor_event(message: &Message, names: &mut ReplicaNames) -> Result<GovernorEvent, MessageError> {
    let fields = message.fields();
    Ok(match message.name() {
        "directory_update" => roster_update(&fields)?,
        "subscribed" => GovernorEvent::ProxyConnected(proxy_connection(&fields)?),
        "left" => GovernorEvent::ProxyDisconnected(fields.integer("forwarder")?),
        "tally" => GovernorEvent::ReplicaObserved(replica_statistics(&fields, names)?),
        "demand" => GovernorEvent::DemandObserved(demand_statistics(&fields)?),
        "health_result" => health_check(&fields, names)?,
        "deadline_hit" => GovernorEvent::Tick,
        "acked" => GovernorEvent::Acknowledged(fields.integer("version")?),
        "message" | "custody" | "on_record" | "key_load" => GovernorEvent::Ignored,
        unknown => return Err(MessageError::UnknownEvent { name: unknown.into() }),
    })
}

fn roster_update(fields: &Fields) -> Result<GovernorEvent, MessageError> {
    let scope = match fields.count("kind")? {
        0 => RosterScope::Changes,
        1 | 2 => RosterScope::Complete,
        3 => return Ok(GovernorEvent::SubscriptionEnded),
        unknown => return Err(MessageError::UnknownUpdateKind(unknown)),
    };
    Ok(GovernorEvent::RosterUpdated { list: fields.count("list")?, scope })
}

fn proxy_connection(fields: &Fields) -> Result<ProxyConnection, MessageError> {
    Ok(ProxyConnection {
        proxy: fields.integer("forwarder")?,
        zone: fields.integer("hall")?,
        requests_per_second: fields.number_or("weight", 0.0),
        held_tables: if fields.is_true("set") { HeldTables::UncheckedDefault } else { HeldTables::Unknown },
    })
}

fn replica_statistics(fields: &Fields, names: &mut ReplicaNames) -> Result<ReplicaStatistics, MessageError> {
    Ok(ReplicaStatistics {
        zone: fields.integer("hall")?,
        replica: names.intern(fields.text("replica")?),
        attempts: fields.count("total")?,
        failed: fields.count("errors").unwrap_or(0),
        mean_latency: fields.micros("took_us").ok().filter(|mean| !mean.is_zero()),
        interval: fields.micros("elapsed_us")?,
        load: load_report(fields),
    })
}

fn demand_statistics(fields: &Fields) -> Result<DemandStatistics, MessageError> {
    Ok(DemandStatistics {
        proxy: fields.integer("forwarder")?,
        class: fields.integer("cls")?,
        requests: fields.count("total")?,
        failed: fields.count("errors").unwrap_or(0),
        interval: fields.micros("elapsed_us")?,
    })
}

fn health_check(fields: &Fields, names: &mut ReplicaNames) -> Result<GovernorEvent, MessageError> {
    let response_time = fields.micros("took_us")?;
    let replica = names.intern(fields.text("replica")?);
    let answered = fields.count("how")? == HOW_ANSWERED;
    Ok(GovernorEvent::HealthChecked {
        replica,
        response_time: answered.then_some(response_time),
        load: load_report(fields),
    })
}

fn load_report(fields: &Fields) -> Vec<f64> {
    fields.array_or_empty("load").iter().filter_map(Value::as_f64).collect()
}
