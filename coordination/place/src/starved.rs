//! Adapters that requests wait for and no target holds, in the order of loads.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wire::AdapterId;

use crate::score::Score;

/// A starved adapter's place in the orders.
#[derive(Debug, Clone, Copy)]
struct Entry {
    score: Score,
    since: Duration,
    waiting: u32,
}

/// Starved adapters by what their load saves and by age.
#[derive(Debug, Default)]
pub(crate) struct Starved {
    keys: BTreeMap<AdapterId, Entry>,
    scores: BTreeSet<(Score, Reverse<Duration>, AdapterId)>,
    ages: BTreeSet<(Duration, AdapterId)>,
    /// Requests that wait for starved adapters.
    waiting: u32,
    /// Seconds they have waited up to a time.
    seconds: f64,
    until: Duration,
}

impl Starved {
    /// Adds up the waits until now.
    pub(crate) fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.until).as_secs_f64();
        self.seconds += f64::from(self.waiting) * passed;
        self.until = self.until.max(now);
    }

    /// Returns the seconds that requests have waited for adapters so far.
    pub(crate) fn seconds(&self) -> f64 {
        self.seconds
    }

    /// Sets what an adapter's load saves, and since when and how many requests
    /// wait for it.
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
        self.keys.insert(adapter, entry);
        self.scores.insert((entry.score, Reverse(since), adapter));
        self.ages.insert((since, adapter));
        self.waiting += waiting;
    }

    /// Removes an adapter that is not starved any more.
    pub(crate) fn remove(&mut self, now: Duration, adapter: AdapterId) {
        self.advance(now);
        let Some(entry) = self.keys.remove(&adapter) else { return };
        self.scores.remove(&(entry.score, Reverse(entry.since), adapter));
        self.ages.remove(&(entry.since, adapter));
        self.waiting -= entry.waiting;
    }

    /// Returns the adapters whose load saves most, best first.
    pub(crate) fn best(&self) -> impl Iterator<Item = AdapterId> + '_ {
        self.scores.iter().rev().map(|&(_, _, adapter)| adapter)
    }

    /// Returns the adapters that are waited for longest, oldest first.
    pub(crate) fn oldest(&self) -> impl Iterator<Item = AdapterId> + '_ {
        self.ages.iter().map(|&(_, adapter)| adapter)
    }

    /// Returns how many adapters go before a score, up to a limit.
    pub(crate) fn ahead(&self, score: f64, since: Duration, limit: usize) -> usize {
        self.scores.range((Score(score), Reverse(since), AdapterId::MAX)..).take(limit).count()
    }

    /// Returns how many adapters are older than a time, up to a limit.
    pub(crate) fn older(&self, since: Duration, limit: usize) -> usize {
        self.ages.range(..(since, AdapterId::MIN)).take(limit).count()
    }

    /// Returns whether no adapter is starved.
    pub(crate) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the first starved adapter from a number on.
    pub(crate) fn next(&self, from: AdapterId) -> Option<AdapterId> {
        self.keys.range(from..).next().map(|(&adapter, _)| adapter)
    }

    /// Returns since when an adapter is waited for, if it is starved.
    pub(crate) fn since(&self, adapter: AdapterId) -> Option<Duration> {
        self.keys.get(&adapter).map(|entry| entry.since)
    }
}
