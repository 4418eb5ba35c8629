//! Reads the entries of the platform's endpoint list.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use thiserror::Error;
use wrenthread::types::{Phase, ReplicaEntry, ReplicaId};

/// The longest valid name: names are sent in every table.
const MAX_NAME_BYTES: usize = 256;
/// The largest valid weight.
const MAX_WEIGHT: f64 = 1e6;
/// The weight of a removed entry that has none; no requests are sent to it.
const REMOVED_WEIGHT: f64 = 1.0;
/// The zone of a removed entry that has none.
const REMOVED_ZONE: usize = 0;

/// The platform's field names.
const NAME: &str = "name";
const STATUS: &str = "status";
const ZONE: &str = "zone";
const WEIGHT: &str = "weight";
const SINCE_MILLIS: &str = "since_ms";

/// Why an entry was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{field}` of {name} is missing or invalid")]
pub struct EntryError {
    /// The field that is missing, of another type or out of range.
    pub field: &'static str,
    /// The entry's name as received, valid or not.
    pub name: Value,
}

/// Reads entries, using the known zones and entries.
pub(super) struct EntryReader<'a> {
    pub zones: &'a BTreeMap<String, usize>,
    pub known: &'a BTreeMap<ReplicaId, ReplicaEntry>,
}

impl<'a> EntryReader<'a> {
    /// Reads one entry. A draining or removed entry may omit the zone and the weight that are known already.
    pub fn read(
        &self,
        row: &Value,
        to_host_time: impl Fn(f64) -> Option<Duration>,
    ) -> Result<ReplicaEntry, EntryError> {
        let invalid = |field| EntryError { field, name: row[NAME].clone() };
        let name = name(row).ok_or_else(|| invalid(NAME))?;
        let phase = phase(row).ok_or_else(|| invalid(STATUS))?;
        let since_millis = since_millis(row).ok_or_else(|| invalid(SINCE_MILLIS))?;
        let known = self.known.get_key_value(name);
        let fallback = known.map(|(_, entry)| entry).filter(|_| phase != Phase::Ready);
        let zone = self.zone(row, phase, fallback).ok_or_else(|| invalid(ZONE))?;
        let weight = weight(row, phase, fallback).ok_or_else(|| invalid(WEIGHT))?;
        let started_at = if since_millis > 0.0 { to_host_time(since_millis / 1000.0) } else { None };
        let id = known.map_or_else(|| name.into(), |(id, _)| id.clone());
        Ok(ReplicaEntry { id, phase, zone, weight, started_at })
    }

    /// The last valid entry of the replica that an invalid row names.
    pub fn known_entry(&self, row: &Value) -> Option<&'a ReplicaEntry> {
        self.known.get(row[NAME].as_str()?)
    }

    fn zone(&self, row: &Value, phase: Phase, fallback: Option<&ReplicaEntry>) -> Option<usize> {
        let stated = row[ZONE].as_str().and_then(|zone| self.zones.get(zone)).copied();
        let zone = stated.or(fallback.map(|entry| entry.zone));
        if phase == Phase::Gone { zone.or(Some(REMOVED_ZONE)) } else { zone }
    }
}

/// Whether a row has a name, valid or not.
pub(super) fn has_name(row: &Value) -> bool {
    row[NAME].is_string()
}

fn name(row: &Value) -> Option<&str> {
    row[NAME].as_str().filter(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES)
}

fn phase(row: &Value) -> Option<Phase> {
    match row[STATUS].as_str()? {
        "up" => Some(Phase::Ready),
        "draining" => Some(Phase::Draining),
        "removed" => Some(Phase::Gone),
        _ => None,
    }
}

fn weight(row: &Value, phase: Phase, fallback: Option<&ReplicaEntry>) -> Option<f64> {
    let stated = match row.get(WEIGHT) {
        None if phase == Phase::Gone => Some(REMOVED_WEIGHT),
        None => None,
        Some(weight) => weight.as_f64().filter(|weight| *weight > 0.0 && *weight <= MAX_WEIGHT),
    };
    stated.or(fallback.map(|entry| entry.weight))
}

/// Unix time in milliseconds; 0 means long ago.
fn since_millis(row: &Value) -> Option<f64> {
    match row.get(SINCE_MILLIS) {
        None => Some(0.0),
        Some(since) => since.as_f64().filter(|since| *since >= 0.0),
    }
}
