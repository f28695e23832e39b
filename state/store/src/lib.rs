//! The files of a voter: identity, hard state, log and snapshot.
//!
//! Each file leads with a version number, then come records with their length
//! and checksums. The log is appended to and synced once a write; the other
//! files are replaced by renaming a synced temporary file.

mod disk;
mod file;
mod journal;
mod record;

use std::path::PathBuf;

use replog::{Recovered, Write};
use thiserror::Error;

/// The files could not be read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The operating system refused.
    #[error("could not {what} {path}")]
    Io {
        /// What was tried.
        what: &'static str,
        /// The file.
        path: PathBuf,
        /// The refusal.
        #[source]
        source: std::io::Error,
    },
    /// A record before the end of a file is damaged.
    #[error("could not read {path}: damaged record at byte {offset}")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the record starts.
        offset: u64,
    },
    /// The files are of another version.
    #[error("could not read {path}: file version {found}, expected {expected}")]
    Version {
        /// The file.
        path: PathBuf,
        /// Its version.
        found: u32,
        /// The version this program writes.
        expected: u32,
    },
    /// A file is gone that was there when the folder was in use.
    #[error("could not open {path}: file is missing from a used data folder")]
    Missing {
        /// The file.
        path: PathBuf,
    },
    /// Another process has the data folder open.
    #[error("could not lock {path}: data folder is in use")]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// An earlier write failed.
    #[error("could not write {path}: an earlier write failed")]
    Stopped {
        /// The data folder.
        path: PathBuf,
    },
}

/// Where a voter's writes go.
pub trait Disk: Send {
    /// Writes and syncs. After an error nothing further may be written.
    fn write(&mut self, write: &Write) -> Result<(), StoreError>;
}

/// Opens or creates the data folder at `dir`. A new folder gets the identity
/// `voter`. The folder stays locked until the disk is dropped.
pub fn open(
    dir: &std::path::Path,
    voter: wire::VoterId,
) -> Result<(Box<dyn Disk>, Recovered), StoreError> {
    let (disk, recovered) = disk::FileDisk::open(dir, voter)?;
    Ok((Box::new(disk), recovered))
}
