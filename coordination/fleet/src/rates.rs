//! Request rates of adapters, as an exponentially decaying average.

use std::{collections::BTreeMap, time::Duration};

use wire::AdapterHash;

/// Time constant of the decay: after this time a request counts for about a third (1/e).
const TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Rate below which an adapter is dropped, in requests per second.
const MIN_RATE: f64 = 0.002;

/// Requests per second of each adapter; recent requests weigh most.
#[derive(Debug, Default)]
pub(crate) struct RequestRates {
    rates: BTreeMap<AdapterHash, f64>,
    decayed: Duration,
}

impl RequestRates {
    /// Adds requests for an adapter.
    pub(crate) fn count(&mut self, adapter: AdapterHash, requests: u16) {
        *self.rates.entry(adapter).or_insert(0.0) +=
            f64::from(requests) / TIME_CONSTANT.as_secs_f64();
    }

    /// Decays all rates to the time `now`.
    pub(crate) fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.decayed);
        self.decayed = now;
        let factor = (-passed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.rates.retain(|_, rate| {
            *rate *= factor;
            *rate >= MIN_RATE
        });
    }

    /// Returns an adapter's requests per second.
    pub(crate) fn rate(&self, adapter: AdapterHash) -> f64 {
        self.rates.get(&adapter).copied().unwrap_or(0.0)
    }

    /// Returns the requests per second of all adapters together.
    pub(crate) fn total(&self) -> f64 {
        self.rates.values().sum()
    }
}
