//! How often each adapter is asked for.

use std::{collections::BTreeMap, time::Duration};

use wire::AdapterPrint;

/// The time after which an old request counts for a third.
const MEMORY: Duration = Duration::from_secs(4);
/// Demand below which an adapter is forgotten, in requests a second.
const FORGOTTEN: f64 = 0.002;

/// Requests a second for each adapter, the newest counting most.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    rates: BTreeMap<AdapterPrint, f64>,
    decayed: Duration,
}

impl Demand {
    /// Counts requests.
    pub(crate) fn count(&mut self, adapter: AdapterPrint, requests: u16) {
        *self.rates.entry(adapter).or_insert(0.0) += f64::from(requests) / MEMORY.as_secs_f64();
    }

    /// Lets time pass.
    pub(crate) fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.decayed);
        self.decayed = now;
        let share = (-passed.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.rates.retain(|_, rate| {
            *rate *= share;
            *rate >= FORGOTTEN
        });
    }

    /// Returns an adapter's requests a second.
    pub(crate) fn rate(&self, adapter: AdapterPrint) -> f64 {
        self.rates.get(&adapter).copied().unwrap_or(0.0)
    }

    /// Returns the requests a second of all adapters.
    pub(crate) fn total(&self) -> f64 {
        self.rates.values().sum()
    }
}
