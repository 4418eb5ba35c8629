use super::*;
use crate::disk::{Fault, Folder, MemoryDisk, Unsynced};
use proptest::prelude::*;

const ALL_UNSYNCED: [Unsynced; 5] =
    [Unsynced::Lost, Unsynced::Kept, Unsynced::FirstHalfKept, Unsynced::LastHalfKept, Unsynced::NamesLost];

fn put(name: &str, content: &str) -> Change {
    (name.to_string(), Some(content.as_bytes().to_vec()))
}

/// A run of writes, some of which fold: each state that was to last once its write returned.
fn run(disk: &MemoryDisk) -> Vec<(Entries, bool)> {
    let mut states = vec![(Entries::new(), true)];
    let Ok((mut store, _)) = Store::open(disk.clone()) else { return states };
    for step in 0..9 {
        let mut changes = vec![put(&format!("proxy/{}", step % 3), &format!("table {step}"))];
        if step == 0 {
            changes.push(put("level/entry", "said once"));
        }
        if step % 4 == 3 {
            changes.push((format!("proxy/{}", (step + 1) % 3), None));
        }
        let mut wanted = store.entries().clone();
        apply(&mut wanted, changes.clone());
        let well = if step == 5 {
            let written = store.write(&changes);
            written.and_then(|()| store.compact())
        } else {
            store.write(&changes)
        };
        states.push((wanted, well.is_ok()));
    }
    states
}

#[test]
fn every_crash_point_starts_clean_with_a_state_that_was() {
    let quiet = MemoryDisk::default();
    run(&quiet);
    let mut points = 0;
    for call in 0..quiet.calls() {
        for leaves in ALL_UNSYNCED {
            let disk = MemoryDisk::default();
            disk.fault(call, Fault::Crash);
            let states = run(&disk);
            let left = disk.after_crash(leaves);
            let (mut store, found) = Store::open(left.clone()).unwrap();
            let lasted = states.iter().rposition(|(_, well)| *well).unwrap();
            let at = states.iter().rposition(|(state, _)| *state == found.entries);
            assert!(at.is_some_and(|at| at >= lasted), "call {call}, {leaves:?}: {found:?}, of {states:?}");
            // It goes on, and that lasts too.
            store.write(&[put("again", "x")]).unwrap();
            let (_, again) = Store::open(left.after_crash(Unsynced::Lost)).unwrap();
            assert_eq!(again.entries, *store.entries(), "call {call}, {leaves:?}");
            points += 1;
        }
    }
    assert!(points > 150, "{points}");
}

#[test]
fn a_call_that_fails_loses_nothing_that_lasted_and_the_next_write_has_it_all() {
    let quiet = MemoryDisk::default();
    run(&quiet);
    for call in 0..quiet.calls() {
        for fault in [Fault::Error, Fault::PartialAppend] {
            let disk = MemoryDisk::default();
            disk.fault(call, fault);
            let states = run(&disk);
            // The last write of the run went well, or was the one that failed.
            let (_, found) = Store::open(disk.after_crash(Unsynced::Lost)).unwrap();
            let lasted = states.iter().rposition(|(_, well)| *well).unwrap();
            let at = states.iter().rposition(|(state, _)| *state == found.entries);
            assert!(at.is_some_and(|at| at >= lasted), "call {call}, {fault:?}: {found:?}, of {states:?}");
            assert!(
                states.iter().filter(|(_, well)| !well).count() <= 1,
                "call {call}: one fault, one error"
            );
        }
    }
}

#[test]
fn a_turned_bit_or_a_cut_anywhere_is_seen_and_what_is_used_is_a_state_that_was() {
    let disk = MemoryDisk::default();
    let states = run(&disk);
    let last = &states.last().unwrap().0;
    let whole = |left: MemoryDisk, name: &str, what: String| {
        let (_, found) = Store::open(left).unwrap();
        assert!(states.iter().any(|(state, _)| *state == found.entries), "{name}, {what}: {found:?}");
        // The snapshot before, and the journals of both, say all that the damaged one did.
        assert!(!name.starts_with("snapshot") || found.entries == *last, "{name}, {what}: {found:?}");
    };
    for name in disk.clone().list().unwrap() {
        let bytes = disk.clone().read(&name, MAX_TOTAL_BYTES).unwrap();
        for bit in 0..bytes.len() * 8 {
            let left = disk.after_crash(Unsynced::Kept);
            left.flip(&name, bit);
            whole(left, &name, format!("bit {bit}"));
        }
        for cut in 0..bytes.len() {
            let left = disk.after_crash(Unsynced::Kept);
            left.put(&name, &bytes[..cut]);
            whole(left, &name, format!("cut at {cut}"));
        }
    }
}

#[test]
fn files_of_other_forms_and_strange_ones_are_said_and_left() {
    let disk = MemoryDisk::default();
    disk.put("snapshot.7", b"wrenthread state 02\nwhat a later version writes");
    disk.put("snapshot.6", b"something else");
    let (mut store, found) = Store::open(disk.clone()).unwrap();
    assert_eq!((found.entries.len(), found.generation), (0, 7));
    assert!(
        found.losses[0].contains("it is of form `02`, and this version reads form `01`"),
        "{:?}",
        found.losses
    );
    assert!(found.losses[1].contains("no file of this kind"));
    store.write(&[put("a", "b")]).unwrap();
    assert!(disk.clone().list().unwrap().contains(&"snapshot.8".to_string()));
    // A file that this version wrote, kept as it was: later versions have to read it.
    let kept = MemoryDisk::default();
    kept.put("snapshot.1", include_bytes!("../tests/form-01.snapshot"));
    let (_, found) = Store::open(kept).unwrap();
    assert_eq!(found.entries["level/entry"], b"0.5");
    assert_eq!((found.entries.len(), found.losses.len()), (2, 0));
}

#[test]
fn what_is_too_large_is_refused_and_changes_nothing() {
    let disk = MemoryDisk::default();
    let (mut store, _) = Store::open(disk).unwrap();
    store.write(&[put("a", "b")]).unwrap();
    assert!(matches!(
        store.write(&[("x".into(), Some(vec![0; MAX_ENTRY_BYTES + 1]))]),
        Err(DiskError::Full(_))
    ));
    assert_eq!(store.entries().len(), 1);
}

#[test]
fn journals_are_folded_and_old_files_go() {
    let disk = MemoryDisk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    for step in 0..400 {
        store.write(&[("one".into(), Some(vec![step as u8; 8 << 10]))]).unwrap();
    }
    let names = disk.clone().list().unwrap();
    assert!(names.len() <= 4, "{names:?}");
    assert!(store.sizes().1 <= MIN_COMPACTION_BYTES + (16 << 10), "{:?}", store.sizes());
}

#[test]
fn no_two_lives_have_one_number() {
    let mut disk = MemoryDisk::default();
    let (first, lost) = reserve_epoch(&mut disk, 5_000_000, 7);
    assert_eq!((first & 0xffff, lost), (7, None));
    // The calendar stands still, or was set back.
    let (second, _) = reserve_epoch(&mut disk, 5_000_000, 9);
    let (third, _) = reserve_epoch(&mut disk, 1, 9);
    assert!(first < second && second < third);
    // A disk that loses all of its last write, at whichever call.
    for call in 0..6 {
        for leaves in ALL_UNSYNCED {
            let disk = MemoryDisk::default();
            let (one, _) = reserve_epoch(&mut disk.clone(), 100, 1);
            disk.fault(disk.calls() + call, Fault::Crash);
            let (two, _) = reserve_epoch(&mut disk.clone(), 100, 2);
            let (three, _) = reserve_epoch(&mut disk.after_crash(leaves), 100, 3);
            assert!(three > one && three != two, "call {call}, {leaves:?}: {one} {two} {three}");
        }
    }
    // What is damaged does not bring old numbers back.
    let disk = MemoryDisk::default();
    reserve_epoch(&mut disk.clone(), 100, 1);
    let (two, _) = reserve_epoch(&mut disk.clone(), 100, 1);
    disk.flip("epoch", 300);
    let (three, _) = reserve_epoch(&mut disk.clone(), 100, 2);
    assert!(three >= two & !0xffff && three != two);
    let (_, lost) = {
        disk.fault(disk.calls(), Fault::Error);
        reserve_epoch(&mut disk.clone(), 100, 4)
    };
    assert!(lost.unwrap().contains("a fault"));
}

#[test]
fn a_folder_is_one_process_s_and_its_owners_alone() {
    use std::os::unix::fs::PermissionsExt;
    let path = std::env::temp_dir().join(format!("wrenthread-durable-store-{}", std::process::id()));
    let (mut store, _) = Store::open(Folder::lock(&path).unwrap()).unwrap();
    store.write(&[put("a", "b")]).unwrap();
    store.write(&[put("c", "d")]).unwrap();
    assert!(matches!(Folder::lock(&path), Err(DiskError::Locked(_))));
    let found = read(&mut Folder::read_only(&path)).unwrap();
    assert_eq!((found.entries.len(), found.losses.len()), (2, 0));
    for entry in std::fs::read_dir(&path).unwrap() {
        let mode = entry.unwrap().metadata().unwrap().permissions().mode();
        assert_eq!(mode & 0o077, 0, "{mode:o}");
    }
    drop(store);
    assert!(Folder::lock(&path).is_ok());
    std::fs::remove_dir_all(&path).unwrap();
}

proptest! {
    #[test]
    fn changes_are_read_as_they_were_written(
        changes in prop::collection::vec(
            (".{0,9}", prop::option::of(prop::collection::vec(any::<u8>(), 0..20))), 0..9,
        ),
    ) {
        prop_assert_eq!(unpack(&pack(&changes)), Some(changes));
    }

    #[test]
    fn no_bytes_make_it_panic(
        mut bytes in prop::collection::vec(any::<u8>(), 0..200), headed in any::<bool>(),
    ) {
        if headed {
            bytes.splice(0..0, frame::header());
        }
        let _ = (frame::read(&bytes), unpack(&bytes));
        let disk = MemoryDisk::default();
        disk.put("snapshot.3", &bytes);
        disk.put("journal.3", &bytes);
        disk.put("epoch", &bytes);
        prop_assert!(Store::open(disk.clone()).is_ok());
        reserve_epoch(&mut disk.clone(), 1, 1);
    }
}

/// Writes the kept file anew: only where the form has a new number, and under that.
#[test]
#[ignore]
fn write_the_kept_file() {
    let disk = MemoryDisk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    store.write(&[put("level/entry", "0.5"), put("proxy/relay-1", "{}")]).unwrap();
    std::fs::write("tests/form-01.snapshot", disk.clone().read("snapshot.1", MAX_TOTAL_BYTES).unwrap())
        .unwrap();
}
