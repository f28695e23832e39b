//! Heartbeats and deregistrations of targets, and their distribution to the other hosts.
//!
//! That a target takes no more requests is told to all hosts at once; the log keeps it.

use std::time::Duration;

use wire::{FleetMsg, HostId, TargetRecord, TargetState};

use crate::{
    Event, Host,
    io::{Output, Tag},
};

/// Time between two messages about a target that takes no more requests.
const ENDING_INTERVAL: Duration = Duration::from_millis(400);
/// Number of these messages to each host, beside the first one. All come within the time in which
/// hosts must have stopped sending there.
const ENDING_REPEATS: u32 = 3;

/// A target that takes no more requests, of which all hosts are told again: a message may be lost, and
/// the holder's feed repairs that too late where there are many hosts.
#[derive(Debug)]
pub(crate) struct Ending {
    record: TargetRecord,
    sent: Duration,
    repeats: u32,
}

impl Host {
    /// Handles a heartbeat that this host received from a target.
    pub(crate) fn handle_heartbeat(&mut self, now: Duration, record: TargetRecord) {
        if self.merge_target(now, &record) {
            if record.state != TargetState::Ready {
                self.broadcast_seen(now, &record);
            }
            self.out.push(Output::RetryWaiting);
        }
        let holder = self.holder(&record.domain).or(self.leader);
        if !self.refresh_held(now, &record.id)
            && let Some(holder) = holder
        {
            self.send(holder, FleetMsg::TargetAlive(record));
        }
    }

    /// Handles a heartbeat by which a target says that it leaves.
    pub(crate) fn handle_leaving_target(&mut self, now: Duration, tag: Tag, record: TargetRecord) {
        let (target, started_at) = (record.id.clone(), record.started_at);
        self.handle_heartbeat(now, record);
        self.record_departure(now, tag, target, started_at);
    }

    /// Whether this host can tell all others of a target that takes no more requests. A host that has
    /// just started doesn't know them.
    pub fn can_announce(&self) -> bool {
        self.caught_up
    }

    /// Whether this host can tell all others that a target has ended. If the target names no start of its
    /// process, the host must know the target, or that no host does: others may know the start.
    pub fn can_deregister(&self, id: &str, started_at: Option<u64>) -> bool {
        let is_named = started_at.is_some() || self.targets.get(id).is_some();
        self.can_announce() && (is_named || self.feeds_missing().is_empty())
    }

    /// Ends a target. That a process has ended is kept by all hosts, whether they know it or not: they may
    /// have dropped it as silent, or not have heard of it yet, while its last heartbeats are on their way.
    ///
    /// If the target names no start of its process, it is any that had started when the call arrived: the one
    /// that is known, or a later one of which no heartbeat has arrived.
    pub(crate) fn handle_deregistration(
        &mut self,
        now: Duration,
        tag: Tag,
        id: &str,
        started_at: Option<u64>,
        arrived_at: u64,
    ) {
        let last = self.targets.last_record(id).map_or(0, |it| it.started_at);
        let started_at = started_at.unwrap_or(arrived_at.max(last));
        let record = self.targets.complete_ending(id, started_at);
        self.log(Event::Deregistered {
            target: id.to_owned(),
            started_at,
            known: self.targets.get(id).is_some(),
        });
        self.broadcast_seen(now, &record);
        self.update_target(now, &record);
        self.record_departure(now, tag, id.to_owned(), started_at);
    }

    /// Sends the record of a target that takes no more requests to every host directly, not by the
    /// feed, since the holder may just have failed.
    pub(crate) fn broadcast_seen(&mut self, now: Duration, record: &TargetRecord) {
        self.endings.push(Ending { record: record.clone(), sent: now, repeats: 0 });
        self.send_ending(record);
    }

    fn send_ending(&mut self, record: &TargetRecord) {
        for host in self.hosts.others() {
            self.send(host, FleetMsg::TargetEnding(record.clone()));
        }
    }

    /// Tells all hosts again of the targets that take no more requests.
    pub(crate) fn repeat_endings(&mut self, now: Duration) {
        let mut endings = std::mem::take(&mut self.endings);
        for ending in &mut endings {
            if now < ending.sent + ENDING_INTERVAL {
                continue;
            }
            (ending.sent, ending.repeats) = (now, ending.repeats + 1);
            self.send_ending(&ending.record);
        }
        endings.retain(|it| it.repeats < ENDING_REPEATS);
        self.endings = endings;
    }

    /// Applies a target's record, whatever host it comes from.
    pub(crate) fn update_target(&mut self, now: Duration, record: &TargetRecord) {
        let mut record = record.clone();
        if record.state == TargetState::Gone {
            // The host at which the target deregistered may not have known it.
            record = self.targets.complete_ending(&record.id, record.started_at);
        }
        let changed = self.merge_target(now, &record);
        self.update_held_target(now, &record);
        if changed {
            self.out.push(Output::RetryWaiting);
        }
    }

    pub(crate) fn handle_alive(&mut self, now: Duration, from: HostId, record: &TargetRecord) {
        self.merge_target(now, record);
        self.refresh_held(now, &record.id);
        self.contradict(from, record);
    }

    /// Tells a host that takes a target for ready that the target's process leaves or has ended, if that is
    /// known here. A host that has restarted doesn't know it, and a delayed heartbeat may tell it otherwise.
    pub(crate) fn contradict(&mut self, from: HostId, record: &TargetRecord) {
        let ending = self.targets.ending(&record.id, record.started_at);
        let Some(state) = ending.filter(|_| record.state == TargetState::Ready) else { return };
        self.send(from, FleetMsg::TargetEnding(TargetRecord { state, ..record.clone() }));
    }

    /// Records in the placement table that a target is alive. Returns `false` if this host doesn't
    /// hold the target's failure domain.
    fn refresh_held(&mut self, now: Duration, id: &str) -> bool {
        let Some(record) = self.targets.get(id).map(|it| it.record.clone()) else { return false };
        self.update_held_target(now, &record)
    }

    /// Merges a target's record. Returns whether anything changed.
    pub(crate) fn merge_target(&mut self, now: Duration, record: &TargetRecord) -> bool {
        let changed = self.targets.merge(now, record);
        if changed {
            self.log(Event::Target {
                target: record.id.clone(),
                service: record.service.clone(),
                addr: record.addr.clone(),
                software: record.software.clone(),
                state: format!("{:?}", record.state).to_lowercase(),
            });
        }
        changed
    }
}
