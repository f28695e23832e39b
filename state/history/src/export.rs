//! Conversion of audit entries to and from their exported form, with hashes in hexadecimal.

use api::{AuditEntry, ServiceChange};

use crate::{Change, Entry, Hash, TrailError};

/// Formats bytes in lower-case hexadecimal.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}

/// Parses a hash in lower-case hexadecimal; `None` if it is malformed.
pub fn from_hex(text: &str) -> Option<Hash> {
    let digits = text.as_bytes();
    let mut hash = Hash::default();
    if digits.len() != 2 * hash.len() {
        return None;
    }
    for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = 16 * hex_digit(pair[0])? + hex_digit(pair[1])?;
    }
    Some(hash)
}

// Upper case is refused, so that each hash has one written form only and any change of an export
// is detected.
fn hex_digit(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}

/// Converts an entry for export.
pub fn to_api(entry: &Entry) -> AuditEntry {
    let mut changes = Vec::new();
    for change in &entry.changes {
        changes.push(ServiceChange {
            service: change.service.clone(),
            version: change.version,
            replaced: change.replaced,
            digest: to_hex(&change.digest),
            text: change.text.clone(),
        });
    }
    AuditEntry {
        sequence: entry.sequence,
        index: entry.index,
        at: entry.at,
        author: entry.author.clone(),
        revision: entry.revision.clone(),
        changes,
        previous: to_hex(&entry.previous),
        hash: to_hex(&entry.hash),
    }
}

/// Converts an exported entry back. Fails if a digest or hash is malformed.
pub fn from_api(entry: &AuditEntry) -> Result<Entry, TrailError> {
    let hash = |text: &str| {
        let malformed = || {
            TrailError::new(
                entry.sequence,
                format!("`{text}` is not a SHA-256 hash in lower-case hexadecimal"),
            )
        };
        from_hex(text).ok_or_else(malformed)
    };
    let mut changes = Vec::new();
    for change in &entry.changes {
        changes.push(Change {
            service: change.service.clone(),
            version: change.version,
            replaced: change.replaced,
            digest: hash(&change.digest)?,
            text: change.text.clone(),
        });
    }
    Ok(Entry {
        sequence: entry.sequence,
        index: entry.index,
        at: entry.at,
        author: entry.author.clone(),
        revision: entry.revision.clone(),
        changes,
        previous: hash(&entry.previous)?,
        hash: hash(&entry.hash)?,
    })
}
