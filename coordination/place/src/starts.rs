//! Which waiting request starts where.

use std::{collections::BTreeSet, time::Duration};

use admit::{Lane, Need};
use wire::{Pin, RequestId, TargetId};

use crate::{TargetView, fleet::Target, owner::Owner};

/// How much fuller, as a share of its batch, the target that last used a
/// request's prefix may be than another and still be taken.
const PREFIX_FILL: f64 = 0.25;

impl Owner {
    /// Calls `visit` with each target that could run a lane's requests.
    pub(crate) fn each_holder(&self, need: Need, mut visit: impl FnMut(&Target)) {
        match need {
            Need::Adapter(adapter) => self.fleet.holders(adapter).for_each(visit),
            Need::Service(_) => {
                for id in self.services.get(&need).into_iter().flatten() {
                    if let Some(target) = self.fleet.get(*id) {
                        visit(target);
                    }
                }
            }
        }
    }

    /// Returns the target on which a lane's next request should start: the one
    /// with the most room, or the one that last used its prefix if that is not
    /// much fuller.
    pub(crate) fn pick(&self, lane: Lane, request: RequestId) -> Option<TargetId> {
        let cached = self.cached(lane, request);
        let mut best: Option<(f64, TargetId)> = None;
        self.each_holder(lane.need, |target| {
            let is_mine = target.reserved == Some(request);
            let fits = if lane.alone {
                target.is_empty() && (is_mine || target.reserved.is_none())
            } else {
                target.room() > 0
            };
            let is_cached = cached == Some(target.view.id);
            let fill = target.fill() - if is_cached { PREFIX_FILL } else { 0.0 };
            if fits && best.is_none_or(|(least, _)| fill < least) {
                best = Some((fill, target.view.id));
            }
        });
        best.map(|(_, id)| id)
    }

    fn cached(&self, lane: Lane, request: RequestId) -> Option<TargetId> {
        let Need::Adapter(adapter) = lane.need else { return None };
        let prefix = self.queue.get(request)?.prefix;
        self.prefixes.last(adapter, prefix)
    }

    /// Keeps a target free for a request that must run alone. One target is kept
    /// for each lane at a time.
    pub(crate) fn reserve(&mut self, lane: Lane, request: RequestId) {
        let mut best: Option<(f64, TargetId)> = None;
        let mut is_reserved = false;
        self.each_holder(lane.need, |target| {
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
        let Some(target) = self.fleet.get_mut(id) else { return };
        target.reserved = Some(request);
        self.reserved.insert(request, id);
    }

    /// Frees a target that is kept for a request it can't run any more.
    pub(crate) fn release_lost(&mut self, id: TargetId) {
        let Some(request) = self.fleet.get(id).and_then(|target| target.reserved) else { return };
        let is_held = match self.queue.get(request).map(|waiting| &waiting.pin) {
            Some(Pin::Adapter { id: adapter, .. }) => {
                self.fleet.holders(*adapter).any(|target| target.view.id == id)
            }
            Some(Pin::Service { .. }) => self.fleet.get(id).is_some_and(|kept| kept.view.open),
            None => false,
        };
        if !is_held {
            self.release(request);
        }
    }

    /// Frees the target that was kept for a request.
    pub(crate) fn release(&mut self, request: RequestId) {
        let Some(id) = self.reserved.remove(&request) else { return };
        self.touched.insert(id);
        if let Some(target) = self.fleet.get_mut(id) {
            target.reserved = None;
        }
    }

    /// Returns the lanes that may have something to start.
    pub(crate) fn candidates(&mut self) -> BTreeSet<(Duration, Lane)> {
        let mut lanes = std::mem::take(&mut self.fresh);
        for id in std::mem::take(&mut self.touched) {
            let Some(target) = self.fleet.get(id) else { continue };
            let needs = target.view.resident.iter().map(|resident| Need::Adapter(resident.adapter));
            for need in needs.chain(self.service_of(&target.view)) {
                lanes.insert(Lane { need, alone: false });
                lanes.insert(Lane { need, alone: true });
            }
        }
        let due = |lane: Lane| self.queue.head(lane).map(|(due, _)| (due, lane));
        lanes.into_iter().filter_map(due).collect()
    }

    pub(crate) fn service_of(&self, view: &TargetView) -> Option<Need> {
        let ids = self.services.iter().find(|(_, ids)| ids.contains(&view.id));
        ids.map(|(need, _)| *need)
    }
}
