//! What an acknowledgement of a configuration promises: hosts in touch obey it soon.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{World, ms};
use desired::Command;
use fleet::{Input, Reply};
use wire::HostId;

/// Time after an acknowledgement within which hosts in touch obey the configuration.
const APPLY_TIME: Duration = Duration::from_millis(2000);

fn replace(number: u64) -> Command {
    Command::Replace { number, body: Bytes::from(format!("document {number}")) }
}

/// Submits a change at a host, repeatedly as an operator does, until it is acknowledged or `span` is
/// over. Returns whether it was.
fn put_within(world: &mut World, host: HostId, number: u64, span: Duration) -> bool {
    let end = world.now + span;
    while world.now < end {
        let tag = world.tag();
        world.input(host, Input::Change { tag, command: replace(number) });
        for _ in 0..50 {
            world.run(ms(20));
            if world.machines[&host].replies.get(&tag) == Some(&Reply::InForce) {
                return true;
            }
        }
    }
    false
}

/// Returns the running hosts that do not obey a configuration.
fn hosts_behind(world: &World, number: u64) -> Vec<HostId> {
    let mut hosts = world.running();
    let document = format!("document {number}");
    hosts.retain(|host| world.machines[host].configs.last().is_none_or(|it| *it != document));
    hosts
}

/// Guards against a change that is acknowledged by a leader without memory of the hosts without a
/// disk, which go on by an older configuration: all hosts with a disk were restarted at once.
#[test]
fn hosts_obey_what_a_new_leader_acknowledges() {
    for seed in 0..20 {
        let mut world = World::new(seed, 4, 6, &[1, 2, 3]);
        world.run(ms(6000));
        assert!(put_within(&mut world, 7, 1, ms(8000)), "seed {seed}: before the restart");
        for host in 1..=4 {
            world.kill(host);
        }
        world.run(ms(600));
        for host in 1..=4 {
            world.start(host);
        }
        let host = 1 + (seed as HostId) % 4;
        assert!(put_within(&mut world, host, 2, ms(8000)), "seed {seed}: after the restart");
        world.run(APPLY_TIME);
        assert_eq!(hosts_behind(&world, 2), [], "seed {seed}: 2 s after it was acknowledged");
    }
}
