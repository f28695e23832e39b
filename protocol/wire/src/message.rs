//! Messages between hosts.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    AdapterId, CallerId, DomainId, Fault, Fingerprint, FleetMsg, HostId, Incarnation, Index,
    LogBody, LogMsg, Proposal, RequestId, TargetReport,
};

/// How soon a request must be served.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Urgency {
    /// A person is waiting.
    High,
    /// Served as capacity allows.
    #[default]
    Normal,
    /// May wait for batches to fill.
    Low,
}

/// What a request is bound to when it is admitted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Pin {
    /// An adapter version of a base model.
    Adapter {
        /// Its number in the configuration.
        id: AdapterId,
        /// Its full name, `model@adapter@version`.
        name: String,
    },
    /// A call of a plain service.
    Service {
        /// The service's name.
        service: String,
    },
}

/// A request on its way from the entry to a target's owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The request attempt.
    pub request: RequestId,
    /// The run of the entry host.
    pub incarnation: Incarnation,
    /// What the request is bound to.
    pub pin: Pin,
    /// The caller.
    pub caller: CallerId,
    /// Digest of the request's content.
    pub print: Fingerprint,
    /// How soon it must be served.
    pub urgency: Urgency,
    /// Time left until the caller's deadline.
    pub left: Duration,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Path at the target.
    pub path: String,
    /// The request's body.
    pub body: Bytes,
    /// Bytes of the answer that the entry can take.
    pub credit: u32,
}

/// The start of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The request attempt.
    pub request: RequestId,
    /// HTTP status of the target's answer.
    pub status: u16,
    /// The target's name.
    pub target: String,
    /// What the target says it ran.
    pub ran: String,
}

/// A piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The request attempt.
    pub request: RequestId,
    /// Where the piece starts in the answer, in bytes.
    pub offset: u64,
    /// The piece.
    pub bytes: Bytes,
    /// Whether the answer is whole with this piece.
    pub last: bool,
}

/// The end of an attempt without a whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fail {
    /// The request attempt.
    pub request: RequestId,
    /// What went wrong.
    pub fault: Fault,
}

/// More room for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credit {
    /// The request attempt.
    pub request: RequestId,
    /// Additional bytes the entry can take.
    pub bytes: u32,
}

/// A step of an answer, from the owner to the entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It starts.
    Head(Head),
    /// It goes on.
    Piece(Piece),
    /// It ends without being whole.
    Fail(Fail),
}

/// An adapter's presence on a host's targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Residency {
    /// The adapter.
    pub adapter: AdapterId,
    /// On how many of the host's targets it is ready.
    pub targets: u16,
}

/// What a host says of itself with each renewal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Adapters ready on the host's targets.
    pub resident: Vec<Residency>,
    /// Requests running on its targets.
    pub running: u32,
    /// Requests its targets can run at once.
    pub capacity: u32,
    /// Requests waiting at the owner.
    pub queued: u32,
    /// Whether the host is about to leave.
    pub leaving: bool,
}

/// A host asks the leader for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The run of the host.
    pub incarnation: Incarnation,
    /// The host's clock when it sent the message, echoed in the answer.
    pub sent: Duration,
    /// The host's failure domain.
    pub domain: DomainId,
    /// The last index it has applied.
    pub applied: Index,
    /// The last digest round it has received.
    pub round: u64,
    /// Its own digest; none if the leader has confirmed this one.
    pub digest: Option<Digest>,
}

/// The leader's answer to a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The renewal's `sent`.
    pub sent: Duration,
    /// The run of the host the lease is for.
    pub incarnation: Incarnation,
    /// Length of the lease from `sent`; zero when refused.
    pub term: Duration,
    /// The index the host must have applied for the lease to count.
    pub applied: Index,
    /// The number of the digest round.
    pub round: u64,
    /// Digests that changed since the round the host named.
    pub digests: Vec<(HostId, Digest)>,
    /// Hosts without a lease.
    pub suspect: Vec<HostId>,
    /// Hosts that are about to leave: they get no new work.
    pub leaving: Vec<HostId>,
}

/// An owner's need for a load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// The adapter.
    pub adapter: AdapterId,
    /// What a load saves less what its victim costs; higher goes first.
    pub score: f64,
    /// Requests that wait for it.
    pub waiting: u32,
    /// How long the first of them has waited.
    pub age: Duration,
}

/// The right to start one load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Numbers the grants of a leader's term.
    pub slot: u64,
    /// The adapter it is for.
    pub adapter: AdapterId,
    /// How long the owner has to finish the load.
    pub term: Duration,
}

/// The end of a granted load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotDone {
    /// The grant.
    pub slot: u64,
    /// Whether the store was asked at all.
    pub used: bool,
    /// Whether the adapter arrived.
    pub ok: bool,
}

/// How far an index has come in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainForce {
    /// The failure domain.
    pub domain: DomainId,
    /// Live hosts that have applied the index.
    pub applied: u32,
    /// Live hosts that have not.
    pub lagging: u32,
}

/// A question to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// In which failure domains an index is in force.
    InForce {
        /// The index.
        index: Index,
        /// Echoed in the answer.
        tag: u64,
    },
}

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMsg {
    /// Replication.
    Log(LogMsg),
    /// Asks for a lease.
    Renew(Renew),
    /// Answers a renewal.
    Grant(Grant),
    /// Hands a command to the leader. The proposer learns the result when it
    /// applies the entry.
    Propose(Proposal),
    /// Passes a target's report to its owner.
    Report(Box<TargetReport>),
    /// An owner's loads, best first; replaces its earlier list.
    Wants(Vec<Want>),
    /// Grants loads.
    Slots(Vec<SlotGrant>),
    /// Ends a granted load.
    SlotDone(SlotDone),
    /// A request for one of the receiver's targets.
    Forward(Box<Forward>),
    /// A step of an answer.
    Answer(Answer),
    /// More room for an answer.
    Credit(Credit),
    /// The caller left, or the entry gave the attempt up.
    Cancel(RequestId),
    /// Asks the leader.
    Ask(Ask),
    /// Answers [`Ask::InForce`]: per failure domain, live hosts that have
    /// applied the index and live hosts that have not.
    InForce {
        /// The question's tag.
        tag: u64,
        /// The highest index known as committed.
        commit: Index,
        /// The counts of each failure domain.
        domains: Vec<DomainForce>,
    },
    /// A message of hosts that send requests to targets themselves.
    Fleet(Box<FleetMsg>),
}

impl PeerMsg {
    /// Returns whether the message may be lost without harm: it is repeated with
    /// the next period, so it may travel by UDP.
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
