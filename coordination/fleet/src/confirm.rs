//! What a leader's acknowledgement of a change rests on: the hosts that obey it.
//!
//! The log lists all hosts, so that a leader that has just started knows whom to tell and for whom to
//! wait. A host accepts callers once it is listed. A change is acknowledged when every listed host
//! has confirmed it, or has been sent it for [`CONFIRM_TIMEOUT`]; a host that did not confirm it in
//! that time is waited for again once it answers, so that one that is slow does not fall behind.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use desired::Command;
use replog::Input as LogInput;
use wire::{FleetMsg, HostId, Index, encode};

use crate::{Event, Host, LateHost, io::Tag};

/// Time that a change waits for the hosts that have not confirmed it: within the second after which
/// operators call another host.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);
/// Wait of a change from which on the hosts that it waits for are noted, to be logged.
const LATE: Duration = Duration::from_millis(150);
/// Most hosts that a log line about a late confirmation names.
pub const LATE_HOSTS: usize = 8;
/// Time between two proposals of changes of the list of hosts.
const LIST_INTERVAL: Duration = Duration::from_millis(100);
/// Silence after which a host is dropped from the list.
const LISTED_SILENCE: Duration = Duration::from_secs(60);

/// A change in force at the leader that is not acknowledged yet.
#[derive(Debug)]
struct PendingChange {
    host: HostId,
    tag: Tag,
    index: Index,
    since: Duration,
    /// The hosts that it waited for after [`LATE`], and how many more there were.
    late: Option<(Vec<LateHost>, usize)>,
}

/// A leader's changes that wait for hosts to confirm them.
#[derive(Debug, Default)]
pub(crate) struct Confirmations {
    pending: VecDeque<PendingChange>,
    /// Hosts that did not confirm an earlier change in time, and when it was acknowledged.
    lapsed: BTreeMap<HostId, Duration>,
    listed_at: Duration,
}

impl Confirmations {
    /// Adds a change in force, unless it is waiting already.
    pub(crate) fn add(&mut self, now: Duration, host: HostId, tag: Tag, index: Index) {
        if !self.pending.iter().any(|it| (it.host, it.tag) == (host, tag)) {
            self.pending.push_back(PendingChange { host, tag, index, since: now, late: None });
        }
    }
}

/// When a command that is in force at the leader is confirmed to the host that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConfirmedWhen {
    /// Once the hosts obey it: operators wait for that.
    Obeyed,
    /// At once: hosts have been told of a departure already, the log keeps it.
    InForce,
    /// Never: nobody waits for it.
    Never,
}

impl ConfirmedWhen {
    pub(crate) fn of(command: &Command) -> ConfirmedWhen {
        match command {
            Command::Replace { .. } | Command::Version { .. } => ConfirmedWhen::Obeyed,
            Command::Depart { .. } => ConfirmedWhen::InForce,
            Command::AssignHolder { .. }
            | Command::StartOrders { .. }
            | Command::Quarantine { .. }
            | Command::Release { .. }
            | Command::SetSoftware { .. }
            | Command::ListHosts { .. }
            | Command::DropDepartures { .. } => ConfirmedWhen::Never,
        }
    }
}

impl Host {
    /// Acknowledges the changes that all hosts have confirmed that may be waited for.
    pub(crate) fn confirm_changes(&mut self, now: Duration) {
        loop {
            let leading = self.leading.as_ref();
            let Some(change) = leading.and_then(|it| it.confirmations.pending.front()) else {
                return;
            };
            let (index, is_noted) = (change.index, change.late.is_some());
            let waited = now.saturating_sub(change.since);
            let missing = self.hosts_missing(index);
            if missing.is_empty() || waited >= CONFIRM_TIMEOUT {
                self.acknowledge(now, waited, missing);
                continue;
            }
            if waited >= LATE && !is_noted {
                self.note_late(now, &missing);
            }
            return;
        }
    }

    /// Acknowledges the oldest change without the confirmation of the hosts that are `missing`.
    fn acknowledge(&mut self, now: Duration, waited: Duration, missing: Vec<HostId>) {
        let Some(leading) = &mut self.leading else { return };
        let Confirmations { pending, lapsed, .. } = &mut leading.confirmations;
        let Some(change) = pending.pop_front() else { return };
        let obeys = |host: HostId| {
            self.replica.progress(host).is_some_and(|it| it.confirmed >= change.index)
        };
        lapsed.retain(|&host, _| !obeys(host));
        lapsed.extend(missing.iter().map(|host| (*host, now)));
        let (index, waited_ms) = (change.index, waited.as_millis() as u64);
        if !missing.is_empty() {
            let (hosts, left_out) = self.late_hosts(now, &missing);
            self.log(Event::Unconfirmed { index, waited_ms, hosts, left_out });
        } else if let Some((hosts, left_out)) = change.late {
            self.log(Event::ConfirmedLate { index, waited_ms, hosts, left_out });
        }
        self.send_confirmed(change.host, change.tag);
    }

    /// Tells a host that the change of a call is in force.
    pub(crate) fn send_confirmed(&mut self, host: HostId, tag: Tag) {
        if host == self.settings.host {
            self.operator_calls.confirm(tag);
        } else {
            self.send(host, FleetMsg::Confirmed { tag });
        }
    }

    /// Returns the hosts that a change at an index still waits for: those that the log is sent to, or
    /// else those that it lists but that are sent nothing.
    fn hosts_missing(&self, index: Index) -> Vec<HostId> {
        let mut missing = self.replica.hosts_behind(index);
        missing.retain(|host| !self.is_excused(*host));
        if !missing.is_empty() {
            return missing;
        }
        for &host in &self.desired.hosts {
            let is_sent_to = host == self.settings.host || self.replica.progress(host).is_some();
            if !is_sent_to && !self.is_excused(host) {
                missing.push(host);
            }
        }
        missing
    }

    /// Whether changes don't wait for a host: it has ended, or it missed a change and has not answered
    /// since.
    fn is_excused(&self, host: HostId) -> bool {
        let Some(leading) = &self.leading else { return false };
        let record = self.hosts.record(host);
        let ended = record.is_some_and(|it| leading.ended.contains(&(host, it.incarnation)));
        let contact = self.replica.progress(host).map(|it| it.last_contact);
        let lapsed = leading.confirmations.lapsed.get(&host);
        ended || lapsed.is_some_and(|at| contact <= Some(*at))
    }

    /// Notes which hosts the oldest pending change waits for.
    fn note_late(&mut self, now: Duration, missing: &[HostId]) {
        let late = self.late_hosts(now, missing);
        let leading = self.leading.as_mut();
        if let Some(change) = leading.and_then(|it| it.confirmations.pending.front_mut()) {
            change.late = Some(late);
        }
    }

    /// Describes some of the hosts for the log, and returns how many more there are.
    fn late_hosts(&self, now: Duration, hosts: &[HostId]) -> (Vec<LateHost>, usize) {
        let mut named = Vec::new();
        for &host in hosts.iter().take(LATE_HOSTS) {
            let progress = self.replica.progress(host);
            let silent = progress.map(|it| now.saturating_sub(it.last_contact));
            named.push(LateHost {
                host,
                confirmed: progress.map(|it| it.confirmed),
                silent_ms: silent.map(|it| it.as_millis() as u64),
                unanswered: progress.map_or(0, |it| it.unanswered),
                snapshot: progress.is_some_and(|it| it.installing),
            });
        }
        (named, hosts.len().saturating_sub(LATE_HOSTS))
    }

    /// Proposes to list the live hosts that the log lacks, and to drop those that are silent.
    pub(crate) fn update_list(&mut self, now: Duration) {
        let Some(leading) = &mut self.leading else { return };
        if now < leading.confirmations.listed_at + LIST_INTERVAL {
            return;
        }
        leading.confirmations.listed_at = now;
        let listed = &self.desired.hosts;
        let live = self.hosts.live(now);
        let added: Vec<HostId> = live.into_iter().filter(|it| !listed.contains(it)).collect();
        let oldest = now.saturating_sub(LISTED_SILENCE).max(Duration::from_nanos(1));
        let leads_long = leading.since < oldest;
        let silent = |host: &HostId| leads_long && self.hosts.is_silent_since(*host, oldest);
        let dropped: Vec<HostId> = listed.iter().copied().filter(silent).collect();
        if added.is_empty() && dropped.is_empty() {
            return;
        }
        let command = Command::ListHosts { added, dropped };
        if leading.list_proposed.as_ref() == Some(&command) {
            return;
        }
        leading.list_proposed = Some(command.clone());
        self.step_log(now, LogInput::Propose(encode(&command).into()));
    }

    /// Takes over the list of hosts in the log.
    pub(crate) fn apply_list(&mut self, now: Duration) {
        self.hosts.set_listed(self.desired.hosts.clone());
        self.update_log_hosts(now);
    }

    /// Whether a leader that starts without memory would know this host. Always true under a leader of
    /// a release that lists no hosts.
    pub(crate) fn is_listed(&self) -> bool {
        let hosts = &self.desired.hosts;
        hosts.is_empty() || hosts.contains(&self.settings.host)
    }
}
