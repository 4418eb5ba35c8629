//! The list as last told. A spoilt entry leaves the rest standing, and what was known of its replica.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use thiserror::Error;
use wrenthread::types::{Phase, ReplicaEntry, ReplicaId};

/// Why nothing of an object can be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EndpointListError {
    #[error("not JSON: {0}")]
    Unreadable(String),
    #[error("`{0}` is missing or of another type")]
    InvalidField(&'static str),
}

/// A name that is longer is no name: it would be carried in every table.
const MAX_NAME_BYTES: usize = 256;
/// ReplicaEntry weights beyond it are taken for spoilt.
const MAX_WEIGHT: f64 = 1e6;

/// What an object changes.
#[derive(Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    pub entries: Vec<ReplicaEntry>,
    /// What is not among the entries is gone.
    pub complete: bool,
    /// Why entries were left out.
    pub invalid_entries: Vec<String>,
}

/// The list as last told, and its version.
#[derive(Default)]
pub struct EndpointList {
    zones: BTreeMap<String, usize>,
    version: Option<u64>,
    entries: BTreeMap<ReplicaId, ReplicaEntry>,
    incomplete: bool,
    stale: bool,
}

impl EndpointList {
    pub fn new(zones: &[String]) -> Self {
        EndpointList {
            zones: zones.iter().cloned().enumerate().map(|(at, name)| (name, at)).collect(),
            ..EndpointList::default()
        }
    }

    /// The version that a watch may go on from; none while only the whole list will do.
    pub fn version(&self) -> Option<u64> {
        self.version.filter(|_| !self.incomplete)
    }

    /// Whether the last object was older than what is known.
    pub fn last_was_stale(&self) -> bool {
        self.stale
    }

    /// Whoever tells the list counts anew: what comes next is taken whatever its version, once it is whole.
    pub fn restart_numbering(&mut self) {
        (self.version, self.incomplete) = (None, true);
    }

    /// Takes in one object; `started` turns seconds of the calendar into the host's time. An object older
    /// than what is known changes nothing: an agent may be behind the one before it, and what drains would
    /// come back.
    ///
    /// Errors: an object that can't be used; nothing changed.
    pub fn read(
        &mut self,
        object: &[u8],
        started: impl Fn(f64) -> Option<Duration>,
    ) -> Result<Option<EndpointUpdate>, EndpointListError> {
        let object =
            serde_json::from_slice(object).map_err(|error| EndpointListError::Unreadable(error.to_string()));
        let change = object.and_then(|object| self.take(&object, started));
        // Whatever it was to tell will not be told again.
        self.incomplete |= change.is_err();
        change
    }

    /// As [`EndpointList::read`], of an object that is read already.
    ///
    /// Errors: an object that can't be used; nothing changed.
    pub fn take(
        &mut self,
        object: &Value,
        started: impl Fn(f64) -> Option<Duration>,
    ) -> Result<Option<EndpointUpdate>, EndpointListError> {
        let version = object["index"].as_u64().ok_or(EndpointListError::InvalidField("index"))?;
        let complete = object["snapshot"].as_bool().ok_or(EndpointListError::InvalidField("snapshot"))?;
        let rows = object["endpoints"].as_array().ok_or(EndpointListError::InvalidField("endpoints"))?;
        self.stale = self.version.is_some_and(|known| version < known);
        if self.stale || self.version == Some(version) && !complete {
            return Ok(None);
        }
        let mut change = EndpointUpdate { complete, ..EndpointUpdate::default() };
        for row in rows {
            match self.entry(row, &started) {
                Ok(entry) => change.entries.push(entry),
                Err(field) => {
                    let name = row["name"].as_str().and_then(|name| self.entries.get(name));
                    change.entries.extend(name.cloned());
                    // One that can't be told may be any of those that are missing.
                    change.complete &= name.is_some() || row["name"].is_string();
                    change.invalid_entries.push(format!("`{field}` of {}", row["name"]));
                }
            }
        }
        // What is left out of a change is not told again; asking anew for a whole list would bring the same.
        self.incomplete = !complete && (self.incomplete || !change.invalid_entries.is_empty());
        self.version = Some(version);
        if change.complete {
            self.entries.clear();
        }
        for entry in &change.entries {
            if entry.phase == Phase::Gone {
                self.entries.remove(&entry.id);
            } else {
                self.entries.insert(entry.id.clone(), entry.clone());
            }
        }
        Ok(Some(change))
    }

    fn entry(
        &self,
        row: &Value,
        started: impl Fn(f64) -> Option<Duration>,
    ) -> Result<ReplicaEntry, &'static str> {
        let name = row["name"].as_str().filter(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES);
        let name = name.ok_or("name")?;
        let known = self.entries.get_key_value(name);
        let phase = match row["status"].as_str() {
            Some("up") => Phase::Ready,
            Some("draining") => Phase::Draining,
            Some("removed") => Phase::Gone,
            _ => return Err("status"),
        };
        let zone = row["zone"].as_str().and_then(|zone| self.zones.get(zone)).copied();
        // Of what goes away the rest need not be told.
        let zone = zone.or(known.filter(|_| phase != Phase::Ready).map(|(_, entry)| entry.zone));
        let weight = match row.get("weight") {
            None if phase == Phase::Gone => Some(1.0),
            None => None,
            Some(weight) => weight.as_f64().filter(|weight| *weight > 0.0 && *weight <= MAX_WEIGHT),
        };
        let weight = weight.or(known.filter(|_| phase != Phase::Ready).map(|(_, entry)| entry.weight));
        let since = match row.get("since_ms") {
            None => 0.0,
            Some(since) => since.as_f64().filter(|since| *since >= 0.0).ok_or("since_ms")?,
        };
        Ok(ReplicaEntry {
            id: known.map_or_else(|| name.into(), |(id, _)| id.clone()),
            phase,
            zone: zone.or((phase == Phase::Gone).then_some(0)).ok_or("zone")?,
            weight: weight.ok_or("weight")?,
            started_at: (since > 0.0).then(|| started(since / 1000.0)).flatten(),
        })
    }
}
