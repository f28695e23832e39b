//! Whole sessions, every message of a request in order.

mod common;

use std::time::Duration;

use common::{Cluster, booking, completion, ready, target::Target};
use node::{Caller, Tag};
use wire::HostId;

const LIMIT: Duration = Duration::from_secs(60);
const SETTLE: Duration = Duration::from_secs(6);
const MODEL: &str = "base@a@v1";

/// Five hosts of which three have disks, and targets; recording has begun.
fn cluster(targets: Vec<Target>) -> Cluster {
    let mut cluster = ready(5, 3);
    for target in targets {
        cluster.add_target(target);
    }
    cluster.run(SETTLE);
    cluster.trace = Some(Vec::new());
    cluster
}

/// A host that neither leads nor owns one of the targets.
fn bystander(cluster: &Cluster) -> HostId {
    let leader = cluster.leader();
    let owners: Vec<_> = cluster.targets.iter().map(|target| cluster.owner(&target.name)).collect();
    let free = (1..=5).rev().find(|&id| Some(id) != leader && !owners.contains(&Some(id)));
    free.expect("five hosts are enough")
}

fn note(cluster: &mut Cluster, text: &str) {
    let line = format!("--- {text}");
    cluster.trace.get_or_insert_default().push(line);
}

fn ask(cluster: &mut Cluster, host: HostId, caller: Caller) -> (HostId, Tag) {
    let key = cluster.request(host, caller);
    assert!(cluster.run_until(LIMIT, |it| it.told[&key].ended()));
    key
}

fn session(cluster: Cluster) -> String {
    let mut lines = cluster.trace.unwrap_or_default();
    lines.push("--- executions".to_owned());
    for target in &cluster.targets {
        for run in &target.executions {
            let body = String::from_utf8_lossy(&run.body).into_owned();
            lines.push(format!("{}: {} {body:?}, ended {}", target.name, run.ran, run.ended));
        }
    }
    lines.join("\n")
}

#[test]
fn a_cold_adapter_then_a_warm_one() {
    let mut cluster = cluster(vec![Target::engine("e1", 1, true)]);
    let entry = bystander(&cluster);
    note(&mut cluster, "cold");
    ask(&mut cluster, entry, completion(MODEL, "first"));
    note(&mut cluster, "warm");
    ask(&mut cluster, entry, completion(MODEL, "second"));
    insta::assert_snapshot!(session(cluster));
}

#[test]
fn a_cold_adapter_on_a_target_without_fencing() {
    let mut cluster = cluster(vec![Target::engine("e1", 1, false)]);
    let entry = bystander(&cluster);
    ask(&mut cluster, entry, completion(MODEL, "first"));
    insta::assert_snapshot!(session(cluster));
}

#[test]
fn a_stream_is_resumed() {
    let mut cluster = cluster(vec![Target::engine("e1", 1, true)]);
    let entry = bystander(&cluster);
    let key = cluster.request(entry, Caller { stream: true, ..completion(MODEL, "story") });
    assert!(cluster.run_until(LIMIT, |it| !it.told[&key].body.is_empty()));
    note(&mut cluster, "the connection to the target breaks");
    cluster.break_target(0);
    assert!(cluster.run_until(LIMIT, |it| it.told[&key].ended()));
    insta::assert_snapshot!(session(cluster));
}

#[test]
fn a_lost_answer_is_not_run_again_at_another_host() {
    let mut cluster = cluster(vec![Target::service("s1", 1)]);
    let entry = bystander(&cluster);
    cluster.targets[0].drop_answer = Some("deposit".to_owned());
    ask(&mut cluster, entry, booking("k1", "deposit"));
    cluster.targets[0].drop_answer = None;
    note(&mut cluster, "the caller sends it again to another host");
    let other = entry % 5 + 1;
    ask(&mut cluster, other, booking("k1", "deposit"));
    note(&mut cluster, "and another body under the same key");
    ask(&mut cluster, other, booking("k1", "refund"));
    insta::assert_snapshot!(session(cluster));
}

#[test]
fn a_known_answer_is_replayed_by_another_host() {
    let mut cluster = cluster(vec![Target::service("s1", 1)]);
    let entry = bystander(&cluster);
    ask(&mut cluster, entry, booking("k1", "deposit"));
    note(&mut cluster, "the entry is killed, the caller sends it again to another host");
    cluster.kill(entry);
    ask(&mut cluster, entry % 5 + 1, booking("k1", "deposit"));
    insta::assert_snapshot!(session(cluster));
}

#[test]
fn the_owner_changes_in_the_middle_of_a_stream() {
    let mut engine = Target::engine("e1", 1, true);
    engine.pieces = 4;
    let mut cluster = cluster(vec![engine]);
    let entry = bystander(&cluster);
    let key = cluster.request(entry, Caller { stream: true, ..completion(MODEL, "story") });
    assert!(cluster.run_until(LIMIT, |it| !it.told[&key].body.is_empty()));
    note(&mut cluster, "the owner is killed");
    let owner = cluster.owner("e1").expect("owned");
    cluster.kill(owner);
    assert!(cluster.run_until(LIMIT, |it| it.told[&key].ended()));
    insta::assert_snapshot!(session(cluster));
}

#[test]
fn a_target_leaves() {
    let mut cluster = cluster(vec![Target::engine("e1", 1, true), Target::engine("e2", 2, true)]);
    let entry = bystander(&cluster);
    ask(&mut cluster, entry, completion(MODEL, "first"));
    let place = cluster.targets.iter().position(|target| target.runs("first") == 1);
    let place = place.expect("one ran it");
    note(&mut cluster, "the target that ran it says that it leaves");
    cluster.targets[place].leaving = true;
    cluster.run(Duration::from_secs(2));
    ask(&mut cluster, entry, completion(MODEL, "second"));
    assert_eq!(cluster.targets[place].runs("second"), 0);
    insta::assert_snapshot!(session(cluster));
}

#[test]
fn a_request_crashes_its_targets() {
    let mut cluster = cluster(vec![Target::engine("e1", 1, true), Target::engine("e2", 2, true)]);
    cluster.revival = Some(Duration::from_secs(1));
    let entry = bystander(&cluster);
    for host in [entry, entry % 5 + 1, entry] {
        ask(&mut cluster, host, completion(MODEL, "CRASH"));
        note(&mut cluster, "the caller sends it again");
    }
    cluster.run(Duration::from_secs(3));
    note(&mut cluster, "another caller's request");
    ask(&mut cluster, entry, completion(MODEL, "innocent"));
    let crashes: u32 = cluster.targets.iter().map(|target| target.crashes).sum();
    assert_eq!(crashes, 2);
    insta::assert_snapshot!(session(cluster));
}

/// The time of a key is the caller's to give: a host that filled in its own
/// would take a resend of a dropped key for a new call.
#[test]
fn a_key_without_its_time_is_refused() {
    let mut cluster = cluster(vec![Target::service("s1", 1)]);
    let entry = bystander(&cluster);
    let key = ask(&mut cluster, entry, Caller { made: None, ..booking("k1", "deposit") });
    let fault = cluster.told[&key].fault.clone().map(|fault| fault.kind);
    assert_eq!(fault, Some(wire::ErrorKind::KeyMissing));
    assert_eq!(cluster.targets[0].runs("deposit"), 0);
}
