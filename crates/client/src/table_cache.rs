//! A proxy's table cache: the tables that its governor published last, or its default table; statistics for the next
//! report; and the addresses that it ejected.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::RetryPolicy;
use wrenthread_core::fencing::{FencingError, FencingState};
use wrenthread_core::table_versions::{
    self, Delta, Digest, MILLION, Mismatch, PublishedState, PublishedTable,
};

/// Limit of the remembered replicas; beyond it they are forgotten, and learnt again from the next tables.
const MAX_NAMES: usize = 100_000;

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
    /// Sum of the answer times of those that succeeded.
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
struct Lines {
    lines: Vec<(Arc<str>, f64)>,
    level: f64,
}

/// The table cache of one proxy. No I/O, no clock.
#[derive(Debug)]
pub struct TableCache {
    classes: Vec<String>,
    default_table: Vec<DefaultEntry>,
    told: Vec<Option<Lines>>,
    retry_policy: Vec<RetryPolicy>,
    /// Long poll: the state that deltas apply to.
    whole: PublishedState,
    held_version: Option<(String, Digest)>,
    /// Which governor is followed, and the ownership proof of the tables that are held.
    fence: FencingState,
    ownership_proof: Option<String>,
    /// Replicas by the addresses that tables named.
    names: BTreeMap<Arc<str>, String>,
    avoid: Option<(u32, Duration)>,
    failing: BTreeMap<Arc<str>, u32>,
    avoided: BTreeMap<Arc<str>, Duration>,
    stats: ReportCounters,
}

impl TableCache {
    /// `avoid`: after so many failures in a row an address is ejected for so long.
    pub fn new(groups: Vec<String>, standing: Vec<DefaultEntry>, avoid: Option<(u32, Duration)>) -> Self {
        let count = groups.len();
        TableCache {
            classes: groups,
            default_table: standing,
            told: vec![None; count],
            retry_policy: vec![RetryPolicy::Never; count],
            whole: PublishedState { classes: vec![None; count] },
            held_version: None,
            fence: FencingState::default(),
            ownership_proof: None,
            names: BTreeMap::new(),
            avoid,
            failing: BTreeMap::new(),
            avoided: BTreeMap::new(),
            stats: ReportCounters { replicas: BTreeMap::new(), rejected: vec![0; count] },
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

    /// From now on only this governor's tables are accepted.
    pub fn follow_governor(&mut self, governor: &str) {
        self.fence.follow(governor);
    }

    /// Checks whether tables of a governor's epoch and version may be applied, and keeps their ownership proof.
    ///
    /// # Errors
    /// They come from another governor, or are outdated.
    pub fn accept(
        &mut self,
        governor: &str,
        epoch: u64,
        version: u64,
        claim: Option<&str>,
    ) -> Result<(), FencingError> {
        self.fence.accept(governor, epoch, version)?;
        self.ownership_proof = claim.map(str::to_string);
        Ok(())
    }

    /// The ownership proof, for the governor that is joined next.
    pub fn ownership_proof(&self) -> Option<&str> {
        self.ownership_proof.as_deref()
    }

    // ---- tables

    /// The index of a group; none for an unknown one.
    pub fn class_index(&self, group: &str) -> Option<usize> {
        self.classes.iter().position(|known| known == group)
    }

    /// Sets a group's table and admission fraction. An unknown group is ignored.
    pub fn set_table(&mut self, group: &str, lines: Vec<(Arc<str>, f64)>, level: f64) {
        if let Some(place) = self.class_index(group) {
            self.told[place] = Some(Lines { lines, level });
        }
    }

    /// Removes a group's table: the default table is used again.
    pub fn use_default_table(&mut self, group: &str) {
        if let Some(place) = self.class_index(group) {
            self.told[place] = None;
        }
    }

    /// Sets the retry policy of a group.
    pub fn set_retry_policy(&mut self, group: &str, tries: RetryPolicy) {
        if let Some(place) = self.class_index(group) {
            self.retry_policy[place] = tries;
        }
    }

    /// The version and the digest of the state that is held, for the next long poll.
    pub fn held_version(&self) -> Option<&(String, Digest)> {
        self.held_version.as_ref()
    }

    /// Whether it holds anything but its default table: also where a delta did not apply and the next poll requests a
    /// snapshot.
    pub fn holds_governor_tables(&self) -> bool {
        self.told.iter().any(Option::is_some)
    }

    /// Sets a snapshot, which was validated already.
    pub fn set_state(&mut self, version: String, whole: PublishedState) {
        self.held_version = Some((version, whole.digest()));
        if self.names.len() > MAX_NAMES {
            self.names.clear();
        }
        for (id, line) in whole.classes.iter().flatten().flat_map(|said| &said.entries) {
            self.names.insert(line.address.clone(), id.to_string());
        }
        for (place, said) in whole.classes.iter().enumerate().take(self.told.len()) {
            self.told[place] = said.as_ref().map(|said| {
                let PublishedTable { entries: lines, admission_millionths: level, retry_policy: tries } =
                    said;
                self.retry_policy[place] = *tries;
                Lines {
                    lines: lines
                        .values()
                        .map(|line| (line.address.clone(), f64::from(line.weight)))
                        .collect(),
                    level: f64::from(*level) / f64::from(MILLION),
                }
            });
        }
        self.whole = whole;
    }

    /// Applies a delta, if it starts from the state that is held and results in the one that it names.
    ///
    /// # Errors
    /// It does not; the tables stay, and the next poll requests a snapshot.
    pub fn apply_delta(&mut self, version: String, delta: &Delta) -> Result<(), Mismatch> {
        let held = self.held_version.as_ref().map_or([0; 32], |(_, digest)| *digest);
        match table_versions::apply(&self.whole, held, delta) {
            Ok(whole) => {
                self.set_state(version, whole);
                Ok(())
            }
            Err(mismatch) => {
                self.held_version = None;
                Err(mismatch)
            }
        }
    }

    /// All tables that were received, for observers.
    pub fn updated_tables(&self) -> crate::UpdatedTables {
        let told = self.classes.iter().zip(&self.told);
        let told = told.filter_map(|(group, told)| Some((group, told.as_ref()?)));
        told.map(|(group, told)| (group.clone(), (told.lines.clone(), told.level))).collect()
    }

    /// The replica at an address. Replicas are remembered for as long as their attempts may be reported.
    pub fn replica_at(&self, at: &str) -> Option<String> {
        let standing = self.default_table.iter().find(|line| &*line.address == at);
        standing.map(|line| line.replica.clone()).or_else(|| self.names.get(at).cloned())
    }

    // ---- requests

    /// Picks the address for an attempt, by two random numbers from 0 up to 1. `but`: the address of the attempt before,
    /// which is excluded. None: the request is rejected, by the admission fraction or for want of an entry; it is counted
    /// if this is its first attempt.
    pub fn pick(
        &mut self,
        now: Duration,
        group: usize,
        chance: (f64, f64),
        but: Option<&Arc<str>>,
    ) -> Option<Arc<str>> {
        self.avoided.retain(|_, until| now < *until);
        let told = self.told.get(group)?.as_ref();
        let level = told.map_or(1.0, |told| told.level);
        let standing = || self.default_table.iter().map(|line| (&line.address, line.weight)).collect();
        let lines: Vec<(&Arc<str>, f64)> =
            told.map_or_else(standing, |told| told.lines.iter().map(|(at, weight)| (at, *weight)).collect());
        let picked = (but.is_some() || chance.0 < level).then(|| {
            let elsewhere = lines.iter().filter(|(at, _)| Some(*at) != but);
            let near: Vec<_> = elsewhere.clone().filter(|(at, _)| !self.avoided.contains_key(*at)).collect();
            // Where all are ejected, one that fails is better than none.
            let open: Vec<_> = if near.is_empty() { elsewhere.collect() } else { near };
            let mut left = chance.1 * open.iter().map(|(_, weight)| weight).sum::<f64>();
            let passed = |(_, weight): &&&(&Arc<str>, f64)| {
                left -= weight;
                left < 0.0
            };
            open.iter().find(passed).or(open.last()).map(|(at, _)| (*at).clone())
        });
        let picked = picked.flatten();
        if picked.is_none() && but.is_none() {
            self.stats.rejected[group] += 1;
        }
        picked
    }

    /// The retry policy of a group.
    pub fn retry_policy(&self, group: usize) -> RetryPolicy {
        self.retry_policy.get(group).copied().unwrap_or_default()
    }

    /// Counts a request that was rejected before any attempt by other than [`TableCache::pick`].
    pub fn request_rejected(&mut self, group: usize) {
        if let Some(blocked) = self.stats.rejected.get_mut(group) {
            *blocked += 1;
        }
    }

    /// An attempt starts.
    pub fn attempt_started(&mut self, group: usize, at: &Arc<str>) {
        self.stats.replicas.entry((group, at.clone())).or_default().attempts += 1;
    }

    /// An attempt ended.
    pub fn attempt_ended(&mut self, now: Duration, group: usize, at: &Arc<str>, outcome: Outcome) {
        let met = self.stats.replicas.entry((group, at.clone())).or_default();
        match outcome {
            Outcome::Succeeded { latency: took, load } => {
                met.succeeded += 1;
                met.latency_sum += took;
                met.load.resize(load.len(), 0.0);
                met.load.iter_mut().zip(load).for_each(|(sum, one)| *sum += one);
                self.failing.remove(at);
            }
            Outcome::Failed => {
                met.failed += 1;
                let Some((most, span)) = self.avoid else { return };
                let in_a_row = self.failing.entry(at.clone()).or_default();
                *in_a_row += 1;
                if *in_a_row >= most {
                    self.failing.remove(at);
                    self.avoided.insert(at.clone(), now + span);
                }
            }
        }
    }

    /// Takes the statistics since the last time.
    pub fn take_counters(&mut self) -> ReportCounters {
        let blocked = vec![0; self.classes.len()];
        std::mem::replace(&mut self.stats, ReportCounters { replicas: BTreeMap::new(), rejected: blocked })
    }
}

#[cfg(test)]
mod tests;
