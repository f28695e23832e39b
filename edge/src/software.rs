//! Binds each stream to the software version that began it, within an answer and over the attempts
//! of its caller.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use fleet::stream_hash;
use tokio::{sync::oneshot, time::timeout};
use wire::{SoftwareHash, StreamHash};

use crate::{edge::Edge, relay::Job};

/// How long the first event of a stream is held back until its record is confirmed.
const RECORD_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit for finding out which software version began a stream.
const FIND_TIMEOUT: Duration = Duration::from_millis(1200);

/// Senders by the hash of the stream that their receivers wait for.
type Waits<T> = RefCell<HashMap<StreamHash, Vec<oneshot::Sender<T>>>>;

/// Requests that wait for a record, or for what is recorded.
#[derive(Default)]
pub(crate) struct StreamWaits {
    records: Waits<()>,
    searches: Waits<SoftwareHash>,
}

fn wait<T>(waits: &Waits<T>, stream: StreamHash) -> oneshot::Receiver<T> {
    let (sender, receiver) = oneshot::channel();
    waits.borrow_mut().entry(stream).or_default().push(sender);
    receiver
}

fn resolve<T: Clone>(waits: &Waits<T>, stream: StreamHash, value: T) {
    for sender in waits.borrow_mut().remove(&stream).unwrap_or_default() {
        let _ = sender.send(value.clone());
    }
}

/// Drops the senders whose receivers are gone. Returns whether none is left.
fn give_up<T>(waits: &Waits<T>, stream: StreamHash) -> bool {
    let mut waits = waits.borrow_mut();
    let Some(senders) = waits.get_mut(&stream) else { return true };
    senders.retain(|it| !it.is_closed());
    if !senders.is_empty() {
        return false;
    }
    waits.remove(&stream);
    true
}

/// A record or search that a request waits for. Dropping it gives it up unless another request waits
/// for the same.
struct Waiting {
    edge: Rc<Edge>,
    stream: StreamHash,
    is_record: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut host = self.edge.host.borrow_mut();
        if self.is_record && give_up(&self.edge.streams.records, self.stream) {
            host.give_up_record(self.stream);
        } else if !self.is_record && give_up(&self.edge.streams.searches, self.stream) {
            host.give_up_search(self.stream);
        }
    }
}

impl StreamWaits {
    pub(crate) fn recorded(&self, stream: StreamHash) {
        resolve(&self.records, stream, ());
    }

    pub(crate) fn found(&self, stream: StreamHash, software: SoftwareHash) {
        resolve(&self.searches, stream, software);
    }
}

impl Job {
    /// Binds a stream to the software version that brings its first event, and records it where the
    /// caller may take the stream up again. Returns whether the event may go out.
    pub(crate) async fn bind_software(&mut self, software: SoftwareHash) -> bool {
        if self.query.software.is_some() {
            return true;
        }
        self.query.software = Some(software);
        let (now, service) = (self.edge.now(), self.query.service.clone());
        if !self.is_resumable() || !self.edge.host.borrow().needs_record(now, &service, software) {
            return true;
        }
        let stream = stream_hash(&service, &self.head.attempt);
        let edge = self.edge.clone();
        let _waiting = Waiting { edge: edge.clone(), stream, is_record: true };
        let confirmed = wait(&edge.streams.records, stream);
        let outputs = edge.host.borrow_mut().record_stream(now, stream, &service, software);
        edge.carry_out(outputs);
        let is_recorded = timeout(RECORD_TIMEOUT, confirmed).await.is_ok_and(|it| it.is_ok());
        edge.metrics.observe_part("record", edge.now().saturating_sub(now).as_secs_f64());
        is_recorded
    }

    /// Finds out which software version began the stream that the request takes up, and binds the
    /// answer to it. Returns false if that is not known.
    pub(crate) async fn find_software(&mut self) -> bool {
        let edge = self.edge.clone();
        let first = self.head.first_attempt.as_deref();
        let (stream, outputs) =
            edge.host.borrow_mut().find_stream(edge.now(), &self.query.service, first);
        let _waiting = Waiting { edge: edge.clone(), stream, is_record: false };
        let found = wait(&edge.streams.searches, stream);
        edge.carry_out(outputs);
        let software = timeout(FIND_TIMEOUT, found).await.ok().and_then(Result::ok);
        let what = if software.is_some() { "version known" } else { "version unknown" };
        self.add_step(what, "");
        self.query.software = software;
        software.is_some()
    }
}
