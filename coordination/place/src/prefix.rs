//! Where prompt prefixes were last used.

use std::collections::{HashMap, VecDeque};

use wire::{AdapterId, TargetId};

/// Prefixes that are remembered; the oldest are forgotten first.
const REMEMBERED: usize = 4096;

/// The target that last ran each adapter's prefixes. A hint: its cache may have
/// dropped them.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    targets: HashMap<(AdapterId, u64), TargetId>,
    order: VecDeque<(AdapterId, u64)>,
}

impl Prefixes {
    /// Notes that a prefix was used on a target. Zero stands for none.
    pub(crate) fn used(&mut self, adapter: AdapterId, prefix: u64, target: TargetId) {
        if prefix == 0 || self.targets.insert((adapter, prefix), target).is_some() {
            return;
        }
        self.order.push_back((adapter, prefix));
        if self.order.len() <= REMEMBERED {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.targets.remove(&oldest);
        }
    }

    /// Returns the target that last used a prefix.
    pub(crate) fn last(&self, adapter: AdapterId, prefix: u64) -> Option<TargetId> {
        self.targets.get(&(adapter, prefix)).copied()
    }
}
