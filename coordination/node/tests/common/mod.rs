//! Simulated cluster: several hosts and stand-in targets in one process, in virtual time.

// Each test file uses only some of the items of this module.
#![allow(dead_code, unused_imports)]

mod calls;
mod link;
mod requests;
pub mod target;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use decl::Settings;
use node::{Call, CallerRequest, Input, Node, Order, Output, Published, Start, StateChange, Tag};
use wire::{DeclFile, Fault, HostId, Incarnation, Publish, RequestId};

use self::{link::describe_input, target::Target};

pub use self::{
    link::Links,
    requests::{BOOKING, NOTES, booking, completion, ready, ready_in},
};

const LINK_DELAY: Duration = Duration::from_millis(2);
const DISK_DELAY: Duration = Duration::from_millis(1);
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
pub const WALL_START_MS: u64 = 1_700_000_000_000;

/// An event that is scheduled at a point of virtual time.
#[derive(Debug)]
enum Event {
    /// An input reaches a host; it is dropped if the host has restarted since.
    Input(HostId, Incarnation, Input),
    Tick(HostId, Incarnation),
    /// The target sends its periodic report.
    Report(usize),
    /// The target takes the next step of an answer.
    Serve(usize, RequestId),
    /// An order reaches its target and is executed.
    OrderArrived(usize, HostId, Incarnation, Order),
    /// The target starts again after a crash.
    RestartTarget(usize),
}

/// What a caller has received for its request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Response {
    pub status: Option<u16>,
    pub ran: String,
    pub target: String,
    pub body: Vec<u8>,
    pub complete: bool,
    pub fault: Option<Fault>,
}

impl Response {
    pub fn ended(&self) -> bool {
        self.complete || self.fault.is_some()
    }
}

struct Host {
    node: Option<Node>,
    incarnation: Incarnation,
    disk: Option<replog::Recovered>,
    /// Events that arrived while the process was frozen.
    frozen: Vec<(Duration, Event)>,
    is_frozen: bool,
    /// Number of requests that were cut, once the process has completed its shutdown.
    exited: Option<u32>,
}

/// The hosts, the links between them and the targets.
pub struct Cluster {
    pub now: Duration,
    hosts: BTreeMap<HostId, Host>,
    pub targets: Vec<Target>,
    queue: BTreeMap<(Duration, u64), Event>,
    seq: u64,
    /// Real-time clock; if set, the time that hosts spend is measured.
    pub clock: Option<fn() -> Duration>,
    /// Real time spent in each host's state machine.
    pub spent: BTreeMap<HostId, Duration>,
    /// Behaviour of the links between hosts.
    pub links: Links,
    /// Links that drop all messages, as pairs of sender and receiver.
    pub cut_links: BTreeSet<(HostId, HostId)>,
    pub responses: BTreeMap<(HostId, Tag), Response>,
    pub published: BTreeMap<Tag, Result<Published, Fault>>,
    pub changes: Vec<(HostId, StateChange)>,
    /// Extra delay of the orders that a host sends.
    pub order_delays: BTreeMap<HostId, Duration>,
    /// Time after which a crashed target starts again; none if it stays down.
    pub restart_delay: Option<Duration>,
    /// Trace of messages and calls, if recording is on.
    pub trace: Option<Vec<String>>,
    next_tag: Tag,
    layout: Layout,
}

fn empty_disk(host: HostId, number: u64) -> replog::Recovered {
    replog::Recovered {
        disk: (u64::from(host) << 48) | number,
        hard: replog::HardState::default(),
        snapshot: None,
        entries: Vec::new(),
    }
}

/// Number of hosts, of voters among them and of failure domains.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    pub hosts: u32,
    pub voters: u32,
    pub domains: u32,
}

pub fn settings(host: HostId, layout: Layout) -> Settings {
    let Layout { hosts, voters, domains } = layout;
    let mut text = format!(
        "[host]\nid = {host}\nip = 127.1.0.{host}\ndomain = d{}\nseed = {host}\n",
        host % domains
    );
    if host <= voters {
        text.push_str("data_dir = /unused\n");
    }
    text.push_str("[hosts]\n");
    for id in 1..=hosts {
        text.push_str(&format!("{id} = 127.1.0.{id} d{}\n", id % domains));
    }
    let founders: Vec<String> = (1..=voters).map(|id| id.to_string()).collect();
    text.push_str(&format!("[cluster]\nfounders = {}\n", founders.join(", ")));
    Settings::parse("test.ini", &text).expect("test settings are valid")
}

impl Cluster {
    /// Starts the hosts; the first `voters` of them have disks.
    pub fn new(layout: Layout) -> Cluster {
        let Layout { hosts, voters, .. } = layout;
        let mut cluster = Cluster {
            now: Duration::ZERO,
            hosts: BTreeMap::new(),
            targets: Vec::new(),
            queue: BTreeMap::new(),
            seq: 0,
            clock: None,
            spent: BTreeMap::new(),
            links: Links::default(),
            cut_links: BTreeSet::new(),
            responses: BTreeMap::new(),
            published: BTreeMap::new(),
            changes: Vec::new(),
            order_delays: BTreeMap::new(),
            restart_delay: None,
            trace: None,
            next_tag: 1,
            layout,
        };
        for host in 1..=hosts {
            let disk = (host <= voters).then(|| empty_disk(host, 1));
            cluster.hosts.insert(
                host,
                Host {
                    node: None,
                    incarnation: 0,
                    disk,
                    frozen: Vec::new(),
                    is_frozen: false,
                    exited: None,
                },
            );
        }
        for host in 1..=hosts {
            cluster.start(host);
        }
        cluster
    }

    /// Gives a stopped host an empty disk with a new identity.
    pub fn replace_disk(&mut self, id: HostId) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.disk = Some(empty_disk(id, host.incarnation + 1));
    }

    /// Starts a host, or starts it again after [`Cluster::kill`].
    pub fn start(&mut self, id: HostId) {
        let layout = self.layout;
        let now = self.now;
        let wall_ms = self.wall();
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.incarnation += 1;
        let incarnation = host.incarnation;
        let start = Start { incarnation, recovered: host.disk.clone(), wall_ms };
        let (node, outputs) = Node::new(now, settings(id, layout), start);
        host.node = Some(node);
        host.exited = None;
        self.apply_outputs(id, outputs);
        self.schedule(TICK_INTERVAL, Event::Tick(id, incarnation));
    }

    /// Ends a host's process at once. Its peers are notified that their connections broke.
    pub fn kill(&mut self, id: HostId) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.node = None;
        host.frozen.clear();
        host.is_frozen = false;
        for target in &mut self.targets {
            target.disconnect(id);
        }
        let peers: Vec<(HostId, Incarnation)> =
            self.hosts.iter().map(|(id, host)| (*id, host.incarnation)).collect();
        for (peer, incarnation) in peers {
            if peer != id {
                self.schedule(LINK_DELAY, Event::Input(peer, incarnation, Input::PeerLost(id)));
            }
        }
    }

    /// Starts a host again if its process ended or was asked to end.
    pub fn restart(&mut self, id: HostId) {
        if self.hosts.get(&id).is_some_and(|host| host.node.is_some()) {
            self.kill(id);
        }
        self.start(id);
    }

    /// Breaks the connections of all calls of a target.
    pub fn break_connections_of(&mut self, idx: usize) {
        for (host, incarnation, input) in self.targets[idx].break_connections() {
            self.schedule(LINK_DELAY, Event::Input(host, incarnation, input));
        }
    }

    /// Suspends a host's process until [`Cluster::thaw`].
    pub fn freeze(&mut self, id: HostId) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.is_frozen = true;
        }
    }

    /// Resumes a frozen process; it handles the events that arrived meanwhile, except ticks.
    pub fn thaw(&mut self, id: HostId) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.is_frozen = false;
        for (_, event) in std::mem::take(&mut host.frozen) {
            self.schedule(Duration::ZERO, event);
        }
    }

    /// Cuts the links between a host and all others.
    pub fn isolate(&mut self, id: HostId) {
        for &other in self.hosts.keys() {
            self.cut_links.insert((id, other));
            self.cut_links.insert((other, id));
        }
    }

    /// Restores all links that were cut.
    pub fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Returns the wall-clock time in milliseconds since the epoch.
    pub fn wall(&self) -> u64 {
        WALL_START_MS + self.now.as_millis() as u64
    }

    pub fn node(&self, id: HostId) -> &Node {
        self.hosts[&id].node.as_ref().expect("the host runs")
    }

    pub fn is_running(&self, id: HostId) -> bool {
        self.hosts.get(&id).is_some_and(|host| host.node.is_some())
    }

    /// Returns the number of requests that a completed shutdown cut, or none before that.
    pub fn exited(&self, id: HostId) -> Option<u32> {
        self.hosts.get(&id)?.exited
    }

    pub fn leader(&self) -> Option<HostId> {
        let running = self.hosts.iter().filter(|(_, host)| host.node.is_some());
        let mut leaders =
            running.filter_map(|(_, host)| host.node.as_ref()?.status(self.now).leader);
        leaders.next()
    }

    /// Returns the owner of a target by the highest fence that a running host knows.
    pub fn owner(&self, target: &str) -> Option<HostId> {
        let mut found = None;
        for host in self.hosts.values() {
            let Some(node) = &host.node else { continue };
            found = found.max(node.report_destination(target).map(|(host, fence)| (fence, host)));
        }
        found.map(|(_, host)| host)
    }

    pub fn add_target(&mut self, target: Target) -> usize {
        self.targets.push(target);
        let idx = self.targets.len() - 1;
        self.schedule(Duration::ZERO, Event::Report(idx));
        idx
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.seq += 1;
        self.queue.insert((self.now + delay, self.seq), event);
    }

    pub fn input(&mut self, id: HostId, input: Input) {
        let incarnation = self.hosts[&id].incarnation;
        self.schedule(Duration::ZERO, Event::Input(id, incarnation, input));
    }

    /// Sends a caller's request to a host.
    pub fn request(&mut self, id: HostId, caller: CallerRequest) -> (HostId, Tag) {
        let tag = self.next_tag;
        self.next_tag += 1;
        self.responses.insert((id, tag), Response::default());
        self.record(format!("caller {} -> host {id}: request {tag}", caller.caller));
        self.input(id, Input::Request { tag, caller: Box::new(caller) });
        (id, tag)
    }

    pub fn publish(&mut self, id: HostId, files: &[(&str, &str)]) -> Tag {
        let tag = self.next_tag;
        self.next_tag += 1;
        let files = files
            .iter()
            .map(|(name, text)| DeclFile { name: (*name).to_owned(), text: (*text).to_owned() })
            .collect();
        let publish =
            Publish { files, author: "operator".to_owned(), revision: "abc123".to_owned() };
        self.input(id, Input::Publish { tag, publish });
        tag
    }

    fn record(&mut self, line: String) {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:>7} ms  {line}", now.as_millis()));
        }
    }

    /// Runs until a condition holds. Returns false if it does not hold within `limit`.
    pub fn run_until(&mut self, limit: Duration, mut done: impl FnMut(&Cluster) -> bool) -> bool {
        let end = self.now + limit;
        while !done(self) {
            if !self.step(end) {
                return done(self);
            }
        }
        true
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.step(end) {}
        self.now = end;
    }

    fn step(&mut self, end: Duration) -> bool {
        let Some((&(at, seq), _)) = self.queue.first_key_value() else { return false };
        if at > end {
            return false;
        }
        let Some(event) = self.queue.remove(&(at, seq)) else { return false };
        self.now = self.now.max(at);
        self.handle_event(event);
        true
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Input(id, incarnation, input) => self.deliver(id, incarnation, input),
            Event::Tick(id, incarnation) => {
                let wall_ms = self.wall();
                let Some(host) = self.hosts.get(&id) else { return };
                if host.incarnation != incarnation || host.node.is_none() {
                    return;
                }
                self.deliver(id, incarnation, Input::Tick { wall_ms });
                self.schedule(TICK_INTERVAL, Event::Tick(id, incarnation));
            }
            Event::Report(idx) => {
                self.report(idx);
                self.schedule(REPORT_INTERVAL, Event::Report(idx));
            }
            Event::Serve(idx, request) => self.serve(idx, request),
            Event::RestartTarget(idx) => {
                if !self.targets[idx].up {
                    self.targets[idx].restart();
                }
            }
            Event::OrderArrived(idx, id, incarnation, order) => {
                let number = order.order;
                let result = self.targets[idx].order(&order);
                let line =
                    format!("{} -> host {id}: order {number} {result:?}", self.targets[idx].name);
                self.record(line);
                let input = Input::OrderEnded { order: number, result };
                self.schedule(LINK_DELAY, Event::Input(id, incarnation, input));
            }
        }
    }

    fn deliver(&mut self, id: HostId, incarnation: Incarnation, input: Input) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.incarnation != incarnation {
            return;
        }
        if host.is_frozen {
            if !matches!(input, Input::Tick { .. }) {
                host.frozen.push((now, Event::Input(id, incarnation, input)));
            }
            return;
        }
        let Some(node) = &host.node else { return };
        let began = self.clock.map(|clock| clock());
        let outputs = node.handle(now, input);
        if let (Some(clock), Some(began)) = (self.clock, began) {
            *self.spent.entry(id).or_default() += clock() - began;
        }
        self.apply_outputs(id, outputs);
    }

    fn apply_outputs(&mut self, id: HostId, outputs: Vec<Output>) {
        let incarnation = self.hosts[&id].incarnation;
        for output in outputs {
            match output {
                Output::Send { to, msg } => self.send(id, to, msg),
                Output::Write(write) => {
                    let Some(host) = self.hosts.get_mut(&id) else { continue };
                    let Some(disk) = &mut host.disk else { continue };
                    let ticket = write.ticket;
                    target::write(disk, write);
                    self.schedule(DISK_DELAY, Event::Input(id, incarnation, Input::Synced(ticket)));
                }
                Output::Call(call) => self.call(id, incarnation, call),
                Output::ReadMore { .. } => {}
                Output::CancelCall { request, .. } => {
                    self.record(format!("host {id}: cancel {request:x}"));
                    for target in &mut self.targets {
                        target.cancel(request);
                    }
                }
                Output::Order(order) => self.order(id, incarnation, order),
                Output::Head { tag, status, target, ran } => {
                    self.record(format!(
                        "host {id} -> caller: request {tag} {status} {ran} by {target}"
                    ));
                    let response = self.responses.entry((id, tag)).or_default();
                    response.status = Some(status);
                    response.ran = ran;
                    response.target = target;
                }
                Output::Piece { tag, bytes, last } => {
                    self.record(format!(
                        "host {id} -> caller: request {tag} piece {:?} last {last}",
                        String::from_utf8_lossy(&bytes)
                    ));
                    let response = self.responses.entry((id, tag)).or_default();
                    response.body.extend_from_slice(&bytes);
                    response.complete |= last;
                    let input = Input::AnswerConsumed { tag, bytes: bytes.len() as u32 };
                    self.schedule(Duration::ZERO, Event::Input(id, incarnation, input));
                }
                Output::Failed { tag, fault } => {
                    let row = fault.kind.info();
                    self.record(format!(
                        "host {id} -> caller: request {tag} {} ran {}",
                        row.code,
                        row.ran.as_str()
                    ));
                    self.responses.entry((id, tag)).or_default().fault = Some(fault);
                }
                Output::Published { tag, result } => {
                    self.published.insert(tag, result);
                }
                Output::StateChanged(change) => self.changes.push((id, change)),
                Output::Exit(cut_requests) => {
                    if let Some(host) = self.hosts.get_mut(&id) {
                        host.exited = Some(cut_requests);
                    }
                }
            }
        }
    }

    fn incarnation_of(&self, id: HostId) -> Option<Incarnation> {
        self.hosts.get(&id).map(|host| host.incarnation)
    }
}
