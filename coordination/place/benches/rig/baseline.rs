//! Baselines: each request is bound to one engine as it arrives, loads are made
//! in order of arrival, and the least recently used idle adapter is evicted.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use super::{
    Scenario, Scheme, mix,
    world::{Request, World},
};

const LEADER_TERM: Duration = Duration::from_secs(5);
const QUEUES_EVERY: Duration = Duration::from_millis(50);

/// How requests are spread over engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spread {
    LeastLoaded,
    Rendezvous,
}

pub struct Baseline {
    spread: Spread,
    queues: Vec<VecDeque<Request>>,
    loads: VecDeque<(usize, u32)>,
    listed: BTreeSet<(usize, u32)>,
    reported: Vec<usize>,
    refresh: Duration,
    halted: Duration,
}

impl Baseline {
    pub fn new(scenario: &Scenario, spread: Spread) -> Baseline {
        let is_stale = scenario.fault == super::Fault::StaleReports;
        Baseline {
            spread,
            queues: vec![VecDeque::new(); scenario.site.engines],
            loads: VecDeque::new(),
            listed: BTreeSet::new(),
            reported: vec![0; scenario.site.engines],
            refresh: if is_stale { Duration::from_secs(10) } else { QUEUES_EVERY },
            halted: Duration::ZERO,
        }
    }

    fn choose(&self, world: &World, adapter: u32) -> usize {
        let up = (0..world.engines.len()).filter(|&engine| world.engines[engine].is_up);
        match self.spread {
            Spread::LeastLoaded => up.min_by_key(|&engine| self.reported[engine]),
            Spread::Rendezvous => up.max_by_key(|&engine| mix(u64::from(adapter), engine as u64)),
        }
        .expect("an engine is up")
    }

    fn list(&mut self, world: &World, engine: usize, adapter: u32) {
        let is_missing = !world.is_free && world.engines[engine].held(adapter).is_none();
        if is_missing && self.listed.insert((engine, adapter)) {
            self.loads.push_back((engine, adapter));
        }
    }

    fn order_load(&mut self, world: &mut World, engine: usize, adapter: u32) -> bool {
        let target = &world.engines[engine];
        let is_wanted = self.queues[engine].iter().any(|request| request.adapter == adapter);
        if !target.is_up || !is_wanted || target.held(adapter).is_some() {
            return true;
        }
        let mut victim = None;
        if target.held.len() >= super::SLOTS as usize {
            let idle = target.held.iter().filter(|held| held.users == 0 && held.ready.is_some());
            let Some(oldest) = idle.min_by_key(|held| held.used) else { return false };
            victim = Some(oldest.adapter);
        }
        world.load(engine, adapter, victim);
        true
    }
}

impl Scheme for Baseline {
    fn arrive(&mut self, world: &mut World, request: Request) {
        let engine = self.choose(world, request.adapter);
        let adapter = request.adapter;
        self.reported[engine] += 1;
        self.queues[engine].push_back(request);
        self.list(world, engine, adapter);
    }

    fn step(&mut self, world: &mut World) {
        if !world.is_every(QUEUES_EVERY) {
            return;
        }
        for engine in 0..self.queues.len() {
            let mut kept = VecDeque::new();
            for request in std::mem::take(&mut self.queues[engine]) {
                let ready = world.engines[engine].ready(request.adapter);
                if request.deadline <= world.now {
                    world.sums.expired += 1;
                    world.waited(&request, ready);
                    continue;
                }
                let is_ready = ready.is_some() || world.is_free;
                if is_ready && world.engines[engine].has_room() {
                    world.start(request, engine);
                    continue;
                }
                self.list(world, engine, request.adapter);
                kept.push_back(request);
            }
            self.queues[engine] = kept;
        }
        let mut blocked = VecDeque::new();
        while !world.is_free && world.now >= self.halted && world.store_has_room() {
            let Some((engine, adapter)) = self.loads.pop_front() else { break };
            self.listed.remove(&(engine, adapter));
            if !self.order_load(world, engine, adapter) {
                self.listed.insert((engine, adapter));
                blocked.push_back((engine, adapter));
            }
        }
        blocked.extend(std::mem::take(&mut self.loads));
        self.loads = blocked;
        if world.is_every(self.refresh) {
            for (engine, target) in world.engines.iter().enumerate() {
                self.reported[engine] = target.running.len() + self.queues[engine].len();
            }
        }
    }

    fn finished(&mut self, _world: &World, _engine: usize, _took: Duration) {}

    fn loaded(&mut self, _world: &mut World, _engine: usize, _adapter: u32, _ok: bool) {}

    fn lost(&mut self, world: &World, engine: usize) -> Vec<Request> {
        if world.engines[engine].is_up {
            return Vec::new();
        }
        std::mem::take(&mut self.queues[engine]).into()
    }

    fn new_leader(&mut self, world: &World) {
        self.halted = world.now + LEADER_TERM;
    }
}
