use super::*;
use serde_json::json;

fn row(name: &str, status: &str) -> Value {
    json!({"name": name, "zone": "a", "status": status, "weight": 2.0, "since_ms": 0})
}

fn take(list: &mut EndpointList, version: u64, snapshot: bool, rows: &[Value]) -> Option<EndpointUpdate> {
    let object = json!({"index": version, "snapshot": snapshot, "endpoints": rows});
    list.take(&object, |at| Some(Duration::from_secs_f64(at))).expect("it can be used")
}

fn names(change: &EndpointUpdate) -> Vec<(&str, Phase)> {
    change.entries.iter().map(|entry| (&*entry.id, entry.phase)).collect()
}

#[test]
fn a_spoilt_entry_leaves_the_rest_and_what_was_known_of_it() {
    let mut list = EndpointList::new(&["a".into()]);
    take(&mut list, 1, true, &[row("r1", "up"), row("r2", "up")]);
    let mut spoilt = row("r1", "up");
    spoilt["weight"] = json!(-1);
    let change = take(&mut list, 2, true, &[spoilt, row("r3", "up")]).expect("newer");
    assert_eq!(names(&change), [("r1", Phase::Ready), ("r3", Phase::Ready)]);
    assert!(change.complete && change.invalid_entries.len() == 1);
    // One whose name can't be read may be any that is missing: nothing is taken for gone.
    let change = take(&mut list, 3, true, &[json!({"name": 3}), row("r3", "up")]).expect("newer");
    assert!(!change.complete && list.version() == Some(3), "asking again would bring the same");
}

#[test]
fn a_change_that_was_spoilt_is_had_from_the_whole_list() {
    let mut list = EndpointList::new(&["a".into()]);
    take(&mut list, 1, true, &[row("r1", "up")]);
    let spoilt = take(&mut list, 2, false, &[row("r1", "drained")]).expect("newer");
    assert_eq!((spoilt.invalid_entries.len(), list.version()), (1, None));
    let whole = take(&mut list, 2, true, &[row("r1", "draining")]).expect("no older than what is known");
    assert_eq!((names(&whole), list.version()), (vec![("r1", Phase::Draining)], Some(2)));
}

#[test]
fn what_is_older_brings_nothing_back() {
    let mut list = EndpointList::new(&["a".into()]);
    take(&mut list, 5, true, &[row("r1", "up")]);
    take(&mut list, 6, false, &[row("r1", "draining")]);
    assert_eq!(take(&mut list, 5, true, &[row("r1", "up")]), None);
    assert_eq!(take(&mut list, 6, false, &[]), None);
    let gone = take(&mut list, 7, false, &[json!({"name": "r1", "status": "removed"})]).expect("newer");
    assert_eq!(names(&gone), [("r1", Phase::Gone)]);
}

#[test]
fn an_object_that_cannot_be_used_changes_nothing() {
    let mut list = EndpointList::new(&["a".into()]);
    take(&mut list, 5, true, &[row("r1", "up")]);
    assert!(matches!(list.read(b"{", |_| None), Err(EndpointListError::Unreadable(_))));
    assert_eq!(
        list.read(b"{\"index\":6,\"snapshot\":false}", |_| None),
        Err(EndpointListError::InvalidField("endpoints"))
    );
    // What it was to tell will not be told again: no watch may go on before all is told, by nobody older.
    assert_eq!((list.version(), list.entries.len()), (None, 1));
    assert_eq!(take(&mut list, 4, true, &[]), None);
    assert_eq!(take(&mut list, 6, false, &[]).map(|change| change.complete), Some(false));
    assert_eq!((list.version(), list.entries.len()), (None, 1));
    take(&mut list, 6, true, &[row("r1", "up")]);
    assert_eq!((list.version(), list.entries.len()), (Some(6), 1));
}

#[test]
fn starts_are_told_in_the_hosts_time() {
    let mut list = EndpointList::new(&["a".into()]);
    let mut started = row("r1", "up");
    started["since_ms"] = json!(90500);
    let change = take(&mut list, 1, true, &[started, row("r2", "up")]).expect("newer");
    assert_eq!(change.entries[0].started_at, Some(Duration::from_millis(90500)));
    assert_eq!(change.entries[1].started_at, None);
}
