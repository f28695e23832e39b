//! The data folder as a [`Disk`].

use std::{
    fs::{self, File, TryLockError},
    path::{Path, PathBuf},
};

use replog::{HardState, Op, Recovered, Write};
use wire::{DiskId, Snapshot};

use crate::{
    Disk, StoreError,
    file::{io_error, read_value, remove, remove_temporary, save, sync_dir},
    journal::{Change, Journal},
};

const LOCK: &str = "lock";
/// Marker of a folder whose first files are not all written yet.
const CREATING: &str = "creating";
const IDENTITY: &str = "identity";
const HARD: &str = "hard";
const LOG: &str = "log";
pub(crate) const SNAPSHOT: &str = "snapshot";

/// The open data folder of one voter.
#[derive(Debug)]
pub(crate) struct FileDisk {
    dir: PathBuf,
    journal: Journal,
    /// Set after a failed write.
    stopped: bool,
    /// Keeps other processes from opening the folder.
    _lock: File,
}

impl FileDisk {
    pub(crate) fn open(dir: &Path, voter: DiskId) -> Result<(FileDisk, Recovered), StoreError> {
        fs::create_dir_all(dir).map_err(io_error("create", dir))?;
        let lock = lock(&dir.join(LOCK))?;
        create_files(dir, voter)?;
        for name in [IDENTITY, HARD, LOG, SNAPSHOT] {
            remove_temporary(&dir.join(name))?;
        }
        let voter = read_required(&dir.join(IDENTITY))?;
        let hard: HardState = read_required(&dir.join(HARD))?;
        let snapshot: Option<Snapshot> = read_value(&dir.join(SNAPSHOT))?;
        let journal = Journal::open(&dir.join(LOG), snapshot.as_ref())?;
        let entries = journal.entries();
        let disk = FileDisk { dir: dir.to_owned(), journal, stopped: false, _lock: lock };
        Ok((disk, Recovered { disk: voter, hard, snapshot, entries }))
    }

    fn write_ops(&mut self, ops: &[Op]) -> Result<(), StoreError> {
        let mut changes = Vec::new();
        for op in ops {
            match op {
                Op::Hard(hard) => save(&self.dir.join(HARD), hard)?,
                Op::Append(entries) => changes.push(Change::Append(entries.clone())),
                Op::Truncate(index) => changes.push(Change::Truncate(*index)),
                Op::Snapshot(snap) => {
                    self.write_changes(&mut changes)?;
                    save(&self.dir.join(SNAPSHOT), snap)?;
                    self.journal.compact(snap)?;
                }
            }
        }
        self.write_changes(&mut changes)
    }

    fn write_changes(&mut self, changes: &mut Vec<Change>) -> Result<(), StoreError> {
        if changes.is_empty() {
            return Ok(());
        }
        self.journal.write(std::mem::take(changes))
    }
}

impl Disk for FileDisk {
    fn write(&mut self, write: &Write) -> Result<(), StoreError> {
        if self.stopped {
            return Err(StoreError::Stopped { path: self.dir.clone() });
        }
        let result = self.write_ops(&write.ops);
        self.stopped = result.is_err();
        result
    }
}

fn lock(path: &Path) -> Result<File, StoreError> {
    let file = File::create(path).map_err(io_error("create", path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked { path: path.to_owned() }),
        Err(TryLockError::Error(e)) => Err(io_error("lock", path)(e)),
    }
}

/// Writes the first files of a new folder. A marker file exists until all of them are written,
/// which distinguishes an interrupted creation from a missing file.
fn create_files(dir: &Path, voter: DiskId) -> Result<(), StoreError> {
    let marker = dir.join(CREATING);
    let interrupted = exists(&marker)?;
    let mut used = false;
    for name in [IDENTITY, HARD, LOG, SNAPSHOT] {
        used |= exists(&dir.join(name))?;
    }
    if used && !interrupted {
        return Ok(());
    }
    save(&marker, &())?;
    save(&dir.join(HARD), &HardState::default())?;
    Journal::create(&dir.join(LOG))?;
    save(&dir.join(IDENTITY), &voter)?;
    remove(&marker)?;
    sync_dir(dir)?;
    sync_dir(dir.parent().filter(|it| !it.as_os_str().is_empty()).unwrap_or(Path::new(".")))
}

fn exists(path: &Path) -> Result<bool, StoreError> {
    path.try_exists().map_err(io_error("check for", path))
}

fn read_required<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, StoreError> {
    read_value(path)?.ok_or_else(|| StoreError::Missing { path: path.to_owned() })
}
