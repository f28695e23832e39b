//! Who may send what: users of adapters, leases, strikes, repeats.

mod common;

use std::time::Duration;

use common::{Cluster, completion, ready, target::Target};
use wire::{ErrorKind, Ran};

const LIMIT: Duration = Duration::from_secs(60);
const SETTLE: Duration = Duration::from_secs(6);

fn one_slot_engine() -> Cluster {
    let mut cluster = ready(6, 3);
    let mut engine = Target::engine("e1", 1, true);
    engine.info.capacity.adapters = 1;
    engine.pieces = 40;
    engine.pace = Duration::from_millis(100);
    cluster.add_target(engine);
    cluster.run(SETTLE);
    cluster
}

#[test]
fn an_adapter_in_use_is_not_evicted_by_its_owner() {
    let mut cluster = one_slot_engine();
    let first = cluster.request(6, completion("base@a@v1", "first"));
    assert!(cluster.run_until(LIMIT, |it| !it.told[&first].body.is_empty()));
    let second = cluster.request(5, completion("base@b@v1", "second"));
    assert!(cluster.run_until(LIMIT, |it| it.told[&second].ended()));
    assert!(cluster.told[&first].whole && cluster.told[&second].whole);
    assert_eq!(cluster.targets[0].violations, 0);
}

#[test]
fn a_host_that_wakes_without_a_lease_sends_nothing() {
    let mut cluster = one_slot_engine();
    let owner = cluster.owner("e1").expect("owned");
    cluster.trace = Some(Vec::new());
    cluster.request(6, completion("base@a@v1", "first"));
    let loading = |it: &Cluster| it.trace.iter().flatten().any(|line| line.contains("order 1"));
    assert!(cluster.run_until(LIMIT, loading));
    cluster.freeze(owner);
    cluster.run(Duration::from_secs(10));
    cluster.trace = Some(Vec::new());
    cluster.thaw(owner);
    // What waited for the host is handled before it hears from the leader.
    cluster.run(Duration::from_millis(1));
    let sent: Vec<&String> = cluster.trace.iter().flatten().collect();
    let call = format!("host {owner} -> e1: ");
    assert!(!sent.iter().any(|line| line.contains(&call)), "{sent:?}");
}

#[test]
fn what_may_have_run_is_never_told_as_not_run() {
    let mut cluster = one_slot_engine();
    let key = cluster.request(6, completion("base@a@v1", "lost"));
    assert!(cluster.run_until(LIMIT, |it| it.targets[0].runs("lost") == 1));
    // Its only target goes, and no other appears.
    cluster.break_target(0);
    cluster.targets[0].crash();
    assert!(cluster.run_until(LIMIT, |it| it.told[&key].ended()));
    let fault = cluster.told[&key].fault.clone().expect("nobody can answer");
    assert_ne!(fault.kind.row().ran, Ran::No);
}

#[test]
fn a_doubled_message_counts_one_strike() {
    let mut cluster = ready(6, 3);
    cluster.add_target(Target::engine("e1", 1, true));
    cluster.run(SETTLE);
    cluster.links.echo = Duration::from_millis(8);
    cluster.request(6, completion("base@a@v1", "CRASH"));
    assert!(cluster.run_until(LIMIT, |it| it.targets[0].crashes == 1));
    cluster.run(Duration::from_secs(5));
    let rows = cluster.node(1).status(cluster.now).quarantine;
    let strikes: Vec<u32> = rows.iter().map(|row| row.strikes).collect();
    assert_eq!(strikes, [1]);
}

#[test]
fn a_strike_is_known_everywhere_before_the_caller_is_told() {
    let mut cluster = ready(6, 3);
    cluster.add_target(Target::engine("e1", 1, true));
    cluster.run(SETTLE);
    let mut caller = completion("base@a@v1", "CRASH");
    caller.deadline = Some(Duration::from_secs(2));
    let key = cluster.request(6, caller);
    assert!(cluster.run_until(LIMIT, |it| it.told[&key].ended()));
    let kind = cluster.told[&key].fault.as_ref().map(|fault| fault.kind);
    assert_ne!(kind, Some(ErrorKind::Quarantined));
    for host in 1..=6 {
        let status = cluster.node(host).status(cluster.now);
        assert!(!status.lease || status.quarantine.len() == 1, "host {host}");
    }
}

/// Sends a crashing request to one host after the other, without a pause.
fn crashes(cluster: &mut Cluster, caller: &node::Caller) -> u32 {
    for resend in 0..12 {
        let key = cluster.request(1 + resend % 6, caller.clone());
        assert!(cluster.run_until(LIMIT, |it| it.told[&key].ended()));
    }
    cluster.targets.iter().map(|target| target.crashes).sum()
}

#[test]
fn a_crashing_request_that_is_resent_at_once_is_stopped_after_two_crashes() {
    let mut cluster = ready(6, 3);
    for last in 1..=6 {
        cluster.add_target(Target::engine(&format!("e{last}"), last, true));
    }
    cluster.revival = Some(Duration::from_secs(1));
    cluster.run(SETTLE);
    let mut caller = completion("base@a@v1", "CRASH");
    caller.deadline = Some(Duration::from_secs(1));
    assert_eq!(crashes(&mut cluster, &caller), 2);
}

#[test]
fn a_call_that_crashes_services_is_stopped_after_two_crashes() {
    for revival in [Duration::from_millis(20), Duration::from_secs(1)] {
        let mut cluster = ready(6, 3);
        for last in 1..=6 {
            cluster.add_target(Target::service(&format!("s{last}"), last));
        }
        cluster.revival = Some(revival);
        cluster.run(SETTLE);
        let mut caller = common::booking("unused", "CRASH");
        caller.call = Some("read".to_owned());
        caller.key = None;
        caller.made = None;
        assert_eq!(crashes(&mut cluster, &caller), 2);
    }
}

#[test]
fn a_doubled_claim_lets_nothing_run_twice() {
    let mut cluster = ready(6, 3);
    cluster.add_target(Target::service("s1", 1));
    cluster.run(SETTLE);
    cluster.links.echo = Duration::from_millis(8);
    for host in [6, 5, 4] {
        let key = cluster.request(host, common::booking("k", "deposit"));
        assert!(cluster.run_until(LIMIT, |it| it.told[&key].ended()));
        assert!(cluster.told[&key].whole, "{:?}", cluster.told[&key].fault);
    }
    assert_eq!(cluster.targets[0].runs("deposit"), 1);
}

#[test]
fn a_strike_waits_for_hosts_that_are_cut_off() {
    let mut cluster = ready(6, 3);
    cluster.add_target(Target::engine("e1", 1, true));
    cluster.run(SETTLE);
    let busy = [cluster.owner("e1"), cluster.leader(), Some(6)];
    let cut = (1..=5).rev().find(|&id| !busy.contains(&Some(id))).expect("six hosts are enough");
    cluster.trace = Some(Vec::new());
    cluster.request(6, completion("base@a@v1", "CRASH"));
    assert!(cluster.run_until(LIMIT, |it| it.targets[0].crashes == 1));
    cluster.isolate(cut);
    // Only this message lets the entry try again or tell its caller.
    let ended = |it: &Cluster| it.trace.iter().flatten().any(|line| line.contains("target_lost"));
    assert!(cluster.run_until(LIMIT, ended));
    let status = cluster.node(cut).status(cluster.now);
    assert!(!status.lease && status.quarantine.is_empty());
}
