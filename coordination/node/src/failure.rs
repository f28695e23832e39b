//! Calls that end without a complete answer: resumption, crashes and strikes. A strike is a crash
//! of a target that is counted against a request it ran.

use std::time::Duration;

use wire::{
    Command, DomainForce, ErrorKind, Fault, Fingerprint, Incarnation, Index, PeerMsg, Query,
    RequestId, TargetId,
};

use crate::{
    CallFailure, Output, StateChange,
    attempt::{AttemptStage, target_call},
    effect::Effects,
    owner::Owner,
    view::Ctx,
};

const RESUME_DELAY: Duration = Duration::from_millis(100);
const MAX_RESUMES: u32 = 8;
/// How long to wait for a target's report after its answer was lost.
const LOST_ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long a strike may take to be applied at every host. A host that lags longer has no lease by
/// then.
const STRIKE_TIMEOUT: Duration = Duration::from_secs(12);

impl Owner {
    /// Handles the end of a call without a complete answer.
    pub(crate) fn call_failed(
        &mut self,
        ctx: &Ctx,
        id: RequestId,
        failure: CallFailure,
        fx: &mut Effects,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let AttemptStage::Running(running) = &mut attempt.stage else { return };
        let target = running.target;
        let resumed = running.resumes > 0;
        match failure {
            CallFailure::NotSent if resumed => self.resume_not_sent(ctx, id, fx),
            CallFailure::NotSent => {
                if let Some(tracked) = self.targets.get_mut(&target) {
                    tracked.unreachable = true;
                }
                let fault = Fault::new(ErrorKind::Refused, "could not connect to the target");
                self.requeue(ctx, id, fault, fx);
            }
            CallFailure::Refused(_) | CallFailure::WrongAnswer(_) if resumed => {
                // The target did not keep the answer, or a later incarnation of it replied.
                running.report_until = Some(ctx.now + LOST_ANSWER_TIMEOUT);
            }
            CallFailure::Refused(reason) => self.target_refused(ctx, id, target, &reason, fx),
            CallFailure::Lost => self.schedule_resume(ctx, id, fx),
            CallFailure::WrongAnswer(detail) => {
                self.stop(ctx, id, Fault::new(ErrorKind::WrongAnswer, detail), fx);
            }
        }
    }

    /// Handles a target's refusal to run a request. `reason` is the target's word for it.
    fn target_refused(
        &mut self,
        ctx: &Ctx,
        id: RequestId,
        target: TargetId,
        reason: &str,
        fx: &mut Effects,
    ) {
        let adapter = self.attempts.get(&id).and_then(|attempt| attempt.adapter());
        let fault = Fault::new(ErrorKind::Refused, reason);
        let Some(tracked) = self.targets.get_mut(&target) else {
            self.requeue(ctx, id, fault, fx);
            return;
        };
        match reason {
            "not_loaded" => tracked.forget_adapter(adapter, id),
            "full" => tracked.mark_full(),
            "leaving" => tracked.leaving = true,
            _ => tracked.unreachable = true,
        }
        self.dirty.insert(target);
        self.requeue(ctx, id, fault, fx);
    }

    /// Schedules the resumption of an interrupted answer, or ends the attempt after too many. An
    /// engine keeps the answer and can resume it. A service cannot, but its reply still shows
    /// whether its process runs.
    fn schedule_resume(&mut self, ctx: &Ctx, id: RequestId, fx: &mut Effects) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let AttemptStage::Running(running) = &mut attempt.stage else { return };
        running.resumes += 1;
        if running.resumes > MAX_RESUMES {
            self.stop(ctx, id, ErrorKind::TargetLost.into(), fx);
            return;
        }
        running.resume_at = Some(ctx.now + RESUME_DELAY);
    }

    /// Ends the attempts whose answer is lost although the target's process still runs, as its
    /// report shows.
    pub(crate) fn stop_lost_answers(&mut self, ctx: &Ctx, target: TargetId, fx: &mut Effects) {
        let mut ids: Vec<RequestId> = Vec::new();
        for (&id, attempt) in &self.attempts {
            let AttemptStage::Running(running) = &attempt.stage else { continue };
            if running.target == target && running.report_until.is_some() {
                ids.push(id);
            }
        }
        ids.sort_unstable();
        for id in ids {
            self.stop(ctx, id, ErrorKind::TargetLost.into(), fx);
        }
    }

    /// Handles a resumption that could not be sent: the target is taken to have crashed.
    fn resume_not_sent(&mut self, ctx: &Ctx, id: RequestId, fx: &mut Effects) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let AttemptStage::Running(running) = &attempt.stage else { return };
        let (target, incarnation) = (running.target, running.incarnation);
        self.target_crashed(ctx, target, incarnation + 1, fx);
        if let Some(tracked) = self.targets.get_mut(&target) {
            tracked.unreachable = true;
            self.dirty.insert(target);
        }
    }

    /// Counts a strike against every request that ran in an incarnation of the target lower than
    /// `before`.
    pub(crate) fn target_crashed(
        &mut self,
        ctx: &Ctx,
        target: TargetId,
        before: Incarnation,
        fx: &mut Effects,
    ) {
        let mut ids: Vec<RequestId> = Vec::new();
        for (&id, attempt) in &self.attempts {
            let AttemptStage::Running(running) = &attempt.stage else { continue };
            if running.target == target && running.incarnation < before {
                ids.push(id);
            }
        }
        ids.sort_unstable();
        for id in ids {
            self.record_crash(ctx, id, fx);
        }
    }

    fn record_crash(&mut self, ctx: &Ctx, id: RequestId, fx: &mut Effects) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let adapter = attempt.adapter();
        let fingerprint = attempt.forward.fingerprint;
        let AttemptStage::Running(running) =
            std::mem::replace(&mut attempt.stage, AttemptStage::StrikeProposed)
        else {
            return;
        };
        self.release_target(ctx, id, &running, adapter);
        fx.output(Output::CancelCall { request: id, addr: running.addr });
        fx.propose(Command::Strike(fingerprint));
    }

    /// Handles the commit of a strike that this host proposed.
    pub(crate) fn strike_applied(
        &mut self,
        ctx: &Ctx,
        fingerprint: Fingerprint,
        index: Index,
        fx: &mut Effects,
    ) {
        let mut any = false;
        for attempt in self.attempts.values_mut() {
            if attempt.stage != AttemptStage::StrikeProposed
                || attempt.forward.fingerprint != fingerprint
            {
                continue;
            }
            attempt.stage =
                AttemptStage::StrikeCommitted { index, since: ctx.now, polled_at: Duration::ZERO };
            any = true;
        }
        if any {
            let count = ctx.view.strikes.count(&fingerprint);
            fx.output(Output::StateChanged(StateChange::Strike { count }));
        }
    }

    /// Handles the leader's reply to a query for a strike. The attempt ends once no host lags.
    pub(crate) fn strike_in_force(
        &mut self,
        id: RequestId,
        domains: &[DomainForce],
        fx: &mut Effects,
    ) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        if !matches!(attempt.stage, AttemptStage::StrikeCommitted { .. }) {
            return;
        }
        if domains.iter().all(|domain| domain.lagging == 0) {
            self.fail(id, ErrorKind::TargetLost.into(), fx);
        }
    }

    /// Resumes interrupted answers, enforces deadlines and follows committed strikes.
    pub(crate) fn tick_attempts(&mut self, ctx: &Ctx, fx: &mut Effects) {
        let mut ids: Vec<RequestId> = self.attempts.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            self.tick_attempt(ctx, id, fx);
        }
    }

    fn tick_attempt(&mut self, ctx: &Ctx, id: RequestId, fx: &mut Effects) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        match &mut attempt.stage {
            AttemptStage::Queued if ctx.now >= attempt.deadline => {
                self.policy.cancel(id);
                self.fail(id, ErrorKind::Expired.into(), fx);
            }
            AttemptStage::Running(running) => {
                if running.resume_at.is_some_and(|at| ctx.now >= at) {
                    running.resume_at = None;
                    self.resume(id, fx);
                    return;
                }
                if running.report_until.is_some_and(|until| ctx.now >= until) {
                    self.stop(ctx, id, ErrorKind::TargetLost.into(), fx);
                    return;
                }
                if !attempt.head_sent && attempt.forward.idempotent && ctx.now >= attempt.deadline {
                    self.stop(ctx, id, ErrorKind::TimedOut.into(), fx);
                }
            }
            AttemptStage::StrikeCommitted { index, since, polled_at } => {
                if ctx.now >= *since + STRIKE_TIMEOUT {
                    self.fail(id, ErrorKind::TargetLost.into(), fx);
                    return;
                }
                if ctx.now < *polled_at + POLL_INTERVAL {
                    return;
                }
                *polled_at = ctx.now;
                let query = Query::InForce { index: *index, tag: id };
                if let Some(leader) = ctx.view.leader {
                    fx.send(leader, PeerMsg::Query(query));
                }
            }
            AttemptStage::Queued | AttemptStage::StrikeProposed => {}
        }
    }

    fn resume(&mut self, id: RequestId, fx: &mut Effects) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let AttemptStage::Running(running) = &attempt.stage else { return };
        let fence = self.targets.get(&running.target).map_or(0, |tracked| tracked.fence);
        // A resumption starts nothing at the target, so it needs no lease.
        let until = Duration::MAX;
        let offset = Some(attempt.offset);
        fx.output(Output::Call(target_call(attempt, running, fence, until, offset)));
    }
}
