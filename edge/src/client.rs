//! HTTP connections to targets, with a pool of idle ones.

use std::{
    cell::RefCell,
    collections::HashMap,
    io::{self, ErrorKind},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

/// Time limit for a new connection; it leaves room for one lost SYN and its retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Share of a target's announced keep-alive time during which an idle connection is reused.
const IDLE_REUSE_SHARE: f64 = 0.5;
/// How long an idle connection is reused if the target announces no keep-alive time.
const DEFAULT_IDLE_REUSE: Duration = Duration::from_millis(400);
/// Maximum number of idle connections kept for one target.
const MAX_IDLE_PER_TARGET: usize = 32;
/// Maximum body size of an answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A connection to a target. Dropping it closes it; [`Client::keep`] puts it into the pool.
pub(crate) struct Connection {
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    target: String,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// The request was not sent.
    NotSent,
    /// The connection failed after the request was sent; it may have run.
    Lost,
}

struct Idle {
    connection: Connection,
    /// When it must not be reused any more.
    until: Instant,
}

/// Opens connections to targets and pools idle ones by the target's id.
#[derive(Clone, Default)]
pub(crate) struct Client {
    idle: Rc<RefCell<HashMap<String, Vec<Idle>>>>,
}

impl Client {
    /// Returns a usable idle connection to a target; none if the pool has none.
    pub(crate) fn reuse(&self, target: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(target)?;
        while let Some(last) = list.pop() {
            let usable = last.connection.sender.as_ref().is_some_and(|it| it.is_ready());
            if usable && Instant::now() < last.until {
                return Some(last.connection);
            }
        }
        idle.remove(target);
        None
    }

    /// Puts a connection into the pool after its answer was read completely, unless the
    /// answer's headers say that the target closes it.
    pub(crate) fn keep(&self, connection: Connection, headers: &HeaderMap) {
        if closes(headers) {
            return;
        }
        let announced = platform::request::keep_alive(headers);
        let span = announced.map_or(DEFAULT_IDLE_REUSE, |it| it.mul_f64(IDLE_REUSE_SHARE));
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(connection.target.clone()).or_default();
        list.retain(|it| Instant::now() < it.until);
        if list.len() < MAX_IDLE_PER_TARGET {
            list.push(Idle { connection, until: Instant::now() + span });
        }
    }

    /// Closes the idle connections whose reuse time is over.
    pub(crate) fn remove_expired(&self) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|it| Instant::now() < it.until);
            !list.is_empty()
        });
    }

    /// Whether an address refuses connections, as it does after its process crashed.
    pub(crate) async fn refuses_connections(&self, addr: &str) -> bool {
        let opened = connect(addr).await;
        matches!(opened, Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
    }

    /// Opens a new connection to a target; none if that fails or takes too long.
    pub(crate) async fn open(&self, target: &str, addr: &str) -> Option<Connection> {
        let stream = connect(addr).await?.ok()?;
        stream.set_nodelay(true).ok()?;
        peer::detect_dead_peer(&stream).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let task = tokio::task::spawn_local(async move {
            // An error also reaches the request, through the future of `send`.
            let _ = connection.await;
        });
        let task = task.abort_handle();
        Some(Connection { sender: Some(sender), task, target: target.to_owned() })
    }
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let Some(sender) = &mut self.sender else { return Err(SendError::NotSent) };
        match sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(SendError::Lost),
            },
        }
    }
}

/// Connects to an address; none if the address is invalid or the time limit is over.
async fn connect(addr: &str) -> Option<io::Result<TcpStream>> {
    let addr: SocketAddr = addr.parse().ok()?;
    timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.ok()
}

/// Whether a target closes its connection after an answer.
fn closes(headers: &HeaderMap) -> bool {
    let value = headers.get(http::header::CONNECTION);
    value.is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Reads a complete body; none if it is truncated or longer than `MAX_ANSWER_BYTES`.
pub(crate) async fn collect(body: Incoming) -> Option<Bytes> {
    Some(Limited::new(body, MAX_ANSWER_BYTES).collect().await.ok()?.to_bytes())
}
