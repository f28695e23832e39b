//! The replicated state of the system, as every host applies it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use claims::{ClaimReply, Claims, Retention, Strikes};
use history::{History, Receipt};
use lease::Registry;
use serde::{Deserialize, Serialize};
use wire::{Command, Fault, HostId, Incarnation, Index, Proposal};

const CLAIM_BYTES: usize = 64 * 1024 * 1024;

/// What a committed command led to.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Applied {
    Publish(Result<Receipt, Fault>),
    Claim(ClaimReply),
    /// Whether the command had an effect.
    Taken(bool),
}

/// A committed command with its result.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Event {
    pub(crate) index: Index,
    pub(crate) proposal: Proposal,
    pub(crate) result: Applied,
}

/// The proposals of a host's run that were applied.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Seen {
    run: Incarnation,
    floor: u64,
    above: BTreeSet<u64>,
}

impl Seen {
    /// Notes a proposal. Returns false if it was applied before or is obsolete.
    fn take(&mut self, proposal: &Proposal) -> bool {
        if proposal.incarnation < self.run {
            return false;
        }
        if proposal.incarnation > self.run {
            *self = Seen { run: proposal.incarnation, ..Seen::default() };
        }
        if self.holds(proposal.seq) {
            return false;
        }
        self.above.insert(proposal.seq);
        if proposal.floor > self.floor {
            self.floor = proposal.floor;
            self.above = self.above.split_off(&self.floor);
        }
        true
    }

    fn holds(&self, seq: u64) -> bool {
        seq < self.floor || self.above.contains(&seq)
    }
}

/// The state machine behind the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Machine {
    pub(crate) applied: Index,
    pub(crate) history: History,
    pub(crate) registry: Arc<Registry>,
    pub(crate) claims: Claims,
    pub(crate) strikes: Arc<Strikes>,
    seen: BTreeMap<HostId, Seen>,
}

impl Machine {
    /// The state before the first entry.
    pub(crate) fn new(claim_age: Duration, claim_count: usize) -> Machine {
        let retention = Retention { age: claim_age, count: claim_count, bytes: CLAIM_BYTES };
        Machine {
            applied: 0,
            history: History::default(),
            registry: Arc::new(Registry::default()),
            claims: Claims::new(retention),
            strikes: Arc::new(Strikes::default()),
            seen: BTreeMap::new(),
        }
    }

    /// Returns whether a proposal of a host's run was applied.
    pub(crate) fn has_seen(&self, host: HostId, run: Incarnation, seq: u64) -> bool {
        let Some(seen) = self.seen.get(&host) else { return false };
        seen.run == run && seen.holds(seq)
    }

    /// Applies a committed proposal. A repeated one has no effect and no result.
    pub(crate) fn apply(&mut self, index: Index, proposal: Proposal) -> Option<Event> {
        self.applied = index;
        let seen = self.seen.entry(proposal.host).or_default();
        if !seen.take(&proposal) {
            return None;
        }
        let result = self.execute(index, &proposal);
        Some(Event { index, proposal, result })
    }

    fn execute(&mut self, index: Index, proposal: &Proposal) -> Applied {
        let at = proposal.at;
        match &proposal.command {
            Command::Publish(publish) => Applied::Publish(self.history.apply(index, at, publish)),
            Command::Claim(claim) => Applied::Claim(self.claims.claim(at, claim)),
            Command::Settle(settle) => Applied::Taken(self.claims.settle(at, settle)),
            Command::HostLost { host, before } => {
                self.claims.host_lost(at, *host, *before);
                Applied::Taken(true)
            }
            Command::Strike(print) => {
                Arc::make_mut(&mut self.strikes).strike(at, *print);
                Applied::Taken(true)
            }
            Command::Clear(print) => {
                Arc::make_mut(&mut self.strikes).clear(print);
                Applied::Taken(true)
            }
            Command::Register(_)
            | Command::Forget(_)
            | Command::Assign(_)
            | Command::Intent(_)
            | Command::Resolve(_)
            | Command::Restarted { .. } => {
                let taken = Arc::make_mut(&mut self.registry).apply(index, &proposal.command);
                Applied::Taken(taken)
            }
        }
    }
}
