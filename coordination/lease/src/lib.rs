//! Who serves: leases of hosts, the registry of targets, and which host owns
//! which target.

mod balance;
mod grantor;
mod holder;
mod registry;

pub use crate::{
    balance::balance,
    grantor::{Grantor, LiveHost},
    holder::Holder,
    registry::{OpenIntent, Registry, Target},
};

use std::time::Duration;

use wire::Term;

/// Parameters of leases, the same on all hosts.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// Length of a lease.
    pub lease: Duration,
    /// Added by the grantor and subtracted by the holder for clock drift.
    pub margin: Duration,
    /// Time after which a host whose configuration lags gets no lease.
    pub lag: Duration,
}

/// A lease is renewed this many times within its length.
const RENEWALS_PER_LEASE: u32 = 4;

/// Digest rounds count up within a leader's term, which is their upper part:
/// rounds of a later leader are always higher.
const ROUND_BITS: u32 = 32;

/// Returns the round a leader of a term starts from.
fn first_round(term: Term) -> u64 {
    term << ROUND_BITS
}

/// Returns the term of the leader that counted a round.
fn epoch(round: u64) -> Term {
    round >> ROUND_BITS
}
