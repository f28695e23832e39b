//! The adapter store, as a holder sees it: how long a load from it takes, and how many loads it can carry
//! out at once. Beyond that number each load takes longer in proportion, so that further loads delay all
//! others and none ends sooner. Neither figure is announced; each holder learns them from its own loads.
//! Single loads take longer for other reasons too, but too many of them slow all of them down.

use std::{collections::VecDeque, time::Duration};

/// First estimate of the time that a load takes while few are carried out.
const USUAL_TIME: Duration = Duration::from_millis(250);
/// Bounds of this estimate.
const MIN_TIME: Duration = Duration::from_millis(20);
const MAX_TIME: Duration = Duration::from_secs(5);
/// Weight of a load that took less than the estimate.
const SHORTER_WEIGHT: f64 = 0.25;
/// If a load had ended when it was first asked about, it took this share of the time since then at most, as
/// far as the estimate is concerned: so the next ones are asked about earlier.
const UNKNOWN_SHARE: f64 = 0.95;
/// Growth of the estimate with a load that took longer. It is small, since most of these took longer
/// because many were carried out.
const LONGER_GROWTH: f64 = 0.002;
/// Share of the estimated time after which a load is first expected to have ended.
const EXPECTED_SHARE: f64 = 0.98;
/// Time that a load from a target's own memory takes, as a share of one from the store: a tenth, and a
/// margin.
const MEMORY_SHARE: f64 = 0.11;
/// Time of the fastest of the last [`RECENT_LOADS`], in estimates, from which on too many are carried out.
const SLOW_LOADS: f64 = 1.15;
const RECENT_LOADS: usize = 5;
/// Weight of the newest load in the time that loads take at present.
const PRESENT_WEIGHT: f64 = 0.2;
/// First number of loads at once, for one failure domain, in shares of its targets: a store is as large as
/// the targets need.
const FIRST_SHARE: f64 = 0.5;
/// Bounds of this number.
const MIN_AT_ONCE: f64 = 3.0;
const MAX_AT_ONCE: f64 = 256.0;
/// Factor by which the number shrinks when the last loads were slow.
const SHRINK: f64 = 0.8;

/// What a holder knows of the adapter store.
#[derive(Debug)]
pub(crate) struct AdapterStore {
    /// Time of a load while few are carried out.
    usual_time: Duration,
    /// Time of a load at present.
    present_time: Duration,
    /// Number of loads at once; `None` before the first load has ended.
    at_once: Option<f64>,
    /// When the number of loads at once last shrank.
    shrunk_at: Option<Duration>,
    /// Times of the last loads that began after that.
    recent: VecDeque<Duration>,
}

impl Default for AdapterStore {
    fn default() -> AdapterStore {
        AdapterStore {
            usual_time: USUAL_TIME,
            present_time: USUAL_TIME,
            at_once: None,
            shrunk_at: None,
            recent: VecDeque::new(),
        }
    }
}

impl AdapterStore {
    /// Returns the time after which a load from the store may have ended.
    pub(crate) fn expected_time(&self) -> Duration {
        self.usual_time.mul_f64(EXPECTED_SHARE)
    }

    /// Returns the time that a load takes at present.
    pub(crate) fn present_time(&self) -> Duration {
        self.present_time
    }

    /// Returns the time after which a load from a target's own memory has ended.
    pub(crate) fn memory_time(&self) -> Duration {
        self.usual_time.mul_f64(MEMORY_SHARE)
    }

    /// Whether one more load may begin beside so many others, for a failure domain of so many targets.
    pub(crate) fn takes_more(&self, loads: usize, targets: usize) -> bool {
        (loads as f64) < self.at_once(targets).floor()
    }

    fn at_once(&self, targets: usize) -> f64 {
        let first = (targets as f64 * FIRST_SHARE).clamp(MIN_AT_ONCE, MAX_AT_ONCE);
        self.at_once.unwrap_or(first)
    }

    /// Records how long a load from the store took that began at `begun_at`. If that is the longest
    /// time that it may have taken, it is not `exact`. `targets` is the number of targets of the failure
    /// domain.
    pub(crate) fn record(
        &mut self,
        now: Duration,
        begun_at: Duration,
        took: Duration,
        exact: bool,
        targets: usize,
    ) {
        let at_once = self.at_once(targets);
        let change = took.as_secs_f64() - self.present_time.as_secs_f64();
        let present = self.present_time.as_secs_f64() + PRESENT_WEIGHT * change;
        self.present_time = Duration::from_secs_f64(present);
        if self.shrunk_at.is_none_or(|at| begun_at >= at) {
            self.recent.push_back(took);
        }
        if self.recent.len() > RECENT_LOADS {
            self.recent.pop_front();
        }
        let limit = self.usual_time.mul_f64(SLOW_LOADS);
        if took <= limit {
            // One more for each load until there were too many once, then for each round of loads.
            let more = if self.shrunk_at.is_none() { 1.0 } else { 1.0 / at_once };
            self.at_once = Some((at_once + more).min(MAX_AT_ONCE));
        } else if self.recent.len() == RECENT_LOADS && self.recent.iter().all(|it| *it > limit) {
            self.at_once = Some((at_once * SHRINK).max(MIN_AT_ONCE));
            self.shrunk_at = Some(now);
            self.recent.clear();
        }
        let (usual, took) = (self.usual_time.as_secs_f64(), took.as_secs_f64());
        let next = if !exact {
            usual.min(took * UNKNOWN_SHARE)
        } else if took < usual {
            usual + SHORTER_WEIGHT * (took - usual)
        } else {
            took.min(usual * (1.0 + LONGER_GROWTH))
        };
        self.usual_time = Duration::from_secs_f64(next).clamp(MIN_TIME, MAX_TIME);
    }
}
