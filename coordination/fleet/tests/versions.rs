//! Which versions of an adapter may begin to run a request: from the time allowed after its acknowledgement on,
//! a newer version or none.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{
    World, ms,
    records::{query, target},
};
use desired::Command;
use fleet::{Choice, Input, Outcome, Reply, Reservation, TargetQuery};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{HostId, TargetState};

const ADAPTER: &str = "m/a";
/// Versions that exist; a target of its own holds each of them for good.
const VERSIONS: u64 = 7;
/// Time after the acknowledgement of a version from which on no older one may begin.
const DEADLINE: Duration = Duration::from_millis(5000);
/// Time without trouble after which a host is in touch.
const CONTACT: Duration = Duration::from_millis(3000);
const STEP: Duration = Duration::from_millis(50);
const HEARTBEAT: Duration = Duration::from_millis(1200);
const HOSTS: std::ops::RangeInclusive<HostId> = 1..=6;

fn holder_of(version: u64) -> String {
    format!("t{version}")
}

/// A request that can only run at the target that holds this version.
fn only(version: u64) -> TargetQuery {
    let tried = (1..=VERSIONS).filter(|it| *it != version).map(holder_of).collect();
    TargetQuery { tried, ..query(ADAPTER) }
}

struct Play {
    world: World,
    seed: u64,
    sequence: u64,
    heard: Duration,
    /// When each version was acknowledged.
    acked: BTreeMap<u64, Duration>,
    /// The calls that name versions, by host and tag.
    calls: Vec<(HostId, u64, u64)>,
    /// When trouble of a host last ended.
    troubled: BTreeMap<HostId, Duration>,
}

impl Play {
    /// Six hosts that know a target for each version.
    fn new(seed: u64) -> Play {
        let mut world = World::configured(seed);
        for version in 1..=VERSIONS {
            let held = world.targets.entry(holder_of(version)).or_default();
            held.adapters.insert(ADAPTER.to_owned(), version);
            held.busy = true;
        }
        let (acked, troubled) = (BTreeMap::new(), BTreeMap::new());
        let heard = world.now;
        let mut play = Play { world, seed, sequence: 0, heard, acked, calls: Vec::new(), troubled };
        play.send_heartbeats();
        play.run(ms(1500));
        for host in HOSTS {
            assert!(
                play.may_begin(host, 1),
                "seed {seed}, host {host}: the first version is in use"
            );
        }
        play
    }

    fn send_heartbeats(&mut self) {
        self.sequence += 1;
        self.heard = self.world.now;
        let Some(&host) = self.world.running().last() else { return };
        for version in 1..=VERSIONS {
            let record = target(&holder_of(version), 5, self.sequence, TargetState::Ready);
            self.world.input(host, Input::Heartbeat { record });
        }
    }

    /// Names a version at a host.
    fn name(&mut self, host: HostId, version: u64) {
        let tag = self.world.tag();
        let command = Command::Version { adapter: ADAPTER.to_owned(), version };
        self.calls.push((host, tag, version));
        self.world.input(host, Input::Change { tag, command });
    }

    fn run(&mut self, span: Duration) {
        let end = self.world.now + span;
        while self.world.now < end {
            self.world.run(STEP.min(end - self.world.now));
            if self.world.now >= self.heard + HEARTBEAT {
                self.send_heartbeats();
            }
            let answered = |(host, tag, version): &(HostId, u64, u64)| {
                let reply = self.world.machines[host].replies.get(tag);
                matches!(reply, Some(Reply::InForce)).then_some(*version)
            };
            for version in self.calls.iter().filter_map(answered).collect::<Vec<_>>() {
                self.acked.entry(version).or_insert(self.world.now);
            }
            self.check();
        }
    }

    fn reserve(&mut self, host: HostId, version: u64) -> Option<Reservation> {
        let query = only(version);
        match self.world.call(host, |it, now| it.choose(now, &query, 1)) {
            Choice::Send(reservation) => Some(reservation),
            _ => None,
        }
    }

    /// Whether a host would send a request to a target that holds this version.
    fn may_begin(&mut self, host: HostId, version: u64) -> bool {
        let Some(reservation) = self.reserve(host, version) else { return false };
        self.world.call(host, |it, now| (it.end(now, &reservation, Outcome::Left), Vec::new()));
        true
    }

    /// The oldest version that may begin now, by the acknowledgements alone.
    fn oldest_allowed(&self) -> u64 {
        let overdue = self.acked.iter().filter(|(_, at)| self.world.now > **at + DEADLINE);
        overdue.map(|(version, _)| *version).max().unwrap_or(0)
    }

    fn check(&mut self) {
        let (now, oldest) = (self.world.now, self.oldest_allowed());
        for host in self.world.running() {
            let troubled = self.troubled.get(&host).copied().unwrap_or_default();
            if self.world.frozen.contains(&host) || self.world.cut.contains(&host) {
                continue;
            }
            if now < troubled + CONTACT {
                continue;
            }
            for version in 1..oldest {
                assert!(
                    !self.may_begin(host, version),
                    "seed {}, {now:?}: a request may begin on version {version} at host {host}, with {oldest} \
                     overdue; acknowledged: {:?}",
                    self.seed,
                    self.acked
                );
            }
        }
    }
}

/// Guards against requests that begin on the version before the last one: while a new version was not due yet,
/// every version might run them. Load pattern: versions are named one after the other, each while a target
/// still holds one that was overdue (review/6).
#[test]
fn a_new_version_does_not_bring_an_overdue_one_back() {
    for (seed, gap_ms) in [(0, 5400), (1, 700), (2, 300), (3, 0), (4, 2600)] {
        let mut play = Play::new(seed);
        for version in 2..=5 {
            play.name(4, version);
            play.run(ms(gap_ms));
        }
        play.run(ms(7000));
        assert_eq!(play.acked.keys().copied().collect::<Vec<_>>(), [2, 3, 4, 5], "seed {seed}");
        play.name(4, 6);
        play.run(ms(7000));
    }
}

/// Guards against a bound that is stricter than needed: requests would wait for the newest version at all hosts
/// at the moment at which it is acknowledged.
#[test]
fn the_version_before_may_begin_for_a_while() {
    let mut play = Play::new(5);
    for version in [2, 3] {
        play.name(4, version);
        while !play.acked.contains_key(&version) {
            play.run(STEP);
        }
        for host in HOSTS {
            assert!(
                play.may_begin(host, version - 1),
                "host {host}, version {version} was just named"
            );
        }
        play.run(ms(2000));
    }
}

/// Guards against a host that counts the time of a version from when it learns of it, though others had
/// acknowledged it long before: it was cut off, and gets the version with the log or with a snapshot.
#[test]
fn a_host_that_learns_late_of_a_version_has_no_time_left() {
    for (seed, entries) in [(0, 0), (1, 60)] {
        let mut play = Play::new(seed);
        play.world.cut.insert(5);
        play.name(4, 2);
        for number in 0..entries {
            let tag = play.world.tag();
            let command = Command::Version { adapter: format!("m/b{number}"), version: 2 };
            play.world.input(4, Input::Change { tag, command });
            play.run(ms(20));
        }
        play.run(ms(6000));
        play.world.cut.clear();
        play.troubled.insert(5, play.world.now);
        for _ in 0..40 {
            play.run(STEP);
            // It names the newest version that the host knows.
            let former = play.reserve(5, 1).and_then(|it| it.former_version);
            assert_eq!(former, None, "seed {seed}, {:?}: version 1 may begin", play.world.now);
        }
        let is_current = play.may_begin(5, 2) && !play.may_begin(5, 1);
        assert!(is_current, "seed {seed}: the host has not caught up in 2 s");
    }
}

/// Guards against a reopened data folder that takes a host back to a former version: its snapshot is older than
/// what the process has applied.
#[test]
fn a_reopened_disk_does_not_bring_an_overdue_version_back() {
    let mut play = Play::new(3);
    for version in 2..=4 {
        play.name(4, version);
        play.run(ms(6000));
    }
    let leader = play.world.leader().expect("a leader");
    let host = (1..=3).find(|it| *it != leader).expect("another host with a disk");
    let disk = play.world.machines[&host].disk.clone().expect("it has a disk");
    play.world.input(host, Input::SyncFailed("disk full".to_owned()));
    // Cut off from the leader, so that the log does not repair it at once.
    play.world.cut.insert(host);
    play.world.input(host, Input::Reopened(Box::new(disk)));
    for version in 1..4 {
        assert!(!play.may_begin(host, version), "version {version} after the disk was reopened");
    }
}

/// Guards against a request that is sent to a former version because it was allowed there when it began to wait
/// for its prefill permit.
#[test]
fn a_target_becomes_unusable_for_requests_that_wait_when_its_version_is_overdue() {
    let mut play = Play::new(6);
    play.name(4, 2);
    play.run(ms(200));
    let reservation = play.reserve(4, 1).expect("version 1 is still allowed");
    let is_usable = |play: &Play| {
        let host = play.world.machines[&4].host.as_ref().expect("it runs");
        host.is_usable(play.world.now, &reservation, &only(1))
    };
    assert!(is_usable(&play), "just reserved");
    play.run(DEADLINE);
    assert!(!is_usable(&play), "version 2 is overdue");
}

/// Guards against overdue versions in any order of versions, restarts, cuts, freezes, lost messages and reopened
/// disks. Virtual time, fixed seeds; `VERSION_SEEDS=FIRST-LAST` plays others.
#[test]
fn no_overdue_version_begins_whatever_happens() {
    let seeds = std::env::var("VERSION_SEEDS").unwrap_or_else(|_| "0-11".to_owned());
    let (first, last) = seeds.split_once('-').expect("FIRST-LAST");
    for seed in first.parse().expect("a number")..=last.parse::<u64>().expect("a number") {
        let mut play = Play::new(seed);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        play.world.network.loss = [0.0, 0.0, 0.01][rng.random_range(0..3)];
        let mut version = 1;
        for _ in 0..14 {
            if version < VERSIONS && rng.random_bool(0.6) {
                version += 1;
                let host = rng.random_range(4..=6);
                play.name(host, version);
            }
            play.run(ms(rng.random_range(0..1500)));
            play.disturb(&mut rng);
            play.run(ms(rng.random_range(0..4000)));
        }
        play.world.network.loss = 0.0;
        play.run(ms(12_000));
        assert!(!play.acked.is_empty(), "seed {seed}: versions were acknowledged");
    }
}

impl Play {
    /// One piece of trouble, from its begin to its end.
    fn disturb(&mut self, rng: &mut ChaCha8Rng) {
        let host = rng.random_range(HOSTS);
        let span = ms(rng.random_range(100..7000));
        let hosts: Vec<HostId> = match rng.random_range(0..3) {
            0 => (1..=3).collect(),
            1 => HOSTS.collect(),
            _ => vec![host],
        };
        match rng.random_range(0..6) {
            0 => {
                for host in &hosts {
                    self.world.kill(*host);
                }
                self.run(span.min(ms(900)));
                for host in &hosts {
                    self.world.start(*host);
                    self.troubled.insert(*host, self.world.now);
                }
            }
            1 => {
                self.world.frozen.insert(host);
                self.run(span);
                self.world.frozen.remove(&host);
                self.troubled.insert(host, self.world.now);
            }
            2 => {
                self.world.cut.insert(host);
                self.run(span);
                self.world.cut.clear();
                self.troubled.insert(host, self.world.now);
            }
            3 if host <= 3 => {
                self.world.input(host, Input::SyncFailed("disk full".to_owned()));
                let disk = self.world.machines[&host].disk.clone().expect("it has a disk");
                self.world.input(host, Input::Reopened(Box::new(disk)));
                self.troubled.insert(host, self.world.now);
            }
            _ => {}
        }
    }
}
