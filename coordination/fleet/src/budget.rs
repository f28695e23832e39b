//! How many requests may be sent once more.
//!
//! All hosts together may send a share of the requests plus a fixed allowance
//! beyond the first send of each request, in any window. Each host counts the
//! share of its own requests, and an equal part of the allowance.

use std::{collections::VecDeque, time::Duration};

/// Buckets in one window. One more is counted for sends, so that no window that
/// lies between two buckets is overdrawn.
const BUCKETS: u32 = 10;
/// Part of the bound that is used; the rest covers hosts that come meanwhile.
const USED: f64 = 0.8;

#[derive(Debug, Default)]
struct Bucket {
    start: Duration,
    requests: u32,
    again: u32,
}

/// One host's part of the budget for one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    fn bucket(&mut self, now: Duration, window: Duration) -> &mut Bucket {
        let width = window / BUCKETS;
        while self.buckets.front().is_some_and(|it| it.start + window + width < now) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|it| now >= it.start + width) {
            self.buckets.push_back(Bucket { start: now, ..Bucket::default() });
        }
        self.buckets.back_mut().expect("a bucket was added")
    }

    /// Counts a request.
    pub fn request(&mut self, now: Duration, window: Duration) {
        self.bucket(now, window).requests += 1;
    }

    /// Takes one further send out of the budget, if there is room. `allowance` is
    /// this host's part of the fixed allowance.
    pub fn take(&mut self, now: Duration, window: Duration, ratio: f64, allowance: f64) -> bool {
        self.bucket(now, window);
        let oldest = now.saturating_sub(window);
        let mut requests = 0;
        let mut again = 0;
        for bucket in &self.buckets {
            again += bucket.again;
            if bucket.start >= oldest {
                requests += bucket.requests;
            }
        }
        let limit = USED * (f64::from(requests) * ratio + allowance);
        if f64::from(again + 1) > limit {
            return false;
        }
        self.bucket(now, window).again += 1;
        true
    }
}
