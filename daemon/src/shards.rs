//! The workers' queues of inputs.
//!
//! Inputs of one request, or of the requests of one peer, are handled in order,
//! and so are those that concern the whole host.

use futures::future::BoxFuture;
use node::Input;
use tokio::sync::mpsc::{Receiver, Sender, channel, error::TrySendError};
use wire::PeerMsg;

/// Inputs that may wait for one worker.
const WAITING_INPUTS: usize = 1024;

/// The sending side of the queues.
#[derive(Debug, Clone)]
pub(crate) struct Shards {
    queues: Vec<Sender<Input>>,
}

impl Shards {
    /// Makes one queue per worker.
    pub(crate) fn new(workers: usize) -> (Shards, Vec<Receiver<Input>>) {
        let (queues, receivers) = (0..workers.max(1)).map(|_| channel(WAITING_INPUTS)).unzip();
        (Shards { queues }, receivers)
    }

    fn queue(&self, input: &Input) -> &Sender<Input> {
        // The first worker keeps to what concerns the whole host.
        let others = self.queues.len() as u64 - 1;
        match topic(input) {
            Some(topic) if others > 0 => &self.queues[1 + (topic % others) as usize],
            _ => &self.queues[0],
        }
    }

    /// Waits until the input is queued. Inputs to a stopped worker are lost.
    pub(crate) async fn send(&self, input: Input) {
        let _ = self.queue(&input).send(input).await;
    }

    /// Queues an input, later if there is no room now.
    pub(crate) fn post(&self, input: Input) {
        let Err(TrySendError::Full(input)) = self.queue(&input).try_send(input) else { return };
        let shards = self.clone();
        tokio::spawn(async move { shards.send(input).await });
    }

    /// Queues an input unless there is no room.
    pub(crate) fn offer(&self, input: Input) {
        let _ = self.queue(&input).try_send(input);
    }

    /// Waits until the input is queued, on a thread outside the runtime.
    pub(crate) fn send_blocking(&self, input: Input) {
        let _ = self.queue(&input).blocking_send(input);
    }
}

impl web::border::Inbox for Shards {
    fn deliver(&self, input: Input) -> BoxFuture<'_, ()> {
        Box::pin(self.send(input))
    }
}

impl peer::Inbox for Shards {
    fn deliver(&self, event: peer::Event) -> BoxFuture<'_, ()> {
        let input = match event {
            peer::Event::Message { from, msg } => Input::Peer { from, msg },
            peer::Event::Lost(host) => Input::PeerLost(host),
        };
        Box::pin(self.send(input))
    }
}

/// What the input must be handled in order with; none for the whole host.
fn topic(input: &Input) -> Option<u64> {
    match input {
        Input::Request { tag, .. } | Input::Taken { tag, .. } | Input::Gone(tag) => Some(*tag),
        Input::CallHead { request, .. }
        | Input::CallPiece { request, .. }
        | Input::CallFailed { request, .. } => Some(*request),
        Input::PeerLost(host) => Some(u64::from(*host)),
        Input::Peer { from, msg } if is_of_request(msg) => Some(u64::from(*from)),
        _ => None,
    }
}

fn is_of_request(msg: &PeerMsg) -> bool {
    matches!(
        msg,
        PeerMsg::Forward(_) | PeerMsg::Answer(_) | PeerMsg::Credit(_) | PeerMsg::Cancel(_)
    )
}
