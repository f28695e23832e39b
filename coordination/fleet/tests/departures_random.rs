//! Targets that leave, die and start again under their names in random order, while heartbeats are held up or
//! arrive late and hosts restart, one, all at once or one after the other: no host uses a process that has left, and all use those that go on. Virtual
//! time, fixed seeds; `DEPARTURE_SEEDS=FIRST-LAST` plays others.

mod common;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use common::{
    World, ms,
    records::{deregistration, target},
};
use fleet::{Input, Reply};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{HostId, TargetRecord, TargetState};

const TARGETS: usize = 4;
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time after the acknowledgement that a target leaves within which hosts stop using it.
const DRAIN: Duration = Duration::from_millis(2000);
/// Time after its start from which a host is held to that.
const CONTACT: Duration = Duration::from_millis(3000);
/// How long a schedule lasts, and the calm time after it in which all hosts find the targets that go on.
const SCHEDULE: Duration = Duration::from_secs(60);
const CALM: Duration = Duration::from_secs(12);
const STEP: Duration = Duration::from_millis(50);
/// Time after the start of a process, without trouble, in which all hosts find it.
const FOUND_MS: u64 = 3000;
/// How far the clock of a host may be ahead of that of a target.
const MAX_SKEW_MS: u64 = 1000;
/// The time of day when the world begins.
const BEGIN_MS: u64 = 1_000_000;

/// Returns the time of day, in milliseconds since the Unix epoch.
fn unix_ms(now: Duration) -> u64 {
    BEGIN_MS + now.as_millis() as u64
}

/// How a process of a target ends.
#[derive(Clone, Copy, PartialEq)]
enum Life {
    Runs,
    /// It deregisters, and repeats that until it is acknowledged.
    Deregisters {
        names_start: bool,
    },
    /// It says in its heartbeats that it leaves, and deregisters afterwards.
    Drains,
    /// It ended without a word, or has said all.
    Over,
}

struct Process {
    started_at: u64,
    sequence: u64,
    life: Life,
    next_heartbeat: Duration,
    /// Until when its heartbeats are held up.
    cut_until: Duration,
    /// When the next process starts under its name.
    followed_at: Option<Duration>,
}

struct Model {
    seed: u64,
    world: World,
    rng: ChaCha8Rng,
    processes: Vec<Process>,
    /// When it was acknowledged that a process leaves, by target and start.
    left: BTreeMap<(usize, u64), Duration>,
    /// Calls that say so and are not answered.
    calls: Vec<Call>,
    /// Heartbeats under way, by the time of their arrival.
    held: Vec<(Duration, TargetRecord)>,
    /// When each host last started, and those that are down.
    started: BTreeMap<HostId, Duration>,
    down: Vec<(HostId, Duration)>,
    /// When further hosts are killed, and which.
    kills: VecDeque<(Duration, Vec<HostId>)>,
}

/// A call by which a target's process says that it leaves.
struct Call {
    host: HostId,
    tag: u64,
    target: usize,
    started_at: u64,
    since: Duration,
}

impl Model {
    fn new(seed: u64) -> Model {
        let mut world = World::new(seed, 3, 5, &[1, 2, 3]);
        world.run(ms(5000));
        let process = |_| Process {
            started_at: unix_ms(Duration::ZERO),
            sequence: 0,
            life: Life::Runs,
            next_heartbeat: Duration::ZERO,
            cut_until: Duration::ZERO,
            followed_at: None,
        };
        Model {
            seed,
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
            processes: (0..TARGETS).map(process).collect(),
            left: BTreeMap::new(),
            calls: Vec::new(),
            held: Vec::new(),
            started: BTreeMap::new(),
            down: Vec::new(),
            kills: VecDeque::new(),
        }
    }

    /// Returns a running host, if there is one.
    fn host(&mut self) -> Option<HostId> {
        let hosts = self.world.running();
        let number = self.rng.random_range(0..hosts.len().max(1));
        hosts.get(number).copied()
    }

    fn step(&mut self, has_trouble: bool) {
        self.world.run(STEP);
        let now = self.world.now;
        let (due, held): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.held).into_iter().partition(|(at, _)| *at <= now);
        self.held = held;
        for (_, record) in due {
            self.arrive(record);
        }
        self.take_replies();
        for number in 0..TARGETS {
            self.run_process(number, has_trouble);
        }
        self.restart_hosts(has_trouble);
        self.check();
    }

    /// A heartbeat arrives. One that says that its target leaves counts once it was acknowledged.
    fn arrive(&mut self, record: TargetRecord) {
        let Some(host) = self.host() else { return };
        if record.state != TargetState::Leaving {
            return self.world.input(host, Input::Heartbeat { record });
        }
        let state = self.world.machines[&host].host.as_ref().expect("it runs");
        if state.can_announce() {
            let number = record.id[1..].parse().expect("a number");
            let tag = self.call(host, number, record.started_at);
            self.world.input(host, Input::Leaves { tag, record });
        }
    }

    fn call(&mut self, host: HostId, target: usize, started_at: u64) -> u64 {
        let (tag, since) = (self.world.tag(), self.world.now);
        self.calls.push(Call { host, tag, target, started_at, since });
        tag
    }

    /// Notes which processes were acknowledged to leave. A target waits a second for that.
    fn take_replies(&mut self) {
        let now = self.world.now;
        for call in std::mem::take(&mut self.calls) {
            let reply = self.world.machines[&call.host].replies.get(&call.tag);
            if matches!(reply, Some(Reply::InForce)) {
                self.acknowledged(call.target, call.started_at);
            } else if reply.is_none() && now < call.since + ms(1000) {
                self.calls.push(call);
            }
        }
    }

    fn acknowledged(&mut self, number: usize, started_at: u64) {
        let now = self.world.now;
        self.left.entry((number, started_at)).or_insert(now);
        let next = now + ms(self.rng.random_range(3000..9000));
        let process = &mut self.processes[number];
        match process.life {
            _ if process.started_at != started_at => {}
            // It serves for a while, then deregisters.
            Life::Drains => process.life = Life::Deregisters { names_start: true },
            Life::Deregisters { .. } => {
                (process.life, process.followed_at) = (Life::Over, Some(next));
            }
            Life::Runs | Life::Over => {}
        }
    }

    fn run_process(&mut self, number: usize, has_trouble: bool) {
        let now = self.world.now;
        if self.processes[number].followed_at.is_some_and(|at| now >= at) {
            let process = &mut self.processes[number];
            process.started_at = unix_ms(now);
            process.sequence = 0;
            process.life = Life::Runs;
            process.followed_at = None;
        }
        if has_trouble && self.processes[number].life == Life::Runs {
            self.draw_trouble(number);
        }
        self.send_heartbeat(number, has_trouble);
        if let Life::Deregisters { names_start } = self.processes[number].life {
            self.deregister(number, names_start);
        }
    }

    fn draw_trouble(&mut self, number: usize) {
        let now = self.world.now;
        let life = match self.rng.random_range(0..1000) {
            0..4 => Life::Deregisters { names_start: true },
            4..6 => Life::Deregisters { names_start: false },
            6..10 => Life::Drains,
            10..13 => Life::Over,
            13..18 => {
                let span = ms(self.rng.random_range(2000..9000));
                self.processes[number].cut_until = now + span;
                return;
            }
            _ => return,
        };
        let process = &mut self.processes[number];
        process.life = life;
        if life == Life::Over {
            process.followed_at = Some(now + ms(self.rng.random_range(500..9000)));
        }
    }

    /// Sends a heartbeat if one is due. It arrives at once, seconds late, or when a cut has healed.
    fn send_heartbeat(&mut self, number: usize, has_trouble: bool) {
        let now = self.world.now;
        let is_late = has_trouble && self.rng.random_bool(0.1);
        let late = ms(self.rng.random_range(0..6000));
        let process = &mut self.processes[number];
        let is_silent = matches!(process.life, Life::Over | Life::Deregisters { .. });
        if is_silent || now < process.next_heartbeat {
            return;
        }
        process.next_heartbeat = now + HEARTBEAT;
        process.sequence += 1;
        let state = match process.life {
            Life::Drains => TargetState::Leaving,
            _ => TargetState::Ready,
        };
        let id = format!("t{number}");
        let record = target(&id, process.started_at, process.sequence, state);
        let at = if is_late { now + late } else { now };
        let at = at.max(process.cut_until);
        if at > now {
            self.held.push((at, record));
            return;
        }
        self.arrive(record);
    }

    fn deregister(&mut self, number: usize, names_start: bool) {
        let now = self.world.now;
        if now < self.processes[number].cut_until || self.calls.iter().any(|it| it.target == number)
        {
            return;
        }
        let Some(host) = self.host() else { return };
        let (id, started_at) = (format!("t{number}"), self.processes[number].started_at);
        let named = names_start.then_some(started_at);
        let skew = self.rng.random_range(0..MAX_SKEW_MS);
        let state = self.world.machines[&host].host.as_ref().expect("it runs");
        if !state.can_deregister(&id, named) {
            return;
        }
        let tag = self.call(host, number, started_at);
        self.world.input(host, deregistration(tag, &id, named, unix_ms(now) + skew));
    }

    /// Starts hosts again, and kills others now and then: one, all at once, or one after the other.
    fn restart_hosts(&mut self, has_trouble: bool) {
        let now = self.world.now;
        let (back, down): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.down).into_iter().partition(|(_, until)| now >= *until);
        self.down = down;
        for (host, _) in back {
            self.world.start(host);
            self.started.insert(host, now);
        }
        if !has_trouble {
            self.kills.clear();
        }
        while self.kills.front().is_some_and(|(at, _)| now >= *at) {
            let Some((_, hosts)) = self.kills.pop_front() else { return };
            let span = if hosts.len() > 1 { 100..900 } else { 100..3000 };
            let until = now + ms(self.rng.random_range(span));
            for host in hosts {
                self.world.kill(host);
                self.down.push((host, until));
            }
        }
        let last = self.started.values().max().copied().unwrap_or_default();
        let is_settled = now > last + ms(6000) && self.down.is_empty() && self.kills.is_empty();
        if has_trouble && is_settled && self.rng.random_bool(0.01) {
            self.plan_kills();
        }
    }

    fn plan_kills(&mut self) {
        let now = self.world.now;
        let hosts = self.world.running();
        match self.rng.random_range(0..6) {
            0 => self.kills.push_back((now, hosts)),
            1 => self.kills.extend([(now, hosts.clone()), (now + ms(2500), hosts)]),
            2 => {
                let step = ms(self.rng.random_range(1500..3500));
                for (number, host) in (0..).zip(hosts) {
                    self.kills.push_back((now + step * number, vec![host]));
                }
            }
            _ => {
                let number = self.rng.random_range(0..hosts.len());
                self.kills.push_back((now, vec![hosts[number]]));
            }
        }
    }

    fn check(&self) {
        let now = self.world.now;
        for host in self.world.running() {
            let started = self.started.get(&host).copied().unwrap_or_default();
            if now < started + CONTACT {
                continue;
            }
            let state = self.world.machines[&host].host.as_ref().expect("it runs");
            for (&(number, started_at), &left) in &self.left {
                let known = state.targets().get(&format!("t{number}"));
                let uses = known.is_some_and(|it| {
                    it.record.started_at == started_at && it.record.state == TargetState::Ready
                });
                let late = now.saturating_sub(left);
                assert!(
                    !uses || late <= DRAIN,
                    "seed {}, {now:?}: host {host} uses t{number} of start {started_at}, {late:?} after it \
                     was acknowledged that it leaves",
                    self.seed
                );
            }
        }
    }

    /// Checks that all hosts use each process that has run for a while.
    fn check_calm(&self) {
        for host in self.world.running() {
            let state = self.world.machines[&host].host.as_ref().expect("it runs");
            for (number, process) in self.processes.iter().enumerate() {
                let is_new = unix_ms(self.world.now) < process.started_at + FOUND_MS;
                if process.life != Life::Runs || is_new {
                    continue;
                }
                let known = state.targets().get(&format!("t{number}")).map(|it| &it.record);
                let known = known.map(|it| (it.started_at, it.state));
                let expected = Some((process.started_at, TargetState::Ready));
                assert_eq!(known, expected, "seed {}, host {host}, t{number}", self.seed);
            }
        }
    }
}

/// Guards against targets that are used after they left, and against targets that are sound and not used,
/// whatever the order of heartbeats, ends, restarts and hosts.
#[test]
fn what_has_left_stays_away_and_what_goes_on_is_used() {
    let seeds = std::env::var("DEPARTURE_SEEDS").unwrap_or_else(|_| "0-7".to_owned());
    let (first, last) = seeds.split_once('-').expect("FIRST-LAST");
    let mut ended = 0;
    for seed in first.parse().expect("a number")..=last.parse::<u64>().expect("a number") {
        let mut model = Model::new(seed);
        let end = model.world.now + SCHEDULE;
        while model.world.now < end {
            model.step(true);
        }
        let end = model.world.now + CALM;
        while model.world.now < end {
            model.step(false);
        }
        model.check_calm();
        ended += model.left.len();
    }
    assert!(ended > 0, "targets left");
}
