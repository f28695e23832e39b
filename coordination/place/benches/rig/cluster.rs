//! Hosts, fakes of engines and of the weight store, and what happens to them.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use admit::{Bounds, Waiting};
use place::{
    Decision, LoadOrder, PlannerSettings, Policy, PolicySettings, Resident, StorePlanner,
    TargetView, owner_policy,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::{Directory, OwnedTarget};
use wire::{AdapterId, Digest, Grant, Pin, Residency, SlotDone, SlotGrant, TargetKind};

use super::{BATCH, Fault, Kind, SLOTS, Scenario, Sums, TOOK, adapter_of, baseline::Lru, mix};

const LOAD: Duration = Duration::from_millis(250);
const IN_FLIGHT: usize = 8;
const LEADER_TERM: Duration = Duration::from_secs(5);
const WANTS_EVERY: Duration = Duration::from_millis(100);
const LOOK_EVERY: Duration = Duration::from_millis(50);

struct Host {
    policy: Box<dyn Policy>,
    requests: BTreeMap<u64, Waiting>,
    dirty: BTreeSet<usize>,
    is_due: bool,
    load: usize,
}

pub struct Cluster {
    pub now: Duration,
    pub sums: Sums,
    kind: Kind,
    scenario: Scenario,
    engines: Vec<TargetView>,
    hosts: Vec<Host>,
    directory: Directory,
    planner: StorePlanner,
    settings: PlannerSettings,
    /// When each held adapter became ready.
    ready: BTreeMap<(usize, AdapterId), Duration>,
    loading: BTreeMap<(usize, AdapterId), (Duration, SlotGrant, LoadOrder)>,
    running: BTreeMap<(Duration, usize, u64), (Waiting, Duration)>,
    starts: VecDeque<Duration>,
    rng: ChaCha8Rng,
}

impl Cluster {
    pub fn new(kind: Kind, scenario: &Scenario, seed: u64) -> Cluster {
        let site = scenario.site;
        let count = match kind {
            Kind::Policy => site.hosts,
            Kind::Pooled | Kind::NoStore => 1,
            Kind::LeastLoaded | Kind::Rendezvous => site.engines,
        };
        let bounds = Bounds { total: 2_000, caller: 400 };
        let settings =
            PolicySettings { bounds, stall: site.stall, batch: site.batch, load: LOAD, seed: 7 };
        let policy = || match kind {
            Kind::LeastLoaded | Kind::Rendezvous => Box::new(Lru::default()),
            _ => owner_policy(settings),
        };
        let hosts = (0..count).map(|host| Host {
            policy: policy(),
            requests: BTreeMap::new(),
            dirty: (host..site.engines).step_by(count).collect(),
            is_due: true,
            load: 0,
        });
        let engines: Vec<TargetView> =
            (0..site.engines).map(|id| engine(kind, site.domains, id)).collect();
        let owned = engines.iter().map(|view| OwnedTarget {
            id: view.id,
            owner: view.id % count as u32,
            domain: view.domain.clone(),
            kind: view.kind.clone(),
            requests: view.batch,
        });
        let mut directory = Directory::default();
        directory.set_targets(owned.collect());
        let domain = |host: usize| (host as u32, format!("domain{}", host % site.domains));
        directory.set_hosts((0..count).map(domain).collect());
        let settings = PlannerSettings { rate: site.rate, loads: IN_FLIGHT, term: LEADER_TERM };
        Cluster {
            now: Duration::ZERO,
            sums: Sums::default(),
            kind,
            scenario: *scenario,
            hosts: hosts.collect(),
            engines,
            directory,
            planner: StorePlanner::new(Duration::ZERO, settings, true),
            settings,
            ready: BTreeMap::new(),
            loading: BTreeMap::new(),
            running: BTreeMap::new(),
            starts: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0xF00D),
        }
    }

    fn is_every(&self, period: Duration) -> bool {
        self.now.as_nanos().is_multiple_of(period.as_nanos())
    }

    fn is_up(&self, host: usize) -> bool {
        self.engines.iter().skip(host).step_by(self.hosts.len()).any(|engine| engine.open)
    }

    fn choose(&self, waiting: &Waiting) -> usize {
        let mut up = (0..self.hosts.len()).filter(|&host| self.is_up(host));
        let key = u64::from(adapter_of(waiting));
        let domain = format!("domain{}", waiting.request as usize % self.scenario.site.domains);
        let choice = match self.kind {
            Kind::Policy => self
                .directory
                .choose(self.now, &waiting.pin, &domain, &[])
                .map(|choice| choice.host as usize),
            Kind::Pooled | Kind::NoStore => up.next(),
            Kind::LeastLoaded => up.min_by_key(|&host| self.hosts[host].load),
            Kind::Rendezvous => up.max_by_key(|&host| mix(key, host as u64)),
        };
        choice.expect("a host is up")
    }

    /// Takes a request.
    pub fn arrive(&mut self, mut waiting: Waiting) {
        let host = self.choose(&waiting);
        let host = &mut self.hosts[host];
        if self.kind == Kind::NoStore {
            waiting.pin = Pin::Service { service: "m".into() };
        }
        (host.is_due, host.load) = (true, host.load + 1);
        match host.policy.enqueue(self.now, waiting.clone()) {
            Ok(()) => _ = host.requests.insert(waiting.request, waiting),
            Err(_) => self.sums.refused += 1,
        }
    }

    /// Does what happens in one step.
    pub fn step(&mut self) {
        self.end_requests();
        self.end_loads();
        for host in 0..self.hosts.len() {
            let is_due = std::mem::take(&mut self.hosts[host].is_due);
            if is_due || self.is_every(LOOK_EVERY) {
                self.decide(host);
            }
        }
        if self.is_every(WANTS_EVERY) {
            self.plan();
        }
        let is_stale = self.scenario.fault == Fault::StaleReports;
        if self.is_every(Duration::from_millis(if is_stale { 10_000 } else { 500 })) {
            self.refresh();
        }
        for engine in self.engines.iter().filter(|engine| engine.running > 0) {
            self.sums.used += u64::from(engine.running);
            self.sums.offered += u64::from(BATCH);
        }
    }

    fn touch(&mut self, engine: usize) -> &mut Host {
        let count = self.hosts.len();
        let host = &mut self.hosts[engine % count];
        host.dirty.insert(engine);
        host.is_due = true;
        host
    }

    fn count_users(&mut self, engine: usize, adapter: AdapterId, change: i32) {
        let view = &mut self.engines[engine];
        view.running = view.running.strict_add_signed(change);
        if let Some(held) = view.resident.iter_mut().find(|held| held.adapter == adapter) {
            held.users = held.users.strict_add_signed(change);
            held.idle = held.users == 0;
        }
    }

    fn end_requests(&mut self) {
        while self.running.first_key_value().is_some_and(|(&(at, ..), _)| at <= self.now) {
            let Some(((at, engine, _), (waiting, since))) = self.running.pop_first() else { break };
            self.count_users(engine, adapter_of(&waiting), -1);
            let now = self.now;
            self.touch(engine).policy.finished(now, engine as u32, at - since);
        }
    }

    fn end_loads(&mut self) {
        let fails = if self.scenario.fault == Fault::StoreFails { 0.2 } else { 0.0 };
        let mut done = self.loading.clone();
        done.retain(|_, (at, ..)| *at <= self.now);
        for ((engine, adapter), (_, slot, order)) in done {
            self.loading.remove(&(engine, adapter));
            let resident = &mut self.engines[engine].resident;
            let at = resident.iter().position(|held| held.adapter == adapter);
            let ok = at.is_some() && !self.rng.random_bool(fails);
            if let Some(at) = at.filter(|_| ok) {
                (resident[at].ready, resident[at].idle) = (true, true);
                self.ready.insert((engine, adapter), self.now);
            }
            resident.retain(|held| held.adapter != adapter || ok);
            self.sums.failed += u64::from(!ok);
            let now = self.now;
            self.touch(engine).policy.loaded(now, order, ok);
            let host = (engine % self.hosts.len()) as u32;
            self.planner.done(now, host, SlotDone { slot: slot.slot, used: true, ok });
        }
    }

    /// Shows a host its changed engines. A stale report tells of requests that
    /// have ended.
    fn sync(&mut self, at: usize) {
        let is_stale = self.scenario.fault == Fault::StaleReports;
        for engine in std::mem::take(&mut self.hosts[at].dirty) {
            let mut view = self.engines[engine].clone();
            let ghosts = mix(engine as u64, self.now.as_secs() / 10) % 3;
            view.foreign = if is_stale { ghosts as u32 } else { 0 };
            self.hosts[at].policy.set_target(self.now, view);
        }
    }

    fn decide(&mut self, at: usize) {
        self.sync(at);
        for decision in self.hosts[at].policy.decide(self.now) {
            let (Decision::Start { request, .. } | Decision::Refuse { request, .. }) = decision;
            let waiting = self.hosts[at].requests.remove(&request).unwrap();
            let Decision::Start { target, .. } = decision else {
                self.sums.dropped += 1;
                self.sums.wasted += self.now.saturating_sub(waiting.since).as_secs_f64();
                self.waited(&waiting, (at..self.engines.len()).step_by(self.hosts.len()));
                continue;
            };
            let engine = target as usize;
            self.sums.started += 1;
            self.sums.served += self.waited(&waiting, (engine..engine + 1).step_by(1));
            self.count_users(engine, adapter_of(&waiting), 1);
            assert!(self.engines[engine].running <= BATCH, "a batch has room");
            let took = TOOK.mul_f64(self.rng.random_range(0.5..1.5));
            self.running.insert((self.now + took, engine, request), (waiting, self.now));
            self.hosts[at].dirty.insert(engine);
        }
        self.sync(at);
    }

    /// Adds up a wait for an adapter on some engines. Returns its seconds.
    fn waited(&mut self, waiting: &Waiting, engines: impl Iterator<Item = usize>) -> f64 {
        if self.kind == Kind::NoStore {
            return 0.0;
        }
        let adapter = adapter_of(waiting);
        let ready = engines.filter_map(|engine| self.ready.get(&(engine, adapter))).min();
        let until = ready.copied().unwrap_or(self.now).min(self.now);
        let wait = until.saturating_sub(waiting.since).as_secs_f64();
        self.sums.waits.extend((wait > 0.0).then_some(wait));
        wait
    }

    fn plan(&mut self) {
        for host in 0..self.hosts.len() {
            if self.is_up(host) {
                let wants = self.hosts[host].policy.wants(self.now);
                self.planner.wants(self.now, host as u32, wants);
            }
        }
        for (host, slot) in self.planner.grant(self.now) {
            match self.hosts[host as usize].policy.place(self.now, slot.adapter) {
                Some(order) => self.load(slot, order),
                None => {
                    let done = SlotDone { slot: slot.slot, used: false, ok: false };
                    self.planner.done(self.now, host, done);
                }
            }
        }
    }

    /// Starts a load, after the eviction of its victim.
    fn load(&mut self, slot: SlotGrant, order: LoadOrder) {
        let (engine, adapter) = (order.target as usize, order.adapter);
        self.starts.retain(|&at| at + Duration::from_secs(1) > self.now);
        self.starts.push_back(self.now);
        assert!(self.starts.len() as f64 <= self.scenario.site.rate, "the store's rate holds");
        assert!(self.loading.len() < IN_FLIGHT, "the number in flight holds");
        let resident = &mut self.engines[engine].resident;
        if let Some(victim) = order.victim {
            let at = resident.iter().position(|held| held.adapter == victim).unwrap();
            assert!(resident.remove(at).idle, "the victim is idle");
            self.ready.remove(&(engine, victim));
            self.sums.evictions += 1;
        }
        resident.push(Resident { adapter, users: 0, idle: false, ready: false });
        assert!(resident.len() <= SLOTS as usize, "the engine has space");
        let slow = ((self.loading.len() + 1) as f64 / IN_FLIGHT as f64).max(1.0);
        self.loading.insert((engine, adapter), (self.now + LOAD.mul_f64(slow), slot, order));
        self.sums.loads += 1;
        self.touch(engine);
        self.sync(engine % self.hosts.len());
    }

    /// Tells the directory what the hosts hold and how loaded they are.
    fn refresh(&mut self) {
        let (mut digests, mut suspect) = (Vec::new(), Vec::new());
        for id in 0..self.hosts.len() {
            if !self.is_up(id) {
                suspect.push(id as u32);
            }
            let queued = self.hosts[id].policy.queued() as u32;
            let mut digest = Digest { queued, ..Digest::default() };
            let mut resident: BTreeMap<AdapterId, u16> = BTreeMap::new();
            for view in self.engines.iter().skip(id).step_by(self.hosts.len()) {
                digest.running += view.running;
                digest.capacity += BATCH;
                let ready = view.resident.iter().filter(|held| held.ready);
                ready.for_each(|held| *resident.entry(held.adapter).or_default() += 1);
            }
            let row = |(adapter, targets)| Residency { adapter, targets };
            digest.resident = resident.into_iter().map(row).collect();
            self.hosts[id].load = (digest.running + queued) as usize;
            digests.push((id as u32, digest));
        }
        let (sent, term, leaving) = (self.now, LEADER_TERM, Vec::new());
        let grant =
            Grant { sent, term, digests, suspect, leaving, incarnation: 0, applied: 0, round: 0 };
        self.directory.granted(self.now, &grant);
    }

    /// Brings the scenario's fault about; returns requests that must be sent again.
    pub fn strike(&mut self) -> Vec<Waiting> {
        let engines = 0..self.engines.len();
        let struck: Vec<usize> = match self.scenario.fault {
            Fault::ColdThird => engines.step_by(3).collect(),
            Fault::DomainGone => engines.step_by(self.scenario.site.domains).collect(),
            _ => Vec::new(),
        };
        if self.scenario.fault == Fault::LeaderChange {
            self.planner = StorePlanner::new(self.now, self.settings, false);
        }
        let mut again = Vec::new();
        for &engine in &struck {
            let view = &mut self.engines[engine];
            view.open = self.scenario.fault != Fault::DomainGone;
            (view.running, view.resident) = (0, Vec::new());
            self.ready.retain(|(held, _), _| *held != engine);
            let lost = self.running.extract_if(.., |(_, at, _), _| *at == engine);
            let before = again.len();
            again.extend(lost.map(|(_, (waiting, _))| waiting));
            self.sums.started -= (again.len() - before) as u64;
            self.touch(engine);
        }
        for id in 0..self.hosts.len() {
            if self.is_up(id) {
                continue;
            }
            self.planner.remove_host(id as u32);
            let host = &mut self.hosts[id];
            for (request, waiting) in std::mem::take(&mut host.requests) {
                host.policy.cancel(request);
                again.push(waiting);
            }
        }
        again
    }
}

fn engine(kind: Kind, domains: usize, id: usize) -> TargetView {
    let model = "m".to_owned();
    TargetView {
        id: id as u32,
        domain: format!("domain{}", id % domains),
        kind: match kind {
            Kind::NoStore => TargetKind::Service { service: model },
            _ => TargetKind::Engine { model },
        },
        slots: SLOTS,
        batch: BATCH,
        running: 0,
        foreign: 0,
        open: true,
        alone: false,
        resident: Vec::new(),
    }
}
