//! Callers' requests: routes, targets, retry budgets and adapter demand.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use wire::{AdapterHash, DomainId, FleetMsg, SoftwareHash, TargetState};

use crate::{
    Engine, Host, Pick, Picked, Requirements, RetryBudget, Route, Target,
    io::Output,
    limit_view::{Place, Rank},
    other_domains::domain_order,
    pick,
    placement::Demand,
    targets::adapter_hash,
};

/// Interval between reports of an adapter's demand to its holder.
const DEMAND_INTERVAL: Duration = Duration::from_millis(300);

/// Why a request has no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRoute {
    /// The configuration in force is not known yet.
    Unknown,
    /// A newer configuration may be in force.
    Outdated,
    /// The configuration has no route, or no service, for the request.
    None,
}

/// The properties of a request by which its target is chosen.
#[derive(Debug, Clone)]
pub struct TargetQuery {
    /// The route that matched it.
    pub route: Arc<Route>,
    /// The service that it is sent to.
    pub service: String,
    /// The model or adapter, as `model` or `model/adapter`; `None` without an engine.
    pub adapter: Option<String>,
    /// Maximum number of answer tokens, if it states it.
    pub tokens: Option<u32>,
    /// Whether it takes up a stream.
    pub takes_up: bool,
    /// The targets that it was sent to before.
    pub tried: BTreeSet<String>,
    /// When it arrived at this host.
    pub arrived: Duration,
    /// The software version that began its stream; `None` for a request that may begin at any.
    pub software: Option<SoftwareHash>,
}

/// Where a request is sent next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// To the target of this reservation.
    Send(Reservation),
    /// Nowhere yet: no target holds its adapter.
    Wait,
    /// Nowhere yet: all targets that could run it are full.
    Full,
    /// Nowhere yet: the targets that could run it have request limits, and this host has no place
    /// there, or all of them asked this host for a pause.
    Limited {
        /// A target where the request could wait for a place.
        target: String,
        /// Time to the next place there; `None` while the answer to a request for one is awaited.
        due: Option<Duration>,
        /// Whether its adapter may be loaded at a target without a limit.
        elsewhere: bool,
    },
    /// Nowhere: the service has no ready target that was not tried.
    None,
}

/// A request's reservation at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The target's name.
    pub target: String,
    /// IP address and port of the target.
    pub addr: String,
    /// Start time of the target, in milliseconds since the epoch.
    pub started_at: u64,
    /// The target's software version.
    pub software: SoftwareHash,
    /// The version of its adapter there and the newest one, if that is another.
    pub former_version: Option<(u64, u64)>,
    adapter: AdapterHash,
    /// The place that it takes up; `None` at a target without a request limit.
    pub(crate) place: Option<Place>,
}

/// How a request ended at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered; holds the time to the first byte.
    Answered(Duration),
    /// The target answered with a failure of its own.
    Failed,
    /// The target refused the request and has not run it.
    Refused,
    /// The target could not be reached, or broke off.
    NoAnswer,
    /// The caller left, or its deadline passed.
    Left,
}

#[derive(Debug)]
struct WaitingRequests {
    service: String,
    count: u16,
    reported: Option<Duration>,
}

/// Counters of this host's requests.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    arrivals: BTreeMap<AdapterHash, u16>,
    /// By adapter, and by the software version that must run them, if any.
    waiting: BTreeMap<(String, Option<SoftwareHash>), WaitingRequests>,
    budgets: BTreeMap<String, RetryBudget>,
    hosts: u16,
}

impl Requests {
    /// Sets the number of live hosts as a holder counts them, itself included. They share the fixed
    /// allowance of the retry budgets.
    pub(crate) fn set_hosts(&mut self, hosts: u16) {
        self.hosts = hosts;
    }

    /// Whether requests arrived since the last status.
    pub(crate) fn is_active(&self) -> bool {
        !self.arrivals.is_empty()
    }

    /// Whether requests wait for an adapter.
    pub(crate) fn is_waited_for(&self, adapter: &str) -> bool {
        self.waiting.keys().any(|(name, _)| name == adapter)
    }

    /// Returns and clears the number of requests for each adapter since the last call.
    pub(crate) fn take_arrivals(&mut self) -> Vec<(AdapterHash, u16)> {
        std::mem::take(&mut self.arrivals).into_iter().collect()
    }
}

impl Host {
    /// Finds the route of a request and chooses its service; `draw` is a random number.
    pub fn route(
        &self,
        now: Duration,
        host: &str,
        path: &str,
        draw: u64,
    ) -> Result<(Arc<Route>, String), NoRoute> {
        if !self.knows_config() {
            return Err(NoRoute::Unknown);
        }
        if self.is_behind() {
            return Err(NoRoute::Outdated);
        }
        let Some(route) = self.routes.find(host, path) else {
            let outdated = self.may_be_outdated(now);
            return Err(if outdated { NoRoute::Outdated } else { NoRoute::None });
        };
        let service = route.service(draw).ok_or(NoRoute::None)?.to_owned();
        Ok((route, service))
    }

    /// Counts a new request in the retry budget and in its adapter's request rate.
    pub fn begin(&mut self, now: Duration, query: &TargetQuery) {
        let window = self.settings.bounds.retry_window;
        self.requests.budgets.entry(query.service.clone()).or_default().count_request(now, window);
        if let Some(adapter) = &query.adapter {
            let count = self.requests.arrivals.entry(adapter_hash(adapter)).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Chooses the target of a request and makes a reservation there.
    pub fn choose(
        &mut self,
        now: Duration,
        query: &TargetQuery,
        draw: u64,
    ) -> (Choice, Vec<Output>) {
        let Picked { pick, lacks_place, paused } = self.pick_target(now, query, draw);
        let rank = Host::rank(now, query);
        if let Some(target) = &lacks_place {
            self.ask_for_place(now, target, rank);
        }
        let choice = match (pick, lacks_place) {
            (Pick::Target(id), _) => self.reserve(now, query, id, rank),
            (Pick::Full, Some(target)) => {
                let due = self.place_due(now, &target);
                self.limited(query, target, due)
            }
            (Pick::Full, None) if let Some((target, until)) = paused => {
                self.limited(query, target, Some(until - now))
            }
            (Pick::Full, None) => Choice::Full,
            (Pick::NoAdapter, _) => Choice::Wait,
            (Pick::None, _) => Choice::None,
        };
        let outputs = if self.out.is_empty() { Vec::new() } else { self.finish(now) };
        (choice, outputs)
    }

    fn reserve(&mut self, now: Duration, query: &TargetQuery, id: String, rank: Rank) -> Choice {
        let hash = query.adapter.as_deref().map_or(0, adapter_hash);
        let newest = query.adapter.as_deref().map_or(0, |it| self.newest_version(it));
        let Some(target) = self.targets.get_mut(&id) else { return Choice::None };
        let held = query.adapter.as_ref().and_then(|it| target.adapters.get(it));
        let former_version = held.filter(|it| **it < newest).map(|it| (*it, newest));
        *target.running.entry(hash).or_default() += 1;
        let addr = target.record.addr.clone();
        let (started_at, software) = (target.record.started_at, target.software);
        let place = target.limit.take_place(now, rank);
        Choice::Send(Reservation {
            target: id,
            addr,
            started_at,
            software,
            former_version,
            adapter: hash,
            place,
        })
    }

    fn limited(&self, query: &TargetQuery, target: String, due: Option<Duration>) -> Choice {
        let mut others = self.targets.ready(&query.service).filter(|it| {
            !it.limit.is_limited()
                && it.pause.is_none()
                && query.software.is_none_or(|software| software == it.software)
        });
        let elsewhere = query.adapter.is_some() && others.next().is_some();
        Choice::Limited { target, due, elsewhere }
    }

    /// Chooses the target of a request without a reservation.
    pub(crate) fn pick_target(&self, now: Duration, query: &TargetQuery, draw: u64) -> Picked {
        let engine = self.engine(query);
        let adapter = query.adapter.as_deref().filter(|_| engine.is_some());
        let requirements = Requirements {
            service: &query.service,
            adapter,
            min_version: adapter.map_or(0, |it| self.oldest_assigned(now, it)),
            newest: adapter.map_or(0, |it| self.newest_version(it)),
            engine,
            software: query.software,
            domain: &self.settings.domain,
            tried: &query.tried,
            rank: Host::rank(now, query),
        };
        pick(now, &self.targets, &requirements, draw)
    }

    /// Returns the engine of a request's service; `None` if its targets hold no adapters.
    fn engine(&self, query: &TargetQuery) -> Option<&Engine> {
        let service = self.config.as_ref()?.services.get(&query.service)?;
        service.engine.as_ref()
    }

    /// Whether a target can still take a request that was assigned to it.
    pub fn is_usable(&self, now: Duration, reservation: &Reservation, query: &TargetQuery) -> bool {
        let Some(target) = self.targets.get(&reservation.target) else { return false };
        if target.record.started_at != reservation.started_at {
            return false;
        }
        let adapter = query.adapter.as_ref().filter(|_| self.engine(query).is_some());
        let has = adapter.is_none_or(|it| {
            target.adapters.get(it).is_some_and(|held| *held >= self.oldest_sent(now, it))
        });
        has && target.record.state == TargetState::Ready
    }

    /// Whether another process is known to run under the name of a reserved target.
    pub fn is_replaced(&self, reservation: &Reservation) -> bool {
        let target = self.targets.get(&reservation.target);
        target.is_some_and(|it| it.record.started_at != reservation.started_at)
    }

    /// Releases a request's reservation and records in the target's health how it ended.
    pub fn end(&mut self, now: Duration, reservation: &Reservation, outcome: Outcome) {
        let Some(target) = self.targets.get_mut(&reservation.target) else { return };
        if let Some(count) = target.running.get_mut(&reservation.adapter) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                target.running.remove(&reservation.adapter);
            }
        }
        match outcome {
            Outcome::Answered(delay) => target.health.answered(false, delay),
            Outcome::Failed => target.health.answered(true, Duration::ZERO),
            Outcome::NoAnswer => target.health.missed(now),
            Outcome::Refused | Outcome::Left => {}
        }
        if reservation.place.is_some() && target.limit.counts_requests() {
            let domain = target.record.domain.clone();
            let started_at = reservation.started_at;
            self.return_places(now, &domain, reservation.target.clone(), started_at, 1);
        }
    }

    /// Takes one retry out of the service's budget. Returns false if the budget is exhausted.
    pub fn try_retry(&mut self, now: Duration, service: &str) -> bool {
        let bounds = &self.settings.bounds;
        // A holder that has just started counts few hosts, the log lists all. One more is counted, as
        // a reserve.
        let hosts = usize::from(self.requests.hosts).max(self.desired.hosts.len()) as f64 + 1.0;
        let allowance = bounds.retry_allowance / hosts;
        let budget = self.requests.budgets.entry(service.to_owned()).or_default();
        budget.try_take(now, bounds.retry_window, bounds.retry_ratio, allowance)
    }

    /// Records that a request begins to wait for its adapter.
    pub fn wait_for(&mut self, query: &TargetQuery) {
        let Some(adapter) = &query.adapter else { return };
        let key = (adapter.clone(), query.software);
        let waiting = self.requests.waiting.entry(key).or_insert_with(|| WaitingRequests {
            service: query.service.clone(),
            count: 0,
            reported: None,
        });
        waiting.count = waiting.count.saturating_add(1);
    }

    /// Records that a request no longer waits for its adapter.
    pub fn wait_ended(&mut self, query: &TargetQuery) {
        let Some(adapter) = &query.adapter else { return };
        let key = (adapter.clone(), query.software);
        let Some(waiting) = self.requests.waiting.get_mut(&key) else { return };
        waiting.count = waiting.count.saturating_sub(1);
        if waiting.count == 0 {
            self.requests.waiting.remove(&key);
        }
    }

    /// Sends the adapter demand that is due to the holders.
    pub fn send_demands(&mut self, now: Duration) -> Vec<Output> {
        self.tick_requests(now);
        self.finish(now)
    }

    pub(crate) fn tick_requests(&mut self, now: Duration) {
        let mut due = Vec::new();
        for ((adapter, software), waiting) in &mut self.requests.waiting {
            if waiting.reported.is_some_and(|at| now < at + DEMAND_INTERVAL) {
                continue;
            }
            waiting.reported = Some(now);
            let demand = Demand { adapter: adapter.clone(), software: *software };
            due.push((waiting.service.clone(), demand, waiting.count));
        }
        for (service, demand, waiting) in due {
            if let Some(domain) = self.home_domain(now, &service, &demand) {
                self.send_demand(now, &domain, service, demand, waiting);
            }
        }
    }

    /// Returns the home failure domain of an adapter: the first in its order whose targets receive
    /// orders now, else the first. Targets with a request limit count only if all have one. `None`
    /// if the service has no ready target.
    fn home_domain(&self, now: Duration, service: &str, demand: &Demand) -> Option<DomainId> {
        let mut sizes: BTreeMap<DomainId, usize> = BTreeMap::new();
        let is_suitable =
            |it: &&Target| demand.software.is_none_or(|software| software == it.software);
        let suitable = || self.targets.ready(service).filter(is_suitable);
        let all_limited = suitable().all(|it| it.limit.is_limited());
        for target in suitable() {
            if target.limit.is_limited() && !all_limited {
                continue;
            }
            *sizes.entry(target.record.domain.clone()).or_default() += 1;
        }
        let order = domain_order(&demand.adapter, &sizes);
        let reachable = order.iter().find(|it| self.is_holder_active(now, it));
        reachable.or(order.first()).cloned()
    }

    fn send_demand(
        &mut self,
        now: Duration,
        domain: &str,
        service: String,
        demand: Demand,
        waiting: u16,
    ) {
        let own = self.settings.host;
        if self.held_domains.contains_key(domain) {
            self.handle_demand(now, own, domain, &service, demand, waiting);
        } else if let Some(holder) = self.holder(domain) {
            let domain = domain.to_owned();
            let Demand { adapter, software } = demand;
            let demand = FleetMsg::AdapterDemand { domain, service, adapter, software, waiting };
            self.send(holder, demand);
        }
    }
}
