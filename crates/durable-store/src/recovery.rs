//! Recovery: reads the entries from the files of a folder, and reports the files that can't be used.

use crate::changes::{self, Change};
use crate::disk::{Disk, DiskError};
use crate::frame::{self, FrameError, Records};
use crate::{Entries, FileKind, MAX_TOTAL_BYTES};

/// The last record of a snapshot. A snapshot without it is incomplete.
pub(crate) const END_OF_SNAPSHOT: &[u8] = b"end of snapshot";
/// Maximum size of a file, in bytes: a snapshot of all entries with their framing, or a journal before it is compacted.
const MAX_FILE_BYTES: usize = 2 * MAX_TOTAL_BYTES;

/// The content of a folder.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Recovered {
    /// All entries.
    pub entries: Entries,
    /// The files, or parts of files, that could not be used.
    pub losses: Vec<Loss>,
    /// The newest generation that has a file, even if the file is damaged.
    pub generation: u64,
    /// The generation whose snapshot was read; `None` if no snapshot could be read.
    pub snapshot_generation: Option<u64>,
    /// Size of the newest journal that was read, in bytes.
    pub journal_bytes: usize,
}

/// A file, or the part of a file from the first damage on, that could not be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Loss {
    /// A whole snapshot.
    #[error("{file}: {reason}; falling back to an older snapshot, if there is one")]
    Snapshot {
        /// The file's name.
        file: String,
        /// What is wrong with it.
        reason: LossReason,
    },
    /// The journal from the damage on, and later journals.
    #[error("{file}: {reason}")]
    Journal {
        /// The file's name.
        file: String,
        /// What is wrong with it.
        reason: LossReason,
    },
}

impl Loss {
    /// The name of the file.
    pub fn file(&self) -> &str {
        match self {
            Loss::Snapshot { file, .. } | Loss::Journal { file, .. } => file,
        }
    }

    /// Whether another version of the program may be able to use the file.
    pub fn is_unsupported_version(&self) -> bool {
        let (Loss::Snapshot { reason, .. } | Loss::Journal { reason, .. }) = self;
        matches!(reason, LossReason::Frame(FrameError::UnsupportedVersion { .. }))
    }
}

/// Why a file, or a part of it, could not be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LossReason {
    /// The file could not be read.
    #[error("{0}")]
    Unreadable(String),
    /// The file is damaged or has another format.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// A snapshot lacks its last record, or contains a malformed one.
    #[error("incomplete snapshot: its end record is missing or a record is malformed")]
    Incomplete,
    /// A record of a journal can't be decoded.
    #[error("malformed record")]
    MalformedRecord,
}

/// Reads the entries of a folder without changing any file.
///
/// # Errors
/// The folder can't be listed. Damage to files is not an error; it is reported in [`Recovered::losses`].
pub fn read(disk: &mut impl Disk) -> Result<Recovered, DiskError> {
    let names = disk.list()?;
    let mut snapshots = generations(&names, FileKind::Snapshot);
    let journals = generations(&names, FileKind::Journal);
    snapshots.sort_unstable();
    let newest = snapshots.iter().chain(&journals).max().copied().unwrap_or(0);
    let mut recovered = Recovered { generation: newest, ..Recovered::default() };
    for generation in snapshots.into_iter().rev() {
        let file = FileKind::Snapshot.file_name(generation);
        match read_snapshot(disk, &file) {
            Ok(entries) => {
                recovered.entries = entries;
                recovered.snapshot_generation = Some(generation);
                replay_journals(disk, &journals, generation, &mut recovered);
                break;
            }
            Err(reason) => recovered.losses.push(Loss::Snapshot { file, reason }),
        }
    }
    Ok(recovered)
}

fn generations(names: &[String], kind: FileKind) -> Vec<u64> {
    names.iter().filter_map(|name| kind.generation(name)).collect()
}

/// The records of a journal or snapshot, and the size of its file.
struct ReadFile {
    records: Records,
    bytes: usize,
}

fn read_file(disk: &mut impl Disk, file: &str) -> Result<ReadFile, LossReason> {
    let bytes = disk.read(file, MAX_FILE_BYTES).map_err(|error| LossReason::Unreadable(error.to_string()))?;
    Ok(ReadFile { records: frame::read(&bytes)?, bytes: bytes.len() })
}

/// Reads a snapshot. It is used only if it is intact up to its end record.
pub(crate) fn read_snapshot(disk: &mut impl Disk, file: &str) -> Result<Entries, LossReason> {
    let Records { intact, damage } = read_file(disk, file)?.records;
    if let Some(damage) = damage {
        return Err(damage.into());
    }
    if intact.last().is_none_or(|last| last != END_OF_SNAPSHOT) {
        return Err(LossReason::Incomplete);
    }
    let mut entries = Entries::new();
    for record in intact.iter().filter(|record| *record != END_OF_SNAPSHOT) {
        let changes = changes::decode(record).ok_or(LossReason::Incomplete)?;
        changes::apply(&mut entries, changes);
    }
    Ok(entries)
}

/// Applies the journals since a snapshot, in order, up to the first damage. If the newest snapshot is damaged, the
/// snapshot before it and the journals of both generations give the same entries.
fn replay_journals(disk: &mut impl Disk, journals: &[u64], first: u64, recovered: &mut Recovered) {
    for generation in first..=recovered.generation {
        if !journals.contains(&generation) {
            continue;
        }
        let file = FileKind::Journal.file_name(generation);
        if let Err(reason) = replay_journal(disk, &file, recovered) {
            recovered.losses.push(Loss::Journal { file, reason });
            return;
        }
    }
}

fn replay_journal(disk: &mut impl Disk, file: &str, recovered: &mut Recovered) -> Result<(), LossReason> {
    let journal = read_file(disk, file)?;
    recovered.journal_bytes = journal.bytes;
    let mut damage = journal.records.damage.map(LossReason::from);
    for record in journal.records.intact {
        match changes::decode(&record) {
            Some(decoded) => changes::apply(&mut recovered.entries, decoded),
            None => damage = Some(LossReason::MalformedRecord),
        }
    }
    damage.map_or(Ok(()), Err)
}

/// Returns the total size of entries, including their names, in bytes.
pub(crate) fn total_bytes(entries: &Entries) -> usize {
    entries.iter().map(|(name, content)| name.len() + content.len()).sum()
}

/// Returns one change per entry; together they create `entries` from an empty store.
pub(crate) fn as_changes(entries: &Entries) -> impl Iterator<Item = Change> {
    entries.iter().map(|(name, content)| Change::put(name.as_str(), content.as_slice()))
}
