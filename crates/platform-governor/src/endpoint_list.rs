//! The endpoint list as discovery last gave it, with its version.
//!
//! An invalid entry leaves the others in force, and what was known of its own replica.

mod entry;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use thiserror::Error;
use wrenthread::types::{Phase, ReplicaEntry, ReplicaId, RosterScope};

pub use entry::EntryError;
use entry::{EntryReader, has_name};

/// The platform's field names.
const INDEX: &str = "index";
const SNAPSHOT: &str = "snapshot";
const ENDPOINTS: &str = "endpoints";

/// Why nothing of an event can be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EndpointListError {
    /// The parser's reason.
    #[error("not JSON: {0}")]
    Unreadable(String),
    /// The name of the field.
    #[error("`{0}` is missing or of another type")]
    InvalidField(&'static str),
}

/// What an event changes.
#[derive(Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Valid entries, and for invalid ones what was known of them.
    pub entries: Vec<ReplicaEntry>,
    /// Whether replicas that are not among the entries are gone.
    pub scope: RosterScope,
    /// Why entries were left out.
    pub invalid_entries: Vec<EntryError>,
}

/// The endpoint list and its version.
#[derive(Default)]
pub struct EndpointList {
    zones: BTreeMap<String, usize>,
    version: Option<u64>,
    entries: BTreeMap<ReplicaId, ReplicaEntry>,
    /// Something was left out that only a snapshot gives again.
    needs_snapshot: bool,
    last_event_was_stale: bool,
}

impl EndpointList {
    /// An empty list; zones are numbered in the order of their names.
    pub fn new(zone_names: &[String]) -> Self {
        let zones = zone_names.iter().cloned().enumerate().map(|(index, name)| (name, index)).collect();
        EndpointList { zones, ..EndpointList::default() }
    }

    /// The version that a watch may go on from; none while a snapshot is needed.
    pub fn version(&self) -> Option<u64> {
        if self.needs_snapshot { None } else { self.version }
    }

    /// Whether the last event was older than what is known.
    pub fn last_event_was_stale(&self) -> bool {
        self.last_event_was_stale
    }

    /// Discovery's numbering has started over: the next snapshot is taken whatever its version.
    pub fn restart_numbering(&mut self) {
        self.version = None;
        self.needs_snapshot = true;
    }

    /// Applies one event as it came; see [`EndpointList::apply`].
    ///
    /// # Errors
    ///
    /// The event can't be used. The entries stay as they are, and a snapshot is needed, as whatever the event was to
    /// give will not be given again.
    pub fn apply_bytes(
        &mut self,
        event: &[u8],
        to_host_time: impl Fn(f64) -> Option<Duration>,
    ) -> Result<Option<EndpointUpdate>, EndpointListError> {
        let update = match serde_json::from_slice(event) {
            Ok(event) => self.apply(&event, to_host_time),
            Err(error) => Err(EndpointListError::Unreadable(error.to_string())),
        };
        self.needs_snapshot |= update.is_err();
        update
    }

    /// Applies one event; `to_host_time` turns Unix time in seconds into the host's time.
    ///
    /// Gives none for an event that is older than what is known: an agent may be behind the one before it, and
    /// replicas that drain would come back.
    ///
    /// # Errors
    ///
    /// The event can't be used; nothing changed.
    pub fn apply(
        &mut self,
        event: &Value,
        to_host_time: impl Fn(f64) -> Option<Duration>,
    ) -> Result<Option<EndpointUpdate>, EndpointListError> {
        let version = event[INDEX].as_u64().ok_or(EndpointListError::InvalidField(INDEX))?;
        let is_snapshot = event[SNAPSHOT].as_bool().ok_or(EndpointListError::InvalidField(SNAPSHOT))?;
        let rows = event[ENDPOINTS].as_array().ok_or(EndpointListError::InvalidField(ENDPOINTS))?;
        self.last_event_was_stale = self.version.is_some_and(|known| version < known);
        let is_repeated = self.version == Some(version) && !is_snapshot;
        if self.last_event_was_stale || is_repeated {
            return Ok(None);
        }
        let scope = if is_snapshot { RosterScope::Complete } else { RosterScope::Changes };
        let update = self.read_entries(rows, scope, to_host_time);
        // What an invalid entry of a change left out is in the next snapshot; fetching a snapshot again would bring the
        // same invalid entry.
        self.needs_snapshot = !is_snapshot && (self.needs_snapshot || !update.invalid_entries.is_empty());
        self.version = Some(version);
        self.store(&update);
        Ok(Some(update))
    }

    fn read_entries(
        &self,
        rows: &[Value],
        mut scope: RosterScope,
        to_host_time: impl Fn(f64) -> Option<Duration>,
    ) -> EndpointUpdate {
        let reader = EntryReader { zones: &self.zones, known: &self.entries };
        let mut entries = Vec::new();
        let mut invalid_entries = Vec::new();
        for row in rows {
            match reader.read(row, &to_host_time) {
                Ok(entry) => entries.push(entry),
                Err(error) => {
                    entries.extend(reader.known_entry(row).cloned());
                    if !has_name(row) {
                        // It may be any of those that are missing.
                        scope = RosterScope::Changes;
                    }
                    invalid_entries.push(error);
                }
            }
        }
        EndpointUpdate { entries, scope, invalid_entries }
    }

    fn store(&mut self, update: &EndpointUpdate) {
        if update.scope == RosterScope::Complete {
            self.entries.clear();
        }
        for entry in &update.entries {
            if entry.phase == Phase::Gone {
                self.entries.remove(&entry.id);
            } else {
                self.entries.insert(entry.id.clone(), entry.clone());
            }
        }
    }
}
