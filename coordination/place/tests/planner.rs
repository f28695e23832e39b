//! Limits of the planner under random schedules.

use std::time::Duration;

use place::{PlannerSettings, StorePlanner};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{LoadEnded, LoadGrant, LoadRequest};

const STEP: Duration = Duration::from_millis(10);

fn want(adapter: u32, score: f64, age: u64) -> LoadRequest {
    LoadRequest { adapter, score, waiting: 1, age: Duration::from_secs(age) }
}

fn settings(rate: f64, max_loads: usize) -> PlannerSettings {
    PlannerSettings { rate, max_loads, slot_term: Duration::from_secs(4) }
}

/// A load that an owner may have in progress.
struct Load {
    host: u32,
    grant: LoadGrant,
    used: bool,
    ends: Duration,
}

/// Runs owners that take up to a slot's term and lose replies, while the leader changes. Returns
/// the times at which the used slots were granted.
fn random_run(seed: u64, settings: PlannerSettings) -> Vec<Duration> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut leader = 1;
    let mut planner = StorePlanner::new(Duration::ZERO, settings, true).with_term(leader);
    let mut loads: Vec<Load> = Vec::new();
    let mut granted = Vec::new();
    for step in 0..6_000u32 {
        let now = STEP * step;
        if rng.random_bool(0.002) {
            leader += 1;
            planner = StorePlanner::new(now, settings, false).with_term(leader);
        }
        if rng.random_bool(0.2) {
            let host = rng.random_range(0..6);
            let wants = (0..4).map(|_| want(rng.random_range(0..500), rng.random(), 0));
            planner.set_load_requests(now, host, wants.collect());
        }
        if rng.random_bool(0.005) {
            planner.remove_host(rng.random_range(0..6));
        }
        for (host, grant) in planner.grant(now) {
            let delay = settings.slot_term.mul_f64(rng.random_range(0.0..0.1));
            let took = grant.duration.mul_f64(rng.random_range(0.0..1.0));
            let used = rng.random_bool(0.8);
            let ends = now + delay + if used { took } else { Duration::ZERO };
            granted.extend(used.then_some(now));
            loads.push(Load { host, grant, used, ends });
        }
        let in_progress = loads.iter().filter(|load| load.used && load.ends > now).count();
        assert!(
            in_progress <= settings.max_loads,
            "seed {seed}: {in_progress} in progress at {now:?}"
        );
        loads.retain(|load| {
            let is_reported = load.ends <= now && rng.random_bool(0.9);
            if load.ends <= now && is_reported {
                let done = LoadEnded { slot: load.grant.slot, used: load.used, ok: load.used };
                planner.done(now, load.host, done);
            }
            load.ends > now
        });
    }
    granted
}

#[test]
fn rate_and_loads_in_progress_stay_within_limits() {
    for seed in 0..60 {
        for (rate, loads) in [(3.0, 8), (20.0, 2), (0.5, 8)] {
            let granted = random_run(seed, settings(rate, loads));
            assert!(granted.len() > 3, "seed {seed}: only {} loads", granted.len());
            let burst = (rate as usize).max(1);
            let window = Duration::from_secs_f64(burst as f64 / rate);
            for pair in granted.windows(burst + 1) {
                assert!(pair[burst] - pair[0] >= window, "seed {seed}, rate {rate}: {pair:?}");
            }
        }
    }
}

#[test]
fn a_new_leader_waits_for_a_slot_term_unless_founding() {
    for (founding, first) in [(true, 0), (false, 400)] {
        let mut planner = StorePlanner::new(Duration::ZERO, settings(3.0, 8), founding);
        planner.set_load_requests(Duration::ZERO, 1, vec![want(1, 1.0, 0)]);
        let grants = (0..1_000u32).position(|step| !planner.grant(STEP * step).is_empty());
        assert_eq!(grants, Some(first));
    }
}

#[test]
fn one_grant_in_four_goes_by_age() {
    let mut planner = StorePlanner::new(Duration::ZERO, settings(1.0, 8), true).with_term(1);
    let mut order = Vec::new();
    for second in 0..8u64 {
        let now = Duration::from_secs(second);
        planner.set_load_requests(now, 1, vec![want(100 + second as u32, 50.0, 0)]);
        planner.set_load_requests(now, 2, vec![want(7, 0.1, 5 + second), want(8, 0.2, 3 + second)]);
        for (host, grant) in planner.grant(now) {
            order.push((host, grant.adapter));
            planner.done(now, host, LoadEnded { slot: grant.slot, used: true, ok: true });
        }
    }
    insta::assert_snapshot!(
        format!("{order:?}"),
        @"[(1, 100), (1, 101), (1, 102), (2, 7), (1, 104), (1, 105), (1, 106), (2, 7)]"
    );
}

#[test]
fn a_late_reply_to_another_leader_frees_no_slot() {
    let now = Duration::ZERO;
    let mut old = StorePlanner::new(now, settings(3.0, 1), true).with_term(1);
    old.set_load_requests(now, 1, vec![want(1, 1.0, 0)]);
    let (_, before) = old.grant(now)[0];
    let later = Duration::from_secs(10);
    let mut new = StorePlanner::new(Duration::ZERO, settings(3.0, 1), false).with_term(2);
    new.set_load_requests(later, 1, vec![want(1, 1.0, 0), want(2, 1.0, 0)]);
    assert_eq!(new.grant(later).len(), 1);
    new.done(later, 1, LoadEnded { slot: before.slot, used: false, ok: false });
    assert!(new.grant(later + STEP).is_empty());
}
