//! A request attempt at the owner of its target.

use std::time::Duration;

use wire::{
    AdapterId, Answer, Fail, Fault, Fence, Forward, HostId, Incarnation, Index, PeerMsg, Pin,
    RequestId, TargetId, Urgency,
};

use crate::Call;

/// Where an attempt stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It waits for a target.
    Queued,
    /// A target runs it.
    Running(Running),
    /// Its target crashed; the strike is being committed.
    Striking,
    /// The strike must be in force at every host before the entry may retry.
    Struck { index: Index, since: Duration, asked: Duration },
}

/// The call of a running attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Running {
    pub(crate) target: TargetId,
    pub(crate) name: String,
    pub(crate) addr: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) since: Duration,
    pub(crate) resumes: u32,
    /// When to ask the target for the rest of a broken answer.
    pub(crate) resume: Option<Duration>,
    /// Until when the target's next report is awaited: it tells a lost answer
    /// from a crash.
    pub(crate) awaits: Option<Duration>,
}

/// A request attempt.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) forward: Box<Forward>,
    pub(crate) entry: HostId,
    pub(crate) since: Duration,
    pub(crate) deadline: Duration,
    pub(crate) stage: Stage,
    pub(crate) requeues: u32,
    pub(crate) head: bool,
    pub(crate) offset: u64,
    /// Bytes the entry still takes.
    pub(crate) credit: u32,
}

impl Attempt {
    pub(crate) fn adapter(&self) -> Option<AdapterId> {
        match &self.forward.pin {
            Pin::Adapter { id, .. } => Some(*id),
            Pin::Service { .. } => None,
        }
    }

    /// Returns what the target must say it ran.
    pub(crate) fn ran(&self) -> &str {
        match &self.forward.pin {
            Pin::Adapter { name, .. } => name,
            Pin::Service { service } => service,
        }
    }
}

/// Composes the call of an attempt, or the call that asks for the rest of its
/// answer.
pub(crate) fn call(
    attempt: &Attempt,
    running: &Running,
    fence: Fence,
    until: Duration,
    resume: Option<u64>,
) -> Call {
    let forward = &attempt.forward;
    Call {
        request: forward.request,
        target: running.name.clone(),
        addr: running.addr.clone(),
        path: forward.path.clone(),
        ran: attempt.ran().to_owned(),
        incarnation: running.incarnation,
        fence,
        until,
        priority: priority(forward.urgency),
        stream: forward.stream,
        idempotent: forward.idempotent,
        resume,
        body: forward.body.clone(),
        credit: attempt.credit,
    }
}

fn priority(urgency: Urgency) -> u8 {
    match urgency {
        Urgency::High => 0,
        Urgency::Normal => 1,
        Urgency::Low => 2,
    }
}

pub(crate) fn fail_msg(request: RequestId, fault: Fault) -> PeerMsg {
    PeerMsg::Answer(Answer::Fail(Fail { request, fault }))
}
