//! Requests of callers at their entry host.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use admit::Budget;
use claims::ClaimReply;
use decl::Call;
use route::Directory;
use wire::{
    Answer, Claim, ClaimKey, Command, Credit, ErrorKind, Fail, Fault, Fingerprint, Forward, Head,
    HostId, Incarnation, Outcome, PeerMsg, Piece, Pin, Ran, RequestId, Settle, request_id,
};

use crate::{
    Caller, Output, Tag,
    effect::Effects,
    pin::{fingerprint, pin_request},
    view::Ctx,
};

/// Bytes of an answer under way between owner and caller.
const WINDOW_BYTES: u32 = 256 * 1024;
/// Bytes the caller takes before the owner is told.
const CREDIT_STEP_BYTES: u32 = WINDOW_BYTES / 4;
/// How long a request waits for an owner to appear.
const ROUTE_WAIT: Duration = Duration::from_secs(8);
/// How long the owner may answer after the deadline before it is given up.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// How long an answer that has started may stand still.
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Attempts for one request at most.
const MAX_ATTEMPTS: u32 = 6;
/// Strikes at which a request is not run any more.
const QUARANTINE_STRIKES: u32 = claims::QUARANTINE_STRIKES;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
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
struct Request {
    caller: Box<Caller>,
    call: Call,
    pin: Pin,
    print: Fingerprint,
    stage: Stage,
    deadline: Duration,
    route_until: Duration,
    /// The last time its answer moved.
    moved: Duration,
    tried: Vec<HostId>,
    attempts: u32,
    /// The first fault after which it may have run.
    doubt: Option<Fault>,
    /// The attempt that holds the claim.
    claim: RequestId,
    /// Whether the answer's start went to the caller.
    started: bool,
    head: Option<Head>,
    received: u64,
    owed: u32,
    /// The answer of a claimed call, kept until it is whole.
    answer: Vec<u8>,
    /// What to tell the caller once the outcome is committed.
    verdict: Option<Fault>,
    /// Whether the caller is still there.
    present: bool,
}

/// The table of callers' requests.
#[derive(Debug)]
pub(crate) struct Entry {
    host: HostId,
    run: Incarnation,
    domain: String,
    next: u64,
    budget: Budget,
    requests: BTreeMap<Tag, Request>,
    attempts: HashMap<RequestId, Tag>,
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
        let made = request.caller.made.unwrap_or(ctx.view.wall);
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
    fn route(&mut self, ctx: &Ctx, dir: &Directory, tag: Tag, fx: &mut Effects) {
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
        let Some(tag) = self.find_claim(claim.request) else {
            if *reply == ClaimReply::Granted {
                fx.propose(not_run(claim.key.clone(), claim.request, ErrorKind::Cancelled));
            }
            return;
        };
        match reply {
            ClaimReply::Granted => self.route(ctx, dir, tag, fx),
            ClaimReply::Done { status, body } => {
                let Some(request) = self.requests.remove(&tag) else { return };
                let ran = ran_name(&request.pin).to_owned();
                fx.out(Output::Head { tag, status: *status, target: String::new(), ran });
                fx.out(Output::Piece { tag, bytes: body.clone(), last: true });
            }
            ClaimReply::Refused(kind) => {
                self.requests.remove(&tag);
                fx.out(Output::Failed { tag, fault: (*kind).into() });
            }
        }
    }

    fn find_claim(&self, claim: RequestId) -> Option<Tag> {
        self.requests
            .iter()
            .find(|(_, request)| request.claim == claim && request.stage == Stage::Claiming)
            .map(|(tag, _)| *tag)
    }

    /// Takes the commit of an outcome: now the caller may know it.
    pub(crate) fn settled(&mut self, settle: &Settle, fx: &mut Effects) {
        let found = self
            .requests
            .iter()
            .find(|(_, request)| {
                request.claim == settle.request && request.stage == Stage::Settling
            })
            .map(|(tag, _)| *tag);
        let Some(tag) = found else { return };
        self.tell(tag, fx);
    }

    /// Tells the caller the verdict of a claimed call and forgets it.
    fn tell(&mut self, tag: Tag, fx: &mut Effects) {
        let Some(request) = self.requests.remove(&tag) else { return };
        if let Some(fault) = request.verdict {
            fx.out(Output::Failed { tag, fault });
            return;
        }
        let Some(head) = request.head else { return };
        fx.out(Output::Head { tag, status: head.status, target: head.target, ran: head.ran });
        fx.out(Output::Piece { tag, bytes: request.answer.into(), last: true });
    }

    /// Takes a step of an answer from an owner.
    pub(crate) fn answer(
        &mut self,
        ctx: &Ctx,
        dir: &Directory,
        from: HostId,
        answer: Answer,
        fx: &mut Effects,
    ) {
        let id = match &answer {
            Answer::Head(head) => head.request,
            Answer::Piece(piece) => piece.request,
            Answer::Fail(fail) => fail.request,
        };
        let Some(&tag) = self.attempts.get(&id) else { return };
        let Some(request) = self.requests.get_mut(&tag) else { return };
        if request.stage != (Stage::Sent { request: id, owner: from }) {
            return;
        }
        request.moved = ctx.now;
        match answer {
            Answer::Head(head) => self.head(tag, head, fx),
            Answer::Piece(piece) => self.piece(ctx, dir, tag, piece, fx),
            Answer::Fail(Fail { fault, .. }) => self.failed(ctx, dir, tag, fault, fx),
        }
    }

    fn head(&mut self, tag: Tag, head: Head, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        if request.head.is_some() {
            return;
        }
        if request.call.idempotent {
            request.started = true;
            fx.out(Output::Head {
                tag,
                status: head.status,
                target: head.target.clone(),
                ran: head.ran.clone(),
            });
        }
        request.head = Some(head);
    }

    fn piece(&mut self, ctx: &Ctx, dir: &Directory, tag: Tag, piece: Piece, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        if piece.offset != request.received || request.head.is_none() {
            let detail = format!("piece at {}, expected {}", piece.offset, request.received);
            self.failed(ctx, dir, tag, Fault::new(ErrorKind::WrongAnswer, detail), fx);
            return;
        }
        request.received += piece.bytes.len() as u64;
        if request.call.idempotent {
            fx.out(Output::Piece { tag, bytes: piece.bytes, last: piece.last });
            if piece.last {
                self.forget(tag);
            }
            return;
        }
        request.answer.extend_from_slice(&piece.bytes);
        if request.answer.len() > api::MAX_BODY_BYTES {
            let fault = Fault::new(ErrorKind::WrongAnswer, "answer exceeds the limit");
            self.failed(ctx, dir, tag, fault, fx);
            return;
        }
        fx.send(
            stage_owner(request).unwrap_or(self.host),
            PeerMsg::Credit(Credit { request: piece.request, bytes: piece.bytes.len() as u32 }),
        );
        if !piece.last {
            return;
        }
        let status = request.head.as_ref().map_or(200, |head| head.status);
        let body = request.answer.clone().into();
        self.settle(tag, Outcome::Done { status, body }, None, fx);
    }

    /// Commits how a claimed call ended; the caller is told afterwards.
    fn settle(&mut self, tag: Tag, outcome: Outcome, verdict: Option<Fault>, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        if let Stage::Sent { request: id, .. } = request.stage {
            self.attempts.remove(&id);
        }
        request.stage = Stage::Settling;
        request.verdict = verdict;
        let settle = Settle { key: claim_key(request), request: request.claim, outcome };
        fx.propose(Command::Settle(settle));
    }

    /// Takes the end of an attempt without a whole answer.
    fn failed(&mut self, ctx: &Ctx, dir: &Directory, tag: Tag, fault: Fault, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        if let Stage::Sent { request: id, owner } = request.stage {
            self.attempts.remove(&id);
            request.tried.push(owner);
            if fault.kind.row().ran != Ran::No {
                fx.send(owner, PeerMsg::Cancel(id));
            }
        }
        if fault.kind.row().ran != Ran::No && request.doubt.is_none() {
            request.doubt = Some(fault.clone());
        }
        if self.may_wait(ctx, tag, &fault) {
            self.wait(ctx, dir, tag, fx);
            return;
        }
        if self.may_retry(ctx, tag, &fault) {
            self.restart(ctx, dir, tag, fx);
            return;
        }
        self.finish(tag, fault, fx);
    }

    /// Returns whether a request may look for another owner: this one has no
    /// target for it, and it ran nowhere.
    fn may_wait(&self, ctx: &Ctx, tag: Tag, fault: &Fault) -> bool {
        let Some(request) = self.requests.get(&tag) else { return false };
        let displaced =
            matches!(fault.kind, ErrorKind::NoLease | ErrorKind::NoTarget | ErrorKind::Leaving);
        displaced && !request.started && request.present && ctx.now < request.route_until
    }

    /// Asks an owner that was not asked yet, or waits for the next tick.
    fn wait(&mut self, ctx: &Ctx, dir: &Directory, tag: Tag, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        request.stage = Stage::Routing;
        if dir.choose(ctx.now, &request.pin, &self.domain, &request.tried).is_some() {
            self.route(ctx, dir, tag, fx);
        }
    }

    fn may_retry(&mut self, ctx: &Ctx, tag: Tag, fault: &Fault) -> bool {
        let Some(request) = self.requests.get(&tag) else { return false };
        if request.started || !request.present || request.attempts >= MAX_ATTEMPTS {
            return false;
        }
        if ctx.now >= request.deadline || !is_passing(fault.kind) {
            return false;
        }
        if ctx.view.strikes.count(&request.print) >= QUARANTINE_STRIKES {
            return false;
        }
        if !request.call.idempotent && request.doubt.is_some() {
            return false;
        }
        self.budget.retry()
    }

    fn restart(&mut self, ctx: &Ctx, dir: &Directory, tag: Tag, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        request.head = None;
        request.received = 0;
        request.answer.clear();
        request.route_until = (ctx.now + ROUTE_WAIT).min(request.deadline);
        self.route(ctx, dir, tag, fx);
    }

    /// Ends a request with an error. What it says of running covers all attempts.
    fn finish(&mut self, tag: Tag, fault: Fault, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        let fault = match &request.doubt {
            Some(doubt) if fault.kind.row().ran == Ran::No => doubt.clone(),
            _ => fault,
        };
        if request.call.idempotent {
            self.forget(tag);
            fx.out(Output::Failed { tag, fault });
            return;
        }
        if request.stage == Stage::Claiming {
            // The claim may be granted later; `claimed` then withdraws it.
            self.requests.remove(&tag);
            fx.out(Output::Failed { tag, fault });
            return;
        }
        let outcome = match request.doubt {
            None => Outcome::NotRun(fault.kind),
            Some(_) => Outcome::InDoubt,
        };
        let verdict = match outcome {
            Outcome::InDoubt => Fault::new(ErrorKind::InDoubt, fault.to_string()),
            _ => fault,
        };
        self.settle(tag, outcome, Some(verdict), fx);
    }

    fn forget(&mut self, tag: Tag) {
        let Some(request) = self.requests.remove(&tag) else { return };
        if let Stage::Sent { request: id, .. } = request.stage {
            self.attempts.remove(&id);
        }
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
        self.forget(tag);
    }

    /// Takes note that a host is lost: what it had will not be answered.
    pub(crate) fn owner_lost(
        &mut self,
        ctx: &Ctx,
        dir: &Directory,
        host: HostId,
        fx: &mut Effects,
    ) {
        let tags: Vec<Tag> = self
            .requests
            .iter()
            .filter(|(_, request)| stage_owner(request) == Some(host))
            .map(|(tag, _)| *tag)
            .collect();
        for tag in tags {
            self.failed(ctx, dir, tag, ErrorKind::OwnerLost.into(), fx);
        }
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

/// Returns whether another attempt may end differently.
fn is_passing(kind: ErrorKind) -> bool {
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

fn stage_owner(request: &Request) -> Option<HostId> {
    match request.stage {
        Stage::Sent { owner, .. } => Some(owner),
        _ => None,
    }
}

fn claim_key(request: &Request) -> ClaimKey {
    ClaimKey {
        caller: request.caller.caller.clone(),
        key: request.caller.key.clone().unwrap_or_default(),
    }
}

fn not_run(key: ClaimKey, request: RequestId, kind: ErrorKind) -> Command {
    Command::Settle(Settle { key, request, outcome: Outcome::NotRun(kind) })
}

fn ran_name(pin: &Pin) -> &str {
    match pin {
        Pin::Adapter { name, .. } => name,
        Pin::Service { service } => service,
    }
}

fn forward(ctx: &Ctx, request: &Request, id: RequestId, run: Incarnation) -> Forward {
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
