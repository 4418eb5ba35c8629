//! A recording: what a governor knew at one moment, as far as the guard judges by it. It is taken from a running
//! one, kept in a file, and tables are tried against it. Nothing that is tried takes effect anywhere.
//!
//! Ages, not times, are kept: a recording is read on another clock.
//!
//! | file | what is in it |
//! | --- | --- |
//! | this one | the stored types, under their stored names |
//! | `validation` | whether a recording is complete and can be meant |
//! | `dry_run` | tables tried against one |

mod dry_run;
mod validation;

pub use dry_run::{CandidateError, CandidateTable, DryRun, DryRunRefusal};
pub use validation::RecordingError;

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use wrenthread::types::Phase;

use crate::guard::GuardLimits;

/// The form of recordings that this version writes, and the only one that it reads.
pub const FORM: u32 = 1;
/// The moment of a dry run, on a clock of its own: replicas may have started before it.
const NOW: Duration = Duration::from_secs(10 * 86_400);

/// What a governor knew at one moment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Recording")]
pub struct Recording {
    /// As [`FORM`].
    pub form: u32,
    /// The governor's name.
    pub governor: String,
    /// Seconds of the calendar.
    pub taken_at: f64,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the traffic classes.
    pub groups: Vec<String>,
    /// What the guard was given.
    pub limits: RecordedLimits,
    /// Replicas that were known.
    pub replicas: Vec<RecordedReplica>,
    /// Proxies that were connected.
    pub proxies: Vec<RecordedProxy>,
    /// What replicas delivered lately.
    #[serde(rename = "seen")]
    pub throughput: Vec<RecordedThroughput>,
}

/// As [`GuardLimits`].
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

/// As [`Phase`], under its stored names.
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

/// A replica that was known.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Replica")]
pub struct RecordedReplica {
    /// Its name.
    pub id: Arc<str>,
    /// Where proxies reach it.
    pub address: Arc<str>,
    /// Its place in the recording's zones.
    pub zone: usize,
    /// Its weight in the roster.
    pub weight: f64,
    /// Its phase in the roster.
    pub phase: RecordedPhase,
    /// How long ago it started; none for long ago.
    #[serde(rename = "age_s")]
    pub age_seconds: Option<f64>,
    /// Ejected by the module, or excluded by operators.
    pub out: bool,
}

/// A proxy that was connected.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Held")]
pub struct RecordedProxy {
    /// Its name.
    pub name: Arc<str>,
    /// Its place in the recording's zones.
    pub zone: usize,
    /// Replicas and weights of its default table.
    #[serde(rename = "standing")]
    pub default_table: Vec<(Arc<str>, f64)>,
    /// In the order of the recording's traffic classes.
    #[serde(rename = "groups")]
    pub classes: Vec<RecordedTable>,
}

/// What a proxy held for a traffic class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct HeldTable")]
pub struct RecordedTable {
    /// By the guard's ledger.
    #[serde(rename = "flows")]
    pub requests_per_second: f64,
    /// The fraction of requests that was admitted.
    #[serde(rename = "level")]
    pub admission_fraction: f64,
    /// None where nothing was published.
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
    /// Whether it could be sent to.
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

/// What was delivered lately at a replica by the proxies of a zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Seen")]
pub struct RecordedThroughput {
    /// The replica's name.
    pub replica: Arc<str>,
    /// The proxies' zone.
    pub zone: usize,
    /// The most in a second, counting less with age already.
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

/// Seconds as a duration, at most as long ago as the clock of a dry run can tell.
fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(NOW).min(NOW)
}

#[cfg(test)]
mod tests;
