//! Calls of operators and targets, and callers' questions about entries.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use desired::Command;
use fleet::{Event, Input, Reply};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use platform::{config, registry};

use crate::{
    answer::{Answer, json, plain, refused},
    edge::Edge,
    listen::Terms,
};

/// The longest body of an operator's call, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// How long a connection for control may be idle.
const IDLE: Duration = Duration::from_secs(30);
const HEAD_BYTES: usize = 16 * 1024;
/// How long callers may use the entries they were told of, in seconds, within
/// the bound of the settings.
const ENTRY_TTL_S: f64 = 2.0;

/// Terms of the connections for control.
pub(crate) fn terms(_: &Edge) -> Terms {
    Terms { idle: IDLE, head_bytes: HEAD_BYTES }
}

/// Serves one call of an operator or a target.
pub(crate) async fn control(edge: Rc<Edge>, request: Request<Incoming>) -> Answer {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await else {
        return plain(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let body = body.to_bytes();
    if method == Method::GET && path == config::FETCH_PATH {
        return fetch(&edge).await;
    }
    if method != Method::POST {
        return plain(StatusCode::NOT_FOUND);
    }
    if path == config::REPLACE_PATH {
        return replace(&edge, body).await;
    }
    if path == config::VERSION_PATH {
        return name_version(&edge, &body).await;
    }
    if let Some(id) = path.strip_prefix(registry::BEAT_PATH) {
        return beat(&edge, id, &body);
    }
    if let Some(id) = path.strip_prefix(registry::LEAVE_PATH) {
        edge.step(Input::Left { id: id.to_owned() });
        return json(StatusCode::OK, "{}");
    }
    plain(StatusCode::NOT_FOUND)
}

async fn replace(edge: &Rc<Edge>, body: Bytes) -> Answer {
    let read = match config::read_config(&body) {
        Ok(read) => read,
        Err(error) => return refuse(edge, "configuration", &error),
    };
    if let Err(error) = read.check() {
        return refuse(edge, "configuration", &error);
    }
    let command = Command::Replace { number: read.number, body: desired::pack(&body) };
    change(edge, format!("configuration {}", read.number), command).await
}

async fn name_version(edge: &Rc<Edge>, body: &[u8]) -> Answer {
    match config::read_version(body) {
        Ok((adapter, version)) => {
            let what = format!("version {version} of {adapter}");
            change(edge, what, Command::Version { adapter, version }).await
        }
        Err(error) => refuse(edge, "version", &error),
    }
}

fn refuse(edge: &Edge, what: &str, error: &dyn std::error::Error) -> Answer {
    let what = format!("{what}: {error}");
    edge.log.event(&Event::Change { what: what.clone(), outcome: "refused" });
    refused(StatusCode::BAD_REQUEST, &what)
}

async fn change(edge: &Rc<Edge>, what: String, command: Command) -> Answer {
    match edge.call(|tag| Input::Change { tag, command }).await {
        Reply::InForce => {
            edge.log.event(&Event::Change { what, outcome: "in_force" });
            json(StatusCode::OK, "{}")
        }
        Reply::Config(_) | Reply::Unknown => {
            edge.log.event(&Event::Change { what, outcome: "unknown" });
            plain(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

async fn fetch(edge: &Rc<Edge>) -> Answer {
    match edge.call(|tag| Input::Read { tag }).await {
        Reply::Config(body) => match desired::unpack(&body) {
            Some(body) => json(StatusCode::OK, body),
            None => plain(StatusCode::INTERNAL_SERVER_ERROR),
        },
        Reply::InForce | Reply::Unknown => plain(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn beat(edge: &Rc<Edge>, id: &str, body: &[u8]) -> Answer {
    let card = match registry::read_beat(id, body) {
        Ok(card) => card,
        Err(error) => {
            let what = format!("heartbeat of {id}: {error}");
            edge.log.event(&Event::Alarm { what: what.clone() });
            return refused(StatusCode::BAD_REQUEST, &what);
        }
    };
    let domain = card.domain.clone();
    edge.step(Input::Beat { card });
    let host = edge.host.borrow();
    let next = host.holder(&domain).or(host.leader()).zip(host.settings().control);
    let next = next.map(|(holder, own)| edge.addr_of(holder, own).to_string());
    json(StatusCode::OK, registry::beat_answer(next))
}

/// Tells whether the host takes callers.
pub(crate) async fn ready(edge: Rc<Edge>, request: Request<Incoming>) -> Answer {
    if request.uri().path() != registry::READY_PATH {
        return plain(StatusCode::NOT_FOUND);
    }
    match edge.host.borrow().is_ready() {
        true => plain(StatusCode::OK),
        false => plain(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Tells which entries a caller may use.
pub(crate) async fn resolve(edge: Rc<Edge>, request: Request<Incoming>) -> Answer {
    if request.uri().path() != registry::RESOLVE_PATH {
        return plain(StatusCode::NOT_FOUND);
    }
    let host = edge.host.borrow();
    let domain = registry::query_field(request.uri().query(), "zone");
    let own: SocketAddr = host.settings().entry;
    let mut addresses = Vec::new();
    for id in host.entries(domain).into_iter().take(registry::MAX_ENTRIES) {
        addresses.push(edge.addr_of(id, own).to_string());
    }
    if addresses.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl = ENTRY_TTL_S.min(host.settings().bounds.entry_ttl.as_secs_f64());
    json(StatusCode::OK, registry::entries_answer(addresses, ttl))
}

/// Writes the metrics.
pub(crate) async fn metrics(edge: Rc<Edge>, _: Request<Incoming>) -> Answer {
    let text =
        edge.metrics.text(edge.now(), &edge.host.borrow(), edge.active.get(), &edge.hub.stats());
    let mut answer = plain(StatusCode::OK);
    *answer.body_mut() = crate::answer::AnswerBody::Whole(Bytes::from(text));
    answer
}
