//! Answers to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc::Receiver;

/// An answer ends before it is whole.
#[derive(Debug, Clone, Copy, Error)]
#[error("the answer was broken off")]
pub(crate) struct BrokenOff;

/// A piece of an answer.
pub(crate) type Piece = Result<Bytes, BrokenOff>;

/// The body of an answer.
pub(crate) enum AnswerBody {
    /// A whole body.
    Whole(Bytes),
    /// A stream of pieces; it is whole when the sender is dropped after no error.
    Stream(Receiver<Piece>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            AnswerBody::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            AnswerBody::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            AnswerBody::Stream(pieces) => {
                pieces.poll_recv(cx).map(|piece| piece.map(|it| it.map(Frame::data)))
            }
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

/// An answer to a caller.
pub(crate) type Answer = Response<AnswerBody>;

/// An answer of the system's own without content.
pub(crate) fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(AnswerBody::Whole(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// An answer of the system's own with a JSON body.
pub(crate) fn json(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(AnswerBody::Whole(body.into()));
    *answer.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}

/// An answer of the system's own that says why.
pub(crate) fn refused(status: StatusCode, why: &str) -> Answer {
    json(status, serde_json::json!({ "error": why }).to_string())
}

/// The promise that a request has not run, with the time to come back: `least`, and
/// a part of `spread` at random, so that callers don't return at once.
pub(crate) fn not_run(least: Duration, spread: Duration) -> Answer {
    let after = least + spread.mul_f64(rand::random());
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    let text = format!("{:.2}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&text) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}
