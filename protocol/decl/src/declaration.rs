//! Declarations of services.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use wire::{HostId, Urgency};

use crate::FileError;

/// What a service's requests go to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// Engines with the base model; adapters with their versions.
    Model {
        /// The base model.
        model: String,
        /// Adapters with the versions in use.
        adapters: BTreeMap<String, Vec<String>>,
    },
    /// A plain service.
    Plain,
    /// The system itself: names the voters.
    System {
        /// The hosts that vote.
        voters: Vec<HostId>,
    },
}

/// A call of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The call's name.
    pub name: String,
    /// Its path at the target.
    pub path: String,
    /// How soon its requests must be served.
    pub urgency: Urgency,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Its deadline if the caller gives none.
    pub deadline: Duration,
}

/// A declaration file's content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declaration {
    /// The service.
    pub service: String,
    /// Its version.
    pub version: u64,
    /// What its requests go to.
    pub kind: ServiceKind,
    /// Its calls by name.
    pub calls: BTreeMap<String, Call>,
}

impl Declaration {
    /// Reads a declaration. All mistakes are reported, not just the first.
    pub fn parse(file: &str, text: &str) -> Result<Declaration, Vec<FileError>> {
        let _ = (file, text);
        todo!()
    }
}
