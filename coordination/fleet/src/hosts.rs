//! Known hosts, and the choice of voters for the replicated state.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wire::{HostId, HostRecord};

/// Time after its last message until a host no longer counts as live.
const HOST_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that the lowest seed waits for other hosts with disks before it names the founder of the
/// group.
const GATHER_TIME: Duration = Duration::from_millis(900);
/// Maximum number of voters. More than half of the hosts with disks must suffice to continue, so
/// all of them vote up to this number.
const MAX_VOTERS: usize = 31;
/// Maximum number of known hosts.
const MAX_HOSTS: usize = 4096;

#[derive(Debug, Clone)]
struct KnownHost {
    record: HostRecord,
    last_message: Duration,
}

/// The hosts that this host knows, including itself.
#[derive(Debug)]
pub(crate) struct Hosts {
    own: HostId,
    known: BTreeMap<HostId, KnownHost>,
    /// The hosts that the log lists; some of them may not be known otherwise.
    listed: BTreeSet<HostId>,
    /// The hosts that are cut off from the targets.
    cut: BTreeSet<HostId>,
    next_candidate: usize,
}

impl Hosts {
    pub(crate) fn new(record: HostRecord) -> Hosts {
        let own = record.host;
        let known = BTreeMap::from([(own, KnownHost { record, last_message: Duration::ZERO })]);
        Hosts { own, known, listed: BTreeSet::new(), cut: BTreeSet::new(), next_candidate: 0 }
    }

    pub(crate) fn own(&self) -> &HostRecord {
        &self.known[&self.own].record
    }

    pub(crate) fn set_ready(&mut self, ready: bool) {
        if let Some(known) = self.known.get_mut(&self.own) {
            known.record.ready = ready;
        }
    }

    /// Merges a record. Returns whether it is new or has changed.
    pub(crate) fn merge(&mut self, record: &HostRecord) -> bool {
        let known = self.known.get(&record.host);
        let room = known.is_some() || self.known.len() < MAX_HOSTS;
        if record.host == self.own || !room || known.is_some_and(|it| it.record == *record) {
            return false;
        }
        let last_message =
            self.known.get(&record.host).map_or(Duration::ZERO, |it| it.last_message);
        self.known.insert(record.host, KnownHost { record: record.clone(), last_message });
        true
    }

    /// Records that a message from a host arrived.
    pub(crate) fn record_message(&mut self, now: Duration, host: HostId) {
        if let Some(known) = self.known.get_mut(&host) {
            known.last_message = now;
        }
    }

    pub(crate) fn record(&self, host: HostId) -> Option<&HostRecord> {
        self.known.get(&host).map(|it| &it.record)
    }

    pub(crate) fn records(&self) -> Vec<HostRecord> {
        self.known.values().map(|it| it.record.clone()).collect()
    }

    /// All other hosts, known or listed.
    pub(crate) fn others(&self) -> Vec<HostId> {
        self.all().into_iter().filter(|&it| it != self.own).collect()
    }

    pub(crate) fn set_listed(&mut self, hosts: BTreeSet<HostId>) {
        self.listed = hosts;
    }

    /// Number of known hosts, including this one.
    pub(crate) fn len(&self) -> usize {
        self.known.len()
    }

    /// Records whether a host is cut off from the targets.
    pub(crate) fn set_cut(&mut self, host: HostId, cut: bool) {
        if cut {
            self.cut.insert(host);
        } else {
            self.cut.remove(&host);
        }
    }

    pub(crate) fn cut(&self) -> impl Iterator<Item = HostId> {
        self.cut.iter().copied()
    }

    pub(crate) fn clear_cut(&mut self) {
        self.cut.clear();
    }

    pub(crate) fn is_cut(&self, host: HostId) -> bool {
        self.cut.contains(&host)
    }

    /// All hosts, known or listed, including this one.
    pub(crate) fn all(&self) -> Vec<HostId> {
        let known = self.known.keys().copied();
        known.chain(self.listed.iter().copied()).collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Whether the last message of another host came before `time`, or none has come.
    pub(crate) fn is_silent_since(&self, host: HostId, time: Duration) -> bool {
        host != self.own && self.known.get(&host).is_none_or(|it| it.last_message < time)
    }

    /// Whether a host has sent a message within [`HOST_TIMEOUT`]; always true for this host.
    pub(crate) fn is_live(&self, now: Duration, host: HostId) -> bool {
        host == self.own
            || self.known.get(&host).is_some_and(|it| it.last_message + HOST_TIMEOUT > now)
    }

    /// Live hosts, including this one.
    pub(crate) fn live(&self, now: Duration) -> Vec<HostId> {
        self.known.keys().copied().filter(|&it| self.is_live(now, it)).collect()
    }

    /// Hosts that accept callers' requests.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &HostRecord> {
        self.known.values().map(|it| &it.record).filter(|it| it.ready)
    }

    /// Marks hosts that are no longer live as not ready, and returns their records.
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<HostRecord> {
        let mut silent = Vec::new();
        for (&host, known) in &mut self.known {
            if host != self.own && known.record.ready && known.last_message + HOST_TIMEOUT <= now {
                known.record.ready = false;
                silent.push(known.record.clone());
            }
        }
        silent
    }

    /// Returns the hosts to send join messages to: the seeds and one other host, a different one
    /// each time.
    pub(crate) fn join_candidates(&mut self, seeds: &[HostId]) -> BTreeSet<HostId> {
        let mut hosts: BTreeSet<HostId> = seeds.iter().copied().collect();
        let others = self.others();
        if !others.is_empty() {
            hosts.insert(others[self.next_candidate % others.len()]);
            self.next_candidate += 1;
        }
        hosts.remove(&self.own);
        hosts
    }

    /// Returns the host that bootstraps the group. Only the lowest seed chooses it, at the first
    /// start of the system: itself if it has a disk, otherwise the lowest host that has one.
    pub(crate) fn founder(
        &self,
        now: Duration,
        first_start: bool,
        seeds: &[HostId],
    ) -> Option<HostId> {
        if !first_start || seeds.iter().min() != Some(&self.own) || now < GATHER_TIME {
            return None;
        }
        if self.own().disk {
            return Some(self.own);
        }
        self.known.values().find(|it| it.record.disk).map(|it| it.record.host)
    }

    /// Returns the hosts that should vote: live hosts with disks, and silent members only while
    /// fewer than `needed` such hosts are live. An even number of voters tolerates no more losses
    /// than the odd number below it, and neither half of it could continue after a partition into
    /// two halves. If more than `needed` would vote, one of an even number therefore stays out.
    pub(crate) fn voters(&self, now: Duration, members: &[HostId], needed: usize) -> Vec<HostId> {
        let is_candidate = |host: &HostId| {
            self.record(*host).is_some_and(|it| it.disk) && self.is_live(now, *host)
        };
        let mut voters: Vec<HostId> = members.iter().copied().filter(is_candidate).collect();
        for host in self.live(now) {
            if voters.len() < MAX_VOTERS && !voters.contains(&host) && is_candidate(&host) {
                voters.push(host);
            }
        }
        if voters.len() > needed && voters.len().is_multiple_of(2) {
            voters.pop();
        }
        let enough = voters.len() >= needed;
        for &host in members {
            if !enough && !voters.contains(&host) {
                voters.push(host);
            }
        }
        voters.sort_unstable();
        voters
    }
}
