//! Entries by name that last over crashes: a snapshot and a journal of changes since, in a folder.
//!
//! Every record is framed by its length and checked together with all before it, so that what was torn,
//! flipped, lost or put in another order is seen, and what is whole before it is kept. A file is only ever
//! written under another name, synced, renamed, and its folder synced; a journal only grows. See
//! `docs/design/state.md`.
//!
//! ```
//! use wrenthread_durable_store::{Store, disk::MemoryDisk};
//!
//! let disk = MemoryDisk::default();
//! let (mut store, found) = Store::open(disk.clone()).unwrap();
//! assert!(found.entries.is_empty());
//! store.write(&[("level/entry".into(), Some(b"0.5".to_vec()))]).unwrap();
//! drop(store);
//! let (_, found) = Store::open(disk).unwrap();
//! assert_eq!(found.entries["level/entry"], b"0.5");
//! ```

pub mod disk;
pub mod frame;

use std::collections::BTreeMap;

use disk::{Disk, DiskError};
use frame::RecordChain;

/// All entries together, and one of them, at the most.
pub const MAX_TOTAL_BYTES: usize = 256 << 20;
pub const MAX_ENTRY_BYTES: usize = 16 << 20;
/// A journal is folded into a new snapshot beyond this, or beyond so many times the entries' size.
const MIN_COMPACTION_BYTES: usize = 256 << 10;
const COMPACTION_FACTOR: usize = 3;
/// Generations of snapshot and journal that stay beside the newest.
const RETAINED_GENERATIONS: u64 = 1;

pub type Entries = BTreeMap<String, Vec<u8>>;
/// An entry's name, and what it is from now on; none: it is gone.
pub type Change = (String, Option<Vec<u8>>);

/// What a folder held.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Recovered {
    pub entries: Entries,
    /// What was not taken, and why: for the log.
    pub losses: Vec<String>,
    pub generation: u64,
    pub journal_bytes: usize,
}

pub struct Store<D: Disk> {
    disk: D,
    entries: Entries,
    bytes: usize,
    generation: u64,
    /// The journal's check so far; none if nothing may be added to it.
    journal: Option<RecordChain>,
    journal_bytes: usize,
}

fn snapshot(generation: u64) -> String {
    format!("snapshot.{generation}")
}

fn journal(generation: u64) -> String {
    format!("journal.{generation}")
}

/// The number in a file's name.
fn numbered(name: &str, kind: &str) -> Option<u64> {
    name.strip_prefix(kind)?.strip_prefix('.')?.parse().ok()
}

/// Changes as one record: each with its name's and its content's length.
fn pack(changes: &[Change]) -> Vec<u8> {
    let mut record = Vec::new();
    for (name, content) in changes {
        record.extend((name.len() as u32).to_le_bytes());
        record.extend(name.as_bytes());
        // A length that no content has: the entry is gone.
        let length = content.as_ref().map_or(u32::MAX, |content| content.len() as u32);
        record.extend(length.to_le_bytes());
        record.extend(content.iter().flatten());
    }
    record
}

/// What [`pack`] made; none if it is not of its making.
fn unpack(mut record: &[u8]) -> Option<Vec<Change>> {
    fn take<'a>(record: &mut &'a [u8], length: usize) -> Option<&'a [u8]> {
        let (taken, rest) = record.split_at_checked(length)?;
        *record = rest;
        Some(taken)
    }
    let number = |record: &mut &[u8]| Some(u32::from_le_bytes(take(record, 4)?.try_into().ok()?));
    let mut changes = Vec::new();
    while !record.is_empty() {
        let length = number(&mut record)? as usize;
        let name = String::from_utf8(take(&mut record, length)?.to_vec()).ok()?;
        let content = match number(&mut record)? {
            u32::MAX => None,
            length => Some(take(&mut record, length as usize)?.to_vec()),
        };
        changes.push((name, content));
    }
    Some(changes)
}

fn apply(entries: &mut Entries, changes: Vec<Change>) {
    for (name, content) in changes {
        match content {
            Some(content) => drop(entries.insert(name, content)),
            None => drop(entries.remove(&name)),
        }
    }
}

/// Reads what a folder holds, and changes nothing there.
///
/// Errors: the folder can't be listed. What is damaged in it is no error, but said.
pub fn read(disk: &mut impl Disk) -> Result<Recovered, DiskError> {
    let names = disk.list()?;
    let mut generations: Vec<u64> = names.iter().filter_map(|name| numbered(name, "snapshot")).collect();
    generations.sort_unstable_by(|one, other| other.cmp(one));
    let newest =
        names.iter().filter_map(|name| numbered(name, "journal")).chain(generations.first().copied());
    let mut found = Recovered { generation: newest.max().unwrap_or(0), ..Recovered::default() };
    for generation in generations {
        let name = snapshot(generation);
        let read = disk.read(&name, 2 * MAX_TOTAL_BYTES).map_err(|error| error.to_string());
        let read = read.and_then(|bytes| frame::read(&bytes).map_err(|cut| cut.to_string()));
        let (records, cut) = match read {
            Ok(read) => read,
            Err(why) => {
                found.losses.push(format!("{name}: {why}; an older one is used, if there is any"));
                continue;
            }
        };
        // Its last record says that it is all: one that was cut is not used where an older one is whole.
        let whole = cut.is_none() && records.last().is_some_and(|last| last == END);
        let changes: Option<Vec<Vec<Change>>> =
            records.iter().filter(|record| *record != END).map(|record| unpack(record)).collect();
        let (Some(changes), true) = (changes, whole) else {
            let why = cut.map_or_else(|| "it is not all there".to_string(), |cut| cut.to_string());
            found.losses.push(format!("{name}: {why}; an older one is used, if there is any"));
            continue;
        };
        changes.into_iter().for_each(|changes| apply(&mut found.entries, changes));
        // The journals since, in their order: if the newest snapshot is damaged, the one before and both
        // journals say the same.
        for later in generation..=found.generation {
            let name = journal(later);
            if !names.contains(&name) {
                continue;
            }
            let read = disk.read(&name, 2 * MAX_TOTAL_BYTES).map_err(|error| error.to_string());
            let read =
                read.and_then(|bytes| Ok((bytes.len(), frame::read(&bytes).map_err(|cut| cut.to_string())?)));
            match read {
                Ok((bytes, (records, cut))) => {
                    let mut cut = cut.map(|cut| cut.to_string());
                    for record in records {
                        match unpack(&record) {
                            Some(changes) => apply(&mut found.entries, changes),
                            None => cut = Some("a record that is none of ours".to_string()),
                        }
                    }
                    found.journal_bytes = bytes;
                    if let Some(why) = cut {
                        found.losses.push(format!("{name}: {why}"));
                        break;
                    }
                }
                Err(why) => {
                    found.losses.push(format!("{name}: {why}"));
                    break;
                }
            }
        }
        return Ok(found);
    }
    Ok(found)
}

/// The last record of a snapshot.
const END: &[u8] = b"end of snapshot";

impl<D: Disk> Store<D> {
    /// Opens a folder for writing. What it held is folded into a new snapshot before anything is added, so
    /// that nothing is ever added behind damage.
    ///
    /// Errors: the folder can't be listed. That it can't be written is found at the first write.
    pub fn open(mut disk: D) -> Result<(Self, Recovered), DiskError> {
        let found = read(&mut disk)?;
        let bytes = found.entries.iter().map(|(name, content)| name.len() + content.len()).sum();
        let store = Store {
            disk,
            entries: found.entries.clone(),
            bytes,
            generation: found.generation,
            journal: None,
            journal_bytes: 0,
        };
        Ok((store, found))
    }

    pub fn entries(&self) -> &Entries {
        &self.entries
    }

    /// Bytes of all entries, and of the journal.
    pub fn sizes(&self) -> (usize, usize) {
        (self.bytes, self.journal_bytes)
    }

    /// Writes changes as one: after a crash all of them hold, or none. They last once this has returned.
    ///
    /// Errors: the disk's, or that there would be too much. The changes are kept and written with the next
    /// ones: after an error the next write makes a new snapshot, as nobody knows what the disk has of the
    /// old journal.
    pub fn write(&mut self, changes: &[Change]) -> Result<(), DiskError> {
        if changes.iter().any(|(_, content)| content.as_ref().is_some_and(|one| one.len() > MAX_ENTRY_BYTES))
        {
            return Err(DiskError::Full("an entry is larger than any may be"));
        }
        for (name, content) in changes {
            let old = self.entries.get(name).map_or(0, |old| name.len() + old.len());
            let new = content.as_ref().map_or(0, |new| name.len() + new.len());
            if self.bytes - old + new > MAX_TOTAL_BYTES {
                return Err(DiskError::Full("the entries are larger than all may be"));
            }
            self.bytes = self.bytes - old + new;
            apply(&mut self.entries, vec![(name.clone(), content.clone())]);
        }
        let compact_at = MIN_COMPACTION_BYTES.max(COMPACTION_FACTOR * self.bytes);
        let Some(mut frames) = self.journal.take().filter(|_| self.journal_bytes < compact_at) else {
            return self.compact();
        };
        let record = frames.record(&pack(changes));
        let name = journal(self.generation);
        self.disk.append(&name, &record)?;
        self.disk.sync(&name)?;
        self.journal_bytes += record.len();
        self.journal = Some(frames);
        Ok(())
    }

    /// Writes all entries as a new snapshot, with an empty journal beside it, and removes what is older than
    /// the one before.
    ///
    /// Errors: the disk's; what was there before stands.
    pub fn compact(&mut self) -> Result<(), DiskError> {
        self.journal = None;
        let generation = self.generation + 1;
        // Counted on even where this fails: a name that may be half there is not used again.
        self.generation = generation;
        let new = format!("{}.new", snapshot(generation));
        let mut frames = RecordChain::new();
        self.disk.create(&new)?;
        let mut bytes = frame::header();
        for (name, content) in &self.entries {
            bytes.extend(frames.record(&pack(&[(name.clone(), Some(content.clone()))])));
            if bytes.len() > 1 << 20 {
                self.disk.append(&new, &bytes)?;
                bytes.clear();
            }
        }
        bytes.extend(frames.record(END));
        self.disk.append(&new, &bytes)?;
        self.disk.sync(&new)?;
        // The journal first: a snapshot is never there without one that may be added to.
        let name = journal(generation);
        self.disk.create(&name)?;
        self.disk.append(&name, &frame::header())?;
        self.disk.sync(&name)?;
        self.disk.rename(&new, &snapshot(generation))?;
        self.disk.sync_folder()?;
        (self.journal, self.journal_bytes) = (Some(RecordChain::new()), frame::header().len());
        self.forget(generation)
    }

    fn forget(&mut self, generation: u64) -> Result<(), DiskError> {
        for name in self.disk.list()? {
            let of = numbered(&name, "snapshot").or_else(|| numbered(&name, "journal"));
            let half = name.ends_with(".new");
            if half || of.is_some_and(|of| of + RETAINED_GENERATIONS < generation) {
                // What can't be removed is in nobody's way.
                let _ = self.disk.remove(&name);
            }
        }
        Ok(())
    }
}

/// The file that reserves governors' lives.
const EPOCH: &str = "epoch";

/// A number for this life that no other has: above all that were reserved here, and not below `calendar`. It
/// is reserved before it is used. `chance`: 16 bits by which two lives differ of which neither could
/// reserve.
///
/// The second value: why the reservation does not last, if it does not.
pub fn reserve_epoch(disk: &mut impl Disk, calendar: u64, chance: u16) -> (u64, Option<String>) {
    let mut last = 0;
    for name in [EPOCH, "epoch.before"] {
        let Ok(bytes) = disk.read(name, 1 << 16) else { continue };
        let Ok((records, _)) = frame::read(&bytes) else { continue };
        let number = |record: &Vec<u8>| Some(u64::from_le_bytes(record.as_slice().try_into().ok()?));
        last = records.iter().filter_map(number).fold(last, u64::max);
    }
    // Above what was reserved, also where the calendar was set back; and unlike a life whose reservation the
    // disk has lost.
    let base = calendar.max(last.saturating_add(1 << 16)) & !0xffff;
    let epoch = base | u64::from(chance);
    let new = format!("{EPOCH}.new");
    let mut write = || {
        let mut bytes = frame::header();
        bytes.extend(RecordChain::new().record(&epoch.to_le_bytes()));
        disk.create(&new)?;
        disk.append(&new, &bytes)?;
        disk.sync(&new)?;
        // The one before stays: what is damaged of the newest must not bring back numbers of old.
        if disk.list()?.iter().any(|name| name == EPOCH) {
            disk.rename(EPOCH, "epoch.before")?;
        }
        disk.rename(&new, EPOCH)?;
        disk.sync_folder()
    };
    let lost = write().err().map(|error: DiskError| error.to_string());
    (epoch, lost)
}

#[cfg(test)]
mod tests;
