//! Model of targets that name request limits, and of hosts whose callers press on them, through
//! lost holders, leaders and messages. The bounds are the users': from a time of contact after the
//! first naming, one and a half times the limit and 5 requests, in any 4 s.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{
    World, ms,
    records::{query, target},
};
use fleet::{Choice, Host, Input, Outcome, Reservation};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{HostId, TargetState};

const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(10);
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// How long a caller waits to be sent.
const PATIENCE: Duration = Duration::from_millis(400);

/// A request at a target, until it answers.
struct Running {
    host: HostId,
    incarnation: u64,
    reservation: Reservation,
    ends: Duration,
}

struct LimitedTarget {
    milli_rate: Option<u32>,
    /// When requests arrived, and the limit then.
    arrivals: Vec<(Duration, u32)>,
    named: Option<Duration>,
    running: Vec<Running>,
}

struct Model {
    world: World,
    rng: ChaCha8Rng,
    targets: BTreeMap<String, LimitedTarget>,
    /// Host and arrival of the requests that wait to be sent.
    waiting: Vec<(HostId, Duration)>,
    /// Requests per second of all hosts together.
    pressure: f64,
    heartbeat: Duration,
    sequence: u64,
}

impl Model {
    fn new(seed: u64, hosts: u32, limits: &[Option<u32>], pressure: f64) -> Model {
        let mut world = World::new(seed, 3, hosts - 3, &[1, 2, 3]);
        world.run(ms(8000));
        let tag = world.tag();
        let body = desired::pack(b"{}");
        world.input(
            1,
            Input::Change { tag, command: desired::Command::Replace { number: 1, body } },
        );
        world.run(ms(8000));
        let targets = limits.iter().enumerate().map(|(number, &milli_rate)| {
            let target = LimitedTarget {
                milli_rate,
                arrivals: Vec::new(),
                named: None,
                running: Vec::new(),
            };
            (format!("t{number}"), target)
        });
        let mut model = Model {
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
            targets: targets.collect(),
            waiting: Vec::new(),
            pressure,
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
        for id in self.targets.keys() {
            let Some(&host) = hosts.get(self.rng.random_range(0..hosts.len().max(1))) else {
                continue;
            };
            let record = target(id, 1, self.sequence, TargetState::Ready);
            self.world.input(host, Input::Heartbeat { record });
        }
    }

    fn arrive(&mut self) {
        let hosts = self.world.running();
        if !hosts.is_empty() && self.rng.random_bool(self.pressure * STEP.as_secs_f64()) {
            // Half of the requests come to one host.
            let at =
                if self.rng.random_bool(0.5) { 0 } else { self.rng.random_range(0..hosts.len()) };
            self.waiting.push((hosts[at], self.world.now));
        }
    }

    fn send(&mut self) {
        for (host, arrived) in std::mem::take(&mut self.waiting) {
            let now = self.world.now;
            let frozen = self.world.frozen.contains(&host);
            if now >= arrived + PATIENCE || !self.world.running().contains(&host) {
                continue;
            }
            let mut query = query("");
            (query.adapter, query.arrived) = (None, arrived);
            let draw = self.rng.random();
            let choice = match frozen {
                true => Choice::Full,
                false => self.world.call(host, |state, now| state.choose(now, &query, draw)),
            };
            let Choice::Send(reservation) = choice else {
                self.waiting.push((host, arrived));
                continue;
            };
            let may = self.world.call(host, |state, now| {
                let may = state.may_send(now, &reservation);
                state.record_send(&reservation);
                (may, Vec::new())
            });
            assert!(may, "a reservation has a place");
            let delay = ms(self.rng.random_range(20..300));
            let target = self.targets.get_mut(&reservation.target).expect("it is known");
            target.arrivals.push((now, target.milli_rate.unwrap_or(u32::MAX)));
            let incarnation = self.world.machines[&host].incarnation;
            target.running.push(Running { host, incarnation, reservation, ends: now + delay });
        }
    }

    fn answer(&mut self) {
        let now = self.world.now;
        for target in self.targets.values_mut() {
            let (ended, running) =
                std::mem::take(&mut target.running).into_iter().partition(|it| it.ends <= now);
            target.running = running;
            let ended: Vec<Running> = ended;
            for request in ended {
                let machine = &self.world.machines[&request.host];
                if machine.host.is_none() || machine.incarnation != request.incarnation {
                    continue;
                }
                target.named = target.named.or(target.milli_rate.map(|_| now));
                let rate = target.milli_rate;
                self.world.call(request.host, |state: &mut Host, now| {
                    let outputs = state.record_limit(now, &request.reservation, rate);
                    state.end(now, &request.reservation, Outcome::Answered(ms(20)));
                    ((), outputs)
                });
            }
        }
    }

    /// Checks the users' bound. A window that a change of the limit touches has the highest one.
    fn check(&self, what: &str) {
        for (id, target) in &self.targets {
            let Some(named) = target.named else { continue };
            let arrivals: Vec<_> =
                target.arrivals.iter().filter(|(at, _)| *at >= named + CONTACT).collect();
            for (first, (from, _)) in arrivals.iter().enumerate() {
                let window: Vec<_> =
                    arrivals[first..].iter().take_while(|it| it.0 < *from + WINDOW).collect();
                let before = target.arrivals.iter().filter(|it| it.0 + WINDOW > *from);
                let limit = before.map(|it| it.1).max().unwrap_or(0).max(window[0].1);
                if limit == u32::MAX {
                    continue;
                }
                let allowed = 1.5 * f64::from(limit) / 1000.0 * WINDOW.as_secs_f64() + 5.0;
                let count = window.len();
                assert!(
                    count as f64 <= allowed,
                    "{what}: {count} at {id} from {from:?}, {allowed}"
                );
            }
        }
    }

    /// Returns the requests that reached a target since `from`.
    fn served(&self, id: &str, from: Duration) -> usize {
        self.targets[id].arrivals.iter().filter(|it| it.0 >= from).count()
    }

    fn holder(&self) -> Option<HostId> {
        let running = self.world.running();
        let host = self.world.machines[running.first()?].host.as_ref()?;
        host.holder("d1")
    }
}

/// Guards against limits that hosts exceed together, and against targets that get less than they
/// take while callers wait.
#[test]
fn limits_hold_and_are_used() {
    for seed in 0..8 {
        let mut model = Model::new(seed, 10, &[Some(1400), Some(5000)], 40.0);
        model.run(ms(6000));
        let from = model.world.now;
        model.run(ms(30_000));
        model.check(&format!("seed {seed}"));
        for (id, rate) in [("t0", 1.4), ("t1", 5.0)] {
            let served = model.served(id, from);
            assert!(served as f64 >= 0.85 * rate * 30.0, "seed {seed}: {served} at {id}");
        }
        // Callers come back after a calm time.
        model.pressure = 0.3;
        model.run(ms(15_000));
        model.pressure = 60.0;
        model.run(ms(8000));
        model.check(&format!("seed {seed}, after a calm time"));
    }
}

/// Guards against a limit that stays after the target has ended it or named a higher one, and
/// against one that is forgotten though the target has named a lower one.
#[test]
fn limits_follow_what_targets_name() {
    for seed in (0..6).chain([36]) {
        let mut model = Model::new(100 + seed, 10, &[Some(2000)], 60.0);
        model.run(ms(10_000));
        for rate in [Some(8000), Some(1000), Some(4000), Some(100), Some(6000)] {
            model.targets.get_mut("t0").expect("it is known").milli_rate = rate;
            model.run(ms(14_000));
            model.check(&format!("seed {seed}"));
        }
        model.targets.get_mut("t0").expect("it is known").milli_rate = None;
        model.run(ms(6000));
        let from = model.world.now;
        model.run(ms(4000));
        let served = model.served("t0", from);
        assert!(served >= 100, "seed {seed}: {served} in 4 s without a limit");
    }
}

/// Guards against sums over the limit while holders and leaders change, hosts are cut off, frozen,
/// added, or all killed at once, and messages are lost.
#[test]
fn limits_hold_through_faults() {
    for seed in 0..16 {
        let mut model = Model::new(200 + seed, 10, &[Some(1400), Some(6000), None], 50.0);
        model.world.network.loss = if seed % 2 == 0 { 0.02 } else { 0.0 };
        model.run(ms(6000 + seed * 200));
        for round in 0..4 {
            let victim = match (seed + round) % 3 {
                0 => model.holder(),
                1 => model.world.leader(),
                _ => Some(1 + (seed + round) as HostId % 10),
            };
            let Some(victim) = victim else { continue };
            match (seed / 3 + round) % 4 {
                0 => model.world.kill(victim),
                1 => drop(model.world.cut.insert(victim)),
                2 => drop(model.world.frozen.insert(victim)),
                _ => model.world.cut.extend([victim, victim % 10 + 1]),
            }
            model.run(ms(1500 + 700 * round));
            if !model.world.running().contains(&victim) {
                model.world.start(victim);
            }
            model.world.cut.clear();
            model.world.frozen.clear();
            if round == 1 {
                model.world.add(20 + seed as HostId, false);
            }
            model.run(ms(3000));
        }
        if seed % 2 == 1 {
            for host in model.world.running() {
                model.world.kill(host);
            }
            model.run(ms(1000));
            for host in model.world.machines.keys().copied().collect::<Vec<_>>() {
                model.world.start(host);
            }
        }
        model.run(ms(20_000));
        model.check(&format!("seed {seed}"));
        let from = model.world.now - ms(10_000);
        let served = model.served("t1", from);
        assert!(served >= 30, "seed {seed}: {served} in 10 s at the end");
    }
}

/// Guards against two holders that hand out places at the same time, each for hosts of its own.
#[test]
fn limits_hold_while_a_holder_is_cut_off() {
    for seed in 0..6 {
        let mut model = Model::new(300 + seed, 10, &[Some(8000)], 60.0);
        model.run(ms(6000));
        let holder = model.holder().expect("there is one");
        model.world.cut.extend([holder, 7, 8, 9, 10]);
        model.run(ms(20_000));
        model.world.cut.clear();
        model.run(ms(6000));
        model.check(&format!("seed {seed}"));
    }
}

/// Guards against a stream that waits for a copy of its adapter at targets that may not go on with
/// it, although the only ones that may have limits.
#[test]
fn a_stream_of_a_limited_version_is_not_sent_to_another() {
    let mut model = Model::new(400, 5, &[Some(100), None], 0.0);
    for (id, software) in [("t0", "v1"), ("t1", "v2")] {
        let mut record = target(id, 2, 1, TargetState::Ready);
        record.software = software.to_owned();
        model.world.input(1, Input::Heartbeat { record });
    }
    model.world.run(ms(3000));
    let choose = |model: &mut Model, software: Option<&str>| {
        let mut query = query("m");
        query.arrived = model.world.now;
        query.software = software.map(|it| fleet::stable_hash(&it));
        model.world.call(1, |state, now| state.choose(now, &query, 0))
    };
    let Choice::Send(reservation) = choose(&mut model, Some("v1")) else { panic!("it is free") };
    assert_eq!(reservation.target, "t0");
    model.world.call(1, |state, now| ((), state.record_limit(now, &reservation, Some(100))));
    let limited = choose(&mut model, Some("v1"));
    assert!(matches!(limited, Choice::Limited { elsewhere: false, .. }), "{limited:?}");
    let Choice::Send(reservation) = choose(&mut model, None) else { panic!("v2 is free") };
    assert_eq!(reservation.target, "t1");
}

/// Guards against messages that grow faster than what the limits let through.
#[test]
fn messages_for_places_stay_few() {
    for hosts in [10, 30, 100] {
        let mut model = Model::new(7, hosts, &[Some(20_000), Some(1400)], 40.0);
        model.run(ms(4000));
        let (from, before) = (model.world.now, model.world.place_messages);
        model.run(ms(10_000));
        let sent = model.served("t0", from) + model.served("t1", from);
        let messages = model.world.place_messages - before;
        println!("{hosts} hosts: {sent} requests, {messages} messages in 10 s");
        assert!(messages as usize <= 40 * sent, "{hosts} hosts: {messages} for {sent} requests");
    }
}
