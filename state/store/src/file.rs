//! File operations that report the path in every error, and files that hold one record.

use std::{
    fs::{self, File},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    StoreError,
    record::{self, ReadOutcome, VERSION, VERSION_BYTES},
};

const TEMPORARY: &str = "tmp";

/// Returns a conversion of I/O errors that adds the action and the path.
pub(crate) fn io_error<'a>(
    action: &'static str,
    path: &'a Path,
) -> impl FnOnce(io::Error) -> StoreError + use<'a> {
    move |source| StoreError::Io { action, path: path.to_owned(), source }
}

/// Syncs a folder, so that created and renamed files in it survive a crash.
pub(crate) fn sync_dir(dir: &Path) -> Result<(), StoreError> {
    let file = File::open(dir).map_err(io_error("open", dir))?;
    file.sync_all().map_err(io_error("sync", dir))
}

/// Replaces a file atomically by renaming a synced temporary file over it.
pub(crate) fn replace(path: &Path, bytes: &[u8]) -> Result<(), StoreError> {
    let temporary = path.with_extension(TEMPORARY);
    write_new(&temporary, bytes)?;
    fs::rename(&temporary, path).map_err(io_error("replace", path))?;
    sync_dir(path.parent().unwrap_or(Path::new(".")))
}

fn write_new(path: &Path, bytes: &[u8]) -> Result<(), StoreError> {
    let mut file = File::create(path).map_err(io_error("create", path))?;
    file.write_all(bytes).map_err(io_error("write", path))?;
    file.sync_all().map_err(io_error("sync", path))
}

/// Removes a file if it exists.
pub(crate) fn remove(path: &Path) -> Result<(), StoreError> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(io_error("remove", path)(e)),
        _ => Ok(()),
    }
}

/// Removes the temporary file that an interrupted replacement left.
pub(crate) fn remove_temporary(path: &Path) -> Result<(), StoreError> {
    remove(&path.with_extension(TEMPORARY))
}

/// Reads the bytes of a file and checks its version; `None` if the file does not exist.
pub(crate) fn read_bytes(path: &Path) -> Result<Option<Vec<u8>>, StoreError> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(io_error("read", path)(e)),
    };
    match record::version(&bytes) {
        Some(VERSION) => Ok(Some(bytes)),
        Some(found) => Err(StoreError::Version { path: path.to_owned(), found, expected: VERSION }),
        None => Err(damaged(path, 0)),
    }
}

/// Returns an error for a damaged record at an offset in bytes.
pub(crate) fn damaged(path: &Path, offset: usize) -> StoreError {
    StoreError::Damaged { path: PathBuf::from(path), offset: offset as u64 }
}

/// Replaces a file by one that holds a single record.
pub(crate) fn save<T: Serialize>(path: &Path, value: &T) -> Result<(), StoreError> {
    let mut bytes = record::version_bytes().to_vec();
    bytes.extend(record::frame(value));
    replace(path, &bytes)
}

/// Reads a file that holds a single record; `None` if the file does not exist.
pub(crate) fn read_value<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StoreError> {
    let Some(bytes) = read_bytes(path)? else {
        return Ok(None);
    };
    let ReadOutcome::Record(payload, end) = record::read_at(&bytes, VERSION_BYTES) else {
        return Err(damaged(path, VERSION_BYTES));
    };
    if end != bytes.len() {
        return Err(damaged(path, end));
    }
    let value = record::parse(payload).ok_or_else(|| damaged(path, VERSION_BYTES))?;
    Ok(Some(value))
}
