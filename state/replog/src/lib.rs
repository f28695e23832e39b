//! The replicated log of one group: elections, replication, snapshots and membership changes.
//!
//! A [`Replica`] is a pure state machine: it receives inputs with the current time and returns
//! outputs. The caller sends the messages and writes the files.

mod change;
mod disk;
mod elect;
mod follow;
mod founding;
mod group;
mod install;
mod io;
mod lead;
mod log;
mod peer;
mod queue;
mod replica;

pub use crate::{
    disk::{HardState, Op, Recovered, Write},
    io::{Alarm, Input, Output, Progress, Settings, Status},
    replica::Replica,
};
