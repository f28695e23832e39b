//! Requests of callers at their entry host.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use admit::Budget;
use claims::ClaimReply;
use route::Directory;
use wire::{
    Claim, Command, Credit, ErrorKind, Fault, HostId, Incarnation, Outcome, PeerMsg, RequestId,
    Settle, request_id,
};

use crate::{
    Caller, Output, Tag,
    effect::Effects,
    pin::{fingerprint, pin_request},
    request::{CREDIT_STEP_BYTES, Request, Stage, claim_key, forward, not_run, ran_name},
    view::Ctx,
};

/// How long a request waits for an owner to appear.
pub(crate) const ROUTE_WAIT: Duration = Duration::from_secs(8);
/// How long the owner may answer after the deadline before it is given up.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// How long an answer that has started may stand still.
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Strikes at which a request is not run any more.
pub(crate) const QUARANTINE_STRIKES: u32 = claims::QUARANTINE_STRIKES;

/// The table of callers' requests.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) host: HostId,
    run: Incarnation,
    pub(crate) domain: String,
    next: u64,
    pub(crate) budget: Budget,
    pub(crate) requests: BTreeMap<Tag, Request>,
    pub(crate) attempts: HashMap<RequestId, Tag>,
    /// Requests by the attempt that holds their claim.
    claims: HashMap<RequestId, Tag>,
    /// Claims of requests that ended before the claim was granted.
    abandoned: BTreeSet<RequestId>,
    leaving: bool,
}

impl Entry {
    pub(crate) fn new(host: HostId, run: Incarnation, domain: &str, retry_percent: u32) -> Entry {
        Entry {
            host,
            run,
            domain: domain.to_owned(),
            next: 1,
            budget: Budget::new(retry_percent),
            requests: BTreeMap::new(),
            attempts: HashMap::new(),
            claims: HashMap::new(),
            abandoned: BTreeSet::new(),
            leaving: false,
        }
    }

    /// Admits nothing from now on.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns how many requests are in progress.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Takes a caller's request.
    pub(crate) fn request(
        &mut self,
        ctx: &Ctx,
        dir: &Directory,
        tag: Tag,
        caller: Box<Caller>,
        fx: &mut Effects,
    ) {
        match self.admit(ctx, caller) {
            Ok(request) => {
                self.requests.insert(tag, request);
                self.begin(ctx, dir, tag, fx);
            }
            Err(fault) => fx.out(Output::Failed { tag, fault }),
        }
    }

    fn admit(&mut self, ctx: &Ctx, caller: Box<Caller>) -> Result<Request, Fault> {
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
        // A time filled in here would make a resend of a dropped key look new.
        if !call.idempotent && caller.made.is_none() {
            return Err(Fault::new(ErrorKind::KeyMissing, "the time of the key is missing"));
        }
        let print = fingerprint(&pin, &call.path, &caller.body);
        if ctx.view.strikes.count(&print) >= QUARANTINE_STRIKES {
            return Err(ErrorKind::Quarantined.into());
        }
        let deadline = ctx.now + caller.deadline.unwrap_or(call.deadline);
        Ok(Request {
            caller,
            call,
            pin,
            print,
            stage: Stage::Routing,
            deadline,
            route_until: (ctx.now + ROUTE_WAIT).min(deadline),
            moved: ctx.now,
            tried: Vec::new(),
            attempts: 0,
            doubt: None,
            claim: 0,
            started: false,
            head: None,
            received: 0,
            owed: 0,
            answer: Vec::new(),
            verdict: None,
            present: true,
        })
    }

    fn begin(&mut self, ctx: &Ctx, dir: &Directory, tag: Tag, fx: &mut Effects) {
        let claim = self.next_id();
        let Some(request) = self.requests.get_mut(&tag) else { return };
        if request.call.idempotent {
            self.route(ctx, dir, tag, fx);
            return;
        }
        request.stage = Stage::Claiming;
        request.claim = claim;
        self.claims.insert(claim, tag);
        let made = request.caller.made.unwrap_or_default();
        fx.propose(Command::Claim(Claim {
            key: claim_key(request),
            print: request.print,
            host: self.host,
            incarnation: self.run,
            request: claim,
            made,
        }));
    }

    fn next_id(&mut self) -> RequestId {
        let id = request_id(self.host, self.run, self.next);
        self.next += 1;
        id
    }

    /// Sends a request to an owner, or leaves it until one appears.
    pub(crate) fn route(&mut self, ctx: &Ctx, dir: &Directory, tag: Tag, fx: &mut Effects) {
        let id = self.next_id();
        let Some(request) = self.requests.get_mut(&tag) else { return };
        request.stage = Stage::Routing;
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
            self.budget.attempt();
        }
        request.attempts += 1;
        request.stage = Stage::Sent { request: id, owner: choice.host };
        request.moved = ctx.now;
        self.attempts.insert(id, tag);
        let forward = forward(ctx, request, id, self.run);
        fx.send(choice.host, PeerMsg::Forward(Box::new(forward)));
    }

    /// Takes the result of a claim of this host.
    pub(crate) fn claimed(
        &mut self,
        ctx: &Ctx,
        dir: &Directory,
        claim: &Claim,
        reply: &ClaimReply,
        fx: &mut Effects,
    ) {
        let granted = *reply == ClaimReply::Granted;
        if self.abandoned.remove(&claim.request) && granted {
            fx.propose(not_run(claim.key.clone(), claim.request, ErrorKind::Cancelled));
        }
        // A claim may be granted again while its request is under way.
        let Some(tag) = self.find_claim(claim.request, Stage::Claiming) else { return };
        match reply {
            ClaimReply::Granted => self.route(ctx, dir, tag, fx),
            ClaimReply::Done { status, body } => {
                let Some(request) = self.remove(tag) else { return };
                let ran = ran_name(&request.pin).to_owned();
                fx.out(Output::Head { tag, status: *status, target: String::new(), ran });
                fx.out(Output::Piece { tag, bytes: body.clone(), last: true });
            }
            ClaimReply::Refused(kind) => {
                self.remove(tag);
                fx.out(Output::Failed { tag, fault: (*kind).into() });
            }
        }
    }

    fn find_claim(&self, claim: RequestId, stage: Stage) -> Option<Tag> {
        let tag = self.claims.get(&claim)?;
        let request = self.requests.get(tag)?;
        (request.stage == stage).then_some(*tag)
    }

    /// Takes the commit of an outcome: now the caller may know it.
    pub(crate) fn settled(&mut self, settle: &Settle, fx: &mut Effects) {
        let Some(tag) = self.find_claim(settle.request, Stage::Settling) else { return };
        self.tell(tag, fx);
    }

    /// Tells the caller the verdict of a claimed call and forgets it.
    fn tell(&mut self, tag: Tag, fx: &mut Effects) {
        let Some(request) = self.remove(tag) else { return };
        if let Some(fault) = request.verdict {
            fx.out(Output::Failed { tag, fault });
            return;
        }
        let Some(head) = request.head else { return };
        fx.out(Output::Head { tag, status: head.status, target: head.target, ran: head.ran });
        fx.out(Output::Piece { tag, bytes: request.answer.into(), last: true });
    }

    /// Commits how a claimed call ended; the caller is told afterwards.
    pub(crate) fn settle(
        &mut self,
        tag: Tag,
        outcome: Outcome,
        verdict: Option<Fault>,
        fx: &mut Effects,
    ) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        if let Stage::Sent { request: id, .. } = request.stage {
            self.attempts.remove(&id);
        }
        request.stage = Stage::Settling;
        request.verdict = verdict;
        let settle = Settle { key: claim_key(request), request: request.claim, outcome };
        fx.propose(Command::Settle(settle));
    }

    /// Forgets a request and what leads to it.
    pub(crate) fn remove(&mut self, tag: Tag) -> Option<Request> {
        let request = self.requests.remove(&tag)?;
        if let Stage::Sent { request: id, .. } = request.stage {
            self.attempts.remove(&id);
        }
        self.claims.remove(&request.claim);
        Some(request)
    }

    /// Ends a request whose claim is not granted yet.
    pub(crate) fn abandon(&mut self, tag: Tag) {
        let Some(request) = self.remove(tag) else { return };
        self.abandoned.insert(request.claim);
    }

    /// Takes note that the caller's connection took bytes of its answer.
    pub(crate) fn taken(&mut self, tag: Tag, bytes: u32, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        let Stage::Sent { request: id, owner } = request.stage else { return };
        request.owed += bytes;
        if request.owed < CREDIT_STEP_BYTES {
            return;
        }
        let credit = Credit { request: id, bytes: request.owed };
        request.owed = 0;
        fx.send(owner, PeerMsg::Credit(credit));
    }

    /// Takes note that the caller left. A claimed call goes on, so that its
    /// outcome is known to the resend.
    pub(crate) fn gone(&mut self, tag: Tag, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        request.present = false;
        if !request.call.idempotent {
            return;
        }
        if let Stage::Sent { request: id, owner } = request.stage {
            fx.send(owner, PeerMsg::Cancel(id));
        }
        self.remove(tag);
    }

    /// Moves requests whose time has come.
    pub(crate) fn tick(&mut self, ctx: &Ctx, dir: &Directory, fx: &mut Effects) {
        let tags: Vec<Tag> = self.requests.keys().copied().collect();
        for tag in tags {
            self.tick_one(ctx, dir, tag, fx);
        }
    }

    fn tick_one(&mut self, ctx: &Ctx, dir: &Directory, tag: Tag, fx: &mut Effects) {
        let Some(request) = self.requests.get(&tag) else { return };
        match request.stage {
            Stage::Routing if ctx.now >= request.route_until => {
                let kind = match ctx.lease {
                    Some(_) => ErrorKind::NoTarget,
                    None => ErrorKind::NoLease,
                };
                self.finish(tag, kind.into(), fx);
            }
            Stage::Routing => self.route(ctx, dir, tag, fx),
            Stage::Claiming if ctx.now >= request.deadline => {
                self.finish(tag, ErrorKind::NoQuorum.into(), fx);
            }
            Stage::Sent { .. } if request.started && ctx.now >= request.moved + IDLE_LIMIT => {
                self.failed(ctx, dir, tag, ErrorKind::TimedOut.into(), fx);
            }
            Stage::Sent { .. }
                if !request.started && ctx.now >= request.deadline + DEADLINE_GRACE =>
            {
                self.failed(ctx, dir, tag, ErrorKind::TimedOut.into(), fx);
            }
            // Without a quorum the outcome can't be committed, but it is known.
            Stage::Settling if ctx.now >= request.deadline + DEADLINE_GRACE => self.tell(tag, fx),
            _ => {}
        }
    }
}
