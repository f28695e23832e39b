//! The bodies of the operators' endpoints.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A declaration file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct FileBody {
    /// The file's name, used in error messages.
    pub name: String,
    /// The file's text.
    pub text: String,
}

/// A publish: a set of declaration files.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct PublishBody {
    /// The files; either all or none are accepted.
    pub files: Vec<FileBody>,
    /// The publish's author.
    pub author: String,
    /// The revision of the reviewed code that the files come from.
    pub revision: String,
}

/// The declaration in force of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ServiceReceipt {
    /// The service's name.
    pub service: String,
    /// The version in force.
    pub version: u64,
    /// SHA-256 of the declaration file in hexadecimal.
    pub digest: String,
    /// The log index that put this version in force.
    pub index: u64,
}

/// How many hosts of a failure domain have applied a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DomainForce {
    /// The failure domain's name.
    pub domain: String,
    /// The number of hosts with a lease that have applied the change.
    pub applied: u32,
    /// The number of hosts with a lease that have not applied the change.
    pub lagging: u32,
}

/// The response to an accepted publish. Sending the same publish again returns the same receipt,
/// except for `everywhere` and `in_force`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Receipt {
    /// The log index of the newest change among the published services.
    pub index: u64,
    /// The sequence of the audit entry for that change.
    pub sequence: u64,
    /// The hash of that audit entry in hexadecimal.
    pub head: String,
    /// The published services.
    pub services: Vec<ServiceReceipt>,
    /// Whether all hosts with a lease have applied the change.
    pub everywhere: bool,
    /// The hosts that have and have not applied the change, by failure domain.
    pub in_force: Vec<DomainForce>,
}

/// A host in a [`StatusBody`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HostRow {
    /// The host's number.
    pub host: u32,
    /// Its failure domain.
    pub domain: String,
    /// `voter` if the leader receives messages from the voting data folder, `silent` if it does
    /// not, `learner` or `observer`.
    pub role: String,
    /// Whether the host holds a lease.
    pub live: bool,
    /// The last log index that the host has applied, as known to the leader; zero without a lease.
    pub applied: u64,
}

/// A target in a [`StatusBody`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TargetRow {
    /// The target's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// The host that owns the target; none while it has no owner.
    pub owner: Option<u32>,
    /// The fencing number of the ownership.
    pub fence: u64,
    /// The adapters on the target; empty unless the answering host owns it.
    pub resident: Vec<String>,
    /// The number of requests that run on the target; zero unless the answering host owns it.
    pub running: u32,
    /// Whether the target is shutting down; false unless the answering host owns it.
    pub leaving: bool,
}

/// A request that crashed targets, in a [`StatusBody`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct QuarantineRow {
    /// The request's fingerprint in hexadecimal.
    pub print: String,
    /// The number of target crashes counted against the request.
    pub strikes: u32,
}

/// The state of the system in the local view of one host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct StatusBody {
    /// The answering host.
    pub host: u32,
    /// The leader; none while it is unknown.
    pub leader: Option<u32>,
    /// The term of the replication group.
    pub term: u64,
    /// Whether the answering host holds a lease.
    pub lease: bool,
    /// The commit index known to the answering host.
    pub commit: u64,
    /// The last log index that the answering host has applied.
    pub applied: u64,
    /// The conditions that need an operator's attention.
    pub alarms: Vec<String>,
    /// The hosts, as known to the leader.
    pub hosts: Vec<HostRow>,
    /// The registered targets.
    pub targets: Vec<TargetRow>,
    /// The services with their declarations in force.
    pub services: Vec<ServiceReceipt>,
    /// The number of requests that wait at the answering host.
    pub queued: u32,
    /// How long requests at the answering host waited for adapters in the last minute, in seconds.
    pub stall_seconds: f64,
    /// The mean share of batch slots in use, from 0 to 1, at those of the answering host's targets
    /// that ran requests in the last minute.
    pub batch_fullness: f64,
    /// The requests that crashed targets, quarantined or not.
    pub quarantine: Vec<QuarantineRow>,
}
