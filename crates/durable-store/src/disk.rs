//! The disk as the store sees it: a folder's own, and one in memory that fails in all the ways that disks do.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;

#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    #[error("another process has the folder: {0}")]
    Locked(String),
    #[error("{0}")]
    Full(&'static str),
}

/// Files of one folder, by name. What is not synced may be lost in a crash, in whole or in part and in any
/// order; a rename may, until the folder is synced.
pub trait Disk {
    fn list(&mut self) -> Result<Vec<String>, DiskError>;
    /// Errors: also a file larger than `most`.
    fn read(&mut self, name: &str, most: usize) -> Result<Vec<u8>, DiskError>;
    /// An empty file, in the place of one of that name.
    fn create(&mut self, name: &str) -> Result<(), DiskError>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError>;
    fn sync(&mut self, name: &str) -> Result<(), DiskError>;
    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError>;
    fn remove(&mut self, name: &str) -> Result<(), DiskError>;
    fn sync_folder(&mut self) -> Result<(), DiskError>;
}

/// A folder of this machine, locked for this process. Files are its owner's alone.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// The file that is being added to.
    open: Option<(String, File)>,
    /// MemoryFile for as long as this is.
    _lock: Option<File>,
}

impl Folder {
    /// Makes the folder if it is not there, and takes it for this process.
    ///
    /// Errors: it can't be made or read; another process has it.
    pub fn lock(path: &Path) -> Result<Self, DiskError> {
        let at = |error| DiskError::Io(path.display().to_string(), error);
        std::fs::DirBuilder::new().recursive(true).mode(0o700).create(path).map_err(at)?;
        let lock = path.join("lock");
        let options = OpenOptions::new().create(true).truncate(false).write(true).mode(0o600).open(&lock);
        let lock = options.map_err(|error| DiskError::Io("lock".into(), error))?;
        match lock.try_lock() {
            Ok(()) => Ok(Folder { path: path.to_path_buf(), open: None, _lock: Some(lock) }),
            Err(std::fs::TryLockError::WouldBlock) => Err(DiskError::Locked(path.display().to_string())),
            Err(std::fs::TryLockError::Error(error)) => Err(at(error)),
        }
    }

    /// To look at only: whoever has the folder goes on writing.
    pub fn read_only(path: &Path) -> Self {
        Folder { path: path.to_path_buf(), open: None, _lock: None }
    }
}

fn named(name: &str) -> impl Fn(std::io::Error) -> DiskError + '_ {
    move |error| DiskError::Io(name.to_string(), error)
}

impl Disk for Folder {
    fn list(&mut self) -> Result<Vec<String>, DiskError> {
        let at = named("the folder");
        let entries = std::fs::read_dir(&self.path).map_err(&at)?;
        let names: Result<Vec<String>, _> = entries
            .map(|entry| entry.map(|entry| entry.file_name().to_string_lossy().into_owned()))
            .collect();
        names.map_err(&at)
    }

    fn read(&mut self, name: &str, most: usize) -> Result<Vec<u8>, DiskError> {
        let file = File::open(self.path.join(name)).map_err(named(name))?;
        let mut bytes = Vec::new();
        file.take(most as u64 + 1).read_to_end(&mut bytes).map_err(named(name))?;
        if bytes.len() > most { Err(DiskError::Full("a file is larger than any may be")) } else { Ok(bytes) }
    }

    fn create(&mut self, name: &str) -> Result<(), DiskError> {
        let options =
            OpenOptions::new().create(true).truncate(true).write(true).mode(0o600).open(self.path.join(name));
        self.open = Some((name.to_string(), options.map_err(named(name))?));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new().append(true).open(self.path.join(name)).map_err(named(name))?;
            self.open = Some((name.to_string(), file));
        }
        let Some((_, file)) = &mut self.open else { return Ok(()) };
        file.write_all(bytes).map_err(named(name))
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        match &self.open {
            Some((open, file)) if open == name => file.sync_data().map_err(named(name)),
            _ => File::open(self.path.join(name)).and_then(|file| file.sync_data()).map_err(named(name)),
        }
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        self.open = None;
        std::fs::rename(self.path.join(from), self.path.join(to)).map_err(named(from))
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        std::fs::remove_file(self.path.join(name)).map_err(named(name))
    }

    fn sync_folder(&mut self) -> Result<(), DiskError> {
        File::open(&self.path).and_then(|folder| folder.sync_all()).map_err(named("the folder"))
    }
}

/// How a disk in memory fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The power goes: this and every later call fails.
    Crash,
    /// The call fails and does nothing; later ones go on.
    Error,
    /// An append writes half of its bytes, and fails.
    PartialAppend,
}

/// What a crash leaves of what was not synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unsynced {
    Lost,
    /// Everything, as if it had been synced.
    Kept,
    /// The first half of what was appended, and renames.
    FirstHalfKept,
    /// The last half of it, with nothing where the first should be: it was written in another order.
    LastHalfKept,
    /// What was appended, but no renames, creations and removals.
    NamesLost,
}

#[derive(Debug, Clone, Default)]
struct MemoryFile {
    now: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Files by number, and which names they have: now, and as of the last sync of the folder.
    files: Vec<MemoryFile>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    calls: usize,
    faults: BTreeMap<usize, Fault>,
    down: bool,
}

/// A disk in memory. Clones are the same disk.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk(Rc<RefCell<Inner>>);

impl MemoryDisk {
    /// The call with this number, from 0, fails so.
    pub fn fault(&self, call: usize, fault: Fault) {
        self.0.borrow_mut().faults.insert(call, fault);
    }

    /// Calls that change something, so far.
    pub fn calls(&self) -> usize {
        self.0.borrow().calls
    }

    /// The disk as it is found after a crash.
    pub fn after_crash(&self, leaves: Unsynced) -> MemoryDisk {
        let inner = self.0.borrow();
        let names = match leaves {
            Unsynced::Lost | Unsynced::NamesLost => &inner.synced_names,
            _ => &inner.names,
        };
        let mut left = Inner::default();
        for (name, number) in names {
            let MemoryFile { now, synced } = &inner.files[*number];
            let common = now.iter().zip(synced).take_while(|(one, other)| one == other).count();
            let added = &now[common..];
            let bytes = match leaves {
                Unsynced::Lost => synced.clone(),
                Unsynced::Kept | Unsynced::NamesLost => now.clone(),
                Unsynced::FirstHalfKept => [&now[..common], &added[..added.len() / 2]].concat(),
                Unsynced::LastHalfKept => {
                    let half = added.len() / 2;
                    [&now[..common], &vec![0; half][..], &added[half..]].concat()
                }
            };
            left.files.push(MemoryFile { now: bytes.clone(), synced: bytes });
            left.names.insert(name.clone(), left.files.len() - 1);
        }
        left.synced_names = left.names.clone();
        MemoryDisk(Rc::new(RefCell::new(left)))
    }

    /// Turns a bit of a file.
    pub fn flip(&self, name: &str, bit: usize) {
        let mut inner = self.0.borrow_mut();
        let Some(number) = inner.names.get(name).copied() else { return };
        let held = &mut inner.files[number];
        if let Some(byte) = held.now.get_mut(bit / 8) {
            *byte ^= 1 << (bit % 8);
        }
        held.synced = held.now.clone();
    }

    /// Puts a file there as it is.
    pub fn put(&self, name: &str, bytes: &[u8]) {
        let mut inner = self.0.borrow_mut();
        inner.files.push(MemoryFile { now: bytes.to_vec(), synced: bytes.to_vec() });
        let number = inner.files.len() - 1;
        inner.names.insert(name.to_string(), number);
        inner.synced_names.insert(name.to_string(), number);
    }

    fn call(&self, name: &str) -> Result<Option<Fault>, DiskError> {
        let mut inner = self.0.borrow_mut();
        let failed =
            || Err(DiskError::Io(name.to_string(), std::io::Error::other("a fault that was asked for")));
        if inner.down {
            return failed();
        }
        let call = inner.calls;
        inner.calls += 1;
        match inner.faults.get(&call).copied() {
            Some(Fault::Crash) => {
                inner.down = true;
                failed()
            }
            Some(Fault::Error) => failed(),
            half => Ok(half),
        }
    }

    fn number(&self, name: &str) -> Result<usize, DiskError> {
        let missing = || DiskError::Io(name.to_string(), std::io::ErrorKind::NotFound.into());
        self.0.borrow().names.get(name).copied().ok_or_else(missing)
    }
}

impl Disk for MemoryDisk {
    fn list(&mut self) -> Result<Vec<String>, DiskError> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str, _: usize) -> Result<Vec<u8>, DiskError> {
        let number = self.number(name)?;
        Ok(self.0.borrow().files[number].now.clone())
    }

    fn create(&mut self, name: &str) -> Result<(), DiskError> {
        self.call(name)?;
        let mut inner = self.0.borrow_mut();
        inner.files.push(MemoryFile::default());
        let number = inner.files.len() - 1;
        inner.names.insert(name.to_string(), number);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let half = self.call(name)?;
        let number = self.number(name)?;
        let written = if half.is_some() { &bytes[..bytes.len() / 2] } else { bytes };
        self.0.borrow_mut().files[number].now.extend(written);
        match half {
            Some(_) => Err(DiskError::Io(name.to_string(), std::io::ErrorKind::StorageFull.into())),
            None => Ok(()),
        }
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        self.call(name)?;
        let number = self.number(name)?;
        let mut inner = self.0.borrow_mut();
        let held = &mut inner.files[number];
        held.synced = held.now.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        self.call(from)?;
        let number = self.number(from)?;
        let mut inner = self.0.borrow_mut();
        inner.names.remove(from);
        inner.names.insert(to.to_string(), number);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        self.call(name)?;
        self.number(name)?;
        self.0.borrow_mut().names.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<(), DiskError> {
        self.call("the folder")?;
        let mut inner = self.0.borrow_mut();
        inner.synced_names = inner.names.clone();
        Ok(())
    }
}
