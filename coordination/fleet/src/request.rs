//! Callers' requests: their routes, their targets, and what is counted of them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use wire::{AdapterPrint, DomainId, FleetMsg, TargetState};

use crate::{
    Host, Pick, RetryBudget, Route, Wanted, elsewhere::domain_order, io::Output, pick,
    targets::adapter_print,
};

/// Time between two messages to a holder about requests that wait.
const WANT_AGAIN: Duration = Duration::from_millis(300);
/// Part of the time for a new version during which requests are still sent to the
/// former one; some then wait at their targets for a while.
const FORMER_SHARE: f64 = 0.15;

/// No route takes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRoute {
    /// It is not known yet what is in force.
    Unknown,
    /// Nothing in force takes it.
    None,
}

/// A request as far as its target is chosen by it.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Its route.
    pub route: Arc<Route>,
    /// The service it goes to.
    pub service: String,
    /// `model` or `model/adapter`, of an engine's request.
    pub adapter: Option<String>,
    /// The targets it was sent to.
    pub tried: BTreeSet<String>,
}

/// Where a request goes next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// To this target.
    Send(Ticket),
    /// Nowhere yet: its adapter is on its way.
    Wait,
    /// Nowhere yet: all targets that could run it are full.
    Full,
    /// Nowhere: no target of the service takes requests.
    None,
}

/// A request's place at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The target's name.
    pub target: String,
    /// IP number and port.
    pub addr: String,
    adapter: AdapterPrint,
}

/// How a request ended at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered; the time to the first byte.
    Answered(Duration),
    /// It answered with a failure of its own.
    Failed,
    /// It refused, and has not run it.
    Refused,
    /// It could not be reached, or broke off.
    Missed,
    /// The caller left, or its time ran out.
    Left,
}

#[derive(Debug)]
struct WaitingFor {
    service: String,
    count: u16,
    told: Option<Duration>,
}

/// What is counted of the requests.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    asked: BTreeMap<AdapterPrint, u16>,
    waiting: BTreeMap<String, WaitingFor>,
    budgets: BTreeMap<String, RetryBudget>,
    hosts: u16,
}

impl Requests {
    /// Takes in how many hosts share the retry budget.
    pub(crate) fn set_hosts(&mut self, hosts: u16) {
        self.hosts = hosts;
    }

    /// Whether requests came since the last status.
    pub(crate) fn is_active(&self) -> bool {
        !self.asked.is_empty()
    }

    /// Whether requests wait for an adapter.
    pub(crate) fn is_waited_for(&self, adapter: &str) -> bool {
        self.waiting.contains_key(adapter)
    }

    /// Takes how often each adapter was asked for since the last time.
    pub(crate) fn take_asked(&mut self) -> Vec<(AdapterPrint, u16)> {
        std::mem::take(&mut self.asked).into_iter().collect()
    }
}

impl Host {
    /// Finds the route of a request and chooses its service.
    pub fn route(
        &self,
        host: &str,
        path: &str,
        draw: u64,
    ) -> Result<(Arc<Route>, String), NoRoute> {
        if !self.knows_config() {
            return Err(NoRoute::Unknown);
        }
        let route = self.routes.find(host, path).ok_or(NoRoute::None)?;
        let service = route.service(draw).ok_or(NoRoute::None)?.to_owned();
        Ok((route, service))
    }

    /// Counts a request that begins.
    pub fn begin(&mut self, now: Duration, ask: &Ask) {
        let window = self.settings.bounds.retry_window;
        self.requests.budgets.entry(ask.service.clone()).or_default().request(now, window);
        if let Some(adapter) = &ask.adapter {
            let count = self.requests.asked.entry(adapter_print(adapter)).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Chooses the target of a request, and counts it there.
    pub fn choose(&mut self, now: Duration, ask: &Ask, draw: u64) -> Choice {
        match self.would_choose(now, ask, draw) {
            Pick::Target(id) => {
                let print = ask.adapter.as_deref().map_or(0, adapter_print);
                let Some(target) = self.targets.get_mut(&id) else { return Choice::None };
                *target.running.entry(print).or_default() += 1;
                let addr = target.card.addr.clone();
                Choice::Send(Ticket { target: id, addr, adapter: print })
            }
            Pick::Load => Choice::Wait,
            Pick::Full => Choice::Full,
            Pick::None => Choice::None,
        }
    }

    /// Chooses the target of a request.
    pub(crate) fn would_choose(&self, now: Duration, ask: &Ask, draw: u64) -> Pick {
        let services = self.config.as_ref().map(|it| &it.services);
        let service = services.and_then(|it| it.get(&ask.service));
        let engine = service.and_then(|it| it.engine.as_ref());
        let adapter = ask.adapter.as_deref().filter(|_| engine.is_some());
        let (version, newest) = adapter.map_or((0, 0), |it| self.versions(now, it));
        let wanted = Wanted {
            service: &ask.service,
            adapter,
            version,
            newest,
            engine,
            domain: &self.settings.domain,
            tried: &ask.tried,
        };
        pick(now, &self.targets, &wanted, draw)
    }

    /// Whether a target still takes a request that was placed there.
    pub fn is_usable(&self, target: &str, ask: &Ask) -> bool {
        let Some(target) = self.targets.get(target) else { return false };
        let has = ask.adapter.as_ref().is_none_or(|it| target.adapters.contains_key(it));
        has && target.card.state == TargetState::Ready
    }

    /// The lowest version that may run a request, and the newest one.
    fn versions(&self, now: Duration, adapter: &str) -> (u64, u64) {
        let newest = self.desired.versions.get(adapter).copied().unwrap_or(0);
        let grace = self.settings.bounds.version.mul_f64(FORMER_SHARE);
        let due = self.named.get(adapter).is_none_or(|at| now >= *at + grace);
        (if due { newest } else { 0 }, newest)
    }

    /// Takes a request off its target and notes how it ended there.
    pub fn end(&mut self, now: Duration, ticket: &Ticket, outcome: Outcome) {
        let Some(target) = self.targets.get_mut(&ticket.target) else { return };
        if let Some(count) = target.running.get_mut(&ticket.adapter) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                target.running.remove(&ticket.adapter);
            }
        }
        match outcome {
            Outcome::Answered(delay) => target.health.answered(false, delay),
            Outcome::Failed => target.health.answered(true, Duration::ZERO),
            Outcome::Missed => target.health.missed(now),
            Outcome::Refused | Outcome::Left => {}
        }
    }

    /// Takes one further send of a request out of the budget, if there is room.
    pub fn may_send_again(&mut self, now: Duration, service: &str) -> bool {
        let bounds = &self.settings.bounds;
        let hosts = f64::from(self.requests.hosts.max(1)) + 1.0;
        let allowance = bounds.retry_allowance / hosts;
        let budget = self.requests.budgets.entry(service.to_owned()).or_default();
        budget.take(now, bounds.retry_window, bounds.retry_ratio, allowance)
    }

    /// Notes that a request begins to wait for its adapter.
    pub fn wait_for(&mut self, ask: &Ask) {
        let Some(adapter) = &ask.adapter else { return };
        let waiting = self.requests.waiting.entry(adapter.clone()).or_insert_with(|| WaitingFor {
            service: ask.service.clone(),
            count: 0,
            told: None,
        });
        waiting.count = waiting.count.saturating_add(1);
    }

    /// Notes that a request no longer waits for its adapter.
    pub fn wait_ended(&mut self, ask: &Ask) {
        let Some(adapter) = &ask.adapter else { return };
        let Some(waiting) = self.requests.waiting.get_mut(adapter) else { return };
        waiting.count = waiting.count.saturating_sub(1);
        if waiting.count == 0 {
            self.requests.waiting.remove(adapter);
        }
    }

    /// Tells the holders now which adapters requests wait for.
    pub fn tell_wants(&mut self, now: Duration) -> Vec<Output> {
        self.tick_requests(now);
        self.finish(now)
    }

    pub(crate) fn tick_requests(&mut self, now: Duration) {
        let mut due = Vec::new();
        for (adapter, waiting) in &mut self.requests.waiting {
            if waiting.told.is_some_and(|at| now < at + WANT_AGAIN) {
                continue;
            }
            waiting.told = Some(now);
            due.push((waiting.service.clone(), adapter.clone(), waiting.count));
        }
        for (service, adapter, waiting) in due {
            if let Some(domain) = self.home(now, &service, &adapter) {
                self.want(now, &domain, service, adapter, waiting);
            }
        }
    }

    /// The failure domain with targets of a service that an adapter goes to: one
    /// whose targets get orders now, if there is any.
    fn home(&self, now: Duration, service: &str, adapter: &str) -> Option<DomainId> {
        let mut sizes: BTreeMap<DomainId, usize> = BTreeMap::new();
        for target in self.targets.ready(service) {
            *sizes.entry(target.card.domain.clone()).or_default() += 1;
        }
        let order = domain_order(adapter, &sizes);
        let ordered = order.iter().find(|it| self.gets_orders(now, it));
        ordered.or(order.first()).cloned()
    }

    fn want(
        &mut self,
        now: Duration,
        domain: &str,
        service: String,
        adapter: String,
        waiting: u16,
    ) {
        let own = self.settings.host;
        if self.holding.contains_key(domain) {
            self.wanted(now, own, domain, &service, &adapter, waiting);
        } else if let Some(holder) = self.holder(domain) {
            let domain = domain.to_owned();
            self.send(holder, FleetMsg::Want { domain, service, adapter, waiting });
        }
    }
}
