//! The store: an open folder, its entries, and how changes get into its files.

use crate::changes::{self, Change};
use crate::disk::{Disk, DiskError};
use crate::frame::{self, RecordChain};
use crate::recovery::{self, END_OF_SNAPSHOT, Recovered};
use crate::{Entries, FileKind, MAX_ENTRY_BYTES, MAX_TOTAL_BYTES};

/// A journal of at least so many bytes is compacted into a new snapshot,
pub(crate) const MIN_COMPACTION_BYTES: usize = 256 << 10;
/// if it is also so many times as large as the entries.
const COMPACTION_FACTOR: usize = 3;
/// Generations of snapshot and journal that stay beside the newest.
const RETAINED_GENERATIONS: u64 = 1;
/// A snapshot is written in pieces of about so many bytes.
const SNAPSHOT_PIECE_BYTES: usize = 1 << 20;
/// The ending of a file's name while it is written.
pub(crate) const UNFINISHED: &str = ".new";

/// Sizes of a store, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreSizes {
    /// All entries, names included.
    pub entry_bytes: usize,
    /// The journal's file.
    pub journal_bytes: usize,
}

/// The journal that may be appended to.
struct OpenJournal {
    chain: RecordChain,
}

/// Entries that last, in an open folder.
pub struct Store<D: Disk> {
    disk: D,
    entries: Entries,
    entry_bytes: usize,
    generation: u64,
    /// None if the next write has to make a new snapshot first.
    journal: Option<OpenJournal>,
    journal_bytes: usize,
}

impl<D: Disk> Store<D> {
    /// Opens a folder for writing. What it held is compacted into a new snapshot at the first write, so that nothing is
    /// ever appended behind damage.
    ///
    /// # Errors
    /// The folder can't be listed. That it can't be written is found at the first write.
    pub fn open(mut disk: D) -> Result<(Self, Recovered), DiskError> {
        let recovered = recovery::read(&mut disk)?;
        let store = Store {
            disk,
            entries: recovered.entries.clone(),
            entry_bytes: recovery::total_bytes(&recovered.entries),
            generation: recovered.generation,
            journal: None,
            journal_bytes: 0,
        };
        Ok((store, recovered))
    }

    /// All entries, by name.
    pub fn entries(&self) -> &Entries {
        &self.entries
    }

    /// Sizes of the entries and of the journal.
    pub fn sizes(&self) -> StoreSizes {
        StoreSizes { entry_bytes: self.entry_bytes, journal_bytes: self.journal_bytes }
    }

    /// Writes changes as one: all of them hold, or none, in memory and after a crash. They are durable once this has
    /// returned.
    ///
    /// # Errors
    /// The disk's, or a size limit's; nothing has changed in memory then, and the caller may write the changes again.
    /// After a disk's error the next write makes a new snapshot, as it is not known what the disk has of the old journal.
    pub fn write(&mut self, changes: &[Change]) -> Result<(), DiskError> {
        check_entry_sizes(changes)?;
        let undo = self.apply(changes);
        let written = self.check_total_size().and_then(|()| self.persist(changes));
        if written.is_err() {
            self.apply(&undo);
        }
        written
    }

    /// Applies changes in memory. Gives those that undo them.
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

    fn persist(&mut self, changes: &[Change]) -> Result<(), DiskError> {
        let compact_at = MIN_COMPACTION_BYTES.max(COMPACTION_FACTOR * self.entry_bytes);
        match self.journal.take() {
            Some(journal) if self.journal_bytes < compact_at => self.append(journal, changes),
            _ => self.compact(),
        }
    }

    fn append(&mut self, mut journal: OpenJournal, changes: &[Change]) -> Result<(), DiskError> {
        let record = journal.chain.frame(&changes::encode(changes));
        let file = FileKind::Journal.file_name(self.generation);
        self.disk.append(&file, &record)?;
        self.disk.sync(&file)?;
        self.journal_bytes += record.len();
        self.journal = Some(journal);
        Ok(())
    }

    /// Writes all entries as a new snapshot with an empty journal beside it, and removes what is older than the
    /// generation before.
    ///
    /// # Errors
    /// The disk's; what was there before stays valid.
    pub fn compact(&mut self) -> Result<(), DiskError> {
        self.journal = None;
        // Counted on even where this fails: a name that may be half there is not used again.
        self.generation += 1;
        let snapshot = FileKind::Snapshot.file_name(self.generation);
        let unfinished = format!("{snapshot}{UNFINISHED}");
        self.write_snapshot(&unfinished)?;
        // The journal first: there is never a snapshot without one that may be appended to.
        let journal = FileKind::Journal.file_name(self.generation);
        self.disk.create(&journal)?;
        self.disk.append(&journal, &frame::header())?;
        self.disk.sync(&journal)?;
        self.disk.rename(&unfinished, &snapshot)?;
        self.disk.sync_folder()?;
        self.journal = Some(OpenJournal { chain: RecordChain::new() });
        self.journal_bytes = frame::header().len();
        self.remove_old_files();
        Ok(())
    }

    fn write_snapshot(&mut self, file: &str) -> Result<(), DiskError> {
        let mut chain = RecordChain::new();
        self.disk.create(file)?;
        let mut bytes = frame::header();
        for change in recovery::as_changes(&self.entries) {
            bytes.extend(chain.frame(&changes::encode(&[change])));
            if bytes.len() > SNAPSHOT_PIECE_BYTES {
                self.disk.append(file, &bytes)?;
                bytes.clear();
            }
        }
        bytes.extend(chain.frame(END_OF_SNAPSHOT));
        self.disk.append(file, &bytes)?;
        self.disk.sync(file)
    }

    /// What can't be listed or removed does no harm: the new generation is durable.
    fn remove_old_files(&mut self) {
        for name in self.disk.list().unwrap_or_default() {
            let generation =
                FileKind::Snapshot.generation(&name).or_else(|| FileKind::Journal.generation(&name));
            let is_old = generation.is_some_and(|of| of + RETAINED_GENERATIONS < self.generation);
            if is_old || name.ends_with(UNFINISHED) {
                let _ = self.disk.remove(&name);
            }
        }
    }
}

fn check_entry_sizes(changes: &[Change]) -> Result<(), DiskError> {
    let longest = changes.iter().filter_map(|change| Some(change.content.as_ref()?.len())).max();
    match longest {
        Some(bytes) if bytes > MAX_ENTRY_BYTES => Err(DiskError::EntryTooLarge { bytes }),
        _ => Ok(()),
    }
}

/// What an entry counts for in the total; nothing if it is not there.
fn entry_bytes(name: &str, content: Option<&[u8]>) -> usize {
    content.map_or(0, |content| name.len() + content.len())
}
