//! Inputs and outputs of a host.

use std::time::Duration;

use bytes::Bytes;
use history::Receipt;
use replog::{Recovered, Write};
use serde::{Deserialize, Serialize};
use wire::{
    Action, CallerId, DomainForce, Fault, Fence, HostId, Incarnation, Index, PeerMsg, Publish,
    RequestId, TargetId, TargetReport,
};

/// A number that the daemon gives to each request it passes in, unique within an incarnation of the
/// host.
pub type Tag = u64;

/// What a host is started with besides its settings.
#[derive(Debug, Clone)]
pub struct Start {
    /// The incarnation of the host's process; later ones are higher.
    pub incarnation: Incarnation,
    /// The state recovered from its data folder; none for a host without one.
    pub recovered: Option<Recovered>,
    /// Wall-clock time in milliseconds since the epoch.
    pub wall_ms: u64,
}

/// A caller's request as received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// The identity of the caller.
    pub caller: CallerId,
    /// The service that the request names; optional for a model request.
    pub service: Option<String>,
    /// The declared call that the request names.
    pub call: Option<String>,
    /// `model@adapter@version` of a model request.
    pub model: Option<String>,
    /// Time until the caller's deadline; none for the deadline of the declared call.
    pub deadline: Option<Duration>,
    /// The idempotency key; required for a call that is not idempotent.
    pub key: Option<String>,
    /// When the key was made, in milliseconds since the epoch; required with the key.
    pub key_made_ms: Option<u64>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The body, passed on unchanged.
    pub body: Bytes,
}

/// Why a call to a target ended without a complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallFailure {
    /// The connection was refused or failed before a byte was sent.
    NotSent,
    /// The target refused the call before running it, with its word for the reason.
    Refused(String),
    /// The connection ended after bytes were sent.
    Lost,
    /// The head or the end of the answer does not belong to this request, with a description.
    WrongAnswer(String),
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderResult {
    /// Done, with the adapters that the target now holds.
    Done(Vec<String>),
    /// Refused or failed without effect, with the target's word for the reason.
    Failed(String),
    /// The connection was refused or failed before a byte was sent.
    NotSent,
    /// No answer came; the order may have had an effect.
    Unknown,
}

/// An event that a host handles.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// Time has passed; about every 20 milliseconds.
    Tick {
        /// Wall-clock time in milliseconds since the epoch.
        wall_ms: u64,
    },
    /// A message from another host arrived.
    Peer {
        /// The sender.
        from: HostId,
        /// The message.
        msg: PeerMsg,
    },
    /// The connection to a host broke; messages may have been lost.
    PeerLost(HostId),
    /// A forwarded request was not sent and will not be sent, because its receiver could not be
    /// reached.
    Undelivered {
        /// The receiver.
        to: HostId,
        /// The request attempt.
        request: RequestId,
    },
    /// All writes up to this ticket are on disk.
    Synced(u64),
    /// A write failed, with the error text.
    SyncFailed(String),
    /// A target announced itself or sent its report to this host.
    Report(TargetReport),
    /// A caller's request arrived.
    Request {
        /// The number for this request.
        tag: Tag,
        /// The request.
        caller: Box<CallerRequest>,
    },
    /// The caller's connection consumed bytes of its answer.
    AnswerConsumed {
        /// The request.
        tag: Tag,
        /// Number of bytes.
        bytes: u32,
    },
    /// The caller closed its connection.
    CallerLeft(Tag),
    /// The target started to answer a call. The head of the answer has been checked.
    CallHead {
        /// The call.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// What the target says it ran.
        ran: String,
        /// The incarnation of the target.
        incarnation: Incarnation,
    },
    /// A piece of a target's answer.
    CallPiece {
        /// The call.
        request: RequestId,
        /// Where the piece starts in the answer, in bytes.
        offset: u64,
        /// The piece.
        bytes: Bytes,
        /// Whether this is the last piece of the answer.
        last: bool,
    },
    /// A call ended without a complete answer.
    CallFailed {
        /// The call.
        request: RequestId,
        /// The result.
        failure: CallFailure,
    },
    /// An order ended.
    OrderEnded {
        /// The order.
        order: u64,
        /// The result.
        result: OrderResult,
    },
    /// An operator publishes declaration files.
    Publish {
        /// A number that the daemon gives to each publish.
        tag: Tag,
        /// The files.
        publish: Publish,
    },
    /// The host should finish its requests and exit.
    Shutdown,
}

/// A call to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The request attempt; sent with the call and echoed by the target.
    pub request: RequestId,
    /// The target's name.
    pub target: String,
    /// IP address and port.
    pub addr: String,
    /// Path at the target.
    pub path: String,
    /// The adapter or service that the target must report as what it ran.
    pub expected_name: String,
    /// The incarnation of the target that the call is meant for.
    pub incarnation: Incarnation,
    /// The owner's fencing number.
    pub fence: Fence,
    /// When the owner's lease ends. The call must not be sent after that.
    pub lease_until: Duration,
    /// Priority at the target, from 0 (high) to 2 (low).
    pub priority: u8,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the call may run more than once. A call that may run only once gets its own
    /// connection: if that is found broken, the call was certainly not sent.
    pub idempotent: bool,
    /// Resumes the request's answer from this offset, in bytes, instead of starting the request.
    pub resume_from: Option<u64>,
    /// The body.
    pub body: Bytes,
    /// Number of bytes of the answer that may be read before [`Output::ReadMore`] allows more.
    pub credit: u32,
}

/// An order to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The number of the order within an incarnation of the sending host.
    pub order: u64,
    /// The target.
    pub target: TargetId,
    /// IP address and port.
    pub addr: String,
    /// The owner's fencing number.
    pub fence: Fence,
    /// When the owner's lease ends. The order must not be sent after that.
    pub lease_until: Duration,
    /// The incarnation of the target that the order is meant for.
    pub incarnation: Incarnation,
    /// Whether to load or to evict the adapter.
    pub action: Action,
    /// The adapter, `model@adapter@version`.
    pub adapter: String,
}

/// A change of the host's state that the daemon logs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateChange {
    /// The leader or the term changed.
    Leader {
        /// The leader; none if it is not known.
        leader: Option<HostId>,
        /// The term.
        term: u64,
    },
    /// This host's lease began (true) or ended (false).
    Lease(bool),
    /// A configuration came into force here.
    Config {
        /// Its revision: the log index of its publish.
        revision: Index,
        /// Its sequence number in the audit trail.
        sequence: u64,
    },
    /// This host became the owner of a target.
    TargetOwned {
        /// The target's name.
        target: String,
        /// The owner's fencing number.
        fence: Fence,
    },
    /// This host is no longer the owner of a target.
    TargetLost {
        /// The target's name.
        target: String,
    },
    /// A target's process restarted.
    Restarted {
        /// The target's name.
        target: String,
    },
    /// A strike was counted against a request, because its target crashed.
    Strike {
        /// The number of strikes against the request.
        count: u32,
    },
    /// The shutdown began.
    Leaving,
    /// A condition that needs an operator, as text.
    Alarm(String),
}

/// An accepted publish, and where it is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The receipt.
    pub receipt: Receipt,
    /// For each failure domain, how many live hosts have applied it and how many lag.
    pub in_force: Vec<DomainForce>,
}

/// An action that a host requests of the daemon. Outputs are carried out in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Output {
    /// Send a message to another host.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        msg: PeerMsg,
    },
    /// Write to disk. The completion is reported with [`Input::Synced`].
    Write(Write),
    /// Call a target.
    Call(Call),
    /// Read more bytes of a call's answer.
    ReadMore {
        /// The call.
        request: RequestId,
        /// Number of bytes.
        bytes: u32,
    },
    /// Stop a call, and ask the target to cancel it.
    CancelCall {
        /// The call.
        request: RequestId,
        /// IP address and port.
        addr: String,
    },
    /// Send an order to a target.
    Order(Order),
    /// Send the start of an answer to a caller.
    Head {
        /// The request.
        tag: Tag,
        /// HTTP status.
        status: u16,
        /// The target's name.
        target: String,
        /// The adapter or service that it ran.
        ran: String,
    },
    /// Send a piece of an answer to a caller.
    Piece {
        /// The request.
        tag: Tag,
        /// The piece.
        bytes: Bytes,
        /// Whether this is the last piece of the answer.
        last: bool,
    },
    /// Answer a caller with an error. After the head of an answer, break the answer off.
    Failed {
        /// The request.
        tag: Tag,
        /// The error.
        fault: Fault,
    },
    /// Answer an [`Input::Publish`].
    Published {
        /// The number of the publish.
        tag: Tag,
        /// The accepted publish, or the error.
        result: Result<Published, Fault>,
    },
    /// Log a change of the host's state.
    StateChanged(StateChange),
    /// Exit: the shutdown is complete. Holds the number of requests that were cut off.
    Exit(u32),
}
