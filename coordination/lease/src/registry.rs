//! The replicated registry of targets.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wire::{Command, Fence, HostId, Incarnation, Index, Intent, Move, TargetId, TargetInfo};

/// Maximum number of forgotten targets kept, not counting those with open intents.
const MAX_FORGOTTEN: usize = 1000;

/// A recorded intent whose outcome is not yet known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenIntent {
    /// Log index at which the intent was recorded.
    pub index: Index,
    /// The order that the intent announces.
    pub intent: Intent,
}

/// A registered target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Id of the target, never reused.
    pub id: TargetId,
    /// Latest registered description of the target.
    pub info: TargetInfo,
    /// The current owner: a host and its incarnation; `None` if the target is released.
    pub owner: Option<(HostId, Incarnation)>,
    /// The owner before the last change of owner; `None` if there was none.
    pub previous_owner: Option<(HostId, Incarnation)>,
    /// Log index of the last change of owner, used as the fencing number of the owner's orders.
    pub fence: Fence,
    /// Orders that may still be in flight, including those of earlier owners.
    pub intents: Vec<OpenIntent>,
}

impl Target {
    /// Returns whether no host ever owned the target. Such a target may be given an owner even
    /// while leases of an earlier leader may be valid.
    pub fn is_new(&self) -> bool {
        self.owner.is_none() && self.previous_owner.is_none()
    }
}

/// All registered targets. Every host applies the same commands in the same order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    targets: BTreeMap<TargetId, Target>,
    names: BTreeMap<String, TargetId>,
    /// Forgotten targets that once had an owner, by name. A target may register again while that
    /// owner, or one of its orders, is still active.
    forgotten: BTreeMap<String, Target>,
    last_id: TargetId,
}

impl Registry {
    /// Applies the command at a log index. Commands of other components are ignored. Returns false
    /// if an intent is refused, because its host no longer owns the target or its fencing number is
    /// outdated.
    pub fn apply(&mut self, index: Index, command: &Command) -> bool {
        match command {
            Command::Register(info) => self.register(info),
            Command::Forget(id) => self.forget(index, *id),
            Command::Assign(moves) => self.assign(index, moves),
            Command::Intent(intent) => return self.add_intent(index, *intent),
            Command::Resolve(intent_index) => self.resolve(*intent_index),
            Command::Restarted { target, incarnation } => self.restarted(*target, *incarnation),
            _ => (),
        }
        true
    }

    /// Returns all targets in ascending order of their ids.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Returns the target with an id, or `None` if it is not registered.
    pub fn get(&self, id: TargetId) -> Option<&Target> {
        self.targets.get(&id)
    }

    /// Returns the target with a name, or `None` if it is not registered.
    pub fn by_name(&self, name: &str) -> Option<&Target> {
        self.targets.get(self.names.get(name)?)
    }

    fn register(&mut self, info: &TargetInfo) {
        if let Some(id) = self.names.get(&info.name) {
            if let Some(target) = self.targets.get_mut(id) {
                target.info = info.clone();
            }
            return;
        }
        self.last_id += 1;
        let id = self.last_id;
        let target = match self.forgotten.remove(&info.name) {
            Some(old) => restore(old, id, info.clone()),
            None => Target {
                id,
                info: info.clone(),
                owner: None,
                previous_owner: None,
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
        target.previous_owner = target.owner.or(target.previous_owner);
        target.owner = None;
        target.fence = index;
        self.forgotten.insert(target.info.name.clone(), target);
        self.trim_forgotten();
    }

    /// Drops the target that was forgotten first when there are too many. Targets with open intents
    /// are kept, because an order may still reach them.
    fn trim_forgotten(&mut self) {
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
                target.previous_owner = target.owner;
            }
            target.owner = change.owner;
            target.fence = index;
        }
    }

    fn add_intent(&mut self, index: Index, intent: Intent) -> bool {
        let Some(target) = self.targets.get_mut(&intent.target) else { return false };
        let sender = (intent.host, intent.host_incarnation);
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

/// Registers a forgotten target under a new number. Its open intents are kept.
fn restore(mut target: Target, id: TargetId, info: TargetInfo) -> Target {
    target.id = id;
    target.info = info;
    for open in &mut target.intents {
        open.intent.target = id;
    }
    target
}
