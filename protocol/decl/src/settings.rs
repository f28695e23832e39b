//! Host settings: parsing, defaults and validation.

use std::{net::IpAddr, path::PathBuf, time::Duration};

use wire::HostId;

use crate::{
    FileError,
    document::Document,
    reader::{Checked, Reader},
    value,
};

const HOST: &str = "host";
const HOSTS: &str = "hosts";
const CLUSTER: &str = "cluster";
const TIMING: &str = "timing";
const LIMITS: &str = "limits";
const WEIGHTS: &str = "weights";

/// The sections with their keys. `[hosts]` allows any key: its keys are host numbers.
const SECTIONS: [(&str, &[&str]); 6] = [
    (
        HOST,
        &[
            "id",
            "ip",
            "domain",
            "data_dir",
            "peer_port",
            "entry_port",
            "operator_port",
            "key_file",
            "publish_key_file",
            "log",
            "seed",
        ],
    ),
    (HOSTS, &[]),
    (CLUSTER, &["founders"]),
    (TIMING, &["heartbeat", "election", "lease", "lag", "drain"]),
    (
        LIMITS,
        &[
            "queue",
            "caller_queue",
            "retry_percent",
            "store_rate",
            "store_loads",
            "claim_age",
            "claim_count",
            "snapshot_after",
        ],
    ),
    (WEIGHTS, &["stall", "batch"]),
];

const DEFAULT_PEER_PORT: u16 = 7000;
const DEFAULT_ENTRY_PORT: u16 = 8000;
const DEFAULT_OPERATOR_PORT: u16 = 9000;

/// The least ratio of the election timeout to the heartbeat interval.
const HEARTBEATS_PER_ELECTION: u32 = 3;
/// The least ratio of the lease to the election timeout.
const ELECTIONS_PER_LEASE: u32 = 2;

const MAX_COUNT: u64 = 100_000_000;
const MAX_WEIGHT: f64 = 1000.0;
const MAX_TIME: Duration = Duration::from_secs(3600);
const MAX_CLAIM_AGE: Duration = Duration::from_secs(366 * 86_400);

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// A JSON object for each line.
    Json,
}

/// A host of the system, as listed in `[hosts]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The host's number.
    pub host: HostId,
    /// The host's IP address.
    pub ip: IpAddr,
    /// The host's failure domain.
    pub domain: String,
}

/// Intervals and timeouts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The interval of the leader's heartbeats.
    pub heartbeat: Duration,
    /// The shortest time without a leader before a host starts an election.
    pub election: Duration,
    /// The length of a host's lease.
    pub lease: Duration,
    /// How long a host's configuration may lag before it is granted no more leases.
    pub lag: Duration,
    /// How long a shutdown waits for requests in progress.
    pub drain: Duration,
}

/// Limits of queues, retries, loads and stored data.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// The most requests that wait at a host.
    pub queue: usize,
    /// The most requests of one caller that wait at a host.
    pub caller_queue: usize,
    /// The most retries, in percent of first attempts.
    pub retry_percent: u32,
    /// The most adapter loads from the weight store per second.
    pub store_rate: f64,
    /// The most adapter loads in progress over all targets.
    pub store_loads: usize,
    /// How long the outcomes of non-idempotent calls are kept, counted from the creation of the
    /// key.
    pub claim_age: Duration,
    /// The most outcomes of non-idempotent calls that are kept.
    pub claim_count: usize,
    /// The number of log entries after which a snapshot is taken.
    pub snapshot_after: u64,
}

/// The weights of the placement policy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// The weight of the time that requests wait for adapter loads, from 0.
    pub stall: f64,
    /// The weight of the share of batch slots in use, from 0.
    pub batch: f64,
}

/// The validated settings of a host.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The host's number.
    pub host: HostId,
    /// The host's IP address.
    pub ip: IpAddr,
    /// The host's failure domain.
    pub domain: String,
    /// The data folder; none for a host that never votes.
    pub data_dir: Option<PathBuf>,
    /// The UDP and TCP port for other hosts.
    pub peer_port: u16,
    /// The HTTP port for callers and targets.
    pub entry_port: u16,
    /// The HTTP port for operators and metrics.
    pub operator_port: u16,
    /// The file with the key that the hosts share; none if not set.
    pub key_file: Option<PathBuf>,
    /// The file with the key that authenticates publishes. Without it, anyone who reaches the
    /// operator port may publish.
    pub publish_key_file: Option<PathBuf>,
    /// All hosts of the system, including this one.
    pub peers: Vec<Peer>,
    /// The initial voters of the replication group.
    pub founders: Vec<HostId>,
    /// The intervals and timeouts.
    pub timing: Timing,
    /// The limits of queues, retries, loads and stored data.
    pub limits: Limits,
    /// The weights of the placement policy.
    pub weights: Weights,
    /// The format of log lines.
    pub log: LogFormat,
    /// The seed of the host's random number generator; by default the host's number.
    pub seed: u64,
}

impl Settings {
    /// Parses settings. On failure, returns all mistakes that were found, not just the first.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<FileError>> {
        let document = Document::parse(file, text)?;
        let mut reader = Reader::new(&document);
        check_names(&mut reader);
        let settings = read(&mut reader);
        if let Some(settings) = &settings {
            check_hosts(&mut reader, settings);
            check_limits(&mut reader, settings);
        }
        reader.finish(settings)
    }
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(600),
            lease: Duration::from_secs(3),
            lag: Duration::from_secs(5),
            drain: Duration::from_secs(30),
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            queue: 512,
            caller_queue: 128,
            retry_percent: 10,
            store_rate: 3.0,
            store_loads: 8,
            claim_age: Duration::from_secs(86_400),
            claim_count: 100_000,
            snapshot_after: 4096,
        }
    }
}

impl Default for Weights {
    fn default() -> Weights {
        Weights { stall: 1.0, batch: 1.0 }
    }
}

/// Reports unknown sections and keys.
fn check_names(reader: &mut Reader<'_>) {
    for section in &reader.document.sections {
        let known = SECTIONS.iter().find(|it| it.0 == section.name);
        let Some((name, keys)) = known else {
            let allowed = SECTIONS.map(|it| it.0).join("], [");
            let message = format!("unknown section; allowed: [{allowed}]");
            reader.report(&section.name, "", message);
            continue;
        };
        if *name != HOSTS {
            reader.check_keys(section, keys);
        }
    }
}

fn read(reader: &mut Reader<'_>) -> Option<Settings> {
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    let host = reader.required(HOST, "id", value::host);
    let ip = reader.required(HOST, "ip", value::ip);
    let domain = reader.required(HOST, "domain", value::name);
    let data_dir = reader.optional(HOST, "data_dir", value::file);
    let peer_port = reader.with_default(HOST, "peer_port", DEFAULT_PEER_PORT, value::port);
    let entry_port = reader.with_default(HOST, "entry_port", DEFAULT_ENTRY_PORT, value::port);
    let operator_port =
        reader.with_default(HOST, "operator_port", DEFAULT_OPERATOR_PORT, value::port);
    let key_file = reader.optional(HOST, "key_file", value::file);
    let publish_key_file = reader.optional(HOST, "publish_key_file", value::file);
    let log = reader.with_default(HOST, "log", LogFormat::Text, value::choice(&formats));
    let seed = reader.optional(HOST, "seed", value::integer(0..=u64::MAX));
    let peers = read_peers(reader);
    let founders = reader.required(CLUSTER, "founders", |it| value::list(it, value::host));
    let timing = read_timing(reader);
    let limits = read_limits(reader);
    let weights = read_weights(reader);
    let host = host?;
    Some(Settings {
        host,
        ip: ip?,
        domain: domain?,
        data_dir,
        peer_port,
        entry_port,
        operator_port,
        key_file,
        publish_key_file,
        peers,
        founders: founders?,
        timing,
        limits,
        weights,
        log,
        seed: seed.unwrap_or(u64::from(host)),
    })
}

fn read_peers(reader: &mut Reader<'_>) -> Vec<Peer> {
    let mut peers = Vec::new();
    let keys = reader.document.section(HOSTS).map_or(&[][..], |it| &it.keys);
    if keys.is_empty() {
        reader.report(HOSTS, "", "no host; allowed: one line `NUMBER = IP DOMAIN` for each host");
    }
    for key in keys {
        let host = match value::host(&key.name) {
            Ok(host) => Some(host),
            Err(message) => {
                reader.report(HOSTS, &key.name, message);
                None
            }
        };
        let address = reader.check(HOSTS, key, host_address);
        let (Some(host), Some((ip, domain))) = (host, address) else {
            continue;
        };
        peers.push(Peer { host, ip, domain });
    }
    peers
}

/// Checks the value of a key in `[hosts]`, `IP DOMAIN`.
fn host_address(text: &str) -> Checked<(IpAddr, String)> {
    let mut words = text.split_whitespace();
    let (Some(ip), Some(domain), None) = (words.next(), words.next(), words.next()) else {
        return Err(format!("`{text}` is not allowed; allowed: `IP DOMAIN`"));
    };
    Ok((value::ip(ip)?, value::name(domain)?))
}

fn read_timing(reader: &mut Reader<'_>) -> Timing {
    let default = Timing::default();
    let mut duration = |field, default| {
        let limits = value::duration(Duration::from_millis(1)..=MAX_TIME);
        reader.with_default(TIMING, field, default, limits)
    };
    Timing {
        heartbeat: duration("heartbeat", default.heartbeat),
        election: duration("election", default.election),
        lease: duration("lease", default.lease),
        lag: duration("lag", default.lag),
        drain: duration("drain", default.drain),
    }
}

fn read_limits(reader: &mut Reader<'_>) -> Limits {
    let default = Limits::default();
    let percent = value::integer(0..=100);
    let age = value::duration(Duration::from_secs(1)..=MAX_CLAIM_AGE);
    Limits {
        queue: reader.with_default(LIMITS, "queue", default.queue, value::count(1..=MAX_COUNT)),
        caller_queue: reader.with_default(
            LIMITS,
            "caller_queue",
            default.caller_queue,
            value::count(1..=MAX_COUNT),
        ),
        retry_percent: reader.with_default(
            LIMITS,
            "retry_percent",
            u64::from(default.retry_percent),
            percent,
        ) as u32,
        store_rate: reader.with_default(
            LIMITS,
            "store_rate",
            default.store_rate,
            value::decimal(0.001..=1_000_000.0),
        ),
        store_loads: reader.with_default(
            LIMITS,
            "store_loads",
            default.store_loads,
            value::count(1..=MAX_COUNT),
        ),
        claim_age: reader.with_default(LIMITS, "claim_age", default.claim_age, age),
        claim_count: reader.with_default(
            LIMITS,
            "claim_count",
            default.claim_count,
            value::count(1..=MAX_COUNT),
        ),
        snapshot_after: reader.with_default(
            LIMITS,
            "snapshot_after",
            default.snapshot_after,
            value::integer(1..=MAX_COUNT),
        ),
    }
}

fn read_weights(reader: &mut Reader<'_>) -> Weights {
    let default = Weights::default();
    let stall =
        reader.with_default(WEIGHTS, "stall", default.stall, value::decimal(0.0..=MAX_WEIGHT));
    let batch =
        reader.with_default(WEIGHTS, "batch", default.batch, value::decimal(0.0..=MAX_WEIGHT));
    Weights { stall, batch }
}

/// Checks `[host]` and the founders against `[hosts]`.
fn check_hosts(reader: &mut Reader<'_>, settings: &Settings) {
    let id = settings.host;
    let own = settings.peers.iter().find(|it| it.host == id);
    match own {
        None => reader.report(HOST, "id", format!("host {id} is not in [hosts]; add it there")),
        Some(own) => {
            if own.ip != settings.ip {
                let message = format!("[hosts] gives host {id} the IP address {}", own.ip);
                reader.report(HOST, "ip", message);
            }
            if own.domain != settings.domain {
                let message = format!("[hosts] gives host {id} the domain {}", own.domain);
                reader.report(HOST, "domain", message);
            }
        }
    }
    for (i, peer) in settings.peers.iter().enumerate() {
        let same = settings.peers[..i].iter().find(|it| it.ip == peer.ip || it.host == peer.host);
        let Some(same) = same else {
            continue;
        };
        let message = format!("has the same number or IP address as host {}", same.host);
        reader.report(HOSTS, &peer.host.to_string(), message);
    }
    for founder in &settings.founders {
        if settings.peers.iter().any(|it| it.host == *founder) {
            continue;
        }
        let message = format!("host {founder} is not in [hosts]");
        reader.report(CLUSTER, "founders", message);
    }
    if settings.founders.contains(&id) && settings.data_dir.is_none() {
        reader.report(HOST, "data_dir", "a founder needs a data folder; the key is missing");
    }
}

/// Checks that durations, limits and ports are consistent with each other.
fn check_limits(reader: &mut Reader<'_>, settings: &Settings) {
    let timing = &settings.timing;
    let min_election = timing.heartbeat * HEARTBEATS_PER_ELECTION;
    if timing.election < min_election {
        let message = format!(
            "{:?} is too short; allowed: at least {HEARTBEATS_PER_ELECTION} heartbeats, {min_election:?}",
            timing.election
        );
        reader.report(TIMING, "election", message);
    }
    let min_lease = timing.election * ELECTIONS_PER_LEASE;
    if timing.lease < min_lease {
        let message = format!(
            "{:?} is too short; allowed: at least {ELECTIONS_PER_LEASE} times election, {min_lease:?}",
            timing.lease
        );
        reader.report(TIMING, "lease", message);
    }
    if timing.lag < timing.heartbeat {
        let message = format!("too short; allowed: at least heartbeat, {:?}", timing.heartbeat);
        reader.report(TIMING, "lag", message);
    }
    if settings.limits.caller_queue > settings.limits.queue {
        let message = format!("too large; allowed: at most queue, {}", settings.limits.queue);
        reader.report(LIMITS, "caller_queue", message);
    }
    let ports = [
        ("peer_port", settings.peer_port),
        ("entry_port", settings.entry_port),
        ("operator_port", settings.operator_port),
    ];
    for (i, (field, port)) in ports.iter().enumerate() {
        let same = ports[..i].iter().find(|it| it.1 == *port);
        if let Some((other, _)) = same {
            reader.report(
                HOST,
                field,
                format!("{port} is also the {other}; the ports must differ"),
            );
        }
    }
}
