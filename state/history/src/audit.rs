//! The audit trail: entries that are chained by their hashes, and checks of a trail.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;
use wire::Index;

/// A SHA-256 hash.
pub type Hash = [u8; 32];

/// Prefix of the encoding that an entry's hash covers. It names the format.
const FORMAT: &[u8] = b"poplarhollow audit entry, format 1\n";

/// A change of one service's declaration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The service.
    pub service: String,
    /// The version that came into force.
    pub version: u64,
    /// The version it replaced; zero if there was none.
    pub replaced: u64,
    /// SHA-256 digest of the declaration file's text.
    pub digest: Hash,
    /// The declaration file's text.
    pub text: String,
}

/// One accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Number of the entry in the trail, from 1 on.
    pub sequence: u64,
    /// The log index of the change.
    pub index: Index,
    /// When the publish was submitted, in milliseconds since the epoch.
    pub at: u64,
    /// Who published the change.
    pub author: String,
    /// The code revision that the publisher named.
    pub revision: String,
    /// The services that changed, in order of names.
    pub changes: Vec<Change>,
    /// Hash of the previous entry; zeros in the first one.
    pub previous: Hash,
    /// Hash over all other fields.
    pub hash: Hash,
}

/// The first fault of a trail that failed its check.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("entry {sequence}: {message}")]
pub struct TrailError {
    /// The sequence number expected at the place of the fault.
    pub sequence: u64,
    /// What is wrong.
    pub message: String,
}

impl TrailError {
    pub(crate) fn new(sequence: u64, message: impl Into<String>) -> TrailError {
        TrailError { sequence, message: message.into() }
    }
}

impl Entry {
    /// Computes the hash over all fields but `hash`.
    pub fn compute_hash(&self) -> Hash {
        let mut hasher = CanonicalHasher::new();
        hasher.number(self.sequence);
        hasher.number(self.index);
        hasher.number(self.at);
        hasher.bytes(self.author.as_bytes());
        hasher.bytes(self.revision.as_bytes());
        hasher.number(self.changes.len() as u64);
        for change in &self.changes {
            hasher.bytes(change.service.as_bytes());
            hasher.number(change.version);
            hasher.number(change.replaced);
            hasher.bytes(&change.digest);
            hasher.bytes(change.text.as_bytes());
        }
        hasher.bytes(&self.previous);
        hasher.finish()
    }
}

/// Hashes fields in an encoding that differs for any two different entries: numbers take eight
/// bytes, and each text is preceded by its length.
struct CanonicalHasher {
    hasher: Sha256,
}

impl CanonicalHasher {
    fn new() -> CanonicalHasher {
        CanonicalHasher { hasher: Sha256::new_with_prefix(FORMAT) }
    }

    fn number(&mut self, number: u64) {
        self.hasher.update(number.to_be_bytes());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.hasher.update(bytes);
    }

    fn finish(self) -> Hash {
        self.hasher.finalize().into()
    }
}

/// Returns the SHA-256 digest of a text.
pub fn digest(text: &[u8]) -> Hash {
    Sha256::digest(text).into()
}

/// Checks a whole trail from its first entry and returns the newest hash.
///
/// Entries missing at the end cannot be seen from the others; [`verify_head`] detects them.
pub fn verify(entries: &[Entry]) -> Result<Hash, TrailError> {
    let mut previous = Hash::default();
    let mut index = 0;
    let mut versions = BTreeMap::new();
    for (i, entry) in entries.iter().enumerate() {
        let sequence = i as u64 + 1;
        verify_entry(entry, sequence, previous, index)?;
        verify_versions(entry, &mut versions)?;
        previous = entry.hash;
        index = entry.index;
    }
    Ok(previous)
}

/// Checks a whole trail against the sequence number and hash of its last entry, which are known
/// from another source such as a receipt.
pub fn verify_head(entries: &[Entry], last: u64, head: Hash) -> Result<(), TrailError> {
    let newest = verify(entries)?;
    let count = entries.len() as u64;
    if count != last {
        let message = format!("the trail should end with entry {last} and ends with entry {count}");
        return Err(TrailError::new(count.min(last) + 1, message));
    }
    if newest != head {
        return Err(TrailError::new(last, "the newest hash does not match the expected one"));
    }
    Ok(())
}

/// Checks that each change names the version in force before it and raises it.
fn verify_versions<'a>(
    entry: &'a Entry,
    versions: &mut BTreeMap<&'a str, u64>,
) -> Result<(), TrailError> {
    if entry.changes.is_empty() {
        return Err(TrailError::new(entry.sequence, "it contains no change"));
    }
    for change in &entry.changes {
        let before = versions.insert(&change.service, change.version).unwrap_or_default();
        if change.replaced != before || change.version <= before {
            let message = format!(
                "{} goes from version {} to {} while version {before} was in force",
                change.service, change.replaced, change.version
            );
            return Err(TrailError::new(entry.sequence, message));
        }
    }
    Ok(())
}

/// Checks an entry against its expected sequence number and the hash and log index of the entry
/// before.
fn verify_entry(
    entry: &Entry,
    sequence: u64,
    previous: Hash,
    index: Index,
) -> Result<(), TrailError> {
    if entry.sequence != sequence {
        let message = format!("found entry {} in its place", entry.sequence);
        return Err(TrailError::new(sequence, message));
    }
    if entry.previous != previous {
        return Err(TrailError::new(
            sequence,
            "its previous hash is not the hash of the entry before",
        ));
    }
    if entry.index <= index {
        return Err(TrailError::new(
            sequence,
            "its log index is not above that of the entry before",
        ));
    }
    for change in &entry.changes {
        if change.digest != digest(change.text.as_bytes()) {
            let message = format!("the text of {} does not match its digest", change.service);
            return Err(TrailError::new(sequence, message));
        }
    }
    if entry.hash != entry.compute_hash() {
        return Err(TrailError::new(sequence, "its content does not match its hash"));
    }
    Ok(())
}
