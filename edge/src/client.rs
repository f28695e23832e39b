//! Connections to targets.

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

/// How long a new connection may take; the first packet may be lost once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Part of the time a target keeps an idle connection during which it is used.
const KEPT_SHARE: f64 = 0.5;
/// How long an idle connection is used if the target does not say.
const KEPT_UNTOLD: Duration = Duration::from_millis(400);
/// Idle connections kept for one target.
const KEPT_CONNECTIONS: usize = 32;
/// The longest answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A connection in use. It is closed when it is dropped, unless it is kept.
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

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// Nothing left this host.
    NotSent,
    /// It may have run.
    Lost,
}

struct Idle {
    connection: Connection,
    until: Instant,
}

/// Opens connections to targets and keeps idle ones for a while.
#[derive(Clone, Default)]
pub(crate) struct Client {
    idle: Rc<RefCell<HashMap<String, Vec<Idle>>>>,
}

impl Client {
    /// Returns an idle connection to a target's run, if there is one.
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

    /// Keeps a connection whose answer, with these headers, was read to its end,
    /// unless the target closes it.
    pub(crate) fn keep(&self, connection: Connection, headers: &HeaderMap) {
        if closes(headers) {
            return;
        }
        let told = platform::request::keep_alive(headers);
        let span = told.map_or(KEPT_UNTOLD, |it| it.mul_f64(KEPT_SHARE));
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(connection.target.clone()).or_default();
        list.retain(|it| Instant::now() < it.until);
        if list.len() < KEPT_CONNECTIONS {
            list.push(Idle { connection, until: Instant::now() + span });
        }
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn clean(&self) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|it| Instant::now() < it.until);
            !list.is_empty()
        });
    }

    /// Whether nobody listens at an address, as after a crash.
    pub(crate) async fn is_deserted(&self, addr: &str) -> bool {
        let opened = connect(addr).await;
        matches!(opened, Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
    }

    /// Opens a connection to a target's run.
    pub(crate) async fn open(&self, target: &str, addr: &str) -> Option<Connection> {
        let stream = connect(addr).await?.ok()?;
        stream.set_nodelay(true).ok()?;
        peer::watch_silence(&stream).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let task = tokio::task::spawn_local(async move {
            // The request learns of an error from its own future.
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

/// Connects to an address; none if nothing was heard in time.
async fn connect(addr: &str) -> Option<io::Result<TcpStream>> {
    let addr: SocketAddr = addr.parse().ok()?;
    timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.ok()
}

/// Whether a target closes its connection after an answer.
fn closes(headers: &HeaderMap) -> bool {
    let value = headers.get(http::header::CONNECTION);
    value.is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Reads a whole body; none if it is broken off or too long.
pub(crate) async fn collect(body: Incoming) -> Option<Bytes> {
    Some(Limited::new(body, MAX_ANSWER_BYTES).collect().await.ok()?.to_bytes())
}
