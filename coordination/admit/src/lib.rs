//! Limits: bounded fair queues, retry budgets, early refusal.

mod budget;
mod queue;

pub use crate::{
    budget::Budget,
    queue::{Bounds, Depth, Lane, Need, Queue, Waiting},
};
