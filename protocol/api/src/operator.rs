//! What operators send and read.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One declaration file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct FileBody {
    /// The file's name, for messages.
    pub name: String,
    /// The file's text.
    pub text: String,
}

/// Hands in a set of declaration files.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct PublishBody {
    /// The files; all are accepted or none.
    pub files: Vec<FileBody>,
    /// Who publishes.
    pub author: String,
    /// The revision of the reviewed code.
    pub revision: String,
}

/// What became of one service of a publish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ServiceReceipt {
    /// The service.
    pub service: String,
    /// Its version in force.
    pub version: u64,
    /// SHA-256 of its declaration file, in hexadecimal.
    pub digest: String,
    /// The log index that brought it into force.
    pub index: u64,
}

/// How far a change has come in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DomainForce {
    /// The failure domain.
    pub domain: String,
    /// Live hosts that have applied the change.
    pub applied: u32,
    /// Live hosts that have not.
    pub lagging: u32,
}

/// Confirms an accepted publish. The same publish gets the same receipt again,
/// but for `in_force`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Receipt {
    /// The log index of the change, or of the last of them on a resend.
    pub index: u64,
    /// The audit sequence at that change.
    pub sequence: u64,
    /// The audit trail's hash at that change, in hexadecimal.
    pub head: String,
    /// The services.
    pub services: Vec<ServiceReceipt>,
    /// Whether every host with a lease has applied the change.
    pub everywhere: bool,
    /// How far the change has come by failure domain.
    pub in_force: Vec<DomainForce>,
}

/// A host in the status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HostRow {
    /// The host.
    pub host: u32,
    /// Its failure domain.
    pub domain: String,
    /// `voter` if the leader hears the data folder that votes, `silent` if it does
    /// not, `learner` or `observer`.
    pub role: String,
    /// Whether it holds a lease.
    pub live: bool,
    /// The last index it has applied, as far as the leader knows; zero without
    /// a lease.
    pub applied: u64,
}

/// A target in the status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TargetRow {
    /// The target's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its owner, if it has one.
    pub owner: Option<u32>,
    /// The fencing number of that ownership.
    pub fence: u64,
    /// Adapters it holds, if this host owns it.
    pub resident: Vec<String>,
    /// Requests it runs, if this host owns it.
    pub running: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A quarantined request in the status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct QuarantineRow {
    /// Digest of the request, in hexadecimal.
    pub print: String,
    /// Crashes counted against it.
    pub strikes: u32,
}

/// The state of the system as one host sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct StatusBody {
    /// The host that answers.
    pub host: u32,
    /// The leader, if known.
    pub leader: Option<u32>,
    /// The term.
    pub term: u64,
    /// Whether this host holds a lease.
    pub lease: bool,
    /// The commit index this host knows.
    pub commit: u64,
    /// The index this host has applied.
    pub applied: u64,
    /// Alarms: conditions that need an operator.
    pub alarms: Vec<String>,
    /// Hosts, as the leader knows them.
    pub hosts: Vec<HostRow>,
    /// Targets.
    pub targets: Vec<TargetRow>,
    /// Services with their versions in force.
    pub services: Vec<ServiceReceipt>,
    /// Requests waiting at this host.
    pub queued: u32,
    /// Seconds that requests waited for adapters at this host in the last minute.
    pub stall_seconds: f64,
    /// Mean share of its targets' batch places in use in the last minute.
    pub batch_fullness: f64,
    /// Requests with strikes.
    pub quarantine: Vec<QuarantineRow>,
}
