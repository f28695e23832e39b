//! Founding of a group, and the hellos by which hosts announce themselves to its leader.

use std::{collections::BTreeSet, time::Duration};

use wire::{DiskId, GroupId, HostId, Index, LogBody, Member, Membership};

use crate::{
    Replica,
    group::{group_id, member, within},
    replica::Role,
};

/// Election timeouts without contact with a leader after which a voter sends hellos.
const VOTER_HELLO_DELAY: u32 = 3;

/// A host that has a data folder and belongs to no group.
#[derive(Debug)]
pub(crate) struct FreshHost {
    pub(crate) disk: DiskId,
    /// When the first hello of this data folder arrived.
    pub(crate) first_contact: Duration,
    /// When its latest hello arrived.
    pub(crate) last_contact: Duration,
}

impl Replica {
    /// Founds the group if that is possible, and sends hellos if this replica lacks a leader.
    pub(crate) fn hello(&mut self) {
        self.next_hello = self.now + self.settings.election / 2;
        if self.hard.group == 0 {
            self.try_found();
        }
        // The leader sends to a voter without a hello, unless the voter was removed while it was
        // unreachable.
        let timeout = match self.is_electable() {
            true => self.settings.election * VOTER_HELLO_DELAY,
            false => self.leader_timeout(),
        };
        let leaderless = self.leader.is_none() && !self.is_electable();
        if !leaderless && within(self.now, self.leader_contact, timeout) {
            return;
        }
        let last = self.commit.max(self.applied);
        for host in self.hello_hosts() {
            self.send(host, LogBody::Hello { last });
        }
    }

    /// Returns the hosts to send a hello to: the founders, the members, the host hinted as leader,
    /// and one host of the system, a different one each time.
    fn hello_hosts(&mut self) -> BTreeSet<HostId> {
        let mut hosts = BTreeSet::new();
        hosts.extend(self.settings.founders.iter().copied());
        hosts.extend(self.log.membership().members.iter().map(|m| m.host));
        hosts.extend(self.leader_hint);
        let others = &self.settings.hosts;
        if !others.is_empty() {
            hosts.insert(others[self.hello_count % others.len()]);
            self.hello_count += 1;
        }
        hosts.remove(&self.settings.host);
        hosts
    }

    /// Returns all other hosts of the system, founders and members.
    pub(crate) fn other_hosts(&self) -> BTreeSet<HostId> {
        let mut hosts = BTreeSet::new();
        hosts.extend(self.settings.hosts.iter().copied());
        hosts.extend(self.settings.founders.iter().copied());
        hosts.extend(self.log.membership().members.iter().map(|m| m.host));
        hosts.remove(&self.settings.host);
        hosts
    }

    /// Founds the group if this host has the lowest id of the founders, and all the others have
    /// recently and repeatedly announced that they belong to no group.
    fn try_found(&mut self) {
        let Some(disk) = self.disk else {
            return;
        };
        let host = self.settings.host;
        if self.queue.failed() || self.settings.founders.iter().min() != Some(&host) {
            return;
        }
        let mut members = vec![Member { host, disk, role: wire::Role::Voter }];
        for &other in &self.settings.founders {
            if other == host {
                continue;
            }
            let Some(disk) = self.fresh_founder(other) else {
                return;
            };
            members.push(Member { host: other, disk, role: wire::Role::Voter });
        }
        members.sort_by_key(|m| m.host);
        let members = Membership { members };
        let group = group_id(&members);
        self.enter_group(group, members.clone());
        for member in &members.members {
            if member.host != host {
                let body = LogBody::Founding { group, members: members.clone() };
                self.send_after_sync(member.host, body);
            }
        }
    }

    /// Returns a founder's data folder if its latest hello is recent and its first one at least a
    /// quarter of an election timeout older.
    fn fresh_founder(&self, host: HostId) -> Option<DiskId> {
        let fresh = self.fresh_hosts.get(&host)?;
        let election = self.settings.election;
        let recent = within(self.now, fresh.last_contact, election);
        let repeated = fresh.last_contact >= fresh.first_contact + election / 4;
        (recent && repeated).then_some(fresh.disk)
    }

    fn enter_group(&mut self, group: GroupId, founders: Membership) {
        self.log.set_founders(founders.clone());
        self.hard.founders = founders;
        self.join_group(group);
        self.reset_election_deadline();
    }

    pub(crate) fn on_found(&mut self, group: GroupId, members: Membership) {
        let Some(disk) = self.disk else {
            return;
        };
        let named = member(&members, self.settings.host).is_some_and(|m| m.disk == disk);
        if self.hard.group != 0 || !named || self.queue.failed() {
            return;
        }
        self.enter_group(group, members);
    }

    pub(crate) fn on_hello(
        &mut self,
        from: HostId,
        group: GroupId,
        disk: Option<DiskId>,
        last: Index,
    ) {
        if self.hard.group == 0 {
            self.record_fresh_host(from, disk);
            return;
        }
        if matches!(self.role, Role::Leader(_)) {
            self.register_peer(from, disk, last);
        }
        if group != 0 || self.queue.failed() {
            return;
        }
        let named = member(&self.hard.founders, from).is_some_and(|m| Some(m.disk) == disk);
        if named {
            let members = self.hard.founders.clone();
            self.send_after_sync(from, LogBody::Founding { group: self.hard.group, members });
        } else if disk.is_some() {
            self.send_after_sync(from, LogBody::Hello { last: self.commit });
        }
    }

    fn record_fresh_host(&mut self, from: HostId, disk: Option<DiskId>) {
        let Some(disk) = disk else {
            return;
        };
        let now = self.now;
        let fresh = self.fresh_hosts.entry(from).or_insert(FreshHost {
            disk,
            first_contact: now,
            last_contact: now,
        });
        if fresh.disk != disk {
            *fresh = FreshHost { disk, first_contact: now, last_contact: now };
        }
        fresh.last_contact = now;
    }
}
