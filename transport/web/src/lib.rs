//! HTTP towards callers, targets and operators.
//!
//! The servers run on `dropshot`, the client on `hyper-util`. What stands
//! behind them is reached through the traits of [`border`].

mod answer;
pub mod border;
mod connect;
mod credit;
mod entry;
mod error;
mod operator;
mod request;
mod server;
mod target;
mod unread;

pub use crate::{
    entry::{EntryContext, entry_api},
    operator::operator_api,
    server::{ServeError, Server},
    target::Targets,
};
