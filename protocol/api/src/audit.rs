//! The audit trail as exported.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What one accepted change did to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ServiceChange {
    /// The service.
    pub service: String,
    /// The version that came into force.
    pub version: u64,
    /// The version it replaced; zero for a new service.
    pub replaced: u64,
    /// SHA-256 of the declaration file, in hexadecimal.
    pub digest: String,
    /// The declaration file's text.
    pub text: String,
}

/// One accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AuditEntry {
    /// Counts the accepted changes from 1.
    pub sequence: u64,
    /// The log index of the change.
    pub index: u64,
    /// When it was handed in, in milliseconds since the epoch.
    pub at: u64,
    /// Who published it.
    pub author: String,
    /// The revision of the reviewed code it came from.
    pub revision: String,
    /// What changed.
    pub changes: Vec<ServiceChange>,
    /// Hash of the entry before, in hexadecimal; zeros for the first.
    pub previous: String,
    /// Hash of this entry with all fields above, in hexadecimal.
    pub hash: String,
}

/// Part of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AuditPage {
    /// The entries in order.
    pub entries: Vec<AuditEntry>,
    /// The sequence of the newest entry of all.
    pub last: u64,
    /// The hash of the newest entry of all, in hexadecimal.
    pub head: String,
}
