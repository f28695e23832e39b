//! One attempt of a request, at the host that owns the target.

use std::time::Duration;

use wire::{
    AdapterId, Answer, Fail, Fault, Fence, Forward, HostId, Incarnation, Index, PeerMsg, Pin,
    RequestId, TargetId, Urgency,
};

use crate::Call;

/// The state of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AttemptStage {
    /// In the policy's queue for a target.
    Queued,
    /// Sent to a target.
    Running(Running),
    /// The target crashed; the strike is being committed.
    StrikeProposed,
    /// The strike is committed. Every host must apply it before the entry host may retry.
    StrikeCommitted { index: Index, since: Duration, polled_at: Duration },
}

/// A call to a target that is in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Running {
    pub(crate) target: TargetId,
    pub(crate) name: String,
    pub(crate) addr: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) started_at: Duration,
    pub(crate) resumes: u32,
    /// When to resume the answer, if it was interrupted.
    pub(crate) resume_at: Option<Duration>,
    /// Until when to wait for the target's next report, which tells a lost answer from a crash.
    pub(crate) report_until: Option<Duration>,
}

/// A request attempt.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) forward: Box<Forward>,
    pub(crate) entry: HostId,
    pub(crate) received_at: Duration,
    pub(crate) deadline: Duration,
    pub(crate) stage: AttemptStage,
    pub(crate) requeues: u32,
    pub(crate) head_sent: bool,
    pub(crate) offset: u64,
    /// Answer bytes that the entry host can still receive.
    pub(crate) credit: u32,
}

impl Attempt {
    pub(crate) fn adapter(&self) -> Option<AdapterId> {
        match &self.forward.pin {
            Pin::Adapter { id, .. } => Some(*id),
            Pin::Service { .. } => None,
        }
    }

    /// Returns the name that the target must report as what it ran.
    pub(crate) fn expected_name(&self) -> &str {
        match &self.forward.pin {
            Pin::Adapter { name, .. } => name,
            Pin::Service { service } => service,
        }
    }
}

/// Builds the call of an attempt. With `resume_from`, the call asks for the answer from that
/// offset on instead of starting the request.
pub(crate) fn target_call(
    attempt: &Attempt,
    running: &Running,
    fence: Fence,
    lease_until: Duration,
    resume_from: Option<u64>,
) -> Call {
    let forward = &attempt.forward;
    Call {
        request: forward.request,
        target: running.name.clone(),
        addr: running.addr.clone(),
        path: forward.path.clone(),
        expected_name: attempt.expected_name().to_owned(),
        incarnation: running.incarnation,
        fence,
        lease_until,
        priority: priority(forward.urgency),
        stream: forward.stream,
        idempotent: forward.idempotent,
        resume_from,
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
