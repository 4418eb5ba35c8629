//! Tests of [`super`].

use super::*;

fn entry(replica: &str, weight: f64) -> TableEntry {
    TableEntry { replica: replica.into(), weight }
}
use crate::roster::RosterEntry;
use std::time::Duration;
use wrenthread::types::Phase;

fn roster(names: &[&str]) -> Roster {
    let mut roster = Roster::new(Duration::ZERO);
    let entry = |name: &&str| RosterEntry {
        id: (**name).into(),
        address: format!("{name}:1").into(),
        zone: 0,
        weight: 1.0,
        phase: Phase::Ready,
        started_at: None,
        backup: false,
    };
    roster.update(Duration::ZERO, names.iter().map(entry).collect());
    roster
}

#[test]
fn publishes_a_default_table_only_once_it_is_restricted() {
    let (roster, mut tables) = (roster(&["a", "b"]), Tables::new(1, RetryPolicy::Never));
    let default_table = [("b".into(), 1.0), ("a".into(), 2.0)];
    assert_eq!(tables.resolve(&roster, 0, None, &default_table, false), None);
    tables.set_ejected("a".into(), true);
    let table = tables.resolve(&roster, 0, None, &default_table, false).unwrap();
    let resolved_entries: Vec<_> =
        table.entries.iter().map(|entry| (&*entry.replica, entry.weight, entry.routable)).collect();
    assert_eq!(resolved_entries, [("a", 2.0, false), ("b", 1.0, true)]);
    tables.set_ejected("a".into(), false);
    assert!(
        tables.resolve(&roster, 0, None, &default_table, true).unwrap().entries[0].routable,
        "a published table is kept up to date"
    );
}

#[test]
fn ejection_closes_entries_from_before_and_after_it() {
    let (roster, mut tables) = (roster(&["a", "b"]), Tables::new(1, RetryPolicy::Never));
    tables.update_entries(4, vec![entry("a", 1.0)]);
    tables.set_ejected("b".into(), true);
    tables.update_entries(4, vec![entry("b", 1.0), entry("a", 0.0), entry("unlisted", 1.0)]);
    let table = tables.resolve(&roster, 0, Some(4), &[], false).unwrap();
    assert_eq!(table.entries.len(), 1);
    assert!(!table.entries[0].routable && &*table.entries[0].replica == "b");
}

#[test]
fn counts_differences_and_detects_tables_that_route_to_ejected_replicas() {
    let resolved = |name: &str, weight, is_routable| ResolvedEntry {
        replica: name.into(),
        address: "x".into(),
        zone: 0,
        weight,
        routable: is_routable,
    };
    let first =
        Table { entries: vec![resolved("a", 1.0, true), resolved("c", 1.0, true)], admission_fraction: 1.0 };
    let second =
        Table { entries: vec![resolved("b", 1.0, true), resolved("c", 2.0, true)], admission_fraction: 0.5 };
    assert_eq!((second.count_differences(&first), first.count_differences(&first)), (4, 0));
    let mut tables = Tables::new(1, RetryPolicy::Never);
    assert!(!tables.routes_to_ejected(&first));
    tables.set_ejected("c".into(), true);
    assert!(tables.routes_to_ejected(&first));
    assert!(
        !tables
            .routes_to_ejected(&Table { entries: vec![resolved("c", 1.0, false)], admission_fraction: 1.0 })
    );
}
