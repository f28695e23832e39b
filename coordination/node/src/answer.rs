//! Answers on their way through the entry, and what follows when they fail.

use route::Directory;
use wire::{Answer, Credit, ErrorKind, Fail, Fault, Head, HostId, Outcome, PeerMsg, Piece, Ran};

use crate::{
    Output, Tag,
    effect::Effects,
    entry::{Entry, QUARANTINE_STRIKES, ROUTE_WAIT},
    request::{Stage, is_passing, stage_owner},
    view::Ctx,
};

/// Attempts for one request at most.
const MAX_ATTEMPTS: u32 = 6;

impl Entry {
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
        if piece.offset < request.received {
            // It arrived before.
            return;
        }
        if piece.offset > request.received || request.head.is_none() {
            let detail = format!("piece at {}, expected {}", piece.offset, request.received);
            self.failed(ctx, dir, tag, Fault::new(ErrorKind::WrongAnswer, detail), fx);
            return;
        }
        request.received += piece.bytes.len() as u64;
        if request.call.idempotent {
            fx.out(Output::Piece { tag, bytes: piece.bytes, last: piece.last });
            if piece.last {
                self.remove(tag);
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

    /// Takes the end of an attempt without a whole answer.
    pub(crate) fn failed(
        &mut self,
        ctx: &Ctx,
        dir: &Directory,
        tag: Tag,
        fault: Fault,
        fx: &mut Effects,
    ) {
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
    pub(crate) fn finish(&mut self, tag: Tag, fault: Fault, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        let fault = match &request.doubt {
            Some(doubt) if fault.kind.row().ran == Ran::No => doubt.clone(),
            _ => fault,
        };
        if request.call.idempotent {
            self.remove(tag);
            fx.out(Output::Failed { tag, fault });
            return;
        }
        if request.stage == Stage::Claiming {
            // The claim may be granted later; `claimed` then withdraws it.
            self.abandon(tag);
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
}
