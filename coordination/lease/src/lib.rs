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
