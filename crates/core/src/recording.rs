//! Recordings: what a governor knew at one moment, as far as the guard needs it to judge tables. A recording
//! is taken from a running governor and kept in a file. Candidate tables are checked against it in a dry run,
//! which takes no effect anywhere.
//!
//! Ages are kept instead of times, because a recording is read under another clock.
//!
//! | file | contents |
//! | --- | --- |
//! | this one | the stored types, under their stored names |
//! | `validation` | whether a recording is complete and its values are possible |
//! | `dry_run` | checks of candidate tables against a recording |

mod dry_run;
mod validation;

pub use dry_run::{CandidateError, CandidateTable, DryRun, DryRunRefusal};
pub use validation::RecordingError;

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use wrenthread::types::Phase;

use crate::guard::GuardLimits;

/// The version of the recording format that this release writes, and the only one that it reads.
pub const FORMAT_VERSION: u32 = 1;
/// The present time in a dry run, on a clock of its own. It is not 0, so that replicas can have started
/// before it.
const NOW: Duration = Duration::from_secs(10 * 86_400);

/// What a governor knew at one moment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Recording")]
pub struct Recording {
    /// The format version, as [`FORMAT_VERSION`].
    pub form: u32,
    /// The governor's name.
    pub governor: String,
    /// When it was taken, as Unix time in seconds.
    pub taken_at: f64,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the traffic classes.
    pub groups: Vec<String>,
    /// The parameters of the guard.
    pub limits: RecordedLimits,
    /// The replicas of the roster.
    pub replicas: Vec<RecordedReplica>,
    /// The connected proxies.
    pub proxies: Vec<RecordedProxy>,
    /// Recent throughput of replicas.
    #[serde(rename = "seen")]
    pub throughput: Vec<RecordedThroughput>,
}

/// [`GuardLimits`] under their stored names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Bounds")]
pub struct RecordedLimits {
    /// As [`GuardLimits::initial_capacity_fraction`].
    #[serde(rename = "cold_share")]
    pub initial_capacity_fraction: f64,
    /// As [`GuardLimits::slow_start_duration`], in seconds.
    #[serde(rename = "warm_after_s")]
    pub slow_start_seconds: f64,
    /// As [`GuardLimits::proxy_count`].
    #[serde(rename = "proxies")]
    pub proxy_count: usize,
    /// As [`GuardLimits::max_entries`].
    #[serde(rename = "lines_most")]
    pub max_entries: f64,
    /// As [`GuardLimits::same_zone_only`].
    #[serde(rename = "own_zone")]
    pub same_zone_only: Vec<bool>,
    /// As [`GuardLimits::not_idempotent`].
    #[serde(rename = "once_only")]
    pub not_idempotent: Vec<bool>,
}

/// [`Phase`] under its stored names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedPhase {
    /// As [`Phase::Ready`].
    Ready,
    /// As [`Phase::Draining`].
    Draining,
    /// As [`Phase::Gone`].
    Gone,
}

/// A replica of the roster.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Replica")]
pub struct RecordedReplica {
    /// Its name.
    pub id: Arc<str>,
    /// The address at which proxies reach it.
    pub address: Arc<str>,
    /// The index of its zone in the recording.
    pub zone: usize,
    /// Its weight in the roster.
    pub weight: f64,
    /// Its phase in the roster.
    pub phase: RecordedPhase,
    /// How long ago it started; none for long ago.
    #[serde(rename = "age_s")]
    pub age_seconds: Option<f64>,
    /// Whether it was ejected by the module or excluded by an operator.
    pub out: bool,
}

/// A connected proxy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Held")]
pub struct RecordedProxy {
    /// Its name.
    pub name: Arc<str>,
    /// The index of its zone in the recording.
    pub zone: usize,
    /// Replicas and weights of its default table.
    #[serde(rename = "standing")]
    pub default_table: Vec<(Arc<str>, f64)>,
    /// Its tables, in the order of the recording's traffic classes.
    #[serde(rename = "groups")]
    pub classes: Vec<RecordedTable>,
}

/// The table that a proxy held for a traffic class, and its demand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct HeldTable")]
pub struct RecordedTable {
    /// Demand in requests per second, by the guard's ledger.
    #[serde(rename = "flows")]
    pub requests_per_second: f64,
    /// The fraction of requests that was admitted.
    #[serde(rename = "level")]
    pub admission_fraction: f64,
    /// The table's entries; none if no table was published.
    #[serde(rename = "lines")]
    pub entries: Option<Vec<RecordedEntry>>,
}

/// One entry of a table, stored as a tuple in this order.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedEntry {
    /// The replica's name.
    pub replica: Arc<str>,
    /// Its weight.
    pub weight: f64,
    /// Whether the replica could get requests.
    pub routable: bool,
}

impl Serialize for RecordedEntry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.replica, self.weight, self.routable).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for RecordedEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (replica, weight, routable) = Deserialize::deserialize(deserializer)?;
        Ok(RecordedEntry { replica, weight, routable })
    }
}

/// Recent throughput of a replica for the proxies of a zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Seen")]
pub struct RecordedThroughput {
    /// The replica's name.
    pub replica: Arc<str>,
    /// The proxies' zone.
    pub zone: usize,
    /// Peak throughput in requests per second, already decayed with age.
    #[serde(rename = "per_s")]
    pub per_second: f64,
}

impl From<&GuardLimits> for RecordedLimits {
    fn from(limits: &GuardLimits) -> Self {
        RecordedLimits {
            initial_capacity_fraction: limits.initial_capacity_fraction,
            slow_start_seconds: limits.slow_start_duration.as_secs_f64(),
            proxy_count: limits.proxy_count,
            max_entries: limits.max_entries,
            same_zone_only: limits.same_zone_only.clone(),
            not_idempotent: limits.not_idempotent.clone(),
        }
    }
}

impl From<&RecordedLimits> for GuardLimits {
    fn from(limits: &RecordedLimits) -> Self {
        GuardLimits {
            initial_capacity_fraction: limits.initial_capacity_fraction,
            slow_start_duration: span(limits.slow_start_seconds),
            proxy_count: limits.proxy_count,
            max_entries: limits.max_entries,
            same_zone_only: limits.same_zone_only.clone(),
            not_idempotent: limits.not_idempotent.clone(),
        }
    }
}

impl From<Phase> for RecordedPhase {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Ready => RecordedPhase::Ready,
            Phase::Draining => RecordedPhase::Draining,
            Phase::Gone => RecordedPhase::Gone,
        }
    }
}

impl From<RecordedPhase> for Phase {
    fn from(phase: RecordedPhase) -> Self {
        match phase {
            RecordedPhase::Ready => Phase::Ready,
            RecordedPhase::Draining => Phase::Draining,
            RecordedPhase::Gone => Phase::Gone,
        }
    }
}

/// Seconds as a duration, limited to [`NOW`], since a dry run's clock can't express an earlier time.
fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(NOW).min(NOW)
}

#[cfg(test)]
mod tests;
