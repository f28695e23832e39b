//! Which versions of an adapter may still run requests. A new version is due some time after its
//! acknowledgement; until then requests may also begin on the version that was due before, so that they don't
//! wait while targets load the new one. Each version is due by itself, whichever others were named since.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::Host;

/// Share of the time allowed for a new version during which requests are still assigned to targets that hold
/// the one before. The rest is for requests that then wait there.
const ASSIGNED_SHARE: f64 = 0.15;
/// Share of the same time during which requests are still sent to such a target, after they waited for their
/// prefill permit.
const SENT_SHARE: f64 = 0.5;
/// Share of the same time by which the acknowledgement of a version may have come before it was applied here, for
/// its time to count from then. It covers the time between two renewals.
const LATENESS_SHARE: f64 = 0.25;
/// Maximum number of versions of an adapter of which it is kept when they were named. With more, the oldest of
/// them is due at once.
const MAX_RECENT: usize = 8;

/// The versions of one adapter.
#[derive(Debug, Default)]
struct AdapterVersions {
    /// The version that has been due for the longest time of those that are kept.
    due: u64,
    /// The later ones, in order, and since when their time counts; `None` if they are due at once.
    recent: VecDeque<(u64, Option<Duration>)>,
}

/// The versions of all adapters and models, as this process has learned of them. They never decrease.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    by_adapter: BTreeMap<String, AdapterVersions>,
}

impl Versions {
    /// Records a version whose time counts from `since`; it is due at once if that is none. Former versions
    /// change nothing.
    fn add(&mut self, adapter: &str, version: u64, since: Option<Duration>) {
        if version <= self.newest(adapter) {
            return;
        }
        let known = self.by_adapter.entry(adapter.to_owned()).or_default();
        known.recent.push_back((version, since));
        if known.recent.len() > MAX_RECENT
            && let Some((version, _)) = known.recent.pop_front()
        {
            known.due = version;
        }
    }

    /// Returns the newest version; zero if none was named.
    fn newest(&self, adapter: &str) -> u64 {
        let Some(known) = self.by_adapter.get(adapter) else { return 0 };
        known.recent.back().map_or(known.due, |it| it.0)
    }

    /// Returns the newest version whose time counts from `before` or earlier; zero if there is none.
    fn newest_since(&self, adapter: &str, before: Option<Duration>) -> u64 {
        let Some(known) = self.by_adapter.get(adapter) else { return 0 };
        let is_due = |it: &&(u64, Option<Duration>)| it.1 <= before;
        known.recent.iter().rev().find(is_due).map_or(known.due, |it| it.0)
    }
}

impl Host {
    /// Records a version that was applied now. Its acknowledgement can't have come before this host's state was
    /// last confirmed to be complete; if that was long ago, the version's time counts from then, and if it never
    /// was, the version is due.
    pub(crate) fn learn_version(&mut self, now: Duration, adapter: &str, version: u64) {
        let lateness = self.version_span(LATENESS_SHARE);
        let is_current = |at: Duration| now <= at + lateness;
        let since = self.view.confirmed_at.map(|at| if is_current(at) { now } else { at });
        self.versions.add(adapter, version, since);
    }

    /// Returns the newest version of an adapter; zero if none was named.
    pub(crate) fn newest_version(&self, adapter: &str) -> u64 {
        self.versions.newest(adapter)
    }

    /// Returns the oldest version of an adapter to which a request may be assigned.
    pub(crate) fn oldest_assigned(&self, now: Duration, adapter: &str) -> u64 {
        self.oldest_version(now, adapter, ASSIGNED_SHARE)
    }

    /// Returns the oldest version of an adapter to which a request may be sent that was assigned before.
    pub(crate) fn oldest_sent(&self, now: Duration, adapter: &str) -> u64 {
        self.oldest_version(now, adapter, SENT_SHARE)
    }

    fn oldest_version(&self, now: Duration, adapter: &str, share: f64) -> u64 {
        self.versions.newest_since(adapter, now.checked_sub(self.version_span(share)))
    }

    fn version_span(&self, share: f64) -> Duration {
        self.settings.bounds.version_deadline.mul_f64(share)
    }
}
