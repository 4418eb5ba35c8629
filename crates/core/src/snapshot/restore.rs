//! Decides which stored items are used at a start, depending on their age.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::ReplicaId;

use crate::table_versions::MILLION;

use super::items::{StoredFrozenTable, StoredItem, StoredItems, StoredProxy, StoredReplica, StoredTable};
use super::{ALIVE, NAMES};

/// Half-life of demand and throughput.
pub const DEMAND: Duration = Duration::from_secs(60);
/// Half-life of ejections.
pub const WITHDRAWN: Duration = Duration::from_secs(20);
/// How long a stored admission fraction is used, unless the module decides before. Older ones are dropped.
pub const LEVELS: Duration = Duration::from_secs(10);
/// How long the tables that proxies held are kept: after this time proxies have been with another governor or
/// on their own.
pub const TABLES: Duration = Duration::from_secs(600);
/// The age assumed for items with a time in the future: the clock was set back, so their age is unknown.
pub const UNKNOWN: Duration = Duration::from_secs(60);
/// Interval for which restored throughput is reported to the module: to judge a replica where everything
/// fails, it has to see that others succeed.
pub const LAST: Duration = Duration::from_secs(2);
/// Failed attempts that a fresh ejection is reported as.
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
    Unknown(String),
    /// The item refers to a zone or a traffic class that does not exist.
    #[error("stored item `{0}` refers to an unknown zone or group")]
    Place(String),
    /// A figure of the item is out of range.
    #[error("stored item `{0}` has a figure out of range")]
    Figure(String),
    /// The item [`NAMES`] or [`ALIVE`] is missing.
    #[error("the stored items lack the governor's name or their time; none of them is used")]
    Nameless,
    /// The items belong to another governor.
    #[error("the stored items belong to governor `{0}`; none of them is used")]
    Another(String),
    /// Zones or traffic classes have changed since the items were stored.
    #[error("zones or groups of the settings have changed; stored items that depend on them are not used")]
    Changed,
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
pub fn counts(age: Duration, half_life: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Restores the state from stored items, and reports the items that can't be used. `calendar` is the current
/// Unix time in seconds, `names` this governor's own [`StoredItem::Names`].
pub fn recall(known: StoredItems, calendar: f64, names: &StoredItem) -> (RestoredState, Vec<RestoreError>) {
    let nothing = |why| (RestoredState::default(), vec![why]);
    let item = |name: &str| known.get(name).map(|item| (**item).clone());
    let Some(StoredItem::Names { governor, zones, groups: classes }) = item(NAMES) else {
        return nothing(RestoreError::Nameless);
    };
    let StoredItem::Names { governor: own_name, zones: own_zones, groups: own_classes } = names else {
        return nothing(RestoreError::Nameless);
    };
    // A state folder that was copied from another governor must not be used.
    if governor != *own_name {
        return nothing(RestoreError::Another(governor));
    }
    let same_places = zones == *own_zones && classes == *own_classes;
    let mut errors = Vec::new();
    if !same_places {
        errors.push(RestoreError::Changed);
    }
    let Some(StoredItem::Alive { at: alive }) = item(ALIVE) else { return nothing(RestoreError::Nameless) };
    let age = age(calendar, alive);
    let state =
        RestoredState { age, admission_remaining: LEVELS.saturating_sub(age), ..RestoredState::default() };
    let mut restore = Restore { zones, classes, same_places, calendar, alive, state };
    for (name, item) in known {
        if let Err(why) = restore.apply(&name, Arc::unwrap_or_clone(item)) {
            errors.push(match why {
                Unusable::Unknown => RestoreError::Unknown(name),
                Unusable::Place => RestoreError::Place(name),
                Unusable::Figure => RestoreError::Figure(name),
            });
        }
    }
    (restore.state, errors)
}

/// The age by the wall clock, which continues while a machine sleeps. If the clock was set back, the age is
/// unknown.
fn age(calendar: f64, alive: f64) -> Duration {
    if calendar >= alive {
        Duration::try_from_secs_f64(calendar - alive).unwrap_or(Duration::MAX)
    } else {
        UNKNOWN
    }
}

fn is_sound(figure: f64) -> bool {
    figure.is_finite() && (0.0..MAX_FIGURE).contains(&figure)
}

/// Why a single item can't be used.
enum Unusable {
    Unknown,
    Place,
    Figure,
}

/// A state that is being restored item by item.
struct Restore {
    zones: Vec<String>,
    classes: Vec<String>,
    /// Whether the zones and traffic classes are unchanged.
    same_places: bool,
    calendar: f64,
    /// The Unix time until which the items were current.
    alive: f64,
    state: RestoredState,
}

impl Restore {
    fn apply(&mut self, name: &str, item: StoredItem) -> Result<(), Unusable> {
        let (kind, of) = name.split_once('/').unwrap_or((name, ""));
        match (kind, item) {
            (NAMES | ALIVE, _) => Ok(()),
            ("proxy", StoredItem::Proxy(proxy)) => self.proxy(of, proxy),
            ("replica", StoredItem::Replica(replica)) => self.replica(of, replica),
            ("level", StoredItem::Admission { fraction, .. }) => self.admission(of, fraction),
            ("override", StoredItem::Override { weight, until, reason }) => {
                self.override_of(of, weight, until, reason)
            }
            ("hold", StoredItem::FrozenTable(frozen)) => self.frozen_table(of, frozen),
            _ => Err(Unusable::Unknown),
        }
    }

    fn proxy(&mut self, name: &str, proxy: StoredProxy) -> Result<(), Unusable> {
        let class_count = self.classes.len();
        let is_placed = proxy.zone < self.zones.len()
            && proxy.tables.len() == class_count
            && proxy.requests_per_second.len() == class_count
            && proxy.retry_policies.len() == class_count
            && proxy.tables.iter().flatten().all(|table| self.is_placed(table));
        if !is_placed {
            return Err(Unusable::Place);
        }
        let has_sound_figures = is_sound(proxy.absent_seconds)
            && proxy.tables.iter().flatten().all(has_sound_figures)
            && proxy.requests_per_second.iter().all(|demand| is_sound(*demand));
        if !has_sound_figures {
            return Err(Unusable::Figure);
        }
        let absent_seconds = self.state.age.as_secs_f64() + proxy.absent_seconds;
        if self.same_places && absent_seconds < TABLES.as_secs_f64() {
            self.state.proxies.insert(name.into(), proxy);
        }
        Ok(())
    }

    fn is_placed(&self, table: &StoredTable) -> bool {
        table.entries.iter().all(|entry| entry.zone < self.zones.len())
    }

    fn replica(&mut self, name: &str, replica: StoredReplica) -> Result<(), Unusable> {
        if !replica.throughput.iter().all(|(_, per_second)| is_sound(*per_second)) {
            return Err(Unusable::Figure);
        }
        let id: ReplicaId = name.into();
        let age = self.state.age;
        let attempts = (EJECTION_ATTEMPTS * counts(age, WITHDRAWN)).round() as u64;
        if replica.ejected && attempts >= MIN_EJECTION_ATTEMPTS {
            self.state.ejected.insert(id.clone(), attempts);
        }
        let weight = counts(age, DEMAND);
        for (zone, per_second) in replica.throughput {
            if self.same_places && zone < self.zones.len() {
                self.state.throughput.insert((id.clone(), zone), per_second * weight);
            }
        }
        Ok(())
    }

    fn admission(&mut self, class: &str, fraction: f64) -> Result<(), Unusable> {
        let place = self.classes.iter().position(|known| known == class).ok_or(Unusable::Place)?;
        if !(0.0..=1.0).contains(&fraction) {
            return Err(Unusable::Figure);
        }
        if self.same_places && self.state.age < LEVELS {
            self.state.admission_fractions.insert(place, fraction);
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
            return Err(Unusable::Figure);
        }
        if let Some(remaining) = self.remaining(until) {
            self.state.overrides.insert(replica.into(), RestoredOverride { weight, remaining, reason });
        }
        Ok(())
    }

    fn frozen_table(&mut self, place: &str, stored: StoredFrozenTable) -> Result<(), Unusable> {
        // The names of a class and of a proxy may both contain `/`, so the class is found among the known
        // ones.
        let named = |(class, name): (usize, &String)| {
            Some((class, place.strip_prefix(name.as_str())?.strip_prefix('/')?))
        };
        let (class, proxy) = self.classes.iter().enumerate().find_map(named).ok_or(Unusable::Place)?;
        if !stored.entries.iter().all(|entry| entry.zone < self.zones.len() && entry.weight > 0) {
            return Err(Unusable::Place);
        }
        if stored.admission_millionths > MILLION || !stored.until.is_finite() {
            return Err(Unusable::Figure);
        }
        let age = Duration::try_from_secs_f64((self.calendar - stored.published_at).max(0.0));
        if let (Ok(age), Some(remaining), true) = (age, self.remaining(stored.until), self.same_places) {
            let frozen = RestoredFrozenTable { age, remaining, stored };
            self.state.frozen_tables.insert((proxy.into(), class), frozen);
        }
        Ok(())
    }

    /// The time until an override or a frozen table ends: what was left when it was stored, and never more if
    /// the clock was set back.
    fn remaining(&self, until: f64) -> Option<Duration> {
        let seconds = (until - self.calendar).min(until - self.alive);
        Duration::try_from_secs_f64(seconds).ok().filter(|left| !left.is_zero())
    }
}

fn has_sound_figures(table: &StoredTable) -> bool {
    (0.0..=1.0).contains(&table.admission_fraction)
        && table.entries.iter().all(|entry| is_sound(entry.weight))
}
