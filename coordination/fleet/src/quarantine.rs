//! Quarantine of requests that crash the targets that run them.
//!
//! Such a request is repeated with the same method, host, path and body at any host. A host that loses a
//! request together with its target reports this to the leader. After crashes of
//! [`QUARANTINE_CRASHES`] different targets the leader quarantines the request, and no host sends it
//! again.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wire::{FeedChange, FleetMsg, RequestHash};

use crate::{Event, Host, io::Output};

/// Number of crashed targets at which a request is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// Time that a request's crashes count after the latest one; targets also end for other reasons.
const CRASH_TTL: Duration = Duration::from_secs(60);
/// Maximum number of requests with crash counts, and of quarantined requests.
const MAX_REQUESTS: usize = 1024;

/// The targets that each request crashed, as counted by the leader, and the time of the latest
/// crash.
#[derive(Debug, Default)]
pub(crate) struct CrashCounts {
    crashed: BTreeMap<RequestHash, (BTreeSet<String>, Duration)>,
}

impl CrashCounts {
    /// Counts a crash. Returns whether the request has crashed [`QUARANTINE_CRASHES`] targets.
    fn add(&mut self, now: Duration, request: RequestHash, target: &str) -> bool {
        self.crashed.retain(|_, (_, at)| now < *at + CRASH_TTL);
        if self.crashed.len() >= MAX_REQUESTS && !self.crashed.contains_key(&request) {
            let oldest = self.crashed.iter().min_by_key(|(_, (_, at))| *at);
            if let Some((&oldest, _)) = oldest {
                self.crashed.remove(&oldest);
            }
        }
        let (targets, at) = self.crashed.entry(request).or_default();
        targets.insert(target.to_owned());
        *at = now;
        targets.len() >= QUARANTINE_CRASHES
    }
}

/// The quarantined requests, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    requests: Vec<RequestHash>,
}

impl Quarantine {
    pub(crate) fn insert(&mut self, request: RequestHash) -> bool {
        if self.requests.contains(&request) {
            return false;
        }
        if self.requests.len() >= MAX_REQUESTS {
            self.requests.remove(0);
        }
        self.requests.push(request);
        true
    }

    /// Feed changes that contain all quarantined requests.
    pub(crate) fn changes(&self) -> impl Iterator<Item = FeedChange> {
        self.requests.iter().map(|&it| FeedChange::Quarantined(it))
    }
}

impl Host {
    /// Whether any request is quarantined.
    pub fn has_quarantined(&self) -> bool {
        !self.quarantined.requests.is_empty()
    }

    /// Whether a request is quarantined and must not be sent.
    pub fn is_quarantined(&self, request: RequestHash) -> bool {
        self.quarantined.requests.contains(&request)
    }

    /// Reports to the leader that a request crashed the target that ran it.
    pub fn report_crash(
        &mut self,
        now: Duration,
        request: RequestHash,
        target: &str,
    ) -> Vec<Output> {
        match self.leader {
            Some(leader) if leader != self.settings.host => {
                let target = target.to_owned();
                self.send(leader, FleetMsg::Crashed { request, target });
            }
            _ => self.count_crash(now, request, target),
        }
        self.finish(now)
    }

    /// Counts a crash if this host leads, and publishes the quarantine of the request if it is due.
    pub(crate) fn count_crash(&mut self, now: Duration, request: RequestHash, target: &str) {
        let Some(leading) = &mut self.leading else { return };
        if leading.crash_counts.add(now, request, target) {
            leading.feed.push(FeedChange::Quarantined(request));
        }
    }

    /// Quarantines a request on this host.
    pub(crate) fn quarantine(&mut self, request: RequestHash) {
        if self.quarantined.insert(request) {
            self.log(Event::Barred { request: format!("{request:x}") });
        }
    }
}
