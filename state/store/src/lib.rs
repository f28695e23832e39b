//! The data folder of a replica: identity, hard state, log, snapshot and recorded streams.
//!
//! Each file starts with a version number, followed by records with their length and checksums.
//! The log is appended to and synced once per write; the other files are replaced by renaming a
//! synced temporary file over them.

mod disk;
mod file;
mod journal;
mod record;
mod records;

use std::path::PathBuf;

use replog::{Recovered, Write};
use thiserror::Error;

pub use crate::records::{KeptRecords, RecordFile, StreamRecord};

/// An error of reading or writing the data folder.
#[derive(Debug, Error)]
pub enum StoreError {
    /// An operation failed in the operating system.
    #[error("could not {action} {path}")]
    Io {
        /// The operation, as a verb for the message.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The operating system's error.
        #[source]
        source: std::io::Error,
    },
    /// A file holds a damaged record that is not the torn end of the log.
    #[error("could not read {path}: damaged record at byte {offset}")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Offset of the record, in bytes.
        offset: u64,
    },
    /// A file has a version that this program cannot read.
    #[error("could not read {path}: file version {found}, expected {expected}")]
    Version {
        /// The file.
        path: PathBuf,
        /// The file's version.
        found: u32,
        /// The version that this program reads and writes.
        expected: u32,
    },
    /// A file is missing from a folder that has been in use.
    #[error("could not open {path}: file is missing from a used data folder")]
    Missing {
        /// The missing file.
        path: PathBuf,
    },
    /// Another process has the data folder open.
    #[error("could not lock {path}: data folder is in use")]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// An earlier write failed, so nothing further is written.
    #[error("could not write {path}: an earlier write failed")]
    Stopped {
        /// The data folder.
        path: PathBuf,
    },
}

/// Durable storage of a voter's state.
pub trait Disk: Send {
    /// Writes the changes and syncs them. After an error, the disk must not write anything
    /// further.
    fn write(&mut self, write: &Write) -> Result<(), StoreError>;
}

/// Opens or creates the data folder at `dir` and returns what it holds.
///
/// A new folder gets the identity `voter`; an existing one keeps its own. The folder stays locked
/// until the disk is dropped. Fails if the folder is locked by another process, or if a file is
/// missing, damaged or of another version.
pub fn open(
    dir: &std::path::Path,
    voter: wire::DiskId,
) -> Result<(Box<dyn Disk>, Recovered), StoreError> {
    let (disk, recovered) = disk::FileDisk::open(dir, voter)?;
    Ok((Box::new(disk), recovered))
}
