//! Answers to callers.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc::{Receiver, Sender, channel};

/// An answer body ended before it was complete.
#[derive(Debug, Clone, Copy, Error)]
#[error("answer body truncated")]
pub(crate) struct Truncated;

/// The body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// A complete body, sent with its length.
    Whole(Bytes),
    /// A stream of chunks.
    Stream(StreamBody),
}

/// A streamed body. It is complete only if its writer says so; however else the writer is dropped, the
/// caller's connection is broken off.
pub(crate) struct StreamBody {
    chunks: Receiver<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

impl StreamBody {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        self.chunks.poll_recv(cx).map(|chunk| match chunk {
            Some(chunk) => Some(Ok(Frame::data(chunk))),
            None if self.is_complete.get() => None,
            None => Some(Err(Truncated)),
        })
    }
}

/// Writes a streamed body.
pub(crate) struct StreamWriter {
    chunks: Sender<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

impl StreamWriter {
    /// Returns a writer and its body, which holds up to `queued` chunks that the caller hasn't taken.
    pub(crate) fn new(queued: usize) -> (StreamWriter, StreamBody) {
        let (sender, chunks) = channel(queued);
        let is_complete = Rc::new(Cell::new(false));
        let writer = StreamWriter { chunks: sender, is_complete: is_complete.clone() };
        (writer, StreamBody { chunks, is_complete })
    }

    /// Adds a chunk, once there is room for it. Returns `false` if the caller has left.
    pub(crate) async fn write(&self, chunk: Bytes) -> bool {
        self.chunks.send(chunk).await.is_ok()
    }

    /// Waits until the caller has left.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Ends the body as complete.
    pub(crate) fn finish(self) {
        self.is_complete.set(true);
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut *self {
            AnswerBody::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            AnswerBody::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            AnswerBody::Stream(body) => body.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}

/// An HTTP answer of one of this process' listeners.
pub(crate) type Answer = Response<AnswerBody>;

/// Returns an answer of the host itself with an empty body.
pub(crate) fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(AnswerBody::Whole(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Returns an answer of the host itself with a JSON body.
pub(crate) fn json(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(AnswerBody::Whole(body.into()));
    *answer.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}

/// Returns an answer of the host itself with the reason in the JSON field `error`.
pub(crate) fn error(status: StatusCode, reason: &str) -> Answer {
    json(status, serde_json::json!({ "error": reason }).to_string())
}

/// Returns a 503, which guarantees that the request has not run. `Retry-After` is `min_delay`
/// plus a random part of `spread`, so that callers do not all return at once.
pub(crate) fn not_run(min_delay: Duration, spread: Duration) -> Answer {
    let after = min_delay + spread.mul_f64(rand::random());
    let mut answer = empty(StatusCode::SERVICE_UNAVAILABLE);
    let text = format!("{:.2}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&text) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}
