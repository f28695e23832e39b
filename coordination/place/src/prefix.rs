//! Targets on which prompt prefixes were last used.

use std::collections::{HashMap, VecDeque};

use wire::{AdapterId, TargetId};

/// Maximum number of prefixes kept; the oldest are dropped first.
const MAX_PREFIXES: usize = 4096;

/// The target that last ran each prefix of an adapter. Only a hint, because the target's cache may
/// have dropped the prefix.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    targets: HashMap<(AdapterId, u64), TargetId>,
    order: VecDeque<(AdapterId, u64)>,
}

impl Prefixes {
    /// Records that a prefix was used on a target. A prefix of zero means none.
    pub(crate) fn record(&mut self, adapter: AdapterId, prefix: u64, target: TargetId) {
        if prefix == 0 || self.targets.insert((adapter, prefix), target).is_some() {
            return;
        }
        self.order.push_back((adapter, prefix));
        if self.order.len() <= MAX_PREFIXES {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.targets.remove(&oldest);
        }
    }

    /// Returns the target that last used a prefix.
    pub(crate) fn last_target(&self, adapter: AdapterId, prefix: u64) -> Option<TargetId> {
        self.targets.get(&(adapter, prefix)).copied()
    }
}
