//! Admission limits: a bounded, fair request queue, a retry budget, and the memory of requests' bodies.

mod body_memory;
mod budget;
mod queue;

pub use crate::{
    body_memory::{BodyId, BodyMemory, NoMemory, PROGRESS_BYTES},
    budget::RetryBudget,
    queue::{Depth, Lane, Queue, QueueLimits, QueuedRequest, Requirement},
};
