//! The policy that owners run.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use admit::{Depth, Lane, Queue, QueuedRequest, Requirement};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wire::{AdapterId, ErrorKind, LoadRequest, Pin, RequestId, TargetId, TargetKind, Urgency};

use crate::{
    Decision, LoadOrder, Policy, PolicySettings, TargetView, demand::Demand,
    interval::GrantInterval, missing::MissingAdapters, prefix::Prefixes, targets::TargetSet,
};

/// Weight of the newest sample in the mean time until an adapter is loaded.
const LOAD_WAIT_WEIGHT: f64 = 0.1;
/// One load in this many goes to the adapter that is waited for longest. Must equal the
/// planner's number.
pub(crate) const FAIR_EVERY: u32 = 4;
/// Fraction of its remaining time that a request may wait for its adapter when only the weight of
/// stalls counts; when only the weight of batches counts, it may wait the whole time.
const STALL_WAIT_SHARE: f64 = 0.25;
/// Maximum number of missing adapters, or of requests of a lane, counted to estimate a wait.
const MAX_COUNTED: usize = 256;

/// Failed loads of an adapter.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadFailures {
    /// Number of failed loads in a row.
    pub(crate) count: u32,
    /// Earliest time of the next load.
    pub(crate) retry_at: Duration,
}

/// Makes the decisions for the targets of one owner.
#[derive(Debug)]
pub(crate) struct Owner {
    pub(crate) settings: PolicySettings,
    pub(crate) queue: Queue,
    pub(crate) targets: TargetSet,
    pub(crate) demand: Demand,
    pub(crate) prefixes: Prefixes,
    /// Targets by the service they run.
    pub(crate) services: BTreeMap<Requirement, BTreeSet<TargetId>>,
    /// Base models of adapters.
    pub(crate) models: HashMap<AdapterId, Arc<str>>,
    model_names: BTreeSet<Arc<str>>,
    /// Number of loads in progress by adapter.
    pub(crate) loading: BTreeMap<AdapterId, u32>,
    /// Adapters whose last load failed.
    pub(crate) failures: BTreeMap<AdapterId, LoadFailures>,
    /// Adapters that requests wait for and that are ready on no target.
    pub(crate) missing: MissingAdapters,
    /// Adapters that requests wait for although they are ready on a target.
    pub(crate) saturated: BTreeSet<AdapterId>,
    /// Lanes with new requests.
    pub(crate) new_lanes: BTreeSet<Lane>,
    /// Targets that changed since the last decisions.
    pub(crate) changed_targets: BTreeSet<TargetId>,
    /// Missing adapter whose requests are checked next for refusal.
    pub(crate) missing_cursor: AdapterId,
    /// Saturated adapter whose requests are checked next for refusal.
    pub(crate) saturated_cursor: AdapterId,
    /// Targets that are kept free, by the request they are kept for.
    pub(crate) reserved: BTreeMap<RequestId, TargetId>,
    /// Refusals to return with the next decisions.
    pub(crate) refusals: Vec<Decision>,
    /// Mean time until a missing adapter is loaded, in seconds.
    pub(crate) load_wait: f64,
    pub(crate) rng: ChaCha8Rng,
    grant_interval: GrantInterval,
    /// Time of the last `set_target`, `enqueue` or `decide`, for the methods that are given no
    /// time.
    last_now: Duration,
}

impl Owner {
    /// Creates an owner without targets. Weights that are both zero count as equal.
    pub(crate) fn new(mut settings: PolicySettings) -> Owner {
        if settings.stall + settings.batch <= 0.0 {
            (settings.stall, settings.batch) = (1.0, 1.0);
        }
        Owner {
            settings,
            queue: Queue::new(settings.bounds),
            targets: TargetSet::default(),
            demand: Demand::default(),
            prefixes: Prefixes::default(),
            services: BTreeMap::new(),
            models: HashMap::new(),
            model_names: BTreeSet::new(),
            loading: BTreeMap::new(),
            failures: BTreeMap::new(),
            missing: MissingAdapters::default(),
            saturated: BTreeSet::new(),
            new_lanes: BTreeSet::new(),
            changed_targets: BTreeSet::new(),
            reserved: BTreeMap::new(),
            refusals: Vec::new(),
            missing_cursor: AdapterId::MIN,
            saturated_cursor: AdapterId::MIN,
            load_wait: settings.load.as_secs_f64(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            grant_interval: GrantInterval::new(settings.load),
            last_now: Duration::ZERO,
        }
    }

    /// Removes a request from the queue.
    pub(crate) fn dequeue(&mut self, now: Duration, request: RequestId) -> Option<QueuedRequest> {
        let (lane, waiting) = self.queue.remove(request)?;
        self.on_removed(now, lane, waiting.request);
        Some(waiting)
    }

    /// Removes a request from the queue and starts it on a target.
    fn start_request(&mut self, now: Duration, lane: Lane, request: RequestId, target: TargetId) {
        let due = self.queue.get(request).map_or(now, |waiting| self.queue.due(waiting));
        let Some(waiting) = self.dequeue(now, request) else { return };
        self.targets.add_start(target, lane.exclusive, now.as_secs_f64() - due.as_secs_f64());
        if let Requirement::Adapter(adapter) = lane.requirement {
            self.prefixes.record(adapter, waiting.prefix, target);
        }
    }

    /// Updates reservations and the order of loads after a request left the queue.
    fn on_removed(&mut self, now: Duration, lane: Lane, request: RequestId) {
        self.release(request);
        let Requirement::Adapter(adapter) = lane.requirement else { return };
        self.reindex(now, adapter);
    }

    /// Records the base model of an adapter from the adapter's name.
    fn record_model(&mut self, adapter: AdapterId, name: &str) {
        if self.models.contains_key(&adapter) {
            return;
        }
        let model = name.split('@').next().unwrap_or_default();
        let model = self.model_names.get(model).cloned().unwrap_or_else(|| Arc::from(model));
        self.model_names.insert(model.clone());
        self.models.insert(adapter, model);
    }

    /// Returns the expected wait of a request in seconds, either for its adapter or for room on a
    /// target.
    fn expected_wait(&self, now: Duration, lane: Lane, waiting: &QueuedRequest) -> f64 {
        let due = self.queue.due(waiting);
        let mut least: Option<f64> = None;
        let mut throughput = 0.0;
        self.for_each_target(lane.requirement, |target| {
            let wait = if target.batch_room() > 0 { 0.0 } else { target.batch_wait(now, due) };
            least = Some(least.map_or(wait, |other| other.min(wait)));
            throughput += target.throughput();
        });
        if least == Some(0.0) {
            return 0.0;
        }
        match (least, lane.requirement) {
            (Some(least), _) => {
                let ahead = self.queue.count_due_before(lane, due, MAX_COUNTED) as f64;
                least.max(ahead / throughput)
            }
            (None, Requirement::Adapter(adapter)) => self.expected_load_wait(now, adapter, waiting),
            (None, Requirement::Service(_)) => 0.0,
        }
    }

    /// Returns the expected wait of a request for its adapter, in seconds; zero if the adapter is
    /// being loaded. Loads are granted in order of value or of age, whichever is earlier.
    fn expected_load_wait(
        &self,
        now: Duration,
        adapter: AdapterId,
        waiting: &QueuedRequest,
    ) -> f64 {
        let load = self.settings.load.as_secs_f64();
        if self.loading.contains_key(&adapter) {
            return 0.0;
        }
        let mut depth = self.depth(adapter);
        if self.queue.get(waiting.request).is_none() {
            add_to_depth(&mut depth, waiting.urgency);
        }
        let score = self.queue_value(depth) + self.expected_value(now, adapter);
        let since = self.missing.since(adapter).unwrap_or(waiting.queued_at);
        let ahead = self.missing.count_ahead(score, since, MAX_COUNTED);
        let older = self.missing.count_older(since, MAX_COUNTED) * FAIR_EVERY as usize;
        let before = ahead.min(older);
        if before == 0 {
            return load;
        }
        load + before as f64 * self.grant_interval.expected_secs(now)
    }

    /// Returns the maximum time that a request may wait for its adapter, in seconds. The higher the
    /// weight of stalls, the shorter it is.
    fn max_wait(&self, now: Duration, waiting: &QueuedRequest) -> f64 {
        let remaining = waiting.deadline.saturating_sub(now).as_secs_f64();
        let PolicySettings { stall, batch, .. } = self.settings;
        let share = (STALL_WAIT_SHARE * stall + batch) / (stall + batch);
        remaining * share
    }

    /// Returns whether a request should be refused because it cannot be served in time.
    fn should_refuse(&self, now: Duration, lane: Lane, waiting: &QueuedRequest) -> bool {
        let wait = self.expected_wait(now, lane, waiting);
        let remaining = waiting.deadline.saturating_sub(now).as_secs_f64();
        if wait >= remaining {
            return true;
        }
        let Requirement::Adapter(adapter) = lane.requirement else { return false };
        let load = self.settings.load.as_secs_f64();
        self.targets.copies(adapter) == 0 && wait > self.max_wait(now, waiting).max(load)
    }

    /// Returns whether a queued request should be refused because it cannot be served in time.
    pub(crate) fn should_refuse_queued(
        &self,
        now: Duration,
        lane: Lane,
        request: RequestId,
    ) -> bool {
        let waiting = self.queue.get(request);
        waiting.is_some_and(|waiting| self.should_refuse(now, lane, waiting))
    }
}

fn add_to_depth(depth: &mut Depth, urgency: Urgency) {
    match urgency {
        Urgency::High => depth.high += 1,
        Urgency::Normal => depth.normal += 1,
        Urgency::Low => depth.low += 1,
    }
}

impl Policy for Owner {
    fn set_target(&mut self, now: Duration, view: TargetView) {
        self.last_now = now;
        let id = view.id;
        if let TargetKind::Service { service } = &view.kind {
            let need = self.queue.service_need(service);
            self.services.entry(need).or_default().insert(id);
        }
        self.changed_targets.insert(id);
        for adapter in self.targets.set(view) {
            self.reindex(now, adapter);
        }
        self.release_stale(id);
    }

    fn remove_target(&mut self, id: TargetId) {
        let now = self.last_now;
        self.reserved.retain(|_, kept| *kept != id);
        for ids in self.services.values_mut() {
            ids.remove(&id);
        }
        for adapter in self.targets.remove(id) {
            self.reindex(now, adapter);
        }
    }

    fn enqueue(&mut self, now: Duration, waiting: QueuedRequest) -> Result<(), ErrorKind> {
        self.last_now = now;
        let lane = self.queue.lane(&waiting.pin, waiting.exclusive);
        if let Pin::Adapter { id, name } = &waiting.pin {
            self.demand.record_arrival(now, *id);
            self.record_model(*id, name);
        }
        if waiting.deadline > now && self.should_refuse(now, lane, &waiting) {
            return Err(ErrorKind::TooLate);
        }
        self.queue.push(now, waiting)?;
        self.new_lanes.insert(lane);
        if let Requirement::Adapter(adapter) = lane.requirement {
            self.reindex(now, adapter);
        }
        Ok(())
    }

    fn cancel(&mut self, request: RequestId) -> bool {
        self.dequeue(self.last_now, request).is_some()
    }

    fn finished(&mut self, _now: Duration, target: TargetId, took: Duration) {
        self.targets.record_run(target, took);
    }

    fn decide(&mut self, now: Duration) -> Vec<Decision> {
        self.last_now = now;
        self.missing.advance(now);
        let mut decisions = std::mem::take(&mut self.refusals);
        while let Some((lane, waiting)) = self.queue.expire(now) {
            self.on_removed(now, lane, waiting.request);
            let kind = ErrorKind::Expired;
            decisions.push(Decision::Refuse { request: waiting.request, kind });
        }
        let mut order = self.startable_lanes();
        while let Some((_, lane)) = order.pop_first() {
            let Some((_, request)) = self.queue.first_due(lane) else { continue };
            let Some(target) = self.pick_target(lane, request) else {
                if lane.exclusive {
                    self.reserve(lane, request);
                }
                continue;
            };
            self.start_request(now, lane, request, target);
            decisions.push(Decision::Start { request, target });
            if let Some((due, _)) = self.queue.first_due(lane) {
                order.insert((due, lane));
            }
        }
        decisions
    }

    fn load_requests(&mut self, now: Duration) -> Vec<LoadRequest> {
        self.refuse_missing(now);
        self.refuse_saturated(now);
        let wants = self.best_load_requests(now);
        self.grant_interval.set_has_requests(now, !wants.is_empty());
        wants
    }

    fn order_load(&mut self, now: Duration, adapter: AdapterId) -> Option<LoadOrder> {
        let order = self.load_order(now, adapter)?;
        self.grant_interval.record_grant(now);
        self.targets.add_load(order.target, adapter, order.victim);
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
        self.failures.remove(&adapter);
        if let Some(since) = self.missing.since(adapter) {
            let waited = now.saturating_sub(since).as_secs_f64();
            self.load_wait += LOAD_WAIT_WEIGHT * (waited - self.load_wait);
        }
    }

    fn queued(&self) -> usize {
        self.queue.len()
    }

    fn stall_seconds(&self) -> f64 {
        self.missing.stall_seconds()
    }
}
