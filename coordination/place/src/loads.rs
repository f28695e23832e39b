//! What is loaded next, and what makes room for it.

use std::time::Duration;

use admit::{Depth, Lane, Need};
use rand::Rng;
use wire::{AdapterId, ErrorKind, RequestId, TargetId, TargetKind, Want};

use crate::{
    Decision, LoadOrder,
    fleet::Target,
    owner::{Failed, Owner},
};

/// Wants told to the planner at once.
const WANTS: usize = 8;
/// Starved adapters whose requests are looked at again with each list of wants.
const SHED: usize = 8;
/// Pause after a failed load, doubled with each further failure.
const BACKOFF: Duration = Duration::from_millis(250);
/// Doublings of the pause at most.
const BACKOFF_DOUBLINGS: u32 = 6;
/// Failed loads in a row after which those who wait are refused.
const FAILURES: u32 = 6;
/// What a second copy in one failure domain costs, as a share of the adapter's
/// expected requests.
const SAME_DOMAIN: f64 = 0.25;
/// What a full batch costs a load, as a share of what waits for it.
const FULL_COST: f64 = 2.0;
/// Bounds of the time over which residency is valued, in seconds.
const HORIZON_SECS: (f64, f64) = (10.0, 30.0);

/// What making room on a target costs.
struct Offer {
    target: TargetId,
    cost: f64,
    victim: Option<AdapterId>,
}

/// The lanes of an adapter.
pub(crate) fn lanes(adapter: AdapterId) -> [Lane; 2] {
    [false, true].map(|alone| Lane { need: Need::Adapter(adapter), alone })
}

impl Owner {
    /// Returns the weight of one request.
    fn weight(&self) -> f64 {
        self.settings.stall + self.settings.batch
    }

    /// Returns the time over which residency is valued, in seconds.
    fn horizon(&self) -> f64 {
        (self.arrival / 2.0).clamp(HORIZON_SECS.0, HORIZON_SECS.1)
    }

    /// Returns how much waits for an adapter.
    pub(crate) fn depth(&self, adapter: AdapterId) -> Depth {
        let [shared, alone] = lanes(adapter).map(|lane| self.queue.depth(lane));
        Depth {
            high: shared.high + alone.high,
            normal: shared.normal + alone.normal,
            low: shared.low + alone.low,
        }
    }

    /// Returns since when an adapter is waited for.
    fn oldest(&self, adapter: AdapterId) -> Option<Duration> {
        lanes(adapter).into_iter().filter_map(|lane| self.queue.oldest(lane)).min()
    }

    /// Returns what requests that wait together are worth.
    pub(crate) fn worth(&self, depth: Depth) -> f64 {
        let urgent =
            2.0 * f64::from(depth.high) + f64::from(depth.normal) + 0.5 * f64::from(depth.low);
        self.settings.stall * urgent + self.settings.batch * f64::from(depth.total())
    }

    /// Returns what the requests expected for an adapter are worth.
    pub(crate) fn expected(&self, now: Duration, adapter: AdapterId) -> f64 {
        self.weight() * self.demand.rate(now, adapter) * self.horizon()
    }

    /// Returns what a load of an adapter saves, before its victim's cost.
    fn gain(&self, now: Duration, adapter: AdapterId) -> f64 {
        self.worth(self.depth(adapter)) + self.expected(now, adapter)
    }

    /// Returns what it costs to evict an adapter from one of its targets.
    fn cost(&self, now: Duration, adapter: AdapterId) -> f64 {
        self.gain(now, adapter) / self.fleet.copies(adapter).max(1) as f64
    }

    /// Brings the order of loads up to date after a change to an adapter.
    pub(crate) fn reindex(&mut self, now: Duration, adapter: AdapterId) {
        let Some(since) = self.oldest(adapter) else {
            self.starved.remove(now, adapter);
            self.crowded.remove(&adapter);
            return;
        };
        if self.fleet.copies(adapter) > 0 {
            self.starved.remove(now, adapter);
            self.crowded.insert(adapter);
            return;
        }
        self.crowded.remove(&adapter);
        let waiting = self.depth(adapter).total();
        self.starved.set(now, adapter, self.gain(now, adapter), since, waiting);
    }

    /// Returns what making room costs on each target that takes loads.
    fn offers(&self, now: Duration) -> Vec<Offer> {
        let mut offers = Vec::new();
        for target in self.fleet.iter() {
            let is_engine = matches!(target.view.kind, TargetKind::Engine { .. });
            if !target.view.open || !is_engine || target.reserved.is_some() {
                continue;
            }
            if let Some((cost, victim)) = self.victim(now, target) {
                offers.push(Offer { target: target.view.id, cost, victim });
            }
        }
        offers
    }

    /// Returns the target for a load, with its victim and what that costs.
    fn room_for(
        &self,
        now: Duration,
        adapter: AdapterId,
        offers: &[Offer],
    ) -> Option<(f64, LoadOrder)> {
        let model = self.models.get(&adapter)?;
        let worth = self.worth(self.depth(adapter));
        let near = SAME_DOMAIN * self.expected(now, adapter);
        let mut best: Option<(f64, f64, LoadOrder)> = None;
        for offer in offers {
            let Some(target) = self.fleet.get(offer.target) else { continue };
            let view = &target.view;
            let is_served =
                matches!(&view.kind, TargetKind::Engine { model: own } if **own == **model);
            if !is_served || target.holds(adapter) {
                continue;
            }
            let is_near = self.fleet.holders(adapter).any(|own| own.view.domain == view.domain);
            let fill = target.fill();
            let cost = offer.cost + if is_near { near } else { 0.0 } + FULL_COST * fill * worth;
            if best.is_none_or(|(least, filled, _)| (cost, fill) < (least, filled)) {
                let order = LoadOrder { target: view.id, adapter, victim: offer.victim };
                best = Some((cost, fill, order));
            }
        }
        best.map(|(cost, _, order)| (cost, order))
    }

    /// Returns the cheapest idle resident of a target, or none to evict if it
    /// has space.
    fn victim(&self, now: Duration, target: &Target) -> Option<(f64, Option<AdapterId>)> {
        if target.space() > 0 {
            return Some((0.0, None));
        }
        let mut best: Option<(f64, Option<AdapterId>)> = None;
        for resident in &target.view.resident {
            if !resident.idle || resident.users > 0 {
                continue;
            }
            let cost = self.cost(now, resident.adapter);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, Some(resident.adapter)));
            }
        }
        best
    }

    /// Returns whether a load of an adapter may be ordered: none is under way,
    /// and it is not put off after a failure.
    fn is_loadable(&self, now: Duration, adapter: AdapterId) -> bool {
        let is_off = self.failed.get(&adapter).is_some_and(|failed| failed.until > now);
        !is_off && !self.loading.contains_key(&adapter)
    }

    /// Returns the load of an adapter with its target, if it is of use.
    fn want(
        &self,
        now: Duration,
        adapter: AdapterId,
        offers: &[Offer],
    ) -> Option<(Want, LoadOrder)> {
        let since = self.oldest(adapter)?;
        if !self.is_loadable(now, adapter) {
            return None;
        }
        let is_held = self.fleet.copies(adapter) > 0;
        if is_held && self.fleet.holders(adapter).any(|target| target.room() > 0) {
            return None;
        }
        let (cost, order) = self.room_for(now, adapter, offers)?;
        let score = self.gain(now, adapter) - cost;
        if is_held && score <= 0.0 {
            return None;
        }
        let waiting = self.depth(adapter).total();
        Some((Want { adapter, score, waiting, age: now.saturating_sub(since) }, order))
    }

    /// Returns the order for a granted load, if it is still of use.
    pub(crate) fn order(&self, now: Duration, adapter: AdapterId) -> Option<LoadOrder> {
        let (_, order) = self.want(now, adapter, &self.offers(now))?;
        Some(order)
    }

    /// Returns the loads worth a slot, best first; the last of them may be the
    /// one that is waited for longest.
    pub(crate) fn best_wants(&self, now: Duration) -> Vec<Want> {
        if self.starved.is_empty() && self.crowded.is_empty() {
            return Vec::new();
        }
        let offers = self.offers(now);
        let mut wants: Vec<Want> = Vec::new();
        let best = self.starved.best().filter_map(|adapter| self.want(now, adapter, &offers));
        wants.extend(best.take(WANTS).map(|(want, _)| want));
        let crowded = self.crowded.iter().filter_map(|adapter| self.want(now, *adapter, &offers));
        wants.extend(crowded.map(|(want, _)| want));
        wants.sort_by(|a, b| b.score.total_cmp(&a.score));
        wants.truncate(WANTS);
        let oldest = self.starved.oldest().find_map(|adapter| self.want(now, adapter, &offers));
        if let Some((oldest, _)) = oldest
            && wants.iter().all(|want| want.adapter != oldest.adapter)
        {
            wants.push(oldest);
        }
        wants
    }

    /// Refuses requests that were overtaken and would wait in vain. Looks at the
    /// next few starved adapters in turn.
    pub(crate) fn shed(&mut self, now: Duration) {
        for _ in 0..SHED {
            let Some(adapter) = self.starved.next(self.shed_at) else {
                self.shed_at = AdapterId::MIN;
                return;
            };
            self.shed_at = adapter.saturating_add(1);
            for lane in lanes(adapter) {
                let requests: Vec<RequestId> = self.queue.requests(lane).collect();
                for request in requests {
                    if !self.is_overtaken(now, lane, request) {
                        continue;
                    }
                    self.take(now, request);
                    let kind = ErrorKind::TooLate;
                    self.refused.push(Decision::Refuse { request, kind });
                }
            }
        }
    }

    /// Refuses requests at full targets that would wait in vain, those due last
    /// first. Looks at the next few crowded adapters in turn.
    pub(crate) fn shed_crowded(&mut self, now: Duration) {
        let next = self.crowded.range(self.crowded_at..).take(SHED).copied();
        let adapters: Vec<AdapterId> = next.collect();
        self.crowded_at = adapters.last().map_or(AdapterId::MIN, |last| last.saturating_add(1));
        for lane in adapters.into_iter().flat_map(lanes) {
            while let Some(request) = self.queue.last(lane) {
                if !self.is_overtaken(now, lane, request) {
                    break;
                }
                self.take(now, request);
                let kind = ErrorKind::TooLate;
                self.refused.push(Decision::Refuse { request, kind });
            }
        }
    }

    /// Notes a failed load: puts the adapter off, and refuses those who wait
    /// when it has failed too often.
    pub(crate) fn load_failed(&mut self, now: Duration, adapter: AdapterId) {
        let count = self.failed.get(&adapter).map_or(0, |failed| failed.count) + 1;
        let pause = BACKOFF * (1 << count.min(BACKOFF_DOUBLINGS));
        let until = now + pause.mul_f64(self.rng.random_range(0.5..1.0));
        self.failed.insert(adapter, Failed { count, until });
        if count < FAILURES {
            return;
        }
        for lane in lanes(adapter) {
            let requests: Vec<RequestId> = self.queue.requests(lane).collect();
            for request in requests {
                self.take(now, request);
                self.refused.push(Decision::Refuse { request, kind: ErrorKind::LoadFailed });
            }
        }
    }
}
