//! [`Disk`] on a folder of the file system.

use std::fs::{DirBuilder, File, OpenOptions, TryLockError};
use std::io::{Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use super::{Disk, DiskError};

/// Permissions of the folder: only its owner has access.
const FOLDER_MODE: u32 = 0o700;
/// Permissions of the files: only their owner has access.
const FILE_MODE: u32 = 0o600;
/// A process that writes to the folder holds a lock on this file.
const LOCK_FILE: &str = "lock";
/// The name of the folder in error messages.
const FOLDER_LABEL: &str = "the folder";

/// A folder of the file system, locked by this process unless it is opened read-only. Only the owner can access its
/// files.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    append_file: Option<OpenFile>,
    /// Holds the lock until this value is dropped; `None` if the folder is read-only.
    _lock: Option<File>,
}

/// The file that was appended to last, kept open for the next append.
#[derive(Debug)]
struct OpenFile {
    name: String,
    file: File,
}

impl Folder {
    /// Creates the folder if it does not exist, and locks it for this process.
    ///
    /// # Errors
    /// The folder can't be created or locked, or another process holds the lock.
    pub fn lock(path: &Path) -> Result<Self, DiskError> {
        let folder_name = path.display().to_string();
        let folder_error = |error| DiskError::io(&folder_name, error);
        DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(path).map_err(folder_error)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .mode(FILE_MODE)
            .open(path.join(LOCK_FILE))
            .map_err(|error| DiskError::io(LOCK_FILE, error))?;
        match lock.try_lock() {
            Ok(()) => Ok(Folder { path: path.to_path_buf(), append_file: None, _lock: Some(lock) }),
            Err(TryLockError::WouldBlock) => Err(DiskError::Locked { folder: folder_name }),
            Err(TryLockError::Error(error)) => Err(folder_error(error)),
        }
    }

    /// Opens the folder for reading, without a lock. Another process may write to it meanwhile.
    pub fn read_only(path: &Path) -> Self {
        Folder { path: path.to_path_buf(), append_file: None, _lock: None }
    }
}

impl Disk for Folder {
    fn list(&mut self) -> Result<Vec<String>, DiskError> {
        let folder_error = |error| DiskError::io(FOLDER_LABEL, error);
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path).map_err(folder_error)? {
            let entry = entry.map_err(folder_error)?;
            names.push(entry.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn read(&mut self, name: &str, max_bytes: usize) -> Result<Vec<u8>, DiskError> {
        let io_error = |error| DiskError::io(name, error);
        let file = File::open(self.path.join(name)).map_err(io_error)?;
        let mut bytes = Vec::new();
        file.take(max_bytes as u64 + 1).read_to_end(&mut bytes).map_err(io_error)?;
        if bytes.len() > max_bytes {
            return Err(DiskError::FileTooLarge { file: name.to_string(), limit: max_bytes });
        }
        Ok(bytes)
    }

    fn create(&mut self, name: &str) -> Result<(), DiskError> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(true)
            .write(true)
            .mode(FILE_MODE)
            .open(self.path.join(name))
            .map_err(|error| DiskError::io(name, error))?;
        self.append_file = Some(OpenFile { name: name.to_string(), file });
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let io_error = |error| DiskError::io(name, error);
        let mut open = match self.append_file.take().filter(|open| open.name == name) {
            Some(open) => open,
            None => {
                let file = OpenOptions::new().append(true).open(self.path.join(name)).map_err(io_error)?;
                OpenFile { name: name.to_string(), file }
            }
        };
        let written = open.file.write_all(bytes).map_err(io_error);
        self.append_file = Some(open);
        written
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        let synced = match &self.append_file {
            Some(open) if open.name == name => open.file.sync_data(),
            _ => File::open(self.path.join(name)).and_then(|file| file.sync_data()),
        };
        synced.map_err(|error| DiskError::io(name, error))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        self.append_file = None;
        std::fs::rename(self.path.join(from), self.path.join(to)).map_err(|error| DiskError::io(from, error))
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        std::fs::remove_file(self.path.join(name)).map_err(|error| DiskError::io(name, error))
    }

    fn sync_folder(&mut self) -> Result<(), DiskError> {
        let synced = File::open(&self.path).and_then(|folder| folder.sync_all());
        synced.map_err(|error| DiskError::io(FOLDER_LABEL, error))
    }
}
