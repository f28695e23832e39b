//! Simulation of several hosts in one process with virtual time and a network that can be cut.
#![allow(dead_code)]

pub mod documents;
pub mod network;
pub mod records;
pub mod settings;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use desired::Command;
use fleet::{Admission, Event, Host, Input, Order, OrderOutcome, Output, Reply, Report, Tag};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use replog::{HardState, Op, Recovered, Write};
use wire::{HostId, PeerMsg, Suspect};

use self::{
    network::{Network, is_about_places, topic},
    records::{query, seen_crash},
    settings::{config, settings},
};

const TICK: Duration = Duration::from_millis(50);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

enum Scheduled {
    Tick(HostId, u64),
    Msg(HostId, HostId, Box<PeerMsg>),
    Synced(HostId, u64, u64),
    Input(HostId, u64, Box<Input>),
}

/// A simulated target: the orders that it accepted and the adapters that it holds, with their versions.
#[derive(Default)]
pub struct SimTarget {
    sequence: u64,
    pub adapters: BTreeMap<String, u64>,
    /// Whether it takes no orders.
    pub busy: bool,
}

/// One machine. Its disk outlives its process.
pub struct Machine {
    pub host: Option<Host>,
    pub disk: Option<Recovered>,
    pub incarnation: u64,
    pub orders: Vec<(Duration, Order)>,
    pub replies: BTreeMap<Tag, Reply>,
    /// Configurations that came into force on it, in order.
    pub configs: Vec<bytes::Bytes>,
    /// Streams whose records were confirmed to it, and the versions of those that it asked for.
    pub recorded: BTreeSet<u64>,
    pub found: BTreeMap<u64, u64>,
    /// Records on its disk, and whether it may lack some.
    pub records: Vec<(u64, u64)>,
    pub lacks_records: bool,
    writes: Vec<Write>,
}

pub struct World {
    pub now: Duration,
    pub machines: BTreeMap<HostId, Machine>,
    /// Hosts that are partitioned from those not in the set.
    pub cut: BTreeSet<HostId>,
    /// Hosts that handle no input for now.
    pub frozen: BTreeSet<HostId>,
    /// Hosts that reach no target themselves.
    pub pathless: BTreeSet<HostId>,
    /// The targets, by name.
    pub targets: BTreeMap<String, SimTarget>,
    pub seeds: Vec<HostId>,
    pub network: Network,
    /// The hosts without whose confirmation changes were acknowledged, for each such change.
    pub unconfirmed: Vec<Vec<HostId>>,
    /// Messages sent about request limits and places.
    pub place_messages: u64,
    /// If set, counts the messages and their bytes by what they are about.
    pub traffic: Option<BTreeMap<&'static str, (u64, u64)>>,
    cpu_millis: u32,
    rng: ChaCha8Rng,
    scheduled: BTreeMap<(Duration, u64), Scheduled>,
    seq: u64,
    tags: Tag,
    first_start: bool,
}

fn apply(disk: &mut Recovered, op: &Op) {
    match op {
        Op::Hard(hard) => disk.hard = hard.clone(),
        Op::Append(entries) => disk.entries.extend(entries.iter().cloned()),
        Op::Truncate(index) => disk.entries.retain(|it| it.index < *index),
        Op::Snapshot(snapshot) => {
            let last = (snapshot.index, snapshot.term);
            let held = disk.entries.iter().any(|it| (it.index, it.term) == last);
            disk.entries.retain(|it| held && it.index > snapshot.index);
            disk.snapshot = Some(snapshot.clone());
        }
    }
}

impl World {
    /// Starts `disks` hosts with a disk and `plain` hosts without one, in random order.
    pub fn new(seed: u64, disks: u32, plain: u32, seeds: &[HostId]) -> World {
        World::with_cpu_millis(seed, disks, plain, seeds, 1000)
    }

    /// Six hosts, the first three with disks, that obey a configuration.
    pub fn configured(seed: u64) -> World {
        let mut world = World::new(seed, 3, 3, &[1, 2, 3]);
        world.run(ms(3000));
        let command = Command::Replace { number: 1, body: Bytes::from_static(b"one") };
        let tag = world.tag();
        world.input(4, Input::Change { tag, command });
        world.run(ms(1000));
        world
    }

    /// Like [`World::new`]; hosts without a disk have `cpu_millis` thousandths of a core.
    pub fn with_cpu_millis(
        seed: u64,
        disks: u32,
        plain: u32,
        seeds: &[HostId],
        cpu_millis: u32,
    ) -> World {
        let mut world = World {
            cpu_millis,
            now: ms(1),
            machines: BTreeMap::new(),
            cut: BTreeSet::new(),
            frozen: BTreeSet::new(),
            pathless: BTreeSet::new(),
            targets: BTreeMap::new(),
            seeds: seeds.to_vec(),
            network: Network::default(),
            unconfirmed: Vec::new(),
            place_messages: 0,
            traffic: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            scheduled: BTreeMap::new(),
            seq: 0,
            tags: 0,
            first_start: true,
        };
        let mut hosts: Vec<HostId> = (1..=disks + plain).collect();
        while !hosts.is_empty() {
            let at = world.rng.random_range(0..hosts.len());
            let host = hosts.swap_remove(at);
            world.add(host, host <= disks);
            world.run(ms(30));
        }
        world.first_start = false;
        world
    }

    /// Adds a machine, with an empty disk if `disk` is set, and starts it.
    pub fn add(&mut self, host: HostId, disk: bool) {
        let disk = disk.then(|| self.empty_disk());
        let machine = Machine {
            host: None,
            disk,
            incarnation: 0,
            orders: Vec::new(),
            replies: BTreeMap::new(),
            configs: Vec::new(),
            recorded: BTreeSet::new(),
            found: BTreeMap::new(),
            records: Vec::new(),
            lacks_records: true,
            writes: Vec::new(),
        };
        self.machines.insert(host, machine);
        self.start(host);
    }

    fn empty_disk(&mut self) -> Recovered {
        Recovered {
            disk: self.rng.random(),
            hard: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }

    pub fn start(&mut self, host: HostId) {
        self.seq += 1;
        let incarnation = 1000 + self.seq;
        let seed = self.rng.random();
        let machine = self.machines.get_mut(&host).expect("the host exists");
        let disk = machine.disk.is_some();
        let mut settings = settings(host, &self.seeds, self.first_start, disk);
        settings.cpu_millis = if disk { 1000 } else { self.cpu_millis };
        let (mut state, outputs) =
            Host::new(self.now, settings, incarnation, machine.disk.clone(), seed);
        state.restore_records(self.now, machine.records.clone(), !machine.lacks_records);
        machine.recorded.clear();
        machine.found.clear();
        machine.host = Some(state);
        machine.incarnation = incarnation;
        machine.writes.clear();
        machine.configs.clear();
        self.apply_outputs(host, outputs);
        self.schedule(TICK, Scheduled::Tick(host, incarnation));
    }

    pub fn kill(&mut self, host: HostId) {
        self.machines.get_mut(&host).expect("the host exists").host = None;
    }

    /// Kills a host and replaces its disk by an empty one.
    pub fn wipe(&mut self, host: HostId) {
        let disk = self.empty_disk();
        let machine = self.machines.get_mut(&host).expect("the host exists");
        machine.host = None;
        machine.disk = Some(disk);
        machine.records.clear();
        machine.lacks_records = true;
    }

    fn schedule(&mut self, delay: Duration, event: Scheduled) {
        self.seq += 1;
        self.scheduled.insert((self.now + delay, self.seq), event);
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((&(at, seq), _)) = self.scheduled.first_key_value() {
            if at > end {
                break;
            }
            self.now = at;
            let event = self.scheduled.remove(&(at, seq)).expect("the key was read above");
            self.dispatch(event);
        }
        self.now = end;
    }

    fn dispatch(&mut self, event: Scheduled) {
        let host = match &event {
            Scheduled::Tick(host, _) | Scheduled::Synced(host, ..) | Scheduled::Input(host, ..) => {
                host
            }
            Scheduled::Msg(_, to, _) => to,
        };
        if self.frozen.contains(host) {
            return self.schedule(ms(20), event);
        }
        match event {
            Scheduled::Tick(host, incarnation) => {
                let machine = &self.machines[&host];
                if machine.incarnation == incarnation && machine.host.is_some() {
                    self.input(host, Input::Tick);
                    self.schedule(TICK, Scheduled::Tick(host, incarnation));
                }
            }
            Scheduled::Msg(from, to, msg) => {
                let cut = self.cut.contains(&from) != self.cut.contains(&to);
                if !cut && self.machines.contains_key(&to) {
                    self.input(to, Input::Peer { from, msg: *msg });
                }
            }
            Scheduled::Synced(host, incarnation, ticket) => {
                self.complete_write(host, incarnation, ticket)
            }
            Scheduled::Input(host, incarnation, input) => {
                if self.machines[&host].incarnation == incarnation {
                    self.input(host, *input);
                }
            }
        }
    }

    fn complete_write(&mut self, host: HostId, incarnation: u64, ticket: u64) {
        let machine = self.machines.get_mut(&host).expect("the host exists");
        if machine.incarnation != incarnation || machine.host.is_none() {
            return;
        }
        let Some(at) = machine.writes.iter().position(|it| it.ticket == ticket) else { return };
        let write = machine.writes.remove(at);
        if let Some(disk) = &mut machine.disk {
            for op in &write.ops {
                apply(disk, op);
            }
        }
        self.input(host, Input::Synced(ticket));
    }

    pub fn input(&mut self, host: HostId, input: Input) {
        let now = self.now;
        let machine = self.machines.get_mut(&host).expect("the host exists");
        let Some(state) = &mut machine.host else { return };
        let outputs = state.handle(now, input);
        self.apply_outputs(host, outputs);
    }

    fn apply_outputs(&mut self, host: HostId, outputs: Vec<Output>) {
        for output in outputs {
            let now = self.now;
            let machine = self.machines.get_mut(&host).expect("the host exists");
            let incarnation = machine.incarnation;
            match output {
                Output::Send { to, msg } => {
                    self.place_messages += u64::from(is_about_places(&msg));
                    if let Some(traffic) = &mut self.traffic {
                        let (messages, bytes) = traffic.entry(topic(&msg)).or_default();
                        *messages += 1;
                        *bytes += wire::encode(&msg).len() as u64;
                    }
                    let delay = self.network.delay(now, host, to, &msg, &mut self.rng);
                    if let Some(delay) = delay {
                        self.schedule(delay, Scheduled::Msg(host, to, Box::new(msg)));
                    }
                }
                Output::Write(write) => {
                    let ticket = write.ticket;
                    machine.writes.push(write);
                    self.schedule(ms(2), Scheduled::Synced(host, incarnation, ticket));
                }
                Output::StreamRecorded { stream } => drop(machine.recorded.insert(stream)),
                Output::StreamSoftware { stream, software } => {
                    machine.found.insert(stream, software);
                }
                Output::WriteRecord { ticket, records } => {
                    machine.records.extend(records);
                    let input = Input::RecordsSynced(ticket, ticket);
                    self.schedule(ms(3), Scheduled::Input(host, incarnation, Box::new(input)));
                }
                Output::MarkRecords { complete } => machine.lacks_records = !complete,
                Output::Order(order) => {
                    machine.orders.push((now, order.clone()));
                    let outcome =
                        self.targets.entry(order.target.clone()).or_default().order(&order);
                    let input = Input::OrderEnded { order, outcome };
                    self.schedule(ms(4), Scheduled::Input(host, incarnation, Box::new(input)));
                }
                Output::CheckLoad { order, after } => {
                    let target = self.targets.entry(order.target.clone()).or_default();
                    let outcome = target.order(&order);
                    let input = Input::LoadChecked { order, outcome };
                    let at = after + ms(4);
                    self.schedule(at, Scheduled::Input(host, incarnation, Box::new(input)));
                }
                Output::FetchReport { target, request, .. } => {
                    let report = self.targets.entry(target.clone()).or_default().report();
                    let input = Input::ReportReceived { target, request, report: Some(report) };
                    self.schedule(ms(4), Scheduled::Input(host, incarnation, Box::new(input)));
                }
                Output::ProbePath { .. } => self.probe_path(host),
                Output::Answer { tag, reply } => {
                    machine.replies.insert(tag, reply);
                }
                Output::Config(body) => {
                    machine.configs.push(body);
                    if let Some(state) = &mut machine.host {
                        state.set_config(config());
                    }
                }
                Output::Log(Event::Unconfirmed { hosts, .. }) => {
                    self.unconfirmed.push(hosts.iter().map(|it| it.host).collect());
                }
                _ => {}
            }
        }
    }

    fn probe_path(&mut self, host: HostId) {
        let is_open = !self.pathless.contains(&host);
        self.call(host, |state, now| match is_open {
            true => ((), state.path_opened(now)),
            false => (state.probe_failed(), Vec::new()),
        });
    }

    /// Cuts a host off from all targets. It finds that others reach two of them.
    pub fn lose_paths(&mut self, host: HostId, targets: [&str; 2]) {
        self.pathless.insert(host);
        if self.machines[&host].host.is_none() {
            return;
        }
        for target in targets {
            self.call(host, |state, now| ((), state.path_missed(now, target)));
        }
    }

    pub fn tag(&mut self) -> Tag {
        self.tags += 1;
        self.tags
    }

    /// Lets a request of a host wait for an adapter until the demand is sent.
    pub fn demand(&mut self, host: HostId, adapter: &str) {
        let now = self.now;
        let Some(state) = self.machines.get_mut(&host).and_then(|it| it.host.as_mut()) else {
            return;
        };
        let query = query(adapter);
        state.wait_for(&query);
        let outputs = state.send_demands(now);
        state.wait_ended(&query);
        self.apply_outputs(host, outputs);
    }

    /// Lets a host call one of its methods, and carries out the outputs.
    pub fn call<T>(
        &mut self,
        host: HostId,
        call: impl FnOnce(&mut Host, Duration) -> (T, Vec<Output>),
    ) -> T {
        let now = self.now;
        let machine = self.machines.get_mut(&host).expect("the host exists");
        let state = machine.host.as_mut().expect("the host runs");
        let (result, outputs) = call(state, now);
        self.apply_outputs(host, outputs);
        result
    }

    /// Lets a host report that the first process of a target crashed with requests in it.
    pub fn crashed(&mut self, host: HostId, suspects: &[Suspect], target: &str) {
        self.call(host, |state, now| ((), state.report_crash(now, seen_crash(target, suspects))));
    }

    /// Returns whether a host sends a request with these contents.
    pub fn admit(&mut self, host: HostId, contents: &[Suspect]) -> Admission {
        self.call(host, |state, now| state.admit(now, contents, ms(1000)))
    }

    /// Returns the time, target and sending host of all orders, in order of time.
    pub fn orders(&self) -> Vec<(Duration, String, HostId)> {
        let mut orders = Vec::new();
        for (host, machine) in &self.machines {
            for (at, order) in &machine.orders {
                orders.push((*at, order.target.clone(), *host));
            }
        }
        orders.sort();
        orders
    }

    /// Returns the leader in the local view of most running hosts.
    pub fn leader(&self) -> Option<HostId> {
        let mut votes: BTreeMap<HostId, usize> = BTreeMap::new();
        for machine in self.machines.values() {
            if let Some(leader) = machine.host.as_ref().and_then(Host::leader) {
                *votes.entry(leader).or_default() += 1;
            }
        }
        votes.into_iter().max_by_key(|(_, count)| *count).map(|(host, _)| host)
    }

    pub fn running(&self) -> Vec<HostId> {
        let runs = self.machines.iter().filter(|(_, it)| it.host.is_some());
        runs.map(|(host, _)| *host).collect()
    }
}

impl SimTarget {
    fn order(&mut self, order: &Order) -> OrderOutcome {
        if self.busy || order.expected_orders != self.sequence {
            return OrderOutcome::Busy;
        }
        self.sequence += 1;
        if order.load {
            self.adapters.insert(order.name(), order.version.max(1));
        } else {
            self.adapters.remove(&order.name());
        }
        OrderOutcome::Accepted
    }

    fn report(&self) -> Report {
        let mut report = Report { accepted_orders: self.sequence, ..Report::default() };
        report.loaded.push(("m".to_owned(), 1));
        report.loaded.extend(self.adapters.iter().map(|(name, version)| (name.clone(), *version)));
        report
    }
}
