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
fn changes_of_write(write: usize, entries: usize, bytes: usize) -> Vec<Change> {
    let entry = |index: usize| {
        Change::put(format!("proxy/relay-{}", (write * entries + index) % 1000), vec![write as u8; bytes])
    };
    (0..entries).map(entry).collect()
}

fn percentiles(mut latencies: Vec<f64>) -> String {
    latencies.sort_by(f64::total_cmp);
    format!(
        "{:.2} ms (p50), {:.2} (p99)",
        latencies[latencies.len() / 2],
        latencies[latencies.len() * 99 / 100]
    )
}

fn ms(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1e3
}

fn disk_bytes(path: &Path) -> u64 {
    let Ok(entries) = std::fs::read_dir(path) else {
        return std::fs::metadata(path).map_or(0, |metadata| metadata.len());
    };
    entries.flatten().filter_map(|entry| entry.metadata().ok()).map(|metadata| metadata.len()).sum()
}

fn main() {
    let folder = std::env::temp_dir().join(format!("wrenthread-durable-store-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    for (entries, bytes) in [(5, 600), (50, 1200)] {
        let (store_path, redb_path) =
            (folder.join(format!("store-{entries}")), folder.join(format!("redb-{entries}")));
        let (mut store, _) = Store::open(Folder::lock(&store_path).expect("the folder can be locked"))
            .expect("the store opens");
        let database = Database::create(&redb_path).expect("redb can create its file");
        let (mut store_latencies, mut redb_latencies) = (Vec::new(), Vec::new());
        // The two stores write alternately, so that both see the same disk load.
        for write in 0..WRITES {
            let changes = changes_of_write(write, entries, bytes);
            let started = Instant::now();
            store.write(&changes).expect("the write succeeds");
            store_latencies.push(ms(started));
            let started = Instant::now();
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
            redb_latencies.push(ms(started));
        }
        drop((store, database));
        let started = Instant::now();
        let recovered = wrenthread_durable_store::read(&mut Folder::read_only(&store_path))
            .expect("the folder can be read");
        let store_open_ms = ms(started);
        let started = Instant::now();
        let database = Database::open(&redb_path).expect("redb opens its file");
        let read = database
            .begin_read()
            .expect("the read transaction begins")
            .open_table(TABLE)
            .expect("the table opens");
        let count = read.iter().expect("the entries can be read").count();
        let redb_open_ms = ms(started);
        println!("{entries} entries of {bytes} bytes per write, {WRITES} writes:");
        println!(
            "  durable-store {}; opened in {store_open_ms:.1} ms ({} entries), {} bytes",
            percentiles(store_latencies),
            recovered.entries.len(),
            disk_bytes(&store_path)
        );
        println!(
            "  redb {}; opened in {redb_open_ms:.1} ms ({count} entries), {} bytes",
            percentiles(redb_latencies),
            disk_bytes(&redb_path)
        );
    }
    let _ = std::fs::remove_dir_all(folder);
}
