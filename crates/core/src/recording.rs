//! What a governor knew at one moment, as far as the guard judges by it: taken from a running one, kept in a
//! file, and tables tried against it. Nothing that is tried takes effect anywhere.
//!
//! Ages, not times, are kept: a recording is read on another clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wrenthread::types::{Phase, ProxyId, ReplicaId};

use crate::guard::{Guard, GuardLimits, ProposedTable, Refusal, ShiftLimit};
use crate::roster::{Roster, RosterEntry};
use crate::tables::{ResolvedEntry, Table};

/// The form of recordings that this version writes, and the only one that it reads.
pub const FORM: u32 = 1;
/// More than this of proxies or replicas is no governor's recording.
const MOST: usize = 100_000;
/// The moment of a trial, on a clock of its own: replicas may have started before it.
const NOW: Duration = Duration::from_secs(10 * 86_400);

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recording {
    pub form: u32,
    pub governor: String,
    /// Seconds of the calendar.
    pub taken_at: f64,
    pub zones: Vec<String>,
    pub groups: Vec<String>,
    pub limits: RecordedLimits,
    pub replicas: Vec<RecordedReplica>,
    pub proxies: Vec<RecordedProxy>,
    pub seen: Vec<RecordedThroughput>,
}

/// As [`GuardLimits`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedLimits {
    pub cold_share: f64,
    pub warm_after_s: f64,
    pub proxies: usize,
    pub lines_most: f64,
    pub own_zone: Vec<bool>,
    pub once_only: Vec<bool>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedPhase {
    Ready,
    Draining,
    Gone,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedReplica {
    pub id: Arc<str>,
    pub address: Arc<str>,
    pub zone: usize,
    pub weight: f64,
    pub phase: RecordedPhase,
    /// How long ago it started; none for long ago.
    pub age_s: Option<f64>,
    /// Withdrawn by the module, or excluded by operators.
    pub out: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedProxy {
    pub name: Arc<str>,
    pub zone: usize,
    pub standing: Vec<(Arc<str>, f64)>,
    /// In the order of the recording's groups.
    pub groups: Vec<RecordedTable>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedTable {
    /// Flows a second, by the guard's account.
    pub flows: f64,
    pub level: f64,
    /// Replica, weight, and whether the line is open; none where nothing was told.
    pub lines: Option<Vec<(Arc<str>, f64, bool)>>,
}

/// What was delivered lately at a replica by the proxies of a zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedThroughput {
    pub replica: Arc<str>,
    pub zone: usize,
    /// The most in a second, counting less with age already.
    pub per_s: f64,
}

/// Why a recording can't be tried against.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum RecordingError {
    #[error("it is of form {0}, and this version reads form {FORM}")]
    Form(u32),
    #[error("it has more {0} than any governor's")]
    Size(&'static str),
    #[error("{0} `{1}` is in zone {2}, and there are {3}")]
    Zone(&'static str, Arc<str>, usize, usize),
    #[error("{0} `{1}` has `{2}`, which is not a number that it can be")]
    Number(&'static str, Arc<str>, f64),
    #[error("{0} `{1}` is named twice")]
    Twice(&'static str, Arc<str>),
    #[error("`{0}` has an entry for each of {1} groups, and there are {2}")]
    Groups(Arc<str>, usize, usize),
}

/// A table to try.
#[derive(Debug, Clone, PartialEq)]
pub struct CandidateTable {
    pub proxy: Arc<str>,
    pub group: usize,
    pub lines: Vec<(ReplicaId, f64)>,
    pub level: f64,
}

/// Why a table can't be tried.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum CandidateError {
    #[error("no proxy `{0}` is joined there")]
    NoProxy(Arc<str>),
    #[error("no group number {0} is there")]
    NoGroup(usize),
    #[error("two tables for the same group of `{0}`")]
    Twice(Arc<str>),
}

/// What would become of tables, and what of them would be refused.
#[derive(Debug, Clone, PartialEq)]
pub struct DryRun {
    /// In the order in which they were wanted.
    pub tables: Vec<Table>,
    pub refusals: Vec<DryRunRefusal>,
}

/// One refusal, by the proxy's name.
#[derive(Debug, Clone, PartialEq)]
pub struct DryRunRefusal {
    pub proxy: Option<Arc<str>>,
    pub refusal: Refusal,
}

impl From<&GuardLimits> for RecordedLimits {
    fn from(limits: &GuardLimits) -> Self {
        RecordedLimits {
            cold_share: limits.initial_capacity_fraction,
            warm_after_s: limits.slow_start_duration.as_secs_f64(),
            proxies: limits.proxy_count,
            lines_most: limits.max_entries,
            own_zone: limits.same_zone_only.clone(),
            once_only: limits.not_idempotent.clone(),
        }
    }
}

fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(NOW).min(NOW)
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

impl Recording {
    /// Whether it is whole and can be meant.
    fn fit(&self) -> Result<(), RecordingError> {
        if self.form != FORM {
            return Err(RecordingError::Form(self.form));
        }
        if self.replicas.len() > MOST {
            return Err(RecordingError::Size("replicas"));
        }
        if self.proxies.len() > usize::from(ProxyId::MAX) {
            return Err(RecordingError::Size("proxies"));
        }
        let groups = self.groups.len();
        let settings: Arc<str> = "limits".into();
        for given in [self.limits.own_zone.len(), self.limits.once_only.len()] {
            if given != groups || groups > 64 {
                return Err(RecordingError::Groups(settings, given, groups));
            }
        }
        let limits = [self.limits.cold_share, self.limits.warm_after_s, self.limits.lines_most];
        if let Some(odd) = limits.into_iter().find(|one| !(one.is_finite() && *one >= 0.0)) {
            return Err(RecordingError::Number("the recording's", settings, odd));
        }
        let zones = self.zones.len();
        let zone = |what, name: &Arc<str>, zone| match zone < zones {
            true => Ok(()),
            false => Err(RecordingError::Zone(what, name.clone(), zone, zones)),
        };
        let number = |what, name: &Arc<str>, number: f64| match number.is_finite() && number >= 0.0 {
            true => Ok(()),
            false => Err(RecordingError::Number(what, name.clone(), number)),
        };
        let mut known = BTreeSet::new();
        for replica in &self.replicas {
            zone("replica", &replica.id, replica.zone)?;
            number("replica", &replica.id, replica.weight)?;
            number("replica", &replica.id, replica.age_s.unwrap_or(0.0))?;
            if !known.insert(&replica.id) {
                return Err(RecordingError::Twice("replica", replica.id.clone()));
            }
        }
        let mut known = BTreeSet::new();
        for proxy in &self.proxies {
            zone("proxy", &proxy.name, proxy.zone)?;
            if proxy.groups.len() != groups {
                return Err(RecordingError::Groups(proxy.name.clone(), proxy.groups.len(), groups));
            }
            for group in &proxy.groups {
                number("proxy", &proxy.name, group.flows)?;
            }
            if !known.insert(&proxy.name) {
                return Err(RecordingError::Twice("proxy", proxy.name.clone()));
            }
        }
        self.seen.iter().try_for_each(|seen| number("replica", &seen.replica, seen.per_s))
    }

    /// Judges tables as one change against what the recording holds. `Err` within: one that can't be tried.
    ///
    /// A replica that the recording does not name is taken for one that is gone.
    ///
    /// Errors: a recording that can't be meant.
    pub fn would(&self, wanted: &[CandidateTable]) -> Result<Result<DryRun, CandidateError>, RecordingError> {
        self.fit()?;
        let mut roster = Roster::new(Duration::ZERO);
        let entry = |one: &RecordedReplica| RosterEntry {
            id: one.id.clone(),
            address: one.address.clone(),
            zone: one.zone,
            weight: one.weight,
            phase: match one.phase {
                RecordedPhase::Ready => Phase::Ready,
                RecordedPhase::Draining => Phase::Draining,
                RecordedPhase::Gone => Phase::Gone,
            },
            started_at: one.age_s.map(|age| NOW - span(age)),
            backup: false,
        };
        roster.update(NOW, self.replicas.iter().map(entry).collect());
        let out: BTreeSet<&Arc<str>> =
            self.replicas.iter().filter(|one| one.out).map(|one| &one.id).collect();
        let mut guard = Guard::new(GuardLimits {
            initial_capacity_fraction: self.limits.cold_share,
            slow_start_duration: span(self.limits.warm_after_s),
            proxy_count: self.limits.proxies,
            max_entries: self.limits.lines_most,
            same_zone_only: self.limits.own_zone.clone(),
            not_idempotent: self.limits.once_only.clone(),
        });
        for seen in &self.seen {
            guard.restore_throughput(NOW, &seen.replica, seen.zone, seen.per_s);
        }
        let line = |zone: usize, (replica, weight, open): (&Arc<str>, f64, bool)| {
            let known = roster.get(replica);
            ResolvedEntry {
                replica: replica.clone(),
                address: known.map_or_else(|| "".into(), |known| known.address.clone()),
                zone: known.map_or(zone, |known| known.zone),
                weight,
                routable: open,
            }
        };
        let mut held: BTreeMap<(usize, usize), Table> = BTreeMap::new();
        let mut numbers: BTreeMap<&str, usize> = BTreeMap::new();
        for (number, proxy) in self.proxies.iter().enumerate() {
            numbers.insert(&proxy.name, number);
            guard.proxy_connected(number as ProxyId, 0.0, &proxy.standing);
            for (group, told) in proxy.groups.iter().enumerate() {
                let lines = told.lines.as_ref().map(|lines| {
                    lines.iter().map(|(id, weight, open)| line(proxy.zone, (id, *weight, *open))).collect()
                });
                let table = lines.map(|lines| Table { entries: lines, admission_fraction: told.level });
                guard.set_current_table(number as ProxyId, group, told.flows, table.as_ref());
                held.extend(table.map(|table| ((number, group), table)));
            }
        }
        let (mut places, mut changes) = (BTreeSet::new(), Vec::new());
        for one in wanted {
            let Some(number) = numbers.get(&*one.proxy).copied() else {
                return Ok(Err(CandidateError::NoProxy(one.proxy.clone())));
            };
            if one.group >= self.groups.len() {
                return Ok(Err(CandidateError::NoGroup(one.group)));
            }
            if !places.insert((number, one.group)) {
                return Ok(Err(CandidateError::Twice(one.proxy.clone())));
            }
            let proxy = &self.proxies[number];
            let open = |(id, weight): &(ReplicaId, f64)| line(proxy.zone, (id, *weight, true));
            let mut table =
                Table { entries: one.lines.iter().map(open).collect(), admission_fraction: one.level };
            table.entries.sort_by(|one, other| one.replica.cmp(&other.replica));
            changes.push(ProposedTable {
                proxy: number as ProxyId,
                zone: proxy.zone,
                class: one.group,
                held: held.get(&(number, one.group)),
                default_table: &proxy.standing,
                wanted: table,
            });
        }
        let tables = guard.check(NOW, &roster, |id| out.contains(id), ShiftLimit::Limited, changes);
        let name = |number: ProxyId| self.proxies.get(usize::from(number)).map(|one| one.name.clone());
        let refused = |refusal: Refusal| DryRunRefusal { proxy: refusal.proxy.and_then(name), refusal };
        let refusals = std::iter::from_fn(|| guard.next_new_refusal()).map(refused).collect();
        Ok(Ok(DryRun { tables, refusals }))
    }
}

#[cfg(test)]
mod tests;
