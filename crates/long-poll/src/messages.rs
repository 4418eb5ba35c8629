//! The messages, as JSON or CBOR, and how they stand for the core's words.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use utoipa::ToSchema;
use wrenthread::types::{ReplicaId, RetryPolicy};
use wrenthread_core::fleet::JoinRequest;
use wrenthread_core::reports::{LoadReport, ReplicaObservation};
use wrenthread_core::table_versions::{
    self, ChangedEntry, Delta, Digest, PublishedEntry, PublishedState, PublishedTable, TableChange, hex,
};

/// What names and numbers on the wire stand for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
pub struct Terms {
    /// This governor's life.
    pub epoch: String,
    /// Its name among those that share the fleet; empty where it is alone.
    #[serde(default)]
    pub governor: String,
    /// Zones and groups, in the order in which digests are made over them.
    pub zones: Vec<String>,
    pub groups: Vec<String>,
    /// How often to report, in seconds.
    pub report_every_s: String,
    /// Load metrics that reports may carry, in order.
    pub load: Vec<String>,
    /// The longest that a question may wait, in seconds.
    pub wait_most_s: u64,
}

/// A standing table's line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, ToSchema)]
pub struct StandingLine {
    pub replica: String,
    pub weight: f64,
}

/// A proxy says who it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct JoinAsked {
    #[serde(default)]
    pub zone: String,
    /// Flows a second that it ordinarily receives.
    pub usual: Option<f64>,
    /// The standing table that it holds, if it has one.
    #[serde(default)]
    pub standing: Vec<StandingLine>,
    /// It holds tables of this or another governor besides.
    #[serde(default)]
    pub holds_orders: bool,
    /// The signed word of whose they are, as it was told.
    #[serde(default)]
    pub claim: Option<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, ToSchema)]
pub struct JoinTold {
    /// To be named in everything that follows.
    pub session: u64,
    pub terms: Terms,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
pub struct LineTold {
    pub replica: String,
    pub weight: u32,
    /// Left out where it is as in the base.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
pub struct GroupTold {
    /// The proxy stays on its standing table from here on; nothing else counts then.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub standing: bool,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lines: Vec<LineTold>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
    /// Flows to let in, in parts of a million.
    pub level: u32,
    /// `never`, `if-never-ran` or `once`.
    pub tries: String,
}

/// What differs from the version that was held, or all there is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
pub struct TablesTold {
    /// `EPOCH.NUMBER`.
    pub version: String,
    /// Of the whole state that this comes to, in hexadecimal.
    pub digest: String,
    /// The digest that a delta starts from; without it this is the whole.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<String>,
    /// To be shown to whichever governor the proxy joins next.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub claim: Option<String>,
    pub groups: BTreeMap<String, GroupTold>,
}

/// What a proxy met at a replica, within a report's interval.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields, default)]
pub struct MetTold {
    pub group: String,
    pub replica: String,
    pub issued: u64,
    pub delivered: u64,
    pub dropped: u64,
    /// Sum of the answer times of the delivered ones, in milliseconds.
    pub answer_ms: f64,
    /// The replica's latest word of its load, in the order of the terms' metrics; may be empty.
    pub load: Vec<f64>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct ReportAsked {
    pub interval_ms: f64,
    #[serde(default)]
    pub met: Vec<MetTold>,
    /// By group: flows that were blocked before any try.
    #[serde(default)]
    pub blocked: BTreeMap<String, u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
pub struct ReportTold {
    /// Whether it counts; a copy of one that was counted does not, and all is well.
    pub counted: bool,
    /// Why not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
pub struct Trouble {
    pub error: String,
    /// The governor to go to; empty: whoever is next in the proxy's own order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub go_to: Option<String>,
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Unclear {
    #[error("zone `{0}` is not in the settings, which know {1}")]
    Zone(String, String),
    #[error("`{0}`: {1}")]
    Field(&'static str, String),
    #[error("group `{0}` is not known")]
    Group(String),
    #[error("digest `{0}` is not 64 hexadecimal digits")]
    Digest(String),
    #[error("version `{0}` is not EPOCH.NUMBER")]
    Version(String),
}

pub fn digest_of(text: &str) -> Result<Digest, Unclear> {
    let digest = table_versions::unhex(text).and_then(|bytes| bytes.try_into().ok());
    digest.ok_or_else(|| Unclear::Digest(text.chars().take(80).collect()))
}

pub fn tries_word(tries: RetryPolicy) -> &'static str {
    match tries {
        RetryPolicy::Never => "never",
        RetryPolicy::IfNotExecuted => "if-never-ran",
        RetryPolicy::OnAnyFailure => "once",
    }
}

fn tries_of(word: &str) -> Result<RetryPolicy, Unclear> {
    match word {
        "never" => Ok(RetryPolicy::Never),
        "if-never-ran" => Ok(RetryPolicy::IfNotExecuted),
        "once" => Ok(RetryPolicy::OnAnyFailure),
        other => Err(Unclear::Field("tries", other.into())),
    }
}

impl Terms {
    fn zone(&self, place: usize) -> String {
        self.zones.get(place).cloned().unwrap_or_default()
    }

    fn zone_of(&self, name: &str) -> Result<usize, Unclear> {
        let known = || self.zones.iter().map(|zone| format!("`{zone}`")).collect::<Vec<_>>().join(", ");
        let place = self.zones.iter().position(|zone| zone == name);
        place
            .or((name.is_empty() && self.zones.len() == 1).then_some(0))
            .ok_or_else(|| Unclear::Zone(name.into(), known()))
    }

    fn group_of(&self, name: &str) -> Result<usize, Unclear> {
        let place = self.groups.iter().position(|group| group == name);
        place.ok_or_else(|| Unclear::Group(name.into()))
    }

    /// The number in `EPOCH.NUMBER`; none for another life's.
    pub fn number(&self, version: &str) -> Result<Option<u64>, Unclear> {
        let bad = || Unclear::Version(version.chars().take(80).collect());
        let (epoch, number) = version.split_once('.').ok_or_else(bad)?;
        let number = number.parse().map_err(|_| bad())?;
        Ok((epoch == self.epoch).then_some(number))
    }

    pub fn join(&self, name: &str, asked: JoinAsked, usual: f64) -> Result<JoinRequest, Unclear> {
        if name.is_empty() || name.len() > 256 {
            return Err(Unclear::Field("proxy", "a name has 1 to 256 bytes".into()));
        }
        if asked.standing.len() > 1000 {
            return Err(Unclear::Field("standing", "more than 1000 lines".into()));
        }
        let usual = asked.usual.unwrap_or(usual);
        if !(usual.is_finite() && usual >= 0.0) {
            return Err(Unclear::Field("usual", format!("{usual} is no number of flows a second")));
        }
        let sound = |line: &StandingLine| line.weight.is_finite() && line.weight > 0.0;
        if !asked.standing.iter().all(sound) {
            return Err(Unclear::Field("standing", "weights are above 0".into()));
        }
        let standing = asked.standing.into_iter().map(|line| (line.replica.as_str().into(), line.weight));
        Ok(JoinRequest {
            name: name.into(),
            zone: self.zone_of(&asked.zone)?,
            requests_per_second: usual,
            default_table: standing.collect(),
            holds_governor_tables: asked.holds_orders,
            ownership_proof: asked.claim,
            proven_version: None,
        })
    }

    /// A report as it would have come, to be passed on.
    pub fn report_again(&self, report: &LoadReport) -> ReportAsked {
        let name = |group: usize| self.groups.get(group).cloned();
        let met = report.observations.iter().filter_map(|met| {
            Some(MetTold {
                group: name(met.class)?,
                replica: met.replica.to_string(),
                issued: met.issued,
                delivered: met.succeeded,
                dropped: met.failed,
                answer_ms: met.answers.0.as_secs_f64() * 1000.0,
                load: met.load.clone(),
            })
        });
        ReportAsked {
            interval_ms: report.interval.as_secs_f64() * 1000.0,
            met: met.collect(),
            blocked: report
                .rejected
                .iter()
                .filter_map(|(group, flows)| Some((name(*group)?, *flows)))
                .collect(),
        }
    }

    pub fn report(&self, asked: &ReportAsked) -> Result<LoadReport, Unclear> {
        let interval = Duration::try_from_secs_f64(asked.interval_ms / 1000.0)
            .map_err(|error| Unclear::Field("interval_ms", error.to_string()))?;
        let met = asked.met.iter().map(|met| {
            let answers = Duration::try_from_secs_f64(met.answer_ms / 1000.0)
                .map_err(|error| Unclear::Field("answer_ms", error.to_string()))?;
            // A sum of nothing is no time that was measured.
            let timed = if answers.is_zero() { 0 } else { met.delivered };
            Ok(ReplicaObservation {
                class: self.group_of(&met.group)?,
                replica: met.replica.as_str().into(),
                succeeded: met.delivered,
                failed: met.dropped,
                issued: met.issued,
                in_flight: 0,
                answers: (answers, timed),
                load: if met.load.len() == self.load.len() { met.load.clone() } else { Vec::new() },
            })
        });
        let met = met.collect::<Result<Vec<_>, Unclear>>()?;
        let blocked = asked.blocked.iter().map(|(group, flows)| Ok((self.group_of(group)?, *flows)));
        Ok(LoadReport {
            interval,
            observations: met,
            rejected: blocked.collect::<Result<Vec<_>, Unclear>>()?,
        })
    }

    /// A whole state, as told.
    pub fn whole(&self, version: u64, digest: &Digest, whole: &PublishedState) -> TablesTold {
        let groups = self.groups.iter().zip(&whole.classes).filter_map(|(name, said)| {
            let said = said.as_ref()?;
            let lines = said.entries.iter().map(|(id, line)| LineTold {
                replica: id.to_string(),
                weight: line.weight,
                address: Some(line.address.to_string()),
                zone: Some(self.zone(line.zone)),
            });
            let told = GroupTold {
                standing: false,
                lines: lines.collect(),
                removed: Vec::new(),
                level: said.admission_millionths,
                tries: tries_word(said.retry_policy).into(),
            };
            Some((name.clone(), told))
        });
        TablesTold {
            version: format!("{}.{version}", self.epoch),
            digest: hex(digest),
            base: None,
            claim: None,
            groups: groups.collect(),
        }
    }

    /// A delta, as told.
    pub fn delta(&self, version: u64, delta: &Delta) -> TablesTold {
        let groups = delta.changes.iter().filter_map(|(place, change)| {
            let told = match change {
                TableChange::UseDefaultTable => GroupTold {
                    standing: true,
                    lines: Vec::new(),
                    removed: Vec::new(),
                    level: table_versions::MILLION,
                    tries: "never".into(),
                },
                TableChange::Entries { changed, removed, level, tries } => GroupTold {
                    standing: false,
                    lines: changed
                        .iter()
                        .map(|line| LineTold {
                            replica: line.replica.to_string(),
                            weight: line.weight,
                            address: line.at.as_ref().map(|(address, _)| address.to_string()),
                            zone: line.at.as_ref().map(|(_, zone)| self.zone(*zone)),
                        })
                        .collect(),
                    removed: removed.iter().map(ReplicaId::to_string).collect(),
                    level: *level,
                    tries: tries_word(*tries).into(),
                },
            };
            Some((self.groups.get(*place)?.clone(), told))
        });
        TablesTold {
            version: format!("{}.{version}", self.epoch),
            digest: hex(&delta.digest),
            base: Some(hex(&delta.base)),
            claim: None,
            groups: groups.collect(),
        }
    }

    /// What was told, in the core's words: a whole state, or a delta to apply.
    pub fn read(&self, told: &TablesTold) -> Result<Result<PublishedState, Delta>, Unclear> {
        let mut changes = BTreeMap::new();
        for (name, group) in &told.groups {
            let place = self.group_of(name)?;
            if group.standing {
                changes.insert(place, TableChange::UseDefaultTable);
                continue;
            }
            let changed = group.lines.iter().map(|line| {
                let zone = line.zone.as_ref().map(|zone| self.zone_of(zone)).transpose()?;
                let address = line.address.as_deref().map(Into::into);
                Ok(ChangedEntry {
                    replica: line.replica.as_str().into(),
                    weight: line.weight,
                    at: address.zip(zone),
                })
            });
            let lines = TableChange::Entries {
                changed: changed.collect::<Result<Vec<_>, Unclear>>()?,
                removed: group.removed.iter().map(|id| id.as_str().into()).collect(),
                level: group.level,
                tries: tries_of(&group.tries)?,
            };
            changes.insert(place, lines);
        }
        let digest = digest_of(&told.digest)?;
        if let Some(base) = &told.base {
            return Ok(Err(Delta { base: digest_of(base)?, digest, changes }));
        }
        let mut whole = PublishedState { classes: vec![None; self.groups.len()] };
        for (place, change) in changes {
            let TableChange::Entries { changed, level, tries, .. } = change else { continue };
            let lines = changed.into_iter().map(|line| {
                let (address, zone) =
                    line.at.ok_or_else(|| Unclear::Field("lines", "an address is missing".into()))?;
                Ok((line.replica, PublishedEntry { address, zone, weight: line.weight }))
            });
            let lines = lines.collect::<Result<BTreeMap<_, _>, Unclear>>()?;
            whole.classes[place] =
                Some(PublishedTable { entries: lines, admission_millionths: level, retry_policy: tries });
        }
        if whole.digest() != digest {
            return Err(Unclear::Field("digest", "is not that of the tables beside it".into()));
        }
        Ok(Ok(whole))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn terms() -> Terms {
        Terms {
            epoch: "abc".into(),
            governor: String::new(),
            zones: vec!["north".into(), "south".into()],
            groups: vec!["match".into(), "charge".into()],
            report_every_s: "1".into(),
            load: vec!["waiting".into()],
            wait_most_s: 30,
        }
    }

    fn state(lines: &[(u8, u32)], both: bool) -> PublishedState {
        let line = |(id, weight): &(u8, u32)| {
            let zone = usize::from(id % 2);
            (
                format!("r{id}").as_str().into(),
                PublishedEntry { address: format!("a:{id}").into(), zone, weight: *weight },
            )
        };
        let said = PublishedTable {
            entries: lines.iter().map(line).collect(),
            admission_millionths: 500_000,
            retry_policy: RetryPolicy::IfNotExecuted,
        };
        PublishedState { classes: vec![Some(said.clone()), both.then_some(said)] }
    }

    proptest! {
        #[test]
        fn what_is_told_is_read_as_it_was(
            one in prop::collection::vec((0u8..9, 1u32..99), 0..9), both in prop::bool::ANY,
            two in prop::collection::vec((0u8..9, 1u32..99), 0..9), other in prop::bool::ANY,
        ) {
            let (one, two, terms) = (state(&one, both), state(&two, other), terms());
            let whole = terms.whole(7, &one.digest(), &one);
            prop_assert_eq!(terms.read(&whole).unwrap(), Ok(one.clone()));
            let delta = table_versions::delta(&one, one.digest(), &two, two.digest());
            let Err(read) = terms.read(&terms.delta(8, &delta)).unwrap() else { panic!() };
            prop_assert_eq!(table_versions::apply(&one, one.digest(), &read).unwrap(), two);
        }

        /// Cut off or changed bytes: an error, or something with another digest; never a panic.
        #[test]
        fn broken_messages_are_refused(cut in 0usize..400, at in 0usize..400, byte in any::<u8>()) {
            let (terms, state) = (terms(), state(&[(1, 5), (2, 7)], true));
            let told = terms.whole(7, &state.digest(), &state);
            let mut cbor = Vec::new();
            ciborium::into_writer(&told, &mut cbor).unwrap();
            let json = serde_json::to_vec(&told).unwrap();
            for good in [json, cbor] {
                let mut bad = good.clone();
                let place = at % bad.len();
                bad[place] = byte;
                bad.truncate(cut.max(1));
                let read = [
                    serde_json::from_slice::<TablesTold>(&bad).ok(),
                    ciborium::from_reader::<TablesTold, _>(bad.as_slice()).ok(),
                ];
                for read in read.into_iter().flatten() {
                    if let Ok(Ok(whole)) = terms.read(&read) {
                        prop_assert_eq!(whole, state.clone());
                    }
                }
            }
        }
    }

    #[test]
    fn versions_and_digests_that_are_none_are_refused() {
        let terms = terms();
        assert_eq!(terms.number("abc.7"), Ok(Some(7)));
        assert_eq!(terms.number("abd.7"), Ok(None));
        assert!(terms.number("abc").is_err() && terms.number("abc.-1").is_err());
        assert_eq!(digest_of(&hex(&[0xa5; 32])), Ok([0xa5; 32]));
        assert!(
            digest_of("").is_err()
                && digest_of(&"é".repeat(32)).is_err()
                && digest_of(&"g".repeat(64)).is_err()
        );
    }
}
