//! Crashes counted against requests.

use serde::{Deserialize, Serialize};
use wire::Fingerprint;

/// Strikes by request content.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Strikes {}

impl Strikes {
    /// Counts a crash.
    pub fn strike(&mut self, at: u64, print: Fingerprint) {
        let _ = (at, print);
        todo!()
    }

    /// Clears a request that completed.
    pub fn clear(&mut self, print: &Fingerprint) {
        let _ = print;
        todo!()
    }

    /// Returns the crashes counted against a request.
    pub fn count(&self, print: &Fingerprint) -> u32 {
        let _ = print;
        todo!()
    }

    /// Lists the requests with strikes.
    pub fn list(&self) -> Vec<(Fingerprint, u32)> {
        todo!()
    }
}
