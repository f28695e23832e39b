//! An answer that grows while it is generated and can be read from any offset.

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

/// How far an answer has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It is generated.
    Running,
    /// It is whole since an instant.
    Whole(Instant),
    /// It was cancelled at an instant.
    Cancelled(Instant),
}

/// An answer of one request.
#[derive(Debug)]
pub struct Generation {
    /// What was asked to answer.
    pub adapter: String,
    /// The answer's content type.
    pub content: &'static str,
    bytes: Mutex<Vec<u8>>,
    phase: watch::Sender<(usize, Phase)>,
}

impl Generation {
    /// Starts an answer.
    pub fn new(adapter: String, content: &'static str) -> Arc<Generation> {
        let (phase, _) = watch::channel((0, Phase::Running));
        Arc::new(Generation { adapter, content, bytes: Mutex::default(), phase })
    }

    /// Returns how far it has come.
    pub fn phase(&self) -> Phase {
        self.phase.borrow().1
    }

    /// Appends to it.
    pub fn push(&self, bytes: &[u8]) {
        let len = {
            let mut all = self.lock();
            all.extend_from_slice(bytes);
            all.len()
        };
        self.phase.send_modify(|it| it.0 = len);
    }

    /// Ends it, unless it has ended. Returns whether it had not.
    pub fn end(&self, phase: Phase) -> bool {
        self.phase.send_if_modified(|it| {
            let running = it.1 == Phase::Running;
            if running {
                it.1 = phase;
            }
            running
        })
    }

    /// Waits until it has ended.
    pub async fn ended(&self) {
        let mut phase = self.phase.subscribe();
        let _ = phase.wait_for(|it| it.1 != Phase::Running).await;
    }

    /// Returns a body with the answer from an offset on, as it grows. `held`
    /// is dropped with the body.
    pub fn body<T: Send + Sync + 'static>(self: Arc<Self>, offset: usize, held: T) -> Body {
        let state = (self.phase.subscribe(), self, offset, held);
        let frames = stream::try_unfold(state, |(mut phase, answer, offset, held)| async move {
            let ready = |it: &(usize, Phase)| it.0 > offset || it.1 != Phase::Running;
            let (len, now) = *phase.wait_for(ready).await.map_err(|_| Hangup)?;
            if matches!(now, Phase::Cancelled(_)) {
                return Err(Hangup);
            }
            if len <= offset {
                return Ok(None);
            }
            let bytes = Bytes::copy_from_slice(&answer.lock()[offset..len]);
            Ok(Some((Frame::data(bytes), (phase, answer, len, held))))
        });
        StreamBody::new(frames).boxed()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.bytes.lock().expect("no holder panics")
    }
}
