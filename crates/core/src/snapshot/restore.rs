//! Decides which stored items are used at a start, depending on their age.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::ReplicaId;

use crate::table_versions::MILLION;

use super::items::{StoredFrozenTable, StoredItem, StoredItems, StoredProxy, StoredReplica, StoredTable};
use super::{ALIVE_ITEM, NAMES_ITEM};

/// Half-life of demand and throughput.
pub const DEMAND_HALF_LIFE: Duration = Duration::from_secs(60);
/// Half-life of ejections.
pub const EJECTION_HALF_LIFE: Duration = Duration::from_secs(20);
/// How long a stored admission fraction is used, unless the module decides before. Older ones are dropped.
pub const ADMISSION_LIFETIME: Duration = Duration::from_secs(10);
/// How long the tables that proxies held are kept while the proxies are absent: after this time they have
/// been with another governor or on their own.
pub const TABLE_LIFETIME: Duration = Duration::from_secs(600);
/// The age assumed for items with a time in the future: the clock was set back, so their age is unknown.
pub const UNKNOWN_AGE: Duration = Duration::from_secs(60);
/// Interval for which restored throughput is reported to the module: to judge a replica where everything
/// fails, it has to see that others succeed.
pub const RESTORED_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// The number of failed attempts that is reported to the module for an ejection stored just before the start.
const EJECTION_ATTEMPTS: f64 = 20.0;
/// Fewer failed attempts than this are not reported: they prove nothing.
const MIN_EJECTION_ATTEMPTS: u64 = 4;
/// Upper limit of stored figures.
const MAX_FIGURE: f64 = 1e12;

/// Why stored items can't be used. An invalid item is left out, and the others are used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    /// The item's name or kind is unknown.
    #[error("stored item `{0}` has an unknown name or kind")]
    UnknownItem(String),
    /// The item refers to a zone or a traffic class that does not exist.
    #[error("stored item `{0}` refers to an unknown zone or group")]
    UnknownIndex(String),
    /// A figure of the item is out of range.
    #[error("stored item `{0}` has a figure out of range")]
    OutOfRange(String),
    /// The item [`NAMES_ITEM`] or [`ALIVE_ITEM`] is missing.
    #[error("the stored items lack the governor's name or their time; none of them is used")]
    MissingIdentity,
    /// The items belong to another governor.
    #[error("the stored items belong to governor `{0}`; none of them is used")]
    OtherGovernor(String),
    /// Zones or traffic classes have changed since the items were stored.
    #[error("zones or groups of the settings have changed; stored items that depend on them are not used")]
    SettingsChanged,
}

/// An override that is still in force.
#[derive(Debug, Clone, PartialEq)]
pub struct RestoredOverride {
    /// A factor for the replica's weights; none if it is excluded.
    pub weight: Option<f64>,
    /// The time until it ends.
    pub remaining: Duration,
    /// The operator's reason.
    pub reason: Arc<str>,
}

/// A frozen table that is still in force.
#[derive(Debug, Clone, PartialEq)]
pub struct RestoredFrozenTable {
    /// How long ago it was published.
    pub age: Duration,
    /// The time until the freeze ends.
    pub remaining: Duration,
    /// The table.
    pub stored: StoredFrozenTable,
}

/// The state that is used at a start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RestoredState {
    /// Age of the state, as far as the clock can tell.
    pub age: Duration,
    /// Proxies and the tables that they held, by name.
    pub proxies: BTreeMap<Arc<str>, StoredProxy>,
    /// Ejected replicas, and the number of failed attempts that remain of each ejection at this age.
    pub ejected: BTreeMap<ReplicaId, u64>,
    /// Throughput in requests per second, by replica and zone, decayed with age.
    pub throughput: BTreeMap<(ReplicaId, usize), f64>,
    /// Admission fractions by traffic class.
    pub admission_fractions: BTreeMap<usize, f64>,
    /// The time until the admission fractions end.
    pub admission_remaining: Duration,
    /// Overrides by replica.
    pub overrides: BTreeMap<ReplicaId, RestoredOverride>,
    /// Frozen tables by proxy and traffic class.
    pub frozen_tables: BTreeMap<(Arc<str>, usize), RestoredFrozenTable>,
}

/// The weight of a value of this age, from 1 down to 0.
pub fn decay_factor(age: Duration, half_life: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Restores the state from stored items, and reports the items that can't be used. `unix_seconds` is the
/// current time, `names` this governor's own [`StoredItem::Names`].
pub fn restore(
    stored_items: StoredItems,
    unix_seconds: f64,
    names: &StoredItem,
) -> (RestoredState, Vec<RestoreError>) {
    let none_usable = |error| (RestoredState::default(), vec![error]);
    let item = |name: &str| stored_items.get(name).map(|item| (**item).clone());
    let Some(StoredItem::Names { governor, zones, groups: classes }) = item(NAMES_ITEM) else {
        return none_usable(RestoreError::MissingIdentity);
    };
    let StoredItem::Names { governor: own_name, zones: own_zones, groups: own_classes } = names else {
        return none_usable(RestoreError::MissingIdentity);
    };
    // A state folder that was copied from another governor must not be used.
    if governor != *own_name {
        return none_usable(RestoreError::OtherGovernor(governor));
    }
    let same_names = zones == *own_zones && classes == *own_classes;
    let mut errors = Vec::new();
    if !same_names {
        errors.push(RestoreError::SettingsChanged);
    }
    let Some(StoredItem::Alive { at: alive_at }) = item(ALIVE_ITEM) else {
        return none_usable(RestoreError::MissingIdentity);
    };
    let age = age(unix_seconds, alive_at);
    let state = RestoredState {
        age,
        admission_remaining: ADMISSION_LIFETIME.saturating_sub(age),
        ..RestoredState::default()
    };
    let mut restore = Restore { zones, classes, same_names, unix_seconds, alive_at, state };
    for (name, item) in stored_items {
        if let Err(error) = restore.apply(&name, Arc::unwrap_or_clone(item)) {
            errors.push(match error {
                Unusable::UnknownItem => RestoreError::UnknownItem(name),
                Unusable::UnknownIndex => RestoreError::UnknownIndex(name),
                Unusable::OutOfRange => RestoreError::OutOfRange(name),
            });
        }
    }
    (restore.state, errors)
}

/// The age by the wall clock, which continues while a machine sleeps. If the clock was set back, the age is
/// unknown.
fn age(unix_seconds: f64, alive_at: f64) -> Duration {
    if unix_seconds >= alive_at {
        Duration::try_from_secs_f64(unix_seconds - alive_at).unwrap_or(Duration::MAX)
    } else {
        UNKNOWN_AGE
    }
}

fn is_sound(figure: f64) -> bool {
    figure.is_finite() && (0.0..MAX_FIGURE).contains(&figure)
}

/// Why a single item can't be used.
enum Unusable {
    UnknownItem,
    UnknownIndex,
    OutOfRange,
}

/// A state that is being restored item by item.
struct Restore {
    zones: Vec<String>,
    classes: Vec<String>,
    /// Whether the zones and traffic classes are unchanged.
    same_names: bool,
    unix_seconds: f64,
    /// The Unix time until which the items were current.
    alive_at: f64,
    state: RestoredState,
}

impl Restore {
    fn apply(&mut self, name: &str, item: StoredItem) -> Result<(), Unusable> {
        let (kind, of) = name.split_once('/').unwrap_or((name, ""));
        match (kind, item) {
            (NAMES_ITEM | ALIVE_ITEM, _) => Ok(()),
            ("proxy", StoredItem::Proxy(proxy)) => self.proxy(of, proxy),
            ("replica", StoredItem::Replica(replica)) => self.replica(of, replica),
            ("level", StoredItem::Admission { fraction, .. }) => self.admission(of, fraction),
            ("override", StoredItem::Override { weight, until, reason }) => {
                self.override_of(of, weight, until, reason)
            }
            ("hold", StoredItem::FrozenTable(frozen)) => self.frozen_table(of, frozen),
            _ => Err(Unusable::UnknownItem),
        }
    }

    fn proxy(&mut self, name: &str, proxy: StoredProxy) -> Result<(), Unusable> {
        let class_count = self.classes.len();
        let has_known_zones = proxy.zone < self.zones.len()
            && proxy.tables.len() == class_count
            && proxy.requests_per_second.len() == class_count
            && proxy.retry_policies.len() == class_count
            && proxy.tables.iter().flatten().all(|table| self.has_known_zones(table));
        if !has_known_zones {
            return Err(Unusable::UnknownIndex);
        }
        let has_sound_figures = is_sound(proxy.absent_seconds)
            && proxy.tables.iter().flatten().all(has_sound_figures)
            && proxy.requests_per_second.iter().all(|demand| is_sound(*demand));
        if !has_sound_figures {
            return Err(Unusable::OutOfRange);
        }
        let absent_seconds = self.state.age.as_secs_f64() + proxy.absent_seconds;
        if self.same_names && absent_seconds < TABLE_LIFETIME.as_secs_f64() {
            self.state.proxies.insert(name.into(), proxy);
        }
        Ok(())
    }

    fn has_known_zones(&self, table: &StoredTable) -> bool {
        table.entries.iter().all(|entry| entry.zone < self.zones.len())
    }

    fn replica(&mut self, name: &str, replica: StoredReplica) -> Result<(), Unusable> {
        if !replica.throughput.iter().all(|(_, per_second)| is_sound(*per_second)) {
            return Err(Unusable::OutOfRange);
        }
        let id: ReplicaId = name.into();
        let age = self.state.age;
        let attempts = (EJECTION_ATTEMPTS * decay_factor(age, EJECTION_HALF_LIFE)).round() as u64;
        if replica.ejected && attempts >= MIN_EJECTION_ATTEMPTS {
            self.state.ejected.insert(id.clone(), attempts);
        }
        let weight = decay_factor(age, DEMAND_HALF_LIFE);
        for (zone, per_second) in replica.throughput {
            if self.same_names && zone < self.zones.len() {
                self.state.throughput.insert((id.clone(), zone), per_second * weight);
            }
        }
        Ok(())
    }

    fn admission(&mut self, class: &str, fraction: f64) -> Result<(), Unusable> {
        let class_index = self.classes.iter().position(|name| name == class).ok_or(Unusable::UnknownIndex)?;
        if !(0.0..=1.0).contains(&fraction) {
            return Err(Unusable::OutOfRange);
        }
        if self.same_names && self.state.age < ADMISSION_LIFETIME {
            self.state.admission_fractions.insert(class_index, fraction);
        }
        Ok(())
    }

    fn override_of(
        &mut self,
        replica: &str,
        weight: Option<f64>,
        until: f64,
        reason: Arc<str>,
    ) -> Result<(), Unusable> {
        if !until.is_finite() || weight.is_some_and(|weight| !is_sound(weight)) {
            return Err(Unusable::OutOfRange);
        }
        if let Some(remaining) = self.remaining(until) {
            self.state.overrides.insert(replica.into(), RestoredOverride { weight, remaining, reason });
        }
        Ok(())
    }

    fn frozen_table(&mut self, key: &str, stored: StoredFrozenTable) -> Result<(), Unusable> {
        // The names of a class and of a proxy may both contain `/`, so the class is found among the known
        // ones.
        let named = |(class, name): (usize, &String)| {
            Some((class, key.strip_prefix(name.as_str())?.strip_prefix('/')?))
        };
        let (class, proxy) = self.classes.iter().enumerate().find_map(named).ok_or(Unusable::UnknownIndex)?;
        if !stored.entries.iter().all(|entry| entry.zone < self.zones.len() && entry.weight > 0) {
            return Err(Unusable::UnknownIndex);
        }
        if stored.admission_millionths > MILLION || !stored.until.is_finite() {
            return Err(Unusable::OutOfRange);
        }
        let age = Duration::try_from_secs_f64((self.unix_seconds - stored.published_at).max(0.0));
        if let (Ok(age), Some(remaining), true) = (age, self.remaining(stored.until), self.same_names) {
            let frozen = RestoredFrozenTable { age, remaining, stored };
            self.state.frozen_tables.insert((proxy.into(), class), frozen);
        }
        Ok(())
    }

    /// The time until an override or a frozen table ends: what was left when it was stored, and never more if
    /// the clock was set back.
    fn remaining(&self, until: f64) -> Option<Duration> {
        let seconds = (until - self.unix_seconds).min(until - self.alive_at);
        Duration::try_from_secs_f64(seconds).ok().filter(|left| !left.is_zero())
    }
}

fn has_sound_figures(table: &StoredTable) -> bool {
    (0.0..=1.0).contains(&table.admission_fraction)
        && table.entries.iter().all(|entry| is_sound(entry.weight))
}
