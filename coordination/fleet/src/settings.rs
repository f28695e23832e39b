//! Settings of a host.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use wire::{DomainId, HostId};

use crate::Resources;

/// Time limits and quotas that the system guarantees.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time that a process may keep running after it was told to end.
    pub shutdown_grace: Duration,
    /// Time within which hosts obey an acknowledged configuration.
    pub config_deadline: Duration,
    /// Time within which an acknowledged adapter version is in force on all hosts.
    pub version_deadline: Duration,
    /// Minimum time between orders of two different holders to the same target.
    pub lease: Duration,
    /// Allowed retries as a fraction of the number of requests.
    pub retry_ratio: f64,
    /// Window over which requests and retries are counted.
    pub retry_window: Duration,
    /// Retries that all hosts together may make in a window in addition to `retry_ratio`.
    pub retry_allowance: f64,
    /// Window over which loads from the weight store are counted.
    pub load_window: Duration,
    /// Time that a caller may use the entry addresses it was given.
    pub entry_ttl: Duration,
}

/// Settings of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the host in logs.
    pub name: String,
    /// Identifier of the host: the number of its IPv4 address.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Address that accepts callers' requests.
    pub entry: SocketAddr,
    /// Address of the readiness check, if any.
    pub ready: Option<SocketAddr>,
    /// Address for operators' calls and targets' heartbeats, if any.
    pub control: Option<SocketAddr>,
    /// Address of the directory that returns the entry addresses to callers, if any.
    pub directory: Option<SocketAddr>,
    /// Port for messages between hosts.
    pub peer_port: u16,
    /// Port at which this host opens connections to targets for other hosts.
    pub relay_port: u16,
    /// Port of the metrics endpoint.
    pub metrics_port: u16,
    /// Hosts that are contacted to discover the others.
    pub seeds: Vec<HostId>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Folder of the replicated state; `None` on a host without a disk for it.
    pub data_dir: Option<PathBuf>,
    /// Processor time of the host in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory and descriptors of the process.
    pub resources: Resources,
    /// Number of hosts with disks that the system must survive losing at once.
    pub tolerated_losses: usize,
    /// Interval of a target's heartbeats.
    pub heartbeat: Duration,
    /// Time limits and quotas of the system.
    pub bounds: Bounds,
}
