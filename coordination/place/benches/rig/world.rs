//! Fakes of engines and of the weight store.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use place::{Resident, TargetView};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{AdapterId, TargetKind, Urgency};

use super::{BATCH, Fault, SLOTS, Scenario, TOOK};

const LOAD: Duration = Duration::from_millis(250);
pub const IN_FLIGHT: usize = 8;

#[derive(Debug, Clone)]
pub struct Request {
    pub id: u64,
    pub adapter: AdapterId,
    pub caller: u32,
    pub urgency: Urgency,
    pub arrived: Duration,
    pub deadline: Duration,
}

/// What a run adds up; waits are in seconds.
#[derive(Debug, Clone, Default)]
pub struct Sums {
    pub arrived: u64,
    pub started: u64,
    pub refused: u64,
    pub dropped: u64,
    pub loads: u64,
    pub failed: u64,
    pub evictions: u64,
    pub waits: Vec<f64>,
    /// Seconds waited by those that were answered.
    pub served: f64,
    pub used: u64,
    pub offered: u64,
}

impl Sums {
    pub fn waited(&self) -> f64 {
        self.waits.iter().sum()
    }

    pub fn share(&self) -> f64 {
        self.started as f64 / self.arrived.max(1) as f64
    }

    /// Returns a percentile of the waits of those who waited.
    pub fn percentile(&self, percent: usize) -> f64 {
        let mut waits = self.waits.clone();
        waits.sort_by(f64::total_cmp);
        waits.get((waits.len() * percent / 100).min(waits.len().max(1) - 1)).copied().unwrap_or(0.0)
    }
}

/// Engines as their owners see them, and what happens to them.
pub struct World {
    pub now: Duration,
    pub engines: Vec<TargetView>,
    pub sums: Sums,
    pub is_free: bool,
    /// When each held adapter became ready, and when it was last used.
    pub times: BTreeMap<(usize, AdapterId), (Duration, Duration)>,
    fails: f64,
    loading: BTreeMap<(usize, AdapterId), Duration>,
    running: BTreeMap<(Duration, usize, u64), (Request, Duration)>,
    starts: VecDeque<Duration>,
    rate: f64,
    rng: ChaCha8Rng,
}

impl World {
    /// A world with empty engines. A free store makes each adapter ready everywhere.
    pub fn new(scenario: &Scenario, seed: u64, is_free: bool) -> World {
        let engine = |id: usize| TargetView {
            id: id as u32,
            domain: format!("domain{}", id % scenario.site.domains),
            kind: TargetKind::Engine { model: "m".into() },
            slots: SLOTS,
            batch: BATCH,
            running: 0,
            foreign: 0,
            open: true,
            alone: false,
            resident: Vec::new(),
        };
        World {
            now: Duration::ZERO,
            engines: (0..scenario.site.engines).map(engine).collect(),
            sums: Sums::default(),
            is_free,
            times: BTreeMap::new(),
            fails: if scenario.fault == Fault::StoreFails { 0.2 } else { 0.0 },
            loading: BTreeMap::new(),
            running: BTreeMap::new(),
            starts: VecDeque::new(),
            rate: scenario.site.rate,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0xF00D),
        }
    }

    pub fn is_every(&self, period: Duration) -> bool {
        self.now.as_nanos().is_multiple_of(period.as_nanos())
    }

    pub fn has_room(&self, engine: usize) -> bool {
        self.engines[engine].open && self.engines[engine].running < BATCH
    }

    pub fn holds(&self, engine: usize, adapter: AdapterId) -> bool {
        self.engines[engine].resident.iter().any(|held| held.adapter == adapter)
    }

    pub fn ready(&self, engine: usize, adapter: AdapterId) -> Option<Duration> {
        self.times.get(&(engine, adapter)).map(|&(ready, _)| ready)
    }

    /// Returns whether the store takes one more load.
    pub fn store_has_room(&mut self) -> bool {
        while self.starts.front().is_some_and(|&at| at + Duration::from_secs(1) <= self.now) {
            self.starts.pop_front();
        }
        self.loading.len() < IN_FLIGHT && (self.starts.len() as f64) < self.rate
    }

    pub fn start(&mut self, request: Request, engine: usize) {
        assert!(self.has_room(engine), "starts where there is room");
        let ready = self.ready(engine, request.adapter);
        assert!(ready.is_some() || self.is_free, "starts on a ready adapter");
        self.sums.served += self.waited(&request, ready.or(Some(request.arrived)));
        self.times.entry((engine, request.adapter)).and_modify(|(_, used)| *used = self.now);
        self.engines[engine].running += 1;
        self.count_users(engine, request.adapter, 1);
        let took = TOOK.mul_f64(self.rng.random_range(0.5..1.5));
        self.running.insert((self.now + took, engine, request.id), (request, self.now));
        self.sums.started += 1;
    }

    fn count_users(&mut self, engine: usize, adapter: AdapterId, change: i32) {
        let resident = &mut self.engines[engine].resident;
        if let Some(held) = resident.iter_mut().find(|held| held.adapter == adapter) {
            held.users = held.users.strict_add_signed(change);
            held.idle = held.users == 0;
        }
    }

    /// Notes the end of a wait; `ready` is when the adapter was there. Returns
    /// the seconds.
    pub fn waited(&mut self, request: &Request, ready: Option<Duration>) -> f64 {
        let until = ready.unwrap_or(self.now).min(self.now);
        let wait = until.saturating_sub(request.arrived).as_secs_f64();
        self.sums.waits.extend((wait > 0.0).then_some(wait));
        wait
    }

    /// Starts a load; evicts the victim first.
    pub fn load(&mut self, engine: usize, adapter: AdapterId, victim: Option<AdapterId>) {
        assert!(self.store_has_room(), "the store's limits hold");
        self.starts.push_back(self.now);
        let resident = &mut self.engines[engine].resident;
        if let Some(victim) = victim {
            let at = resident.iter().position(|held| held.adapter == victim).unwrap();
            assert!(resident.remove(at).idle, "the victim is idle");
            self.times.remove(&(engine, victim));
            self.sums.evictions += 1;
        }
        resident.push(Resident { adapter, users: 0, idle: false, ready: false });
        assert!(resident.len() <= SLOTS as usize, "the engine has space");
        let slow = ((self.loading.len() + 1) as f64 / IN_FLIGHT as f64).max(1.0);
        self.loading.insert((engine, adapter), self.now + LOAD.mul_f64(slow));
        self.sums.loads += 1;
    }

    /// Takes out the requests that ended by now.
    pub fn ended(&mut self) -> Vec<(usize, Duration)> {
        let mut ended = Vec::new();
        while self.running.first_key_value().is_some_and(|(&(at, ..), _)| at <= self.now) {
            let Some(((at, engine, _), (request, since))) = self.running.pop_first() else { break };
            self.engines[engine].running -= 1;
            self.count_users(engine, request.adapter, -1);
            ended.push((engine, at - since));
        }
        ended
    }

    /// Takes out the loads that ended by now.
    pub fn arrived_loads(&mut self) -> Vec<(usize, AdapterId, bool)> {
        let mut done = self.loading.clone();
        done.retain(|_, at| *at <= self.now);
        let mut loads = Vec::new();
        for (engine, adapter) in done.into_keys() {
            self.loading.remove(&(engine, adapter));
            let resident = &mut self.engines[engine].resident;
            let at = resident.iter().position(|held| held.adapter == adapter);
            let ok = at.is_some() && !self.rng.random_bool(self.fails);
            if let Some(at) = at.filter(|_| ok) {
                (resident[at].ready, resident[at].idle) = (true, true);
                self.times.insert((engine, adapter), (self.now, self.now));
            }
            resident.retain(|held| held.adapter != adapter || ok);
            self.sums.failed += u64::from(!ok);
            loads.push((engine, adapter, ok));
        }
        loads
    }

    /// Empties an engine; returns the requests that ran there.
    pub fn lose(&mut self, engine: usize, is_up: bool) -> Vec<Request> {
        let view = &mut self.engines[engine];
        (view.open, view.running, view.resident) = (is_up, 0, Vec::new());
        self.times.retain(|(held, _), _| *held != engine);
        let (lost, kept) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|((_, at, _), _)| *at == engine);
        self.running = kept;
        let lost: BTreeMap<(Duration, usize, u64), (Request, Duration)> = lost;
        self.sums.started -= lost.len() as u64;
        lost.into_values().map(|(request, _)| request).collect()
    }

    /// Adds up how full the batches of engines with work are.
    pub fn sample(&mut self) {
        for engine in self.engines.iter().filter(|engine| engine.running > 0) {
            self.sums.used += u64::from(engine.running);
            self.sums.offered += u64::from(BATCH);
        }
    }
}
