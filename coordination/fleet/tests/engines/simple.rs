//! A target with one model that answers orders and report requests at once.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use fleet::{Order, OrderOutcome, Report};

pub const ADAPTER_SLOTS: usize = 6;
/// Age of the state that a report shows.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// A simulated engine target whose loads all take the same time.
#[derive(Default)]
pub struct SimpleTarget {
    /// When each adapter is ready.
    pub adapters: BTreeMap<String, Duration>,
    /// Number of orders that were accepted before each adapter was loaded.
    numbers: BTreeMap<String, u64>,
    sequence: u64,
    /// Whether it was ordered to hold more than fits.
    pub crashed: bool,
    pub history: VecDeque<(Duration, Report)>,
}

impl SimpleTarget {
    pub fn order(&mut self, now: Duration, order: &Order, load_time: Duration) -> OrderOutcome {
        let name = order.name();
        if order.expected_orders != self.sequence {
            let is_loading = self.adapters.get(&name).is_some_and(|ready| *ready > now);
            let is_repeated = self.numbers.get(&name) == Some(&order.expected_orders);
            return if is_loading && is_repeated {
                OrderOutcome::Accepted
            } else {
                OrderOutcome::Busy
            };
        }
        if order.load == self.adapters.contains_key(&name) {
            return OrderOutcome::Done;
        }
        self.sequence += 1;
        if !order.load {
            self.adapters.remove(&name);
            return OrderOutcome::Done;
        }
        self.numbers.insert(name.clone(), order.expected_orders);
        self.adapters.insert(name, now + load_time);
        self.crashed |= self.adapters.len() > ADAPTER_SLOTS;
        OrderOutcome::Accepted
    }

    pub fn current(&self, now: Duration) -> Report {
        let mut report = Report { accepted_orders: self.sequence, ..Report::default() };
        report.loaded.push(("m".to_owned(), 1));
        for (name, ready) in &self.adapters {
            match *ready <= now {
                true => report.loaded.push((name.clone(), 1)),
                false => report.pending.push(name.clone()),
            }
        }
        report
    }

    pub fn report(&mut self, now: Duration) -> Report {
        while self.history.len() > 1 && self.history[1].0 + REPORT_LAG <= now {
            self.history.pop_front();
        }
        self.history.front().map_or_else(|| self.current(now), |(_, report)| report.clone())
    }
}
