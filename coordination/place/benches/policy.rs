//! Compares the policy with its baselines: `cargo bench -p place --bench policy`.
//! A word picks scenarios by name; `SEED` in the environment sets the seed.

mod rig;

use rig::{AUTHORITY, Fault, Kind, MAISON, Scenario, Sums, run};

const KINDS: [Kind; 5] =
    [Kind::Policy, Kind::Pooled, Kind::LeastLoaded, Kind::Rendezvous, Kind::NoStore];

#[rustfmt::skip]
const FAULTS: [Fault; 6] = [
    Fault::Shift, Fault::ColdThird, Fault::StoreFails,
    Fault::StaleReports, Fault::DomainGone, Fault::LeaderChange,
];

fn main() {
    println!("targets: {}", rig::TARGETS);
    let seed = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let filter = std::env::args().nth(1).filter(|arg| !arg.starts_with("--")).unwrap_or_default();
    let mut rows = Vec::new();
    for skew in [0.9, 1.1, 1.3] {
        rows.extend([0.5, 0.8, 1.1, 1.3].map(|load| (skew, load, Fault::None)));
    }
    rows.extend(FAULTS.map(|fault| (1.1, 0.8, fault)));
    for site in [MAISON, AUTHORITY] {
        for &(skew, load, fault) in &rows {
            let scenario = Scenario { site, skew, load, fault, secs: 300 };
            if scenario.name().contains(&filter) {
                show(&scenario, seed);
            }
        }
    }
}

/// Runs every scheme of a scenario, side by side, and prints them.
fn show(scenario: &Scenario, seed: u64) {
    println!("\n{}", scenario.name());
    println!(
        "  scheme       waited   p50 s   p95 s   p99 s  wait s  answered's s  full %  share %  loads  evict  fail  refuse    drop  dropped's s"
    );
    let runs = std::thread::scope(|scope| {
        let runs = KINDS.map(|kind| scope.spawn(move || run(kind, scenario, seed)));
        runs.map(|run| run.join().expect("a run ends"))
    });
    for (kind, sums) in KINDS.into_iter().zip(&runs) {
        line(kind, sums);
    }
    let [own, _, a, b, _] = &runs;
    println!(
        "  waited seconds {:.2}x fewer than the better baseline, share {:.3}x its share; mean wait of the answered {:.2} s, better baseline {:.2} s",
        a.waited().min(b.waited()) / own.waited().max(1e-9),
        own.share() / a.share().max(b.share()),
        own.mean_wait(),
        a.mean_wait().min(b.mean_wait()),
    );
}

#[rustfmt::skip]
fn line(kind: Kind, sums: &Sums) {
    let [p50, p95, p99] = [50, 95, 99].map(|percent| sums.percentile(percent));
    let (full, share) = (100.0 * sums.used as f64 / sums.offered.max(1) as f64, 100.0 * sums.share());
    let Sums { served, loads, evictions, failed, refused, dropped, wasted, .. } = sums;
    println!(
        "  {:<12} {:>6} {p50:>7.2} {p95:>7.2} {p99:>7.2} {:>7.0} {served:>13.0} {full:>7.1} {share:>8.1} {loads:>6} {evictions:>6} {failed:>5} {refused:>7} {dropped:>7} {wasted:>12.0}",
        format!("{kind:?}"), sums.waits.len(), sums.waited(),
    );
}
