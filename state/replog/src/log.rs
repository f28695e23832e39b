//! The entries and memberships that a replica holds in memory.

use std::collections::VecDeque;

use bytes::Bytes;
use wire::{Entry, EntryBody, Index, Membership, Snapshot, Term};

/// Bytes counted for an entry besides its data.
const ENTRY_BYTES: usize = 32;

/// Entries after a base, with the newest snapshot.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// Memberships by the index that set them; the first holds at the base.
    members: Vec<(Index, Membership)>,
    snapshot: Option<Snapshot>,
}

impl Log {
    pub(crate) fn new(
        founders: Membership,
        snapshot: Option<Snapshot>,
        entries: Vec<Entry>,
    ) -> Log {
        let mut log = Log { members: vec![(0, founders)], ..Log::default() };
        if let Some(snap) = snapshot {
            log.install(snap);
        }
        for entry in entries {
            log.append(entry);
        }
        log
    }

    /// Sets the membership at index 0.
    pub(crate) fn found(&mut self, founders: Membership) {
        self.members = vec![(0, founders)];
    }

    pub(crate) fn base(&self) -> Index {
        self.base
    }

    pub(crate) fn base_term(&self) -> Term {
        self.base_term
    }

    pub(crate) fn last(&self) -> Index {
        self.base + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the term at an index that is held, the base included.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let at = index.checked_sub(self.base + 1)?;
        self.entries.get(at as usize)
    }

    /// Returns entries from `from` to `to`, at least one, up to `bytes`.
    pub(crate) fn slice(&self, from: Index, to: Index, bytes: usize) -> Vec<Entry> {
        let mut out = Vec::new();
        let mut size = 0;
        for index in from..=to {
            let Some(entry) = self.get(index) else {
                break;
            };
            size += entry_bytes(entry);
            if size > bytes && !out.is_empty() {
                break;
            }
            out.push(entry.clone());
        }
        out
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        if entry.index != self.last() + 1 {
            return;
        }
        if let EntryBody::Members(members) = &entry.body {
            self.members.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: Index) {
        let keep = index.saturating_sub(self.base + 1);
        self.entries.truncate(keep as usize);
        self.members.retain(|&(at, _)| at == 0 || at < index || at <= self.base);
    }

    /// Returns the first index of the run of entries with the term at `index`.
    pub(crate) fn term_start(&self, index: Index) -> Index {
        let term = self.term_at(index);
        let mut at = index;
        while at > self.base + 1 && self.term_at(at - 1) == term {
            at -= 1;
        }
        at
    }

    /// Returns the membership in force.
    pub(crate) fn members(&self) -> &Membership {
        &self.members.last().expect("the base membership stays").1
    }

    /// Returns the index that set the membership in force.
    pub(crate) fn members_index(&self) -> Index {
        self.members.last().expect("the base membership stays").0
    }

    fn members_at(&self, index: Index) -> Membership {
        let set = self.members.iter().rev().find(|&&(at, _)| at <= index);
        set.map(|(_, m)| m.clone()).unwrap_or_default()
    }

    /// Makes a snapshot of `state` at `index` and forgets entries but for the
    /// newest `keep` that it covers. Returns nothing if it is no progress.
    pub(crate) fn compact(&mut self, index: Index, state: Bytes, keep: u64) -> Option<Snapshot> {
        if self.snapshot.as_ref().is_some_and(|s| s.index >= index) {
            return None;
        }
        let term = self.term_at(index)?;
        let snap = Snapshot { index, term, members: self.members_at(index), state };
        self.snapshot = Some(snap.clone());
        self.forget(index.saturating_sub(keep));
        Some(snap)
    }

    /// Forgets the entries up to `index`.
    pub(crate) fn forget(&mut self, index: Index) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        if index <= self.base {
            return;
        }
        let members = self.members_at(index);
        self.members.retain(|&(at, _)| at > index);
        self.members.insert(0, (index, members));
        self.entries.drain(..(index - self.base) as usize);
        self.base = index;
        self.base_term = term;
    }

    /// Replaces everything up to the snapshot's index. Later entries stay if
    /// they follow the snapshot's last entry.
    pub(crate) fn install(&mut self, snap: Snapshot) {
        if self.term_at(snap.index) == Some(snap.term) {
            self.forget(snap.index);
        } else {
            self.entries.clear();
            self.base = snap.index;
            self.base_term = snap.term;
            self.members.clear();
        }
        self.members.retain(|&(at, _)| at > snap.index);
        self.members.insert(0, (snap.index, snap.members.clone()));
        self.snapshot = Some(snap);
    }
}

/// Returns about how many bytes an entry takes.
pub(crate) fn entry_bytes(entry: &Entry) -> usize {
    match &entry.body {
        EntryBody::Noop => ENTRY_BYTES,
        EntryBody::Members(m) => ENTRY_BYTES * (m.members.len() + 1),
        EntryBody::Data(data) => ENTRY_BYTES + data.len(),
    }
}
