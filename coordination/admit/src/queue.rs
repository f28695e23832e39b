//! Requests that wait at an owner.

use std::time::Duration;

use wire::{CallerId, ErrorKind, Pin, RequestId, Urgency};

/// Bounds of a queue.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Requests that may wait.
    pub total: usize,
    /// Requests of one caller that may wait.
    pub caller: usize,
}

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The request attempt.
    pub request: RequestId,
    /// What it is bound to.
    pub pin: Pin,
    /// Its caller.
    pub caller: CallerId,
    /// How soon it must be served.
    pub urgency: Urgency,
    /// Since when it waits.
    pub since: Duration,
    /// When its answer must have started.
    pub deadline: Duration,
    /// Hash of the prompt's prefix, zero for none.
    pub prefix: u64,
    /// Whether it must run alone on its target: it has a strike.
    pub alone: bool,
}

/// Waiting requests by deadline and urgency, fair between callers.
#[derive(Debug)]
pub struct Queue {
    _bounds: Bounds,
}

impl Queue {
    /// An empty queue.
    pub fn new(bounds: Bounds) -> Queue {
        Queue { _bounds: bounds }
    }

    /// Adds a request, or says why it is refused.
    pub fn push(&mut self, now: Duration, waiting: Waiting) -> Result<(), ErrorKind> {
        let _ = (now, waiting);
        todo!()
    }
}
