//! The owner's targets, indexed by what they hold.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use wire::{AdapterId, RequestId, TargetId};

use crate::{Resident, TargetView};

/// Weight of the newest sample in a target's mean running time.
const TOOK_WEIGHT: f64 = 0.1;
/// Weight of the newest sample in a target's mean lag.
const LAG_WEIGHT: f64 = 0.1;

/// A target with what the policy adds to its view.
#[derive(Debug)]
pub(crate) struct Target {
    /// The view as last set, with later starts and loads added.
    pub(crate) view: TargetView,
    /// A request for which the target is kept free until it can run alone.
    pub(crate) reserved: Option<RequestId>,
    /// Mean running time of a request in seconds, zero when unknown.
    pub(crate) took: f64,
    /// Mean seconds from when requests were due to their start, negative when
    /// they start before.
    pub(crate) lag: Option<f64>,
}

impl Target {
    /// Returns how many requests can start.
    pub(crate) fn room(&self) -> u32 {
        let view = &self.view;
        if !view.open || view.alone || self.reserved.is_some() {
            return 0;
        }
        view.batch.saturating_sub(view.running + view.foreign)
    }

    /// Returns whether a request can run alone.
    pub(crate) fn is_empty(&self) -> bool {
        let view = &self.view;
        view.open && !view.alone && view.running == 0 && view.foreign < view.batch
    }

    /// Returns the used share of the batch.
    pub(crate) fn fill(&self) -> f64 {
        let used = self.view.running + self.view.foreign;
        f64::from(used) / f64::from(self.view.batch.max(1))
    }

    /// Returns requests that end per second when the batch is full.
    pub(crate) fn pace(&self) -> f64 {
        if self.took <= 0.0 {
            return f64::INFINITY;
        }
        f64::from(self.view.batch) / self.took
    }

    /// Returns how long a request that is due at a time would wait for room, in
    /// seconds.
    pub(crate) fn room_wait(&self, now: Duration, due: Duration) -> f64 {
        let Some(lag) = self.lag else { return 0.0 };
        (due.as_secs_f64() - now.as_secs_f64() + lag).max(0.0)
    }

    /// Returns whether it holds an adapter or is loading it.
    pub(crate) fn holds(&self, adapter: AdapterId) -> bool {
        self.view.resident.iter().any(|resident| resident.adapter == adapter)
    }

    /// Returns how many adapters fit besides those it holds.
    pub(crate) fn space(&self) -> usize {
        (self.view.slots as usize).saturating_sub(self.view.resident.len())
    }
}

/// All targets of an owner.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    targets: BTreeMap<TargetId, Target>,
    holders: HashMap<AdapterId, BTreeSet<TargetId>>,
}

impl Fleet {
    /// Sets a target. Returns the adapters it holds now or held before.
    pub(crate) fn set(&mut self, view: TargetView) -> Vec<AdapterId> {
        let id = view.id;
        let old = self.targets.remove(&id);
        let kept = old.as_ref().map(|old| (old.reserved, old.took, old.lag));
        let (reserved, took, lag) = kept.unwrap_or((None, 0.0, None));
        let mut changed = Vec::new();
        for resident in old.iter().flat_map(|old| &old.view.resident) {
            if !is_ready(&view, resident.adapter) {
                self.unhold(resident.adapter, id);
                changed.push(resident.adapter);
            }
        }
        for resident in &view.resident {
            if view.open && resident.ready {
                self.holders.entry(resident.adapter).or_default().insert(id);
                changed.push(resident.adapter);
            }
        }
        self.targets.insert(id, Target { view, reserved, took, lag });
        changed
    }

    /// Removes a target. Returns the adapters it held.
    pub(crate) fn remove(&mut self, id: TargetId) -> Vec<AdapterId> {
        let Some(old) = self.targets.remove(&id) else { return Vec::new() };
        let held: Vec<AdapterId> = old.view.resident.iter().map(|held| held.adapter).collect();
        for adapter in &held {
            self.unhold(*adapter, id);
        }
        held
    }

    /// Returns a target.
    pub(crate) fn get(&self, id: TargetId) -> Option<&Target> {
        self.targets.get(&id)
    }

    /// Returns a target to change.
    pub(crate) fn get_mut(&mut self, id: TargetId) -> Option<&mut Target> {
        self.targets.get_mut(&id)
    }

    /// Returns all targets.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Returns the open targets on which an adapter is ready.
    pub(crate) fn holders(&self, adapter: AdapterId) -> impl Iterator<Item = &Target> {
        let ids = self.holders.get(&adapter).into_iter().flatten();
        ids.filter_map(|id| self.targets.get(id))
    }

    /// Returns on how many targets an adapter is ready.
    pub(crate) fn copies(&self, adapter: AdapterId) -> usize {
        self.holders.get(&adapter).map_or(0, BTreeSet::len)
    }

    /// Adds a start to a view until the owner sets it anew; `late` is the seconds
    /// since the request was due.
    pub(crate) fn start(&mut self, id: TargetId, alone: bool, late: f64) {
        let Some(target) = self.targets.get_mut(&id) else { return };
        target.view.running += 1;
        target.view.alone |= alone;
        let lag = target.lag.unwrap_or(late);
        target.lag = Some(lag + LAG_WEIGHT * (late - lag));
    }

    /// Adds an ordered load to a view until the owner sets it anew.
    pub(crate) fn order(&mut self, id: TargetId, adapter: AdapterId, victim: Option<AdapterId>) {
        if let Some(victim) = victim {
            self.unhold(victim, id);
        }
        let Some(target) = self.targets.get_mut(&id) else { return };
        target.view.resident.retain(|resident| Some(resident.adapter) != victim);
        let resident = Resident { adapter, users: 0, idle: false, ready: false };
        target.view.resident.push(resident);
    }

    /// Takes a sample of a target's running time.
    pub(crate) fn finished(&mut self, id: TargetId, took: Duration) {
        let Some(target) = self.targets.get_mut(&id) else { return };
        let took = took.as_secs_f64();
        if target.took <= 0.0 {
            target.took = took;
            return;
        }
        target.took += TOOK_WEIGHT * (took - target.took);
    }

    fn unhold(&mut self, adapter: AdapterId, id: TargetId) {
        let Some(ids) = self.holders.get_mut(&adapter) else { return };
        ids.remove(&id);
        if ids.is_empty() {
            self.holders.remove(&adapter);
        }
    }
}

fn is_ready(view: &TargetView, adapter: AdapterId) -> bool {
    let mut resident = view.resident.iter();
    view.open && resident.any(|resident| resident.adapter == adapter && resident.ready)
}
