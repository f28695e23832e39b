//! Admission limits: a bounded, fair request queue and a retry budget.

mod budget;
mod queue;

pub use crate::{
    budget::Budget,
    queue::{Bounds, Depth, Lane, Need, Queue, Waiting},
};
