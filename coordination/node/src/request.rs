//! A caller's request at its entry host.

use std::time::Duration;

use decl::Call;
use wire::{
    ClaimKey, Command, ErrorKind, Fault, Fingerprint, Forward, Head, HostId, Incarnation, Outcome,
    Pin, RequestId, Settle,
};

use crate::{CallerRequest, view::Ctx};

/// Maximum number of answer bytes in flight between owner and caller.
const WINDOW_BYTES: u32 = 256 * 1024;
/// Number of bytes that the caller consumes before the owner gets new credit.
pub(crate) const CREDIT_STEP_BYTES: u32 = WINDOW_BYTES / 4;

/// The state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// Its claim is being committed.
    Claiming,
    /// It waits to be sent to an owner.
    Routing,
    /// It was sent to an owner.
    Sent { request: RequestId, owner: HostId },
    /// Its outcome is being committed.
    Settling,
}

/// A request of a caller.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) caller: Box<CallerRequest>,
    pub(crate) call: Call,
    pub(crate) pin: Pin,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) stage: RequestStage,
    pub(crate) deadline: Duration,
    pub(crate) route_until: Duration,
    /// When it was last sent to an owner, or its answer last progressed.
    pub(crate) progressed_at: Duration,
    /// Owners that failed it, to be left out when it is routed again.
    pub(crate) tried: Vec<HostId>,
    pub(crate) attempts: u32,
    /// The first error after which the request may have run.
    pub(crate) in_doubt: Option<Fault>,
    /// The id under which the idempotency key is claimed; zero for an idempotent call.
    pub(crate) claim_id: RequestId,
    /// Whether the start of the answer was passed to the caller.
    pub(crate) started: bool,
    pub(crate) head: Option<Head>,
    pub(crate) received: u64,
    /// Bytes the caller consumed for which the owner has no credit yet.
    pub(crate) pending_credit: u32,
    /// The answer of a claimed call, collected until it is complete.
    pub(crate) answer: Vec<u8>,
    /// The error for the caller once the outcome is committed; none for a complete answer.
    pub(crate) caller_fault: Option<Fault>,
    /// Whether the caller is still connected.
    pub(crate) caller_present: bool,
}

/// Returns whether another attempt may succeed after an error of this kind.
pub(crate) fn is_transient(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::QueueFull
            | ErrorKind::LoadFailed
            | ErrorKind::Refused
            | ErrorKind::TargetLost
            | ErrorKind::OwnerLost
            | ErrorKind::WrongAnswer
    )
}

pub(crate) fn current_owner(request: &Request) -> Option<HostId> {
    match request.stage {
        RequestStage::Sent { owner, .. } => Some(owner),
        _ => None,
    }
}

pub(crate) fn claim_key(request: &Request) -> ClaimKey {
    ClaimKey {
        caller: request.caller.caller.clone(),
        key: request.caller.key.clone().unwrap_or_default(),
    }
}

pub(crate) fn settle_not_run(key: ClaimKey, request: RequestId, kind: ErrorKind) -> Command {
    Command::Settle(Settle { key, request, outcome: Outcome::NotRun(kind) })
}

pub(crate) fn ran_name(pin: &Pin) -> &str {
    match pin {
        Pin::Adapter { name, .. } => name,
        Pin::Service { service } => service,
    }
}

pub(crate) fn forward_msg(
    ctx: &Ctx,
    request: &Request,
    id: RequestId,
    incarnation: Incarnation,
) -> Forward {
    Forward {
        request: id,
        incarnation,
        pin: request.pin.clone(),
        caller: request.caller.caller.clone(),
        fingerprint: request.fingerprint,
        urgency: request.call.urgency,
        time_left: request.deadline.saturating_sub(ctx.now),
        idempotent: request.call.idempotent,
        stream: request.caller.stream,
        path: request.call.path.clone(),
        body: request.caller.body.clone(),
        credit: WINDOW_BYTES,
    }
}
