//! Counts the messages of changes and of hosts that are cut off from targets, in virtual time:
//! `cargo bench -p fleet --bench cost`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;

use bytes::Bytes;
use common::{World, ms, records::target};
use desired::Command;
use fleet::Input;
use wire::TargetState;

/// Seconds for which hosts are cut off.
const CUT_S: u64 = 12;

fn main() {
    println!("hosts | acknowledged ms | log messages, bytes | cut off | reach | feed of reach");
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
    let mut acknowledged = None;
    let busy = log_traffic(&mut world, |world| {
        let since = world.now;
        acknowledged = change(world, hosts, 2);
        world.run(since + ms(1000) - world.now);
    });
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
        "{hosts} | {} | {}, {} | {} for {CUT_S} s | {:?} | {:?}",
        acknowledged.map_or_else(|| "never".to_owned(), |it| it.to_string()),
        busy.0 - idle.0.min(busy.0),
        busy.1 - idle.1.min(busy.1),
        cut.len(),
        of("reach"),
        of("feed of reach"),
    );
}

/// Hands a change to the last host. Returns the milliseconds until it is acknowledged.
fn change(world: &mut World, host: u32, number: u64) -> Option<u64> {
    let tag = world.tag();
    let command = Command::Replace { number, body: Bytes::from_static(b"a change") };
    let since = world.now;
    world.input(host, Input::Change { tag, command });
    for _ in 0..1000 {
        world.run(ms(2));
        if world.machines[&host].replies.contains_key(&tag) {
            return Some((world.now - since).as_millis() as u64);
        }
    }
    None
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
