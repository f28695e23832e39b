//! The policy that owners run.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use admit::{Depth, Lane, Need, Queue, Waiting};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wire::{AdapterId, ErrorKind, Pin, RequestId, TargetId, TargetKind, Urgency, Want};

use crate::{
    Decision, LoadOrder, Policy, PolicySettings, TargetView, demand::Demand, fleet::Fleet,
    pace::Pace, prefix::Prefixes, starved::Starved,
};

/// Weight of the newest sample in the mean time until an adapter arrives.
const ARRIVAL_WEIGHT: f64 = 0.1;
/// One grant in this many goes to the adapter that is waited for longest.
pub(crate) const FAIR_EVERY: u32 = 4;
/// Share of its window that a request may wait for its adapter where only
/// stalls weigh; where only batches weigh, it is the whole window.
const STALL_PATIENCE: f64 = 0.25;
/// Starved adapters, or requests of a lane, that are counted at most to estimate
/// a wait.
const COUNTED: usize = 256;

/// Failed loads of an adapter.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Failed {
    /// How many failed in a row.
    pub(crate) count: u32,
    /// Until when no load is tried.
    pub(crate) until: Duration,
}

/// Decides for the targets of one owner.
#[derive(Debug)]
pub(crate) struct Owner {
    pub(crate) settings: PolicySettings,
    pub(crate) queue: Queue,
    pub(crate) fleet: Fleet,
    pub(crate) demand: Demand,
    pub(crate) prefixes: Prefixes,
    /// Targets by the service they run.
    pub(crate) services: BTreeMap<Need, BTreeSet<TargetId>>,
    /// Base models of adapters.
    pub(crate) models: HashMap<AdapterId, Arc<str>>,
    names: BTreeSet<Arc<str>>,
    /// Loads under way by adapter.
    pub(crate) loading: BTreeMap<AdapterId, u32>,
    /// Adapters whose last load failed.
    pub(crate) failed: BTreeMap<AdapterId, Failed>,
    /// Adapters that are waited for and held by no target.
    pub(crate) starved: Starved,
    /// Adapters that are waited for at targets without room.
    pub(crate) crowded: BTreeSet<AdapterId>,
    /// Lanes with new requests.
    pub(crate) fresh: BTreeSet<Lane>,
    /// Targets that changed.
    pub(crate) touched: BTreeSet<TargetId>,
    /// The adapter at which overtaken requests are looked for next.
    pub(crate) shed_at: AdapterId,
    /// The same for crowded adapters.
    pub(crate) crowded_at: AdapterId,
    /// Targets that are kept free, by the request they are kept for.
    pub(crate) reserved: BTreeMap<RequestId, TargetId>,
    /// Refusals to be told with the next decisions.
    pub(crate) refused: Vec<Decision>,
    /// Mean seconds until an adapter arrives.
    pub(crate) arrival: f64,
    pub(crate) rng: ChaCha8Rng,
    pace: Pace,
    /// The latest time at which a decision was asked for.
    seen: Duration,
}

impl Owner {
    /// An owner without targets. Weights that are both zero count as equal.
    pub(crate) fn new(mut settings: PolicySettings) -> Owner {
        if settings.stall + settings.batch <= 0.0 {
            (settings.stall, settings.batch) = (1.0, 1.0);
        }
        Owner {
            settings,
            queue: Queue::new(settings.bounds),
            fleet: Fleet::default(),
            demand: Demand::default(),
            prefixes: Prefixes::default(),
            services: BTreeMap::new(),
            models: HashMap::new(),
            names: BTreeSet::new(),
            loading: BTreeMap::new(),
            failed: BTreeMap::new(),
            starved: Starved::default(),
            crowded: BTreeSet::new(),
            fresh: BTreeSet::new(),
            touched: BTreeSet::new(),
            reserved: BTreeMap::new(),
            refused: Vec::new(),
            shed_at: AdapterId::MIN,
            crowded_at: AdapterId::MIN,
            arrival: settings.load.as_secs_f64(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            pace: Pace::new(settings.load),
            seen: Duration::ZERO,
        }
    }

    /// Takes a request out of the queue.
    pub(crate) fn take(&mut self, now: Duration, request: RequestId) -> Option<Waiting> {
        let (lane, waiting) = self.queue.remove(request)?;
        self.left(now, lane, waiting.request);
        Some(waiting)
    }

    /// Takes a request out of the queue to start it.
    fn begin(&mut self, now: Duration, lane: Lane, request: RequestId, target: TargetId) {
        let due = self.queue.get(request).map_or(now, |waiting| self.queue.due(waiting));
        let Some(waiting) = self.take(now, request) else { return };
        self.fleet.start(target, lane.alone, now.as_secs_f64() - due.as_secs_f64());
        if let Need::Adapter(adapter) = lane.need {
            self.prefixes.used(adapter, waiting.prefix, target);
        }
    }

    /// Brings all up to date after a request left the queue.
    fn left(&mut self, now: Duration, lane: Lane, request: RequestId) {
        self.release(request);
        let Need::Adapter(adapter) = lane.need else { return };
        self.reindex(now, adapter);
    }

    /// Remembers an adapter's base model.
    fn learn(&mut self, adapter: AdapterId, name: &str) {
        if self.models.contains_key(&adapter) {
            return;
        }
        let model = name.split('@').next().unwrap_or_default();
        let model = self.names.get(model).cloned().unwrap_or_else(|| Arc::from(model));
        self.names.insert(model.clone());
        self.models.insert(adapter, model);
    }

    /// Returns how long a request would wait, in seconds: for its adapter, or for
    /// room on a target.
    fn wait(&self, now: Duration, lane: Lane, waiting: &Waiting) -> f64 {
        let due = self.queue.due(waiting);
        let mut least: Option<f64> = None;
        let mut pace = 0.0;
        self.each_holder(lane.need, |target| {
            let wait = if target.room() > 0 { 0.0 } else { target.room_wait(now, due) };
            least = Some(least.map_or(wait, |other| other.min(wait)));
            pace += target.pace();
        });
        if least == Some(0.0) {
            return 0.0;
        }
        match (least, lane.need) {
            (Some(least), _) => {
                let ahead = self.queue.before(lane, due, COUNTED) as f64;
                least.max(ahead / pace)
            }
            (None, Need::Adapter(adapter)) => self.load_wait(now, adapter, waiting),
            (None, Need::Service(_)) => 0.0,
        }
    }

    /// Returns how long a request would wait for its adapter, in seconds: until
    /// the loads that save more are done, or those that are waited for longer.
    fn load_wait(&self, now: Duration, adapter: AdapterId, waiting: &Waiting) -> f64 {
        let load = self.settings.load.as_secs_f64();
        if self.loading.contains_key(&adapter) {
            return 0.0;
        }
        let mut depth = self.depth(adapter);
        if self.queue.get(waiting.request).is_none() {
            add(&mut depth, waiting.urgency);
        }
        let score = self.worth(depth) + self.expected(now, adapter);
        let since = self.starved.since(adapter).unwrap_or(waiting.since);
        let ahead = self.starved.ahead(score, since, COUNTED);
        let older = self.starved.older(since, COUNTED) * FAIR_EVERY as usize;
        let before = ahead.min(older);
        if before == 0 {
            return load;
        }
        load + before as f64 * self.pace.gap(now)
    }

    /// Returns how long a request may wait for its adapter, in seconds. The
    /// more stalls weigh, the sooner it is refused.
    fn patience(&self, now: Duration, waiting: &Waiting) -> f64 {
        let left = waiting.deadline.saturating_sub(now).as_secs_f64();
        let PolicySettings { stall, batch, .. } = self.settings;
        let share = (STALL_PATIENCE * stall + batch) / (stall + batch);
        left * share
    }

    /// Returns whether a request would wait in vain.
    fn is_late(&self, now: Duration, lane: Lane, waiting: &Waiting) -> bool {
        let wait = self.wait(now, lane, waiting);
        let left = waiting.deadline.saturating_sub(now).as_secs_f64();
        if wait >= left {
            return true;
        }
        let Need::Adapter(adapter) = lane.need else { return false };
        let load = self.settings.load.as_secs_f64();
        self.fleet.copies(adapter) == 0 && wait > self.patience(now, waiting).max(load)
    }

    /// Returns whether a waiting request would wait in vain for its adapter.
    pub(crate) fn is_overtaken(&self, now: Duration, lane: Lane, request: RequestId) -> bool {
        let waiting = self.queue.get(request);
        waiting.is_some_and(|waiting| self.is_late(now, lane, waiting))
    }
}

fn add(depth: &mut Depth, urgency: Urgency) {
    match urgency {
        Urgency::High => depth.high += 1,
        Urgency::Normal => depth.normal += 1,
        Urgency::Low => depth.low += 1,
    }
}

impl Policy for Owner {
    fn set_target(&mut self, now: Duration, view: TargetView) {
        self.seen = now;
        let id = view.id;
        if let TargetKind::Service { service } = &view.kind {
            let need = self.queue.service(service);
            self.services.entry(need).or_default().insert(id);
        }
        self.touched.insert(id);
        for adapter in self.fleet.set(view) {
            self.reindex(now, adapter);
        }
        self.release_lost(id);
    }

    fn remove_target(&mut self, id: TargetId) {
        let now = self.seen;
        self.reserved.retain(|_, kept| *kept != id);
        for ids in self.services.values_mut() {
            ids.remove(&id);
        }
        for adapter in self.fleet.remove(id) {
            self.reindex(now, adapter);
        }
    }

    fn enqueue(&mut self, now: Duration, waiting: Waiting) -> Result<(), ErrorKind> {
        self.seen = now;
        let lane = self.queue.lane(&waiting.pin, waiting.alone);
        if let Pin::Adapter { id, name } = &waiting.pin {
            self.demand.arrived(now, *id);
            self.learn(*id, name);
        }
        if waiting.deadline > now && self.is_late(now, lane, &waiting) {
            return Err(ErrorKind::TooLate);
        }
        self.queue.push(now, waiting)?;
        self.fresh.insert(lane);
        if let Need::Adapter(adapter) = lane.need {
            self.reindex(now, adapter);
        }
        Ok(())
    }

    fn cancel(&mut self, request: RequestId) -> bool {
        self.take(self.seen, request).is_some()
    }

    fn finished(&mut self, _now: Duration, target: TargetId, took: Duration) {
        self.fleet.finished(target, took);
    }

    fn decide(&mut self, now: Duration) -> Vec<Decision> {
        self.seen = now;
        self.starved.advance(now);
        let mut decisions = std::mem::take(&mut self.refused);
        while let Some((lane, waiting)) = self.queue.expire(now) {
            self.left(now, lane, waiting.request);
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
            self.begin(now, lane, request, target);
            decisions.push(Decision::Start { request, target });
            if let Some((due, _)) = self.queue.head(lane) {
                order.insert((due, lane));
            }
        }
        decisions
    }

    fn wants(&mut self, now: Duration) -> Vec<Want> {
        self.shed(now);
        self.shed_crowded(now);
        let wants = self.best_wants(now);
        self.pace.wanting(now, !wants.is_empty());
        wants
    }

    fn place(&mut self, now: Duration, adapter: AdapterId) -> Option<LoadOrder> {
        let order = self.order(now, adapter)?;
        self.pace.granted(now);
        self.fleet.order(order.target, adapter, order.victim);
        *self.loading.entry(adapter).or_default() += 1;
        if let Some(victim) = order.victim {
            self.reindex(now, victim);
        }
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
        if !ok {
            self.load_failed(now, adapter);
            return;
        }
        self.failed.remove(&adapter);
        if let Some(since) = self.starved.since(adapter) {
            let waited = now.saturating_sub(since).as_secs_f64();
            self.arrival += ARRIVAL_WEIGHT * (waited - self.arrival);
        }
    }

    fn queued(&self) -> usize {
        self.queue.len()
    }

    fn stalled(&self) -> f64 {
        self.starved.seconds()
    }
}
