//! Replicated state of a host: handles the outputs of the log and applies its entries.

use std::time::Duration;

use bytes::Bytes;
use desired::{Applied, Command, Desired};
use replog::{Input as LogInput, Output as LogOutput, Recovered, Replica};
use wire::{Entry, EntryBody, Index, PeerMsg, Snapshot, decode_state, encode};

use crate::{Event, Host, Settings, io::Output};

/// Minimum election timeout of the log.
pub(crate) const ELECTION_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval of the log leader's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Number of entries after which a snapshot is due.
const SNAPSHOT_ENTRIES: u64 = 24;
/// Delay before a failed data folder is reopened.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

impl Host {
    pub(crate) fn sync_failed(&mut self, now: Duration, reason: String) {
        self.log(Event::DiskFailed { reason: reason.clone() });
        self.step_log(now, LogInput::SyncFailed(reason));
        self.out.push(Output::Reopen(REOPEN_DELAY));
    }

    /// Continues with the state that was found in the reopened folder, as after a restart.
    pub(crate) fn reopened(&mut self, now: Duration, disk: Recovered) {
        self.log(Event::DiskBack);
        let seed = now.as_nanos() as u64;
        let (replica, outputs) = Replica::new(now, log_settings(&self.settings, seed), Some(disk));
        self.replica = replica;
        self.carry_out(now, outputs);
        self.update_log_hosts(now);
    }

    /// Passes an input to the log and handles the outputs.
    pub(crate) fn step_log(&mut self, now: Duration, input: LogInput) {
        let outputs = self.replica.handle(now, input);
        self.carry_out(now, outputs);
    }

    pub(crate) fn carry_out(&mut self, now: Duration, outputs: Vec<LogOutput>) {
        let mut snapshot_due = false;
        for output in outputs {
            match output {
                LogOutput::Send { to, msg } => {
                    self.out.push(Output::Send { to, msg: PeerMsg::Log(msg) });
                }
                LogOutput::Write(write) => self.out.push(Output::Write(write)),
                LogOutput::Apply(entry) => self.apply(now, entry),
                LogOutput::Restore(snapshot) => self.restore(now, &snapshot),
                LogOutput::SnapshotDue => snapshot_due = true,
                LogOutput::Leader { leader, term } => {
                    self.leader = leader;
                    self.leader_since = Some(now);
                    if leader.is_some() {
                        self.view.follow(now, term);
                    }
                    self.leader_changed();
                    self.log(Event::Leader { leader, term });
                    self.operator_calls.resend_all();
                    self.join_sent = None;
                }
                LogOutput::Alarm(alarm) => self.log(Event::Alarm { what: format!("{alarm:?}") }),
            }
        }
        if snapshot_due {
            let state = encode(&self.desired).into();
            let index = self.replica.status().applied;
            self.step_log(now, LogInput::Compact { index, state });
        }
    }

    pub(crate) fn apply(&mut self, now: Duration, entry: Entry) {
        let EntryBody::Data(bytes) = entry.body else { return };
        let command: Command = match decode_state(&bytes) {
            Ok(command) => command,
            Err(error) => {
                let what = format!("could not read log entry {}: {error}", entry.index);
                return self.log(Event::Alarm { what });
            }
        };
        match (self.desired.apply(entry.index, command.clone()), command) {
            (Applied::Config, _) => self.config_applied(now, entry.index),
            (Applied::Version, Command::Version { adapter, version }) => {
                self.learn_version(now, &adapter, version);
                self.log(Event::Version { adapter, version });
                self.out.push(Output::RetryWaiting);
            }
            (Applied::Software, Command::SetSoftware { service, .. }) => {
                self.log_default_software(&service);
            }
            (Applied::Holder, Command::AssignHolder { domain, .. }) => {
                if let Some(it) = self.desired.holders.get(&domain) {
                    let (holder, fence, waits) = (it.host, it.fence, it.must_wait);
                    self.log(Event::Holder { domain, holder, fence, waits });
                }
                self.apply_holders(now);
            }
            (Applied::Quarantine, _) => self.apply_quarantined(now),
            (Applied::Hosts, _) => self.apply_list(now),
            (Applied::Departure, Command::Depart { target, started_at }) => {
                return self.apply_departure(now, &target, started_at);
            }
            (
                Applied::Version
                | Applied::Holder
                | Applied::Software
                | Applied::Departure
                | Applied::Unchanged,
                _,
            ) => {}
        }
        self.configure_placement();
    }

    pub(crate) fn restore(&mut self, now: Duration, snapshot: &Snapshot) {
        if snapshot.state.is_empty() {
            return;
        }
        match Desired::decode(&snapshot.state) {
            Ok(desired) => {
                let newer = desired.number() > self.desired.number();
                for (adapter, &version) in &desired.versions {
                    self.learn_version(now, adapter, version);
                }
                self.desired = desired;
                self.apply_holders(now);
                self.apply_quarantined(now);
                self.apply_list(now);
                self.apply_departures(now);
                if newer {
                    self.config_applied(now, snapshot.index);
                }
            }
            Err(error) => {
                let what = format!("could not read snapshot {}: {error}", snapshot.index);
                self.log(Event::Alarm { what });
            }
        }
    }

    /// Passes the new document to the process, which parses it.
    pub(crate) fn config_applied(&mut self, now: Duration, index: Index) {
        self.configured_at = Some(now);
        let Some(document) = &self.desired.config else { return };
        let (number, body): (u64, Bytes) = (document.number, document.body.clone());
        self.log(Event::Config { number, index });
        self.out.push(Output::Config(body));
    }
}

pub(crate) fn log_settings(settings: &Settings, seed: u64) -> replog::Settings {
    replog::Settings {
        host: settings.host,
        founders: Vec::new(),
        hosts: settings.seeds.clone(),
        election: ELECTION_TIMEOUT,
        heartbeat: HEARTBEAT_INTERVAL,
        snapshot_after: SNAPSHOT_ENTRIES,
        seed,
    }
}
