//! Model of targets that fall over once they turn too many requests away, and of hosts whose callers
//! press on them. The bound is the users': while a service's targets say that they are brittle, they
//! fall over no more often than 2 + a tenth of their number.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use common::{
    World, ms,
    records::{query, target},
};
use fleet::{Choice, Input, Outcome, Reservation};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{HostId, TargetState};

const STEP: Duration = Duration::from_millis(5);
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// How long a caller waits to be sent.
const PATIENCE: Duration = Duration::from_millis(400);
/// Requests that a target runs at a time.
const SLOTS: usize = 4;
/// Time that a request runs.
const RUN: std::ops::Range<u64> = 50..150;
/// Requests that a target may turn away in a second.
const REFUSALS: u32 = 3;
/// Time from the first brittle answer until targets fall over.
const CONTACT: Duration = Duration::from_secs(3);
/// Share of what the targets can serve that is served at least, also while a holder is lost.
const MIN_SERVED: f64 = 0.25;
const DOWN: Duration = Duration::from_secs(3);

/// A caller's request that waits at a host to be sent.
struct Request {
    host: HostId,
    arrived: Duration,
    tried: BTreeSet<String>,
}

struct Running {
    host: HostId,
    reservation: Reservation,
    ends: Duration,
}

#[derive(Default)]
struct BrittleTarget {
    running: Vec<Running>,
    /// When it turned requests away within the last second.
    refusals: Vec<Duration>,
    down_until: Duration,
    falls: usize,
    served: usize,
}

struct Model {
    world: World,
    rng: ChaCha8Rng,
    targets: BTreeMap<String, BrittleTarget>,
    waiting: Vec<Request>,
    /// Requests per second of all hosts together.
    pressure: f64,
    /// Requests that a target lets wait.
    room: usize,
    heartbeat: Duration,
    sequence: u64,
    brittle_from: Duration,
}

impl Model {
    fn new(seed: u64, hosts: u32, targets: usize, pressure: f64) -> Model {
        let mut world = World::new(seed, 3, hosts - 3, &[1, 2, 3]);
        world.run(ms(8000));
        let tag = world.tag();
        let body = desired::pack(b"{}");
        let command = desired::Command::Replace { number: 1, body };
        world.input(1, Input::Change { tag, command });
        world.run(ms(8000));
        let names = (0..targets).map(|it| (format!("t{it}"), BrittleTarget::default()));
        let mut model = Model {
            brittle_from: world.now,
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
            targets: names.collect(),
            waiting: Vec::new(),
            pressure,
            room: 8,
            heartbeat: Duration::ZERO,
            sequence: 0,
        };
        model.send_heartbeats();
        model.world.run(ms(1000));
        model
    }

    fn run(&mut self, span: Duration) {
        let end = self.world.now + span;
        while self.world.now < end {
            self.world.run(STEP);
            if self.world.now >= self.heartbeat + HEARTBEAT {
                self.send_heartbeats();
            }
            self.arrive();
            self.send();
            self.answer();
        }
    }

    fn send_heartbeats(&mut self) {
        self.heartbeat = self.world.now;
        self.sequence += 1;
        let hosts = self.world.running();
        for (number, id) in self.targets.keys().enumerate() {
            let host = hosts[(number + self.sequence as usize) % hosts.len()];
            let record = target(id, 1, self.sequence, TargetState::Ready);
            self.world.input(host, Input::Heartbeat { record });
        }
    }

    fn arrive(&mut self) {
        let mut expected = self.pressure * STEP.as_secs_f64();
        let hosts = self.world.running();
        while expected > 0.0 {
            if self.rng.random_bool(expected.min(1.0)) {
                let host = hosts[self.rng.random_range(0..hosts.len())];
                let arrived = self.world.now;
                self.waiting.push(Request { host, arrived, tried: BTreeSet::new() });
            }
            expected -= 1.0;
        }
    }

    fn send(&mut self) {
        for request in std::mem::take(&mut self.waiting) {
            let now = self.world.now;
            if now >= request.arrived + PATIENCE || !self.world.running().contains(&request.host) {
                continue;
            }
            let mut query = query("");
            (query.adapter, query.arrived) = (None, request.arrived);
            query.tried = request.tried.clone();
            let draw = self.rng.random();
            let choose = |state: &mut fleet::Host, now: Duration| state.choose(now, &query, draw);
            match self.world.call(request.host, choose) {
                Choice::Send(reservation) => self.reach(request, reservation),
                Choice::None => {}
                _ => self.waiting.push(request),
            }
        }
    }

    fn reach(&mut self, mut request: Request, reservation: Reservation) {
        let now = self.world.now;
        let id = reservation.target.clone();
        let target = self.targets.get_mut(&id).expect("it is known");
        if now < target.down_until {
            self.end(request.host, &reservation, Outcome::NoAnswer);
            return;
        }
        if target.running.len() < SLOTS + self.room {
            // Requests that wait for a slot run one after the other.
            let run = ms(self.rng.random_range(RUN));
            let mut ends: Vec<Duration> = target.running.iter().map(|it| it.ends).collect();
            ends.sort();
            let begin = ends.len().checked_sub(SLOTS).map_or(now, |at| ends[at]);
            let host = request.host;
            target.running.push(Running { host, reservation, ends: begin.max(now) + run });
            return;
        }
        target.refusals.retain(|it| now < *it + ms(1000));
        target.refusals.push(now);
        if now >= self.brittle_from + CONTACT && target.refusals.len() > REFUSALS as usize {
            target.falls += 1;
            target.down_until = now + DOWN;
            let lost = std::mem::take(&mut target.running);
            for it in lost {
                self.end(it.host, &it.reservation, Outcome::NoAnswer);
            }
        }
        self.world.call(request.host, |state, now| {
            let mut outputs = state.record_brittle(now, &reservation, Some(REFUSALS), true);
            outputs.extend(state.record_limit(now, &reservation, None));
            state.end(now, &reservation, Outcome::Refused);
            ((), outputs)
        });
        request.tried.insert(id);
        self.waiting.push(request);
    }

    fn end(&mut self, host: HostId, reservation: &Reservation, outcome: Outcome) {
        if self.world.running().contains(&host) {
            self.world.call(host, |state, now| (state.end(now, reservation, outcome), Vec::new()));
        }
    }

    fn answer(&mut self) {
        let now = self.world.now;
        for target in self.targets.values_mut() {
            let (ended, running): (Vec<_>, Vec<_>) =
                std::mem::take(&mut target.running).into_iter().partition(|it| it.ends <= now);
            target.running = running;
            for Running { host, reservation, .. } in ended {
                target.served += 1;
                if !self.world.running().contains(&host) {
                    continue;
                }
                self.world.call(host, |state, now| {
                    let mut outputs =
                        state.record_brittle(now, &reservation, Some(REFUSALS), false);
                    outputs.extend(state.record_limit(now, &reservation, None));
                    state.end(now, &reservation, Outcome::Answered(ms(100)));
                    ((), outputs)
                });
            }
        }
    }

    fn falls(&self) -> usize {
        self.targets.values().map(|it| it.falls).sum()
    }

    fn served(&self) -> usize {
        self.targets.values().map(|it| it.served).sum()
    }
}

/// Callers ask for one and a half times what the targets serve; then the targets let fewer wait, and a
/// host is lost, the holder for each third seed.
fn press(seed: u64, hosts: u32, targets: usize) {
    let capacity = 40.0 * targets as f64;
    let mut model = Model::new(seed, hosts, targets, capacity * 1.5);
    model.run(ms(6000));
    model.room = 1;
    model.run(ms(8000));
    let state = model.world.machines[&1].host.as_ref().expect("it runs");
    let lost = if seed.is_multiple_of(3) { state.holder("d1").expect("a holder") } else { 5 };
    model.world.kill(lost);
    model.run(ms(8000));
    let allowed = 2 + targets / 10;
    let (falls, served) = (model.falls(), model.served() as f64);
    assert!(falls <= allowed, "seed {seed}: {falls} falls, {allowed} allowed");
    assert!(served >= 22.0 * capacity * MIN_SERVED, "seed {seed}: {served} served");
}

/// Guards against hosts that go on sending to full targets, which fall over then.
#[test]
fn brittle_targets_are_not_pressed_until_they_fall_over() {
    for seed in [0, 2, 4] {
        press(seed, 10, 4);
    }
}

/// The same with more hosts than a target has room for.
#[test]
fn many_hosts_do_not_press_brittle_targets_until_they_fall_over() {
    for seed in [1, 3] {
        press(seed, 30, 10);
    }
}
