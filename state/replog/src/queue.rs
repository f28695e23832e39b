//! Writes on their way to the disk, and the messages that wait for them.

use std::collections::VecDeque;

use wire::{HostId, Index, LogMsg};

use crate::{Op, Output, Write};

/// Orders writes and holds back messages until they are synced. One write is
/// outstanding at a time; changes that arrive meanwhile go into the next.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// Whether there is a disk at all.
    disk: bool,
    failed: bool,
    pending: Vec<Op>,
    outstanding: Option<Outstanding>,
    /// The ticket of the newest write handed out.
    ticket: u64,
    /// The ticket that covers the newest hard state.
    hard: u64,
    done: u64,
    /// The last index that is on disk.
    synced: Index,
    held: VecDeque<Held>,
}

#[derive(Debug)]
struct Outstanding {
    ticket: u64,
    last: Index,
}

#[derive(Debug)]
struct Held {
    ticket: u64,
    to: HostId,
    msg: LogMsg,
}

impl Queue {
    /// Starts with everything up to `synced` on disk.
    pub(crate) fn new(disk: bool, synced: Index) -> Queue {
        Queue { disk, synced, ..Queue::default() }
    }

    pub(crate) fn failed(&self) -> bool {
        self.failed
    }

    /// Returns the last index on disk; without a disk all counts as there.
    pub(crate) fn synced(&self) -> Index {
        if self.disk { self.synced } else { Index::MAX }
    }

    /// Tells whether the newest hard state is on disk.
    pub(crate) fn hard_synced(&self) -> bool {
        !self.disk || self.hard <= self.done
    }

    pub(crate) fn push(&mut self, op: Op) {
        if !self.disk || self.failed {
            return;
        }
        match &op {
            Op::Hard(_) => self.hard = self.ticket + 1,
            Op::Truncate(index) => self.cut(index.saturating_sub(1)),
            Op::Append(_) | Op::Snapshot(_) => {}
        }
        if let (Op::Append(more), Some(Op::Append(entries))) = (&op, self.pending.last_mut()) {
            entries.extend(more.iter().cloned());
            return;
        }
        self.pending.push(op);
    }

    /// Takes in that entries after `last` are replaced.
    pub(crate) fn cut(&mut self, last: Index) {
        self.synced = self.synced.min(last);
        if let Some(write) = &mut self.outstanding {
            write.last = write.last.min(last);
        }
    }

    /// Sends a message once everything pushed so far is on disk.
    pub(crate) fn hold(&mut self, to: HostId, msg: LogMsg, out: &mut Vec<Output>) {
        if self.failed {
            return;
        }
        let newest = if self.pending.is_empty() { self.ticket } else { self.ticket + 1 };
        if newest <= self.done {
            out.push(Output::Send { to, msg });
            return;
        }
        self.held.push_back(Held { ticket: newest, to, msg });
    }

    /// Hands out the pending changes unless a write is outstanding.
    pub(crate) fn flush(&mut self, last: Index, out: &mut Vec<Output>) {
        if self.pending.is_empty() || self.outstanding.is_some() {
            return;
        }
        self.ticket += 1;
        self.outstanding = Some(Outstanding { ticket: self.ticket, last });
        let ops = std::mem::take(&mut self.pending);
        out.push(Output::Write(Write { ticket: self.ticket, ops }));
    }

    /// Takes in that writes are on disk and sends what waited for them.
    pub(crate) fn complete(&mut self, ticket: u64, out: &mut Vec<Output>) {
        let Some(write) = self.outstanding.take_if(|w| w.ticket <= ticket) else {
            return;
        };
        self.done = write.ticket;
        self.synced = write.last;
        while let Some(held) = self.held.pop_front_if(|h| h.ticket <= write.ticket) {
            out.push(Output::Send { to: held.to, msg: held.msg });
        }
    }

    /// Stops all writes and drops what waited for them.
    pub(crate) fn fail(&mut self) {
        self.failed = true;
        self.pending.clear();
        self.outstanding = None;
        self.held.clear();
    }
}
