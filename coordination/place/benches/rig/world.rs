//! Fakes of engines and of the weight store.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::Urgency;

use super::{BATCH, Fault, SLOTS, Scenario, TOOK};

const LOAD: Duration = Duration::from_millis(250);
pub const IN_FLIGHT: usize = 8;

#[derive(Debug, Clone)]
pub struct Request {
    pub id: u64,
    pub adapter: u32,
    pub caller: u32,
    pub urgency: Urgency,
    pub arrived: Duration,
    pub deadline: Duration,
}

/// An adapter on an engine.
#[derive(Debug, Clone)]
pub struct Held {
    pub adapter: u32,
    pub ready: Option<Duration>,
    pub users: u32,
    pub used: Duration,
}

#[derive(Debug, Clone, Default)]
pub struct Engine {
    pub held: Vec<Held>,
    pub running: BTreeMap<u64, (Request, Duration)>,
    pub is_up: bool,
}

impl Engine {
    pub fn held(&self, adapter: u32) -> Option<&Held> {
        self.held.iter().find(|held| held.adapter == adapter)
    }

    pub fn ready(&self, adapter: u32) -> Option<Duration> {
        self.held(adapter).and_then(|held| held.ready)
    }

    pub fn has_room(&self) -> bool {
        self.is_up && self.running.len() < BATCH as usize
    }
}

/// What a run adds up.
#[derive(Debug, Clone, Default)]
pub struct Sums {
    pub arrived: u64,
    pub started: u64,
    pub refused: u64,
    pub expired: u64,
    pub loads: u64,
    pub failed: u64,
    pub evictions: u64,
    pub waits: Vec<f64>,
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

    pub fn fullness(&self) -> f64 {
        self.used as f64 / self.offered.max(1) as f64
    }

    /// Returns a percentile of the waits of those who waited, in seconds.
    pub fn percentile(&self, percent: usize) -> f64 {
        let mut waits = self.waits.clone();
        waits.sort_by(f64::total_cmp);
        waits.get((waits.len() * percent / 100).min(waits.len().max(1) - 1)).copied().unwrap_or(0.0)
    }
}

pub struct World {
    pub now: Duration,
    pub engines: Vec<Engine>,
    pub sums: Sums,
    pub is_free: bool,
    fails: f64,
    loading: BTreeMap<(usize, u32), Duration>,
    ends: BTreeSet<(Duration, usize, u64)>,
    starts: VecDeque<Duration>,
    rate: f64,
    rng: ChaCha8Rng,
}

impl World {
    /// A world with empty engines. A free store makes each adapter ready
    /// everywhere.
    pub fn new(scenario: &Scenario, seed: u64, is_free: bool) -> World {
        let engine = Engine { is_up: true, ..Engine::default() };
        World {
            now: Duration::ZERO,
            engines: vec![engine; scenario.site.engines],
            sums: Sums::default(),
            is_free,
            fails: if scenario.fault == Fault::StoreFails { 0.2 } else { 0.0 },
            loading: BTreeMap::new(),
            ends: BTreeSet::new(),
            starts: VecDeque::new(),
            rate: scenario.site.rate,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0xF00D),
        }
    }

    pub fn is_every(&self, period: Duration) -> bool {
        self.now.as_nanos().is_multiple_of(period.as_nanos())
    }

    /// Returns whether the store takes one more load.
    pub fn store_has_room(&mut self) -> bool {
        while self.starts.front().is_some_and(|&at| at + Duration::from_secs(1) <= self.now) {
            self.starts.pop_front();
        }
        self.loading.len() < IN_FLIGHT && (self.starts.len() as f64) < self.rate
    }

    /// Starts a request.
    pub fn start(&mut self, request: Request, engine: usize) {
        let ready = if self.is_free {
            request.arrived
        } else {
            self.engines[engine].ready(request.adapter).expect("starts on a ready adapter")
        };
        assert!(self.engines[engine].has_room(), "starts where there is room");
        self.waited(&request, Some(ready));
        let took = TOOK.mul_f64(self.rng.random_range(0.5..1.5));
        self.ends.insert((self.now + took, engine, request.id));
        let target = &mut self.engines[engine];
        if let Some(held) = target.held.iter_mut().find(|held| held.adapter == request.adapter) {
            held.users += 1;
            held.used = self.now;
        }
        target.running.insert(request.id, (request, self.now));
        self.sums.started += 1;
    }

    /// Notes the end of a wait; `ready` is when the adapter was there.
    pub fn waited(&mut self, request: &Request, ready: Option<Duration>) {
        let until = ready.unwrap_or(self.now).min(self.now);
        let wait = until.saturating_sub(request.arrived);
        if wait > Duration::ZERO {
            self.sums.waits.push(wait.as_secs_f64());
        }
    }

    /// Starts a load; evicts the victim first.
    pub fn load(&mut self, engine: usize, adapter: u32, victim: Option<u32>) {
        assert!(self.store_has_room(), "the store's limits hold");
        self.starts.push_back(self.now);
        let target = &mut self.engines[engine];
        if let Some(victim) = victim {
            let at = target.held.iter().position(|held| held.adapter == victim).unwrap();
            let held = target.held.remove(at);
            assert!(held.users == 0 && held.ready.is_some(), "the victim is idle");
            self.sums.evictions += 1;
        }
        target.held.push(Held { adapter, ready: None, users: 0, used: self.now });
        assert!(target.held.len() <= SLOTS as usize, "the engine has space");
        let slow = ((self.loading.len() + 1) as f64 / IN_FLIGHT as f64).max(1.0);
        self.loading.insert((engine, adapter), self.now + LOAD.mul_f64(slow));
        self.sums.loads += 1;
    }

    /// Takes out the requests that ended by now.
    pub fn ended(&mut self) -> Vec<(usize, Duration)> {
        let mut ended = Vec::new();
        while let Some(&(at, engine, id)) = self.ends.first() {
            if at > self.now {
                break;
            }
            self.ends.pop_first();
            let target = &mut self.engines[engine];
            let Some((request, since)) = target.running.remove(&id) else { continue };
            if let Some(held) = target.held.iter_mut().find(|held| held.adapter == request.adapter)
            {
                held.users -= 1;
            }
            ended.push((engine, at - since));
        }
        ended
    }

    /// Takes out the loads that ended by now.
    pub fn arrived_loads(&mut self) -> Vec<(usize, u32, bool)> {
        let done: Vec<(usize, u32)> =
            self.loading.iter().filter(|(_, at)| **at <= self.now).map(|(key, _)| *key).collect();
        let mut loads = Vec::new();
        for (engine, adapter) in done {
            self.loading.remove(&(engine, adapter));
            let target = &mut self.engines[engine];
            let held = target.held.iter_mut().find(|held| held.adapter == adapter);
            let ok = held.is_some() && !self.rng.random_bool(self.fails);
            match held {
                Some(held) if ok => (held.ready, held.used) = (Some(self.now), self.now),
                _ => target.held.retain(|held| held.adapter != adapter),
            }
            self.sums.failed += u64::from(!ok);
            loads.push((engine, adapter, ok));
        }
        loads
    }

    /// Empties an engine; returns the requests that ran there.
    pub fn lose(&mut self, engine: usize, is_up: bool) -> Vec<Request> {
        let lost = std::mem::take(&mut self.engines[engine]);
        self.engines[engine].is_up = is_up;
        self.sums.started -= lost.running.len() as u64;
        lost.running.into_values().map(|(request, _)| request).collect()
    }

    /// Adds up how full the batches of engines with work are.
    pub fn sample(&mut self) {
        for engine in self.engines.iter().filter(|engine| !engine.running.is_empty()) {
            self.sums.used += engine.running.len() as u64;
            self.sums.offered += u64::from(BATCH);
        }
    }
}
