//! Counts of target crashes caused by requests, by request content.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use wire::Fingerprint;

/// Number of crashes at which a request is quarantined, so that it is not sent to a target again.
pub const QUARANTINE_CRASHES: u32 = 2;
/// Maximum number of kept crash counts; the one with the oldest crash is dropped first.
pub const MAX_CRASH_COUNTS: usize = 10_000;
/// Time after the last crash of a request when its count is dropped, in milliseconds.
pub const CRASH_COUNT_AGE_MS: u64 = 24 * 60 * 60 * 1000;

/// The crash count of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct CrashCount {
    count: u32,
    /// When the last crash was counted, in milliseconds since the epoch.
    last_at: u64,
}

/// Crash counts by request fingerprint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCounts {
    counts: BTreeMap<Fingerprint, CrashCount>,
    /// Fingerprints by the time of their last crash.
    by_time: BTreeSet<(u64, Fingerprint)>,
    /// The latest time applied, in milliseconds since the epoch.
    clock: u64,
}

impl CrashCounts {
    /// Counts a crash at wall-clock time `at` (milliseconds since the epoch).
    pub fn record(&mut self, at: u64, fingerprint: Fingerprint) {
        self.clock = self.clock.max(at);
        let count = self.remove(&fingerprint) + 1;
        self.counts.insert(fingerprint, CrashCount { count, last_at: self.clock });
        self.by_time.insert((self.clock, fingerprint));
        self.expire();
    }

    /// Resets the crash count of a request that completed.
    pub fn clear(&mut self, fingerprint: &Fingerprint) {
        self.remove(fingerprint);
    }

    /// Returns the crash count of a request, zero if there is none.
    pub fn count(&self, fingerprint: &Fingerprint) -> u32 {
        self.counts.get(fingerprint).map_or(0, |it| it.count)
    }

    /// Returns the requests with a crash count, in order of fingerprints.
    pub fn list(&self) -> Vec<(Fingerprint, u32)> {
        self.counts.iter().map(|(fingerprint, it)| (*fingerprint, it.count)).collect()
    }

    /// Removes the crash count of a request and returns it.
    fn remove(&mut self, fingerprint: &Fingerprint) -> u32 {
        let Some(removed) = self.counts.remove(fingerprint) else { return 0 };
        self.by_time.remove(&(removed.last_at, *fingerprint));
        removed.count
    }

    /// Drops counts that exceed the age or the maximum number, oldest crash first.
    fn expire(&mut self) {
        while let Some((at, fingerprint)) = self.by_time.first().copied() {
            let old = at.saturating_add(CRASH_COUNT_AGE_MS) < self.clock;
            if !old && self.by_time.len() <= MAX_CRASH_COUNTS {
                return;
            }
            self.remove(&fingerprint);
        }
    }
}
