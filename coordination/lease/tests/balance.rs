//! Assignment of targets to owners.

mod common;

use std::collections::BTreeMap;

use lease::{LiveHost, Registry, balance};
use wire::{Command, Move};

use crate::common::info;

/// A registry with its leader: moves are applied as they are made, and live hosts have applied
/// everything up to `applied`.
struct World {
    registry: Registry,
    index: u64,
    applied: u64,
    live: Vec<LiveHost>,
}

impl World {
    fn new(targets: &[(&str, u32)]) -> World {
        let mut world =
            World { registry: Registry::default(), index: 0, applied: u64::MAX, live: Vec::new() };
        for (n, (domain, requests)) in targets.iter().enumerate() {
            world.apply(Command::Register(info(&format!("t{n}"), domain, *requests)));
        }
        world
    }

    fn apply(&mut self, command: Command) {
        self.index += 1;
        self.registry.apply(self.index, &command);
    }

    fn add_host(&mut self, host: u32, incarnation: u64, domain: &str) {
        self.live.retain(|live| live.host != host);
        let (domain, applied) = (domain.to_string(), self.applied);
        self.live.push(LiveHost { host, incarnation, domain, applied, leaving: false });
    }

    fn remove_host(&mut self, host: u32) {
        self.live.retain(|live| live.host != host);
    }

    fn set_leaving(&mut self, host: u32) {
        self.live.iter_mut().find(|live| live.host == host).expect("host").leaving = true;
    }

    fn set_applied(&mut self, applied: u64) {
        self.applied = applied;
        for live in &mut self.live {
            live.applied = applied;
        }
    }

    fn plan(&self, limit: usize) -> Vec<Move> {
        balance(&self.registry, &self.live, limit)
    }

    fn round(&mut self, limit: usize) -> Vec<Move> {
        let moves = self.plan(limit);
        if !moves.is_empty() {
            self.apply(Command::Assign(moves.clone()));
        }
        moves
    }

    /// Applies moves until there are none, and returns their number.
    fn settle(&mut self, limit: usize) -> usize {
        let mut count = 0;
        for _ in 0..1000 {
            let moves = self.round(limit);
            if moves.is_empty() {
                return count;
            }
            count += moves.len();
        }
        panic!("moves do not end");
    }

    fn show(&self) -> String {
        let mut owners: BTreeMap<Option<u32>, Vec<String>> = BTreeMap::new();
        for target in self.registry.targets() {
            let text = format!("{}/{}", target.info.name, target.info.domain);
            owners.entry(target.owner.map(|owner| owner.0)).or_default().push(text);
        }
        let row = |(owner, targets): (&Option<u32>, &Vec<String>)| match owner {
            Some(host) => format!("{host}: {}\n", targets.join(" ")),
            None => format!("none: {}\n", targets.join(" ")),
        };
        owners.iter().map(row).collect()
    }
}

/// A cluster of 15 targets and eleven hosts in three failure domains.
fn example_cluster() -> World {
    let targets: Vec<_> = (0..15).map(|n| (["a", "b", "c"][n % 3], 8)).collect();
    let mut world = World::new(&targets);
    for host in 1..=11 {
        world.add_host(host, 1, ["a", "b", "c"][host as usize % 3]);
    }
    world
}

#[test]
fn targets_go_to_their_failure_domain_evenly() {
    let mut world = example_cluster();
    world.settle(2);
    let mut table = format!("start\n{}", world.show());
    world.remove_host(3);
    world.remove_host(6);
    world.remove_host(9);
    let moves = world.settle(2);
    table.push_str(&format!("domain a is lost, {moves} moves\n{}", world.show()));
    world.add_host(3, 2, "a");
    world.add_host(6, 2, "a");
    world.add_host(9, 2, "a");
    let moves = world.settle(2);
    table.push_str(&format!("domain a is back, {moves} moves\n{}", world.show()));
    insta::assert_snapshot!(table);
}

#[test]
fn moves_are_deterministic_and_end_once_balanced() {
    let (mut one, mut other) = (example_cluster(), example_cluster());
    other.live.reverse();
    one.settle(2);
    other.settle(2);
    assert_eq!(one.show(), other.show());
    assert!(one.plan(10).is_empty());
}

#[test]
fn a_live_owner_is_replaced_in_two_steps() {
    let mut world = World::new(&[("a", 8), ("a", 8), ("a", 8), ("a", 8)]);
    world.add_host(1, 1, "a");
    world.settle(1);
    world.set_applied(world.index);
    world.add_host(2, 1, "a");
    let moves = world.round(1);
    assert_eq!(moves, [Move { target: 1, owner: None }]);
    // The target is not assigned before its previous owner has applied the release, and no other
    // target is released meanwhile.
    assert!(world.plan(1).is_empty());
    world.set_applied(world.index);
    let moves = world.round(1);
    assert_eq!(moves[0], Move { target: 1, owner: Some((2, 1)) });
    // It is also assigned once the lease of the previous owner has expired.
    world.round(1);
    world.remove_host(1);
    assert!(world.plan(1).iter().all(|change| change.owner == Some((2, 1))));
}

#[test]
fn limit_bounds_the_moves_under_way() {
    let mut world = World::new(&[("a", 8); 12]);
    world.add_host(1, 1, "a");
    world.settle(1);
    world.set_applied(world.index);
    world.add_host(2, 1, "a");
    assert_eq!(world.round(3).len(), 3);
    assert!(world.round(3).is_empty());
    assert!(world.plan(0).is_empty());
    // With any limit, no more targets are released than the even share of six.
    assert_eq!(world.plan(100).len(), 3);
}

#[test]
fn dead_owners_lose_their_targets_at_once() {
    let mut world = World::new(&[("a", 8); 6]);
    world.add_host(1, 1, "a");
    world.settle(0);
    // A new incarnation of the host is a different owner.
    world.add_host(1, 2, "a");
    assert_eq!(world.plan(0).len(), 6);
    assert!(world.plan(0).iter().all(|change| change.owner == Some((1, 2))));
    // Without a live host there are no moves.
    world.remove_host(1);
    assert!(world.plan(5).is_empty());
}

#[test]
fn leaving_hosts_get_nothing_and_lose_theirs() {
    let mut world = World::new(&[("a", 8); 4]);
    world.add_host(1, 1, "a");
    world.settle(0);
    world.set_leaving(1);
    assert!(world.plan(0).is_empty(), "no other host can take over");
    world.set_applied(world.index);
    world.add_host(2, 1, "b");
    let moves = world.round(0);
    assert!(moves.len() == 4 && moves.iter().all(|change| change.owner.is_none()));
    assert!(world.plan(0).is_empty());
    world.set_applied(world.index);
    let moves = world.round(0);
    assert!(moves.len() == 4 && moves.iter().all(|change| change.owner == Some((2, 1))));
}

#[test]
fn load_is_counted_in_requests() {
    let mut world = World::new(&[("a", 64), ("a", 8), ("a", 8), ("a", 8), ("a", 8), ("a", 8)]);
    world.add_host(1, 1, "a");
    world.add_host(2, 1, "a");
    world.settle(4);
    insta::assert_snapshot!(world.show(), @r"
    1: t0/a
    2: t1/a t2/a t3/a t4/a t5/a
    ");
}
