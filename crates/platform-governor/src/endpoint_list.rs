//! The endpoint list last received from discovery, with its version.
//!
//! If an entry is invalid, the other entries are used, and the last valid entry of its replica stays in force.

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

/// Why an event is invalid as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EndpointListError {
    /// The event is not valid JSON, for the parser's reason.
    #[error("not JSON: {0}")]
    Unreadable(String),
    /// The field by this name is missing or of another type.
    #[error("`{0}` is missing or of another type")]
    InvalidField(&'static str),
}

/// The changes made by an event.
#[derive(Debug, PartialEq)]
pub struct EndpointUpdate {
    /// The valid entries, and the last valid ones in place of those that are invalid.
    pub entries: Vec<ReplicaEntry>,
    /// Whether replicas that are not among the entries are gone.
    pub scope: RosterScope,
    /// Why entries were rejected.
    pub invalid_entries: Vec<EntryError>,
}

/// The endpoint list and its version.
#[derive(Default)]
pub struct EndpointList {
    zones: BTreeMap<String, usize>,
    version: Option<u64>,
    entries: BTreeMap<ReplicaId, ReplicaEntry>,
    /// Data was rejected that discovery sends again only in a snapshot.
    needs_snapshot: bool,
    last_event_was_stale: bool,
}

impl EndpointList {
    /// Creates an empty list. Zones are numbered in the order of `zone_names`.
    pub fn new(zone_names: &[String]) -> Self {
        let zones = zone_names.iter().cloned().enumerate().map(|(index, name)| (name, index)).collect();
        EndpointList { zones, ..EndpointList::default() }
    }

    /// The version from which a watch can continue; `None` while a snapshot is needed.
    pub fn version(&self) -> Option<u64> {
        if self.needs_snapshot { None } else { self.version }
    }

    /// Whether the last event was older than the list.
    pub fn last_event_was_stale(&self) -> bool {
        self.last_event_was_stale
    }

    /// Accepts the next snapshot whatever its version, because discovery has restarted its numbering.
    pub fn restart_numbering(&mut self) {
        self.version = None;
        self.needs_snapshot = true;
    }

    /// Parses and applies one event; see [`EndpointList::apply`].
    ///
    /// # Errors
    ///
    /// The event is invalid. The entries stay as they are, and a snapshot is needed, as discovery does not send the
    /// contents of the event again.
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

    /// Applies one event; `to_host_time` converts Unix time in seconds to the host's time.
    ///
    /// Ignores an event that is older than the list, and returns `None`: an agent may lag behind the one used before,
    /// and its old entries would make draining replicas ready again.
    ///
    /// # Errors
    ///
    /// The event is invalid; nothing changed.
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
        // If an entry of a change is invalid, a snapshot replaces it. If an entry of a snapshot is invalid, another
        // snapshot would contain the same invalid entry.
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
                        // The entry may be that of any replica missing from the list.
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
