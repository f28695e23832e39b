//! The replicated state on this host: its replica of the log, the state
//! machine, and the proposals of this host that are not applied yet.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use replog::{Input as LogInput, Output as LogOutput, Replica};
use wire::{
    Command, Entry, EntryBody, HostId, Incarnation, LogMsg, PeerMsg, Proposal, Snapshot, decode,
    decode_state, encode,
};

use crate::{
    Change, Output,
    effect::{Effect, Effects},
    machine::{Applied, Machine},
    view::View,
};

const RESEND: Duration = Duration::from_millis(400);

/// A proposal on its way.
#[derive(Debug)]
struct Pending {
    proposal: Proposal,
    sent: Duration,
}

/// The table of the replicated state.
#[derive(Debug)]
pub(crate) struct Core {
    host: HostId,
    run: Incarnation,
    replica: Replica,
    machine: Machine,
    pending: BTreeMap<u64, Pending>,
    next: u64,
    wall: u64,
    alarms: Vec<String>,
}

impl Core {
    pub(crate) fn new(
        host: HostId,
        run: Incarnation,
        replica: Replica,
        machine: Machine,
        wall: u64,
    ) -> Core {
        Core {
            host,
            run,
            replica,
            machine,
            pending: BTreeMap::new(),
            next: 1,
            wall,
            alarms: Vec::new(),
        }
    }

    /// Conditions that need an operator.
    pub(crate) fn alarms(&self) -> &[String] {
        &self.alarms
    }

    pub(crate) fn machine(&self) -> &Machine {
        &self.machine
    }

    pub(crate) fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns what the other tables read.
    pub(crate) fn view(&self) -> View {
        let status = self.replica.status();
        View {
            applied: self.machine.applied,
            commit: status.commit,
            config: Arc::clone(self.machine.history.config()),
            registry: Arc::clone(&self.machine.registry),
            strikes: Arc::clone(&self.machine.strikes),
            leader: status.leader,
            leading: status.leading,
            term: status.term,
            quorum_at: status.quorum_at,
        }
    }

    pub(crate) fn tick(&mut self, now: Duration, wall: u64, fx: &mut Effects) {
        self.wall = self.wall.max(wall);
        self.log(now, LogInput::Tick, fx);
        self.resend(now, fx);
    }

    pub(crate) fn message(&mut self, now: Duration, from: HostId, msg: LogMsg, fx: &mut Effects) {
        self.log(now, LogInput::Msg { from, msg }, fx);
    }

    /// Takes one step of the log.
    pub(crate) fn log(&mut self, now: Duration, input: LogInput, fx: &mut Effects) {
        let outputs = self.replica.handle(now, input);
        self.carry_out(now, outputs, fx);
    }

    /// Carries out what the log wants done.
    pub(crate) fn carry_out(&mut self, now: Duration, outputs: Vec<LogOutput>, fx: &mut Effects) {
        let mut snapshot_due = false;
        for output in outputs {
            match output {
                LogOutput::Send { to, msg } => fx.send(to, PeerMsg::Log(msg)),
                LogOutput::Write(write) => fx.out(Output::Write(write)),
                LogOutput::Apply(entry) => self.apply(entry, fx),
                LogOutput::Restore(snapshot) => self.restore(&snapshot, fx),
                LogOutput::SnapshotDue => snapshot_due = true,
                LogOutput::Leader { leader, term } => {
                    fx.out(Output::Changed(Change::Leader { leader, term }));
                    fx.push(Effect::Viewed);
                    self.hurry();
                }
                LogOutput::Alarm(alarm) => self.alarm(format!("{alarm:?}"), fx),
            }
        }
        if snapshot_due {
            let state = encode(&self.machine).into();
            let index = self.machine.applied;
            self.log(now, LogInput::Compact { index, state }, fx);
        }
    }

    /// Commits a command: hands it to the leader until it is applied.
    pub(crate) fn propose(&mut self, now: Duration, command: Command, fx: &mut Effects) {
        let seq = self.next;
        self.next += 1;
        let floor = self.pending.keys().next().copied().unwrap_or(seq);
        let proposal =
            Proposal { host: self.host, incarnation: self.run, seq, floor, at: self.wall, command };
        self.pending.insert(seq, Pending { proposal: proposal.clone(), sent: now });
        self.hand_over(now, proposal, fx);
    }

    /// Appends a proposal of any host if this one leads, with this host's time:
    /// the clock of one entry must not decide which keys have expired.
    pub(crate) fn offered(&mut self, now: Duration, proposal: &Proposal, fx: &mut Effects) {
        if !self.replica.status().leading {
            return;
        }
        let stamped = Proposal { at: self.wall, ..proposal.clone() };
        self.log(now, LogInput::Propose(encode(&stamped).into()), fx);
    }

    fn hand_over(&mut self, now: Duration, proposal: Proposal, fx: &mut Effects) {
        let status = self.replica.status();
        if status.leading {
            self.offered(now, &proposal, fx);
            return;
        }
        let Some(leader) = status.leader else { return };
        if leader != self.host {
            fx.send(leader, PeerMsg::Propose(proposal));
        }
    }

    /// Makes all pending proposals due: the leader changed.
    fn hurry(&mut self) {
        for pending in self.pending.values_mut() {
            pending.sent = Duration::ZERO;
        }
    }

    fn resend(&mut self, now: Duration, fx: &mut Effects) {
        let mut due = Vec::new();
        for pending in self.pending.values_mut() {
            if now < pending.sent + RESEND {
                continue;
            }
            pending.sent = now;
            due.push(pending.proposal.clone());
        }
        for proposal in due {
            self.hand_over(now, proposal, fx);
        }
    }

    fn apply(&mut self, entry: Entry, fx: &mut Effects) {
        let EntryBody::Data(bytes) = entry.body else {
            self.machine.applied = entry.index;
            fx.push(Effect::Viewed);
            return;
        };
        let proposal: Proposal = match decode(&bytes) {
            Ok(proposal) => proposal,
            Err(error) => {
                self.machine.applied = entry.index;
                self.alarm(format!("could not read log entry {}: {error}", entry.index), fx);
                return;
            }
        };
        let own = proposal.host == self.host && proposal.incarnation == self.run;
        let seq = proposal.seq;
        fx.push(Effect::Viewed);
        let Some(event) = self.machine.apply(entry.index, proposal) else { return };
        if own {
            self.pending.remove(&seq);
        }
        if let Applied::Publish(Ok(receipt)) = &event.result
            && receipt.index == entry.index
        {
            let change = Change::Config { revision: entry.index, sequence: receipt.sequence };
            fx.out(Output::Changed(change));
        }
        fx.push(Effect::Applied(Box::new(event)));
    }

    fn restore(&mut self, snapshot: &Snapshot, fx: &mut Effects) {
        if snapshot.state.is_empty() {
            return;
        }
        match decode_state::<Machine>(&snapshot.state) {
            Ok(machine) => self.machine = machine,
            Err(error) => {
                let text = format!("could not read snapshot {}: {error}", snapshot.index);
                self.alarm(text, fx);
                return;
            }
        }
        fx.push(Effect::Viewed);
        self.repeat_unseen(fx);
    }

    /// A snapshot may cover proposals of this host, whose results are lost with
    /// the entries. All but strikes can be proposed again without harm.
    fn repeat_unseen(&mut self, fx: &mut Effects) {
        let covered: Vec<u64> = self
            .pending
            .keys()
            .copied()
            .filter(|&seq| self.machine.has_seen(self.host, self.run, seq))
            .collect();
        for seq in covered {
            let Some(pending) = self.pending.remove(&seq) else { continue };
            if matches!(pending.proposal.command, Command::Strike(_)) {
                continue;
            }
            fx.propose(pending.proposal.command);
        }
    }

    fn alarm(&mut self, text: String, fx: &mut Effects) {
        if self.alarms.contains(&text) {
            return;
        }
        self.alarms.push(text.clone());
        fx.out(Output::Changed(Change::Alarm(text)));
    }
}
