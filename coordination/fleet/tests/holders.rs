//! Holders of order leases, in virtual time with fixed seeds: orders continue through changes of
//! the leader, and a target never gets orders from two hosts within the lease time.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{World, ms, records::target};
use fleet::Input;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{FleetMsg, HostId, PeerMsg, Placement, TargetState};

const LEASE: Duration = Duration::from_millis(3000);
const TARGETS: u64 = 6;

/// Six hosts, the first three with disks, that know six targets in three failure domains and a
/// configuration.
fn world(seed: u64) -> World {
    let mut world = World::configured(seed);
    send_heartbeats(&mut world, 1);
    world.run(ms(2500));
    world
}

fn name(number: u64) -> String {
    format!("t{number}")
}

/// Sends a heartbeat of every target, each to the next host in turn.
fn send_heartbeats(world: &mut World, sequence: u64) {
    let hosts = world.running();
    for number in 0..TARGETS {
        let mut record = target(&name(number), 5, sequence, TargetState::Ready);
        record.domain = format!("d{}", number % 3);
        let host = hosts[(number + sequence) as usize % hosts.len()];
        world.input(host, Input::Heartbeat { record });
    }
}

/// Makes requests wait for new adapters for a while, ten a second.
fn request_adapters(world: &mut World, span: Duration, next: &mut u64) {
    let end = world.now + span;
    while world.now < end {
        let hosts = world.running();
        world.demand(hosts[*next as usize % hosts.len()], &format!("m/a{next}"));
        *next += 1;
        if next.is_multiple_of(10) {
            send_heartbeats(world, *next);
        }
        world.run(ms(100));
    }
}

/// The host that last sent an order to a target.
fn last_holder(world: &World, target: &str) -> Option<HostId> {
    world.orders().into_iter().rev().find(|(_, to, _)| to == target).map(|(.., host)| host)
}

fn orders_since(world: &World, since: Duration, domain: u64) -> Vec<Duration> {
    let in_domain = |to: &str| (0..TARGETS).any(|it| it % 3 == domain && name(it) == to);
    let orders = world.orders().into_iter();
    orders.filter(|(at, to, _)| *at >= since && in_domain(to)).map(|(at, ..)| at).collect()
}

/// Guards against an order that is written after the holder's lease has run out: its process stood still
/// after the table had given the order, or the connection took long to open. Load pattern: a holder of
/// orders is frozen for longer than its lease, while another one takes over.
#[test]
fn an_order_of_a_lease_that_has_run_out_is_not_written() {
    for seed in 0..4 {
        let mut world = world(seed);
        request_adapters(&mut world, ms(2000), &mut 0);
        let holder = last_holder(&world, "t0").expect("a holder");
        let order = world.machines[&holder].orders.last().expect("an order").1.clone();
        let may = |world: &mut World| {
            world.call(holder, |state, now| (state.may_order(now, &order), Vec::new()))
        };
        assert!(may(&mut world), "seed {seed}: with its lease");
        world.frozen.insert(holder);
        world.run(LEASE * 3);
        assert!(!may(&mut world), "seed {seed}: after it stood still");
        world.frozen.remove(&holder);
        world.run(ms(1000));
        assert!(!may(&mut world), "seed {seed}: as its successor gives orders");
    }
}

/// The leader is killed, cut off or frozen. The holders keep sending orders without it.
#[test]
fn orders_continue_without_a_leader() {
    for seed in 0..10 {
        let mut world = world(seed);
        let mut next = 0;
        request_adapters(&mut world, ms(3000), &mut next);
        let leader = world.leader().expect("a leader");
        match seed % 3 {
            0 => world.kill(leader),
            1 => {
                world.cut.insert(leader);
            }
            _ => {
                world.frozen.insert(leader);
            }
        }
        let since = world.now;
        request_adapters(&mut world, ms(900), &mut next);
        for domain in 0..3 {
            let orders = orders_since(&world, since, domain);
            assert!(!orders.is_empty(), "seed {seed}: no order in failure domain {domain}");
        }
    }
}

/// With 90 hosts of which most were weak, weak holders sent their feeds to all others and fell
/// seconds behind. Weak hosts therefore hold no failure domain while strong ones can.
#[test]
fn weak_hosts_hold_no_domain_while_strong_ones_can() {
    for (cpu_millis, holders) in [(1000, 4..=6), (600, 4..=6), (300, 1..=3)] {
        let mut world = World::with_cpu_millis(1, 3, 3, &[1, 2, 3], cpu_millis);
        world.run(ms(5000));
        let host = world.machines[&6].host.as_ref().expect("it runs");
        for domain in ["d0", "d1", "d2"] {
            let holder = host.holder(domain).expect("a holder");
            assert!(holders.contains(&holder), "{cpu_millis}: {holder} holds {domain}");
        }
    }
}

/// A holder that is lost for good is replaced. Meanwhile only its failure domain gets no orders.
#[test]
fn a_lost_holder_is_replaced() {
    for seed in 0..10 {
        let mut world = world(seed);
        let mut next = 0;
        request_adapters(&mut world, ms(3000), &mut next);
        let lost = last_holder(&world, "t1").expect("a holder");
        world.kill(lost);
        let since = world.now;
        request_adapters(&mut world, ms(3000), &mut next);
        assert!(!orders_since(&world, since, 0).is_empty(), "seed {seed}");
        request_adapters(&mut world, LEASE * 3, &mut next);
        let new = last_holder(&world, "t1").expect("a holder");
        assert_ne!(new, lost, "seed {seed}");
    }
}

/// A holder that is told to stop announces this, so that it is replaced without waiting for its
/// lease to expire.
#[test]
fn a_stopping_holder_is_replaced_at_once() {
    let mut world = world(3);
    let mut next = 0;
    request_adapters(&mut world, ms(3000), &mut next);
    let old = last_holder(&world, "t1").expect("a holder");
    world.input(old, Input::Stop);
    let since = world.now;
    request_adapters(&mut world, LEASE + ms(1000), &mut next);
    let new = world
        .orders()
        .into_iter()
        .find(|(at, to, host)| *at >= since && *host != old && ["t1", "t4"].contains(&to.as_str()));
    assert!(new.is_some(), "orders at {:?}", orders_since(&world, since, 1));
}

/// Whether all running hosts name this one to callers.
fn is_entry(world: &World, host: HostId) -> bool {
    let mut hosts = world.running().into_iter();
    hosts.all(|it| {
        let state = world.machines[&it].host.as_ref().expect("it runs");
        state.entries(None).contains(&host)
    })
}

/// Guards against holders that order nothing, and keep others from it, because they reach no target.
#[test]
fn a_holder_that_reaches_no_target_gives_way() {
    for seed in 0..10 {
        let mut world = world(seed);
        let mut next = 0;
        request_adapters(&mut world, ms(3000), &mut next);
        let old = last_holder(&world, "t1").expect("a holder");
        let since = world.now;
        world.lose_paths(old, ["t1", "t4"]);
        request_adapters(&mut world, LEASE + ms(2000), &mut next);
        let orders = world.orders();
        let mut orders = orders.iter().filter(|it| it.0 >= since);
        assert!(orders.all(|it| it.2 != old), "seed {seed}: ordered by a host that was cut off");
        let new = last_holder(&world, "t1").expect("a holder");
        assert_ne!(new, old, "seed {seed}: the holder stays");
        assert!(!is_entry(&world, old), "seed {seed}: named to callers");
        let leader = world.leader().expect("a leader");
        if leader != old {
            world.kill(leader);
            request_adapters(&mut world, LEASE * 2, &mut next);
            assert!(!is_entry(&world, old), "seed {seed}: forgotten by the next leader");
            world.start(leader);
        }
        world.pathless.clear();
        request_adapters(&mut world, ms(4000), &mut next);
        assert!(is_entry(&world, old), "seed {seed}: not named again");
    }
}

/// All hosts are killed and restarted. Each holder is the same host as before, and sends orders as
/// soon as there is a leader.
#[test]
fn holders_resume_at_once_after_all_hosts_were_killed() {
    for seed in 0..10 {
        let mut world = world(seed);
        let mut next = 0;
        request_adapters(&mut world, ms(5000), &mut next);
        for host in world.running() {
            world.kill(host);
        }
        world.run(ms(800));
        for host in world.machines.keys().copied().collect::<Vec<_>>() {
            world.start(host);
            world.run(ms(10));
        }
        let since = world.now;
        request_adapters(&mut world, ms(4000), &mut next);
        for domain in 0..3 {
            let first = orders_since(&world, since, domain).first().copied();
            let after = first.expect("an order") - since;
            assert!(after < LEASE, "seed {seed}: failure domain {domain} after {after:?}");
        }
    }
}

/// Hosts are killed, cut off from hosts or targets, frozen, stopped and restarted at random. A target never gets orders
/// from two hosts within the lease time.
#[test]
fn no_two_hosts_order_within_the_lease_time() {
    let mut changes = 0;
    for seed in 0..16 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = world(seed);
        let mut next = 0;
        for _ in 0..12 {
            let hosts: Vec<HostId> = world.machines.keys().copied().collect();
            let host = hosts[rng.random_range(0..hosts.len())];
            let holder = last_holder(&world, "t1").unwrap_or(host);
            let host = if rng.random_bool(0.5) { holder } else { host };
            match rng.random_range(0..6) {
                0 => world.kill(host),
                1 => {
                    world.cut.insert(host);
                }
                2 => {
                    world.frozen.insert(host);
                }
                3 => world.input(host, Input::Stop),
                4 => world.lose_paths(host, ["t1", "t4"]),
                _ => {}
            }
            request_adapters(&mut world, ms(rng.random_range(300..9000)), &mut next);
            world.cut.clear();
            world.frozen.clear();
            world.pathless.clear();
            let stopped = world.machines[&host].host.is_none() || rng.random_bool(0.3);
            if stopped {
                world.start(host);
            }
            request_adapters(&mut world, ms(rng.random_range(100..3000)), &mut next);
        }
        let mut last: BTreeMap<String, (Duration, HostId)> = BTreeMap::new();
        for (at, to, host) in world.orders() {
            if let Some((before, other)) = last.insert(to.clone(), (at, host))
                && other != host
            {
                changes += 1;
                let gap = at - before;
                assert!(gap >= LEASE, "seed {seed}: {to} by {other}, then {host} after {gap:?}");
            }
        }
    }
    assert!(changes > 30, "{changes} changes of a holder");
}

/// Guards against requests that are sent to a target without their adapter, because a message of a former
/// holder arrives after the new one has numbered the targets anew.
#[test]
fn an_adapter_named_by_a_former_holder_is_not_believed() {
    let mut world = world(1);
    let view = |world: &World, host: HostId| {
        let target = world.machines[&host].host.as_ref()?.targets().get("t0")?;
        Some((target.number?, target.adapters.contains_key("m/a7")))
    };
    let holder = world.machines[&1].host.as_ref().and_then(|it| it.holder("d0"));
    let holder = holder.expect("a holder");
    let mut others = world.running().into_iter().filter(|it| *it != holder);
    let (observer, former) = others.next().zip(others.next()).expect("two other hosts");
    let (target, _) = view(&world, observer).expect("a numbered target");
    let placement = Placement { target, adapter: "m/a7".to_owned(), version: 1 };
    for (from, is_believed) in [(former, false), (holder, true)] {
        let domain = "d0".to_owned();
        let ready = FleetMsg::AdapterReady { domain, placement: placement.clone() };
        world.input(observer, Input::Peer { from, msg: PeerMsg::Fleet(Box::new(ready)) });
        assert_eq!(view(&world, observer), Some((target, is_believed)));
    }
}
