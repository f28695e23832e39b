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
    /// For each host that lost requests, the request, if it lost one only.
    hosts: BTreeMap<HostId, Option<Suspect>>,
    judged: bool,
}

impl Loss {
    /// The only request that any host lost.
    fn alone(&self) -> Option<Suspect> {
        let first = self.hosts.values().next().copied().flatten()?;
        self.hosts.values().all(|it| *it == Some(first)).then_some(first)
    }
}

/// The losses of the last [`CRASH_TTL`].
#[derive(Debug, Default)]
pub(crate) struct Losses {
    crashes: BTreeMap<CrashId, Loss>,
}

impl Losses {
    /// Adds a host's report; `alone` is the request that it lost, if it lost one only.
    pub(crate) fn add(
        &mut self,
        now: Duration,
        crash: CrashId,
        host: HostId,
        alone: Option<Suspect>,
    ) {
        let new = Loss { at: now, hosts: BTreeMap::new(), judged: false };
        let loss = self.crashes.entry(crash).or_insert(new);
        let known = loss.hosts.entry(host).or_insert(alone);
        *known = known.or(alone);
    }

    /// Whether reports may still show that a request was not lost alone with a target.
    pub(crate) fn is_open(&self, crash: CrashId, suspect: &Suspect) -> bool {
        let loss = self.crashes.get(&crash);
        loss.is_some_and(|it| !it.judged && it.alone() == Some(*suspect))
    }

    /// Returns the requests that were lost alone, once all hosts have reported. Each crash is returned
    /// once.
    pub(crate) fn take_judged(&mut self, now: Duration) -> Vec<(CrashId, Suspect)> {
        self.crashes.retain(|_, it| now < it.at + CRASH_TTL);
        let mut alone = Vec::new();
        for (&crash, loss) in &mut self.crashes {
            if loss.judged || now < loss.at + REPORT_TIME {
                continue;
            }
            loss.judged = true;
            alone.extend(loss.alone().map(|it| (crash, it)));
        }
        alone
    }
}
