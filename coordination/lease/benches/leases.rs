//! Measures bytes and processor time of leases by number of hosts and of targets per host: `cargo
//! bench -p lease`.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use lease::{Grantor, HostLease, LeaseSettings, LiveHost, Registry, balance};
use wire::{Capacity, Command, Digest, HostId, PeerMsg, Residency, TargetInfo, TargetKind};

const TERMS: LeaseSettings = LeaseSettings {
    lease: Duration::from_secs(3),
    margin: Duration::from_millis(300),
    lag: Duration::from_secs(5),
};
const PERIOD: Duration = Duration::from_millis(750);
const ADAPTERS_PER_TARGET: u32 = 8;
const ADAPTERS: u32 = 13_000;
const MIN_ROUNDS: u32 = 200;

fn digest(host: HostId, targets: u32, running: u32) -> Digest {
    let count = targets * ADAPTERS_PER_TARGET;
    let resident = (0..count).map(|n| {
        // Adapter numbers are spread over the whole range, so that most are encoded in two bytes.
        let adapter = (host * 7919 + n * 104_729) % ADAPTERS;
        Residency { adapter, targets: 1 }
    });
    let resident = resident.collect();
    Digest { resident, running, capacity: targets * 64, queued: 0, leaving: false }
}

/// Traffic of one host in bytes per second, and cost of its renewals.
struct Traffic {
    renew: f64,
    grant: f64,
    /// Processor time of one renewal at the leader, including encoding and decoding.
    cost: Duration,
    /// Longest time between two updates of a host's digest received by another host.
    refresh: Duration,
}

/// Simulates renewals. The load of each host changes with every `every`-th renewal.
fn renewals(hosts: u32, targets: u32, every: u32) -> Traffic {
    let mut grantor = Grantor::new(Duration::ZERO, TERMS, 1);
    grantor.record_commit(Duration::ZERO, 1);
    let mut holders: Vec<_> =
        (0..hosts).map(|n| HostLease::new(TERMS, format!("domain-{}", n % 18), 1)).collect();
    let (mut renew_bytes, mut grant_bytes, mut count) = (0, 0, 0);
    let mut cost = Duration::ZERO;
    let mut last = vec![0; hosts as usize];
    let mut refresh = 0;
    let rounds = MIN_ROUNDS.max(hosts * 2);
    for round in 0..rounds {
        for n in 0..hosts {
            let now = PERIOD * (round + 1) + Duration::from_micros(u64::from(n) * 900);
            let own = digest(n, targets, (round + n) / every % 64);
            let Some(renew) = holders[n as usize].due(now, 1, &own) else { continue };
            let frame = wire::encode(&PeerMsg::Renew(renew));
            let start = Instant::now();
            let Ok(PeerMsg::Renew(renew)) = wire::decode(&frame) else { unreachable!() };
            let grant = grantor.renew(now, Some(now), n, renew);
            let answer = wire::encode(&PeerMsg::Grant(grant.clone()));
            cost += start.elapsed();
            holders[n as usize].granted(now, &grant);
            // The first half of the rounds fills the directories of the hosts and is not measured.
            if round < rounds / 2 {
                continue;
            }
            count += 1;
            renew_bytes += frame.len();
            grant_bytes += answer.len();
            if n == 0 {
                for (host, _) in &grant.digests {
                    let before = std::mem::replace(&mut last[*host as usize], round);
                    if before > 0 {
                        refresh = refresh.max(round - before);
                    }
                }
            }
        }
    }
    let per_second = 1.0 / PERIOD.as_secs_f64();
    Traffic {
        renew: renew_bytes as f64 / f64::from(count) * per_second,
        grant: grant_bytes as f64 / f64::from(count) * per_second,
        cost: cost / (rounds * hosts),
        refresh: PERIOD * refresh,
    }
}

fn registry(targets: u32, hosts: u32) -> (Registry, Vec<LiveHost>) {
    let mut registry = Registry::default();
    for n in 0..targets {
        let info = TargetInfo {
            name: format!("engine-{n}"),
            addr: "127.0.9.1:9000".into(),
            domain: format!("domain-{}", n % 18),
            kind: TargetKind::Engine { model: "base".into() },
            capacity: Capacity { adapters: ADAPTERS_PER_TARGET, requests: 64 },
            fenced: true,
        };
        registry.apply(u64::from(n) + 1, &Command::Register(info));
    }
    let live = (0..hosts).map(|host| LiveHost {
        host,
        incarnation: 1,
        domain: format!("domain-{}", host % 18),
        applied: u64::MAX,
        leaving: false,
    });
    (registry, live.collect())
}

/// Returns the slope and offset of the line fitted to points by least squares.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let (x, y) = points.iter().fold((0.0, 0.0), |sum, point| (sum.0 + point.0, sum.1 + point.1));
    let (x, y) = (x / count, y / count);
    let numerator: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
    let denominator: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    (numerator / denominator, y - numerator / denominator * x)
}

fn main() {
    println!("renewals every {PERIOD:?}, load changes with each renewal");
    println!("hosts targets  renew B/s  grant B/s  leader KB/s  cost us  refresh s");
    for hosts in [10, 100, 700] {
        for targets in [2, 14] {
            let traffic = renewals(hosts, targets, 1);
            println!(
                "{hosts:5} {targets:7} {:10.0} {:10.0} {:12.1} {:8.1} {:10.1}",
                traffic.renew,
                traffic.grant,
                traffic.grant * f64::from(hosts) / 1000.0,
                traffic.cost.as_secs_f64() * 1e6,
                traffic.refresh.as_secs_f64(),
            );
        }
    }
    let unchanged = renewals(100, 14, MIN_ROUNDS * 200);
    println!(
        "load unchanged, 100 hosts: renew {:.0} B/s, grant {:.0} B/s",
        unchanged.renew, unchanged.grant
    );

    let sizes: Vec<_> = [1, 2, 4, 8, 14, 28]
        .iter()
        .map(|&targets| (f64::from(targets), wire::encode(&digest(3, targets, 9)).len() as f64))
        .collect();
    let (slope, offset) = fit_line(&sizes);
    println!("digest: {offset:.1} B + {slope:.1} B per target of {ADAPTERS_PER_TARGET} adapters");

    println!("hosts targets  first balance us  settled us  registry snapshot B");
    let mut snapshots = Vec::new();
    for (hosts, targets) in [(11, 15), (100, 1400), (350, 5000), (700, 10_000)] {
        let (mut registry, live) = registry(targets, hosts);
        let start = Instant::now();
        let moves = balance(&registry, &live, 4);
        let first = start.elapsed();
        registry.apply(u64::from(targets) + 1, &Command::Assign(moves));
        let start = Instant::now();
        black_box(balance(&registry, &live, 4));
        let settled = start.elapsed();
        let bytes = wire::encode(&registry).len();
        snapshots.push((f64::from(targets), bytes as f64));
        println!(
            "{hosts:5} {targets:7} {:17.0} {:11.0} {bytes:20}",
            first.as_secs_f64() * 1e6,
            settled.as_secs_f64() * 1e6,
        );
    }
    println!("registry snapshot: {:.1} B per target", fit_line(&snapshots).0);
}
