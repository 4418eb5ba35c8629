//! Compatibility with a stored folder that the release at commit b735929 wrote: later releases must read it, and write
//! the same bytes.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use std::collections::BTreeMap;

use wrenthread_durable_store::disk::{Disk, MemoryDisk};
use wrenthread_durable_store::{Change, Store, reserve_epoch};

const FILES: [(&str, &[u8]); 6] = [
    ("epoch", include_bytes!("golden/form-01/epoch")),
    ("epoch.before", include_bytes!("golden/form-01/epoch.before")),
    ("journal.1", include_bytes!("golden/form-01/journal.1")),
    ("journal.2", include_bytes!("golden/form-01/journal.2")),
    ("snapshot.1", include_bytes!("golden/form-01/snapshot.1")),
    ("snapshot.2", include_bytes!("golden/form-01/snapshot.2")),
];

fn stored_folder() -> MemoryDisk {
    let disk = MemoryDisk::default();
    for (name, bytes) in FILES {
        disk.add_synced_file(name, bytes);
    }
    disk
}

fn put(name: &str, content: &[u8]) -> Change {
    Change::put(name, content)
}

/// Repeats the writes that created the stored folder.
fn repeat_writes(mut disk: MemoryDisk) {
    reserve_epoch(&mut disk, 1_700_000_000_000_000, 7);
    reserve_epoch(&mut disk, 1_700_000_100_000_000, 9);
    let (mut store, _) = Store::open(disk).unwrap();
    store.write(&[put("level/entry", b"0.5"), put("proxy/relay-1", b"{}"), put("empty", b"")]).unwrap();
    store.write(&[put("proxy/relay-2", &[0, 255, 10]), put("level/entry", b"0.75")]).unwrap();
    store.compact().unwrap();
    let every_byte: Vec<u8> = (0..=255).collect();
    store.write(&[put("proxy/relay-3", &every_byte), Change::remove("proxy/relay-1")]).unwrap();
    store.write(&[put("names/ü", b"x"), put("level/entry", b"1")]).unwrap();
}

#[test]
fn reads_all_entries_of_the_earlier_release() {
    let (_, recovered) = Store::open(stored_folder()).unwrap();
    let expected = BTreeMap::from([
        ("empty".to_string(), Vec::new()),
        ("level/entry".to_string(), b"1".to_vec()),
        ("names/ü".to_string(), b"x".to_vec()),
        ("proxy/relay-2".to_string(), vec![0, 255, 10]),
        ("proxy/relay-3".to_string(), (0..=255).collect()),
    ]);
    assert_eq!(recovered.entries, expected);
    assert_eq!((recovered.losses.len(), recovered.generation, recovered.journal_bytes), (0, 2, 395));
}

#[test]
fn reserves_an_epoch_above_that_of_the_earlier_release() {
    // The earlier release reserved 1_700_000_100_000_000 with its last 16 bits replaced by 9.
    let last_epoch = (1_700_000_100_000_000 & !0xffff) | 9;
    let next_epoch = reserve_epoch(&mut stored_folder(), 1, 3).epoch;
    assert_eq!(next_epoch, ((last_epoch + (1 << 16)) & !0xffff) | 3);
}

#[test]
fn writes_the_folder_of_the_earlier_release_byte_for_byte() {
    let disk = MemoryDisk::default();
    repeat_writes(disk.clone());
    let mut disk = disk;
    let names: Vec<&str> = FILES.iter().map(|(name, _)| *name).collect();
    assert_eq!(disk.list().unwrap(), names);
    for (name, bytes) in FILES {
        assert_eq!(disk.read(name, 1 << 20).unwrap(), bytes, "{name}");
    }
}
