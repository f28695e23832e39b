//! Handling of a leader's messages: entries, heartbeats and snapshots.

use bytes::Bytes;
use wire::{Entry, HostId, Index, LogBody, LogMsg, Snapshot, Term};

use crate::{
    Alarm, Op, Output, Replica,
    replica::{IncomingSnapshot, Role},
};

impl Replica {
    pub(crate) fn on_append(&mut self, from: HostId, msg: LogMsg) {
        let LogBody::Append { round, prev, prev_term, entries, commit } = msg.body else {
            return;
        };
        if msg.term < self.hard.term {
            self.send_rejection(from, round, self.commit);
            return;
        }
        if let Some(shown) = self.committed_conflict(prev, prev_term, &entries) {
            self.raise_alarm(Alarm::WentBack { seen: self.commit, shown });
            return;
        }
        self.accept_leader(from, msg.term);
        if let Some(retry) = self.retry_index(prev, prev_term) {
            self.send_rejection(from, round, retry);
            return;
        }
        let empty = entries.is_empty();
        let agreed = (prev + entries.len() as u64).max(self.commit);
        self.append_entries(entries);
        self.commit = self.commit.max(commit.min(agreed));
        self.acknowledge_append(from, round, agreed, empty);
    }

    /// Checks the entry at `prev`, then `entries`. Returns the index before the first one that
    /// conflicts with a committed entry, or `None`.
    fn committed_conflict(&self, prev: Index, prev_term: Term, entries: &[Entry]) -> Option<Index> {
        if self.conflicts_with_committed(prev, prev_term) {
            return Some(prev.saturating_sub(1));
        }
        let bad = entries.iter().find(|e| self.conflicts_with_committed(e.index, e.term))?;
        Some(bad.index - 1)
    }

    /// Returns whether an entry conflicts with the committed entry at its index, as far as the log
    /// still shows it.
    fn conflicts_with_committed(&self, index: Index, term: Term) -> bool {
        if index > self.commit {
            return false;
        }
        match self.log.term_at(index) {
            Some(known) => known != term,
            // Terms never decrease along the log, so no entry before the base has a higher term.
            None => term > self.log.base_term(),
        }
    }

    /// Accepts the sender as the leader of `term`.
    fn accept_leader(&mut self, from: HostId, term: Term) {
        self.enter_term(term);
        if !matches!(self.role, Role::Leader(_)) {
            self.role = Role::Follower;
            self.leader = Some(from);
        }
        self.leader_contact = self.now;
        self.reset_election_deadline();
    }

    /// Returns the index after which the leader should continue if this log does not contain the
    /// entry at `prev`, or `None` if it does.
    fn retry_index(&self, prev: Index, prev_term: Term) -> Option<Index> {
        if prev <= self.log.base() {
            return None;
        }
        match self.log.term_at(prev) {
            None => Some(self.log.last()),
            Some(term) if term == prev_term => None,
            Some(_) => Some((self.log.term_start(prev) - 1).max(self.commit)),
        }
    }

    /// Appends the entries that are not in the log yet, and replaces those of another term.
    fn append_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index <= self.log.base() {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.log.truncate(entry.index);
                    self.queue.push(Op::Truncate(entry.index));
                }
                None => {}
            }
            self.append(entry);
        }
    }

    fn send_rejection(&mut self, from: HostId, round: u64, index: Index) {
        self.send_after_sync(from, LogBody::Appended { round, index, accepted: false });
    }

    /// Acknowledges entries once they are on disk. An empty append is acknowledged without waiting
    /// for entries to be synced, with the index that is on disk, and gets no reply if its round is
    /// the one answered last.
    fn acknowledge_append(&mut self, from: HostId, round: u64, agreed: Index, empty: bool) {
        if self.queue.failed() {
            return;
        }
        let this = (self.hard.term, round);
        let repeated = empty && self.answered_round == this;
        self.answered_round = this;
        if repeated {
            return;
        }
        let index = agreed.min(self.queue.synced());
        let body = LogBody::Appended { round, index, accepted: true };
        if index == agreed && self.queue.hard_synced() {
            self.send(from, body);
            return;
        }
        if empty && self.queue.hard_synced() {
            self.send(from, body);
            return;
        }
        self.send_after_sync(from, LogBody::Appended { round, index: agreed, accepted: true });
    }

    pub(crate) fn on_install(&mut self, from: HostId, msg: LogMsg) {
        let LogBody::Install { round, head, total, offset, chunk, .. } = msg.body else {
            return;
        };
        if msg.term < self.hard.term {
            self.send_rejection(from, round, self.commit);
            return;
        }
        if self.conflicts_with_committed(head.index, head.term) {
            self.raise_alarm(Alarm::WentBack { seen: self.commit, shown: head.index - 1 });
            return;
        }
        self.accept_leader(from, msg.term);
        let index = head.index;
        if index <= self.commit {
            self.incoming = None;
            self.send_after_sync(from, LogBody::Installed { round, index, offset: total });
            return;
        }
        let arrived = self.add_chunk(head, offset, &chunk);
        if arrived == total {
            self.install_snapshot();
        }
        self.send_after_sync(from, LogBody::Installed { round, index, offset: arrived });
    }

    /// Adds a chunk to the incoming snapshot and returns how many bytes of it have arrived.
    fn add_chunk(&mut self, head: Snapshot, offset: u64, chunk: &Bytes) -> u64 {
        let same = self.incoming.as_ref().is_some_and(|i| i.head == head);
        if !same {
            self.incoming = Some(IncomingSnapshot { head, bytes: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else {
            return 0;
        };
        if incoming.bytes.len() as u64 == offset {
            incoming.bytes.extend_from_slice(chunk);
        }
        incoming.bytes.len() as u64
    }

    fn install_snapshot(&mut self) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let snap = Snapshot { state: incoming.bytes.into(), ..incoming.head };
        self.queue.push(Op::Snapshot(snap.clone()));
        self.log.install(snap.clone());
        // Entries after the old commit index may differ from the leader's.
        self.queue.limit_synced(self.commit);
        self.commit = snap.index;
        self.applied = snap.index;
        self.out.push(Output::Restore(snap));
    }
}
