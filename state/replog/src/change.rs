//! Changes of the membership, one member at a time.

use std::time::Duration;

use wire::{EntryBody, HostId, Index, Member, Membership, Role as Part, VoterId};

use crate::{
    Replica,
    group::{is_quorum, member, voters, with, within, without},
    lead::{Arrival, Lead, OBSERVER_ELECTIONS},
    peer::Peer,
    replica::Role,
};

/// Heartbeats within which the voters that stay must have answered before
/// another is removed.
const REMOVAL_HEARTBEATS: u32 = 3;

impl Replica {
    pub(crate) fn set_voters(&mut self, hosts: Vec<HostId>) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        lead.want = Some(hosts);
        self.step_members();
    }

    /// Serves a host that asked for it.
    pub(crate) fn serve(&mut self, from: HostId, voter: Option<VoterId>, last: Index) {
        self.note_arrival(from, voter);
        let (now, commit) = (self.now, self.commit);
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        if lead.peers.get(&from).is_some_and(|p| p.role.is_some()) {
            return;
        }
        lead.peers.insert(from, Peer::new(now, voter, None, last.min(commit)));
        self.resume(from);
    }

    /// Remembers a data folder that is not a member.
    pub(crate) fn note_arrival(&mut self, from: HostId, voter: Option<VoterId>) {
        let Some(voter) = voter else {
            return;
        };
        let known = member(self.log.members(), from).is_some_and(|m| m.voter == voter);
        let at = self.now;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        if known {
            lead.arrivals.remove(&from);
        } else {
            lead.arrivals.insert(from, Arrival { voter, at });
        }
    }

    /// Takes the next step towards the membership that is wanted, unless the
    /// last one is not committed yet.
    pub(crate) fn step_members(&mut self) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        if self.commit < lead.start || self.log.members_index() > self.commit {
            return;
        }
        let Some(next) = self.next_members(lead) else {
            return;
        };
        self.append_body(EntryBody::Members(next));
        self.sync_peers();
        self.replicate_all();
    }

    fn next_members(&self, lead: &Lead) -> Option<Membership> {
        let members = self.log.members();
        let change = self.promotion(lead).or_else(|| self.replacement(lead));
        if let Some(member) = change.or_else(|| self.addition(lead)) {
            return Some(with(members, member));
        }
        self.removal(lead).map(|host| without(members, host))
    }

    /// Finds a learner that has caught up, with its own membership on its disk.
    fn promotion(&self, lead: &Lead) -> Option<Member> {
        let goal = lead.goal.max(self.log.members_index());
        for &member in &self.log.members().members {
            if member.role == Part::Voter || !lead.wants(member.host) {
                continue;
            }
            let Some(peer) = lead.peers.get(&member.host) else {
                continue;
            };
            if peer.matched >= goal && self.is_live(lead, member.host) {
                return Some(Member { role: Part::Voter, ..member });
            }
        }
        None
    }

    /// Finds a member whose disk was lost: its host shows another data folder,
    /// and the old one has been silent.
    fn replacement(&self, lead: &Lead) -> Option<Member> {
        for &member in &self.log.members().members {
            let Some(arrival) = self.recent_arrival(lead, member.host) else {
                continue;
            };
            if arrival.voter == member.voter || self.is_live(lead, member.host) {
                continue;
            }
            return Some(Member { voter: arrival.voter, role: Part::Learner, ..member });
        }
        None
    }

    /// Finds a wanted host that is not a member yet.
    fn addition(&self, lead: &Lead) -> Option<Member> {
        for &host in lead.want.iter().flatten() {
            if member(self.log.members(), host).is_some() {
                continue;
            }
            let Some(arrival) = self.recent_arrival(lead, host) else {
                continue;
            };
            return Some(Member { host, voter: arrival.voter, role: Part::Learner });
        }
        None
    }

    /// Finds a member that is not wanted, once no wanted host is learning and as
    /// many voters are left as are wanted. The leader itself goes last.
    fn removal(&self, lead: &Lead) -> Option<HostId> {
        let members = self.log.members();
        let want = lead.want.as_ref()?;
        let learning = |m: &Member| m.role == Part::Learner && want.contains(&m.host);
        let pending = members.members.iter().any(learning);
        let mut hosts: Vec<HostId> = members.members.iter().map(|m| m.host).collect();
        hosts.sort_by_key(|&h| h == self.settings.host);
        for host in hosts {
            if want.contains(&host) || pending {
                continue;
            }
            if voters(&without(members, host)).count() < want.len() {
                continue;
            }
            if self.can_do_without(lead, host) {
                return Some(host);
            }
        }
        None
    }

    /// Tells whether the voters left without a host have a live quorum.
    fn can_do_without(&self, lead: &Lead, host: HostId) -> bool {
        let left = without(self.log.members(), host);
        let span = self.settings.heartbeat * REMOVAL_HEARTBEATS;
        let live = voters(&left).filter(|m| self.answers(lead, m.host, span)).count();
        live > 0 && is_quorum(&left, live)
    }

    fn is_live(&self, lead: &Lead, host: HostId) -> bool {
        let peer = lead.peers.get(&host);
        let election = self.settings.election;
        host == self.settings.host || peer.is_some_and(|p| within(self.now, p.heard, election))
    }

    /// Tells whether a host answered a round that was sent within `span`.
    fn answers(&self, lead: &Lead, host: HostId, span: Duration) -> bool {
        let acked = lead.peers.get(&host).and_then(|p| p.acked);
        host == self.settings.host || acked.is_some_and(|at| within(self.now, at, span))
    }

    /// Tells whether a member's data folder answers, and no other one of its host.
    pub(crate) fn is_heard(&self, lead: &Lead, member: &Member) -> bool {
        let other = self.recent_arrival(lead, member.host);
        other.is_none() && self.answers(lead, member.host, self.settings.election)
    }

    /// Tells whether a host is no member and shows no data folder.
    pub(crate) fn is_absent(&self, lead: &Lead, host: HostId) -> bool {
        let span = self.settings.election * OBSERVER_ELECTIONS;
        let arrival = lead.arrivals.get(&host);
        let seen = arrival.is_some_and(|it| within(self.now, it.at, span));
        !seen && member(self.log.members(), host).is_none()
    }

    fn recent_arrival(&self, lead: &Lead, host: HostId) -> Option<Arrival> {
        let span: Duration = self.settings.election;
        let arrival = lead.arrivals.get(&host).copied();
        arrival.filter(|a| within(self.now, a.at, span))
    }

    /// Lets a host know at once where the leader stands with it.
    pub(crate) fn resume(&mut self, host: HostId) {
        if !self.send_entries(host) {
            self.send_notice(host);
        }
    }
}

impl Lead {
    fn wants(&self, host: HostId) -> bool {
        self.want.as_ref().is_none_or(|w| w.contains(&host))
    }
}
