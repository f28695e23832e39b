//! Adapters that requests wait for and no target holds, in the order of loads.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wire::AdapterId;

use crate::score::Score;

/// Starved adapters by what their load saves and by age.
#[derive(Debug, Default)]
pub(crate) struct Starved {
    keys: BTreeMap<AdapterId, (Score, Duration)>,
    scores: BTreeSet<(Score, Reverse<Duration>, AdapterId)>,
    ages: BTreeSet<(Duration, AdapterId)>,
}

impl Starved {
    /// Sets what an adapter's load saves and since when it is waited for.
    pub(crate) fn set(&mut self, adapter: AdapterId, score: f64, since: Duration) {
        self.remove(adapter);
        self.keys.insert(adapter, (Score(score), since));
        self.scores.insert((Score(score), Reverse(since), adapter));
        self.ages.insert((since, adapter));
    }

    /// Removes an adapter that is not starved any more.
    pub(crate) fn remove(&mut self, adapter: AdapterId) {
        let Some((score, since)) = self.keys.remove(&adapter) else { return };
        self.scores.remove(&(score, Reverse(since), adapter));
        self.ages.remove(&(since, adapter));
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
        self.keys.get(&adapter).map(|&(_, since)| since)
    }
}
