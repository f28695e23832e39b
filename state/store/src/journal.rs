//! The log file: a base record, followed by one record for each write.

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
    file::{damaged, io_error, read_bytes, replace},
    record::{self, ReadOutcome, VERSION_BYTES},
};

/// Index and term of the entry that the entries of the file follow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Base {
    index: Index,
    term: Term,
}

/// A change of the log. `Truncate` removes the entries from its index on.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Change {
    Append(Vec<Entry>),
    Truncate(Index),
}

/// The log file. Its entries are also held in memory, for the next rewrite of the file.
#[derive(Debug)]
pub(crate) struct Journal {
    path: PathBuf,
    file: File,
    base: Base,
    entries: VecDeque<Entry>,
}

impl Journal {
    /// Creates a file without entries.
    pub(crate) fn create(path: &Path) -> Result<(), StoreError> {
        replace(path, &encode_file(Base::default(), &VecDeque::new()))
    }

    /// Opens the file, cuts off a torn last record and skips entries that the snapshot covers.
    /// Fails if the snapshot that the file follows is missing.
    pub(crate) fn open(path: &Path, snapshot: Option<&Snapshot>) -> Result<Journal, StoreError> {
        let missing = || StoreError::Missing { path: path.to_owned() };
        let bytes = read_bytes(path)?.ok_or_else(missing)?;
        let (base, first) = read_base(path, &bytes)?;
        let file = open_file(path)?;
        let mut journal = Journal { path: path.to_owned(), file, base, entries: VecDeque::new() };
        let end = journal.replay(&bytes, first)?;
        if end < bytes.len() {
            journal.truncate_file(end as u64)?;
        }
        if snapshot.map_or(0, |s| s.index) < base.index {
            return Err(StoreError::Missing { path: path.with_file_name(SNAPSHOT) });
        }
        if let Some(snap) = snapshot {
            journal.drop_covered(snap);
        }
        Ok(journal)
    }

    pub(crate) fn entries(&self) -> Vec<Entry> {
        self.entries.iter().cloned().collect()
    }

    /// Applies the records and returns the offset at which the last intact one ends.
    fn replay(&mut self, bytes: &[u8], first: usize) -> Result<usize, StoreError> {
        let mut offset = first;
        loop {
            let (payload, next) = match record::read_at(bytes, offset) {
                ReadOutcome::Record(payload, next) => (payload, next),
                ReadOutcome::End | ReadOutcome::Torn => return Ok(offset),
                ReadOutcome::Damaged => return Err(damaged(&self.path, offset)),
            };
            let changes: Option<Vec<Change>> = record::parse(payload);
            for change in changes.ok_or_else(|| damaged(&self.path, offset))? {
                self.apply(change).ok_or_else(|| damaged(&self.path, offset))?;
            }
            offset = next;
        }
    }

    fn last_index(&self) -> Index {
        self.base.index + self.entries.len() as u64
    }

    /// Applies a change in memory; `None` if it does not follow the entries.
    fn apply(&mut self, change: Change) -> Option<()> {
        match change {
            Change::Truncate(index) => {
                let keep = index.checked_sub(self.base.index + 1)?;
                self.entries.truncate(keep as usize);
            }
            Change::Append(entries) => {
                for entry in entries {
                    if entry.index != self.last_index() + 1 {
                        return None;
                    }
                    self.entries.push_back(entry);
                }
            }
        }
        Some(())
    }

    fn truncate_file(&mut self, len: u64) -> Result<(), StoreError> {
        self.file.set_len(len).map_err(io_error("truncate", &self.path))?;
        self.sync()
    }

    fn sync(&self) -> Result<(), StoreError> {
        self.file.sync_data().map_err(io_error("sync", &self.path))
    }

    /// Appends one record for the changes and syncs the file.
    pub(crate) fn write(&mut self, changes: Vec<Change>) -> Result<(), StoreError> {
        let record = record::frame(&changes);
        self.file.write_all(&record).map_err(io_error("write", &self.path))?;
        self.sync()?;
        for change in changes {
            let _ = self.apply(change);
        }
        Ok(())
    }

    /// Removes the entries that a snapshot covers from memory, or all entries if the snapshot's
    /// last entry is not among them.
    fn drop_covered(&mut self, snap: &Snapshot) {
        let contained = self.term_at(snap.index) == Some(snap.term);
        while self.entries.front().is_some_and(|e| !contained || e.index <= snap.index) {
            self.entries.pop_front();
        }
        self.base = Base { index: snap.index, term: snap.term };
    }

    fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        let idx = index.checked_sub(self.base.index + 1)?;
        self.entries.get(idx as usize).map(|e| e.term)
    }

    /// Replaces the file by one that holds only the entries after the snapshot.
    pub(crate) fn compact(&mut self, snap: &Snapshot) -> Result<(), StoreError> {
        self.drop_covered(snap);
        replace(&self.path, &encode_file(self.base, &self.entries))?;
        self.file = open_file(&self.path)?;
        Ok(())
    }
}

fn open_file(path: &Path) -> Result<File, StoreError> {
    OpenOptions::new().append(true).open(path).map_err(io_error("open", path))
}

/// Reads the base record and returns it with the offset of the next record.
fn read_base(path: &Path, bytes: &[u8]) -> Result<(Base, usize), StoreError> {
    let ReadOutcome::Record(payload, next) = record::read_at(bytes, VERSION_BYTES) else {
        return Err(damaged(path, VERSION_BYTES));
    };
    let base = record::parse(payload).ok_or_else(|| damaged(path, VERSION_BYTES))?;
    Ok((base, next))
}

/// Encodes a whole log file.
fn encode_file(base: Base, entries: &VecDeque<Entry>) -> Vec<u8> {
    let mut bytes = record::version_bytes().to_vec();
    bytes.extend(record::frame(&base));
    if !entries.is_empty() {
        let all = Change::Append(entries.iter().cloned().collect());
        bytes.extend(record::frame(&vec![all]));
    }
    bytes
}
