//! A simulated engine target, as the published protocol describes it.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use fleet::{Engine, Order, OrderOutcome, Report};

use super::ms;

/// Age of the state that a report shows.
const REPORT_LAG: Duration = ms(200);
/// Time that the load of a model takes.
const MODEL_LOAD: Duration = ms(2500);
/// Times that the loads of adapters take, by turns.
const ADAPTER_LOADS: [Duration; 3] = [ms(30), ms(250), ms(1500)];

/// An adapter at a target.
#[derive(Debug, Clone)]
struct Held {
    version: u64,
    ready_at: Duration,
    /// Number of orders that were accepted before the last load of it.
    number: u64,
    /// The version that replaces it once its requests have ended.
    next: Option<u64>,
    /// Whether it is dropped once its requests have ended.
    leaves: bool,
    used_until: Duration,
}

/// An engine target. It accepts an order only if the number of orders accepted so far is the expected
/// one, reports the state of a while ago, and fails if it is ordered to hold more than it has room for.
pub struct EngineTarget {
    pub started_at: u64,
    /// How it was overfilled, if it was.
    pub overfilled: Option<String>,
    models: BTreeMap<String, Duration>,
    adapters: BTreeMap<String, Held>,
    sequence: u64,
    loads: usize,
    /// Times that its loads of adapters take, by turns.
    pub load_times: Vec<Duration>,
    history: VecDeque<(Duration, Report)>,
}

impl EngineTarget {
    pub fn new(started_at: u64, models: &[&str]) -> EngineTarget {
        EngineTarget {
            started_at,
            overfilled: None,
            models: models.iter().map(|it| ((*it).to_owned(), Duration::ZERO)).collect(),
            adapters: BTreeMap::new(),
            sequence: 0,
            loads: 0,
            load_times: ADAPTER_LOADS.to_vec(),
            history: VecDeque::new(),
        }
    }

    /// Lets the target hold adapters of a model, named after `owner`.
    pub fn fill(&mut self, model: &str, owner: &str, adapters: usize) {
        for number in 0..adapters {
            let held = Held {
                version: 1,
                ready_at: Duration::ZERO,
                number: 0,
                next: None,
                leaves: false,
                used_until: Duration::ZERO,
            };
            self.adapters.insert(format!("{model}/{owner}-{number}"), held);
        }
    }

    /// Lets a request run, if the adapter is ready.
    pub fn run(&mut self, now: Duration, adapter: &str, until: Duration) {
        if let Some(held) = self.adapters.get_mut(adapter)
            && held.ready_at <= now
            && !held.leaves
            && held.next.is_none()
        {
            held.used_until = held.used_until.max(until);
        }
    }

    pub fn used(&self, now: Duration) -> Vec<String> {
        let used = self.adapters.iter().filter(|(_, it)| it.used_until > now);
        used.map(|(name, _)| name.clone()).collect()
    }

    pub fn is_ready(&self, now: Duration, adapter: &str, version: u64) -> bool {
        let held = self.adapters.get(adapter);
        held.is_some_and(|it| it.ready_at <= now && it.version == version)
    }

    /// Returns when an adapter has been ready, or will be.
    pub fn ready_at(&self, adapter: &str) -> Option<Duration> {
        self.adapters.get(adapter).map(|it| it.ready_at)
    }

    /// Returns the number of adapters that are being loaded.
    pub fn loading(&self, now: Duration) -> usize {
        self.adapters.values().filter(|it| it.ready_at > now).count()
    }

    /// Lets all loads in progress last longer by this time.
    pub fn prolong_loads(&mut self, now: Duration, by: Duration) {
        for held in self.adapters.values_mut().filter(|it| it.ready_at > now) {
            held.ready_at += by;
        }
    }

    /// Carries out what waited for requests to end, and records the state for later reports.
    pub fn advance(&mut self, now: Duration) {
        self.adapters.retain(|_, it| !it.leaves || it.used_until > now);
        let load = self.load_time();
        for held in self.adapters.values_mut() {
            if held.used_until <= now
                && let Some(next) = held.next.take()
            {
                held.version = next;
                held.ready_at = now + load;
            }
        }
        let report = self.current(now);
        self.history.push_back((now, report));
        while self.history.len() > 1 && self.history[1].0 + REPORT_LAG <= now {
            self.history.pop_front();
        }
    }

    fn load_time(&self) -> Duration {
        self.load_times[self.loads % self.load_times.len()]
    }

    pub fn order(
        &mut self,
        now: Duration,
        order: &Order,
        engine: &Engine,
        newest: &BTreeMap<String, u64>,
    ) -> OrderOutcome {
        if self.is_in_progress(now, order) {
            return OrderOutcome::Accepted;
        }
        let busy = self.models.values().any(|&it| it > now);
        if busy || order.expected_orders != self.sequence {
            return OrderOutcome::Busy;
        }
        let outcome = match (&order.adapter, order.load) {
            (None, true) => self.load_model(now, &order.model),
            (Some(_), true) => self.load_adapter(now, order, newest),
            (Some(_), false) => self.unload_adapter(now, &order.name()),
            (None, false) => OrderOutcome::Refused,
        };
        self.check_room(order, engine);
        outcome
    }

    /// Whether an order is the load that the target carries out, sent again.
    fn is_in_progress(&self, now: Duration, order: &Order) -> bool {
        let held = self.adapters.get(&order.name()).filter(|_| order.load);
        held.is_some_and(|it| {
            it.number == order.expected_orders && (it.ready_at > now || it.next.is_some())
        })
    }

    fn load_model(&mut self, now: Duration, model: &str) -> OrderOutcome {
        if self.models.contains_key(model) {
            return OrderOutcome::Done;
        }
        self.sequence += 1;
        self.models.insert(model.to_owned(), now + MODEL_LOAD);
        OrderOutcome::Accepted
    }

    fn load_adapter(
        &mut self,
        now: Duration,
        order: &Order,
        newest: &BTreeMap<String, u64>,
    ) -> OrderOutcome {
        if !self.models.contains_key(&order.model) {
            return OrderOutcome::Refused;
        }
        let name = order.name();
        let newest = newest.get(&name).copied().unwrap_or(1);
        let version = if order.version > 0 { order.version } else { newest };
        let load = self.load_time();
        let number = self.sequence;
        match self.adapters.get_mut(&name) {
            Some(held) if held.version == version || held.next == Some(version) => {
                return OrderOutcome::Done;
            }
            Some(held) if held.used_until > now => {
                (held.next, held.number) = (Some(version), number);
            }
            Some(held) => {
                (held.version, held.number) = (version, number);
                held.ready_at = now + load;
            }
            None => {
                let used_until = Duration::ZERO;
                let ready_at = now + load;
                let held =
                    Held { version, ready_at, number, next: None, leaves: false, used_until };
                self.adapters.insert(name, held);
            }
        }
        self.sequence += 1;
        self.loads += 1;
        OrderOutcome::Accepted
    }

    fn unload_adapter(&mut self, now: Duration, name: &str) -> OrderOutcome {
        let Some(held) = self.adapters.get_mut(name).filter(|it| !it.leaves) else {
            return OrderOutcome::Done;
        };
        self.sequence += 1;
        if held.used_until > now {
            held.leaves = true;
            return OrderOutcome::Accepted;
        }
        self.adapters.remove(name);
        OrderOutcome::Done
    }

    fn check_room(&mut self, order: &Order, engine: &Engine) {
        let weights = engine.models.iter().filter(|it| self.models.contains_key(&it.name));
        let weights: f64 = weights.map(|it| it.weights_mb).sum();
        let adapters = self.adapters.len();
        let needed = weights + adapters as f64;
        if adapters > engine.adapter_slots || needed > engine.weights_mb {
            let text = format!(
                "{adapters} of {} adapters and {needed} of {} MB after order {} for {}",
                engine.adapter_slots,
                engine.weights_mb,
                order.expected_orders,
                order.name()
            );
            self.overfilled.get_or_insert(text);
        }
    }

    fn current(&self, now: Duration) -> Report {
        let mut report = Report {
            accepted_orders: self.sequence,
            started_at: Some(self.started_at),
            ..Report::default()
        };
        for (name, &ready_at) in &self.models {
            match ready_at <= now {
                true => report.loaded.push((name.clone(), 1)),
                false => report.busy = true,
            }
        }
        for (name, held) in &self.adapters {
            match held.ready_at <= now {
                true => report.loaded.push((name.clone(), held.version)),
                false => report.pending.push(name.clone()),
            }
        }
        report
    }

    /// Returns the report that the target makes now.
    pub fn report(&self, now: Duration) -> Report {
        self.history.front().map_or_else(|| self.current(now), |(_, report)| report.clone())
    }
}
