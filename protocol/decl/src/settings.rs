//! Settings of a host.

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

/// Sections with their keys; any key may stand in `[hosts]`.
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

/// Heartbeats that must fit in the time before an election.
const HEARTBEATS_PER_ELECTION: u32 = 3;
/// Elections that must fit in a lease.
const ELECTIONS_PER_LEASE: u32 = 2;

const MAX_COUNT: u64 = 100_000_000;
const MAX_WEIGHT: f64 = 1000.0;
const MAX_TIME: Duration = Duration::from_secs(3600);
const MAX_CLAIM_AGE: Duration = Duration::from_secs(366 * 86_400);

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
    /// File with the key that a publish is signed with; without it anyone who
    /// reaches the operator port may publish.
    pub publish_key_file: Option<PathBuf>,
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

/// Refuses unknown sections and keys.
fn check_names(reader: &mut Reader<'_>) {
    for section in &reader.document.sections {
        let known = SECTIONS.iter().find(|it| it.0 == section.name);
        let Some((name, keys)) = known else {
            let allowed = SECTIONS.map(|it| it.0).join("], [");
            let message = format!("unknown section; allowed: [{allowed}]");
            reader.refuse(&section.name, "", message);
            continue;
        };
        if *name != HOSTS {
            reader.only_keys(section, keys);
        }
    }
}

fn read(reader: &mut Reader<'_>) -> Option<Settings> {
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    let host = reader.required(HOST, "id", value::host);
    let ip = reader.required(HOST, "ip", value::ip);
    let domain = reader.required(HOST, "domain", value::name);
    let data_dir = reader.optional(HOST, "data_dir", value::file);
    let peer_port = reader.or(HOST, "peer_port", DEFAULT_PEER_PORT, value::port);
    let entry_port = reader.or(HOST, "entry_port", DEFAULT_ENTRY_PORT, value::port);
    let operator_port = reader.or(HOST, "operator_port", DEFAULT_OPERATOR_PORT, value::port);
    let key_file = reader.optional(HOST, "key_file", value::file);
    let publish_key_file = reader.optional(HOST, "publish_key_file", value::file);
    let log = reader.or(HOST, "log", LogFormat::Text, value::choice(&formats));
    let seed = reader.optional(HOST, "seed", value::whole(0..=u64::MAX));
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
        reader.refuse(HOSTS, "", "no host; allowed: one line `NUMBER = IP DOMAIN` each");
    }
    for key in keys {
        let host = match value::host(&key.name) {
            Ok(host) => Some(host),
            Err(message) => {
                reader.refuse(HOSTS, &key.name, message);
                None
            }
        };
        let place = reader.check(HOSTS, key, address);
        let (Some(host), Some((ip, domain))) = (host, place) else {
            continue;
        };
        peers.push(Peer { host, ip, domain });
    }
    peers
}

/// Checks `IP DOMAIN`.
fn address(text: &str) -> Checked<(IpAddr, String)> {
    let mut words = text.split_whitespace();
    let (Some(ip), Some(domain), None) = (words.next(), words.next(), words.next()) else {
        return Err(format!("`{text}` is not allowed; allowed: `IP DOMAIN`"));
    };
    Ok((value::ip(ip)?, value::name(domain)?))
}

fn read_timing(reader: &mut Reader<'_>) -> Timing {
    let default = Timing::default();
    let mut time = |field, default| {
        let limits = value::duration(Duration::from_millis(1)..=MAX_TIME);
        reader.or(TIMING, field, default, limits)
    };
    Timing {
        heartbeat: time("heartbeat", default.heartbeat),
        election: time("election", default.election),
        lease: time("lease", default.lease),
        lag: time("lag", default.lag),
        drain: time("drain", default.drain),
    }
}

fn read_limits(reader: &mut Reader<'_>) -> Limits {
    let default = Limits::default();
    let percent = value::whole(0..=100);
    let ages = value::duration(Duration::from_secs(1)..=MAX_CLAIM_AGE);
    Limits {
        queue: reader.or(LIMITS, "queue", default.queue, value::size(1..=MAX_COUNT)),
        caller_queue: reader.or(
            LIMITS,
            "caller_queue",
            default.caller_queue,
            value::size(1..=MAX_COUNT),
        ),
        retry_percent: reader.or(LIMITS, "retry_percent", u64::from(default.retry_percent), percent)
            as u32,
        store_rate: reader.or(
            LIMITS,
            "store_rate",
            default.store_rate,
            value::decimal(0.001..=1_000_000.0),
        ),
        store_loads: reader.or(
            LIMITS,
            "store_loads",
            default.store_loads,
            value::size(1..=MAX_COUNT),
        ),
        claim_age: reader.or(LIMITS, "claim_age", default.claim_age, ages),
        claim_count: reader.or(
            LIMITS,
            "claim_count",
            default.claim_count,
            value::size(1..=MAX_COUNT),
        ),
        snapshot_after: reader.or(
            LIMITS,
            "snapshot_after",
            default.snapshot_after,
            value::whole(1..=MAX_COUNT),
        ),
    }
}

fn read_weights(reader: &mut Reader<'_>) -> Weights {
    let default = Weights::default();
    let stall = reader.or(WEIGHTS, "stall", default.stall, value::decimal(0.0..=MAX_WEIGHT));
    let batch = reader.or(WEIGHTS, "batch", default.batch, value::decimal(0.0..=MAX_WEIGHT));
    Weights { stall, batch }
}

/// Checks that the host, the hosts and the founders agree.
fn check_hosts(reader: &mut Reader<'_>, settings: &Settings) {
    let id = settings.host;
    let own = settings.peers.iter().find(|it| it.host == id);
    match own {
        None => reader.refuse(HOST, "id", format!("host {id} is not in [hosts]; add it there")),
        Some(own) => {
            if own.ip != settings.ip {
                let message = format!("[hosts] gives host {id} the IP number {}", own.ip);
                reader.refuse(HOST, "ip", message);
            }
            if own.domain != settings.domain {
                let message = format!("[hosts] puts host {id} in the domain {}", own.domain);
                reader.refuse(HOST, "domain", message);
            }
        }
    }
    for (i, peer) in settings.peers.iter().enumerate() {
        let same = settings.peers[..i].iter().find(|it| it.ip == peer.ip || it.host == peer.host);
        let Some(same) = same else {
            continue;
        };
        let message = format!("has the number or IP number of host {}", same.host);
        reader.refuse(HOSTS, &peer.host.to_string(), message);
    }
    for founder in &settings.founders {
        if settings.peers.iter().any(|it| it.host == *founder) {
            continue;
        }
        let message = format!("host {founder} is not in [hosts]");
        reader.refuse(CLUSTER, "founders", message);
    }
    if settings.founders.contains(&id) && settings.data_dir.is_none() {
        reader.refuse(HOST, "data_dir", "a founder needs a data folder; the key is missing");
    }
}

/// Checks that times, ports and sizes go together.
fn check_limits(reader: &mut Reader<'_>, settings: &Settings) {
    let timing = &settings.timing;
    let election = timing.heartbeat * HEARTBEATS_PER_ELECTION;
    if timing.election < election {
        let message = format!(
            "{:?} is too short; allowed: at least {HEARTBEATS_PER_ELECTION} heartbeats, {election:?}",
            timing.election
        );
        reader.refuse(TIMING, "election", message);
    }
    let lease = timing.election * ELECTIONS_PER_LEASE;
    if timing.lease < lease {
        let message = format!(
            "{:?} is too short; allowed: at least {ELECTIONS_PER_LEASE} times election, {lease:?}",
            timing.lease
        );
        reader.refuse(TIMING, "lease", message);
    }
    if timing.lag < timing.heartbeat {
        let message = format!("allowed: at least heartbeat, {:?}", timing.heartbeat);
        reader.refuse(TIMING, "lag", message);
    }
    if settings.limits.caller_queue > settings.limits.queue {
        let message = format!("allowed: at most queue, {}", settings.limits.queue);
        reader.refuse(LIMITS, "caller_queue", message);
    }
    let ports = [
        ("peer_port", settings.peer_port),
        ("entry_port", settings.entry_port),
        ("operator_port", settings.operator_port),
    ];
    for (i, (field, port)) in ports.iter().enumerate() {
        let same = ports[..i].iter().find(|it| it.1 == *port);
        if let Some((other, _)) = same {
            reader.refuse(HOST, field, format!("{port} is the {other} too; they must differ"));
        }
    }
}
