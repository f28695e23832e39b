//! File operations with the path in every error, and files of one record.

use std::{
    fs::{self, File},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    StoreError,
    record::{self, Found, VERSION, VERSION_BYTES},
};

const TEMPORARY: &str = "tmp";

pub(crate) fn io_error<'a>(
    what: &'static str,
    path: &'a Path,
) -> impl FnOnce(io::Error) -> StoreError + use<'a> {
    move |source| StoreError::Io { what, path: path.to_owned(), source }
}

/// Syncs a folder, so that new and renamed files in it last.
pub(crate) fn sync_dir(dir: &Path) -> Result<(), StoreError> {
    let file = File::open(dir).map_err(io_error("open", dir))?;
    file.sync_all().map_err(io_error("sync", dir))
}

/// Replaces a file by a synced temporary file.
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

/// Removes a file if it is there.
pub(crate) fn remove(path: &Path) -> Result<(), StoreError> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(io_error("remove", path)(e)),
        _ => Ok(()),
    }
}

/// Removes what an interrupted replacement of the file left.
pub(crate) fn remove_temporary(path: &Path) -> Result<(), StoreError> {
    remove(&path.with_extension(TEMPORARY))
}

/// Reads a whole file whose version fits; nothing if there is no such file.
pub(crate) fn load(path: &Path) -> Result<Option<Vec<u8>>, StoreError> {
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

pub(crate) fn damaged(path: &Path, offset: usize) -> StoreError {
    StoreError::Damaged { path: PathBuf::from(path), offset: offset as u64 }
}

/// Saves a file of one record.
pub(crate) fn save<T: Serialize>(path: &Path, value: &T) -> Result<(), StoreError> {
    let mut bytes = record::version_bytes().to_vec();
    bytes.extend(record::frame(value));
    replace(path, &bytes)
}

/// Reads a file of one record; nothing if there is no such file.
pub(crate) fn read<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StoreError> {
    let Some(bytes) = load(path)? else {
        return Ok(None);
    };
    let Found::Record(payload, end) = record::read(&bytes, VERSION_BYTES) else {
        return Err(damaged(path, VERSION_BYTES));
    };
    if end != bytes.len() {
        return Err(damaged(path, end));
    }
    let value = record::parse(payload).ok_or_else(|| damaged(path, VERSION_BYTES))?;
    Ok(Some(value))
}
