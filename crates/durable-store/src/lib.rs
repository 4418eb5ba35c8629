//! Entries by name that survive crashes: a snapshot and a journal of the changes since, in one folder.
//!
//! Every record is framed by its length and a checksum over it and all records before it, so that truncation, corruption,
//! loss and reordering are detected, and what is intact before them is kept. A snapshot is written under another name,
//! synced and renamed, and its folder synced; a journal is only appended to. See `docs/design/state.md`.
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

/// Size limit of all entries together, names included, in bytes.
pub const MAX_TOTAL_BYTES: usize = 256 << 20;
/// Size limit of one entry's content, in bytes.
pub const MAX_ENTRY_BYTES: usize = 16 << 20;

/// Contents by name.
pub type Entries = BTreeMap<String, Vec<u8>>;

/// The files of a generation. A compaction begins a new one.
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

    /// The generation of a file of this kind, by its name.
    fn generation(self, file_name: &str) -> Option<u64> {
        file_name.strip_prefix(self.prefix())?.strip_prefix('.')?.parse().ok()
    }
}

#[cfg(test)]
mod tests;
