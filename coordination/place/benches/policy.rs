//! Compares the policy with its baselines: `cargo bench -p place --bench policy`. An argument
//! selects the scenarios whose names contain it; `SEED` in the environment sets the seed.

mod rig;

use rig::{AUTHORITY, Fault, MAISON, Scenario, Scheme, Totals, run};

const SCHEMES: [Scheme; 5] =
    [Scheme::Policy, Scheme::Pooled, Scheme::LeastLoaded, Scheme::Rendezvous, Scheme::NoStore];

#[rustfmt::skip]
const FAULTS: [Fault; 6] = [
    Fault::Shift, Fault::ColdThird, Fault::StoreFails,
    Fault::StaleReports, Fault::DomainGone, Fault::LeaderChange,
];

fn main() {
    println!("goals: {}", rig::GOALS);
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

/// Runs every scheme of a scenario in parallel and prints the results.
fn show(scenario: &Scenario, seed: u64) {
    println!("\n{}", scenario.name());
    println!(
        "  scheme       waited   p50 s   p95 s   p99 s  wait s    answered s  full %  share %  loads  evict  fail  refuse    drop    dropped s"
    );
    let runs = std::thread::scope(|scope| {
        let runs = SCHEMES.map(|scheme| scope.spawn(move || run(scheme, scenario, seed)));
        runs.map(|run| run.join().expect("a run panicked"))
    });
    for (scheme, totals) in SCHEMES.into_iter().zip(&runs) {
        print_row(scheme, totals);
    }
    let [policy, _, a, b, _] = &runs;
    println!(
        "  total wait {:.2}x lower than the better baseline's, answered share {:.3}x the better baseline's; mean wait of answered requests {:.2} s, better baseline {:.2} s",
        a.total_wait().min(b.total_wait()) / policy.total_wait().max(1e-9),
        policy.answered_share() / a.answered_share().max(b.answered_share()),
        policy.mean_wait(),
        a.mean_wait().min(b.mean_wait()),
    );
}

#[rustfmt::skip]
fn print_row(scheme: Scheme, totals: &Totals) {
    let [p50, p95, p99] = [50, 95, 99].map(|percent| totals.percentile(percent));
    let (full, share) = (100.0 * totals.batch_used as f64 / totals.batch_offered.max(1) as f64, 100.0 * totals.answered_share());
    let Totals { answered_wait, loads, evictions, failed, refused, dropped, dropped_wait, .. } = totals;
    println!(
        "  {:<12} {:>6} {p50:>7.2} {p95:>7.2} {p99:>7.2} {:>7.0} {answered_wait:>13.0} {full:>7.1} {share:>8.1} {loads:>6} {evictions:>6} {failed:>5} {refused:>7} {dropped:>7} {dropped_wait:>12.0}",
        format!("{scheme:?}"), totals.waits.len(), totals.total_wait(),
    );
}
