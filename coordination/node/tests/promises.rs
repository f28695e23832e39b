//! Guarantees of the system, each tested under one fault that the test causes.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Cluster, booking, completion, ready, target::Target};
use node::{CallFailure, Input};
use wire::{Answer, ErrorKind, Head, PeerMsg, Piece, Ran};

const TIMEOUT: Duration = Duration::from_secs(60);
const SETTLE: Duration = Duration::from_secs(6);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn slow_engine(name: &str, octet: u8, fenced: bool, adapters: u32) -> Target {
    let mut target = Target::engine(name, octet, fenced);
    target.info.capacity.adapters = adapters;
    target.pieces = 100;
    target.piece_interval = Duration::from_millis(150);
    target
}

fn with_engine(engine: Target) -> Cluster {
    let mut cluster = ready(6, 3);
    cluster.add_target(engine);
    cluster.run(SETTLE);
    cluster
}

fn uninvolved_host(cluster: &Cluster, target: &str) -> u32 {
    let owner = cluster.owner(target);
    let leader = cluster.leader();
    let free = (1..=6).rev().find(|&id| Some(id) != owner && Some(id) != leader);
    free.expect("six hosts are enough")
}

/// Loses the owner of a target that runs a stream, then requests another adapter. The target has one
/// adapter slot, so the new owner would have to evict the adapter that the stream still uses.
fn load_after_owner_loss(fenced: bool, lose: fn(&mut Cluster, u32)) -> Cluster {
    let mut cluster = with_engine(slow_engine("e1", 1, fenced, 1));
    let entry = uninvolved_host(&cluster, "e1");
    let first = cluster.request(entry, completion("base@a@v1", "long"));
    assert!(cluster.run_until(TIMEOUT, |it| !it.responses[&first].body.is_empty()));
    let owner = cluster.owner("e1").expect("owned");
    lose(&mut cluster, owner);
    assert!(cluster.run_until(TIMEOUT, |it| it.owner("e1") != Some(owner)));
    let second = cluster.request(entry, completion("base@b@v1", "next"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&second].ended()));
    assert_eq!(cluster.responses[&second].fault, None);
    cluster
}

#[test]
fn an_adapter_in_use_is_not_evicted_after_its_owner_is_killed() {
    let cluster = load_after_owner_loss(true, |cluster, owner| cluster.kill(owner));
    assert_eq!(cluster.targets[0].violations, 0);
}

#[test]
fn an_adapter_in_use_is_not_evicted_after_its_owner_is_frozen_without_fencing() {
    let mut cluster = load_after_owner_loss(false, |cluster, owner| cluster.freeze(owner));
    for id in 1..=6 {
        cluster.thaw(id);
    }
    cluster.run(seconds(20));
    assert_eq!(cluster.targets[0].violations, 0);
}

#[test]
fn a_late_order_of_a_former_owner_evicts_no_adapter_in_use() {
    let mut cluster = with_engine(slow_engine("e1", 1, false, 1));
    let entry = uninvolved_host(&cluster, "e1");
    cluster.targets[0].pieces = 3;
    let first = cluster.request(entry, completion("base@a@v1", "first"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&first].ended()));
    // The eviction of `a` is sent, and arrives long after its sender was frozen.
    let owner = cluster.owner("e1").expect("owned");
    cluster.order_delays.insert(owner, seconds(20));
    cluster.trace = Some(Vec::new());
    cluster.request(entry, completion("base@b@v1", "second"));
    let evicting = |it: &Cluster| it.trace.iter().flatten().any(|line| line.contains("Evict"));
    assert!(cluster.run_until(TIMEOUT, evicting));
    cluster.freeze(owner);
    cluster.targets[0].pieces = 200;
    assert!(cluster.run_until(TIMEOUT, |it| it.owner("e1") != Some(owner)));
    cluster.request(entry, completion("base@a@v1", "third"));
    cluster.run(seconds(30));
    assert_eq!(cluster.targets[0].violations, 0);
}

#[test]
fn a_crashing_request_is_stopped_after_two_crashes() {
    let mut cluster = ready(6, 3);
    for octet in 1..=3 {
        let mut engine = Target::engine(&format!("e{octet}"), octet, true);
        engine.piece_interval = Duration::from_millis(200);
        cluster.add_target(engine);
    }
    cluster.restart_delay = Some(seconds(1));
    cluster.run(SETTLE);
    let mut others = Vec::new();
    for number in 0..4 {
        let key = cluster.request(6, completion("base@a@v1", &format!("innocent {number}")));
        others.push(key);
    }
    let mut last = None;
    for resend in 0..6 {
        let host = 1 + resend % 6;
        let key = cluster.request(host, completion("base@a@v1", "CRASH"));
        assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
        last = cluster.responses[&key].fault.clone();
        cluster.run(seconds(2));
    }
    let crashes: u32 = cluster.targets.iter().map(|target| target.crashes).sum();
    assert_eq!(crashes, 2);
    assert_eq!(last.map(|fault| fault.kind), Some(ErrorKind::Quarantined));
    for key in others {
        assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
        let response = &cluster.responses[&key];
        let interrupted = response.fault.as_ref().is_some_and(|_| !response.body.is_empty());
        assert!(response.complete || interrupted, "{:?}", response.fault);
    }
}

#[test]
fn a_leaving_target_gets_no_new_work() {
    let mut cluster = with_engine(Target::engine("e1", 1, true));
    let entry = uninvolved_host(&cluster, "e1");
    let first = cluster.request(entry, completion("base@a@v1", "first"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&first].ended()));
    // Only the report says that the target is leaving; the target itself would still accept calls.
    let mut report = cluster.targets[0].report().expect("the target is up");
    report.leaving = true;
    let owner = cluster.owner("e1").expect("owned");
    cluster.input(owner, Input::Report(report));
    cluster.targets[0].name = "quiet".to_owned();
    cluster.run(Duration::from_millis(1));
    let second = cluster.request(entry, completion("base@a@v1", "second"));
    cluster.run(Duration::from_millis(250));
    assert_eq!(cluster.targets[0].runs("second"), 0);
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&second].ended()));
}

#[test]
fn a_shutdown_cuts_no_stream() {
    let mut cluster = with_engine(slow_engine("e1", 1, true, 2));
    let owner = cluster.owner("e1").expect("owned");
    let entry = uninvolved_host(&cluster, "e1");
    let far = cluster.request(entry, completion("base@a@v1", "far"));
    let near = cluster.request(owner, completion("base@a@v1", "near"));
    assert!(cluster.run_until(TIMEOUT, |it| !it.responses[&far].body.is_empty()));
    assert!(cluster.run_until(TIMEOUT, |it| !it.responses[&near].body.is_empty()));
    cluster.input(owner, Input::Shutdown);
    assert!(cluster.run_until(TIMEOUT, |it| it.exited(owner).is_some()));
    assert_eq!(cluster.exited(owner), Some(0));
    assert!(cluster.responses[&far].complete && cluster.responses[&near].complete);
    let refused = cluster.request(owner, completion("base@a@v1", "late"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&refused].ended()));
    let fault = cluster.responses[&refused].fault.clone().expect("a leaving host admits nothing");
    assert_eq!(fault.kind, ErrorKind::Leaving);
}

#[test]
fn a_caller_who_leaves_frees_the_target() {
    let mut cluster = with_engine(slow_engine("e1", 1, true, 2));
    let entry = uninvolved_host(&cluster, "e1");
    let key = cluster.request(entry, completion("base@a@v1", "long"));
    assert!(cluster.run_until(TIMEOUT, |it| !it.responses[&key].body.is_empty()));
    cluster.input(entry, Input::CallerLeft(key.1));
    cluster.run(Duration::from_millis(50));
    assert_eq!(cluster.targets[0].running(), 0);
}

#[test]
fn a_piece_out_of_order_is_never_forwarded() {
    let mut cluster = with_engine(slow_engine("e1", 1, true, 2));
    let entry = uninvolved_host(&cluster, "e1");
    let owner = cluster.owner("e1").expect("owned");
    let key = cluster.request(entry, completion("base@a@v1", "long"));
    assert!(cluster.run_until(TIMEOUT, |it| !it.responses[&key].body.is_empty()));
    let request = cluster.targets[0].executions[0].request;
    let received = cluster.responses[&key].body.len();
    let piece = Piece { request, offset: 999, bytes: Bytes::from_static(b"other"), last: true };
    let msg = PeerMsg::Answer(Answer::Piece(piece));
    cluster.input(entry, Input::Peer { from: owner, msg });
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
    let response = &cluster.responses[&key];
    assert_eq!(response.body.len(), received);
    assert_eq!(response.fault.as_ref().map(|fault| fault.kind), Some(ErrorKind::WrongAnswer));
}

#[test]
fn an_answer_of_an_earlier_attempt_is_dropped() {
    let mut cluster = with_engine(slow_engine("e1", 1, true, 2));
    cluster.add_target(slow_engine("e2", 2, true, 2));
    cluster.run(SETTLE);
    let entry = uninvolved_host(&cluster, "e1");
    let key = cluster.request(entry, completion("base@a@v1", "long"));
    assert!(cluster.run_until(TIMEOUT, |it| !it.targets[0].executions.is_empty()
        || !it.targets[1].executions.is_empty()));
    let idx = usize::from(cluster.targets[0].executions.is_empty());
    let request = cluster.targets[idx].executions[0].request;
    let owner = cluster.owner(&cluster.targets[idx].name.clone()).expect("owned");
    cluster.kill(owner);
    let resent = |it: &Cluster| it.targets.iter().map(|t| t.runs("long")).sum::<usize>() > 1;
    assert!(cluster.run_until(TIMEOUT, resent));
    let ran = "base@b@v1".to_owned();
    let head = Head { request, status: 200, target: "e9".to_owned(), ran };
    cluster.input(entry, Input::Peer { from: owner, msg: PeerMsg::Answer(Answer::Head(head)) });
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
    assert_eq!(cluster.responses[&key].ran, "base@a@v1");
    assert!(cluster.responses[&key].complete);
}

#[test]
fn an_answer_of_another_adapter_is_an_error() {
    let mut cluster = with_engine(slow_engine("e1", 1, true, 2));
    let owner = cluster.owner("e1").expect("owned");
    let entry = uninvolved_host(&cluster, "e1");
    let key = cluster.request(entry, completion("base@a@v1", "long"));
    assert!(cluster.run_until(TIMEOUT, |it| it.targets[0].runs("long") == 1));
    let request = cluster.targets[0].executions[0].request;
    let ran = "base@b@v1".to_owned();
    let head = Input::CallHead { request, status: 200, ran, incarnation: 1 };
    cluster.input(owner, head);
    cluster.run(Duration::from_millis(1));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
    let response = &cluster.responses[&key];
    assert!(response.ran.is_empty() || response.ran == "base@a@v1");
}

#[test]
fn a_refusal_before_execution_is_reported_as_not_run() {
    let mut cluster = ready(6, 3);
    cluster.add_target(Target::service("s1", 1));
    cluster.run(SETTLE);
    cluster.targets[0].info.capacity.requests = 0;
    cluster.run(seconds(1));
    let key = cluster.request(6, booking("k", "deposit"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
    let fault = cluster.responses[&key].fault.clone().expect("the target has no capacity");
    assert_eq!(fault.kind.info().ran, Ran::No);
    cluster.targets[0].info.capacity.requests = 4;
    cluster.run(seconds(4));
    let resend = cluster.request(5, booking("k", "deposit"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&resend].ended()));
    assert!(cluster.responses[&resend].complete, "{:?}", cluster.responses[&resend].fault);
    assert_eq!(cluster.targets[0].runs("deposit"), 1);
}

#[test]
fn a_key_with_another_body_is_refused() {
    let mut cluster = ready(6, 3);
    cluster.add_target(Target::service("s1", 1));
    cluster.run(SETTLE);
    let first = cluster.request(6, booking("k", "deposit"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&first].ended()));
    let other = cluster.request(5, booking("k", "other"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&other].ended()));
    let kind = cluster.responses[&other].fault.as_ref().map(|fault| fault.kind);
    assert_eq!(kind, Some(ErrorKind::KeyReused));
    assert_eq!(cluster.targets[0].runs("other"), 0);
}

#[test]
fn a_publish_is_in_force_everywhere_or_a_lagging_host_admits_nothing() {
    let mut cluster = with_engine(Target::engine("e1", 1, true));
    cluster.isolate(6);
    let text = common::NOTES.replace("version = 1", "version = 2").replace("a = v1", "a = v2");
    let began = cluster.now;
    let tag = cluster.publish(1, &[("notes.ini", &text)]);
    assert!(cluster.run_until(TIMEOUT, |it| it.published.contains_key(&tag)));
    let published = cluster.published[&tag].clone().expect("accepted");
    assert!(published.in_force.iter().all(|domain| domain.lagging == 0));
    assert!(cluster.now - began <= seconds(3 + 5));
    assert!(!cluster.node(6).status(cluster.now).lease);
    let refused = cluster.request(6, completion("base@a@v1", "while cut off"));
    cluster.run(Duration::from_millis(1));
    let fault =
        cluster.responses[&refused].fault.clone().expect("a host without a lease admits nothing");
    assert_eq!(fault.kind, ErrorKind::NoLease);
    cluster.heal();
    cluster.run(seconds(5));
    let old = cluster.request(6, completion("base@a@v1", "old version"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&old].ended()));
    let kind = cluster.responses[&old].fault.as_ref().map(|fault| fault.kind);
    assert_eq!(kind, Some(ErrorKind::WrongVersion));
}

#[test]
fn a_broken_connection_is_resumed_where_it_broke() {
    let mut cluster = with_engine(slow_engine("e1", 1, true, 2));
    let entry = uninvolved_host(&cluster, "e1");
    let key = cluster.request(entry, completion("base@a@v1", "long"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].body.len() > 100));
    cluster.break_connections_of(0);
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
    assert!(cluster.responses[&key].complete);
    let expected: String = (0..100).map(|number| format!("[base@a@v1 {number}]")).collect();
    assert_eq!(String::from_utf8_lossy(&cluster.responses[&key].body), expected);
    assert_eq!(cluster.targets[0].runs("long"), 1);
    let failure = CallFailure::Lost;
    let request = cluster.targets[0].executions[0].request;
    cluster.input(1, Input::CallFailed { request, failure });
    cluster.run(seconds(1));
}

#[test]
fn hosts_that_leave_together_do_not_wait_for_each_other() {
    let mut cluster = with_engine(Target::engine("e1", 1, true));
    for host in 1..=6 {
        cluster.input(host, Input::Shutdown);
    }
    // No host is left to take over the target; the drain limit is 30 s.
    cluster.run(seconds(10));
    for host in 1..=6 {
        assert_eq!(cluster.exited(host), Some(0), "host {host}");
    }
}
