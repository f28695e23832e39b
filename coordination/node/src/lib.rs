//! A whole host as one pure state machine: inputs and the present time go in,
//! outputs come out. The daemon is a loop around [`Node`]; tests hold several
//! in one process.

mod io;
mod node;

pub use crate::{
    io::{
        Call, CallFailure, Caller, Change, Input, Order, OrderResult, Output, Published, Start, Tag,
    },
    node::Node,
};
