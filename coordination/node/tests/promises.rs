//! What must hold under one fault each, brought about on purpose.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Cluster, booking, completion, ready, target::Target};
use node::{CallFailure, Input};
use wire::{Answer, ErrorKind, Head, PeerMsg, Piece, Ran};

const LIMIT: Duration = Duration::from_secs(60);
const SETTLE: Duration = Duration::from_secs(6);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn slow_engine(name: &str, last: u8, fenced: bool, adapters: u32) -> Target {
    let mut target = Target::engine(name, last, fenced);
    target.info.capacity.adapters = adapters;
    target.pieces = 100;
    target.pace = Duration::from_millis(150);
    target
}

fn with_engine(engine: Target) -> Cluster {
    let mut cluster = ready(6, 3);
    cluster.add_target(engine);
    cluster.run(SETTLE);
    cluster
}

fn bystander(cluster: &Cluster, target: &str) -> u32 {
    let owner = cluster.owner(target);
    let leader = cluster.leader();
    let free = (1..=6).rev().find(|&id| Some(id) != owner && Some(id) != leader);
    free.expect("six hosts are enough")
}

/// The owner of a target's stream is lost; its successor is pressed to evict
/// the adapter that the stream still uses.
fn evict_pressure(fenced: bool, lose: fn(&mut Cluster, u32)) -> Cluster {
    let mut cluster = with_engine(slow_engine("e1", 1, fenced, 1));
    let entry = bystander(&cluster, "e1");
    let first = cluster.request(entry, completion("base@a@v1", "long"));
    assert!(cluster.run_until(LIMIT, |it| !it.told[&first].body.is_empty()));
    let owner = cluster.owner("e1").expect("owned");
    lose(&mut cluster, owner);
    assert!(cluster.run_until(LIMIT, |it| it.owner("e1") != Some(owner)));
    let second = cluster.request(entry, completion("base@b@v1", "next"));
    assert!(cluster.run_until(LIMIT, |it| it.told[&second].ended()));
    assert_eq!(cluster.told[&second].fault, None);
    cluster
}

#[test]
fn an_adapter_in_use_outlives_its_killed_owner() {
    let cluster = evict_pressure(true, |cluster, owner| cluster.kill(owner));
    assert_eq!(cluster.targets[0].violations, 0);
}

#[test]
fn an_adapter_in_use_outlives_its_frozen_owner_without_fencing() {
    let mut cluster = evict_pressure(false, |cluster, owner| cluster.freeze(owner));
    for id in 1..=6 {
        cluster.thaw(id);
    }
    cluster.run(seconds(20));
    assert_eq!(cluster.targets[0].violations, 0);
}

#[test]
fn a_late_order_of_a_former_owner_hits_no_adapter_in_use() {
    let mut cluster = with_engine(slow_engine("e1", 1, false, 1));
    let entry = bystander(&cluster, "e1");
    cluster.targets[0].pieces = 3;
    let first = cluster.request(entry, completion("base@a@v1", "first"));
    assert!(cluster.run_until(LIMIT, |it| it.told[&first].ended()));
    // The eviction of `a` is sent, and arrives long after its sender froze.
    let owner = cluster.owner("e1").expect("owned");
    cluster.late_orders.insert(owner, seconds(20));
    cluster.trace = Some(Vec::new());
    cluster.request(entry, completion("base@b@v1", "second"));
    let evicting = |it: &Cluster| it.trace.iter().flatten().any(|line| line.contains("Evict"));
    assert!(cluster.run_until(LIMIT, evicting));
    cluster.freeze(owner);
    cluster.targets[0].pieces = 200;
    assert!(cluster.run_until(LIMIT, |it| it.owner("e1") != Some(owner)));
    cluster.request(entry, completion("base@a@v1", "third"));
    cluster.run(seconds(30));
    assert_eq!(cluster.targets[0].violations, 0);
}

#[test]
fn a_crashing_request_is_stopped_after_two_crashes() {
    let mut cluster = ready(6, 3);
    for last in 1..=3 {
        let mut engine = Target::engine(&format!("e{last}"), last, true);
        engine.pace = Duration::from_millis(200);
        cluster.add_target(engine);
    }
    cluster.revival = Some(seconds(1));
    cluster.run(SETTLE);
    let mut innocent = Vec::new();
    for place in 0..4 {
        let key = cluster.request(6, completion("base@a@v1", &format!("innocent {place}")));
        innocent.push(key);
    }
    let mut last = None;
    for resend in 0..6 {
        let host = 1 + resend % 6;
        let key = cluster.request(host, completion("base@a@v1", "CRASH"));
        assert!(cluster.run_until(LIMIT, |it| it.told[&key].ended()));
        last = cluster.told[&key].fault.clone();
        cluster.run(seconds(2));
    }
    let crashes: u32 = cluster.targets.iter().map(|target| target.crashes).sum();
    assert_eq!(crashes, 2);
    assert_eq!(last.map(|fault| fault.kind), Some(ErrorKind::Quarantined));
    for key in innocent {
        assert!(cluster.run_until(LIMIT, |it| it.told[&key].ended()));
        let told = &cluster.told[&key];
        let cut = told.fault.as_ref().is_some_and(|_| !told.body.is_empty());
        assert!(told.whole || cut, "{:?}", told.fault);
    }
}

#[test]
fn a_leaving_target_gets_no_new_work() {
    let mut cluster = with_engine(Target::engine("e1", 1, true));
    let entry = bystander(&cluster, "e1");
    let first = cluster.request(entry, completion("base@a@v1", "first"));
    assert!(cluster.run_until(LIMIT, |it| it.told[&first].ended()));
    // Only its report says so; the target itself would still take work.
    let mut report = cluster.targets[0].report().expect("the target is up");
    report.leaving = true;
    let owner = cluster.owner("e1").expect("owned");
    cluster.input(owner, Input::Report(report));
    cluster.targets[0].name = "quiet".to_owned();
    cluster.run(Duration::from_millis(1));
    let second = cluster.request(entry, completion("base@a@v1", "second"));
    cluster.run(Duration::from_millis(250));
    assert_eq!(cluster.targets[0].runs("second"), 0);
    assert!(cluster.run_until(LIMIT, |it| it.told[&second].ended()));
}

#[test]
fn a_shutdown_cuts_no_stream() {
    let mut cluster = with_engine(slow_engine("e1", 1, true, 2));
    let owner = cluster.owner("e1").expect("owned");
    let entry = bystander(&cluster, "e1");
    let far = cluster.request(entry, completion("base@a@v1", "far"));
    let near = cluster.request(owner, completion("base@a@v1", "near"));
    assert!(cluster.run_until(LIMIT, |it| !it.told[&far].body.is_empty()));
    assert!(cluster.run_until(LIMIT, |it| !it.told[&near].body.is_empty()));
    cluster.input(owner, Input::Shutdown);
    assert!(cluster.run_until(LIMIT, |it| it.exited(owner).is_some()));
    assert_eq!(cluster.exited(owner), Some(0));
    assert!(cluster.told[&far].whole && cluster.told[&near].whole);
    let refused = cluster.request(owner, completion("base@a@v1", "late"));
    assert!(cluster.run_until(LIMIT, |it| it.told[&refused].ended()));
    let fault = cluster.told[&refused].fault.clone().expect("a leaving host admits nothing");
    assert_eq!(fault.kind, ErrorKind::Leaving);
}

#[test]
fn a_caller_who_leaves_frees_the_target() {
    let mut cluster = with_engine(slow_engine("e1", 1, true, 2));
    let entry = bystander(&cluster, "e1");
    let key = cluster.request(entry, completion("base@a@v1", "long"));
    assert!(cluster.run_until(LIMIT, |it| !it.told[&key].body.is_empty()));
    cluster.input(entry, Input::Gone(key.1));
    cluster.run(Duration::from_millis(50));
    assert_eq!(cluster.targets[0].running(), 0);
}

#[test]
fn a_piece_out_of_order_is_never_passed_on() {
    let mut cluster = with_engine(slow_engine("e1", 1, true, 2));
    let entry = bystander(&cluster, "e1");
    let owner = cluster.owner("e1").expect("owned");
    let key = cluster.request(entry, completion("base@a@v1", "long"));
    assert!(cluster.run_until(LIMIT, |it| !it.told[&key].body.is_empty()));
    let request = cluster.targets[0].executions[0].request;
    let had = cluster.told[&key].body.len();
    let piece = Piece { request, offset: 999, bytes: Bytes::from_static(b"other"), last: true };
    let msg = PeerMsg::Answer(Answer::Piece(piece));
    cluster.input(entry, Input::Peer { from: owner, msg });
    assert!(cluster.run_until(LIMIT, |it| it.told[&key].ended()));
    let told = &cluster.told[&key];
    assert_eq!(told.body.len(), had);
    assert_eq!(told.fault.as_ref().map(|fault| fault.kind), Some(ErrorKind::WrongAnswer));
}

#[test]
fn an_answer_of_an_earlier_attempt_is_dropped() {
    let mut cluster = with_engine(slow_engine("e1", 1, true, 2));
    cluster.add_target(slow_engine("e2", 2, true, 2));
    cluster.run(SETTLE);
    let entry = bystander(&cluster, "e1");
    let key = cluster.request(entry, completion("base@a@v1", "long"));
    assert!(cluster.run_until(LIMIT, |it| !it.targets[0].executions.is_empty()
        || !it.targets[1].executions.is_empty()));
    let place = usize::from(cluster.targets[0].executions.is_empty());
    let request = cluster.targets[place].executions[0].request;
    let owner = cluster.owner(&cluster.targets[place].name.clone()).expect("owned");
    cluster.kill(owner);
    let resent = |it: &Cluster| it.targets.iter().map(|t| t.runs("long")).sum::<usize>() > 1;
    assert!(cluster.run_until(LIMIT, resent));
    let ran = "base@b@v1".to_owned();
    let head = Head { request, status: 200, target: "e9".to_owned(), ran };
    cluster.input(entry, Input::Peer { from: owner, msg: PeerMsg::Answer(Answer::Head(head)) });
    assert!(cluster.run_until(LIMIT, |it| it.told[&key].ended()));
    assert_eq!(cluster.told[&key].ran, "base@a@v1");
    assert!(cluster.told[&key].whole);
}

#[test]
fn an_answer_of_another_adapter_is_an_error() {
    let mut cluster = with_engine(slow_engine("e1", 1, true, 2));
    let owner = cluster.owner("e1").expect("owned");
    let entry = bystander(&cluster, "e1");
    let key = cluster.request(entry, completion("base@a@v1", "long"));
    assert!(cluster.run_until(LIMIT, |it| it.targets[0].runs("long") == 1));
    let request = cluster.targets[0].executions[0].request;
    let ran = "base@b@v1".to_owned();
    let head = Input::CallHead { request, status: 200, ran, incarnation: 1 };
    cluster.input(owner, head);
    cluster.run(Duration::from_millis(1));
    assert!(cluster.run_until(LIMIT, |it| it.told[&key].ended()));
    let told = &cluster.told[&key];
    assert!(told.ran.is_empty() || told.ran == "base@a@v1");
}

#[test]
fn a_refusal_before_running_is_told_as_not_run() {
    let mut cluster = ready(6, 3);
    cluster.add_target(Target::service("s1", 1));
    cluster.run(SETTLE);
    cluster.targets[0].info.capacity.requests = 0;
    cluster.run(seconds(1));
    let key = cluster.request(6, booking("k", "deposit"));
    assert!(cluster.run_until(LIMIT, |it| it.told[&key].ended()));
    let fault = cluster.told[&key].fault.clone().expect("no room");
    assert_eq!(fault.kind.row().ran, Ran::No);
    cluster.targets[0].info.capacity.requests = 4;
    cluster.run(seconds(4));
    let again = cluster.request(5, booking("k", "deposit"));
    assert!(cluster.run_until(LIMIT, |it| it.told[&again].ended()));
    assert!(cluster.told[&again].whole, "{:?}", cluster.told[&again].fault);
    assert_eq!(cluster.targets[0].runs("deposit"), 1);
}

#[test]
fn a_key_with_another_body_is_refused() {
    let mut cluster = ready(6, 3);
    cluster.add_target(Target::service("s1", 1));
    cluster.run(SETTLE);
    let first = cluster.request(6, booking("k", "deposit"));
    assert!(cluster.run_until(LIMIT, |it| it.told[&first].ended()));
    let other = cluster.request(5, booking("k", "other"));
    assert!(cluster.run_until(LIMIT, |it| it.told[&other].ended()));
    let kind = cluster.told[&other].fault.as_ref().map(|fault| fault.kind);
    assert_eq!(kind, Some(ErrorKind::KeyReused));
    assert_eq!(cluster.targets[0].runs("other"), 0);
}

#[test]
fn a_publish_is_in_force_everywhere_or_the_laggard_admits_nothing() {
    let mut cluster = with_engine(Target::engine("e1", 1, true));
    cluster.isolate(6);
    let text = common::NOTES.replace("version = 1", "version = 2").replace("a = v1", "a = v2");
    let began = cluster.now;
    let tag = cluster.publish(1, &[("notes.ini", &text)]);
    assert!(cluster.run_until(LIMIT, |it| it.published.contains_key(&tag)));
    let published = cluster.published[&tag].clone().expect("accepted");
    assert!(published.domains.iter().all(|domain| domain.lagging == 0));
    assert!(cluster.now - began <= seconds(3 + 5));
    assert!(!cluster.node(6).status(cluster.now).lease);
    let cut = cluster.request(6, completion("base@a@v1", "while cut off"));
    cluster.run(Duration::from_millis(1));
    let fault = cluster.told[&cut].fault.clone().expect("a host without a lease admits nothing");
    assert_eq!(fault.kind, ErrorKind::NoLease);
    cluster.heal();
    cluster.run(seconds(5));
    let old = cluster.request(6, completion("base@a@v1", "old version"));
    assert!(cluster.run_until(LIMIT, |it| it.told[&old].ended()));
    let kind = cluster.told[&old].fault.as_ref().map(|fault| fault.kind);
    assert_eq!(kind, Some(ErrorKind::WrongVersion));
}

#[test]
fn a_broken_connection_is_resumed_where_it_broke() {
    let mut cluster = with_engine(slow_engine("e1", 1, true, 2));
    let entry = bystander(&cluster, "e1");
    let key = cluster.request(entry, completion("base@a@v1", "long"));
    assert!(cluster.run_until(LIMIT, |it| it.told[&key].body.len() > 100));
    cluster.break_target(0);
    assert!(cluster.run_until(LIMIT, |it| it.told[&key].ended()));
    assert!(cluster.told[&key].whole);
    let expected: String = (0..100).map(|place| format!("[base@a@v1 {place}]")).collect();
    assert_eq!(String::from_utf8_lossy(&cluster.told[&key].body), expected);
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
    // Nobody is left to take the target over; the drain limit is 30 s.
    cluster.run(seconds(10));
    for host in 1..=6 {
        assert_eq!(cluster.exited(host), Some(0), "host {host}");
    }
}
