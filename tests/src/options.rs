//! What the command lines of the stand-ins have in common.

use std::{
    net::SocketAddr,
    str::FromStr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use api::{CapacityBody, KindBody};
use wire::Incarnation;

/// How a stand-in announces itself.
#[derive(Debug, Clone)]
pub struct Options {
    /// Its name.
    pub name: String,
    /// The address it listens on.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Entry addresses of hosts to announce itself to.
    pub hosts: Vec<SocketAddr>,
    /// What it serves.
    pub kind: KindBody,
    /// Its limits.
    pub capacity: CapacityBody,
    /// Whether it refuses old fencing numbers.
    pub fenced: bool,
    /// Time between reports.
    pub period: Duration,
    /// How old the content of a report is when it is sent.
    pub delay: Duration,
    /// Share of reports that are dropped, in percent.
    pub dropped: u32,
    /// Seed of its random choices.
    pub seed: u64,
    /// The run of the process.
    pub incarnation: Incarnation,
}

/// Entry addresses of hosts, written with commas between them.
#[derive(Debug, Clone)]
pub struct Hosts(pub Vec<SocketAddr>);

impl FromStr for Hosts {
    type Err = String;

    fn from_str(text: &str) -> Result<Hosts, String> {
        let mut hosts = Vec::new();
        for part in text.split(',') {
            let host = part.trim().parse();
            hosts.push(host.map_err(|_| format!("`{part}` is no IP number with a port"))?);
        }
        Ok(Hosts(hosts))
    }
}

/// Parses `yes` or `no`.
pub fn parse_yes_no(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(format!("`{text}` is neither yes nor no")),
    }
}

/// Parses a share in percent.
pub fn parse_percent(text: &str) -> Result<u32, String> {
    match text.parse() {
        Ok(percent) if percent <= 100 => Ok(percent),
        _ => Err(format!("`{text}` is no number from 0 to 100")),
    }
}

/// Returns the number of a run that starts now.
pub fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as Incarnation
}
