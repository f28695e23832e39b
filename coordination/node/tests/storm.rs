//! Random faults, several at once, under requests and resends. The seeds are
//! fixed; a failing one is named.

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
const LIMIT: Duration = Duration::from_secs(60);
const JITTER: Duration = Duration::from_millis(200);

/// A try of a caller that has not ended.
struct Try {
    key: (HostId, Tag),
    body: String,
    /// Executions of its body when it was sent.
    before: usize,
    /// Whether another try of the same body was open at the same time.
    alone: bool,
}

/// Publishes of one service by operators who race each other.
#[derive(Default)]
struct Operators {
    /// Publishes that have not ended.
    open: Vec<Tag>,
    /// The digest each version was accepted with.
    accepted: BTreeMap<u64, [u8; 32]>,
    /// The highest version that was ever said to be in force everywhere.
    forced: u64,
}

struct Storm {
    rng: ChaCha8Rng,
    cluster: Cluster,
    open: Vec<Try>,
    operators: Operators,
    broken: Vec<String>,
    counts: BTreeMap<String, u32>,
}

impl Storm {
    fn new(seed: u64) -> Storm {
        let mut cluster = ready(HOSTS, 3);
        cluster.add_target(Target::engine("e1", 1, false));
        cluster.add_target(Target::engine("e2", 2, true));
        cluster.add_target(Target::service("s1", 3));
        cluster.add_target(Target::service("s2", 4));
        for target in &mut cluster.targets {
            // Long answers on little room: each load must evict what is in use.
            target.info.capacity.adapters = 1;
            target.pieces = PIECES;
            target.pace = Duration::from_millis(150);
        }
        cluster.run(Duration::from_secs(6));
        Storm {
            rng: ChaCha8Rng::seed_from_u64(seed),
            cluster,
            open: Vec::new(),
            operators: Operators::default(),
            broken: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    fn runs(&self, body: &str) -> usize {
        self.cluster.targets.iter().map(|target| target.runs(body)).sum()
    }

    fn round(&mut self) {
        for _ in 0..self.below(2) {
            self.fault();
        }
        for _ in 0..self.below(4) {
            self.ask();
        }
        if self.below(3) == 0 {
            self.publish();
        }
        let pause = Duration::from_millis(self.below(1500));
        self.cluster.run(pause);
        self.judge();
    }

    fn fault(&mut self) {
        let host = 1 + self.below(u64::from(HOSTS)) as HostId;
        let place = self.below(self.cluster.targets.len() as u64) as usize;
        let kind = self.below(14);
        let cluster = &mut self.cluster;
        match kind {
            0 if cluster.is_running(host) => cluster.kill(host),
            1 if cluster.is_running(host) => cluster.input(host, Input::Shutdown),
            2 | 3 => self.revive(),
            4 => cluster.freeze(host),
            5 | 6 => cluster.thaw(host),
            7 => cluster.isolate(host),
            8 | 9 => cluster.heal(),
            10 => {
                cluster.break_target(place);
                cluster.targets[place].crash();
                cluster.targets[place].restart();
            }
            11 => cluster.break_target(place),
            12 => {
                let links = &mut cluster.links;
                links.reorder = !links.reorder;
                links.jitter = if links.reorder { JITTER } else { Duration::ZERO };
            }
            13 => {
                let links = &mut cluster.links;
                links.echo = if links.echo.is_zero() { JITTER } else { Duration::ZERO };
            }
            _ => (),
        }
    }

    /// Starts the hosts again that ended.
    fn revive(&mut self) {
        for host in 1..=HOSTS {
            if !self.cluster.is_running(host) || self.cluster.exited(host).is_some() {
                self.cluster.restart(host);
            }
        }
    }

    fn ask(&mut self) {
        let host = 1 + self.below(u64::from(HOSTS)) as HostId;
        if !self.cluster.is_running(host) {
            return;
        }
        let n = self.below(BODIES);
        let (body, caller) = if self.below(2) == 0 {
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

    /// Publishes the next version, or races for the last one with other content.
    fn publish(&mut self) {
        let host = 1 + self.below(u64::from(HOSTS)) as HostId;
        if !self.cluster.is_running(host) {
            return;
        }
        let last = self.operators.accepted.keys().next_back().copied().unwrap_or(0);
        let version = (last + self.below(2)).max(1);
        let text = format!(
            "[service]\nname = extra\nversion = {version}\nkind = model\nmodel = base\n\
             [adapters]\nx = v{version}-{}\n[call plan]\npath = /v1/completions\n\
             urgency = normal\nidempotent = yes\ndeadline = 10s\n",
            self.below(3)
        );
        let tag = self.cluster.publish(host, &[("extra.ini", &text)]);
        self.operators.open.push(tag);
    }

    /// Checks that what was accepted stays, and is in force where it was said.
    fn judge_operators(&mut self) {
        for tag in std::mem::take(&mut self.operators.open) {
            let Some(result) = self.cluster.published.get(&tag) else {
                self.operators.open.push(tag);
                continue;
            };
            let Ok(published) = result else { continue };
            let (_, version, digest) = &published.receipt.services[0];
            let first = *self.operators.accepted.entry(*version).or_insert(*digest);
            if first != *digest {
                self.broken.push(format!("version {version} was accepted twice"));
            }
            let mut domains = published.domains.iter();
            if !published.domains.is_empty() && domains.all(|domain| domain.lagging == 0) {
                self.operators.forced = self.operators.forced.max(*version);
            }
        }
        for host in (1..=HOSTS).filter(|&host| self.cluster.is_running(host)) {
            let version = self.version(host);
            let forced = self.operators.forced;
            let lease = self.cluster.node(host).status(self.cluster.now).lease;
            if lease && version < forced {
                self.broken.push(format!("host {host} serves version {version} after {forced}"));
            }
        }
    }

    /// The version of the published service that a host has applied.
    fn version(&self, host: HostId) -> u64 {
        let status = self.cluster.node(host).status(self.cluster.now);
        let row = status.services.iter().find(|row| row.service == "extra");
        row.map_or(0, |row| row.version)
    }

    /// Compares what callers were told with what was run.
    fn judge(&mut self) {
        self.judge_operators();
        let ended = |it: &Try, cluster: &Cluster| cluster.told[&it.key].ended();
        let (done, open): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.open).into_iter().partition(|it| ended(it, &self.cluster));
        self.open = open;
        for it in done {
            self.judge_one(&it);
        }
        for n in 0..BODIES {
            let body = format!("deposit {n}");
            if self.runs(&body) > 1 {
                self.broken.push(format!("{body} was run twice"));
            }
        }
        if self.cluster.targets.iter().any(|target| target.violations > 0) {
            self.broken.push("an adapter in use was evicted".to_owned());
        }
    }

    fn judge_one(&mut self, it: &Try) {
        let told = self.cluster.told[&it.key].clone();
        let word = match &told.fault {
            None => "answered",
            Some(fault) => fault.kind.row().code,
        };
        *self.counts.entry(word.to_owned()).or_default() += 1;
        if told.whole {
            let expected: String = (0..PIECES).map(|n| format!("[{} {n}]", told.ran)).collect();
            if told.body != expected.as_bytes() || told.fault.is_some() {
                self.broken.push(format!("{}: a wrong answer", it.body));
            }
            return;
        }
        let Some(fault) = told.fault else { return };
        // Other tries of the same body, and dead ones, may have run it.
        let runs = self.runs(&it.body);
        if fault.kind.row().ran == Ran::No && it.alone && runs > it.before {
            self.broken.push(format!("{}: told {word}, but run", it.body));
        }
    }

    /// Ends all faults; what is left of the system must work.
    fn calm(&mut self) {
        self.cluster.heal();
        self.cluster.links.jitter = Duration::ZERO;
        self.cluster.links.reorder = false;
        self.cluster.links.echo = Duration::ZERO;
        for host in 1..=HOSTS {
            self.cluster.thaw(host);
        }
        self.revive();
        // Hosts that were frozen may only now hear that they should end.
        self.cluster.run(Duration::from_secs(30));
        self.revive();
        self.cluster.run(Duration::from_secs(15));
        self.judge();
        for host in 1..=HOSTS {
            for caller in [completion("base@b@v1", "after"), booking(&format!("last {host}"), "x")]
            {
                let key = self.cluster.request(host, caller);
                let ended = self.cluster.run_until(LIMIT, |it| it.told[&key].ended());
                if !ended || !self.cluster.told[&key].whole {
                    let fault = self.cluster.told[&key].fault.clone();
                    self.broken.push(format!("host {host} does not work afterwards: {fault:?}"));
                }
            }
        }
        for n in 0..BODIES {
            let key =
                self.cluster.request(1, booking(&format!("key {n}"), &format!("deposit {n}")));
            self.cluster.run_until(LIMIT, |it| it.told[&key].ended());
            let kind = self.cluster.told[&key].fault.as_ref().map(|fault| fault.kind);
            if !matches!(kind, None | Some(ErrorKind::InDoubt)) {
                self.broken.push(format!("key {n} is stuck: {kind:?}"));
            }
        }
        self.judge();
    }
}

#[test]
fn every_promise_holds_under_random_faults() {
    let mut broken = Vec::new();
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    let (mut accepted, mut forced) = (0, 0);
    for seed in 0..SEEDS {
        let mut storm = Storm::new(seed);
        for _ in 0..ROUNDS {
            storm.round();
        }
        storm.calm();
        for text in storm.broken {
            broken.push(format!("seed {seed}: {text}"));
        }
        accepted += storm.operators.accepted.len() as u64;
        forced += storm.operators.forced;
        for (word, count) in storm.counts {
            *counts.entry(word).or_default() += count;
        }
    }
    println!("{counts:?}");
    println!("{accepted} versions accepted, {forced} said to be in force");
    assert!(accepted > SEEDS && forced > SEEDS);
    broken.dedup();
    assert!(broken.is_empty(), "{broken:#?}");
}
