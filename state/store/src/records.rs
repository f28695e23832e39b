//! The files of recorded streams: pairs of a stream's and a software version's hash, in two
//! generations, of which only the newer one is appended to.

use std::{
    fs::{self, File, OpenOptions},
    io::Write as _,
    path::{Path, PathBuf},
};

use wire::{SoftwareHash, StreamHash};

use crate::{
    StoreError,
    file::{io_error, read_bytes, read_value, remove, remove_temporary, replace, save, sync_dir},
    record::{self, ReadOutcome, VERSION_BYTES},
};

const NEWER: &str = "streams";
const OLDER: &str = "streams-older";
/// Exists while records may be missing that were confirmed before.
const INCOMPLETE: &str = "streams-incomplete";

/// A stream and the software version that began it.
pub type StreamRecord = (StreamHash, SoftwareHash);

/// The records found in the files.
#[derive(Debug, Default)]
pub struct KeptRecords {
    /// The records.
    pub records: Vec<StreamRecord>,
    /// Whether no confirmed record is missing. One may be after a new folder was made, after damage,
    /// and after it was noted so.
    pub is_complete: bool,
}

/// The open files of recorded streams.
#[derive(Debug)]
pub struct RecordFile {
    dir: PathBuf,
    file: File,
}

impl RecordFile {
    /// Opens the files in an open data folder, or creates them.
    pub fn open(dir: &Path) -> Result<(RecordFile, KeptRecords), StoreError> {
        let path = dir.join(NEWER);
        remove_temporary(&path)?;
        let mut kept = KeptRecords::default();
        let mut end = None;
        let mut is_intact = true;
        for (name, is_required) in [(OLDER, false), (NEWER, true)] {
            match read(&dir.join(name)) {
                Ok(Some((records, len))) => {
                    kept.records.extend(records);
                    end = is_required.then_some(len);
                }
                Ok(None) => is_intact &= !is_required,
                Err(error @ StoreError::Io { .. }) => return Err(error),
                Err(_) => is_intact = false,
            }
        }
        if !is_intact {
            save(&dir.join(INCOMPLETE), &())?;
        }
        if end.is_none() {
            replace(&path, &record::version_bytes())?;
        }
        kept.is_complete = read_value::<()>(&dir.join(INCOMPLETE))?.is_none();
        let file = OpenOptions::new().append(true).open(&path).map_err(io_error("open", &path))?;
        if let Some(end) = end {
            file.set_len(end as u64).map_err(io_error("truncate", &path))?;
            file.sync_data().map_err(io_error("sync", &path))?;
        }
        Ok((RecordFile { dir: dir.to_owned(), file }, kept))
    }

    /// Appends records and syncs the file. After an error, the file has to be opened again.
    pub fn append(&mut self, records: &[StreamRecord]) -> Result<(), StoreError> {
        let path = self.dir.join(NEWER);
        let bytes = record::frame(&records);
        self.file.write_all(&bytes).map_err(io_error("write", &path))?;
        self.file.sync_data().map_err(io_error("sync", &path))
    }

    /// Notes whether records may be missing.
    pub fn mark(&mut self, complete: bool) -> Result<(), StoreError> {
        let path = self.dir.join(INCOMPLETE);
        if !complete {
            return save(&path, &());
        }
        remove(&path)?;
        sync_dir(&self.dir)
    }

    /// Drops the older generation; the newer one takes its place.
    pub fn rotate(&mut self) -> Result<(), StoreError> {
        let path = self.dir.join(NEWER);
        fs::rename(&path, self.dir.join(OLDER)).map_err(io_error("replace", &path))?;
        replace(&path, &record::version_bytes())?;
        sync_dir(&self.dir)?;
        self.file = OpenOptions::new().append(true).open(&path).map_err(io_error("open", &path))?;
        Ok(())
    }
}

/// Reads a file. Returns its records and where the last intact one ends; none without a file.
fn read(path: &Path) -> Result<Option<(Vec<StreamRecord>, usize)>, StoreError> {
    let Some(bytes) = read_bytes(path)? else { return Ok(None) };
    let mut records = Vec::new();
    let mut offset = VERSION_BYTES;
    loop {
        let (payload, next) = match record::read_at(&bytes, offset) {
            ReadOutcome::Record(payload, next) => (payload, next),
            ReadOutcome::End | ReadOutcome::Torn => return Ok(Some((records, offset))),
            ReadOutcome::Damaged => return Err(crate::file::damaged(path, offset)),
        };
        let parsed: Option<Vec<StreamRecord>> = record::parse(payload);
        records.extend(parsed.ok_or_else(|| crate::file::damaged(path, offset))?);
        offset = next;
    }
}
