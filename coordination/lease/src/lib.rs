//! Leases of hosts, the replicated registry of targets, and the assignment of targets to owners.

mod balance;
mod grantor;
mod holder;
mod registry;

pub use crate::{
    balance::{balance, hand_over},
    grantor::{Grantor, LiveHost},
    holder::HostLease,
    registry::{OpenIntent, Registry, Target},
};

use std::time::Duration;

use wire::Term;

/// Timing of leases. All hosts must use the same values.
#[derive(Debug, Clone, Copy)]
pub struct LeaseSettings {
    /// Length of a lease.
    pub lease: Duration,
    /// Allowance for clock drift: the grantor adds it to a lease, the holder subtracts it.
    pub margin: Duration,
    /// Time a host has to apply a committed entry. A host that lags longer is granted no lease.
    pub lag: Duration,
}

/// Renewals that a host sends within the length of a lease.
const RENEWALS_PER_LEASE: u32 = 4;

/// Number of low bits of a digest round that hold the sequence number within a leader's term.
/// The upper bits hold the term, so that the rounds of a later leader are always higher.
const ROUND_BITS: u32 = 32;

/// Returns the round that the leader of a term starts from.
fn first_round(term: Term) -> u64 {
    term << ROUND_BITS
}

/// Returns the term of the leader that issued a round.
fn leader_term(round: u64) -> Term {
    round >> ROUND_BITS
}
