//! Each accepted request is started, refused or cancelled exactly once.

mod common;

use std::collections::BTreeSet;

use common::{engine, request, secs, settings};
use place::{Decision, LoadOrder, Resident, owner_policy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn every_request_ends_once() {
    for seed in 0..150 {
        random_run(seed);
    }
}

fn random_run(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut policy = owner_policy(settings());
    let mut waiting = BTreeSet::new();
    let mut orders: Vec<LoadOrder> = Vec::new();
    for step in 0..400u64 {
        let now = secs(step as f64 * 0.05);
        if step < 300 {
            let mut request = request(step, rng.random_range(0..12));
            (request.queued_at, request.deadline) = (now, now + secs(rng.random_range(0.1..4.0)));
            request.exclusive = rng.random_bool(0.1);
            if policy.enqueue(now, request).is_ok() {
                waiting.insert(step);
            }
        }
        match rng.random_range(0..8) {
            0 => policy.remove_target(rng.random_range(0..3)),
            1 => {
                let request = rng.random_range(0..=step);
                assert_eq!(policy.cancel(request), waiting.remove(&request), "seed {seed}");
            }
            2..5 => {
                let target = rng.random_range(0..3);
                let resident = (0..2u32).map(|slot| {
                    let adapter = slot * 6 + rng.random_range(0..6);
                    Resident { adapter, users: 0, idle: true, ready: rng.random_bool(0.7) }
                });
                let mut view = engine(target, 3, resident.collect());
                view.running = rng.random_range(0..3);
                view.open = rng.random_bool(0.9);
                policy.set_target(now, view);
            }
            5 => {
                let best = policy.load_requests(now).first().map(|want| want.adapter);
                orders.extend(best.and_then(|adapter| policy.order_load(now, adapter)));
            }
            _ => {
                if let Some(order) = orders.pop() {
                    policy.loaded(now, order, rng.random_bool(0.5));
                }
            }
        }
        for decision in policy.decide(now) {
            let (Decision::Start { request, .. } | Decision::Refuse { request, .. }) = decision;
            assert!(waiting.remove(&request), "seed {seed}: {request} ended twice");
        }
        assert_eq!(policy.queued(), waiting.len(), "seed {seed}");
    }
    assert!(waiting.is_empty(), "seed {seed}: {waiting:?} never ended");
}

#[test]
fn stalled_seconds_are_those_without_the_adapter() {
    let mut policy = owner_policy(settings());
    let held = |ready| Resident { adapter: 7, users: 0, idle: ready, ready };
    policy.set_target(secs(0.0), engine(1, 0, vec![held(false)]));
    policy.enqueue(secs(0.0), request(1, 7)).unwrap();
    let second = admit::QueuedRequest { queued_at: secs(1.0), ..request(2, 7) };
    policy.enqueue(secs(1.0), second).unwrap();
    policy.set_target(secs(3.0), engine(1, 0, vec![held(true)]));
    policy.decide(secs(5.0));
    assert_eq!(
        policy.stall_seconds(),
        5.0,
        "three and two seconds; waiting for room in the batch does not count"
    );
    policy.set_target(secs(6.0), engine(1, 0, vec![]));
    policy.cancel(1);
    policy.decide(secs(7.0));
    assert!((policy.stall_seconds() - 6.0).abs() < 1e-9, "one request waits one more second");
}
