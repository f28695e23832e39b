//! What hosts that have restarted believe: targets that left, and answers to their former processes.

mod common;

use std::time::Duration;

use common::{
    World, ms,
    records::{deregistration, target},
};
use desired::{Command, Desired};
use fleet::{Input, Reply};
use wire::{FleetMsg, HostId, PeerMsg, TargetState};

/// The time of day at which calls arrive, later than the start of any target.
const ARRIVED_AT: u64 = 100;

/// Time within which hosts stop using a target that has left.
const DRAIN: Duration = Duration::from_millis(2_000);

fn uses(world: &World, host: HostId, id: &str) -> bool {
    let state = world.machines[&host].host.as_ref().expect("it runs");
    state.targets().get(id).is_some_and(|it| it.record.state == TargetState::Ready)
}

fn users(world: &World, id: &str) -> Vec<HostId> {
    world.running().into_iter().filter(|host| uses(world, *host, id)).collect()
}

/// A world of eight hosts, a while after one of them has acknowledged that a target leaves or has ended.
fn world_with_left_target(seed: u64, leaves: bool, since: Duration) -> World {
    let mut world = World::new(seed, 3, 5, &[1, 2, 3]);
    world.run(ms(5000));
    for sequence in 1..4 {
        let record = target("t1", 5, sequence, TargetState::Ready);
        world.input(6, Input::Heartbeat { record });
        world.run(ms(300));
    }
    if leaves {
        let (tag, record) = (world.tag(), target("t1", 5, 9, TargetState::Leaving));
        world.input(6, Input::Leaves { tag, record });
    } else {
        let tag = world.tag();
        world.input(6, deregistration(tag, "t1", None, ARRIVED_AT));
    }
    // Until it is acknowledged.
    while world.machines[&6].replies.is_empty() {
        world.run(ms(1));
    }
    world.run(since);
    assert_eq!(users(&world, "t1"), [], "seed {seed}: before the restart");
    world
}

/// A target has left, then some hosts restart, and a heartbeat that the target sent before arrives at one of
/// them. Returns the hosts that use the target after the time to drain.
fn users_after(seed: u64, restarted: &[HostId], leaves: bool) -> Vec<HostId> {
    // Longer than the news of its end is repeated.
    let mut world = world_with_left_target(seed, leaves, ms(3000));
    for &host in restarted {
        world.kill(host);
    }
    world.run(ms(100));
    for &host in restarted {
        world.start(host);
    }
    world.run(ms(3000));
    for &host in restarted {
        let record = target("t1", 5, 4, TargetState::Ready);
        world.input(host, Input::Heartbeat { record });
    }
    world.run(DRAIN);
    users(&world, "t1")
}

/// Guards against a target that has left and is used again by a host that has restarted: a heartbeat that
/// was delayed arrives there, and only the other hosts know of its end. Load pattern: one host of each
/// kind restarts, the holder of the target's failure domain too, or all hosts with disks do.
#[test]
fn a_target_that_left_stays_away_after_a_restart() {
    for seed in 0..4 {
        for restarted in [vec![7], vec![1], vec![2], vec![3], vec![1, 2, 3]] {
            for leaves in [false, true] {
                let users = users_after(seed, &restarted, leaves);
                assert_eq!(users, [], "seed {seed}, {restarted:?} restarted, leaves: {leaves}");
            }
        }
    }
}

/// Guards against a target that has left and is used again because nobody knows any more that it left: what was
/// known of it was in memory only. Load pattern: all hosts are killed at once, shortly after the acknowledgement or
/// long after it, once or twice, or one after the other; a heartbeat that the target sent before arrives at one of
/// them or at all, soon after they are back or late (review/9).
#[test]
fn a_target_that_left_stays_away_after_all_hosts_restart() {
    let all: Vec<HostId> = (1..=8).collect();
    let at_once = [all.clone()].to_vec();
    let twice = [all.clone(), all.clone()].to_vec();
    let one_by_one: Vec<Vec<HostId>> = all.iter().map(|it| vec![*it]).collect();
    for seed in 0..3 {
        for (kills, soon) in [(&at_once, 20), (&at_once, 300), (&twice, 300), (&one_by_one, 300)] {
            for (leaves, late_ms) in [(false, 3500), (true, 3500), (false, 8500)] {
                let mut world = world_with_left_target(seed, leaves, ms(soon));
                for hosts in kills {
                    hosts.iter().for_each(|host| world.kill(*host));
                    world.run(ms(500));
                    hosts.iter().for_each(|host| world.start(*host));
                    world.run(ms(1500));
                }
                world.run(ms(late_ms - 1500));
                let receivers = if late_ms > 5000 { &all[..] } else { &all[1..2] };
                for &host in receivers {
                    let record = target("t1", 5, 4, TargetState::Ready);
                    world.input(host, Input::Heartbeat { record });
                }
                world.run(DRAIN);
                let case = format!(
                    "seed {seed}, {kills:?}, {soon} ms, leaves: {leaves}, late {late_ms} ms"
                );
                assert_eq!(users(&world, "t1"), [], "{case}");
            }
        }
    }
}

/// Guards against an acknowledgement that no disk keeps: hosts stop using a target that leaves while most hosts with
/// disks are down, but the target is told so only once a majority keeps it.
#[test]
fn a_target_that_leaves_is_acknowledged_once_a_majority_keeps_it() {
    for leaves in [false, true] {
        let mut world = World::new(1, 3, 5, &[1, 2, 3]);
        world.run(ms(5000));
        let record = target("t1", 5, 1, TargetState::Ready);
        world.input(6, Input::Heartbeat { record });
        world.run(ms(300));
        let leader = world.leader().expect("a leader");
        let followers: Vec<HostId> = (1..=3).filter(|it| *it != leader).collect();
        followers.iter().for_each(|host| world.kill(*host));
        let call = |world: &mut World, host| {
            let tag = world.tag();
            let record = target("t1", 5, 9, TargetState::Leaving);
            let input = match leaves {
                true => Input::Leaves { tag, record },
                false => deregistration(tag, "t1", Some(5), ARRIVED_AT),
            };
            world.input(host, input);
            world.run(ms(1000));
            world.machines[&host].replies.get(&tag).map(|it| matches!(it, Reply::InForce))
        };
        assert_eq!(call(&mut world, 6), Some(false), "leaves: {leaves}");
        assert_eq!(users(&world, "t1"), [], "leaves: {leaves}");
        followers.iter().for_each(|host| world.start(*host));
        world.run(ms(3000));
        assert_eq!(call(&mut world, 7), Some(true), "leaves: {leaves}");
    }
}

/// Returns the names of the targets whose departures a snapshot of a host holds that is taken now.
fn recorded_departures(world: &mut World, host: HostId) -> Vec<String> {
    // Enough changes for a snapshot.
    for version in 1..40 {
        let (tag, adapter) = (world.tag(), format!("m/a{}", world.now.as_millis()));
        world.input(host, Input::Change { tag, command: Command::Version { adapter, version } });
        world.run(ms(50));
    }
    let disk = world.machines[&host].disk.as_ref().expect("it has a disk");
    let snapshot = disk.snapshot.as_ref().expect("a snapshot was taken");
    let state = Desired::decode(&snapshot.state).expect("it can be read");
    state.departures.into_keys().collect()
}

/// Guards against departures that stay in the state of all hosts for good.
#[test]
fn the_log_drops_departures_after_some_minutes() {
    let mut world = world_with_left_target(2, true, ms(1000));
    world.run(ms(60_000));
    assert_eq!(recorded_departures(&mut world, 1), ["t1"]);
    world.run(ms(240_000));
    assert_eq!(recorded_departures(&mut world, 1), [""; 0]);
}

/// Guards against a lease that a restarted host takes for granted, because the answer to a renewal of its
/// former process arrives: the host would go on giving orders after another holder was named.
#[test]
fn an_answer_to_a_renewal_of_a_former_process_grants_nothing() {
    let mut world = World::new(3, 3, 2, &[1, 2, 3]);
    world.run(ms(5000));
    let leader = world.leader().expect("a leader");
    let host = world.running().into_iter().find(|it| *it != leader).expect("another host");
    world.kill(host);
    world.cut.insert(host);
    world.start(host);
    for sent_ms in [100, 4_900, 500_000] {
        let renewed = FleetMsg::Renewed { sent_ms, epoch: (1, 1), last: 0, commit: 0 };
        let msg = PeerMsg::Fleet(Box::new(renewed));
        world.input(host, Input::Peer { from: leader, msg });
    }
    let now = world.now;
    let ages = world.machines[&host].host.as_ref().expect("it runs").view_ages(now);
    let renewal = ages.into_iter().find(|(name, _)| name == "renewal");
    assert_eq!(renewal, None, "no renewal of this process was answered");
}
