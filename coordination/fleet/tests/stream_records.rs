//! Model of streams that begin at targets of several software versions and are taken up again at any
//! host, through lost hosts, disks, leaders and messages. What a host says of a stream must be the
//! version that began it.

mod common;

use std::time::Duration;

use common::{World, ms, records::target};
use fleet::{Input, stable_hash, stream_hash};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{HostId, TargetState};

const STEP: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Longest time from a stream's beginning until it is taken up.
const LIFE: Duration = Duration::from_secs(20);
/// How long a host waits for the version of a stream, and for a record.
const PATIENCE: Duration = Duration::from_millis(1500);

struct Stream {
    attempt: String,
    software: u64,
    began: Duration,
    /// The host that begins it, until its first event goes out.
    beginning: Option<HostId>,
}

/// A take-up that waits for the version.
struct TakeUp {
    host: HostId,
    hash: u64,
    stream: usize,
    until: Duration,
}

struct Model {
    world: World,
    rng: ChaCha8Rng,
    /// Software version of each target.
    targets: Vec<(String, &'static str)>,
    streams: Vec<Stream>,
    take_ups: Vec<TakeUp>,
    heartbeat: Duration,
    sequence: u64,
    /// Take-ups of which the version was told, and those of which it was not.
    told: usize,
    untold: usize,
}

impl Model {
    fn new(seed: u64) -> Model {
        Model::with_disks(seed, 3)
    }

    /// Makes a model of ten hosts, `disks` of them with a disk.
    fn with_disks(seed: u64, disks: u32) -> Model {
        let mut world = World::new(seed, disks, 10 - disks, &[1, 2, 3]);
        world.run(ms(8000));
        let tag = world.tag();
        let body = desired::pack(b"{}");
        let command = desired::Command::Replace { number: 1, body };
        world.input(1, Input::Change { tag, command });
        world.run(ms(4000));
        let targets = (0..4).map(|number| (format!("t{number}"), "v1")).collect();
        let mut model = Model {
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
            targets,
            streams: Vec::new(),
            take_ups: Vec::new(),
            heartbeat: Duration::ZERO,
            sequence: 0,
            told: 0,
            untold: 0,
        };
        model.run(ms(5000), 0.0);
        model
    }

    /// Runs with `pressure` new streams a second.
    fn run(&mut self, span: Duration, pressure: f64) {
        let end = self.world.now + span;
        while self.world.now < end {
            self.world.run(STEP);
            if self.world.now >= self.heartbeat + HEARTBEAT {
                self.send_heartbeats();
            }
            if self.rng.random_bool(pressure * STEP.as_secs_f64()) {
                self.begin();
                self.take_up();
            }
            self.confirm();
            self.check_found();
        }
    }

    fn send_heartbeats(&mut self) {
        self.heartbeat = self.world.now;
        self.sequence += 1;
        for (id, software) in self.targets.clone() {
            let Some(host) = self.any_host() else { continue };
            let mut record = target(&id, 1, self.sequence, TargetState::Ready);
            record.software = software.to_owned();
            self.world.input(host, Input::Heartbeat { record });
        }
    }

    fn any_host(&mut self) -> Option<HostId> {
        let hosts = self.world.running();
        let hosts: Vec<_> = hosts.into_iter().filter(|it| !self.world.cut.contains(it)).collect();
        (!hosts.is_empty()).then(|| hosts[self.rng.random_range(0..hosts.len())])
    }

    fn begin(&mut self) {
        let Some(host) = self.any_host() else { return };
        let state = self.world.machines[&host].host.as_ref().expect("it runs");
        if !state.is_ready() {
            return;
        }
        let known: Vec<u64> = state.targets().ready("s").map(|it| it.software).collect();
        if known.is_empty() {
            return;
        }
        let software = known[self.rng.random_range(0..known.len())];
        let attempt = format!("a{}", self.streams.len());
        let stream = stream_hash("s", &attempt);
        let waits = self.world.call(host, |state, now| {
            if !state.needs_record(now, "s", software) {
                return (false, Vec::new());
            }
            (true, state.record_stream(now, stream, "s", software))
        });
        let beginning = waits.then_some(host);
        self.streams.push(Stream { attempt, software, began: self.world.now, beginning });
    }

    /// Lets the first events go out of the streams whose records are confirmed.
    fn confirm(&mut self) {
        for stream in &mut self.streams {
            let Some(host) = stream.beginning else { continue };
            let hash = stream_hash("s", &stream.attempt);
            if self.world.machines[&host].recorded.contains(&hash) {
                stream.beginning = None;
            }
        }
    }

    fn take_up(&mut self) {
        let now = self.world.now;
        let from = self.streams.iter().position(|it| it.began + LIFE > now);
        let Some(from) = from else { return };
        let stream = self.rng.random_range(from..self.streams.len());
        if self.streams[stream].beginning.is_some() {
            return;
        }
        let Some(host) = self.any_host() else { return };
        if !self.world.machines[&host].host.as_ref().is_some_and(|it| it.is_ready()) {
            return;
        }
        let attempt = self.streams[stream].attempt.clone();
        let hash = self.world.call(host, |state, now| state.find_stream(now, "s", Some(&attempt)));
        self.take_ups.push(TakeUp { host, hash, stream, until: now + PATIENCE });
    }

    fn check_found(&mut self) {
        let now = self.world.now;
        for take_up in std::mem::take(&mut self.take_ups) {
            let machine = &self.world.machines[&take_up.host];
            match machine.found.get(&take_up.hash) {
                Some(&software) => {
                    let stream = &self.streams[take_up.stream];
                    assert_eq!(
                        software, stream.software,
                        "{}, begun at {:?}, taken up by {:?}",
                        stream.attempt, stream.began, now
                    );
                    self.told += 1;
                }
                None if now < take_up.until && machine.host.is_some() => {
                    self.take_ups.push(take_up);
                }
                None => self.untold += 1,
            }
        }
    }

    /// Replaces half of the targets by ones of another version.
    fn release(&mut self, software: &'static str) {
        for number in 0..2 {
            let id = format!("{software}-{number}");
            let at = self.rng.random_range(0..self.targets.len());
            self.targets[at] = (id, software);
        }
    }

    fn kill_all(&mut self) {
        for host in self.world.running() {
            self.world.kill(host);
        }
        self.run(ms(500), 0.0);
        for host in self.world.machines.keys().copied().collect::<Vec<_>>() {
            self.world.start(host);
        }
    }

    fn rates(&mut self) -> (usize, usize) {
        (std::mem::take(&mut self.told), std::mem::take(&mut self.untold))
    }
}

/// Guards against a take-up at a version that did not begin the stream, and against take-ups that
/// are refused though enough voters know the version.
#[test]
fn any_host_knows_the_version_that_began_a_stream() {
    for seed in 0..6 {
        let mut model = Model::new(seed);
        model.run(ms(4000), 20.0);
        model.release("v2");
        model.run(ms(8000), 20.0);
        model.world.kill(1 + seed as HostId % 3);
        model.run(ms(6000), 20.0);
        model.world.start(1 + seed as HostId % 3);
        model.run(ms(4000), 20.0);
        let (told, untold) = model.rates();
        assert!(untold * 10 <= told, "seed {seed}: told {told}, not {untold}");
    }
}

/// Guards against versions that are forgotten, or guessed, after all hosts were killed at once, also
/// when the targets of the older version are gone by then.
#[test]
fn versions_outlive_the_loss_of_all_hosts() {
    for seed in 0..6 {
        let mut model = Model::new(100 + seed);
        model.run(ms(4000), 20.0);
        model.release("v2");
        model.run(ms(6000), 20.0);
        if seed % 2 == 0 {
            model.targets.retain(|(_, software)| *software == "v2");
            model.targets.push(("v2-9".to_owned(), "v2"));
        }
        model.kill_all();
        model.run(ms(8000), 0.0);
        model.rates();
        model.run(ms(8000), 20.0);
        let (told, untold) = model.rates();
        assert!(untold * 10 <= told, "seed {seed}: told {told}, not {untold}");
    }
}

/// Guards against wrong versions while hosts are killed, cut off and replaced, disks and messages
/// are lost, and a third version comes.
#[test]
fn versions_are_never_wrong_through_faults() {
    for seed in 0..16 {
        let mut model = Model::new(200 + seed);
        model.world.network.loss = if seed % 2 == 0 { 0.03 } else { 0.0 };
        model.run(ms(2000), 20.0);
        model.release("v2");
        for round in 0..6 {
            model.run(ms(2500), 20.0);
            let victim = 1 + model.rng.random_range(0..10);
            match (seed + round) % 6 {
                0 => model.kill_all(),
                1 => {
                    let voter = 1 + victim % 3;
                    model.world.wipe(voter);
                    model.run(ms(300), 20.0);
                    model.world.start(voter);
                    model.run(ms(6000), 20.0);
                }
                2 => drop(model.world.cut.insert(victim)),
                3 => {
                    model.world.kill(victim);
                    model.run(ms(1500), 20.0);
                    model.world.start(victim);
                }
                4 => model.release("v3"),
                _ => {
                    model.world.kill(1 + victim % 3);
                    model.world.add(30 + round as HostId, true);
                }
            }
            model.run(ms(2500), 20.0);
            model.world.cut.clear();
            for host in model.world.machines.keys().copied().collect::<Vec<_>>() {
                if !model.world.running().contains(&host) && host < 30 && round % 2 == 1 {
                    model.world.start(host);
                }
            }
        }
        model.run(ms(20_000), 20.0);
        assert!(model.told > 100, "seed {seed}: told {}", model.told);
    }
}

/// Guards against a record that was kept by a majority of many voters and is missing at a majority of
/// those that are left.
#[test]
fn versions_are_known_after_voters_are_lost() {
    for seed in 0..12 {
        let mut model = Model::with_disks(400 + seed, 7);
        model.run(ms(8000), 10.0);
        model.release("v2");
        model.run(ms(2000), 20.0);
        // Shorter than the time after which silent voters are replaced.
        model.world.cut.extend([1, 2, 3]);
        model.run(ms(2500), 40.0);
        model.world.cut.clear();
        model.world.kill(6);
        model.world.kill(7);
        model.run(ms(6000), 0.0);
        model.rates();
        model.run(ms(6000), 40.0);
        let (told, untold) = model.rates();
        assert!(untold * 10 <= told, "seed {seed}: told {told}, not {untold}");
    }
}

/// Guards against records of every stream, or none, while only one version serves, and against a
/// default that changes before the streams of the former one have ended.
#[test]
fn the_default_version_follows_the_targets_slowly() {
    let mut model = Model::new(300);
    model.run(ms(2000), 20.0);
    let needs = |model: &mut Model, software: &str| {
        let hash = stable_hash(&software);
        model.world.call(5, |state, now| (state.needs_record(now, "s", hash), Vec::new()))
    };
    assert!(!needs(&mut model, "v1"));
    assert!(needs(&mut model, "v2"));
    model.targets = (0..4).map(|number| (format!("n{number}"), "v2")).collect();
    model.run(ms(30_000), 20.0);
    assert!(needs(&mut model, "v1"));
    assert!(needs(&mut model, "v2"));
    model.run(ms(200_000), 5.0);
    assert!(needs(&mut model, "v2"));
    model.run(ms(150_000), 5.0);
    assert!(!needs(&mut model, "v2"));
    assert!(needs(&mut model, "v1"));
    let (told, untold) = model.rates();
    assert!(untold * 10 <= told, "told {told}, not {untold}");
}
