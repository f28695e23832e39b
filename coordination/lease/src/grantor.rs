//! The leader's side of leases.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use wire::{Digest, DomainForce, DomainId, Grant, HostId, Incarnation, Index, Renew, Term};

use crate::{RENEWALS_PER_LEASE, Terms, first_round};

/// The commit history is kept in steps of this part of the allowed lag.
const STEPS_PER_LAG: u32 = 64;
/// Bytes of digests that one grant carries at most, but for a first large one.
const GRANT_DIGEST_BYTES: usize = 1024;
/// Spare room for digests in grants, as a part of what they need.
const SPARE_PARTS: u32 = 2;

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

/// What the leader knows of one run of a host.
#[derive(Debug)]
struct Known {
    incarnation: Incarnation,
    domain: DomainId,
    applied: Index,
    /// The index its first grant demanded.
    demand: Index,
    /// When its lease has run out for certain.
    until: Option<Duration>,
    /// The `sent` of its latest renewal.
    sent: Duration,
    /// Whether the end of its lease was reported.
    reported: bool,
    digest: Option<Digest>,
    /// The round in which the digest was last spread.
    changed: u64,
    /// When that was.
    spread: Option<Duration>,
    /// Whether the digest changed since.
    dirty: bool,
    bytes: usize,
}

/// Grants leases while its host leads.
#[derive(Debug)]
pub struct Grantor {
    terms: Terms,
    since: Duration,
    hosts: BTreeMap<HostId, Known>,
    /// Hosts of the system, whether they were heard or not.
    expected: BTreeSet<HostId>,
    commits: VecDeque<(Duration, Index)>,
    replaced: Vec<(HostId, Incarnation)>,
    /// Hosts by the round in which their digest was last spread.
    rounds: BTreeMap<u64, HostId>,
    round: u64,
    /// Bytes of all digests.
    bytes: usize,
}

impl Grantor {
    /// Starts to lead in a term. Leases of the leader before may run for one
    /// full lease.
    pub fn new(now: Duration, terms: Terms, term: Term) -> Grantor {
        Grantor {
            terms,
            since: now,
            hosts: BTreeMap::new(),
            expected: BTreeSet::new(),
            commits: VecDeque::new(),
            replaced: Vec::new(),
            rounds: BTreeMap::new(),
            round: first_round(term),
            bytes: 0,
        }
    }

    /// Sets the hosts of the system. Once settled, those without a lease are
    /// named as suspect also when this leader never heard of them.
    pub fn set_hosts(&mut self, hosts: impl IntoIterator<Item = HostId>) {
        self.expected = hosts.into_iter().collect();
    }

    /// Notes that the commit index was `commit` at this time. It must cover
    /// this leader's first entry; no lease is granted before it is noted.
    pub fn committed(&mut self, now: Duration, commit: Index) {
        if let Some((at, last)) = self.commits.back_mut() {
            if commit <= *last {
                return;
            }
            if now < *at + self.terms.lag / STEPS_PER_LAG {
                *last = commit;
                return;
            }
        }
        self.commits.push_back((now, commit));
        // The newest entry older than the lag is the one that counts.
        while self.commits.len() > 1 && self.commits[1].0 + self.terms.lag <= now {
            self.commits.pop_front();
        }
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
        let named = renew.round;
        let mut grant = Grant {
            sent: renew.sent,
            incarnation: renew.incarnation,
            term: Duration::ZERO,
            applied: 0,
            round: self.round,
            digests: Vec::new(),
            suspect: Vec::new(),
            leaving: Vec::new(),
        };
        // A renewal that later ones overtook could be shown a higher index than
        // they were, which the host would take for lost state.
        if self.hosts.get(&from).is_some_and(|known| known.is_past(&renew)) {
            return grant;
        }
        self.note(now, from, renew);
        if let Some((_, commit)) = self.commits.back() {
            (grant.term, grant.applied) = self.extend(now, quorum_at, from, *commit);
        }
        (grant.round, grant.digests) = self.digests(from, named);
        grant.suspect = self.suspect(now);
        grant.leaving = self.leaving(now);
        grant
    }

    /// Returns the hosts whose leases count, in order of their numbers.
    pub fn live(&self, now: Duration) -> Vec<LiveHost> {
        let mut live = Vec::new();
        for (&host, known) in &self.hosts {
            if !known.live(now) {
                continue;
            }
            live.push(LiveHost {
                host,
                incarnation: known.incarnation,
                domain: known.domain.clone(),
                applied: known.applied,
                leaving: known.leaving(),
            });
        }
        live
    }

    /// Returns whether this run of a host holds a lease.
    pub fn is_live(&self, now: Duration, host: HostId, incarnation: Incarnation) -> bool {
        let Some(known) = self.hosts.get(&host) else { return false };
        known.incarnation == incarnation && known.live(now)
    }

    /// Returns whether targets of hosts without a lease may be moved: all
    /// leases of earlier leaders have run out.
    pub fn settled(&self, now: Duration) -> bool {
        now >= self.since + self.terms.lease + self.terms.margin
    }

    /// Returns hosts whose lease ran out since the last call, with the first
    /// run that may still be alive. A host that came back as a new run counts:
    /// the run before is reported lost at once.
    pub fn lost(&mut self, now: Duration) -> Vec<(HostId, Incarnation)> {
        let mut lost = std::mem::take(&mut self.replaced);
        for (&host, known) in &mut self.hosts {
            if known.reported || known.until.is_none_or(|until| now < until) {
                continue;
            }
            known.reported = true;
            lost.push((host, known.incarnation.saturating_add(1)));
        }
        lost
    }

    /// Returns per failure domain how many live hosts have applied the index
    /// and how many have not. Until this leader is settled, hosts it has not
    /// heard of may hold leases of an earlier leader: a row without a domain's
    /// name, with one lagging host, stands for them.
    pub fn in_force(&self, now: Duration, index: Index) -> Vec<DomainForce> {
        let mut domains: BTreeMap<&DomainId, (u32, u32)> = BTreeMap::new();
        for known in self.hosts.values() {
            let (applied, lagging) = domains.entry(&known.domain).or_default();
            if !known.live(now) {
                continue;
            }
            if known.applied >= index {
                *applied += 1;
            } else {
                *lagging += 1;
            }
        }
        let mut rows = Vec::new();
        if !self.settled(now) {
            rows.push(DomainForce { domain: DomainId::new(), applied: 0, lagging: 1 });
        }
        for (domain, (applied, lagging)) in domains {
            rows.push(DomainForce { domain: domain.clone(), applied, lagging });
        }
        rows
    }

    /// Takes what a renewal says of its host.
    fn note(&mut self, now: Duration, from: HostId, renew: Renew) {
        if self.hosts.get(&from).is_some_and(|known| renew.incarnation > known.incarnation) {
            self.replaced.push((from, renew.incarnation));
            self.drop_digest(from);
            self.hosts.remove(&from);
        }
        let known = self.hosts.entry(from).or_insert_with(|| Known::new(&renew));
        known.sent = renew.sent;
        known.domain = renew.domain;
        known.applied = known.applied.max(renew.applied);
        if let Some(digest) = renew.digest {
            self.set_digest(from, digest);
        }
        self.spread(now, from);
    }

    /// Extends a host's lease unless it lags. Returns its length and the index
    /// the host must have applied.
    fn extend(
        &mut self,
        now: Duration,
        quorum_at: Option<Duration>,
        from: HostId,
        commit: Index,
    ) -> (Duration, Index) {
        let overdue = self.overdue(now);
        let lease = self.terms.lease;
        let margin = self.terms.margin;
        let Some(known) = self.hosts.get_mut(&from) else { return (Duration::ZERO, commit) };
        if !known.live(now) {
            known.demand = commit;
        }
        known.demand = known.demand.max(overdue);
        if known.applied < overdue {
            return (Duration::ZERO, known.demand);
        }
        let end = quorum_at.map_or(Duration::ZERO, |at| at.min(now) + lease);
        let term = end.saturating_sub(now);
        if term.is_zero() {
            return (Duration::ZERO, known.demand);
        }
        known.until = known.until.max(Some(now + term + margin));
        known.reported = false;
        (term, known.demand)
    }

    /// Returns the index that every host must have applied by now.
    fn overdue(&self, now: Duration) -> Index {
        let old = self.commits.iter().take_while(|(at, _)| *at + self.terms.lag <= now);
        old.map(|(_, commit)| *commit).last().unwrap_or(0)
    }

    fn set_digest(&mut self, host: HostId, digest: Digest) {
        let Some(known) = self.hosts.get_mut(&host) else { return };
        if known.digest.as_ref() == Some(&digest) {
            return;
        }
        self.bytes -= known.bytes;
        known.bytes = wire::encode(&digest).len();
        self.bytes += known.bytes;
        known.digest = Some(digest);
        known.dirty = true;
    }

    /// Puts a host's changed digest into a new round, not sooner than grants
    /// can carry all digests: one that changes faster than it is carried would
    /// push others back for ever.
    fn spread(&mut self, now: Duration, host: HostId) {
        let pace = self.pace();
        let Some(known) = self.hosts.get_mut(&host) else { return };
        if !known.dirty || known.spread.is_some_and(|last| now < last + pace) {
            return;
        }
        known.dirty = false;
        known.spread = Some(now);
        self.rounds.remove(&known.changed);
        self.round += 1;
        known.changed = self.round;
        self.rounds.insert(self.round, host);
    }

    /// Returns how long grants take to carry all digests to one host; zero if
    /// one grant can.
    fn pace(&self) -> Duration {
        let grants = (self.bytes / GRANT_DIGEST_BYTES) as u32;
        let carried = self.terms.lease / RENEWALS_PER_LEASE * grants;
        carried + carried / SPARE_PARTS
    }

    fn drop_digest(&mut self, host: HostId) {
        if let Some(known) = self.hosts.get(&host) {
            self.rounds.remove(&known.changed);
            self.bytes -= known.bytes;
        }
    }

    /// Returns digests of other hosts that changed since a round, oldest first,
    /// and the round that this brings the receiver to.
    fn digests(&self, to: HostId, named: u64) -> (u64, Vec<(HostId, Digest)>) {
        // A round of another leader, or of none: everything is new.
        let from = if first_round_of(named) == first_round_of(self.round) { named } else { 0 };
        let mut digests = Vec::new();
        let mut bytes = 0;
        let mut round = first_round_of(self.round);
        for (&changed, host) in self.rounds.range(from + 1..) {
            let Some(known) = self.hosts.get(host) else { continue };
            let Some(digest) = &known.digest else { continue };
            if bytes > 0 && bytes + known.bytes > GRANT_DIGEST_BYTES {
                return (round.max(from), digests);
            }
            round = changed;
            if *host != to {
                bytes += known.bytes;
                digests.push((*host, digest.clone()));
            }
        }
        (self.round, digests)
    }

    /// Returns hosts that are about to leave. They are named with every grant:
    /// that must not wait for their digest's turn.
    fn leaving(&self, now: Duration) -> Vec<HostId> {
        let leaving = self.hosts.iter().filter(|(_, known)| known.live(now) && known.leaving());
        leaving.map(|(host, _)| *host).collect()
    }

    /// Returns hosts without a lease.
    fn suspect(&self, now: Duration) -> Vec<HostId> {
        let mut suspect = Vec::new();
        for (&host, known) in &self.hosts {
            if known.until.is_some() && !known.live(now) {
                suspect.push(host);
            }
        }
        if self.settled(now) {
            for host in &self.expected {
                if self.hosts.get(host).is_none_or(|known| known.until.is_none()) {
                    suspect.push(*host);
                }
            }
        }
        suspect.sort_unstable();
        suspect
    }
}

impl Known {
    fn new(renew: &Renew) -> Known {
        Known {
            incarnation: renew.incarnation,
            domain: renew.domain.clone(),
            applied: renew.applied,
            demand: 0,
            until: None,
            sent: renew.sent,
            reported: false,
            digest: None,
            changed: 0,
            spread: None,
            dirty: false,
            bytes: 0,
        }
    }

    /// Returns whether a renewal is of an earlier run or older than another.
    fn is_past(&self, renew: &Renew) -> bool {
        (renew.incarnation, renew.sent) < (self.incarnation, self.sent)
    }

    fn leaving(&self) -> bool {
        self.digest.as_ref().is_some_and(|digest| digest.leaving)
    }

    fn live(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

fn first_round_of(round: u64) -> u64 {
    first_round(crate::epoch(round))
}
