//! A proxy's table cache: the last tables that its governor published, or its default table; statistics for the next
//! report; and ejected addresses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::RetryPolicy;
use wrenthread_core::fencing::{FencingError, FencingState};
use wrenthread_core::table_versions::{
    self, Delta, Digest, MILLION, Mismatch, PublishedState, PublishedTable,
};

/// Maximum number of remembered replicas. Beyond it all are forgotten, and learnt again from the next tables.
const MAX_KNOWN_REPLICAS: usize = 100_000;

/// An entry of the default table.
#[derive(Debug, Clone, PartialEq)]
pub struct DefaultEntry {
    /// The replica's name.
    pub replica: String,
    /// Its address.
    pub address: Arc<str>,
    /// Its weight, relative to the other entries.
    pub weight: f64,
}

/// Statistics of the attempts at one address since the last report.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReplicaCounters {
    /// Attempts that were started.
    pub attempts: u64,
    /// Attempts that succeeded.
    pub succeeded: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Sum of the answer times of successful attempts.
    pub latency_sum: Duration,
    /// Sum of the load metrics over the successful attempts that reported them.
    pub load: Vec<f64>,
}

/// Statistics for one report.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReportCounters {
    /// By group index and address.
    pub replicas: BTreeMap<(usize, Arc<str>), ReplicaCounters>,
    /// By group: requests that were rejected before any attempt.
    pub rejected: Vec<u64>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome<'a> {
    /// It succeeded.
    Succeeded {
        /// How long it took.
        latency: Duration,
        /// The load metrics that the replica reported, in the order of their names.
        load: &'a [f64],
    },
    /// It failed.
    Failed,
}

#[derive(Debug, Clone, Default, PartialEq)]
struct CachedTable {
    entries: Vec<(Arc<str>, f64)>,
    admission_fraction: f64,
}

/// The table cache of one proxy. It does no I/O and reads no clock.
#[derive(Debug)]
pub struct TableCache {
    classes: Vec<String>,
    default_table: Vec<DefaultEntry>,
    tables: Vec<Option<CachedTable>>,
    retry_policy: Vec<RetryPolicy>,
    /// Long poll: the state that deltas apply to.
    state: PublishedState,
    held_version: Option<(String, Digest)>,
    /// Which governor is followed, and in which version.
    fencing: FencingState,
    ownership_proof: Option<String>,
    /// Replicas by address, from the tables.
    replica_by_address: BTreeMap<Arc<str>, String>,
    ejection: Option<(u32, Duration)>,
    consecutive_failures: BTreeMap<Arc<str>, u32>,
    ejected_until: BTreeMap<Arc<str>, Duration>,
    counters: ReportCounters,
}

impl TableCache {
    /// `ejection`: the number of consecutive failures after which an address is ejected, and for how long.
    pub fn new(
        groups: Vec<String>,
        default_entries: Vec<DefaultEntry>,
        ejection: Option<(u32, Duration)>,
    ) -> Self {
        let count = groups.len();
        TableCache {
            classes: groups,
            default_table: default_entries,
            tables: vec![None; count],
            retry_policy: vec![RetryPolicy::Never; count],
            state: PublishedState { classes: vec![None; count] },
            held_version: None,
            fencing: FencingState::default(),
            ownership_proof: None,
            replica_by_address: BTreeMap::new(),
            ejection,
            consecutive_failures: BTreeMap::new(),
            ejected_until: BTreeMap::new(),
            counters: ReportCounters { replicas: BTreeMap::new(), rejected: vec![0; count] },
        }
    }

    /// The names of the groups, in order.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The default table.
    pub fn default_table(&self) -> &[DefaultEntry] {
        &self.default_table
    }

    // ---- ownership

    /// Accepts only this governor's tables from now on.
    pub fn follow_governor(&mut self, governor: &str) {
        self.fencing.follow(governor);
    }

    /// Checks whether tables of a governor's epoch and version may be applied, and keeps their ownership proof.
    ///
    /// # Errors
    /// The tables come from another governor, or are outdated.
    pub fn accept(
        &mut self,
        governor: &str,
        epoch: u64,
        version: u64,
        ownership_proof: Option<&str>,
    ) -> Result<(), FencingError> {
        self.fencing.accept(governor, epoch, version)?;
        self.ownership_proof = ownership_proof.map(str::to_string);
        Ok(())
    }

    /// The ownership proof of the cached tables, for the governor that is joined next.
    pub fn ownership_proof(&self) -> Option<&str> {
        self.ownership_proof.as_deref()
    }

    // ---- tables

    /// The index of a group; none if it is unknown.
    pub fn class_index(&self, group: &str) -> Option<usize> {
        self.classes.iter().position(|known| known == group)
    }

    /// Sets a group's table and admission fraction. An unknown group is ignored.
    pub fn set_table(&mut self, group: &str, entries: Vec<(Arc<str>, f64)>, admission_fraction: f64) {
        if let Some(index) = self.class_index(group) {
            self.tables[index] = Some(CachedTable { entries, admission_fraction });
        }
    }

    /// Removes a group's table, so that the default table is used again.
    pub fn use_default_table(&mut self, group: &str) {
        if let Some(index) = self.class_index(group) {
            self.tables[index] = None;
        }
    }

    /// Sets the retry policy of a group.
    pub fn set_retry_policy(&mut self, group: &str, retry_policy: RetryPolicy) {
        if let Some(index) = self.class_index(group) {
            self.retry_policy[index] = retry_policy;
        }
    }

    /// The version and the digest of the state that is held, for the next long poll.
    pub fn held_version(&self) -> Option<&(String, Digest)> {
        self.held_version.as_ref()
    }

    /// Whether it holds any table besides the default table. This stays true if a delta did not apply and the next poll
    /// requests a snapshot.
    pub fn holds_governor_tables(&self) -> bool {
        self.tables.iter().any(Option::is_some)
    }

    /// Applies a snapshot, which must be valid.
    pub fn set_state(&mut self, version: String, state: PublishedState) {
        self.held_version = Some((version, state.digest()));
        if self.replica_by_address.len() > MAX_KNOWN_REPLICAS {
            self.replica_by_address.clear();
        }
        for (id, entry) in state.classes.iter().flatten().flat_map(|table| &table.entries) {
            self.replica_by_address.insert(entry.address.clone(), id.to_string());
        }
        for (index, table) in state.classes.iter().enumerate().take(self.tables.len()) {
            self.tables[index] = table.as_ref().map(|table| {
                let PublishedTable {
                    entries: published,
                    admission_millionths: millionths,
                    retry_policy: policy,
                } = table;
                self.retry_policy[index] = *policy;
                CachedTable {
                    entries: published
                        .values()
                        .map(|entry| (entry.address.clone(), f64::from(entry.weight)))
                        .collect(),
                    admission_fraction: f64::from(*millionths) / f64::from(MILLION),
                }
            });
        }
        self.state = state;
    }

    /// Applies a delta, if it starts from the state that is held and results in the one that it names.
    ///
    /// # Errors
    /// The delta does not apply; the tables are kept, and the next poll requests a snapshot.
    pub fn apply_delta(&mut self, version: String, delta: &Delta) -> Result<(), Mismatch> {
        let held_digest = self.held_version.as_ref().map_or([0; 32], |(_, digest)| *digest);
        match table_versions::apply(&self.state, held_digest, delta) {
            Ok(state) => {
                self.set_state(version, state);
                Ok(())
            }
            Err(mismatch) => {
                self.held_version = None;
                Err(mismatch)
            }
        }
    }

    /// All published tables that are held, for observers.
    pub fn updated_tables(&self) -> crate::UpdatedTables {
        let tables = self.classes.iter().zip(&self.tables);
        let tables = tables.filter_map(|(group, table)| Some((group, table.as_ref()?)));
        tables
            .map(|(group, table)| (group.clone(), (table.entries.clone(), table.admission_fraction)))
            .collect()
    }

    /// The replica at an address. Replicas are remembered after they leave the tables, as their attempts may still be
    /// reported.
    pub fn replica_at(&self, address: &str) -> Option<String> {
        let default_entry = self.default_table.iter().find(|entry| &*entry.address == address);
        default_entry
            .map(|entry| entry.replica.clone())
            .or_else(|| self.replica_by_address.get(address).cloned())
    }

    // ---- requests

    /// Picks the address for an attempt, by two random numbers from 0 (included) to 1 (excluded). `excluded` is the
    /// address of the previous attempt. None: the request is rejected, by the admission fraction or because no entry
    /// is available; it is counted if this is its first attempt.
    pub fn pick(
        &mut self,
        now: Duration,
        group: usize,
        random: (f64, f64),
        excluded: Option<&Arc<str>>,
    ) -> Option<Arc<str>> {
        self.ejected_until.retain(|_, until| now < *until);
        let table = self.tables.get(group)?.as_ref();
        let admission_fraction = table.map_or(1.0, |table| table.admission_fraction);
        let default_entries =
            || self.default_table.iter().map(|entry| (&entry.address, entry.weight)).collect();
        let entries: Vec<(&Arc<str>, f64)> = table.map_or_else(default_entries, |table| {
            table.entries.iter().map(|(address, weight)| (address, *weight)).collect()
        });
        let picked = (excluded.is_some() || random.0 < admission_fraction).then(|| {
            let candidates = entries.iter().filter(|(address, _)| Some(*address) != excluded);
            let not_ejected: Vec<_> = candidates
                .clone()
                .filter(|(address, _)| !self.ejected_until.contains_key(*address))
                .collect();
            // If all are ejected, an address that fails is better than none.
            let eligible: Vec<_> = if not_ejected.is_empty() { candidates.collect() } else { not_ejected };
            let mut remaining = random.1 * eligible.iter().map(|(_, weight)| weight).sum::<f64>();
            let reached = |(_, weight): &&&(&Arc<str>, f64)| {
                remaining -= weight;
                remaining < 0.0
            };
            eligible.iter().find(reached).or(eligible.last()).map(|(address, _)| (*address).clone())
        });
        let picked = picked.flatten();
        if picked.is_none() && excluded.is_none() {
            self.counters.rejected[group] += 1;
        }
        picked
    }

    /// The retry policy of a group.
    pub fn retry_policy(&self, group: usize) -> RetryPolicy {
        self.retry_policy.get(group).copied().unwrap_or_default()
    }

    /// Counts a request that was rejected before any attempt, other than by [`TableCache::pick`].
    pub fn request_rejected(&mut self, group: usize) {
        if let Some(rejected) = self.counters.rejected.get_mut(group) {
            *rejected += 1;
        }
    }

    /// Counts the start of an attempt.
    pub fn attempt_started(&mut self, group: usize, address: &Arc<str>) {
        self.counters.replicas.entry((group, address.clone())).or_default().attempts += 1;
    }

    /// Counts the outcome of an attempt, and ejects the address after too many consecutive failures.
    pub fn attempt_ended(&mut self, now: Duration, group: usize, address: &Arc<str>, outcome: Outcome) {
        let replica = self.counters.replicas.entry((group, address.clone())).or_default();
        match outcome {
            Outcome::Succeeded { latency: answer_time, load } => {
                replica.succeeded += 1;
                replica.latency_sum += answer_time;
                replica.load.resize(load.len(), 0.0);
                replica.load.iter_mut().zip(load).for_each(|(sum, value)| *sum += value);
                self.consecutive_failures.remove(address);
            }
            Outcome::Failed => {
                replica.failed += 1;
                let Some((max_failures, ejection_time)) = self.ejection else { return };
                let failures = self.consecutive_failures.entry(address.clone()).or_default();
                *failures += 1;
                if *failures >= max_failures {
                    self.consecutive_failures.remove(address);
                    self.ejected_until.insert(address.clone(), now + ejection_time);
                }
            }
        }
    }

    /// Returns the statistics since the last call, and resets them.
    pub fn take_counters(&mut self) -> ReportCounters {
        let no_rejections = vec![0; self.classes.len()];
        std::mem::replace(
            &mut self.counters,
            ReportCounters { replicas: BTreeMap::new(), rejected: no_rejections },
        )
    }
}

#[cfg(test)]
mod tests;
