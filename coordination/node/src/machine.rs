//! The replicated state machine of the system, which every host runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use claims::{ClaimReply, Claims, CrashCounts, Retention};
use history::{History, Receipt};
use lease::Registry;
use serde::{Deserialize, Serialize};
use wire::{Command, Fault, HostId, Incarnation, Index, Proposal};

const MAX_CLAIM_BYTES: usize = 64 * 1024 * 1024;

/// The result of a committed command.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CommandResult {
    Publish(Result<Receipt, Fault>),
    Claim(ClaimReply),
    /// False if an intent or an outcome was refused; true for all other commands.
    Accepted(bool),
}

/// A committed command with its result.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct AppliedCommand {
    pub(crate) index: Index,
    pub(crate) proposal: Proposal,
    pub(crate) result: CommandResult,
}

/// The applied proposals of one incarnation of a host.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct AppliedProposals {
    incarnation: Incarnation,
    /// All lower numbers count as applied.
    floor: u64,
    /// Applied numbers from the floor on.
    above: BTreeSet<u64>,
}

impl AppliedProposals {
    /// Records a proposal. Returns false if it was applied before, or comes from an earlier
    /// incarnation.
    fn record(&mut self, proposal: &Proposal) -> bool {
        if proposal.incarnation < self.incarnation {
            return false;
        }
        if proposal.incarnation > self.incarnation {
            *self = AppliedProposals {
                incarnation: proposal.incarnation,
                ..AppliedProposals::default()
            };
        }
        if self.contains(proposal.seq) {
            return false;
        }
        self.above.insert(proposal.seq);
        if proposal.floor > self.floor {
            self.floor = proposal.floor;
            self.above = self.above.split_off(&self.floor);
        }
        true
    }

    fn contains(&self, seq: u64) -> bool {
        seq < self.floor || self.above.contains(&seq)
    }
}

/// The state machine that the log drives. Encoded with `postcard` in snapshots.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Machine {
    pub(crate) applied: Index,
    pub(crate) history: History,
    pub(crate) registry: Arc<Registry>,
    pub(crate) claims: Claims,
    pub(crate) strikes: Arc<CrashCounts>,
    proposals: BTreeMap<HostId, AppliedProposals>,
}

impl Machine {
    /// Creates the state before the first log entry.
    pub(crate) fn new(claim_age: Duration, claim_count: usize) -> Machine {
        let retention = Retention { age: claim_age, count: claim_count, bytes: MAX_CLAIM_BYTES };
        Machine {
            applied: 0,
            history: History::default(),
            registry: Arc::new(Registry::default()),
            claims: Claims::new(retention),
            strikes: Arc::new(CrashCounts::default()),
            proposals: BTreeMap::new(),
        }
    }

    /// Returns whether a proposal of the given incarnation of a host was applied.
    pub(crate) fn has_applied(&self, host: HostId, incarnation: Incarnation, seq: u64) -> bool {
        let Some(proposals) = self.proposals.get(&host) else { return false };
        proposals.incarnation == incarnation && proposals.contains(seq)
    }

    /// Applies a committed proposal. A repeated proposal has no effect and returns nothing.
    pub(crate) fn apply(&mut self, index: Index, proposal: Proposal) -> Option<AppliedCommand> {
        self.applied = index;
        let proposals = self.proposals.entry(proposal.host).or_default();
        if !proposals.record(&proposal) {
            return None;
        }
        let result = self.execute(index, &proposal);
        Some(AppliedCommand { index, proposal, result })
    }

    fn execute(&mut self, index: Index, proposal: &Proposal) -> CommandResult {
        let at = proposal.at;
        match &proposal.command {
            Command::Publish(publish) => {
                CommandResult::Publish(self.history.apply(index, at, publish))
            }
            Command::Claim(claim) => CommandResult::Claim(self.claims.claim(at, claim)),
            Command::Settle(settle) => CommandResult::Accepted(self.claims.settle(at, settle)),
            Command::HostLost { host, before } => {
                self.claims.host_lost(at, *host, *before);
                CommandResult::Accepted(true)
            }
            Command::Strike(fingerprint) => {
                Arc::make_mut(&mut self.strikes).record(at, *fingerprint);
                CommandResult::Accepted(true)
            }
            Command::Clear(fingerprint) => {
                Arc::make_mut(&mut self.strikes).clear(fingerprint);
                CommandResult::Accepted(true)
            }
            Command::Register(_)
            | Command::Forget(_)
            | Command::Assign(_)
            | Command::Intent(_)
            | Command::Resolve(_)
            | Command::Restarted { .. } => {
                let accepted = Arc::make_mut(&mut self.registry).apply(index, &proposal.command);
                CommandResult::Accepted(accepted)
            }
        }
    }
}
