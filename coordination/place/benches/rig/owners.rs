//! The policy as the system runs it: owners, a directory and a planner.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use admit::{Bounds, Waiting};
use place::{
    Decision, LoadOrder, PlannerSettings, Policy, PolicySettings, Resident, StorePlanner,
    TargetView, owner_policy,
};
use route::{Directory, OwnedTarget};
use wire::{Digest, Grant, Pin, Residency, SlotDone, SlotGrant, TargetKind};

use super::{
    BATCH, Fault, SLOTS, Scenario, Scheme, mix,
    world::{IN_FLIGHT, Request, World},
};

const LEADER_TERM: Duration = Duration::from_secs(5);
const WANTS_EVERY: Duration = Duration::from_millis(100);

struct Host {
    policy: Box<dyn Policy>,
    engines: Vec<usize>,
    requests: HashMap<u64, Request>,
    dirty: BTreeSet<usize>,
    is_up: bool,
}

pub struct Owners {
    hosts: Vec<Host>,
    owner: Vec<usize>,
    planner: StorePlanner,
    settings: PlannerSettings,
    grants: BTreeMap<(usize, u32), (usize, SlotGrant, LoadOrder)>,
    directory: Directory,
    refresh: Duration,
    domains: usize,
    is_stale: bool,
}

impl Owners {
    pub fn new(scenario: &Scenario, count: usize) -> Owners {
        let site = scenario.site;
        let owner: Vec<usize> = (0..site.engines).map(|engine| engine % count).collect();
        let settings = PolicySettings {
            bounds: Bounds { total: 2_000, caller: 400 },
            stall: site.stall,
            batch: site.batch,
            load: Duration::from_millis(250),
            seed: 7,
        };
        let hosts = (0..count).map(|host| {
            let engines: Vec<usize> = (0..site.engines).filter(|&e| owner[e] == host).collect();
            Host {
                policy: owner_policy(settings),
                dirty: engines.iter().copied().collect(),
                engines,
                requests: HashMap::new(),
                is_up: true,
            }
        });
        let target = |engine: usize| OwnedTarget {
            id: engine as u32,
            owner: owner[engine] as u32,
            domain: format!("domain{}", engine % site.domains),
            kind: TargetKind::Engine { model: "m".into() },
            requests: BATCH,
        };
        let mut directory = Directory::default();
        directory.set_targets((0..site.engines).map(target).collect());
        let domain = |host: usize| (host as u32, format!("domain{}", host % site.domains));
        directory.set_hosts((0..count).map(domain).collect());
        let settings = PlannerSettings { rate: site.rate, loads: IN_FLIGHT, term: LEADER_TERM };
        let is_stale = scenario.fault == Fault::StaleReports;
        Owners {
            hosts: hosts.collect(),
            owner,
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
        let mut grant = no_grant(world.now);
        for (id, host) in self.hosts.iter().enumerate() {
            if !host.is_up {
                grant.suspect.push(id as u32);
                continue;
            }
            let mut digest = Digest { queued: host.policy.queued() as u32, ..Digest::default() };
            let mut resident = BTreeMap::new();
            for target in host.engines.iter().map(|&engine| &world.engines[engine]) {
                digest.running += target.running.len() as u32;
                digest.capacity += BATCH;
                for held in target.held.iter().filter(|held| held.ready.is_some()) {
                    *resident.entry(held.adapter).or_default() += 1;
                }
            }
            let rows =
                resident.into_iter().map(|(adapter, targets)| Residency { adapter, targets });
            digest.resident = rows.collect();
            grant.digests.push((id as u32, digest));
        }
        self.directory.granted(world.now, &grant);
    }

    fn view(&self, world: &World, engine: usize) -> TargetView {
        let target = &world.engines[engine];
        let resident = target.held.iter().map(|held| Resident {
            adapter: held.adapter,
            users: held.users,
            idle: held.users == 0 && held.ready.is_some(),
            ready: held.ready.is_some(),
        });
        TargetView {
            id: engine as u32,
            domain: format!("domain{}", engine % self.domains),
            kind: TargetKind::Engine { model: "m".into() },
            slots: SLOTS,
            batch: BATCH,
            running: target.running.len() as u32,
            foreign: self.ghosts(world, engine),
            open: target.is_up,
            alone: false,
            resident: resident.collect(),
        }
    }

    /// Returns requests that a stale report tells of though they have ended.
    fn ghosts(&self, world: &World, engine: usize) -> u32 {
        if !self.is_stale {
            return 0;
        }
        (mix(engine as u64, world.now.as_secs() / 10) % 3) as u32
    }

    fn sync(&mut self, world: &World, host: usize) {
        for engine in std::mem::take(&mut self.hosts[host].dirty) {
            let view = self.view(world, engine);
            self.hosts[host].policy.set_target(world.now, view);
        }
    }

    fn decide(&mut self, world: &mut World, host: usize) {
        self.sync(world, host);
        for decision in self.hosts[host].policy.decide(world.now) {
            match decision {
                Decision::Start { request, target } => {
                    let request = self.hosts[host].requests.remove(&request).unwrap();
                    world.start(request, target as usize);
                    self.hosts[host].dirty.insert(target as usize);
                }
                Decision::Refuse { request, .. } => {
                    let request = self.hosts[host].requests.remove(&request).unwrap();
                    world.sums.expired += 1;
                    let engines = self.hosts[host].engines.iter();
                    let ready =
                        engines.filter_map(|&e| world.engines[e].ready(request.adapter)).min();
                    world.waited(&request, ready);
                }
            }
        }
        self.sync(world, host);
    }

    fn plan(&mut self, world: &mut World) {
        for (id, host) in self.hosts.iter_mut().enumerate().filter(|(_, host)| host.is_up) {
            self.planner.wants(world.now, id as u32, host.policy.wants(world.now));
        }
        for (id, slot) in self.planner.grant(world.now) {
            let host = id as usize;
            let order = self.hosts[host].policy.place(world.now, slot.adapter);
            let Some(order) = order else {
                let done = SlotDone { slot: slot.slot, used: false, ok: false };
                self.planner.done(world.now, id, done);
                continue;
            };
            world.load(order.target as usize, order.adapter, order.victim);
            self.grants.insert((order.target as usize, order.adapter), (host, slot, order));
            self.hosts[host].dirty.insert(order.target as usize);
        }
    }
}

impl Scheme for Owners {
    fn arrive(&mut self, world: &mut World, request: Request) {
        let pin = Pin::Adapter { id: request.adapter, name: format!("m@a{}@1", request.adapter) };
        let domain = format!("domain{}", request.id % self.domains as u64);
        let choice = self.directory.choose(world.now, &pin, &domain, &[]).expect("a host is up");
        let host = choice.host as usize;
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
        match self.hosts[host].policy.enqueue(world.now, waiting) {
            Ok(()) => _ = self.hosts[host].requests.insert(request.id, request),
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
        let host = &mut self.hosts[self.owner[engine]];
        host.policy.finished(world.now, engine as u32, took);
        host.dirty.insert(engine);
    }

    fn loaded(&mut self, world: &mut World, engine: usize, adapter: u32, ok: bool) {
        let Some((host, slot, order)) = self.grants.remove(&(engine, adapter)) else { return };
        self.planner.done(world.now, host as u32, SlotDone { slot: slot.slot, used: true, ok });
        self.hosts[host].policy.loaded(world.now, order, ok);
        self.hosts[host].dirty.insert(engine);
    }

    fn lost(&mut self, world: &World, engine: usize) -> Vec<Request> {
        let id = self.owner[engine];
        let host = &mut self.hosts[id];
        host.dirty.insert(engine);
        host.is_up = host.engines.iter().any(|&engine| world.engines[engine].is_up);
        if host.is_up {
            return Vec::new();
        }
        self.planner.remove_host(id as u32);
        let mut requests: Vec<Request> =
            host.requests.drain().map(|(_, request)| request).collect();
        requests.sort_by_key(|request| request.id);
        requests
    }

    fn new_leader(&mut self, world: &World) {
        self.planner = StorePlanner::new(world.now, self.settings, false);
    }
}

fn no_grant(now: Duration) -> Grant {
    Grant {
        sent: now,
        incarnation: 0,
        term: LEADER_TERM,
        applied: 0,
        round: 0,
        digests: Vec::new(),
        suspect: Vec::new(),
        leaving: Vec::new(),
    }
}
