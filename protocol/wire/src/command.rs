//! The commands of the replicated state machine.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    AdapterId, CallerId, ErrorKind, Fence, Fingerprint, HostId, Incarnation, Index, RequestId,
    TargetId, TargetInfo,
};

/// A declaration file as published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclFile {
    /// The file's name, used in error messages.
    pub name: String,
    /// The file's text.
    pub text: String,
}

/// A set of declaration files; either all or none are accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// The files.
    pub files: Vec<DeclFile>,
    /// The publish's author.
    pub author: String,
    /// The revision of the reviewed code that the files come from.
    pub revision: String,
}

/// A change of a target's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The target.
    pub target: TargetId,
    /// The new owner with its incarnation; none to leave the target without one.
    pub owner: Option<(HostId, Incarnation)>,
}

/// What an order does with an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Action {
    /// Loads the adapter onto the target.
    Load,
    /// Evicts the adapter from the target.
    Evict,
}

/// An order that was recorded before it was sent, because a target may still carry it out after the
/// sender lost ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The host that sends the order.
    pub host: HostId,
    /// The incarnation of that host.
    pub host_incarnation: Incarnation,
    /// The target that receives the order.
    pub target: TargetId,
    /// The incarnation of the target that the order is meant for.
    pub incarnation: Incarnation,
    /// The sender's fencing number.
    pub fence: Fence,
    /// The adapter.
    pub adapter: AdapterId,
    /// What the target does with the adapter.
    pub action: Action,
}

/// Identifies a call that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The caller.
    pub caller: CallerId,
    /// The caller's idempotency key.
    pub key: String,
}

/// An entry host's request for the right to send a call once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The call.
    pub key: ClaimKey,
    /// The fingerprint of the call's content.
    pub fingerprint: Fingerprint,
    /// The entry host that claims the call.
    pub host: HostId,
    /// The incarnation of that host.
    pub incarnation: Incarnation,
    /// The request attempt that the call is claimed for.
    pub request: RequestId,
    /// When the caller made the key, in milliseconds since the Unix epoch.
    pub made_at: u64,
}

/// How a claimed call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The call ran; its response is kept.
    Done {
        /// The response's HTTP status.
        status: u16,
        /// The response's body.
        body: Bytes,
    },
    /// The claiming host has not sent the call and never will.
    NotRun(ErrorKind),
    /// The call may have run and no response is kept: the response was incomplete or too large, or
    /// the claiming host was lost.
    InDoubt,
}

/// The end of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The call.
    pub key: ClaimKey,
    /// The request that held the claim.
    pub request: RequestId,
    /// How the call ended.
    pub outcome: Outcome,
}

/// A change of the replicated state, applied once its log entry is committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Publishes declaration files.
    Publish(Publish),
    /// Registers a target, or changes its registration.
    Register(TargetInfo),
    /// Removes an ended target from the registry.
    Forget(TargetId),
    /// Changes the owners of targets.
    Assign(Vec<Move>),
    /// Records an order before it is sent.
    Intent(Intent),
    /// Withdraws the intent recorded at a log index, as the order's effect is known.
    Resolve(Index),
    /// Withdraws all intents for earlier incarnations of a target.
    Restarted {
        /// The target.
        target: TargetId,
        /// Its current incarnation.
        incarnation: Incarnation,
    },
    /// Claims a call for one request attempt.
    Claim(Claim),
    /// Ends a claim.
    Settle(Settle),
    /// Marks the claims of a host's lost incarnations as in doubt.
    HostLost {
        /// The host.
        host: HostId,
        /// The first incarnation that may still be alive; claims of earlier ones are in doubt.
        before: Incarnation,
    },
    /// Counts a target crash against a request.
    Strike(Fingerprint),
    /// Resets the crash count of a request.
    Clear(Fingerprint),
}

/// A command as stored in the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The host that proposed the command.
    pub host: HostId,
    /// The incarnation of that host.
    pub incarnation: Incarnation,
    /// The number of the proposal within that incarnation.
    pub seq: u64,
    /// No proposal of that incarnation below this number is pending.
    pub floor: u64,
    /// Wall-clock time at the leader that appends the proposal, in milliseconds since the Unix
    /// epoch.
    pub at: u64,
    /// The command.
    pub command: Command,
}
