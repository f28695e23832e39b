//! How fast the store serves an owner.

use std::time::Duration;

/// Weight of the newest sample in the mean gap.
const WEIGHT: f64 = 0.1;

/// Measures the time between grants while the owner wants loads.
#[derive(Debug)]
pub(crate) struct Pace {
    gap: f64,
    since: Option<Duration>,
}

impl Pace {
    /// A pace of one load at a time.
    pub(crate) fn new(load: Duration) -> Pace {
        Pace { gap: load.as_secs_f64(), since: None }
    }

    /// Notes whether the owner wants a load.
    pub(crate) fn wanting(&mut self, now: Duration, is_wanting: bool) {
        if !is_wanting {
            self.since = None;
            return;
        }
        self.since.get_or_insert(now);
    }

    /// Notes a grant.
    pub(crate) fn granted(&mut self, now: Duration) {
        let Some(since) = self.since.replace(now) else { return };
        let sample = now.saturating_sub(since).as_secs_f64();
        self.gap += WEIGHT * (sample - self.gap);
    }

    /// Returns the expected seconds between two grants.
    pub(crate) fn gap(&self, now: Duration) -> f64 {
        let silent = self.since.map_or(0.0, |since| now.saturating_sub(since).as_secs_f64());
        self.gap.max(silent)
    }
}
