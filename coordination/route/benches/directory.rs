//! Memory and processor time of the directory by number of hosts.
//!
//! `cargo bench -p route` prints the table.

use std::{
    fs,
    hint::black_box,
    time::{Duration, Instant},
};

use route::{Directory, OwnedTarget};
use wire::{Digest, Grant, HostId, Pin, Residency, TargetKind};

const ADAPTERS: u32 = 13_000;
const ADAPTERS_PER_TARGET: u32 = 8;
const TARGETS_PER_HOST: u32 = 14;
const CALLS: u32 = 20_000;
const PAGE_BYTES: usize = 4096;

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * PAGE_BYTES
}

fn targets(hosts: u32) -> Vec<OwnedTarget> {
    let targets = (0..hosts * TARGETS_PER_HOST).map(|id| OwnedTarget {
        id,
        owner: id % hosts,
        domain: format!("domain-{}", id % hosts % 18),
        kind: TargetKind::Engine { model: format!("model-{}", id % 3) },
        requests: 64,
    });
    targets.collect()
}

fn directory(hosts: u32) -> Directory {
    let mut directory = Directory::default();
    directory.set_hosts((0..hosts).map(|host| (host, format!("domain-{}", host % 18))).collect());
    directory.set_targets(targets(hosts));
    let digests: Vec<(HostId, Digest)> = (0..hosts).map(|host| (host, digest(host))).collect();
    let grant = Grant {
        sent: Duration::ZERO,
        incarnation: 1,
        duration: Duration::ZERO,
        required: 1,
        round: 1,
        digests,
        unleased: Vec::new(),
        leaving: Vec::new(),
    };
    directory.apply_grant(Duration::ZERO, &grant);
    directory
}

fn digest(host: HostId) -> Digest {
    let count = TARGETS_PER_HOST * ADAPTERS_PER_TARGET;
    let resident = (0..count)
        .map(|n| Residency { adapter: (host * 7919 + n * 104_729) % (ADAPTERS / 4), targets: 1 });
    let running = host * 31 % 800;
    Digest { resident: resident.collect(), running, capacity: 896, queued: 0, leaving: false }
}

/// Returns the mean time of `count` calls in microseconds.
fn mean_micros(count: u32, mut call: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for n in 0..count {
        call(n);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

fn main() {
    println!("hosts  memory KB  choose warm us  choose cold us  entries us  digest us  targets us");
    for hosts in [10, 100, 700] {
        let copies = 2000 / hosts;
        let before = resident_bytes();
        let kept: Vec<_> = (0..copies).map(|_| directory(hosts)).collect();
        let memory = resident_bytes().saturating_sub(before) as f64 / f64::from(copies) / 1000.0;
        let mut directory = directory(hosts);
        let pin = |n: u32, cold: u32| {
            let id = n * 7919 % (ADAPTERS / 4) + cold;
            Pin::Adapter { id, name: format!("model-{}@adapter-{id}@1", n % 3) }
        };
        let at = |n: u32| Duration::from_micros(u64::from(n));
        let warm = mean_micros(CALLS, |n| {
            _ = black_box(directory.choose(at(n), &pin(n, 0), "domain-3", &[]))
        });
        let cold = mean_micros(CALLS, |n| {
            black_box(directory.choose(at(n), &pin(n, ADAPTERS), "domain-3", &[]));
        });
        let entries =
            mean_micros(CALLS, |n| _ = black_box(directory.entries(at(n), Some(&pin(n, 0)))));
        let set_own =
            mean_micros(CALLS, |n| directory.set_own_digest(n % hosts, digest(n % hosts)));
        let set_targets = mean_micros(200, |_| directory.set_targets(targets(hosts)));
        println!(
            "{hosts:5} {memory:10.0} {warm:15.2} {cold:15.2} {entries:11.2} {set_own:10.2} {set_targets:11.0}"
        );
        // Freed pages would be reused and hide the memory of the next row.
        std::mem::forget(kept);
    }
}
