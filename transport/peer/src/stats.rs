//! Counters of the peer layer.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
};

use wire::{HostId, PeerMsg};

/// Why a datagram, handshake or frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// The sender, receiver or address is not that of a configured host, or the table of links was
    /// full when a message was sent.
    Unknown,
    /// The tag or the proof of the handshake is invalid.
    BadTag,
    /// It is truncated or does not decode to a message.
    Malformed,
    /// It exceeds the maximum length.
    TooLong,
    /// The datagram is a repeated or very late one, or from an earlier incarnation, or the table of
    /// replay windows was full when it arrived.
    Replayed,
    /// A queue or the limit of handshakes was full, the table of replay windows was full at a
    /// handshake, or the socket did not accept a datagram.
    Overflow,
    /// The connection to its receiver broke or could not be opened.
    Broken,
}

impl DropReason {
    /// All reasons, in the order of the variants.
    pub const ALL: [DropReason; 7] = [
        DropReason::Unknown,
        DropReason::BadTag,
        DropReason::Malformed,
        DropReason::TooLong,
        DropReason::Replayed,
        DropReason::Overflow,
        DropReason::Broken,
    ];

    /// Returns the reason's name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::Unknown => "unknown",
            DropReason::BadTag => "bad_tag",
            DropReason::Malformed => "malformed",
            DropReason::TooLong => "too_long",
            DropReason::Replayed => "replayed",
            DropReason::Overflow => "overflow",
            DropReason::Broken => "broken",
        }
    }
}

/// Names of the kinds of messages in metrics, at the positions that [`kind_index`] returns.
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

/// Returns the name of a message's kind in metrics.
pub(crate) fn kind(msg: &PeerMsg) -> &'static str {
    KINDS[kind_index(msg)]
}

fn kind_index(msg: &PeerMsg) -> usize {
    match msg {
        PeerMsg::Log(_) => 0,
        PeerMsg::Renew(_) => 1,
        PeerMsg::Grant(_) => 2,
        PeerMsg::Propose(_) => 3,
        PeerMsg::Report(_) => 4,
        PeerMsg::LoadRequests(_) => 5,
        PeerMsg::LoadGrants(_) => 6,
        PeerMsg::LoadEnded(_) => 7,
        PeerMsg::Forward(_) => 8,
        PeerMsg::Answer(_) => 9,
        PeerMsg::Credit(_) => 10,
        PeerMsg::Cancel(_) => 11,
        PeerMsg::Query(_) => 12,
        PeerMsg::InForce { .. } => 13,
        PeerMsg::Fleet(_) => 14,
    }
}

#[derive(Debug, Default)]
struct Counter {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl Counter {
    fn add(&self, bytes: usize) {
        self.frames.fetch_add(1, Relaxed);
        self.bytes.fetch_add(bytes as u64, Relaxed);
    }
}

/// Number of frames and bytes of one kind of message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindCount {
    /// The kind's name in metrics.
    pub kind: &'static str,
    /// Number of frames, including datagrams.
    pub frames: u64,
    /// Number of bytes, including the headers and tags of frames.
    pub bytes: u64,
}

/// Messages to one host that were dropped before they were sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unsent {
    /// The receiver.
    pub host: HostId,
    /// The kind's name in metrics.
    pub kind: &'static str,
    /// Why they were dropped.
    pub reason: DropReason,
    /// Number of messages.
    pub messages: u64,
}

/// Counters of sent, received and dropped frames since the start.
#[derive(Debug, Default)]
pub struct Stats {
    sent: [Counter; KINDS.len()],
    received: [Counter; KINDS.len()],
    dropped: [AtomicU64; DropReason::ALL.len()],
    /// Messages dropped before they were sent since the last [`Stats::take_unsent`].
    unsent: Mutex<BTreeMap<(HostId, &'static str, DropReason), u64>>,
}

impl Stats {
    pub(crate) fn count_sent(&self, msg: &PeerMsg, bytes: usize) {
        self.sent[kind_index(msg)].add(bytes);
    }

    pub(crate) fn count_received(&self, msg: &PeerMsg, bytes: usize) {
        self.received[kind_index(msg)].add(bytes);
    }

    pub(crate) fn count_dropped(&self, reason: DropReason, frames: u64) {
        self.dropped[reason as usize].fetch_add(frames, Relaxed);
    }

    /// Counts a message to a host that is dropped before it is sent.
    pub(crate) fn count_unsent(&self, host: HostId, kind: &'static str, reason: DropReason) {
        self.count_dropped(reason, 1);
        let mut unsent = self.unsent.lock().expect("the lock is not poisoned");
        *unsent.entry((host, kind, reason)).or_default() += 1;
    }

    /// Returns the messages that were dropped before they were sent since the last call, by
    /// receiver, kind and reason.
    pub fn take_unsent(&self) -> Vec<Unsent> {
        let unsent = std::mem::take(&mut *self.unsent.lock().expect("the lock is not poisoned"));
        let mut rows = Vec::with_capacity(unsent.len());
        for ((host, kind, reason), messages) in unsent {
            rows.push(Unsent { host, kind, reason, messages });
        }
        rows
    }

    /// Returns what was queued for sending or sent as datagrams, by kind.
    pub fn sent_by_kind(&self) -> Vec<KindCount> {
        by_kind(&self.sent)
    }

    /// Returns what was received and accepted, by kind.
    pub fn received_by_kind(&self) -> Vec<KindCount> {
        by_kind(&self.received)
    }

    /// Returns the total frames and bytes of [`Stats::sent_by_kind`].
    pub fn total_sent(&self) -> (u64, u64) {
        total(&self.sent)
    }

    /// Returns the total frames and bytes of [`Stats::received_by_kind`].
    pub fn total_received(&self) -> (u64, u64) {
        total(&self.received)
    }

    /// Returns the number of frames dropped for a reason.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped[reason as usize].load(Relaxed)
    }
}

fn total(counters: &[Counter]) -> (u64, u64) {
    let frames = counters.iter().map(|it| it.frames.load(Relaxed)).sum();
    (frames, counters.iter().map(|it| it.bytes.load(Relaxed)).sum())
}

fn by_kind(counters: &[Counter]) -> Vec<KindCount> {
    let mut rows = Vec::with_capacity(counters.len());
    for (kind, counter) in KINDS.iter().zip(counters) {
        let frames = counter.frames.load(Relaxed);
        rows.push(KindCount { kind, frames, bytes: counter.bytes.load(Relaxed) });
    }
    rows
}
