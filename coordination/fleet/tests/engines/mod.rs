//! A holder's placement table against simulated engine targets, in virtual time. Reports lag and take
//! time to arrive; orders take time, get no answer, are carried out late or are lost; requests are in
//! progress; targets restart; versions change in place; holders change.
#![allow(dead_code)]

pub mod simple;
pub mod target;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use fleet::{
    Demand, Engine, Model, Order, OrderOutcome, PlacementSettings, PlacementStep, PlacementTable,
    Report,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use target::EngineTarget;
use wire::{FeedChange, HostStatus, Running, TargetRecord, TargetState};

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// Time after which an order without an answer counts as unanswered.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which the question whether a load has ended counts as unanswered.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Latency objective of the requests.
pub const OBJECTIVE: Duration = Duration::from_millis(500);
/// Interval between the statuses of hosts.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What may go wrong, with probabilities from 0 to 1 and maximum delays.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Time until the answer to a report request arrives.
    pub report_delay: Duration,
    /// Time until an order reaches its target.
    pub order_delay: Duration,
    /// Probability that an order gets no answer.
    pub unanswered: f64,
    /// Probability that such an order is carried out at once.
    pub executed: f64,
    /// Probability that one that isn't carried out at once never is. The others are, 2 to 12 s later.
    pub lost: f64,
    /// Probability of a request for a placed adapter, in each step.
    pub requests: f64,
    /// Probability of a new version of an adapter, in each step.
    pub versions: f64,
    /// Probability that a target restarts, in each step.
    pub restarts: f64,
    /// Probability that another holder takes over, in each step.
    pub holders: f64,
}

enum Arrival {
    Order(Order, u64, bool),
    Outcome(u64, Order, OrderOutcome),
    /// The question whether a load has ended, and its answer.
    Check(u64, Order),
    Checked(u64, Order, OrderOutcome),
    Report(u64, String, u64, Report),
    Heartbeat(String),
}

pub struct World {
    pub now: Duration,
    pub table: PlacementTable,
    pub targets: BTreeMap<String, EngineTarget>,
    pub faults: Faults,
    pub rng: ChaCha8Rng,
    pub engine: Engine,
    /// Newest version of each adapter that had more than one.
    pub newest: BTreeMap<String, u64>,
    /// What the table publishes as ready: versions by target number and adapter.
    pub placements: BTreeMap<(u16, String), u64>,
    /// The names of targets by the numbers that the table published.
    numbers: BTreeMap<u16, String>,
    /// Number of loads that the store carries out at once at full speed; beyond it each takes longer in
    /// proportion.
    pub store_loads: usize,
    /// Time of one step.
    pub tick: Duration,
    /// For each adapter that was published as ready, the time since it was.
    pub delays: Vec<Duration>,
    /// Real time that the table has taken for ticks, reports and outcomes of orders.
    pub spent: Duration,
    /// Number of the holder: answers to a former one don't arrive.
    holder: u64,
    arrivals: Vec<(Duration, Arrival)>,
}

/// Returns a model of this size in MB, with adapters of 1 MB.
pub fn model(name: &str, weights_mb: f64) -> Model {
    Model { name: name.to_owned(), weights_mb, adapter_mb: 1.0 }
}

impl World {
    /// Creates a world with the given models at each target.
    pub fn new(seed: u64, engine: Engine, held: &[&[&str]], faults: Faults) -> World {
        let mut world = World {
            now: ms(10_000),
            table: placement_table(),
            targets: BTreeMap::new(),
            faults,
            rng: ChaCha8Rng::seed_from_u64(seed),
            engine,
            newest: BTreeMap::new(),
            placements: BTreeMap::new(),
            numbers: BTreeMap::new(),
            store_loads: usize::MAX,
            tick: STEP,
            delays: Vec::new(),
            spent: Duration::ZERO,
            holder: 1,
            arrivals: Vec::new(),
        };
        for (number, models) in held.iter().enumerate() {
            world.targets.insert(format!("t{number}"), EngineTarget::new(1, models));
        }
        world.start_holder();
        world
    }

    fn start_holder(&mut self) {
        self.table = placement_table();
        self.placements.clear();
        self.configure();
        for id in self.targets.keys() {
            self.table.update_target(self.now, &self.record(id));
        }
    }

    fn configure(&mut self) {
        let engines = BTreeMap::from([("s".to_owned(), self.engine.clone())]);
        self.table.configure(engines, self.newest.clone());
        self.table.set_objectives(BTreeMap::from([("s".to_owned(), OBJECTIVE)]));
    }

    fn record(&self, id: &str) -> TargetRecord {
        record(id, self.targets[id].started_at)
    }

    pub fn change_holder(&mut self) {
        self.holder += 1;
        self.start_holder();
    }

    /// Restarts a target under its name; it is empty then.
    pub fn restart(&mut self, id: &str) {
        let started_at = self.targets[id].started_at + 1;
        self.targets.insert(id.to_owned(), EngineTarget::new(started_at, &[]));
        let at = self.now + self.up_to(ms(1000));
        self.arrivals.push((at, Arrival::Heartbeat(id.to_owned())));
    }

    pub fn bump(&mut self, adapter: &str) {
        *self.newest.entry(adapter.to_owned()).or_insert(1) += 1;
        self.configure();
    }

    fn up_to(&mut self, most: Duration) -> Duration {
        ms(self.rng.random_range(0..=most.as_millis() as u64))
    }

    fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }

    fn strike(&mut self) {
        if self.happens(self.faults.holders) {
            self.change_holder();
        }
        if self.happens(self.faults.restarts) {
            let number = self.rng.random_range(0..self.targets.len());
            self.restart(&format!("t{number}"));
        }
        if self.happens(self.faults.versions)
            && let Some(adapter) = self.any_placed()
        {
            self.bump(&adapter.1);
        }
        if self.happens(self.faults.requests)
            && let Some((number, adapter)) = self.any_placed()
        {
            let until = self.now + self.up_to(ms(2000));
            if let Some(target) = self.targets.get_mut(&self.ids()[&number]) {
                target.run(self.now, &adapter, until);
            }
        }
    }

    fn any_placed(&mut self) -> Option<(u16, String)> {
        let placed: Vec<(u16, String)> =
            self.placements.keys().filter(|(_, it)| it.contains('/')).cloned().collect();
        (!placed.is_empty()).then(|| placed[self.rng.random_range(0..placed.len())].clone())
    }

    /// Returns the names of the targets by their numbers in the table.
    pub fn ids(&self) -> BTreeMap<u16, String> {
        let mut ids = BTreeMap::new();
        for change in self.table.table() {
            if let FeedChange::Target(number, record) = change {
                ids.insert(number, record.id);
            }
        }
        ids
    }

    fn send_status(&mut self) {
        let mut running = Vec::new();
        for (target, id) in self.ids() {
            for adapter in self.targets[&id].used(self.now) {
                running.push(Running { target, adapter: fleet::adapter_hash(&adapter), count: 1 });
            }
        }
        let status =
            HostStatus { domain: "d".to_owned(), running, arrivals: vec![], backlogs: vec![] };
        self.table.record_status(self.now, 1, &status);
    }

    /// Lets each target hold a number of adapters that no one else does.
    pub fn fill(&mut self, adapters: usize) {
        for (id, target) in &mut self.targets {
            target.fill("m", id, adapters);
        }
    }

    /// Calls the table, and counts the time that it takes.
    fn timed(&mut self, call: impl FnOnce(&mut PlacementTable)) {
        let start = Instant::now();
        call(&mut self.table);
        self.spent += start.elapsed();
    }

    pub fn step(&mut self) {
        self.now += self.tick;
        let now = self.now;
        self.strike();
        self.slow_loads();
        for target in self.targets.values_mut() {
            target.advance(now);
        }
        if now.as_millis().is_multiple_of(STATUS_INTERVAL.as_millis()) {
            self.send_status();
        }
        for (at, arrival) in std::mem::take(&mut self.arrivals) {
            match at > now {
                true => self.arrivals.push((at, arrival)),
                false => self.arrive(arrival),
            }
        }
        self.timed(|table| table.tick(now, Some(7)));
        for step in self.table.take_steps() {
            self.execute(step);
        }
    }

    /// Holds up the loads in progress if there are more than the store carries out at full speed.
    fn slow_loads(&mut self) {
        let begun = self.now - self.tick;
        let loads: usize = self.targets.values().map(|it| it.loading(begun)).sum();
        if loads > self.store_loads {
            let by = self.tick.mul_f64(1.0 - self.store_loads as f64 / loads as f64);
            for target in self.targets.values_mut() {
                target.prolong_loads(begun, by);
            }
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        let now = self.now;
        match arrival {
            Arrival::Order(order, holder, answered) => {
                let target = self.targets.get_mut(&order.target).expect("the target exists");
                let outcome = target.order(now, &order, &self.engine, &self.newest);
                if answered {
                    let at = now + self.up_to(self.faults.order_delay);
                    self.arrivals.push((at, Arrival::Outcome(holder, order, outcome)));
                }
            }
            Arrival::Outcome(holder, order, outcome) if holder == self.holder => {
                self.timed(|table| table.handle_outcome(now, &order, outcome));
            }
            Arrival::Report(holder, target, request, report) if holder == self.holder => {
                self.timed(|table| table.handle_report(now, &target, request, Some(&report)));
            }
            Arrival::Check(holder, order) => self.check(holder, order),
            Arrival::Checked(holder, order, outcome) if holder == self.holder => {
                self.timed(|table| table.handle_load_check(now, &order, outcome, true));
            }
            Arrival::Outcome(..) | Arrival::Report(..) | Arrival::Checked(..) => {}
            Arrival::Heartbeat(id) => self.table.update_target(now, &self.record(&id)),
        }
    }

    fn execute(&mut self, step: PlacementStep) {
        match step {
            PlacementStep::Order(order) => self.send(order),
            PlacementStep::CheckLoad { order, after } => {
                let at = self.now + after + self.up_to(self.faults.order_delay);
                self.arrivals.push((at, Arrival::Check(self.holder, order)));
            }
            PlacementStep::FetchReport { target, request, .. } => {
                let report = self.targets[&target].report(self.now);
                let at = self.now + self.up_to(self.faults.report_delay);
                self.arrivals.push((at, Arrival::Report(self.holder, target, request, report)));
            }
            PlacementStep::Publish(FeedChange::Placed(placement)) => {
                self.note_delay(placement.target, &placement.adapter);
                self.placements.insert((placement.target, placement.adapter), placement.version);
            }
            PlacementStep::Publish(FeedChange::Removed(placement)) => {
                self.placements.remove(&(placement.target, placement.adapter));
            }
            PlacementStep::Publish(FeedChange::Target(number, record)) => {
                self.numbers.insert(number, record.id);
                if record.state != TargetState::Ready {
                    self.placements.retain(|(target, _), _| *target != number);
                }
            }
            PlacementStep::Publish(_)
            | PlacementStep::NotifyWaiting(..)
            | PlacementStep::Log(_) => {}
        }
    }

    /// Asks a target whether a load has ended. A question without an answer may arrive as late as an order.
    fn check(&mut self, holder: u64, order: Order) {
        let now = self.now;
        let is_lost = self.happens(self.faults.unanswered);
        let outcome = if is_lost {
            if !self.happens(self.faults.lost) {
                let at = now + ms(2000) + self.up_to(ms(10_000));
                self.arrivals.push((at, Arrival::Order(order.clone(), holder, false)));
            }
            OrderOutcome::Unknown
        } else {
            let target = self.targets.get_mut(&order.target).expect("the target exists");
            target.order(now, &order, &self.engine, &self.newest)
        };
        let delay = if is_lost { CHECK_TIMEOUT } else { self.up_to(self.faults.order_delay) };
        self.arrivals.push((now + delay, Arrival::Checked(holder, order, outcome)));
    }

    /// Notes how long an adapter that is published for the first time has been ready.
    fn note_delay(&mut self, number: u16, adapter: &str) {
        if self.placements.contains_key(&(number, adapter.to_owned())) {
            return;
        }
        let target = self.numbers.get(&number).and_then(|id| self.targets.get(id));
        let ready_at = target.and_then(|it| it.ready_at(adapter)).filter(|at| !at.is_zero());
        self.delays.extend(ready_at.map(|at| self.now.saturating_sub(at)));
    }

    fn send(&mut self, order: Order) {
        let holder = self.holder;
        let arrives = self.now + self.up_to(self.faults.order_delay);
        if !self.happens(self.faults.unanswered) {
            self.arrivals.push((arrives, Arrival::Order(order, holder, true)));
            return;
        }
        let outcome = Arrival::Outcome(holder, order.clone(), OrderOutcome::Unknown);
        self.arrivals.push((self.now + ORDER_TIMEOUT, outcome));
        if self.happens(self.faults.executed) {
            self.arrivals.push((arrives, Arrival::Order(order, holder, false)));
        } else if !self.happens(self.faults.lost) {
            let at = self.now + ms(2000) + self.up_to(ms(10_000));
            self.arrivals.push((at, Arrival::Order(order, holder, false)));
        }
    }

    pub fn demand(&mut self, adapter: &str) {
        self.table.record_demand(self.now, 1, "s", Demand::anywhere(adapter), 1);
    }

    /// Runs for a while with demands for random adapters of `models`, 200 each.
    pub fn run(&mut self, time: Duration, models: &[&str]) {
        let end = self.now + time;
        while self.now < end {
            if self.rng.random_bool(0.2) {
                let model = models[self.rng.random_range(0..models.len())];
                let number = self.rng.random_range(0..200);
                self.demand(&format!("{model}/a{number}"));
            }
            self.step();
        }
    }

    /// Returns the targets that were ordered to hold more than fits, and how.
    pub fn overfilled(&self) -> Vec<String> {
        let crashed =
            self.targets.iter().filter_map(|(id, it)| it.overfilled.clone().zip(Some(id)));
        crashed.map(|(how, id)| format!("{id}: {how}")).collect()
    }

    /// Asks for adapters one by one until each is placed, with its newest version. Returns those that
    /// weren't within `limit` each.
    pub fn unplaced(&mut self, adapters: &[String], limit: Duration) -> Vec<String> {
        let mut unplaced = Vec::new();
        for adapter in adapters {
            let end = self.now + limit;
            while !self.is_placed(adapter) && self.now < end {
                self.demand(adapter);
                self.step();
            }
            if !self.is_placed(adapter) {
                unplaced.push(adapter.clone());
            }
        }
        unplaced
    }

    /// Whether the table publishes an adapter, in its newest version, where it is ready.
    fn is_placed(&self, adapter: &str) -> bool {
        let newest = self.newest.get(adapter).copied().unwrap_or(1);
        let ids = self.ids();
        let mut placed = self.placements.iter().filter(|((_, it), _)| it == adapter);
        placed.any(|((number, _), version)| {
            *version == newest && self.targets[&ids[number]].is_ready(self.now, adapter, newest)
        })
    }
}

/// Returns the record of a ready target of the service `s`.
pub fn record(id: &str, started_at: u64) -> TargetRecord {
    TargetRecord {
        id: id.to_owned(),
        started_at,
        sequence: 1,
        service: "s".to_owned(),
        addr: format!("{id}:1"),
        domain: "d".to_owned(),
        slots: 64,
        software: "v1".to_owned(),
        state: TargetState::Ready,
    }
}

/// Ticks a table, and returns the number of the report request and the order that it sends, if any.
pub fn tick(table: &mut PlacementTable, now: Duration) -> (Option<u64>, Option<Order>) {
    table.tick(now, Some(7));
    let (mut request, mut order) = (None, None);
    for step in table.take_steps() {
        match step {
            PlacementStep::FetchReport { request: number, .. } => request = Some(number),
            PlacementStep::Order(sent) => order = Some(sent),
            _ => {}
        }
    }
    (request, order)
}

pub fn placement_table() -> PlacementTable {
    PlacementTable::new(PlacementSettings {
        domain: "d".to_owned(),
        window: ms(5000),
        silence: Duration::from_secs(1000),
        fence: 7,
    })
}
