//! A response body that is generated in the background and can be read from any offset.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Instant,
};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::watch;

use crate::server::{Body, Hangup};

/// State of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Tokens are still being generated.
    Running,
    /// The response is complete since the given instant.
    Complete(Instant),
    /// The request was cancelled at the given instant.
    Cancelled(Instant),
}

/// The response to one request.
#[derive(Debug)]
pub struct Generation {
    /// The adapter that generates it, as `model@adapter@version`.
    pub adapter: String,
    /// Value of the `content-type` header.
    pub content_type: &'static str,
    bytes: Mutex<Vec<u8>>,
    /// Length of `bytes`, and the state.
    phase: watch::Sender<(usize, Phase)>,
}

impl Generation {
    /// Creates an empty response in [`Phase::Running`].
    pub fn new(adapter: String, content_type: &'static str) -> Arc<Generation> {
        let (phase, _) = watch::channel((0, Phase::Running));
        Arc::new(Generation { adapter, content_type, bytes: Mutex::default(), phase })
    }

    /// Returns the current state.
    pub fn phase(&self) -> Phase {
        self.phase.borrow().1
    }

    /// Appends bytes and wakes the readers.
    pub fn push(&self, bytes: &[u8]) {
        let len = {
            let mut all = self.lock();
            all.extend_from_slice(bytes);
            all.len()
        };
        self.phase.send_modify(|it| it.0 = len);
    }

    /// Sets a final state unless there is one already. Returns whether the state changed.
    pub fn end(&self, phase: Phase) -> bool {
        self.phase.send_if_modified(|it| {
            let running = it.1 == Phase::Running;
            if running {
                it.1 = phase;
            }
            running
        })
    }

    /// Waits until the response is complete or cancelled.
    pub async fn wait_ended(&self) {
        let mut phase = self.phase.subscribe();
        let _ = phase.wait_for(|it| it.1 != Phase::Running).await;
    }

    /// Returns a body that streams the response from a byte offset on. `guard` is dropped with
    /// the body. A cancelled response ends the body with [`Hangup`].
    pub fn body<T: Send + Sync + 'static>(self: Arc<Self>, offset: usize, guard: T) -> Body {
        let state = (self.phase.subscribe(), self, offset, guard);
        let frames = stream::try_unfold(state, |(mut phase, answer, offset, guard)| async move {
            let ready = |it: &(usize, Phase)| it.0 > offset || it.1 != Phase::Running;
            let (len, now) = *phase.wait_for(ready).await.map_err(|_| Hangup)?;
            if matches!(now, Phase::Cancelled(_)) {
                return Err(Hangup);
            }
            if len <= offset {
                return Ok(None);
            }
            let bytes = Bytes::copy_from_slice(&answer.lock()[offset..len]);
            Ok(Some((Frame::data(bytes), (phase, answer, len, guard))))
        });
        StreamBody::new(frames).boxed()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.bytes.lock().expect("the lock is not poisoned")
    }
}
