//! Latency of durable writes and time to open the store, compared with `redb` in the same run and folder.
//! `cargo bench -p wrenthread-durable-store --bench store`

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a benchmark may end by panicking, and reads top-down"
)]

use std::path::Path;
use std::time::Instant;

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use wrenthread_durable_store::disk::Folder;
use wrenthread_durable_store::{Change, Store};

const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("entries");
const WRITES: usize = 300;

/// The changes of one write: `entries` entries of `bytes` bytes each.
fn beat(at: usize, entries: usize, bytes: usize) -> Vec<Change> {
    let entry =
        |n: usize| Change::put(format!("proxy/relay-{}", (at * entries + n) % 1000), vec![at as u8; bytes]);
    (0..entries).map(entry).collect()
}

fn spread(mut all: Vec<f64>) -> String {
    all.sort_by(f64::total_cmp);
    format!("{:.2} ms (p50), {:.2} (p99)", all[all.len() / 2], all[all.len() * 99 / 100])
}

fn ms(began: Instant) -> f64 {
    began.elapsed().as_secs_f64() * 1e3
}

fn size(path: &Path) -> u64 {
    let Ok(entries) = std::fs::read_dir(path) else {
        return std::fs::metadata(path).map_or(0, |one| one.len());
    };
    entries.flatten().filter_map(|entry| entry.metadata().ok()).map(|one| one.len()).sum()
}

fn main() {
    let folder = std::env::temp_dir().join(format!("wrenthread-durable-store-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    for (entries, bytes) in [(5, 600), (50, 1200)] {
        let (ours, theirs) = (folder.join(format!("ours-{entries}")), folder.join(format!("redb-{entries}")));
        let (mut store, _) =
            Store::open(Folder::lock(&ours).expect("the folder can be locked")).expect("the store opens");
        let database = Database::create(&theirs).expect("redb can create its file");
        let (mut one, mut other) = (Vec::new(), Vec::new());
        // The two stores write alternately, so that both see the same disk load.
        for at in 0..WRITES {
            let changes = beat(at, entries, bytes);
            let began = Instant::now();
            store.write(&changes).expect("the write succeeds");
            one.push(ms(began));
            let began = Instant::now();
            let transaction = database.begin_write().expect("the transaction begins");
            {
                let mut table = transaction.open_table(TABLE).expect("the table opens");
                for Change { name, content } in &changes {
                    table
                        .insert(name.as_str(), content.as_deref().unwrap_or_default())
                        .expect("the insert succeeds");
                }
            }
            transaction.commit().expect("the commit succeeds");
            other.push(ms(began));
        }
        drop((store, database));
        let began = Instant::now();
        let found =
            wrenthread_durable_store::read(&mut Folder::read_only(&ours)).expect("the folder can be read");
        let opened = ms(began);
        let began = Instant::now();
        let database = Database::open(&theirs).expect("redb opens its file");
        let read = database
            .begin_read()
            .expect("the read transaction begins")
            .open_table(TABLE)
            .expect("the table opens");
        let count = read.iter().expect("the entries can be read").count();
        let theirs_opened = ms(began);
        println!("{entries} entries of {bytes} bytes per write, {WRITES} writes:");
        println!(
            "  durable-store {}; opened in {opened:.1} ms ({} entries), {} bytes",
            spread(one),
            found.entries.len(),
            size(&ours)
        );
        println!(
            "  redb {}; opened in {theirs_opened:.1} ms ({count} entries), {} bytes",
            spread(other),
            size(&theirs)
        );
    }
    let _ = std::fs::remove_dir_all(folder);
}
