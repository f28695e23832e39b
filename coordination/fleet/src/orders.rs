//! Orders of a holder to the targets of its failure domain, and what their outcomes change in its
//! placement table.

use std::time::Duration;

use wire::Fence;

use crate::{
    Event, PlacementStep, PlacementTable,
    io::{Order, OrderOutcome},
    placement::CHECKED_REPORT_INTERVAL,
    row::SentOrder,
};

/// Delay of the first report request after an order; an earlier report cannot show its effect.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(120);
/// Backoff after a target answered an order with busy.
const BUSY_BACKOFF: Duration = Duration::from_millis(150);
/// Backoff after an order that was refused or not sent.
const FAILED_BACKOFF: Duration = Duration::from_millis(700);

impl PlacementTable {
    /// Handles the outcome of an order. It has no effect if the target's process has been replaced since,
    /// or the order is of a former holder.
    pub fn handle_outcome(&mut self, now: Duration, order: &Order, outcome: OrderOutcome) {
        let id = order.target.as_str();
        let Some(row) = self.rows.get_mut(id) else { return };
        let Some(sent) = row.open_order.take_if(|it| it.order == *order) else { return };
        let SentOrder { order, at, basis, newest } = sent;
        let took = now.saturating_sub(at);
        self.steps.push(PlacementStep::Log(Event::Ordered {
            target: id.to_owned(),
            load: order.load,
            adapter: order.name(),
            expect: order.expected_orders,
            fence: order.fence,
            outcome,
            took_ms: took.as_millis() as u64,
            basis,
        }));
        match outcome {
            OrderOutcome::Accepted if order.load && order.adapter.is_some() => {
                row.account.accept(order.clone(), false);
                let due = now + CHECKED_REPORT_INTERVAL;
                row.report_due = Some(row.report_due.map_or(due, |at| at.min(due)));
                self.check_load(now, order, newest);
            }
            OrderOutcome::Accepted => {
                row.account.accept(order, false);
                row.report_due = Some(now + FIRST_REPORT_DELAY);
            }
            OrderOutcome::Done if order.load => {
                // It is there already, by an order that this table doesn't know: a report shows it.
                self.require_report(now, id, Duration::ZERO);
            }
            OrderOutcome::Done => {
                row.account.accept(order, true);
                if row.account.next_number().is_none() {
                    row.report_due = Some(now);
                }
            }
            OrderOutcome::Busy => {
                row.account.record_busy();
                self.require_report(now, id, BUSY_BACKOFF);
            }
            OrderOutcome::Elsewhere => return self.mark_silent(id),
            OrderOutcome::Refused | OrderOutcome::NotSent => {
                self.require_report(now, id, FAILED_BACKOFF);
            }
            OrderOutcome::Unknown => {
                row.account.give_up(order, self.report_requests);
                row.report_due = Some(now);
            }
        }
        self.publish_changes(now, id);
    }

    /// Requires a new report from a target before its next order.
    fn require_report(&mut self, now: Duration, id: &str, backoff: Duration) {
        let Some(row) = self.rows.get_mut(id) else { return };
        row.account.doubt();
        row.backoff_until = now + backoff;
        row.report_due = Some(now + backoff);
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
        let Some(expected_orders) = row.account.next_number() else { return false };
        let order = Order {
            target: id.to_owned(),
            started_at: row.record.started_at,
            addr: row.record.addr.clone(),
            load,
            model: model.to_owned(),
            adapter: adapter.map(str::to_owned),
            version,
            expected_orders,
            fence,
        };
        let basis = row.basis(self.engines.get(&row.record.service));
        let newest = self.versions.get(&order.name()).copied().unwrap_or(0);
        row.open_order = Some(SentOrder { order: order.clone(), at: now, basis, newest });
        self.steps.push(PlacementStep::Order(order));
        self.publish_changes(now, id);
        true
    }
}
