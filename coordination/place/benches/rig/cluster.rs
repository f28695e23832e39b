//! Simulated hosts, engines and weight store.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use admit::{QueueLimits, QueuedRequest};
use place::{
    Decision, LoadOrder, PlannerSettings, Policy, PolicySettings, Resident, StorePlanner,
    TargetView, owner_policy,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::{Directory, OwnedTarget};
use wire::{AdapterId, Digest, Grant, LoadEnded, LoadGrant, Pin, Residency, TargetKind};

use super::{
    BATCH, Fault, MEAN_RUN, SLOTS, Scenario, Scheme, Totals, adapter_of, baseline::Lru, hash,
};

const LOAD: Duration = Duration::from_millis(250);
const IN_FLIGHT: usize = 8;
const LEADER_TERM: Duration = Duration::from_secs(5);
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
const DECIDE_INTERVAL: Duration = Duration::from_millis(50);

struct Host {
    policy: Box<dyn Policy>,
    requests: BTreeMap<u64, QueuedRequest>,
    changed: BTreeSet<usize>,
    is_due: bool,
    load: usize,
}

pub struct Cluster {
    pub now: Duration,
    pub totals: Totals,
    scheme: Scheme,
    scenario: Scenario,
    engines: Vec<TargetView>,
    hosts: Vec<Host>,
    directory: Directory,
    planner: StorePlanner,
    settings: PlannerSettings,
    /// Time at which each held adapter became ready, by engine.
    ready: BTreeMap<(usize, AdapterId), Duration>,
    loading: BTreeMap<(usize, AdapterId), (Duration, LoadGrant, LoadOrder)>,
    running: BTreeMap<(Duration, usize, u64), (QueuedRequest, Duration)>,
    load_starts: VecDeque<Duration>,
    rng: ChaCha8Rng,
}

impl Cluster {
    pub fn new(scheme: Scheme, scenario: &Scenario, seed: u64) -> Cluster {
        let site = scenario.site;
        let count = match scheme {
            Scheme::Policy => site.hosts,
            Scheme::Pooled | Scheme::NoStore => 1,
            Scheme::LeastLoaded | Scheme::Rendezvous => site.engines,
        };
        let bounds = QueueLimits { max_total: 2_000, max_per_caller: 400 };
        let settings =
            PolicySettings { bounds, stall: site.stall, batch: site.batch, load: LOAD, seed: 7 };
        let policy = || match scheme {
            Scheme::LeastLoaded | Scheme::Rendezvous => Box::new(Lru::default()),
            _ => owner_policy(settings),
        };
        let hosts = (0..count).map(|host| Host {
            policy: policy(),
            requests: BTreeMap::new(),
            changed: (host..site.engines).step_by(count).collect(),
            is_due: true,
            load: 0,
        });
        let engines: Vec<TargetView> =
            (0..site.engines).map(|id| engine(scheme, site.domains, id)).collect();
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
        let settings =
            PlannerSettings { rate: site.rate, max_loads: IN_FLIGHT, slot_term: LEADER_TERM };
        Cluster {
            now: Duration::ZERO,
            totals: Totals::default(),
            scheme,
            scenario: *scenario,
            hosts: hosts.collect(),
            engines,
            directory,
            planner: StorePlanner::new(Duration::ZERO, settings, true),
            settings,
            ready: BTreeMap::new(),
            loading: BTreeMap::new(),
            running: BTreeMap::new(),
            load_starts: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0xF00D),
        }
    }

    fn is_tick(&self, period: Duration) -> bool {
        self.now.as_nanos().is_multiple_of(period.as_nanos())
    }

    fn is_up(&self, host: usize) -> bool {
        self.engines.iter().skip(host).step_by(self.hosts.len()).any(|engine| engine.open)
    }

    fn choose_host(&self, waiting: &QueuedRequest) -> usize {
        let mut up = (0..self.hosts.len()).filter(|&host| self.is_up(host));
        let key = u64::from(adapter_of(waiting));
        let domain = format!("domain{}", waiting.request as usize % self.scenario.site.domains);
        let choice = match self.scheme {
            Scheme::Policy => self
                .directory
                .choose(self.now, &waiting.pin, &domain, &[])
                .map(|choice| choice.host as usize),
            Scheme::Pooled | Scheme::NoStore => up.next(),
            Scheme::LeastLoaded => up.min_by_key(|&host| self.hosts[host].load),
            Scheme::Rendezvous => up.max_by_key(|&host| hash(key, host as u64)),
        };
        choice.expect("no host is up")
    }

    /// Sends a request to the host that its scheme chooses.
    pub fn arrive(&mut self, mut waiting: QueuedRequest) {
        let host = self.choose_host(&waiting);
        let host = &mut self.hosts[host];
        if self.scheme == Scheme::NoStore {
            waiting.pin = Pin::Service { service: "m".into() };
        }
        (host.is_due, host.load) = (true, host.load + 1);
        match host.policy.enqueue(self.now, waiting.clone()) {
            Ok(()) => _ = host.requests.insert(waiting.request, waiting),
            Err(_) => self.totals.refused += 1,
        }
    }

    /// Advances the simulation by one step.
    pub fn step(&mut self) {
        self.end_requests();
        self.end_loads();
        for host in 0..self.hosts.len() {
            let is_due = std::mem::take(&mut self.hosts[host].is_due);
            if is_due || self.is_tick(DECIDE_INTERVAL) {
                self.decide(host);
            }
        }
        if self.is_tick(PLAN_INTERVAL) {
            self.plan();
        }
        let is_stale = self.scenario.fault == Fault::StaleReports;
        if self.is_tick(Duration::from_millis(if is_stale { 10_000 } else { 500 })) {
            self.refresh_directory();
        }
        for engine in self.engines.iter().filter(|engine| engine.running > 0) {
            self.totals.batch_used += u64::from(engine.running);
            self.totals.batch_offered += u64::from(BATCH);
        }
    }

    fn mark_changed(&mut self, engine: usize) -> &mut Host {
        let count = self.hosts.len();
        let host = &mut self.hosts[engine % count];
        host.changed.insert(engine);
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
            self.mark_changed(engine).policy.finished(now, engine as u32, at - since);
        }
    }

    fn end_loads(&mut self) {
        let failure_rate = if self.scenario.fault == Fault::StoreFails { 0.2 } else { 0.0 };
        let mut done = self.loading.clone();
        done.retain(|_, (at, ..)| *at <= self.now);
        for ((engine, adapter), (_, slot, order)) in done {
            self.loading.remove(&(engine, adapter));
            let resident = &mut self.engines[engine].resident;
            let at = resident.iter().position(|held| held.adapter == adapter);
            let ok = at.is_some() && !self.rng.random_bool(failure_rate);
            if let Some(at) = at.filter(|_| ok) {
                (resident[at].ready, resident[at].idle) = (true, true);
                self.ready.insert((engine, adapter), self.now);
            }
            resident.retain(|held| held.adapter != adapter || ok);
            self.totals.failed += u64::from(!ok);
            let now = self.now;
            self.mark_changed(engine).policy.loaded(now, order, ok);
            let host = (engine % self.hosts.len()) as u32;
            self.planner.done(now, host, LoadEnded { slot: slot.slot, used: true, ok });
        }
    }

    /// Updates a host's views of its changed engines. Stale reports include requests that have
    /// ended.
    fn update_views(&mut self, at: usize) {
        let is_stale = self.scenario.fault == Fault::StaleReports;
        for engine in std::mem::take(&mut self.hosts[at].changed) {
            let mut view = self.engines[engine].clone();
            let ended = hash(engine as u64, self.now.as_secs() / 10) % 3;
            view.external = if is_stale { ended as u32 } else { 0 };
            self.hosts[at].policy.set_target(self.now, view);
        }
    }

    fn decide(&mut self, at: usize) {
        self.update_views(at);
        for decision in self.hosts[at].policy.decide(self.now) {
            let (Decision::Start { request, .. } | Decision::Refuse { request, .. }) = decision;
            let waiting = self.hosts[at].requests.remove(&request).unwrap();
            let Decision::Start { target, .. } = decision else {
                self.totals.dropped += 1;
                self.totals.dropped_wait +=
                    self.now.saturating_sub(waiting.queued_at).as_secs_f64();
                self.record_wait(&waiting, (at..self.engines.len()).step_by(self.hosts.len()));
                continue;
            };
            let engine = target as usize;
            self.totals.started += 1;
            self.totals.answered_wait +=
                self.record_wait(&waiting, (engine..engine + 1).step_by(1));
            self.count_users(engine, adapter_of(&waiting), 1);
            assert!(self.engines[engine].running <= BATCH, "the batch is overfilled");
            let took = MEAN_RUN.mul_f64(self.rng.random_range(0.5..1.5));
            self.running.insert((self.now + took, engine, request), (waiting, self.now));
            self.hosts[at].changed.insert(engine);
        }
        self.update_views(at);
    }

    /// Records the wait of a request for its adapter on the given engines. Returns it in seconds.
    fn record_wait(
        &mut self,
        waiting: &QueuedRequest,
        engines: impl Iterator<Item = usize>,
    ) -> f64 {
        if self.scheme == Scheme::NoStore {
            return 0.0;
        }
        let adapter = adapter_of(waiting);
        let ready = engines.filter_map(|engine| self.ready.get(&(engine, adapter))).min();
        let until = ready.copied().unwrap_or(self.now).min(self.now);
        let wait = until.saturating_sub(waiting.queued_at).as_secs_f64();
        self.totals.waits.extend((wait > 0.0).then_some(wait));
        wait
    }

    fn plan(&mut self) {
        for host in 0..self.hosts.len() {
            if self.is_up(host) {
                let wants = self.hosts[host].policy.load_requests(self.now);
                self.planner.set_load_requests(self.now, host as u32, wants);
            }
        }
        for (host, slot) in self.planner.grant(self.now) {
            match self.hosts[host as usize].policy.order_load(self.now, slot.adapter) {
                Some(order) => self.start_load(slot, order),
                None => {
                    let done = LoadEnded { slot: slot.slot, used: false, ok: false };
                    self.planner.done(self.now, host, done);
                }
            }
        }
    }

    /// Starts a load, after the eviction of its victim.
    fn start_load(&mut self, slot: LoadGrant, order: LoadOrder) {
        let (engine, adapter) = (order.target as usize, order.adapter);
        self.load_starts.retain(|&at| at + Duration::from_secs(1) > self.now);
        self.load_starts.push_back(self.now);
        assert!(
            self.load_starts.len() as f64 <= self.scenario.site.rate,
            "the store's rate is exceeded"
        );
        assert!(self.loading.len() < IN_FLIGHT, "too many loads are in flight");
        let resident = &mut self.engines[engine].resident;
        if let Some(victim) = order.victim {
            let at = resident.iter().position(|held| held.adapter == victim).unwrap();
            assert!(resident.remove(at).idle, "the victim is in use");
            self.ready.remove(&(engine, victim));
            self.totals.evictions += 1;
        }
        resident.push(Resident { adapter, users: 0, idle: false, ready: false });
        assert!(resident.len() <= SLOTS as usize, "the engine has no free slot");
        let slowdown = ((self.loading.len() + 1) as f64 / IN_FLIGHT as f64).max(1.0);
        self.loading.insert((engine, adapter), (self.now + LOAD.mul_f64(slowdown), slot, order));
        self.totals.loads += 1;
        self.mark_changed(engine);
        self.update_views(engine % self.hosts.len());
    }

    /// Updates the directory with the adapters and the load of each host.
    fn refresh_directory(&mut self) {
        let (mut digests, mut unleased) = (Vec::new(), Vec::new());
        for id in 0..self.hosts.len() {
            if !self.is_up(id) {
                unleased.push(id as u32);
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
        let (sent, duration, leaving) = (self.now, LEADER_TERM, Vec::new());
        let grant = Grant {
            sent,
            duration,
            digests,
            unleased,
            leaving,
            incarnation: 0,
            required: 0,
            round: 0,
        };
        self.directory.apply_grant(self.now, &grant);
    }

    /// Injects the fault of the scenario. Returns the requests that must be sent again.
    pub fn inject_fault(&mut self) -> Vec<QueuedRequest> {
        let engines = 0..self.engines.len();
        let affected: Vec<usize> = match self.scenario.fault {
            Fault::ColdThird => engines.step_by(3).collect(),
            Fault::DomainGone => engines.step_by(self.scenario.site.domains).collect(),
            _ => Vec::new(),
        };
        if self.scenario.fault == Fault::LeaderChange {
            self.planner = StorePlanner::new(self.now, self.settings, false);
        }
        let mut retries = Vec::new();
        for &engine in &affected {
            let view = &mut self.engines[engine];
            view.open = self.scenario.fault != Fault::DomainGone;
            (view.running, view.resident) = (0, Vec::new());
            self.ready.retain(|(held, _), _| *held != engine);
            let lost = self.running.extract_if(.., |(_, at, _), _| *at == engine);
            let before = retries.len();
            retries.extend(lost.map(|(_, (waiting, _))| waiting));
            self.totals.started -= (retries.len() - before) as u64;
            self.mark_changed(engine);
        }
        for id in 0..self.hosts.len() {
            if self.is_up(id) {
                continue;
            }
            self.planner.remove_host(id as u32);
            let host = &mut self.hosts[id];
            for (request, waiting) in std::mem::take(&mut host.requests) {
                host.policy.cancel(request);
                retries.push(waiting);
            }
        }
        retries
    }
}

fn engine(scheme: Scheme, domains: usize, id: usize) -> TargetView {
    let model = "m".to_owned();
    TargetView {
        id: id as u32,
        domain: format!("domain{}", id % domains),
        kind: match scheme {
            Scheme::NoStore => TargetKind::Service { service: model },
            _ => TargetKind::Engine { model },
        },
        slots: SLOTS,
        batch: BATCH,
        running: 0,
        external: 0,
        open: true,
        exclusive: false,
        resident: Vec::new(),
    }
}
