//! Which adapter is loaded next, and which one is evicted for it.

use std::time::Duration;

use admit::{Depth, Lane, Requirement};
use rand::Rng;
use wire::{AdapterId, ErrorKind, LoadRequest, RequestId, TargetId, TargetKind};

use crate::{
    Decision, LoadOrder,
    owner::{LoadFailures, Owner},
    targets::Target,
};

/// Maximum number of load requests sent to the planner at once, not counting the oldest one.
const MAX_LOAD_REQUESTS: usize = 8;
/// Adapters whose waiting requests are checked again with each list of load requests.
const REFUSE_CHECKS_PER_CALL: usize = 8;
/// Half the maximum delay before an adapter is loaded again after its first failed load. The delay
/// is doubled with each failure and multiplied by a random factor of 0.5 to 1.
const BACKOFF: Duration = Duration::from_millis(250);
/// Maximum number of doublings of the delay.
const BACKOFF_DOUBLINGS: u32 = 6;
/// Failed loads in a row after which the waiting requests are refused.
const MAX_FAILURES: u32 = 6;
/// Cost of a second copy in the same failure domain, as a fraction of the value of the adapter's
/// expected requests.
const SAME_DOMAIN_COST: f64 = 0.25;
/// Cost of a load on a target with a full batch, as a multiple of the value of the requests that
/// wait for the adapter.
const FULL_COST: f64 = 2.0;
/// Bounds of the horizon over which a resident adapter is valued, in seconds.
const HORIZON_SECS: (f64, f64) = (10.0, 30.0);

/// A target that could take a load, with the cost of making room on it.
struct LoadCandidate {
    target: TargetId,
    cost: f64,
    victim: Option<AdapterId>,
}

/// Returns the lanes of an adapter: shared and alone.
pub(crate) fn lanes(adapter: AdapterId) -> [Lane; 2] {
    [false, true].map(|exclusive| Lane { requirement: Requirement::Adapter(adapter), exclusive })
}

impl Owner {
    /// Returns the weight of one request.
    fn weight(&self) -> f64 {
        self.settings.stall + self.settings.batch
    }

    /// Returns the horizon over which a resident adapter is valued, in seconds.
    fn horizon(&self) -> f64 {
        (self.load_wait / 2.0).clamp(HORIZON_SECS.0, HORIZON_SECS.1)
    }

    /// Returns the number of requests that wait for an adapter, by urgency.
    pub(crate) fn depth(&self, adapter: AdapterId) -> Depth {
        let [shared, alone] = lanes(adapter).map(|lane| self.queue.depth(lane));
        Depth {
            high: shared.high + alone.high,
            normal: shared.normal + alone.normal,
            low: shared.low + alone.low,
        }
    }

    /// Returns the time since which the longest waiting request waits for an adapter, if any.
    fn oldest(&self, adapter: AdapterId) -> Option<Duration> {
        lanes(adapter).into_iter().filter_map(|lane| self.queue.oldest_since(lane)).min()
    }

    /// Returns the value of serving a set of waiting requests.
    pub(crate) fn queue_value(&self, depth: Depth) -> f64 {
        let urgent =
            2.0 * f64::from(depth.high) + f64::from(depth.normal) + 0.5 * f64::from(depth.low);
        self.settings.stall * urgent + self.settings.batch * f64::from(depth.total())
    }

    /// Returns the value of the requests expected for an adapter within the horizon.
    pub(crate) fn expected_value(&self, now: Duration, adapter: AdapterId) -> f64 {
        self.weight() * self.demand.rate(now, adapter) * self.horizon()
    }

    /// Returns the value of loading an adapter, without the cost of the eviction.
    fn load_value(&self, now: Duration, adapter: AdapterId) -> f64 {
        self.queue_value(self.depth(adapter)) + self.expected_value(now, adapter)
    }

    /// Returns the cost of evicting an adapter from one of its targets.
    fn eviction_cost(&self, now: Duration, adapter: AdapterId) -> f64 {
        self.load_value(now, adapter) / self.targets.copies(adapter).max(1) as f64
    }

    /// Updates the position of an adapter in the order of loads after a change.
    pub(crate) fn reindex(&mut self, now: Duration, adapter: AdapterId) {
        let Some(since) = self.oldest(adapter) else {
            self.missing.remove(now, adapter);
            self.saturated.remove(&adapter);
            return;
        };
        if self.targets.copies(adapter) > 0 {
            self.missing.remove(now, adapter);
            self.saturated.insert(adapter);
            return;
        }
        self.saturated.remove(&adapter);
        let waiting = self.depth(adapter).total();
        self.missing.set(now, adapter, self.load_value(now, adapter), since, waiting);
    }

    /// Returns the targets that accept loads, each with the cost of making room on it.
    fn load_candidates(&self, now: Duration) -> Vec<LoadCandidate> {
        let mut candidates = Vec::new();
        for target in self.targets.iter() {
            let is_engine = matches!(target.view.kind, TargetKind::Engine { .. });
            if !target.view.open || !is_engine || target.reserved.is_some() {
                continue;
            }
            if let Some((cost, victim)) = self.cheapest_eviction(now, target) {
                candidates.push(LoadCandidate { target: target.view.id, cost, victim });
            }
        }
        candidates
    }

    /// Returns the cheapest target for a load, as an order with its cost.
    fn choose_target(
        &self,
        now: Duration,
        adapter: AdapterId,
        candidates: &[LoadCandidate],
    ) -> Option<(f64, LoadOrder)> {
        let model = self.models.get(&adapter)?;
        let queue_value = self.queue_value(self.depth(adapter));
        let domain_cost = SAME_DOMAIN_COST * self.expected_value(now, adapter);
        let mut best: Option<(f64, f64, LoadOrder)> = None;
        for candidate in candidates {
            let Some(target) = self.targets.get(candidate.target) else { continue };
            let view = &target.view;
            let is_served =
                matches!(&view.kind, TargetKind::Engine { model: own } if **own == **model);
            if !is_served || target.holds(adapter) {
                continue;
            }
            let is_same_domain =
                self.targets.ready_on(adapter).any(|own| own.view.domain == view.domain);
            let fill = target.fill();
            let cost = candidate.cost
                + if is_same_domain { domain_cost } else { 0.0 }
                + FULL_COST * fill * queue_value;
            if best.is_none_or(|(least, filled, _)| (cost, fill) < (least, filled)) {
                let order = LoadOrder { target: view.id, adapter, victim: candidate.victim };
                best = Some((cost, fill, order));
            }
        }
        best.map(|(cost, _, order)| (cost, order))
    }

    /// Returns the cost of making room on a target and the adapter to evict: zero and no adapter if
    /// the target has a free slot. Returns `None` if it has none and no adapter is idle.
    fn cheapest_eviction(
        &self,
        now: Duration,
        target: &Target,
    ) -> Option<(f64, Option<AdapterId>)> {
        if target.free_slots() > 0 {
            return Some((0.0, None));
        }
        let mut best: Option<(f64, Option<AdapterId>)> = None;
        for resident in &target.view.resident {
            if !resident.idle || resident.users > 0 {
                continue;
            }
            let cost = self.eviction_cost(now, resident.adapter);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, Some(resident.adapter)));
            }
        }
        best
    }

    /// Returns whether a load of an adapter may be ordered: none is in progress, and the delay
    /// after a failed load is over.
    fn is_loadable(&self, now: Duration, adapter: AdapterId) -> bool {
        let is_backed_off =
            self.failures.get(&adapter).is_some_and(|failures| failures.retry_at > now);
        !is_backed_off && !self.loading.contains_key(&adapter)
    }

    /// Returns the load request for an adapter and the order it would lead to, if the load is
    /// useful.
    fn load_request(
        &self,
        now: Duration,
        adapter: AdapterId,
        candidates: &[LoadCandidate],
    ) -> Option<(LoadRequest, LoadOrder)> {
        let since = self.oldest(adapter)?;
        if !self.is_loadable(now, adapter) {
            return None;
        }
        let is_ready = self.targets.copies(adapter) > 0;
        if is_ready && self.targets.ready_on(adapter).any(|target| target.batch_room() > 0) {
            return None;
        }
        let (cost, order) = self.choose_target(now, adapter, candidates)?;
        let score = self.load_value(now, adapter) - cost;
        if is_ready && score <= 0.0 {
            return None;
        }
        let waiting = self.depth(adapter).total();
        Some((LoadRequest { adapter, score, waiting, age: now.saturating_sub(since) }, order))
    }

    /// Returns the order for a granted load, if the load is still useful.
    pub(crate) fn load_order(&self, now: Duration, adapter: AdapterId) -> Option<LoadOrder> {
        let (_, order) = self.load_request(now, adapter, &self.load_candidates(now))?;
        Some(order)
    }

    /// Returns the load requests, best first. The request of the adapter that is waited for longest
    /// is appended if it is not among them.
    pub(crate) fn best_load_requests(&self, now: Duration) -> Vec<LoadRequest> {
        if self.missing.is_empty() && self.saturated.is_empty() {
            return Vec::new();
        }
        let candidates = self.load_candidates(now);
        let mut requests: Vec<LoadRequest> = Vec::new();
        let best =
            self.missing.best().filter_map(|adapter| self.load_request(now, adapter, &candidates));
        requests.extend(best.take(MAX_LOAD_REQUESTS).map(|(request, _)| request));
        let saturated = self
            .saturated
            .iter()
            .filter_map(|adapter| self.load_request(now, *adapter, &candidates));
        requests.extend(saturated.map(|(request, _)| request));
        requests.sort_by(|a, b| b.score.total_cmp(&a.score));
        requests.truncate(MAX_LOAD_REQUESTS);
        let oldest =
            self.missing.oldest().find_map(|adapter| self.load_request(now, adapter, &candidates));
        if let Some((oldest, _)) = oldest
            && requests.iter().all(|request| request.adapter != oldest.adapter)
        {
            requests.push(oldest);
        }
        requests
    }

    /// Refuses requests for missing adapters that can no longer be served in time. Each call checks
    /// the next few missing adapters.
    pub(crate) fn refuse_missing(&mut self, now: Duration) {
        for _ in 0..REFUSE_CHECKS_PER_CALL {
            let Some(adapter) = self.missing.next_from(self.missing_cursor) else {
                self.missing_cursor = AdapterId::MIN;
                return;
            };
            self.missing_cursor = adapter.saturating_add(1);
            for lane in lanes(adapter) {
                let requests: Vec<RequestId> = self.queue.requests(lane).collect();
                for request in requests {
                    if !self.should_refuse_queued(now, lane, request) {
                        continue;
                    }
                    self.dequeue(now, request);
                    let kind = ErrorKind::TooLate;
                    self.refusals.push(Decision::Refuse { request, kind });
                }
            }
        }
    }

    /// Refuses requests at full targets that can no longer be served in time, starting with those
    /// due last. Each call checks the next few saturated adapters.
    pub(crate) fn refuse_saturated(&mut self, now: Duration) {
        let next =
            self.saturated.range(self.saturated_cursor..).take(REFUSE_CHECKS_PER_CALL).copied();
        let adapters: Vec<AdapterId> = next.collect();
        self.saturated_cursor =
            adapters.last().map_or(AdapterId::MIN, |last| last.saturating_add(1));
        for lane in adapters.into_iter().flat_map(lanes) {
            while let Some(request) = self.queue.last_due(lane) {
                if !self.should_refuse_queued(now, lane, request) {
                    break;
                }
                self.dequeue(now, request);
                let kind = ErrorKind::TooLate;
                self.refusals.push(Decision::Refuse { request, kind });
            }
        }
    }

    /// Records a failed load: delays further loads of the adapter, and refuses its waiting requests
    /// after too many failures.
    pub(crate) fn load_failed(&mut self, now: Duration, adapter: AdapterId) {
        let count = self.failures.get(&adapter).map_or(0, |failures| failures.count) + 1;
        let delay = BACKOFF * (1 << count.min(BACKOFF_DOUBLINGS));
        let retry_at = now + delay.mul_f64(self.rng.random_range(0.5..1.0));
        self.failures.insert(adapter, LoadFailures { count, retry_at });
        if count < MAX_FAILURES {
            return;
        }
        for lane in lanes(adapter) {
            let requests: Vec<RequestId> = self.queue.requests(lane).collect();
            for request in requests {
                self.dequeue(now, request);
                self.refusals.push(Decision::Refuse { request, kind: ErrorKind::LoadFailed });
            }
        }
    }
}
