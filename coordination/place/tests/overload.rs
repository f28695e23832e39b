//! Overload of targets that hold every requested adapter.

mod common;

use std::collections::BTreeMap;

use common::{Engine, request, secs, settings};
use place::{Decision, owner_policy};
use wire::Urgency;

const WINDOW: f64 = 8.0;

/// Results of an overloaded target.
#[derive(Default)]
struct Outcome {
    started: u32,
    refused: u32,
    /// Total time that refused requests waited, in seconds.
    refused_wait: f64,
}

/// Sends requests for two adapters at four times the rate that the target can serve.
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
        (request.queued_at, request.deadline) = (now, now + secs(WINDOW));
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
                    outcome.refused_wait += (now - since[&request]).as_secs_f64();
                }
            }
        }
        policy.set_target(now, engine.view());
        policy.load_requests(now);
    }
    outcome
}

#[test]
fn overload_is_refused_early_and_keeps_the_batch_full() {
    let outcome = overload();
    assert!(outcome.started >= 195, "{} of 200 possible starts", outcome.started);
    let mean = outcome.refused_wait / f64::from(outcome.refused);
    assert!(mean < WINDOW / 4.0, "refused requests waited {mean:.2} s");
}

/// Returns how many requests of a caller are answered, and how many it sent. It uses half of the
/// target's capacity while another caller sends `flood` times as many requests.
fn answered_under_flood(flood: u64) -> (u32, u32) {
    let mut policy = owner_policy(settings());
    let mut engine = Engine::new(1, 2);
    engine.resident = vec![(7, true)];
    let (mut sent, mut answered) = (0, 0);
    for step in 0..400u64 {
        let now = secs(0.25 * step as f64);
        let before = engine.running.len();
        engine.end(now);
        for _ in engine.running.len()..before {
            policy.finished(now, 1, secs(1.0));
        }
        policy.set_target(now, engine.view());
        for part in 0..=flood {
            let is_quiet = part == 0;
            if !step.is_multiple_of(4) && (is_quiet || part > 1) {
                continue;
            }
            let mut request = request(step * 100 + part, 7);
            (request.queued_at, request.deadline) = (now, now + secs(WINDOW));
            request.caller = if is_quiet { "quiet".into() } else { "flood".into() };
            let is_accepted = policy.enqueue(now, request).is_ok();
            sent += u32::from(is_quiet);
            assert!(is_accepted || !is_quiet, "the quiet caller is refused at {now:?}");
        }
        for decision in policy.decide(now) {
            if let Decision::Start { request, .. } = decision {
                answered += u32::from(request.is_multiple_of(100));
                engine.running.push((request, now + secs(1.0)));
            }
        }
        policy.set_target(now, engine.view());
        policy.load_requests(now);
    }
    (answered, sent)
}

#[test]
fn a_flood_of_one_caller_takes_no_answers_from_another() {
    for flood in [0, 2, 8, 20] {
        let (answered, sent) = answered_under_flood(flood);
        assert!(answered + 8 >= sent, "flood {flood}: {answered} of {sent}");
    }
}
