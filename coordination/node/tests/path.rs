//! Path of a request over several hosts, without faults.

mod common;

use std::time::Duration;

use common::{booking, completion, ready, target::Target};

const TIMEOUT: Duration = Duration::from_secs(30);

#[test]
fn a_cold_adapter_is_loaded_and_answers() {
    let mut cluster = ready(4, 3);
    cluster.add_target(Target::engine("e1", 1, true));
    cluster.run(Duration::from_secs(6));
    let key = cluster.request(4, completion("base@a@v1", "hello"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
    let response = &cluster.responses[&key];
    assert_eq!(response.fault, None);
    assert_eq!(String::from_utf8_lossy(&response.body), "[base@a@v1 0][base@a@v1 1][base@a@v1 2]");
    assert_eq!(cluster.targets[0].runs("hello"), 1);
}

/// Orders to a target without fencing are recorded as intents in the replicated log before they are
/// sent.
#[test]
fn adapters_are_loaded_on_a_target_without_fencing() {
    let mut cluster = ready(4, 3);
    cluster.add_target(Target::engine("e1", 1, false));
    cluster.run(Duration::from_secs(6));
    for model in ["base@a@v1", "base@b@v1", "base@c@v1"] {
        let key = cluster.request(2, completion(model, "hello"));
        assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
        assert_eq!(cluster.responses[&key].fault, None);
    }
    assert_eq!(cluster.targets[0].loads, 3);
}

#[test]
fn a_non_idempotent_call_runs_once_and_is_replayed() {
    let mut cluster = ready(4, 3);
    cluster.add_target(Target::service("s1", 1));
    cluster.run(Duration::from_secs(6));
    let first = cluster.request(1, booking("k1", "deposit"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&first].ended()));
    assert_eq!(cluster.responses[&first].fault, None);
    let second = cluster.request(3, booking("k1", "deposit"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&second].ended()));
    assert_eq!(cluster.responses[&second].body, cluster.responses[&first].body);
    assert_eq!(cluster.targets[0].runs("deposit"), 1);
}
