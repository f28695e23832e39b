//! Overload of targets that hold every adapter that is asked for.

mod common;

use std::collections::BTreeMap;

use common::{Engine, request, secs, settings};
use place::{Decision, owner_policy};
use wire::Urgency;

const WINDOW: f64 = 8.0;

/// What became of the requests of an overloaded target.
#[derive(Default)]
struct Outcome {
    started: u32,
    refused: u32,
    /// Seconds that refused requests waited.
    wasted: f64,
}

/// Asks for two adapters four times as often as the target can serve.
fn overload() -> Outcome {
    let mut policy = owner_policy(settings());
    let mut engine = Engine::new(1, 2);
    engine.resident = vec![(7, true), (8, true)];
    let mut outcome = Outcome::default();
    let mut since = BTreeMap::new();
    for step in 0..800u64 {
        let now = secs(0.125 * step as f64);
        let before = engine.running.len();
        engine.end(now);
        for _ in engine.running.len()..before {
            policy.finished(now, 1, secs(1.0));
        }
        policy.set_target(now, engine.view());
        let mut request = request(step, 7 + (step % 2) as u32);
        (request.since, request.deadline) = (now, now + secs(WINDOW));
        request.urgency = [Urgency::High, Urgency::Normal, Urgency::Low][step as usize % 3];
        match policy.enqueue(now, request) {
            Ok(()) => _ = since.insert(step, now),
            Err(_) => outcome.refused += 1,
        }
        for decision in policy.decide(now) {
            match decision {
                Decision::Start { request, .. } => {
                    outcome.started += 1;
                    engine.running.push((request, now + secs(1.0)));
                }
                Decision::Refuse { request, .. } => {
                    outcome.refused += 1;
                    outcome.wasted += (now - since[&request]).as_secs_f64();
                }
            }
        }
        policy.set_target(now, engine.view());
        policy.wants(now);
    }
    outcome
}

#[test]
fn overload_is_refused_early_and_keeps_the_batch_full() {
    let outcome = overload();
    assert!(outcome.started >= 195, "{} of 200 places were used", outcome.started);
    let mean = outcome.wasted / f64::from(outcome.refused);
    assert!(mean < WINDOW / 4.0, "refused requests waited {mean:.2} s");
}
