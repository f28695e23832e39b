//! Commands of the replicated state machine.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    AdapterId, CallerId, ErrorKind, Fence, Fingerprint, HostId, Incarnation, Index, RequestId,
    TargetId, TargetInfo,
};

/// One declaration file as handed in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclFile {
    /// The file's name, for messages.
    pub name: String,
    /// The file's text.
    pub text: String,
}

/// A set of declaration files, accepted or refused as one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// The files.
    pub files: Vec<DeclFile>,
    /// Who publishes.
    pub author: String,
    /// The revision of the reviewed code that the files come from.
    pub revision: String,
}

/// Gives a target to an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The target.
    pub target: TargetId,
    /// Its new owner, or none.
    pub owner: Option<(HostId, Incarnation)>,
}

/// What an order does to an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Action {
    /// Loads the adapter.
    Load,
    /// Evicts the adapter.
    Evict,
}

/// An order that a target may carry out although its sender lost ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The host that sends the order.
    pub host: HostId,
    /// The run of that host.
    pub run: Incarnation,
    /// The ordered target.
    pub target: TargetId,
    /// The run of the target the order was meant for.
    pub incarnation: Incarnation,
    /// The sender's fencing number.
    pub fence: Fence,
    /// The adapter.
    pub adapter: AdapterId,
    /// What is ordered.
    pub action: Action,
}

/// Names a call that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The caller.
    pub caller: CallerId,
    /// The caller's idempotency key.
    pub key: String,
}

/// The right to send a call once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The call.
    pub key: ClaimKey,
    /// Digest of the call's content.
    pub print: Fingerprint,
    /// The entry host that claims it.
    pub host: HostId,
    /// The run of that host.
    pub incarnation: Incarnation,
    /// The request it claims it for.
    pub request: RequestId,
    /// When the caller made the key, in milliseconds since the epoch.
    pub made: u64,
}

/// How a claimed call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The call ran; the answer is kept.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: Bytes,
    },
    /// The claimer sent nothing and never will.
    NotRun(ErrorKind),
    /// Bytes were sent, and no whole answer came.
    InDoubt,
}

/// Ends a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The call.
    pub key: ClaimKey,
    /// The request that held the claim.
    pub request: RequestId,
    /// How it ended.
    pub outcome: Outcome,
}

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Hands in declaration files.
    Publish(Publish),
    /// Registers a target, or changes its entry.
    Register(TargetInfo),
    /// Forgets a target that is gone.
    Forget(TargetId),
    /// Moves targets between owners.
    Assign(Vec<Move>),
    /// Records an order before it is sent.
    Intent(Intent),
    /// Withdraws the intent recorded at an index: its effect is known.
    Resolve(Index),
    /// Withdraws all intents for earlier runs of a target.
    Restarted {
        /// The target.
        target: TargetId,
        /// Its present run.
        incarnation: Incarnation,
    },
    /// Claims a call.
    Claim(Claim),
    /// Ends a claim.
    Settle(Settle),
    /// Marks the claims of a lost run of a host as in doubt.
    HostLost {
        /// The host.
        host: HostId,
        /// The first run that may still be alive.
        before: Incarnation,
    },
    /// Counts a crash against a request.
    Strike(Fingerprint),
    /// Clears a request of its strikes.
    Clear(Fingerprint),
}

/// A command as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The host that proposed it.
    pub host: HostId,
    /// The run of that host.
    pub incarnation: Incarnation,
    /// Counts the proposals of that run.
    pub seq: u64,
    /// All proposals of that run below this number have ended.
    pub floor: u64,
    /// Wall-clock time at the leader that appends it, in milliseconds since the
    /// epoch.
    pub at: u64,
    /// The command.
    pub command: Command,
}
