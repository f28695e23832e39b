//! When the loads of adapters have ended.
//!
//! A report shows the end of a load late: it is old when it is made, and requested at intervals. A holder
//! therefore sends an accepted order again, with its number. A target that still carries it out answers
//! that it is accepted; once it has ended, the target answers that the number differs, or that the order
//! holds already. It accepts no second order with that number, so such a question changes nothing, however
//! late it arrives; at a restarted process it is one more order that the account doesn't know.
//!
//! Two questions usually suffice: one when a load from the target's own memory would have ended, one when a
//! load from the store should have. Later ones come at growing intervals.

use std::time::Duration;

use wire::Fence;

use crate::{
    Event, PlacementStep, PlacementTable,
    io::{Order, OrderOutcome},
};

/// First estimate of the time that a load from the store takes.
const STORE_LOAD: Duration = Duration::from_millis(250);
/// Bounds of this estimate.
const MIN_STORE_LOAD: Duration = Duration::from_millis(20);
const MAX_STORE_LOAD: Duration = Duration::from_secs(2);
/// Change of the estimate with each load that had or had not ended by then, as a share of it.
const STEP: f64 = 0.01;
/// Number of results in a row after which the change doubles with each further one, and how often it does.
const STEADY_RESULTS: u32 = 2;
const MAX_DOUBLINGS: u32 = 4;
/// Time that a load from a target's own memory takes, as a share of one from the store: a tenth, and a
/// margin.
const MEMORY_LOAD_SHARE: f64 = 0.11;
/// Bounds of the time between two questions about a load that lasts longer than estimated.
const MIN_INTERVAL: Duration = Duration::from_millis(10);
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// Time between these questions, as a share of the time since the estimated end.
const INTERVAL_SHARE: f64 = 0.1;
/// Time to the next question if one could not be asked or was not answered.
const UNANSWERED_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of questions about one load; reports show its end in any case.
const MAX_QUESTIONS: u32 = 60;

/// Estimate of the time that a load from the store takes, which half of the loads don't exceed.
#[derive(Debug)]
pub(crate) struct LoadTime {
    estimate: Duration,
    changed_at: Duration,
    /// Whether the last load had ended by then, and the number of loads in a row of which that holds.
    last: (bool, u32),
}

impl Default for LoadTime {
    fn default() -> LoadTime {
        LoadTime { estimate: STORE_LOAD, changed_at: Duration::ZERO, last: (true, 0) }
    }
}

impl LoadTime {
    /// Returns when a load from a target's own memory should have ended, after its beginning.
    fn from_memory(&self) -> Duration {
        self.estimate.mul_f64(MEMORY_LOAD_SHARE)
    }

    /// Takes into account whether a load that began at `accepted_at` had ended after the estimated time.
    /// Loads that began before the estimate last changed say nothing of it.
    fn learn(&mut self, now: Duration, accepted_at: Duration, has_ended: bool) {
        if accepted_at < self.changed_at {
            return;
        }
        self.changed_at = now;
        let in_row = if self.last.0 == has_ended { self.last.1 + 1 } else { 1 };
        self.last = (has_ended, in_row);
        let doublings = in_row.saturating_sub(STEADY_RESULTS).min(MAX_DOUBLINGS);
        let step = STEP * f64::from(1 << doublings);
        let factor = if has_ended { 1.0 - step } else { 1.0 + step };
        self.estimate = self.estimate.mul_f64(factor).clamp(MIN_STORE_LOAD, MAX_STORE_LOAD);
    }
}

/// An accepted load of an adapter whose end is not known.
#[derive(Debug)]
pub(crate) struct LoadCheck {
    pub(crate) order: Order,
    /// The newest version of the adapter that was known when the order was sent; zero if none was.
    newest: u64,
    accepted_at: Duration,
    /// When the load should have ended if it is from the store.
    expected_at: Duration,
    questions: u32,
    /// Whether the answer to the next question tells whether the estimate was right.
    is_estimate: bool,
}

impl PlacementTable {
    /// Begins to ask a target whether a load that it has accepted has ended.
    pub(crate) fn check_load(&mut self, now: Duration, order: Order, newest: u64) {
        let Some(row) = self.rows.get_mut(&order.target) else { return };
        let name = order.name();
        row.load_checks.retain(|it| it.order.name() != name);
        row.load_checks.push(LoadCheck {
            order: order.clone(),
            newest,
            accepted_at: now,
            expected_at: now + self.load_time.estimate,
            questions: 0,
            is_estimate: false,
        });
        let after = self.load_time.from_memory();
        self.steps.push(PlacementStep::CheckLoad { order, after });
    }

    /// Handles a target's answer to the question whether a load has ended.
    pub fn handle_load_check(
        &mut self,
        now: Duration,
        order: &Order,
        outcome: OrderOutcome,
        fence: Option<Fence>,
    ) {
        let id = order.target.as_str();
        let Some(row) = self.rows.get_mut(id) else { return };
        let Some(at) = row.load_checks.iter().position(|it| it.order == *order) else { return };
        let check = &mut row.load_checks[at];
        check.questions += 1;
        let was_estimate = std::mem::take(&mut check.is_estimate);
        let after = match outcome {
            OrderOutcome::Busy | OrderOutcome::Done => {
                if was_estimate {
                    self.load_time.learn(now, check.accepted_at, true);
                }
                return self.end_load(now, id, at);
            }
            OrderOutcome::Elsewhere => return self.mark_silent(id),
            OrderOutcome::Refused => None,
            OrderOutcome::NotSent | OrderOutcome::Unknown => Some(UNANSWERED_INTERVAL),
            OrderOutcome::Accepted if now < check.expected_at => {
                check.is_estimate = true;
                Some(check.expected_at - now)
            }
            OrderOutcome::Accepted => {
                if was_estimate {
                    self.load_time.learn(now, check.accepted_at, false);
                }
                let late = now - check.expected_at;
                Some(late.mul_f64(INTERVAL_SHARE).clamp(MIN_INTERVAL, MAX_INTERVAL))
            }
        };
        let may_ask = fence == Some(order.fence) && check.questions < MAX_QUESTIONS;
        match after.filter(|_| may_ask) {
            Some(after) => {
                self.steps.push(PlacementStep::CheckLoad { order: order.clone(), after });
            }
            None => {
                row.load_checks.remove(at);
                self.plan_report(now, id);
            }
        }
    }

    /// Records that a load has ended, and publishes its adapter.
    fn end_load(&mut self, now: Duration, id: &str, at: usize) {
        let Some(row) = self.rows.get_mut(id) else { return };
        let check = row.load_checks.remove(at);
        self.steps.push(PlacementStep::Log(Event::Loaded {
            target: id.to_owned(),
            adapter: check.order.name(),
            expect: check.order.expected_orders,
            took_ms: now.saturating_sub(check.accepted_at).as_millis() as u64,
            questions: check.questions,
        }));
        row.account.end_load(&check.order, check.newest.max(check.order.version));
        self.publish_changes(now, id);
    }
}
