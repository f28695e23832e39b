//! Parsing and validation of service declarations and host settings, both INI files.

mod declaration;
mod detect;
mod document;
mod error;
mod reader;
mod settings;
mod value;

pub use crate::{
    declaration::{Call, Declaration, SYSTEM_SERVICE, ServiceKind},
    detect::FileKind,
    error::FileError,
    settings::{Limits, LogFormat, Peer, Settings, Timing, Weights},
};
