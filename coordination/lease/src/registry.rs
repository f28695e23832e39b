//! The replicated registry of targets.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wire::{Command, Fence, HostId, Incarnation, Index, Intent, TargetId, TargetInfo};

/// An intent that is not resolved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenIntent {
    /// The log index that recorded it.
    pub index: Index,
    /// The intent.
    pub intent: Intent,
}

/// A registered target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its number, never reused.
    pub id: TargetId,
    /// What it said of itself.
    pub info: TargetInfo,
    /// Its owner.
    pub owner: Option<(HostId, Incarnation)>,
    /// The log index of that ownership; the fencing number of its orders.
    pub fence: Fence,
    /// Orders that an earlier owner may still have under way.
    pub intents: Vec<OpenIntent>,
}

/// All targets. Every host applies the same commands in the same order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    targets: BTreeMap<TargetId, Target>,
    names: BTreeMap<String, TargetId>,
    next: TargetId,
}

impl Registry {
    /// Applies a command at a log index. Commands of other areas do nothing.
    /// An intent of a host that does not own the target any more, or whose
    /// fencing number is old, is refused: false is returned.
    pub fn apply(&mut self, index: Index, command: &Command) -> bool {
        let _ = (index, command, &mut self.next);
        todo!()
    }

    /// Returns all targets in order of their numbers.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Returns a target.
    pub fn get(&self, id: TargetId) -> Option<&Target> {
        self.targets.get(&id)
    }

    /// Returns a target by its name.
    pub fn named(&self, name: &str) -> Option<&Target> {
        self.targets.get(self.names.get(name)?)
    }
}
