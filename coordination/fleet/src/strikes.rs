//! Requests that crash the targets that run them.
//!
//! Such a request comes again, with the same path, caller and body, at any host.
//! A host that loses a request together with its target tells the leader. After
//! [`STRIKES`] targets the leader bars the request, and no host sends it any more.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wire::{FeedChange, FleetMsg, RequestPrint};

use crate::{Event, Host, io::Output};

/// Targets that a request may crash.
const STRIKES: usize = 3;
/// How long a crash counts; targets also end for other reasons.
const MEMORY: Duration = Duration::from_secs(60);
/// Requests that are remembered.
const REMEMBERED: usize = 1024;

/// The requests that crashed targets, as the leader counts them.
#[derive(Debug, Default)]
pub(crate) struct Strikes {
    crashed: BTreeMap<RequestPrint, (BTreeSet<String>, Duration)>,
}

impl Strikes {
    /// Takes in that a request crashed a target. Returns whether it has crashed as
    /// many as it may.
    fn crashed(&mut self, now: Duration, request: RequestPrint, target: &str) -> bool {
        self.crashed.retain(|_, (_, at)| now < *at + MEMORY);
        if self.crashed.len() >= REMEMBERED && !self.crashed.contains_key(&request) {
            let oldest = self.crashed.iter().min_by_key(|(_, (_, at))| *at);
            if let Some((&oldest, _)) = oldest {
                self.crashed.remove(&oldest);
            }
        }
        let (targets, at) = self.crashed.entry(request).or_default();
        targets.insert(target.to_owned());
        *at = now;
        targets.len() >= STRIKES
    }
}

/// The requests that are not sent any more, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct Barred {
    requests: Vec<RequestPrint>,
}

impl Barred {
    pub(crate) fn insert(&mut self, request: RequestPrint) -> bool {
        if self.requests.contains(&request) {
            return false;
        }
        if self.requests.len() >= REMEMBERED {
            self.requests.remove(0);
        }
        self.requests.push(request);
        true
    }

    /// The changes that tell another host of all of them.
    pub(crate) fn changes(&self) -> impl Iterator<Item = FeedChange> {
        self.requests.iter().map(|&it| FeedChange::Barred(it))
    }
}

impl Host {
    /// Whether any request is barred.
    pub fn bars_any(&self) -> bool {
        !self.barred.requests.is_empty()
    }

    /// Whether a request is not to be sent any more.
    pub fn is_barred(&self, request: RequestPrint) -> bool {
        self.barred.requests.contains(&request)
    }

    /// Takes in that a request crashed the target that ran it.
    pub fn crashed(&mut self, now: Duration, request: RequestPrint, target: &str) -> Vec<Output> {
        self.log(Event::Crashed { request: format!("{request:x}"), target: target.to_owned() });
        match self.leader {
            Some(leader) if leader != self.settings.host => {
                let target = target.to_owned();
                self.send(leader, FleetMsg::Crashed { request, target });
            }
            _ => self.strike(now, request, target),
        }
        self.finish(now)
    }

    /// Counts a crash, if this host leads.
    pub(crate) fn strike(&mut self, now: Duration, request: RequestPrint, target: &str) {
        let Some(leading) = &mut self.leading else { return };
        if leading.strikes.crashed(now, request, target) {
            leading.feed.push(FeedChange::Barred(request));
        }
    }

    /// Bars a request.
    pub(crate) fn bar(&mut self, request: RequestPrint) {
        if self.barred.insert(request) {
            self.log(Event::Barred { request: format!("{request:x}") });
        }
    }
}
