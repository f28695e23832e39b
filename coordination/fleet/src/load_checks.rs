//! When the loads of adapters have ended.
//!
//! A report shows the end of a load late: it is old when it is made, and requested at intervals. A holder
//! therefore sends an accepted order again, with its number. A target that still carries it out answers
//! that it is accepted; once it has ended, the target answers that the number differs, or that the order
//! holds already. It accepts no second order with that number, so such a question changes nothing, however
//! late it arrives; at a restarted process it is one more order that the account doesn't know.
//!
//! The first question comes when a load from the target's own memory would have ended, the next one when a
//! load from the store may first have, and later ones at growing intervals.

use std::time::Duration;

use crate::{
    Event, PlacementStep, PlacementTable,
    io::{Order, OrderOutcome},
};

/// Bounds of the time between two questions about a load that lasts longer than estimated.
const MIN_INTERVAL: Duration = Duration::from_millis(10);
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// Time between these questions, as a share of the time since the estimated end.
const INTERVAL_SHARE: f64 = 0.07;
/// Time to the next question if one could not be asked or was not answered.
const UNANSWERED_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of questions about one load; reports show its end in any case.
const MAX_QUESTIONS: u32 = 60;

/// An accepted load of an adapter whose end is not known.
#[derive(Debug)]
pub(crate) struct LoadCheck {
    pub(crate) order: Order,
    /// The newest version of the adapter that was known when the order was sent; zero if none was.
    newest: u64,
    accepted_at: Duration,
    /// When the load may first have ended if it is from the store.
    expected_at: Duration,
    questions: u32,
    /// Whether it went on after a load from the target's own memory would have ended.
    is_from_store: bool,
    /// Whether the last question got no answer, so that it may have ended long ago.
    is_unheard: bool,
    /// Whether it went on at the expected time or later.
    is_longer: bool,
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
            expected_at: now + self.store.expected_time(),
            questions: 0,
            is_from_store: false,
            is_unheard: false,
            is_longer: false,
        });
        let after = self.store.memory_time();
        self.steps.push(PlacementStep::CheckLoad { order, after });
    }

    /// Handles a target's answer to the question whether a load has ended. Without `may_order` the target
    /// is not asked again.
    pub fn handle_load_check(
        &mut self,
        now: Duration,
        order: &Order,
        outcome: OrderOutcome,
        may_order: bool,
    ) {
        let id = order.target.as_str();
        let Some(row) = self.rows.get_mut(id) else { return };
        let Some(at) = row.load_checks.iter().position(|it| it.order == *order) else { return };
        let check = &mut row.load_checks[at];
        check.questions += 1;
        check.is_unheard = matches!(outcome, OrderOutcome::NotSent | OrderOutcome::Unknown);
        let after = match outcome {
            OrderOutcome::Busy | OrderOutcome::Done => return self.end_load(now, id, at),
            OrderOutcome::Elsewhere => return self.mark_silent(id),
            OrderOutcome::Refused => None,
            OrderOutcome::NotSent | OrderOutcome::Unknown => {
                Some(UNANSWERED_INTERVAL.max(check.expected_at.saturating_sub(now)))
            }
            OrderOutcome::Accepted => {
                check.is_from_store = true;
                check.is_longer |= now >= check.expected_at;
                let late = now.saturating_sub(check.expected_at);
                let interval = late.mul_f64(INTERVAL_SHARE).clamp(MIN_INTERVAL, MAX_INTERVAL);
                Some(interval.max(check.expected_at.saturating_sub(now)))
            }
        };
        let may_ask = may_order && check.questions < MAX_QUESTIONS;
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

    /// Whether the store can carry out one more load of an adapter.
    pub(crate) fn may_load_adapter(&self, now: Duration) -> bool {
        let mut loads = 0;
        for row in self.rows.values() {
            let open = row.open_order.as_ref().filter(|_| row.has_recent_order(now));
            let is_load = open.is_some_and(|it| it.order.load && it.order.adapter.is_some());
            let heard = row.load_checks.iter().filter(|it| !it.is_unheard).count();
            loads += heard + usize::from(is_load);
        }
        self.store.takes_more(loads, self.rows.len())
    }

    /// Records that a load has ended, and publishes its adapter.
    fn end_load(&mut self, now: Duration, id: &str, at: usize) {
        let targets = self.rows.len();
        let Some(row) = self.rows.get_mut(id) else { return };
        let check = row.load_checks.remove(at);
        let took = now.saturating_sub(check.accepted_at);
        if check.is_from_store {
            self.store.record(now, check.accepted_at, took, check.is_longer, targets);
        }
        self.steps.push(PlacementStep::Log(Event::Loaded {
            target: id.to_owned(),
            adapter: check.order.name(),
            expect: check.order.expected_orders,
            took_ms: took.as_millis() as u64,
            questions: check.questions,
        }));
        row.account.end_load(&check.order, check.newest.max(check.order.version));
        self.publish_changes(now, id);
    }
}
