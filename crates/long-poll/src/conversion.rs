//! Converts wire messages to the core's types and back: names to indices, and strings to enums.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use wrenthread::types::{ReplicaId, RetryPolicy};
use wrenthread_core::fleet;
use wrenthread_core::reports::{LoadReport, ReplicaObservation};
use wrenthread_core::table_versions::{
    self, ChangedEntry, Delta, Digest, PublishedEntry, PublishedState, PublishedTable, TableChange, hex,
};

use crate::messages::{
    ClassUpdate, DefaultTableEntry, JoinRequest, ReplicaStatistics, ReportRequest, SessionParameters,
    TableEntry, TablesResponse,
};

/// Maximum length of a proxy's name.
const MAX_NAME_BYTES: usize = 256;
/// Maximum number of entries in a proxy's default table.
const MAX_DEFAULT_TABLE_ENTRIES: usize = 1000;
/// Maximum length of an invalid value that is quoted in an error.
const MAX_QUOTED_CHARS: usize = 80;

const RETRY_NEVER: &str = "never";
const RETRY_IF_NOT_EXECUTED: &str = "if-never-ran";
const RETRY_ON_ANY_FAILURE: &str = "once";

/// Why a message is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidMessageError {
    /// A zone that is not in the settings.
    #[error("zone `{zone}` is not in the settings, which know {known}")]
    Zone {
        /// The zone.
        zone: String,
        /// The zones in the settings.
        known: String,
    },
    /// A field has an invalid value.
    #[error("`{field}`: {reason}")]
    Field {
        /// The wire name of the field.
        field: &'static str,
        /// Why the value is invalid.
        reason: String,
    },
    /// A traffic class that is not in the settings.
    #[error("group `{0}` is not known")]
    Class(String),
    /// A malformed digest.
    #[error("digest `{0}` is not 64 hexadecimal digits")]
    Digest(String),
    /// A malformed version.
    #[error("version `{0}` is not EPOCH.NUMBER")]
    Version(String),
}

impl InvalidMessageError {
    fn field(field: &'static str, reason: impl Into<String>) -> Self {
        InvalidMessageError::Field { field, reason: reason.into() }
    }
}

/// Decoded tables: complete, or a delta to apply.
#[derive(Debug, Clone, PartialEq)]
pub enum DecodedTables {
    /// All tables of a version.
    Complete(PublishedState),
    /// The changes since an earlier version.
    Delta(Delta),
}

/// Parses a hexadecimal digest.
///
/// # Errors
/// The text is not 64 hexadecimal digits.
pub fn parse_digest(text: &str) -> Result<Digest, InvalidMessageError> {
    let digest = table_versions::unhex(text).and_then(|bytes| bytes.try_into().ok());
    digest.ok_or_else(|| InvalidMessageError::Digest(quoted(text)))
}

/// The start of an invalid value, to be quoted in an error.
fn quoted(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}

/// The name of a retry policy, as used on the wire and in the status.
pub fn retry_policy_name(policy: RetryPolicy) -> &'static str {
    match policy {
        RetryPolicy::Never => RETRY_NEVER,
        RetryPolicy::IfNotExecuted => RETRY_IF_NOT_EXECUTED,
        RetryPolicy::OnAnyFailure => RETRY_ON_ANY_FAILURE,
    }
}

fn parse_retry_policy(name: &str) -> Result<RetryPolicy, InvalidMessageError> {
    match name {
        RETRY_NEVER => Ok(RetryPolicy::Never),
        RETRY_IF_NOT_EXECUTED => Ok(RetryPolicy::IfNotExecuted),
        RETRY_ON_ANY_FAILURE => Ok(RetryPolicy::OnAnyFailure),
        other => Err(InvalidMessageError::field("tries", other)),
    }
}

fn parse_millis(field: &'static str, millis: f64) -> Result<Duration, InvalidMessageError> {
    let duration = Duration::try_from_secs_f64(millis / 1000.0);
    duration.map_err(|error| InvalidMessageError::field(field, error.to_string()))
}

fn to_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

impl SessionParameters {
    fn zone_name(&self, zone: usize) -> String {
        self.zones.get(zone).cloned().unwrap_or_default()
    }

    /// The index of a zone. The name may be empty if there is only one zone.
    fn parse_zone(&self, name: &str) -> Result<usize, InvalidMessageError> {
        if name.is_empty() && self.zones.len() == 1 {
            return Ok(0);
        }
        let zone = self.zones.iter().position(|zone| zone == name);
        zone.ok_or_else(|| {
            let known: Vec<String> = self.zones.iter().map(|zone| format!("`{zone}`")).collect();
            InvalidMessageError::Zone { zone: name.into(), known: known.join(", ") }
        })
    }

    fn parse_class(&self, name: &str) -> Result<usize, InvalidMessageError> {
        let class = self.classes.iter().position(|class| class == name);
        class.ok_or_else(|| InvalidMessageError::Class(name.into()))
    }

    /// The number in `EPOCH.NUMBER`, or `None` if the epoch is not this session's.
    ///
    /// # Errors
    /// The text does not have that form.
    pub fn parse_version(&self, version: &str) -> Result<Option<u64>, InvalidMessageError> {
        let invalid = || InvalidMessageError::Version(quoted(version));
        let (epoch, number) = version.split_once('.').ok_or_else(invalid)?;
        let number = number.parse().map_err(|_| invalid())?;
        Ok((epoch == self.epoch).then_some(number))
    }

    /// Decodes a join request for the engine. `default_requests_per_second` is the load of a proxy that does not state
    /// its own.
    ///
    /// # Errors
    /// The name, zone, load or default table is invalid.
    pub fn decode_join(
        &self,
        proxy: &str,
        request: JoinRequest,
        default_requests_per_second: f64,
    ) -> Result<fleet::JoinRequest, InvalidMessageError> {
        if proxy.is_empty() || proxy.len() > MAX_NAME_BYTES {
            return Err(InvalidMessageError::field("proxy", "a name has 1 to 256 bytes"));
        }
        if request.default_table.len() > MAX_DEFAULT_TABLE_ENTRIES {
            return Err(InvalidMessageError::field("standing", "more than 1000 lines"));
        }
        let requests_per_second = request.requests_per_second.unwrap_or(default_requests_per_second);
        if !(requests_per_second.is_finite() && requests_per_second >= 0.0) {
            let reason = format!("{requests_per_second} is no number of flows a second");
            return Err(InvalidMessageError::field("usual", reason));
        }
        let is_valid = |entry: &DefaultTableEntry| entry.weight.is_finite() && entry.weight > 0.0;
        if !request.default_table.iter().all(is_valid) {
            return Err(InvalidMessageError::field("standing", "weights are above 0"));
        }
        let default_table = request.default_table.iter();
        Ok(fleet::JoinRequest {
            name: proxy.into(),
            zone: self.parse_zone(&request.zone)?,
            requests_per_second,
            default_table: default_table.map(|entry| (entry.replica.as_str().into(), entry.weight)).collect(),
            holds_governor_tables: request.holds_tables,
            ownership_proof: request.ownership_proof,
            proven_version: None,
        })
    }

    /// Encodes a load report as a proxy sends it.
    pub fn encode_report(&self, report: &LoadReport) -> ReportRequest {
        let mut replicas = Vec::new();
        for observed in &report.observations {
            let Some(class) = self.classes.get(observed.class) else { continue };
            replicas.push(ReplicaStatistics {
                class: class.clone(),
                replica: observed.replica.to_string(),
                issued: observed.issued,
                succeeded: observed.succeeded,
                failed: observed.failed,
                total_latency_millis: to_millis(observed.latency_sum_and_count.0),
                load: observed.load.clone(),
            });
        }
        let rejected = report.rejected.iter();
        let rejected =
            rejected.filter_map(|(class, requests)| Some((self.classes.get(*class)?.clone(), *requests)));
        ReportRequest { interval_millis: to_millis(report.interval), replicas, rejected: rejected.collect() }
    }

    /// Decodes a load report for the engine.
    ///
    /// # Errors
    /// A duration is invalid, or a class is unknown.
    pub fn decode_report(&self, report: &ReportRequest) -> Result<LoadReport, InvalidMessageError> {
        let interval = parse_millis("interval_ms", report.interval_millis)?;
        let mut observations = Vec::new();
        for statistics in &report.replicas {
            observations.push(self.decode_statistics(statistics)?);
        }
        let mut rejected = Vec::new();
        for (class, requests) in &report.rejected {
            rejected.push((self.parse_class(class)?, *requests));
        }
        Ok(LoadReport { interval, observations, rejected })
    }

    fn decode_statistics(
        &self,
        statistics: &ReplicaStatistics,
    ) -> Result<ReplicaObservation, InvalidMessageError> {
        let total_latency = parse_millis("answer_ms", statistics.total_latency_millis)?;
        // A total latency of zero means that no latency was measured.
        let latency_count = if total_latency.is_zero() { 0 } else { statistics.succeeded };
        let has_all_metrics = statistics.load.len() == self.load_metrics.len();
        Ok(ReplicaObservation {
            class: self.parse_class(&statistics.class)?,
            replica: statistics.replica.as_str().into(),
            succeeded: statistics.succeeded,
            failed: statistics.failed,
            issued: statistics.issued,
            in_flight: 0,
            latency_sum_and_count: (total_latency, latency_count),
            load: if has_all_metrics { statistics.load.clone() } else { Vec::new() },
        })
    }

    /// Encodes complete tables.
    pub fn encode_complete(&self, version: u64, digest: &Digest, state: &PublishedState) -> TablesResponse {
        let mut classes = BTreeMap::new();
        for (name, table) in self.classes.iter().zip(&state.classes) {
            if let Some(table) = table {
                classes.insert(name.clone(), self.encode_table(table));
            }
        }
        TablesResponse {
            version: self.format_version(version),
            digest: hex(digest),
            base: None,
            ownership_proof: None,
            classes,
        }
    }

    fn encode_table(&self, table: &PublishedTable) -> ClassUpdate {
        let entries = table.entries.iter().map(|(replica, entry)| TableEntry {
            replica: replica.to_string(),
            weight: entry.weight,
            address: Some(entry.address.to_string()),
            zone: Some(self.zone_name(entry.zone)),
        });
        ClassUpdate {
            use_default_table: false,
            entries: entries.collect(),
            removed: Vec::new(),
            admission_millionths: table.admission_millionths,
            retry_policy: retry_policy_name(table.retry_policy).into(),
        }
    }

    fn format_version(&self, version: u64) -> String {
        format!("{}.{version}", self.epoch)
    }

    /// Encodes the changes since an earlier version.
    pub fn encode_delta(&self, version: u64, delta: &Delta) -> TablesResponse {
        let mut classes = BTreeMap::new();
        for (class, change) in &delta.changes {
            if let Some(name) = self.classes.get(*class) {
                classes.insert(name.clone(), self.encode_change(change));
            }
        }
        TablesResponse {
            version: self.format_version(version),
            digest: hex(&delta.digest),
            base: Some(hex(&delta.base)),
            ownership_proof: None,
            classes,
        }
    }

    fn encode_change(&self, change: &TableChange) -> ClassUpdate {
        match change {
            TableChange::UseDefaultTable => ClassUpdate {
                use_default_table: true,
                entries: Vec::new(),
                removed: Vec::new(),
                admission_millionths: table_versions::MILLION,
                retry_policy: RETRY_NEVER.into(),
            },
            TableChange::Entries { changed, removed, admission_millionths, retry_policy } => ClassUpdate {
                use_default_table: false,
                entries: changed.iter().map(|entry| self.encode_changed_entry(entry)).collect(),
                removed: removed.iter().map(ReplicaId::to_string).collect(),
                admission_millionths: *admission_millionths,
                retry_policy: retry_policy_name(*retry_policy).into(),
            },
        }
    }

    fn encode_changed_entry(&self, entry: &ChangedEntry) -> TableEntry {
        TableEntry {
            replica: entry.replica.to_string(),
            weight: entry.weight,
            address: entry.location.as_ref().map(|(address, _)| address.to_string()),
            zone: entry.location.as_ref().map(|(_, zone)| self.zone_name(*zone)),
        }
    }

    /// Decodes complete tables or a delta.
    ///
    /// # Errors
    /// A name is unknown, an entry is incomplete, or complete tables do not match their digest.
    pub fn decode_tables(&self, tables: &TablesResponse) -> Result<DecodedTables, InvalidMessageError> {
        let mut changes = BTreeMap::new();
        for (name, update) in &tables.classes {
            changes.insert(self.parse_class(name)?, self.decode_update(update)?);
        }
        let digest = parse_digest(&tables.digest)?;
        if let Some(base) = &tables.base {
            return Ok(DecodedTables::Delta(Delta { base: parse_digest(base)?, digest, changes }));
        }
        let state = self.complete_state(changes)?;
        if state.digest() != digest {
            let reason = "is not that of the tables beside it";
            return Err(InvalidMessageError::field("digest", reason));
        }
        Ok(DecodedTables::Complete(state))
    }

    fn decode_update(&self, update: &ClassUpdate) -> Result<TableChange, InvalidMessageError> {
        if update.use_default_table {
            return Ok(TableChange::UseDefaultTable);
        }
        let mut changed = Vec::new();
        for entry in &update.entries {
            let zone = entry.zone.as_ref().map(|zone| self.parse_zone(zone)).transpose()?;
            let address = entry.address.as_deref().map(Into::into);
            changed.push(ChangedEntry {
                replica: entry.replica.as_str().into(),
                weight: entry.weight,
                location: address.zip(zone),
            });
        }
        Ok(TableChange::Entries {
            changed,
            removed: update.removed.iter().map(|replica| replica.as_str().into()).collect(),
            admission_millionths: update.admission_millionths,
            retry_policy: parse_retry_policy(&update.retry_policy)?,
        })
    }

    /// The state that results from applying changes to an empty state.
    fn complete_state(
        &self,
        changes: BTreeMap<usize, TableChange>,
    ) -> Result<PublishedState, InvalidMessageError> {
        let mut state = PublishedState { classes: vec![None; self.classes.len()] };
        for (class, change) in changes {
            let TableChange::Entries { changed, admission_millionths, retry_policy, .. } = change else {
                continue;
            };
            let mut entries = BTreeMap::new();
            for entry in changed {
                let missing = || InvalidMessageError::field("lines", "an address is missing");
                let (address, zone) = entry.location.ok_or_else(missing)?;
                entries.insert(entry.replica, PublishedEntry { address, zone, weight: entry.weight });
            }
            state.classes[class] = Some(PublishedTable { entries, admission_millionths, retry_policy });
        }
        Ok(state)
    }
}
