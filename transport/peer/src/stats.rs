//! Counters of the peer layer.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use wire::PeerMsg;

/// Why a frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dropped {
    /// It came from a host or an address that is not configured.
    Unknown,
    /// Its tag was wrong.
    BadTag,
    /// It was cut short or is no message.
    Malformed,
    /// It exceeds the limit.
    TooLong,
    /// A datagram came twice or from an earlier run.
    Replayed,
    /// The queue to its receiver was full.
    Overflow,
    /// The connection to its receiver broke.
    Broken,
}

impl Dropped {
    /// All reasons.
    pub const ALL: [Dropped; 7] = [
        Dropped::Unknown,
        Dropped::BadTag,
        Dropped::Malformed,
        Dropped::TooLong,
        Dropped::Replayed,
        Dropped::Overflow,
        Dropped::Broken,
    ];

    /// The reason's name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Dropped::Unknown => "unknown",
            Dropped::BadTag => "bad_tag",
            Dropped::Malformed => "malformed",
            Dropped::TooLong => "too_long",
            Dropped::Replayed => "replayed",
            Dropped::Overflow => "overflow",
            Dropped::Broken => "broken",
        }
    }
}

const KINDS: [&str; 15] = [
    "log",
    "renew",
    "grant",
    "propose",
    "report",
    "wants",
    "slots",
    "slot_done",
    "forward",
    "answer",
    "credit",
    "cancel",
    "ask",
    "in_force",
    "fleet",
];

fn kind(msg: &PeerMsg) -> usize {
    match msg {
        PeerMsg::Log(_) => 0,
        PeerMsg::Renew(_) => 1,
        PeerMsg::Grant(_) => 2,
        PeerMsg::Propose(_) => 3,
        PeerMsg::Report(_) => 4,
        PeerMsg::Wants(_) => 5,
        PeerMsg::Slots(_) => 6,
        PeerMsg::SlotDone(_) => 7,
        PeerMsg::Forward(_) => 8,
        PeerMsg::Answer(_) => 9,
        PeerMsg::Credit(_) => 10,
        PeerMsg::Cancel(_) => 11,
        PeerMsg::Ask(_) => 12,
        PeerMsg::InForce { .. } => 13,
        PeerMsg::Fleet(_) => 14,
    }
}

#[derive(Debug, Default)]
struct Count {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl Count {
    fn add(&self, bytes: usize) {
        self.frames.fetch_add(1, Relaxed);
        self.bytes.fetch_add(bytes as u64, Relaxed);
    }
}

/// Frames and bytes of one kind of message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindCount {
    /// The kind's name in metrics.
    pub kind: &'static str,
    /// Frames.
    pub frames: u64,
    /// Bytes, with the frames' own headers and tags.
    pub bytes: u64,
}

/// What was sent, received and dropped since the start.
#[derive(Debug, Default)]
pub struct Stats {
    sent: [Count; KINDS.len()],
    received: [Count; KINDS.len()],
    dropped: [AtomicU64; Dropped::ALL.len()],
}

impl Stats {
    pub(crate) fn sent(&self, msg: &PeerMsg, bytes: usize) {
        self.sent[kind(msg)].add(bytes);
    }

    pub(crate) fn received(&self, msg: &PeerMsg, bytes: usize) {
        self.received[kind(msg)].add(bytes);
    }

    pub(crate) fn drop_frames(&self, why: Dropped, frames: u64) {
        self.dropped[why as usize].fetch_add(frames, Relaxed);
    }

    /// Returns what was handed to the network or its queues, by kind.
    pub fn all_sent(&self) -> Vec<KindCount> {
        list(&self.sent)
    }

    /// Returns what was received and accepted, by kind.
    pub fn all_received(&self) -> Vec<KindCount> {
        list(&self.received)
    }

    /// Returns the frames and bytes of all kinds that were sent.
    pub fn total_sent(&self) -> (u64, u64) {
        total(&self.sent)
    }

    /// Returns the same of what was received and accepted.
    pub fn total_received(&self) -> (u64, u64) {
        total(&self.received)
    }

    /// Returns how many frames were dropped for a reason.
    pub fn dropped(&self, why: Dropped) -> u64 {
        self.dropped[why as usize].load(Relaxed)
    }
}

fn total(counts: &[Count]) -> (u64, u64) {
    let frames = counts.iter().map(|it| it.frames.load(Relaxed)).sum();
    (frames, counts.iter().map(|it| it.bytes.load(Relaxed)).sum())
}

fn list(counts: &[Count]) -> Vec<KindCount> {
    let mut rows = Vec::with_capacity(counts.len());
    for (kind, count) in KINDS.iter().zip(counts) {
        let frames = count.frames.load(Relaxed);
        rows.push(KindCount { kind, frames, bytes: count.bytes.load(Relaxed) });
    }
    rows
}
