//! A disk in memory for tests: it fails on request, and loses in a crash what was not synced.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::rc::Rc;

use super::{Disk, DiskError};

/// How a call fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The power goes: this and every later call fails.
    Crash,
    /// The call fails and does nothing; later ones succeed.
    Error,
    /// An append writes half of its bytes, and fails.
    PartialAppend,
}

/// What a crash leaves of what was not synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unsynced {
    /// Nothing.
    Lost,
    /// Everything, as if it had been synced.
    Kept,
    /// The first half of what was appended, and renames.
    FirstHalfKept,
    /// The last half of it, with zeros in the place of the first: it was written in another order.
    LastHalfKept,
    /// What was appended, but no renames, creations and removals.
    NamesLost,
}

#[derive(Debug, Clone, Default)]
struct MemoryFile {
    current: Vec<u8>,
    synced: Vec<u8>,
}

impl MemoryFile {
    /// The content that a crash leaves.
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
    /// All files that ever were; names refer to them by index.
    files: Vec<MemoryFile>,
    names: BTreeMap<String, usize>,
    /// The names as of the last sync of the folder.
    synced_names: BTreeMap<String, usize>,
    /// Number of calls that change something, so far.
    calls: usize,
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

    /// Counts a call. Returns whether it is an append to be cut short.
    fn call(&mut self, name: &str) -> Result<Option<Fault>, DiskError> {
        let requested_fault = || DiskError::io(name, Error::other("a fault that was asked for"));
        if self.crashed {
            return Err(requested_fault());
        }
        let fault = self.faults.get(&self.calls).copied();
        self.calls += 1;
        match fault {
            Some(Fault::Crash) => {
                self.crashed = true;
                Err(requested_fault())
            }
            Some(Fault::Error) => Err(requested_fault()),
            Some(Fault::PartialAppend) | None => Ok(fault),
        }
    }
}

/// A disk in memory. Clones are the same disk.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk {
    state: Rc<RefCell<State>>,
}

impl MemoryDisk {
    /// Makes the call of this number, from 0, fail.
    pub fn fault(&self, call: usize, fault: Fault) {
        self.state.borrow_mut().faults.insert(call, fault);
    }

    /// Number of calls that change something, so far.
    pub fn calls(&self) -> usize {
        self.state.borrow().calls
    }

    /// The disk as it is found after a crash.
    pub fn after_crash(&self, unsynced: Unsynced) -> MemoryDisk {
        let state = self.state.borrow();
        let names = match unsynced {
            Unsynced::Lost | Unsynced::NamesLost => &state.synced_names,
            Unsynced::Kept | Unsynced::FirstHalfKept | Unsynced::LastHalfKept => &state.names,
        };
        let left = MemoryDisk::default();
        for (name, index) in names {
            left.put(name, &state.files[*index].after_crash(unsynced));
        }
        left
    }

    /// Flips a bit of a file.
    pub fn flip(&self, name: &str, bit: usize) {
        let mut state = self.state.borrow_mut();
        let Ok(index) = state.index(name) else { return };
        let file = &mut state.files[index];
        if let Some(byte) = file.current.get_mut(bit / 8) {
            *byte ^= 1 << (bit % 8);
        }
        file.synced = file.current.clone();
    }

    /// Puts a file there, synced.
    pub fn put(&self, name: &str, bytes: &[u8]) {
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
        state.call(name)?;
        state.add_file(name, MemoryFile::default());
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let mut state = self.state.borrow_mut();
        let fault = state.call(name)?;
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
        state.call(name)?;
        let index = state.index(name)?;
        let file = &mut state.files[index];
        file.synced = file.current.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        let mut state = self.state.borrow_mut();
        state.call(from)?;
        let index = state.index(from)?;
        state.names.remove(from);
        state.names.insert(to.to_string(), index);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        let mut state = self.state.borrow_mut();
        state.call(name)?;
        state.index(name)?;
        state.names.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<(), DiskError> {
        let mut state = self.state.borrow_mut();
        state.call("the folder")?;
        state.synced_names = state.names.clone();
        Ok(())
    }
}
