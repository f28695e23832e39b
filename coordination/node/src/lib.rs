//! One host of the system as a pure state machine: it is given inputs and the current time, and
//! returns outputs. The daemon runs a [`Node`] in a loop; tests run several in one process.

mod answer;
mod attempt;
mod dedup;
mod digest;
mod effect;
mod entry;
mod failure;
mod io;
mod leases;
mod lifecycle;
mod machine;
mod messages;
mod node;
mod orders;
mod owner;
mod ownership;
mod pin;
mod publisher;
mod replicated;
mod request;
mod stats;
mod status;
mod target;
mod view;

pub use crate::{
    io::{
        Call, CallFailure, CallerRequest, Input, Order, OrderResult, Output, Published, Start,
        StateChange, Tag,
    },
    node::Node,
};
