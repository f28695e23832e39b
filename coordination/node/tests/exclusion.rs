//! Mutual exclusion: adapters in use, leases, strikes against crashing requests, and duplicates.

mod common;

use std::time::Duration;

use common::{Cluster, completion, ready, target::Target};
use wire::{ErrorKind, Ran};

const TIMEOUT: Duration = Duration::from_secs(60);
const SETTLE: Duration = Duration::from_secs(6);

fn one_slot_engine() -> Cluster {
    let mut cluster = ready(6, 3);
    let mut engine = Target::engine("e1", 1, true);
    engine.info.capacity.adapters = 1;
    engine.pieces = 40;
    engine.piece_interval = Duration::from_millis(100);
    cluster.add_target(engine);
    cluster.run(SETTLE);
    cluster
}

#[test]
fn an_adapter_in_use_is_not_evicted_by_its_owner() {
    let mut cluster = one_slot_engine();
    let first = cluster.request(6, completion("base@a@v1", "first"));
    assert!(cluster.run_until(TIMEOUT, |it| !it.responses[&first].body.is_empty()));
    let second = cluster.request(5, completion("base@b@v1", "second"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&second].ended()));
    assert!(cluster.responses[&first].complete && cluster.responses[&second].complete);
    assert_eq!(cluster.targets[0].violations, 0);
}

#[test]
fn a_host_that_wakes_without_a_lease_sends_nothing() {
    let mut cluster = one_slot_engine();
    let owner = cluster.owner("e1").expect("owned");
    cluster.trace = Some(Vec::new());
    cluster.request(6, completion("base@a@v1", "first"));
    let loading = |it: &Cluster| it.trace.iter().flatten().any(|line| line.contains("order 1"));
    assert!(cluster.run_until(TIMEOUT, loading));
    cluster.freeze(owner);
    cluster.run(Duration::from_secs(10));
    cluster.trace = Some(Vec::new());
    cluster.thaw(owner);
    // The events that arrived while it was frozen are handled before any message of the leader.
    cluster.run(Duration::from_millis(1));
    let sent: Vec<&String> = cluster.trace.iter().flatten().collect();
    let call = format!("host {owner} -> e1: ");
    assert!(!sent.iter().any(|line| line.contains(&call)), "{sent:?}");
}

#[test]
fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    let mut cluster = one_slot_engine();
    let key = cluster.request(6, completion("base@a@v1", "lost"));
    assert!(cluster.run_until(TIMEOUT, |it| it.targets[0].runs("lost") == 1));
    // Its only target crashes, and no other appears.
    cluster.break_connections_of(0);
    cluster.targets[0].crash();
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
    let fault = cluster.responses[&key].fault.clone().expect("no target is left to answer");
    assert_ne!(fault.kind.info().ran, Ran::No);
}

#[test]
fn a_duplicate_message_counts_as_one_strike() {
    let mut cluster = ready(6, 3);
    cluster.add_target(Target::engine("e1", 1, true));
    cluster.run(SETTLE);
    cluster.links.duplicate_delay = Duration::from_millis(8);
    cluster.request(6, completion("base@a@v1", "CRASH"));
    assert!(cluster.run_until(TIMEOUT, |it| it.targets[0].crashes == 1));
    cluster.run(Duration::from_secs(5));
    let rows = cluster.node(1).status(cluster.now).quarantine;
    let strikes: Vec<u32> = rows.iter().map(|row| row.strikes).collect();
    assert_eq!(strikes, [1]);
}

#[test]
fn a_strike_is_known_everywhere_before_the_caller_gets_its_error() {
    let mut cluster = ready(6, 3);
    cluster.add_target(Target::engine("e1", 1, true));
    cluster.run(SETTLE);
    let mut caller = completion("base@a@v1", "CRASH");
    caller.deadline = Some(Duration::from_secs(2));
    let key = cluster.request(6, caller);
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
    let kind = cluster.responses[&key].fault.as_ref().map(|fault| fault.kind);
    assert_ne!(kind, Some(ErrorKind::Quarantined));
    for host in 1..=6 {
        let status = cluster.node(host).status(cluster.now);
        assert!(!status.lease || status.quarantine.len() == 1, "host {host}");
    }
}

/// Sends a crashing request to one host after the other without a pause, and returns the number of
/// crashes.
fn total_crashes(cluster: &mut Cluster, caller: &node::CallerRequest) -> u32 {
    for resend in 0..12 {
        let key = cluster.request(1 + resend % 6, caller.clone());
        assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
    }
    cluster.targets.iter().map(|target| target.crashes).sum()
}

#[test]
fn a_crashing_request_that_is_resent_at_once_is_stopped_after_two_crashes() {
    let mut cluster = ready(6, 3);
    for octet in 1..=6 {
        cluster.add_target(Target::engine(&format!("e{octet}"), octet, true));
    }
    cluster.restart_delay = Some(Duration::from_secs(1));
    cluster.run(SETTLE);
    let mut caller = completion("base@a@v1", "CRASH");
    caller.deadline = Some(Duration::from_secs(1));
    assert_eq!(total_crashes(&mut cluster, &caller), 2);
}

#[test]
fn a_call_that_crashes_services_is_stopped_after_two_crashes() {
    for restart_delay in [Duration::from_millis(20), Duration::from_secs(1)] {
        let mut cluster = ready(6, 3);
        for octet in 1..=6 {
            cluster.add_target(Target::service(&format!("s{octet}"), octet));
        }
        cluster.restart_delay = Some(restart_delay);
        cluster.run(SETTLE);
        let mut caller = common::booking("unused", "CRASH");
        caller.call = Some("read".to_owned());
        caller.key = None;
        caller.key_made_ms = None;
        assert_eq!(total_crashes(&mut cluster, &caller), 2);
    }
}

#[test]
fn a_duplicate_claim_lets_nothing_run_twice() {
    let mut cluster = ready(6, 3);
    cluster.add_target(Target::service("s1", 1));
    cluster.run(SETTLE);
    cluster.links.duplicate_delay = Duration::from_millis(8);
    for host in [6, 5, 4] {
        let key = cluster.request(host, common::booking("k", "deposit"));
        assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
        assert!(cluster.responses[&key].complete, "{:?}", cluster.responses[&key].fault);
    }
    assert_eq!(cluster.targets[0].runs("deposit"), 1);
}

#[test]
fn a_strike_waits_for_hosts_that_are_cut_off() {
    let mut cluster = ready(6, 3);
    cluster.add_target(Target::engine("e1", 1, true));
    cluster.run(SETTLE);
    let involved = [cluster.owner("e1"), cluster.leader(), Some(6)];
    let isolated =
        (1..=5).rev().find(|&id| !involved.contains(&Some(id))).expect("six hosts are enough");
    cluster.trace = Some(Vec::new());
    cluster.request(6, completion("base@a@v1", "CRASH"));
    assert!(cluster.run_until(TIMEOUT, |it| it.targets[0].crashes == 1));
    cluster.isolate(isolated);
    // The entry retries or answers its caller only after this message.
    let ended = |it: &Cluster| it.trace.iter().flatten().any(|line| line.contains("target_lost"));
    assert!(cluster.run_until(TIMEOUT, ended));
    let status = cluster.node(isolated).status(cluster.now);
    assert!(!status.lease && status.quarantine.is_empty());
}
