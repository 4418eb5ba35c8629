use super::*;
use serde_json::json;

fn row(name: &str, status: &str) -> Value {
    json!({"name": name, "zone": "a", "status": status, "weight": 2.0, "since_ms": 0})
}

fn apply(list: &mut EndpointList, version: u64, snapshot: bool, rows: &[Value]) -> Option<EndpointUpdate> {
    let object = json!({"index": version, "snapshot": snapshot, "endpoints": rows});
    list.apply(&object, |at| Some(Duration::from_secs_f64(at))).expect("a valid event")
}

fn names(update: &EndpointUpdate) -> Vec<(&str, Phase)> {
    update.entries.iter().map(|entry| (&*entry.id, entry.phase)).collect()
}

#[test]
fn an_invalid_entry_keeps_the_others_and_its_last_valid_one() {
    let mut list = EndpointList::new(&["a".into()]);
    apply(&mut list, 1, true, &[row("r1", "up"), row("r2", "up")]);
    let mut invalid = row("r1", "up");
    invalid["weight"] = json!(-1);
    let update = apply(&mut list, 2, true, &[invalid, row("r3", "up")]).expect("newer");
    assert_eq!(names(&update), [("r1", Phase::Ready), ("r3", Phase::Ready)]);
    assert!(update.scope == RosterScope::Complete && update.invalid_entries.len() == 1);
    // An entry with an invalid name may be that of any missing replica: none is treated as gone.
    let update = apply(&mut list, 3, true, &[json!({"name": 3}), row("r3", "up")]).expect("newer");
    assert!(
        update.scope == RosterScope::Changes && list.version() == Some(3),
        "another snapshot would contain the same invalid entry"
    );
}

#[test]
fn an_invalid_change_requires_a_snapshot() {
    let mut list = EndpointList::new(&["a".into()]);
    apply(&mut list, 1, true, &[row("r1", "up")]);
    let invalid = apply(&mut list, 2, false, &[row("r1", "drained")]).expect("newer");
    assert_eq!((invalid.invalid_entries.len(), list.version()), (1, None));
    let snapshot = apply(&mut list, 2, true, &[row("r1", "draining")]).expect("not older than the list");
    assert_eq!((names(&snapshot), list.version()), (vec![("r1", Phase::Draining)], Some(2)));
}

#[test]
fn older_versions_are_ignored() {
    let mut list = EndpointList::new(&["a".into()]);
    apply(&mut list, 5, true, &[row("r1", "up")]);
    apply(&mut list, 6, false, &[row("r1", "draining")]);
    assert_eq!(apply(&mut list, 5, true, &[row("r1", "up")]), None);
    assert_eq!(apply(&mut list, 6, false, &[]), None);
    let removal = apply(&mut list, 7, false, &[json!({"name": "r1", "status": "removed"})]).expect("newer");
    assert_eq!(names(&removal), [("r1", Phase::Gone)]);
}

#[test]
fn a_malformed_event_changes_nothing_and_requires_a_snapshot() {
    let mut list = EndpointList::new(&["a".into()]);
    apply(&mut list, 5, true, &[row("r1", "up")]);
    assert!(matches!(list.apply_bytes(b"{", |_| None), Err(EndpointListError::Unreadable(_))));
    assert_eq!(
        list.apply_bytes(b"{\"index\":6,\"snapshot\":false}", |_| None),
        Err(EndpointListError::InvalidField("endpoints"))
    );
    // The event's contents are not sent again: a snapshot that is not older is needed before a watch can continue.
    assert_eq!((list.version(), list.entries.len()), (None, 1));
    assert_eq!(apply(&mut list, 4, true, &[]), None);
    assert_eq!(apply(&mut list, 6, false, &[]).map(|update| update.scope), Some(RosterScope::Changes));
    assert_eq!((list.version(), list.entries.len()), (None, 1));
    apply(&mut list, 6, true, &[row("r1", "up")]);
    assert_eq!((list.version(), list.entries.len()), (Some(6), 1));
}

#[test]
fn start_times_are_converted_to_host_time() {
    let mut list = EndpointList::new(&["a".into()]);
    let mut started = row("r1", "up");
    started["since_ms"] = json!(90500);
    let update = apply(&mut list, 1, true, &[started, row("r2", "up")]).expect("newer");
    assert_eq!(update.entries[0].started_at, Some(Duration::from_millis(90500)));
    assert_eq!(update.entries[1].started_at, None);
}
