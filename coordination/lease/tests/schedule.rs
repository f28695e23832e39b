//! Random schedules of renewals, loss, delay, clock drift, changes of leader,
//! cuts and restarts. Two hosts never act as owners of one target, and nothing
//! is called in force while a host serves without it.

mod common;

use std::{collections::BTreeMap, time::Duration};

use lease::{Grantor, Holder, Registry, Terms, balance};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{Command, Digest, Grant, HostId, Incarnation, Index, Move, Renew, TargetId};

use crate::common::{TERMS, info, ms};

const HOSTS: HostId = 4;
const TARGETS: u32 = 5;
const STEP: Duration = Duration::from_millis(50);
const STEPS: u32 = 3000;
const SEEDS: u64 = 24;
/// Largest difference of a clock's rate from real time, in thousandths.
const DRIFT: u64 = 80;
const MODES: Modes = Modes { terms: TERMS, settle: true, release: true, slow: 5 };

/// Which mechanisms are on.
#[derive(Clone, Copy)]
struct Modes {
    terms: Terms,
    settle: bool,
    release: bool,
    /// Messages that take up to six seconds, in percent.
    slow: u64,
}

struct Clock {
    offset: Duration,
    rate: u64,
}

struct Host {
    clock: Clock,
    holder: Holder,
    incarnation: Incarnation,
    registry: Registry,
    applied: Index,
    leader: HostId,
    leaving: bool,
    /// Until when it hears nothing of new leaders and of the log.
    deaf: Duration,
}

struct Lead {
    grantor: Grantor,
    /// When a quorum last followed it, by its clock; none while it still does.
    cut: Option<Duration>,
}

enum Msg {
    Renew(HostId, Renew),
    Grant(Grant),
}

struct World {
    rng: ChaCha8Rng,
    modes: Modes,
    real: Duration,
    hosts: BTreeMap<HostId, Host>,
    leads: BTreeMap<HostId, Lead>,
    /// The leader that a quorum follows.
    leader: HostId,
    term: u64,
    log: Vec<Command>,
    wire: Vec<(Duration, HostId, Msg)>,
    /// The highest index that was ever said to be in force everywhere.
    forced: Index,
    stats: Stats,
}

#[derive(Default)]
struct Stats {
    moves: u32,
    valid: u32,
    complete: u32,
    leaders: u32,
    restarts: u32,
}

impl Clock {
    fn at(&self, real: Duration) -> Duration {
        self.offset + real * self.rate as u32 / 1000
    }
}

impl World {
    fn new(seed: u64, modes: Modes) -> World {
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            modes,
            real: Duration::ZERO,
            hosts: BTreeMap::new(),
            leads: BTreeMap::new(),
            leader: 1,
            term: 0,
            log: Vec::new(),
            wire: Vec::new(),
            forced: 0,
            stats: Stats::default(),
        };
        for host in 1..=HOSTS {
            let rate = 1000 - DRIFT + world.below(2 * DRIFT + 1);
            let clock = Clock { offset: ms(world.below(100_000)), rate };
            world.hosts.insert(host, Host::new(modes.terms, clock, 1));
        }
        for n in 0..TARGETS {
            let target = info(&format!("t{n}"), &format!("d{}", n % 3), 8);
            world.log.push(Command::Register(target));
        }
        world.elect(1);
        world
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn now(&self, host: HostId) -> Duration {
        self.hosts[&host].clock.at(self.real)
    }

    /// A quorum follows another leader from now on; the old one does not know.
    fn elect(&mut self, leader: HostId) {
        let old = self.leader;
        let cut = self.now(old);
        if let Some(lead) = self.leads.get_mut(&old) {
            lead.cut = Some(cut);
        }
        self.term += 1;
        self.leader = leader;
        let mut grantor = Grantor::new(self.now(leader), self.modes.terms, self.term);
        self.log.push(Command::Forget(0));
        grantor.committed(self.now(leader), self.log.len() as Index);
        self.leads.insert(leader, Lead { grantor, cut: None });
        self.stats.leaders += 1;
    }

    fn step(&mut self) {
        self.real += STEP;
        if self.below(1000) < 3 {
            let leader = 1 + self.below(3) as HostId;
            if leader != self.leader {
                self.elect(leader);
            }
        }
        if self.below(1000) < 2 {
            self.restart();
        }
        if self.below(1000) < 5 {
            let host = 1 + self.below(u64::from(HOSTS)) as HostId;
            let flip = !self.hosts[&host].leaving;
            self.hosts.get_mut(&host).expect("host").leaving = flip;
        }
        self.deliver();
        for host in 1..=HOSTS {
            self.follow(host);
            self.ask(host);
        }
        self.lead();
    }

    fn restart(&mut self) {
        let host = 1 + self.below(u64::from(HOSTS)) as HostId;
        let terms = self.modes.terms;
        let old = self.hosts.remove(&host).expect("host");
        let clock = Clock { offset: ms(0), rate: old.clock.rate };
        self.hosts.insert(host, Host::new(terms, clock, old.incarnation + 1));
        self.leads.remove(&host);
        self.stats.restarts += 1;
        if host == self.leader {
            let next = 1 + host % 3;
            self.elect(next);
        }
    }

    /// A host hears of the leader and of log entries, some time late.
    fn follow(&mut self, host: HostId) {
        if self.below(1000) < 1 {
            let until = self.real + ms(self.below(20_000));
            self.hosts.get_mut(&host).expect("host").deaf = until;
        }
        let hears = self.chance(10);
        let applies = self.chance(20);
        let count = self.below(8) as usize;
        let leader = self.leader;
        let entry = self.hosts.get_mut(&host).expect("host");
        if self.real < entry.deaf {
            return;
        }
        if hears {
            entry.leader = leader;
        }
        if !applies {
            return;
        }
        for command in self.log.iter().skip(entry.applied as usize).take(count) {
            entry.applied += 1;
            entry.registry.apply(entry.applied, command);
        }
    }

    fn ask(&mut self, host: HostId) {
        let now = self.now(host);
        let entry = self.hosts.get_mut(&host).expect("host");
        let digest = Digest { leaving: entry.leaving, ..Digest::default() };
        let to = entry.leader;
        if let Some(renew) = entry.holder.due(now, entry.applied, &digest) {
            self.send(to, |()| Msg::Renew(host, renew.clone()));
        }
    }

    fn send(&mut self, to: HostId, msg: impl Fn(()) -> Msg) {
        while !self.chance(25) {
            let delay =
                if self.chance(self.modes.slow) { self.below(6000) } else { self.below(200) };
            self.wire.push((self.real + ms(delay), to, msg(())));
            if self.chance(95) {
                return;
            }
        }
    }

    fn deliver(&mut self) {
        let (due, later) =
            std::mem::take(&mut self.wire).into_iter().partition(|(at, ..)| *at <= self.real);
        self.wire = later;
        let due: Vec<_> = due;
        for (_, to, msg) in due {
            match msg {
                Msg::Renew(from, renew) => self.renew(to, from, renew),
                Msg::Grant(grant) => {
                    let now = self.now(to);
                    let host = self.hosts.get_mut(&to).expect("host");
                    host.holder.granted(now, &grant);
                    assert_eq!(host.holder.went_back(), None);
                }
            }
        }
    }

    fn renew(&mut self, leader: HostId, from: HostId, renew: Renew) {
        let now = self.now(leader);
        let Some(lead) = self.leads.get_mut(&leader) else { return };
        let quorum_at = Some(lead.cut.unwrap_or(now));
        let grant = lead.grantor.renew(now, quorum_at, from, renew);
        self.send(from, |()| Msg::Grant(grant.clone()));
    }

    /// The leader commits moves and now and then a change of configuration.
    fn lead(&mut self) {
        let now = self.now(self.leader);
        if self.chance(5) {
            self.log.push(Command::Forget(0));
        }
        let mut registry = Registry::default();
        for (n, command) in self.log.iter().enumerate() {
            registry.apply(n as Index + 1, command);
        }
        let lead = self.leads.get_mut(&self.leader).expect("leader");
        if lead.grantor.settled(now) || !self.modes.settle {
            let mut moves = balance(&registry, &lead.grantor.live(now), 1);
            if !self.modes.release {
                in_one_step(&mut moves, &lead.grantor, now);
            }
            if !moves.is_empty() {
                self.stats.moves += moves.len() as u32;
                self.log.push(Command::Assign(moves));
            }
        }
        lead.grantor.committed(now, self.log.len() as Index);
        lead.grantor.lost(now);
    }

    /// Returns what is wrong, if anything is.
    fn fault(&mut self) -> Option<String> {
        let mut owners: BTreeMap<TargetId, Vec<HostId>> = BTreeMap::new();
        let mut lowest = Index::MAX;
        for (&id, host) in &self.hosts {
            if !host.holder.valid(host.clock.at(self.real), host.applied) {
                continue;
            }
            self.stats.valid += 1;
            lowest = lowest.min(host.applied);
            for target in host.registry.targets() {
                if target.owner == Some((id, host.incarnation)) {
                    owners.entry(target.id).or_default().push(id);
                }
            }
        }
        for (target, owners) in owners {
            if owners.len() > 1 {
                return Some(format!("target {target} is owned by hosts {owners:?}"));
            }
        }
        let commit = self.log.len() as Index;
        let now = self.now(self.leader);
        for index in commit.saturating_sub(6).max(1)..=commit {
            let rows = self.leads[&self.leader].grantor.in_force(now, index);
            if rows.iter().any(|row| row.lagging > 0) {
                continue;
            }
            self.stats.complete += 1;
            self.forced = self.forced.max(index);
        }
        if lowest < self.forced {
            return Some(format!("index {} in force, a host serves at {lowest}", self.forced));
        }
        None
    }
}

impl Host {
    fn new(terms: Terms, clock: Clock, incarnation: Incarnation) -> Host {
        Host {
            clock,
            holder: Holder::new(terms, "d".into(), incarnation),
            incarnation,
            registry: Registry::default(),
            applied: 0,
            leader: 1,
            leaving: false,
            deaf: Duration::ZERO,
        }
    }
}

/// Gives released targets of live owners away at once.
fn in_one_step(moves: &mut [Move], grantor: &Grantor, now: Duration) {
    let live = grantor.live(now);
    for change in moves {
        if change.owner.is_none() {
            let next = &live[change.target as usize % live.len()];
            change.owner = Some((next.host, next.incarnation));
        }
    }
}

/// Runs schedules until one shows a fault.
fn run(modes: Modes) -> (Stats, Option<String>) {
    let mut total = Stats::default();
    for seed in 0..SEEDS {
        let mut world = World::new(seed, modes);
        for step in 0..STEPS {
            world.step();
            if let Some(fault) = world.fault() {
                return (total, Some(format!("seed {seed} step {step}: {fault}")));
            }
        }
        total.moves += world.stats.moves;
        total.valid += world.stats.valid;
        total.complete += world.stats.complete;
        total.leaders += world.stats.leaders;
        total.restarts += world.stats.restarts;
    }
    (total, None)
}

#[test]
fn no_two_owners_and_nothing_lags_in_force() {
    let (stats, fault) = run(MODES);
    assert_eq!(fault, None);
    println!(
        "moves {} valid {} complete {} leaders {} restarts {}",
        stats.moves, stats.valid, stats.complete, stats.leaders, stats.restarts
    );
    // The schedules reach what they are for.
    assert!(stats.moves > 500 && stats.complete > 5000 && stats.leaders > 100);
    assert!(stats.valid > STEPS * SEEDS as u32 && stats.restarts > 100);
}

#[test]
fn slow_links_change_nothing() {
    let (stats, fault) = run(Modes { slow: 50, ..MODES });
    assert_eq!(fault, None);
    assert!(stats.moves > 500 && stats.complete > 5000);
}

#[test]
fn a_fault_shows_without_the_margin() {
    let terms = Terms { margin: Duration::ZERO, ..TERMS };
    let (_, fault) = run(Modes { terms, ..MODES });
    assert!(fault.is_some());
}

#[test]
fn a_fault_shows_without_the_wait_of_a_new_leader() {
    let (_, fault) = run(Modes { settle: false, ..MODES });
    assert!(fault.is_some());
}

#[test]
fn a_fault_shows_when_live_owners_are_replaced_in_one_step() {
    let (_, fault) = run(Modes { release: false, ..MODES });
    assert!(fault.is_some());
}
