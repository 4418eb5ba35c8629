//! The disk as the store sees it: [`Folder`] on this machine, or [`MemoryDisk`] that fails as disks do.

mod folder;
mod memory;

pub use folder::Folder;
pub use memory::{Fault, MemoryDisk, Unsynced};

/// Why a disk, or the store on it, did not do what was asked.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The operating system's error. It is part of the text, and therefore no `source`.
    #[error("{file}: {error}")]
    Io {
        /// The file's or folder's name.
        file: String,
        /// What went wrong.
        error: std::io::Error,
    },
    /// Another process has the folder.
    #[error("another process has the folder: {folder}")]
    Locked {
        /// The folder's path.
        folder: String,
    },
    /// An entry exceeds [`MAX_ENTRY_BYTES`](crate::MAX_ENTRY_BYTES).
    #[error("an entry is larger than any may be")]
    EntryTooLarge {
        /// The size of its content.
        bytes: usize,
    },
    /// All entries together would exceed [`MAX_TOTAL_BYTES`](crate::MAX_TOTAL_BYTES).
    #[error("the entries are larger than all may be")]
    StoreTooLarge {
        /// The size that they would have.
        bytes: usize,
    },
    /// A file exceeds what its reader takes.
    #[error("a file is larger than any may be")]
    FileTooLarge {
        /// The file's name.
        file: String,
        /// The limit in bytes.
        limit: usize,
    },
}

impl DiskError {
    pub(crate) fn io(file: &str, error: std::io::Error) -> Self {
        DiskError::Io { file: file.to_string(), error }
    }

    /// Whether a size limit was exceeded; repeating the call does not help then.
    pub fn is_size_limit(&self) -> bool {
        match self {
            DiskError::EntryTooLarge { .. }
            | DiskError::StoreTooLarge { .. }
            | DiskError::FileTooLarge { .. } => true,
            DiskError::Io { .. } | DiskError::Locked { .. } => false,
        }
    }
}

/// Files of one folder, by name.
///
/// What is not synced may be lost in a crash, in whole or in part and in any order; so may a rename, until the folder is
/// synced. All calls fail with [`DiskError::Io`].
pub trait Disk {
    /// The names of all files.
    ///
    /// # Errors
    /// The folder can't be listed.
    fn list(&mut self) -> Result<Vec<String>, DiskError>;
    /// A file's content.
    ///
    /// # Errors
    /// The file can't be read, or is larger than `max_bytes`.
    fn read(&mut self, name: &str, max_bytes: usize) -> Result<Vec<u8>, DiskError>;
    /// Creates an empty file, in the place of one of that name.
    ///
    /// # Errors
    /// The file can't be created.
    fn create(&mut self, name: &str) -> Result<(), DiskError>;
    /// Appends to a file.
    ///
    /// # Errors
    /// Not all was written; a part may be.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError>;
    /// Makes a file's content durable.
    ///
    /// # Errors
    /// It is not known what is durable.
    fn sync(&mut self, name: &str) -> Result<(), DiskError>;
    /// Renames a file, in the place of one of that name.
    ///
    /// # Errors
    /// The file can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError>;
    /// Removes a file.
    ///
    /// # Errors
    /// The file can't be removed.
    fn remove(&mut self, name: &str) -> Result<(), DiskError>;
    /// Makes creations, renames and removals durable.
    ///
    /// # Errors
    /// It is not known which are durable.
    fn sync_folder(&mut self) -> Result<(), DiskError>;
}
