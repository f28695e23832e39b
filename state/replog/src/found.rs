//! How a group begins, and how hosts ask to be served.

use std::{collections::BTreeSet, time::Duration};

use wire::{GroupId, HostId, Index, LogBody, Member, Membership, VoterId};

use crate::{
    Replica,
    group::{group_id, member, within},
    replica::Role,
};

/// Election times without a leader after which a voter asks to be served.
const VOTER_ELECTIONS: u32 = 3;

/// A founder with an empty disk.
#[derive(Debug)]
pub(crate) struct Fresh {
    pub(crate) voter: VoterId,
    /// When this identity was first heard of.
    pub(crate) since: Duration,
    /// When it was last heard of.
    pub(crate) heard: Duration,
}

impl Replica {
    /// Asks to be served, or proposes the founding.
    pub(crate) fn hello(&mut self) {
        self.hello_at = self.now + self.settings.election / 2;
        if self.hard.group == 0 {
            self.found();
        }
        // A voter is served unasked, unless it was removed while it was away.
        let patience = match self.may_vote() {
            true => self.settings.election * VOTER_ELECTIONS,
            false => self.patience(),
        };
        let started = self.leader.is_none() && !self.may_vote();
        if !started && within(self.now, self.heard, patience) {
            return;
        }
        let last = self.commit.max(self.applied);
        for host in self.hello_hosts() {
            self.send(host, LogBody::Hello { last });
        }
    }

    /// Returns the hosts to ask for the leader: those likely to know it, and one
    /// of the others, another one each time.
    fn hello_hosts(&mut self) -> BTreeSet<HostId> {
        let mut hosts = BTreeSet::new();
        hosts.extend(self.settings.founders.iter().copied());
        hosts.extend(self.log.members().members.iter().map(|m| m.host));
        hosts.extend(self.hint);
        let others = &self.settings.hosts;
        if !others.is_empty() {
            hosts.insert(others[self.hellos % others.len()]);
            self.hellos += 1;
        }
        hosts.remove(&self.settings.host);
        hosts
    }

    /// Returns every other host that may know of the group.
    pub(crate) fn all_hosts(&self) -> BTreeSet<HostId> {
        let mut hosts = BTreeSet::new();
        hosts.extend(self.settings.hosts.iter().copied());
        hosts.extend(self.settings.founders.iter().copied());
        hosts.extend(self.log.members().members.iter().map(|m| m.host));
        hosts.remove(&self.settings.host);
        hosts
    }

    /// Founds the group if this is the lowest founder and all others have
    /// lately and repeatedly said that they are fresh.
    fn found(&mut self) {
        let Some(voter) = self.voter else {
            return;
        };
        let host = self.settings.host;
        if self.queue.failed() || self.settings.founders.iter().min() != Some(&host) {
            return;
        }
        let mut members = vec![Member { host, voter, role: wire::Role::Voter }];
        for &other in &self.settings.founders {
            if other == host {
                continue;
            }
            let Some(voter) = self.fresh_founder(other) else {
                return;
            };
            members.push(Member { host: other, voter, role: wire::Role::Voter });
        }
        members.sort_by_key(|m| m.host);
        let members = Membership { members };
        let group = group_id(&members);
        self.enter_group(group, members.clone());
        for member in &members.members {
            if member.host != host {
                let body = LogBody::Found { group, members: members.clone() };
                self.send_synced(member.host, body);
            }
        }
    }

    fn fresh_founder(&self, host: HostId) -> Option<VoterId> {
        let fresh = self.fresh.get(&host)?;
        let election = self.settings.election;
        let recent = within(self.now, fresh.heard, election);
        let repeated = fresh.heard >= fresh.since + election / 4;
        (recent && repeated).then_some(fresh.voter)
    }

    fn enter_group(&mut self, group: GroupId, founders: Membership) {
        self.log.found(founders.clone());
        self.hard.founders = founders;
        self.join(group);
        self.set_deadline();
    }

    pub(crate) fn on_found(&mut self, group: GroupId, members: Membership) {
        let Some(voter) = self.voter else {
            return;
        };
        let named = member(&members, self.settings.host).is_some_and(|m| m.voter == voter);
        if self.hard.group != 0 || !named || self.queue.failed() {
            return;
        }
        self.enter_group(group, members);
    }

    pub(crate) fn on_hello(
        &mut self,
        from: HostId,
        group: GroupId,
        voter: Option<VoterId>,
        last: Index,
    ) {
        if self.hard.group == 0 {
            self.note_fresh(from, voter);
            return;
        }
        if matches!(self.role, Role::Leader(_)) {
            self.serve(from, voter, last);
        }
        if group != 0 || self.queue.failed() {
            return;
        }
        let named = member(&self.hard.founders, from).is_some_and(|m| Some(m.voter) == voter);
        if named {
            let members = self.hard.founders.clone();
            self.send_synced(from, LogBody::Found { group: self.hard.group, members });
        } else if voter.is_some() {
            self.send_synced(from, LogBody::Hello { last: self.commit });
        }
    }

    fn note_fresh(&mut self, from: HostId, voter: Option<VoterId>) {
        let Some(voter) = voter else {
            return;
        };
        let now = self.now;
        let fresh = self.fresh.entry(from).or_insert(Fresh { voter, since: now, heard: now });
        if fresh.voter != voter {
            *fresh = Fresh { voter, since: now, heard: now };
        }
        fresh.heard = now;
    }
}
