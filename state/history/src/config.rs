//! The configuration in force.

use std::{collections::BTreeMap, sync::Arc};

use decl::Declaration;
use serde::{Deserialize, Serialize};
use wire::{AdapterId, Fault, HostId, Index, Publish, Revision};

use crate::{Entry, Hash};

/// A service in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceInfo {
    /// Its declaration.
    pub declaration: Declaration,
    /// Digest of its file.
    pub digest: Hash,
    /// The log index that brought it into force.
    pub index: Index,
}

/// An adapter version that was ever in force. Its number is never reused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterInfo {
    /// Its number.
    pub id: AdapterId,
    /// `model@adapter@version`.
    pub name: String,
    /// Whether a declaration in force names it.
    pub declared: bool,
}

/// The configuration in force at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The log index of the last accepted change.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<String, ServiceInfo>,
    /// Adapter versions by full name.
    pub adapters: BTreeMap<String, AdapterInfo>,
    /// Full names by number.
    pub names: Vec<String>,
    /// The hosts that should vote; empty while no declaration names them.
    pub voters: Vec<HostId>,
}

/// Confirms an accepted publish; a resend gets the same.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The log index of the change, on a resend the highest of its services.
    pub index: Index,
    /// The audit sequence at that change.
    pub sequence: u64,
    /// The audit hash at that change.
    pub head: Hash,
    /// Each service with its version and file digest, in order of names.
    pub services: Vec<(String, u64, Hash)>,
}

/// The replicated configuration with its audit trail.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct History {
    config: Arc<Config>,
    entries: Vec<Entry>,
}

impl History {
    /// Applies a publish at a log index. `at` is in milliseconds since the epoch.
    pub fn apply(&mut self, index: Index, at: u64, publish: &Publish) -> Result<Receipt, Fault> {
        let _ = (index, at, publish);
        todo!()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the audit entries from a sequence on.
    pub fn entries(&self, from: u64) -> &[Entry] {
        let _ = from;
        &self.entries
    }

    /// Returns the newest sequence and its hash.
    pub fn head(&self) -> (u64, Hash) {
        todo!()
    }
}
