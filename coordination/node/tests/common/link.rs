//! Simulated links between hosts, and the text of trace lines.

use std::{collections::BTreeMap, time::Duration};

use node::Input;
use wire::{HostId, PeerMsg};

use super::{Cluster, Event, LINK_DELAY};

/// Extra delay of a frame after the loss of a part of its connection's stream.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);
/// Bytes that a datagram or frame adds to its message, addresses included.
const FRAME_OVERHEAD: usize = 80;

/// Number and size of the messages that a host has sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// Behaviour of the links between hosts, and their traffic.
#[derive(Debug, Default)]
pub struct Links {
    /// Percentage of datagrams that are lost, and of frames that are retransmitted.
    pub loss_percent: u64,
    /// Upper bound of the random extra delay of a message.
    pub jitter: Duration,
    /// Whether frames may arrive out of order, as datagrams may.
    pub reorder: bool,
    /// Upper bound of the delay after which each message arrives a second time; zero for never.
    pub duplicate_delay: Duration,
    /// Traffic sent by each host.
    pub sent: BTreeMap<HostId, Traffic>,
    /// Arrival time of the last frame of each connection, which keeps frames in order.
    last_arrival: BTreeMap<(HostId, HostId), Duration>,
}

impl Cluster {
    /// Returns a forwarded request to its sender: a host that has ended refuses connections, so
    /// the request never leaves the sender.
    fn return_undelivered(&mut self, from: HostId, to: HostId, msg: &PeerMsg) {
        let PeerMsg::Forward(forward) = msg else { return };
        let Some(incarnation) = self.incarnation_of(from) else { return };
        let input = Input::Undelivered { to, request: forward.request };
        self.schedule(LINK_DELAY, Event::Input(from, incarnation, input));
    }

    pub(super) fn send(&mut self, from: HostId, to: HostId, msg: PeerMsg) {
        let traffic = self.links.sent.entry(from).or_default();
        traffic.messages += 1;
        traffic.bytes += (wire::encode(&msg).len() + FRAME_OVERHEAD) as u64;
        if self.cut_links.contains(&(from, to)) {
            return;
        }
        if let Some(line) = describe_msg(&msg) {
            self.record(format!("host {from} -> host {to}: {line}"));
        }
        if !self.is_running(to) {
            self.return_undelivered(from, to, &msg);
            return;
        }
        let Some(incarnation) = self.incarnation_of(to) else { return };
        let Some(delay) = self.delay(from, to, &msg) else { return };
        if !self.links.duplicate_delay.is_zero() {
            let repeat = delay + self.random_part(self.links.duplicate_delay);
            self.schedule(
                repeat,
                Event::Input(to, incarnation, Input::Peer { from, msg: msg.clone() }),
            );
        }
        self.schedule(delay, Event::Input(to, incarnation, Input::Peer { from, msg }));
    }

    /// Returns the delay of a message, or none if it is lost.
    fn delay(&mut self, from: HostId, to: HostId, msg: &PeerMsg) -> Option<Duration> {
        let lost = self.next_random() % 100 < self.links.loss_percent;
        let delay = LINK_DELAY + self.random_part(self.links.jitter);
        if msg.is_periodic() {
            return (!lost).then_some(delay);
        }
        let delay = if lost { delay + RETRANSMIT_DELAY } else { delay };
        if self.links.reorder {
            return Some(delay);
        }
        let arrival = self.links.last_arrival.entry((from, to)).or_default();
        *arrival = (self.now + delay).max(*arrival);
        Some(*arrival - self.now)
    }

    /// Returns a pseudo-random number that differs from event to event.
    fn next_random(&mut self) -> u64 {
        self.seq += 1;
        self.seq.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40
    }

    /// Returns a pseudo-random part of a time.
    fn random_part(&mut self, time: Duration) -> Duration {
        time * (self.next_random() % 1024) as u32 / 1024
    }
}

/// Returns the trace text of a message that concerns a request, an order or a proposal; none for
/// other messages.
fn describe_msg(msg: &PeerMsg) -> Option<String> {
    match msg {
        PeerMsg::Forward(forward) => Some(format!("forward {:x}", forward.request)),
        PeerMsg::Answer(wire::Answer::Head(head)) => Some(format!("head {:x}", head.request)),
        PeerMsg::Answer(wire::Answer::Piece(piece)) => {
            Some(format!("piece {:x} at {} last {}", piece.request, piece.offset, piece.last))
        }
        PeerMsg::Answer(wire::Answer::Fail(fail)) => {
            Some(format!("fail {:x} {}", fail.request, fail.fault.kind.info().code))
        }
        PeerMsg::Cancel(request) => Some(format!("cancel {request:x}")),
        PeerMsg::LoadGrants(grants) => Some(format!("slots {}", grants.len())),
        PeerMsg::LoadEnded(done) => Some(format!("slot done, ok {}", done.ok)),
        PeerMsg::Propose(proposal) => {
            let text = format!("{:?}", proposal.command);
            let name = text.split(['(', ' ', '{']).next().unwrap_or_default().to_owned();
            Some(format!("propose {name}"))
        }
        _ => None,
    }
}

/// Returns the trace text of an input that a target sends to a host.
pub(super) fn describe_input(input: &Input) -> String {
    match input {
        Input::CallHead { request, status, ran, .. } => format!("head {request:x} {status} {ran}"),
        Input::CallPiece { request, offset, bytes, last } => format!(
            "piece {request:x} at {offset} {:?} last {last}",
            String::from_utf8_lossy(bytes)
        ),
        Input::CallFailed { request, failure } => format!("{request:x} {failure:?}"),
        other => format!("{other:?}"),
    }
}
