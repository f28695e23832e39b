//! What is known of the suspects: contents of requests that may crash the targets that run them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wire::{CrashId, HostId, Suspect, SuspectRecord};

/// Number of crashed targets from which a suspect is one for more than the requests that were lost.
pub(crate) const TRIAL_CRASHES: u16 = 2;
/// How long a crash counts; targets also end for other reasons.
pub(crate) const CRASH_TTL: Duration = Duration::from_secs(60);
/// Time for requests under way to clear a new suspect that they share before others need a trial.
const CLEARING_TIME: Duration = Duration::from_millis(200);
/// Time to the next trial after each failed one, in seconds; after the last entry it stays the same.
/// Few trials may follow once the cause is known, however long it is sent.
const TRIAL_DELAYS_S: [u64; 5] = [5, 30, 180, 1080, 3600];
/// Time limit of a trial, in case that its host is lost.
pub(crate) const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of suspects.
const MAX_SUSPECTS: usize = 1024;

/// Number of crashed targets, each by a request of a route that was tried there, from which the route is
/// a suspect.
const ROUTE_CRASHES: u16 = 3;

/// Returns the number of crashed targets from which requests with a suspect need a trial. A whole
/// request is tried before it is sent to a second target.
fn trial_crashes(suspect: &Suspect) -> u16 {
    match suspect {
        Suspect::Request(_) => 1,
        Suspect::Part(_) | Suspect::Resource(_) => TRIAL_CRASHES,
        Suspect::Route(_) => ROUTE_CRASHES,
    }
}

/// The state of one suspect.
#[derive(Debug, Default)]
struct Entry {
    /// [`trial_crashes`] of the suspect.
    threshold: u16,
    /// The crashes that this host knows of.
    crashes: BTreeSet<CrashId>,
    /// The highest number of crashes that the leader has published.
    published: u16,
    failed_trials: u16,
    latest_crash: Duration,
    /// When it reached `threshold` here.
    suspected_at: Option<Duration>,
    /// Earliest time of the next trial.
    trial_due: Duration,
    /// On the leader: the host that tries it, and since when.
    trial: Option<(HostId, Duration)>,
    /// The crash of the latest failed trial.
    failed_by: Option<CrashId>,
}

impl Entry {
    fn new(suspect: &Suspect) -> Entry {
        Entry { threshold: trial_crashes(suspect), ..Entry::default() }
    }

    fn crashes(&self) -> u16 {
        self.published.max(self.crashes.len().try_into().unwrap_or(u16::MAX))
    }

    fn is_suspected(&self) -> bool {
        self.crashes() >= self.threshold || self.failed_trials > 0
    }

    fn update(&mut self, now: Duration, failed_trials: u16) {
        if self.is_suspected() && self.suspected_at.is_none() {
            self.suspected_at = Some(now);
        }
        if failed_trials > self.failed_trials {
            self.failed_trials = failed_trials;
            let last = TRIAL_DELAYS_S.len() - 1;
            let step = usize::from(failed_trials - 1).min(last);
            self.trial_due = now + Duration::from_secs(TRIAL_DELAYS_S[step]);
            self.trial = None;
        }
    }
}

/// How requests with a suspect are handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Hold {
    /// They are sent.
    Free,
    /// One may be sent as a trial.
    Trial,
    /// None is sent before this time.
    Until(Duration),
}

/// The leader's decision on a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Grant {
    Granted,
    /// Another trial is under way, or the next one is not due.
    NotYet,
    /// The suspect is unknown, so it needs none.
    Cleared,
}

/// The suspects, by what requests have in common.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    entries: BTreeMap<Suspect, Entry>,
}

impl Suspects {
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn contains(&self, suspect: &Suspect) -> bool {
        self.entries.contains_key(suspect)
    }

    /// Whether as many crashes count against a suspect as it takes.
    pub(crate) fn is_suspected(&self, suspect: &Suspect) -> bool {
        self.entries.get(suspect).is_some_and(Entry::is_suspected)
    }

    /// Counts a crash against a suspect. Returns its record if that is new and the suspect's requests
    /// need trials.
    pub(crate) fn add_crash(
        &mut self,
        now: Duration,
        suspect: Suspect,
        crash: CrashId,
    ) -> Option<SuspectRecord> {
        self.make_room(suspect);
        let entry = self.entries.entry(suspect).or_insert_with(|| Entry::new(&suspect));
        if !entry.crashes.insert(crash) {
            return None;
        }
        entry.latest_crash = now;
        entry.update(now, entry.failed_trials);
        entry.is_suspected().then(|| record(suspect, entry))
    }

    /// Records that a trial of the suspects crashed its target. If they were tried together, only
    /// those with the most crashes are taken for the cause.
    pub(crate) fn fail_trials(
        &mut self,
        now: Duration,
        suspects: &[Suspect],
        crash: CrashId,
    ) -> Vec<SuspectRecord> {
        let crashes = |it: &Suspect| self.entries.get(it).map_or(0, Entry::crashes);
        let most = suspects.iter().map(crashes).max().unwrap_or(0);
        let blamed: Vec<Suspect> =
            suspects.iter().filter(|it| crashes(it) == most).copied().collect();
        let mut failed = Vec::new();
        for &suspect in suspects {
            let Some(entry) = self.entries.get_mut(&suspect) else { continue };
            entry.trial = None;
            if blamed.contains(&suspect) && entry.failed_by != Some(crash) {
                entry.failed_by = Some(crash);
                entry.update(now, entry.failed_trials.saturating_add(1));
                failed.push(record(suspect, entry));
            }
        }
        failed
    }

    /// Takes over what the leader or the log tells. Returns whether the suspect is new here or
    /// another trial failed.
    pub(crate) fn merge(&mut self, now: Duration, told: &SuspectRecord) -> bool {
        self.make_room(told.suspect);
        let entry = self.entries.entry(told.suspect).or_insert_with(|| Entry::new(&told.suspect));
        let before = (entry.suspected_at.is_some(), entry.failed_trials);
        if told.crashes > entry.crashes() || entry.published == 0 {
            entry.latest_crash = now;
        }
        entry.published = entry.published.max(told.crashes);
        entry.update(now, told.failed_trials);
        (entry.suspected_at.is_some(), entry.failed_trials) != before
    }

    /// Forgets a suspect. Returns whether it was known and needed trials.
    pub(crate) fn clear(&mut self, suspect: &Suspect) -> bool {
        self.entries.remove(suspect).is_some_and(|it| it.is_suspected())
    }

    /// Forgets the suspects for which `keep` is false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Suspect) -> bool) {
        self.entries.retain(|suspect, _| keep(suspect));
    }

    /// Returns how requests with a suspect are handled.
    pub(crate) fn hold(&self, now: Duration, suspect: &Suspect) -> Hold {
        let Some(entry) = self.entries.get(suspect) else { return Hold::Free };
        if is_route(suspect) {
            return Hold::Free;
        }
        if entry.failed_trials > 0 {
            return if now < entry.trial_due { Hold::Until(entry.trial_due) } else { Hold::Trial };
        }
        let clearing = if entry.threshold > 1 { CLEARING_TIME } else { Duration::ZERO };
        match entry.suspected_at {
            Some(at) if now >= at + clearing => Hold::Trial,
            _ => Hold::Free,
        }
    }

    /// The crashes that count against a suspect here, before its first failed trial.
    pub(crate) fn untried_crashes(&self, suspect: &Suspect) -> impl Iterator<Item = CrashId> {
        let entry = self.entries.get(suspect).filter(|it| it.failed_trials == 0);
        entry.into_iter().flat_map(|it| it.crashes.iter().copied())
    }

    /// Whether more than one crash or a failed trial counts against a suspect.
    pub(crate) fn is_corroborated(&self, suspect: &Suspect) -> bool {
        let entry = self.entries.get(suspect);
        entry.is_some_and(|it| it.crashes() >= TRIAL_CRASHES || it.failed_trials > 0)
    }

    /// Grants a host the trial of all the suspects together, if each may be tried.
    pub(crate) fn grant(&mut self, now: Duration, suspects: &[Suspect], host: HostId) -> Grant {
        let mut known = false;
        for suspect in suspects {
            let Some(entry) = self.entries.get(suspect) else { continue };
            known = true;
            let tried = entry.trial.filter(|(_, at)| now < *at + TRIAL_TIMEOUT);
            if tried.is_some_and(|(by, _)| by != host) || now < entry.trial_due {
                return Grant::NotYet;
            }
        }
        if !known {
            return Grant::Cleared;
        }
        for suspect in suspects {
            if let Some(entry) = self.entries.get_mut(suspect) {
                entry.trial = Some((host, now));
            }
        }
        Grant::Granted
    }

    /// Whether a host has been granted the trial of a suspect.
    pub(crate) fn is_tried_at(&self, suspect: &Suspect, host: HostId) -> bool {
        let trial = self.entries.get(suspect).and_then(|it| it.trial);
        trial.is_some_and(|(by, _)| by == host)
    }

    /// Ends a host's trial of a suspect that showed nothing.
    pub(crate) fn end_trial(&mut self, suspect: &Suspect, host: HostId) {
        if let Some(entry) = self.entries.get_mut(suspect)
            && entry.trial.is_some_and(|(by, _)| by == host)
        {
            entry.trial = None;
        }
    }

    /// The suspects whose requests need trials.
    pub(crate) fn records(&self) -> impl Iterator<Item = SuspectRecord> {
        let suspected = self.entries.iter().filter(|(_, entry)| entry.is_suspected());
        suspected.map(|(&suspect, entry)| record(suspect, entry))
    }

    /// Forgets suspects without a crash in the last [`CRASH_TTL`] and without a failed trial.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.entries.retain(|_, it| it.failed_trials > 0 || now < it.latest_crash + CRASH_TTL);
    }

    /// Forgets the least suspicious entry if the table is full: with the fewest failed trials, the
    /// fewest crashes, the oldest of these.
    fn make_room(&mut self, suspect: Suspect) {
        if self.entries.len() < MAX_SUSPECTS || self.contains(&suspect) {
            return;
        }
        let least = self
            .entries
            .iter()
            .min_by_key(|(_, it)| (it.failed_trials, it.crashes(), it.latest_crash))
            .map(|(&suspect, _)| suspect);
        if let Some(least) = least {
            self.entries.remove(&least);
        }
    }
}

pub(crate) fn is_route(suspect: &Suspect) -> bool {
    matches!(suspect, Suspect::Route(_))
}

fn record(suspect: Suspect, entry: &Entry) -> SuspectRecord {
    SuspectRecord { suspect, crashes: entry.crashes(), failed_trials: entry.failed_trials }
}
