//! Estimates of how often each adapter is asked for.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use wire::AdapterId;

/// Arrivals that an estimate looks back over.
const DEPTH: usize = 4;
/// Time added for each arrival that an estimate lacks, so that a single one
/// does not pass for a high rate.
const PRIOR: Duration = Duration::from_secs(16);
/// The shortest time that an estimate looks back over.
const SHORTEST: Duration = Duration::from_millis(50);
/// Age at which an estimate is forgotten.
const FORGET: Duration = Duration::from_secs(900);
/// Estimates that are checked for their age with each arrival.
const SWEEP: usize = 2;

#[derive(Debug, Clone, Copy)]
struct Arrivals {
    at: [Duration; DEPTH],
    len: u8,
    next: u8,
}

impl Arrivals {
    fn first(&self) -> Duration {
        if usize::from(self.len) < DEPTH { self.at[0] } else { self.at[usize::from(self.next)] }
    }

    fn last(&self) -> Duration {
        self.at[(usize::from(self.next) + DEPTH - 1) % DEPTH]
    }
}

/// Arrival rates by adapter, each over its own last arrivals: a hot adapter that
/// falls silent is forgotten within seconds, a cold one keeps a long memory.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    by_adapter: HashMap<AdapterId, Arrivals>,
    sweep: VecDeque<AdapterId>,
}

impl Demand {
    /// Counts a request.
    pub(crate) fn arrived(&mut self, now: Duration, adapter: AdapterId) {
        let arrivals = self.by_adapter.entry(adapter).or_insert_with(|| {
            self.sweep.push_back(adapter);
            Arrivals { at: [now; DEPTH], len: 0, next: 0 }
        });
        arrivals.at[usize::from(arrivals.next)] = now;
        arrivals.next = (arrivals.next + 1) % DEPTH as u8;
        arrivals.len = (arrivals.len + 1).min(DEPTH as u8);
        self.forget_old(now);
    }

    /// Returns the expected arrivals per second.
    pub(crate) fn rate(&self, now: Duration, adapter: AdapterId) -> f64 {
        let Some(arrivals) = self.by_adapter.get(&adapter) else { return 0.0 };
        let missing = DEPTH as u32 - u32::from(arrivals.len);
        let span = now.saturating_sub(arrivals.first()).max(SHORTEST) + PRIOR * missing;
        f64::from(arrivals.len) / span.as_secs_f64()
    }

    /// Checks the next few estimates in turn, so that no step visits all.
    fn forget_old(&mut self, now: Duration) {
        for _ in 0..SWEEP {
            let Some(adapter) = self.sweep.pop_front() else { return };
            let arrivals = self.by_adapter.get(&adapter);
            if arrivals.is_none_or(|arrivals| arrivals.last() + FORGET < now) {
                self.by_adapter.remove(&adapter);
                continue;
            }
            self.sweep.push_back(adapter);
        }
    }
}
