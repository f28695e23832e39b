//! The rest of the bodies of requests that are answered without it.

use std::{future::poll_fn, pin::Pin, task::Poll, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::{task::yield_now, time::timeout};

use crate::answer::Answer;

/// How often a body is asked for what its connection's buffer holds.
const BUFFER_TURNS: usize = 4;
/// How long the rest of a body is read whose request is answered already.
const SKIP_TIMEOUT: Duration = Duration::from_secs(5);

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
