//! A caller's request at its entry host.

use std::time::Duration;

use decl::Call;
use wire::{
    ClaimKey, Command, ErrorKind, Fault, Fingerprint, Forward, Head, HostId, Incarnation, Outcome,
    Pin, RequestId, Settle,
};

use crate::{Caller, view::Ctx};

/// Bytes of an answer under way between owner and caller.
const WINDOW_BYTES: u32 = 256 * 1024;
/// Bytes the caller takes before the owner is told.
pub(crate) const CREDIT_STEP_BYTES: u32 = WINDOW_BYTES / 4;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its claim is being committed.
    Claiming,
    /// It looks for an owner.
    Routing,
    /// An owner has it.
    Sent { request: RequestId, owner: HostId },
    /// Its outcome is being committed.
    Settling,
}

/// A request of a caller.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) caller: Box<Caller>,
    pub(crate) call: Call,
    pub(crate) pin: Pin,
    pub(crate) print: Fingerprint,
    pub(crate) stage: Stage,
    pub(crate) deadline: Duration,
    pub(crate) route_until: Duration,
    /// The last time its answer moved.
    pub(crate) moved: Duration,
    pub(crate) tried: Vec<HostId>,
    pub(crate) attempts: u32,
    /// The first fault after which it may have run.
    pub(crate) doubt: Option<Fault>,
    /// The attempt that holds the claim.
    pub(crate) claim: RequestId,
    /// Whether the answer's start went to the caller.
    pub(crate) started: bool,
    pub(crate) head: Option<Head>,
    pub(crate) received: u64,
    pub(crate) owed: u32,
    /// The answer of a claimed call, kept until it is whole.
    pub(crate) answer: Vec<u8>,
    /// What to tell the caller once the outcome is committed.
    pub(crate) verdict: Option<Fault>,
    /// Whether the caller is still there.
    pub(crate) present: bool,
}

/// Returns whether another attempt may end differently.
pub(crate) fn is_passing(kind: ErrorKind) -> bool {
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

pub(crate) fn stage_owner(request: &Request) -> Option<HostId> {
    match request.stage {
        Stage::Sent { owner, .. } => Some(owner),
        _ => None,
    }
}

pub(crate) fn claim_key(request: &Request) -> ClaimKey {
    ClaimKey {
        caller: request.caller.caller.clone(),
        key: request.caller.key.clone().unwrap_or_default(),
    }
}

pub(crate) fn not_run(key: ClaimKey, request: RequestId, kind: ErrorKind) -> Command {
    Command::Settle(Settle { key, request, outcome: Outcome::NotRun(kind) })
}

pub(crate) fn ran_name(pin: &Pin) -> &str {
    match pin {
        Pin::Adapter { name, .. } => name,
        Pin::Service { service } => service,
    }
}

pub(crate) fn forward(ctx: &Ctx, request: &Request, id: RequestId, run: Incarnation) -> Forward {
    Forward {
        request: id,
        incarnation: run,
        pin: request.pin.clone(),
        caller: request.caller.caller.clone(),
        print: request.print,
        urgency: request.call.urgency,
        left: request.deadline.saturating_sub(ctx.now),
        idempotent: request.call.idempotent,
        stream: request.caller.stream,
        path: request.call.path.clone(),
        body: request.caller.body.clone(),
        credit: WINDOW_BYTES,
    }
}
