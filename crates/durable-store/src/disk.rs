//! The [`Disk`] interface of the store, with two implementations: [`Folder`] in the file system, and [`MemoryDisk`]
//! with injected faults for tests.

mod folder;
mod memory;

pub use folder::Folder;
pub use memory::{Fault, MemoryDisk, Unsynced};

/// An error of the disk, or a size limit that was exceeded.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// An I/O error of the operating system. Its text is part of the message, so it is not also the `source`.
    #[error("{file}: {error}")]
    Io {
        /// The name of the file or folder.
        file: String,
        /// The operating system's error.
        error: std::io::Error,
    },
    /// Another process holds the lock of the folder.
    #[error("another process has the folder locked: {folder}")]
    Locked {
        /// The folder's path.
        folder: String,
    },
    /// An entry exceeds [`MAX_ENTRY_BYTES`](crate::MAX_ENTRY_BYTES).
    #[error("entry of {bytes} bytes exceeds the size limit of one entry")]
    EntryTooLarge {
        /// The size of its content, in bytes.
        bytes: usize,
    },
    /// All entries together would exceed [`MAX_TOTAL_BYTES`](crate::MAX_TOTAL_BYTES).
    #[error("entries of {bytes} bytes in total exceed the size limit of the store")]
    StoreTooLarge {
        /// The total size that the write would have led to, in bytes.
        bytes: usize,
    },
    /// A file that was written does not read back as it should.
    #[error("{file}: what was read back is not what was written")]
    Verification {
        /// The file's name.
        file: String,
    },
    /// A file exceeds the size limit of its reader.
    #[error("{file} exceeds the limit of {limit} bytes")]
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

    /// Whether a size limit was exceeded. Such a call fails again if it is retried.
    pub fn is_size_limit(&self) -> bool {
        match self {
            DiskError::EntryTooLarge { .. }
            | DiskError::StoreTooLarge { .. }
            | DiskError::FileTooLarge { .. } => true,
            DiskError::Io { .. } | DiskError::Locked { .. } | DiskError::Verification { .. } => false,
        }
    }
}

/// The files of one folder, by name.
///
/// A crash may lose unsynced content, in whole or in part and in any order. It may also lose a rename until the folder
/// is synced. Failed calls return [`DiskError::Io`].
pub trait Disk {
    /// Returns the names of all files.
    ///
    /// # Errors
    /// The folder can't be listed.
    fn list(&mut self) -> Result<Vec<String>, DiskError>;
    /// Returns a file's content.
    ///
    /// # Errors
    /// The file can't be read, or is larger than `max_bytes`.
    fn read(&mut self, name: &str, max_bytes: usize) -> Result<Vec<u8>, DiskError>;
    /// Creates an empty file, replacing any file of that name.
    ///
    /// # Errors
    /// The file can't be created.
    fn create(&mut self, name: &str) -> Result<(), DiskError>;
    /// Appends to a file.
    ///
    /// # Errors
    /// The write failed; a part of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError>;
    /// Makes a file's content durable.
    ///
    /// # Errors
    /// Any part of the unsynced content may be durable.
    fn sync(&mut self, name: &str) -> Result<(), DiskError>;
    /// Renames a file, replacing any file of the new name.
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
    /// Any of the unsynced creations, renames and removals may be durable.
    fn sync_folder(&mut self) -> Result<(), DiskError>;
}
