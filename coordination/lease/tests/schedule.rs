//! Random schedules of renewals, loss, delay, clock drift, leader changes, isolated hosts and
//! restarts. Two hosts must never act as owners of one target, and no index may be reported in
//! force while a host with a valid lease has not applied it.

mod common;

use std::{collections::BTreeMap, time::Duration};

use lease::{Grantor, HostLease, LeaseSettings, Registry, balance, hand_over};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{Command, Digest, Grant, HostId, Incarnation, Index, Move, Renew, TargetId};

use crate::common::{TERMS, info, ms};

const HOSTS: HostId = 4;
const TARGETS: u32 = 5;
const STEP: Duration = Duration::from_millis(50);
const STEPS: u32 = 3000;
const SEEDS: u64 = 24;
/// Largest deviation of a clock's rate from real time, in thousandths.
const DRIFT: u64 = 80;
const MODES: Modes = Modes { terms: TERMS, wait_settled: true, two_step: true, slow_percent: 5 };

/// Safety mechanisms that are on, and how slow messages are.
#[derive(Clone, Copy)]
struct Modes {
    terms: LeaseSettings,
    wait_settled: bool,
    two_step: bool,
    /// Share of messages that take up to six seconds, in percent.
    slow_percent: u64,
}

struct Clock {
    offset: Duration,
    rate: u64,
}

struct Host {
    clock: Clock,
    holder: HostLease,
    incarnation: Incarnation,
    registry: Registry,
    applied: Index,
    leader: HostId,
    leaving: bool,
    /// Real time until which the host learns of no new leader and no log entry.
    isolated_until: Duration,
}

struct LeaderState {
    grantor: Grantor,
    /// Time by its own clock at which a quorum last followed it; `None` while one does.
    last_quorum: Option<Duration>,
}

enum Msg {
    Renew(HostId, Renew),
    Grant(Grant),
}

struct World {
    rng: ChaCha8Rng,
    modes: Modes,
    real_time: Duration,
    hosts: BTreeMap<HostId, Host>,
    leaders: BTreeMap<HostId, LeaderState>,
    /// The leader that a quorum follows.
    leader: HostId,
    term: u64,
    log: Vec<Command>,
    in_transit: Vec<(Duration, HostId, Msg)>,
    /// Highest index ever reported in force on all hosts.
    max_in_force: Index,
    stats: Stats,
}

#[derive(Default)]
struct Stats {
    moves: u32,
    /// Moves of leaders that are not settled.
    early: u32,
    valid_leases: u32,
    in_force: u32,
    elections: u32,
    restarts: u32,
}

impl Clock {
    fn at(&self, real_time: Duration) -> Duration {
        self.offset + real_time * self.rate as u32 / 1000
    }
}

impl World {
    fn new(seed: u64, modes: Modes) -> World {
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            modes,
            real_time: Duration::ZERO,
            hosts: BTreeMap::new(),
            leaders: BTreeMap::new(),
            leader: 1,
            term: 0,
            log: Vec::new(),
            in_transit: Vec::new(),
            max_in_force: 0,
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
        self.hosts[&host].clock.at(self.real_time)
    }

    /// Makes a quorum follow another leader. The old leader does not learn of it.
    fn elect(&mut self, leader: HostId) {
        let old = self.leader;
        let last_quorum = self.now(old);
        if let Some(lead) = self.leaders.get_mut(&old) {
            lead.last_quorum = Some(last_quorum);
        }
        self.term += 1;
        self.leader = leader;
        let mut grantor = Grantor::new(self.now(leader), self.modes.terms, self.term);
        // Forgetting an unknown target has no effect; it stands for the first entry of the term.
        self.log.push(Command::Forget(0));
        grantor.record_commit(self.now(leader), self.log.len() as Index);
        self.leaders.insert(leader, LeaderState { grantor, last_quorum: None });
        self.stats.elections += 1;
    }

    fn step(&mut self) {
        self.real_time += STEP;
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
            self.catch_up(host);
            self.send_renewal(host);
        }
        self.commit_moves();
    }

    fn restart(&mut self) {
        let host = 1 + self.below(u64::from(HOSTS)) as HostId;
        let terms = self.modes.terms;
        let old = self.hosts.remove(&host).expect("host");
        let clock = Clock { offset: ms(0), rate: old.clock.rate };
        self.hosts.insert(host, Host::new(terms, clock, old.incarnation + 1));
        self.leaders.remove(&host);
        self.stats.restarts += 1;
        if host == self.leader {
            let next = 1 + host % 3;
            self.elect(next);
        }
    }

    /// Lets a host learn of the leader and of log entries after a random delay.
    fn catch_up(&mut self, host: HostId) {
        if self.below(1000) < 1 {
            let until = self.real_time + ms(self.below(20_000));
            self.hosts.get_mut(&host).expect("host").isolated_until = until;
        }
        let learns_leader = self.chance(10);
        let applies = self.chance(20);
        let count = self.below(8) as usize;
        let leader = self.leader;
        let entry = self.hosts.get_mut(&host).expect("host");
        if self.real_time < entry.isolated_until {
            return;
        }
        if learns_leader {
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

    fn send_renewal(&mut self, host: HostId) {
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
            let delay = if self.chance(self.modes.slow_percent) {
                self.below(6000)
            } else {
                self.below(200)
            };
            self.in_transit.push((self.real_time + ms(delay), to, msg(())));
            if self.chance(95) {
                return;
            }
        }
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|(at, ..)| *at <= self.real_time);
        self.in_transit = later;
        let due: Vec<_> = due;
        for (_, to, msg) in due {
            match msg {
                Msg::Renew(from, renew) => self.renew(to, from, renew),
                Msg::Grant(grant) => {
                    let now = self.now(to);
                    let host = self.hosts.get_mut(&to).expect("host");
                    host.holder.granted(now, &grant);
                    assert_eq!(host.holder.state_regression(), None);
                }
            }
        }
    }

    fn renew(&mut self, leader: HostId, from: HostId, renew: Renew) {
        let now = self.now(leader);
        let Some(lead) = self.leaders.get_mut(&leader) else { return };
        let quorum_at = Some(lead.last_quorum.unwrap_or(now));
        let grant = lead.grantor.renew(now, quorum_at, from, renew);
        self.send(from, |()| Msg::Grant(grant.clone()));
    }

    /// Lets the leader commit moves, and at random a change of configuration.
    fn commit_moves(&mut self) {
        let now = self.now(self.leader);
        if self.chance(5) {
            // Without effect as well; it stands for a change of configuration.
            self.log.push(Command::Forget(0));
        }
        let mut registry = Registry::default();
        for (n, command) in self.log.iter().enumerate() {
            registry.apply(n as Index + 1, command);
        }
        let lead = self.leaders.get_mut(&self.leader).expect("leader");
        let live = lead.grantor.live(now);
        let settled = lead.grantor.earlier_leases_expired(now) || !self.modes.wait_settled;
        let mut moves =
            if settled { balance(&registry, &live, 1) } else { hand_over(&registry, &live) };
        if settled && !self.modes.two_step {
            reassign_in_one_step(&mut moves, &lead.grantor, now);
        }
        if !moves.is_empty() {
            self.stats.moves += moves.len() as u32;
            self.stats.early += if settled { 0 } else { moves.len() as u32 };
            self.log.push(Command::Assign(moves));
        }
        lead.grantor.record_commit(now, self.log.len() as Index);
        lead.grantor.take_lost(now);
    }

    /// Returns a description of a violated guarantee, if any.
    fn violation(&mut self) -> Option<String> {
        let mut owners: BTreeMap<TargetId, Vec<HostId>> = BTreeMap::new();
        let mut lowest = Index::MAX;
        for (&id, host) in &self.hosts {
            if !host.holder.valid(host.clock.at(self.real_time), host.applied) {
                continue;
            }
            self.stats.valid_leases += 1;
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
            let rows = self.leaders[&self.leader].grantor.in_force(now, index);
            if rows.iter().any(|row| row.lagging > 0) {
                continue;
            }
            self.stats.in_force += 1;
            self.max_in_force = self.max_in_force.max(index);
        }
        if lowest < self.max_in_force {
            return Some(format!(
                "index {} was reported in force, a host with a lease has applied {lowest}",
                self.max_in_force
            ));
        }
        None
    }
}

impl Host {
    fn new(terms: LeaseSettings, clock: Clock, incarnation: Incarnation) -> Host {
        Host {
            clock,
            holder: HostLease::new(terms, "d".into(), incarnation),
            incarnation,
            registry: Registry::default(),
            applied: 0,
            leader: 1,
            leaving: false,
            isolated_until: Duration::ZERO,
        }
    }
}

/// Turns releases of targets with live owners into direct changes of owner.
fn reassign_in_one_step(moves: &mut [Move], grantor: &Grantor, now: Duration) {
    let live = grantor.live(now);
    for change in moves {
        if change.owner.is_none() {
            let next = &live[change.target as usize % live.len()];
            change.owner = Some((next.host, next.incarnation));
        }
    }
}

/// Runs schedules until one violates a guarantee.
fn run(modes: Modes) -> (Stats, Option<String>) {
    let mut total = Stats::default();
    for seed in 0..SEEDS {
        let mut world = World::new(seed, modes);
        for step in 0..STEPS {
            world.step();
            if let Some(violation) = world.violation() {
                return (total, Some(format!("seed {seed} step {step}: {violation}")));
            }
        }
        total.moves += world.stats.moves;
        total.early += world.stats.early;
        total.valid_leases += world.stats.valid_leases;
        total.in_force += world.stats.in_force;
        total.elections += world.stats.elections;
        total.restarts += world.stats.restarts;
    }
    (total, None)
}

#[test]
fn no_two_owners_and_no_early_in_force() {
    let (stats, violation) = run(MODES);
    assert_eq!(violation, None);
    println!(
        "moves {} early {} valid {} in_force {} leaders {} restarts {}",
        stats.moves,
        stats.early,
        stats.valid_leases,
        stats.in_force,
        stats.elections,
        stats.restarts
    );
    // The schedules must exercise what they are meant to test.
    assert!(stats.moves > 500 && stats.in_force > 5000 && stats.elections > 100);
    assert!(stats.valid_leases > STEPS * SEEDS as u32 && stats.restarts > 100);
    assert!(stats.early > 50, "{} moves of leaders that are not settled", stats.early);
}

#[test]
fn slow_links_change_nothing() {
    let (stats, violation) = run(Modes { slow_percent: 50, ..MODES });
    assert_eq!(violation, None);
    assert!(stats.moves > 500 && stats.in_force > 5000);
}

#[test]
fn a_violation_is_found_without_the_margin() {
    let terms = LeaseSettings { margin: Duration::ZERO, ..TERMS };
    let (_, violation) = run(Modes { terms, ..MODES });
    assert!(violation.is_some());
}

#[test]
fn a_violation_is_found_without_the_wait_of_a_new_leader() {
    let (_, violation) = run(Modes { wait_settled: false, ..MODES });
    assert!(violation.is_some());
}

#[test]
fn a_violation_is_found_when_live_owners_are_replaced_in_one_step() {
    let (_, violation) = run(Modes { two_step: false, ..MODES });
    assert!(violation.is_some());
}
