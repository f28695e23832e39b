//! Reads the bodies of requests into the memory that they share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::poll_fn,
    pin::Pin,
    rc::Rc,
    task::Poll,
    time::Duration,
};

use bytes::Bytes;
use fleet::{BodyId, BodyMemory, PROGRESS_BYTES};
use http::{HeaderValue, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::{sync::Notify, task::yield_now, time::timeout};

use crate::answer::Answer;

/// Memory that a body takes at first, in bytes, if it isn't shorter.
const FIRST_BYTES: usize = 4 * 1024;
/// How often a body is asked for what its connection's buffer holds.
const BUFFER_TURNS: usize = 4;
/// How long the rest of a body is read whose request is answered already.
const SKIP_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than allowed.
    TooLarge,
    /// Its framing is invalid, or its connection has ended.
    Broken,
    /// It did not arrive in time.
    Late,
    /// The memory for bodies is used up, and others go before it.
    NoMemory,
}

impl BodyError {
    /// Returns the status for the client. Nothing has run.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Broken => StatusCode::BAD_REQUEST,
            BodyError::Late => StatusCode::REQUEST_TIMEOUT,
            BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The bodies of a kind of requests.
pub(crate) struct Bodies {
    memory: RefCell<BodyMemory>,
    incoming: RefCell<HashMap<BodyId, Rc<Buffer>>>,
}

/// What has arrived of a body.
#[derive(Default)]
struct Buffer {
    bytes: RefCell<Vec<u8>>,
    has_yielded: Cell<bool>,
    yielded: Notify,
}

impl Buffer {
    /// Frees its memory, which another body takes.
    fn give_up(&self) {
        self.bytes.take();
        self.has_yielded.set(true);
        self.yielded.notify_one();
    }
}

/// A body's part of the memory, until this is dropped.
struct Reserved {
    bodies: Rc<Bodies>,
    id: BodyId,
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.bodies.incoming.borrow_mut().remove(&self.id);
        self.bodies.memory.borrow_mut().end(self.id);
    }
}

/// The whole body of a request. Its memory is free again once this is dropped.
#[derive(Default)]
pub(crate) struct HeldBody {
    bytes: Bytes,
    _reserved: Option<Reserved>,
}

impl HeldBody {
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns its bytes, to be used no longer than the request lasts.
    pub(crate) fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }
}

impl Bodies {
    /// Returns bodies that share so many bytes of memory.
    pub(crate) fn new(memory: usize) -> Rc<Bodies> {
        let memory = RefCell::new(BodyMemory::new(memory));
        Rc::new(Bodies { memory, incoming: RefCell::default() })
    }

    /// Reads a body of at most `max` bytes within a time limit. A slow one may take all of it.
    pub(crate) async fn read(
        self: &Rc<Bodies>,
        now: impl Fn() -> Duration,
        body: &mut Incoming,
        max: usize,
        limit: Duration,
    ) -> Result<HeldBody, BodyError> {
        let max = max.min(self.memory.borrow().max_body());
        let size = body.size_hint();
        if size.lower() > max as u64 {
            return Err(BodyError::TooLarge);
        }
        if body.is_end_stream() {
            return Ok(HeldBody::default());
        }
        let expected = size.exact().map_or(max, |it| it as usize);
        let reading = Reading::begin(self, now, max, expected);
        let received = timeout(limit, reading.receive(body)).await;
        received.unwrap_or(Err(BodyError::Late))
    }
}

/// A body that is being read.
struct Reading<F> {
    now: F,
    buffer: Rc<Buffer>,
    reserved: Reserved,
    /// Maximum size, in bytes.
    max: usize,
    /// Largest size that it can have, in bytes.
    expected: usize,
    /// Size up to which its progress was recorded, in bytes.
    recorded: usize,
}

impl<F: Fn() -> Duration> Reading<F> {
    fn begin(bodies: &Rc<Bodies>, now: F, max: usize, expected: usize) -> Reading<F> {
        let id = bodies.memory.borrow_mut().begin(now());
        let buffer = Rc::new(Buffer::default());
        bodies.incoming.borrow_mut().insert(id, buffer.clone());
        let reserved = Reserved { bodies: bodies.clone(), id };
        Reading { now, buffer, reserved, max, expected, recorded: 0 }
    }

    async fn receive(mut self, body: &mut Incoming) -> Result<HeldBody, BodyError> {
        loop {
            let frame = tokio::select! {
                biased;
                () = self.buffer.yielded.notified() => return Err(BodyError::NoMemory),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { return self.complete() };
            // Trailers are left out.
            let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
            self.push(&data)?;
        }
    }

    /// Copies what has arrived, so that the connection's buffer, with the framing, isn't held.
    fn push(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let size = self.buffer.bytes.borrow().len() + data.len();
        if size > self.max {
            return Err(BodyError::TooLarge);
        }
        self.reserve(size)?;
        self.buffer.bytes.borrow_mut().extend_from_slice(data);
        if size >= self.recorded + PROGRESS_BYTES {
            self.recorded = size;
            let mut memory = self.reserved.bodies.memory.borrow_mut();
            memory.record_progress((self.now)(), self.reserved.id);
        }
        Ok(())
    }

    /// Makes room for so many bytes.
    fn reserve(&self, size: usize) -> Result<(), BodyError> {
        let capacity = self.buffer.bytes.borrow().capacity();
        if size <= capacity {
            return Ok(());
        }
        let wanted = (2 * capacity).max(FIRST_BYTES).min(self.expected).max(size);
        let bodies = &self.reserved.bodies;
        let grown =
            bodies.memory.borrow_mut().grow((self.now)(), self.reserved.id, wanted - capacity);
        for id in grown.map_err(|_| BodyError::NoMemory)? {
            if let Some(buffer) = bodies.incoming.borrow_mut().remove(&id) {
                buffer.give_up();
            }
        }
        let mut bytes = self.buffer.bytes.borrow_mut();
        let more = wanted - bytes.len();
        bytes.reserve_exact(more);
        Ok(())
    }

    fn complete(self) -> Result<HeldBody, BodyError> {
        if self.buffer.has_yielded.get() {
            return Err(BodyError::NoMemory);
        }
        let Reading { buffer, reserved, .. } = self;
        let mut bytes = buffer.bytes.take();
        bytes.shrink_to_fit();
        reserved.bodies.incoming.borrow_mut().remove(&reserved.id);
        reserved.bodies.memory.borrow_mut().complete(reserved.id, bytes.capacity());
        Ok(HeldBody { bytes: bytes.into(), _reserved: Some(reserved) })
    }
}

/// Sees to what is left of the body of a request that is about to be answered without it. Unless it has come already,
/// the answer says that the connection will be closed, and the rest is read meanwhile, within limits of its size and
/// of the time: closing a connection with unread bytes resets it, and the answer might be lost.
pub(crate) async fn skip_rest(mut body: Incoming, max: usize, answer: &mut Answer) {
    if has_come(&mut body).await {
        return;
    }
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    tokio::task::spawn_local(timeout(SKIP_TIMEOUT, async move {
        let mut skipped = 0;
        while let Some(Ok(frame)) = body.frame().await {
            skipped += frame.data_ref().map_or(0, Bytes::len);
            if skipped > max {
                break;
            }
        }
    }));
}

/// Whether the rest of a body is in the connection's buffer, or there is none.
async fn has_come(body: &mut Incoming) -> bool {
    for _ in 0..BUFFER_TURNS {
        if body.is_end_stream() {
            return true;
        }
        let frame = poll_fn(|cx| Poll::Ready(Pin::new(&mut *body).poll_frame(cx))).await;
        match frame {
            Poll::Ready(Some(Ok(_))) => {}
            Poll::Ready(None) => return true,
            Poll::Ready(Some(Err(_))) => return false,
            // Its connection passes it on when it is polled next.
            Poll::Pending => yield_now().await,
        }
    }
    false
}
