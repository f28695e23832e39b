//! Request limits of the targets in a holder's placement table.

use std::time::Duration;

use wire::{FeedChange, Fence, RequestLimit, TargetState};

use crate::{
    PlacementStep, PlacementTable,
    limit_view::is_lower,
    places::{AtOnce, LimitInForce},
    row::TargetRow,
};

/// Time after a limit was last named for which a target gets new adapters only if no other can take
/// them. After it, an adapter may bring the requests that let the target name another limit.
const NAMED_TTL: Duration = Duration::from_secs(30);

/// Time between two raises of the number of requests that a brittle target gets at once, below the
/// number that was too many.
const FAST_INTERVAL: Duration = Duration::from_millis(150);
/// The same above it.
const SLOW_INTERVAL: Duration = Duration::from_millis(3000);
/// Time for which requests were under way when the number was lowered.
const UNDER_WAY: Duration = Duration::from_millis(100);
/// Time after the number was raised in which a request is turned away because of that.
const RAISED_TIME: Duration = Duration::from_millis(200);
/// Time over which the requests that a target turns away are counted.
const REFUSALS_WINDOW: Duration = Duration::from_millis(1000);
/// A brittle target that turned a request away gets none for as long as it may turn so many away, unless
/// it was sent there to see whether it has more room.
const CLOSED_REFUSALS: f64 = 2.0;
/// Minimum time for which it gets none after it turned one away.
const MIN_CLOSED: Duration = Duration::from_millis(100);

/// What a host saw of a brittle target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BrittleReport {
    /// Number of requests that it may turn away in a second.
    pub(crate) refusals: u32,
    /// Whether it has just turned one away.
    pub(crate) turned_away: bool,
    /// Number of requests that were there.
    pub(crate) load: u32,
}

impl BrittleReport {
    /// Returns how many requests the target gets at once at first.
    pub(crate) fn at_once(self) -> u32 {
        if self.turned_away { lowered(self.load) } else { self.load + 1 }
    }
}

/// Returns the number of requests that a brittle target gets at once after it turned one away.
fn lowered(count: u32) -> u32 {
    (count - count.div_ceil(4)).max(1)
}

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
    /// When the number of requests at once was last raised.
    raised_at: Duration,
    /// A brittle target gets no request before this time.
    closed_until: Duration,
    /// When it last turned a request away.
    refused_at: Option<Duration>,
    /// The number of requests at once at which it did; zero if that isn't known.
    too_many: u32,
}

impl TargetRow {
    /// Whether the target has named a limit lately.
    pub(crate) fn is_limited(&self, now: Duration) -> bool {
        self.limit.limit.needs_places() && now < self.limit.named_at + NAMED_TTL
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
        let changes = row.limit.changes + 1;
        row.limit = RowLimit { limit, changes, named_at: now, ..row.limit };
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

    /// Records that a target is brittle. If it has turned a request away, it gets fewer at once, and none
    /// for a while: one fewer if the number was just raised, else half of them, since it has less room
    /// than before. What else it turns away shortly afterwards was under way.
    pub(crate) fn record_brittle(
        &mut self,
        now: Duration,
        id: &str,
        started_at: u64,
        report: BrittleReport,
    ) {
        let Some(row) = self.rows.get(id) else { return };
        let load = report.load.max(self.present(row.number));
        let report = BrittleReport { load, ..report };
        let is_under_way = row.limit.refused_at.is_some_and(|at| now < at + UNDER_WAY);
        let is_raised = now < row.limit.raised_at + RAISED_TIME;
        let (most, too_many) = match row.limit.limit {
            RequestLimit::Rate(_) => return,
            RequestLimit::AtOnce(_) if !report.turned_away || is_under_way => return,
            RequestLimit::AtOnce(most) if is_raised => ((most - 1).max(1), most),
            RequestLimit::AtOnce(most) => ((most / 2).max(1), most),
            RequestLimit::Unknown | RequestLimit::Unlimited => (report.at_once(), 0),
        };
        self.record_limit(now, id, started_at, RequestLimit::AtOnce(most), true);
        let Some(row) = self.rows.get_mut(id).filter(|_| report.turned_away) else { return };
        let share = CLOSED_REFUSALS / f64::from(report.refusals.max(1));
        let full = REFUSALS_WINDOW.mul_f64(share).max(MIN_CLOSED);
        row.limit.closed_until = now + if is_raised { MIN_CLOSED } else { full };
        row.limit.refused_at = Some(now);
        row.limit.too_many = too_many;
    }

    /// Raises the number of requests that a brittle target gets at once, if it turned none away for a
    /// while: fast as long as it is under the number that was too many.
    pub(crate) fn raise_at_once(&mut self, now: Duration, id: &str) {
        let Some(row) = self.rows.get_mut(id) else { return };
        let RequestLimit::AtOnce(most) = row.limit.limit else { return };
        let is_fast = row.limit.too_many == 0 || most + 1 < row.limit.too_many;
        let interval = if is_fast { FAST_INTERVAL } else { SLOW_INTERVAL };
        if now < row.limit.raised_at.max(row.limit.closed_until) + interval {
            return;
        }
        row.limit.raised_at = now;
        row.limit.limit = RequestLimit::AtOnce(most + 1);
    }

    /// Returns a target's limit; `None` if it has none. `fence` is the holder's fencing number.
    pub(crate) fn limit_in_force(&self, id: &str, fence: Fence) -> Option<LimitInForce> {
        let row = self.rows.get(id)?;
        let RowLimit { limit, changes, closed_until, .. } = row.limit;
        let at_once = match limit {
            RequestLimit::AtOnce(most) => {
                Some(AtOnce { most, present: self.present(row.number), closed_until })
            }
            _ => None,
        };
        let milli_rate = limit.rate().unwrap_or(0);
        let is_limited = limit.needs_places();
        let change = (fence << CHANGE_BITS) + changes;
        is_limited.then_some(LimitInForce { milli_rate, at_once, change })
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
