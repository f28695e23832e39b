//! The leader's side of leases: grants, live hosts, and the spread of host digests.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use wire::{Digest, DomainForce, DomainId, Grant, HostId, Incarnation, Index, Renew, Term};

use crate::{LeaseSettings, RENEWALS_PER_LEASE, first_round};

/// Divisor of the allowed lag that gives the resolution of the commit history.
const STEPS_PER_LAG: u32 = 64;
/// Maximum bytes of digests in one grant. A single larger digest is still sent, alone.
const GRANT_DIGEST_BYTES: usize = 1024;
/// The spare time is the time needed to carry all digests divided by this.
const SPARE_DIVISOR: u32 = 2;

/// A host that holds a lease, as known to the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveHost {
    /// Id of the host.
    pub host: HostId,
    /// Incarnation of the host that holds the lease.
    pub incarnation: Incarnation,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Last log index that the host reported as applied.
    pub applied: Index,
    /// Whether the host has announced that it is leaving.
    pub leaving: bool,
}

/// The leader's state of one incarnation of a host.
#[derive(Debug)]
struct HostState {
    incarnation: Incarnation,
    domain: DomainId,
    applied: Index,
    /// Index that the host must have applied for its lease to count.
    required: Index,
    /// Time by which its lease has certainly expired; `None` if no lease was granted.
    lease_end: Option<Duration>,
    /// `sent` of its latest renewal, by the host's clock.
    sent: Duration,
    /// Whether the expiry of its lease was returned by [`Grantor::take_lost`].
    reported: bool,
    digest: Option<Digest>,
    /// Round in which the digest was last published.
    digest_round: u64,
    /// Time at which the digest was last published.
    published_at: Option<Duration>,
    /// Whether the digest changed after it was last published.
    dirty: bool,
    bytes: usize,
}

/// Grants leases while its host is the leader.
#[derive(Debug)]
pub struct Grantor {
    terms: LeaseSettings,
    led_since: Duration,
    hosts: BTreeMap<HostId, HostState>,
    /// All configured hosts, including those that sent no renewal.
    expected: BTreeSet<HostId>,
    commits: VecDeque<(Duration, Index)>,
    /// Hosts that returned with a new incarnation, since the last call of [`Grantor::take_lost`].
    returned: Vec<(HostId, Incarnation)>,
    /// Hosts by the round in which their digest was last published.
    rounds: BTreeMap<u64, HostId>,
    round: u64,
    /// Total encoded size of all digests.
    bytes: usize,
}

impl Grantor {
    /// Starts as leader of a term. Leases granted by the previous leader may be valid for one more
    /// lease length.
    pub fn new(now: Duration, terms: LeaseSettings, term: Term) -> Grantor {
        Grantor {
            terms,
            led_since: now,
            hosts: BTreeMap::new(),
            expected: BTreeSet::new(),
            commits: VecDeque::new(),
            returned: Vec::new(),
            rounds: BTreeMap::new(),
            round: first_round(term),
            bytes: 0,
        }
    }

    /// Sets the configured hosts. Once this leader is settled, configured hosts without a lease are
    /// listed as suspect even if this leader never received a renewal from them.
    pub fn set_hosts(&mut self, hosts: impl IntoIterator<Item = HostId>) {
        self.expected = hosts.into_iter().collect();
    }

    /// Records the commit index at a point in time. The first call must cover the first entry of
    /// this leader's term; no lease is granted before it.
    pub fn record_commit(&mut self, now: Duration, commit: Index) {
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
        // Of the entries older than the lag only the newest is needed.
        while self.commits.len() > 1 && self.commits[1].0 + self.terms.lag <= now {
            self.commits.pop_front();
        }
    }

    /// Answers a renewal. `quorum_at` is the last time at which a quorum was known to follow this
    /// leader; no lease ends later than one lease length after it.
    pub fn renew(
        &mut self,
        now: Duration,
        quorum_at: Option<Duration>,
        from: HostId,
        renew: Renew,
    ) -> Grant {
        let known_round = renew.round;
        let mut grant = Grant {
            sent: renew.sent,
            incarnation: renew.incarnation,
            duration: Duration::ZERO,
            required: 0,
            round: self.round,
            digests: Vec::new(),
            unleased: Vec::new(),
            leaving: Vec::new(),
        };
        // An answer to a reordered renewal could show a higher index than the answers to later
        // ones. The host would then take those for a loss of replicated state.
        if self.hosts.get(&from).is_some_and(|state| state.is_outdated(&renew)) {
            return grant;
        }
        self.record_renewal(now, from, renew);
        if let Some((_, commit)) = self.commits.back() {
            (grant.duration, grant.required) = self.extend_lease(now, quorum_at, from, *commit);
        }
        (grant.round, grant.digests) = self.digests(from, known_round);
        grant.unleased = self.suspect(now);
        grant.leaving = self.leaving(now);
        grant
    }

    /// Returns the hosts that hold a lease, in ascending order of host number.
    pub fn live(&self, now: Duration) -> Vec<LiveHost> {
        let mut live = Vec::new();
        for (&host, state) in &self.hosts {
            if !state.live(now) {
                continue;
            }
            live.push(LiveHost {
                host,
                incarnation: state.incarnation,
                domain: state.domain.clone(),
                applied: state.applied,
                leaving: state.leaving(),
            });
        }
        live
    }

    /// Returns whether this incarnation of a host holds a lease.
    pub fn is_live(&self, now: Duration, host: HostId, incarnation: Incarnation) -> bool {
        let Some(state) = self.hosts.get(&host) else { return false };
        state.incarnation == incarnation && state.live(now)
    }

    /// Returns whether all leases granted by earlier leaders have expired. Only then may targets of
    /// hosts without a lease be moved.
    pub fn earlier_leases_expired(&self, now: Duration) -> bool {
        now >= self.led_since + self.terms.lease + self.terms.margin
    }

    /// Returns the hosts whose leases expired since the last call, each with its lowest incarnation
    /// that may still be alive. When a host returns with a new incarnation, the previous one is
    /// reported as lost at once.
    pub fn take_lost(&mut self, now: Duration) -> Vec<(HostId, Incarnation)> {
        let mut lost = std::mem::take(&mut self.returned);
        for (&host, state) in &mut self.hosts {
            if state.reported || state.lease_end.is_none_or(|lease_end| now < lease_end) {
                continue;
            }
            state.reported = true;
            lost.push((host, state.incarnation.saturating_add(1)));
        }
        lost
    }

    /// Returns the number of live hosts per failure domain that have applied the index, and the
    /// number that have not. Until this leader is settled, hosts that sent it no renewal may hold
    /// leases of an earlier leader; a row with an empty domain name and one lagging host stands for
    /// them.
    pub fn in_force(&self, now: Duration, index: Index) -> Vec<DomainForce> {
        let mut domains: BTreeMap<&DomainId, (u32, u32)> = BTreeMap::new();
        for state in self.hosts.values() {
            let (applied, lagging) = domains.entry(&state.domain).or_default();
            if !state.live(now) {
                continue;
            }
            if state.applied >= index {
                *applied += 1;
            } else {
                *lagging += 1;
            }
        }
        let mut rows = Vec::new();
        if !self.earlier_leases_expired(now) {
            rows.push(DomainForce { domain: DomainId::new(), applied: 0, lagging: 1 });
        }
        for (domain, (applied, lagging)) in domains {
            rows.push(DomainForce { domain: domain.clone(), applied, lagging });
        }
        rows
    }

    /// Updates the state of a host from its renewal.
    fn record_renewal(&mut self, now: Duration, from: HostId, renew: Renew) {
        if self.hosts.get(&from).is_some_and(|state| renew.incarnation > state.incarnation) {
            self.returned.push((from, renew.incarnation));
            self.remove_digest(from);
            self.hosts.remove(&from);
        }
        let state = self.hosts.entry(from).or_insert_with(|| HostState::new(&renew));
        state.sent = renew.sent;
        state.domain = renew.domain;
        state.applied = state.applied.max(renew.applied);
        if let Some(digest) = renew.digest {
            self.set_digest(from, digest);
        }
        self.publish(now, from);
    }

    /// Extends a host's lease unless the host lags. Returns the length of the lease, zero if
    /// refused, and the index that the host must have applied.
    fn extend_lease(
        &mut self,
        now: Duration,
        quorum_at: Option<Duration>,
        from: HostId,
        commit: Index,
    ) -> (Duration, Index) {
        let min_applied = self.min_applied(now);
        let lease = self.terms.lease;
        let margin = self.terms.margin;
        let Some(state) = self.hosts.get_mut(&from) else { return (Duration::ZERO, commit) };
        if !state.live(now) {
            state.required = commit;
        }
        state.required = state.required.max(min_applied);
        if state.applied < min_applied {
            return (Duration::ZERO, state.required);
        }
        let end = quorum_at.map_or(Duration::ZERO, |at| at.min(now) + lease);
        let length = end.saturating_sub(now);
        if length.is_zero() {
            return (Duration::ZERO, state.required);
        }
        state.lease_end = state.lease_end.max(Some(now + length + margin));
        state.reported = false;
        (length, state.required)
    }

    /// Returns the index that every host must have applied by `now`.
    fn min_applied(&self, now: Duration) -> Index {
        let old = self.commits.iter().take_while(|(at, _)| *at + self.terms.lag <= now);
        old.map(|(_, commit)| *commit).last().unwrap_or(0)
    }

    fn set_digest(&mut self, host: HostId, digest: Digest) {
        let Some(state) = self.hosts.get_mut(&host) else { return };
        if state.digest.as_ref() == Some(&digest) {
            return;
        }
        self.bytes -= state.bytes;
        state.bytes = wire::encode(&digest).len();
        self.bytes += state.bytes;
        state.digest = Some(digest);
        state.dirty = true;
    }

    /// Publishes a host's changed digest in a new round. Digests are published no faster than
    /// grants can carry all of them; otherwise a digest that changes faster would delay others for
    /// ever.
    fn publish(&mut self, now: Duration, host: HostId) {
        let interval = self.publish_interval();
        let Some(state) = self.hosts.get_mut(&host) else { return };
        if !state.dirty || state.published_at.is_some_and(|last| now < last + interval) {
            return;
        }
        state.dirty = false;
        state.published_at = Some(now);
        self.rounds.remove(&state.digest_round);
        self.round += 1;
        state.digest_round = self.round;
        self.rounds.insert(self.round, host);
    }

    /// Returns the minimum time between two publications of a host's digest: the time that grants
    /// take to carry all digests to one host, with spare time; zero if one grant can carry them.
    fn publish_interval(&self) -> Duration {
        let grants = (self.bytes / GRANT_DIGEST_BYTES) as u32;
        let carried = self.terms.lease / RENEWALS_PER_LEASE * grants;
        carried + carried / SPARE_DIVISOR
    }

    fn remove_digest(&mut self, host: HostId) {
        if let Some(state) = self.hosts.get(&host) {
            self.rounds.remove(&state.digest_round);
            self.bytes -= state.bytes;
        }
    }

    /// Returns the digests of other hosts that were published after a round, oldest first, and the
    /// round that the receiver has reached with them.
    fn digests(&self, to: HostId, known_round: u64) -> (u64, Vec<(HostId, Digest)>) {
        // All digests are new to a host whose round is of another leader.
        let from =
            if first_round_of(known_round) == first_round_of(self.round) { known_round } else { 0 };
        let mut digests = Vec::new();
        let mut bytes = 0;
        let mut round = first_round_of(self.round);
        for (&digest_round, host) in self.rounds.range(from + 1..) {
            let Some(state) = self.hosts.get(host) else { continue };
            let Some(digest) = &state.digest else { continue };
            if bytes > 0 && bytes + state.bytes > GRANT_DIGEST_BYTES {
                return (round.max(from), digests);
            }
            round = digest_round;
            if *host != to {
                bytes += state.bytes;
                digests.push((*host, digest.clone()));
            }
        }
        (self.round, digests)
    }

    /// Returns the hosts that have announced that they are leaving. Every grant lists them, because
    /// the notice must not wait until their digest is sent.
    fn leaving(&self, now: Duration) -> Vec<HostId> {
        let leaving = self.hosts.iter().filter(|(_, state)| state.live(now) && state.leaving());
        leaving.map(|(host, _)| *host).collect()
    }

    /// Returns the hosts that are known to hold no lease.
    fn suspect(&self, now: Duration) -> Vec<HostId> {
        let mut suspect = Vec::new();
        for (&host, state) in &self.hosts {
            if state.lease_end.is_some() && !state.live(now) {
                suspect.push(host);
            }
        }
        if self.earlier_leases_expired(now) {
            for host in &self.expected {
                if self.hosts.get(host).is_none_or(|state| state.lease_end.is_none()) {
                    suspect.push(*host);
                }
            }
        }
        suspect.sort_unstable();
        suspect
    }
}

impl HostState {
    fn new(renew: &Renew) -> HostState {
        HostState {
            incarnation: renew.incarnation,
            domain: renew.domain.clone(),
            applied: renew.applied,
            required: 0,
            lease_end: None,
            sent: renew.sent,
            reported: false,
            digest: None,
            digest_round: 0,
            published_at: None,
            dirty: false,
            bytes: 0,
        }
    }

    /// Returns whether a renewal is of an earlier incarnation or was sent before the latest one.
    fn is_outdated(&self, renew: &Renew) -> bool {
        (renew.incarnation, renew.sent) < (self.incarnation, self.sent)
    }

    fn leaving(&self) -> bool {
        self.digest.as_ref().is_some_and(|digest| digest.leaving)
    }

    fn live(&self, now: Duration) -> bool {
        self.lease_end.is_some_and(|lease_end| now < lease_end)
    }
}

fn first_round_of(round: u64) -> u64 {
    first_round(crate::leader_term(round))
}
