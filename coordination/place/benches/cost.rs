//! Measures the processor time and memory of decisions: `cargo bench -p place --bench cost`.

use std::{
    fs,
    time::{Duration, Instant},
};

use admit::{QueueLimits, QueuedRequest};
use place::{
    Decision, PlannerSettings, Policy, PolicySettings, Resident, StorePlanner, TargetView,
    owner_policy,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{LoadRequest, Pin, TargetKind, Urgency};

const SLOTS: u32 = 8;
const BATCH: u32 = 64;
const ROUNDS: u64 = 4_000;
const PAGE_BYTES: u64 = 4096;

/// Size of one owner.
#[derive(Debug, Clone, Copy)]
struct Size {
    targets: u32,
    adapters: u32,
    queued: u64,
}

fn main() {
    println!(
        "targets adapters queued | start us p50 p99 | end us p50 p99 | wants us p50 p99 | place us p50 p99 | KiB"
    );
    let base = Size { targets: 14, adapters: 3_000, queued: 100 };
    let mut sizes = vec![base];
    sizes.extend([10, 100, 1_000].map(|targets| Size { targets, ..base }));
    sizes.extend([3_000, 13_000].map(|adapters| Size { adapters, ..base }));
    sizes.extend([0, 1_000, 10_000].map(|queued| Size { queued, ..base }));
    // All owners are kept until the end, so that none reuses memory that another freed.
    let owners: Vec<Box<dyn Policy>> = sizes.into_iter().map(measure).collect();
    drop(owners);
    println!("planner: hosts | replace wants us p50 p99 | grants us p50 p99");
    [11, 46, 710].into_iter().for_each(measure_planner);
}

/// Durations of one step, in nanoseconds.
#[derive(Default)]
struct Times(Vec<u64>);

impl Times {
    fn add(&mut self, since: Instant) {
        self.0.push(since.elapsed().as_nanos() as u64);
    }

    fn percentile(&mut self, percent: usize) -> f64 {
        self.0.sort_unstable();
        let at = (self.0.len() * percent / 100).min(self.0.len().saturating_sub(1));
        self.0.get(at).map_or(0.0, |&nanos| nanos as f64 / 1e3)
    }
}

fn measure(size: Size) -> Box<dyn Policy> {
    let before = resident_bytes();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut policy = loaded_owner(size, &mut rng);
    let memory = resident_bytes().saturating_sub(before) / 1024;
    let held = size.targets * SLOTS;
    let [mut start, mut end, mut wants, mut place] = [(); 4].map(|()| Times::default());
    for round in 0..ROUNDS {
        let now = Duration::from_millis(1_000 + round);
        let request = request(1_000_000 + round, rng.random_range(0..held), now);
        let since = Instant::now();
        policy.enqueue(now, request).expect("a request for a resident adapter is accepted");
        let decisions = policy.decide(now);
        start.add(since);
        let Some(Decision::Start { target, .. }) = decisions.first().cloned() else {
            panic!("the request starts: {decisions:?}");
        };
        let view = view(target);
        let since = Instant::now();
        policy.finished(now, target, Duration::from_secs(1));
        policy.set_target(now, view);
        let decisions = policy.decide(now);
        end.add(since);
        assert!(decisions.is_empty(), "nothing else can start");
        if !round.is_multiple_of(20) {
            continue;
        }
        let since = Instant::now();
        let listed = policy.load_requests(now);
        wants.add(since);
        let Some(want) = listed.first() else { continue };
        let since = Instant::now();
        let order = policy.order_load(now, want.adapter).expect("a requested load can be placed");
        place.add(since);
        policy.loaded(now, order, false);
        policy.set_target(now, self::view(order.target));
    }
    print!("{:>7} {:>8} {:>6}", size.targets, size.adapters, size.queued);
    for times in [&mut start, &mut end, &mut wants, &mut place] {
        print!(" | {:>10.2} {:>6.2}", times.percentile(50), times.percentile(99));
    }
    println!(" | {memory}");
    policy
}

/// Measures a planner whose hosts replace nine load requests each, one host after the other.
fn measure_planner(hosts: u32) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let settings =
        PlannerSettings { rate: 50.0, max_loads: 100, slot_term: Duration::from_secs(2) };
    let mut planner = StorePlanner::new(Duration::ZERO, settings, true);
    let [mut wants, mut grants] = [(); 2].map(|()| Times::default());
    for round in 0..ROUNDS * 5 {
        let now = Duration::from_millis(round);
        let age = Duration::from_millis(rng.random_range(0..10_000));
        let mut want = || LoadRequest {
            adapter: rng.random_range(0..13_000),
            score: rng.random(),
            waiting: 1,
            age,
        };
        let listed = (0..9).map(|_| want()).collect();
        let since = Instant::now();
        planner.set_load_requests(now, round as u32 % hosts, listed);
        wants.add(since);
        let since = Instant::now();
        planner.grant(now);
        grants.add(since);
    }
    print!("planner: {hosts:>5}");
    for times in [&mut wants, &mut grants] {
        print!(" | {:>10.2} {:>6.2}", times.percentile(50), times.percentile(99));
    }
    println!();
}

/// Creates an owner with idle targets that hold adapters. It has seen all adapters, and requests
/// wait for adapters that no target holds.
fn loaded_owner(size: Size, rng: &mut ChaCha8Rng) -> Box<dyn Policy> {
    let bounds = QueueLimits { max_total: 100_000, max_per_caller: 100_000 };
    let load = Duration::from_millis(250);
    let settings = PolicySettings { bounds, stall: 0.0, batch: 1.0, load, seed: 1 };
    let mut policy = owner_policy(settings);
    for id in 0..size.targets {
        policy.set_target(Duration::ZERO, view(id));
    }
    let held = size.targets * SLOTS;
    let adapters = size.adapters.max(held + 1_000);
    for adapter in 0..adapters {
        let id = u64::from(adapter);
        if policy.enqueue(Duration::ZERO, request(id, adapter, Duration::ZERO)).is_ok() {
            policy.cancel(id);
        }
    }
    for id in 0..size.queued {
        let adapter = rng.random_range(held..adapters);
        let now = Duration::from_millis(500);
        _ = policy.enqueue(now, request(2_000_000 + id, adapter, now));
    }
    policy.decide(Duration::from_millis(500));
    policy
}

fn view(id: u32) -> TargetView {
    let resident = (id * SLOTS..(id + 1) * SLOTS).map(|adapter| Resident {
        adapter,
        users: 0,
        idle: true,
        ready: true,
    });
    TargetView {
        id,
        domain: format!("domain{}", id % 3),
        kind: TargetKind::Engine { model: "m".into() },
        slots: SLOTS,
        batch: BATCH,
        running: BATCH / 2,
        external: 0,
        open: true,
        exclusive: false,
        resident: resident.collect(),
    }
}

fn request(request: u64, adapter: u32, now: Duration) -> QueuedRequest {
    QueuedRequest {
        request,
        pin: Pin::Adapter { id: adapter, name: format!("m@adapter{adapter}@1") },
        caller: format!("caller{}", request % 40),
        urgency: Urgency::Normal,
        queued_at: now,
        deadline: now + Duration::from_secs(1_000_000),
        prefix: request % 100,
        exclusive: false,
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
