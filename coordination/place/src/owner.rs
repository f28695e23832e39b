//! The policy that owners run.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use admit::{Lane, Need, Queue, Waiting};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{AdapterId, ErrorKind, Pin, RequestId, TargetId, TargetKind, Want};

use crate::{
    Decision, LoadOrder, Policy, PolicySettings, TargetView, demand::Demand, fleet::Fleet,
    fleet::Target,
};

/// Wants told to the planner at once.
const WANTS: usize = 8;
/// Pause after a failed load, doubled with each further failure.
const BACKOFF: Duration = Duration::from_millis(250);
/// Doublings of the pause at most.
const BACKOFF_DOUBLINGS: u32 = 6;
/// Failed loads in a row after which those who wait are refused.
const FAILURES: u32 = 6;
/// Weight of the newest sample in the mean time until an adapter arrives.
const ARRIVAL_WEIGHT: f64 = 0.1;
/// Bounds of the time over which residency is valued, in seconds.
const HORIZON_SECS: (f64, f64) = (0.5, 30.0);

#[derive(Debug, Clone, Copy)]
struct Failed {
    count: u32,
    until: Duration,
}

/// Decides for the targets of one owner.
#[derive(Debug)]
pub(crate) struct Owner {
    settings: PolicySettings,
    queue: Queue,
    fleet: Fleet,
    demand: Demand,
    services: HashMap<Need, BTreeSet<TargetId>>,
    models: HashMap<AdapterId, String>,
    loading: BTreeMap<AdapterId, u32>,
    failed: BTreeMap<AdapterId, Failed>,
    fresh: BTreeSet<Lane>,
    touched: BTreeSet<TargetId>,
    refused: Vec<Decision>,
    arrival: f64,
    stalled: f64,
    rng: ChaCha8Rng,
}

impl Owner {
    /// An owner without targets.
    pub(crate) fn new(settings: PolicySettings) -> Owner {
        Owner {
            settings,
            queue: Queue::new(settings.bounds),
            fleet: Fleet::default(),
            demand: Demand::default(),
            services: HashMap::new(),
            models: HashMap::new(),
            loading: BTreeMap::new(),
            failed: BTreeMap::new(),
            fresh: BTreeSet::new(),
            touched: BTreeSet::new(),
            refused: Vec::new(),
            arrival: settings.load.as_secs_f64(),
            stalled: 0.0,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
        }
    }

    /// Calls `visit` with each target that could run a lane's requests.
    fn each_holder(&self, need: Need, mut visit: impl FnMut(&Target)) {
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

    /// Returns the target on which a lane's next request should start.
    fn pick(&self, lane: Lane, request: RequestId) -> Option<TargetId> {
        let mut best: Option<(f64, TargetId)> = None;
        self.each_holder(lane.need, |target| {
            let is_mine = target.reserved == Some(request);
            let fits = if lane.alone {
                target.is_empty() && (is_mine || target.reserved.is_none())
            } else {
                target.room() > 0
            };
            let fill = target.fill();
            if fits && best.is_none_or(|(least, _)| fill < least) {
                best = Some((fill, target.view.id));
            }
        });
        best.map(|(_, id)| id)
    }

    /// Keeps a target free for a request that must run alone.
    fn reserve(&mut self, lane: Lane, request: RequestId) {
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
        if let Some(target) = best.and_then(|(_, id)| self.fleet.get_mut(id)) {
            target.reserved = Some(request);
        }
    }

    /// Frees the target that was kept for a request.
    fn release(&mut self, lane: Lane, request: RequestId) {
        if !lane.alone {
            return;
        }
        let mut kept = None;
        self.each_holder(lane.need, |target| {
            if target.reserved == Some(request) {
                kept = Some(target.view.id);
            }
        });
        let Some(id) = kept else { return };
        self.touched.insert(id);
        if let Some(target) = self.fleet.get_mut(id) {
            target.reserved = None;
        }
    }

    /// Returns the lanes that may have something to start.
    fn candidates(&mut self) -> BTreeSet<(Duration, Lane)> {
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

    fn service_of(&self, view: &TargetView) -> Option<Need> {
        let ids = self.services.iter().find(|(_, ids)| ids.contains(&view.id));
        ids.map(|(need, _)| *need)
    }

    /// Notes that a request no longer waits.
    fn left(&mut self, now: Duration, lane: Lane, waiting: &Waiting) {
        let Need::Adapter(adapter) = lane.need else { return };
        if self.fleet.copies(adapter) == 0 {
            self.stalled += now.saturating_sub(waiting.since).as_secs_f64();
        }
    }

    /// Returns the earliest time at which a request could start.
    fn earliest(&self, now: Duration, lane: Lane) -> Duration {
        let mut pace = 0.0;
        let mut is_held = false;
        self.each_holder(lane.need, |target| {
            is_held = true;
            pace += target.pace();
            if target.room() > 0 {
                pace = f64::INFINITY;
            }
        });
        if !is_held {
            let is_load = matches!(lane.need, Need::Adapter(_));
            return now + if is_load { self.settings.load } else { Duration::ZERO };
        }
        let ahead = f64::from(self.queue.depth(lane).total());
        now + Duration::from_secs_f64((ahead / pace).min(1e6))
    }

    /// Returns the time over which residency is valued, in seconds.
    fn horizon(&self) -> f64 {
        (self.arrival / 2.0).clamp(HORIZON_SECS.0, HORIZON_SECS.1)
    }

    /// Returns what waits for an adapter, weighted.
    fn pressure(&self, adapter: AdapterId) -> f64 {
        let mut sum = 0.0;
        for alone in [false, true] {
            let depth = self.queue.depth(Lane { need: Need::Adapter(adapter), alone });
            let urgent =
                2.0 * f64::from(depth.high) + f64::from(depth.normal) + 0.5 * f64::from(depth.low);
            let total = f64::from(depth.total());
            sum += self.settings.stall * urgent + self.settings.batch * total;
        }
        sum
    }

    /// Returns what it costs to evict an adapter that is on a target.
    fn cost(&self, now: Duration, adapter: AdapterId) -> f64 {
        let weight = self.settings.stall + self.settings.batch;
        let expected = weight * self.demand.rate(now, adapter) * self.horizon();
        let all = self.pressure(adapter) + expected;
        all / self.fleet.copies(adapter).max(1) as f64
    }

    /// Returns the target for a load, with its victim and what that costs.
    fn room_for(&self, now: Duration, adapter: AdapterId) -> Option<(f64, LoadOrder)> {
        let model = self.models.get(&adapter)?;
        let mut best: Option<(f64, f64, LoadOrder)> = None;
        for target in self.fleet.iter() {
            let view = &target.view;
            let is_engine = matches!(&view.kind, TargetKind::Engine { model: m } if m == model);
            if !is_engine || !view.open || target.holds(adapter) {
                continue;
            }
            let Some((cost, victim)) = self.victim(now, target) else { continue };
            let fill = target.fill();
            let is_better = best
                .is_none_or(|(least, filled, _)| cost < least || (cost == least && fill < filled));
            if is_better {
                best = Some((cost, fill, LoadOrder { target: view.id, adapter, victim }));
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

    /// Returns what a load of an adapter saves, before its victim's cost.
    fn gain(&self, now: Duration, adapter: AdapterId) -> f64 {
        let weight = self.settings.stall + self.settings.batch;
        let expected = weight * self.demand.rate(now, adapter) * self.horizon();
        self.pressure(adapter) + expected
    }

    /// Returns whether those who wait for an adapter need a load.
    fn needs_load(&self, now: Duration, adapter: AdapterId) -> bool {
        if self.loading.contains_key(&adapter) {
            return false;
        }
        if self.failed.get(&adapter).is_some_and(|failed| failed.until > now) {
            return false;
        }
        self.fleet.holders(adapter).all(|target| target.room() == 0)
    }

    fn want(&self, now: Duration, adapter: AdapterId) -> Option<Want> {
        if !self.needs_load(now, adapter) {
            return None;
        }
        let (cost, _) = self.room_for(now, adapter)?;
        let mut waiting = 0;
        for alone in [false, true] {
            waiting += self.queue.depth(Lane { need: Need::Adapter(adapter), alone }).total();
        }
        let score = self.gain(now, adapter) - cost;
        if self.fleet.copies(adapter) > 0 && score <= 0.0 {
            return None;
        }
        Some(Want { adapter, score, waiting })
    }

    fn refuse_lane(&mut self, now: Duration, adapter: AdapterId, kind: ErrorKind) {
        for alone in [false, true] {
            let lane = Lane { need: Need::Adapter(adapter), alone };
            let requests: Vec<RequestId> = self.queue.requests(lane).collect();
            for request in requests {
                let Some((lane, waiting)) = self.queue.remove(request) else { continue };
                self.left(now, lane, &waiting);
                self.refused.push(Decision::Refuse { request, kind });
            }
        }
    }
}

impl Policy for Owner {
    fn set_target(&mut self, now: Duration, view: TargetView) {
        let id = view.id;
        let mut arrived = Vec::new();
        for resident in &view.resident {
            if resident.ready && view.open && self.fleet.copies(resident.adapter) == 0 {
                arrived.push(resident.adapter);
            }
        }
        if let TargetKind::Service { service } = &view.kind {
            let need = self.queue.service(service);
            self.services.entry(need).or_default().insert(id);
        }
        self.fleet.set(view);
        self.touched.insert(id);
        for adapter in arrived {
            for alone in [false, true] {
                let lane = Lane { need: Need::Adapter(adapter), alone };
                for request in self.queue.requests(lane) {
                    let since = self.queue.get(request).map_or(now, |waiting| waiting.since);
                    self.stalled += now.saturating_sub(since).as_secs_f64();
                }
            }
        }
    }

    fn remove_target(&mut self, id: TargetId) {
        self.fleet.remove(id);
        for ids in self.services.values_mut() {
            ids.remove(&id);
        }
    }

    fn enqueue(&mut self, now: Duration, waiting: Waiting) -> Result<(), ErrorKind> {
        let lane = self.queue.lane(&waiting.pin, waiting.alone);
        if waiting.deadline > now && self.earliest(now, lane) >= waiting.deadline {
            return Err(ErrorKind::TooLate);
        }
        if let Pin::Adapter { id, name } = &waiting.pin {
            self.demand.arrived(now, *id);
            if !self.models.contains_key(id) {
                let model = name.split('@').next().unwrap_or_default();
                self.models.insert(*id, model.to_owned());
            }
        }
        self.queue.push(now, waiting)?;
        self.fresh.insert(lane);
        Ok(())
    }

    fn cancel(&mut self, request: RequestId) -> bool {
        let Some((lane, _)) = self.queue.remove(request) else { return false };
        self.release(lane, request);
        true
    }

    fn finished(&mut self, _now: Duration, target: TargetId, took: Duration) {
        self.fleet.finished(target, took);
    }

    fn decide(&mut self, now: Duration) -> Vec<Decision> {
        let mut decisions = std::mem::take(&mut self.refused);
        while let Some((lane, waiting)) = self.queue.expire(now) {
            self.left(now, lane, &waiting);
            self.release(lane, waiting.request);
            let kind = ErrorKind::Expired;
            decisions.push(Decision::Refuse { request: waiting.request, kind });
        }
        let mut order = self.candidates();
        while let Some((_, lane)) = order.pop_first() {
            let Some((_, request)) = self.queue.head(lane) else { continue };
            let Some(target) = self.pick(lane, request) else {
                if lane.alone {
                    self.reserve(lane, request);
                }
                continue;
            };
            self.release(lane, request);
            self.queue.remove(request);
            self.fleet.start(target, lane.alone);
            decisions.push(Decision::Start { request, target });
            if let Some((due, _)) = self.queue.head(lane) {
                order.insert((due, lane));
            }
        }
        decisions
    }

    fn wants(&mut self, now: Duration) -> Vec<Want> {
        let mut wants: Vec<Want> = Vec::new();
        let mut last = None;
        for lane in self.queue.lanes() {
            let Need::Adapter(adapter) = lane.need else { continue };
            if last == Some(adapter) {
                continue;
            }
            last = Some(adapter);
            wants.extend(self.want(now, adapter));
        }
        wants.sort_by(|a, b| b.score.total_cmp(&a.score));
        wants.truncate(WANTS);
        wants
    }

    fn place(&mut self, now: Duration, adapter: AdapterId) -> Option<LoadOrder> {
        self.want(now, adapter)?;
        let (_, order) = self.room_for(now, adapter)?;
        self.fleet.order(order.target, adapter, order.victim);
        *self.loading.entry(adapter).or_default() += 1;
        Some(order)
    }

    fn loaded(&mut self, now: Duration, order: LoadOrder, ok: bool) {
        let adapter = order.adapter;
        if let Some(count) = self.loading.get_mut(&adapter) {
            *count -= 1;
            if *count == 0 {
                self.loading.remove(&adapter);
            }
        }
        if ok {
            self.failed.remove(&adapter);
            let lane = Lane { need: Need::Adapter(adapter), alone: false };
            if let Some(since) = self.queue.oldest(lane) {
                let waited = now.saturating_sub(since).as_secs_f64();
                self.arrival += ARRIVAL_WEIGHT * (waited - self.arrival);
            }
            return;
        }
        let count = self.failed.get(&adapter).map_or(0, |failed| failed.count) + 1;
        let pause = BACKOFF * (1 << count.min(BACKOFF_DOUBLINGS));
        let until = now + pause.mul_f64(self.rng.random_range(0.5..1.0));
        self.failed.insert(adapter, Failed { count, until });
        if count >= FAILURES {
            self.refuse_lane(now, adapter, ErrorKind::LoadFailed);
        }
    }

    fn queued(&self) -> usize {
        self.queue.len()
    }

    fn stalled(&self) -> f64 {
        self.stalled
    }
}
