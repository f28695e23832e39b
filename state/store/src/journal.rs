//! The log file: a base record, then one record for each write.

use std::{
    collections::VecDeque,
    fs::{File, OpenOptions},
    io::Write as _,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use wire::{Entry, Index, Snapshot, Term};

use crate::{
    StoreError,
    disk::SNAPSHOT,
    file::{damaged, io_error, load, replace},
    record::{self, Found, VERSION_BYTES},
};

/// What the entries of the file follow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Base {
    index: Index,
    term: Term,
}

/// A change of the log.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Change {
    Append(Vec<Entry>),
    Truncate(Index),
}

/// The log file, with its entries in memory for the next rewrite.
#[derive(Debug)]
pub(crate) struct Journal {
    path: PathBuf,
    file: File,
    base: Base,
    entries: VecDeque<Entry>,
}

impl Journal {
    /// Creates an empty file.
    pub(crate) fn create(path: &Path) -> Result<(), StoreError> {
        replace(path, &content(Base::default(), &VecDeque::new()))
    }

    /// Opens the file, cuts a torn tail and leaves out what the snapshot covers.
    pub(crate) fn open(path: &Path, snapshot: Option<&Snapshot>) -> Result<Journal, StoreError> {
        let missing = || StoreError::Missing { path: path.to_owned() };
        let bytes = load(path)?.ok_or_else(missing)?;
        let (base, first) = read_base(path, &bytes)?;
        let file = open_file(path)?;
        let mut journal = Journal { path: path.to_owned(), file, base, entries: VecDeque::new() };
        let end = journal.replay(&bytes, first)?;
        if end < bytes.len() {
            journal.cut(end as u64)?;
        }
        if snapshot.map_or(0, |s| s.index) < base.index {
            return Err(StoreError::Missing { path: path.with_file_name(SNAPSHOT) });
        }
        if let Some(snap) = snapshot {
            journal.cover(snap);
        }
        Ok(journal)
    }

    pub(crate) fn entries(&self) -> Vec<Entry> {
        self.entries.iter().cloned().collect()
    }

    /// Applies the records and returns where the last whole one ends.
    fn replay(&mut self, bytes: &[u8], first: usize) -> Result<usize, StoreError> {
        let mut at = first;
        loop {
            let (payload, next) = match record::read(bytes, at) {
                Found::Record(payload, next) => (payload, next),
                Found::End | Found::Torn => return Ok(at),
                Found::Damaged => return Err(damaged(&self.path, at)),
            };
            let changes: Option<Vec<Change>> = record::parse(payload);
            for change in changes.ok_or_else(|| damaged(&self.path, at))? {
                self.apply(change).ok_or_else(|| damaged(&self.path, at))?;
            }
            at = next;
        }
    }

    fn last(&self) -> Index {
        self.base.index + self.entries.len() as u64
    }

    /// Applies a change in memory; nothing if it does not follow.
    fn apply(&mut self, change: Change) -> Option<()> {
        match change {
            Change::Truncate(index) => {
                let keep = index.checked_sub(self.base.index + 1)?;
                self.entries.truncate(keep as usize);
            }
            Change::Append(entries) => {
                for entry in entries {
                    if entry.index != self.last() + 1 {
                        return None;
                    }
                    self.entries.push_back(entry);
                }
            }
        }
        Some(())
    }

    fn cut(&mut self, len: u64) -> Result<(), StoreError> {
        self.file.set_len(len).map_err(io_error("truncate", &self.path))?;
        self.sync()
    }

    fn sync(&self) -> Result<(), StoreError> {
        self.file.sync_data().map_err(io_error("sync", &self.path))
    }

    /// Appends one record for the changes and syncs it.
    pub(crate) fn write(&mut self, changes: Vec<Change>) -> Result<(), StoreError> {
        let record = record::frame(&changes);
        self.file.write_all(&record).map_err(io_error("write", &self.path))?;
        self.sync()?;
        for change in changes {
            let _ = self.apply(change);
        }
        Ok(())
    }

    /// Removes from memory what a snapshot covers, and all entries if its last
    /// one is not among them.
    fn cover(&mut self, snap: &Snapshot) {
        let held = self.term_at(snap.index) == Some(snap.term);
        while self.entries.front().is_some_and(|e| !held || e.index <= snap.index) {
            self.entries.pop_front();
        }
        self.base = Base { index: snap.index, term: snap.term };
    }

    fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        let at = index.checked_sub(self.base.index + 1)?;
        self.entries.get(at as usize).map(|e| e.term)
    }

    /// Replaces the file by one that starts after the snapshot.
    pub(crate) fn compact(&mut self, snap: &Snapshot) -> Result<(), StoreError> {
        self.cover(snap);
        replace(&self.path, &content(self.base, &self.entries))?;
        self.file = open_file(&self.path)?;
        Ok(())
    }
}

fn open_file(path: &Path) -> Result<File, StoreError> {
    OpenOptions::new().append(true).open(path).map_err(io_error("open", path))
}

fn read_base(path: &Path, bytes: &[u8]) -> Result<(Base, usize), StoreError> {
    let Found::Record(payload, next) = record::read(bytes, VERSION_BYTES) else {
        return Err(damaged(path, VERSION_BYTES));
    };
    let base = record::parse(payload).ok_or_else(|| damaged(path, VERSION_BYTES))?;
    Ok((base, next))
}

fn content(base: Base, entries: &VecDeque<Entry>) -> Vec<u8> {
    let mut bytes = record::version_bytes().to_vec();
    bytes.extend(record::frame(&base));
    if !entries.is_empty() {
        let all = Change::Append(entries.iter().cloned().collect());
        bytes.extend(record::frame(&vec![all]));
    }
    bytes
}
