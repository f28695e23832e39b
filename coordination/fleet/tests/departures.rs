//! Targets that leave while hosts don't know them, and heartbeats of theirs that arrive late.

mod common;

use common::{
    World, ms,
    records::{deregistration, query, target},
};
use fleet::{Choice, Input, TargetQuery, Targets};
use wire::{HostId, TargetState};

/// Longer than four heartbeats, after which a target counts as silent.
const SILENCE_MS: u64 = 7_000;
/// Time within which hosts stop using a target that has left.
const DRAIN_MS: u64 = 2_000;
/// Start of the target's process, and of the one that follows under its name.
const START: u64 = 5;
const NEXT_START: u64 = 6;
/// The time of day at which calls arrive, after these starts.
const ARRIVED_AT: u64 = 8;

fn heartbeat(started_at: u64, sequence: u64) -> Input {
    Input::Heartbeat { record: target("t1", started_at, sequence, TargetState::Ready) }
}

/// The target deregisters at a host.
fn leave(world: &mut World, host: HostId, started_at: Option<u64>) {
    let tag = world.tag();
    world.input(host, deregistration(tag, "t1", started_at, ARRIVED_AT));
}

fn users(world: &World) -> Vec<HostId> {
    let uses = |host: &HostId| {
        let state = world.machines[host].host.as_ref().expect("it runs");
        state.targets().get("t1").is_some_and(|it| it.record.state == TargetState::Ready)
    };
    world.running().into_iter().filter(uses).collect()
}

/// A world of eight hosts that know the target.
fn world_with_target(seed: u64) -> World {
    let mut world = World::new(seed, 3, 5, &[1, 2, 3]);
    world.run(ms(5000));
    for sequence in 1..4 {
        world.input(6, heartbeat(START, sequence));
        world.run(ms(300));
    }
    assert_eq!(users(&world).len(), 8, "seed {seed}");
    world
}

/// Guards against a target that is used after it deregistered, because no host knew it any more: its
/// heartbeats were cut off until it counted as silent, it deregistered, and a heartbeat that had been held up
/// arrived. Load pattern: the deregistration and the late heartbeat reach hosts of each kind, the same one or
/// two, with the start of the process or without; in between a host may restart.
#[test]
fn a_late_heartbeat_of_a_target_that_left_while_silent_changes_nothing() {
    for seed in 0..3 {
        for (told, late) in [(1, 2), (2, 1), (6, 7), (7, 7), (3, 6)] {
            for (named, restarted) in [(Some(START), None), (None, None), (Some(START), Some(late))]
            {
                let mut world = world_with_target(seed);
                world.run(ms(SILENCE_MS));
                assert_eq!(users(&world), [], "seed {seed}: it is silent");
                leave(&mut world, told, named);
                if let Some(host) = restarted {
                    world.run(ms(1000));
                    world.kill(host);
                    world.run(ms(100));
                    world.start(host);
                }
                world.run(ms(2200));
                world.input(late, heartbeat(START, 6));
                world.run(ms(DRAIN_MS));
                let case = format!("seed {seed}, {told} told, {late} late, start {named:?}");
                assert_eq!(users(&world), [], "{case}, {restarted:?} restarted");
            }
        }
    }
}

/// Guards against a deregistration of a former process that ends its successor under the same name for good,
/// and against one that is forgotten because it comes before its process is known to have been replaced.
#[test]
fn a_deregistration_ends_the_process_that_it_names() {
    for seed in 0..3 {
        let mut world = world_with_target(seed);
        world.input(7, heartbeat(NEXT_START, 1));
        world.run(ms(500));
        leave(&mut world, 2, Some(START));
        world.run(ms(DRAIN_MS));
        assert_eq!(users(&world).len(), 8, "seed {seed}: the successor is used");
        leave(&mut world, 2, Some(NEXT_START));
        world.input(6, heartbeat(START, 9));
        world.input(7, heartbeat(NEXT_START, 2));
        world.run(ms(DRAIN_MS));
        assert_eq!(users(&world), [], "seed {seed}: both have ended");
        world.input(6, heartbeat(NEXT_START + 1, 1));
        world.run(ms(500));
        assert_eq!(users(&world).len(), 8, "seed {seed}: a third process is used");
    }
}

/// Guards against a target that is used after it left, because it was told of before any of its heartbeats arrived,
/// and without the start of its process. The next process under its name is used all the same.
#[test]
fn a_late_heartbeat_of_a_target_that_left_unknown_changes_nothing() {
    for seed in 0..3 {
        for has_former in [false, true] {
            let mut world = match has_former {
                true => world_with_target(seed),
                false => World::new(seed, 3, 5, &[1, 2, 3]),
            };
            world.run(ms(5000));
            if has_former {
                leave(&mut world, 6, Some(START));
                world.run(ms(500));
            }
            leave(&mut world, 4, None);
            world.run(ms(2200));
            world.input(7, heartbeat(ARRIVED_AT, 2));
            world.run(ms(DRAIN_MS));
            assert_eq!(users(&world), [], "seed {seed}, a former process: {has_former}");
            world.input(7, heartbeat(ARRIVED_AT + 1, 1));
            world.run(ms(500));
            assert_eq!(users(&world).len(), 8, "seed {seed}, a former process: {has_former}");
        }
    }
}

/// Guards against a target that is used after it said in an answer that it leaves, because it was dropped as
/// silent while it worked on the request: the word was kept by nobody, and its next heartbeat was believed.
#[test]
fn a_silent_target_that_leaves_by_an_answer_stays_away() {
    for seed in 0..3 {
        for late in [4, 6] {
            let mut world = World::configured(seed);
            world.input(4, heartbeat(START, 1));
            world.run(ms(500));
            let query = TargetQuery { adapter: None, ..query("") };
            let choice = world.call(6, |it, now| it.choose(now, &query, 1));
            let Choice::Send(reservation) = choice else { panic!("no target: {choice:?}") };
            world.run(ms(SILENCE_MS));
            assert_eq!(users(&world), [], "seed {seed}: it is silent");
            world.call(6, |it, now| ((), it.record_leaving(now, &reservation, "a")));
            world.run(ms(500));
            world.input(late, heartbeat(START, 6));
            world.run(ms(DRAIN_MS));
            assert_eq!(users(&world), [], "seed {seed}, late at {late}");
        }
    }
}

/// Guards against ends that are forgotten in the order of the targets' names, and against names that can
/// never be used again.
#[test]
fn ends_are_kept_for_two_minutes_and_dropped_by_age() {
    const KEPT: u64 = 4096;
    let record = |number: u64, state| target(&format!("t{number:05}"), START, 1, state);
    let is_used = |targets: &mut Targets, now, number| {
        let record = record(number, TargetState::Ready);
        targets.clone().merge(now, &record)
    };
    let mut targets = Targets::default();
    // The later a target ends, the earlier its name sorts.
    let mut last = ms(0);
    for number in (0..=KEPT).rev() {
        last += ms(1);
        targets.merge(last, &record(number, TargetState::Gone));
    }
    assert!(is_used(&mut targets, last, KEPT), "the oldest was dropped");
    for number in [0, 1, KEPT - 1] {
        assert!(!is_used(&mut targets, last, number), "{number}");
        assert!(is_used(&mut targets, last + ms(120_000), number), "{number}, two minutes later");
    }
}
