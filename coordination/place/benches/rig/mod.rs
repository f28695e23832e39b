//! Drives the policy and its baselines in virtual time, with small fakes of
//! engines and of a weight store.

mod baseline;
mod owners;
pub mod world;

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{AdapterId, Urgency};

use self::{
    baseline::Baseline,
    owners::Owners,
    world::{Request, Sums, World},
};

/// Virtual time between two steps.
const STEP: Duration = Duration::from_millis(10);
/// How long a new leader waits.
const LEADER_TERM: Duration = Duration::from_secs(5);

/// The size of a user's deployment.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    pub name: &'static str,
    engines: usize,
    domains: usize,
    hosts: usize,
    rate: f64,
    stall: f64,
    batch: f64,
}

pub const MAISON: Site =
    Site { name: "maison", engines: 12, domains: 3, hosts: 10, rate: 3.0, stall: 1.0, batch: 0.3 };
#[rustfmt::skip]
pub const AUTHORITY: Site =
    Site { name: "authority", engines: 18, domains: 4, hosts: 11, rate: 4.0, stall: 0.3, batch: 1.0 };

/// What happens half-way through a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    Shift,
    ColdThird,
    StoreFails,
    StaleReports,
    DomainGone,
    LeaderChange,
}

/// One run's conditions.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub site: Site,
    pub skew: f64,
    pub load: f64,
    pub fault: Fault,
    pub secs: u64,
}

impl Scenario {
    pub fn name(&self) -> String {
        format!("{} skew {} load {} {:?}", self.site.name, self.skew, self.load, self.fault)
    }
}

/// Adapters, requests of a batch, adapters an engine holds, mean running time.
const ADAPTERS: usize = 3_000;
const BATCH: u32 = 8;
const SLOTS: u32 = 8;
const TOOK: Duration = Duration::from_secs(4);
const CALLERS: u32 = 40;

/// Something that serves the requests of a world.
pub trait Scheme {
    /// Takes a request.
    fn arrive(&mut self, world: &mut World, request: Request);
    /// Does what can be done now.
    fn step(&mut self, world: &mut World);
    /// Notes that a request ended on an engine.
    fn finished(&mut self, _world: &World, _engine: usize, _took: Duration) {}
    /// Notes the end of a load.
    fn loaded(&mut self, _world: &World, _engine: usize, _adapter: AdapterId, _ok: bool) {}
    /// Notes that an engine lost what it held; returns requests bound to it if
    /// it is gone.
    fn lost(&mut self, world: &World, engine: usize) -> Vec<Request>;
    /// Changes the leader.
    fn new_leader(&mut self, world: &World);
}

/// The schemes that a run compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Policy,
    Pooled,
    LeastLoaded,
    Rendezvous,
    NoStore,
}

pub const KINDS: [Kind; 5] =
    [Kind::Policy, Kind::Pooled, Kind::LeastLoaded, Kind::Rendezvous, Kind::NoStore];

/// Runs one scheme under one scenario.
pub fn run(kind: Kind, scenario: &Scenario, seed: u64) -> Sums {
    let mut world = World::new(scenario, seed, kind == Kind::NoStore);
    let mut scheme: Box<dyn Scheme> = match kind {
        Kind::Policy => Box::new(Owners::new(scenario, scenario.site.hosts)),
        Kind::Pooled => Box::new(Owners::new(scenario, 1)),
        Kind::LeastLoaded | Kind::NoStore => Box::new(Baseline::new(scenario, false)),
        Kind::Rendezvous => Box::new(Baseline::new(scenario, true)),
    };
    let mut arrivals = Arrivals::new(scenario, seed);
    let half = Duration::from_secs(scenario.secs / 2);
    let end = Duration::from_secs(scenario.secs);
    let mut delayed: Vec<Request> = Vec::new();
    while world.now < end {
        world.now += STEP;
        if world.now == half {
            let lost = strike(scenario, &mut world, &mut *scheme);
            arrivals.is_shifted = scenario.fault == Fault::Shift;
            delayed.extend(lost);
        }
        if world.now == half + Duration::from_secs(1) {
            delayed.drain(..).for_each(|request| scheme.arrive(&mut world, request));
        }
        while let Some(request) = arrivals.next(world.now) {
            world.sums.arrived += 1;
            scheme.arrive(&mut world, request);
        }
        for (engine, took) in world.ended() {
            scheme.finished(&world, engine, took);
        }
        for (engine, adapter, ok) in world.arrived_loads() {
            scheme.loaded(&world, engine, adapter, ok);
        }
        scheme.step(&mut world);
        world.sample();
    }
    world.sums.clone()
}

/// Brings the scenario's fault about; returns requests that must be sent again.
fn strike(scenario: &Scenario, world: &mut World, scheme: &mut dyn Scheme) -> Vec<Request> {
    let engines = 0..world.engines.len();
    let (struck, is_up): (Vec<usize>, bool) = match scenario.fault {
        Fault::ColdThird => (engines.step_by(3).collect(), true),
        Fault::DomainGone => (engines.step_by(scenario.site.domains).collect(), false),
        _ => (Vec::new(), true),
    };
    if scenario.fault == Fault::LeaderChange {
        scheme.new_leader(world);
    }
    let mut again = Vec::new();
    struck.iter().for_each(|&engine| again.extend(world.lose(engine, is_up)));
    struck.iter().for_each(|&engine| again.extend(scheme.lost(world, engine)));
    again
}

/// Poisson arrivals with Zipf popularity.
struct Arrivals {
    rng: ChaCha8Rng,
    sums: Vec<f64>,
    names: [Vec<u32>; 2],
    is_shifted: bool,
    per_sec: f64,
    next: f64,
    id: u64,
}

impl Arrivals {
    fn new(scenario: &Scenario, seed: u64) -> Arrivals {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut sums = Vec::with_capacity(ADAPTERS);
        let mut sum = 0.0;
        for rank in 1..=ADAPTERS {
            sum += (rank as f64).powf(-scenario.skew);
            sums.push(sum);
        }
        let mut names = [(); 2].map(|()| (0..ADAPTERS as u32).collect::<Vec<u32>>());
        for names in &mut names {
            for i in (1..names.len()).rev() {
                names.swap(i, rng.random_range(0..=i));
            }
        }
        let capacity = scenario.site.engines as f64 * f64::from(BATCH) / TOOK.as_secs_f64();
        let per_sec = capacity * scenario.load;
        Arrivals { rng, sums, names, is_shifted: false, per_sec, next: 0.0, id: 0 }
    }

    fn next(&mut self, now: Duration) -> Option<Request> {
        if self.next > now.as_secs_f64() {
            return None;
        }
        let arrived = Duration::from_secs_f64(self.next);
        self.next += -(1.0 - self.rng.random::<f64>()).ln() / self.per_sec;
        self.id += 1;
        let total = self.sums[ADAPTERS - 1];
        let draw = self.rng.random::<f64>() * total;
        let rank = self.sums.partition_point(|&sum| sum < draw).min(ADAPTERS - 1);
        let (urgency, window) = match self.rng.random_range(0..10) {
            0..3 => (Urgency::High, 10),
            3..8 => (Urgency::Normal, 20),
            _ => (Urgency::Low, 60),
        };
        Some(Request {
            id: self.id,
            adapter: self.names[usize::from(self.is_shifted)][rank],
            caller: self.rng.random_range(0..CALLERS),
            urgency,
            arrived,
            deadline: arrived + Duration::from_secs(window),
        })
    }
}

/// A fixed hash for rendezvous hashing.
fn mix(a: u64, b: u64) -> u64 {
    let mut x = a.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ b.wrapping_mul(0xC2B2_AE3D_27D4_EB4F);
    x ^= x >> 31;
    x = x.wrapping_mul(0xD6E8_FEB8_6659_FD93);
    x ^ (x >> 32)
}

/// What the comparison must show, stated before the first measurement.
pub const TARGETS: &str = "maison waits at least 2x fewer seconds than the better baseline; \
the authority answers at least 1.2x the better baseline's share in window at 1.1 of capacity; \
no scenario is worse than either baseline";

/// Returns the ratios to the better baseline.
pub fn verdict(own: &Sums, base: &[Sums]) -> String {
    let least = |value: fn(&Sums) -> f64| base.iter().map(value).fold(f64::INFINITY, f64::min);
    format!(
        "waited seconds {:.2}x fewer than the better baseline, share {:.3}x its share; \
        mean wait of the answered {:.2} s, better baseline {:.2} s",
        least(Sums::waited) / own.waited().max(1e-9),
        own.share() / -least(|sums| -sums.share()),
        mean_wait(own),
        least(mean_wait),
    )
}

fn mean_wait(sums: &Sums) -> f64 {
    sums.served / sums.started.max(1) as f64
}
