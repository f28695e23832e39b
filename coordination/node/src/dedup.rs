//! Requests that an owner has received, so that a message that arrives twice, or after its
//! cancellation, starts nothing.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wire::RequestId;

/// Requests remembered per incarnation of an entry host.
const MAX_REQUESTS: usize = 256;
/// How long an incarnation of an entry host is remembered after its last message.
const WINDOW_RETENTION: Duration = Duration::from_secs(600);
/// Number of low bits of a request id that hold the sequence number within one incarnation of an
/// entry host.
const SEQ_BITS: u32 = 32;

/// Requests of one incarnation of an entry host.
#[derive(Debug, Default)]
struct EntryWindow {
    requests: BTreeSet<RequestId>,
    /// Requests up to this id count as received.
    floor: RequestId,
    last_seen: Duration,
}

/// Received requests, by the incarnation of their entry host.
#[derive(Debug, Default)]
pub(crate) struct RequestDedup {
    windows: BTreeMap<u64, EntryWindow>,
}

impl RequestDedup {
    /// Records a request. Returns false if it was recorded before, or is so much older than others
    /// of its entry host that this is not known.
    pub(crate) fn record(&mut self, now: Duration, request: RequestId) -> bool {
        if !self.windows.contains_key(&(request >> SEQ_BITS)) {
            self.windows.retain(|_, window| now < window.last_seen + WINDOW_RETENTION);
        }
        let window = self.windows.entry(request >> SEQ_BITS).or_default();
        window.last_seen = now;
        if request <= window.floor || !window.requests.insert(request) {
            return false;
        }
        if window.requests.len() > MAX_REQUESTS {
            window.floor = window.requests.pop_first().unwrap_or(window.floor);
        }
        true
    }
}
