//! Watches the roster file, which is JSON and is always replaced as a whole. An invalid file is rejected with the line
//! and the cause, and the last valid roster stays in force.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use tokio::sync::mpsc;
use wrenthread::types::Phase;
use wrenthread_core::roster::RosterEntry;

use crate::clock::Clock;

/// A file larger than this is not read; it would list more replicas than any fleet has.
const MAX_FILE_BYTES: u64 = 64 << 20;
/// The maximum length of a replica's id.
const MAX_ID_BYTES: usize = 256;
/// Counts rejected roster files.
const ROSTERS_REJECTED: &str = "wrenthread_roster_refused_total";

const PHASE_READY: &str = "ready";
const PHASE_DRAINING: &str = "draining";
const PHASE_GONE: &str = "gone";

/// Why a roster file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum RosterFileError {
    #[error("{path}: {error}")]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{path}: {bytes} bytes; the limit is {MAX_FILE_BYTES}")]
    TooLarge { path: PathBuf, bytes: u64 },
    #[error("{path}:{line}:{column}: {reason}")]
    Invalid { path: PathBuf, line: usize, column: usize, reason: String },
}

/// What is wrong with one entry.
#[derive(Debug, thiserror::Error)]
enum EntryError {
    #[error("the `id` of a replica must have 1 to 256 bytes")]
    Id,
    #[error("`address` of `{id}` is \"{address}\"; expected \"host:port\"")]
    Address { id: String, address: String },
    #[error("`weight` of `{id}` is {weight}; expected a number above 0")]
    Weight { id: String, weight: f64 },
    #[error("`phase` of `{id}` is \"{phase}\"; expected ready, draining or gone")]
    Phase { id: String, phase: String },
    #[error("`zone` of `{id}` is \"{zone}\"; the settings have {known}")]
    Zone { id: String, zone: String, known: String },
    #[error("`{0}` is listed twice")]
    DuplicateId(String),
    #[error("`{id}` and `{other}` have the same address {address}")]
    DuplicateAddress { id: String, other: String, address: String },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileContent {
    replicas: Vec<FileEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileEntry {
    id: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default = "default_phase")]
    phase: String,
    /// Its start time in Unix seconds.
    #[serde(default)]
    started: Option<f64>,
    #[serde(default)]
    backup: bool,
    /// Where the entry comes from; informational.
    #[serde(default)]
    #[allow(dead_code, reason = "accepted in the file, not used")]
    origin: Option<String>,
}

fn default_weight() -> f64 {
    1.0
}

fn default_phase() -> String {
    PHASE_READY.into()
}

impl FileEntry {
    /// Validates the entry's fields and returns its phase.
    fn check(&self) -> Result<Phase, EntryError> {
        let id = || self.id.clone();
        if self.id.is_empty() || self.id.len() > MAX_ID_BYTES {
            return Err(EntryError::Id);
        }
        if !is_host_and_port(&self.address) {
            return Err(EntryError::Address { id: id(), address: self.address.clone() });
        }
        if !(self.weight.is_finite() && self.weight > 0.0) {
            return Err(EntryError::Weight { id: id(), weight: self.weight });
        }
        match self.phase.as_str() {
            PHASE_READY => Ok(Phase::Ready),
            PHASE_DRAINING => Ok(Phase::Draining),
            PHASE_GONE => Ok(Phase::Gone),
            other => Err(EntryError::Phase { id: id(), phase: other.into() }),
        }
    }

    /// The index of its zone. The zone may be omitted if there is only one.
    fn zone(&self, zones: &[String]) -> Result<usize, EntryError> {
        if self.zone.is_empty() && zones.len() == 1 {
            return Ok(0);
        }
        let zone = zones.iter().position(|zone| *zone == self.zone);
        zone.ok_or_else(|| EntryError::Zone {
            id: self.id.clone(),
            zone: self.zone.clone(),
            known: zones.join(", "),
        })
    }
}

fn is_host_and_port(address: &str) -> bool {
    let host_and_port = address.rsplit_once(':');
    host_and_port.is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok())
}

/// The ids and addresses read so far, to reject duplicates.
#[derive(Default)]
struct SeenReplicas {
    ids: BTreeSet<String>,
    ids_by_address: BTreeMap<String, String>,
}

impl SeenReplicas {
    fn add(&mut self, entry: &FileEntry, phase: Phase) -> Result<(), EntryError> {
        if !self.ids.insert(entry.id.clone()) {
            return Err(EntryError::DuplicateId(entry.id.clone()));
        }
        if phase == Phase::Gone {
            return Ok(());
        }
        // Load reports are matched by address: two replicas at one address would each be judged by the other's reports.
        match self.ids_by_address.insert(entry.address.clone(), entry.id.clone()) {
            None => Ok(()),
            Some(other) => Err(EntryError::DuplicateAddress {
                id: entry.id.clone(),
                other,
                address: entry.address.clone(),
            }),
        }
    }
}

/// Parses the text of a roster file.
///
/// # Errors
/// The text is invalid; the error gives line and column.
pub fn parse(
    path: &Path,
    text: &str,
    zones: &[String],
    clock: &Clock,
) -> Result<Vec<RosterEntry>, RosterFileError> {
    let invalid =
        |line, column, reason| RosterFileError::Invalid { path: path.to_path_buf(), line, column, reason };
    let content: FileContent = serde_json::from_str(text)
        .map_err(|error| invalid(error.line(), error.column(), error.to_string()))?;
    let mut entries = Vec::with_capacity(content.replicas.len());
    let mut seen = SeenReplicas::default();
    for entry in &content.replicas {
        match roster_entry(entry, zones, clock, &mut seen) {
            Ok(Some(entry)) => entries.push(entry),
            Ok(None) => {}
            Err(error) => return Err(invalid(line_of(text, &entry.id), 1, error.to_string())),
        }
    }
    Ok(entries)
}

/// The line of the first occurrence of an id.
fn line_of(text: &str, id: &str) -> usize {
    let at = text.find(&format!("\"{id}\"")).unwrap_or(0);
    text[..at].matches('\n').count() + 1
}

/// The roster entry; `None` for a replica that is gone.
fn roster_entry(
    entry: &FileEntry,
    zones: &[String],
    clock: &Clock,
    seen: &mut SeenReplicas,
) -> Result<Option<RosterEntry>, EntryError> {
    let phase = entry.check()?;
    let zone = entry.zone(zones)?;
    seen.add(entry, phase)?;
    if phase == Phase::Gone {
        return Ok(None);
    }
    Ok(Some(RosterEntry {
        id: entry.id.as_str().into(),
        address: entry.address.as_str().into(),
        zone,
        weight: entry.weight,
        phase,
        started_at: entry.started.and_then(|unix_seconds| clock.host_time_from_unix(unix_seconds)),
        backup: entry.backup,
    }))
}

async fn read(path: &Path) -> Result<String, RosterFileError> {
    let unreadable = |error| RosterFileError::Unreadable { path: path.to_path_buf(), error };
    let bytes = tokio::fs::metadata(path).await.map_err(unreadable)?.len();
    if bytes > MAX_FILE_BYTES {
        return Err(RosterFileError::TooLarge { path: path.to_path_buf(), bytes });
    }
    tokio::fs::read_to_string(path).await.map_err(unreadable)
}

/// Polls the file and sends the roster whenever the text has changed and is valid.
pub async fn watch(
    path: PathBuf,
    poll_interval: Duration,
    zones: Vec<String>,
    clock: Clock,
    rosters: mpsc::Sender<Vec<RosterEntry>>,
) {
    let mut last_text = None;
    let mut last_error = None;
    let mut ticks = tokio::time::interval(poll_interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !rosters.is_closed() {
        ticks.tick().await;
        let roster = match read(&path).await {
            Ok(text) if last_text.as_ref() == Some(&text) => continue,
            Ok(text) => {
                let roster = parse(&path, &text, &zones, &clock);
                last_text = Some(text);
                roster
            }
            Err(error) => Err(error),
        };
        match roster {
            Ok(entries) => {
                if rosters.send(entries).await.is_err() {
                    return;
                }
                last_error = None;
            }
            Err(error) => {
                let error = error.to_string();
                // Logged once, not at every poll.
                if last_error.as_ref() != Some(&error) {
                    metrics::counter!(ROSTERS_REJECTED).increment(1);
                    tracing::warn!(%error, "roster rejected; the last valid one stays in force");
                    last_error = Some(error);
                }
            }
        }
    }
}
