//! A short run of the bench's comparison, in virtual time.

#[allow(dead_code)]
#[path = "../benches/rig/mod.rs"]
mod rig;

use rig::{AUTHORITY, Fault, Kind, MAISON, Scenario, Sums, run};

const SECS: u64 = 120;
const SEED: u64 = 3;

/// Returns how many times fewer seconds are waited, and how many times the
/// share in window is that of the better baseline.
fn ratios(scenario: &Scenario) -> (f64, f64) {
    let own = run(Kind::Policy, scenario, SEED);
    let base = [Kind::LeastLoaded, Kind::Rendezvous].map(|kind| run(kind, scenario, SEED));
    let waited = base.iter().map(Sums::waited).fold(f64::INFINITY, f64::min);
    let share = base.iter().map(Sums::share).fold(0.0, f64::max);
    (waited / own.waited(), own.share() / share)
}

#[test]
fn the_policy_meets_its_targets() {
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
        assert!(waited >= least_waited, "{name}: waited seconds {waited:.2}x fewer");
        assert!(share >= least_share, "{name}: share {share:.3}x");
    }
}

#[test]
fn a_run_is_the_same_each_time() {
    let scenario =
        Scenario { site: MAISON, skew: 1.1, load: 0.8, fault: Fault::StoreFails, secs: 20 };
    let [a, b] = [(); 2].map(|()| run(Kind::Policy, &scenario, SEED));
    assert_eq!(format!("{a:?}"), format!("{b:?}"));
}
