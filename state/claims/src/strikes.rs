//! Crashes counted against requests.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use wire::Fingerprint;

/// Crashes after which a request is not run any more.
pub const QUARANTINE_STRIKES: u32 = 2;
/// Requests with strikes that are kept at most.
pub const MAX_STRUCK: usize = 10_000;
/// Time after its last crash when a request is forgotten, in milliseconds.
pub const STRIKE_AGE_MS: u64 = 24 * 60 * 60 * 1000;

/// The crashes of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Struck {
    count: u32,
    /// When the last crash was counted, in milliseconds since the epoch.
    at: u64,
}

/// Strikes by request content.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strikes {
    struck: BTreeMap<Fingerprint, Struck>,
    order: BTreeSet<(u64, Fingerprint)>,
    clock: u64,
}

impl Strikes {
    /// Counts a crash.
    pub fn strike(&mut self, at: u64, print: Fingerprint) {
        self.clock = self.clock.max(at);
        let count = self.remove(&print) + 1;
        self.struck.insert(print, Struck { count, at: self.clock });
        self.order.insert((self.clock, print));
        self.expire();
    }

    /// Clears a request that completed.
    pub fn clear(&mut self, print: &Fingerprint) {
        self.remove(print);
    }

    /// Returns the crashes counted against a request.
    pub fn count(&self, print: &Fingerprint) -> u32 {
        self.struck.get(print).map_or(0, |struck| struck.count)
    }

    /// Lists the requests with strikes.
    pub fn list(&self) -> Vec<(Fingerprint, u32)> {
        self.struck.iter().map(|(print, struck)| (*print, struck.count)).collect()
    }

    /// Removes a request and returns the crashes counted against it.
    fn remove(&mut self, print: &Fingerprint) -> u32 {
        let Some(struck) = self.struck.remove(print) else { return 0 };
        self.order.remove(&(struck.at, *print));
        struck.count
    }

    fn expire(&mut self) {
        while let Some((at, print)) = self.order.first().copied() {
            let old = at.saturating_add(STRIKE_AGE_MS) < self.clock;
            if !old && self.order.len() <= MAX_STRUCK {
                return;
            }
            self.remove(&print);
        }
    }
}
