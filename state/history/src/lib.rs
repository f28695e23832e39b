//! The configuration in force and the audit trail of its changes.
//! Replicated state: every host applies the same publishes in the same order.

mod audit;
mod config;

pub use crate::{
    audit::{Break, Change, Entry, Hash, digest, verify},
    config::{AdapterInfo, Config, History, Receipt, ServiceInfo},
};
