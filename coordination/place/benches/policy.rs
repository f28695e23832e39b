//! Compares the policy with its baselines: `cargo bench -p place --bench policy`.

mod rig;

use rig::{AUTHORITY, Fault, KINDS, Kind, MAISON, Scenario, run, world::Sums};

const SECS: u64 = 300;

fn main() {
    println!("targets: {}", rig::TARGETS);
    let seed = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let filter = std::env::args().nth(1).filter(|arg| !arg.starts_with("--")).unwrap_or_default();
    for scenario in scenarios() {
        if scenario.name().contains(&filter) {
            show(&scenario, seed);
        }
    }
}

fn scenarios() -> Vec<Scenario> {
    let mut scenarios = Vec::new();
    for site in [MAISON, AUTHORITY] {
        for skew in [0.9, 1.1, 1.3] {
            for load in [0.5, 0.8, 1.1, 1.3] {
                scenarios.push(Scenario { site, skew, load, fault: Fault::None, secs: SECS });
            }
        }
        for fault in [
            Fault::Shift,
            Fault::ColdThird,
            Fault::StoreFails,
            Fault::StaleReports,
            Fault::DomainGone,
            Fault::LeaderChange,
        ] {
            scenarios.push(Scenario { site, skew: 1.1, load: 0.8, fault, secs: SECS });
        }
    }
    scenarios
}

/// Runs every scheme of a scenario, side by side, and prints them.
fn show(scenario: &Scenario, seed: u64) {
    println!("\n{}", scenario.name());
    println!(
        "  scheme       waited   p50 s   p95 s   p99 s  wait s  answered's s  full %  share %  loads  evict  fail  refuse    drop"
    );
    let mut base: Vec<Sums> = Vec::new();
    let mut own = None;
    let runs = std::thread::scope(|scope| {
        let runs = KINDS.map(|kind| scope.spawn(move || run(kind, scenario, seed)));
        runs.map(|run| run.join().expect("a run ends"))
    });
    for (kind, sums) in KINDS.into_iter().zip(runs) {
        line(kind, &sums);
        match kind {
            Kind::Policy => own = Some(sums),
            Kind::LeastLoaded | Kind::Rendezvous => base.push(sums),
            Kind::Pooled | Kind::NoStore => {}
        }
    }
    let Some(own) = own else { return };
    println!("  {}", rig::verdict(&own, &base));
}

fn line(kind: Kind, sums: &Sums) {
    println!(
        "  {:<12} {:>6} {:>7.2} {:>7.2} {:>7.2} {:>7.0} {:>13.0} {:>7.1} {:>8.1} {:>6} {:>6} {:>5} {:>7} {:>7}",
        format!("{kind:?}"),
        sums.waits.len(),
        sums.percentile(50),
        sums.percentile(95),
        sums.percentile(99),
        sums.waited(),
        sums.served,
        100.0 * sums.used as f64 / sums.offered.max(1) as f64,
        100.0 * sums.share(),
        sums.loads,
        sums.evictions,
        sums.failed,
        sums.refused,
        sums.dropped,
    );
}
