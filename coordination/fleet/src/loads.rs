//! A holder's account of the places at the targets of its failure domain: which
//! models and adapters are ordered where, which make way, and which get a second
//! copy.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use wire::{
    AdapterPrint, DomainId, FeedChange, Fence, HostId, HostStatus, Placement, TargetCard,
    TargetNumber, TargetState,
};

use crate::{
    Engine, Event,
    demand::Demand,
    elsewhere::Elsewhere,
    io::{Order, OrderOutcome, Report},
    place::{Place, Sent, Stage},
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
/// Time between two looks at copies.
const COPY_LOOK: Duration = Duration::from_millis(250);
/// How long what a host said of its work holds without being repeated.
const STATUS_TIME: Duration = Duration::from_secs(3);

/// Fixed parameters.
#[derive(Debug, Clone)]
pub struct LoadsSettings {
    /// The failure domain.
    pub domain: DomainId,
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
    /// Tell these hosts at once that an adapter is there that they wait for.
    TellNow(Vec<HostId>, Placement),
    /// Write a log line.
    Log(Event),
}

/// Requests that wait for an adapter.
#[derive(Debug)]
pub(crate) struct Want {
    pub(crate) service: String,
    pub(crate) hosts: BTreeMap<HostId, (u16, Duration)>,
    pub(crate) since: Duration,
}

/// The account.
#[derive(Debug)]
pub struct Loads {
    pub(crate) settings: LoadsSettings,
    pub(crate) places: BTreeMap<String, Place>,
    pub(crate) engines: BTreeMap<String, Engine>,
    pub(crate) versions: BTreeMap<String, u64>,
    pub(crate) wants: BTreeMap<String, Want>,
    pub(crate) demand: Demand,
    /// What each host does at these targets, and when it said so.
    work: BTreeMap<HostId, (Duration, HostStatus)>,
    /// What is at the targets of other failure domains.
    pub(crate) elsewhere: Elsewhere,
    /// When the first step was taken.
    pub(crate) since: Option<Duration>,
    /// Adapters with requests in progress, by target.
    pub(crate) in_use: BTreeSet<(TargetNumber, AdapterPrint)>,
    next_number: TargetNumber,
    pub(crate) fetches: VecDeque<Duration>,
    looked: Duration,
    pub(crate) noted: Duration,
    pub(crate) steps: Vec<Step>,
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
            work: BTreeMap::new(),
            elsewhere: Elsewhere::default(),
            since: None,
            in_use: BTreeSet::new(),
            next_number: 1,
            fetches: VecDeque::new(),
            looked: Duration::ZERO,
            noted: Duration::ZERO,
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

    /// Takes in what is at the targets of other failure domains.
    pub fn set_elsewhere(&mut self, elsewhere: Elsewhere) {
        self.elsewhere = elsewhere;
    }

    /// Targets of a service, by failure domain.
    pub(crate) fn sizes(&self, service: &str) -> BTreeMap<DomainId, usize> {
        let own = self.places.values().filter(|it| it.card.service == service).count();
        self.elsewhere.sizes(service, &self.settings.domain, own)
    }

    /// Whether a target is in the account.
    pub(crate) fn has(&self, id: &str) -> bool {
        self.places.contains_key(id)
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

    /// Returns the requests in progress at each target, and the prompt tokens
    /// that are read or wait there.
    pub fn running(&self) -> Vec<(TargetNumber, u16, u32)> {
        let mut counts: BTreeMap<TargetNumber, (u16, u32)> = BTreeMap::new();
        for running in self.work.values().flat_map(|(_, it)| &it.running) {
            let (count, _) = counts.entry(running.target).or_default();
            *count = count.saturating_add(running.count);
        }
        for &(target, tokens) in self.work.values().flat_map(|(_, it)| &it.backlogs) {
            counts.entry(target).or_default().1 += tokens;
        }
        counts.into_iter().map(|(target, (count, tokens))| (target, count, tokens)).collect()
    }

    /// Takes in what a target is known to be. A new one is asked for a report.
    pub fn target(&mut self, now: Duration, card: &TargetCard) {
        match self.places.get_mut(&card.id) {
            Some(place) if place.card.born == card.born => {
                place.heard = now;
                let mut same = card.clone();
                same.sequence = place.card.sequence;
                if place.card == same {
                    place.card.sequence = card.sequence.max(place.card.sequence);
                    return;
                }
                place.card = card.clone();
                let change = FeedChange::Target(place.number, card.clone());
                self.steps.push(Step::Tell(change));
                if card.state == TargetState::Leaving {
                    self.rehome(now, &card.id);
                }
            }
            Some(_) => {
                let number = self.places[&card.id].number;
                self.add(now, card, number);
            }
            None if card.state == TargetState::Gone => {}
            None => {
                self.evict_from(card);
                let number = self.next_number;
                self.next_number = self.next_number.wrapping_add(1).max(1);
                self.add(now, card, number);
            }
        }
        if card.state == TargetState::Gone {
            self.places.remove(&card.id);
        }
    }

    /// Forgets an earlier target whose address a new one has: it would be kept by
    /// reports of its successor.
    fn evict_from(&mut self, card: &TargetCard) {
        let former = |it: &&Place| it.card.addr == card.addr && it.card.born < card.born;
        if let Some(id) = self.places.values().find(former).map(|it| it.card.id.clone()) {
            self.lose(&id);
        }
    }

    fn add(&mut self, now: Duration, card: &TargetCard, number: TargetNumber) {
        self.places.insert(card.id.clone(), Place::new(now, card.clone(), number));
        self.steps.push(Step::Tell(FeedChange::Target(number, card.clone())));
    }

    /// Takes in that requests of a host wait for an adapter.
    pub fn want(&mut self, now: Duration, host: HostId, service: &str, name: &str, waiting: u16) {
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
        self.work.insert(host, (now, status.clone()));
        self.count_uses();
        let used: BTreeSet<(TargetNumber, AdapterPrint)> =
            status.running.iter().map(|it| (it.target, it.adapter)).collect();
        for place in self.places.values_mut() {
            let number = place.number;
            for held in place.held.values_mut() {
                if used.contains(&(number, held.print)) {
                    held.used = now;
                }
            }
        }
    }

    fn count_uses(&mut self) {
        let all = self.work.values().flat_map(|(_, it)| &it.running);
        self.in_use = all.map(|it| (it.target, it.adapter)).collect();
    }

    /// Forgets the work of hosts that are silent.
    fn forget_work(&mut self, now: Duration) {
        let known = self.work.len();
        self.work.retain(|_, (at, _)| now < *at + STATUS_TIME);
        if self.work.len() < known {
            self.count_uses();
        }
    }

    /// Takes the steps that are due. Orders are given only with a fencing number.
    pub fn tick(&mut self, now: Duration, fence: Option<Fence>) {
        self.since.get_or_insert(now);
        self.demand.decay(now);
        self.drop_silent(now);
        self.forget_work(now);
        self.ask(now);
        let Some(fence) = fence else { return };
        self.load_models(now, fence);
        self.renew_versions(now, fence);
        // A missing copy of an adapter that many ask for keeps more requests waiting
        // than one that is asked for once.
        if now >= self.looked + COPY_LOOK {
            self.looked = now;
            self.add_copies(now, fence);
        }
        self.serve_wants(now, fence);
    }

    fn drop_silent(&mut self, now: Duration) {
        let silent = |place: &&Place| now >= place.heard + self.settings.silence;
        let ids: Vec<String> =
            self.places.values().filter(silent).map(|it| it.card.id.clone()).collect();
        for id in ids {
            self.lose(&id);
        }
    }

    /// Takes a target for silent.
    fn lose(&mut self, id: &str) {
        let Some(place) = self.places.remove(id) else { return };
        let card = TargetCard { state: TargetState::Silent, ..place.card };
        self.steps.push(Step::Log(Event::TargetSilent { target: id.to_owned() }));
        self.steps.push(Step::Tell(FeedChange::Target(place.number, card)));
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
        if report.born.is_some_and(|born| born != place.card.born) {
            // Another process has its address, or its next run.
            return self.lose(id);
        }
        place.heard = now;
        if place.is_stale(now, report, REPORT_LAG) {
            place.ask_at = Some(now + ASK_AGAIN);
            return;
        }
        let (came, went) = place.reported(now, report, REPORT_LAG);
        if place.sent.is_none() && now >= place.rest {
            // Reports lag, so that a lower number than the one known is old.
            place.sequence = place.sequence.max(Some(report.sequence));
            // A number above the expected one means that it was carried out.
            place.unsure = place.unsure.take().filter(|it| Some(it.expect) >= place.sequence);
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
            let place = placement(number, &name, version);
            if let Some(want) = self.wants.remove(&name) {
                let hosts = want.hosts.into_keys().collect();
                self.steps.push(Step::TellNow(hosts, place.clone()));
            }
            self.steps.push(Step::Tell(FeedChange::Placed(place)));
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
        let settled = place.unsure.take();
        if let Some(former) = settled.filter(|_| outcome == OrderOutcome::Accepted) {
            self.undo(id, &former);
        }
        let Some(place) = self.places.get_mut(id) else { return };
        match outcome {
            OrderOutcome::Accepted => {
                place.note(now, &order);
                place.sequence = place.sequence.map(|it| it + 1);
                place.ask_at = Some(now + FIRST_ASK);
            }
            OrderOutcome::Done if order.load => {
                place.note(now, &order);
                place.sequence = None;
                place.ask_at = Some(now);
            }
            OrderOutcome::Done => {
                place.sequence = place.sequence.map(|it| it + 1);
                place.drop_adapter(now, &name);
            }
            OrderOutcome::Busy => {
                self.undo(id, &order);
                self.doubt(now, id, BUSY_REST);
            }
            OrderOutcome::Elsewhere => self.lose(id),
            OrderOutcome::Refused | OrderOutcome::NotSent => {
                self.undo(id, &order);
                self.doubt(now, id, DOUBT_REST);
            }
            OrderOutcome::Unknown => {
                // It may have been carried out, or be carried out late: it keeps its
                // place. The next order expects the same number: if it is accepted,
                // this one never is; otherwise a report tells.
                place.note(now, &order);
                place.ask_at = Some(now + DOUBT_REST);
                place.unsure = Some(order);
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

    #[expect(clippy::too_many_arguments, reason = "an order has as many parts")]
    pub(crate) fn send(
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
}

pub(crate) fn placement(target: TargetNumber, name: &str, version: u64) -> Placement {
    Placement { target, adapter: name.to_owned(), version }
}
