//! Calls that end without a whole answer: resumption, crashes, strikes.

use std::time::Duration;

use wire::{
    Ask, Command, DomainForce, ErrorKind, Fault, Fingerprint, Incarnation, Index, PeerMsg,
    RequestId, TargetId,
};

use crate::{
    CallFailure, Change, Output,
    attempt::{Stage, call},
    effect::Effects,
    owner::Owner,
    view::Ctx,
};

const RESUME_AFTER: Duration = Duration::from_millis(100);
const MAX_RESUMES: u32 = 8;
/// How long a target's report is awaited after its answer was lost.
const REPORT_LIMIT: Duration = Duration::from_secs(4);
const ASK_EVERY: Duration = Duration::from_millis(200);
/// How long a strike may take to be in force at every host. Hosts that lag
/// longer have no lease by then.
const STRIKE_LIMIT: Duration = Duration::from_secs(12);

impl Owner {
    /// Takes the end of a call without a whole answer.
    pub(crate) fn call_failed(
        &mut self,
        ctx: &Ctx,
        id: RequestId,
        failure: CallFailure,
        fx: &mut Effects,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let Stage::Running(running) = &mut attempt.stage else { return };
        let target = running.target;
        let resumed = running.resumes > 0;
        match failure {
            CallFailure::NotSent if resumed => self.resume_refused(ctx, id, fx),
            CallFailure::NotSent => {
                if let Some(held) = self.targets.get_mut(&target) {
                    held.unreachable = true;
                }
                let fault = Fault::new(ErrorKind::Refused, "could not connect to the target");
                self.requeue(ctx, id, fault, fx);
            }
            CallFailure::Refused(_) | CallFailure::Wrong(_) if resumed => {
                // The target kept no answer, or a later run of it replied.
                running.awaits = Some(ctx.now + REPORT_LIMIT);
            }
            CallFailure::Refused(word) => self.refused(ctx, id, target, &word, fx),
            CallFailure::Lost => self.lost(ctx, id, fx),
            CallFailure::Wrong(detail) => {
                self.stop(ctx, id, Fault::new(ErrorKind::WrongAnswer, detail), fx);
            }
        }
    }

    /// Takes a target's refusal to run a request.
    fn refused(
        &mut self,
        ctx: &Ctx,
        id: RequestId,
        target: TargetId,
        word: &str,
        fx: &mut Effects,
    ) {
        let adapter = self.attempts.get(&id).and_then(|attempt| attempt.adapter());
        let fault = Fault::new(ErrorKind::Refused, word);
        let Some(held) = self.targets.get_mut(&target) else {
            self.requeue(ctx, id, fault, fx);
            return;
        };
        match word {
            "not_loaded" => held.forget_adapter(adapter, id),
            "full" => held.crowded(),
            "leaving" => held.leaving = true,
            _ => held.unreachable = true,
        }
        self.dirty.insert(target);
        self.requeue(ctx, id, fault, fx);
    }

    /// Asks the target for the rest of a broken answer. An engine keeps it; from
    /// any target, the reply tells whether its process still runs.
    fn lost(&mut self, ctx: &Ctx, id: RequestId, fx: &mut Effects) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let Stage::Running(running) = &mut attempt.stage else { return };
        running.resumes += 1;
        if running.resumes > MAX_RESUMES {
            self.stop(ctx, id, ErrorKind::TargetLost.into(), fx);
            return;
        }
        running.resume = Some(ctx.now + RESUME_AFTER);
    }

    /// Ends the attempts whose answer is lost although their target's process
    /// still runs, as its report shows.
    pub(crate) fn answers_lost(&mut self, ctx: &Ctx, target: TargetId, fx: &mut Effects) {
        let mut ids: Vec<RequestId> = Vec::new();
        for (&id, attempt) in &self.attempts {
            let Stage::Running(running) = &attempt.stage else { continue };
            if running.target == target && running.awaits.is_some() {
                ids.push(id);
            }
        }
        ids.sort_unstable();
        for id in ids {
            self.stop(ctx, id, ErrorKind::TargetLost.into(), fx);
        }
    }

    /// A target that refuses connections while it runs requests has crashed.
    fn resume_refused(&mut self, ctx: &Ctx, id: RequestId, fx: &mut Effects) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let Stage::Running(running) = &attempt.stage else { return };
        let (target, run) = (running.target, running.incarnation);
        self.crashed(ctx, target, run + 1, fx);
        if let Some(held) = self.targets.get_mut(&target) {
            held.unreachable = true;
            self.dirty.insert(target);
        }
    }

    /// Counts a strike against every request that runs before, in which a
    /// target's run `before` began.
    pub(crate) fn crashed(
        &mut self,
        ctx: &Ctx,
        target: TargetId,
        before: Incarnation,
        fx: &mut Effects,
    ) {
        let mut ids: Vec<RequestId> = Vec::new();
        for (&id, attempt) in &self.attempts {
            let Stage::Running(running) = &attempt.stage else { continue };
            if running.target == target && running.incarnation < before {
                ids.push(id);
            }
        }
        ids.sort_unstable();
        for id in ids {
            self.strike(ctx, id, fx);
        }
    }

    fn strike(&mut self, ctx: &Ctx, id: RequestId, fx: &mut Effects) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let adapter = attempt.adapter();
        let print = attempt.forward.print;
        let Stage::Running(running) = std::mem::replace(&mut attempt.stage, Stage::Striking) else {
            return;
        };
        self.free(ctx, id, &running, adapter);
        fx.out(Output::CancelCall { request: id, addr: running.addr });
        fx.propose(Command::Strike(print));
    }

    /// Takes the commit of a strike of this host.
    pub(crate) fn struck(&mut self, ctx: &Ctx, print: Fingerprint, index: Index, fx: &mut Effects) {
        let mut any = false;
        for attempt in self.attempts.values_mut() {
            if attempt.stage != Stage::Striking || attempt.forward.print != print {
                continue;
            }
            attempt.stage = Stage::Struck { index, since: ctx.now, asked: Duration::ZERO };
            any = true;
        }
        if any {
            let count = ctx.view.strikes.count(&print);
            fx.out(Output::Changed(Change::Strike { count }));
        }
    }

    /// Takes the leader's answer on how far a strike has come.
    pub(crate) fn strike_force(
        &mut self,
        id: RequestId,
        domains: &[DomainForce],
        fx: &mut Effects,
    ) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        if !matches!(attempt.stage, Stage::Struck { .. }) {
            return;
        }
        if domains.iter().all(|domain| domain.lagging == 0) {
            self.fail(id, ErrorKind::TargetLost.into(), fx);
        }
    }

    /// Resumes broken answers, enforces deadlines, follows strikes.
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
            Stage::Queued if ctx.now >= attempt.deadline => {
                self.policy.cancel(id);
                self.fail(id, ErrorKind::Expired.into(), fx);
            }
            Stage::Running(running) => {
                if running.resume.is_some_and(|at| ctx.now >= at) {
                    running.resume = None;
                    self.resume(id, fx);
                    return;
                }
                if running.awaits.is_some_and(|until| ctx.now >= until) {
                    self.stop(ctx, id, ErrorKind::TargetLost.into(), fx);
                    return;
                }
                if !attempt.head && attempt.forward.idempotent && ctx.now >= attempt.deadline {
                    self.stop(ctx, id, ErrorKind::TimedOut.into(), fx);
                }
            }
            Stage::Struck { index, since, asked } => {
                if ctx.now >= *since + STRIKE_LIMIT {
                    self.fail(id, ErrorKind::TargetLost.into(), fx);
                    return;
                }
                if ctx.now < *asked + ASK_EVERY {
                    return;
                }
                *asked = ctx.now;
                let ask = Ask::InForce { index: *index, tag: id };
                if let Some(leader) = ctx.view.leader {
                    fx.send(leader, PeerMsg::Ask(ask));
                }
            }
            Stage::Queued | Stage::Striking => {}
        }
    }

    fn resume(&mut self, id: RequestId, fx: &mut Effects) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let Stage::Running(running) = &attempt.stage else { return };
        let fence = self.targets.get(&running.target).map_or(0, |held| held.fence);
        // A resumption starts nothing, so the lease does not bind it.
        let until = Duration::MAX;
        let offset = Some(attempt.offset);
        fx.out(Output::Call(call(attempt, running, fence, until, offset)));
    }
}
