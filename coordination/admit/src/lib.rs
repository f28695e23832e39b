//! Admission limits: a bounded, fair request queue and a retry budget.

mod budget;
mod queue;

pub use crate::{
    budget::RetryBudget,
    queue::{Depth, Lane, Queue, QueueLimits, QueuedRequest, Requirement},
};
