//! A leader's record of the replication progress of each other host.

use std::{collections::VecDeque, time::Duration};

use wire::{DiskId, Index, Role, Snapshot};

/// Most messages with entries that may be unanswered at a time.
const MAX_UNACKED: usize = 4;
/// Most times that the pause before entries are resent is doubled.
const MAX_DOUBLINGS: u32 = 2;

/// How soon entries are resent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResendPace {
    pub(crate) now: Duration,
    /// How long the first time after they were sent.
    pub(crate) first: Duration,
    /// How long at most.
    pub(crate) longest: Duration,
}

/// A message with entries that is not answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Unanswered {
    /// Its last index.
    last: Index,
    sent_at: Duration,
}

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
    /// The last index that it is known to have applied.
    pub(crate) obeyed: Index,
    /// Whether it is still unknown up to where its log agrees with the leader's.
    pub(crate) probing: bool,
    /// The unanswered messages with entries.
    pub(crate) unacked: VecDeque<Unanswered>,
    /// When an append was last sent to it.
    pub(crate) appended_at: Option<Duration>,
    /// When the newest round that it has answered was sent.
    pub(crate) acked_at: Option<Duration>,
    /// When its latest valid reply arrived, or when the peer was created.
    pub(crate) last_contact: Duration,
    /// The snapshot being sent to it, if any.
    pub(crate) install: Option<SnapshotTransfer>,
    /// How many times the pause before entries are resent is doubled.
    doublings: u32,
    /// The last index that has been resent.
    resent: Index,
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
            obeyed: 0,
            probing: true,
            unacked: VecDeque::new(),
            appended_at: None,
            acked_at: None,
            last_contact: now,
            install: None,
            doublings: 0,
            resent: 0,
        }
    }

    /// Returns whether another message with entries may be sent before a reply. While probing, only
    /// one is unanswered at a time.
    pub(crate) fn may_send(&self) -> bool {
        let limit = if self.probing { 1 } else { MAX_UNACKED };
        self.unacked.len() < limit
    }

    /// Records that entries up to `last` were sent.
    pub(crate) fn record_sent(&mut self, now: Duration, last: Index) {
        self.next_index = last + 1;
        self.unacked.push_back(Unanswered { last, sent_at: now });
        self.appended_at = Some(now);
    }

    /// Records that the host holds all entries up to `index`, and was told that those up to
    /// `commit` are committed. A non-member is sent committed entries only.
    pub(crate) fn advance(&mut self, index: Index, commit: Index) {
        self.probing = false;
        if index > self.resent {
            self.doublings = 0;
        }
        let obeyed = if self.role.is_some() { index.min(commit) } else { index };
        self.obeyed = self.obeyed.max(obeyed);
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        while self.unacked.front().is_some_and(|it| it.last <= self.match_index) {
            self.unacked.pop_front();
        }
    }

    /// Forgets the messages with entries after `last`, which may no longer be sent to the host.
    pub(crate) fn forget_after(&mut self, last: Index) {
        self.next_index = self.next_index.min(last + 1);
        while self.unacked.back().is_some_and(|it| it.last >= self.next_index) {
            self.unacked.pop_back();
        }
    }

    /// Rewinds to the entry after the index that the host gave in a rejection, and returns whether
    /// to resend from there. A rejection below what a member has acknowledged is outdated and
    /// ignored.
    ///
    /// Entries that are still in transit must not be resent: heartbeats overtake them and are
    /// rejected because these entries are missing. Outside of probing, a rejection counts only if
    /// the host was `asked` for a pause after the entry that it lacks was sent, or that is long ago.
    /// The pause doubles, at most [`MAX_DOUBLINGS`] times, until the host confirms entries that were
    /// sent once.
    pub(crate) fn rewind(
        &mut self,
        pace: ResendPace,
        index: Index,
        asked: Option<Duration>,
    ) -> bool {
        if self.role.is_none() {
            self.match_index = self.match_index.min(index);
            self.obeyed = self.obeyed.min(index);
        }
        if index < self.match_index || index + 1 >= self.next_index {
            return false;
        }
        let lacking = self.unacked.iter().find(|it| it.last > index);
        let pause = pace.first * 2u32.pow(self.doublings);
        let is_due = lacking.is_none_or(|it| {
            asked.is_some_and(|at| at >= it.sent_at + pause)
                || pace.now >= it.sent_at + pace.longest
        });
        if !is_due && !self.probing {
            return false;
        }
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        self.resent = self.resent.max(self.next_index - 1);
        self.next_index = index + 1;
        self.unacked.clear();
        true
    }
}
