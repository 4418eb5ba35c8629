//! An in-memory disk for tests: it injects faults, and drops unsynced data in a simulated crash.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::rc::Rc;

use super::{Disk, DiskError};

/// How a call fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Power loss: this and every later call fails.
    Crash,
    /// The call fails without effect; later calls succeed.
    Error,
    /// An append writes half of its bytes and then fails.
    PartialAppend,
}

/// How much of the unsynced data is left after a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unsynced {
    /// None of it.
    Lost,
    /// All of it, as if it had been synced.
    Kept,
    /// The first half of the unsynced appends, and all creations, renames and removals.
    FirstHalfKept,
    /// The second half of the unsynced appends, after zeros instead of the first half: the disk reordered the writes.
    /// Creations, renames and removals are kept.
    LastHalfKept,
    /// All appends, but no creations, renames and removals.
    NamesLost,
}

#[derive(Debug, Clone, Default)]
struct MemoryFile {
    current: Vec<u8>,
    synced: Vec<u8>,
}

impl MemoryFile {
    /// The content after a crash.
    fn after_crash(&self, unsynced: Unsynced) -> Vec<u8> {
        let pairs = self.current.iter().zip(&self.synced);
        let common = pairs.take_while(|(current, synced)| current == synced).count();
        let (kept, appended) = self.current.split_at(common);
        let half = appended.len() / 2;
        match unsynced {
            Unsynced::Lost => self.synced.clone(),
            Unsynced::Kept | Unsynced::NamesLost => self.current.clone(),
            Unsynced::FirstHalfKept => [kept, &appended[..half]].concat(),
            Unsynced::LastHalfKept => [kept, &vec![0; half], &appended[half..]].concat(),
        }
    }
}

#[derive(Debug, Default)]
struct State {
    /// All files ever created, including removed ones; names refer to them by index.
    files: Vec<MemoryFile>,
    names: BTreeMap<String, usize>,
    /// The names as of the last sync of the folder.
    synced_names: BTreeMap<String, usize>,
    /// Number of modifying calls so far.
    modifying_calls: usize,
    faults: BTreeMap<usize, Fault>,
    crashed: bool,
}

impl State {
    fn add_file(&mut self, name: &str, file: MemoryFile) -> usize {
        self.files.push(file);
        let index = self.files.len() - 1;
        self.names.insert(name.to_string(), index);
        index
    }

    fn index(&self, name: &str) -> Result<usize, DiskError> {
        let missing = || DiskError::io(name, ErrorKind::NotFound.into());
        self.names.get(name).copied().ok_or_else(missing)
    }

    /// Counts a modifying call and applies the fault that is injected into it. [`Fault::PartialAppend`] is returned, as
    /// the append itself has to apply it.
    fn record_call(&mut self, name: &str) -> Result<Option<Fault>, DiskError> {
        let injected_fault = || DiskError::io(name, Error::other("injected fault"));
        if self.crashed {
            return Err(injected_fault());
        }
        let fault = self.faults.get(&self.modifying_calls).copied();
        self.modifying_calls += 1;
        match fault {
            Some(Fault::Crash) => {
                self.crashed = true;
                Err(injected_fault())
            }
            Some(Fault::Error) => Err(injected_fault()),
            Some(Fault::PartialAppend) | None => Ok(fault),
        }
    }
}

/// An in-memory disk. Clones share the same files.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk {
    state: Rc<RefCell<State>>,
}

impl MemoryDisk {
    /// Injects a fault into the modifying call with this number, counted from 0.
    pub fn inject_fault(&self, call: usize, fault: Fault) {
        self.state.borrow_mut().faults.insert(call, fault);
    }

    /// Number of modifying calls so far.
    pub fn modifying_calls(&self) -> usize {
        self.state.borrow().modifying_calls
    }

    /// Returns a copy of the disk in its state after a crash.
    pub fn after_crash(&self, unsynced: Unsynced) -> MemoryDisk {
        let state = self.state.borrow();
        let names = match unsynced {
            Unsynced::Lost | Unsynced::NamesLost => &state.synced_names,
            Unsynced::Kept | Unsynced::FirstHalfKept | Unsynced::LastHalfKept => &state.names,
        };
        let crashed_disk = MemoryDisk::default();
        for (name, index) in names {
            crashed_disk.add_synced_file(name, &state.files[*index].after_crash(unsynced));
        }
        crashed_disk
    }

    /// Flips one bit of a file's content.
    pub fn flip_bit(&self, name: &str, bit: usize) {
        let mut state = self.state.borrow_mut();
        let Ok(index) = state.index(name) else { return };
        let file = &mut state.files[index];
        if let Some(byte) = file.current.get_mut(bit / 8) {
            *byte ^= 1 << (bit % 8);
        }
        file.synced = file.current.clone();
    }

    /// Adds a file whose content and name are already synced.
    pub fn add_synced_file(&self, name: &str, bytes: &[u8]) {
        let mut state = self.state.borrow_mut();
        let index = state.add_file(name, MemoryFile { current: bytes.to_vec(), synced: bytes.to_vec() });
        state.synced_names.insert(name.to_string(), index);
    }
}

impl Disk for MemoryDisk {
    fn list(&mut self) -> Result<Vec<String>, DiskError> {
        Ok(self.state.borrow().names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str, _: usize) -> Result<Vec<u8>, DiskError> {
        let state = self.state.borrow();
        let index = state.index(name)?;
        Ok(state.files[index].current.clone())
    }

    fn create(&mut self, name: &str) -> Result<(), DiskError> {
        let mut state = self.state.borrow_mut();
        state.record_call(name)?;
        state.add_file(name, MemoryFile::default());
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let mut state = self.state.borrow_mut();
        let fault = state.record_call(name)?;
        let index = state.index(name)?;
        let written = if fault.is_some() { &bytes[..bytes.len() / 2] } else { bytes };
        state.files[index].current.extend(written);
        match fault {
            Some(_) => Err(DiskError::io(name, ErrorKind::StorageFull.into())),
            None => Ok(()),
        }
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        let mut state = self.state.borrow_mut();
        state.record_call(name)?;
        let index = state.index(name)?;
        let file = &mut state.files[index];
        file.synced = file.current.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        let mut state = self.state.borrow_mut();
        state.record_call(from)?;
        let index = state.index(from)?;
        state.names.remove(from);
        state.names.insert(to.to_string(), index);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        let mut state = self.state.borrow_mut();
        state.record_call(name)?;
        state.index(name)?;
        state.names.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<(), DiskError> {
        let mut state = self.state.borrow_mut();
        state.record_call("the folder")?;
        state.synced_names = state.names.clone();
        Ok(())
    }
}
