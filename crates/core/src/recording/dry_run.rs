//! Dry runs: checks candidate tables against a recording as the guard would check them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{ProxyId, ReplicaId};

use crate::guard::{Guard, ProposedTable, Refusal, ShiftLimit};
use crate::roster::{Roster, RosterEntry};
use crate::tables::{ResolvedEntry, Table};

use super::{NOW, RecordedEntry, RecordedProxy, RecordedReplica, Recording, RecordingError, span};

/// A table to check.
#[derive(Debug, Clone, PartialEq)]
pub struct CandidateTable {
    /// The proxy's name.
    pub proxy: Arc<str>,
    /// The index of the traffic class in the recording.
    pub class: usize,
    /// Replicas and weights.
    pub entries: Vec<(ReplicaId, f64)>,
    /// The fraction of requests to admit.
    pub admission_fraction: f64,
}

/// Why a candidate table can't be checked.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum CandidateError {
    /// The recording has no proxy of this name.
    #[error("no proxy `{0}` is joined there")]
    UnknownProxy(Arc<str>),
    /// The recording has no traffic class with this index.
    #[error("group index {0} is out of range")]
    UnknownClass(usize),
    /// There are two candidate tables for the same proxy and traffic class.
    #[error("proxy `{0}` has two candidate tables for the same group")]
    DuplicateTable(Arc<str>),
}

/// The result of a dry run.
#[derive(Debug, Clone, PartialEq)]
pub struct DryRun {
    /// The tables that would be published, in the order of the candidates.
    pub tables: Vec<Table>,
    /// What the guard refused.
    pub refusals: Vec<DryRunRefusal>,
}

/// A refusal, with the proxy's name.
#[derive(Debug, Clone, PartialEq)]
pub struct DryRunRefusal {
    /// The proxy's name; none if the refusal does not concern a single proxy.
    pub proxy: Option<Arc<str>>,
    /// What was refused, and why.
    pub refusal: Refusal,
}

/// Tables that proxies held, by proxy and traffic class.
type HeldTables = BTreeMap<(ProxyId, usize), Table>;

impl Recording {
    /// Checks the candidate tables as one change against the state in the recording. The inner error is for a
    /// candidate that can't be checked.
    ///
    /// A replica that is not in the recording is treated as gone.
    ///
    /// # Errors
    /// The recording is invalid.
    pub fn check_candidates(
        &self,
        wanted: &[CandidateTable],
    ) -> Result<Result<DryRun, CandidateError>, RecordingError> {
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

    /// Proxies with their indices in the recording, which serve as their ids.
    fn numbered_proxies(&self) -> impl Iterator<Item = (ProxyId, &RecordedProxy)> {
        self.proxies.iter().enumerate().map(|(index, proxy)| (index as ProxyId, proxy))
    }

    /// Loads the recorded state into the guard, and returns the tables that proxies held.
    fn load_guard(&self, guard: &mut Guard, roster: &Roster) -> HeldTables {
        for observed in &self.throughput {
            guard.restore_throughput(NOW, &observed.replica, observed.zone, observed.per_second);
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
        let mut seen = BTreeSet::new();
        let mut changes = Vec::new();
        for candidate in wanted {
            let Some(id) = ids.get(&*candidate.proxy).copied() else {
                return Err(CandidateError::UnknownProxy(candidate.proxy.clone()));
            };
            let class = candidate.class;
            if class >= self.groups.len() {
                return Err(CandidateError::UnknownClass(class));
            }
            if !seen.insert((id, class)) {
                return Err(CandidateError::DuplicateTable(candidate.proxy.clone()));
            }
            let proxy = &self.proxies[usize::from(id)];
            let entry =
                |(replica, weight): &(ReplicaId, f64)| resolved(roster, proxy.zone, replica, *weight, true);
            let mut entries: Vec<ResolvedEntry> = candidate.entries.iter().map(entry).collect();
            entries.sort_by(|a, b| a.replica.cmp(&b.replica));
            changes.push(ProposedTable {
                proxy: id,
                zone: proxy.zone,
                class,
                held: held.get(&(id, class)),
                default_table: &proxy.default_table,
                wanted: Table { entries, admission_fraction: candidate.admission_fraction },
            });
        }
        Ok(changes)
    }
}

/// An entry with the address and zone of its replica by the roster. A replica that is not on the roster gets
/// the proxy's zone.
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
