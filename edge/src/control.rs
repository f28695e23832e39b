//! HTTP calls of operators and targets, readiness, the directory of entry hosts, and metrics.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use desired::Command;
use fleet::{Event, Input, Reply};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use platform::{config, registry};
use wire::TargetState;

use crate::{
    answer::{Answer, empty, error, json},
    edge::{Edge, unix_ms},
    listen::ConnectionLimits,
    place::Place,
    skip::skip_rest,
};

/// Maximum body size of a call, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Time limit for the body of a call.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How long callers may use the entry addresses of one answer, in seconds; the settings may
/// lower it.
const MAX_ENTRY_TTL_S: f64 = 2.0;

/// Limits of the connections that this module serves.
pub(crate) fn limits(_: &Edge) -> ConnectionLimits {
    ConnectionLimits { idle: IDLE_TIMEOUT, head_bytes: MAX_HEAD_BYTES }
}

/// Serves one call of an operator or a target.
pub(crate) async fn serve(edge: Rc<Edge>, place: Rc<Place>, request: Request<Incoming>) -> Answer {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let mut body = request.into_body();
    let reading = edge.call_bodies.read(|| edge.now(), &mut body, MAX_BODY_BYTES, BODY_TIMEOUT);
    let held = match reading.await {
        Ok(held) => held,
        Err(error) => {
            let mut answer = empty(error.status());
            skip_rest(body, MAX_BODY_BYTES, &mut answer).await;
            return answer;
        }
    };
    place.serve();
    let body = held.bytes();
    if method == Method::GET && path == config::FETCH_PATH {
        return fetch(&edge).await;
    }
    if method != Method::POST {
        return empty(StatusCode::NOT_FOUND);
    }
    if path == config::REPLACE_PATH {
        return replace(&edge, body).await;
    }
    if path == config::VERSION_PATH {
        return put_version(&edge, &body).await;
    }
    if let Some(id) = path.strip_prefix(registry::HEARTBEAT_PATH) {
        return heartbeat(&edge, id, &body).await;
    }
    if let Some(id) = path.strip_prefix(registry::DEREGISTER_PATH) {
        return deregister(&edge, id, &body).await;
    }
    empty(StatusCode::NOT_FOUND)
}

async fn replace(edge: &Rc<Edge>, body: Bytes) -> Answer {
    let read = match config::read_config(&body) {
        Ok(read) => read,
        Err(error) => return reject(edge, "configuration", &error),
    };
    if let Err(error) = read.check() {
        return reject(edge, "configuration", &error);
    }
    let command = Command::Replace { number: read.number, body: desired::pack(&body) };
    change(edge, format!("configuration {}", read.number), command).await
}

async fn put_version(edge: &Rc<Edge>, body: &[u8]) -> Answer {
    match config::read_version(body) {
        Ok((adapter, version)) => {
            let what = format!("version {version} of {adapter}");
            change(edge, what, Command::Version { adapter, version }).await
        }
        Err(error) => reject(edge, "version", &error),
    }
}

fn reject(edge: &Edge, what: &str, cause: &dyn std::error::Error) -> Answer {
    let what = format!("{what}: {cause}");
    edge.log.event(&Event::Change { what: what.clone(), outcome: "refused" });
    error(StatusCode::BAD_REQUEST, &what)
}

async fn change(edge: &Rc<Edge>, what: String, command: Command) -> Answer {
    match edge.call(|tag| Input::Change { tag, command }).await {
        Reply::InForce => {
            edge.log.event(&Event::Change { what, outcome: "in_force" });
            json(StatusCode::OK, "{}")
        }
        Reply::Config(_) | Reply::Unknown => {
            edge.log.event(&Event::Change { what, outcome: "unknown" });
            empty(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

async fn fetch(edge: &Rc<Edge>) -> Answer {
    match edge.call(|tag| Input::Read { tag }).await {
        Reply::Config(body) => match desired::unpack(&body) {
            Some(body) => json(StatusCode::OK, body),
            None => empty(StatusCode::INTERNAL_SERVER_ERROR),
        },
        Reply::InForce | Reply::Unknown => empty(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn heartbeat(edge: &Rc<Edge>, id: &str, body: &[u8]) -> Answer {
    let record = match registry::read_heartbeat(id, body) {
        Ok(record) => record,
        Err(cause) => return reject_call(edge, &format!("heartbeat of {id}: {cause}")),
    };
    let domain = record.domain.clone();
    if record.state == TargetState::Leaving {
        if !edge.host.borrow().can_announce() {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        if edge.call(|tag| Input::Leaves { tag, record }).await != Reply::InForce {
            return unrecorded(edge, id);
        }
    } else {
        edge.step(Input::Heartbeat { record });
    }
    let host = edge.host.borrow();
    let next = host.holder(&domain).or(host.leader()).zip(host.settings().control);
    let next = next.map(|(holder, own)| edge.addr_of(holder, own).to_string());
    json(StatusCode::OK, registry::heartbeat_answer(next))
}

async fn deregister(edge: &Rc<Edge>, id: &str, body: &[u8]) -> Answer {
    let started_at = match registry::read_deregistration(id, body) {
        Ok(started_at) => started_at,
        Err(cause) => return reject_call(edge, &format!("deregistration of {id}: {cause}")),
    };
    if !edge.host.borrow().can_deregister(id, started_at) {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let (id, arrived_at) = (id.to_owned(), unix_ms());
    let target = id.clone();
    match edge.call(|tag| Input::Deregistered { tag, id, started_at, arrived_at }).await {
        Reply::InForce => json(StatusCode::OK, "{}"),
        Reply::Config(_) | Reply::Unknown => unrecorded(edge, &target),
    }
}

/// Answers a target that leaves, which was told to all hosts but is not known to be in the log: the target
/// calls another host.
fn unrecorded(edge: &Edge, id: &str) -> Answer {
    edge.log.event(&Event::DepartureUnrecorded { target: id.to_owned() });
    empty(StatusCode::SERVICE_UNAVAILABLE)
}

/// Rejects a target's call that could not be read.
fn reject_call(edge: &Edge, what: &str) -> Answer {
    edge.log.event(&Event::Alarm { what: what.to_owned() });
    error(StatusCode::BAD_REQUEST, what)
}

/// Answers whether the host accepts callers' requests.
pub(crate) async fn ready(edge: Rc<Edge>, _: Rc<Place>, request: Request<Incoming>) -> Answer {
    if request.uri().path() != registry::READY_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    match edge.host.borrow().is_ready() {
        true => empty(StatusCode::OK),
        false => empty(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Answers which entry hosts a caller may use, and for how long.
pub(crate) async fn resolve(edge: Rc<Edge>, _: Rc<Place>, request: Request<Incoming>) -> Answer {
    if request.uri().path() != registry::RESOLVE_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    let host = edge.host.borrow();
    let domain = registry::query_field(request.uri().query(), "zone");
    let own: SocketAddr = host.settings().entry;
    let mut addresses = Vec::new();
    for id in host.entries(domain).into_iter().take(registry::MAX_ENTRIES) {
        addresses.push(edge.addr_of(id, own).to_string());
    }
    if addresses.is_empty() {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl = MAX_ENTRY_TTL_S.min(host.settings().bounds.entry_ttl.as_secs_f64());
    json(StatusCode::OK, registry::entries_answer(addresses, ttl))
}

/// Answers with the metrics in Prometheus' text format.
pub(crate) async fn metrics(edge: Rc<Edge>, _: Rc<Place>, _: Request<Incoming>) -> Answer {
    let text = edge.metrics.render(
        edge.now(),
        &edge.host.borrow(),
        edge.active.count(),
        &edge.hub.stats(),
    );
    let mut answer = empty(StatusCode::OK);
    *answer.body_mut() = crate::answer::AnswerBody::Whole(Bytes::from(text));
    answer
}
