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
        let new = Loss { at: now, hosts: BTreeMap::new(), judged: false };
        let loss = self.crashes.entry(crash).or_insert(new);
        let known = loss.hosts.entry(host).or_default();
        if known.is_empty() {
            *known = alone;
        }
    }

    /// Whether reports may still show that a request was not lost alone with a target.
    pub(crate) fn is_open(&self, crash: CrashId, suspect: &Suspect) -> bool {
        let loss = self.crashes.get(&crash);
        loss.is_some_and(|it| !it.judged && it.alone().contains(suspect))
    }

    /// Returns the requests that were lost alone and what they name, once all hosts have reported. Each
    /// crash is returned once.
    pub(crate) fn take_judged(&mut self, now: Duration) -> Vec<(CrashId, Suspect)> {
        self.crashes.retain(|_, it| now < it.at + CRASH_TTL);
        let mut alone = Vec::new();
        for (&crash, loss) in &mut self.crashes {
            if loss.judged || now < loss.at + REPORT_TIME {
                continue;
            }
            loss.judged = true;
            alone.extend(loss.alone().into_iter().map(|it| (crash, it)));
        }
        alone
    }
}
