//! Pending disk writes and the messages that must not be sent before them.

use std::collections::VecDeque;

use wire::{HostId, Index, LogMsg};

use crate::{Op, Output, Write};

/// Orders disk writes and holds messages back until the changes before them are synced.
///
/// One write is outstanding at a time; changes that are pushed meanwhile go into the next one.
#[derive(Debug, Default)]
pub(crate) struct WriteQueue {
    /// Whether the replica has a disk; an observer has none.
    has_disk: bool,
    failed: bool,
    /// Changes for the next write.
    pending: Vec<Op>,
    outstanding: Option<Outstanding>,
    /// The ticket of the latest write handed out.
    ticket: u64,
    /// The ticket of the write that contains the latest hard state.
    hard_ticket: u64,
    /// The ticket of the latest write on disk.
    done_ticket: u64,
    /// The last index that is on disk.
    synced: Index,
    held: VecDeque<Held>,
}

/// A write that was handed out and is not synced yet.
#[derive(Debug)]
struct Outstanding {
    ticket: u64,
    /// The last index on disk once it is synced.
    last: Index,
}

/// A message that is sent once the write with its ticket is on disk.
#[derive(Debug)]
struct Held {
    ticket: u64,
    to: HostId,
    msg: LogMsg,
}

impl WriteQueue {
    /// Creates an empty queue, with all entries up to `synced` on disk.
    pub(crate) fn new(has_disk: bool, synced: Index) -> WriteQueue {
        WriteQueue { has_disk, synced, ..WriteQueue::default() }
    }

    pub(crate) fn failed(&self) -> bool {
        self.failed
    }

    /// Returns the last index on disk, or the highest possible index without a disk.
    pub(crate) fn synced(&self) -> Index {
        if self.has_disk { self.synced } else { Index::MAX }
    }

    /// Returns whether the latest hard state is on disk. Always true without a disk.
    pub(crate) fn hard_synced(&self) -> bool {
        !self.has_disk || self.hard_ticket <= self.done_ticket
    }

    /// Adds a change to the next write. Ignored without a disk or after a failed write.
    pub(crate) fn push(&mut self, op: Op) {
        if !self.has_disk || self.failed {
            return;
        }
        match &op {
            Op::Hard(_) => self.hard_ticket = self.ticket + 1,
            Op::Truncate(index) => self.limit_synced(index.saturating_sub(1)),
            Op::Append(_) | Op::Snapshot(_) => {}
        }
        if let (Op::Append(more), Some(Op::Append(entries))) = (&op, self.pending.last_mut()) {
            entries.extend(more.iter().cloned());
            return;
        }
        self.pending.push(op);
    }

    /// Records that entries after `last` are replaced and no longer count as synced.
    pub(crate) fn limit_synced(&mut self, last: Index) {
        self.synced = self.synced.min(last);
        if let Some(write) = &mut self.outstanding {
            write.last = write.last.min(last);
        }
    }

    /// Sends a message once all changes pushed so far are on disk.
    pub(crate) fn hold(&mut self, to: HostId, msg: LogMsg, out: &mut Vec<Output>) {
        if self.failed {
            return;
        }
        let newest = if self.pending.is_empty() { self.ticket } else { self.ticket + 1 };
        if newest <= self.done_ticket {
            out.push(Output::Send { to, msg });
            return;
        }
        self.held.push_back(Held { ticket: newest, to, msg });
    }

    /// Hands out the pending changes as a write, unless one is outstanding. `last` is the log's
    /// last index.
    pub(crate) fn flush(&mut self, last: Index, out: &mut Vec<Output>) {
        if self.pending.is_empty() || self.outstanding.is_some() {
            return;
        }
        self.ticket += 1;
        self.outstanding = Some(Outstanding { ticket: self.ticket, last });
        let ops = std::mem::take(&mut self.pending);
        out.push(Output::Write(Write { ticket: self.ticket, ops }));
    }

    /// Records that writes up to a ticket are on disk and sends the messages that waited for them.
    pub(crate) fn complete(&mut self, ticket: u64, out: &mut Vec<Output>) {
        let Some(write) = self.outstanding.take_if(|w| w.ticket <= ticket) else {
            return;
        };
        self.done_ticket = write.ticket;
        self.synced = write.last;
        while let Some(held) = self.held.pop_front_if(|h| h.ticket <= write.ticket) {
            out.push(Output::Send { to: held.to, msg: held.msg });
        }
    }

    /// Stops all writes and drops the messages that waited for them.
    pub(crate) fn fail(&mut self) {
        self.failed = true;
        self.pending.clear();
        self.outstanding = None;
        self.held.clear();
    }
}
