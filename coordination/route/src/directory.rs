//! What a host knows of the other hosts.

use std::time::Duration;

use wire::{Digest, DomainId, Grant, HostId, Pin, TargetId, TargetKind};

/// A target with its owner, as routing needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedTarget {
    /// The target.
    pub id: TargetId,
    /// Its owner.
    pub owner: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// What it serves.
    pub kind: TargetKind,
    /// Requests it runs at once.
    pub requests: u32,
}

/// A host that can serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The host.
    pub host: HostId,
    /// Whether its targets hold the adapter.
    pub resident: bool,
}

/// Digests of all hosts, from the leader's grants.
#[derive(Debug, Default)]
pub struct Directory {}

impl Directory {
    /// Replaces the targets and their owners after a change of the registry.
    pub fn set_targets(&mut self, targets: Vec<OwnedTarget>) {
        let _ = targets;
        todo!()
    }

    /// Replaces the hosts with their failure domains.
    pub fn set_hosts(&mut self, hosts: Vec<(HostId, DomainId)>) {
        let _ = hosts;
        todo!()
    }

    /// Takes the digests of a grant.
    pub fn granted(&mut self, now: Duration, grant: &Grant) {
        let _ = (now, grant);
        todo!()
    }

    /// Replaces this host's own digest.
    pub fn set_own(&mut self, host: HostId, digest: Digest) {
        let _ = (host, digest);
        todo!()
    }

    /// Notes that a host did not answer.
    pub fn suspect(&mut self, now: Duration, host: HostId) {
        let _ = (now, host);
        todo!()
    }

    /// Chooses the owner for a request of an entry in `domain`, leaving out the
    /// hosts in `tried`. Hosts that hold the adapter come first, weighted by
    /// their load; without one, the adapter's home by rendezvous hashing, so
    /// that requests for one cold adapter meet at one owner.
    pub fn choose(
        &self,
        now: Duration,
        pin: &Pin,
        domain: &str,
        tried: &[HostId],
    ) -> Option<Choice> {
        let _ = (now, pin, domain, tried);
        todo!()
    }

    /// Returns entry hosts for a caller, best first: over two failure domains
    /// or more where there are, none that is leaving, suspect or lagging.
    pub fn entries(&self, now: Duration, pin: Option<&Pin>) -> Vec<HostId> {
        let _ = (now, pin);
        todo!()
    }
}
