//! Golden traces: every message of a request, in order, in whole sessions.

mod common;

use std::time::Duration;

use common::{Cluster, booking, completion, ready, target::Target};
use node::{CallerRequest, Tag};
use wire::HostId;

const TIMEOUT: Duration = Duration::from_secs(60);
const SETTLE: Duration = Duration::from_secs(6);
const MODEL: &str = "base@a@v1";

/// Returns five hosts, three of them with disks, and the targets, with the trace switched on.
fn cluster(targets: Vec<Target>) -> Cluster {
    let mut cluster = ready(5, 3);
    for target in targets {
        cluster.add_target(target);
    }
    cluster.run(SETTLE);
    cluster.trace = Some(Vec::new());
    cluster
}

/// Returns a host that is neither the leader nor the owner of a target.
fn uninvolved_host(cluster: &Cluster) -> HostId {
    let leader = cluster.leader();
    let owners: Vec<_> = cluster.targets.iter().map(|target| cluster.owner(&target.name)).collect();
    let free = (1..=5).rev().find(|&id| Some(id) != leader && !owners.contains(&Some(id)));
    free.expect("five hosts are enough")
}

/// Adds a separator with a remark to the trace.
fn mark(cluster: &mut Cluster, text: &str) {
    let line = format!("--- {text}");
    cluster.trace.get_or_insert_default().push(line);
}

/// Sends a request and waits until its answer has ended.
fn request_and_wait(cluster: &mut Cluster, host: HostId, caller: CallerRequest) -> (HostId, Tag) {
    let key = cluster.request(host, caller);
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
    key
}

/// Returns the trace and the executions at the targets.
fn session(cluster: Cluster) -> String {
    let mut lines = cluster.trace.unwrap_or_default();
    lines.push("--- executions".to_owned());
    for target in &cluster.targets {
        for execution in &target.executions {
            let body = String::from_utf8_lossy(&execution.body).into_owned();
            lines.push(format!(
                "{}: {} {body:?}, ended {}",
                target.name, execution.ran, execution.ended
            ));
        }
    }
    lines.join("\n")
}

#[test]
fn a_cold_adapter_then_a_warm_one() {
    let mut cluster = cluster(vec![Target::engine("e1", 1, true)]);
    let entry = uninvolved_host(&cluster);
    mark(&mut cluster, "cold");
    request_and_wait(&mut cluster, entry, completion(MODEL, "first"));
    mark(&mut cluster, "warm");
    request_and_wait(&mut cluster, entry, completion(MODEL, "second"));
    insta::assert_snapshot!(session(cluster));
}

#[test]
fn a_cold_adapter_on_a_target_without_fencing() {
    let mut cluster = cluster(vec![Target::engine("e1", 1, false)]);
    let entry = uninvolved_host(&cluster);
    request_and_wait(&mut cluster, entry, completion(MODEL, "first"));
    insta::assert_snapshot!(session(cluster));
}

#[test]
fn a_stream_is_resumed() {
    let mut cluster = cluster(vec![Target::engine("e1", 1, true)]);
    let entry = uninvolved_host(&cluster);
    let key = cluster.request(entry, CallerRequest { stream: true, ..completion(MODEL, "story") });
    assert!(cluster.run_until(TIMEOUT, |it| !it.responses[&key].body.is_empty()));
    mark(&mut cluster, "the connection to the target breaks");
    cluster.break_connections_of(0);
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
    insta::assert_snapshot!(session(cluster));
}

#[test]
fn a_lost_answer_is_not_run_again_at_another_host() {
    let mut cluster = cluster(vec![Target::service("s1", 1)]);
    let entry = uninvolved_host(&cluster);
    cluster.targets[0].drop_answer = Some("deposit".to_owned());
    request_and_wait(&mut cluster, entry, booking("k1", "deposit"));
    cluster.targets[0].drop_answer = None;
    mark(&mut cluster, "the caller sends it again to another host");
    let other = entry % 5 + 1;
    request_and_wait(&mut cluster, other, booking("k1", "deposit"));
    mark(&mut cluster, "and another body under the same key");
    request_and_wait(&mut cluster, other, booking("k1", "refund"));
    insta::assert_snapshot!(session(cluster));
}

#[test]
fn a_known_answer_is_replayed_by_another_host() {
    let mut cluster = cluster(vec![Target::service("s1", 1)]);
    let entry = uninvolved_host(&cluster);
    request_and_wait(&mut cluster, entry, booking("k1", "deposit"));
    mark(&mut cluster, "the entry is killed, the caller sends it again to another host");
    cluster.kill(entry);
    request_and_wait(&mut cluster, entry % 5 + 1, booking("k1", "deposit"));
    insta::assert_snapshot!(session(cluster));
}

#[test]
fn the_owner_changes_in_the_middle_of_a_stream() {
    let mut engine = Target::engine("e1", 1, true);
    engine.pieces = 4;
    let mut cluster = cluster(vec![engine]);
    let entry = uninvolved_host(&cluster);
    let key = cluster.request(entry, CallerRequest { stream: true, ..completion(MODEL, "story") });
    assert!(cluster.run_until(TIMEOUT, |it| !it.responses[&key].body.is_empty()));
    mark(&mut cluster, "the owner is killed");
    let owner = cluster.owner("e1").expect("owned");
    cluster.kill(owner);
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
    insta::assert_snapshot!(session(cluster));
}

#[test]
fn a_target_leaves() {
    let mut cluster = cluster(vec![Target::engine("e1", 1, true), Target::engine("e2", 2, true)]);
    let entry = uninvolved_host(&cluster);
    request_and_wait(&mut cluster, entry, completion(MODEL, "first"));
    let idx = cluster.targets.iter().position(|target| target.runs("first") == 1);
    let idx = idx.expect("one of the targets ran it");
    mark(&mut cluster, "the target that ran it reports that it is leaving");
    cluster.targets[idx].leaving = true;
    cluster.run(Duration::from_secs(2));
    request_and_wait(&mut cluster, entry, completion(MODEL, "second"));
    assert_eq!(cluster.targets[idx].runs("second"), 0);
    insta::assert_snapshot!(session(cluster));
}

#[test]
fn a_request_crashes_its_targets() {
    let mut cluster = cluster(vec![Target::engine("e1", 1, true), Target::engine("e2", 2, true)]);
    cluster.restart_delay = Some(Duration::from_secs(1));
    let entry = uninvolved_host(&cluster);
    for host in [entry, entry % 5 + 1, entry] {
        request_and_wait(&mut cluster, host, completion(MODEL, "CRASH"));
        mark(&mut cluster, "the caller sends it again");
    }
    cluster.run(Duration::from_secs(3));
    mark(&mut cluster, "another caller's request");
    request_and_wait(&mut cluster, entry, completion(MODEL, "innocent"));
    let crashes: u32 = cluster.targets.iter().map(|target| target.crashes).sum();
    assert_eq!(crashes, 2);
    insta::assert_snapshot!(session(cluster));
}

/// Only the caller may set the time of a key: a host that filled in its own time would treat a
/// resend whose key is no longer stored as a new call.
#[test]
fn a_key_without_its_time_is_refused() {
    let mut cluster = cluster(vec![Target::service("s1", 1)]);
    let entry = uninvolved_host(&cluster);
    let key = request_and_wait(
        &mut cluster,
        entry,
        CallerRequest { key_made_ms: None, ..booking("k1", "deposit") },
    );
    let fault = cluster.responses[&key].fault.clone().map(|fault| fault.kind);
    assert_eq!(fault, Some(wire::ErrorKind::KeyMissing));
    assert_eq!(cluster.targets[0].runs("deposit"), 0);
}
