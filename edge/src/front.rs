//! Callers' requests.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use fleet::{Ask, Event, Limits, NoRoute};
use http::{HeaderValue, Request, StatusCode, header, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use platform::request::read_head;
use tokio::time::timeout;

use crate::{
    answer::{Answer, not_run, plain},
    edge::Edge,
    listen::Terms,
    relay::{Job, relay},
};

/// When a caller should come back that came before the host knew what is in force,
/// at least, and the span over which their returns are spread. After all hosts were
/// lost a leader is elected first, which takes one to two election times.
const COME_BACK: Duration = Duration::from_millis(1800);
const COME_BACK_SPREAD: Duration = Duration::from_millis(800);
/// How long a caller that gives no deadline is taken to wait.
const DEFAULT_LEFT: Duration = Duration::from_secs(60);
/// How long a body may take to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);

/// What callers may send now.
fn limits(edge: &Edge) -> Limits {
    edge.host.borrow().config().map(|it| it.limits).unwrap_or_default()
}

/// Terms of a caller's connection.
pub(crate) fn terms(edge: &Edge) -> Terms {
    let limits = limits(edge);
    Terms { idle: limits.idle, head_bytes: limits.head_bytes }
}

/// Counts a request for as long as it lives.
pub(crate) struct Active(Rc<Edge>);

impl Active {
    fn new(edge: &Rc<Edge>) -> Active {
        edge.active.set(edge.active.get() + 1);
        Active(edge.clone())
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

/// Serves one request.
pub(crate) async fn serve(edge: Rc<Edge>, request: Request<Incoming>) -> Answer {
    let active = Active::new(&edge);
    let mut answer = answer(&edge, active, request).await;
    if edge.stopping.get() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

async fn answer(edge: &Rc<Edge>, active: Active, request: Request<Incoming>) -> Answer {
    let arrived = edge.now();
    let (parts, body) = request.into_parts();
    let name = parts.headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let name = name.or(parts.uri.host()).unwrap_or_default().to_owned();
    let routed = edge.host.borrow().route(&name, parts.uri.path(), rand::random());
    let (route, service) = match routed {
        Ok(routed) => routed,
        Err(NoRoute::Unknown) => {
            return own(edge, &parts, "no_config", not_run(COME_BACK, COME_BACK_SPREAD));
        }
        Err(NoRoute::None) => {
            return own(edge, &parts, "no_route", plain(StatusCode::NOT_FOUND));
        }
    };
    let Some(head) = read_head(&parts.headers) else {
        return own(edge, &parts, "no_id", plain(StatusCode::BAD_REQUEST));
    };
    let body = match read_body(edge, body).await {
        Ok(body) => body,
        Err(status) => return own(edge, &parts, "body", plain(status)),
    };
    let left = head.left.unwrap_or(DEFAULT_LEFT);
    let end = arrived + left.min(route.timeout);
    let ask = Ask { route, service, adapter: head.adapter.clone(), tried: Default::default() };
    relay(Job::new(edge, active, ask, parts, head, body, arrived, end)).await
}

/// Notes an answer of the host's own.
fn own(edge: &Edge, parts: &Parts, why: &'static str, answer: Answer) -> Answer {
    edge.metrics.ended(why, 0.0);
    let status = answer.status().as_u16();
    edge.log.request(edge.now(), true, || Event::Request {
        id: read_head(&parts.headers).map(|it| it.attempt).unwrap_or_default(),
        route: parts.uri.path().to_owned(),
        adapter: None,
        outcome: why,
        status,
        steps: String::new(),
        took_ms: 0,
    });
    answer
}

async fn read_body(edge: &Edge, body: Incoming) -> Result<Bytes, StatusCode> {
    let limit = limits(edge).body_bytes;
    match timeout(BODY_TIME, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}
