//! The configuration in force and the audit trail of its changes.
//!
//! Both are replicated state: every host applies the same publishes in the same order.

mod audit;
mod config;
mod export;
mod history;
mod publish;

pub use crate::{
    audit::{Change, Entry, Hash, TrailError, digest, verify, verify_head},
    config::{AdapterInfo, Config, ServiceInfo},
    export::{from_api, from_hex, to_api, to_hex},
    history::{History, Receipt},
    publish::{MAX_FILES, MAX_LABEL_BYTES},
};
