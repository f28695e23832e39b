//! Settings of a host.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use wire::{DomainId, HostId};

/// What is promised, and within which time.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// How long a process may run on after it was told to end.
    pub grace: Duration,
    /// How soon an acknowledged adapter version is in force everywhere.
    pub version: Duration,
    /// Least time between orders of two holders to one target.
    pub lease: Duration,
    /// Sends beyond the first of each request, as a share of the requests.
    pub retry_ratio: f64,
    /// The span over which sends are counted.
    pub retry_window: Duration,
    /// Sends beyond that share that all hosts together may make in a span.
    pub retry_allowance: f64,
    /// The span over which loads from the weight store are counted.
    pub load_window: Duration,
    /// How long a caller may use the addresses that it was given.
    pub entry_ttl: Duration,
}

/// One host's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The host's name in logs.
    pub name: String,
    /// Its number, which is that of its IPv4 address.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where it takes callers' requests.
    pub entry: SocketAddr,
    /// Where it tells whether it is ready.
    pub ready: Option<SocketAddr>,
    /// Where it takes operators' calls and targets' reports.
    pub control: Option<SocketAddr>,
    /// Where it tells callers which entries to use.
    pub directory: Option<SocketAddr>,
    /// The port between hosts.
    pub peer_port: u16,
    /// The port of the metrics.
    pub metrics_port: u16,
    /// Hosts to ask for the others.
    pub seeds: Vec<HostId>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// The folder of the replicated state, if the host has a disk.
    pub data_dir: Option<PathBuf>,
    /// Its processor time in thousandths of a core.
    pub power: u32,
    /// Hosts with a disk that may be lost at once.
    pub tolerated: usize,
    /// Time between a target's heartbeats.
    pub beat: Duration,
    /// The bounds.
    pub bounds: Bounds,
}
