//! Tests of [`super`].

use super::*;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn list(first: Phase) -> Vec<RosterEntry> {
    let entry = |id: &str, phase, backup| RosterEntry {
        id: id.into(),
        address: format!("{id}:1").into(),
        zone: 0,
        weight: 1.0,
        phase,
        started_at: None,
        backup,
    };
    vec![entry("a", first, false), entry("z", Phase::Ready, true)]
}

#[test]
fn activates_backups_when_no_primary_is_ready_and_releases_them_later() {
    let mut standby = BackupReplicas::new(s(20));
    let ids = |list: &[RosterEntry]| list.iter().map(|one| one.id.to_string()).collect::<Vec<_>>().join(" ");
    assert_eq!(ids(&standby.update(s(1), list(Phase::Ready))), "a");
    assert_eq!((standby.next_deadline(), standby.release_due(s(100))), (None, None));
    assert_eq!(ids(&standby.update(s(2), list(Phase::Draining))), "a z");
    assert_eq!(ids(&standby.update(s(3), list(Phase::Ready))), "a z", "backups are not released at once");
    assert_eq!(ids(&standby.update(s(10), list(Phase::Draining))), "a z", "the primary flaps");
    standby.update(s(12), list(Phase::Ready));
    assert_eq!((standby.next_deadline(), standby.release_due(s(31))), (Some(s(32)), None));
    assert_eq!(ids(&standby.release_due(s(32)).unwrap()), "a");
    assert_eq!((standby.next_deadline(), standby.release_due(s(33))), (None, None));
    assert_eq!(ids(&standby.update(s(40), vec![])), "", "an empty roster does not activate backups");
    assert_eq!(ids(&standby.update(s(41), list(Phase::Ready))), "a");
}
