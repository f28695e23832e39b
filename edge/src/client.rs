//! HTTP connections to targets, with a pool of idle ones.

use std::{
    cell::{OnceCell, RefCell},
    collections::HashMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use platform::request::is_valid_status;
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::{sleep, timeout},
};
use wire::HostId;

use crate::answer_memory::{AnswerMemory, PartialAnswer};

/// Share of a target's announced keep-alive time during which an idle connection is reused.
const IDLE_REUSE_SHARE: f64 = 0.5;
/// How long an idle connection is reused if the target announces no keep-alive time.
const DEFAULT_IDLE_REUSE: Duration = Duration::from_millis(400);
/// Maximum number of idle connections kept for one target.
const MAX_IDLE_PER_TARGET: usize = 32;
/// Maximum size of an answer's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum body size of an answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Time in which a closed connection frees the memory of its answer.
const RELEASE_TIME: Duration = Duration::from_millis(1);
/// Limits of the body of an answer that is read only to keep its connection.
const MAX_IGNORED_BYTES: usize = 16 * 1024;
const IGNORED_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// A connection to a target. Dropping it closes it; [`Client::keep`] puts it into the pool.
pub(crate) struct Connection {
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    target: String,
    /// The host that passes it on, if that is another one.
    relay: Option<HostId>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

/// A connection that has just been opened.
pub(crate) struct Opened {
    pub(crate) stream: TcpStream,
    /// The host that opened it and passes it on, if that is another one.
    pub(crate) relay: Option<HostId>,
}

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// The request was not sent.
    NotSent,
    /// The connection failed after the request was sent; it may have run.
    Lost,
    /// The answer has a status that no HTTP answer has; the request may have run.
    NoStatus,
}

struct Idle {
    connection: Connection,
    /// When it must not be reused any more.
    until: Instant,
}

/// Frees memory of answers, and returns whether there was any to free.
pub(crate) type MakeRoom = Box<dyn Fn() -> bool>;

/// Speaks HTTP over connections to targets and pools idle ones by the target's id.
pub(crate) struct Client {
    idle: RefCell<HashMap<String, Vec<Idle>>>,
    memory: AnswerMemory,
    make_room: OnceCell<MakeRoom>,
}

impl Client {
    /// Returns a client whose answers share so many bytes of memory.
    pub(crate) fn new(memory: usize) -> Client {
        let memory = AnswerMemory::new(memory);
        Client { idle: RefCell::default(), memory, make_room: OnceCell::new() }
    }

    /// Sets how memory is freed when an answer finds none; only the first call has an effect.
    pub(crate) fn on_full(&self, make_room: MakeRoom) {
        let _ = self.make_room.set(make_room);
    }

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
    /// answer's headers say that the target closes it. One that another host passes on is closed, as
    /// orders must come from this host.
    pub(crate) fn keep(&self, connection: Connection, headers: &HeaderMap) {
        if connection.relay.is_some() || closes(headers) {
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

    /// Closes all idle connections.
    pub(crate) fn drop_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Prepares a new connection to a target; none if that fails.
    pub(crate) async fn prepare(&self, target: &str, opened: Opened) -> Option<Connection> {
        let Opened { stream, relay } = opened;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
        let task = tokio::task::spawn_local(async move {
            // An error also reaches the request, through the future of `send`.
            let _ = connection.await;
        });
        let task = task.abort_handle();
        let target = target.to_owned();
        Some(Connection { sender: Some(sender), task, target, relay })
    }
}

impl Client {
    /// Reads a complete body; none if it is truncated or longer than [`MAX_ANSWER_BYTES`], or if there is no memory for
    /// it. Its memory is free again once the last of its bytes is dropped.
    pub(crate) async fn collect(&self, body: Incoming) -> Option<Bytes> {
        self.collect_up_to(body, MAX_ANSWER_BYTES).await
    }

    /// Reads a short body that nobody needs. Returns whether it was complete.
    pub(crate) async fn skip(&self, body: Incoming) -> bool {
        let skipping = self.collect_up_to(body, MAX_IGNORED_BYTES);
        timeout(IGNORED_BODY_TIMEOUT, skipping).await.is_ok_and(|it| it.is_some())
    }

    async fn collect_up_to(&self, mut body: Incoming, limit: usize) -> Option<Bytes> {
        let mut partial = PartialAnswer::new(&self.memory);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else { continue };
            if partial.len() + data.len() > limit {
                return None;
            }
            while !partial.push(&data) {
                if !self.make_room.get().is_some_and(|it| it()) {
                    return None;
                }
                sleep(RELEASE_TIME).await;
            }
        }
        Some(partial.finish())
    }
}

impl Connection {
    /// Returns the host that passes the connection on, if that is another one.
    pub(crate) fn relay(&self) -> Option<HostId> {
        self.relay
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let Some(sender) = &mut self.sender else { return Err(SendError::NotSent) };
        match sender.try_send_request(request).await {
            Ok(response) if is_valid_status(response.status().as_u16()) => Ok(response),
            Ok(_) => Err(SendError::NoStatus),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(SendError::Lost),
            },
        }
    }
}

/// Whether a target closes its connection after an answer.
fn closes(headers: &HeaderMap) -> bool {
    let value = headers.get(http::header::CONNECTION);
    value.is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Whether an answer tells where its body ends, by a length or by chunks. The body of any other ends with its
/// connection, whether it is complete or the target's process has ended.
pub(crate) fn tells_end(headers: &HeaderMap, body: &Incoming) -> bool {
    let coding = headers.get_all(http::header::TRANSFER_ENCODING).iter().next_back();
    let coding = coding.and_then(|it| it.to_str().ok()).and_then(|it| it.rsplit(',').next());
    let is_chunked = coding.is_some_and(|it| it.trim().eq_ignore_ascii_case("chunked"));
    is_chunked || body.size_hint().exact().is_some()
}
