//! Command-line options that the stand-ins share.

use std::{
    net::SocketAddr,
    str::FromStr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use api::{CapacityBody, KindBody};
use wire::Incarnation;

/// Settings of a stand-in and of its reports.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the target.
    pub name: String,
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Entry addresses of the hosts that receive reports.
    pub hosts: Vec<SocketAddr>,
    /// Base model or service that it serves.
    pub kind: KindBody,
    /// Limits of adapters and concurrent requests.
    pub capacity: CapacityBody,
    /// Whether old fencing numbers are refused.
    pub fenced: bool,
    /// Time between reports, unless one is triggered earlier.
    pub report_interval: Duration,
    /// Minimum age of the content of a report when it is sent.
    pub report_delay: Duration,
    /// Percentage of reports that are not sent.
    pub drop_percent: u32,
    /// Seed of the random generator for dropped reports and failed loads.
    pub seed: u64,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Entry addresses of hosts, parsed from a comma-separated list.
#[derive(Debug, Clone)]
pub struct Hosts(pub Vec<SocketAddr>);

impl FromStr for Hosts {
    type Err = String;

    fn from_str(text: &str) -> Result<Hosts, String> {
        let mut hosts = Vec::new();
        for part in text.split(',') {
            let host = part.trim().parse();
            hosts.push(host.map_err(|_| format!("`{part}` is not an IP address with a port"))?);
        }
        Ok(Hosts(hosts))
    }
}

/// Parses `yes` or `no`.
///
/// # Errors
/// For any other text.
pub fn parse_yes_no(text: &str) -> Result<bool, String> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(format!("`{text}` is neither yes nor no")),
    }
}

/// Parses a percentage.
///
/// # Errors
/// If the text is not an integer from 0 to 100.
pub fn parse_percent(text: &str) -> Result<u32, String> {
    match text.parse() {
        Ok(percent) if percent <= 100 => Ok(percent),
        _ => Err(format!("`{text}` is not a number from 0 to 100")),
    }
}

/// Returns the incarnation of a process that starts now: milliseconds since the Unix epoch.
pub fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as Incarnation
}
