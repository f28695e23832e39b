//! Discovery of hosts, replication of the configuration and distribution of targets to all hosts,
//! in virtual time with fixed seeds.

mod common;

use bytes::Bytes;
use common::{
    World,
    documents::replace,
    ms,
    records::{deregistration, target},
};
use desired::Command;
use fleet::{Input, Reply};
use wire::{HostId, TargetState};

/// The time of day at which calls arrive, later than the start of any target.
const ARRIVED_AT: u64 = 100;

/// Submits a change at a host, repeatedly as an operator does, until the reply says that it is in
/// force.
fn put(world: &mut World, host: HostId, command: &Command) {
    for _ in 0..20 {
        let tag = world.tag();
        world.input(host, Input::Change { tag, command: command.clone() });
        world.run(ms(1000));
        if world.machines[&host].replies.get(&tag) == Some(&Reply::InForce) {
            return;
        }
    }
    panic!("{command:?} is not in force after 20 s");
}

fn read(world: &mut World, host: HostId) -> Option<Bytes> {
    let tag = world.tag();
    world.input(host, Input::Read { tag });
    world.run(ms(1500));
    match world.machines[&host].replies.get(&tag) {
        Some(Reply::Config(body)) => Some(body.clone()),
        _ => None,
    }
}

fn in_force(world: &World, host: HostId) -> Option<&Bytes> {
    world.machines[&host].configs.last()
}

#[test]
fn hosts_find_each_other_in_any_order() {
    for seed in 0..20 {
        let seeds: &[HostId] = if seed % 2 == 0 { &[1, 2, 3] } else { &[2, 9, 11] };
        let mut world = World::new(seed, 4, 7, seeds);
        world.run(ms(6000));
        assert!(world.leader().is_some_and(|it| it <= 4), "seed {seed}: {:?}", world.leader());
        put(&mut world, 11, &replace(1));
        world.run(ms(1000));
        for host in world.running() {
            let body = in_force(&world, host).expect("a configuration");
            assert_eq!(body, "document 1", "seed {seed}, host {host}");
        }
    }
}

/// Guards against a host with a disk that doesn't vote and drops its leader again and again: the
/// leader's messages to it are further apart than the election timeout.
#[test]
fn a_host_with_a_disk_that_does_not_vote_keeps_its_leader() {
    for seed in 0..5 {
        let mut world = World::new(seed, 4, 2, &[1, 2, 3]);
        world.run(ms(10_000));
        let mut leaderless = Vec::new();
        for _ in 0..1000 {
            world.run(ms(10));
            for host in world.running() {
                let leader = world.call(host, |state, _| (state.leader(), Vec::new()));
                leaderless.extend(leader.is_none().then_some(host));
            }
        }
        assert_eq!(leaderless, [], "seed {seed}: one entry for each host and 10 ms");
    }
}

/// An acknowledged change survives the loss of the disk of the leader that acknowledged it.
#[test]
fn acknowledged_changes_survive_a_lost_disk() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2, &[1, 2, 3]);
        world.run(ms(5000));
        for number in 1..=6 {
            put(&mut world, 5, &replace(number));
            let victim = world.leader().expect("a leader");
            world.wipe(victim);
            world.run(ms(300));
            world.start(victim);
            world.run(ms(6000));
            let body = read(&mut world, 4).expect("it can be read");
            assert_eq!(body, format!("document {number}"), "seed {seed}");
        }
    }
}

#[test]
fn acknowledged_changes_survive_killing_all_hosts() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 4, &[1, 2, 3]);
        world.run(ms(5000));
        for number in 1..=40 {
            put(&mut world, 6, &replace(number));
        }
        for host in world.running() {
            world.kill(host);
        }
        world.run(ms(800));
        for host in world.machines.keys().copied().collect::<Vec<_>>() {
            world.start(host);
        }
        world.run(ms(4000));
        let body = read(&mut world, 7).expect("it can be read");
        assert_eq!(body, "document 40", "seed {seed}");
    }
}

/// A voter is lost for good. An empty host at another address becomes a voter in its place, so that
/// the group then survives the loss of another voter.
#[test]
fn a_replacement_host_becomes_a_voter() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 2, &[1, 2, 3]);
        world.run(ms(5000));
        put(&mut world, 4, &replace(1));
        world.kill(2);
        world.run(ms(1000));
        world.add(20, true);
        world.run(ms(8000));
        put(&mut world, 4, &replace(2));
        world.kill(1);
        world.run(ms(4000));
        put(&mut world, 5, &replace(3));
        assert_eq!(read(&mut world, 20).as_deref(), Some(b"document 3".as_slice()), "seed {seed}");
    }
}

/// A host that is cut off keeps the configuration that it last confirmed and stays ready. It
/// answers no operator's read with an outdated configuration, and catches up afterwards.
#[test]
fn a_host_that_is_cut_off_shows_no_old_configuration() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 3, &[1, 2, 3]);
        world.run(ms(5000));
        put(&mut world, 4, &replace(1));
        let isolated = world.leader().expect("a leader");
        world.cut.insert(isolated);
        world.run(ms(4000));
        put(&mut world, 5, &replace(2));
        assert_eq!(
            read(&mut world, isolated),
            None,
            "seed {seed}: a leader that is cut off answers no read"
        );
        assert!(world.machines[&isolated].host.as_ref().is_some_and(|it| it.is_ready()));
        world.cut.clear();
        world.run(ms(4000));
        assert_eq!(in_force(&world, isolated).expect("a configuration"), "document 2");
    }
}

/// Four hosts with disks are partitioned into two halves. Exactly one half accepts changes,
/// whichever hosts are in it.
#[test]
fn one_half_continues_after_a_partition() {
    for (seed, half) in [[1, 2], [1, 3], [1, 4]].into_iter().enumerate() {
        let mut world = World::new(seed as u64, 4, 2, &[1, 2, 3]);
        world.run(ms(6000));
        put(&mut world, 5, &replace(1));
        world.cut.extend(half);
        world.run(ms(4000));
        let mut accepted = 0;
        for host in [half[0], (2..=4).find(|it| !half.contains(it)).expect("another")] {
            let tag = world.tag();
            world.input(host, Input::Change { tag, command: replace(2) });
            world.run(ms(3000));
            accepted +=
                usize::from(world.machines[&host].replies.get(&tag) == Some(&Reply::InForce));
        }
        assert_eq!(accepted, 1, "{half:?} against the others");
    }
}

/// Two operators submit changes at two hosts at the same time. The higher number stays in force.
#[test]
fn racing_changes_end_with_the_highest() {
    let mut world = World::new(5, 3, 3, &[1, 2, 3]);
    world.run(ms(5000));
    for number in (2..40).step_by(2) {
        let (high, low) = (world.tag(), world.tag());
        world.input(4, Input::Change { tag: high, command: replace(number + 1) });
        world.input(5, Input::Change { tag: low, command: replace(number) });
        world.run(ms(700));
        assert_eq!(world.machines[&4].replies.get(&high), Some(&Reply::InForce));
        assert_eq!(world.machines[&5].replies.get(&low), Some(&Reply::InForce));
        assert_eq!(read(&mut world, 6), Some(format!("document {}", number + 1).into()));
    }
}

/// A restarted host accepts callers only once a leader has confirmed its configuration, since the
/// one on its disk may be outdated.
#[test]
fn a_host_that_starts_waits_for_confirmation() {
    let mut world = World::new(3, 3, 1, &[1, 2, 3]);
    world.run(ms(5000));
    put(&mut world, 4, &replace(1));
    let other = (1..=3).find(|&it| Some(it) != world.leader()).expect("a follower");
    world.kill(other);
    put(&mut world, 4, &replace(2));
    world.cut.insert(other);
    world.start(other);
    world.run(ms(5000));
    let knows_config =
        |world: &World| world.machines[&other].host.as_ref().is_some_and(|it| it.knows_config());
    assert!(!knows_config(&world), "it may hold an old configuration");
    world.cut.clear();
    world.run(ms(5000));
    assert!(knows_config(&world));
    assert_eq!(in_force(&world, other).expect("a configuration"), "document 2");
}

fn sees_target(world: &World, host: HostId, id: &str) -> bool {
    let state = world.machines[&host].host.as_ref().expect("it runs");
    state.targets().ready("s").any(|it| it.record.id == id)
}

/// A target announces at any host that it is leaving. All hosts know within 500 ms, with a leader
/// and without one.
#[test]
fn a_leaving_target_is_known_everywhere() {
    for leaderless in [false, true] {
        let mut world = World::new(8, 3, 5, &[1, 2, 3]);
        world.run(ms(5000));
        let heartbeat =
            |sequence, state| Input::Heartbeat { record: target("t1", 5, sequence, state) };
        world.input(6, heartbeat(1, TargetState::Ready));
        world.run(ms(1500));
        for host in world.running() {
            assert!(sees_target(&world, host, "t1"), "host {host}");
        }
        if leaderless {
            let leader = world.leader().expect("a leader");
            world.kill(leader);
        }
        let (tag, record) = (world.tag(), target("t1", 5, 2, TargetState::Leaving));
        world.input(7, Input::Leaves { tag, record });
        world.run(ms(500));
        for host in world.running() {
            assert!(!sees_target(&world, host, "t1"), "host {host}, leaderless {leaderless}");
        }
        // A delayed earlier heartbeat doesn't make it ready again.
        world.input(8, heartbeat(1, TargetState::Ready));
        world.run(ms(500));
        for host in world.running() {
            assert!(!sees_target(&world, host, "t1"), "host {host}");
        }
    }
}

/// Guards against a host without memory that acknowledges what a target says of its end and tells
/// nobody: it has just started and knows neither the target nor the other hosts.
#[test]
fn a_host_that_has_just_started_acknowledges_no_end_of_a_target() {
    for seed in 0..5 {
        let mut world = World::new(seed, 3, 5, &[1, 2, 3]);
        world.run(ms(5000));
        let record = target("t1", 5, 1, TargetState::Ready);
        world.input(6, Input::Heartbeat { record });
        world.run(ms(500));
        world.kill(7);
        world.start(7);
        let may = |world: &World| {
            let state = world.machines[&7].host.as_ref().expect("it runs");
            (state.can_announce(), state.can_deregister("t1", None))
        };
        assert_eq!(may(&world), (false, false), "seed {seed}");
        let mut waited = ms(0);
        while !may(&world).1 {
            world.run(ms(10));
            waited += ms(10);
            assert!(waited < ms(3000), "seed {seed}");
        }
        let tag = world.tag();
        world.input(7, deregistration(tag, "t1", None, ARRIVED_AT));
        world.run(ms(100));
        for host in world.running() {
            assert!(!sees_target(&world, host, "t1"), "seed {seed}, host {host}");
        }
    }
}

#[test]
fn a_silent_target_is_forgotten_and_comes_back() {
    let mut world = World::new(8, 3, 2, &[1, 2, 3]);
    world.run(ms(5000));
    let heartbeat =
        |sequence| Input::Heartbeat { record: target("t1", 5, sequence, TargetState::Ready) };
    world.input(4, heartbeat(1));
    world.run(ms(7000));
    assert!(!sees_target(&world, 5, "t1"), "it was silent for more than four heartbeats");
    world.input(4, heartbeat(2));
    world.run(ms(1000));
    assert!(sees_target(&world, 5, "t1"));
}

/// 5 % of the messages between hosts are lost, including those of feeds.
#[test]
fn hosts_agree_on_targets_over_a_link_that_loses_messages() {
    let mut world = World::new(4, 3, 4, &[1, 2, 3]);
    world.run(ms(5000));
    world.network.loss = 0.05;
    for sequence in 1..=6 {
        for number in 0..60 {
            let record = target(&format!("t{number}"), 5, sequence, TargetState::Ready);
            world.input(1 + number % 7, Input::Heartbeat { record });
            world.run(ms(20));
        }
    }
    world.run(ms(1500));
    let count = |host| {
        let state = world.machines[&host].host.as_ref().expect("it runs");
        state.targets().iter().count()
    };
    let leader = world.leader().expect("a leader");
    for host in world.running() {
        assert_eq!(count(host), 60, "host {host}, the leader is {leader}");
    }
}

/// Guards against hosts that each take too large a part of the retry budget, since they and the holders
/// have just started and know few others: what all take is within the budget.
#[test]
fn hosts_that_have_just_started_share_the_retry_budget() {
    for seed in 0..5 {
        let mut world = World::configured(seed);
        world.run(ms(2000));
        let hosts = world.running();
        for &host in &hosts {
            world.kill(host);
        }
        for &host in &hosts {
            world.start(host);
        }
        let mut taken = 0;
        for _ in 0..100 {
            world.run(ms(50));
            for &host in &hosts {
                taken += world.call(host, |state, now| {
                    let may =
                        |state: &mut fleet::Host| state.is_ready() && state.try_retry(now, "s");
                    let mut count = 0;
                    while may(state) {
                        count += 1;
                    }
                    (count, Vec::new())
                });
            }
        }
        let allowed = common::settings::RETRY_ALLOWANCE;
        assert!(taken > 0, "seed {seed}: no host takes retries");
        assert!(f64::from(taken) <= allowed, "seed {seed}: {taken} retries, {allowed} allowed");
    }
}
