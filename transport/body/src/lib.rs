//! Reads the bodies of requests into a memory that they share, so that clients can't fill the process.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use admit::{BodyId, BodyMemory, PROGRESS_BYTES};
use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::{sync::Notify, time::timeout};

/// Memory that a body takes at first, in bytes, if it isn't shorter.
const FIRST_BYTES: usize = 4 * 1024;

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("the body is too long")]
    TooLarge,
    /// Its framing is invalid, or its connection has ended.
    #[error("the body is not whole")]
    Broken,
    /// It did not arrive in time.
    #[error("the body did not arrive in time")]
    Late,
    /// The memory for bodies is used up, and others go before it.
    #[error("no memory for the request's body")]
    NoMemory,
}

impl BodyError {
    /// Returns the status for the client. Nothing has run.
    pub fn status(self) -> StatusCode {
        match self {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Broken => StatusCode::BAD_REQUEST,
            BodyError::Late => StatusCode::REQUEST_TIMEOUT,
            BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The bodies of a kind of requests.
#[derive(Clone)]
pub struct Bodies(Arc<Mutex<State>>);

/// Locked before the bytes of any [`Buffer`].
struct State {
    memory: BodyMemory,
    incoming: HashMap<BodyId, Arc<Buffer>>,
}

/// What has arrived of a body.
struct Buffer {
    /// None once another body has got its memory.
    bytes: Mutex<Option<Vec<u8>>>,
    yielded: Notify,
}

impl Buffer {
    fn bytes(&self) -> MutexGuard<'_, Option<Vec<u8>>> {
        self.bytes.lock().expect("the lock is not poisoned")
    }

    /// Frees its memory, which another body takes.
    fn give_up(&self) {
        self.bytes().take();
        self.yielded.notify_one();
    }
}

/// A body's part of the memory, until this is dropped.
struct Reserved {
    bodies: Bodies,
    id: BodyId,
}

impl Drop for Reserved {
    fn drop(&mut self) {
        let mut state = self.bodies.state();
        state.incoming.remove(&self.id);
        state.memory.end(self.id);
    }
}

/// The whole body of a request. Its memory is free again once this is dropped.
#[derive(Default)]
pub struct HeldBody {
    bytes: Bytes,
    _reserved: Option<Reserved>,
}

impl HeldBody {
    /// Returns its bytes, to be used no longer than the request lasts.
    pub fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }

    /// Returns its bytes.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }
}

impl Bodies {
    /// Returns bodies that share so many bytes of memory.
    pub fn new(memory: usize) -> Bodies {
        let memory = BodyMemory::new(memory);
        Bodies(Arc::new(Mutex::new(State { memory, incoming: HashMap::new() })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("the lock is not poisoned")
    }

    /// Reads a body of at most `max` bytes within a time limit. A slow one may take all of it.
    ///
    /// # Errors
    ///
    /// If the body did not arrive whole within the limits, or finds no memory.
    pub async fn read<B: Body<Data = Bytes> + Unpin>(
        &self,
        now: impl Fn() -> Duration,
        body: &mut B,
        max: usize,
        limit: Duration,
    ) -> Result<HeldBody, BodyError> {
        let max = max.min(self.state().memory.max_body());
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
    buffer: Arc<Buffer>,
    reserved: Reserved,
    /// Maximum size, in bytes.
    max: usize,
    /// Largest size that it can have, in bytes.
    expected: usize,
    /// Size up to which its progress was recorded, in bytes.
    recorded: usize,
}

impl<F: Fn() -> Duration> Reading<F> {
    fn begin(bodies: &Bodies, now: F, max: usize, expected: usize) -> Reading<F> {
        let buffer =
            Arc::new(Buffer { bytes: Mutex::new(Some(Vec::new())), yielded: Notify::new() });
        let mut state = bodies.state();
        let id = state.memory.begin(now());
        state.incoming.insert(id, buffer.clone());
        drop(state);
        let reserved = Reserved { bodies: bodies.clone(), id };
        Reading { now, buffer, reserved, max, expected, recorded: 0 }
    }

    async fn receive<B: Body<Data = Bytes> + Unpin>(
        mut self,
        body: &mut B,
    ) -> Result<HeldBody, BodyError> {
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
        let (size, capacity) = match &*self.buffer.bytes() {
            Some(bytes) => (bytes.len() + data.len(), bytes.capacity()),
            None => return Err(BodyError::NoMemory),
        };
        if size > self.max {
            return Err(BodyError::TooLarge);
        }
        let mut wanted = capacity;
        if size > capacity {
            wanted = (2 * capacity).max(FIRST_BYTES).min(self.expected).max(size);
            self.grow(wanted - capacity)?;
        }
        if let Some(bytes) = &mut *self.buffer.bytes() {
            bytes.reserve_exact(wanted - bytes.len());
            bytes.extend_from_slice(data);
        }
        if size >= self.recorded + PROGRESS_BYTES {
            self.recorded = size;
            let now = (self.now)();
            self.reserved.bodies.state().memory.record_progress(now, self.reserved.id);
        }
        Ok(())
    }

    /// Takes so many further bytes of the memory, from other bodies if need be.
    fn grow(&self, more: usize) -> Result<(), BodyError> {
        let mut state = self.reserved.bodies.state();
        let yielded = state.memory.grow((self.now)(), self.reserved.id, more);
        for id in yielded.map_err(|_| BodyError::NoMemory)? {
            if let Some(buffer) = state.incoming.remove(&id) {
                buffer.give_up();
            }
        }
        Ok(())
    }

    fn complete(self) -> Result<HeldBody, BodyError> {
        let Reading { buffer, reserved, .. } = self;
        let mut state = reserved.bodies.state();
        let Some(mut bytes) = buffer.bytes().take() else { return Err(BodyError::NoMemory) };
        bytes.shrink_to_fit();
        state.incoming.remove(&reserved.id);
        state.memory.complete(reserved.id, bytes.capacity());
        drop(state);
        Ok(HeldBody { bytes: bytes.into(), _reserved: Some(reserved) })
    }
}
