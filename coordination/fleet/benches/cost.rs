//! Counts the messages of changes, of departures of targets and of hosts that are cut off from targets, in virtual time:
//! `cargo bench -p fleet --bench cost`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;

use bytes::Bytes;
use common::{World, ms, records::target};
use desired::Command;
use fleet::Input;
use wire::{TargetRecord, TargetState};

/// Seconds for which hosts are cut off.
const CUT_S: u64 = 12;

fn main() {
    println!(
        "hosts | change: ms | log messages, bytes | departure: ms | log messages, bytes | cut off | reach | feed of reach"
    );
    for hosts in [10, 94, 710] {
        measure(hosts);
    }
}

fn measure(hosts: u32) {
    let mut world = World::new(1, 5, hosts - 5, &[1, 2, 3]);
    world.run(ms(10_000));
    for number in 0..6 {
        let mut record = target(&format!("t{number}"), 1, 1, TargetState::Ready);
        record.domain = format!("d{}", number % 3);
        world.input(1, Input::Heartbeat { record });
    }
    let first = change(&mut world, hosts, 1);
    assert!(first.is_some(), "{hosts} hosts: no leader");
    world.run(ms(5000));
    let idle = log_traffic(&mut world, |world| world.run(ms(1000)));
    let change = busy_traffic(&mut world, idle, |world| change(world, hosts, 2));
    let departure = busy_traffic(&mut world, idle, |world| depart(world, hosts));
    let cut: Vec<u32> = (6..=hosts).take(hosts as usize * 6 / 10).collect();
    world.traffic = Some(BTreeMap::new());
    for &host in &cut {
        world.lose_paths(host, ["t0", "t1"]);
    }
    world.run(ms(CUT_S * 1000));
    world.pathless.clear();
    world.run(ms(5000));
    let traffic = world.traffic.take().unwrap_or_default();
    let of = |name| traffic.get(name).copied().unwrap_or_default();
    println!(
        "{hosts} | {change} | {departure} | {} for {CUT_S} s | {:?} | {:?}",
        cut.len(),
        of("reach"),
        of("feed of reach"),
    );
}

/// Hands a change to the last host. Returns the milliseconds until it is acknowledged.
fn change(world: &mut World, host: u32, number: u64) -> Option<u64> {
    let command = Command::Replace { number, body: Bytes::from_static(b"a change") };
    submit(world, host, |tag| Input::Change { tag, command })
}

/// Lets a target tell the last host that it leaves. Returns the milliseconds until it is acknowledged.
fn depart(world: &mut World, host: u32) -> Option<u64> {
    let record =
        TargetRecord { domain: "d0".to_owned(), ..target("t3", 1, 2, TargetState::Leaving) };
    submit(world, host, |tag| Input::Leaves { tag, record })
}

fn submit(world: &mut World, host: u32, input: impl FnOnce(u64) -> Input) -> Option<u64> {
    let (tag, since) = (world.tag(), world.now);
    world.input(host, input(tag));
    for _ in 0..1000 {
        world.run(ms(2));
        if world.machines[&host].replies.contains_key(&tag) {
            return Some((world.now - since).as_millis() as u64);
        }
    }
    None
}

/// Describes what a call costs in the second after it, beyond a second without one.
fn busy_traffic(
    world: &mut World,
    idle: (u64, u64),
    call: impl FnOnce(&mut World) -> Option<u64>,
) -> String {
    let mut acknowledged = None;
    let busy = log_traffic(world, |world| {
        let since = world.now;
        acknowledged = call(world);
        world.run((since + ms(1000)).saturating_sub(world.now));
    });
    let acknowledged = acknowledged.map_or_else(|| "never".to_owned(), |it| it.to_string());
    let (messages, bytes) = (busy.0 - idle.0.min(busy.0), busy.1 - idle.1.min(busy.1));
    format!("{acknowledged} | {messages}, {bytes}")
}

/// Returns the messages of the log, and of confirmations, that are sent meanwhile, and their bytes.
fn log_traffic(world: &mut World, run: impl FnOnce(&mut World)) -> (u64, u64) {
    world.traffic = Some(BTreeMap::new());
    run(world);
    let traffic = world.traffic.take().unwrap_or_default();
    let log = traffic.get("log").copied().unwrap_or_default();
    let confirmed = traffic.get("confirmed").copied().unwrap_or_default();
    (log.0 + confirmed.0, log.1 + confirmed.1)
}
