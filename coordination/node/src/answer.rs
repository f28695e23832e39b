//! Answers that pass through the entry host, and the retry or failure of their requests.

use route::Directory;
use wire::{
    Answer, Credit, ErrorKind, Fail, Fault, Head, HostId, Outcome, PeerMsg, Piece, Ran, RequestId,
};

use crate::{
    Output, Tag,
    effect::Effects,
    entry::{EntryHost, QUARANTINE_CRASHES, ROUTE_TIMEOUT},
    request::{RequestStage, current_owner, is_transient},
    view::Ctx,
};

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 6;

impl EntryHost {
    /// Handles a part of an answer from an owner. Ignores it unless it belongs to the request's
    /// current attempt at that owner.
    pub(crate) fn handle_answer(
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
        if request.stage != (RequestStage::Sent { request: id, owner: from }) {
            return;
        }
        request.progressed_at = ctx.now;
        match answer {
            Answer::Head(head) => self.handle_head(tag, head, fx),
            Answer::Piece(piece) => self.handle_piece(ctx, dir, tag, piece, fx),
            Answer::Fail(Fail { fault, .. }) => self.attempt_failed(ctx, dir, tag, fault, fx),
        }
    }

    fn handle_head(&mut self, tag: Tag, head: Head, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        if request.head.is_some() {
            return;
        }
        if request.call.idempotent {
            request.started = true;
            fx.output(Output::Head {
                tag,
                status: head.status,
                target: head.target.clone(),
                ran: head.ran.clone(),
            });
        }
        request.head = Some(head);
    }

    fn handle_piece(
        &mut self,
        ctx: &Ctx,
        dir: &Directory,
        tag: Tag,
        piece: Piece,
        fx: &mut Effects,
    ) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        if piece.offset < request.received {
            // A duplicate of a piece that was already received.
            return;
        }
        if piece.offset > request.received || request.head.is_none() {
            let detail = format!("piece at {}, expected {}", piece.offset, request.received);
            self.attempt_failed(ctx, dir, tag, Fault::new(ErrorKind::WrongAnswer, detail), fx);
            return;
        }
        request.received += piece.bytes.len() as u64;
        if request.call.idempotent {
            fx.output(Output::Piece { tag, bytes: piece.bytes, last: piece.last });
            if piece.last {
                self.remove(tag);
            }
            return;
        }
        request.answer.extend_from_slice(&piece.bytes);
        if request.answer.len() > api::MAX_BODY_BYTES {
            let fault = Fault::new(ErrorKind::WrongAnswer, "answer exceeds the limit");
            self.attempt_failed(ctx, dir, tag, fault, fx);
            return;
        }
        fx.send(
            current_owner(request).unwrap_or(self.host),
            PeerMsg::Credit(Credit { request: piece.request, bytes: piece.bytes.len() as u32 }),
        );
        if !piece.last {
            return;
        }
        let status = request.head.as_ref().map_or(200, |head| head.status);
        let body = request.answer.clone().into();
        self.commit_outcome(tag, Outcome::Done { status, body }, None, fx);
    }

    /// Handles the end of an attempt without a complete answer: reroutes or retries the request if
    /// that is allowed, or else ends it with the error.
    pub(crate) fn attempt_failed(
        &mut self,
        ctx: &Ctx,
        dir: &Directory,
        tag: Tag,
        fault: Fault,
        fx: &mut Effects,
    ) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        if let RequestStage::Sent { request: id, owner } = request.stage {
            self.attempts.remove(&id);
            request.tried.push(owner);
            if fault.kind.info().ran != Ran::No {
                fx.send(owner, PeerMsg::Cancel(id));
            }
        }
        if fault.kind.info().ran != Ran::No && request.in_doubt.is_none() {
            request.in_doubt = Some(fault.clone());
        }
        if self.may_reroute(ctx, tag, &fault) {
            self.reroute(ctx, dir, tag, fx);
            return;
        }
        if self.may_retry(ctx, tag, &fault) {
            self.retry(ctx, dir, tag, fx);
            return;
        }
        self.finish(tag, fault, fx);
    }

    /// Returns whether a request may be sent to another owner without taking from the retry budget:
    /// this owner cannot serve it and did not run it, and the time for routing has not passed.
    fn may_reroute(&self, ctx: &Ctx, tag: Tag, fault: &Fault) -> bool {
        let Some(request) = self.requests.get(&tag) else { return false };
        let unserved =
            matches!(fault.kind, ErrorKind::NoLease | ErrorKind::NoTarget | ErrorKind::Leaving);
        unserved && !request.started && request.caller_present && ctx.now < request.route_until
    }

    /// Sends the request to an owner that has not been tried, or leaves it to the next scan.
    fn reroute(&mut self, ctx: &Ctx, dir: &Directory, tag: Tag, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        request.stage = RequestStage::Routing;
        if dir.choose(ctx.now, &request.pin, &self.domain, &request.tried).is_some() {
            self.route(ctx, dir, tag, fx);
        }
    }

    fn may_retry(&mut self, ctx: &Ctx, tag: Tag, fault: &Fault) -> bool {
        let Some(request) = self.requests.get(&tag) else { return false };
        if request.started || !request.caller_present || request.attempts >= MAX_ATTEMPTS {
            return false;
        }
        if ctx.now >= request.deadline || !is_transient(fault.kind) {
            return false;
        }
        if ctx.view.strikes.count(&request.fingerprint) >= QUARANTINE_CRASHES {
            return false;
        }
        if !request.call.idempotent && request.in_doubt.is_some() {
            return false;
        }
        self.budget.try_retry()
    }

    fn retry(&mut self, ctx: &Ctx, dir: &Directory, tag: Tag, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        request.head = None;
        request.received = 0;
        request.answer.clear();
        request.route_until = (ctx.now + ROUTE_TIMEOUT).min(request.deadline);
        self.route(ctx, dir, tag, fx);
    }

    /// Ends a request with an error. Whether the request may have run is reported for all attempts
    /// together, not for the last one alone.
    pub(crate) fn finish(&mut self, tag: Tag, fault: Fault, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(&tag) else { return };
        let fault = match &request.in_doubt {
            Some(earlier) if fault.kind.info().ran == Ran::No => earlier.clone(),
            _ => fault,
        };
        if request.call.idempotent {
            self.remove(tag);
            fx.output(Output::Failed { tag, fault });
            return;
        }
        if request.stage == RequestStage::Claiming {
            // The claim may still be granted; `claim_applied` then settles it as not run.
            self.abandon(tag);
            fx.output(Output::Failed { tag, fault });
            return;
        }
        let outcome = match request.in_doubt {
            None => Outcome::NotRun(fault.kind),
            Some(_) => Outcome::InDoubt,
        };
        let caller_fault = match outcome {
            Outcome::InDoubt => Fault::new(ErrorKind::InDoubt, fault.to_string()),
            _ => fault,
        };
        self.commit_outcome(tag, outcome, Some(caller_fault), fx);
    }

    /// Handles an attempt that could not be delivered to its owner. It did not run, so the request
    /// may be sent to another owner.
    pub(crate) fn undelivered(
        &mut self,
        ctx: &Ctx,
        dir: &Directory,
        to: HostId,
        id: RequestId,
        fx: &mut Effects,
    ) {
        let Some(&tag) = self.attempts.get(&id) else { return };
        let Some(request) = self.requests.get(&tag) else { return };
        if request.stage != (RequestStage::Sent { request: id, owner: to }) {
            return;
        }
        let fault = Fault::new(ErrorKind::NoTarget, "could not reach the owner");
        self.attempt_failed(ctx, dir, tag, fault, fx);
    }

    /// Ends the attempts at a host that is lost, since they will not be answered.
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
            .filter(|(_, request)| current_owner(request) == Some(host))
            .map(|(tag, _)| *tag)
            .collect();
        for tag in tags {
            self.attempt_failed(ctx, dir, tag, ErrorKind::OwnerLost.into(), fx);
        }
    }
}
