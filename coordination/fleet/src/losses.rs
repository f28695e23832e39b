//! Which requests were lost with each crashed target, as the leader learns it from the hosts.

use std::{collections::BTreeMap, time::Duration};

use wire::{CrashId, HostId, Suspect};

use crate::suspects::CRASH_TTL;

/// Time after a crash until all hosts that lost requests with it have reported.
const REPORT_TIME: Duration = Duration::from_millis(100);

/// The requests that were lost with one target.
#[derive(Debug)]
struct Loss {
    at: Duration,
    /// For each host that lost requests, the request and what it names, if it lost one only.
    hosts: BTreeMap<HostId, Vec<Suspect>>,
    /// The requests that count as tried, alone or not.
    tried: Vec<Suspect>,
    judged: bool,
}

impl Loss {
    /// The only request that any host lost, or only what it names if that was lost alone.
    fn alone(&self) -> Vec<Suspect> {
        let mut hosts = self.hosts.values();
        let mut alone = hosts.next().cloned().unwrap_or_default();
        for other in hosts {
            alone.retain(|it| other.contains(it));
        }
        alone
    }
}

/// The losses of the last [`CRASH_TTL`].
#[derive(Debug, Default)]
pub(crate) struct Losses {
    crashes: BTreeMap<CrashId, Loss>,
}

impl Losses {
    /// Adds a host's report; `alone` is the request that it lost and what it names, if it lost one only.
    pub(crate) fn add(&mut self, now: Duration, crash: CrashId, host: HostId, alone: Vec<Suspect>) {
        let new = Loss { at: now, hosts: BTreeMap::new(), tried: Vec::new(), judged: false };
        let loss = self.crashes.entry(crash).or_insert(new);
        let known = loss.hosts.entry(host).or_default();
        if known.is_empty() {
            *known = alone;
        }
    }

    /// Adds requests that count as tried to a crash that was reported.
    pub(crate) fn add_tried<'a>(
        &mut self,
        crash: CrashId,
        tried: impl Iterator<Item = &'a Suspect>,
    ) {
        if let Some(loss) = self.crashes.get_mut(&crash) {
            loss.tried.extend(tried);
        }
    }

    /// Whether a request is still to be judged, or reports may show that it was not lost alone.
    pub(crate) fn is_open(&self, crash: CrashId, suspect: &Suspect) -> bool {
        let Some(loss) = self.crashes.get(&crash) else { return false };
        loss.tried.contains(suspect) || (!loss.judged && loss.alone().contains(suspect))
    }

    /// Returns the crashes of which all hosts have reported, and for each what counts as tried: what all
    /// requests that it lost have in common, and those that count alone or not. Each is returned once.
    pub(crate) fn take_judged(&mut self, now: Duration) -> Vec<(CrashId, Vec<Suspect>)> {
        self.crashes.retain(|_, it| now < it.at + CRASH_TTL);
        let mut judged = Vec::new();
        for (&crash, loss) in &mut self.crashes {
            if now < loss.at + REPORT_TIME || (loss.judged && loss.tried.is_empty()) {
                continue;
            }
            let mut tried = std::mem::take(&mut loss.tried);
            if !std::mem::replace(&mut loss.judged, true) {
                tried.extend(loss.alone());
            }
            judged.push((crash, tried));
        }
        judged
    }
}
