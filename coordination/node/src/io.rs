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

/// Numbers the requests of one run of a host; the daemon counts them.
pub type Tag = u64;

/// What a host starts with besides its settings.
#[derive(Debug, Clone)]
pub struct Start {
    /// The run of the host; later runs have higher numbers.
    pub incarnation: Incarnation,
    /// What it found on its disk, if it has one.
    pub disk: Option<Recovered>,
    /// Wall-clock time in milliseconds since the epoch.
    pub wall: u64,
}

/// A caller's request as it arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// Who calls.
    pub caller: CallerId,
    /// The service it names; for a model request it may be left out.
    pub service: Option<String>,
    /// The declared call it names.
    pub call: Option<String>,
    /// `model@adapter@version` of a model request.
    pub model: Option<String>,
    /// Time until the caller's deadline, if it gives one.
    pub deadline: Option<Duration>,
    /// The idempotency key.
    pub key: Option<String>,
    /// When the key was made, in milliseconds since the epoch.
    pub made: Option<u64>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The body, passed on as it is.
    pub body: Bytes,
}

/// How a call to a target ended without a whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallFailure {
    /// The connection was refused or failed before a byte was sent.
    NotSent,
    /// The target refused before running, with its word for why.
    Refused(String),
    /// The connection ended after bytes were sent.
    Lost,
    /// The head or the end of the answer is not that of this request.
    Wrong(String),
}

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderResult {
    /// Done; the adapters the target now holds.
    Done(Vec<String>),
    /// Refused or failed, with the target's word for why; it had no effect.
    Failed(String),
    /// The connection was refused or failed before a byte was sent.
    NotSent,
    /// No answer came; it may have had an effect.
    Unknown,
}

/// What happens to a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// Time has passed; about every 20 milliseconds.
    Tick {
        /// Wall-clock time in milliseconds since the epoch.
        wall: u64,
    },
    /// A message from another host arrived.
    Peer {
        /// The sender.
        from: HostId,
        /// The message.
        msg: PeerMsg,
    },
    /// The connection to a host broke; messages may be lost.
    PeerLost(HostId),
    /// A write is on disk.
    Synced(u64),
    /// A write failed.
    SyncFailed(String),
    /// A target announced itself here or sent its report here.
    Report(TargetReport),
    /// A caller's request arrived.
    Request {
        /// Its number.
        tag: Tag,
        /// The request.
        caller: Box<Caller>,
    },
    /// The caller's connection took bytes of its answer.
    Taken {
        /// The request.
        tag: Tag,
        /// How many.
        bytes: u32,
    },
    /// The caller closed its connection.
    Gone(Tag),
    /// The target answered a call: its head has been checked.
    CallHead {
        /// The call.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// What the target says it ran.
        ran: String,
        /// The run of the target.
        incarnation: Incarnation,
    },
    /// A piece of a target's answer.
    CallPiece {
        /// The call.
        request: RequestId,
        /// Where it starts in the answer, in bytes.
        offset: u64,
        /// The piece.
        bytes: Bytes,
        /// Whether the answer is whole with it.
        last: bool,
    },
    /// A call ended without a whole answer.
    CallFailed {
        /// The call.
        request: RequestId,
        /// How.
        failure: CallFailure,
    },
    /// An order ended.
    OrderEnded {
        /// The order.
        order: u64,
        /// How.
        result: OrderResult,
    },
    /// An operator hands in declaration files.
    Publish {
        /// Numbers the operators' requests.
        tag: Tag,
        /// The files.
        publish: Publish,
    },
    /// The host should finish what it has and end.
    Shutdown,
}

/// A call to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The request attempt; sent along and echoed by the target.
    pub request: RequestId,
    /// The target's name.
    pub target: String,
    /// IP number and port.
    pub addr: String,
    /// Path at the target.
    pub path: String,
    /// What the target must say it ran.
    pub ran: String,
    /// The run of the target the call is meant for.
    pub incarnation: Incarnation,
    /// The owner's fencing number.
    pub fence: Fence,
    /// When the owner's lease ends; the call must not be sent after that.
    pub until: Duration,
    /// Urgency for the target; lower is sooner.
    pub priority: u8,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the call may run more than once. Any other call gets a connection
    /// of its own, so that a connection found broken tells that it was not sent.
    pub idempotent: bool,
    /// Resumes the request's answer from this offset in place of starting it.
    pub resume: Option<u64>,
    /// The body.
    pub body: Bytes,
    /// Bytes of the answer that may be read before [`Output::Read`] allows more.
    pub credit: u32,
}

/// An order to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Numbers the orders of one run of a host.
    pub order: u64,
    /// The target.
    pub target: TargetId,
    /// IP number and port.
    pub addr: String,
    /// The fencing number.
    pub fence: Fence,
    /// When the owner's lease ends; the order must not be sent after that.
    pub until: Duration,
    /// The run of the target the order is meant for.
    pub incarnation: Incarnation,
    /// What to do.
    pub action: Action,
    /// The adapter, `model@adapter@version`.
    pub adapter: String,
}

/// A change of state worth a log line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The leader or the term changed.
    Leader {
        /// The leader, if known.
        leader: Option<HostId>,
        /// The term.
        term: u64,
    },
    /// This host's lease began or ended.
    Lease(bool),
    /// A configuration came into force here.
    Config {
        /// Its revision.
        revision: Index,
        /// Its audit sequence.
        sequence: u64,
    },
    /// This host came to own a target.
    Owns {
        /// The target's name.
        target: String,
        /// The fencing number.
        fence: Fence,
    },
    /// This host lost a target.
    Disowns {
        /// The target's name.
        target: String,
    },
    /// A target's process restarted.
    Restarted {
        /// The target's name.
        target: String,
    },
    /// A request got a strike.
    Strike {
        /// The strikes it has.
        count: u32,
    },
    /// Shutdown began.
    Leaving,
    /// Something needs an operator.
    Alarm(String),
}

/// An accepted publish and how far it has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The receipt.
    pub receipt: Receipt,
    /// How far it has come by failure domain.
    pub domains: Vec<DomainForce>,
}

/// What a host wants done, in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Output {
    /// Send a message to another host.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        msg: PeerMsg,
    },
    /// Write to disk; the completion comes back as [`Input::Synced`].
    Write(Write),
    /// Call a target.
    Call(Call),
    /// Read further bytes of a call's answer.
    Read {
        /// The call.
        request: RequestId,
        /// How many.
        bytes: u32,
    },
    /// Stop a call and tell the target to cancel it.
    CancelCall {
        /// The call.
        request: RequestId,
        /// IP number and port.
        addr: String,
    },
    /// Order a target.
    Order(Order),
    /// The start of a caller's answer.
    Head {
        /// The request.
        tag: Tag,
        /// HTTP status.
        status: u16,
        /// The target's name.
        target: String,
        /// What it ran.
        ran: String,
    },
    /// A piece of a caller's answer.
    Piece {
        /// The request.
        tag: Tag,
        /// The piece.
        bytes: Bytes,
        /// Whether the answer is whole with it.
        last: bool,
    },
    /// An answer without a result. After the head of an answer, its end.
    Failed {
        /// The request.
        tag: Tag,
        /// Why.
        fault: Fault,
    },
    /// Answers [`Input::Publish`].
    Published {
        /// The operator's request.
        tag: Tag,
        /// The confirmation, or why the publish was refused.
        result: Result<Published, Fault>,
    },
    /// Write a log line.
    Changed(Change),
    /// The shutdown is complete; the number of requests that were cut.
    Exit(u32),
}
