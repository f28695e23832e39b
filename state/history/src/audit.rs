//! The audit trail: entries chained by hash.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;
use wire::Index;

/// A SHA-256 hash.
pub type Hash = [u8; 32];

/// Opens the encoding that an entry's hash covers; names its format.
const FORMAT: &[u8] = b"poplarhollow audit entry, format 1\n";

/// What an entry did to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The service.
    pub service: String,
    /// The version that came into force.
    pub version: u64,
    /// The version it replaced, zero for none.
    pub replaced: u64,
    /// Digest of the file's text.
    pub digest: Hash,
    /// The file's text.
    pub text: String,
}

/// One accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Counts the entries from 1.
    pub sequence: u64,
    /// The log index of the change.
    pub index: Index,
    /// When it was handed in, in milliseconds since the epoch.
    pub at: u64,
    /// Who published.
    pub author: String,
    /// The code revision.
    pub revision: String,
    /// What changed.
    pub changes: Vec<Change>,
    /// Hash of the entry before; zeros for the first.
    pub previous: Hash,
    /// Hash of all fields above.
    pub hash: Hash,
}

/// Where a trail does not hold together.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("entry {sequence}: {message}")]
pub struct Break {
    /// The sequence expected at that place.
    pub sequence: u64,
    /// What is wrong.
    pub message: String,
}

impl Break {
    pub(crate) fn new(sequence: u64, message: impl Into<String>) -> Break {
        Break { sequence, message: message.into() }
    }
}

impl Entry {
    /// Computes the hash over all fields but `hash`.
    pub fn compute_hash(&self) -> Hash {
        let mut hasher = Canonical::new();
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

/// Hashes fields in an encoding that no two different entries share: numbers
/// have eight bytes, and each text comes after its length.
struct Canonical {
    hasher: Sha256,
}

impl Canonical {
    fn new() -> Canonical {
        Canonical { hasher: Sha256::new_with_prefix(FORMAT) }
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

/// Digests a text.
pub fn digest(text: &[u8]) -> Hash {
    Sha256::digest(text).into()
}

/// Checks a whole trail from its first entry and returns the newest hash.
///
/// Entries missing at the end leave no trace in the others; [`verify_head`]
/// finds them.
pub fn verify(entries: &[Entry]) -> Result<Hash, Break> {
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

/// Checks a whole trail that must end with a sequence and hash known from
/// elsewhere, such as a receipt.
pub fn verify_head(entries: &[Entry], last: u64, head: Hash) -> Result<(), Break> {
    let found = verify(entries)?;
    let count = entries.len() as u64;
    if count != last {
        let message = format!("the trail should end with entry {last} and ends with entry {count}");
        return Err(Break::new(count.min(last) + 1, message));
    }
    if found != head {
        return Err(Break::new(last, "the newest hash is not the expected one"));
    }
    Ok(())
}

/// Checks that each change raises the version it says it replaced.
fn verify_versions<'a>(
    entry: &'a Entry,
    versions: &mut BTreeMap<&'a str, u64>,
) -> Result<(), Break> {
    if entry.changes.is_empty() {
        return Err(Break::new(entry.sequence, "nothing was changed"));
    }
    for change in &entry.changes {
        let before = versions.insert(&change.service, change.version).unwrap_or_default();
        if change.replaced != before || change.version <= before {
            let message = format!(
                "{} goes from version {} to {} while version {before} was in force",
                change.service, change.replaced, change.version
            );
            return Err(Break::new(entry.sequence, message));
        }
    }
    Ok(())
}

fn verify_entry(entry: &Entry, sequence: u64, previous: Hash, index: Index) -> Result<(), Break> {
    if entry.sequence != sequence {
        let message = format!("entry {} stands in its place", entry.sequence);
        return Err(Break::new(sequence, message));
    }
    if entry.previous != previous {
        return Err(Break::new(sequence, "does not follow from the entry before"));
    }
    if entry.index <= index {
        return Err(Break::new(sequence, "its log index is not above the one before"));
    }
    for change in &entry.changes {
        if change.digest != digest(change.text.as_bytes()) {
            let message = format!("the text of {} does not match its digest", change.service);
            return Err(Break::new(sequence, message));
        }
    }
    if entry.hash != entry.compute_hash() {
        return Err(Break::new(sequence, "its content does not match its hash"));
    }
    Ok(())
}
