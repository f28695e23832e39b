//! What an acknowledgement of a configuration promises: hosts in touch obey it soon.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{
    World,
    documents::{last_number, replace},
    ms,
};
use fleet::{Input, NoRoute, Reply};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::HostId;

/// Time after an acknowledgement within which hosts in touch obey the configuration.
const APPLY_TIME: Duration = Duration::from_millis(2000);

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

/// Guards against a host that can't be told and holds up every change: it is waited for once.
#[test]
fn a_host_that_is_cut_off_delays_one_change() {
    for seed in 0..10 {
        let mut world = World::new(seed, 4, 6, &[1, 2, 3]);
        world.run(ms(6000));
        assert!(put_within(&mut world, 7, 1, ms(8000)), "seed {seed}");
        world.cut.insert(9);
        world.unconfirmed.clear();
        assert!(put_within(&mut world, 7, 2, ms(1000)), "seed {seed}: the first change");
        assert_eq!(world.unconfirmed, [[9]], "seed {seed}: the log names the host");
        for number in 3..8 {
            assert!(put_within(&mut world, 7, number, ms(200)), "seed {seed}: change {number}");
        }
        world.cut.clear();
        world.run(ms(5000));
        assert_eq!(hosts_behind(&world, 7), [], "seed {seed}: after the cut");
        world.cut.insert(9);
        assert!(put_within(&mut world, 7, 8, ms(1000)), "seed {seed}: cut off again");
    }
}

/// Guards against a host that believes in a silent leader for longer than a configuration may take to
/// come into force.
#[test]
fn a_silent_leader_is_given_up_in_time() {
    for seed in 0..10 {
        let mut world = World::new(seed, 4, 6, &[1, 2, 3]);
        world.run(ms(6000));
        world.cut.insert(9);
        world.run(APPLY_TIME + ms(1100));
        let leader = world.machines[&9].host.as_ref().expect("it runs").leader();
        assert_eq!(leader, None, "seed {seed}");
    }
}

/// Time without trouble after which a host is in touch.
const CONTACT_TIME: Duration = Duration::from_millis(3000);
const DISKS: HostId = 4;
const HOSTS: HostId = 10;

/// Plays changes back to back under faults, and checks at each moment that the hosts in touch obey
/// what was acknowledged [`APPLY_TIME`] before.
struct Storm {
    world: World,
    rng: ChaCha8Rng,
    /// When trouble of each host last began or ended.
    troubled: BTreeMap<HostId, Duration>,
    /// What ends the trouble of a host, and when.
    ending: BTreeMap<HostId, Duration>,
    /// The unanswered change: host, tag, number.
    change: Option<(HostId, u64, u64, Duration)>,
    number: u64,
    /// The times at which numbers were acknowledged.
    acknowledged: Vec<(Duration, u64)>,
}

impl Storm {
    fn new(seed: u64) -> Storm {
        let mut world = World::new(seed, DISKS, HOSTS - DISKS, &[1, 2, 3]);
        world.run(ms(6000));
        Storm {
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
            troubled: BTreeMap::new(),
            ending: BTreeMap::new(),
            change: None,
            number: 0,
            acknowledged: Vec::new(),
        }
    }

    fn step(&mut self, seed: u64) {
        self.world.run(ms(20));
        self.end_trouble();
        if self.rng.random_bool(0.004) {
            self.begin_trouble();
        }
        self.operate();
        self.check(seed);
    }

    fn begin_trouble(&mut self) {
        let kind = self.rng.random_range(0..5);
        let span = ms(self.rng.random_range(200..4000));
        let hosts: Vec<HostId> = match kind {
            0 | 1 => (1..=DISKS).collect(),
            2 => vec![self.rng.random_range(1..=DISKS)],
            _ => vec![self.rng.random_range(DISKS + 1..=HOSTS)],
        };
        if hosts.iter().any(|it| self.ending.contains_key(it)) {
            return;
        }
        for host in hosts {
            match kind {
                3 => drop(self.world.cut.insert(host)),
                4 => drop(self.world.frozen.insert(host)),
                _ => self.world.kill(host),
            }
            self.troubled.insert(host, self.world.now);
            self.ending.insert(host, self.world.now + span);
        }
    }

    fn end_trouble(&mut self) {
        let now = self.world.now;
        let ended: Vec<HostId> =
            self.ending.iter().filter(|(_, at)| now >= **at).map(|(&host, _)| host).collect();
        for host in ended {
            self.ending.remove(&host);
            self.troubled.insert(host, now);
            self.world.cut.remove(&host);
            self.world.frozen.remove(&host);
            if self.world.machines[&host].host.is_none() {
                self.world.start(host);
            }
        }
    }

    /// Sends a change to a host in turn until it is acknowledged, then the next one.
    fn operate(&mut self) {
        let now = self.world.now;
        if let Some((host, tag, number, since)) = self.change {
            if self.world.machines[&host].replies.get(&tag) == Some(&Reply::InForce) {
                self.acknowledged.push((now, number));
                self.change = None;
            } else if now >= since + ms(1000) {
                self.change = None;
                self.number -= 1;
            }
            return;
        }
        self.number += 1;
        let host = self.rng.random_range(1..=HOSTS);
        let tag = self.world.tag();
        self.world.input(host, Input::Change { tag, command: replace(self.number) });
        self.change = Some((host, tag, self.number, now));
    }

    fn is_calm(&self, host: HostId) -> bool {
        let calm = |at: &Duration| self.world.now > *at + CONTACT_TIME;
        !self.ending.contains_key(&host) && self.troubled.get(&host).is_none_or(calm)
    }

    fn check(&self, seed: u64) {
        if !(1..=DISKS).all(|it| self.is_calm(it)) {
            return;
        }
        let due = self.acknowledged.iter().filter(|(at, _)| self.world.now > *at + APPLY_TIME);
        let Some(number) = due.map(|(_, number)| *number).max() else { return };
        for host in (1..=HOSTS).filter(|it| self.is_calm(*it)) {
            let obeyed = last_number(&self.world.machines[&host].configs);
            let now = self.world.now;
            assert!(
                obeyed >= number,
                "seed {seed}, {now:?}: host {host} obeys {obeyed}, not {number}"
            );
        }
    }
}

/// Guards against hosts in touch that obey an older configuration than one acknowledged 2 s ago,
/// while hosts are restarted, cut off and frozen. `CONFIG_SEEDS=1-200` plays more.
#[test]
fn acknowledged_configurations_hold_through_faults() {
    let range = std::env::var("CONFIG_SEEDS").unwrap_or_else(|_| "1-6".to_owned());
    let (first, last) = range.split_once('-').expect("FIRST-LAST");
    let (first, last): (u64, u64) = (first.parse().expect("a seed"), last.parse().expect("a seed"));
    for seed in first..=last {
        let mut storm = Storm::new(seed);
        for _ in 0..3000 {
            storm.step(seed);
        }
        assert!(storm.acknowledged.len() > 100, "seed {seed}: {}", storm.acknowledged.len());
    }
}

/// Guards against a host that answers that there is no route while a newer configuration may have
/// added it, and against hosts that refuse the routes that they know because nobody leads.
#[test]
fn hosts_that_hear_no_leader_serve_their_routes_and_deny_none() {
    for seed in 0..5 {
        let mut world = World::new(seed, 4, 6, &[1, 2, 3]);
        world.run(ms(6000));
        assert!(put_within(&mut world, 7, 1, ms(8000)), "seed {seed}");
        let decisions = |world: &World, host: HostId| {
            let state = world.machines[&host].host.as_ref().expect("it runs");
            let routed = ["known", "other"].map(|it| state.route(world.now, it, "/", 0));
            (state.is_ready(), routed.map(|it| it.map(|(route, _)| route.name.clone())))
        };
        let known = || Ok("r".to_owned());
        assert_eq!(decisions(&world, 9), (true, [known(), Err(NoRoute::None)]), "seed {seed}");
        world.cut.insert(9);
        for host in 1..=4 {
            world.kill(host);
        }
        for step in 0..60 {
            world.run(ms(100));
            for host in [7, 9] {
                let (ready, [served, denied]) = decisions(&world, host);
                assert_eq!((ready, served), (true, known()), "seed {seed}, step {step}");
                let is_denied = denied == Err(NoRoute::None);
                assert!(!is_denied || step < 25, "seed {seed}, step {step}: host {host}");
            }
        }
        world.cut.clear();
        for host in 1..=4 {
            world.start(host);
        }
        world.run(ms(6000));
        assert_eq!(decisions(&world, 9), (true, [known(), Err(NoRoute::None)]), "seed {seed}");
    }
}
