//! Estimates of the request rate of each adapter.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use wire::AdapterId;

/// Number of arrivals that an estimate covers.
const SAMPLES: usize = 4;
/// Time added for each arrival that an estimate lacks, so that a single arrival does not count as a
/// high rate.
const PRIOR: Duration = Duration::from_secs(16);
/// Minimum time that an estimate covers.
const MIN_SPAN: Duration = Duration::from_millis(50);
/// Time since the last arrival after which an estimate is dropped.
const RETENTION: Duration = Duration::from_secs(900);
/// Number of estimates whose age is checked with each arrival.
const CHECKS_PER_ARRIVAL: usize = 2;

#[derive(Debug, Clone, Copy)]
struct Arrivals {
    at: [Duration; SAMPLES],
    len: u8,
    next: u8,
}

impl Arrivals {
    fn oldest(&self) -> Duration {
        if usize::from(self.len) < SAMPLES { self.at[0] } else { self.at[usize::from(self.next)] }
    }

    fn newest(&self) -> Duration {
        self.at[(usize::from(self.next) + SAMPLES - 1) % SAMPLES]
    }
}

/// Arrival rates by adapter, each over the adapter's own last arrivals. The estimate of a hot
/// adapter drops within seconds of its last request; that of a cold adapter covers a long time.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    by_adapter: HashMap<AdapterId, Arrivals>,
    check_order: VecDeque<AdapterId>,
}

impl Demand {
    /// Records a request for an adapter.
    pub(crate) fn record_arrival(&mut self, now: Duration, adapter: AdapterId) {
        let arrivals = self.by_adapter.entry(adapter).or_insert_with(|| {
            self.check_order.push_back(adapter);
            Arrivals { at: [now; SAMPLES], len: 0, next: 0 }
        });
        arrivals.at[usize::from(arrivals.next)] = now;
        arrivals.next = (arrivals.next + 1) % SAMPLES as u8;
        arrivals.len = (arrivals.len + 1).min(SAMPLES as u8);
        self.drop_expired(now);
    }

    /// Returns the expected arrivals per second.
    pub(crate) fn rate(&self, now: Duration, adapter: AdapterId) -> f64 {
        let Some(arrivals) = self.by_adapter.get(&adapter) else { return 0.0 };
        let absent = SAMPLES as u32 - u32::from(arrivals.len);
        let span = now.saturating_sub(arrivals.oldest()).max(MIN_SPAN) + PRIOR * absent;
        f64::from(arrivals.len) / span.as_secs_f64()
    }

    /// Drops expired estimates. Each call checks only the next few, so that no step visits all.
    fn drop_expired(&mut self, now: Duration) {
        for _ in 0..CHECKS_PER_ARRIVAL {
            let Some(adapter) = self.check_order.pop_front() else { return };
            let arrivals = self.by_adapter.get(&adapter);
            if arrivals.is_none_or(|arrivals| arrivals.newest() + RETENTION < now) {
                self.by_adapter.remove(&adapter);
                continue;
            }
            self.check_order.push_back(adapter);
        }
    }
}
