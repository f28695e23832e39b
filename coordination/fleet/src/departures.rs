//! Departures: that a target's process takes no more requests is in the log before the target gets its
//! acknowledgement. Heartbeats that it sent before may arrive after all processes have been killed.

use std::time::Duration;

use desired::Command;
use replog::Input as LogInput;
use wire::{TargetRecord, TargetState, encode};

use crate::{Host, former::ENDED_LIFE, io::Tag};

impl Host {
    /// Records in the log that a target's process takes no more requests, and answers the call that said so.
    pub(crate) fn record_departure(
        &mut self,
        now: Duration,
        tag: Tag,
        target: String,
        started_at: u64,
    ) {
        let command = Command::Depart { target, started_at };
        let is_recorded = self.desired.is_redundant(&command);
        self.operator_calls.change(now, tag, command);
        if is_recorded {
            self.operator_calls.confirm(tag);
        }
    }

    /// Applies the departures in the log.
    pub(crate) fn apply_departures(&mut self, now: Duration) {
        let departures: Vec<(String, u64)> =
            self.desired.departures.iter().map(|(id, it)| (id.clone(), it.started_at)).collect();
        for (id, started_at) in departures {
            self.apply_departure(now, &id, started_at);
        }
    }

    /// Sends no more requests to a target's process, by the log. Where that process isn't in use, it counts as
    /// ended: no request of this host is in progress there.
    pub(crate) fn apply_departure(&mut self, now: Duration, id: &str, started_at: u64) {
        let known = self.targets.get(id).map(|it| &it.record);
        let record = match known.filter(|it| it.started_at == started_at) {
            Some(known) => TargetRecord { state: TargetState::Leaving, ..known.clone() },
            None => self.targets.complete_ending(id, started_at),
        };
        self.update_target(now, &record);
    }

    /// Proposes to drop the departures that have been in the log for so long that no heartbeat from before them
    /// can be under way.
    pub(crate) fn drop_departures(&mut self, now: Duration) {
        let Some(leading) = &mut self.leading else { return };
        let Some((at, up_to)) = leading.departures_seen else {
            let newest = self.desired.departures.values().map(|it| it.index).max();
            leading.departures_seen = newest.map(|it| (now, it));
            return;
        };
        if now < at + ENDED_LIFE {
            return;
        }
        leading.departures_seen = None;
        let command = Command::DropDepartures { up_to };
        if !self.desired.is_redundant(&command) {
            self.step_log(now, LogInput::Propose(encode(&command).into()));
        }
    }
}
