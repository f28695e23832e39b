//! What operators want to be in force: one whole configuration, of which the
//! highest number counts, the newest version of each adapter, and which host
//! gives orders to the targets of each failure domain.
//!
//! A pure state machine: commands are applied in the order of the log.

use std::{collections::BTreeMap, io::Read};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, read::DeflateEncoder};
use serde::{Deserialize, Serialize};
use wire::{DomainId, Fence, HostId, Incarnation, Index};

/// A change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a whole configuration in force unless a higher or equal number is.
    Replace {
        /// Its number.
        number: u64,
        /// The document as the operator sent it, packed by [`pack`].
        body: Bytes,
    },
    /// Names a version of an adapter (`model/adapter`) or of a model.
    Version {
        /// The adapter.
        adapter: String,
        /// The version.
        version: u64,
    },
    /// Makes a host the holder of a failure domain: the one that gives orders to
    /// its targets.
    Hold {
        /// The failure domain.
        domain: DomainId,
        /// The host.
        host: HostId,
        /// Its run.
        run: Incarnation,
    },
    /// A holder has waited as long as it had to, and begins to give orders.
    Begin {
        /// The failure domain.
        domain: DomainId,
        /// The fencing number of its orders.
        fence: Fence,
    },
}

/// The host that gives orders to the targets of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The host.
    pub host: HostId,
    /// Its run.
    pub run: Incarnation,
    /// The fencing number of its orders.
    pub fence: Fence,
    /// Whether another host may have given orders shortly before, so that it has
    /// to wait. A later run of the same host has to, too, if this one did not
    /// begin.
    pub waits: bool,
}

/// The number and the document of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The number; higher ones replace lower ones.
    pub number: u64,
    /// The document as the operator sent it, packed by [`pack`].
    pub body: Bytes,
}

/// Packs a document: routes repeat each other, and every host gets every change.
pub fn pack(document: &[u8]) -> Bytes {
    let mut packed = Vec::new();
    let mut encoder = DeflateEncoder::new(document, Compression::fast());
    encoder.read_to_end(&mut packed).expect("memory can be read");
    packed.into()
}

/// Unpacks a document; none if it was not packed by [`pack`].
pub fn unpack(packed: &[u8]) -> Option<Bytes> {
    let mut document = Vec::new();
    DeflateDecoder::new(packed).read_to_end(&mut document).ok()?;
    Some(document.into())
}

/// What applying a command changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The configuration changed.
    Config,
    /// A version changed.
    Version,
    /// A holder changed.
    Holder,
    /// Nothing: it is in force already, or a later one is.
    Nothing,
}

/// The state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Desired {
    /// The configuration in force.
    pub config: Option<Document>,
    /// The newest versions that were named.
    pub versions: BTreeMap<String, u64>,
    /// The holder of each failure domain.
    pub holders: BTreeMap<DomainId, Holder>,
}

impl Desired {
    /// Applies the command at `index`.
    pub fn apply(&mut self, index: Index, command: Command) -> Applied {
        match command {
            Command::Replace { number, body } => self.replace(number, body),
            Command::Version { adapter, version } => self.name(adapter, version),
            Command::Hold { domain, host, run } => {
                let former = self.holders.get(&domain);
                let waits = former.is_some_and(|it| it.host != host || it.waits);
                self.holders.insert(domain, Holder { host, run, fence: index, waits });
                Applied::Holder
            }
            Command::Begin { domain, fence } => {
                if let Some(holder) = self.holders.get_mut(&domain)
                    && holder.fence == fence
                {
                    holder.waits = false;
                }
                Applied::Nothing
            }
        }
    }

    /// Whether a command would change nothing.
    pub fn is_met(&self, command: &Command) -> bool {
        match command {
            Command::Replace { number, .. } => self.number() >= Some(*number),
            Command::Version { adapter, version } => self.versions.get(adapter) >= Some(version),
            Command::Hold { .. } => false,
            Command::Begin { domain, fence } => {
                !self.holders.get(domain).is_some_and(|it| it.fence == *fence && it.waits)
            }
        }
    }

    /// Returns the number of the configuration in force.
    pub fn number(&self) -> Option<u64> {
        self.config.as_ref().map(|it| it.number)
    }

    fn replace(&mut self, number: u64, body: Bytes) -> Applied {
        if self.number() >= Some(number) {
            return Applied::Nothing;
        }
        self.config = Some(Document { number, body });
        Applied::Config
    }

    fn name(&mut self, adapter: String, version: u64) -> Applied {
        let newest = self.versions.entry(adapter).or_insert(0);
        if *newest >= version {
            return Applied::Nothing;
        }
        *newest = version;
        Applied::Version
    }
}
