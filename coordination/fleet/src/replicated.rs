//! The replicated state on a host: the log's outputs, and what its entries bring.

use std::time::Duration;

use bytes::Bytes;
use desired::{Applied, Command, Desired};
use replog::{Input as LogInput, Output as LogOutput, Recovered, Replica};
use wire::{Entry, EntryBody, Index, PeerMsg, Snapshot, decode_state, encode};

use crate::{Event, Host, Settings, io::Output};

/// Shortest time without a leader before an election.
pub(crate) const ELECTION: Duration = Duration::from_millis(900);
/// Time between a leader's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(150);
/// Entries after which a snapshot is due.
const SNAPSHOT_AFTER: u64 = 24;
/// Time between two tries to open a data folder that failed.
const REOPEN: Duration = Duration::from_millis(500);

impl Host {
    pub(crate) fn sync_failed(&mut self, now: Duration, reason: String) {
        self.log(Event::DiskFailed { reason: reason.clone() });
        self.step_log(now, LogInput::SyncFailed(reason));
        self.out.push(Output::Reopen(REOPEN));
    }

    /// Goes on with the folder as it was found, as after a restart.
    pub(crate) fn reopened(&mut self, now: Duration, disk: Recovered) {
        self.log(Event::DiskBack);
        let seed = now.as_nanos() as u64;
        let (replica, outputs) = Replica::new(now, log_settings(&self.settings, seed), Some(disk));
        self.replica = replica;
        self.carry_out(now, outputs);
        self.share_hosts(now);
    }

    /// Takes one step of the log.
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
                    self.led_since = Some(now);
                    self.log(Event::Leader { leader, term });
                    self.desk.hurry();
                    self.joined = None;
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
            (Applied::Config, _) => self.configured(now, entry.index),
            (Applied::Version, Command::Version { adapter, version }) => {
                self.named.insert(adapter.clone(), now);
                self.log(Event::Version { adapter, version });
                self.out.push(Output::Wake);
            }
            (Applied::Holder, Command::Hold { domain, .. }) => {
                if let Some(it) = self.desired.holders.get(&domain) {
                    let (holder, fence, waits) = (it.host, it.fence, it.waits);
                    self.log(Event::Holder { domain, holder, fence, waits });
                }
                self.follow_holders(now);
            }
            (Applied::Version | Applied::Holder | Applied::Nothing, _) => {}
        }
        self.configure_loads();
    }

    pub(crate) fn restore(&mut self, now: Duration, snapshot: &Snapshot) {
        if snapshot.state.is_empty() {
            return;
        }
        match decode_state::<Desired>(&snapshot.state) {
            Ok(desired) => {
                let newer = desired.number() > self.desired.number();
                for (adapter, version) in &desired.versions {
                    if self.desired.versions.get(adapter) != Some(version) {
                        self.named.insert(adapter.clone(), now);
                    }
                }
                self.desired = desired;
                self.follow_holders(now);
                if newer {
                    self.configured(now, snapshot.index);
                }
            }
            Err(error) => {
                let what = format!("could not read snapshot {}: {error}", snapshot.index);
                self.log(Event::Alarm { what });
            }
        }
    }

    /// Hands the new document to the process, which reads it.
    pub(crate) fn configured(&mut self, now: Duration, index: Index) {
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
        election: ELECTION,
        heartbeat: HEARTBEAT,
        snapshot_after: SNAPSHOT_AFTER,
        seed,
    }
}
