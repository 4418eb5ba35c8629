//! Crash-safe storage of named entries in one folder: a snapshot, and a journal of the changes since that snapshot.
//!
//! Each record has a length and a checksum that covers the record and all records before it. Truncation, corruption,
//! lost records and reordering are therefore detected, and the records before the damage are kept. A snapshot is
//! written to a temporary file, synced and renamed, and then the folder is synced; a journal is only appended to. See
//! `docs/design/state.md`.
//!
//! ```
//! use wrenthread_durable_store::{Change, Store, disk::MemoryDisk};
//!
//! let disk = MemoryDisk::default();
//! let (mut store, recovered) = Store::open(disk.clone()).unwrap();
//! assert!(recovered.entries.is_empty());
//! store.write(&[Change::put("level/entry", *b"0.5")]).unwrap();
//! drop(store);
//! let (_, recovered) = Store::open(disk).unwrap();
//! assert_eq!(recovered.entries["level/entry"], b"0.5");
//! ```
#![warn(missing_docs)]

mod changes;
pub mod disk;
mod epoch;
pub mod frame;
mod recovery;
mod store;

use std::collections::BTreeMap;

pub use changes::Change;
pub use epoch::{ReservedEpoch, reserve_epoch};
pub use recovery::{Loss, LossReason, Recovered, read};
pub use store::{Store, StoreSizes};

/// Maximum total size of all entries, including their names, in bytes.
pub const MAX_TOTAL_BYTES: usize = 256 << 20;
/// Maximum size of one entry's content, in bytes.
pub const MAX_ENTRY_BYTES: usize = 16 << 20;

/// The content of each entry, by entry name.
pub type Entries = BTreeMap<String, Vec<u8>>;

/// The kinds of files in a generation. Each compaction starts a new generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FileKind {
    Snapshot,
    Journal,
}

impl FileKind {
    fn prefix(self) -> &'static str {
        match self {
            FileKind::Snapshot => "snapshot",
            FileKind::Journal => "journal",
        }
    }

    fn file_name(self, generation: u64) -> String {
        format!("{}.{generation}", self.prefix())
    }

    /// Parses the generation from the name of a file of this kind; `None` for any other file.
    fn generation(self, file_name: &str) -> Option<u64> {
        file_name.strip_prefix(self.prefix())?.strip_prefix('.')?.parse().ok()
    }
}

#[cfg(test)]
mod tests;
