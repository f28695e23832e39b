//! What a host that shuts down leaves behind: its targets get their next owners.

mod common;

use std::time::Duration;

use common::{Cluster, NOTES, booking, completion, ready, target::Target};
use node::Input;
use wire::{ErrorKind, HostId};

const TIMEOUT: Duration = Duration::from_secs(60);
const SETTLE: Duration = Duration::from_secs(6);
/// The length of a lease. A target whose owner is killed waits at least that long.
const LEASE: Duration = Duration::from_secs(3);
const HOSTS: HostId = 4;
const VOTERS: HostId = 3;

/// Shuts a host down and ends its process as soon as it has nothing left to do. Returns how long that took.
fn leave(cluster: &mut Cluster, host: HostId) -> Duration {
    let since = cluster.now;
    cluster.input(host, Input::Shutdown);
    assert!(cluster.run_until(TIMEOUT, |it| it.exited(host).is_some()), "host {host} goes on");
    cluster.kill(host);
    cluster.now - since
}

fn has_running_owner(cluster: &Cluster) -> bool {
    cluster.owner("e1").is_some_and(|owner| cluster.is_running(owner))
}

/// Starts hosts with a target of the failure domain with a number.
fn with_target(domain: u8) -> (Cluster, HostId) {
    let mut cluster = ready(HOSTS, VOTERS);
    cluster.add_target(Target::engine("e1", domain, true));
    cluster.run(SETTLE);
    let owner = cluster.owner("e1").expect("the target is owned");
    (cluster, owner)
}

/// Guards against a leaving voter that ends once it has released its targets: the next owner can't be committed
/// without its vote, so the targets stay without an owner. Load pattern: no requests; one of three voters has
/// left, then the owner leaves, which is one of the other two.
#[test]
fn a_voter_that_leaves_stays_until_its_targets_have_their_next_owner() {
    let mut failed = Vec::new();
    let mut played = 0;
    for domain in 1..=3 {
        for first in 1..=VOTERS {
            let (mut cluster, owner) = with_target(domain);
            if owner == first || owner > VOTERS {
                continue;
            }
            leave(&mut cluster, first);
            cluster.run(SETTLE);
            let leader = cluster.leader();
            let took = leave(&mut cluster, owner);
            cluster.run(SETTLE);
            played += 1;
            if !has_running_owner(&cluster) {
                failed.push((first, owner, leader, took));
            }
        }
    }
    assert!(played >= 6, "{played} orders of leaving were played");
    assert_eq!(failed, [], "first host, owner, leader, time until the owner ended");
}

/// Guards against targets that wait for the leases of an earlier leader before their leaving owner may release
/// them: the leaving host's grace time passes meanwhile. Load pattern: no requests; the leader is killed, and
/// the owner of a target is told to leave at that moment.
#[test]
fn a_leaving_host_hands_its_targets_over_while_earlier_leases_run() {
    let mut took = Vec::new();
    for domain in 1..=3 {
        let (mut cluster, owner) = with_target(domain);
        let Some(leader) = cluster.leader().filter(|&leader| leader != owner) else { continue };
        cluster.kill(leader);
        let since = cluster.now;
        cluster.input(owner, Input::Shutdown);
        let moved =
            cluster.run_until(TIMEOUT, |it| it.owner("e1").is_some_and(|host| host != owner));
        assert!(moved, "the target has no next owner");
        took.push((owner, cluster.now - since));
    }
    assert!(!took.is_empty(), "the leader owns all targets");
    assert!(took.iter().all(|(_, time)| *time < LEASE), "owners and times: {took:?}");
}

/// Guards against a host that ends beside an operator's publish, which then gets no answer. Load pattern: a
/// publish, and the order to shut down right after it, at a host without targets and requests.
#[test]
fn a_publish_in_progress_is_answered_before_the_host_ends() {
    for host in 1..=HOSTS {
        let mut cluster = ready(HOSTS, VOTERS);
        cluster.run(SETTLE);
        let text = NOTES.replace("version = 1", "version = 2");
        let tag = cluster.publish(host, &[("notes.ini", &text)]);
        leave(&mut cluster, host);
        let result = cluster.published.get(&tag);
        assert!(matches!(result, Some(Ok(_))), "host {host}: {result:?}");
    }
}

/// Guards against a publish that a leaving host takes and can't finish. Load pattern: a publish after the order to
/// shut down, while a request keeps the host.
#[test]
fn a_leaving_host_refuses_publishes() {
    let mut cluster = with_slow_targets();
    let request = cluster.request(HOSTS, completion("base@a@v1", "long"));
    assert!(cluster.run_until(TIMEOUT, |it| !it.responses[&request].body.is_empty()));
    cluster.input(HOSTS, Input::Shutdown);
    let tag = cluster.publish(HOSTS, &[("notes.ini", NOTES)]);
    assert!(cluster.run_until(TIMEOUT, |it| it.published.contains_key(&tag)));
    let kind = cluster.published[&tag].as_ref().err().map(|fault| fault.kind);
    assert_eq!(kind, Some(ErrorKind::Leaving));
}

/// Starts hosts with an engine and a service whose answers take a minute, longer than the grace time of 30 s.
fn with_slow_targets() -> Cluster {
    let mut cluster = ready(HOSTS, VOTERS);
    for mut target in [Target::engine("e1", 2, true), Target::service("s1", 3)] {
        target.pieces = 100;
        target.piece_interval = Duration::from_millis(600);
        cluster.add_target(target);
    }
    cluster.run(SETTLE);
    cluster
}

/// Guards against callers who get a closed connection because the grace time ends before their answers do. Load
/// pattern: a stream and a call that may run once, of a minute each, at an entry host that is told to leave.
#[test]
fn callers_are_answered_when_the_grace_time_ends() {
    let mut cluster = with_slow_targets();
    let stream = cluster.request(HOSTS, completion("base@a@v1", "long"));
    let mut pay = booking("key", "pay");
    pay.deadline = Some(Duration::from_secs(90));
    let call = cluster.request(HOSTS, pay);
    assert!(cluster.run_until(TIMEOUT, |it| !it.responses[&stream].body.is_empty()));
    leave(&mut cluster, HOSTS);
    let kinds = [stream, call].map(|it| cluster.responses[&it].fault.as_ref().map(|it| it.kind));
    assert_eq!(kinds, [Some(ErrorKind::TimedOut), Some(ErrorKind::InDoubt)]);
    assert_eq!(cluster.exited(HOSTS), Some(2));
}
