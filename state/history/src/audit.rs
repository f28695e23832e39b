//! The audit trail: entries chained by hash.

use serde::{Deserialize, Serialize};
use wire::Index;

/// A SHA-256 hash.
pub type Hash = [u8; 32];

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
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Break {
    /// The sequence expected at that place.
    pub sequence: u64,
    /// What is wrong.
    pub message: String,
}

/// Digests a text.
pub fn digest(text: &[u8]) -> Hash {
    let _ = text;
    todo!()
}

/// Checks a whole trail from its first entry.
pub fn verify(entries: &[Entry]) -> Result<Hash, Break> {
    let _ = entries;
    todo!()
}
