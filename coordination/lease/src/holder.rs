//! A host's side of its lease.

use std::time::Duration;

use wire::{Digest, DomainId, Grant, Incarnation, Index, Renew};

use crate::Terms;

/// Holds a host's lease.
#[derive(Debug)]
pub struct Holder {
    _terms: Terms,
}

impl Holder {
    /// Starts without a lease.
    pub fn new(terms: Terms, domain: DomainId, incarnation: Incarnation) -> Holder {
        let _ = (domain, incarnation);
        Holder { _terms: terms }
    }

    /// Returns a renewal to send to the leader if one is due.
    pub fn due(&mut self, now: Duration, applied: Index, digest: &Digest) -> Option<Renew> {
        let _ = (now, applied, digest);
        todo!()
    }

    /// Takes a grant. The lease runs from when the answered renewal was sent.
    pub fn granted(&mut self, now: Duration, grant: &Grant) {
        let _ = (now, grant);
        todo!()
    }

    /// Returns whether the lease counts: it runs, and the host has applied what
    /// the grant demanded.
    pub fn valid(&self, now: Duration, applied: Index) -> bool {
        let _ = (now, applied);
        todo!()
    }

    /// Returns when the lease ends, if there is one.
    pub fn until(&self) -> Option<Duration> {
        todo!()
    }
}
