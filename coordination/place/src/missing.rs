//! Adapters that requests wait for and that are ready on no target, in the order of loads.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wire::AdapterId;

use crate::score::Score;

/// Position of a missing adapter in the two orders.
#[derive(Debug, Clone, Copy)]
struct Entry {
    score: Score,
    since: Duration,
    waiting: u32,
}

/// Missing adapters by the value of their load and by age.
#[derive(Debug, Default)]
pub(crate) struct MissingAdapters {
    entries: BTreeMap<AdapterId, Entry>,
    by_value: BTreeSet<(Score, Reverse<Duration>, AdapterId)>,
    by_age: BTreeSet<(Duration, AdapterId)>,
    /// Number of requests that wait for missing adapters.
    waiting: u32,
    /// Total time that requests have waited up to `counted_until`, in seconds.
    stall_seconds: f64,
    counted_until: Duration,
}

impl MissingAdapters {
    /// Adds the waiting time up to `now`.
    pub(crate) fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.counted_until).as_secs_f64();
        self.stall_seconds += f64::from(self.waiting) * passed;
        self.counted_until = self.counted_until.max(now);
    }

    /// Returns the total time that requests have waited for missing adapters, in seconds.
    pub(crate) fn stall_seconds(&self) -> f64 {
        self.stall_seconds
    }

    /// Sets the value of an adapter's load, the time since which requests wait for it, and their
    /// number.
    pub(crate) fn set(
        &mut self,
        now: Duration,
        adapter: AdapterId,
        score: f64,
        since: Duration,
        waiting: u32,
    ) {
        self.remove(now, adapter);
        let entry = Entry { score: Score(score), since, waiting };
        self.entries.insert(adapter, entry);
        self.by_value.insert((entry.score, Reverse(since), adapter));
        self.by_age.insert((since, adapter));
        self.waiting += waiting;
    }

    /// Removes an adapter that is no longer missing.
    pub(crate) fn remove(&mut self, now: Duration, adapter: AdapterId) {
        self.advance(now);
        let Some(entry) = self.entries.remove(&adapter) else { return };
        self.by_value.remove(&(entry.score, Reverse(entry.since), adapter));
        self.by_age.remove(&(entry.since, adapter));
        self.waiting -= entry.waiting;
    }

    /// Returns the adapters in descending order of the value of their load.
    pub(crate) fn best(&self) -> impl Iterator<Item = AdapterId> + '_ {
        self.by_value.iter().rev().map(|&(_, _, adapter)| adapter)
    }

    /// Returns the adapters by how long they are waited for, longest first.
    pub(crate) fn oldest(&self) -> impl Iterator<Item = AdapterId> + '_ {
        self.by_age.iter().map(|&(_, adapter)| adapter)
    }

    /// Returns how many adapters come before a score in the order of value, up to a limit.
    pub(crate) fn count_ahead(&self, score: f64, since: Duration, limit: usize) -> usize {
        self.by_value.range((Score(score), Reverse(since), AdapterId::MAX)..).take(limit).count()
    }

    /// Returns how many adapters have been waited for since before a time, up to a limit.
    pub(crate) fn count_older(&self, since: Duration, limit: usize) -> usize {
        self.by_age.range(..(since, AdapterId::MIN)).take(limit).count()
    }

    /// Returns whether no adapter is missing.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the missing adapter with the lowest number that is at least `from`.
    pub(crate) fn next_from(&self, from: AdapterId) -> Option<AdapterId> {
        self.entries.range(from..).next().map(|(&adapter, _)| adapter)
    }

    /// Returns the time since which an adapter is waited for, if it is missing.
    pub(crate) fn since(&self, adapter: AdapterId) -> Option<Duration> {
        self.entries.get(&adapter).map(|entry| entry.since)
    }
}
