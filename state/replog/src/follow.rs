//! What a replica takes from a leader.

use bytes::Bytes;
use wire::{Entry, HostId, Index, LogBody, LogMsg, Snapshot, Term};

use crate::{
    Alarm, Op, Output, Replica,
    replica::{Incoming, Role},
};

impl Replica {
    pub(crate) fn on_append(&mut self, from: HostId, msg: LogMsg) {
        let LogBody::Append { round, prev, prev_term, entries, commit } = msg.body else {
            return;
        };
        if msg.term < self.hard.term {
            self.refuse(from, round, self.commit);
            return;
        }
        if let Some(shown) = self.contradiction(prev, prev_term, &entries) {
            self.alarm(Alarm::WentBack { seen: self.commit, shown });
            return;
        }
        self.follow(from, msg.term);
        if let Some(hint) = self.mismatch(prev, prev_term) {
            self.refuse(from, round, hint);
            return;
        }
        let notice = entries.is_empty();
        let agreed = (prev + entries.len() as u64).max(self.commit);
        self.take(entries);
        self.commit = self.commit.max(commit.min(agreed));
        self.answer_append(from, round, agreed, notice);
    }

    /// Returns the last index before which `prev` or the entries contradict
    /// what is known to be committed.
    fn contradiction(&self, prev: Index, prev_term: Term, entries: &[Entry]) -> Option<Index> {
        if self.contradicts(prev, prev_term) {
            return Some(prev.saturating_sub(1));
        }
        let bad = entries.iter().find(|e| self.contradicts(e.index, e.term))?;
        Some(bad.index - 1)
    }

    fn contradicts(&self, index: Index, term: Term) -> bool {
        if index > self.commit {
            return false;
        }
        match self.log.term_at(index) {
            Some(known) => known != term,
            // Terms never fall with the index, so a higher one is not ours.
            None => term > self.log.base_term(),
        }
    }

    /// Accepts the sender as the leader of `term`.
    fn follow(&mut self, from: HostId, term: Term) {
        self.enter_term(term);
        if !matches!(self.role, Role::Leader(_)) {
            self.role = Role::Follower;
            self.leader = Some(from);
        }
        self.heard = self.now;
        self.set_deadline();
    }

    /// Returns where the leader should try if this log does not hold `prev`.
    fn mismatch(&self, prev: Index, prev_term: Term) -> Option<Index> {
        if prev <= self.log.base() {
            return None;
        }
        match self.log.term_at(prev) {
            None => Some(self.log.last()),
            Some(term) if term == prev_term => None,
            Some(_) => Some((self.log.term_start(prev) - 1).max(self.commit)),
        }
    }

    fn take(&mut self, entries: Vec<Entry>) {
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

    fn refuse(&mut self, from: HostId, round: u64, index: Index) {
        self.send_synced(from, LogBody::Appended { round, index, taken: false });
    }

    /// Acknowledges what is on disk. A heartbeat is answered without waiting
    /// for the disk, with what is there; a notice of the same round is not.
    fn answer_append(&mut self, from: HostId, round: u64, agreed: Index, notice: bool) {
        if self.queue.failed() {
            return;
        }
        let this = (self.hard.term, round);
        let repeated = notice && self.answered == this;
        self.answered = this;
        if repeated {
            return;
        }
        let index = agreed.min(self.queue.synced());
        let body = LogBody::Appended { round, index, taken: true };
        if index == agreed && self.queue.hard_synced() {
            self.send(from, body);
            return;
        }
        if notice && self.queue.hard_synced() {
            self.send(from, body);
            return;
        }
        self.send_synced(from, LogBody::Appended { round, index: agreed, taken: true });
    }

    pub(crate) fn on_install(&mut self, from: HostId, msg: LogMsg) {
        let LogBody::Install { round, head, total, offset, chunk, .. } = msg.body else {
            return;
        };
        if msg.term < self.hard.term {
            self.refuse(from, round, self.commit);
            return;
        }
        if self.contradicts(head.index, head.term) {
            self.alarm(Alarm::WentBack { seen: self.commit, shown: head.index - 1 });
            return;
        }
        self.follow(from, msg.term);
        let index = head.index;
        if index <= self.commit {
            self.incoming = None;
            self.send_synced(from, LogBody::Installed { round, index, offset: total });
            return;
        }
        let arrived = self.collect(head, offset, &chunk);
        if arrived == total {
            self.install();
        }
        self.send_synced(from, LogBody::Installed { round, index, offset: arrived });
    }

    /// Adds a chunk to the snapshot that is arriving and returns its length.
    fn collect(&mut self, head: Snapshot, offset: u64, chunk: &Bytes) -> u64 {
        let same = self.incoming.as_ref().is_some_and(|i| i.head == head);
        if !same {
            self.incoming = Some(Incoming { head, bytes: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else {
            return 0;
        };
        if incoming.bytes.len() as u64 == offset {
            incoming.bytes.extend_from_slice(chunk);
        }
        incoming.bytes.len() as u64
    }

    fn install(&mut self) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let snap = Snapshot { state: incoming.bytes.into(), ..incoming.head };
        self.queue.push(Op::Snapshot(snap.clone()));
        self.log.install(snap.clone());
        // Entries beyond the old commit index may be others than the leader's.
        self.queue.cut(self.commit);
        self.commit = snap.index;
        self.applied = snap.index;
        self.out.push(Output::Restore(snap));
    }
}
