//! What a leader knows of the hosts it serves.

use std::{collections::VecDeque, time::Duration};

use wire::{Index, Role, Snapshot, VoterId};

/// Messages with entries that may be unanswered at a time.
const MAX_UNACKED: usize = 4;
/// Most doublings of the time before entries are sent again.
const MAX_DOUBLINGS: u32 = 3;

/// Progress of one host.
#[derive(Debug)]
pub(crate) struct Peer {
    /// The identity of its data folder.
    pub(crate) voter: Option<VoterId>,
    /// Its role as a member; an observer has none.
    pub(crate) role: Option<Role>,
    /// The next index to send.
    pub(crate) next: Index,
    /// The last index known to be on its disk.
    pub(crate) matched: Index,
    /// Whether it is unknown where its log agrees.
    pub(crate) probing: bool,
    /// Last indexes of messages that are unanswered.
    pub(crate) unacked: VecDeque<Index>,
    /// When the newest round it answered was sent.
    pub(crate) acked: Option<Duration>,
    /// When it was last heard of.
    pub(crate) heard: Duration,
    /// A snapshot on its way there.
    pub(crate) install: Option<Transfer>,
    /// Before when entries are not sent again, and how often they were.
    resend: (Duration, u32),
}

/// A snapshot that is sent in chunks.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) snapshot: Snapshot,
    pub(crate) offset: u64,
    /// When the newest chunk was sent.
    pub(crate) sent: Duration,
}

impl Peer {
    pub(crate) fn new(
        now: Duration,
        voter: Option<VoterId>,
        role: Option<Role>,
        last: Index,
    ) -> Peer {
        Peer {
            voter,
            role,
            next: last + 1,
            matched: 0,
            probing: true,
            unacked: VecDeque::new(),
            acked: None,
            heard: now,
            install: None,
            resend: (Duration::ZERO, 0),
        }
    }

    pub(crate) fn may_send(&self) -> bool {
        let limit = if self.probing { 1 } else { MAX_UNACKED };
        self.unacked.len() < limit
    }

    /// Takes in that the host holds everything up to `index`.
    pub(crate) fn advance(&mut self, index: Index) {
        self.probing = false;
        if index > self.matched {
            self.resend = (Duration::ZERO, 0);
        }
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        while self.unacked.front().is_some_and(|&last| last <= self.matched) {
            self.unacked.pop_front();
        }
    }

    /// Forgets what was sent after `last`, which the host may no longer get.
    pub(crate) fn limit(&mut self, last: Index) {
        self.next = self.next.min(last + 1);
        while self.unacked.back().is_some_and(|&sent| sent >= self.next) {
            self.unacked.pop_back();
        }
    }

    /// Goes back to what the host says it holds. A refusal below what a member
    /// has acknowledged is an old one. Entries that are still under way must not
    /// be sent again: heartbeats overtake them, and are refused for want of them.
    /// So each further time takes `pause` and its doublings.
    pub(crate) fn retreat(&mut self, now: Duration, index: Index, pause: Duration) -> bool {
        if self.role.is_none() {
            self.matched = self.matched.min(index);
        }
        if index < self.matched || index + 1 >= self.next {
            return false;
        }
        let (until, times) = self.resend;
        if now < until && !self.probing {
            return false;
        }
        self.resend = (now + pause * 2u32.pow(times), (times + 1).min(MAX_DOUBLINGS));
        self.next = index + 1;
        self.unacked.clear();
        true
    }
}
