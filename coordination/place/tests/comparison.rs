//! A short run of the benchmark's comparison, in virtual time.

#[allow(dead_code)]
#[path = "../benches/rig/mod.rs"]
mod rig;

use rig::{AUTHORITY, Fault, MAISON, Scenario, Scheme, Totals, run};

const SECS: u64 = 120;
const SEED: u64 = 3;

/// Returns the better baseline's total wait divided by the policy's, and the policy's answered
/// share divided by the better baseline's.
fn ratios(scenario: &Scenario) -> (f64, f64) {
    let policy = run(Scheme::Policy, scenario, SEED);
    let baselines =
        [Scheme::LeastLoaded, Scheme::Rendezvous].map(|scheme| run(scheme, scenario, SEED));
    let waited = baselines.iter().map(Totals::total_wait).fold(f64::INFINITY, f64::min);
    let share = baselines.iter().map(Totals::answered_share).fold(0.0, f64::max);
    (waited / policy.total_wait(), policy.answered_share() / share)
}

#[test]
fn the_policy_meets_its_goals() {
    let rows = [
        (MAISON, 1.1, 0.8, Fault::None, 2.0, 1.0),
        (MAISON, 1.3, 1.1, Fault::None, 2.0, 1.0),
        (MAISON, 1.1, 0.8, Fault::Shift, 2.0, 1.0),
        (MAISON, 1.1, 0.8, Fault::LeaderChange, 2.0, 1.0),
        (AUTHORITY, 1.1, 1.1, Fault::None, 1.0, 1.2),
        (AUTHORITY, 1.3, 1.1, Fault::None, 1.0, 1.2),
        (AUTHORITY, 1.1, 0.8, Fault::ColdThird, 1.0, 1.0),
        (AUTHORITY, 1.1, 0.8, Fault::DomainGone, 1.0, 1.0),
    ];
    for (site, skew, load, fault, least_waited, least_share) in rows {
        let scenario = Scenario { site, skew, load, fault, secs: SECS };
        let (waited, share) = ratios(&scenario);
        let name = scenario.name();
        assert!(waited >= least_waited, "{name}: total wait {waited:.2}x lower");
        assert!(share >= least_share, "{name}: answered share {share:.3}x");
    }
}

#[test]
fn runs_are_deterministic() {
    let scenario =
        Scenario { site: MAISON, skew: 1.1, load: 0.8, fault: Fault::StoreFails, secs: 20 };
    let [a, b] = [(); 2].map(|()| run(Scheme::Policy, &scenario, SEED));
    assert_eq!(format!("{a:?}"), format!("{b:?}"));
}
