//! Discovery of the other hosts and of the leader.

use std::time::Duration;

use replog::Input as LogInput;
use wire::{FeedChange, FleetMsg, HostId, HostRecord, Incarnation, Topic};

use crate::{Event, Host};

/// Time between two join messages while this host doesn't follow the leader's feed.
pub(crate) const JOIN_INTERVAL: Duration = Duration::from_millis(400);

impl Host {
    /// Sends this host's record to the leader, or publishes it if this host leads.
    pub(crate) fn announce_host(&mut self, record: HostRecord) {
        if let Some(leading) = &mut self.leading {
            leading.feed.push(FeedChange::Host(record));
        } else if let Some(leader) = self.leader {
            self.send(leader, FleetMsg::Join(record));
        }
    }

    /// Sends join messages while this host doesn't follow the leader's feed. Bootstraps the group
    /// if this host is the founder.
    pub(crate) fn join(&mut self, now: Duration) {
        let founder = self.hosts.founder(now, self.settings.first_start, &self.settings.seeds);
        let status = self.replica.status();
        if founder == Some(self.settings.host) && status.group == 0 {
            self.step_log(now, LogInput::SetFounders(vec![self.settings.host]));
        }
        let is_following = status.leader.is_some() && self.position.epoch.0 >= status.term;
        if is_following || self.leading.is_some() {
            return;
        }
        if self.join_sent.is_some_and(|at| now < at + JOIN_INTERVAL) {
            return;
        }
        self.join_sent = Some(now);
        let record = self.hosts.own().clone();
        let seeds = self.settings.seeds.clone();
        let mut receivers = self.hosts.join_candidates(&seeds);
        receivers.extend(self.leader.or(self.leader_hint));
        for host in receivers {
            self.send(host, FleetMsg::Join(record.clone()));
        }
    }

    pub(crate) fn handle_join(&mut self, now: Duration, from: HostId, record: &HostRecord) {
        if record.host != from {
            return;
        }
        let changed = self.hosts.merge(record);
        self.hosts.record_message(now, from);
        if changed {
            self.log(Event::Host { peer: record.host, ready: record.ready });
            self.update_log_hosts(now);
        }
        let roster = FleetMsg::Roster {
            leader: self.leader,
            founder: self.hosts.founder(now, self.settings.first_start, &self.settings.seeds),
            records: self.hosts.records(),
        };
        self.send(from, roster);
        if let Some(leading) = &mut self.leading {
            if changed {
                leading.feed.push(FeedChange::Host(record.clone()));
            }
            self.send_table(from, &Topic::Hosts);
        }
    }

    pub(crate) fn handle_roster(
        &mut self,
        now: Duration,
        leader: Option<HostId>,
        founder: Option<HostId>,
        records: &[HostRecord],
    ) {
        let mut changed = false;
        for record in records {
            // Each host reports its own changes, so a record of a known host that comes from
            // another host may be outdated.
            if self.hosts.record(record.host).is_none() {
                changed |= self.hosts.merge(record);
            }
        }
        if changed {
            self.update_log_hosts(now);
        }
        if let Some(leader) = leader.filter(|&it| it != self.settings.host) {
            self.leader_hint = Some(leader);
            self.step_log(now, LogInput::LeaderHint(leader));
        }
        if founder == Some(self.settings.host)
            && self.replica.status().group == 0
            && self.settings.first_start
        {
            self.step_log(now, LogInput::SetFounders(vec![self.settings.host]));
        }
    }

    pub(crate) fn update_log_hosts(&mut self, now: Duration) {
        let hosts = self.hosts.all();
        self.step_log(now, LogInput::SetHosts(hosts));
    }

    pub(crate) fn handle_leaving(&mut self, now: Duration, from: HostId, run: Incarnation) {
        self.record_ended(from, run);
        let Some(record) = self.hosts.record(from).cloned() else { return };
        if record.incarnation != run || !record.ready {
            return;
        }
        let record = HostRecord { ready: false, ..record };
        self.hosts.merge(&record);
        self.hosts.record_message(now, from);
        self.log(Event::Host { peer: from, ready: false });
        if let Some(leading) = &mut self.leading {
            leading.feed.push(FeedChange::Host(record));
        }
    }
}
