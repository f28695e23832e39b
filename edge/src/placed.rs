//! A request's place at a target, and the wait for one.

use std::rc::Rc;

use fleet::{Ask, Outcome, Ticket};

use crate::{edge::Edge, turn::Turn};

/// A place at a target. It is given back when the request ends there.
pub(crate) struct Placed {
    pub(crate) edge: Rc<Edge>,
    pub(crate) ticket: Ticket,
    /// The turn to send a prompt.
    pub(crate) turn: Option<Turn>,
    pub(crate) ended: bool,
}

impl Placed {
    /// The target's name.
    pub(crate) fn target(&self) -> &str {
        &self.ticket.target
    }

    /// Notes that the target has read the prompt.
    pub(crate) fn prompt_read(&mut self) {
        if let Some(turn) = self.turn.take() {
            turn.read();
        }
    }

    /// Notes how the request ended there.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.finish(outcome);
    }

    pub(crate) fn finish(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let word = match outcome {
            Outcome::Answered(_) => "answered",
            Outcome::Failed => "failed",
            Outcome::Refused => "refused",
            Outcome::Missed => "missed",
            Outcome::Left => "left",
        };
        self.edge.metrics.sent(word);
        self.edge.host.borrow_mut().end(self.edge.now(), &self.ticket, outcome);
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.finish(Outcome::Left);
    }
}

/// A wait for an adapter, which the leader is told of.
pub(crate) struct Waiting(pub(crate) Rc<Edge>, pub(crate) Ask);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.host.borrow_mut().wait_ended(&self.1);
    }
}
