//! Several random faults at once, under requests and resends. The seeds are fixed; a failure names
//! its seed.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{Cluster, booking, completion, ready, target::Target};
use node::{Input, Tag};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{ErrorKind, HostId, Ran};

const SEEDS: u64 = 24;
const HOSTS: u32 = 6;
const ROUNDS: u32 = 30;
const BODIES: u64 = 10;
const PIECES: usize = 12;
const TIMEOUT: Duration = Duration::from_secs(60);
const JITTER: Duration = Duration::from_millis(200);

/// A caller's try that has not ended.
struct Try {
    key: (HostId, Tag),
    body: String,
    /// Number of executions of its body when it was sent.
    before: usize,
    /// Whether no other try of the same body was open at the same time.
    alone: bool,
}

/// Concurrent publishes of one service by several operators.
#[derive(Default)]
struct Publishes {
    /// Publishes that have not ended.
    open: Vec<Tag>,
    /// The digest each version was accepted with.
    accepted: BTreeMap<u64, [u8; 32]>,
    /// The highest version that was ever reported as in force everywhere.
    in_force: u64,
}

struct Simulation {
    rng: ChaCha8Rng,
    cluster: Cluster,
    open: Vec<Try>,
    publishes: Publishes,
    failures: Vec<String>,
    counts: BTreeMap<String, u32>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut cluster = ready(HOSTS, 3);
        cluster.add_target(Target::engine("e1", 1, false));
        cluster.add_target(Target::engine("e2", 2, true));
        cluster.add_target(Target::service("s1", 3));
        cluster.add_target(Target::service("s2", 4));
        for target in &mut cluster.targets {
            // Long answers and one adapter slot: each load needs the slot of an adapter in use.
            target.info.capacity.adapters = 1;
            target.pieces = PIECES;
            target.piece_interval = Duration::from_millis(150);
        }
        cluster.run(Duration::from_secs(6));
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            cluster,
            open: Vec::new(),
            publishes: Publishes::default(),
            failures: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    fn runs(&self, body: &str) -> usize {
        self.cluster.targets.iter().map(|target| target.runs(body)).sum()
    }

    fn round(&mut self) {
        for _ in 0..self.random_below(2) {
            self.fault();
        }
        for _ in 0..self.random_below(4) {
            self.send_request();
        }
        if self.random_below(3) == 0 {
            self.publish();
        }
        let pause = Duration::from_millis(self.random_below(1500));
        self.cluster.run(pause);
        self.check();
    }

    fn fault(&mut self) {
        let host = 1 + self.random_below(u64::from(HOSTS)) as HostId;
        let idx = self.random_below(self.cluster.targets.len() as u64) as usize;
        let kind = self.random_below(14);
        let cluster = &mut self.cluster;
        match kind {
            0 if cluster.is_running(host) => cluster.kill(host),
            1 if cluster.is_running(host) => cluster.input(host, Input::Shutdown),
            2 | 3 => self.restart_ended(),
            4 => cluster.freeze(host),
            5 | 6 => cluster.thaw(host),
            7 => cluster.isolate(host),
            8 | 9 => cluster.heal(),
            10 => {
                cluster.break_connections_of(idx);
                cluster.targets[idx].crash();
                cluster.targets[idx].restart();
            }
            11 => cluster.break_connections_of(idx),
            12 => {
                let links = &mut cluster.links;
                links.reorder = !links.reorder;
                links.jitter = if links.reorder { JITTER } else { Duration::ZERO };
            }
            13 => {
                let links = &mut cluster.links;
                links.duplicate_delay =
                    if links.duplicate_delay.is_zero() { JITTER } else { Duration::ZERO };
            }
            _ => (),
        }
    }

    /// Restarts the hosts whose process has ended.
    fn restart_ended(&mut self) {
        for host in 1..=HOSTS {
            if !self.cluster.is_running(host) || self.cluster.exited(host).is_some() {
                self.cluster.restart(host);
            }
        }
    }

    fn send_request(&mut self) {
        let host = 1 + self.random_below(u64::from(HOSTS)) as HostId;
        if !self.cluster.is_running(host) {
            return;
        }
        let n = self.random_below(BODIES);
        let (body, caller) = if self.random_below(2) == 0 {
            let body = format!("deposit {n}");
            (body.clone(), booking(&format!("key {n}"), &body))
        } else {
            let body = format!("note {n}");
            (
                body.clone(),
                completion(["base@a@v1", "base@b@v1", "base@c@v1"][n as usize % 3], &body),
            )
        };
        let alone = self.open.iter().all(|open| open.body != body);
        for open in self.open.iter_mut().filter(|open| open.body == body) {
            open.alone = false;
        }
        let before = self.runs(&body);
        let key = self.cluster.request(host, caller);
        self.open.push(Try { key, body, before, alone });
    }

    /// Publishes the next version, or the last one again, possibly with other content.
    fn publish(&mut self) {
        let host = 1 + self.random_below(u64::from(HOSTS)) as HostId;
        if !self.cluster.is_running(host) {
            return;
        }
        let last = self.publishes.accepted.keys().next_back().copied().unwrap_or(0);
        let version = (last + self.random_below(2)).max(1);
        let text = format!(
            "[service]\nname = extra\nversion = {version}\nkind = model\nmodel = base\n\
             [adapters]\nx = v{version}-{}\n[call plan]\npath = /v1/completions\n\
             urgency = normal\nidempotent = yes\ndeadline = 10s\n",
            self.random_below(3)
        );
        let tag = self.cluster.publish(host, &[("extra.ini", &text)]);
        self.publishes.open.push(tag);
    }

    /// Checks that no version is accepted with two contents, and that no host with a lease serves a
    /// version older than one that was reported as in force everywhere.
    fn check_publishes(&mut self) {
        for tag in std::mem::take(&mut self.publishes.open) {
            let Some(result) = self.cluster.published.get(&tag) else {
                self.publishes.open.push(tag);
                continue;
            };
            let Ok(published) = result else { continue };
            let (_, version, digest) = &published.receipt.services[0];
            let first = *self.publishes.accepted.entry(*version).or_insert(*digest);
            if first != *digest {
                self.failures.push(format!("version {version} was accepted twice"));
            }
            let mut domains = published.in_force.iter();
            if !published.in_force.is_empty() && domains.all(|domain| domain.lagging == 0) {
                self.publishes.in_force = self.publishes.in_force.max(*version);
            }
        }
        for host in (1..=HOSTS).filter(|&host| self.cluster.is_running(host)) {
            let version = self.version(host);
            let in_force = self.publishes.in_force;
            let lease = self.cluster.node(host).status(self.cluster.now).lease;
            if lease && version < in_force {
                self.failures
                    .push(format!("host {host} serves version {version} after {in_force}"));
            }
        }
    }

    /// Returns the version of the published service that a host has applied.
    fn version(&self, host: HostId) -> u64 {
        let status = self.cluster.node(host).status(self.cluster.now);
        let row = status.services.iter().find(|row| row.service == "extra");
        row.map_or(0, |row| row.version)
    }

    /// Compares what callers received with what was executed.
    fn check(&mut self) {
        self.check_publishes();
        let ended = |it: &Try, cluster: &Cluster| cluster.responses[&it.key].ended();
        let (done, open): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.open).into_iter().partition(|it| ended(it, &self.cluster));
        self.open = open;
        for it in done {
            self.check_try(&it);
        }
        for n in 0..BODIES {
            let body = format!("deposit {n}");
            if self.runs(&body) > 1 {
                self.failures.push(format!("{body} was run twice"));
            }
        }
        if self.cluster.targets.iter().any(|target| target.violations > 0) {
            self.failures.push("an adapter in use was evicted".to_owned());
        }
    }

    fn check_try(&mut self, it: &Try) {
        let response = self.cluster.responses[&it.key].clone();
        let word = match &response.fault {
            None => "answered",
            Some(fault) => fault.kind.info().code,
        };
        *self.counts.entry(word.to_owned()).or_default() += 1;
        if response.complete {
            let expected: String = (0..PIECES).map(|n| format!("[{} {n}]", response.ran)).collect();
            if response.body != expected.as_bytes() || response.fault.is_some() {
                self.failures.push(format!("{}: a wrong answer", it.body));
            }
            return;
        }
        let Some(fault) = response.fault else { return };
        // Other tries of the same body, and tries that never ended, may have caused executions.
        let runs = self.runs(&it.body);
        if fault.kind.info().ran == Ran::No && it.alone && runs > it.before {
            self.failures.push(format!("{}: reported {word}, but run", it.body));
        }
    }

    /// Ends all faults and checks that the system works.
    fn end_faults(&mut self) {
        self.cluster.heal();
        self.cluster.links.jitter = Duration::ZERO;
        self.cluster.links.reorder = false;
        self.cluster.links.duplicate_delay = Duration::ZERO;
        for host in 1..=HOSTS {
            self.cluster.thaw(host);
        }
        self.restart_ended();
        // Hosts that were frozen may receive their shutdown only now.
        self.cluster.run(Duration::from_secs(30));
        self.restart_ended();
        self.cluster.run(Duration::from_secs(15));
        self.check();
        for host in 1..=HOSTS {
            for caller in [completion("base@b@v1", "after"), booking(&format!("last {host}"), "x")]
            {
                let key = self.cluster.request(host, caller);
                let ended = self.cluster.run_until(TIMEOUT, |it| it.responses[&key].ended());
                if !ended || !self.cluster.responses[&key].complete {
                    let fault = self.cluster.responses[&key].fault.clone();
                    self.failures.push(format!("host {host} does not work afterwards: {fault:?}"));
                }
            }
        }
        for n in 0..BODIES {
            let key =
                self.cluster.request(1, booking(&format!("key {n}"), &format!("deposit {n}")));
            self.cluster.run_until(TIMEOUT, |it| it.responses[&key].ended());
            let kind = self.cluster.responses[&key].fault.as_ref().map(|fault| fault.kind);
            if !matches!(kind, None | Some(ErrorKind::InDoubt)) {
                self.failures.push(format!("key {n} is stuck: {kind:?}"));
            }
        }
        self.check();
    }
}

#[test]
fn guarantees_hold_under_random_faults() {
    let mut failures = Vec::new();
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    let (mut accepted, mut in_force) = (0, 0);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        for _ in 0..ROUNDS {
            simulation.round();
        }
        simulation.end_faults();
        for text in simulation.failures {
            failures.push(format!("seed {seed}: {text}"));
        }
        accepted += simulation.publishes.accepted.len() as u64;
        in_force += simulation.publishes.in_force;
        for (word, count) in simulation.counts {
            *counts.entry(word).or_default() += count;
        }
    }
    println!("{counts:?}");
    println!("{accepted} versions accepted, {in_force} reported in force");
    assert!(accepted > SEEDS && in_force > SEEDS);
    failures.dedup();
    assert!(failures.is_empty(), "{failures:#?}");
}
