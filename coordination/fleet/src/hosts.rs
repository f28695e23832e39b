//! The hosts that are known, and who should hold the replicated state.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wire::{HostCard, HostId};

/// How long a host counts as there after it was last heard of.
const HEARD_FOR: Duration = Duration::from_secs(3);
/// How long the first host of the system waits for others with disks.
const GATHER: Duration = Duration::from_millis(900);
/// The most voters. More than half of the hosts with disks have to be enough to go
/// on, so all of them vote as long as there are no more than this.
const MAX_VOTERS: usize = 31;
/// Hosts that are remembered.
const MAX_HOSTS: usize = 4096;

#[derive(Debug, Clone)]
struct Known {
    card: HostCard,
    heard: Duration,
}

/// The hosts.
#[derive(Debug)]
pub(crate) struct Hosts {
    own: HostId,
    known: BTreeMap<HostId, Known>,
    asked: usize,
}

impl Hosts {
    pub(crate) fn new(card: HostCard) -> Hosts {
        let own = card.host;
        let known = BTreeMap::from([(own, Known { card, heard: Duration::ZERO })]);
        Hosts { own, known, asked: 0 }
    }

    pub(crate) fn own(&self) -> &HostCard {
        &self.known[&self.own].card
    }

    pub(crate) fn set_ready(&mut self, ready: bool) {
        if let Some(known) = self.known.get_mut(&self.own) {
            known.card.ready = ready;
        }
    }

    /// Takes in a card. Returns whether it is new.
    pub(crate) fn merge(&mut self, card: &HostCard) -> bool {
        let known = self.known.get(&card.host);
        let room = known.is_some() || self.known.len() < MAX_HOSTS;
        if card.host == self.own || !room || known.is_some_and(|it| it.card == *card) {
            return false;
        }
        let heard = self.known.get(&card.host).map_or(Duration::ZERO, |it| it.heard);
        self.known.insert(card.host, Known { card: card.clone(), heard });
        true
    }

    /// Notes that a host was heard of.
    pub(crate) fn hear(&mut self, now: Duration, host: HostId) {
        if let Some(known) = self.known.get_mut(&host) {
            known.heard = now;
        }
    }

    pub(crate) fn card(&self, host: HostId) -> Option<&HostCard> {
        self.known.get(&host).map(|it| &it.card)
    }

    pub(crate) fn cards(&self) -> Vec<HostCard> {
        self.known.values().map(|it| it.card.clone()).collect()
    }

    pub(crate) fn others(&self) -> Vec<HostId> {
        self.known.keys().copied().filter(|&it| it != self.own).collect()
    }

    /// Hosts that are known, this one included.
    pub(crate) fn len(&self) -> usize {
        self.known.len()
    }

    pub(crate) fn all(&self) -> Vec<HostId> {
        self.known.keys().copied().collect()
    }

    /// Whether a host was heard of lately.
    pub(crate) fn is_heard(&self, now: Duration, host: HostId) -> bool {
        host == self.own || self.known.get(&host).is_some_and(|it| it.heard + HEARD_FOR > now)
    }

    /// Hosts that were heard of lately, this one included.
    pub(crate) fn heard(&self, now: Duration) -> Vec<HostId> {
        self.known.keys().copied().filter(|&it| self.is_heard(now, it)).collect()
    }

    /// Hosts that take callers.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &HostCard> {
        self.known.values().map(|it| &it.card).filter(|it| it.ready)
    }

    /// Marks hosts as not ready that have been silent, and returns them.
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<HostCard> {
        let mut silent = Vec::new();
        for (&host, known) in &mut self.known {
            if host != self.own && known.card.ready && known.heard + HEARD_FOR <= now {
                known.card.ready = false;
                silent.push(known.card.clone());
            }
        }
        silent
    }

    /// Returns whom to ask for the leader: the seeds, and one of the others,
    /// another one each time.
    pub(crate) fn ask(&mut self, seeds: &[HostId]) -> BTreeSet<HostId> {
        let mut hosts: BTreeSet<HostId> = seeds.iter().copied().collect();
        let others = self.others();
        if !others.is_empty() {
            hosts.insert(others[self.asked % others.len()]);
            self.asked += 1;
        }
        hosts.remove(&self.own);
        hosts
    }

    /// At the system's first start, the lowest seed names the host that founds
    /// the group: itself if it has a disk, otherwise the lowest host that has.
    pub(crate) fn founder(
        &self,
        now: Duration,
        first_start: bool,
        seeds: &[HostId],
    ) -> Option<HostId> {
        if !first_start || seeds.iter().min() != Some(&self.own) || now < GATHER {
            return None;
        }
        if self.own().disk {
            return Some(self.own);
        }
        self.known.values().find(|it| it.card.disk).map(|it| it.card.host)
    }

    /// Returns which hosts should vote: those with disks that are there, and
    /// members that are silent only while fewer than `needed` are there. An even
    /// number bears no more losses than the odd one below it, and neither half of
    /// it could go on after a cut between two halves: then one host stands by.
    pub(crate) fn voters(&self, now: Duration, members: &[HostId], needed: usize) -> Vec<HostId> {
        let there =
            |host: &HostId| self.card(*host).is_some_and(|it| it.disk) && self.is_heard(now, *host);
        let mut voters: Vec<HostId> = members.iter().copied().filter(there).collect();
        for host in self.heard(now) {
            if voters.len() < MAX_VOTERS && !voters.contains(&host) && there(&host) {
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
