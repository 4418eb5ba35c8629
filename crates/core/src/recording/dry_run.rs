//! Tables tried against a recording, as the guard would check them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{ProxyId, ReplicaId};

use crate::guard::{Guard, ProposedTable, Refusal, ShiftLimit};
use crate::roster::{Roster, RosterEntry};
use crate::tables::{ResolvedEntry, Table};

use super::{NOW, RecordedEntry, RecordedProxy, RecordedReplica, Recording, RecordingError, span};

/// A table to try.
#[derive(Debug, Clone, PartialEq)]
pub struct CandidateTable {
    /// The proxy's name.
    pub proxy: Arc<str>,
    /// The traffic class, by its place in the recording.
    pub group: usize,
    /// Replicas and weights.
    pub lines: Vec<(ReplicaId, f64)>,
    /// The fraction of requests to admit.
    pub level: f64,
}

/// Why a table can't be tried.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum CandidateError {
    /// The recording has no proxy of this name.
    #[error("no proxy `{0}` is joined there")]
    NoProxy(Arc<str>),
    /// The recording has no traffic class at this place.
    #[error("no group number {0} is there")]
    NoGroup(usize),
    /// Two tables for the same proxy and traffic class.
    #[error("two tables for the same group of `{0}`")]
    Twice(Arc<str>),
}

/// What would become of tables, and what of them would be refused.
#[derive(Debug, Clone, PartialEq)]
pub struct DryRun {
    /// In the order in which they were wanted.
    pub tables: Vec<Table>,
    /// What the guard refused.
    pub refusals: Vec<DryRunRefusal>,
}

/// One refusal, by the proxy's name.
#[derive(Debug, Clone, PartialEq)]
pub struct DryRunRefusal {
    /// None where it is about no one proxy.
    pub proxy: Option<Arc<str>>,
    /// What was refused, and why.
    pub refusal: Refusal,
}

/// Tables that proxies held, by proxy and traffic class.
type HeldTables = BTreeMap<(ProxyId, usize), Table>;

impl Recording {
    /// Checks tables as one change against what the recording holds. The inner error: one that can't be tried.
    ///
    /// A replica that the recording does not name is taken for one that is gone.
    ///
    /// # Errors
    /// A recording that can't be meant.
    pub fn would(&self, wanted: &[CandidateTable]) -> Result<Result<DryRun, CandidateError>, RecordingError> {
        self.validate()?;
        Ok(self.dry_run(wanted))
    }

    fn dry_run(&self, wanted: &[CandidateTable]) -> Result<DryRun, CandidateError> {
        let roster = self.roster();
        let mut guard = Guard::new((&self.limits).into());
        let held = self.load_guard(&mut guard, &roster);
        let changes = self.proposed_tables(wanted, &roster, &held)?;
        let out: BTreeSet<&Arc<str>> =
            self.replicas.iter().filter(|replica| replica.out).map(|replica| &replica.id).collect();
        let tables = guard.check(NOW, &roster, |id| out.contains(id), ShiftLimit::Limited, changes);
        let name = |id: ProxyId| self.proxies.get(usize::from(id)).map(|proxy| proxy.name.clone());
        let refused = |refusal: Refusal| DryRunRefusal { proxy: refusal.proxy.and_then(name), refusal };
        let refusals = std::iter::from_fn(|| guard.next_new_refusal()).map(refused).collect();
        Ok(DryRun { tables, refusals })
    }

    fn roster(&self) -> Roster {
        let entry = |replica: &RecordedReplica| RosterEntry {
            id: replica.id.clone(),
            address: replica.address.clone(),
            zone: replica.zone,
            weight: replica.weight,
            phase: replica.phase.into(),
            started_at: replica.age_seconds.map(|age| NOW - span(age)),
            backup: false,
        };
        let mut roster = Roster::new(Duration::ZERO);
        roster.update(NOW, self.replicas.iter().map(entry).collect());
        roster
    }

    /// Proxies are numbered by their places in the recording.
    fn numbered_proxies(&self) -> impl Iterator<Item = (ProxyId, &RecordedProxy)> {
        self.proxies.iter().enumerate().map(|(place, proxy)| (place as ProxyId, proxy))
    }

    /// Tells the guard what was known; what proxies held.
    fn load_guard(&self, guard: &mut Guard, roster: &Roster) -> HeldTables {
        for seen in &self.throughput {
            guard.restore_throughput(NOW, &seen.replica, seen.zone, seen.per_second);
        }
        let mut held = HeldTables::new();
        for (id, proxy) in self.numbered_proxies() {
            guard.proxy_connected(id, 0.0, &proxy.default_table);
            for (class, recorded) in proxy.classes.iter().enumerate() {
                let entry = |entry: &RecordedEntry| {
                    resolved(roster, proxy.zone, &entry.replica, entry.weight, entry.routable)
                };
                let table = recorded.entries.as_ref().map(|entries| Table {
                    entries: entries.iter().map(entry).collect(),
                    admission_fraction: recorded.admission_fraction,
                });
                guard.set_current_table(id, class, recorded.requests_per_second, table.as_ref());
                held.extend(table.map(|table| ((id, class), table)));
            }
        }
        held
    }

    fn proposed_tables<'a>(
        &'a self,
        wanted: &[CandidateTable],
        roster: &Roster,
        held: &'a HeldTables,
    ) -> Result<Vec<ProposedTable<'a>>, CandidateError> {
        let ids: BTreeMap<&str, ProxyId> =
            self.numbered_proxies().map(|(id, proxy)| (&*proxy.name, id)).collect();
        let mut places = BTreeSet::new();
        let mut changes = Vec::new();
        for candidate in wanted {
            let Some(id) = ids.get(&*candidate.proxy).copied() else {
                return Err(CandidateError::NoProxy(candidate.proxy.clone()));
            };
            let class = candidate.group;
            if class >= self.groups.len() {
                return Err(CandidateError::NoGroup(class));
            }
            if !places.insert((id, class)) {
                return Err(CandidateError::Twice(candidate.proxy.clone()));
            }
            let proxy = &self.proxies[usize::from(id)];
            let entry =
                |(replica, weight): &(ReplicaId, f64)| resolved(roster, proxy.zone, replica, *weight, true);
            let mut entries: Vec<ResolvedEntry> = candidate.lines.iter().map(entry).collect();
            entries.sort_by(|one, other| one.replica.cmp(&other.replica));
            changes.push(ProposedTable {
                proxy: id,
                zone: proxy.zone,
                class,
                held: held.get(&(id, class)),
                default_table: &proxy.default_table,
                wanted: Table { entries, admission_fraction: candidate.level },
            });
        }
        Ok(changes)
    }
}

/// An entry with what the roster knows of its replica; one that is not known is of the proxy's zone.
fn resolved(
    roster: &Roster,
    proxy_zone: usize,
    replica: &ReplicaId,
    weight: f64,
    routable: bool,
) -> ResolvedEntry {
    let known = roster.get(replica);
    ResolvedEntry {
        replica: replica.clone(),
        address: known.map_or_else(|| "".into(), |known| known.address.clone()),
        zone: known.map_or(proxy_zone, |known| known.zone),
        weight,
        routable,
    }
}
