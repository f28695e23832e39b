//! The replicated registry of targets.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wire::{Command, Fence, HostId, Incarnation, Index, Intent, Move, TargetId, TargetInfo};

/// Forgotten targets that are remembered at most, but for those with intents.
const MAX_FORGOTTEN: usize = 1000;

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
    /// The owner before the last move.
    pub former: Option<(HostId, Incarnation)>,
    /// The log index of that ownership; the fencing number of its orders.
    pub fence: Fence,
    /// Orders that an earlier owner may still have under way.
    pub intents: Vec<OpenIntent>,
}

impl Target {
    /// Returns whether no host ever owned the target: it may be given an owner
    /// whatever leases are out.
    pub fn is_new(&self) -> bool {
        self.owner.is_none() && self.former.is_none()
    }
}

/// All targets. Every host applies the same commands in the same order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    targets: BTreeMap<TargetId, Target>,
    names: BTreeMap<String, TargetId>,
    /// Targets that were forgotten once they had an owner. They may come back
    /// while that owner, or an order of it, is still under way.
    forgotten: BTreeMap<String, Target>,
    next: TargetId,
}

impl Registry {
    /// Applies a command at a log index. Commands of other areas do nothing.
    /// An intent of a host that does not own the target any more, or whose
    /// fencing number is old, is refused: false is returned.
    pub fn apply(&mut self, index: Index, command: &Command) -> bool {
        match command {
            Command::Register(info) => self.register(info),
            Command::Forget(id) => self.forget(index, *id),
            Command::Assign(moves) => self.assign(index, moves),
            Command::Intent(intent) => return self.intend(index, *intent),
            Command::Resolve(intent) => self.resolve(*intent),
            Command::Restarted { target, incarnation } => self.restarted(*target, *incarnation),
            _ => (),
        }
        true
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

    fn register(&mut self, info: &TargetInfo) {
        if let Some(id) = self.names.get(&info.name) {
            if let Some(target) = self.targets.get_mut(id) {
                target.info = info.clone();
            }
            return;
        }
        self.next += 1;
        let id = self.next;
        let target = match self.forgotten.remove(&info.name) {
            Some(old) => revive(old, id, info.clone()),
            None => Target {
                id,
                info: info.clone(),
                owner: None,
                former: None,
                fence: 0,
                intents: Vec::new(),
            },
        };
        self.targets.insert(id, target);
        self.names.insert(info.name.clone(), id);
    }

    fn forget(&mut self, index: Index, id: TargetId) {
        let Some(mut target) = self.targets.remove(&id) else { return };
        self.names.remove(&target.info.name);
        if target.is_new() {
            return;
        }
        target.former = target.owner.or(target.former);
        target.owner = None;
        target.fence = index;
        self.forgotten.insert(target.info.name.clone(), target);
        self.trim();
    }

    /// Drops the targets forgotten first above the bound, but for those that
    /// an order may still reach.
    fn trim(&mut self) {
        if self.forgotten.len() <= MAX_FORGOTTEN {
            return;
        }
        let idle = self.forgotten.values().filter(|target| target.intents.is_empty());
        let Some(first) = idle.min_by_key(|target| target.fence) else { return };
        let name = first.info.name.clone();
        self.forgotten.remove(&name);
    }

    fn assign(&mut self, index: Index, moves: &[Move]) {
        for change in moves {
            let Some(target) = self.targets.get_mut(&change.target) else { continue };
            if target.owner == change.owner {
                continue;
            }
            if target.owner.is_some() {
                target.former = target.owner;
            }
            target.owner = change.owner;
            target.fence = index;
        }
    }

    fn intend(&mut self, index: Index, intent: Intent) -> bool {
        let Some(target) = self.targets.get_mut(&intent.target) else { return false };
        let sender = (intent.host, intent.run);
        if target.owner != Some(sender) || target.fence != intent.fence {
            return false;
        }
        target.intents.push(OpenIntent { index, intent });
        true
    }

    fn resolve(&mut self, index: Index) {
        for target in self.targets.values_mut() {
            target.intents.retain(|open| open.index != index);
        }
        for target in self.forgotten.values_mut() {
            target.intents.retain(|open| open.index != index);
        }
    }

    fn restarted(&mut self, id: TargetId, incarnation: Incarnation) {
        let Some(target) = self.targets.get_mut(&id) else { return };
        target.intents.retain(|open| open.intent.incarnation >= incarnation);
    }
}

/// Gives a forgotten target its new number. Its open intents stay.
fn revive(mut target: Target, id: TargetId, info: TargetInfo) -> Target {
    target.id = id;
    target.info = info;
    for open in &mut target.intents {
        open.intent.target = id;
    }
    target
}
