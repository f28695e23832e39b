//! The status of a host, and of the system as the host sees it.

use std::time::Duration;

use api::{AuditPage, HostRow, QuarantineRow, ServiceReceipt, StatusBody, TargetRow};
use history::to_hex;
use replog::Replica;
use wire::{HostId, Member, Pin, Role};

use crate::{Node, target::TrackedTarget, view::View};

impl Node {
    /// Returns the entry hosts that a caller of `model` should use, best first.
    pub fn entries(&self, now: Duration, model: Option<&str>) -> Vec<HostId> {
        let view = self.view();
        let info = model.and_then(|model| view.config.adapters.get(model));
        let pin = info.map(|info| Pin::Adapter { id: info.id, name: info.name.clone() });
        self.with_directory(|dir| dir.entries(now, pin.as_ref()))
    }

    /// Returns the state of this host and of the system as this host sees it. Only the leader lists
    /// the hosts.
    pub fn status(&self, now: Duration) -> StatusBody {
        let view = self.view();
        let (mut alarms, members, absent) = {
            let replicated = self.replicated();
            let replica = replicated.replica();
            (replicated.alarms().to_vec(), Members::new(replica), replica.missing_voters())
        };
        alarms.extend(absent.into_iter().map(|host| self.absent_alarm(host)));
        let ctx = self.ctx(now);
        let hosts = self.host_rows(now, &members);
        let owner = self.owner();
        StatusBody {
            host: self.host(),
            leader: view.leader,
            term: view.term,
            lease: ctx.lease.is_some(),
            commit: view.commit,
            applied: view.applied,
            alarms,
            hosts,
            targets: target_rows(&view, &owner.targets),
            services: service_rows(&view),
            queued: owner.policy.queued() as u32,
            stall_seconds: owner.stats.stalled(),
            batch_fullness: owner.stats.fullness(),
            quarantine: quarantine_rows(&view),
        }
    }

    /// On the leader: returns the hosts that hold leases or are members of the replication group.
    fn host_rows(&self, now: Duration, members: &Members) -> Vec<HostRow> {
        let mut rows = Vec::new();
        for live in self.leases().live_hosts(now) {
            rows.push(HostRow {
                host: live.host,
                domain: live.domain,
                role: members.role(live.host).to_owned(),
                live: true,
                applied: live.applied,
            });
        }
        for host in members.hosts() {
            if rows.iter().any(|row| row.host == host) {
                continue;
            }
            let domain = self.with_directory(|dir| dir.domain(host).cloned());
            rows.push(HostRow {
                host,
                domain: domain.unwrap_or_default(),
                role: members.role(host).to_owned(),
                live: false,
                applied: 0,
            });
        }
        rows.sort_by_key(|row| row.host);
        rows
    }

    /// Returns the alarm for a configured voter that is not a member.
    fn absent_alarm(&self, host: HostId) -> String {
        let known = self.with_directory(|dir| dir.domain(host).is_some());
        let what = if known { "shows no data folder" } else { "is not in [hosts]" };
        format!("host {host} is named as a voter and {what}")
    }

    /// Returns at most `limit` audit entries, from the sequence number `from` on.
    pub fn audit(&self, from: u64, limit: usize) -> AuditPage {
        let replicated = self.replicated();
        let history = &replicated.machine().history;
        let (last, head) = history.head();
        let entries = history.entries(from).iter().take(limit).map(history::to_api).collect();
        AuditPage { entries, last, head: to_hex(&head) }
    }
}

/// The members of the replication group and, on the leader, those that respond.
struct Members {
    leading: bool,
    members: Vec<Member>,
    responding: Vec<HostId>,
}

impl Members {
    fn new(replica: &Replica) -> Members {
        let status = replica.status();
        let members = status.members.members;
        Members { leading: status.leading, members, responding: replica.responsive_members() }
    }

    /// Returns the members' hosts on the leader, else none.
    fn hosts(&self) -> impl Iterator<Item = HostId> {
        self.members.iter().filter(|_| self.leading).map(|member| member.host)
    }

    fn role(&self, host: HostId) -> &'static str {
        match self.members.iter().find(|member| member.host == host) {
            Some(member) if member.role == Role::Learner => "learner",
            Some(_) if self.responding.contains(&host) => "voter",
            Some(_) => "silent",
            None => "observer",
        }
    }
}

fn target_rows(
    view: &View,
    tracked: &std::collections::BTreeMap<wire::TargetId, TrackedTarget>,
) -> Vec<TargetRow> {
    let mut rows = Vec::new();
    for target in view.registry.targets() {
        let own = tracked.get(&target.id);
        rows.push(TargetRow {
            name: target.info.name.clone(),
            domain: target.info.domain.clone(),
            owner: target.owner.map(|(host, _)| host),
            fence: target.fence,
            resident: own.map(|tracked| resident(view, tracked)).unwrap_or_default(),
            running: own.map_or(0, |tracked| tracked.running.len() as u32),
            leaving: own.is_some_and(|tracked| tracked.leaving),
        });
    }
    rows
}

fn resident(view: &View, tracked: &TrackedTarget) -> Vec<String> {
    let ready = tracked.adapters.keys().filter(|&&id| tracked.is_ready(id));
    ready.filter_map(|&id| view.config.names.get(id as usize)).cloned().collect()
}

fn service_rows(view: &View) -> Vec<ServiceReceipt> {
    let mut rows = Vec::new();
    for (service, info) in &view.config.services {
        rows.push(ServiceReceipt {
            service: service.clone(),
            version: info.declaration.version,
            digest: to_hex(&info.digest),
            index: info.index,
        });
    }
    rows
}

fn quarantine_rows(view: &View) -> Vec<QuarantineRow> {
    let list = view.strikes.list();
    list.into_iter()
        .map(|(fingerprint, strikes)| QuarantineRow { print: to_hex(&fingerprint), strikes })
        .collect()
}
