//! Responses to callers, built from the steps of an answer.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use api::header;
use bytes::{Bytes, BytesMut};
use dropshot::Body;
use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use hyper::body::{Body as HttpBody, Frame};
use wire::{ErrorKind, Fault};

use crate::{
    error::{error_json, error_response},
    interface::{Answer, AnswerStep},
};

/// Maximum number of bytes of a non-streamed answer that are buffered before the response starts,
/// so that a late failure still gets its own status.
const BUFFER_BYTES: usize = 1024 * 1024;

/// Waits for the head of an answer and returns the response. A non-streamed answer is buffered
/// until it is complete or reaches [`BUFFER_BYTES`].
pub(crate) async fn respond(answer: Answer, stream: bool) -> Response<Body> {
    let mut body = AnswerBody { answer, stream, buffered: None, ended: false };
    let head = body.answer.steps.recv().await;
    let (status, target, ran, better_entry) = match head {
        Some(AnswerStep::Head { status, target, ran, better_entry }) => {
            (status, target, ran, better_entry)
        }
        Some(AnswerStep::Failed(fault)) => return body.into_error(&fault),
        Some(AnswerStep::Piece { .. }) | None => {
            return body.into_error(&ErrorKind::Internal.into());
        }
    };
    if !stream && let Err(fault) = body.buffer().await {
        return body.into_error(&fault);
    }
    let kind = if stream { "text/event-stream" } else { "application/json" };
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    headers.insert(header::WAS_RUN, HeaderValue::from_static("yes"));
    let optional = [
        (header::TARGET, Some(target)),
        (header::RAN, Some(ran)),
        (header::BETTER_ENTRY, better_entry),
    ];
    for (key, text) in optional {
        let text = text.filter(|text| !text.is_empty());
        let Some(Ok(value)) = text.map(HeaderValue::try_from) else { continue };
        headers.insert(key, value);
    }
    let body = body.into_body();
    response.map(|()| body)
}

/// The body of an answer. Dropping it before its end reports that the caller has disconnected.
struct AnswerBody {
    answer: Answer,
    stream: bool,
    buffered: Option<Bytes>,
    ended: bool,
}

impl AnswerBody {
    /// Returns the error response instead of the answer.
    fn into_error(mut self, fault: &Fault) -> Response<Body> {
        self.ended = true;
        error_response(fault)
    }

    /// Buffers the pieces until the answer is complete or too long to buffer.
    async fn buffer(&mut self) -> Result<(), Fault> {
        let mut buffered = BytesMut::new();
        while !self.ended && buffered.len() < BUFFER_BYTES {
            match self.answer.steps.recv().await {
                Some(AnswerStep::Piece { bytes, last }) => {
                    self.answer.progress.consumed(bytes.len());
                    buffered.extend_from_slice(&bytes);
                    self.ended = last;
                }
                Some(AnswerStep::Head { .. }) => {}
                Some(AnswerStep::Failed(fault)) => return Err(fault),
                None => return Err(ErrorKind::Internal.into()),
            }
        }
        self.buffered = Some(buffered.freeze());
        Ok(())
    }

    fn into_body(mut self) -> Body {
        if !self.ended {
            return Body::wrap(self);
        }
        // A complete answer is sent with its length.
        Body::from(self.buffered.take().unwrap_or_default())
    }

    /// Ends the body after a failure: a stream with an `error` event, any other by breaking
    /// the connection.
    fn end_with_error(&mut self, fault: &Fault) -> Option<Result<Frame<Bytes>, io::Error>> {
        self.ended = true;
        if !self.stream {
            return Some(Err(io::Error::other(fault.to_string())));
        }
        let mut event = b"event: error\ndata: ".to_vec();
        event.extend_from_slice(&error_json(fault));
        event.extend_from_slice(b"\n\n");
        Some(Ok(Frame::data(event.into())))
    }
}

impl HttpBody for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        loop {
            if self.ended {
                return Poll::Ready(None);
            }
            let step = ready!(self.answer.steps.poll_recv(cx));
            match step {
                Some(AnswerStep::Piece { bytes, last }) => {
                    self.ended = last;
                    if bytes.is_empty() {
                        continue;
                    }
                    self.answer.progress.consumed(bytes.len());
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                Some(AnswerStep::Head { .. }) => {}
                Some(AnswerStep::Failed(fault)) => return Poll::Ready(self.end_with_error(&fault)),
                None => return Poll::Ready(self.end_with_error(&ErrorKind::Internal.into())),
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended && self.buffered.is_none()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if !self.ended {
            self.answer.progress.disconnected();
        }
    }
}
