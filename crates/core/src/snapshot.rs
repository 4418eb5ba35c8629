//! What a governor knows beyond its life, as entries by name; and how much of it counts when it comes back.
//!
//! Nothing that was known is taken for present truth. Each kind of knowledge counts half after its
//! half-life, and does something stated at the start (`docs/design/state.md`): demand is mixed with what a
//! proxy says; a replica that was withdrawn is met by as many dropped tries as its age leaves, and the
//! module judges; levels hold for some seconds; a proxy's tables are believed only if its own signed word
//! says that it holds them. What operators said ends when it would have.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wrenthread::types::{ReplicaId, RetryPolicy};

use crate::table_versions::{MILLION, PublishedEntry, PublishedTable};
use crate::tables::{ResolvedEntry, Table};

/// How long until knowledge counts half: of demand and of what was delivered; of withdrawals.
pub const DEMAND: Duration = Duration::from_secs(60);
pub const WITHDRAWN: Duration = Duration::from_secs(20);
/// A level that held holds for so long, unless the module speaks before; one older than that is forgotten.
pub const LEVELS: Duration = Duration::from_secs(10);
/// Tables that proxies held are forgotten after so long: they have been elsewhere, or on their own, since.
pub const TABLES: Duration = Duration::from_secs(600);
/// Where the calendar says that an entry is of the future, it was set back, and nobody knows how old the
/// entry is.
pub const UNKNOWN: Duration = Duration::from_secs(60);
/// What was delivered is told as that of so long: beside what drops all, the module has to see that others
/// do not.
pub const LAST: Duration = Duration::from_secs(2);
/// Dropped tries by which a withdrawal that has just been is told.
const TRIES: f64 = 20.0;
/// Fewer say nothing.
const LEAST_TRIES: u64 = 4;

/// One entry. Groups and zones are by their places in [`StoredItem::Names`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StoredItem {
    Names {
        governor: String,
        zones: Vec<String>,
        groups: Vec<String>,
    },
    /// All entries held until now, by seconds of the calendar.
    Alive {
        at: f64,
    },
    Proxy(StoredProxy),
    Replica(StoredReplica),
    Level {
        level: f64,
        tries: StoredRetryPolicy,
    },
    Override {
        weight: Option<f64>,
        until: f64,
        why: Arc<str>,
    },
    Hold(StoredFrozenTable),
}

/// A table that operators stepped back to or pinned, by proxy and group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredFrozenTable {
    pub version: u64,
    /// When it was told, and until when it holds, by the calendar.
    pub told_at: f64,
    pub until: f64,
    pub why: Arc<str>,
    /// Replica, address, zone and weight.
    pub lines: Vec<(Arc<str>, Arc<str>, usize, u32)>,
    /// In parts of a million.
    pub level: u32,
    pub tries: StoredRetryPolicy,
}

impl StoredFrozenTable {
    pub fn said(&self) -> PublishedTable {
        let line = |(replica, address, zone, weight): &(Arc<str>, Arc<str>, usize, u32)| {
            (replica.clone(), PublishedEntry { address: address.clone(), zone: *zone, weight: *weight })
        };
        PublishedTable {
            entries: self.lines.iter().map(line).collect(),
            admission_millionths: self.level,
            retry_policy: self.tries.into(),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredProxy {
    pub zone: usize,
    /// The life and the version in which it was told its tables last.
    pub epoch: u64,
    pub version: u64,
    /// It was bound to a table of the module's.
    pub own: bool,
    pub tables: Vec<Option<StoredTable>>,
    pub tries: Vec<StoredRetryPolicy>,
    /// Flows a second by group, in steps of a tenth.
    pub flows: Vec<f64>,
    /// How long it has not been joined, in seconds, over however many restarts.
    pub away: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredTable {
    pub level: f64,
    pub lines: Vec<StoredTableEntry>,
}

/// Replica, address, zone, weight, and whether it is open.
pub type StoredTableEntry = (Arc<str>, Arc<str>, usize, f64, bool);

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredReplica {
    pub withdrawn: bool,
    /// By zone: the most that was delivered a second lately, in steps of a tenth.
    pub seen: Vec<(usize, f64)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredRetryPolicy {
    Never,
    #[serde(rename = "IfNeverRan")]
    IfNotExecuted,
    Once,
}

impl From<RetryPolicy> for StoredRetryPolicy {
    fn from(tries: RetryPolicy) -> Self {
        match tries {
            RetryPolicy::Never => StoredRetryPolicy::Never,
            RetryPolicy::IfNotExecuted => StoredRetryPolicy::IfNotExecuted,
            RetryPolicy::OnAnyFailure => StoredRetryPolicy::Once,
        }
    }
}

impl From<StoredRetryPolicy> for RetryPolicy {
    fn from(tries: StoredRetryPolicy) -> Self {
        match tries {
            StoredRetryPolicy::Never => RetryPolicy::Never,
            StoredRetryPolicy::IfNotExecuted => RetryPolicy::IfNotExecuted,
            StoredRetryPolicy::Once => RetryPolicy::OnAnyFailure,
        }
    }
}

/// Entries by name. What does not change is shared with what was known before.
pub type StoredItems = BTreeMap<String, Arc<StoredItem>>;

/// Names of entries.
pub const NAMES: &str = "names";
pub const ALIVE: &str = "alive";

/// A figure in steps of a tenth: what moves a little all the time is not written all the time.
pub fn stepped(figure: f64) -> f64 {
    if !(figure > 1e-3 && figure.is_finite()) {
        return 0.0;
    }
    1.1f64.powf((figure.ln() / 1.1f64.ln()).round())
}

impl From<&Table> for StoredTable {
    fn from(table: &Table) -> Self {
        let line = |line: &ResolvedEntry| {
            (line.replica.clone(), line.address.clone(), line.zone, line.weight, line.routable)
        };
        StoredTable { level: table.admission_fraction, lines: table.entries.iter().map(line).collect() }
    }
}

impl From<StoredTable> for Table {
    fn from(held: StoredTable) -> Self {
        let line = |(replica, address, zone, weight, open)| ResolvedEntry {
            replica,
            address,
            zone,
            weight,
            routable: open,
        };
        Table { entries: held.lines.into_iter().map(line).collect(), admission_fraction: held.level }
    }
}

/// An entry that can't be meant, by its name: it is left out, and the rest counts.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    #[error("`{0}` is no entry that this version knows")]
    Unknown(String),
    #[error("`{0}` names a zone or a group that is not there")]
    Place(String),
    #[error("`{0}` has a figure that can't be")]
    Figure(String),
    #[error("the entries do not say whose they are; nothing of them is used")]
    Nameless,
    #[error("the entries are of governor `{0}`; nothing of them is used")]
    Another(String),
    #[error("zones or groups of the settings have changed; what is by zone and group is not used")]
    Changed,
}

/// What counts of what was known, at a start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RestoredState {
    /// How long ago it was known, as far as the calendar can tell.
    pub age: Duration,
    pub proxies: BTreeMap<Arc<str>, StoredProxy>,
    /// Replicas that were withdrawn, and the dropped tries that are left of that.
    pub withdrawn: BTreeMap<ReplicaId, u64>,
    /// Delivered a second, by replica and zone, counting less with age.
    pub seen: BTreeMap<(ReplicaId, usize), f64>,
    /// By group: levels, and for how long they still hold.
    pub levels: BTreeMap<usize, f64>,
    pub levels_for: Duration,
    /// By replica: nothing or a multiple, for how long, and why.
    pub overrides: BTreeMap<ReplicaId, (Option<f64>, Duration, Arc<str>)>,
    /// By proxy and group: how long ago it was told, how long it holds, and what it is.
    pub holds: BTreeMap<(Arc<str>, usize), (Duration, Duration, StoredFrozenTable)>,
}

/// How much of knowledge counts after a time.
pub fn counts(age: Duration, half_life: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// What is left of knowledge at a start, and what of it can't be meant. `calendar`: what time it is;
/// `names`: this governor's own.
pub fn recall(known: StoredItems, calendar: f64, names: &StoredItem) -> (RestoredState, Vec<RestoreError>) {
    let mut unfit = Vec::new();
    let none = |why| (RestoredState::default(), vec![why]);
    let own = |name: &str| known.get(name).map(|item| (**item).clone());
    let Some(StoredItem::Names { governor, zones, groups }) = own(NAMES) else {
        return none(RestoreError::Nameless);
    };
    let StoredItem::Names { governor: here, zones: our_zones, groups: ours } = names else {
        return none(RestoreError::Nameless);
    };
    // A folder that was copied for another governor is not this one's memory.
    if governor != *here {
        return none(RestoreError::Another(governor));
    }
    let same = zones == *our_zones && groups == *ours;
    if !same {
        unfit.push(RestoreError::Changed);
    }
    let Some(StoredItem::Alive { at: alive }) = own(ALIVE) else { return none(RestoreError::Nameless) };
    // A machine that slept has a calendar that went on; one whose calendar was set back can't tell.
    let age = if calendar >= alive {
        Duration::try_from_secs_f64(calendar - alive).unwrap_or(Duration::MAX)
    } else {
        UNKNOWN
    };
    let mut recalled =
        RestoredState { age, levels_for: LEVELS.saturating_sub(age), ..RestoredState::default() };
    let sound = |figure: f64| figure.is_finite() && (0.0..1e12).contains(&figure);
    for (name, item) in known {
        let (kind, of) = name.split_once('/').unwrap_or((name.as_str(), ""));
        match (kind, Arc::unwrap_or_clone(item)) {
            (NAMES | ALIVE, _) => {}
            ("proxy", StoredItem::Proxy(proxy)) => {
                let lines = proxy.tables.iter().flatten().flat_map(|held| &held.lines);
                let placed = proxy.zone < zones.len()
                    && proxy.tables.len() == groups.len()
                    && proxy.flows.len() == groups.len()
                    && proxy.tries.len() == groups.len()
                    && lines.clone().all(|(_, _, zone, ..)| *zone < zones.len());
                let levels = proxy.tables.iter().flatten().all(|held| (0.0..=1.0).contains(&held.level));
                let figures = levels
                    && sound(proxy.away)
                    && lines.clone().all(|(_, _, _, weight, _)| sound(*weight))
                    && proxy.flows.iter().all(|flows| sound(*flows));
                match (placed, figures) {
                    (false, _) => unfit.push(RestoreError::Place(name)),
                    (_, false) => unfit.push(RestoreError::Figure(name)),
                    _ if same && age.as_secs_f64() + proxy.away < TABLES.as_secs_f64() => {
                        recalled.proxies.insert(of.into(), proxy);
                    }
                    _ => {}
                }
            }
            ("replica", StoredItem::Replica(replica)) => {
                if !replica.seen.iter().all(|(_, per_s)| sound(*per_s)) {
                    unfit.push(RestoreError::Figure(name));
                    continue;
                }
                let id: ReplicaId = of.into();
                let tries = (TRIES * counts(age, WITHDRAWN)).round() as u64;
                if replica.withdrawn && tries >= LEAST_TRIES {
                    recalled.withdrawn.insert(id.clone(), tries);
                }
                let left = counts(age, DEMAND);
                let seen = replica.seen.into_iter().filter(|(zone, _)| same && *zone < zones.len());
                recalled.seen.extend(seen.map(|(zone, per_s)| ((id.clone(), zone), per_s * left)));
            }
            ("level", StoredItem::Level { level, .. }) => {
                match groups.iter().position(|group| *group == of) {
                    Some(_) if !(0.0..=1.0).contains(&level) => unfit.push(RestoreError::Figure(name)),
                    Some(group) if same && age < LEVELS => drop(recalled.levels.insert(group, level)),
                    Some(_) => {}
                    None => unfit.push(RestoreError::Place(name)),
                }
            }
            ("override", StoredItem::Override { weight, until, why }) => {
                // As long as it would have held, and never longer for a calendar that was set back.
                let left = (until - calendar).min(until - alive);
                if !until.is_finite() || weight.is_some_and(|weight| !sound(weight)) {
                    unfit.push(RestoreError::Figure(name));
                } else if let Some(left) =
                    Duration::try_from_secs_f64(left).ok().filter(|left| !left.is_zero())
                {
                    recalled.overrides.insert(of.into(), (weight, left, why));
                }
            }
            ("hold", StoredItem::Hold(hold)) => {
                // A group's name may hold a `/`, and a proxy's, too: the group is one of those that are
                // known.
                let place = groups.iter().enumerate().find_map(|(place, group)| {
                    Some((of.strip_prefix(group.as_str())?.strip_prefix('/')?, place))
                });
                let placed = hold.lines.iter().all(|(_, _, zone, weight)| *zone < zones.len() && *weight > 0);
                let (Some((proxy, group)), true) = (place, placed) else {
                    unfit.push(RestoreError::Place(name));
                    continue;
                };
                let left = (hold.until - calendar).min(hold.until - alive);
                let ago = Duration::try_from_secs_f64((calendar - hold.told_at).max(0.0));
                match (ago, Duration::try_from_secs_f64(left)) {
                    _ if hold.level > MILLION || !hold.until.is_finite() => {
                        unfit.push(RestoreError::Figure(name))
                    }
                    (Ok(ago), Ok(left)) if same && !left.is_zero() => {
                        recalled.holds.insert((proxy.into(), group), (ago, left, hold));
                    }
                    _ => {}
                }
            }
            _ => unfit.push(RestoreError::Unknown(name)),
        }
    }
    (recalled, unfit)
}

/// An entry as bytes.
pub fn encode(item: &StoredItem) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Into memory, and of plain types: it can't fail but for a bug, and then nothing is kept.
    if ciborium::into_writer(item, &mut bytes).is_err() {
        bytes.clear();
    }
    bytes
}

/// What [`encode`] made; none if it is not of its making.
pub fn decode(bytes: &[u8]) -> Option<StoredItem> {
    ciborium::from_reader(bytes).ok()
}

/// What differs from what was written before: names, and what they are from now on.
pub fn changes<'a>(before: &StoredItems, now: &'a StoredItems) -> Vec<(String, Option<&'a StoredItem>)> {
    let same = |one: &Arc<StoredItem>, other: &Arc<StoredItem>| Arc::ptr_eq(one, other) || one == other;
    let changed = now.iter().filter(|(name, item)| before.get(*name).is_none_or(|old| !same(old, item)));
    let gone = before.keys().filter(|name| !now.contains_key(*name));
    changed
        .map(|(name, item)| (name.clone(), Some(&**item)))
        .chain(gone.map(|name| (name.clone(), None)))
        .collect()
}

#[cfg(test)]
mod tests;
