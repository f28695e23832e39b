//! What a host knows of the other hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wire::{AdapterId, Digest, DomainId, Grant, HostId, Pin, TargetId, TargetKind};

use crate::pick::{Candidate, hash, home, lighter};

/// How long a host that did not answer is left out.
const SUSPECT_TIME: Duration = Duration::from_secs(3);
/// Entry addresses given to a caller.
const ENTRIES: usize = 3;

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

/// How good an entry a host is for a caller; lower is better.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Nothing is known of its load.
    unknown: bool,
    /// The request would go to another owner.
    detour: bool,
    /// Its targets do not hold the adapter.
    cold: bool,
    /// It owns no target of the wanted kind.
    foreign: bool,
    load: u32,
    /// Spreads callers over equal hosts.
    order: u64,
    host: HostId,
}

/// Owners of one kind of target with the requests their targets run at once.
type Owners = BTreeMap<HostId, u32>;

/// Digests of all hosts, from the leader's grants.
#[derive(Debug, Default)]
pub struct Directory {
    models: BTreeMap<String, Owners>,
    services: BTreeMap<String, Owners>,
    hosts: BTreeMap<HostId, DomainId>,
    digests: BTreeMap<HostId, Digest>,
    /// Hosts that hold an adapter, from the digests.
    holders: BTreeMap<AdapterId, BTreeSet<HostId>>,
    own: Option<HostId>,
    /// Hosts without a lease or about to leave, from the latest grant.
    closed: BTreeSet<HostId>,
    /// Hosts that did not answer, with the time until which they are left out.
    silent: BTreeMap<HostId, Duration>,
}

impl Directory {
    /// Replaces the targets and their owners after a change of the registry.
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

    /// Replaces the hosts with their failure domains.
    pub fn set_hosts(&mut self, hosts: Vec<(HostId, DomainId)>) {
        self.hosts = hosts.into_iter().collect();
    }

    /// Returns the failure domain of a host.
    pub fn domain(&self, host: HostId) -> Option<&DomainId> {
        self.hosts.get(&host)
    }

    /// Takes the digests of a grant that the host's lease holder has taken.
    /// Others, late or repeated ones, must be left out.
    pub fn granted(&mut self, now: Duration, grant: &Grant) {
        self.silent.retain(|_, until| now < *until);
        self.closed = grant.suspect.iter().chain(&grant.leaving).copied().collect();
        for (host, digest) in &grant.digests {
            if self.own != Some(*host) {
                self.set_digest(*host, digest.clone());
            }
        }
    }

    /// Replaces this host's own digest.
    pub fn set_own(&mut self, host: HostId, digest: Digest) {
        self.own = Some(host);
        self.set_digest(host, digest);
    }

    /// Notes that a host did not answer. The note holds for a few seconds.
    pub fn suspect(&mut self, now: Duration, host: HostId) {
        self.silent.insert(host, now + SUSPECT_TIME);
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
        let salt = now.as_nanos() as u64;
        match pin {
            Pin::Service { service } => {
                let owners = self.candidates(now, self.services.get(service)?, domain, tried);
                let best = lighter(owners.iter(), salt)?;
                Some(Choice { host: best.host, resident: true })
            }
            Pin::Adapter { id, name } => {
                let owners = self.candidates(now, self.models.get(model_of(name))?, domain, tried);
                self.choose_owner(&owners, *id, hash(name.as_bytes()), salt)
            }
        }
    }

    /// Returns entry hosts for a caller, best first: over two failure domains
    /// or more where there are, none that is leaving, suspect or lagging.
    pub fn entries(&self, now: Duration, pin: Option<&Pin>) -> Vec<HostId> {
        let owners = pin.and_then(|pin| self.owners(pin));
        // Where a request would go by itself: the first of the entries.
        let choice = pin.and_then(|pin| self.choose(now, pin, "", &[]));
        let best = choice.map(|choice| choice.host);
        let holders = match pin {
            Some(Pin::Adapter { id, .. }) => self.holders.get(id),
            _ => None,
        };
        let salt = hash(&now.as_nanos().to_le_bytes());
        let mut ranks = Vec::new();
        for &host in self.hosts.keys() {
            if !self.is_usable(now, host) {
                continue;
            }
            let owns = owners.is_some_and(|owners| owners.contains_key(&host));
            let holds = owns && holders.is_some_and(|holders| holders.contains(&host));
            ranks.push(Rank {
                unknown: !self.digests.contains_key(&host),
                detour: best != Some(host),
                cold: !holds,
                foreign: !owns,
                load: self.candidate(host, 0, true).quarters(),
                order: hash(&[salt.to_le_bytes(), u64::from(host).to_le_bytes()].concat()),
                host,
            });
        }
        ranks.sort_unstable();
        self.spread(ranks.into_iter().map(|rank| rank.host).collect())
    }

    /// Takes the first hosts, the last of them from another failure domain if
    /// all would share one.
    fn spread(&self, ranked: Vec<HostId>) -> Vec<HostId> {
        let Some(first) = ranked.first().map(|host| &self.hosts[host]) else { return ranked };
        let mut entries: Vec<HostId> = ranked.iter().copied().take(ENTRIES).collect();
        let other = ranked.iter().find(|host| self.hosts[host] != *first);
        if let Some(other) = other
            && entries.iter().all(|host| self.hosts[host] == *first)
        {
            entries.truncate(ENTRIES - 1);
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
        name: u64,
        salt: u64,
    ) -> Option<Choice> {
        let holders = self.holders.get(&adapter);
        let holds = |owner: &&Candidate| holders.is_some_and(|hosts| hosts.contains(&owner.host));
        let free = owners.iter().filter(holds).filter(|owner| !owner.is_full());
        if let Some(best) = lighter(free, salt) {
            return Some(Choice { host: best.host, resident: true });
        }
        let free = owners.iter().filter(|owner| !owner.is_full());
        if let Some(home) = home(free, name) {
            return Some(Choice { host: home.host, resident: false });
        }
        if let Some(best) = lighter(owners.iter().filter(holds), salt) {
            return Some(Choice { host: best.host, resident: true });
        }
        let home = home(owners.iter(), name)?;
        Some(Choice { host: home.host, resident: false })
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
            let near = self.hosts.get(&host).is_some_and(|other| other == domain);
            candidates.push(self.candidate(host, requests, near));
        }
        candidates
    }

    fn candidate(&self, host: HostId, requests: u32, near: bool) -> Candidate {
        let digest = self.digests.get(&host);
        let capacity = digest.map_or(requests, |digest| digest.capacity.max(requests));
        let (running, queued) = digest.map_or((0, 0), |digest| (digest.running, digest.queued));
        Candidate { host, near, weight: requests.max(1), capacity, running, queued }
    }

    /// Returns whether another host could take over this host's targets.
    pub fn has_successor(&self, now: Duration) -> bool {
        let mut others = self.hosts.keys().filter(|host| self.own != Some(**host));
        others.any(|host| self.is_usable(now, *host))
    }

    fn is_usable(&self, now: Duration, host: HostId) -> bool {
        if self.closed.contains(&host) && self.own != Some(host) {
            return false;
        }
        if self.silent.get(&host).is_some_and(|until| now < *until) {
            return false;
        }
        !self.digests.get(&host).is_some_and(|digest| digest.leaving)
    }

    fn set_digest(&mut self, host: HostId, digest: Digest) {
        if let Some(old) = self.digests.remove(&host) {
            for row in &old.resident {
                let Some(hosts) = self.holders.get_mut(&row.adapter) else { continue };
                hosts.remove(&host);
                if hosts.is_empty() {
                    self.holders.remove(&row.adapter);
                }
            }
        }
        for row in &digest.resident {
            if row.targets > 0 {
                self.holders.entry(row.adapter).or_default().insert(host);
            }
        }
        self.digests.insert(host, digest);
    }
}

/// Returns the base model in `model@adapter@version`.
fn model_of(name: &str) -> &str {
    name.split('@').next().unwrap_or(name)
}
