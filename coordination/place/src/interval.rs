//! Interval between the load slots granted to an owner.

use std::time::Duration;

/// Weight of the newest sample in the mean interval.
const WEIGHT: f64 = 0.1;

/// Measures the time between grants while the owner has load requests.
#[derive(Debug)]
pub(crate) struct GrantInterval {
    mean_secs: f64,
    /// Time of the last grant, or when the load requests began; `None` without requests.
    since: Option<Duration>,
}

impl GrantInterval {
    /// Starts with an interval of one load time.
    pub(crate) fn new(load: Duration) -> GrantInterval {
        GrantInterval { mean_secs: load.as_secs_f64(), since: None }
    }

    /// Records whether the owner has load requests.
    pub(crate) fn set_has_requests(&mut self, now: Duration, has_requests: bool) {
        if !has_requests {
            self.since = None;
            return;
        }
        self.since.get_or_insert(now);
    }

    /// Records a grant.
    pub(crate) fn record_grant(&mut self, now: Duration) {
        let Some(since) = self.since.replace(now) else { return };
        let sample = now.saturating_sub(since).as_secs_f64();
        self.mean_secs += WEIGHT * (sample - self.mean_secs);
    }

    /// Returns the expected time between two grants, in seconds.
    pub(crate) fn expected_secs(&self, now: Duration) -> f64 {
        let waited = self.since.map_or(0.0, |since| now.saturating_sub(since).as_secs_f64());
        self.mean_secs.max(waited)
    }
}
