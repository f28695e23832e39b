//! Declaration and settings files.

mod declaration;
mod error;
mod settings;

pub use crate::{
    declaration::{Call, Declaration, ServiceKind},
    error::FileError,
    settings::{Limits, LogFormat, Peer, Settings, Timing, Weights},
};
