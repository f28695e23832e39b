//! Replicas in memory on a fake link, in virtual time, with checks at each step.
#![allow(dead_code)]

pub mod check;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use replog::{Alarm, HardState, Input, Op, Output, Recovered, Replica, Settings, Write};
use wire::{Entry, EntryBody, GroupId, HostId, Index, LogBody, LogMsg, Snapshot, Term, VoterId};

use self::check::apply_op;

pub const TICK: Duration = Duration::from_millis(10);
pub const ELECTION: Duration = Duration::from_millis(1000);
pub const HEARTBEAT: Duration = Duration::from_millis(100);

/// What is on a voter's disk, and the write that is not synced yet.
pub struct Disk {
    pub synced: Recovered,
    pub writing: Option<Write>,
    pub full: bool,
}

/// One host: what runs on it and what its state machine holds.
#[derive(Default)]
pub struct Host {
    pub replica: Option<Replica>,
    pub disk: Option<Disk>,
    pub applied: Index,
    /// The state machine: a digest over all applied entries.
    pub digest: u64,
    pub alarms: BTreeSet<Alarm>,
    pub frozen: Vec<Event>,
    pub is_frozen: bool,
    run: u64,
}

/// What is due at a time, on a run of a host.
#[derive(Clone)]
pub enum Event {
    Tick(HostId, u64),
    Msg(HostId, HostId, LogMsg),
    Synced(HostId, u64, u64),
}

/// Faults of the link.
#[derive(Clone, Copy, Default)]
pub struct Link {
    pub delay: Duration,
    pub jitter: Duration,
    /// Shares of messages lost and delivered twice.
    pub loss: f64,
    pub twice: f64,
}

/// The hosts and the link between them.
pub struct World {
    pub now: Duration,
    pub hosts: BTreeMap<HostId, Host>,
    pub link: Link,
    pub sync: Duration,
    pub snapshot_after: u64,
    /// Hosts that no message reaches or leaves.
    pub cut: BTreeSet<HostId>,
    pub rng: ChaCha8Rng,
    pub sent: u64,
    /// Votes, acknowledgements and leaders' messages, by sender.
    pub sent_by: BTreeMap<HostId, u64>,
    pub writes: u64,
    /// Encoded bytes, by sender.
    pub bytes_by: BTreeMap<HostId, u64>,
    pub snapshots: u64,
    /// Entries known to be committed, with the digest after each.
    pub committed: BTreeMap<Index, (Entry, u64)>,
    pub committed_at: BTreeMap<Index, Duration>,
    pub applied_at: BTreeMap<(HostId, Index), Duration>,
    /// Identities of disks that were lost.
    lost: BTreeSet<VoterId>,
    leaders: BTreeMap<(GroupId, Term), HostId>,
    events: BTreeMap<(Duration, u64), Event>,
    seq: u64,
    voters: u64,
    founders: Vec<HostId>,
}

impl World {
    pub fn new(seed: u64, voters: u32, observers: u32) -> World {
        let founders: Vec<HostId> = (1..=voters).collect();
        let link = Link { delay: Duration::from_millis(2), ..Link::default() };
        let mut world = World {
            now: Duration::ZERO,
            hosts: BTreeMap::new(),
            link,
            sync: Duration::from_millis(1),
            snapshot_after: 50,
            cut: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sent: 0,
            sent_by: BTreeMap::new(),
            writes: 0,
            bytes_by: BTreeMap::new(),
            snapshots: 0,
            committed: BTreeMap::new(),
            committed_at: BTreeMap::new(),
            applied_at: BTreeMap::new(),
            lost: BTreeSet::new(),
            leaders: BTreeMap::new(),
            events: BTreeMap::new(),
            seq: 0,
            voters: 100,
            founders: founders.clone(),
        };
        for host in 1..=voters + observers {
            world.hosts.insert(host, Host::default());
        }
        for host in founders {
            world.new_disk(host);
        }
        for host in 1..=voters + observers {
            world.start(host);
        }
        world
    }

    /// Gives a host an empty disk with a new identity.
    pub fn new_disk(&mut self, host: HostId) {
        self.voters += 1;
        let voter: VoterId = self.voters;
        let hard = HardState::default();
        let synced = Recovered { voter, hard, snapshot: None, entries: Vec::new() };
        let disk = Disk { synced, writing: None, full: false };
        let old = self.hosts.get_mut(&host).unwrap().disk.replace(disk);
        self.lost.extend(old.map(|d| d.synced.voter));
    }

    pub fn start(&mut self, host: HostId) {
        let settings = Settings {
            host,
            founders: self.founders.clone(),
            hosts: self.hosts.keys().copied().collect(),
            election: ELECTION,
            heartbeat: HEARTBEAT,
            snapshot_after: self.snapshot_after,
            seed: self.rng.random(),
        };
        let h = self.hosts.get_mut(&host).unwrap();
        h.run += 1;
        (h.applied, h.digest, h.is_frozen) = (0, 0, false);
        h.frozen.clear();
        let disk = h.disk.as_ref().map(|d| d.synced.clone());
        let (replica, outputs) = Replica::new(self.now, settings, disk);
        h.replica = Some(replica);
        let run = h.run;
        self.at(TICK, Event::Tick(host, run));
        self.take(host, outputs);
    }

    /// Ends a host's process. Of a write under way any prefix may have reached
    /// the disk.
    pub fn crash(&mut self, host: HostId) {
        let h = self.hosts.get_mut(&host).unwrap();
        h.replica = None;
        h.run += 1;
        let Some(disk) = &mut h.disk else { return };
        let Some(write) = disk.writing.take() else { return };
        let kept = self.rng.random_range(0..=write.ops.len());
        for op in &write.ops[..kept] {
            apply_op(&mut disk.synced, op);
        }
    }

    pub fn freeze(&mut self, host: HostId) {
        self.hosts.get_mut(&host).unwrap().is_frozen = true;
    }

    pub fn thaw(&mut self, host: HostId) {
        let h = self.hosts.get_mut(&host).unwrap();
        h.is_frozen = false;
        for event in std::mem::take(&mut h.frozen) {
            self.at(Duration::ZERO, event);
        }
    }

    pub fn at(&mut self, after: Duration, event: Event) {
        self.seq += 1;
        self.events.insert((self.now + after, self.seq), event);
    }

    /// Runs for a time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((&(at, seq), _)) = self.events.range(..=(end, u64::MAX)).next() {
            let event = self.events.remove(&(at, seq)).unwrap();
            self.now = at;
            self.step(event);
        }
        self.now = end;
    }

    fn step(&mut self, event: Event) {
        let (host, run) = match &event {
            Event::Tick(host, run) | Event::Synced(host, run, _) => (*host, Some(*run)),
            Event::Msg(_, to, _) => (*to, None),
        };
        let h = self.hosts.get_mut(&host).unwrap();
        if h.replica.is_none() || run.is_some_and(|r| r != h.run) {
            return;
        }
        if h.is_frozen {
            h.frozen.push(event);
            return;
        }
        match event {
            Event::Tick(_, run) => {
                self.at(TICK, Event::Tick(host, run));
                self.input(host, Input::Tick);
            }
            Event::Msg(from, _, msg) => self.input(host, Input::Msg { from, msg }),
            Event::Synced(_, _, ticket) => self.sync_done(host, ticket),
        }
    }

    fn sync_done(&mut self, host: HostId, ticket: u64) {
        let disk = self.hosts.get_mut(&host).unwrap().disk.as_mut().unwrap();
        let write = disk.writing.take().unwrap();
        if disk.full {
            self.input(host, Input::SyncFailed("no space left".to_owned()));
            return;
        }
        for op in &write.ops {
            apply_op(&mut disk.synced, op);
        }
        self.input(host, Input::Synced(ticket));
    }

    pub fn input(&mut self, host: HostId, input: Input) {
        let now = self.now;
        let Some(replica) = &mut self.hosts.get_mut(&host).unwrap().replica else { return };
        let outputs = replica.handle(now, input);
        self.take(host, outputs);
    }

    fn take(&mut self, host: HostId, outputs: Vec<Output>) {
        let mut promised = 0;
        for output in outputs {
            match output {
                Output::Send { to, msg } => {
                    if let LogBody::Appended { index, taken: true, .. } = msg.body {
                        promised = promised.max(index);
                    }
                    self.send(host, to, msg);
                }
                Output::Write(write) => {
                    self.writes += 1;
                    let h = self.hosts.get_mut(&host).unwrap();
                    let run = h.run;
                    let disk = h.disk.as_mut().expect("only voters write");
                    assert!(disk.writing.is_none(), "one write at a time");
                    let ticket = write.ticket;
                    disk.writing = Some(write);
                    self.at(self.sync, Event::Synced(host, run, ticket));
                }
                Output::Apply(entry) => self.apply(host, entry),
                Output::Restore(snap) => self.restore(host, snap),
                Output::SnapshotDue => self.snapshot(host),
                Output::Leader { leader, term } => {
                    if leader == Some(host) {
                        let group = self.status(host).group;
                        let known = *self.leaders.entry((group, term)).or_insert(host);
                        assert_eq!(known, host, "two leaders in term {term}");
                        self.check_leases(host);
                    }
                }
                Output::Alarm(alarm) => {
                    self.hosts.get_mut(&host).unwrap().alarms.insert(alarm);
                }
            }
        }
        self.check_write(host, promised);
    }
}
