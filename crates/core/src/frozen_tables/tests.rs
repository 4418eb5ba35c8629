//! Tests of [`super`].

use super::*;
use crate::roster::RosterEntry;
use crate::table_versions::{MILLION, PublishedEntry};
use wrenthread::types::RetryPolicy;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn frozen_table(names: &[&str]) -> FrozenTable {
    let entry =
        |name: &&str| ((**name).into(), PublishedEntry { address: "x".into(), zone: 0, weight: 1000 });
    let frozen_entries = names.iter().map(entry).collect();
    FrozenTable {
        version: 3,
        published_at: s(10),
        table: PublishedTable {
            entries: frozen_entries,
            admission_millionths: MILLION,
            retry_policy: RetryPolicy::Never,
        },
        since: s(50),
        until: s(100),
        reason: "".into(),
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
    roster.update(s(60), entries.iter().map(entry).collect());
    roster
}

fn current_table(entries: &[(&str, f64)]) -> Table {
    let entry = |(name, weight): &(&str, f64)| ResolvedEntry {
        replica: (*name).into(),
        address: "x".into(),
        zone: 0,
        weight: *weight,
        routable: true,
    };
    Table { entries: entries.iter().map(entry).collect(), admission_fraction: 0.5 }
}

#[test]
fn omits_replicas_that_drain_are_gone_or_ejected() {
    use Phase::{Draining, Gone, Ready};
    let roster = roster(&[("a", Ready, None), ("b", Draining, None), ("c", Gone, None), ("d", Ready, None)]);
    let (table, omitted) =
        resolve(&frozen_table(&["a", "b", "c", "d", "e"]), &current_table(&[("a", 1.0)]), &roster, |id| {
            &**id == "d"
        });
    let table = table.unwrap();
    assert_eq!(table.entries.iter().map(|entry| &*entry.replica).collect::<Vec<_>>(), ["a"]);
    assert_eq!(&*table.entries[0].address, "a:1", "its current address");
    assert_eq!(table.admission_fraction, 0.5);
    let reasons: Vec<OmissionReason> = omitted.into_values().collect();
    assert_eq!(
        reasons,
        [
            OmissionReason::NotReady,
            OmissionReason::NotReady,
            OmissionReason::Ejected,
            OmissionReason::NotReady
        ]
    );
}

#[test]
fn caps_replicas_that_restarted_since() {
    let roster =
        roster(&[("a", Phase::Ready, None), ("b", Phase::Ready, Some(40)), ("c", Phase::Ready, Some(40))]);
    let current = current_table(&[("a", 0.9), ("b", 0.1)]);
    let (table, omitted) = resolve(&frozen_table(&["a", "b", "c"]), &current, &roster, |_| false);
    let entries = table.unwrap().entries;
    let all: f64 = entries.iter().map(|entry| entry.weight).sum();
    assert!((entries[1].weight / all - 0.1).abs() < 1e-9, "{entries:?}");
    assert_eq!(omitted[&ReplicaId::from("c")], OmissionReason::Restarted);
}

#[test]
fn releases_a_frozen_table_all_of_whose_replicas_were_replaced() {
    let roster = roster(&[("a", Phase::Ready, Some(40)), ("b", Phase::Ready, Some(40))]);
    let current = current_table(&[("a", 0.5), ("b", 0.5)]);
    assert_eq!(resolve(&frozen_table(&["a", "b"]), &current, &roster, |_| false).0, None);
}
