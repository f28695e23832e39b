//! What the tables of a host ask of each other and of the daemon.

use wire::{Command, HostId, PeerMsg};

use crate::{Output, machine::Event};

/// One consequence of a step.
#[derive(Debug)]
pub(crate) enum Effect {
    /// For the daemon.
    Out(Output),
    /// For a host, this one included.
    Send(HostId, PeerMsg),
    /// To be committed.
    Propose(Command),
    /// A command of any host was applied.
    Applied(Box<Event>),
    /// The view changed: registry, configuration, strikes or leader.
    Viewed,
}

/// The consequences of a step, in order.
#[derive(Debug, Default)]
pub(crate) struct Effects(Vec<Effect>);

impl Effects {
    pub(crate) fn out(&mut self, output: Output) {
        self.0.push(Effect::Out(output));
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
