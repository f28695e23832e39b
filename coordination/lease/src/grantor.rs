//! The leader's side of leases.

use std::time::Duration;

use wire::{DomainForce, DomainId, Grant, HostId, Incarnation, Index, Renew};

use crate::Terms;

/// A host that holds a lease, as the leader knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveHost {
    /// The host.
    pub host: HostId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainId,
    /// The last index it has applied.
    pub applied: Index,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// Grants leases while its host leads.
#[derive(Debug)]
pub struct Grantor {
    _terms: Terms,
}

impl Grantor {
    /// Starts to lead. Leases of the leader before may run for one full term.
    pub fn new(now: Duration, terms: Terms) -> Grantor {
        let _ = now;
        Grantor { _terms: terms }
    }

    /// Notes that the commit index was `commit` at this time.
    pub fn committed(&mut self, now: Duration, commit: Index) {
        let _ = (now, commit);
        todo!()
    }

    /// Answers a renewal. `quorum_at` is when a quorum was last known to follow
    /// this leader; no lease reaches past it by more than a term.
    pub fn renew(
        &mut self,
        now: Duration,
        quorum_at: Option<Duration>,
        from: HostId,
        renew: Renew,
    ) -> Grant {
        let _ = (now, quorum_at, from, renew);
        todo!()
    }

    /// Returns the hosts whose leases count, in order of their numbers.
    pub fn live(&self, now: Duration) -> Vec<LiveHost> {
        let _ = now;
        todo!()
    }

    /// Returns whether targets of hosts without a lease may be moved: all
    /// leases of earlier leaders have run out.
    pub fn settled(&self, now: Duration) -> bool {
        let _ = now;
        todo!()
    }

    /// Returns hosts whose lease ran out since the last call, with the first
    /// run that may still be alive.
    pub fn lost(&mut self, now: Duration) -> Vec<(HostId, Incarnation)> {
        let _ = now;
        todo!()
    }

    /// Returns per failure domain how many live hosts have applied the index
    /// and how many have not.
    pub fn in_force(&self, now: Duration, index: Index) -> Vec<DomainForce> {
        let _ = (now, index);
        todo!()
    }
}
