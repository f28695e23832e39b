//! The leader's account of all targets' places: which models and adapters are
//! ordered where, which make way, and which get a second copy.

use std::{
    collections::{BTreeMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use wire::{
    AdapterPrint, FeedChange, Fence, HostId, HostStatus, Placement, TargetCard, TargetNumber,
    TargetState,
};

use crate::{
    Engine, Event,
    demand::Demand,
    io::{Order, OrderOutcome, Report},
    place::{Held, Place, Sent, Stage},
    targets::adapter_print,
};

/// How old a report may be when it arrives, with a margin for its way.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Time between two reports while something is on its way.
const ASK_AGAIN: Duration = Duration::from_millis(80);
/// Time after an order before the first report can show it.
const FIRST_ASK: Duration = Duration::from_millis(120);
/// How long a report is waited for.
const ASK_TIMEOUT: Duration = Duration::from_millis(1000);
/// Pause after a target said that it is busy.
const BUSY_REST: Duration = Duration::from_millis(150);
/// Pause after an order without an answer.
const DOUBT_REST: Duration = Duration::from_millis(700);
/// How long an adapter must be unused before it makes way.
const IDLE: Duration = Duration::from_millis(700);
/// A target may carry this much more than the mean before a home goes elsewhere.
const HOME_SLACK: f64 = 1.25;
/// What it costs to fetch an adapter that the target has no copy of, against its
/// share of the load.
const FETCH_COST: f64 = 0.35;
/// What it costs to leave an adapter's usual order of homes, a step.
const HOME_COST: f64 = 0.25;
/// Time between two looks at copies.
const COPY_LOOK: Duration = Duration::from_millis(250);
/// Least requests a second for a second copy.
const COPY_RATE: f64 = 0.8;
/// Loads from the weight store in progress at the same time.
const STORE_LOADS: usize = 2;
/// Part of the weight store's rate that is used.
const STORE_SHARE: f64 = 0.9;
/// How long a request for an adapter counts without being repeated.
const WANT_TIME: Duration = Duration::from_millis(1200);

/// Fixed parameters.
#[derive(Debug, Clone)]
pub struct LoadsSettings {
    /// The span over which loads from the weight store are counted.
    pub window: Duration,
    /// Silence after which a target counts as gone.
    pub silence: Duration,
}

/// What the account wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Send an order.
    Order(Order),
    /// Ask a target for its report.
    Ask {
        /// The target's name.
        target: String,
        /// IP number and port.
        addr: String,
    },
    /// Tell all hosts.
    Tell(FeedChange),
    /// Write a log line.
    Log(Event),
}

/// Requests that wait for an adapter.
#[derive(Debug)]
struct Want {
    service: String,
    hosts: BTreeMap<HostId, (u16, Duration)>,
    since: Duration,
}

/// The account.
#[derive(Debug)]
pub struct Loads {
    settings: LoadsSettings,
    places: BTreeMap<String, Place>,
    engines: BTreeMap<String, Engine>,
    versions: BTreeMap<String, u64>,
    wants: BTreeMap<String, Want>,
    demand: Demand,
    running: BTreeMap<HostId, Vec<wire::Running>>,
    next_number: TargetNumber,
    fetches: VecDeque<Duration>,
    looked: Duration,
    steps: Vec<Step>,
}

impl Loads {
    /// Starts an account.
    pub fn new(settings: LoadsSettings) -> Loads {
        Loads {
            settings,
            places: BTreeMap::new(),
            engines: BTreeMap::new(),
            versions: BTreeMap::new(),
            wants: BTreeMap::new(),
            demand: Demand::default(),
            running: BTreeMap::new(),
            next_number: 1,
            fetches: VecDeque::new(),
            looked: Duration::ZERO,
            steps: Vec::new(),
        }
    }

    /// Takes what is to be done.
    pub fn take_steps(&mut self) -> Vec<Step> {
        std::mem::take(&mut self.steps)
    }

    /// Replaces the services' engines and the newest versions.
    pub fn configure(
        &mut self,
        engines: BTreeMap<String, Engine>,
        versions: BTreeMap<String, u64>,
    ) {
        self.engines = engines;
        self.versions = versions;
    }

    /// Returns the table for a host that starts to follow.
    pub fn table(&self) -> Vec<FeedChange> {
        let mut changes = Vec::new();
        for place in self.places.values() {
            changes.push(FeedChange::Target(place.number, place.card.clone()));
            for (name, held) in &place.held {
                if held.stage == Stage::Ready {
                    changes.push(FeedChange::Placed(placement(place.number, name, held.version)));
                }
            }
        }
        changes
    }

    /// Returns the requests in progress at each target.
    pub fn running(&self) -> Vec<(TargetNumber, u16)> {
        let mut counts: BTreeMap<TargetNumber, u16> = BTreeMap::new();
        for running in self.running.values().flatten() {
            let count = counts.entry(running.target).or_default();
            *count = count.saturating_add(running.count);
        }
        counts.into_iter().collect()
    }

    /// Takes in what a target is known to be. A new one is asked for a report.
    pub fn target(&mut self, now: Duration, card: &TargetCard) {
        match self.places.get_mut(&card.id) {
            Some(place) if place.card.born == card.born => {
                place.heard = now;
                let mut same = card.clone();
                same.sequence = place.card.sequence;
                if place.card == same {
                    return;
                }
                place.card = card.clone();
                let change = FeedChange::Target(place.number, card.clone());
                self.steps.push(Step::Tell(change));
                if card.state == TargetState::Leaving {
                    self.leave(now, &card.id);
                }
            }
            Some(_) => {
                let number = self.places[&card.id].number;
                self.add(now, card, number);
            }
            None if card.state == TargetState::Gone => {}
            None => {
                let number = self.next_number;
                self.next_number = self.next_number.wrapping_add(1).max(1);
                self.add(now, card, number);
            }
        }
        if card.state == TargetState::Gone {
            self.places.remove(&card.id);
        }
    }

    fn add(&mut self, now: Duration, card: &TargetCard, number: TargetNumber) {
        self.places.insert(card.id.clone(), Place::new(now, card.clone(), number));
        self.steps.push(Step::Tell(FeedChange::Target(number, card.clone())));
    }

    /// Adapters of a leaving target that are in use and are nowhere else get
    /// another home before they are missed.
    fn leave(&mut self, now: Duration, id: &str) {
        let Some(place) = self.places.get(id) else { return };
        let service = place.card.service.clone();
        let names: Vec<String> = place.held.keys().filter(|it| it.contains('/')).cloned().collect();
        for name in names {
            if self.demand.rate(adapter_print(&name)) >= COPY_RATE / 2.0
                && self.copies(&name, now) == 0
            {
                self.want_for(now, 0, &service, &name, 1);
            }
        }
    }

    /// Takes in that requests of a host wait for an adapter.
    pub fn want(&mut self, now: Duration, host: HostId, service: &str, name: &str, waiting: u16) {
        self.want_for(now, host, service, name, waiting);
    }

    fn want_for(&mut self, now: Duration, host: HostId, service: &str, name: &str, waiting: u16) {
        let want = self.wants.entry(name.to_owned()).or_insert_with(|| Want {
            service: service.to_owned(),
            hosts: BTreeMap::new(),
            since: now,
        });
        want.hosts.insert(host, (waiting, now));
    }

    /// Takes in a host's work.
    pub fn status(&mut self, now: Duration, host: HostId, status: &HostStatus) {
        for &(adapter, count) in &status.asked {
            self.demand.count(adapter, count);
        }
        let used: Vec<(TargetNumber, AdapterPrint)> =
            status.running.iter().map(|it| (it.target, it.adapter)).collect();
        self.running.insert(host, status.running.clone());
        for place in self.places.values_mut() {
            if !used.iter().any(|(number, _)| *number == place.number) {
                continue;
            }
            for (name, held) in &mut place.held {
                let print = adapter_print(name);
                if used.contains(&(place.number, print)) {
                    held.used = now;
                }
            }
        }
    }

    /// Forgets the work of a host that is gone.
    pub fn forget(&mut self, host: HostId) {
        self.running.remove(&host);
    }

    /// Takes the steps that are due. Orders are given only with a fencing number.
    pub fn tick(&mut self, now: Duration, fence: Option<Fence>) {
        self.demand.decay(now);
        self.drop_silent(now);
        self.ask(now);
        let Some(fence) = fence else { return };
        self.load_models(now, fence);
        self.renew_versions(now, fence);
        self.serve_wants(now, fence);
        if now >= self.looked + COPY_LOOK {
            self.looked = now;
            self.add_copies(now, fence);
        }
    }

    fn drop_silent(&mut self, now: Duration) {
        let silent = |place: &&Place| now >= place.heard + self.settings.silence;
        let ids: Vec<String> =
            self.places.values().filter(silent).map(|it| it.card.id.clone()).collect();
        for id in ids {
            let Some(place) = self.places.remove(&id) else { continue };
            let card = TargetCard { state: TargetState::Silent, ..place.card };
            self.steps.push(Step::Log(Event::TargetSilent { target: id }));
            self.steps.push(Step::Tell(FeedChange::Target(place.number, card)));
        }
    }

    fn ask(&mut self, now: Duration) {
        for place in self.places.values_mut() {
            if place.asked.is_some_and(|at| now >= at + ASK_TIMEOUT) {
                place.asked = None;
            }
            if !self.engines.contains_key(&place.card.service) || place.asked.is_some() {
                continue;
            }
            if place.ask_at.is_some_and(|at| now >= at) {
                place.ask_at = None;
                place.asked = Some(now);
                let (target, addr) = (place.card.id.clone(), place.card.addr.clone());
                self.steps.push(Step::Ask { target, addr });
            }
        }
    }

    /// Takes in a target's report; none if it did not answer.
    pub fn reported(&mut self, now: Duration, id: &str, report: Option<&Report>) {
        let Some(place) = self.places.get_mut(id) else { return };
        place.asked = None;
        let Some(report) = report else {
            place.ask_at = Some(now + ASK_AGAIN * 4);
            return;
        };
        let (came, went) = place.reported(now, report, REPORT_LAG);
        if place.sent.is_none() && now >= place.rest {
            place.sequence = Some(report.sequence);
        }
        let number = place.number;
        let open = place.held.values().any(|it| it.stage != Stage::Ready);
        if open || place.sequence.is_none() {
            place.ask_at = Some(now + ASK_AGAIN);
        }
        for (name, version) in went {
            self.steps.push(Step::Tell(FeedChange::Removed(placement(number, &name, version))));
        }
        for (name, version) in came {
            self.wants.remove(&name);
            self.steps.push(Step::Tell(FeedChange::Placed(placement(number, &name, version))));
        }
    }

    /// Takes in how an order was answered.
    pub fn ordered(&mut self, now: Duration, id: &str, outcome: OrderOutcome) {
        let Some(place) = self.places.get_mut(id) else { return };
        let Some(Sent { order, at }) = place.sent.take() else { return };
        let name = order.name();
        let took = now.saturating_sub(at);
        self.steps.push(Step::Log(Event::Ordered {
            target: id.to_owned(),
            load: order.load,
            adapter: name.clone(),
            expect: order.expect,
            fence: order.fence,
            outcome,
            took_ms: took.as_millis() as u64,
        }));
        match outcome {
            OrderOutcome::Accepted => {
                place.accept(now, &order);
                place.ask_at = Some(now + FIRST_ASK);
            }
            OrderOutcome::Done if order.load => {
                let held =
                    Held { version: order.version, stage: Stage::Loading, since: now, used: now };
                place.held.insert(name, held);
                place.sequence = None;
                place.ask_at = Some(now);
            }
            OrderOutcome::Done => {
                place.sequence = place.sequence.map(|it| it + 1);
                place.drop_adapter(&name);
            }
            OrderOutcome::Busy => {
                self.undo(id, &order);
                self.doubt(now, id, BUSY_REST);
            }
            OrderOutcome::Refused | OrderOutcome::NotSent => {
                self.undo(id, &order);
                self.doubt(now, id, DOUBT_REST);
            }
            OrderOutcome::Unknown => {
                // It may still be carried out: it keeps its place until a report
                // that is later than any effect of it.
                if let Some(place) = self.places.get_mut(id) {
                    place.accept(now, &order);
                }
                self.doubt(now, id, DOUBT_REST);
            }
        }
    }

    /// Asks a target anew what it holds before the next order.
    fn doubt(&mut self, now: Duration, id: &str, rest: Duration) {
        let Some(place) = self.places.get_mut(id) else { return };
        place.sequence = None;
        place.rest = now + rest;
        place.ask_at = Some(now + rest);
    }

    /// Takes back what was noted when an order was sent that had no effect.
    fn undo(&mut self, id: &str, order: &Order) {
        let Some(place) = self.places.get_mut(id) else { return };
        let name = order.name();
        if order.load {
            if place.held.get(&name).is_some_and(|it| it.stage == Stage::Loading) {
                place.held.remove(&name);
            }
            return;
        }
        if let Some(held) = place.held.get_mut(&name) {
            held.stage = Stage::Ready;
            let (number, version) = (place.number, held.version);
            self.steps.push(Step::Tell(FeedChange::Placed(placement(number, &name, version))));
        }
    }

    /// Targets that hold an adapter, or will, and take requests.
    fn copies(&self, name: &str, _now: Duration) -> usize {
        let holds = |place: &&Place| {
            place.card.state == TargetState::Ready
                && place.held.get(name).is_some_and(|it| it.stage != Stage::Leaving)
        };
        self.places.values().filter(holds).count()
    }

    fn is_loading(&self, name: &str) -> bool {
        let loads = |place: &Place| {
            place.held.get(name).is_some_and(|it| it.stage == Stage::Loading)
                || place.sent.as_ref().is_some_and(|it| it.order.load && it.order.name() == name)
        };
        self.places.values().any(loads)
    }

    fn serve_wants(&mut self, now: Duration, fence: Fence) {
        let mut due = Vec::new();
        self.wants.retain(|_, want| {
            want.hosts.retain(|_, (_, at)| now < *at + WANT_TIME);
            !want.hosts.is_empty()
        });
        for (name, want) in &self.wants {
            let waiting: u32 = want.hosts.values().map(|(count, _)| u32::from(*count)).sum();
            due.push((waiting, want.since, want.service.clone(), name.clone()));
        }
        // Those that most requests wait for go first, then the oldest.
        due.sort_by_key(|(waiting, since, ..)| (std::cmp::Reverse(*waiting), *since));
        for (_, _, service, name) in due {
            if !self.is_loading(&name) && self.copies(&name, now) == 0 {
                self.place(now, fence, &service, &name, 0);
            }
        }
    }

    /// Orders an adapter to the best target that can take it.
    fn place(
        &mut self,
        now: Duration,
        fence: Fence,
        service: &str,
        name: &str,
        version: u64,
    ) -> bool {
        let Some((model, adapter)) = name.split_once('/') else { return false };
        let Some(engine) = self.engines.get(service).cloned() else { return false };
        let Some(id) = self.best_home(now, service, &engine, model, name) else { return false };
        let mut victim = None;
        {
            let place = &self.places[&id];
            if !place.has_room(&engine) {
                victim = self.victim(now, place);
            }
        }
        match victim {
            Some(out) => {
                let Some((m, a)) = out.split_once('/') else { return false };
                self.send(now, fence, &id, false, m, Some(a), 0)
            }
            None => self.send(now, fence, &id, true, model, Some(adapter), version),
        }
    }

    fn send(
        &mut self,
        now: Duration,
        fence: Fence,
        id: &str,
        load: bool,
        model: &str,
        adapter: Option<&str>,
        version: u64,
    ) -> bool {
        let Some(place) = self.places.get_mut(id) else { return false };
        let Some(expect) = place.sequence else { return false };
        let order = Order {
            target: id.to_owned(),
            addr: place.card.addr.clone(),
            load,
            model: model.to_owned(),
            adapter: adapter.map(str::to_owned),
            version,
            expect,
            fence,
        };
        let name = order.name();
        if !load {
            if let Some(held) = place.held.get_mut(&name) {
                held.stage = Stage::Leaving;
                held.since = now;
            }
            let change = FeedChange::Removed(placement(place.number, &name, 0));
            self.steps.push(Step::Tell(change));
        }
        place.sent = Some(Sent { order: order.clone(), at: now });
        self.steps.push(Step::Order(order));
        true
    }

    /// Finds the target for an adapter: its usual home, unless that carries much
    /// more than the others.
    fn best_home(
        &self,
        now: Duration,
        service: &str,
        engine: &Engine,
        model: &str,
        name: &str,
    ) -> Option<String> {
        let loads = self.shares(service);
        let count = loads.len().max(1);
        let mean = loads.values().sum::<f64>() / count as f64;
        let own = self.demand.rate(adapter_print(name));
        let mut best: Option<(f64, &str)> = None;
        for place in self.places.values() {
            if place.card.service != service || place.card.state != TargetState::Ready {
                continue;
            }
            if place.held.contains_key(name) || !place.has_model(model) || place.is_changing() {
                continue;
            }
            if !place.is_free(now) || !place.has_transit() {
                continue;
            }
            if !place.has_room(engine) && self.victim(now, place).is_none() {
                continue;
            }
            let share = loads.get(place.card.id.as_str()).copied().unwrap_or(0.0);
            let over = ((share + own) / (mean + own).max(0.1) - HOME_SLACK).max(0.0);
            let fetch = if place.has_copy(name) { 0.0 } else { FETCH_COST };
            let cost =
                4.0 * over + fetch + HOME_COST * home_rank(name, &place.card.id) * count as f64;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, &place.card.id));
            }
        }
        best.map(|(_, id)| id.to_owned())
    }

    /// Requests a second that each target of a service can expect.
    fn shares(&self, service: &str) -> BTreeMap<&str, f64> {
        let mut copies: BTreeMap<&str, u32> = BTreeMap::new();
        let places = || {
            self.places
                .values()
                .filter(|it| it.card.service == service && it.card.state == TargetState::Ready)
        };
        for place in places() {
            for (name, held) in &place.held {
                if held.stage != Stage::Leaving {
                    *copies.entry(name).or_default() += 1;
                }
            }
        }
        let mut shares = BTreeMap::new();
        for place in places() {
            let mut share = 0.0;
            for (name, held) in &place.held {
                if held.stage != Stage::Leaving {
                    share +=
                        self.demand.rate(adapter_print(name)) / f64::from(copies[name.as_str()]);
                }
            }
            shares.insert(place.card.id.as_str(), share);
        }
        shares
    }

    /// Finds the adapter that makes way at a target: unused, and the least asked
    /// for, copies before the last one.
    fn victim(&self, now: Duration, place: &Place) -> Option<String> {
        let mut best: Option<(f64, Duration, &String)> = None;
        for (name, held) in &place.held {
            if !name.contains('/') || held.stage != Stage::Ready {
                continue;
            }
            let print = adapter_print(name);
            let busy = self
                .running
                .values()
                .flatten()
                .any(|it| it.target == place.number && it.adapter == print);
            if busy || now < held.used + IDLE || self.wants.contains_key(name) {
                continue;
            }
            let rate = self.demand.rate(print) / self.copies(name, now).max(1) as f64;
            if best.is_none_or(|(least, used, _)| (rate, held.used) < (least, used)) {
                best = Some((rate, held.used, name));
            }
        }
        best.map(|(_, _, name)| name.clone())
    }

    /// Gives adapters that are asked for more often than one target's share a
    /// further copy.
    fn add_copies(&mut self, now: Duration, fence: Fence) {
        let total = self.demand.total();
        if total <= 0.0 {
            return;
        }
        for service in self.engines.keys().cloned().collect::<Vec<_>>() {
            let count = self.shares(&service).len();
            for name in self.hot(&service, total / count.max(1) as f64) {
                let rate = self.demand.rate(adapter_print(&name));
                let wanted = (rate * count as f64 / total).ceil() as usize;
                let copies = self.copies(&name, now);
                if copies > 0 && copies < wanted.min(count) && !self.is_loading(&name) {
                    self.place(now, fence, &service, &name, 0);
                }
            }
        }
    }

    fn hot(&self, service: &str, share: f64) -> Vec<String> {
        let mut names = Vec::new();
        for place in self.places.values().filter(|it| it.card.service == service) {
            for name in place.held.keys().filter(|it| it.contains('/')) {
                let rate = self.demand.rate(adapter_print(name));
                if rate >= COPY_RATE && rate > share && !names.contains(name) {
                    names.push(name.clone());
                }
            }
        }
        names
    }

    /// Brings adapters to the newest version: in place where they are idle,
    /// otherwise at another target first.
    fn renew_versions(&mut self, now: Duration, fence: Fence) {
        let mut stale = Vec::new();
        for place in self.places.values() {
            if place.card.state != TargetState::Ready || !place.is_free(now) {
                continue;
            }
            for (name, held) in &place.held {
                let newest = self.versions.get(name).copied().unwrap_or(0);
                if name.contains('/') && held.stage == Stage::Ready && held.version < newest {
                    stale.push((place.card.id.clone(), name.clone(), newest));
                }
            }
        }
        for (id, name, newest) in stale {
            self.renew(now, fence, &id, &name, newest);
        }
    }

    fn renew(&mut self, now: Duration, fence: Fence, id: &str, name: &str, newest: u64) {
        let Some(place) = self.places.get(id) else { return };
        if !place.is_free(now) || !place.has_transit() {
            return;
        }
        let service = place.card.service.clone();
        let Some((model, adapter)) = name.split_once('/') else { return };
        let print = adapter_print(name);
        let busy = self
            .running
            .values()
            .flatten()
            .any(|it| it.target == place.number && it.adapter == print);
        if !busy {
            let number = place.number;
            if self.send(now, fence, id, true, model, Some(adapter), newest) {
                self.steps.push(Step::Tell(FeedChange::Removed(placement(number, name, 0))));
                if let Some(place) = self.places.get_mut(id)
                    && let Some(held) = place.held.get_mut(name)
                {
                    *held = Held {
                        version: newest,
                        stage: Stage::Loading,
                        since: now,
                        used: held.used,
                    };
                }
            }
            return;
        }
        let renewed = |place: &Place| {
            place
                .held
                .get(name)
                .is_some_and(|it| it.version >= newest && it.stage != Stage::Leaving)
                || place.sent.as_ref().is_some_and(|it| it.order.load && it.order.name() == name)
        };
        if !self.places.values().any(renewed) {
            self.place(now, fence, &service, name, newest);
        }
    }

    /// Loads models onto targets that hold none, within the store's rate.
    fn load_models(&mut self, now: Duration, fence: Fence) {
        while self.fetches.front().is_some_and(|&at| at + self.settings.window < now) {
            self.fetches.pop_front();
        }
        let mut empty = Vec::new();
        for place in self.places.values() {
            let models = place.held.keys().any(|name| !name.contains('/'));
            if !models && place.card.state == TargetState::Ready && place.is_free(now) {
                empty.push((place.card.id.clone(), place.card.service.clone()));
            }
        }
        for (id, service) in empty {
            let Some(engine) = self.engines.get(&service).cloned() else { continue };
            let fitting = engine.models.iter().filter(|it| it.weights_mb <= engine.weights_mb);
            let Some(model) = fitting.min_by_key(|it| self.copies(&it.name, now)) else { continue };
            let stored = self.places[&id].stored.contains(&model.name);
            if !stored && !self.may_fetch(&engine) {
                continue;
            }
            if self.send(now, fence, &id, true, &model.name, None, 0) && !stored {
                self.fetches.push_back(now);
            }
        }
    }

    fn may_fetch(&self, engine: &Engine) -> bool {
        let limit = engine.loads * self.settings.window.as_secs_f64() * STORE_SHARE;
        let loading = self.places.values().filter(|it| it.is_changing()).count();
        loading < STORE_LOADS && (self.fetches.len() as f64) < limit.floor()
    }
}

fn placement(target: TargetNumber, name: &str, version: u64) -> Placement {
    Placement { target, adapter: name.to_owned(), version }
}

/// A number from 0 to 1 that tells how far a target stands in an adapter's order
/// of homes. It depends on nothing but the two names.
fn home_rank(name: &str, target: &str) -> f64 {
    let mut hasher = DefaultHasher::new();
    (name, target).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
