//! Input queues of the workers.
//!
//! Inputs with the same ordering key go to the same queue and are handled in order: those of one
//! caller's request (by tag), those of one call to a target (by request id), those of one peer that
//! concern requests, and all others.

use futures::future::BoxFuture;
use node::Input;
use tokio::sync::mpsc::{Receiver, Sender, channel, error::TrySendError};
use wire::PeerMsg;

/// Capacity of each worker's queue, in inputs.
const QUEUE_CAPACITY: usize = 1024;

/// The sending side of the queues.
#[derive(Debug, Clone)]
pub(crate) struct Shards {
    queues: Vec<Sender<Input>>,
}

impl Shards {
    /// Creates one queue per worker, at least one. Returns the receiving sides too.
    pub(crate) fn new(workers: usize) -> (Shards, Vec<Receiver<Input>>) {
        let (queues, receivers) = (0..workers.max(1)).map(|_| channel(QUEUE_CAPACITY)).unzip();
        (Shards { queues }, receivers)
    }

    fn queue(&self, input: &Input) -> &Sender<Input> {
        // With more than one worker, the first handles only inputs that concern the whole host.
        let others = self.queues.len() as u64 - 1;
        match ordering_key(input) {
            Some(key) if others > 0 => &self.queues[1 + (key % others) as usize],
            _ => &self.queues[0],
        }
    }

    /// Waits until the input is queued. Inputs to a stopped worker are dropped.
    pub(crate) async fn send(&self, input: Input) {
        let _ = self.queue(&input).send(input).await;
    }

    /// Queues an input without blocking. If the queue is full, a spawned task waits for room.
    pub(crate) fn post(&self, input: Input) {
        let Err(TrySendError::Full(input)) = self.queue(&input).try_send(input) else { return };
        let shards = self.clone();
        tokio::spawn(async move { shards.send(input).await });
    }

    /// Queues an input, or drops it if the queue is full.
    pub(crate) fn offer(&self, input: Input) {
        let _ = self.queue(&input).try_send(input);
    }

    /// Blocks until the input is queued; for threads outside the runtime.
    pub(crate) fn send_blocking(&self, input: Input) {
        let _ = self.queue(&input).blocking_send(input);
    }
}

impl web::interface::Inbox for Shards {
    fn deliver(&self, input: Input) -> BoxFuture<'_, ()> {
        Box::pin(self.send(input))
    }
}

impl peer::Inbox for Shards {
    fn deliver(&self, event: peer::Event) -> BoxFuture<'_, ()> {
        let input = match event {
            peer::Event::Message { from, msg } => Input::Peer { from, msg },
            peer::Event::Undelivered { to, request } => Input::Undelivered { to, request },
            peer::Event::ConnectionLost(host) => Input::PeerLost(host),
        };
        Box::pin(self.send(input))
    }
}

/// Returns the key of the inputs among which the order of this one must be kept; `None` for inputs
/// that concern the whole host.
fn ordering_key(input: &Input) -> Option<u64> {
    match input {
        Input::Request { tag, .. } | Input::AnswerConsumed { tag, .. } | Input::CallerLeft(tag) => {
            Some(*tag)
        }
        Input::CallHead { request, .. }
        | Input::CallPiece { request, .. }
        | Input::CallFailed { request, .. } => Some(*request),
        Input::PeerLost(host) | Input::Undelivered { to: host, .. } => Some(u64::from(*host)),
        Input::Peer { from, msg } if is_request_msg(msg) => Some(u64::from(*from)),
        _ => None,
    }
}

fn is_request_msg(msg: &PeerMsg) -> bool {
    matches!(
        msg,
        PeerMsg::Forward(_) | PeerMsg::Answer(_) | PeerMsg::Credit(_) | PeerMsg::Cancel(_)
    )
}
