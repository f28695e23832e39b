//! The default software version of each service, which the leader keeps in the log.
//!
//! A default changes in three steps: first all streams are recorded, then the new default is named,
//! and then its streams are no longer recorded. Between the first two, a stream without a record that
//! began before must have ended, also if its host did not know of the first step for a while; between
//! the last two, all hosts that take streams up must have learnt the new default.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use desired::{Command, DefaultSoftware};
use replog::Input as LogInput;
use wire::{SoftwareHash, encode};

use crate::{
    Host,
    stream_records::{MAX_VIEW_AGE, STREAM_LIFE},
};

/// Time between the steps from recording all streams to the new default: the longest life of a
/// stream, and the age of a host's view up to which it leaves out records.
const RECORD_TIME: Duration = STREAM_LIFE.saturating_add(MAX_VIEW_AGE);
/// Time between the new default and leaving out records of its streams.
const SETTLING_TIME: Duration = Duration::from_secs(30);
/// Time for which targets of the default version must have been rare before the default changes.
const RARE_TIME: Duration = Duration::from_secs(5);
/// Share of the targets below which a version is rare.
const RARE_SHARE: f64 = 0.25;
/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The leader's view of the software versions of the services.
#[derive(Debug, Default)]
pub(crate) struct SoftwareWatch {
    checked: Duration,
    /// The default of each service, and since when this leader has seen it.
    seen: BTreeMap<String, (DefaultSoftware, Duration)>,
    /// Since when the targets of a service's default version have been rare.
    rare: BTreeMap<String, Duration>,
}

impl Host {
    /// Proposes the next step of each service's default software version.
    pub(crate) fn watch_software(&mut self, now: Duration) {
        let Some(leading) = &mut self.leading else { return };
        if now < leading.software.checked + CHECK_INTERVAL {
            return;
        }
        leading.software.checked = now;
        let targets = self.targets.iter();
        let services: BTreeSet<String> = targets.map(|it| it.record.service.clone()).collect();
        for service in services {
            let Some(next) = self.next_software(now, &service) else { continue };
            let command = Command::SetSoftware { service, software: next };
            self.step_log(now, LogInput::Propose(encode(&command).into()));
        }
    }

    fn next_software(&mut self, now: Duration, service: &str) -> Option<DefaultSoftware> {
        let mut counts: BTreeMap<SoftwareHash, usize> = BTreeMap::new();
        for target in self.targets.ready(service) {
            *counts.entry(target.software).or_default() += 1;
        }
        let total: usize = counts.values().sum();
        let most = counts.iter().max_by_key(|(_, count)| **count).map(|(&software, _)| software)?;
        let Some(&known) = self.desired.software.get(service) else {
            return Some(DefaultSoftware { default: most, records_all: false });
        };
        let watch = &mut self.leading.as_mut()?.software;
        let seen = watch.seen.entry(service.to_owned()).or_insert((known, now));
        if seen.0 != known {
            *seen = (known, now);
        }
        let since = seen.1;
        let share = counts.get(&known.default).map_or(0.0, |&it| it as f64 / total as f64);
        if share >= RARE_SHARE {
            watch.rare.remove(service);
            let settled = known.records_all && now >= since + SETTLING_TIME;
            return settled.then_some(DefaultSoftware { records_all: false, ..known });
        }
        let rare_since = *watch.rare.entry(service.to_owned()).or_insert(now);
        if now < rare_since + RARE_TIME {
            return None;
        }
        if !known.records_all {
            return Some(DefaultSoftware { records_all: true, ..known });
        }
        (now >= since + RECORD_TIME).then_some(DefaultSoftware { default: most, records_all: true })
    }
}
