//! One request on its way to a target and back.

use std::{fmt::Write as _, rc::Rc, time::Duration};

use bytes::Bytes;
use fleet::{Ask, Choice, Event, Kind, Outcome, digest};
use http::{Request, Response, StatusCode, request::Parts};
use http_body_util::Full;
use hyper::body::Incoming;
use platform::request::{
    Head, ToTarget, answer_headers, answers, forward_headers, is_encoded, is_not_run, is_signed,
};
use tokio::time::{sleep, timeout};
use wire::RequestPrint;

use crate::{
    answer::{Answer, AnswerBody, not_run, plain},
    client::{Connection, SendError, collect},
    edge::Edge,
    front::Active,
    listen::Caller,
    placed::{Placed, Waiting},
    stream,
    turn::{self, NoTurn},
};

/// Part of a request's time that it may wait for its adapter or for room.
const WAIT_SHARE: f64 = 0.4;
/// The same, in latency objectives.
const WAIT_OBJECTIVES: f64 = 2.5;
/// How long a request waits for any target of its service.
const NONE_WAIT: Duration = Duration::from_millis(400);
/// Time between two looks for room.
const ROOM_LOOK: Duration = Duration::from_millis(30);
/// Time between two looks for an adapter, beside the news of it.
const LOAD_LOOK: Duration = Duration::from_millis(300);
/// How often a request that waits for its turn goes to another target.
const MAX_MOVES: u32 = 2;
/// A repeatable request without an answer goes elsewhere after this many latency
/// objectives.
const SILENT_OBJECTIVES: f64 = 1.5;
/// Least time left that is worth a further send, in latency objectives.
const LEAST_LEFT: f64 = 0.3;
/// When a caller should come back that found no room, at least, and the span over
/// which their returns are spread. It has waited beyond its objective, so what is
/// left to win is that its next try finds room; callers don't wait for more than
/// a third of the time they have left.
const COME_BACK: Duration = Duration::from_millis(1500);
const COME_BACK_SPREAD: Duration = Duration::from_millis(2500);
/// The same while nobody can order adapters: an election and the time between two
/// holders have to pass.
const COME_BACK_UNORDERED: Duration = Duration::from_millis(3500);

/// A request.
pub(crate) struct Job {
    pub(crate) edge: Rc<Edge>,
    active: Option<Active>,
    pub(crate) ask: Ask,
    parts: Parts,
    pub(crate) head: Head,
    body: Bytes,
    pub(crate) arrived: Duration,
    /// When it gets its final answer at the latest.
    pub(crate) end: Duration,
    /// Targets that may have begun to run it.
    sends: u32,
    may_have_run: bool,
    /// The failure to answer with if no further send does better.
    fallback: Option<Answer>,
    steps: String,
}

/// Why a request has no target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// Its adapter did not arrive, or there was no room, in time.
    Busy,
    /// Its turn to be sent did not come in time.
    NoTurn,
    /// No target takes requests.
    NoTarget,
    /// Its time is over.
    TimeUp,
}

/// How a send ended.
pub(crate) enum Sent {
    /// With the head of an answer to this request.
    Head(Box<(Response<Incoming>, Connection, Placed, Duration)>),
    /// Without one, and it may be sent elsewhere.
    Again,
    /// Without one, and it can't be sent again.
    Over(StatusCode),
}

impl Job {
    #[expect(clippy::too_many_arguments, reason = "one call takes a request apart")]
    pub(crate) fn new(
        edge: &Rc<Edge>,
        active: Active,
        ask: Ask,
        parts: Parts,
        head: Head,
        body: Bytes,
        arrived: Duration,
        end: Duration,
    ) -> Job {
        edge.host.borrow_mut().begin(edge.now(), &ask);
        Job {
            edge: edge.clone(),
            active: Some(active),
            ask,
            parts,
            head,
            body,
            arrived,
            end,
            sends: 0,
            may_have_run: false,
            fallback: None,
            steps: String::new(),
        }
    }

    pub(crate) fn kind(&self) -> Kind {
        self.ask.route.kind
    }

    /// Notes a decision.
    pub(crate) fn note(&mut self, what: &str, about: &str) {
        let at = self.edge.now().saturating_sub(self.arrived).as_millis();
        let _ = write!(self.steps, "{at} {what} {about}; ");
    }

    /// Writes the request's line.
    pub(crate) fn done(&mut self, outcome: &'static str, status: u16) {
        let now = self.edge.now();
        let took = now.saturating_sub(self.arrived);
        self.edge.metrics.ended(outcome, took.as_secs_f64());
        let failed = outcome != "served";
        let steps = std::mem::take(&mut self.steps);
        self.edge.log.request(now, failed, || Event::Request {
            id: self.head.attempt.clone(),
            route: self.ask.route.name.clone(),
            adapter: self.ask.adapter.clone(),
            outcome,
            status,
            steps: steps.trim_end().to_owned(),
            took_ms: took.as_millis() as u64,
        });
        self.active = None;
    }

    fn objective(&self) -> Duration {
        self.ask.route.objective
    }

    /// Finds a place at a target, and waits for one if need be.
    pub(crate) async fn place(&mut self) -> Result<Placed, NoPlace> {
        let edge = self.edge.clone();
        let begun = edge.now();
        let left = self.end.saturating_sub(begun);
        let longest = left.mul_f64(WAIT_SHARE).min(self.objective().mul_f64(WAIT_OBJECTIVES));
        let mut waiting = None;
        loop {
            let now = edge.now();
            if now >= self.end {
                return Err(NoPlace::TimeUp);
            }
            let mut woken = std::pin::pin!(edge.wake.notified());
            woken.as_mut().enable();
            let choice = edge.host.borrow_mut().choose(now, &self.ask, rand::random());
            let (until, look, why) = match choice {
                Choice::Send(ticket) => {
                    edge.metrics.part("wait", now.saturating_sub(begun).as_secs_f64());
                    return Ok(Placed { edge: edge.clone(), ticket, turn: None, ended: false });
                }
                Choice::Wait => (begun + longest, LOAD_LOOK, NoPlace::Busy),
                Choice::Full => (begun + longest, ROOM_LOOK, NoPlace::Busy),
                Choice::None => (begun + NONE_WAIT, LOAD_LOOK, NoPlace::NoTarget),
            };
            if now >= until || (why == NoPlace::NoTarget && !self.ask.tried.is_empty()) {
                return Err(why);
            }
            if waiting.is_none() && choice == Choice::Wait {
                let adapter = self.ask.adapter.clone().unwrap_or_default();
                self.note("waits", &adapter);
                edge.host.borrow_mut().wait_for(&self.ask);
                waiting = Some(Waiting(edge.clone(), self.ask.clone()));
                let outputs = edge.host.borrow_mut().tell_wants(now);
                edge.carry_out(outputs);
            }
            let rest = until.min(self.end).saturating_sub(now).min(look);
            tokio::select! {
                () = woken => {}
                () = sleep(rest) => {}
            }
        }
    }

    /// Finds a place, and for a prompt its turn there. A target that leaves, or
    /// loses the adapter, while the turn is waited for gives way to another.
    pub(crate) async fn place_in_turn(&mut self) -> Result<Placed, NoPlace> {
        let mut moves = 0;
        loop {
            let mut placed = self.place().await?;
            if !self.kind().is_stream() || self.ask.adapter.is_none() {
                return Ok(placed);
            }
            let Some(tokens) = self.head.prompt_tokens else { return Ok(placed) };
            self.note("placed", placed.target());
            let target = placed.target().to_owned();
            match turn::take(self, target, tokens, moves < MAX_MOVES).await {
                Ok(turn) => placed.turn = turn,
                Err(NoTurn::BetterElsewhere) => {
                    self.note("moves from", placed.target());
                    placed.finish(Outcome::Left);
                    moves += 1;
                    continue;
                }
                Err(NoTurn::Overdue) => {
                    placed.finish(Outcome::Left);
                    return Err(NoPlace::NoTurn);
                }
            }
            if self.edge.host.borrow().is_usable(placed.target(), &self.ask) {
                return Ok(placed);
            }
            self.note("gone", placed.target());
            placed.finish(Outcome::Left);
        }
    }

    /// Whether the request may be sent once more, which takes its part of the
    /// budget. `ran` tells whether the last target may have run it.
    pub(crate) fn may_go_again(&mut self, ran: bool) -> bool {
        let now = self.edge.now();
        if ran && !self.kind().is_idempotent() {
            return false;
        }
        if self.sends >= self.ask.route.attempts || self.is_barred() {
            return false;
        }
        if self.end < now + self.objective().mul_f64(LEAST_LEFT) {
            return false;
        }
        self.edge.host.borrow_mut().may_send_again(now, &self.ask.service)
    }

    /// Whether the request crashes targets and is not to be sent any more.
    fn is_barred(&self) -> bool {
        let host = self.edge.host.borrow();
        host.bars_any() && host.is_barred(self.print())
    }

    fn request(&self, placed: &Placed, last_event: Option<u64>) -> Request<Full<Bytes>> {
        let left = self.end.saturating_sub(self.edge.now());
        let to = ToTarget {
            target: placed.target(),
            left,
            priority: self.ask.adapter.as_ref().map(|_| self.ask.route.priority),
            last_event,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        let path = self.parts.uri.path_and_query().map_or("/", |it| it.as_str());
        *request.uri_mut() = path.parse().unwrap_or_default();
        *request.headers_mut() = forward_headers(&self.parts.headers, &to);
        request
    }

    /// How long the head of an answer is waited for.
    fn patience(&self) -> Duration {
        let left = self.end.saturating_sub(self.edge.now());
        let more = self.sends < self.ask.route.attempts;
        match self.kind() {
            Kind::Repeatable if more => left.min(self.objective().mul_f64(SILENT_OBJECTIVES)),
            _ => left,
        }
    }

    /// Sends the request to its place.
    pub(crate) async fn send(&mut self, placed: Placed, last_event: Option<u64>) -> Sent {
        let edge = self.edge.clone();
        let id = placed.target().to_owned();
        let reused = if self.kind().is_idempotent() { edge.client.reuse(&id) } else { None };
        let mut connection = match reused {
            Some(connection) => connection,
            None => match edge.client.open(&id, &placed.ticket.addr).await {
                Some(connection) => connection,
                None => return self.not_sent(placed),
            },
        };
        self.note("sent", &id);
        let begun = edge.now();
        let request = self.request(&placed, last_event);
        self.sends += 1;
        let patience = self.patience();
        let answer = timeout(patience, connection.send(request)).await;
        let response = match answer {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent)) => {
                self.sends -= 1;
                drop(connection);
                return self.resend(placed, last_event).await;
            }
            Ok(Err(SendError::Lost)) => {
                self.suspect(&placed);
                return self.lost(placed, "lost", StatusCode::BAD_GATEWAY);
            }
            Err(_) => return self.lost(placed, "silent", StatusCode::GATEWAY_TIMEOUT),
        };
        let delay = edge.now().saturating_sub(begun);
        let status = response.status().as_u16();
        if is_not_run(status, response.headers()) {
            return self.refused(placed, connection, response).await;
        }
        if !answers(response.headers(), &self.head.attempt) || is_encoded(response.headers()) {
            return self.lost(placed, "foreign", StatusCode::BAD_GATEWAY);
        }
        Sent::Head(Box::new((response, connection, placed, delay)))
    }

    /// Sends over a new connection what never left on a kept one.
    async fn resend(&mut self, placed: Placed, last_event: Option<u64>) -> Sent {
        self.note("unsent", placed.target());
        while self.edge.client.reuse(placed.target()).is_some() {}
        Box::pin(self.send(placed, last_event)).await
    }

    fn not_sent(&mut self, placed: Placed) -> Sent {
        self.note("unreached", placed.target());
        self.ask.tried.insert(placed.target().to_owned());
        placed.end(Outcome::Missed);
        Sent::Again
    }

    /// The digest by which the request is known if it comes again: its path, its
    /// caller and its body.
    fn print(&self) -> RequestPrint {
        let path = self.parts.uri.path_and_query().map(|it| it.as_str());
        digest(&(path, self.parts.extensions.get::<Caller>(), &self.body[..]))
    }

    /// Finds out whether a target that broke off without an event has crashed: then
    /// the request may be the cause.
    pub(crate) fn suspect(&self, placed: &Placed) {
        let (edge, request) = (self.edge.clone(), self.print());
        let (target, addr) = (placed.ticket.target.clone(), placed.ticket.addr.clone());
        tokio::task::spawn_local(async move {
            if edge.client.is_deserted(&addr).await {
                let outputs = edge.host.borrow_mut().crashed(edge.now(), request, &target);
                edge.carry_out(outputs);
            }
        });
    }

    /// Notes that no answer came of a send.
    pub(crate) fn lost(&mut self, placed: Placed, what: &str, status: StatusCode) -> Sent {
        self.note(what, placed.target());
        self.may_have_run = true;
        self.ask.tried.insert(placed.target().to_owned());
        placed.end(Outcome::Missed);
        if self.may_go_again(true) { Sent::Again } else { Sent::Over(status) }
    }

    async fn refused(
        &mut self,
        placed: Placed,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Sent {
        let status = response.status().as_u16();
        self.note("refused", &format!("{status} {}", placed.target()));
        let headers = response.headers().clone();
        if collect(response.into_body()).await.is_some() {
            self.edge.client.keep(connection, &headers);
        }
        self.ask.tried.insert(placed.target().to_owned());
        placed.end(Outcome::Refused);
        self.sends -= 1;
        if self.may_go_again(false) {
            Sent::Again
        } else {
            Sent::Over(StatusCode::SERVICE_UNAVAILABLE)
        }
    }

    /// Ends a request that can't be served.
    pub(crate) fn give_up(&mut self, status: StatusCode, why: &'static str) -> Answer {
        if let Some(answer) = self.fallback.take() {
            self.done("failed", answer.status().as_u16());
            return answer;
        }
        let answer = if self.may_have_run {
            let status = if status == StatusCode::SERVICE_UNAVAILABLE {
                StatusCode::BAD_GATEWAY
            } else {
                status
            };
            plain(status)
        } else {
            let ordered = self.edge.host.borrow().any_orders(self.edge.now());
            let least = if ordered { COME_BACK } else { COME_BACK_UNORDERED };
            not_run(least, COME_BACK_SPREAD)
        };
        self.done(why, answer.status().as_u16());
        answer
    }

    /// Reads a whole answer that is no stream; none if it has to be sent again.
    async fn whole(
        &mut self,
        response: Response<Incoming>,
        connection: Connection,
        placed: Placed,
        delay: Duration,
    ) -> Option<Answer> {
        let (parts, body) = response.into_parts();
        let left = self.end.saturating_sub(self.edge.now());
        let body = timeout(left, collect(body)).await.ok().flatten();
        let signed = is_signed(&parts.headers);
        let Some(body) = body.filter(|_| signed || !parts.status.is_success()) else {
            return match self.lost(placed, "broken", StatusCode::BAD_GATEWAY) {
                Sent::Over(status) => Some(self.give_up(status, "broken")),
                Sent::Again | Sent::Head(_) => None,
            };
        };
        self.edge.client.keep(connection, &parts.headers);
        let failed = parts.status.is_server_error();
        let target = placed.target().to_owned();
        placed.end(if failed { Outcome::Failed } else { Outcome::Answered(delay) });
        let mut answer = Response::new(AnswerBody::Whole(body));
        *answer.status_mut() = if signed { parts.status } else { StatusCode::BAD_GATEWAY };
        *answer.headers_mut() = answer_headers(&parts.headers);
        if !failed {
            self.done("served", parts.status.as_u16());
            return Some(answer);
        }
        self.note("failed", &format!("{} {target}", parts.status.as_u16()));
        self.may_have_run = true;
        self.ask.tried.insert(target);
        self.fallback = Some(answer);
        if self.may_go_again(true) {
            None
        } else {
            Some(self.give_up(StatusCode::BAD_GATEWAY, "failed"))
        }
    }
}

/// Serves a request.
pub(crate) async fn relay(mut job: Job) -> Answer {
    if job.is_barred() {
        return job.give_up(StatusCode::SERVICE_UNAVAILABLE, "barred");
    }
    loop {
        let placed = match job.place_in_turn().await {
            Ok(placed) => placed,
            Err(NoPlace::Busy) => return job.give_up(StatusCode::SERVICE_UNAVAILABLE, "busy"),
            Err(NoPlace::NoTurn) => {
                return job.give_up(StatusCode::SERVICE_UNAVAILABLE, "no_turn");
            }
            Err(NoPlace::NoTarget) => {
                return job.give_up(StatusCode::SERVICE_UNAVAILABLE, "no_target");
            }
            Err(NoPlace::TimeUp) => return job.give_up(StatusCode::GATEWAY_TIMEOUT, "late"),
        };
        let last_event = job.head.last_event;
        let (response, connection, placed, delay) = match job.send(placed, last_event).await {
            Sent::Head(sent) => *sent,
            Sent::Again => continue,
            Sent::Over(status) => return job.give_up(status, "unanswered"),
        };
        if job.kind().is_stream() && response.status().is_success() {
            if !is_signed(response.headers()) {
                match job.lost(placed, "unsigned", StatusCode::BAD_GATEWAY) {
                    Sent::Over(status) => return job.give_up(status, "unsigned"),
                    Sent::Again | Sent::Head(_) => continue,
                }
            }
            return stream::pass(job, response, connection, placed, delay);
        }
        if let Some(answer) = job.whole(response, connection, placed, delay).await {
            return answer;
        }
    }
}
