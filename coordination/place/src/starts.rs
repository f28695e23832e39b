//! Which waiting request starts on which target.

use std::{collections::BTreeSet, time::Duration};

use admit::{Lane, Requirement};
use wire::{Pin, RequestId, TargetId};

use crate::{TargetView, owner::Owner, targets::Target};

/// Preference for the target that last used a request's prefix: it is chosen unless it is fuller
/// than another by more than this fraction of its batch.
const PREFIX_FILL: f64 = 0.25;

impl Owner {
    /// Calls `visit` with each target that can run the requests of a lane.
    pub(crate) fn for_each_target(&self, need: Requirement, mut visit: impl FnMut(&Target)) {
        match need {
            Requirement::Adapter(adapter) => self.targets.ready_on(adapter).for_each(visit),
            Requirement::Service(_) => {
                for id in self.services.get(&need).into_iter().flatten() {
                    if let Some(target) = self.targets.get(*id) {
                        visit(target);
                    }
                }
            }
        }
    }

    /// Returns the target on which the next request of a lane should start: the one with the
    /// emptiest batch, or the one that last used the request's prefix if it is not much fuller.
    pub(crate) fn pick_target(&self, lane: Lane, request: RequestId) -> Option<TargetId> {
        let cached = self.prefix_target(lane, request);
        let mut best: Option<(f64, TargetId)> = None;
        self.for_each_target(lane.requirement, |target| {
            let is_own = target.reserved == Some(request);
            let fits = if lane.exclusive {
                target.can_run_alone() && (is_own || target.reserved.is_none())
            } else {
                target.batch_room() > 0
            };
            let is_cached = cached == Some(target.view.id);
            let fill = target.fill() - if is_cached { PREFIX_FILL } else { 0.0 };
            if fits && best.is_none_or(|(least, _)| fill < least) {
                best = Some((fill, target.view.id));
            }
        });
        best.map(|(_, id)| id)
    }

    fn prefix_target(&self, lane: Lane, request: RequestId) -> Option<TargetId> {
        let Requirement::Adapter(adapter) = lane.requirement else { return None };
        let prefix = self.queue.get(request)?.prefix;
        self.prefixes.last_target(adapter, prefix)
    }

    /// Keeps a target free for a request that must run alone. At most one of the targets of a lane
    /// is kept free at a time.
    pub(crate) fn reserve(&mut self, lane: Lane, request: RequestId) {
        let mut best: Option<(f64, TargetId)> = None;
        let mut is_reserved = false;
        self.for_each_target(lane.requirement, |target| {
            is_reserved |= target.reserved.is_some();
            let fill = target.fill();
            if target.view.open && best.is_none_or(|(least, _)| fill < least) {
                best = Some((fill, target.view.id));
            }
        });
        if is_reserved {
            return;
        }
        let Some((_, id)) = best else { return };
        let Some(target) = self.targets.get_mut(id) else { return };
        target.reserved = Some(request);
        self.reserved.insert(request, id);
    }

    /// Releases a target that is kept free for a request that it can no longer run.
    pub(crate) fn release_stale(&mut self, id: TargetId) {
        let Some(request) = self.targets.get(id).and_then(|target| target.reserved) else { return };
        let is_runnable = match self.queue.get(request).map(|waiting| &waiting.pin) {
            Some(Pin::Adapter { id: adapter, .. }) => {
                self.targets.ready_on(*adapter).any(|target| target.view.id == id)
            }
            Some(Pin::Service { .. }) => self.targets.get(id).is_some_and(|kept| kept.view.open),
            None => false,
        };
        if !is_runnable {
            self.release(request);
        }
    }

    /// Releases the target that is kept free for a request.
    pub(crate) fn release(&mut self, request: RequestId) {
        let Some(id) = self.reserved.remove(&request) else { return };
        self.changed_targets.insert(id);
        if let Some(target) = self.targets.get_mut(id) {
            target.reserved = None;
        }
    }

    /// Returns the lanes in which a request may be able to start, by the due time of their first
    /// request.
    pub(crate) fn startable_lanes(&mut self) -> BTreeSet<(Duration, Lane)> {
        let mut lanes = std::mem::take(&mut self.new_lanes);
        for id in std::mem::take(&mut self.changed_targets) {
            let Some(target) = self.targets.get(id) else { continue };
            let needs =
                target.view.resident.iter().map(|resident| Requirement::Adapter(resident.adapter));
            for requirement in needs.chain(self.service_of(&target.view)) {
                lanes.insert(Lane { requirement, exclusive: false });
                lanes.insert(Lane { requirement, exclusive: true });
            }
        }
        let due = |lane: Lane| self.queue.first_due(lane).map(|(due, _)| (due, lane));
        lanes.into_iter().filter_map(due).collect()
    }

    pub(crate) fn service_of(&self, view: &TargetView) -> Option<Requirement> {
        let ids = self.services.iter().find(|(_, ids)| ids.contains(&view.id));
        ids.map(|(need, _)| *need)
    }
}
