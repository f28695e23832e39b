//! Model of targets that crash when they begin to answer a prompt with a deadly part, and of hosts
//! that serve such prompts beside sound ones. The bounds are the users': five crashes, a time of
//! contact, three sends.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{World, ms};
use fleet::{Admission, SeenCrash};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{HostId, Suspect};

const CONTACT: Duration = Duration::from_secs(3);
const CRASHES: usize = 5;
const MORE_SENDS: usize = 3;
const STEP: Duration = Duration::from_millis(20);
const TARGETS: usize = 12;
const MAX_WAIT: Duration = Duration::from_millis(2500);

struct Prompt {
    host: HostId,
    contents: Vec<Suspect>,
    trial: Vec<Suspect>,
    arrived: Duration,
    /// When its target begins to answer it.
    begins: Duration,
}

/// A target's process: when it started, and the prompts that it has not begun to answer.
#[derive(Default)]
struct Process {
    started: Duration,
    prompts: Vec<Prompt>,
}

struct Model {
    world: World,
    rng: ChaCha8Rng,
    deadly: Vec<Suspect>,
    targets: Vec<Process>,
    waiting: Vec<Prompt>,
    crashes: BTreeMap<Suspect, Vec<Duration>>,
    sends: BTreeMap<Suspect, Vec<Duration>>,
    /// Times of sound prompts: those that began, and those that were refused or waited too long.
    begun: Vec<Duration>,
    dropped: Vec<Duration>,
}

impl Model {
    fn new(seed: u64, deadly: usize) -> Model {
        let mut world = World::new(seed, 3, 7, &[1, 2, 3]);
        world.run(ms(5000));
        Model {
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
            deadly: (0..deadly as u64).map(|it| Suspect::Part(1000 + it)).collect(),
            targets: (0..TARGETS).map(|_| Process::default()).collect(),
            waiting: Vec::new(),
            crashes: BTreeMap::new(),
            sends: BTreeMap::new(),
            begun: Vec::new(),
            dropped: Vec::new(),
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.world.now + span;
        while self.world.now < end {
            self.world.run(STEP);
            self.arrive();
            for prompt in std::mem::take(&mut self.waiting) {
                self.try_send(prompt);
            }
            for target in 0..TARGETS {
                self.serve(target);
            }
        }
    }

    /// About 40 prompts a second, one in ten of them with a deadly part.
    fn arrive(&mut self) {
        if !self.rng.random_bool(0.8) {
            return;
        }
        let hosts = self.world.running();
        let mut contents = vec![
            Suspect::Request(self.rng.random()),
            Suspect::Part(self.rng.random_range(0..2)),
            Suspect::Part(self.rng.random_range(10..60)),
        ];
        if self.rng.random_bool(0.1) {
            contents.push(self.deadly[self.rng.random_range(0..self.deadly.len())]);
        }
        let host = hosts[self.rng.random_range(0..hosts.len())];
        let now = self.world.now;
        self.waiting.push(Prompt { host, contents, trial: Vec::new(), arrived: now, begins: now });
    }

    fn deadly_part(&self, prompt: &Prompt) -> Option<Suspect> {
        self.deadly.iter().find(|it| prompt.contents.contains(it)).copied()
    }

    fn try_send(&mut self, mut prompt: Prompt) {
        let now = self.world.now;
        if !self.world.running().contains(&prompt.host) {
            return;
        }
        let waited = now - prompt.arrived;
        let up: Vec<usize> = (0..TARGETS).filter(|&it| self.targets[it].started <= now).collect();
        if up.is_empty() {
            if waited < MAX_WAIT {
                self.waiting.push(prompt);
            }
            return;
        }
        let admission =
            self.world.call(prompt.host, |state, now| state.admit(now, &prompt.contents, waited));
        match admission {
            Admission::Free => {}
            Admission::Trial(suspects) => prompt.trial = suspects,
            Admission::Wait if waited < MAX_WAIT => return self.waiting.push(prompt),
            Admission::Wait | Admission::Refused(_) => {
                if self.deadly_part(&prompt).is_none() {
                    self.dropped.push(now);
                }
                return;
            }
        }
        if let Some(part) = self.deadly_part(&prompt) {
            self.sends.entry(part).or_default().push(now);
        }
        prompt.begins = now + ms(self.rng.random_range(60..700));
        let target = up[self.rng.random_range(0..up.len())];
        self.targets[target].prompts.push(prompt);
    }

    fn serve(&mut self, target: usize) {
        let now = self.world.now;
        let due = |it: &Prompt| it.begins <= now;
        while let Some(at) = self.targets[target].prompts.iter().position(due) {
            let prompt = &self.targets[target].prompts[at];
            if let Some(part) = self.deadly_part(prompt) {
                self.crashes.entry(part).or_default().push(now);
                return self.crash(target);
            }
            let prompt = self.targets[target].prompts.remove(at);
            self.begun.push(now);
            if self.world.running().contains(&prompt.host) {
                self.world.call(prompt.host, |state, now| {
                    ((), state.report_sound(now, &prompt.contents))
                });
            }
        }
    }

    /// Ends a target's process; the hosts report what they lost with it.
    fn crash(&mut self, target: usize) {
        let started = self.targets[target].started;
        let mut lost: BTreeMap<HostId, SeenCrash> = BTreeMap::new();
        for prompt in std::mem::take(&mut self.targets[target].prompts) {
            let seen = lost.entry(prompt.host).or_default();
            seen.alone =
                if seen.suspects.is_empty() { vec![prompt.contents[0]] } else { Vec::new() };
            seen.suspects.extend(prompt.contents);
            seen.trials.extend(prompt.trial);
        }
        self.targets[target].started = self.world.now + CONTACT;
        let running = self.world.running();
        for (host, mut seen) in lost {
            if !running.contains(&host) {
                continue;
            }
            seen.target = format!("t{target}");
            seen.started_at = started.as_millis() as u64;
            self.world.call(host, |state, now| ((), state.report_crash(now, seen)));
        }
    }

    /// Checks the bounds, but for sends until `calm`, when the last fault was over for long enough.
    fn check(&self, calm: Duration, what: &str) {
        for (part, crashes) in &self.crashes {
            let Some(&fifth) = crashes.get(CRASHES - 1) else { continue };
            let from = (fifth + CONTACT).max(calm);
            let late = self.sends[part].iter().filter(|&&at| at > from).count();
            assert!(late <= MORE_SENDS, "{what}: {part} sent {late} times more");
        }
        let from = self.world.now - ms(15_000);
        let after = |times: &[Duration]| times.iter().filter(|&&at| at > from).count();
        let (begun, dropped) = (after(&self.begun), after(&self.dropped));
        assert!(begun > dropped * 20, "{what}: {begun} sound prompts began, {dropped} did not");
    }
}

/// Guards against deadly parts that are sent on and on, and sound ones that are refused with them.
#[test]
fn deadly_parts_are_stopped_and_sound_ones_served() {
    for seed in 0..12 {
        let mut model = Model::new(seed, 1 + seed as usize % 3);
        model.run(ms(40_000));
        model.check(Duration::ZERO, &format!("seed {seed}"));
    }
}

/// The same, while targets crash for another cause, a host is cut off, leaders are killed, and all
/// hosts are killed at once.
#[test]
fn deadly_parts_stay_stopped_through_faults() {
    for seed in 0..12 {
        let mut model = Model::new(100 + seed, 1 + seed as usize % 2);
        model.run(ms(seed * 300));
        for target in 0..3 {
            model.crash(target);
        }
        model.world.cut.insert(1 + seed as HostId % 10);
        model.run(ms(2000));
        model.world.cut.clear();
        model.run(ms(4000));
        if let Some(leader) = model.world.leader() {
            model.world.kill(leader);
            model.run(ms(3000));
            model.world.start(leader);
        }
        model.run(ms(6000));
        if seed % 2 == 0 {
            for host in 1..=10 {
                model.world.kill(host);
            }
            for host in 1..=10 {
                model.world.start(host);
            }
        }
        model.run(ms(5000));
        let calm = model.world.now + CONTACT;
        model.run(ms(40_000));
        model.check(calm, &format!("seed {seed}"));
    }
}
