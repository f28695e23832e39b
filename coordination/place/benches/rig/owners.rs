//! The policy as the system runs it: owners, a directory and a planner.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use admit::{Bounds, Waiting};
use place::{
    Decision, LoadOrder, PlannerSettings, Policy, PolicySettings, StorePlanner, owner_policy,
};
use route::{Directory, OwnedTarget};
use wire::{AdapterId, Digest, Grant, Pin, Residency, SlotDone, SlotGrant, TargetKind};

use super::{
    BATCH, Fault, LEADER_TERM, Scenario, Scheme, mix,
    world::{IN_FLIGHT, Request, World},
};

const WANTS_EVERY: Duration = Duration::from_millis(100);

struct Host {
    policy: Box<dyn Policy>,
    engines: Vec<usize>,
    requests: BTreeMap<u64, Request>,
    dirty: BTreeSet<usize>,
    is_up: bool,
}

pub struct Owners {
    hosts: Vec<Host>,
    planner: StorePlanner,
    settings: PlannerSettings,
    grants: BTreeMap<(usize, AdapterId), (usize, SlotGrant, LoadOrder)>,
    directory: Directory,
    refresh: Duration,
    domains: usize,
    is_stale: bool,
}

impl Owners {
    pub fn new(scenario: &Scenario, count: usize) -> Owners {
        let site = scenario.site;
        let bounds = Bounds { total: 2_000, caller: 400 };
        let load = Duration::from_millis(250);
        let settings =
            PolicySettings { bounds, stall: site.stall, batch: site.batch, load, seed: 7 };
        let hosts = (0..count).map(|host| Host {
            policy: owner_policy(settings),
            dirty: (host..site.engines).step_by(count).collect(),
            engines: (host..site.engines).step_by(count).collect(),
            requests: BTreeMap::new(),
            is_up: true,
        });
        let domain = |at: usize| format!("domain{}", at % site.domains);
        let target = |engine: usize| OwnedTarget {
            id: engine as u32,
            owner: (engine % count) as u32,
            domain: domain(engine),
            kind: TargetKind::Engine { model: "m".into() },
            requests: BATCH,
        };
        let mut directory = Directory::default();
        directory.set_targets((0..site.engines).map(target).collect());
        directory.set_hosts((0..count).map(|host| (host as u32, domain(host))).collect());
        let settings = PlannerSettings { rate: site.rate, loads: IN_FLIGHT, term: LEADER_TERM };
        let is_stale = scenario.fault == Fault::StaleReports;
        Owners {
            hosts: hosts.collect(),
            planner: StorePlanner::new(Duration::ZERO, settings, true),
            settings,
            grants: BTreeMap::new(),
            directory,
            refresh: Duration::from_millis(if is_stale { 10_000 } else { 500 }),
            domains: site.domains,
            is_stale,
        }
    }

    /// Tells the directory what the hosts hold and how loaded they are.
    fn refresh(&mut self, world: &World) {
        let (mut digests, mut suspect) = (Vec::new(), Vec::new());
        for (id, host) in self.hosts.iter().enumerate() {
            if !host.is_up {
                suspect.push(id as u32);
                continue;
            }
            let mut digest = Digest { queued: host.policy.queued() as u32, ..Digest::default() };
            let mut resident: BTreeMap<AdapterId, u16> = BTreeMap::new();
            for target in host.engines.iter().map(|&engine| &world.engines[engine]) {
                digest.running += target.running;
                digest.capacity += BATCH;
                let ready = target.resident.iter().filter(|held| held.ready);
                ready.for_each(|held| *resident.entry(held.adapter).or_default() += 1);
            }
            let rows = resident.into_iter();
            digest.resident =
                rows.map(|(adapter, targets)| Residency { adapter, targets }).collect();
            digests.push((id as u32, digest));
        }
        let (sent, term, leaving) = (world.now, LEADER_TERM, Vec::new());
        let grant =
            Grant { sent, term, digests, suspect, leaving, incarnation: 0, applied: 0, round: 0 };
        self.directory.granted(world.now, &grant);
    }

    /// Shows a host its changed engines. A stale report tells of requests that
    /// have ended.
    fn sync(&mut self, world: &World, host: usize) {
        let host = &mut self.hosts[host];
        for engine in std::mem::take(&mut host.dirty) {
            let mut view = world.engines[engine].clone();
            let ghosts = mix(engine as u64, world.now.as_secs() / 10) % 3;
            view.foreign = if self.is_stale { ghosts as u32 } else { 0 };
            host.policy.set_target(world.now, view);
        }
    }

    fn decide(&mut self, world: &mut World, at: usize) {
        self.sync(world, at);
        let host = &mut self.hosts[at];
        for decision in host.policy.decide(world.now) {
            match decision {
                Decision::Start { request, target } => {
                    world.start(host.requests.remove(&request).unwrap(), target as usize);
                    host.dirty.insert(target as usize);
                }
                Decision::Refuse { request, .. } => {
                    let request = host.requests.remove(&request).unwrap();
                    world.sums.dropped += 1;
                    let engines = host.engines.iter();
                    let ready = engines.filter_map(|&engine| world.ready(engine, request.adapter));
                    world.waited(&request, ready.min());
                }
            }
        }
        self.sync(world, at);
    }

    fn plan(&mut self, world: &mut World) {
        for (id, host) in self.hosts.iter_mut().enumerate().filter(|(_, host)| host.is_up) {
            self.planner.wants(world.now, id as u32, host.policy.wants(world.now));
        }
        for (id, slot) in self.planner.grant(world.now) {
            let host = &mut self.hosts[id as usize];
            let Some(order) = host.policy.place(world.now, slot.adapter) else {
                let done = SlotDone { slot: slot.slot, used: false, ok: false };
                self.planner.done(world.now, id, done);
                continue;
            };
            let engine = order.target as usize;
            world.load(engine, order.adapter, order.victim);
            self.grants.insert((engine, order.adapter), (id as usize, slot, order));
            host.dirty.insert(engine);
        }
    }
}

impl Scheme for Owners {
    fn arrive(&mut self, world: &mut World, request: Request) {
        let pin = Pin::Adapter { id: request.adapter, name: format!("m@a{}@1", request.adapter) };
        let domain = format!("domain{}", request.id % self.domains as u64);
        let choice = self.directory.choose(world.now, &pin, &domain, &[]).expect("a host is up");
        let host = &mut self.hosts[choice.host as usize];
        let waiting = Waiting {
            request: request.id,
            pin,
            caller: format!("caller{}", request.caller),
            urgency: request.urgency,
            since: request.arrived,
            deadline: request.deadline,
            prefix: 0,
            alone: false,
        };
        match host.policy.enqueue(world.now, waiting) {
            Ok(()) => _ = host.requests.insert(request.id, request),
            Err(_) => world.sums.refused += 1,
        }
    }

    fn step(&mut self, world: &mut World) {
        for host in 0..self.hosts.len() {
            if self.hosts[host].is_up {
                self.decide(world, host);
            }
        }
        if world.is_every(WANTS_EVERY) {
            self.plan(world);
        }
        if world.is_every(self.refresh) {
            self.refresh(world);
        }
    }

    fn finished(&mut self, world: &World, engine: usize, took: Duration) {
        let count = self.hosts.len();
        let host = &mut self.hosts[engine % count];
        host.policy.finished(world.now, engine as u32, took);
        host.dirty.insert(engine);
    }

    fn loaded(&mut self, world: &World, engine: usize, adapter: AdapterId, ok: bool) {
        let Some((host, slot, order)) = self.grants.remove(&(engine, adapter)) else { return };
        self.planner.done(world.now, host as u32, SlotDone { slot: slot.slot, used: true, ok });
        self.hosts[host].policy.loaded(world.now, order, ok);
        self.hosts[host].dirty.insert(engine);
    }

    fn lost(&mut self, world: &World, engine: usize) -> Vec<Request> {
        let id = engine % self.hosts.len();
        let host = &mut self.hosts[id];
        host.dirty.insert(engine);
        host.is_up = host.engines.iter().any(|&engine| world.engines[engine].open);
        if host.is_up {
            return Vec::new();
        }
        self.planner.remove_host(id as u32);
        std::mem::take(&mut host.requests).into_values().collect()
    }

    fn new_leader(&mut self, world: &World) {
        self.planner = StorePlanner::new(world.now, self.settings, false);
    }
}
