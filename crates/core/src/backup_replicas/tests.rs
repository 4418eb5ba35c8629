//! Tests of [`super`].

use super::*;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn roster(first: Phase) -> Vec<RosterEntry> {
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
    let mut backups = BackupReplicas::new(s(20));
    let ids = |list: &[RosterEntry]| list.iter().map(|it| it.id.to_string()).collect::<Vec<_>>().join(" ");
    assert_eq!(ids(&backups.update(s(1), roster(Phase::Ready))), "a");
    assert_eq!((backups.next_deadline(), backups.release_due(s(100))), (None, None));
    assert_eq!(ids(&backups.update(s(2), roster(Phase::Draining))), "a z");
    assert_eq!(ids(&backups.update(s(3), roster(Phase::Ready))), "a z", "backups are not released at once");
    assert_eq!(ids(&backups.update(s(10), roster(Phase::Draining))), "a z", "the primary flaps");
    backups.update(s(12), roster(Phase::Ready));
    assert_eq!((backups.next_deadline(), backups.release_due(s(31))), (Some(s(32)), None));
    assert_eq!(ids(&backups.release_due(s(32)).unwrap()), "a");
    assert_eq!((backups.next_deadline(), backups.release_due(s(33))), (None, None));
    assert_eq!(ids(&backups.update(s(40), vec![])), "", "an empty roster does not activate backups");
    assert_eq!(ids(&backups.update(s(41), roster(Phase::Ready))), "a");
}
