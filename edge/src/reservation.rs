//! A request's reservation at a target, and its wait for an adapter.

use std::rc::Rc;

use fleet::{Outcome, Reservation, TargetQuery};

use crate::{edge::Edge, permit::Permit};

/// A request's reserved slot at a target. Dropping it releases the slot with the outcome `Left`.
pub(crate) struct ReservationGuard {
    pub(crate) edge: Rc<Edge>,
    pub(crate) reservation: Reservation,
    /// The prefill permit; none if the prompt needs none or was prefilled.
    pub(crate) permit: Option<Permit>,
    /// Whether the outcome was recorded.
    pub(crate) ended: bool,
}

impl ReservationGuard {
    /// Returns the target's id.
    pub(crate) fn target(&self) -> &str {
        &self.reservation.target
    }

    /// Gives the prefill permit back, because the target has prefilled the prompt.
    pub(crate) fn prompt_prefilled(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.release_prefilled();
        }
    }

    /// Releases the reservation and records how the request ended at the target.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.finish(outcome);
    }

    /// Like [`ReservationGuard::end`], by reference; only the first call has an effect.
    pub(crate) fn finish(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let label = match outcome {
            Outcome::Answered(_) => "answered",
            Outcome::Failed => "failed",
            Outcome::Refused => "refused",
            Outcome::NoAnswer => "missed",
            Outcome::Left => "left",
        };
        self.edge.metrics.reservation_ended(label);
        self.edge.host.borrow_mut().end(self.edge.now(), &self.reservation, outcome);
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        self.finish(Outcome::Left);
    }
}

/// A request that waits for its adapter. The host reports the demand to the order lease holders
/// until this is dropped.
pub(crate) struct AdapterWait(pub(crate) Rc<Edge>, pub(crate) TargetQuery);

impl Drop for AdapterWait {
    fn drop(&mut self) {
        self.0.host.borrow_mut().wait_ended(&self.1);
    }
}
