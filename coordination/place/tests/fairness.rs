//! The wait for a cold adapter is bounded, and no adapter in use is evicted.
//!
//! The bound: an adapter that is waited for behind `older` missing adapters by age is granted a
//! load within `(older + 1) * 4 / rate` seconds, whatever the demand for others, as long as a
//! target has an idle adapter. The time of its load and the planner's window are added.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{Engine, engine, request, secs, settings};
use place::{Decision, PlannerSettings, StorePlanner, owner_policy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{LoadEnded, Urgency};

const RATE: f64 = 3.0;
const STEP: Duration = Duration::from_millis(50);
const LOAD: Duration = Duration::from_millis(250);

/// Keeps the store busy with loads of popular adapters, and returns the time until one request for
/// a cold adapter starts.
fn cold_wait(seed: u64) -> Duration {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut policy = owner_policy(settings());
    let slot_term = secs(5.0);
    let planner = PlannerSettings { rate: RATE, max_loads: 8, slot_term };
    let mut planner = StorePlanner::new(secs(0.0), planner, true).with_term(1);
    let mut engines = vec![Engine::new(1, 4), Engine::new(2, 4)];
    let mut loads = BTreeMap::new();
    let mut next = 0;
    let cold = 1_000_000;
    let start = STEP * 400;
    for step in 0..4_000u32 {
        let now = STEP * step;
        for _ in 0..6 {
            next += 1;
            let adapter = rng.random_range(0..40);
            let window = secs(20.0);
            let mut request = request(next, adapter);
            (request.queued_at, request.deadline) = (now, now + window);
            _ = policy.enqueue(now, request);
        }
        if now == start {
            let mut request = request(cold, 999);
            (request.queued_at, request.deadline) = (now, now + secs(3_000.0));
            request.urgency = Urgency::Low;
            policy.enqueue(now, request).unwrap();
        }
        for engine in &mut engines {
            engine.end(now);
            policy.set_target(now, engine.view());
        }
        for decision in policy.decide(now) {
            let Decision::Start { request, target } = decision else { continue };
            if request == cold {
                return now - start;
            }
            let engine = engines.iter_mut().find(|engine| engine.id == target).unwrap();
            engine.running.push((request, now + secs(0.1)));
            policy.set_target(now, engine.view());
        }
        planner.set_load_requests(now, 1, policy.load_requests(now));
        for (_, grant) in planner.grant(now) {
            let Some(order) = policy.order_load(now, grant.adapter) else {
                planner.done(now, 1, LoadEnded { slot: grant.slot, used: false, ok: false });
                continue;
            };
            let engine = engines.iter_mut().find(|engine| engine.id == order.target).unwrap();
            engine.resident.retain(|(adapter, _)| Some(*adapter) != order.victim);
            engine.resident.push((order.adapter, false));
            policy.set_target(now, engine.view());
            loads.insert(grant.slot, (now + LOAD, order));
        }
        while let Some((&slot, &(at, order))) = loads.first_key_value() {
            if at > now {
                break;
            }
            loads.remove(&slot);
            let engine = engines.iter_mut().find(|engine| engine.id == order.target).unwrap();
            let held = engine.resident.iter_mut().find(|(adapter, _)| *adapter == order.adapter);
            held.unwrap().1 = true;
            planner.done(now, 1, LoadEnded { slot, used: true, ok: true });
            policy.set_target(now, engine.view());
            policy.loaded(now, order, true);
        }
    }
    Duration::MAX
}

#[test]
fn a_cold_adapter_is_loaded_within_the_bound() {
    // At most 40 missing adapters are waited for longer than the cold one.
    let bound = secs(41.0 * 4.0 / RATE + 1.0) + LOAD + STEP * 2;
    for seed in 0..10 {
        let wait = cold_wait(seed);
        assert!(wait <= bound, "seed {seed}: {wait:?}, bound {bound:?}");
    }
}

#[test]
fn nothing_in_use_is_evicted_and_no_target_is_overfilled() {
    for seed in 0..200 {
        random_views(seed);
    }
}

/// Sets random views and checks each decision against them.
fn random_views(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut policy = owner_policy(settings());
    let mut views = BTreeMap::new();
    for step in 0..120u64 {
        let now = secs(step as f64 * 0.1);
        for id in 0..3 {
            let resident = (0..rng.random_range(0..3u32)).map(|slot| {
                let users = rng.random_range(0..2);
                let ready = rng.random_bool(0.8);
                let idle = users == 0 && ready && rng.random_bool(0.7);
                place::Resident { adapter: slot * 8 + rng.random_range(0..8), users, idle, ready }
            });
            let mut view = engine(id, 3, resident.collect());
            view.running = rng.random_range(0..4);
            view.external = rng.random_range(0..2);
            view.open = rng.random_bool(0.8);
            view.exclusive = view.running == 1 && rng.random_bool(0.2);
            policy.set_target(now, view.clone());
            views.insert(id, view);
        }
        let mut request = request(step, rng.random_range(0..20));
        (request.queued_at, request.deadline) = (now, now + secs(5.0));
        request.exclusive = rng.random_bool(0.1);
        let (adapter, alone) = (common::adapter(&request.pin), request.exclusive);
        let is_alone = policy.enqueue(now, request).is_ok() && alone;
        for decision in policy.decide(now) {
            let Decision::Start { request, target } = decision else { continue };
            let view: &mut place::TargetView = views.get_mut(&target).unwrap();
            assert!(view.open && !view.exclusive, "seed {seed} step {step}");
            assert!(view.running + view.external < view.batch, "seed {seed} step {step}");
            if request == step {
                let held = view.resident.iter().any(|held| held.adapter == adapter && held.ready);
                assert!(held, "seed {seed} step {step}");
                assert!(!is_alone || view.running == 0, "seed {seed} step {step}");
            }
            view.running += 1;
        }
        for want in policy.load_requests(now) {
            let Some(order) = policy.order_load(now, want.adapter) else { continue };
            let view = &views[&order.target];
            assert!(view.open, "seed {seed} step {step}");
            let Some(victim) = order.victim else {
                assert!(view.resident.len() < view.slots as usize, "seed {seed} step {step}");
                continue;
            };
            let held = view.resident.iter().find(|held| held.adapter == victim).unwrap();
            assert!(held.idle && held.users == 0, "seed {seed} step {step}");
            policy.loaded(now, order, rng.random_bool(0.7));
        }
    }
}
