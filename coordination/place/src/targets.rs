//! The targets of an owner, indexed by the adapters that are ready on them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use wire::{AdapterId, RequestId, TargetId};

use crate::{Resident, TargetView};

/// Weight of the newest sample in a target's mean running time.
const RUN_TIME_WEIGHT: f64 = 0.1;
/// Weight of the newest sample in a target's mean start delay.
const START_DELAY_WEIGHT: f64 = 0.1;

/// A target's view and the statistics that the policy keeps about it.
#[derive(Debug)]
pub(crate) struct Target {
    /// The view as last set, with later starts and loads added.
    pub(crate) view: TargetView,
    /// Request for which the target is kept free until the request can run alone.
    pub(crate) reserved: Option<RequestId>,
    /// Mean running time of a request in seconds, zero when unknown.
    pub(crate) run_secs: f64,
    /// Mean time between the due time of requests and their start, in seconds; negative when they
    /// start earlier, `None` before the first start.
    pub(crate) start_delay: Option<f64>,
}

impl Target {
    /// Returns how many more requests can start.
    pub(crate) fn batch_room(&self) -> u32 {
        let view = &self.view;
        if !view.open || view.exclusive || self.reserved.is_some() {
            return 0;
        }
        view.batch.saturating_sub(view.running + view.external)
    }

    /// Returns whether a request that must run alone can start.
    pub(crate) fn can_run_alone(&self) -> bool {
        let view = &self.view;
        view.open && !view.exclusive && view.running == 0 && view.external < view.batch
    }

    /// Returns the used fraction of the batch.
    pub(crate) fn fill(&self) -> f64 {
        let used = self.view.running + self.view.external;
        f64::from(used) / f64::from(self.view.batch.max(1))
    }

    /// Returns the number of requests that end per second while the batch is full; infinite when
    /// the running time is unknown.
    pub(crate) fn throughput(&self) -> f64 {
        if self.run_secs <= 0.0 {
            return f64::INFINITY;
        }
        f64::from(self.view.batch) / self.run_secs
    }

    /// Returns the expected wait for room in the batch of a request due at `due`, in seconds.
    pub(crate) fn batch_wait(&self, now: Duration, due: Duration) -> f64 {
        let Some(start_delay) = self.start_delay else { return 0.0 };
        (due.as_secs_f64() - now.as_secs_f64() + start_delay).max(0.0)
    }

    /// Returns whether the target holds an adapter or is loading it.
    pub(crate) fn holds(&self, adapter: AdapterId) -> bool {
        self.view.resident.iter().any(|resident| resident.adapter == adapter)
    }

    /// Returns the number of free adapter slots.
    pub(crate) fn free_slots(&self) -> usize {
        (self.view.slots as usize).saturating_sub(self.view.resident.len())
    }
}

/// All targets of an owner.
#[derive(Debug, Default)]
pub(crate) struct TargetSet {
    by_id: BTreeMap<TargetId, Target>,
    ready_targets: HashMap<AdapterId, BTreeSet<TargetId>>,
}

impl TargetSet {
    /// Sets a target. Returns the adapters that are ready on it and those that no longer are.
    pub(crate) fn set(&mut self, view: TargetView) -> Vec<AdapterId> {
        let id = view.id;
        let old = self.by_id.remove(&id);
        let kept = old.as_ref().map(|old| (old.reserved, old.run_secs, old.start_delay));
        let (reserved, run_secs, start_delay) = kept.unwrap_or((None, 0.0, None));
        let mut changed = Vec::new();
        for resident in old.iter().flat_map(|old| &old.view.resident) {
            if !is_ready(&view, resident.adapter) {
                self.remove_ready(resident.adapter, id);
                changed.push(resident.adapter);
            }
        }
        for resident in &view.resident {
            if view.open && resident.ready {
                self.ready_targets.entry(resident.adapter).or_default().insert(id);
                changed.push(resident.adapter);
            }
        }
        self.by_id.insert(id, Target { view, reserved, run_secs, start_delay });
        changed
    }

    /// Removes a target. Returns the adapters it held.
    pub(crate) fn remove(&mut self, id: TargetId) -> Vec<AdapterId> {
        let Some(old) = self.by_id.remove(&id) else { return Vec::new() };
        let held: Vec<AdapterId> = old.view.resident.iter().map(|held| held.adapter).collect();
        for adapter in &held {
            self.remove_ready(*adapter, id);
        }
        held
    }

    /// Returns a target.
    pub(crate) fn get(&self, id: TargetId) -> Option<&Target> {
        self.by_id.get(&id)
    }

    /// Returns a mutable reference to a target.
    pub(crate) fn get_mut(&mut self, id: TargetId) -> Option<&mut Target> {
        self.by_id.get_mut(&id)
    }

    /// Returns all targets in ascending order of their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Target> {
        self.by_id.values()
    }

    /// Returns the open targets on which an adapter is ready.
    pub(crate) fn ready_on(&self, adapter: AdapterId) -> impl Iterator<Item = &Target> {
        let ids = self.ready_targets.get(&adapter).into_iter().flatten();
        ids.filter_map(|id| self.by_id.get(id))
    }

    /// Returns the number of open targets on which an adapter is ready.
    pub(crate) fn copies(&self, adapter: AdapterId) -> usize {
        self.ready_targets.get(&adapter).map_or(0, BTreeSet::len)
    }

    /// Adds a started request to a view until the owner sets the view again. `delay` is the time
    /// since the request was due, in seconds.
    pub(crate) fn add_start(&mut self, id: TargetId, alone: bool, delay: f64) {
        let Some(target) = self.by_id.get_mut(&id) else { return };
        target.view.running += 1;
        target.view.exclusive |= alone;
        let start_delay = target.start_delay.unwrap_or(delay);
        target.start_delay = Some(start_delay + START_DELAY_WEIGHT * (delay - start_delay));
    }

    /// Adds an ordered load to a view until the owner sets the view again.
    pub(crate) fn add_load(&mut self, id: TargetId, adapter: AdapterId, victim: Option<AdapterId>) {
        if let Some(victim) = victim {
            self.remove_ready(victim, id);
        }
        let Some(target) = self.by_id.get_mut(&id) else { return };
        target.view.resident.retain(|resident| Some(resident.adapter) != victim);
        let resident = Resident { adapter, users: 0, idle: false, ready: false };
        target.view.resident.push(resident);
    }

    /// Records the running time of a request on a target.
    pub(crate) fn record_run(&mut self, id: TargetId, took: Duration) {
        let Some(target) = self.by_id.get_mut(&id) else { return };
        let took = took.as_secs_f64();
        if target.run_secs <= 0.0 {
            target.run_secs = took;
            return;
        }
        target.run_secs += RUN_TIME_WEIGHT * (took - target.run_secs);
    }

    fn remove_ready(&mut self, adapter: AdapterId, id: TargetId) {
        let Some(ids) = self.ready_targets.get_mut(&adapter) else { return };
        ids.remove(&id);
        if ids.is_empty() {
            self.ready_targets.remove(&adapter);
        }
    }
}

fn is_ready(view: &TargetView, adapter: AdapterId) -> bool {
    let mut resident = view.resident.iter();
    view.open && resident.any(|resident| resident.adapter == adapter && resident.ready)
}
