//! Receives callers' requests, and rejects those that cannot be routed or read.

use std::{rc::Rc, time::Duration};

use body::BodyError;
use fleet::{Event, Limits, NoRoute, TargetQuery, stable_hash};
use http::{Request, StatusCode, header, request::Parts};
use hyper::body::Incoming;
use platform::request::{first_attempt, read_head};

use crate::{
    active::ActiveRequest,
    answer::{Answer, empty, not_run},
    attempt::relay,
    edge::Edge,
    listen::ConnectionLimits,
    place::Place,
    relay::Job,
    skip::skip_rest,
    stop::{self, STOPPING},
};

/// Minimum `Retry-After` for a request that arrives before the host knows the configuration in
/// force. After a loss of all hosts a leader is elected first, which takes one to two election
/// timeouts.
const RETRY_DELAY: Duration = Duration::from_millis(1800);
/// Span over which the retries of several callers are spread.
const RETRY_DELAY_SPREAD: Duration = Duration::from_millis(800);
/// Minimum `Retry-After` for a request for whose body there is no memory: bodies that have stalled give up
/// theirs, and others end.
const MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Span over which the retries of several callers are spread then.
const MEMORY_RETRY_DELAY_SPREAD: Duration = Duration::from_secs(2);
/// A request's log line says when its last byte came if it came so much later than its head.
const SLOW_BODY: Duration = Duration::from_millis(50);
/// Time until the deadline of a request whose caller gives none.
const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(60);

/// Returns the limits of the configuration in force, or the defaults if it is not known yet.
fn config_limits(edge: &Edge) -> Limits {
    edge.host.borrow().config().map(|it| it.limits).unwrap_or_default()
}

/// Limits of a caller's connection.
pub(crate) fn connection_limits(edge: &Edge) -> ConnectionLimits {
    let limits = config_limits(edge);
    ConnectionLimits { idle: limits.idle, head_bytes: limits.head_bytes }
}

/// Serves one request.
pub(crate) async fn serve(edge: Rc<Edge>, place: Rc<Place>, request: Request<Incoming>) -> Answer {
    answer(&edge, &place, ActiveRequest::begin(&edge), request).await
}

async fn answer(
    edge: &Rc<Edge>,
    place: &Place,
    active: ActiveRequest,
    request: Request<Incoming>,
) -> Answer {
    let arrived = edge.now();
    let (parts, mut body) = request.into_parts();
    let host = parts.headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default().to_owned();
    // All attempts at one stream go to the same service of a split route.
    let draw = first_attempt(&parts.headers).map_or_else(rand::random, |it| stable_hash(&it));
    let routed = edge.host.borrow().route(arrived, &host, parts.uri.path(), draw);
    let (route, service) = match routed {
        Ok(routed) => routed,
        Err(why) => {
            let (outcome, answer) = match why {
                NoRoute::Unknown => ("no_config", not_run(RETRY_DELAY, RETRY_DELAY_SPREAD)),
                NoRoute::Outdated => ("outdated", not_run(RETRY_DELAY, RETRY_DELAY_SPREAD)),
                NoRoute::None => ("no_route", empty(StatusCode::NOT_FOUND)),
            };
            return reject(edge, arrived, &parts, body, outcome, answer).await;
        }
    };
    let Some(head) = read_head(&parts.headers) else {
        return reject(edge, arrived, &parts, body, "no_id", empty(StatusCode::BAD_REQUEST)).await;
    };
    active.name(&head.attempt, &route.name);
    let left = head.time_left.unwrap_or(DEFAULT_TIME_LEFT).min(route.timeout);
    let deadline = arrived + left;
    let query = TargetQuery {
        route,
        service,
        adapter: head.adapter.clone(),
        tokens: head.answer_tokens,
        takes_up: head.last_event.is_some(),
        tried: Default::default(),
        arrived,
        software: None,
    };
    let limit = config_limits(edge).body_bytes;
    let read = tokio::select! {
        biased;
        () = edge.too_late(&query, deadline) => None,
        read = edge.bodies.read(|| edge.now(), &mut body, limit, left) => Some(read),
    };
    let body = match read {
        Some(Ok(body)) => body,
        Some(Err(error)) => {
            let (outcome, answer) = refusal(error);
            return reject(edge, arrived, &parts, body, outcome, answer).await;
        }
        None => {
            let (min_delay, spread) = stop::retry_delay(edge);
            return reject(edge, arrived, &parts, body, STOPPING, not_run(min_delay, spread)).await;
        }
    };
    place.serve();
    let read_bytes = body.as_slice().len();
    let mut job = Job::new(edge, active, query, parts, head, body, arrived, deadline);
    if edge.now() >= arrived + SLOW_BODY {
        job.add_step("read", &format!("{read_bytes} bytes"));
    }
    relay(job).await
}

/// Returns the outcome of a request whose body could not be read, and the answer for its caller.
fn refusal(error: BodyError) -> (&'static str, Answer) {
    match error {
        BodyError::NoMemory => {
            ("no_memory", not_run(MEMORY_RETRY_DELAY, MEMORY_RETRY_DELAY_SPREAD))
        }
        _ => ("body", empty(error.status())),
    }
}

/// Counts and logs a request that the host answers without sending it to a target, and reads on in its body for
/// a while.
async fn reject(
    edge: &Edge,
    arrived: Duration,
    parts: &Parts,
    body: Incoming,
    outcome: &'static str,
    mut answer: Answer,
) -> Answer {
    skip_rest(body, config_limits(edge).body_bytes, &mut answer).await;
    let now = edge.now();
    let took = now.saturating_sub(arrived);
    edge.metrics.request_ended(outcome, took.as_secs_f64());
    let status = answer.status().as_u16();
    let left = edge.host.borrow().time_to_end(now);
    let steps = left.map_or_else(String::new, |left| {
        format!("{} stopping {} ms left;", took.as_millis(), left.as_millis())
    });
    edge.log.request(now, true, || Event::Request {
        id: read_head(&parts.headers).map(|it| it.attempt).unwrap_or_default(),
        route: parts.uri.path().to_owned(),
        adapter: None,
        outcome,
        status,
        steps,
        took_ms: took.as_millis() as u64,
    });
    answer
}
