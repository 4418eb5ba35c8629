//! What the bench tells: its field names are mapped here to what the decision module takes, and nowhere else.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use wrenthread::types::{
    DemandStatistics, Phase, ProxyConnection, ProxyId, ReplicaEntry, ReplicaId, ReplicaStatistics,
    RosterScope, Settings,
};
use wrenthread_deployment_config::Fields;

use crate::error::MessageError;
use crate::message::Message;

/// `membership_mode` where a replica list comes only to those who subscribe.
const SUBSCRIBE: &str = "subscribe";
/// `how` of a health check that was answered.
const ANSWERED: u64 = 1;

/// Replicas' names: one copy of each, shared by all that hold it.
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

/// A replica list and the number that later messages name it by.
#[derive(Debug)]
pub struct ReplicaList {
    /// The list's number.
    pub number: u64,
    /// Its replicas.
    pub entries: Vec<ReplicaEntry>,
}

/// What a governor is told first.
#[derive(Debug)]
pub struct GovernorStart {
    /// Its settings.
    pub settings: Settings,
    /// Replica lists come to it only once it has subscribed.
    pub subscribes: bool,
}

/// Something that a governor sees.
#[derive(Debug)]
pub enum GovernorEvent {
    /// Its roster is that of a list, or changes by it.
    RosterUpdated {
        /// The list's number.
        list: u64,
        /// Whether the list names all replicas.
        scope: RosterScope,
    },
    /// Its subscription to replica lists has ended.
    SubscriptionEnded,
    /// A proxy's stream is up.
    ProxyConnected(ProxyConnection),
    /// A proxy's stream is down.
    ProxyDisconnected(ProxyId),
    /// What proxies observed at a replica.
    ReplicaObserved(ReplicaStatistics),
    /// What a proxy received.
    DemandObserved(DemandStatistics),
    /// What a health check found.
    HealthChecked {
        /// The replica.
        replica: ReplicaId,
        /// How long the answer took, if one came.
        took: Option<Duration>,
        /// The replica's load report.
        load: Vec<f64>,
    },
    /// The timer fired.
    Tick,
    /// A message took effect this long after it was sent.
    Acknowledged(Duration),
    /// Nothing that the decision module makes use of: governors tell each other nothing, and key slices are
    /// not served.
    Ignored,
}

/// The time that a batch begins at.
///
/// # Errors
///
/// If the time is missing.
pub fn batch_time(message: &Message) -> Result<Duration, MessageError> {
    Ok(message.fields().micros("ts_us")?)
}

/// The number of the governor that a message is about.
///
/// # Errors
///
/// If the number is missing.
pub fn governor_id(message: &Message) -> Result<u64, MessageError> {
    Ok(message.fields().count("governor_id")?)
}

/// Reads a replica list.
///
/// # Errors
///
/// If its number or a replica's name is missing, or a replica's phase is unknown.
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

/// Reads what a governor is told first.
///
/// # Errors
///
/// If its settings can't be read.
pub fn governor_start(message: &Message) -> Result<GovernorStart, MessageError> {
    let info = message.fields().object_or_empty("info");
    Ok(GovernorStart {
        settings: wrenthread_deployment_config::read(&info)?.settings,
        subscribes: info.text_or_empty("membership_mode") == SUBSCRIBE,
    })
}

/// Reads what a governor sees.
///
/// # Errors
///
/// If the message's name is unknown, or a field is missing or of another type.
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
        "acked" => GovernorEvent::Acknowledged(fields.micros("took_us")?),
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
        holds_default_table: fields.is_true("set"),
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
    let took = fields.micros("took_us")?;
    let replica = names.intern(fields.text("replica")?);
    let answered = fields.count("how")? == ANSWERED;
    Ok(GovernorEvent::HealthChecked { replica, took: answered.then_some(took), load: load_report(fields) })
}

fn load_report(fields: &Fields) -> Vec<f64> {
    fields.array_or_empty("load").iter().filter_map(Value::as_f64).collect()
}
