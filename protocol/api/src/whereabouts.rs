//! Lookup of the entry addresses that a caller should use.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The entry address of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct EntryAddress {
    /// IP address and port.
    pub addr: String,
    /// The host's failure domain.
    pub domain: String,
}

/// The response to `GET /v1/where?model=MODEL@ADAPTER@VERSION`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct WhereBody {
    /// The entry addresses, best first.
    pub entries: Vec<EntryAddress>,
    /// How long the response may be cached, in seconds.
    pub lifetime: u64,
}
