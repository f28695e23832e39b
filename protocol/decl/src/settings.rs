//! Settings of a host.

use std::{net::IpAddr, path::PathBuf, time::Duration};

use wire::HostId;

use crate::FileError;

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// A host of the system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its number.
    pub host: HostId,
    /// Its address.
    pub ip: IpAddr,
    /// Its failure domain.
    pub domain: String,
}

/// Time limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Shortest time without a leader before an election.
    pub election: Duration,
    /// Length of a host's lease.
    pub lease: Duration,
    /// Time after which a host whose configuration lags gets no lease.
    pub lag: Duration,
    /// Time a shutdown waits for requests in progress.
    pub drain: Duration,
}

/// Sizes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Requests that may wait at a host.
    pub queue: usize,
    /// Requests of one caller that may wait at a host.
    pub caller_queue: usize,
    /// Retries as a share of first attempts, in percent.
    pub retry_percent: u32,
    /// Loads the weight store allows per second.
    pub store_rate: f64,
    /// Loads in flight over all targets.
    pub store_loads: usize,
    /// How long outcomes of non-idempotent calls are kept.
    pub claim_age: Duration,
    /// How many are kept.
    pub claim_count: usize,
    /// Entries after which a snapshot is taken.
    pub snapshot_after: u64,
}

/// What a deployment weighs more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// Weight of load stalls.
    pub stall: f64,
    /// Weight of batch fullness.
    pub batch: f64,
}

/// A host's settings, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The host's number.
    pub host: HostId,
    /// Its address.
    pub ip: IpAddr,
    /// Its failure domain.
    pub domain: String,
    /// Its data folder, if it is a voter.
    pub data_dir: Option<PathBuf>,
    /// Port for other hosts, UDP and TCP.
    pub peer_port: u16,
    /// Port for callers and targets.
    pub entry_port: u16,
    /// Port for operators and metrics.
    pub operator_port: u16,
    /// File with the key that hosts share.
    pub key_file: Option<PathBuf>,
    /// All hosts of the system, this one included.
    pub peers: Vec<Peer>,
    /// The hosts that found the replication group.
    pub founders: Vec<HostId>,
    /// Time limits.
    pub timing: Timing,
    /// Sizes.
    pub limits: Limits,
    /// Weights of the policy.
    pub weights: Weights,
    /// How log lines are written.
    pub log: LogFormat,
    /// Seed of the host's random choices.
    pub seed: u64,
}

impl Settings {
    /// Reads settings. All mistakes are reported, not just the first.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<FileError>> {
        let _ = (file, text);
        todo!()
    }
}
