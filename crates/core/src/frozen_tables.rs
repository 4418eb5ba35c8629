//! Holds: tables that operators stepped back to, or that another governor handed over, and what of them may
//! still be told.
//!
//! A hold never decides: it takes the lines of an earlier version, which the module decided then, and leaves
//! out what the module would not have now. See `docs/design/versions.md` for how the two live together.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{Phase, ReplicaId};

use crate::roster::Roster;
use crate::table_versions::PublishedTable;
use crate::tables::{ResolvedEntry, Table};

/// An earlier table of a proxy's group, in force until released.
#[derive(Debug, Clone, PartialEq)]
pub struct FrozenTable {
    /// The version that was stepped back to, and when it was told.
    pub version: u64,
    pub published_at: Duration,
    pub table: PublishedTable,
    pub since: Duration,
    pub until: Duration,
    pub why: Arc<str>,
    /// Another governor told it: it holds until the module here has spoken.
    pub migrated: bool,
}

/// Why a line of a held table is not told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum OmissionReason {
    #[error("gone or draining")]
    Gone,
    #[error("withdrawn by the module")]
    Withdrawn,
    #[error("started since, and not in the module's present table")]
    Cold,
}

/// Why a hold is over.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ReleaseReason {
    #[error("released")]
    Released,
    #[error("its time is over")]
    Time,
    #[error("nothing of it is left, and the proxy would be bare")]
    Bare,
    #[error("another step back took its place: {0}")]
    Replaced(Arc<str>),
    #[error("the proxy's number went to another")]
    Reused,
}

/// What a hold comes to now, beside the module's present table for the same proxy and group.
///
/// A replica that started after the version was told is another process than the one that the table meant:
/// how much of it can be borne is the module's to say. It gets the share of the table that the module gives
/// it now, at most its held one, or is left out where the module gives it none. `withdrawn` is the module's
/// word too.
///
/// None where no line is left: the hold is over then.
pub fn told(
    hold: &FrozenTable,
    present: &Table,
    roster: &Roster,
    withdrawn: impl Fn(&ReplicaId) -> bool,
) -> (Option<Table>, BTreeMap<ReplicaId, OmissionReason>) {
    let mut left_out = BTreeMap::new();
    let open = |line: &&ResolvedEntry| line.routable;
    let all: f64 = present.entries.iter().filter(open).map(|line| line.weight).sum();
    let held: f64 = hold.table.entries.values().map(|line| f64::from(line.weight)).sum();
    let mut lines = Vec::new();
    let mut capped = Vec::new();
    for (id, line) in &hold.table.entries {
        let known = roster.get(id).filter(|known| known.phase == Phase::Ready);
        let Some(known) = known else {
            left_out.insert(id.clone(), OmissionReason::Gone);
            continue;
        };
        if withdrawn(id) {
            left_out.insert(id.clone(), OmissionReason::Withdrawn);
            continue;
        }
        let share = f64::from(line.weight) / held;
        let made = |weight| ResolvedEntry {
            replica: id.clone(),
            address: known.address.clone(),
            zone: known.zone,
            weight,
            routable: true,
        };
        if known.started_at.is_none_or(|at| at <= hold.published_at) {
            lines.push(made(share));
            continue;
        }
        match present.entries.iter().filter(open).find(|present| present.replica == *id) {
            Some(now) => capped.push((made(share), now.weight / all)),
            None => drop(left_out.insert(id.clone(), OmissionReason::Cold)),
        }
    }
    if lines.is_empty() {
        // With nothing but what started since, the module's own table is the only one that is known to be
        // borne.
        return (None, left_out);
    }
    // Shares are of the table as it comes out: what is left out must not raise a capped one's beyond its cap.
    let firm: f64 = lines.iter().map(|line| line.weight).sum();
    let caps: f64 = capped.iter().map(|(_, cap)| cap).sum::<f64>().min(0.95);
    let whole = firm / (1.0 - caps);
    for (mut line, cap) in capped {
        line.weight = line.weight.min(cap * whole);
        lines.push(line);
    }
    lines.sort_by(|one, other| one.replica.cmp(&other.replica));
    // The level is not held: it says what the fleet bears now.
    (Some(Table { entries: lines, admission_fraction: present.admission_fraction }), left_out)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::roster::RosterEntry;
    use crate::table_versions::{MILLION, PublishedEntry};
    use wrenthread::types::RetryPolicy;

    const fn s(seconds: u64) -> Duration {
        Duration::from_secs(seconds)
    }

    fn hold(names: &[&str]) -> FrozenTable {
        let line =
            |name: &&str| ((**name).into(), PublishedEntry { address: "x".into(), zone: 0, weight: 1000 });
        let lines = names.iter().map(line).collect();
        FrozenTable {
            version: 3,
            published_at: s(10),
            table: PublishedTable {
                entries: lines,
                admission_millionths: MILLION,
                retry_policy: RetryPolicy::Never,
            },
            since: s(50),
            until: s(100),
            why: "".into(),
            migrated: false,
        }
    }

    fn roster(entries: &[(&str, Phase, Option<u64>)]) -> Roster {
        let mut roster = Roster::new(Duration::ZERO);
        let entry = |(name, phase, started): &(&str, Phase, Option<u64>)| RosterEntry {
            id: (*name).into(),
            address: format!("{name}:1").into(),
            zone: 0,
            weight: 1.0,
            phase: *phase,
            started_at: started.map(s),
            backup: false,
        };
        roster.take(s(60), entries.iter().map(entry).collect());
        roster
    }

    fn present(lines: &[(&str, f64)]) -> Table {
        let line = |(name, weight): &(&str, f64)| ResolvedEntry {
            replica: (*name).into(),
            address: "x".into(),
            zone: 0,
            weight: *weight,
            routable: true,
        };
        Table { entries: lines.iter().map(line).collect(), admission_fraction: 0.5 }
    }

    #[test]
    fn what_has_drained_is_gone_or_withdrawn_never_comes_back() {
        use Phase::{Draining, Gone, Ready};
        let roster =
            roster(&[("a", Ready, None), ("b", Draining, None), ("c", Gone, None), ("d", Ready, None)]);
        let (table, left_out) =
            told(&hold(&["a", "b", "c", "d", "e"]), &present(&[("a", 1.0)]), &roster, |id| &**id == "d");
        let table = table.unwrap();
        assert_eq!(table.entries.iter().map(|line| &*line.replica).collect::<Vec<_>>(), ["a"]);
        assert_eq!(&*table.entries[0].address, "a:1", "where it is now");
        assert_eq!(table.admission_fraction, 0.5);
        let why: Vec<OmissionReason> = left_out.into_values().collect();
        assert_eq!(
            why,
            [OmissionReason::Gone, OmissionReason::Gone, OmissionReason::Withdrawn, OmissionReason::Gone]
        );
    }

    #[test]
    fn what_started_since_gets_no_more_than_the_module_gives_it() {
        let roster = roster(&[
            ("a", Phase::Ready, None),
            ("b", Phase::Ready, Some(40)),
            ("c", Phase::Ready, Some(40)),
        ]);
        let now = present(&[("a", 0.9), ("b", 0.1)]);
        let (table, left_out) = told(&hold(&["a", "b", "c"]), &now, &roster, |_| false);
        let lines = table.unwrap().entries;
        let all: f64 = lines.iter().map(|line| line.weight).sum();
        assert!((lines[1].weight / all - 0.1).abs() < 1e-9, "{lines:?}");
        assert_eq!(left_out[&ReplicaId::from("c")], OmissionReason::Cold);
    }

    #[test]
    fn a_deploy_that_replaced_all_that_a_table_names_ends_its_hold() {
        let roster = roster(&[("a", Phase::Ready, Some(40)), ("b", Phase::Ready, Some(40))]);
        let now = present(&[("a", 0.5), ("b", 0.5)]);
        assert_eq!(told(&hold(&["a", "b"]), &now, &roster, |_| false).0, None);
    }
}
