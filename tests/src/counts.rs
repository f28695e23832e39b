//! Counts of what a stand-in executed, independent of what the hosts report.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts since a stand-in started, served at `GET /v1/counts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Executions by request attempt, the `x-request` header.
    pub requests: BTreeMap<String, u32>,
    /// Executions by prompt or body.
    pub contents: BTreeMap<String, u32>,
    /// Executions by idempotency key, for requests that carried one.
    pub keys: BTreeMap<String, u32>,
    /// Highest number of concurrent executions by adapter or service.
    pub concurrent: BTreeMap<String, u32>,
    /// Executions cancelled before their end.
    pub cancelled: u32,
    /// Refusals by reason.
    pub refusals: BTreeMap<String, u32>,
    /// Number of adapter loads that succeeded.
    pub loads: u32,
    /// Number of adapter evictions.
    pub evictions: u32,
    /// Orders with an old fencing number that an unfenced target accepted.
    pub old_orders: u32,
    /// Adapters that were evicted while requests used them.
    pub violations: Vec<String>,
}

impl Counts {
    /// Counts the start of an execution.
    pub fn count_execution(&mut self, request: &str, key: &str, content: &str) {
        *self.requests.entry(request.to_owned()).or_default() += 1;
        *self.contents.entry(content.to_owned()).or_default() += 1;
        if !key.is_empty() {
            *self.keys.entry(key.to_owned()).or_default() += 1;
        }
    }

    /// Updates the highest number of concurrent executions of an adapter or service.
    pub fn count_concurrent(&mut self, name: &str, running: u32) {
        let most = self.concurrent.entry(name.to_owned()).or_default();
        *most = running.max(*most);
    }

    /// Counts a refusal by its reason.
    pub fn count_refusal(&mut self, reason: &str) {
        *self.refusals.entry(reason.to_owned()).or_default() += 1;
    }
}
