//! The exported form of the audit trail.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The effect of an accepted publish on one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ServiceChange {
    /// The service's name.
    pub service: String,
    /// The version that the publish put in force.
    pub version: u64,
    /// The version that was in force before; zero for a new service.
    pub replaced: u64,
    /// SHA-256 of the declaration file in hexadecimal.
    pub digest: String,
    /// The text of the declaration file.
    pub text: String,
}

/// An accepted publish, as an entry of the hash chain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AuditEntry {
    /// The entry's number; the first is 1.
    pub sequence: u64,
    /// The index of the publish in the replicated log.
    pub index: u64,
    /// When the leader appended the publish to the log, in milliseconds since the Unix epoch.
    pub at: u64,
    /// The author that the publish names.
    pub author: String,
    /// The revision of the reviewed code that the files come from.
    pub revision: String,
    /// The changed services.
    pub changes: Vec<ServiceChange>,
    /// The previous entry's hash in hexadecimal; zeros for the first entry.
    pub previous: String,
    /// The hash over all fields above, in hexadecimal.
    pub hash: String,
}

/// A range of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AuditPage {
    /// The entries in ascending order of their sequence.
    pub entries: Vec<AuditEntry>,
    /// The sequence of the newest entry in the trail.
    pub last: u64,
    /// The hash of the newest entry in the trail, in hexadecimal.
    pub head: String,
}
