//! Baselines: each request is bound to one engine as it arrives, loads are made
//! in order of arrival, and the least recently used idle adapter is evicted.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use wire::AdapterId;

use super::{
    Fault, LEADER_TERM, SLOTS, Scenario, Scheme, mix,
    world::{Request, World},
};

const QUEUES_EVERY: Duration = Duration::from_millis(50);
const STALE: Duration = Duration::from_secs(10);

pub struct Baseline {
    is_hashed: bool,
    queues: Vec<VecDeque<Request>>,
    loads: VecDeque<(usize, AdapterId)>,
    listed: BTreeSet<(usize, AdapterId)>,
    reported: Vec<usize>,
    refresh: Duration,
    halted: Duration,
}

impl Baseline {
    /// Spreads by rendezvous hashing, or to the least loaded engine.
    pub fn new(scenario: &Scenario, is_hashed: bool) -> Baseline {
        Baseline {
            is_hashed,
            queues: vec![VecDeque::new(); scenario.site.engines],
            loads: VecDeque::new(),
            listed: BTreeSet::new(),
            reported: vec![0; scenario.site.engines],
            refresh: if scenario.fault == Fault::StaleReports { STALE } else { QUEUES_EVERY },
            halted: Duration::ZERO,
        }
    }

    fn choose(&self, world: &World, adapter: AdapterId) -> usize {
        let up = (0..world.engines.len()).filter(|&engine| world.engines[engine].open);
        let engine = match self.is_hashed {
            true => up.max_by_key(|&engine| mix(u64::from(adapter), engine as u64)),
            false => up.min_by_key(|&engine| self.reported[engine]),
        };
        engine.expect("an engine is up")
    }

    fn list(&mut self, world: &World, engine: usize, adapter: AdapterId) {
        let is_missing = !world.is_free && !world.holds(engine, adapter);
        if is_missing && self.listed.insert((engine, adapter)) {
            self.loads.push_back((engine, adapter));
        }
    }

    /// Orders a load; returns false if it has to wait for an idle adapter.
    fn order_load(&self, world: &mut World, engine: usize, adapter: AdapterId) -> bool {
        let is_wanted = self.queues[engine].iter().any(|request| request.adapter == adapter);
        if !world.engines[engine].open || !is_wanted || world.holds(engine, adapter) {
            return true;
        }
        let mut victim = None;
        let resident = &world.engines[engine].resident;
        if resident.len() >= SLOTS as usize {
            let idle = resident.iter().filter(|held| held.idle);
            let oldest = idle.min_by_key(|held| world.times[&(engine, held.adapter)].1);
            let Some(oldest) = oldest else { return false };
            victim = Some(oldest.adapter);
        }
        world.load(engine, adapter, victim);
        true
    }

    fn serve(&mut self, world: &mut World, engine: usize) {
        for request in std::mem::take(&mut self.queues[engine]) {
            let ready = world.ready(engine, request.adapter);
            if request.deadline <= world.now {
                world.sums.dropped += 1;
                world.waited(&request, ready);
            } else if (ready.is_some() || world.is_free) && world.has_room(engine) {
                world.start(request, engine);
            } else {
                self.list(world, engine, request.adapter);
                self.queues[engine].push_back(request);
            }
        }
    }
}

impl Scheme for Baseline {
    fn arrive(&mut self, world: &mut World, request: Request) {
        let engine = self.choose(world, request.adapter);
        self.reported[engine] += 1;
        self.list(world, engine, request.adapter);
        self.queues[engine].push_back(request);
    }

    fn step(&mut self, world: &mut World) {
        if !world.is_every(QUEUES_EVERY) {
            return;
        }
        (0..self.queues.len()).for_each(|engine| self.serve(world, engine));
        let mut blocked = VecDeque::new();
        while !world.is_free && world.now >= self.halted && world.store_has_room() {
            let Some((engine, adapter)) = self.loads.pop_front() else { break };
            if self.order_load(world, engine, adapter) {
                self.listed.remove(&(engine, adapter));
            } else {
                blocked.push_back((engine, adapter));
            }
        }
        blocked.append(&mut self.loads);
        self.loads = blocked;
        if world.is_every(self.refresh) {
            for (engine, target) in world.engines.iter().enumerate() {
                self.reported[engine] = target.running as usize + self.queues[engine].len();
            }
        }
    }

    fn lost(&mut self, world: &World, engine: usize) -> Vec<Request> {
        match world.engines[engine].open {
            true => Vec::new(),
            false => std::mem::take(&mut self.queues[engine]).into(),
        }
    }

    fn new_leader(&mut self, world: &World) {
        self.halted = world.now + LEADER_TERM;
    }
}
