//! The format of the files: a version number, then records of length, checksums and payload.

use serde::{Serialize, de::DeserializeOwned};

/// The version of all files that this program reads and writes.
pub(crate) const VERSION: u32 = 1;
/// Length of the version number, in bytes.
pub(crate) const VERSION_BYTES: usize = 4;
/// Length of a record's header, in bytes: length, checksum of the length and checksum of the
/// payload, four bytes each.
const HEADER_BYTES: usize = 12;

/// The result of reading a record at an offset of a file.
pub(crate) enum ReadOutcome<'a> {
    /// The payload of an intact record and the offset of the next record.
    Record(&'a [u8], usize),
    /// The end of the file.
    End,
    /// A record that was not fully written, at the end of the file.
    Torn,
    /// A damaged record that an intact one follows.
    Damaged,
}

pub(crate) fn version_bytes() -> [u8; VERSION_BYTES] {
    VERSION.to_le_bytes()
}

/// Returns the version at the start of a file; `None` if the file is too short.
pub(crate) fn version(file: &[u8]) -> Option<u32> {
    read_u32(file, 0)
}

/// Encodes a payload as a record.
pub(crate) fn frame<T: Serialize>(payload: &T) -> Vec<u8> {
    let payload = postcard::to_stdvec(payload).expect("in-memory records encode");
    let len = (payload.len() as u32).to_le_bytes();
    let mut out = Vec::with_capacity(HEADER_BYTES + payload.len());
    out.extend_from_slice(&len);
    out.extend_from_slice(&crc32fast::hash(&len).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    out.extend_from_slice(&payload);
    out
}

/// Decodes a payload that holds exactly one value; `None` if it does not.
pub(crate) fn parse<T: DeserializeOwned>(payload: &[u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(payload).ok()?;
    rest.is_empty().then_some(value)
}

/// Reads the record at an offset in bytes. Only the last record can be torn, so a bad record that
/// is followed by an intact one is damaged.
pub(crate) fn read_at(file: &[u8], offset: usize) -> ReadOutcome<'_> {
    if offset == file.len() {
        return ReadOutcome::End;
    }
    if let Some((payload, next)) = intact_record(file, offset) {
        return ReadOutcome::Record(payload, next);
    }
    let followed = (offset + 1..file.len()).any(|it| intact_record(file, it).is_some());
    if followed { ReadOutcome::Damaged } else { ReadOutcome::Torn }
}

/// Returns the payload of the record at an offset and the offset of the next one; `None` if the
/// record is not intact.
fn intact_record(file: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let len = read_u32(file, offset)?;
    if read_u32(file, offset + 4)? != crc32fast::hash(&len.to_le_bytes()) {
        return None;
    }
    let start = offset + HEADER_BYTES;
    let end = start + len as usize;
    let payload = file.get(start..end)?;
    (read_u32(file, offset + 8)? == crc32fast::hash(payload)).then_some((payload, end))
}

fn read_u32(file: &[u8], offset: usize) -> Option<u32> {
    let bytes = file.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(bytes.try_into().ok()?))
}
