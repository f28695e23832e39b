//! A whole host as one pure state machine: inputs and the present time go in,
//! outputs come out. The daemon is a loop around [`Node`]; tests hold several
//! in one process.

mod answer;
mod attempt;
mod core;
mod desk;
mod digest;
mod effect;
mod entry;
mod failure;
mod heard;
mod held;
mod io;
mod life;
mod machine;
mod member;
mod node;
mod orders;
mod owner;
mod ownership;
mod pin;
mod request;
mod stats;
mod status;
mod view;

pub use crate::{
    io::{
        Call, CallFailure, Caller, Change, Input, Order, OrderResult, Output, Published, Start, Tag,
    },
    node::Node,
};
