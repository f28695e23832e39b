//! The policy of the baselines: one engine per host, loads in order of arrival, and eviction of the
//! least recently used idle adapter.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use admit::QueuedRequest;
use place::{Decision, LoadOrder, Policy, TargetView};
use wire::{AdapterId, ErrorKind, LoadRequest, RequestId, TargetId};

use super::adapter_of;

const MAX_LOAD_REQUESTS: usize = 8;

#[derive(Default)]
pub struct Lru {
    view: Option<TargetView>,
    queue: VecDeque<QueuedRequest>,
    last_used: BTreeMap<AdapterId, Duration>,
    /// Time since which requests wait for adapters that the engine does not hold.
    missing: BTreeMap<AdapterId, Duration>,
}

impl Lru {
    fn is_held(&self, adapter: AdapterId) -> bool {
        let mut held = self.view.iter().flat_map(|view| &view.resident);
        held.any(|held| held.adapter == adapter)
    }
}

impl Policy for Lru {
    fn set_target(&mut self, _now: Duration, view: TargetView) {
        self.view = Some(view);
    }

    fn remove_target(&mut self, _id: TargetId) {
        self.view = None;
    }

    fn enqueue(&mut self, _now: Duration, waiting: QueuedRequest) -> Result<(), ErrorKind> {
        self.queue.push_back(waiting);
        Ok(())
    }

    fn cancel(&mut self, request: RequestId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|waiting| waiting.request != request);
        self.queue.len() < before
    }

    fn finished(&mut self, _now: Duration, _target: TargetId, _took: Duration) {}

    fn decide(&mut self, now: Duration) -> Vec<Decision> {
        let Some(view) = &mut self.view else { return Vec::new() };
        let mut decisions = Vec::new();
        for waiting in std::mem::take(&mut self.queue) {
            let (request, adapter) = (waiting.request, adapter_of(&waiting));
            let is_ready = view.resident.iter().any(|held| held.adapter == adapter && held.ready);
            if waiting.deadline <= now {
                decisions.push(Decision::Refuse { request, kind: ErrorKind::Expired });
            } else if is_ready && view.open && view.running + view.external < view.batch {
                view.running += 1;
                self.last_used.insert(adapter, now);
                decisions.push(Decision::Start { request, target: view.id });
            } else {
                self.queue.push_back(waiting);
            }
        }
        decisions
    }

    fn load_requests(&mut self, now: Duration) -> Vec<LoadRequest> {
        let mut missing: BTreeMap<AdapterId, Duration> = BTreeMap::new();
        for adapter in self.queue.iter().map(adapter_of) {
            if !missing.contains_key(&adapter) && !self.is_held(adapter) {
                missing.insert(adapter, self.missing.get(&adapter).copied().unwrap_or(now));
            }
        }
        self.missing = missing;
        let want = |(&adapter, &since): (&AdapterId, &Duration)| {
            let age = now.saturating_sub(since);
            LoadRequest { adapter, score: age.as_secs_f64(), waiting: 1, age }
        };
        let mut wants: Vec<LoadRequest> = self.missing.iter().map(want).collect();
        wants.sort_by(|a, b| b.score.total_cmp(&a.score));
        wants.truncate(MAX_LOAD_REQUESTS);
        wants
    }

    fn order_load(&mut self, now: Duration, adapter: AdapterId) -> Option<LoadOrder> {
        let view = self.view.as_ref().filter(|view| view.open && !self.is_held(adapter))?;
        let mut victim = None;
        if view.resident.len() >= view.slots as usize {
            let idle = view.resident.iter().filter(|held| held.idle);
            victim = Some(idle.min_by_key(|held| self.last_used.get(&held.adapter))?.adapter);
        }
        self.last_used.insert(adapter, now);
        Some(LoadOrder { target: view.id, adapter, victim })
    }

    fn loaded(&mut self, _now: Duration, _order: LoadOrder, _ok: bool) {}

    fn queued(&self) -> usize {
        self.queue.len()
    }

    fn stall_seconds(&self) -> f64 {
        0.0
    }
}
