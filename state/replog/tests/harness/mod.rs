//! A simulated cluster: replicas in memory on a simulated link in virtual time, checked at each
//! step.
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
use wire::{DiskId, Entry, EntryBody, GroupId, HostId, Index, LogBody, LogMsg, Snapshot, Term};

use self::check::apply_op;

pub const TICK: Duration = Duration::from_millis(10);
pub const ELECTION: Duration = Duration::from_millis(1000);
pub const HEARTBEAT: Duration = Duration::from_millis(100);

/// The content of a voter's disk, and the write that is not synced yet.
pub struct Disk {
    pub synced: Recovered,
    pub writing: Option<Write>,
    /// Whether writes fail for lack of space.
    pub full: bool,
}

/// One host with its replica, disk and state machine.
#[derive(Default)]
pub struct Host {
    pub replica: Option<Replica>,
    pub disk: Option<Disk>,
    pub applied: Index,
    /// The state of the state machine: a digest over all applied entries.
    pub digest: u64,
    pub alarms: BTreeSet<Alarm>,
    /// Events that became due while the host was paused.
    pub held_events: Vec<Event>,
    pub paused: bool,
    /// Counts starts and crashes, so that events of an earlier process are dropped.
    incarnation: u64,
}

/// An event on a host; a tick or a sync concerns one incarnation of it.
#[derive(Clone)]
pub enum Event {
    Tick(HostId, u64),
    Msg(HostId, HostId, LogMsg),
    Synced(HostId, u64, u64),
}

/// Delay and faults of the link.
#[derive(Clone, Copy, Default)]
pub struct Link {
    pub delay: Duration,
    pub jitter: Duration,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that are delivered twice.
    pub duplicate: f64,
}

/// The hosts and the link between them.
pub struct Cluster {
    pub now: Duration,
    pub hosts: BTreeMap<HostId, Host>,
    pub link: Link,
    /// How long a write to disk takes.
    pub sync_time: Duration,
    pub snapshot_after: u64,
    /// Hosts whose messages are dropped in both directions.
    pub isolated: BTreeSet<HostId>,
    pub rng: ChaCha8Rng,
    pub sent: u64,
    /// Messages other than hellos, by sender.
    pub sent_by: BTreeMap<HostId, u64>,
    pub writes: u64,
    /// Encoded bytes of all messages, by sender.
    pub bytes_by: BTreeMap<HostId, u64>,
    pub snapshots: u64,
    /// Entries known to be committed, with the digest after each.
    pub committed: BTreeMap<Index, (Entry, u64)>,
    pub committed_at: BTreeMap<Index, Duration>,
    pub applied_at: BTreeMap<(HostId, Index), Duration>,
    /// Identities of the disks that were replaced by empty ones.
    lost_disks: BTreeSet<DiskId>,
    leaders: BTreeMap<(GroupId, Term), HostId>,
    /// Pending events in order of their time and number.
    events: BTreeMap<(Duration, u64), Event>,
    seq: u64,
    /// The last disk identity assigned.
    last_voter: u64,
    founders: Vec<HostId>,
}

impl Cluster {
    pub fn new(seed: u64, voters: u32, observers: u32) -> Cluster {
        let founders: Vec<HostId> = (1..=voters).collect();
        let link = Link { delay: Duration::from_millis(2), ..Link::default() };
        let mut cluster = Cluster {
            now: Duration::ZERO,
            hosts: BTreeMap::new(),
            link,
            sync_time: Duration::from_millis(1),
            snapshot_after: 50,
            isolated: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sent: 0,
            sent_by: BTreeMap::new(),
            writes: 0,
            bytes_by: BTreeMap::new(),
            snapshots: 0,
            committed: BTreeMap::new(),
            committed_at: BTreeMap::new(),
            applied_at: BTreeMap::new(),
            lost_disks: BTreeSet::new(),
            leaders: BTreeMap::new(),
            events: BTreeMap::new(),
            seq: 0,
            last_voter: 100,
            founders: founders.clone(),
        };
        for host in 1..=voters + observers {
            cluster.hosts.insert(host, Host::default());
        }
        for host in founders {
            cluster.new_disk(host);
        }
        for host in 1..=voters + observers {
            cluster.start(host);
        }
        cluster
    }

    /// Gives a host an empty disk with a new identity.
    pub fn new_disk(&mut self, host: HostId) {
        self.last_voter += 1;
        let voter: DiskId = self.last_voter;
        let hard = HardState::default();
        let synced = Recovered { disk: voter, hard, snapshot: None, entries: Vec::new() };
        let disk = Disk { synced, writing: None, full: false };
        let old = self.hosts.get_mut(&host).unwrap().disk.replace(disk);
        self.lost_disks.extend(old.map(|d| d.synced.disk));
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
        h.incarnation += 1;
        (h.applied, h.digest, h.paused) = (0, 0, false);
        h.held_events.clear();
        let disk = h.disk.as_ref().map(|d| d.synced.clone());
        let (replica, outputs) = Replica::new(self.now, settings, disk);
        h.replica = Some(replica);
        let incarnation = h.incarnation;
        self.schedule(TICK, Event::Tick(host, incarnation));
        self.handle_outputs(host, outputs);
    }

    /// Ends a host's process. A random prefix of the outstanding write reaches the disk.
    pub fn crash(&mut self, host: HostId) {
        let h = self.hosts.get_mut(&host).unwrap();
        h.replica = None;
        h.incarnation += 1;
        let Some(disk) = &mut h.disk else { return };
        let Some(write) = disk.writing.take() else { return };
        let kept = self.rng.random_range(0..=write.ops.len());
        for op in &write.ops[..kept] {
            apply_op(&mut disk.synced, op);
        }
    }

    pub fn pause(&mut self, host: HostId) {
        self.hosts.get_mut(&host).unwrap().paused = true;
    }

    pub fn resume(&mut self, host: HostId) {
        let h = self.hosts.get_mut(&host).unwrap();
        h.paused = false;
        for event in std::mem::take(&mut h.held_events) {
            self.schedule(Duration::ZERO, event);
        }
    }

    pub fn schedule(&mut self, after: Duration, event: Event) {
        self.seq += 1;
        self.events.insert((self.now + after, self.seq), event);
    }

    /// Advances virtual time by `span` and handles all events that become due.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((&(at, seq), _)) = self.events.range(..=(end, u64::MAX)).next() {
            let event = self.events.remove(&(at, seq)).unwrap();
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        let (host, incarnation) = match &event {
            Event::Tick(host, incarnation) | Event::Synced(host, incarnation, _) => {
                (*host, Some(*incarnation))
            }
            Event::Msg(_, to, _) => (*to, None),
        };
        let h = self.hosts.get_mut(&host).unwrap();
        if h.replica.is_none() || incarnation.is_some_and(|r| r != h.incarnation) {
            return;
        }
        if h.paused {
            h.held_events.push(event);
            return;
        }
        match event {
            Event::Tick(_, incarnation) => {
                self.schedule(TICK, Event::Tick(host, incarnation));
                self.input(host, Input::Tick);
            }
            Event::Msg(from, _, msg) => self.input(host, Input::Msg { from, msg }),
            Event::Synced(_, _, ticket) => self.finish_write(host, ticket),
        }
    }

    fn finish_write(&mut self, host: HostId, ticket: u64) {
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
        self.handle_outputs(host, outputs);
    }

    fn handle_outputs(&mut self, host: HostId, outputs: Vec<Output>) {
        let mut acknowledged = 0;
        for output in outputs {
            match output {
                Output::Send { to, msg } => {
                    if let LogBody::Appended { index, accepted: true, .. } = msg.body {
                        acknowledged = acknowledged.max(index);
                    }
                    self.send(host, to, msg);
                }
                Output::Write(write) => {
                    self.writes += 1;
                    let h = self.hosts.get_mut(&host).unwrap();
                    let incarnation = h.incarnation;
                    let disk = h.disk.as_mut().expect("only voters write");
                    assert!(disk.writing.is_none(), "one write at a time");
                    let ticket = write.ticket;
                    disk.writing = Some(write);
                    self.schedule(self.sync_time, Event::Synced(host, incarnation, ticket));
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
        self.check_write(host, acknowledged);
    }
}
