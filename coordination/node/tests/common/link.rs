//! Links between hosts, and the lines of a trace.

use std::{collections::BTreeMap, time::Duration};

use node::Input;
use wire::{HostId, PeerMsg};

use super::{Cluster, Event, LINK_DELAY};

/// How long a lost part of a connection's stream takes to be sent again.
const RESEND: Duration = Duration::from_millis(200);
/// Bytes that a datagram or frame adds to its message, addresses included.
const FRAME_BYTES: usize = 80;

/// What a host has sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// How links behave, and what went over them.
#[derive(Debug, Default)]
pub struct Links {
    /// Share of datagrams that are lost, and of frames that are sent again.
    pub loss_percent: u64,
    /// Messages take up to so much longer.
    pub jitter: Duration,
    /// Frames overtake each other like datagrams.
    pub reorder: bool,
    /// Messages arrive a second time, up to so much later.
    pub echo: Duration,
    /// What each host sent.
    pub sent: BTreeMap<HostId, Traffic>,
    /// When the last frame of each connection arrives: frames stay in order.
    last: BTreeMap<(HostId, HostId), Duration>,
}

impl Cluster {
    /// A host that has ended refuses connections, so a request for it stays.
    fn give_back(&mut self, from: HostId, to: HostId, msg: &PeerMsg) {
        let PeerMsg::Forward(forward) = msg else { return };
        let Some(run) = self.run_of(from) else { return };
        let input = Input::Undelivered { to, request: forward.request };
        self.at(LINK_DELAY, Event::Input(from, run, input));
    }

    pub(super) fn send(&mut self, from: HostId, to: HostId, msg: PeerMsg) {
        let traffic = self.links.sent.entry(from).or_default();
        traffic.messages += 1;
        traffic.bytes += (wire::encode(&msg).len() + FRAME_BYTES) as u64;
        if self.cut.contains(&(from, to)) {
            return;
        }
        if let Some(line) = describe(&msg) {
            self.note(format!("host {from} -> host {to}: {line}"));
        }
        if !self.is_running(to) {
            self.give_back(from, to, &msg);
            return;
        }
        let Some(run) = self.run_of(to) else { return };
        let Some(delay) = self.delay(from, to, &msg) else { return };
        if !self.links.echo.is_zero() {
            let again = delay + self.part(self.links.echo);
            self.at(again, Event::Input(to, run, Input::Peer { from, msg: msg.clone() }));
        }
        self.at(delay, Event::Input(to, run, Input::Peer { from, msg }));
    }

    /// Returns how long a message takes; none if it is lost.
    fn delay(&mut self, from: HostId, to: HostId, msg: &PeerMsg) -> Option<Duration> {
        let lost = self.mixed() % 100 < self.links.loss_percent;
        let delay = LINK_DELAY + self.part(self.links.jitter);
        if msg.is_periodic() {
            return (!lost).then_some(delay);
        }
        let delay = if lost { delay + RESEND } else { delay };
        if self.links.reorder {
            return Some(delay);
        }
        let last = self.links.last.entry((from, to)).or_default();
        *last = (self.now + delay).max(*last);
        Some(*last - self.now)
    }

    /// Returns a number that differs from event to event.
    fn mixed(&mut self) -> u64 {
        self.seq += 1;
        self.seq.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40
    }

    /// Returns a part of a time, another one with each event.
    fn part(&mut self, time: Duration) -> Duration {
        time * (self.mixed() % 1024) as u32 / 1024
    }
}

/// Names the messages that belong to a request's way.
fn describe(msg: &PeerMsg) -> Option<String> {
    match msg {
        PeerMsg::Forward(forward) => Some(format!("forward {:x}", forward.request)),
        PeerMsg::Answer(wire::Answer::Head(head)) => Some(format!("head {:x}", head.request)),
        PeerMsg::Answer(wire::Answer::Piece(piece)) => {
            Some(format!("piece {:x} at {} last {}", piece.request, piece.offset, piece.last))
        }
        PeerMsg::Answer(wire::Answer::Fail(fail)) => {
            Some(format!("fail {:x} {}", fail.request, fail.fault.kind.row().code))
        }
        PeerMsg::Cancel(request) => Some(format!("cancel {request:x}")),
        PeerMsg::Slots(grants) => Some(format!("slots {}", grants.len())),
        PeerMsg::SlotDone(done) => Some(format!("slot done, ok {}", done.ok)),
        PeerMsg::Propose(proposal) => {
            let text = format!("{:?}", proposal.command);
            let name = text.split(['(', ' ', '{']).next().unwrap_or_default().to_owned();
            Some(format!("propose {name}"))
        }
        _ => None,
    }
}

pub(super) fn brief(input: &Input) -> String {
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
