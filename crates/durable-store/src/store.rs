//! The store: keeps the entries of an open folder in memory, and writes changes to its journal and snapshots.

use std::collections::BTreeSet;

use crate::changes::{self, Change};
use crate::disk::{Disk, DiskError};
use crate::frame::{self, RecordChain};
use crate::recovery::{self, END_OF_SNAPSHOT, Loss, Recovered};
use crate::{Entries, FileKind, MAX_ENTRY_BYTES, MAX_TOTAL_BYTES};

/// A journal is compacted only from this size on, in bytes.
pub(crate) const MIN_COMPACTION_BYTES: usize = 256 << 10;
/// A journal is compacted only if it is also at least this many times as large as the entries.
const COMPACTION_FACTOR: usize = 3;
/// A snapshot is appended to its file in pieces of about this size, in bytes.
const SNAPSHOT_CHUNK_BYTES: usize = 1 << 20;
/// Suffix of the name of a file until it is complete.
pub(crate) const TEMPORARY_SUFFIX: &str = ".new";

/// Sizes of a store, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreSizes {
    /// All entries, including their names.
    pub entry_bytes: usize,
    /// The journal file.
    pub journal_bytes: usize,
}

/// The journal that changes are appended to.
struct OpenJournal {
    chain: RecordChain,
}

/// Files that the recovery could not use.
#[derive(Debug, Default)]
struct UnusableFiles {
    /// Snapshots that are damaged; they are removed once entries are durable without them.
    damaged_snapshots: BTreeSet<String>,
    /// Files of other versions of the format, which are never removed.
    other_versions: BTreeSet<String>,
}

impl UnusableFiles {
    fn new(losses: &[Loss]) -> Self {
        let mut files = UnusableFiles::default();
        for loss in losses {
            if loss.is_unsupported_version() {
                files.other_versions.insert(loss.file().to_string());
            } else if let Loss::Snapshot { file, .. } = loss {
                files.damaged_snapshots.insert(file.clone());
            }
        }
        files
    }
}

/// Durable entries in an open folder.
pub struct Store<D: Disk> {
    disk: D,
    entries: Entries,
    entry_bytes: usize,
    /// The newest generation, even if its files could not be written.
    generation: u64,
    /// The newest generation from which all entries can be recovered: its snapshot was read by the recovery or verified
    /// after it was written, and its journal and all later ones are intact. `None` after a disk error or damage.
    complete_generation: Option<u64>,
    /// Whether the folder has an older generation from which all entries can be recovered as well.
    has_fallback: bool,
    /// Nothing was ever stored in the folder.
    is_new: bool,
    unusable_files: UnusableFiles,
    /// `None` if the next write has to write a new snapshot.
    journal: Option<OpenJournal>,
    journal_bytes: usize,
}

impl<D: Disk> Store<D> {
    /// Opens a folder for writing. The first write compacts all entries into a new snapshot, so that nothing is
    /// appended to a journal that may be damaged.
    ///
    /// # Errors
    /// The folder can't be listed. Whether it is writable is not checked until the first write.
    pub fn open(mut disk: D) -> Result<(Self, Recovered), DiskError> {
        let recovered = recovery::read(&mut disk)?;
        let store = Store {
            disk,
            entries: recovered.entries.clone(),
            entry_bytes: recovery::total_bytes(&recovered.entries),
            generation: recovered.generation,
            complete_generation: complete_generation(&recovered),
            has_fallback: false,
            is_new: recovered.generation == 0,
            unusable_files: UnusableFiles::new(&recovered.losses),
            journal: None,
            journal_bytes: 0,
        };
        Ok((store, recovered))
    }

    /// Returns all entries, by name.
    pub fn entries(&self) -> &Entries {
        &self.entries
    }

    /// Returns the sizes of the entries and of the journal.
    pub fn sizes(&self) -> StoreSizes {
        StoreSizes { entry_bytes: self.entry_bytes, journal_bytes: self.journal_bytes }
    }

    /// Writes changes atomically: either all of them take effect or none, in memory and after a crash. They are durable
    /// when this returns `Ok`.
    ///
    /// # Errors
    /// A disk error or an exceeded size limit. Nothing has changed in memory then, and the caller may retry the write.
    /// After a disk error the next write makes a new snapshot, because the end of the journal on disk is unknown.
    pub fn write(&mut self, changes: &[Change]) -> Result<(), DiskError> {
        check_entry_sizes(changes)?;
        if self.is_new {
            return self.write_first(changes);
        }
        let journal = self.take_journal()?;
        let undo = self.apply(changes);
        let written = match self.check_total_size() {
            Ok(()) => self.append(journal, changes),
            Err(error) => {
                self.journal = Some(journal);
                Err(error)
            }
        };
        if written.is_err() {
            self.apply(&undo);
        }
        written
    }

    /// Writes changes to a new folder: they are in its first snapshot.
    fn write_first(&mut self, changes: &[Change]) -> Result<(), DiskError> {
        let undo = self.apply(changes);
        let written = self.check_total_size().and_then(|()| self.compact());
        if written.is_err() {
            self.apply(&undo);
        }
        written
    }

    /// Applies changes in memory. Returns the changes that undo them.
    fn apply(&mut self, changes: &[Change]) -> Vec<Change> {
        let mut undo = Vec::with_capacity(changes.len());
        for Change { name, content } in changes {
            let previous = match content {
                Some(content) => self.entries.insert(name.clone(), content.clone()),
                None => self.entries.remove(name),
            };
            self.entry_bytes -= entry_bytes(name, previous.as_deref());
            self.entry_bytes += entry_bytes(name, content.as_deref());
            undo.push(Change { name: name.clone(), content: previous });
        }
        undo.reverse();
        undo
    }

    fn check_total_size(&self) -> Result<(), DiskError> {
        match self.entry_bytes {
            bytes if bytes > MAX_TOTAL_BYTES => Err(DiskError::StoreTooLarge { bytes }),
            _ => Ok(()),
        }
    }

    /// Returns the journal to append to. Begins a new generation first if there is none, or if it has become large: the
    /// changes that follow are then recovered from its journal, with the new snapshot as well as with the older one.
    fn take_journal(&mut self) -> Result<OpenJournal, DiskError> {
        let compact_at = MIN_COMPACTION_BYTES.max(COMPACTION_FACTOR * self.entry_bytes);
        match self.journal.take() {
            Some(journal) if self.journal_bytes < compact_at => Ok(journal),
            _ => self.begin_generation(),
        }
    }

    fn append(&mut self, mut journal: OpenJournal, changes: &[Change]) -> Result<(), DiskError> {
        let record = journal.chain.frame(&changes::encode(changes));
        let file = FileKind::Journal.file_name(self.generation);
        // If this fails, it is unknown what the journal ends with.
        let complete_generation = self.complete_generation.take();
        self.disk.append(&file, &record)?;
        self.disk.sync(&file)?;
        self.complete_generation = complete_generation;
        self.journal_bytes += record.len();
        self.journal = Some(journal);
        Ok(())
    }

    /// Whether damage to the newest snapshot may lose entries, since this store has written no other generation and kept
    /// none. This is the case before the first write, and in a new folder until the next compaction.
    pub fn lacks_fallback(&self) -> bool {
        !self.has_fallback
    }

    /// Writes all entries to a new snapshot with an empty journal. The newest older generation from which all entries
    /// can be recovered is kept; if there is none, a second snapshot is written. Older files are removed, and snapshots
    /// that are known to be damaged.
    ///
    /// # Errors
    /// A disk error. The existing files stay valid.
    pub fn compact(&mut self) -> Result<(), DiskError> {
        self.journal = Some(self.begin_generation()?);
        Ok(())
    }

    fn begin_generation(&mut self) -> Result<OpenJournal, DiskError> {
        self.journal = None;
        let is_new = std::mem::take(&mut self.is_new);
        let mut fallback = self.complete_generation.take();
        let mut journal = self.write_generation()?;
        if fallback.is_none() && !is_new {
            fallback = Some(self.generation);
            journal = self.write_generation()?;
        }
        self.complete_generation = Some(self.generation);
        self.has_fallback = fallback.is_some();
        self.remove_old_files(fallback.unwrap_or(self.generation));
        Ok(journal)
    }

    fn write_generation(&mut self) -> Result<OpenJournal, DiskError> {
        // The generation is used up even if this fails: its files may exist in part, and their names are not reused.
        self.generation += 1;
        let snapshot = FileKind::Snapshot.file_name(self.generation);
        let temporary_file = format!("{snapshot}{TEMPORARY_SUFFIX}");
        let journal = FileKind::Journal.file_name(self.generation);
        if let Err(error) = self.write_files(&temporary_file, &journal, &snapshot) {
            // Otherwise, each attempt would fill a full disk further.
            let _ = self.disk.remove(&temporary_file);
            let _ = self.disk.remove(&journal);
            return Err(error);
        }
        self.disk.sync_folder()?;
        self.journal_bytes = frame::header().len();
        Ok(OpenJournal { chain: RecordChain::new() })
    }

    fn write_files(&mut self, temporary_file: &str, journal: &str, snapshot: &str) -> Result<(), DiskError> {
        self.write_snapshot(temporary_file)?;
        self.verify_snapshot(temporary_file)?;
        // Create the journal before the snapshot gets its final name, so that each snapshot has a journal to append to.
        self.disk.create(journal)?;
        self.disk.append(journal, &frame::header())?;
        self.disk.sync(journal)?;
        self.disk.rename(temporary_file, snapshot)
    }

    /// Reads a snapshot back and compares it to the entries.
    fn verify_snapshot(&mut self, file: &str) -> Result<(), DiskError> {
        let stored = recovery::read_snapshot(&mut self.disk, file);
        if stored.is_ok_and(|entries| entries == self.entries) {
            return Ok(());
        }
        Err(DiskError::Verification { file: file.to_string() })
    }

    fn write_snapshot(&mut self, file: &str) -> Result<(), DiskError> {
        let mut chain = RecordChain::new();
        self.disk.create(file)?;
        let mut bytes = frame::header();
        for change in recovery::as_changes(&self.entries) {
            bytes.extend(chain.frame(&changes::encode(&[change])));
            if bytes.len() > SNAPSHOT_CHUNK_BYTES {
                self.disk.append(file, &bytes)?;
                bytes.clear();
            }
        }
        bytes.extend(chain.frame(END_OF_SNAPSHOT));
        self.disk.append(file, &bytes)?;
        self.disk.sync(file)
    }

    /// Removes the files of generations before `oldest`, and damaged snapshots. Errors are ignored, because the entries
    /// are durable without these files.
    fn remove_old_files(&mut self, oldest: u64) {
        for name in self.disk.list().unwrap_or_default() {
            let generation =
                FileKind::Snapshot.generation(&name).or_else(|| FileKind::Journal.generation(&name));
            let is_old = generation.is_some_and(|generation| generation < oldest);
            let is_unneeded = is_old
                || self.unusable_files.damaged_snapshots.contains(&name)
                || name.ends_with(TEMPORARY_SUFFIX);
            if is_unneeded && !self.unusable_files.other_versions.contains(&name) {
                let _ = self.disk.remove(&name);
            }
        }
    }
}

/// The generation that the recovery used, if it read all its journals to their ends.
fn complete_generation(recovered: &Recovered) -> Option<u64> {
    let is_journal = |loss: &Loss| matches!(loss, Loss::Journal { .. });
    recovered.snapshot_generation.filter(|_| !recovered.losses.iter().any(is_journal))
}

fn check_entry_sizes(changes: &[Change]) -> Result<(), DiskError> {
    let longest = changes.iter().filter_map(|change| Some(change.content.as_ref()?.len())).max();
    match longest {
        Some(bytes) if bytes > MAX_ENTRY_BYTES => Err(DiskError::EntryTooLarge { bytes }),
        _ => Ok(()),
    }
}

/// Returns an entry's share of the total size; 0 if it does not exist.
fn entry_bytes(name: &str, content: Option<&[u8]>) -> usize {
    content.map_or(0, |content| name.len() + content.len())
}
