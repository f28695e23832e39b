//! Request limits of the targets in a holder's placement table.

use std::time::Duration;

use wire::{FeedChange, Fence, RequestLimit, TargetState};

use crate::{
    PlacementStep, PlacementTable, limit_view::is_lower, places::LimitInForce, row::TargetRow,
};

/// Time after a limit was last named for which a target gets new adapters only if no other can take
/// them. After it, an adapter may bring the requests that let the target name another limit.
const NAMED_TTL: Duration = Duration::from_secs(30);

/// Bits for the number of a limit's change at one holder. The bits above hold the holder's fencing
/// number, so that the numbers of two holders differ.
const CHANGE_BITS: u32 = 24;

/// What a holder knows of the request limit of a target.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RowLimit {
    pub(crate) limit: RequestLimit,
    /// Number of changes of the limit.
    pub(crate) changes: u64,
    /// When an answer last named it.
    named_at: Duration,
}

impl TargetRow {
    /// Whether the target has named a limit lately.
    pub(crate) fn is_limited(&self, now: Duration) -> bool {
        matches!(self.limit.limit, RequestLimit::Rate(_)) && now < self.limit.named_at + NAMED_TTL
    }
}

impl PlacementTable {
    /// Records the limit that an answer of a target named. `is_newer` tells whether the answer is
    /// newer than the last change; otherwise only a lower limit counts.
    pub fn record_limit(
        &mut self,
        now: Duration,
        id: &str,
        started_at: u64,
        limit: RequestLimit,
        is_newer: bool,
    ) {
        let Some(row) = self.rows.get_mut(id) else { return };
        if row.record.started_at != started_at || limit == RequestLimit::Unknown {
            return;
        }
        if limit == row.limit.limit {
            row.limit.named_at = now;
            return;
        }
        let is_first = row.limit.limit == RequestLimit::Unknown;
        if !is_newer && !is_first && !is_lower(limit, row.limit.limit) {
            return;
        }
        row.limit = RowLimit { limit, changes: row.limit.changes + 1, named_at: now };
        let change = FeedChange::Limit(row.number, limit);
        self.steps.push(PlacementStep::Publish(change));
    }

    /// Takes over a limit that was known before the row was made.
    pub(crate) fn recall_limit(
        &mut self,
        now: Duration,
        id: &str,
        started_at: u64,
        limit: RequestLimit,
    ) {
        if self.rows.get(id).is_some_and(|it| it.limit.limit == RequestLimit::Unknown) {
            self.record_limit(now, id, started_at, limit, false);
        }
    }

    /// Returns a target's limit; `None` if it has none. `fence` is the holder's fencing number.
    pub(crate) fn limit_in_force(&self, id: &str, fence: Fence) -> Option<LimitInForce> {
        let RowLimit { limit, changes, .. } = self.rows.get(id)?.limit;
        let RequestLimit::Rate(milli_rate) = limit else { return None };
        Some(LimitInForce { milli_rate, change: (fence << CHANGE_BITS) + changes })
    }

    /// Returns the known limits as changes, for a host that begins to follow the feed.
    pub(crate) fn limits_table(&self) -> impl Iterator<Item = FeedChange> {
        let known = self.rows.values().filter(|it| it.limit.limit != RequestLimit::Unknown);
        known.map(|it| FeedChange::Limit(it.number, it.limit.limit))
    }

    /// Whether the copies of adapters at a target count: it has no limit, or no other ready target
    /// of its service in this failure domain is without one.
    pub(crate) fn counts_copies(&self, now: Duration, row: &TargetRow) -> bool {
        if !row.is_limited(now) {
            return true;
        }
        let mut others = self.rows.values().filter(|it| {
            it.record.service == row.record.service && it.record.state == TargetState::Ready
        });
        others.all(|it| it.is_limited(now))
    }
}
