//! Measurements of a host's own targets over the last minute.

use std::{collections::VecDeque, time::Duration};

const BUCKET: Duration = Duration::from_secs(1);
const BUCKETS: usize = 60;

/// Sums of the samples of one second.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    stalled: f64,
    running: u64,
    capacity: u64,
}

/// The measurements of the last minute.
#[derive(Debug, Default)]
pub(crate) struct Stats {
    buckets: VecDeque<Bucket>,
    bucket_start: Duration,
    last_total: f64,
    /// Whether the load requests last sent to the leader named any load.
    pub(crate) requested_any: bool,
}

impl Stats {
    /// Adds a sample: the total seconds stalled so far, and the running requests and the request
    /// capacity of the targets that run any.
    pub(crate) fn sample(&mut self, now: Duration, stalled: f64, running: u32, capacity: u32) {
        if self.buckets.is_empty() || now >= self.bucket_start + BUCKET {
            self.bucket_start = now;
            self.buckets.push_back(Bucket::default());
        }
        while self.buckets.len() > BUCKETS {
            self.buckets.pop_front();
        }
        let Some(bucket) = self.buckets.back_mut() else { return };
        bucket.stalled += stalled - self.last_total;
        bucket.running += u64::from(running);
        bucket.capacity += u64::from(capacity);
        self.last_total = stalled;
    }

    /// Returns the seconds that requests waited for adapters in the last minute.
    pub(crate) fn stalled(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.stalled).sum()
    }

    /// Returns the mean share of the request capacity in use, from 0 to 1, on targets that ran any
    /// request.
    pub(crate) fn fullness(&self) -> f64 {
        let running: u64 = self.buckets.iter().map(|bucket| bucket.running).sum();
        let capacity: u64 = self.buckets.iter().map(|bucket| bucket.capacity).sum();
        if capacity == 0 {
            return 0.0;
        }
        running as f64 / capacity as f64
    }
}
