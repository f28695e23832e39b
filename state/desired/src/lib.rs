//! The desired state of the users' machines: the configuration with the highest number, the
//! newest version of each adapter, the holder of each failure domain, and the targets that have left.
//!
//! The holder of a failure domain is the host that may send load and unload orders to the
//! targets there. The state is replicated: every host applies the same commands in log order.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::Read,
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, read::DeflateEncoder};
use serde::{Deserialize, Serialize};
use wire::{
    DecodeError, DomainId, Fence, HostId, Incarnation, Index, SoftwareHash, Suspect, decode_state,
};

/// Maximum number of quarantined suspects; the one that was quarantined first is dropped first.
pub const MAX_QUARANTINED: usize = 1024;

/// Maximum number of departures; the earliest is dropped first.
pub const MAX_DEPARTURES: usize = 4096;

/// A change of the desired state. The log stores the number of the variant, so new ones come last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a whole configuration in force, unless one with the same or a higher number is.
    Replace {
        /// The configuration's number.
        number: u64,
        /// The configuration as the operator sent it, compressed by [`pack`].
        body: Bytes,
    },
    /// Sets the version of an adapter (`model/adapter`) or of a model, unless the same or a
    /// higher version is set.
    Version {
        /// The adapter or model.
        adapter: String,
        /// The version.
        version: u64,
    },
    /// Makes a host the holder of a failure domain.
    AssignHolder {
        /// The failure domain.
        domain: DomainId,
        /// The host.
        host: HostId,
        /// The host's incarnation.
        incarnation: Incarnation,
    },
    /// Records that a holder's wait is over and it has begun to send orders.
    StartOrders {
        /// The failure domain.
        domain: DomainId,
        /// The fencing number of the holder's orders.
        fence: Fence,
    },
    /// Quarantines a suspect: requests with it are refused but for trials.
    Quarantine {
        /// The suspect.
        suspect: Suspect,
        /// Number of trials that crashed their target.
        failed_trials: u16,
    },
    /// Ends the quarantine of a suspect.
    Release {
        /// The suspect.
        suspect: Suspect,
    },
    /// Sets the default software version of a service's targets.
    SetSoftware {
        /// The service.
        service: String,
        /// The version.
        software: DefaultSoftware,
    },
    /// Changes the list of the hosts that obey the configuration in force.
    ListHosts {
        /// Hosts to add.
        added: Vec<HostId>,
        /// Hosts to drop.
        dropped: Vec<HostId>,
    },
    /// Records that a target's process takes no more requests, nor do those before it under its name.
    Depart {
        /// Name of the target.
        target: String,
        /// When the process started, in milliseconds since the Unix epoch.
        started_at: u64,
    },
    /// Drops the departures that were recorded up to a log index.
    DropDepartures {
        /// The log index.
        up_to: Index,
    },
}

/// The default software version of a service's targets: streams without a record began at it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DefaultSoftware {
    /// The version.
    pub default: SoftwareHash,
    /// Whether streams of this version are recorded too.
    pub records_all: bool,
}

/// A suspect's entry in the desired state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// Number of trials that crashed their target.
    pub failed_trials: u16,
    /// Log index of the command that set it.
    pub index: Index,
}

/// The host that may send orders to the targets of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The host.
    pub host: HostId,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// The fencing number of its orders: the log index of the command that made it the holder.
    pub fence: Fence,
    /// Whether the holder has to wait before it sends orders, because another host may have
    /// sent some shortly before. A later incarnation of the same host has to wait too if this
    /// one has not begun.
    pub must_wait: bool,
}

/// The last process of a target that is known to take no more requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// When the process started, in milliseconds since the Unix epoch.
    pub started_at: u64,
    /// Log index of the command that recorded it.
    pub index: Index,
}

/// A configuration with its number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The number; a configuration replaces those with lower numbers.
    pub number: u64,
    /// The configuration as the operator sent it, compressed by [`pack`].
    pub body: Bytes,
}

/// Compresses the text of a configuration with DEFLATE: its routes resemble each other, and every
/// host receives every change.
pub fn pack(text: &[u8]) -> Bytes {
    let mut packed = Vec::new();
    let mut encoder = DeflateEncoder::new(text, Compression::fast());
    encoder.read_to_end(&mut packed).expect("memory can be read");
    packed.into()
}

/// Decompresses the text of a configuration; `None` if it was not compressed by [`pack`].
pub fn unpack(packed: &[u8]) -> Option<Bytes> {
    let mut text = Vec::new();
    DeflateDecoder::new(packed).read_to_end(&mut text).ok()?;
    Some(text.into())
}

/// Drops the entry with the lowest log index from a table that has more than `max` entries.
fn drop_earliest<K: Ord + Clone, V>(
    table: &mut BTreeMap<K, V>,
    max: usize,
    index: impl Fn(&V) -> Index,
) {
    if table.len() <= max {
        return;
    }
    let earliest = table.iter().min_by_key(|(_, it)| index(it)).map(|(key, _)| key.clone());
    if let Some(earliest) = earliest {
        table.remove(&earliest);
    }
}

/// What applying a command changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The configuration was replaced.
    Config,
    /// A version was raised.
    Version,
    /// A failure domain has a new holder or fencing number.
    Holder,
    /// A suspect was quarantined.
    Quarantine,
    /// A service has another default software version, or other records.
    Software,
    /// The list of hosts has changed.
    Hosts,
    /// A target's process takes no more requests.
    Departure,
    /// Nothing changed: the same or a higher number or version is in force, or the command only
    /// marks a holder as begun.
    Unchanged,
}

/// The desired state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Desired {
    /// The configuration in force; `None` before the first one.
    pub config: Option<Document>,
    /// The highest version of each adapter (`model/adapter`) and model.
    pub versions: BTreeMap<String, u64>,
    /// The holder of each failure domain.
    pub holders: BTreeMap<DomainId, Holder>,
    /// The quarantined suspects.
    pub quarantined: BTreeMap<Suspect, Quarantined>,
    /// The default software version of each service's targets.
    pub software: BTreeMap<String, DefaultSoftware>,
    /// The hosts that obey the configuration in force, for leaders that have just started. Empty
    /// before a leader has listed them.
    pub hosts: BTreeSet<HostId>,
    /// The targets that have left lately. Heartbeats that they sent before may still arrive.
    pub departures: BTreeMap<String, Departure>,
}

/// The desired state as the first release stored it. Later ones added tables at the end.
#[derive(Deserialize)]
struct FirstState {
    config: Option<Document>,
    versions: BTreeMap<String, u64>,
    holders: BTreeMap<DomainId, Holder>,
}

/// The desired state as it was stored before it had software versions.
#[derive(Deserialize)]
struct WithoutSoftware {
    first: FirstState,
    quarantined: BTreeMap<Suspect, Quarantined>,
}

/// The desired state as it was stored before it had a list of hosts.
#[derive(Deserialize)]
struct WithoutHosts {
    former: WithoutSoftware,
    software: BTreeMap<String, DefaultSoftware>,
}

/// The desired state as it was stored before it had departures.
#[derive(Deserialize)]
struct WithoutDepartures {
    former: WithoutHosts,
    hosts: BTreeSet<HostId>,
}

impl From<FirstState> for Desired {
    fn from(FirstState { config, versions, holders }: FirstState) -> Desired {
        Desired { config, versions, holders, ..Desired::default() }
    }
}

impl From<WithoutSoftware> for Desired {
    fn from(WithoutSoftware { first, quarantined }: WithoutSoftware) -> Desired {
        Desired { quarantined, ..first.into() }
    }
}

impl From<WithoutHosts> for Desired {
    fn from(WithoutHosts { former, software }: WithoutHosts) -> Desired {
        Desired { software, ..former.into() }
    }
}

impl From<WithoutDepartures> for Desired {
    fn from(WithoutDepartures { former, hosts }: WithoutDepartures) -> Desired {
        Desired { hosts, ..former.into() }
    }
}

impl Desired {
    /// Decodes a stored state, also one of a release without quarantined suspects, software versions,
    /// a list of hosts or departures.
    ///
    /// # Errors
    ///
    /// If the bytes are neither.
    pub fn decode(bytes: &[u8]) -> Result<Desired, DecodeError> {
        decode_state(bytes).or_else(|error| {
            let former = decode_state::<WithoutDepartures>(bytes).map(Desired::from);
            let former = former.or_else(|_| decode_state::<WithoutHosts>(bytes).map(Desired::from));
            let former =
                former.or_else(|_| decode_state::<WithoutSoftware>(bytes).map(Desired::from));
            let former = former.or_else(|_| decode_state::<FirstState>(bytes).map(Desired::from));
            former.map_err(|_| error)
        })
    }

    /// Applies the command at log index `index`.
    pub fn apply(&mut self, index: Index, command: Command) -> Applied {
        match command {
            Command::Replace { number, body } => self.replace(number, body),
            Command::Version { adapter, version } => self.set_version(adapter, version),
            Command::AssignHolder { domain, host, incarnation } => {
                let previous = self.holders.get(&domain);
                let must_wait = previous.is_some_and(|it| it.host != host || it.must_wait);
                self.holders.insert(domain, Holder { host, incarnation, fence: index, must_wait });
                Applied::Holder
            }
            Command::StartOrders { domain, fence } => {
                if let Some(holder) = self.holders.get_mut(&domain)
                    && holder.fence == fence
                {
                    holder.must_wait = false;
                }
                Applied::Unchanged
            }
            Command::Quarantine { suspect, failed_trials } => {
                self.quarantine(index, suspect, failed_trials)
            }
            Command::SetSoftware { service, software } => {
                if self.software.insert(service, software) == Some(software) {
                    return Applied::Unchanged;
                }
                Applied::Software
            }
            Command::Release { suspect } => {
                self.quarantined.remove(&suspect);
                Applied::Unchanged
            }
            Command::ListHosts { added, dropped } => {
                self.hosts.extend(added);
                for host in dropped {
                    self.hosts.remove(&host);
                }
                Applied::Hosts
            }
            Command::Depart { target, started_at } => self.depart(index, target, started_at),
            Command::DropDepartures { up_to } => {
                self.departures.retain(|_, it| it.index > up_to);
                Applied::Unchanged
            }
        }
    }

    /// Returns whether applying a command would change nothing.
    pub fn is_redundant(&self, command: &Command) -> bool {
        match command {
            Command::Replace { number, .. } => self.number() >= Some(*number),
            Command::Version { adapter, version } => self.versions.get(adapter) >= Some(version),
            Command::AssignHolder { .. } => false,
            Command::StartOrders { domain, fence } => {
                !self.holders.get(domain).is_some_and(|it| it.fence == *fence && it.must_wait)
            }
            Command::Quarantine { suspect, failed_trials } => {
                let known = self.quarantined.get(suspect);
                known.is_some_and(|it| it.failed_trials >= *failed_trials)
            }
            Command::SetSoftware { service, software } => {
                self.software.get(service) == Some(software)
            }
            Command::Release { suspect } => !self.quarantined.contains_key(suspect),
            Command::ListHosts { added, dropped } => {
                added.iter().all(|it| self.hosts.contains(it))
                    && !dropped.iter().any(|it| self.hosts.contains(it))
            }
            Command::Depart { target, started_at } => {
                self.departures.get(target).is_some_and(|it| it.started_at >= *started_at)
            }
            Command::DropDepartures { up_to } => {
                !self.departures.values().any(|it| it.index <= *up_to)
            }
        }
    }

    /// Returns the number of the configuration in force; `None` before the first one.
    pub fn number(&self) -> Option<u64> {
        self.config.as_ref().map(|it| it.number)
    }

    fn quarantine(&mut self, index: Index, suspect: Suspect, failed_trials: u16) -> Applied {
        let known = self.quarantined.get(&suspect);
        if known.is_some_and(|it| it.failed_trials >= failed_trials) {
            return Applied::Unchanged;
        }
        self.quarantined.insert(suspect, Quarantined { failed_trials, index });
        drop_earliest(&mut self.quarantined, MAX_QUARANTINED, |it| it.index);
        Applied::Quarantine
    }

    fn depart(&mut self, index: Index, target: String, started_at: u64) -> Applied {
        if self.departures.get(&target).is_some_and(|it| it.started_at >= started_at) {
            return Applied::Unchanged;
        }
        self.departures.insert(target, Departure { started_at, index });
        drop_earliest(&mut self.departures, MAX_DEPARTURES, |it| it.index);
        Applied::Departure
    }

    fn replace(&mut self, number: u64, body: Bytes) -> Applied {
        if self.number() >= Some(number) {
            return Applied::Unchanged;
        }
        self.config = Some(Document { number, body });
        Applied::Config
    }

    fn set_version(&mut self, adapter: String, version: u64) -> Applied {
        let newest = self.versions.entry(adapter).or_insert(0);
        if *newest >= version {
            return Applied::Unchanged;
        }
        *newest = version;
        Applied::Version
    }
}
