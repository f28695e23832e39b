//! Messages between hosts that forward requests to a target's owner (`poplarhollowd`): forwarded
//! requests, leases and slots for adapter loads. A request's entry host is the one that received it
//! from the caller.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    AdapterId, CallerId, DomainId, Fault, Fingerprint, FleetMsg, HostId, Incarnation, Index,
    LogBody, LogMsg, Proposal, RequestId, TargetReport,
};

/// The urgency of a request, in order of service.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Urgency {
    /// A person waits for the response.
    High,
    /// Served as capacity allows.
    #[default]
    Normal,
    /// May wait until batches are full.
    Low,
}

/// What a request is bound to on admission.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Pin {
    /// An adapter version of a base model.
    Adapter {
        /// The adapter version's number in the configuration.
        id: AdapterId,
        /// The full name, `model@adapter@version`.
        name: String,
    },
    /// A call of a plain service.
    Service {
        /// The service's name.
        service: String,
    },
}

/// A request, forwarded from its entry host to the owner of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The request attempt.
    pub request: RequestId,
    /// The incarnation of the entry host.
    pub incarnation: Incarnation,
    /// What the request is bound to.
    pub pin: Pin,
    /// The caller.
    pub caller: CallerId,
    /// The fingerprint of the request's content.
    pub fingerprint: Fingerprint,
    /// The request's urgency.
    pub urgency: Urgency,
    /// The time left until the caller's deadline.
    pub time_left: Duration,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the response is streamed.
    pub stream: bool,
    /// The HTTP path at the target.
    pub path: String,
    /// The request's body.
    pub body: Bytes,
    /// The initial flow control credit: how many bytes of the response the entry host can receive.
    pub credit: u32,
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The request attempt.
    pub request: RequestId,
    /// The HTTP status of the target's response.
    pub status: u16,
    /// The target's name.
    pub target: String,
    /// What the target ran, by its own statement: `model@adapter@version` or a service's name.
    pub ran: String,
}

/// A piece of a response's body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The request attempt.
    pub request: RequestId,
    /// The offset of the piece in the body, in bytes.
    pub offset: u64,
    /// The bytes of the piece.
    pub bytes: Bytes,
    /// Whether the response is complete with this piece.
    pub last: bool,
}

/// The end of an attempt without a complete response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fail {
    /// The request attempt.
    pub request: RequestId,
    /// The error that ended the attempt.
    pub fault: Fault,
}

/// More flow control credit for a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credit {
    /// The request attempt.
    pub request: RequestId,
    /// The number of further bytes that the entry host can receive.
    pub bytes: u32,
}

/// A part of a response, sent from the owner to the entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The head.
    Head(Head),
    /// A piece of the body.
    Piece(Piece),
    /// The end of an incomplete response.
    Fail(Fail),
}

/// On how many of a host's targets an adapter is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Residency {
    /// The adapter.
    pub adapter: AdapterId,
    /// The number of targets.
    pub targets: u16,
}

/// A summary of a host's targets and load, sent to the leader with lease renewals.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The adapters that are ready on the host's targets.
    pub resident: Vec<Residency>,
    /// The number of requests that run on the host's targets.
    pub running: u32,
    /// The most requests that the host's targets run at a time.
    pub capacity: u32,
    /// The number of requests that wait at the host as owner.
    pub queued: u32,
    /// Whether the host is shutting down.
    pub leaving: bool,
}

/// A host's request to the leader for a lease or its renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// The host's clock when it sent the message, echoed in the grant.
    pub sent: Duration,
    /// The host's failure domain.
    pub domain: DomainId,
    /// The last log index that the host has applied.
    pub applied: Index,
    /// The last digest round that the host has received.
    pub round: u64,
    /// The host's digest; none if the leader has confirmed that it has the current one.
    pub digest: Option<Digest>,
}

/// The leader's reply to a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The renewal's `sent`.
    pub sent: Duration,
    /// The incarnation of the host that the lease is for.
    pub incarnation: Incarnation,
    /// The length of the lease, counted from `sent`; zero if it is refused.
    pub duration: Duration,
    /// The log index that the host must have applied for the lease to be valid.
    pub required: Index,
    /// The number of the digest round.
    pub round: u64,
    /// The digests of hosts that changed since the round named in the renewal.
    pub digests: Vec<(HostId, Digest)>,
    /// The hosts without a lease.
    pub unleased: Vec<HostId>,
    /// The hosts that are shutting down, which get no new work.
    pub leaving: Vec<HostId>,
}

/// An owner's request to load an adapter from the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// The adapter.
    pub adapter: AdapterId,
    /// The benefit of the load minus the cost of the eviction victim; higher scores go first.
    pub score: f64,
    /// The number of requests that wait for the adapter.
    pub waiting: u32,
    /// How long the oldest of these requests has waited.
    pub age: Duration,
}

/// The right to start one load from the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadGrant {
    /// The grant's number, unique over the terms of all leaders.
    pub slot: u64,
    /// The adapter to load.
    pub adapter: AdapterId,
    /// The time within which the owner must finish the load.
    pub duration: Duration,
}

/// Reports the end of a granted load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEnded {
    /// The grant's number.
    pub slot: u64,
    /// Whether the load order was sent, so that the store may have been used. An unused grant
    /// doesn't count towards the store's rate.
    pub used: bool,
    /// Whether the adapter was loaded.
    pub ok: bool,
}

/// How many hosts of a failure domain have applied a log index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainForce {
    /// The failure domain.
    pub domain: DomainId,
    /// The number of hosts with a lease that have applied the index.
    pub applied: u32,
    /// The number of hosts with a lease that have not applied the index.
    pub lagging: u32,
}

/// A query to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Asks how many hosts of each failure domain have applied an index.
    InForce {
        /// The log index.
        index: Index,
        /// Echoed in the reply.
        tag: u64,
    },
}

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMsg {
    /// A message of the replicated log.
    Log(LogMsg),
    /// Requests a lease from the leader.
    Renew(Renew),
    /// Answers [`PeerMsg::Renew`].
    Grant(Grant),
    /// Proposes a command to the leader. The proposer learns the result when it applies the log
    /// entry.
    Propose(Proposal),
    /// Forwards a target's report to the target's owner.
    Report(Box<TargetReport>),
    /// An owner's load requests to the leader, best first. Replaces the owner's earlier list.
    LoadRequests(Vec<LoadRequest>),
    /// Grants load requests of the receiver.
    LoadGrants(Vec<LoadGrant>),
    /// Reports the end of a granted load to the leader.
    LoadEnded(LoadEnded),
    /// Forwards a request to the owner of a target.
    Forward(Box<Forward>),
    /// A part of a response.
    Answer(Answer),
    /// More flow control credit for a response.
    Credit(Credit),
    /// Cancels an attempt: the caller left, or the entry host abandoned the attempt.
    Cancel(RequestId),
    /// Sends a query to the leader.
    Query(Query),
    /// Answers [`Query::InForce`].
    InForce {
        /// The query's tag.
        tag: u64,
        /// The highest log index known to be committed.
        commit: Index,
        /// The counts, by failure domain.
        domains: Vec<DomainForce>,
    },
    /// A message between hosts that send callers' requests to the targets directly.
    Fleet(Box<FleetMsg>),
}

impl PeerMsg {
    /// Returns whether the loss of the message is harmless, as it or its request is repeated. Such
    /// a message may be sent by UDP.
    pub fn is_periodic(&self) -> bool {
        match self {
            PeerMsg::Renew(_) | PeerMsg::Grant(_) => true,
            PeerMsg::Fleet(msg) => msg.is_periodic(),
            PeerMsg::Log(log) => match &log.body {
                LogBody::Append { entries, .. } => entries.is_empty(),
                LogBody::Install { .. } => false,
                _ => true,
            },
            _ => false,
        }
    }
}
