//! Framing: version number, then records of length, checksums and payload.

use serde::{Serialize, de::DeserializeOwned};

/// The version of all files that this program writes.
pub(crate) const VERSION: u32 = 1;
/// Bytes of the version number.
pub(crate) const VERSION_BYTES: usize = 4;
/// Bytes before a record's payload: length, checksum of the length, checksum of
/// the payload.
const HEAD_BYTES: usize = 12;

/// What stands at a place in a file.
pub(crate) enum Found<'a> {
    /// A whole record and where the next one starts.
    Record(&'a [u8], usize),
    /// The end of the file.
    End,
    /// A record that was not written to its end.
    Torn,
    /// A damaged record before the end.
    Damaged,
}

pub(crate) fn version_bytes() -> [u8; VERSION_BYTES] {
    VERSION.to_le_bytes()
}

/// Returns the version a file leads with.
pub(crate) fn version(file: &[u8]) -> Option<u32> {
    word(file, 0)
}

/// Frames a payload.
pub(crate) fn frame<T: Serialize>(payload: &T) -> Vec<u8> {
    let payload = postcard::to_stdvec(payload).expect("in-memory records encode");
    let len = (payload.len() as u32).to_le_bytes();
    let mut out = Vec::with_capacity(HEAD_BYTES + payload.len());
    out.extend_from_slice(&len);
    out.extend_from_slice(&crc32fast::hash(&len).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    out.extend_from_slice(&payload);
    out
}

/// Decodes a payload that is filled by one value.
pub(crate) fn parse<T: DeserializeOwned>(payload: &[u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(payload).ok()?;
    rest.is_empty().then_some(value)
}

/// Reads what stands at `at`. Only the newest record can be torn, so a whole
/// record behind a bad one shows damage.
pub(crate) fn read(file: &[u8], at: usize) -> Found<'_> {
    if at == file.len() {
        return Found::End;
    }
    if let Some((payload, next)) = whole(file, at) {
        return Found::Record(payload, next);
    }
    let later = (at + 1..file.len()).any(|i| whole(file, i).is_some());
    if later { Found::Damaged } else { Found::Torn }
}

fn whole(file: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let len = word(file, at)?;
    if word(file, at + 4)? != crc32fast::hash(&len.to_le_bytes()) {
        return None;
    }
    let start = at + HEAD_BYTES;
    let end = start + len as usize;
    let payload = file.get(start..end)?;
    (word(file, at + 8)? == crc32fast::hash(payload)).then_some((payload, end))
}

fn word(file: &[u8], at: usize) -> Option<u32> {
    let bytes = file.get(at..at + 4)?;
    Some(u32::from_le_bytes(bytes.try_into().ok()?))
}
