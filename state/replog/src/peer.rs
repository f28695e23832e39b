//! A leader's record of the replication progress of each other host.

use std::{collections::VecDeque, time::Duration};

use wire::{DiskId, Index, Role, Snapshot};

/// Most messages with entries that may be unanswered at a time.
const MAX_UNACKED: usize = 4;
/// Most times that the pause between resends is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// Replication progress of one host.
#[derive(Debug)]
pub(crate) struct Peer {
    /// The identity of its data folder.
    pub(crate) disk: Option<DiskId>,
    /// Its role as a member; `None` for a non-member.
    pub(crate) role: Option<Role>,
    /// The next index to send.
    pub(crate) next_index: Index,
    /// The last index that it has acknowledged; a member has it on disk.
    pub(crate) match_index: Index,
    /// Whether it is still unknown up to where its log agrees with the leader's.
    pub(crate) probing: bool,
    /// The last index of each unanswered message with entries.
    pub(crate) unacked: VecDeque<Index>,
    /// When the newest round that it has answered was sent.
    pub(crate) acked_at: Option<Duration>,
    /// When its latest valid reply arrived, or when the peer was created.
    pub(crate) last_contact: Duration,
    /// The snapshot being sent to it, if any.
    pub(crate) install: Option<SnapshotTransfer>,
    /// The time before which entries are not resent, and how many times the next pause is doubled.
    resend_backoff: (Duration, u32),
}

/// A snapshot being sent in chunks.
#[derive(Debug)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Snapshot,
    /// Bytes that have arrived.
    pub(crate) offset: u64,
    /// When the latest chunk was sent.
    pub(crate) sent_at: Duration,
}

impl Peer {
    /// Creates the record of a host whose log is assumed to agree up to `last`.
    pub(crate) fn new(
        now: Duration,
        disk: Option<DiskId>,
        role: Option<Role>,
        last: Index,
    ) -> Peer {
        Peer {
            disk,
            role,
            next_index: last + 1,
            match_index: 0,
            probing: true,
            unacked: VecDeque::new(),
            acked_at: None,
            last_contact: now,
            install: None,
            resend_backoff: (Duration::ZERO, 0),
        }
    }

    /// Returns whether another message with entries may be sent before a reply. While probing, only
    /// one is unanswered at a time.
    pub(crate) fn may_send(&self) -> bool {
        let limit = if self.probing { 1 } else { MAX_UNACKED };
        self.unacked.len() < limit
    }

    /// Records that the host holds all entries up to `index`.
    pub(crate) fn advance(&mut self, index: Index) {
        self.probing = false;
        if index > self.match_index {
            self.resend_backoff = (Duration::ZERO, 0);
        }
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        while self.unacked.front().is_some_and(|&last| last <= self.match_index) {
            self.unacked.pop_front();
        }
    }

    /// Forgets the messages with entries after `last`, which may no longer be sent to the host.
    pub(crate) fn forget_after(&mut self, last: Index) {
        self.next_index = self.next_index.min(last + 1);
        while self.unacked.back().is_some_and(|&sent| sent >= self.next_index) {
            self.unacked.pop_back();
        }
    }

    /// Rewinds to the entry after the index that the host gave in a rejection, and returns whether
    /// to resend from there. A rejection below what a member has acknowledged is outdated and
    /// ignored.
    ///
    /// Entries that are still in transit must not be resent: heartbeats overtake them and are
    /// rejected because these entries are missing. Outside of probing, each further rewind
    /// therefore waits for `pause`, which doubles each time, at most [`MAX_DOUBLINGS`] times.
    pub(crate) fn rewind(&mut self, now: Duration, index: Index, pause: Duration) -> bool {
        if self.role.is_none() {
            self.match_index = self.match_index.min(index);
        }
        if index < self.match_index || index + 1 >= self.next_index {
            return false;
        }
        let (until, times) = self.resend_backoff;
        if now < until && !self.probing {
            return false;
        }
        self.resend_backoff = (now + pause * 2u32.pow(times), (times + 1).min(MAX_DOUBLINGS));
        self.next_index = index + 1;
        self.unacked.clear();
        true
    }
}
