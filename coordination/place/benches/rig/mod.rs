//! Runs the policy and its baselines in virtual time.

mod baseline;
mod cluster;

use std::time::Duration;

use admit::QueuedRequest;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{AdapterId, Pin, Urgency};

use self::cluster::Cluster;

/// Goals that the comparison must meet.
pub const GOALS: &str = "maison: total wait at most half of the better baseline's; \
authority: at least 1.2x the better baseline's share of requests answered in time, at 1.1 of capacity; \
no scenario worse than either baseline";

const STEP: Duration = Duration::from_millis(10);
const ADAPTERS: usize = 3_000;
/// Maximum number of requests that an engine runs at once, and of adapters that it holds.
const BATCH: u32 = 8;
const SLOTS: u32 = 8;
/// Mean running time of a request.
const MEAN_RUN: Duration = Duration::from_secs(4);
const CALLERS: u32 = 40;

/// Size and weights of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    name: &'static str,
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

/// Fault that is injected half-way through a run or is present all the time.
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

/// The schemes that a run compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scheme {
    /// The policy as deployed.
    Policy,
    /// The policy with one owner for all engines.
    Pooled,
    LeastLoaded,
    Rendezvous,
    /// The policy with all adapters on all engines.
    NoStore,
}

/// Conditions of one run.
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

/// Totals of a run. Waits are times that requests waited for adapters, in seconds.
#[derive(Debug, Clone, Default)]
pub struct Totals {
    pub arrived: u64,
    pub started: u64,
    pub refused: u64,
    pub dropped: u64,
    pub loads: u64,
    pub failed: u64,
    pub evictions: u64,
    pub waits: Vec<f64>,
    /// Total wait of the requests that were answered.
    pub answered_wait: f64,
    /// Total wait of the requests that were dropped from a queue, for any reason.
    pub dropped_wait: f64,
    pub batch_used: u64,
    pub batch_offered: u64,
}

impl Totals {
    pub fn total_wait(&self) -> f64 {
        self.waits.iter().sum()
    }

    pub fn answered_share(&self) -> f64 {
        self.started as f64 / self.arrived.max(1) as f64
    }

    pub fn mean_wait(&self) -> f64 {
        self.answered_wait / self.started.max(1) as f64
    }

    /// Returns a percentile of the non-zero waits.
    pub fn percentile(&self, percent: usize) -> f64 {
        let mut waits = self.waits.clone();
        waits.sort_by(f64::total_cmp);
        let at = (waits.len() * percent / 100).min(waits.len().saturating_sub(1));
        waits.get(at).copied().unwrap_or(0.0)
    }
}

/// Runs one scheme in a scenario.
pub fn run(scheme: Scheme, scenario: &Scenario, seed: u64) -> Totals {
    let mut cluster = Cluster::new(scheme, scenario, seed);
    let mut arrivals = Arrivals::new(scenario, seed);
    let half = Duration::from_secs(scenario.secs / 2);
    let mut retries = Vec::new();
    while cluster.now < half * 2 {
        cluster.now += STEP;
        if cluster.now == half {
            arrivals.is_shifted = scenario.fault == Fault::Shift;
            retries = cluster.inject_fault();
        }
        if cluster.now == half + Duration::from_secs(1) {
            retries.drain(..).for_each(|waiting| cluster.arrive(waiting));
        }
        while let Some(waiting) = arrivals.next(cluster.now) {
            cluster.totals.arrived += 1;
            cluster.arrive(waiting);
        }
        cluster.step();
    }
    cluster.totals
}

/// Poisson arrivals with Zipf popularity.
struct Arrivals {
    rng: ChaCha8Rng,
    cumulative: Vec<f64>,
    by_rank: [Vec<AdapterId>; 2],
    is_shifted: bool,
    per_sec: f64,
    next: f64,
    id: u64,
}

impl Arrivals {
    fn new(scenario: &Scenario, seed: u64) -> Arrivals {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cumulative = vec![0.0; ADAPTERS + 1];
        for rank in 1..=ADAPTERS {
            cumulative[rank] = cumulative[rank - 1] + (rank as f64).powf(-scenario.skew);
        }
        cumulative.remove(0);
        let mut by_rank = [(); 2].map(|()| (0..ADAPTERS as AdapterId).collect::<Vec<AdapterId>>());
        for by_rank in &mut by_rank {
            for i in (1..by_rank.len()).rev() {
                by_rank.swap(i, rng.random_range(0..=i));
            }
        }
        let capacity = scenario.site.engines as f64 * f64::from(BATCH) / MEAN_RUN.as_secs_f64();
        let per_sec = capacity * scenario.load;
        Arrivals { rng, cumulative, by_rank, is_shifted: false, per_sec, next: 0.0, id: 0 }
    }

    fn next(&mut self, now: Duration) -> Option<QueuedRequest> {
        if self.next > now.as_secs_f64() {
            return None;
        }
        let queued_at = Duration::from_secs_f64(self.next);
        self.next += -(1.0 - self.rng.random::<f64>()).ln() / self.per_sec;
        self.id += 1;
        let draw = self.rng.random::<f64>() * self.cumulative[ADAPTERS - 1];
        let rank = self.cumulative.partition_point(|&sum| sum < draw).min(ADAPTERS - 1);
        let (urgency, window) = match self.rng.random_range(0..10) {
            0..3 => (Urgency::High, 10),
            3..8 => (Urgency::Normal, 20),
            _ => (Urgency::Low, 60),
        };
        let id = self.by_rank[usize::from(self.is_shifted)][rank];
        Some(QueuedRequest {
            request: self.id,
            pin: Pin::Adapter { id, name: format!("m@a{id}@1") },
            caller: format!("caller{}", self.rng.random_range(0..CALLERS)),
            urgency,
            queued_at,
            deadline: queued_at + Duration::from_secs(window),
            prefix: 0,
            exclusive: false,
        })
    }
}

fn adapter_of(waiting: &QueuedRequest) -> AdapterId {
    match waiting.pin {
        Pin::Adapter { id, .. } => id,
        Pin::Service { .. } => 0,
    }
}

/// A fixed hash for rendezvous hashing.
fn hash(a: u64, b: u64) -> u64 {
    let mut x = a.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ b.wrapping_mul(0xC2B2_AE3D_27D4_EB4F);
    x ^= x >> 31;
    x = x.wrapping_mul(0xD6E8_FEB8_6659_FD93);
    x ^ (x >> 32)
}
