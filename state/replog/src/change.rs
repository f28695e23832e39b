//! Membership changes, one member at a time, driven by the leader.

use std::time::Duration;

use wire::{DiskId, EntryBody, HostId, Index, Member, Membership, Role as MemberRole};

use crate::{
    Replica,
    group::{is_quorum, member, voters, with_member, within, without_host},
    lead::{LeaderState, NON_MEMBER_EXPIRY, NonMember},
    peer::Peer,
    replica::Role,
};

/// Heartbeat intervals within which a quorum of the remaining voters must have replied before a
/// member is removed.
const REMOVAL_HEARTBEATS: u32 = 3;

impl Replica {
    pub(crate) fn set_voters(&mut self, hosts: Vec<HostId>) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        lead.desired_voters = Some(hosts);
        self.advance_membership();
    }

    /// Handles the hello of a host: one that is no member becomes a peer without a role, whose log
    /// is assumed to agree up to the lower of `last` and the commit index.
    pub(crate) fn register_peer(&mut self, from: HostId, disk: Option<DiskId>, last: Index) {
        self.record_non_member(from, disk);
        let (now, commit) = (self.now, self.commit);
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        if lead.peers.get(&from).is_some_and(|p| p.role.is_some()) {
            return;
        }
        lead.peers.insert(from, Peer::new(now, disk, None, last.min(commit)));
        self.send_append(from);
    }

    /// Records the data folder of a host if it is not a member, and drops the host's record if it
    /// is.
    pub(crate) fn record_non_member(&mut self, from: HostId, disk: Option<DiskId>) {
        let Some(disk) = disk else {
            return;
        };
        let known = member(self.log.membership(), from).is_some_and(|m| m.disk == disk);
        let seen_at = self.now;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        if known {
            lead.non_members.remove(&from);
        } else {
            lead.non_members.insert(from, NonMember { disk, seen_at });
        }
    }

    /// Appends the next change towards the desired membership, unless the previous change is not
    /// committed yet.
    pub(crate) fn advance_membership(&mut self) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        if self.commit < lead.first_index || self.log.membership_index() > self.commit {
            return;
        }
        let Some(next) = self.next_membership(lead) else {
            return;
        };
        self.append_body(EntryBody::Members(next));
        self.update_peers();
        self.replicate_all();
    }

    /// Returns the membership after the next change, or `None` if none is due or possible.
    fn next_membership(&self, lead: &LeaderState) -> Option<Membership> {
        let members = self.log.membership();
        let change = self.promotion(lead).or_else(|| self.replacement(lead));
        if let Some(member) = change.or_else(|| self.addition(lead)) {
            return Some(with_member(members, member));
        }
        self.removal(lead).map(|host| without_host(members, host))
    }

    /// Finds a desired learner to promote: it is live, has caught up, and has the entry that made
    /// it a member on disk.
    fn promotion(&self, lead: &LeaderState) -> Option<Member> {
        let goal = lead.catchup_index.max(self.log.membership_index());
        for &member in &self.log.membership().members {
            if member.role == MemberRole::Voter || !lead.is_desired(member.host) {
                continue;
            }
            let Some(peer) = lead.peers.get(&member.host) else {
                continue;
            };
            if peer.match_index >= goal && self.is_live(lead, member.host) {
                return Some(Member { role: MemberRole::Voter, ..member });
            }
        }
        None
    }

    /// Finds a member whose disk was lost: its host reports another data folder, and the member's
    /// own has been silent for an election timeout.
    fn replacement(&self, lead: &LeaderState) -> Option<Member> {
        for &member in &self.log.membership().members {
            let Some(non_member) = self.recent_non_member(lead, member.host) else {
                continue;
            };
            if non_member.disk == member.disk || self.is_live(lead, member.host) {
                continue;
            }
            return Some(Member { disk: non_member.disk, role: MemberRole::Learner, ..member });
        }
        None
    }

    /// Finds a desired host that is not a member yet and has recently reported a data folder.
    fn addition(&self, lead: &LeaderState) -> Option<Member> {
        for &host in lead.desired_voters.iter().flatten() {
            if member(self.log.membership(), host).is_some() {
                continue;
            }
            let Some(non_member) = self.recent_non_member(lead, host) else {
                continue;
            };
            return Some(Member { host, disk: non_member.disk, role: MemberRole::Learner });
        }
        None
    }

    /// Finds a member to remove: it is not desired, no desired host is still a learner, and at
    /// least as many voters remain as are desired. The leader itself is removed last.
    fn removal(&self, lead: &LeaderState) -> Option<HostId> {
        let members = self.log.membership();
        let desired = lead.desired_voters.as_ref()?;
        let learning = |m: &Member| m.role == MemberRole::Learner && desired.contains(&m.host);
        let pending = members.members.iter().any(learning);
        let mut hosts: Vec<HostId> = members.members.iter().map(|m| m.host).collect();
        hosts.sort_by_key(|&h| h == self.settings.host);
        for host in hosts {
            if desired.contains(&host) || pending {
                continue;
            }
            if voters(&without_host(members, host)).count() < desired.len() {
                continue;
            }
            if self.has_quorum_without(lead, host) {
                return Some(host);
            }
        }
        None
    }

    /// Returns whether the remaining voters have a live quorum once a host is removed.
    fn has_quorum_without(&self, lead: &LeaderState, host: HostId) -> bool {
        let left = without_host(self.log.membership(), host);
        let span = self.settings.heartbeat * REMOVAL_HEARTBEATS;
        let live = voters(&left).filter(|m| self.has_replied(lead, m.host, span)).count();
        live > 0 && is_quorum(&left, live)
    }

    /// Returns whether a valid reply of the member on a host arrived, or its record was created,
    /// within the election timeout. The leader itself is always live.
    fn is_live(&self, lead: &LeaderState, host: HostId) -> bool {
        let peer = lead.peers.get(&host);
        let election = self.settings.election;
        host == self.settings.host
            || peer.is_some_and(|p| within(self.now, p.last_contact, election))
    }

    /// Returns whether a host has replied to a round that was sent within the last `span`.
    fn has_replied(&self, lead: &LeaderState, host: HostId, span: Duration) -> bool {
        let acked_at = lead.peers.get(&host).and_then(|p| p.acked_at);
        host == self.settings.host || acked_at.is_some_and(|at| within(self.now, at, span))
    }

    /// Returns whether a member's data folder replies and its host has reported no other one
    /// recently.
    pub(crate) fn is_responsive(&self, lead: &LeaderState, member: &Member) -> bool {
        let other = self.recent_non_member(lead, member.host);
        other.is_none() && self.has_replied(lead, member.host, self.settings.election)
    }

    /// Returns whether a host is no member and has reported no data folder to this leader for as
    /// long as a silent non-member is kept as a peer.
    pub(crate) fn is_missing(&self, lead: &LeaderState, host: HostId) -> bool {
        let span = self.settings.election * NON_MEMBER_EXPIRY;
        let non_member = lead.non_members.get(&host);
        let seen = non_member.is_some_and(|it| within(self.now, it.seen_at, span));
        !seen && member(self.log.membership(), host).is_none()
    }

    /// Returns the non-member data folder that a host reported within the election timeout.
    fn recent_non_member(&self, lead: &LeaderState, host: HostId) -> Option<NonMember> {
        let span: Duration = self.settings.election;
        let non_member = lead.non_members.get(&host).copied();
        non_member.filter(|it| within(self.now, it.seen_at, span))
    }

    /// Sends a host its next entries at once, or an empty append if no entries can be sent now.
    pub(crate) fn send_append(&mut self, host: HostId) {
        if !self.send_entries(host) {
            self.send_empty_append(host);
        }
    }
}

impl LeaderState {
    /// Returns whether a host should vote. Any host may while no voters have been set.
    fn is_desired(&self, host: HostId) -> bool {
        self.desired_voters.as_ref().is_none_or(|w| w.contains(&host))
    }
}
