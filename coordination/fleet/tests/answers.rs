//! What targets say of themselves in their answers, in virtual time with fixed seeds: hosts and targets
//! are lost, all hosts at once, messages too, and heartbeats go on saying that a target is ready.

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

const TARGETS: u64 = 4;
/// Time from an answer that says that its target leaves until no host sends there.
const DRAIN: Duration = Duration::from_secs(2);
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time without heartbeats after which a target counts as lost.
const SILENCE: Duration = Duration::from_secs(6);

/// A process of a target, as the targets themselves know it.
struct Process {
    started_at: u64,
    /// When it first said in an answer that it leaves, and to which host.
    leaves: Option<(Duration, HostId)>,
    /// Until when it wants nothing from a host, by the host and its incarnation.
    pauses: BTreeMap<(HostId, u64), Duration>,
    silent_until: Duration,
}

struct Model {
    world: World,
    rng: ChaCha8Rng,
    processes: Vec<Process>,
    sequence: u64,
    heartbeat: Duration,
    /// When each host last started.
    started: BTreeMap<HostId, Duration>,
}

impl Model {
    fn new(seed: u64) -> Model {
        let world = World::configured(seed);
        let process = |started_at| Process {
            started_at,
            leaves: None,
            pauses: BTreeMap::new(),
            silent_until: Duration::ZERO,
        };
        let processes = (0..TARGETS).map(|_| process(1)).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let (heartbeat, started) = (Duration::ZERO, BTreeMap::new());
        Model { world, rng, processes, sequence: 0, heartbeat, started }
    }

    fn host(&mut self) -> HostId {
        let hosts = self.world.running();
        hosts[self.rng.random_range(0..hosts.len())]
    }

    fn run(&mut self, span: Duration) {
        let end = self.world.now + span;
        while self.world.now < end {
            self.world.run(ms(20));
            if self.world.now >= self.heartbeat + HEARTBEAT {
                self.send_heartbeats();
            }
            let host = self.host();
            self.request(host);
        }
    }

    /// Each target that is not silent says to some host that it is ready.
    fn send_heartbeats(&mut self) {
        self.heartbeat = self.world.now;
        self.sequence += 1;
        for number in 0..TARGETS as usize {
            let Process { started_at, silent_until, .. } = self.processes[number];
            if self.world.now >= silent_until {
                let id = format!("t{number}");
                let record = target(&id, started_at, self.sequence, TargetState::Ready);
                let host = self.host();
                self.world.input(host, Input::Heartbeat { record });
            }
        }
    }

    /// Sends a request from a host, and checks that it may go where it goes.
    fn request(&mut self, host: HostId) {
        let mut query = query("");
        query.adapter = None;
        let draw = self.rng.random();
        let choice = self.world.call(host, |state, now| state.choose(now, &query, draw));
        let Choice::Send(reservation) = choice else { return };
        let now = self.world.now;
        let number: usize = reservation.target[1..].parse().expect("a number");
        let (is_now, incarnation) = (
            self.processes[number].started_at == reservation.started_at,
            self.world.machines[&host].incarnation,
        );
        let may = self.world.call(host, |state, now| (state.may_send(now, &reservation), vec![]));
        if is_now && may {
            let process = &self.processes[number];
            let since = self.started.get(&host).copied().unwrap_or_default();
            if let Some((said, to)) = process.leaves.filter(|(said, _)| *said >= since) {
                let span = if to == host { Duration::ZERO } else { DRAIN };
                let late = now.saturating_sub(said);
                assert!(late <= span, "t{number} of {host}, {late:?} after it told {to}");
            }
            let until = process.pauses.get(&(host, incarnation)).copied().unwrap_or_default();
            assert!(now >= until, "t{number} of {host}, which it asked to pause until {until:?}");
            self.answer(host, number, &reservation);
        }
        self.world.call(host, |state: &mut Host, now| {
            state.end(now, &reservation, Outcome::Refused);
            ((), Vec::new())
        });
    }

    /// Lets a target say something of itself, sometimes twice with another time.
    fn answer(&mut self, host: HostId, number: usize, reservation: &Reservation) {
        let now = self.world.now;
        let incarnation = self.world.machines[&host].incarnation;
        let process = &mut self.processes[number];
        if process.leaves.is_some() || self.rng.random_bool(0.01) {
            process.leaves.get_or_insert((now, host));
            self.world.call(host, |it, now| ((), it.record_leaving(now, reservation, "a")));
        }
        for _ in 0..self.rng.random_range(0..3) {
            if self.rng.random_bool(0.1) {
                let span = ms(self.rng.random_range(1..4000));
                let until = process.pauses.entry((host, incarnation)).or_default();
                *until = (*until).max(now + span);
                self.world
                    .call(host, |it, now| ((), it.record_pause(now, reservation, "a", span, None)));
            }
        }
    }

    fn disturb(&mut self) {
        let number = self.rng.random_range(0..TARGETS as usize);
        let host = self.host();
        match self.rng.random_range(0..5) {
            0 => self.processes[number].silent_until = self.world.now + SILENCE,
            // Another process has its name and address.
            1 => {
                let process = &mut self.processes[number];
                process.started_at += 1;
                process.leaves = None;
                process.pauses.clear();
            }
            2 => {
                self.world.kill(host);
                self.run(ms(500));
                self.world.start(host);
                self.started.insert(host, self.world.now);
            }
            3 => {
                for host in self.world.running() {
                    self.world.kill(host);
                    self.world.start(host);
                    self.started.insert(host, self.world.now);
                }
            }
            _ => {
                let leader = self.world.leader().unwrap_or(host);
                self.world.frozen.insert(leader);
                self.run(ms(1500));
                self.world.frozen.clear();
                // A freeze excuses a host, and what it hears late.
                self.started.insert(leader, self.world.now);
            }
        }
    }
}

/// Guards against hosts that forget what a target said of itself in an answer: that it leaves, on the
/// host that passed it on at once and on all others in time, or that it wants nothing from that host.
#[test]
fn what_targets_say_in_answers_holds() {
    let mut said = (0, 0);
    for seed in 0..12 {
        let mut model = Model::new(seed);
        model.world.network.loss = 0.02;
        for _ in 0..12 {
            let span = ms(model.rng.random_range(500..4000));
            model.run(span);
            model.disturb();
        }
        said.0 += model.processes.iter().filter(|it| it.leaves.is_some()).count();
        said.1 += model.processes.iter().map(|it| it.pauses.len()).sum::<usize>();
    }
    assert!(said.0 > 5 && said.1 > 50, "said too little: {said:?}");
}

/// Guards against a host that goes on sending to a target which asked it for a pause in an answer that
/// only another host could read: the one for which it passed the request on.
#[test]
fn a_host_that_passes_requests_on_keeps_the_pauses_asked_of_it() {
    let mut model = Model::new(30);
    model.run(ms(2000));
    let mut query = query("");
    query.adapter = None;
    let choice = model.world.call(5, |it, now| it.choose(now, &query, 1));
    let Choice::Send(reservation) = choice else { panic!("no target: {choice:?}") };
    model.world.call(5, |it, now| ((), it.record_pause(now, &reservation, "a", ms(3000), Some(4))));
    model.world.run(ms(300));
    let senders = |world: &mut World| -> Vec<HostId> {
        let mut hosts = world.running();
        hosts.retain(|&host| {
            world.call(host, |it, now| (it.may_send(now, &reservation), Vec::new()))
        });
        hosts
    };
    assert_eq!(senders(&mut model.world), [1, 2, 3, 6]);
    model.world.run(ms(3000));
    assert_eq!(senders(&mut model.world).len(), 6, "the pause has ended");
}

/// Guards against a stream that goes on at a target that leaves, or at another software version: the last
/// target of its version says in an answer that it leaves, and its heartbeats go on saying it is ready.
#[test]
fn a_stream_whose_versions_targets_leave_by_answers_gets_none() {
    let mut world = World::configured(31);
    let beat = |world: &mut World, sequence| {
        for (id, software) in [("t0", "v1"), ("t1", "v2")] {
            let mut record = target(id, 1, sequence, TargetState::Ready);
            record.software = software.to_owned();
            world.input(4, Input::Heartbeat { record });
        }
        world.run(ms(500));
    };
    beat(&mut world, 1);
    let mut query = query("");
    query.adapter = None;
    query.software = Some(fleet::stable_hash(&"v1".to_owned()));
    let choose = |world: &mut World, host| world.call(host, |it, now| it.choose(now, &query, 1));
    let choice = choose(&mut world, 5);
    let Choice::Send(reservation) = choice else { panic!("no target: {choice:?}") };
    assert_eq!(reservation.target, "t0");
    world.call(5, |it, now| ((), it.record_leaving(now, &reservation, "a")));
    for sequence in 2..6 {
        beat(&mut world, sequence);
        for host in world.running() {
            let choice = choose(&mut world, host);
            assert!(matches!(choice, Choice::None), "host {host}: {choice:?}");
        }
    }
}
