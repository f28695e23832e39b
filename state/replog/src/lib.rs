//! The replicated log of one group: election, replication, snapshots and
//! membership. A pure state machine: inputs and the present time go in,
//! outputs come out. Files are written by whoever runs it.

mod change;
mod disk;
mod elect;
mod follow;
mod found;
mod group;
mod io;
mod lead;
mod log;
mod peer;
mod queue;
mod replica;

pub use crate::{
    disk::{HardState, Op, Recovered, Write},
    io::{Alarm, Input, Output, Settings, Status},
    replica::Replica,
};
