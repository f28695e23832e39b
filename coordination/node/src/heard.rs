//! Requests that an owner has heard of, so that a message that arrives twice,
//! or after its cancellation, starts nothing.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wire::RequestId;

/// Requests remembered of one run of an entry host.
const MAX_REQUESTS: usize = 256;
/// How long a run of an entry host is remembered after its last message.
const KEEP_RUN: Duration = Duration::from_secs(600);
/// The lower part of a request's number counts within a run of its entry.
const SEQ_BITS: u32 = 32;

/// Requests of one run of an entry host.
#[derive(Debug, Default)]
struct Run {
    requests: BTreeSet<RequestId>,
    /// Requests up to this one count as heard.
    floor: RequestId,
    last: Duration,
}

/// Requests by the runs of their entry hosts.
#[derive(Debug, Default)]
pub(crate) struct Heard {
    runs: BTreeMap<u64, Run>,
}

impl Heard {
    /// Notes a request. Returns false if it was heard before, or is so much
    /// older than others of its entry that this is not known.
    pub(crate) fn note(&mut self, now: Duration, request: RequestId) -> bool {
        if !self.runs.contains_key(&(request >> SEQ_BITS)) {
            self.runs.retain(|_, run| now < run.last + KEEP_RUN);
        }
        let run = self.runs.entry(request >> SEQ_BITS).or_default();
        run.last = now;
        if request <= run.floor || !run.requests.insert(request) {
            return false;
        }
        if run.requests.len() > MAX_REQUESTS {
            run.floor = run.requests.pop_first().unwrap_or(run.floor);
        }
        true
    }
}
