//! What a stand-in really did.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts of a run of a stand-in, answered at `GET /v1/counts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The run.
    pub incarnation: u64,
    /// Executions by request attempt, the `x-request` header.
    pub requests: BTreeMap<String, u32>,
    /// Executions by prompt or body.
    pub contents: BTreeMap<String, u32>,
    /// Executions by idempotency key, where the target was told it.
    pub keys: BTreeMap<String, u32>,
    /// Most executions at once by adapter or service.
    pub concurrent: BTreeMap<String, u32>,
    /// Executions cancelled before their end.
    pub cancelled: u32,
    /// Refusals by reason.
    pub refusals: BTreeMap<String, u32>,
    /// Adapters loaded.
    pub loads: u32,
    /// Adapters evicted.
    pub evictions: u32,
    /// Orders carried out although their fencing number was old.
    pub old_orders: u32,
    /// Adapters evicted while requests used them.
    pub violations: Vec<String>,
}

impl Counts {
    /// Counts the start of an execution.
    pub fn executed(&mut self, request: &str, key: &str, content: &str) {
        *self.requests.entry(request.to_owned()).or_default() += 1;
        *self.contents.entry(content.to_owned()).or_default() += 1;
        if !key.is_empty() {
            *self.keys.entry(key.to_owned()).or_default() += 1;
        }
    }

    /// Notes how many executions use an adapter or service at once.
    pub fn used(&mut self, name: &str, running: u32) {
        let most = self.concurrent.entry(name.to_owned()).or_default();
        *most = running.max(*most);
    }

    /// Counts a refusal.
    pub fn refused(&mut self, reason: &str) {
        *self.refusals.entry(reason.to_owned()).or_default() += 1;
    }
}
