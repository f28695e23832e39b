//! Random schedules of faults over three to five voters and an observer.

mod harness;

use std::time::Duration;

use harness::World;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use replog::Input;
use wire::Role;

/// One step of a schedule. Hosts are taken modulo their number.
#[derive(Debug, Clone)]
enum Step {
    Wait(u16),
    Propose(u8),
    Crash(u32),
    Restart(u32),
    LoseDisk(u32),
    Cut(u32),
    Heal(u32),
    Freeze(u32),
    Thaw(u32),
    Link {
        loss: u8,
        twice: u8,
        jitter: u8,
    },
    Sync(u8),
    /// The voters wanted, as bits.
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
            14 => Step::Cut(host),
            15 => Step::Heal(host),
            16 => Step::Freeze(host),
            17 => Step::Thaw(host),
            18 => Step::Link {
                loss: u8::arbitrary(g) % 20,
                twice: u8::arbitrary(g) % 20,
                jitter: u8::arbitrary(g) % 40,
            },
            19 => Step::SetVoters(u8::arbitrary(g)),
            _ => Step::Sync(u8::arbitrary(g) % 60),
        }
    }
}

/// Loses a disk if the group can bear it: the voters left have a majority and
/// the membership is settled.
fn lose_disk(world: &mut World, host: u32) {
    let Some(leader) = world.leader() else { return };
    let members = world.status(leader).members.members;
    let is_whole = |host: u32, voter: u64| {
        let disk = world.hosts[&host].disk.as_ref();
        disk.is_some_and(|d| d.synced.voter == voter)
    };
    let voters: Vec<_> = members.iter().filter(|m| m.role == Role::Voter).collect();
    let settled = world.hosts.values().filter_map(|h| h.replica.as_ref());
    let settled = settled.map(|r| r.status().members).all(|m| m.members == members);
    let lost = voters.iter().filter(|m| !is_whole(m.host, m.voter)).count();
    let is_voter = voters.iter().any(|m| m.host == host && is_whole(m.host, m.voter));
    if !settled || !is_voter || lost + 1 > (voters.len() - 1) / 2 {
        return;
    }
    world.crash(host);
    world.new_disk(host);
    world.start(host);
}

/// Schedules with odd seeds move voters and those with even seeds lose disks: a
/// voter removed in the instant in which another's disk is lost makes two at
/// once, which no group of three survives.
fn applies(step: &Step, seed: u64) -> bool {
    match step {
        Step::SetVoters(_) => seed % 2 == 1,
        Step::LoseDisk(_) => seed.is_multiple_of(2),
        _ => true,
    }
}

fn perform(world: &mut World, step: &Step, count: &mut u32) {
    let hosts = world.hosts.len() as u32;
    let pick = |h: &u32| h % hosts + 1;
    match step {
        Step::Wait(ms) => world.run(Duration::from_millis(u64::from(*ms))),
        Step::Propose(n) => {
            for _ in 0..*n {
                *count += 1;
                world.propose(&format!("entry {count}"));
                world.run(Duration::from_millis(u64::from(*count % 3)));
            }
        }
        Step::Crash(h) => world.crash(pick(h)),
        Step::Restart(h) => {
            world.crash(pick(h));
            world.start(pick(h));
        }
        Step::LoseDisk(h) => lose_disk(world, pick(h)),
        Step::Cut(h) => {
            world.cut.insert(pick(h));
        }
        Step::Heal(h) => {
            world.cut.remove(&pick(h));
        }
        Step::Freeze(h) => world.freeze(pick(h)),
        Step::Thaw(h) => world.thaw(pick(h)),
        Step::Link { loss, twice, jitter } => {
            world.link.loss = f64::from(*loss) / 100.0;
            world.link.twice = f64::from(*twice) / 100.0;
            world.link.jitter = Duration::from_millis(u64::from(*jitter));
        }
        Step::SetVoters(bits) => {
            let want = (1..hosts).filter(|h| bits >> h & 1 == 1).collect::<Vec<_>>();
            if let Some(leader) = world.leader().filter(|_| !want.is_empty()) {
                world.input(leader, Input::SetVoters(want));
            }
        }
        Step::Sync(ms) => world.sync = Duration::from_millis(u64::from(*ms)),
    }
}

fn holds(seed: u64, steps: Vec<Step>) -> bool {
    let voters = 3 + (seed % 3) as u32;
    let mut world = World::new(seed, voters, 1);
    let mut count = 0;
    if seed.is_multiple_of(4) {
        world.run(Duration::from_millis(seed % 3000));
    } else {
        world.elect();
    }
    for step in steps.iter().filter(|s| applies(s, seed)) {
        perform(&mut world, step, &mut count);
    }
    heal(&mut world);
    world.elect();
    world.propose("last");
    world.run(Duration::from_secs(20));
    assert_eq!(world.data().last().map(String::as_str), Some("last"), "writes go on");
    world.check_converged();
    true
}

fn heal(world: &mut World) {
    world.cut.clear();
    world.link.loss = 0.0;
    for host in world.hosts.keys().copied().collect::<Vec<_>>() {
        if world.hosts[&host].replica.is_none() {
            world.start(host);
        }
        world.thaw(host);
    }
    world.run(Duration::from_secs(20));
}

fn check(seed: u64, tests: u64) {
    let check = holds as fn(u64, Vec<Step>) -> bool;
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
