//! The replicated state on this host: its replica of the log, the state machine, and this host's
//! proposals that are not applied yet.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use replog::{Input as LogInput, Output as LogOutput, Replica};
use wire::{
    Command, Entry, EntryBody, HostId, Incarnation, LogMsg, PeerMsg, Proposal, Snapshot, decode,
    decode_state, encode,
};

use crate::{
    Output, StateChange,
    effect::{Effect, Effects},
    machine::{CommandResult, Machine},
    view::View,
};

const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// A proposal of this host that is not applied yet.
#[derive(Debug)]
struct Pending {
    proposal: Proposal,
    sent_at: Duration,
}

/// A host's replica of the log and the state machine that the log drives.
#[derive(Debug)]
pub(crate) struct Replicated {
    host: HostId,
    incarnation: Incarnation,
    replica: Replica,
    machine: Machine,
    pending: BTreeMap<u64, Pending>,
    next_seq: u64,
    wall_ms: u64,
    alarms: Vec<String>,
}

impl Replicated {
    pub(crate) fn new(
        host: HostId,
        incarnation: Incarnation,
        replica: Replica,
        machine: Machine,
        wall_ms: u64,
    ) -> Replicated {
        Replicated {
            host,
            incarnation,
            replica,
            machine,
            pending: BTreeMap::new(),
            next_seq: 1,
            wall_ms,
            alarms: Vec::new(),
        }
    }

    /// Returns the conditions that need an operator.
    pub(crate) fn alarms(&self) -> &[String] {
        &self.alarms
    }

    pub(crate) fn machine(&self) -> &Machine {
        &self.machine
    }

    pub(crate) fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the view that the other components read.
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

    pub(crate) fn tick(&mut self, now: Duration, wall_ms: u64, fx: &mut Effects) {
        self.wall_ms = self.wall_ms.max(wall_ms);
        self.step_log(now, LogInput::Tick, fx);
        self.resend(now, fx);
    }

    pub(crate) fn handle_message(
        &mut self,
        now: Duration,
        from: HostId,
        msg: LogMsg,
        fx: &mut Effects,
    ) {
        self.step_log(now, LogInput::Msg { from, msg }, fx);
    }

    /// Passes an input to the log replica and handles its outputs.
    pub(crate) fn step_log(&mut self, now: Duration, input: LogInput, fx: &mut Effects) {
        let outputs = self.replica.handle(now, input);
        self.handle_outputs(now, outputs, fx);
    }

    /// Handles outputs of the log replica.
    pub(crate) fn handle_outputs(
        &mut self,
        now: Duration,
        outputs: Vec<LogOutput>,
        fx: &mut Effects,
    ) {
        let mut snapshot_due = false;
        for output in outputs {
            match output {
                LogOutput::Send { to, msg } => fx.send(to, PeerMsg::Log(msg)),
                LogOutput::Write(write) => fx.output(Output::Write(write)),
                LogOutput::Apply(entry) => self.apply(entry, fx),
                LogOutput::Restore(snapshot) => self.restore(&snapshot, fx),
                LogOutput::SnapshotDue => snapshot_due = true,
                LogOutput::Leader { leader, term } => {
                    fx.output(Output::StateChanged(StateChange::Leader { leader, term }));
                    fx.push(Effect::ViewChanged);
                    self.expire_resends();
                }
                LogOutput::Alarm(alarm) => self.alarm(format!("{alarm:?}"), fx),
            }
        }
        if snapshot_due {
            let state = encode(&self.machine).into();
            let index = self.machine.applied;
            self.step_log(now, LogInput::Compact { index, state }, fx);
        }
    }

    /// Proposes a command: sends it to the leader, and again until it is applied.
    pub(crate) fn propose(&mut self, now: Duration, command: Command, fx: &mut Effects) {
        let seq = self.next_seq;
        self.next_seq += 1;
        let floor = self.pending.keys().next().copied().unwrap_or(seq);
        let proposal = Proposal {
            host: self.host,
            incarnation: self.incarnation,
            seq,
            floor,
            at: self.wall_ms,
            command,
        };
        self.pending.insert(seq, Pending { proposal: proposal.clone(), sent_at: now });
        self.send_proposal(now, proposal, fx);
    }

    /// Appends a proposal of any host if this host leads. The proposal gets this host's time: the
    /// clock of a single entry host must not decide which idempotency keys have expired.
    pub(crate) fn append_proposal(&mut self, now: Duration, proposal: &Proposal, fx: &mut Effects) {
        if !self.replica.status().leading {
            return;
        }
        let stamped = Proposal { at: self.wall_ms, ..proposal.clone() };
        self.step_log(now, LogInput::Propose(encode(&stamped).into()), fx);
    }

    fn send_proposal(&mut self, now: Duration, proposal: Proposal, fx: &mut Effects) {
        let status = self.replica.status();
        if status.leading {
            self.append_proposal(now, &proposal, fx);
            return;
        }
        let Some(leader) = status.leader else { return };
        if leader != self.host {
            fx.send(leader, PeerMsg::Propose(proposal));
        }
    }

    /// Makes all pending proposals due for resending, after a change of leader.
    fn expire_resends(&mut self) {
        for pending in self.pending.values_mut() {
            pending.sent_at = Duration::ZERO;
        }
    }

    fn resend(&mut self, now: Duration, fx: &mut Effects) {
        let mut due = Vec::new();
        for pending in self.pending.values_mut() {
            if now < pending.sent_at + RESEND_INTERVAL {
                continue;
            }
            pending.sent_at = now;
            due.push(pending.proposal.clone());
        }
        for proposal in due {
            self.send_proposal(now, proposal, fx);
        }
    }

    fn apply(&mut self, entry: Entry, fx: &mut Effects) {
        let EntryBody::Data(bytes) = entry.body else {
            self.machine.applied = entry.index;
            fx.push(Effect::ViewChanged);
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
        let is_own = proposal.host == self.host && proposal.incarnation == self.incarnation;
        let seq = proposal.seq;
        fx.push(Effect::ViewChanged);
        let Some(applied) = self.machine.apply(entry.index, proposal) else { return };
        if is_own {
            self.pending.remove(&seq);
        }
        if let CommandResult::Publish(Ok(receipt)) = &applied.result
            && receipt.index == entry.index
        {
            let change = StateChange::Config { revision: entry.index, sequence: receipt.sequence };
            fx.output(Output::StateChanged(change));
        }
        fx.push(Effect::Applied(Box::new(applied)));
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
        fx.push(Effect::ViewChanged);
        self.repropose_covered(fx);
    }

    /// Proposes again the commands whose proposals a restored snapshot covers: their results are
    /// lost with the log entries. Strikes are left out, as they would be counted twice.
    fn repropose_covered(&mut self, fx: &mut Effects) {
        let covered: Vec<u64> = self
            .pending
            .keys()
            .copied()
            .filter(|&seq| self.machine.has_applied(self.host, self.incarnation, seq))
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
        fx.output(Output::StateChanged(StateChange::Alarm(text)));
    }
}
