//! Request attempts at the host that owns their target.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use admit::QueuedRequest;
use lease::Registry;
use place::{Decision, Policy};
use wire::{
    AdapterId, Answer, Command, Credit, ErrorKind, Fault, Forward, Head, HostId, Incarnation,
    PeerMsg, Piece, Pin, RequestId, TargetId,
};

use crate::{
    Output,
    attempt::{Attempt, AttemptStage, Running, fail_msg, target_call},
    dedup::RequestDedup,
    effect::Effects,
    orders::LoadJob,
    pin::prefix,
    stats::Stats,
    target::TrackedTarget,
    view::Ctx,
};

/// How often a request may return to the queue after a target refused it.
const MAX_REQUEUES: u32 = 4;

/// The targets that this host owns, and the requests for them.
pub(crate) struct Owner {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) policy: Box<dyn Policy>,
    pub(crate) targets: BTreeMap<TargetId, TrackedTarget>,
    pub(crate) attempts: HashMap<RequestId, Attempt>,
    /// Load jobs by the number of their orders.
    pub(crate) load_jobs: BTreeMap<u64, LoadJob>,
    pub(crate) next_order: u64,
    /// Targets that changed since they were last passed to the policy.
    pub(crate) dirty: BTreeSet<TargetId>,
    /// When load requests to the leader were last due.
    pub(crate) loads_requested: Duration,
    pub(crate) stats: Stats,
    pub(crate) leaving: bool,
    dedup: RequestDedup,
    /// The registry that the owned targets were last synchronised with.
    pub(crate) registry: Arc<Registry>,
}

impl Owner {
    pub(crate) fn new(host: HostId, incarnation: Incarnation, policy: Box<dyn Policy>) -> Owner {
        Owner {
            host,
            incarnation,
            policy,
            targets: BTreeMap::new(),
            attempts: HashMap::new(),
            load_jobs: BTreeMap::new(),
            next_order: 1,
            dirty: BTreeSet::new(),
            loads_requested: Duration::ZERO,
            stats: Stats::default(),
            leaving: false,
            dedup: RequestDedup::default(),
            registry: Arc::default(),
        }
    }

    /// Refuses queued requests that no owned target can serve for now. Another owner may be able
    /// to.
    pub(crate) fn refuse_unserved(&mut self, ctx: &Ctx, fx: &mut Effects) {
        let queued: Vec<RequestId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.stage == AttemptStage::Queued)
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

    /// Handles a request from an entry host.
    pub(crate) fn handle_forward(
        &mut self,
        ctx: &Ctx,
        entry: HostId,
        forward: Box<Forward>,
        fx: &mut Effects,
    ) {
        let id = forward.request;
        // A request that was refused must not start either when it arrives again.
        if !self.dedup.record(ctx.now, id) {
            return;
        }
        if let Err(kind) = self.admit(ctx, &forward) {
            fx.send(entry, fail_msg(id, kind.into()));
            return;
        }
        let waiting = self.queue_entry(ctx, &forward, ctx.now);
        if let Err(kind) = self.policy.enqueue(ctx.now, waiting) {
            fx.send(entry, fail_msg(id, kind.into()));
            return;
        }
        let deadline = ctx.now + forward.time_left;
        let credit = forward.credit;
        let attempt = Attempt {
            forward,
            entry,
            received_at: ctx.now,
            deadline,
            stage: AttemptStage::Queued,
            requeues: 0,
            head_sent: false,
            offset: 0,
            credit,
        };
        self.attempts.insert(id, attempt);
        self.run_policy(ctx, fx);
    }

    fn admit(&self, ctx: &Ctx, forward: &Forward) -> Result<(), ErrorKind> {
        if ctx.lease.is_none() {
            return Err(ErrorKind::NoLease);
        }
        if !self.can_serve(ctx, &forward.pin) {
            return Err(ErrorKind::NoTarget);
        }
        if !self.has_same_id(ctx, &forward.pin) {
            // With this error the entry host may try another owner.
            return Err(ErrorKind::NoLease);
        }
        if ctx.view.strikes.count(&forward.fingerprint) >= claims::QUARANTINE_CRASHES {
            return Err(ErrorKind::Quarantined);
        }
        Ok(())
    }

    /// Returns whether an owned target serves a request's model or service and accepts new work, or
    /// may do so with its next report.
    fn can_serve(&self, ctx: &Ctx, pin: &Pin) -> bool {
        self.targets.values().any(|tracked| tracked.serves(pin) && tracked.is_usable(ctx.now))
    }

    /// Returns whether the adapter has the same id in this host's configuration as in that of the
    /// entry host. It does unless this host's configuration lags.
    fn has_same_id(&self, ctx: &Ctx, pin: &Pin) -> bool {
        let Pin::Adapter { id, name } = pin else { return true };
        ctx.view.config.adapters.get(name).is_some_and(|info| info.id == *id)
    }

    fn queue_entry(&self, ctx: &Ctx, forward: &Forward, queued_at: Duration) -> QueuedRequest {
        QueuedRequest {
            request: forward.request,
            pin: forward.pin.clone(),
            caller: forward.caller.clone(),
            urgency: forward.urgency,
            queued_at,
            deadline: ctx.now + forward.time_left,
            prefix: prefix(forward),
            exclusive: ctx.view.strikes.count(&forward.fingerprint) > 0,
        }
    }

    /// Carries out the policy's decisions until it has no more.
    pub(crate) fn run_policy(&mut self, ctx: &Ctx, fx: &mut Effects) {
        let Some(until) = ctx.lease else { return };
        loop {
            self.update_policy(ctx);
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

    /// Passes the targets that changed to the policy.
    pub(crate) fn update_policy(&mut self, ctx: &Ctx) {
        for id in std::mem::take(&mut self.dirty) {
            let Some(tracked) = self.targets.get(&id) else { continue };
            self.policy.set_target(ctx.now, tracked.view(ctx.now, ctx.lease.is_some()));
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
        let Some(tracked) = self.targets.get_mut(&target) else { return };
        self.dirty.insert(target);
        let Some(incarnation) = tracked.incarnation else { return };
        let adapter = attempt.adapter();
        let alone = ctx.view.strikes.count(&attempt.forward.fingerprint) > 0;
        tracked.add_request(id, adapter, alone);
        let running = Running {
            target,
            name: tracked.info.name.clone(),
            addr: tracked.info.addr.clone(),
            incarnation,
            started_at: ctx.now,
            resumes: 0,
            resume_at: None,
            report_until: None,
        };
        fx.output(Output::Call(target_call(attempt, &running, tracked.fence, until, None)));
        attempt.stage = AttemptStage::Running(running);
    }

    /// Handles the start of a target's answer.
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
        let AttemptStage::Running(running) = &attempt.stage else { return };
        if ran != attempt.expected_name() || incarnation != running.incarnation {
            let detail = format!("{} ran {ran}", running.name);
            self.stop(ctx, id, Fault::new(ErrorKind::WrongAnswer, detail), fx);
            return;
        }
        if status >= 500 {
            let detail = format!("{} answered {status}", running.name);
            self.stop(ctx, id, Fault::new(ErrorKind::TargetFailed, detail), fx);
            return;
        }
        if attempt.head_sent {
            return;
        }
        attempt.head_sent = true;
        let head = Head { request: id, status, target: running.name.clone(), ran };
        fx.send(attempt.entry, PeerMsg::Answer(Answer::Head(head)));
    }

    /// Handles a piece of a target's answer.
    pub(crate) fn call_piece(&mut self, ctx: &Ctx, mut piece: Piece, fx: &mut Effects) {
        let id = piece.request;
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if !attempt.head_sent || !matches!(attempt.stage, AttemptStage::Running(_)) {
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
        let Some(attempt) = self.remove_attempt(ctx, id) else { return };
        if ctx.view.strikes.count(&attempt.forward.fingerprint) > 0 {
            fx.propose(Command::Clear(attempt.forward.fingerprint));
        }
        self.run_policy(ctx, fx);
    }

    /// Removes an attempt and its reservation at the target.
    pub(crate) fn remove_attempt(&mut self, ctx: &Ctx, id: RequestId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        if let AttemptStage::Running(running) = &attempt.stage {
            self.release_target(ctx, id, running, attempt.adapter());
        }
        Some(attempt)
    }

    pub(crate) fn release_target(
        &mut self,
        ctx: &Ctx,
        id: RequestId,
        running: &Running,
        adapter: Option<AdapterId>,
    ) {
        let Some(tracked) = self.targets.get_mut(&running.target) else { return };
        tracked.remove_request(id, adapter);
        self.dirty.insert(running.target);
        let took = ctx.now.saturating_sub(running.started_at);
        self.policy.finished(ctx.now, running.target, took);
    }

    /// Ends an attempt with an error, and cancels its call if it is running.
    pub(crate) fn stop(&mut self, ctx: &Ctx, id: RequestId, fault: Fault, fx: &mut Effects) {
        let Some(attempt) = self.remove_attempt(ctx, id) else { return };
        if let AttemptStage::Running(running) = &attempt.stage {
            fx.output(Output::CancelCall { request: id, addr: running.addr.clone() });
        }
        fx.send(attempt.entry, fail_msg(id, fault));
        self.run_policy(ctx, fx);
    }

    /// Ends an attempt with an error. The attempt must not be running at a target.
    pub(crate) fn fail(&mut self, id: RequestId, fault: Fault, fx: &mut Effects) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        fx.send(attempt.entry, fail_msg(id, fault));
    }

    /// Queues again an attempt that its target did not run, or ends it with the error if that
    /// happened too often.
    pub(crate) fn requeue(&mut self, ctx: &Ctx, id: RequestId, fault: Fault, fx: &mut Effects) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let stage = std::mem::replace(&mut attempt.stage, AttemptStage::Queued);
        attempt.requeues += 1;
        attempt.forward.time_left = attempt.deadline.saturating_sub(ctx.now);
        let spent = attempt.requeues > MAX_REQUEUES;
        let adapter = attempt.adapter();
        if let AttemptStage::Running(running) = &stage {
            self.release_target(ctx, id, running, adapter);
        }
        let Some(attempt) = self.attempts.get(&id) else { return };
        let waiting = self.queue_entry(ctx, &attempt.forward, attempt.received_at);
        if spent || self.policy.enqueue(ctx.now, waiting).is_err() {
            self.fail(id, fault, fx);
        }
        self.run_policy(ctx, fx);
    }

    /// Allows more bytes of an answer to be read from the target.
    pub(crate) fn add_credit(&mut self, credit: Credit, fx: &mut Effects) {
        let Some(attempt) = self.attempts.get_mut(&credit.request) else { return };
        attempt.credit = attempt.credit.saturating_add(credit.bytes);
        if matches!(attempt.stage, AttemptStage::Running(_)) {
            fx.output(Output::ReadMore { request: credit.request, bytes: credit.bytes });
        }
    }

    /// Cancels an attempt on behalf of its entry host.
    pub(crate) fn cancel(&mut self, ctx: &Ctx, id: RequestId, fx: &mut Effects) {
        // The request may arrive after its cancellation.
        self.dedup.record(ctx.now, id);
        self.policy.cancel(id);
        let Some(attempt) = self.remove_attempt(ctx, id) else { return };
        if let AttemptStage::Running(running) = &attempt.stage {
            fx.output(Output::CancelCall { request: id, addr: running.addr.clone() });
        }
        self.run_policy(ctx, fx);
    }

    /// Ends the attempts of an entry host that is lost. A non-idempotent call that already runs is
    /// left to end by itself.
    pub(crate) fn entry_lost(&mut self, ctx: &Ctx, entry: HostId, fx: &mut Effects) {
        let mut ids: Vec<RequestId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.entry == entry)
            .filter(|(_, a)| a.forward.idempotent || a.stage == AttemptStage::Queued)
            .map(|(id, _)| *id)
            .collect();
        ids.sort_unstable();
        for id in ids {
            let queued = self.attempts.get(&id).is_some_and(|it| it.stage == AttemptStage::Queued);
            if queued {
                self.policy.cancel(id);
                self.fail(id, ErrorKind::NoTarget.into(), fx);
                continue;
            }
            self.stop(ctx, id, ErrorKind::OwnerLost.into(), fx);
        }
    }
}
