//! Budget of retries.
//!
//! In any time window, all hosts together may send as many retries (sends beyond the first of each
//! request) as a share of the requests plus a fixed allowance. Each host uses the share of its own
//! requests and an equal part of the allowance.

use std::{collections::VecDeque, time::Duration};

/// Buckets in one window. Retries are counted over one bucket more, so that a window that is not
/// aligned with the buckets does not exceed the budget either.
const BUCKETS: u32 = 10;
/// Share of the bound that is used; the rest covers hosts that join in the meantime.
const USED_SHARE: f64 = 0.8;

#[derive(Debug, Default)]
struct Bucket {
    start: Duration,
    requests: u32,
    retries: u32,
}

/// One host's part of the retry budget of one service.
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

    /// Counts the first send of a request.
    pub fn count_request(&mut self, now: Duration, window: Duration) {
        self.bucket(now, window).requests += 1;
    }

    /// Takes one retry out of the budget. Returns false if the budget is exhausted. `allowance` is
    /// this host's part of the fixed allowance.
    pub fn try_take(
        &mut self,
        now: Duration,
        window: Duration,
        ratio: f64,
        allowance: f64,
    ) -> bool {
        self.bucket(now, window);
        let oldest = now.saturating_sub(window);
        let mut requests = 0;
        let mut retries = 0;
        for bucket in &self.buckets {
            retries += bucket.retries;
            if bucket.start >= oldest {
                requests += bucket.requests;
            }
        }
        let limit = USED_SHARE * (f64::from(requests) * ratio + allowance);
        if f64::from(retries + 1) > limit {
            return false;
        }
        self.bucket(now, window).retries += 1;
        true
    }
}
