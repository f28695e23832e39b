//! Random schedules of faults with three to five voters and an observer.

mod harness;

use std::time::Duration;

use harness::Cluster;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use replog::Input;
use wire::Role;

/// One step of a schedule. A host number is taken modulo the number of hosts.
#[derive(Debug, Clone)]
enum Step {
    /// Runs for a time in milliseconds.
    Wait(u16),
    Propose(u8),
    Crash(u32),
    Restart(u32),
    LoseDisk(u32),
    Isolate(u32),
    Reconnect(u32),
    Pause(u32),
    Resume(u32),
    Link {
        /// In percent.
        loss: u8,
        /// In percent.
        duplicate: u8,
        /// In milliseconds.
        jitter: u8,
    },
    /// The duration of a sync, in milliseconds.
    SyncTime(u8),
    /// The hosts that should vote; bit n stands for host n.
    SetVoters(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let host = u32::arbitrary(g) % 16;
        match u8::arbitrary(g) % 21 {
            0..4 => Step::Wait(u16::arbitrary(g) % 3000),
            4..9 => Step::Propose(u8::arbitrary(g) % 40),
            9 | 10 => Step::Crash(host),
            11 | 12 => Step::Restart(host),
            13 => Step::LoseDisk(host),
            14 => Step::Isolate(host),
            15 => Step::Reconnect(host),
            16 => Step::Pause(host),
            17 => Step::Resume(host),
            18 => Step::Link {
                loss: u8::arbitrary(g) % 20,
                duplicate: u8::arbitrary(g) % 20,
                jitter: u8::arbitrary(g) % 40,
            },
            19 => Step::SetVoters(u8::arbitrary(g)),
            _ => Step::SyncTime(u8::arbitrary(g) % 60),
        }
    }
}

/// Replaces a voter's disk by an empty one if the group can tolerate it: all hosts have the same
/// membership, and the voters whose disks remain are a majority.
fn lose_disk(cluster: &mut Cluster, host: u32) {
    let Some(leader) = cluster.leader() else { return };
    let members = cluster.status(leader).members.members;
    let has_voter_disk = |host: u32, voter: u64| {
        let disk = cluster.hosts[&host].disk.as_ref();
        disk.is_some_and(|d| d.synced.disk == voter)
    };
    let voters: Vec<_> = members.iter().filter(|m| m.role == Role::Voter).collect();
    let settled = cluster.hosts.values().filter_map(|h| h.replica.as_ref());
    let settled = settled.map(|r| r.status().members).all(|m| m.members == members);
    let lost = voters.iter().filter(|m| !has_voter_disk(m.host, m.disk)).count();
    let is_voter = voters.iter().any(|m| m.host == host && has_voter_disk(m.host, m.disk));
    if !settled || !is_voter || lost + 1 > (voters.len() - 1) / 2 {
        return;
    }
    cluster.crash(host);
    cluster.new_disk(host);
    cluster.start(host);
}

/// Returns whether a schedule with this seed may contain a step. Odd seeds change the voters and
/// even seeds lose disks: removing a voter at the moment another's disk is lost would take away two
/// voters at once, which no group of three survives.
fn is_allowed(step: &Step, seed: u64) -> bool {
    match step {
        Step::SetVoters(_) => seed % 2 == 1,
        Step::LoseDisk(_) => seed.is_multiple_of(2),
        _ => true,
    }
}

fn perform(cluster: &mut Cluster, step: &Step, count: &mut u32) {
    let hosts = cluster.hosts.len() as u32;
    let pick = |h: &u32| h % hosts + 1;
    match step {
        Step::Wait(ms) => cluster.run(Duration::from_millis(u64::from(*ms))),
        Step::Propose(n) => {
            for _ in 0..*n {
                *count += 1;
                cluster.propose(&format!("entry {count}"));
                cluster.run(Duration::from_millis(u64::from(*count % 3)));
            }
        }
        Step::Crash(h) => cluster.crash(pick(h)),
        Step::Restart(h) => {
            cluster.crash(pick(h));
            cluster.start(pick(h));
        }
        Step::LoseDisk(h) => lose_disk(cluster, pick(h)),
        Step::Isolate(h) => {
            cluster.isolated.insert(pick(h));
        }
        Step::Reconnect(h) => {
            cluster.isolated.remove(&pick(h));
        }
        Step::Pause(h) => cluster.pause(pick(h)),
        Step::Resume(h) => cluster.resume(pick(h)),
        Step::Link { loss, duplicate, jitter } => {
            cluster.link.loss = f64::from(*loss) / 100.0;
            cluster.link.duplicate = f64::from(*duplicate) / 100.0;
            cluster.link.jitter = Duration::from_millis(u64::from(*jitter));
        }
        Step::SetVoters(bits) => {
            let desired = (1..hosts).filter(|h| bits >> h & 1 == 1).collect::<Vec<_>>();
            if let Some(leader) = cluster.leader().filter(|_| !desired.is_empty()) {
                cluster.input(leader, Input::SetVoters(desired));
            }
        }
        Step::SyncTime(ms) => cluster.sync_time = Duration::from_millis(u64::from(*ms)),
    }
}

/// Performs a schedule, ends crashes, pauses, isolation and message loss, and checks that writes
/// succeed and all hosts converge.
fn survives_faults(seed: u64, steps: Vec<Step>) -> bool {
    let voters = 3 + (seed % 3) as u32;
    let mut cluster = Cluster::new(seed, voters, 1);
    let mut count = 0;
    if seed.is_multiple_of(4) {
        // Faults may begin before the founding.
        cluster.run(Duration::from_millis(seed % 3000));
    } else {
        cluster.await_leader();
    }
    for step in steps.iter().filter(|s| is_allowed(s, seed)) {
        perform(&mut cluster, step, &mut count);
    }
    clear_faults(&mut cluster);
    cluster.await_leader();
    cluster.propose("last");
    cluster.run(Duration::from_secs(20));
    assert_eq!(
        cluster.data().last().map(String::as_str),
        Some("last"),
        "writes succeed after the faults"
    );
    cluster.check_converged();
    true
}

/// Ends crashes, pauses, isolation and message loss, and waits. Duplication, jitter and slow syncs
/// stay.
fn clear_faults(cluster: &mut Cluster) {
    cluster.isolated.clear();
    cluster.link.loss = 0.0;
    for host in cluster.hosts.keys().copied().collect::<Vec<_>>() {
        if cluster.hosts[&host].replica.is_none() {
            cluster.start(host);
        }
        cluster.resume(host);
    }
    cluster.run(Duration::from_secs(20));
}

fn check(seed: u64, tests: u64) {
    let check = survives_faults as fn(u64, Vec<Step>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(80, seed)).tests(tests).quickcheck(check);
}

#[test]
fn holds_under_random_faults_1() {
    check(1, 40);
}

#[test]
fn holds_under_random_faults_2() {
    check(2, 40);
}

#[test]
fn holds_under_random_faults_3() {
    check(3, 40);
}
