//! HTTP between this host and callers, targets and operators.
//!
//! The servers use `dropshot`, the client uses `hyper` and `hyper-util`. The host implements the
//! traits of [`interface`].

mod answer;
mod connect;
mod credit;
mod entry;
mod error;
pub mod interface;
mod operator;
mod raw_body;
mod request;
mod server;
mod target;

pub use crate::{
    entry::{EntryContext, entry_api},
    operator::{OperatorContext, operator_api},
    server::{ServeError, Server},
    target::TargetClient,
};
