//! Callers' requests at their entry host.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use admit::RetryBudget;
use claims::ClaimReply;
use route::Directory;
use wire::{
    Claim, Command, Credit, ErrorKind, Fault, HostId, Incarnation, Outcome, PeerMsg, RequestId,
    Settle, request_id,
};

use crate::{
    CallerRequest, Output, Tag,
    effect::Effects,
    pin::{pin_request, request_fingerprint},
    request::{
        CREDIT_STEP_BYTES, Request, RequestStage, claim_key, forward_msg, ran_name, settle_not_run,
    },
    view::Ctx,
};

/// How long a request waits for an owner that can serve it.
pub(crate) const ROUTE_TIMEOUT: Duration = Duration::from_secs(8);
/// Grace period after a request's deadline, for its answer to start or its outcome to be committed.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// How long a started answer may go without progress.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of strikes at which a request is quarantined: it is not run any more.
pub(crate) const QUARANTINE_CRASHES: u32 = claims::QUARANTINE_CRASHES;

/// The requests that callers sent to this host.
#[derive(Debug)]
pub(crate) struct EntryHost {
    pub(crate) host: HostId,
    incarnation: Incarnation,
    pub(crate) domain: String,
    next_seq: u64,
    pub(crate) budget: RetryBudget,
    pub(crate) requests: BTreeMap<Tag, Request>,
    pub(crate) attempts: HashMap<RequestId, Tag>,
    /// Requests by the id under which they claim their idempotency key.
    claims: HashMap<RequestId, Tag>,
    /// Claims of requests that ended before the claim was granted.
    abandoned: BTreeSet<RequestId>,
    leaving: bool,
}

impl EntryHost {
    pub(crate) fn new(
        host: HostId,
        incarnation: Incarnation,
        domain: &str,
        retry_percent: u32,
    ) -> EntryHost {
        EntryHost {
            host,
            incarnation,
            domain: domain.to_owned(),
            next_seq: 1,
            budget: RetryBudget::new(retry_percent),
            requests: BTreeMap::new(),
            attempts: HashMap::new(),
            claims: HashMap::new(),
            abandoned: BTreeSet::new(),
            leaving: false,
        }
    }

    /// Refuses new requests from now on.
    pub(crate) fn stop_admitting(&mut self) {
        self.leaving = true;
    }

    /// Returns how many requests are in progress.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Admits and starts a caller's request, or refuses it.
    pub(crate) fn handle_request(
        &mut self,
        ctx: &Ctx,
        dir: &Directory,
        tag: Tag,
        caller: Box<CallerRequest>,
        fx: &mut Effects,
    ) {
        match self.admit(ctx, caller) {
            Ok(request) => {
                self.requests.insert(tag, request);
                self.start(ctx, dir, tag, fx);
            }
            Err(fault) => fx.output(Output::Failed { tag, fault }),
        }
    }

    fn admit(&mut self, ctx: &Ctx, caller: Box<CallerRequest>) -> Result<Request, Fault> {
        if self.leaving {
            return Err(ErrorKind::Leaving.into());
        }
        if ctx.lease.is_none() {
            return Err(ErrorKind::NoLease.into());
        }
        let (pin, call) = pin_request(&ctx.view.config, &caller)?;
        if !call.idempotent && caller.key.is_none() {
            return Err(ErrorKind::KeyMissing.into());
        }
        // If the time of the key defaulted to now, a resend whose claim was already dropped would
        // run as a new call.
        if !call.idempotent && caller.key_made_ms.is_none() {
            return Err(Fault::new(ErrorKind::KeyMissing, "the time of the key is missing"));
        }
        let fingerprint = request_fingerprint(&pin, &call.path, &caller.body);
        if ctx.view.strikes.count(&fingerprint) >= QUARANTINE_CRASHES {
            return Err(ErrorKind::Quarantined.into());
        }
        let deadline = ctx.now + caller.deadline.unwrap_or(call.deadline);
        Ok(Request {
            caller,
            call,
            pin,
            fingerprint,
            stage: RequestStage::Routing,
            deadline,
            route_until: (ctx.now + ROUTE_TIMEOUT).min(deadline),
            progressed_at: ctx.now,
            tried: Vec::new(),
            attempts: 0,
            in_doubt: None,
            claim_id: 0,
            started: false,
            head: None,
            received: 0,
            pending_credit: 0,
            answer: Vec::new(),
            caller_fault: None,
            caller_present: true,
        })
    }

    fn start(&mut self, ctx: &Ctx, dir: &Directory, tag: Tag, fx: &mut Effects) {
        let claim = self.next_id();
        let Some(request) = self.requests.get_mut(&tag) else { return };
        if request.call.idempotent {
            self.route(ctx, dir, tag, fx);
            return;
        }
        request.stage = RequestStage::Claiming;
        request.claim_id = claim;
        self.claims.insert(claim, tag);
        let made_at = request.caller.key_made_ms.unwrap_or_default();
        fx.propose(Command::Claim(Claim {
            key: claim_key(request),
            fingerprint: request.fingerprint,
            host: self.host,
            incarnation: self.incarnation,
            request: claim,
            made_at,
        }));
    }

    fn next_id(&mut self) -> RequestId {
        let id = request_id(self.host, self.incarnation, self.next_seq);
        self.next_seq += 1;
        id
    }

    /// Sends a request to an owner. While no owner can serve it, the request stays in routing.
    pub(crate) fn route(&mut self, ctx: &Ctx, dir: &Directory, tag: Tag, fx: &mut Effects) {
        let id = self.next_id();
        let Some(request) = self.requests.get_mut(&tag) else { return };
        request.stage = RequestStage::Routing;
        if ctx.lease.is_none() {
            return;
        }
        let mut choice = dir.choose(ctx.now, &request.pin, &self.domain, &request.tried);
        if choice.is_none() && !request.tried.is_empty() {
            request.tried.clear();
            choice = dir.choose(ctx.now, &request.pin, &self.domain, &[]);
        }
        let Some(choice) = choice else { return };
        if request.attempts == 0 {
            self.budget.record_attempt();
        }
        request.attempts += 1;
        request.stage = RequestStage::Sent { request: id, owner: choice.host };
        request.progressed_at = ctx.now;
        self.attempts.insert(id, tag);
        let forward = forward_msg(ctx, request, id, self.incarnation);
        fx.send(choice.host, PeerMsg::Forward(Box::new(forward)));
    }

    /// Handles the result of a claim that this host proposed.
    pub(crate) fn claim_applied(
        &mut self,
        ctx: &Ctx,
        dir: &Directory,
        claim: &Claim,
        reply: &ClaimReply,
        fx: &mut Effects,
    ) {
        let granted = *reply == ClaimReply::Granted;
        if self.abandoned.remove(&claim.request) && granted {
            fx.propose(settle_not_run(claim.key.clone(), claim.request, ErrorKind::Cancelled));
        }
        // A claim may be granted again while its request is in progress.
        let Some(tag) = self.find_claim(claim.request, RequestStage::Claiming) else { return };
        match reply {
            ClaimReply::Granted => self.route(ctx, dir, tag, fx),
            ClaimReply::Done { status, body } => {
                let Some(request) = self.remove(tag) else { return };
                let ran = ran_name(&request.pin).to_owned();
                fx.output(Output::Head { tag, status: *status, target: String::new(), ran });
                fx.output(Output::Piece { tag, bytes: body.clone(), last: true });
            }
            ClaimReply::Refused(kind) => {
                self.remove(tag);
                fx.output(Output::Failed { tag, fault: (*kind).into() });
            }
        }
    }

    fn find_claim(&self, claim: RequestId, stage: RequestStage) -> Option<Tag> {
        let tag = self.claims.get(&claim)?;
        let request = self.requests.get(tag)?;
        (request.stage == stage).then_some(*tag)
    }

    /// Handles the commit of an outcome. From now on the caller may be answered.
    pub(crate) fn outcome_applied(&mut self, settle: &Settle, fx: &mut Effects) {
        let Some(tag) = self.find_claim(settle.request, RequestStage::Settling) else { return };
        self.answer_caller(tag, fx);
    }

    /// Answers the caller of a claimed call and removes the request.
    fn answer_caller(&mut self, tag: Tag, fx: &mut Effects) {
        let Some(request) = self.remove(tag) else { return };
        if let Some(fault) = request.caller_fault {
            fx.output(Output::Failed { tag, fault });
            return;
        }
        let Some(head) = request.head else { return };
        fx.output(Output::Head { tag, status: head.status, target: head.target, ran: head.ran });
        fx.output(Output::Piece { tag, bytes: request.answer.into(), last: true });
    }

    /// Proposes the outcome of a claimed call. The caller is answered once it is committed.
    pub(crate) fn commit_outcome(
        &mut self,
        tag: Tag,
        outcome: Outcome,
        caller_fault: Option<Fault>,
        fx: &mut Effects,
    ) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        if let RequestStage::Sent { request: id, .. } = request.stage {
            self.attempts.remove(&id);
        }
        request.stage = RequestStage::Settling;
        request.caller_fault = caller_fault;
        let settle = Settle { key: claim_key(request), request: request.claim_id, outcome };
        fx.propose(Command::Settle(settle));
    }

    /// Removes a request and its index entries.
    pub(crate) fn remove(&mut self, tag: Tag) -> Option<Request> {
        let request = self.requests.remove(&tag)?;
        if let RequestStage::Sent { request: id, .. } = request.stage {
            self.attempts.remove(&id);
        }
        self.claims.remove(&request.claim_id);
        Some(request)
    }

    /// Removes a request whose claim is not granted yet.
    pub(crate) fn abandon(&mut self, tag: Tag) {
        let Some(request) = self.remove(tag) else { return };
        self.abandoned.insert(request.claim_id);
    }

    /// Records that the caller's connection consumed bytes of its answer, and sends credit to the
    /// owner in steps of [`CREDIT_STEP_BYTES`].
    pub(crate) fn consumed(&mut self, tag: Tag, bytes: u32, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        let RequestStage::Sent { request: id, owner } = request.stage else { return };
        request.pending_credit += bytes;
        if request.pending_credit < CREDIT_STEP_BYTES {
            return;
        }
        let credit = Credit { request: id, bytes: request.pending_credit };
        request.pending_credit = 0;
        fx.send(owner, PeerMsg::Credit(credit));
    }

    /// Handles a caller that closed its connection. A claimed call continues, so that a resend gets
    /// its outcome.
    pub(crate) fn caller_left(&mut self, tag: Tag, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        request.caller_present = false;
        if !request.call.idempotent {
            return;
        }
        if let RequestStage::Sent { request: id, owner } = request.stage {
            fx.send(owner, PeerMsg::Cancel(id));
        }
        self.remove(tag);
    }

    /// Answers all callers, because this host ends.
    pub(crate) fn end_all(&mut self, fx: &mut Effects) {
        let tags: Vec<Tag> = self.requests.keys().copied().collect();
        for tag in tags {
            self.end(tag, fx);
        }
    }

    fn end(&mut self, tag: Tag, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        let fault = match request.stage {
            RequestStage::Routing => ErrorKind::Leaving.into(),
            RequestStage::Claiming => ErrorKind::NoQuorum.into(),
            RequestStage::Sent { .. } | RequestStage::Settling => {
                Fault::new(ErrorKind::TimedOut, "the host shut down before the answer was whole")
            }
        };
        if let RequestStage::Sent { request: id, owner } = request.stage {
            request.in_doubt.get_or_insert_with(|| fault.clone());
            if request.call.idempotent {
                fx.send(owner, PeerMsg::Cancel(id));
            }
        }
        if request.stage != RequestStage::Settling {
            self.finish(tag, fault, fx);
        }
        // Nothing waits for the commit of an outcome any more. The outcome is known, or in doubt.
        self.answer_caller(tag, fx);
    }

    /// Routes requests that have no owner, and enforces time limits.
    pub(crate) fn tick(&mut self, ctx: &Ctx, dir: &Directory, fx: &mut Effects) {
        let tags: Vec<Tag> = self.requests.keys().copied().collect();
        for tag in tags {
            self.tick_request(ctx, dir, tag, fx);
        }
    }

    fn tick_request(&mut self, ctx: &Ctx, dir: &Directory, tag: Tag, fx: &mut Effects) {
        let Some(request) = self.requests.get(&tag) else { return };
        match request.stage {
            RequestStage::Routing if ctx.now >= request.route_until => {
                let kind = match ctx.lease {
                    Some(_) => ErrorKind::NoTarget,
                    None => ErrorKind::NoLease,
                };
                self.finish(tag, kind.into(), fx);
            }
            RequestStage::Routing => self.route(ctx, dir, tag, fx),
            RequestStage::Claiming if ctx.now >= request.deadline => {
                self.finish(tag, ErrorKind::NoQuorum.into(), fx);
            }
            RequestStage::Sent { .. }
                if request.started && ctx.now >= request.progressed_at + IDLE_TIMEOUT =>
            {
                self.attempt_failed(ctx, dir, tag, ErrorKind::TimedOut.into(), fx);
            }
            RequestStage::Sent { .. }
                if !request.started && ctx.now >= request.deadline + DEADLINE_GRACE =>
            {
                self.attempt_failed(ctx, dir, tag, ErrorKind::TimedOut.into(), fx);
            }
            // The outcome was not committed in time, for lack of a quorum. The caller is answered
            // anyway, since the outcome is known.
            RequestStage::Settling if ctx.now >= request.deadline + DEADLINE_GRACE => {
                self.answer_caller(tag, fx)
            }
            _ => {}
        }
    }
}
