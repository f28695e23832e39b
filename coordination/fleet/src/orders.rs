//! Orders of a holder to the targets of its failure domain, and what their outcomes change in its
//! placement table.

use std::time::Duration;

use wire::{FeedChange, Fence};

use crate::{
    Event, PlacementStep, PlacementTable,
    io::{Order, OrderOutcome},
    placement::placement,
    row::{SentOrder, Stage},
};

/// Delay of the first report request after an order; an earlier report cannot show its effect.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(120);
/// Backoff after a target answered an order with busy.
const BUSY_BACKOFF: Duration = Duration::from_millis(150);
/// Backoff after an order that was refused or not sent. After an order without an answer, it delays
/// only the report request.
const FAILED_BACKOFF: Duration = Duration::from_millis(700);

impl PlacementTable {
    /// Handles the outcome of the order that was sent to a target.
    pub fn handle_outcome(&mut self, now: Duration, id: &str, outcome: OrderOutcome) {
        let Some(row) = self.rows.get_mut(id) else { return };
        let Some(SentOrder { order, at, basis }) = row.open_order.take() else { return };
        let name = order.name();
        let took = now.saturating_sub(at);
        self.steps.push(PlacementStep::Log(Event::Ordered {
            target: id.to_owned(),
            load: order.load,
            adapter: name.clone(),
            expect: order.expected_orders,
            fence: order.fence,
            outcome,
            took_ms: took.as_millis() as u64,
            basis,
        }));
        let unanswered = row.unanswered.take();
        if let Some(former) = unanswered.filter(|_| outcome == OrderOutcome::Accepted) {
            self.roll_back(id, &former);
        }
        let Some(row) = self.rows.get_mut(id) else { return };
        match outcome {
            OrderOutcome::Accepted => {
                row.apply_order(now, &order);
                row.sequence = row.sequence.map(|it| it + 1);
                row.report_due = Some(now + FIRST_REPORT_DELAY);
            }
            OrderOutcome::Done if order.load => {
                row.apply_order(now, &order);
                row.sequence = None;
                row.report_due = Some(now);
            }
            OrderOutcome::Done => {
                row.sequence = row.sequence.map(|it| it + 1);
                row.remove_adapter(now, &name);
            }
            OrderOutcome::Busy => {
                self.roll_back(id, &order);
                self.require_report(now, id, BUSY_BACKOFF);
            }
            OrderOutcome::Elsewhere => self.mark_silent(id),
            OrderOutcome::Refused | OrderOutcome::NotSent => {
                self.roll_back(id, &order);
                self.require_report(now, id, FAILED_BACKOFF);
            }
            OrderOutcome::Unknown => {
                // The order may have been executed, or be executed late, so it keeps its adapter
                // slot. The next order expects the same number: if that one is accepted, this one
                // never is. Otherwise a report shows its result.
                row.apply_order(now, &order);
                row.report_due = Some(now + FAILED_BACKOFF);
                row.unanswered = Some(order);
            }
        }
    }

    /// Requires a new report from a target before its next order.
    fn require_report(&mut self, now: Duration, id: &str, backoff: Duration) {
        let Some(row) = self.rows.get_mut(id) else { return };
        row.sequence = None;
        row.backoff_until = now + backoff;
        row.report_due = Some(now + backoff);
    }

    /// Rolls back the table changes of an order that had no effect.
    fn roll_back(&mut self, id: &str, order: &Order) {
        let Some(row) = self.rows.get_mut(id) else { return };
        let name = order.name();
        if let Some(held) = row.held.get_mut(&name) {
            if order.load {
                if held.stage != Stage::Loading {
                    return;
                }
                let Some(former) = held.replaces.take() else {
                    row.held.remove(&name);
                    return;
                };
                held.version = former;
            }
            held.stage = Stage::Ready;
            let (number, version) = (row.number, held.version);
            self.steps.push(PlacementStep::Publish(FeedChange::Placed(placement(
                number, &name, version,
            ))));
        }
    }

    #[expect(clippy::too_many_arguments, reason = "an order has as many parts")]
    pub(crate) fn send_order(
        &mut self,
        now: Duration,
        fence: Fence,
        id: &str,
        load: bool,
        model: &str,
        adapter: Option<&str>,
        version: u64,
    ) -> bool {
        let Some(row) = self.rows.get_mut(id) else { return false };
        let Some(expected_orders) = row.sequence else { return false };
        let order = Order {
            target: id.to_owned(),
            addr: row.record.addr.clone(),
            load,
            model: model.to_owned(),
            adapter: adapter.map(str::to_owned),
            version,
            expected_orders,
            fence,
        };
        let name = order.name();
        if !load {
            if let Some(held) = row.held.get_mut(&name) {
                held.stage = Stage::Unloading;
                held.since = now;
            }
            let change = FeedChange::Removed(placement(row.number, &name, 0));
            self.steps.push(PlacementStep::Publish(change));
        }
        let basis = row.basis(self.engines.get(&row.record.service));
        row.open_order = Some(SentOrder { order: order.clone(), at: now, basis });
        self.steps.push(PlacementStep::Order(order));
        true
    }
}
