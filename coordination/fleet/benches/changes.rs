//! Measures the time until changes are acknowledged and the log messages that each costs, in virtual
//! time, by the number of hosts and the share of lost datagrams: `cargo bench -p fleet --bench changes`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{World, documents::replace, ms};
use fleet::{Input, Reply};

const CHANGES: u64 = 200;
/// Time from an acknowledgement to the next change.
const GAP: Duration = Duration::from_millis(50);
/// Time for which the messages at rest are counted.
const REST_S: u64 = 10;

fn main() {
    println!(
        "hosts | datagrams lost | acknowledged ms: median, 99 %, most | log messages, bytes a change"
    );
    for hosts in [10, 94, 300] {
        for loss in [0.0, 0.0005, 0.01] {
            measure(hosts, loss);
        }
    }
}

fn measure(hosts: u32, loss: f64) {
    let disks = hosts.min(6);
    let mut world = World::new(1, disks, hosts - disks, &[1, 2, 3]);
    world.run(ms(10_000));
    world.network.datagram_loss = loss;
    world.traffic = Some(BTreeMap::new());
    world.run(ms(REST_S * 1000));
    let rest = log_traffic(&mut world);
    let since = world.now;
    let mut waits: Vec<u128> = Vec::new();
    for number in 1..=CHANGES {
        let tag = world.tag();
        let host = 1 + (number as u32 * 7) % hosts;
        let sent = world.now;
        world.input(host, Input::Change { tag, command: replace(number) });
        while world.machines[&host].replies.get(&tag) != Some(&Reply::InForce) {
            world.run(ms(1));
        }
        waits.push((world.now - sent).as_millis());
        world.run(GAP);
    }
    let seconds = (world.now - since).as_secs_f64();
    let busy = log_traffic(&mut world);
    let each = |busy: u64, rest: u64| {
        (busy as f64 - rest as f64 * seconds / REST_S as f64) / CHANGES as f64
    };
    waits.sort_unstable();
    let rank = |share: usize| waits[(waits.len() - 1) * share / 100];
    println!(
        "{hosts} | {loss} | {}, {}, {} | {:.0}, {:.0}",
        rank(50),
        rank(99),
        rank(100),
        each(busy.0, rest.0),
        each(busy.1, rest.1),
    );
}

/// Returns the messages of the log, and their bytes, since the last call.
fn log_traffic(world: &mut World) -> (u64, u64) {
    let traffic = world.traffic.replace(BTreeMap::new()).unwrap_or_default();
    traffic.get("log").copied().unwrap_or_default()
}
