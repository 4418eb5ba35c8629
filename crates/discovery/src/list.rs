//! The list as last told. A spoilt entry leaves the rest standing, and what was known of its replica.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use thiserror::Error;
use wrenthread::interface::{Listed, Phase, ReplicaId};

/// Why nothing of an object can be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Fault {
    #[error("not JSON: {0}")]
    Unreadable(String),
    #[error("`{0}` is missing or of another type")]
    Field(&'static str),
}

/// A name that is longer is no name: it would be carried in every table.
const NAME_MOST: usize = 256;
/// Listed weights beyond it are taken for spoilt.
const WEIGHT_MOST: f64 = 1e6;

/// What an object changes.
#[derive(Debug, Default, PartialEq)]
pub struct Change {
    pub entries: Vec<Listed>,
    /// What is not among the entries is gone.
    pub complete: bool,
    /// Why entries were left out.
    pub spoilt: Vec<String>,
}

/// The list as last told, and its version.
#[derive(Default)]
pub struct List {
    zones: BTreeMap<String, usize>,
    version: Option<u64>,
    entries: BTreeMap<ReplicaId, Listed>,
    incomplete: bool,
    behind: bool,
}

impl List {
    pub fn new(zones: &[String]) -> Self {
        List {
            zones: zones.iter().cloned().enumerate().map(|(at, name)| (name, at)).collect(),
            ..List::default()
        }
    }

    /// The version that a watch may go on from; none while only the whole list will do.
    pub fn version(&self) -> Option<u64> {
        self.version.filter(|_| !self.incomplete)
    }

    /// Whether the last object was older than what is known.
    pub fn is_behind(&self) -> bool {
        self.behind
    }

    /// Whoever tells the list counts anew: what comes next is taken whatever its version, once it is whole.
    pub fn renumber(&mut self) {
        (self.version, self.incomplete) = (None, true);
    }

    /// Takes in one object; `started` turns seconds of the calendar into the host's time. An object older
    /// than what is known changes nothing: an agent may be behind the one before it, and what drains would
    /// come back.
    ///
    /// Errors: an object that can't be used; nothing changed.
    pub fn read(
        &mut self,
        object: &[u8],
        started: impl Fn(f64) -> Option<Duration>,
    ) -> Result<Option<Change>, Fault> {
        let object = serde_json::from_slice(object).map_err(|error| Fault::Unreadable(error.to_string()));
        let change = object.and_then(|object| self.take(&object, started));
        // Whatever it was to tell will not be told again.
        self.incomplete |= change.is_err();
        change
    }

    /// As [`List::read`], of an object that is read already.
    ///
    /// Errors: an object that can't be used; nothing changed.
    pub fn take(
        &mut self,
        object: &Value,
        started: impl Fn(f64) -> Option<Duration>,
    ) -> Result<Option<Change>, Fault> {
        let version = object["index"].as_u64().ok_or(Fault::Field("index"))?;
        let complete = object["snapshot"].as_bool().ok_or(Fault::Field("snapshot"))?;
        let rows = object["endpoints"].as_array().ok_or(Fault::Field("endpoints"))?;
        self.behind = self.version.is_some_and(|known| version < known);
        if self.behind || self.version == Some(version) && !complete {
            return Ok(None);
        }
        let mut change = Change { complete, ..Change::default() };
        for row in rows {
            match self.entry(row, &started) {
                Ok(entry) => change.entries.push(entry),
                Err(field) => {
                    let name = row["name"].as_str().and_then(|name| self.entries.get(name));
                    change.entries.extend(name.cloned());
                    // One that can't be told may be any of those that are missing.
                    change.complete &= name.is_some() || row["name"].is_string();
                    change.spoilt.push(format!("`{field}` of {}", row["name"]));
                }
            }
        }
        // What is left out of a change is not told again; asking anew for a whole list would bring the same.
        self.incomplete = !complete && (self.incomplete || !change.spoilt.is_empty());
        self.version = Some(version);
        if change.complete {
            self.entries.clear();
        }
        for entry in &change.entries {
            if entry.phase == Phase::Gone {
                self.entries.remove(&entry.id);
            } else {
                self.entries.insert(entry.id.clone(), entry.clone());
            }
        }
        Ok(Some(change))
    }

    fn entry(&self, row: &Value, started: impl Fn(f64) -> Option<Duration>) -> Result<Listed, &'static str> {
        let name = row["name"].as_str().filter(|name| !name.is_empty() && name.len() <= NAME_MOST);
        let name = name.ok_or("name")?;
        let known = self.entries.get_key_value(name);
        let phase = match row["status"].as_str() {
            Some("up") => Phase::Ready,
            Some("draining") => Phase::Draining,
            Some("removed") => Phase::Gone,
            _ => return Err("status"),
        };
        let zone = row["zone"].as_str().and_then(|zone| self.zones.get(zone)).copied();
        // Of what goes away the rest need not be told.
        let zone = zone.or(known.filter(|_| phase != Phase::Ready).map(|(_, entry)| entry.zone));
        let weight = match row.get("weight") {
            None if phase == Phase::Gone => Some(1.0),
            None => None,
            Some(weight) => weight.as_f64().filter(|weight| *weight > 0.0 && *weight <= WEIGHT_MOST),
        };
        let weight = weight.or(known.filter(|_| phase != Phase::Ready).map(|(_, entry)| entry.weight));
        let since = match row.get("since_ms") {
            None => 0.0,
            Some(since) => since.as_f64().filter(|since| *since >= 0.0).ok_or("since_ms")?,
        };
        Ok(Listed {
            id: known.map_or_else(|| name.into(), |(id, _)| id.clone()),
            phase,
            zone: zone.or((phase == Phase::Gone).then_some(0)).ok_or("zone")?,
            weight: weight.ok_or("weight")?,
            started: (since > 0.0).then(|| started(since / 1000.0)).flatten(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn row(name: &str, status: &str) -> Value {
        json!({"name": name, "zone": "a", "status": status, "weight": 2.0, "since_ms": 0})
    }

    fn take(list: &mut List, version: u64, snapshot: bool, rows: &[Value]) -> Option<Change> {
        let object = json!({"index": version, "snapshot": snapshot, "endpoints": rows});
        list.take(&object, |at| Some(Duration::from_secs_f64(at))).expect("it can be used")
    }

    fn names(change: &Change) -> Vec<(&str, Phase)> {
        change.entries.iter().map(|entry| (&*entry.id, entry.phase)).collect()
    }

    #[test]
    fn a_spoilt_entry_leaves_the_rest_and_what_was_known_of_it() {
        let mut list = List::new(&["a".into()]);
        take(&mut list, 1, true, &[row("r1", "up"), row("r2", "up")]);
        let mut spoilt = row("r1", "up");
        spoilt["weight"] = json!(-1);
        let change = take(&mut list, 2, true, &[spoilt, row("r3", "up")]).expect("newer");
        assert_eq!(names(&change), [("r1", Phase::Ready), ("r3", Phase::Ready)]);
        assert!(change.complete && change.spoilt.len() == 1);
        // One whose name can't be read may be any that is missing: nothing is taken for gone.
        let change = take(&mut list, 3, true, &[json!({"name": 3}), row("r3", "up")]).expect("newer");
        assert!(!change.complete && list.version() == Some(3), "asking again would bring the same");
    }

    #[test]
    fn a_change_that_was_spoilt_is_had_from_the_whole_list() {
        let mut list = List::new(&["a".into()]);
        take(&mut list, 1, true, &[row("r1", "up")]);
        let spoilt = take(&mut list, 2, false, &[row("r1", "drained")]).expect("newer");
        assert_eq!((spoilt.spoilt.len(), list.version()), (1, None));
        let whole = take(&mut list, 2, true, &[row("r1", "draining")]).expect("no older than what is known");
        assert_eq!((names(&whole), list.version()), (vec![("r1", Phase::Draining)], Some(2)));
    }

    #[test]
    fn what_is_older_brings_nothing_back() {
        let mut list = List::new(&["a".into()]);
        take(&mut list, 5, true, &[row("r1", "up")]);
        take(&mut list, 6, false, &[row("r1", "draining")]);
        assert_eq!(take(&mut list, 5, true, &[row("r1", "up")]), None);
        assert_eq!(take(&mut list, 6, false, &[]), None);
        let gone = take(&mut list, 7, false, &[json!({"name": "r1", "status": "removed"})]).expect("newer");
        assert_eq!(names(&gone), [("r1", Phase::Gone)]);
    }

    #[test]
    fn an_object_that_cannot_be_used_changes_nothing() {
        let mut list = List::new(&["a".into()]);
        take(&mut list, 5, true, &[row("r1", "up")]);
        assert!(matches!(list.read(b"{", |_| None), Err(Fault::Unreadable(_))));
        assert_eq!(list.read(b"{\"index\":6,\"snapshot\":false}", |_| None), Err(Fault::Field("endpoints")));
        assert_eq!((list.version(), list.entries.len()), (Some(5), 1));
    }

    #[test]
    fn starts_are_told_in_the_hosts_time() {
        let mut list = List::new(&["a".into()]);
        let mut started = row("r1", "up");
        started["since_ms"] = json!(90500);
        let change = take(&mut list, 1, true, &[started, row("r2", "up")]).expect("newer");
        assert_eq!(change.entries[0].started, Some(Duration::from_millis(90500)));
        assert_eq!(change.entries[1].started, None);
    }
}
