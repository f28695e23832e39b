//! Effects: what a component of a host requests of the other components and of the daemon.

use wire::{Command, HostId, PeerMsg};

use crate::{Output, machine::AppliedCommand};

/// One effect of a step.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Returned to the daemon.
    Output(Output),
    /// Sent to a host, which may be this one.
    Send(HostId, PeerMsg),
    /// Proposed to be committed.
    Propose(Command),
    /// A command that any host proposed was applied.
    Applied(Box<AppliedCommand>),
    /// The view changed: registry, configuration, strikes or leader.
    ViewChanged,
}

/// The effects of a step, in order.
#[derive(Debug, Default)]
pub(crate) struct Effects(Vec<Effect>);

impl Effects {
    pub(crate) fn output(&mut self, output: Output) {
        self.0.push(Effect::Output(output));
    }

    pub(crate) fn send(&mut self, to: HostId, msg: PeerMsg) {
        self.0.push(Effect::Send(to, msg));
    }

    pub(crate) fn propose(&mut self, command: Command) {
        self.0.push(Effect::Propose(command));
    }

    pub(crate) fn push(&mut self, effect: Effect) {
        self.0.push(effect);
    }
}

impl IntoIterator for Effects {
    type Item = Effect;
    type IntoIter = std::vec::IntoIter<Effect>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}
