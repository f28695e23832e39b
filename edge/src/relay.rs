//! A caller's request that is being relayed: its sends, its retries within the limits, its answer, and
//! its log line.

use std::{cell::OnceCell, fmt::Write as _, rc::Rc, time::Duration};

use body::HeldBody;
use bytes::Bytes;
use fleet::{AnswerTime, Event, Outcome, RequestKind, TargetQuery};
use http::{Request, Response, StatusCode, request::Parts};
use http_body_util::Full;
use hyper::body::Incoming;
use platform::request::{
    RequestHead, SystemHeaders, answer_headers, forward_headers, is_encoded, is_not_run, is_signed,
    matches_attempt, names_no_attempt,
};
use tokio::time::{sleep, timeout};
use wire::Suspect;

use crate::{
    active::{ActiveRequest, Stage},
    answer::{Answer, AnswerBody, empty, not_run},
    client::{Connection, SendError, tells_end},
    crash::TrialGuard,
    edge::Edge,
    reservation::ReservationGuard,
    stop::{self, STOPPING},
};

/// Time limit for the answer to a repeatable request, in latency objectives, after which it is
/// sent to another target.
const ANSWER_TIMEOUT_OBJECTIVES: f64 = 1.5;
/// Time in which a host that stood still takes in what other hosts have sent it meanwhile.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Minimum time left for a further send, in latency objectives.
const MIN_RETRY_OBJECTIVES: f64 = 0.3;
/// Minimum `Retry-After` for a request that found no free target. It has missed its latency
/// objective already, so the delay only has to let the next attempt find a free target. A longer
/// delay would be ignored, since callers wait for at most a third of the time that they have left.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(1500);
/// Span over which the retries of several callers are spread.
const RETRY_DELAY_SPREAD: Duration = Duration::from_millis(2500);
/// Replaces [`RETRY_DELAY`] while no holder is active: first a leader must be elected and the
/// lease of the previous holder must expire.
const RETRY_DELAY_NO_HOLDER: Duration = Duration::from_millis(3500);
/// Maximum `Retry-After` for a request that is refused because its contents may crash targets, or
/// because the targets name request limits.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// A caller's request that is being relayed.
pub(crate) struct Job {
    pub(crate) edge: Rc<Edge>,
    active: Option<ActiveRequest>,
    pub(crate) query: TargetQuery,
    pub(crate) parts: Parts,
    pub(crate) head: RequestHead,
    pub(crate) body: HeldBody,
    /// When the request arrived, by [`Edge::now`].
    pub(crate) arrived: Duration,
    /// Latest time for the final answer.
    pub(crate) deadline: Duration,
    /// Whether the head of a target's answer was passed on.
    pub(crate) is_answering: bool,
    /// When it was first sent to a target.
    sent_at: Option<Duration>,
    /// Sends that a target may have started to run.
    sends: u32,
    may_have_run: bool,
    /// What other requests may have in common with it that may crash targets.
    pub(crate) contents: OnceCell<Vec<Suspect>>,
    pub(crate) trial: Option<TrialGuard>,
    /// Time to the next trial of its suspects, to the next place at a target with a request limit, or
    /// to the end of a target's pause, if it is refused for these.
    pub(crate) retry_due: Option<Duration>,
    /// A target's error answer, forwarded if no further send succeeds.
    fallback: Option<Answer>,
    /// The decisions so far, for the log line.
    steps: String,
}

/// The head of an answer to a request that was sent, with its connection, the reservation at its target
/// and the time it took.
pub(crate) type Sent = (Response<Incoming>, Connection, ReservationGuard, Duration);

/// How a send ended.
pub(crate) enum SendOutcome {
    /// The head of an answer to this request arrived.
    Head(Box<Sent>),
    /// There is no usable answer, and the request may be sent to another target.
    Retry,
    /// There is no usable answer, and the request must not be sent again; the caller's status.
    Final(StatusCode),
}

impl Job {
    #[expect(clippy::too_many_arguments, reason = "called once, with the parts of a request")]
    pub(crate) fn new(
        edge: &Rc<Edge>,
        active: ActiveRequest,
        query: TargetQuery,
        parts: Parts,
        head: RequestHead,
        body: HeldBody,
        arrived: Duration,
        deadline: Duration,
    ) -> Job {
        edge.host.borrow_mut().begin(edge.now(), &query);
        Job {
            edge: edge.clone(),
            active: Some(active),
            query,
            parts,
            head,
            body,
            arrived,
            deadline,
            is_answering: false,
            sent_at: None,
            sends: 0,
            may_have_run: false,
            contents: OnceCell::new(),
            trial: None,
            retry_due: None,
            fallback: None,
            steps: String::new(),
        }
    }

    pub(crate) fn kind(&self) -> RequestKind {
        self.query.route.kind
    }

    /// Whether the answer is a stream that may go on at another target.
    pub(crate) fn is_resumable(&self) -> bool {
        self.kind() == RequestKind::Stream { resumable: true }
    }

    /// Adds a decision to the request's log line.
    pub(crate) fn add_step(&mut self, what: &str, about: &str) {
        let at = self.edge.now().saturating_sub(self.arrived).as_millis();
        let _ = write!(self.steps, "{at} {what} {about}; ");
    }

    /// Counts the end of the request and writes its log line.
    pub(crate) fn complete(&mut self, outcome: &'static str, status: u16) {
        let now = self.edge.now();
        let took = now.saturating_sub(self.arrived);
        self.edge.metrics.request_ended(outcome, took.as_secs_f64());
        let failed = outcome != "served";
        let steps = std::mem::take(&mut self.steps);
        self.edge.log.request(now, failed, || Event::Request {
            id: self.head.attempt.clone(),
            route: self.query.route.name.clone(),
            adapter: self.query.adapter.clone(),
            outcome,
            status,
            steps: steps.trim_end().to_owned(),
            took_ms: took.as_millis() as u64,
        });
        self.active = None;
    }

    /// Whether its answer can still end before the process does, if it is sent now.
    pub(crate) fn may_begin(&self) -> bool {
        self.last_start().is_none_or(|at| self.edge.now() < at)
    }

    /// Returns until when it may be sent, if the end of the process limits that. Refusing it gains nothing
    /// once its answer has begun.
    pub(crate) fn last_start(&self) -> Option<Duration> {
        if self.is_answering {
            return self.edge.host.borrow().shutdown().map(|it| it.answers_until);
        }
        self.edge.last_start(&self.query, self.deadline)
    }

    /// Records how long its answer took, which ends now. What takes up a stream is shorter than its number of
    /// tokens says.
    pub(crate) fn record_answer(&self, is_whole: bool) {
        let Some(sent_at) = self.sent_at.filter(|_| !self.query.takes_up) else { return };
        let whole = self.edge.now().saturating_sub(sent_at);
        let time = AnswerTime { whole, tokens: self.query.tokens };
        let mut host = self.edge.host.borrow_mut();
        match is_whole {
            true => host.record_answer(&self.query.route.name, time),
            false => host.record_unfinished(&self.query.route.name, time),
        }
    }

    /// Records how far the request is, for the process' last log line.
    pub(crate) fn reach(&self, stage: Stage) {
        if let Some(active) = &self.active {
            active.reach(stage);
        }
    }

    pub(crate) fn objective(&self) -> Duration {
        self.query.route.latency_objective
    }

    /// Whether the request may be sent again; if so, takes one send from the retry budget.
    /// `target_may_have_run` tells whether the last target may have run the request.
    pub(crate) fn may_retry(&mut self, target_may_have_run: bool) -> bool {
        let now = self.edge.now();
        if target_may_have_run && !self.kind().is_idempotent() {
            return false;
        }
        if self.sends >= self.query.route.attempts {
            return false;
        }
        if self.deadline < now + self.objective().mul_f64(MIN_RETRY_OBJECTIVES) {
            return false;
        }
        self.edge.host.borrow_mut().try_retry(now, &self.query.service)
    }

    /// Returns the path with the query.
    pub(crate) fn path(&self) -> &str {
        self.parts.uri.path_and_query().map_or("/", |it| it.as_str())
    }

    fn request(
        &self,
        reservation: &ReservationGuard,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let time_left = self.deadline.saturating_sub(self.edge.now());
        let system = SystemHeaders {
            target: reservation.target(),
            time_left,
            priority: self.query.adapter.as_ref().map(|_| self.query.route.priority),
            last_event,
        };
        let mut request = Request::new(Full::new(self.body.bytes()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.path().parse().unwrap_or_default();
        *request.headers_mut() = forward_headers(&self.parts.headers, &system);
        request
    }

    /// Returns the time limit for the head of an answer.
    fn answer_timeout(&self) -> Duration {
        let left = self.deadline.saturating_sub(self.edge.now());
        let more = self.sends < self.query.route.attempts;
        match self.kind() {
            RequestKind::Repeatable if more => {
                left.min(self.objective().mul_f64(ANSWER_TIMEOUT_OBJECTIVES))
            }
            _ => left,
        }
    }

    /// Sends the request to the reserved target.
    pub(crate) async fn send(
        &mut self,
        reservation: ReservationGuard,
        last_event: Option<u64>,
    ) -> SendOutcome {
        let edge = self.edge.clone();
        let id = reservation.target().to_owned();
        if self.needs_trial() {
            self.add_step("held back from", &id);
            reservation.end(Outcome::Left);
            return SendOutcome::Retry;
        }
        let reused = if self.kind().is_idempotent() { edge.client.reuse(&id) } else { None };
        let mut connection = match reused {
            Some(connection) => connection,
            None => match edge.open(&id, &reservation.reservation.addr).await {
                Some(connection) => connection,
                None => return self.handle_unreached(reservation),
            },
        };
        if reservation.is_stale() {
            self.add_step("stood still before", &id);
            reservation.end(Outcome::Left);
            // What arrived meanwhile is handled first.
            sleep(SETTLE_TIME).await;
            return SendOutcome::Retry;
        }
        if !self.may_begin() {
            self.add_step("too late for", &id);
            reservation.end(Outcome::Left);
            return SendOutcome::Retry;
        }
        if !edge.host.borrow().may_send(edge.now(), &reservation.reservation) {
            self.add_step("no place at", &id);
            reservation.end(Outcome::Left);
            return SendOutcome::Retry;
        }
        self.note_stop();
        self.add_step("sent", &id);
        self.reach(Stage::Sent);
        let started = edge.now();
        self.sent_at.get_or_insert(started);
        let request = self.request(&reservation, last_event);
        self.sends += 1;
        edge.host.borrow_mut().record_send(&reservation.reservation);
        let time_limit = self.answer_timeout();
        let answer = timeout(time_limit, connection.send(request)).await;
        let response = match answer {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent)) => {
                self.sends -= 1;
                drop(connection);
                return self.resend(reservation, last_event).await;
            }
            Ok(Err(SendError::Lost)) => {
                self.check_crash(&reservation).await;
                return self.fail_send(reservation, "lost", StatusCode::BAD_GATEWAY);
            }
            Ok(Err(SendError::NoStatus)) => {
                return self.fail_send(reservation, "no status", StatusCode::BAD_GATEWAY);
            }
            Err(_) => return self.fail_send(reservation, "silent", StatusCode::GATEWAY_TIMEOUT),
        };
        let delay = edge.now().saturating_sub(started);
        let status = response.status().as_u16();
        self.record_target(&reservation, &connection, &response);
        if edge.host.borrow().is_replaced(&reservation.reservation) {
            return self.fail_send(reservation, "replaced", StatusCode::BAD_GATEWAY);
        }
        let headers = response.headers();
        let is_own = matches_attempt(headers, &self.head.attempt);
        // A refusal may name no attempt, but one that names another belongs to that.
        if is_not_run(status, headers) && (is_own || names_no_attempt(headers)) {
            return self.handle_refusal(reservation, connection, response).await;
        }
        if !is_own || is_encoded(headers) {
            return self.fail_send(reservation, "foreign", StatusCode::BAD_GATEWAY);
        }
        SendOutcome::Head(Box::new((response, connection, reservation, delay)))
    }

    /// Adds to the log line that the process is being stopped, and the time that it has left.
    pub(crate) fn note_stop(&mut self) {
        let left = self.edge.host.borrow().time_to_end(self.edge.now());
        if let Some(left) = left {
            self.add_step("stopping", &format!("{} ms left", left.as_millis()));
        }
    }

    /// Sends a request over a new connection after it could not be sent on a pooled one.
    async fn resend(
        &mut self,
        reservation: ReservationGuard,
        last_event: Option<u64>,
    ) -> SendOutcome {
        self.add_step("unsent", reservation.target());
        while self.edge.client.reuse(reservation.target()).is_some() {}
        Box::pin(self.send(reservation, last_event)).await
    }

    fn handle_unreached(&mut self, reservation: ReservationGuard) -> SendOutcome {
        self.add_step("unreached", reservation.target());
        self.query.tried.insert(reservation.target().to_owned());
        reservation.end(Outcome::NoAnswer);
        SendOutcome::Retry
    }

    /// Records a send without a usable answer, and returns whether the request may be sent again.
    pub(crate) fn fail_send(
        &mut self,
        reservation: ReservationGuard,
        what: &str,
        status: StatusCode,
    ) -> SendOutcome {
        self.add_step(what, reservation.target());
        self.may_have_run = true;
        self.query.tried.insert(reservation.target().to_owned());
        reservation.end(Outcome::NoAnswer);
        if self.may_retry(true) { SendOutcome::Retry } else { SendOutcome::Final(status) }
    }

    /// Handles an answer that says that the target has not run the request.
    async fn handle_refusal(
        &mut self,
        reservation: ReservationGuard,
        connection: Connection,
        response: Response<Incoming>,
    ) -> SendOutcome {
        let status = response.status().as_u16();
        self.add_step("refused", &format!("{status} {}", reservation.target()));
        let headers = response.headers().clone();
        if self.edge.client.skip(response.into_body()).await {
            self.edge.client.keep(connection, &headers);
        }
        self.query.tried.insert(reservation.target().to_owned());
        reservation.end(Outcome::Refused);
        self.sends -= 1;
        if self.may_retry(false) {
            SendOutcome::Retry
        } else {
            SendOutcome::Final(StatusCode::SERVICE_UNAVAILABLE)
        }
    }

    /// Ends a request that cannot be served, and returns the answer for its caller.
    pub(crate) fn fail(&mut self, status: StatusCode, why: &'static str) -> Answer {
        if let Some(answer) = self.fallback.take() {
            self.complete("failed", answer.status().as_u16());
            return answer;
        }
        let answer = if self.may_have_run {
            let status = if status == StatusCode::SERVICE_UNAVAILABLE {
                StatusCode::BAD_GATEWAY
            } else {
                status
            };
            empty(status)
        } else {
            let (min_delay, spread) = self.retry_delay(why);
            not_run(min_delay, spread)
        };
        self.complete(why, answer.status().as_u16());
        answer
    }

    /// Returns the minimum `Retry-After` of a request that has not run, and the span over which the retries
    /// are spread.
    fn retry_delay(&mut self, why: &'static str) -> (Duration, Duration) {
        if why == STOPPING {
            return stop::retry_delay(&self.edge);
        }
        if let Some(due) = self.retry_due.take() {
            return (due.min(MAX_RETRY_DELAY), RETRY_DELAY_SPREAD);
        }
        let has_holder = self.edge.host.borrow().has_active_holder(self.edge.now());
        (if has_holder { RETRY_DELAY } else { RETRY_DELAY_NO_HOLDER }, RETRY_DELAY_SPREAD)
    }

    /// Ends a request whose answer has not begun when the process is about to end.
    pub(crate) fn end_in_stop(&mut self) -> Answer {
        self.add_step("stopping", "no answer yet");
        self.may_have_run |= self.sends > 0;
        self.fail(StatusCode::GATEWAY_TIMEOUT, STOPPING)
    }

    /// Reads a complete answer that is not a stream; none if the request has to be sent again.
    pub(crate) async fn forward_whole(
        &mut self,
        response: Response<Incoming>,
        connection: Connection,
        reservation: ReservationGuard,
        delay: Duration,
    ) -> Option<Answer> {
        let (parts, body) = response.into_parts();
        let tells_end = tells_end(&parts.headers, &body);
        let left = self.deadline.saturating_sub(self.edge.now());
        let mut body = timeout(left, self.edge.client.collect(body)).await.ok().flatten();
        if body.is_some() && !tells_end && !self.confirm_end(&reservation).await {
            body = None;
        }
        let signed = is_signed(&parts.headers);
        let Some(body) = body.filter(|_| signed || !parts.status.is_success()) else {
            self.check_crash(&reservation).await;
            return match self.fail_send(reservation, "broken", StatusCode::BAD_GATEWAY) {
                SendOutcome::Final(status) => Some(self.fail(status, "broken")),
                SendOutcome::Retry | SendOutcome::Head(_) => None,
            };
        };
        self.edge.client.keep(connection, &parts.headers);
        self.record_begun();
        let failed = parts.status.is_server_error();
        let target = reservation.target().to_owned();
        reservation.end(if failed { Outcome::Failed } else { Outcome::Answered(delay) });
        let mut answer = Response::new(AnswerBody::Whole(body));
        *answer.status_mut() = if signed { parts.status } else { StatusCode::BAD_GATEWAY };
        *answer.headers_mut() = answer_headers(&parts.headers);
        self.record_answer(parts.status.is_success());
        if !failed {
            self.complete("served", parts.status.as_u16());
            return Some(answer);
        }
        self.add_step("failed", &format!("{} {target}", parts.status.as_u16()));
        self.may_have_run = true;
        self.query.tried.insert(target);
        self.fallback = Some(answer);
        if self.may_retry(true) { None } else { Some(self.fail(StatusCode::BAD_GATEWAY, "failed")) }
    }
}
