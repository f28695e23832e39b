//! Which entry addresses a caller should use.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One entry address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct EntryAddress {
    /// IP number and port.
    pub addr: String,
    /// Its failure domain.
    pub domain: String,
}

/// Answers `GET /v1/where?model=MODEL@ADAPTER@VERSION`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct WhereBody {
    /// Addresses, best first.
    pub entries: Vec<EntryAddress>,
    /// How long the answer may be used, in seconds.
    pub lifetime: u64,
}
