//! Request attempts at the owner of their target.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use admit::Waiting;
use lease::Registry;
use place::{Decision, Policy};
use wire::{
    AdapterId, Answer, Command, Credit, ErrorKind, Fault, Forward, Head, HostId, Incarnation,
    PeerMsg, Piece, Pin, RequestId, TargetId,
};

use crate::{
    Output,
    attempt::{Attempt, Running, Stage, call, fail_msg},
    effect::Effects,
    heard::Heard,
    held::Held,
    orders::Job,
    pin::prefix,
    stats::Stats,
    view::Ctx,
};

/// How often a request may go back into the queue after a target refused it.
const MAX_REQUEUES: u32 = 4;

/// The table of owned targets and their requests.
pub(crate) struct Owner {
    pub(crate) host: HostId,
    pub(crate) run: Incarnation,
    pub(crate) policy: Box<dyn Policy>,
    pub(crate) targets: BTreeMap<TargetId, Held>,
    pub(crate) attempts: HashMap<RequestId, Attempt>,
    pub(crate) jobs: BTreeMap<u64, Job>,
    pub(crate) next_order: u64,
    pub(crate) dirty: BTreeSet<TargetId>,
    pub(crate) sent_wants: Duration,
    pub(crate) stats: Stats,
    pub(crate) leaving: bool,
    heard: Heard,
    pub(crate) registry: Arc<Registry>,
}

impl Owner {
    pub(crate) fn new(host: HostId, run: Incarnation, policy: Box<dyn Policy>) -> Owner {
        Owner {
            host,
            run,
            policy,
            targets: BTreeMap::new(),
            attempts: HashMap::new(),
            jobs: BTreeMap::new(),
            next_order: 1,
            dirty: BTreeSet::new(),
            sent_wants: Duration::ZERO,
            stats: Stats::default(),
            leaving: false,
            heard: Heard::default(),
            registry: Arc::default(),
        }
    }

    /// Refuses queued requests that no owned target can serve for now; another
    /// owner may.
    pub(crate) fn refuse_unserved(&mut self, ctx: &Ctx, fx: &mut Effects) {
        let queued: Vec<RequestId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.stage == Stage::Queued)
            .filter(|(_, attempt)| !self.can_serve(ctx, &attempt.forward.pin))
            .map(|(id, _)| *id)
            .collect();
        self.refuse_all(queued, ErrorKind::NoTarget, fx);
    }

    pub(crate) fn refuse_all(
        &mut self,
        mut ids: Vec<RequestId>,
        kind: ErrorKind,
        fx: &mut Effects,
    ) {
        ids.sort_unstable();
        for id in ids {
            self.policy.cancel(id);
            self.fail(id, kind.into(), fx);
        }
    }

    /// Takes a request from an entry.
    pub(crate) fn forward(
        &mut self,
        ctx: &Ctx,
        entry: HostId,
        forward: Box<Forward>,
        fx: &mut Effects,
    ) {
        let id = forward.request;
        // Also one that was refused must not start when it arrives again.
        if !self.heard.note(ctx.now, id) {
            return;
        }
        if let Err(kind) = self.admit(ctx, &forward) {
            fx.send(entry, fail_msg(id, kind.into()));
            return;
        }
        let waiting = self.waiting(ctx, &forward, ctx.now);
        if let Err(kind) = self.policy.enqueue(ctx.now, waiting) {
            fx.send(entry, fail_msg(id, kind.into()));
            return;
        }
        let deadline = ctx.now + forward.left;
        let credit = forward.credit;
        let attempt = Attempt {
            forward,
            entry,
            since: ctx.now,
            deadline,
            stage: Stage::Queued,
            requeues: 0,
            head: false,
            offset: 0,
            credit,
        };
        self.attempts.insert(id, attempt);
        self.pump(ctx, fx);
    }

    fn admit(&self, ctx: &Ctx, forward: &Forward) -> Result<(), ErrorKind> {
        if ctx.lease.is_none() {
            return Err(ErrorKind::NoLease);
        }
        if !self.can_serve(ctx, &forward.pin) {
            return Err(ErrorKind::NoTarget);
        }
        if !self.knows(ctx, &forward.pin) {
            return Err(ErrorKind::NoLease);
        }
        if ctx.view.strikes.count(&forward.print) >= claims::QUARANTINE_STRIKES {
            return Err(ErrorKind::Quarantined);
        }
        Ok(())
    }

    /// Returns whether an owned target serves a request's model or service and
    /// takes new work, or did until a moment ago.
    fn can_serve(&self, ctx: &Ctx, pin: &Pin) -> bool {
        self.targets.values().any(|held| held.serves(pin) && held.is_usable(ctx.now))
    }

    /// Returns whether this host numbers the adapter as the entry does. It does
    /// unless its configuration is behind.
    fn knows(&self, ctx: &Ctx, pin: &Pin) -> bool {
        let Pin::Adapter { id, name } = pin else { return true };
        ctx.view.config.adapters.get(name).is_some_and(|info| info.id == *id)
    }

    fn waiting(&self, ctx: &Ctx, forward: &Forward, since: Duration) -> Waiting {
        Waiting {
            request: forward.request,
            pin: forward.pin.clone(),
            caller: forward.caller.clone(),
            urgency: forward.urgency,
            since,
            deadline: ctx.now + forward.left,
            prefix: prefix(forward),
            alone: ctx.view.strikes.count(&forward.print) > 0,
        }
    }

    /// Starts whatever the policy can start now.
    pub(crate) fn pump(&mut self, ctx: &Ctx, fx: &mut Effects) {
        let Some(until) = ctx.lease else { return };
        loop {
            self.flush(ctx);
            let decisions = self.policy.decide(ctx.now);
            if decisions.is_empty() {
                break;
            }
            for decision in decisions {
                match decision {
                    Decision::Start { request, target } => {
                        self.start(ctx, until, request, target, fx);
                    }
                    Decision::Refuse { request, kind } => self.fail(request, kind.into(), fx),
                }
            }
        }
    }

    /// Shows the policy the targets that changed.
    pub(crate) fn flush(&mut self, ctx: &Ctx) {
        for id in std::mem::take(&mut self.dirty) {
            let Some(held) = self.targets.get(&id) else { continue };
            self.policy.set_target(ctx.now, held.view(ctx.now, ctx.lease.is_some()));
        }
    }

    fn start(
        &mut self,
        ctx: &Ctx,
        until: Duration,
        id: RequestId,
        target: TargetId,
        fx: &mut Effects,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let Some(held) = self.targets.get_mut(&target) else { return };
        self.dirty.insert(target);
        let Some(incarnation) = held.incarnation else { return };
        let adapter = attempt.adapter();
        let alone = ctx.view.strikes.count(&attempt.forward.print) > 0;
        held.start(id, adapter, alone);
        let running = Running {
            target,
            name: held.info.name.clone(),
            addr: held.info.addr.clone(),
            incarnation,
            since: ctx.now,
            resumes: 0,
            resume: None,
            awaits: None,
        };
        fx.out(Output::Call(call(attempt, &running, held.fence, until, None)));
        attempt.stage = Stage::Running(running);
    }

    /// Takes the start of a target's answer.
    pub(crate) fn call_head(
        &mut self,
        ctx: &Ctx,
        id: RequestId,
        status: u16,
        ran: String,
        incarnation: Incarnation,
        fx: &mut Effects,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let Stage::Running(running) = &attempt.stage else { return };
        if ran != attempt.ran() || incarnation != running.incarnation {
            let detail = format!("{} ran {ran}", running.name);
            self.stop(ctx, id, Fault::new(ErrorKind::WrongAnswer, detail), fx);
            return;
        }
        if status >= 500 {
            let detail = format!("{} answered {status}", running.name);
            self.stop(ctx, id, Fault::new(ErrorKind::TargetFailed, detail), fx);
            return;
        }
        if attempt.head {
            return;
        }
        attempt.head = true;
        let head = Head { request: id, status, target: running.name.clone(), ran };
        fx.send(attempt.entry, PeerMsg::Answer(Answer::Head(head)));
    }

    /// Takes a piece of a target's answer.
    pub(crate) fn call_piece(&mut self, ctx: &Ctx, mut piece: Piece, fx: &mut Effects) {
        let id = piece.request;
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if !attempt.head || !matches!(attempt.stage, Stage::Running(_)) {
            return;
        }
        if piece.offset > attempt.offset {
            let detail = format!("piece at {}, expected {}", piece.offset, attempt.offset);
            self.stop(ctx, id, Fault::new(ErrorKind::WrongAnswer, detail), fx);
            return;
        }
        let known = (attempt.offset - piece.offset).min(piece.bytes.len() as u64) as usize;
        piece.bytes = piece.bytes.split_off(known);
        piece.offset = attempt.offset;
        attempt.offset += piece.bytes.len() as u64;
        attempt.credit = attempt.credit.saturating_sub(piece.bytes.len() as u32);
        let last = piece.last;
        fx.send(attempt.entry, PeerMsg::Answer(Answer::Piece(piece)));
        if last {
            self.complete(ctx, id, fx);
        }
    }

    fn complete(&mut self, ctx: &Ctx, id: RequestId, fx: &mut Effects) {
        let Some(attempt) = self.release(ctx, id) else { return };
        if ctx.view.strikes.count(&attempt.forward.print) > 0 {
            fx.propose(Command::Clear(attempt.forward.print));
        }
        self.pump(ctx, fx);
    }

    /// Removes an attempt and frees its place at the target.
    pub(crate) fn release(&mut self, ctx: &Ctx, id: RequestId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        if let Stage::Running(running) = &attempt.stage {
            self.free(ctx, id, running, attempt.adapter());
        }
        Some(attempt)
    }

    pub(crate) fn free(
        &mut self,
        ctx: &Ctx,
        id: RequestId,
        running: &Running,
        adapter: Option<AdapterId>,
    ) {
        let Some(held) = self.targets.get_mut(&running.target) else { return };
        held.stop(id, adapter);
        self.dirty.insert(running.target);
        let took = ctx.now.saturating_sub(running.since);
        self.policy.finished(ctx.now, running.target, took);
    }

    /// Ends an attempt that its target may still be running.
    pub(crate) fn stop(&mut self, ctx: &Ctx, id: RequestId, fault: Fault, fx: &mut Effects) {
        let Some(attempt) = self.release(ctx, id) else { return };
        if let Stage::Running(running) = &attempt.stage {
            fx.out(Output::CancelCall { request: id, addr: running.addr.clone() });
        }
        fx.send(attempt.entry, fail_msg(id, fault));
        self.pump(ctx, fx);
    }

    /// Ends an attempt that is not at a target.
    pub(crate) fn fail(&mut self, id: RequestId, fault: Fault, fx: &mut Effects) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        fx.send(attempt.entry, fail_msg(id, fault));
    }

    /// Puts an attempt that its target did not run back into the queue.
    pub(crate) fn requeue(&mut self, ctx: &Ctx, id: RequestId, fault: Fault, fx: &mut Effects) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let stage = std::mem::replace(&mut attempt.stage, Stage::Queued);
        attempt.requeues += 1;
        attempt.forward.left = attempt.deadline.saturating_sub(ctx.now);
        let spent = attempt.requeues > MAX_REQUEUES;
        let adapter = attempt.adapter();
        if let Stage::Running(running) = &stage {
            self.free(ctx, id, running, adapter);
        }
        let Some(attempt) = self.attempts.get(&id) else { return };
        let waiting = self.waiting(ctx, &attempt.forward, attempt.since);
        if spent || self.policy.enqueue(ctx.now, waiting).is_err() {
            self.fail(id, fault, fx);
        }
        self.pump(ctx, fx);
    }

    /// Lets the target send more of an answer.
    pub(crate) fn credit(&mut self, credit: Credit, fx: &mut Effects) {
        let Some(attempt) = self.attempts.get_mut(&credit.request) else { return };
        attempt.credit = attempt.credit.saturating_add(credit.bytes);
        if matches!(attempt.stage, Stage::Running(_)) {
            fx.out(Output::Read { request: credit.request, bytes: credit.bytes });
        }
    }

    /// Gives up an attempt that its entry does not want any more.
    pub(crate) fn cancel(&mut self, ctx: &Ctx, id: RequestId, fx: &mut Effects) {
        // The request may yet arrive.
        self.heard.note(ctx.now, id);
        self.policy.cancel(id);
        let Some(attempt) = self.release(ctx, id) else { return };
        if let Stage::Running(running) = &attempt.stage {
            fx.out(Output::CancelCall { request: id, addr: running.addr.clone() });
        }
        self.pump(ctx, fx);
    }

    /// Gives up the attempts of an entry that is lost. A non-idempotent call that
    /// runs is left to end.
    pub(crate) fn entry_lost(&mut self, ctx: &Ctx, entry: HostId, fx: &mut Effects) {
        let mut ids: Vec<RequestId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.entry == entry)
            .filter(|(_, a)| a.forward.idempotent || a.stage == Stage::Queued)
            .map(|(id, _)| *id)
            .collect();
        ids.sort_unstable();
        for id in ids {
            let queued = self.attempts.get(&id).is_some_and(|it| it.stage == Stage::Queued);
            if queued {
                self.policy.cancel(id);
                self.fail(id, ErrorKind::NoTarget.into(), fx);
                continue;
            }
            self.stop(ctx, id, ErrorKind::OwnerLost.into(), fx);
        }
    }
}
