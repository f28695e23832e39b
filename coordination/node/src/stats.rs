//! What a host measures of its own targets over the last minute.

use std::{collections::VecDeque, time::Duration};

const BUCKET: Duration = Duration::from_secs(1);
const BUCKETS: usize = 60;

/// One second of measurements.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    stalled: f64,
    running: u64,
    places: u64,
}

/// The last minute, and totals.
#[derive(Debug, Default)]
pub(crate) struct Stats {
    buckets: VecDeque<Bucket>,
    began: Duration,
    total: f64,
    /// Whether the leader was last told of wanted loads.
    pub(crate) wanted: bool,
}

impl Stats {
    /// Adds a sample: total seconds stalled so far, requests running and places
    /// on the targets that run any.
    pub(crate) fn sample(&mut self, now: Duration, stalled: f64, running: u32, places: u32) {
        if self.buckets.is_empty() || now >= self.began + BUCKET {
            self.began = now;
            self.buckets.push_back(Bucket::default());
        }
        while self.buckets.len() > BUCKETS {
            self.buckets.pop_front();
        }
        let Some(bucket) = self.buckets.back_mut() else { return };
        bucket.stalled += stalled - self.total;
        bucket.running += u64::from(running);
        bucket.places += u64::from(places);
        self.total = stalled;
    }

    /// Returns the seconds that requests waited for adapters.
    pub(crate) fn stalled(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.stalled).sum()
    }

    /// Returns the mean share of places in use on targets that ran anything.
    pub(crate) fn fullness(&self) -> f64 {
        let running: u64 = self.buckets.iter().map(|bucket| bucket.running).sum();
        let places: u64 = self.buckets.iter().map(|bucket| bucket.places).sum();
        if places == 0 {
            return 0.0;
        }
        running as f64 / places as f64
    }
}
