//! Log entries, memberships and the newest snapshot, as a replica holds them in memory.

use std::collections::VecDeque;

use bytes::Bytes;
use wire::{Entry, EntryBody, Index, Membership, Snapshot, Term};

/// Bytes counted for an entry in addition to its data.
const ENTRY_OVERHEAD: usize = 32;

/// Entries after a base index, with the newest snapshot.
#[derive(Debug, Default)]
pub(crate) struct Log {
    /// The index before the first entry held.
    base: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// Memberships with the index that set each; the first is in force at the base.
    memberships: Vec<(Index, Membership)>,
    snapshot: Option<Snapshot>,
}

impl Log {
    pub(crate) fn new(
        founders: Membership,
        snapshot: Option<Snapshot>,
        entries: Vec<Entry>,
    ) -> Log {
        let mut log = Log { memberships: vec![(0, founders)], ..Log::default() };
        if let Some(snap) = snapshot {
            log.install(snap);
        }
        for entry in entries {
            log.append(entry);
        }
        log
    }

    /// Sets the founding membership, which is in force from index 0.
    pub(crate) fn set_founders(&mut self, founders: Membership) {
        self.memberships = vec![(0, founders)];
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

    /// Returns the term at an index, or `None` if it is before the base or after the last entry.
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

    /// Returns the entries from `from` to `to` up to a total of `bytes`, but at least one if there
    /// is any.
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

    /// Appends an entry. Ignores one that does not directly follow the last.
    pub(crate) fn append(&mut self, entry: Entry) {
        if entry.index != self.last() + 1 {
            return;
        }
        if let EntryBody::Members(members) = &entry.body {
            self.memberships.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all later ones, with the memberships they set.
    pub(crate) fn truncate(&mut self, index: Index) {
        let keep = index.saturating_sub(self.base + 1);
        self.entries.truncate(keep as usize);
        self.memberships.retain(|&(at, _)| at == 0 || at < index || at <= self.base);
    }

    /// Returns the first index held that has the same term as `index`.
    pub(crate) fn term_start(&self, index: Index) -> Index {
        let term = self.term_at(index);
        let mut at = index;
        while at > self.base + 1 && self.term_at(at - 1) == term {
            at -= 1;
        }
        at
    }

    /// Returns the membership in force.
    pub(crate) fn membership(&self) -> &Membership {
        &self.memberships.last().expect("the base membership is never removed").1
    }

    /// Returns the index of the entry that set the membership in force.
    pub(crate) fn membership_index(&self) -> Index {
        self.memberships.last().expect("the base membership is never removed").0
    }

    /// Returns the membership that was in force at an index.
    fn membership_at(&self, index: Index) -> Membership {
        let set = self.memberships.iter().rev().find(|&&(at, _)| at <= index);
        set.map(|(_, m)| m.clone()).unwrap_or_default()
    }

    /// Takes a snapshot of `state` at `index` and discards the entries that it covers, except for
    /// the newest `keep`. Returns `None` if the present snapshot covers `index` or its term is
    /// unknown.
    pub(crate) fn compact(&mut self, index: Index, state: Bytes, keep: u64) -> Option<Snapshot> {
        if self.snapshot.as_ref().is_some_and(|s| s.index >= index) {
            return None;
        }
        let term = self.term_at(index)?;
        let snap = Snapshot { index, term, members: self.membership_at(index), state };
        self.snapshot = Some(snap.clone());
        self.discard(index.saturating_sub(keep));
        Some(snap)
    }

    /// Discards the entries up to and including `index`, which becomes the base.
    pub(crate) fn discard(&mut self, index: Index) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        if index <= self.base {
            return;
        }
        let members = self.membership_at(index);
        self.memberships.retain(|&(at, _)| at > index);
        self.memberships.insert(0, (index, members));
        self.entries.drain(..(index - self.base) as usize);
        self.base = index;
        self.base_term = term;
    }

    /// Replaces all entries up to the snapshot's index by the snapshot. Keeps later entries if the
    /// log contains the snapshot's last entry.
    pub(crate) fn install(&mut self, snap: Snapshot) {
        if self.term_at(snap.index) == Some(snap.term) {
            self.discard(snap.index);
        } else {
            self.entries.clear();
            self.base = snap.index;
            self.base_term = snap.term;
            self.memberships.clear();
        }
        self.memberships.retain(|&(at, _)| at > snap.index);
        self.memberships.insert(0, (snap.index, snap.members.clone()));
        self.snapshot = Some(snap);
    }
}

/// Returns the approximate size of an entry in bytes.
pub(crate) fn entry_bytes(entry: &Entry) -> usize {
    match &entry.body {
        EntryBody::Noop => ENTRY_OVERHEAD,
        EntryBody::Members(m) => ENTRY_OVERHEAD * (m.members.len() + 1),
        EntryBody::Data(data) => ENTRY_OVERHEAD + data.len(),
    }
}
