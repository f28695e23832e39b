//! A host's view of all hosts: which targets they own, their load and their availability.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wire::{AdapterId, Digest, DomainId, Grant, HostId, Pin, TargetId, TargetKind};

use crate::pick::{Candidate, hash, home, less_loaded};

/// How long a host that did not answer is excluded.
const UNREACHABLE_DURATION: Duration = Duration::from_secs(3);
/// Maximum number of entry hosts returned for a caller.
const MAX_ENTRIES: usize = 3;

/// A target with its owner, reduced to what routing needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedTarget {
    /// Id of the target.
    pub id: TargetId,
    /// Host that owns the target.
    pub owner: HostId,
    /// Failure domain of the target.
    pub domain: DomainId,
    /// The model or service that it serves.
    pub kind: TargetKind,
    /// Number of requests that it can run at once.
    pub requests: u32,
}

/// The owner chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerChoice {
    /// Host id of the owner.
    pub host: HostId,
    /// Whether the adapter is resident on one of its targets; true for a service.
    pub resident: bool,
}

/// Sort key of entry hosts for a caller; lower is better.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// No digest of the host is known.
    no_digest: bool,
    /// The host is not the owner that routing would choose for the request.
    not_chosen: bool,
    /// The adapter is not resident on its targets.
    cold: bool,
    /// The host owns no target of the wanted kind.
    not_owner: bool,
    load: u32,
    /// Spreads callers over hosts that are otherwise equal.
    tiebreak: u64,
    host: HostId,
}

/// Owners of one kind of target, with the number of requests their targets can run at once.
type Owners = BTreeMap<HostId, u32>;

/// Targets, hosts and the digests of all hosts; the digests come with the leader's lease grants.
#[derive(Debug, Default)]
pub struct Directory {
    models: BTreeMap<String, Owners>,
    services: BTreeMap<String, Owners>,
    hosts: BTreeMap<HostId, DomainId>,
    digests: BTreeMap<HostId, Digest>,
    /// Hosts on whose targets an adapter is resident, from the digests.
    resident_hosts: BTreeMap<AdapterId, BTreeSet<HostId>>,
    own_id: Option<HostId>,
    /// Hosts without a lease or about to leave, from the latest grant; they get no new work.
    excluded: BTreeSet<HostId>,
    /// Hosts that did not answer, with the time until which they are excluded.
    unreachable: BTreeMap<HostId, Duration>,
}

impl Directory {
    /// Replaces the targets and their owners, after a change of the replicated registry.
    pub fn set_targets(&mut self, targets: Vec<OwnedTarget>) {
        self.models.clear();
        self.services.clear();
        for target in targets {
            let owners = match target.kind {
                TargetKind::Engine { model } => self.models.entry(model).or_default(),
                TargetKind::Service { service } => self.services.entry(service).or_default(),
            };
            *owners.entry(target.owner).or_default() += target.requests;
        }
    }

    /// Replaces the set of hosts and their failure domains.
    pub fn set_hosts(&mut self, hosts: Vec<(HostId, DomainId)>) {
        self.hosts = hosts.into_iter().collect();
    }

    /// Returns the failure domain of a host, or none if the host is unknown.
    pub fn domain(&self, host: HostId) -> Option<&DomainId> {
        self.hosts.get(&host)
    }

    /// Applies the digests and the host availability of a lease grant.
    ///
    /// The caller must pass only grants that this host's lease has accepted, and no late
    /// or repeated ones.
    pub fn apply_grant(&mut self, now: Duration, grant: &Grant) {
        self.unreachable.retain(|_, until| now < *until);
        self.excluded = grant.unleased.iter().chain(&grant.leaving).copied().collect();
        for (host, digest) in &grant.digests {
            if self.own_id != Some(*host) {
                self.set_digest(*host, digest.clone());
            }
        }
    }

    /// Replaces the digest of this host. Grants no longer change it from then on.
    pub fn set_own_digest(&mut self, host: HostId, digest: Digest) {
        self.own_id = Some(host);
        self.set_digest(host, digest);
    }

    /// Excludes a host that did not answer, for three seconds.
    pub fn mark_unreachable(&mut self, now: Duration, host: HostId) {
        self.unreachable.insert(host, now + UNREACHABLE_DURATION);
    }

    /// Chooses the owner for a request that entered at a host in `domain`, excluding the
    /// hosts in `tried`.
    ///
    /// Hosts on whose targets the adapter is resident come first; among them the load
    /// decides. If none of them has room, the choice is the adapter's home by rendezvous
    /// hashing, so that all requests for a cold adapter go to the same owner. If every host
    /// is full, a resident host is chosen, or else the home.
    pub fn choose(
        &self,
        now: Duration,
        pin: &Pin,
        domain: &str,
        tried: &[HostId],
    ) -> Option<OwnerChoice> {
        let salt = now.as_nanos() as u64;
        match pin {
            Pin::Service { service } => {
                let owners = self.candidates(now, self.services.get(service)?, domain, tried);
                let best = less_loaded(owners.iter(), salt)?;
                Some(OwnerChoice { host: best.host, resident: true })
            }
            Pin::Adapter { id, name } => {
                let owners = self.candidates(now, self.models.get(model_of(name))?, domain, tried);
                self.choose_owner(&owners, *id, hash(name.as_bytes()), salt)
            }
        }
    }

    /// Returns entry hosts for a caller, best first: in two or more failure domains where
    /// possible, and none that is leaving, without a lease or recently unresponsive.
    pub fn entries(&self, now: Duration, pin: Option<&Pin>) -> Vec<HostId> {
        let owners = pin.and_then(|pin| self.owners(pin));
        // The owner that routing would choose is the preferred first entry.
        let choice = pin.and_then(|pin| self.choose(now, pin, "", &[]));
        let best = choice.map(|choice| choice.host);
        let resident_hosts = match pin {
            Some(Pin::Adapter { id, .. }) => self.resident_hosts.get(id),
            _ => None,
        };
        let salt = hash(&now.as_nanos().to_le_bytes());
        let mut ranks = Vec::new();
        for &host in self.hosts.keys() {
            if !self.is_usable(now, host) {
                continue;
            }
            let owns = owners.is_some_and(|owners| owners.contains_key(&host));
            let resident =
                owns && resident_hosts.is_some_and(|resident_hosts| resident_hosts.contains(&host));
            ranks.push(Rank {
                no_digest: !self.digests.contains_key(&host),
                not_chosen: best != Some(host),
                cold: !resident,
                not_owner: !owns,
                load: self.candidate(host, 0, true).load_quarters(),
                tiebreak: hash(&[salt.to_le_bytes(), u64::from(host).to_le_bytes()].concat()),
                host,
            });
        }
        ranks.sort_unstable();
        self.spread_domains(ranks.into_iter().map(|rank| rank.host).collect())
    }

    /// Returns the first hosts of the ranking. If all of them share a failure domain, the
    /// last one is replaced by the best host of another domain.
    fn spread_domains(&self, ranked: Vec<HostId>) -> Vec<HostId> {
        let Some(first) = ranked.first().map(|host| &self.hosts[host]) else { return ranked };
        let mut entries: Vec<HostId> = ranked.iter().copied().take(MAX_ENTRIES).collect();
        let other = ranked.iter().find(|host| self.hosts[host] != *first);
        if let Some(other) = other
            && entries.iter().all(|host| self.hosts[host] == *first)
        {
            entries.truncate(MAX_ENTRIES - 1);
            entries.push(*other);
        }
        entries
    }

    fn owners(&self, pin: &Pin) -> Option<&Owners> {
        match pin {
            Pin::Adapter { name, .. } => self.models.get(model_of(name)),
            Pin::Service { service } => self.services.get(service),
        }
    }

    fn choose_owner(
        &self,
        owners: &[Candidate],
        adapter: AdapterId,
        name_hash: u64,
        salt: u64,
    ) -> Option<OwnerChoice> {
        let resident_hosts = self.resident_hosts.get(&adapter);
        let is_resident =
            |owner: &&Candidate| resident_hosts.is_some_and(|hosts| hosts.contains(&owner.host));
        let free = owners.iter().filter(is_resident).filter(|owner| !owner.is_full());
        if let Some(best) = less_loaded(free, salt) {
            return Some(OwnerChoice { host: best.host, resident: true });
        }
        let free = owners.iter().filter(|owner| !owner.is_full());
        if let Some(home) = home(free, name_hash) {
            return Some(OwnerChoice { host: home.host, resident: false });
        }
        if let Some(best) = less_loaded(owners.iter().filter(is_resident), salt) {
            return Some(OwnerChoice { host: best.host, resident: true });
        }
        let home = home(owners.iter(), name_hash)?;
        Some(OwnerChoice { host: home.host, resident: false })
    }

    fn candidates(
        &self,
        now: Duration,
        owners: &Owners,
        domain: &str,
        tried: &[HostId],
    ) -> Vec<Candidate> {
        let mut candidates = Vec::with_capacity(owners.len());
        for (&host, &requests) in owners {
            if tried.contains(&host) || !self.is_usable(now, host) {
                continue;
            }
            let same_domain = self.hosts.get(&host).is_some_and(|other| other == domain);
            candidates.push(self.candidate(host, requests, same_domain));
        }
        candidates
    }

    fn candidate(&self, host: HostId, requests: u32, same_domain: bool) -> Candidate {
        let digest = self.digests.get(&host);
        let capacity = digest.map_or(requests, |digest| digest.capacity.max(requests));
        let (running, queued) = digest.map_or((0, 0), |digest| (digest.running, digest.queued));
        Candidate { host, same_domain, weight: requests.max(1), capacity, running, queued }
    }

    /// Returns whether another host could take over this host's targets.
    pub fn has_successor(&self, now: Duration) -> bool {
        let mut others = self.hosts.keys().filter(|host| self.own_id != Some(**host));
        others.any(|host| self.is_usable(now, *host))
    }

    fn is_usable(&self, now: Duration, host: HostId) -> bool {
        if self.excluded.contains(&host) && self.own_id != Some(host) {
            return false;
        }
        if self.unreachable.get(&host).is_some_and(|until| now < *until) {
            return false;
        }
        !self.digests.get(&host).is_some_and(|digest| digest.leaving)
    }

    fn set_digest(&mut self, host: HostId, digest: Digest) {
        if let Some(old) = self.digests.remove(&host) {
            for row in &old.resident {
                let Some(hosts) = self.resident_hosts.get_mut(&row.adapter) else { continue };
                hosts.remove(&host);
                if hosts.is_empty() {
                    self.resident_hosts.remove(&row.adapter);
                }
            }
        }
        for row in &digest.resident {
            if row.targets > 0 {
                self.resident_hosts.entry(row.adapter).or_default().insert(host);
            }
        }
        self.digests.insert(host, digest);
    }
}

/// Returns the base model in `model@adapter@version`.
fn model_of(name: &str) -> &str {
    name.split('@').next().unwrap_or(name)
}
