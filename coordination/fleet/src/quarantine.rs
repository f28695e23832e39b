//! Quarantine of requests that crash the targets that run them.
//!
//! A host that loses requests together with their target reports to the leader what they had in
//! them, the suspects. Each host keeps what it saw for a while and sends it to later leaders too.
//! The leader counts different targets for each suspect and publishes whole requests from the first
//! one on, what requests share from the second one on. From then on one request with such a suspect
//! is sent at a time, at one host: a trial, which the leader grants. A request that was lost alone
//! with its target was on trial there. Once several requests of one route, which have no prompt, have each
//! crashed a target on trial, each request of the route that is lost counts as tried, alone or not: it
//! is not sent to another target. A host that had an answer begin with a suspect shortly before
//! clears it. A request that runs without a crash clears its suspects everywhere; after a failed trial
//! requests with the suspect are refused until the next trial is due. The replicated log keeps
//! suspects with failed trials, so that they outlive all processes.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use desired::Command;
use replog::Input as LogInput;
use wire::{CrashId, FeedChange, FleetMsg, HostId, Suspect, SuspectRecord, encode};

use crate::{
    Event, Host,
    crash_reports::CrashReport,
    io::Output,
    losses::Losses,
    suspects::{CRASH_TTL, Grant, Hold, Suspects, TRIAL_CRASHES, TRIAL_TIMEOUT, is_route},
};

/// Time that a request with several suspects waits for others to clear all but one of them.
const JOINT_TRIAL_WAIT: Duration = Duration::from_millis(600);
/// Time after which a trial is asked for again.
const TRIAL_INTERVAL: Duration = Duration::from_millis(200);
/// How long a granted trial may wait for a request of this host; then it goes back to the leader.
const GRANT_TTL: Duration = Duration::from_millis(500);
/// Time after a request ran without a crash during which its contents are not suspected here.
pub(crate) const SOUND_TTL: Duration = Duration::from_secs(5);
/// Maximum number of contents whose last run without a crash is kept.
const MAX_SOUND: usize = 16_384;
/// Time between two proposals of what the log lacks.
const PROPOSE_INTERVAL: Duration = Duration::from_millis(500);

/// What this host knows of requests that crash targets.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    pub(crate) suspects: Suspects,
    pub(crate) reports: Vec<CrashReport>,
    pub(crate) losses: Losses,
    /// Trials that the leader granted and no request has taken yet.
    pub(crate) granted: BTreeMap<Suspect, Duration>,
    /// Trials under way at this host, and since when.
    pub(crate) running: BTreeMap<Suspect, Duration>,
    /// When trials were last asked for.
    pub(crate) asked: BTreeMap<Suspect, Duration>,
    /// When a request with these contents last ran without a crash.
    pub(crate) sound: HashMap<Suspect, Duration>,
    /// On the leader: suspects whose release has to be in the log.
    releases: BTreeSet<Suspect>,
    proposed: Duration,
}

/// Whether a request may be sent, as far as its contents are suspected of crashing targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Free,
    /// It may be sent once, as the trial of these suspects.
    Trial(Vec<Suspect>),
    /// It has to wait for a trial or for its suspects to be cleared.
    Wait,
    /// It is refused; the next trial is due after this time.
    Refused(Duration),
}

impl Quarantine {
    /// Forgets what was reported or granted for a suspect.
    fn forget(&mut self, suspect: &Suspect) {
        self.granted.remove(suspect);
        self.running.remove(suspect);
        self.asked.remove(suspect);
        for report in &mut self.reports {
            report.suspects.retain(|it| it != suspect);
            report.trials.retain(|it| it != suspect);
        }
    }

    /// Feed changes that contain all suspects whose requests need trials.
    pub(crate) fn changes(&self) -> impl Iterator<Item = FeedChange> {
        self.suspects.records().map(FeedChange::Suspected)
    }
}

impl Host {
    /// Decides whether a request with these contents, which has waited for `waited`, may be sent now.
    /// Asks for a trial if it needs one.
    pub fn admit(
        &mut self,
        now: Duration,
        contents: &[Suspect],
        waited: Duration,
    ) -> (Admission, Vec<Output>) {
        if self.quarantine.suspects.is_empty() {
            return (Admission::Free, Vec::new());
        }
        let mut tried = Vec::new();
        let mut due = None;
        for suspect in contents {
            match self.hold(now, suspect) {
                Hold::Free => {}
                Hold::Trial => tried.push(*suspect),
                Hold::Until(at) => due = due.max(Some(at)),
            }
        }
        if let Some(due) = due {
            return (Admission::Refused(due - now), Vec::new());
        }
        if tried.is_empty() {
            return (Admission::Free, Vec::new());
        }
        if tried.len() > 1 && waited < JOINT_TRIAL_WAIT {
            return (Admission::Wait, Vec::new());
        }
        let Quarantine { granted, running, .. } = &mut self.quarantine;
        if tried.iter().all(|it| granted.contains_key(it)) {
            for suspect in &tried {
                granted.remove(suspect);
                running.insert(*suspect, now);
            }
            return (Admission::Trial(tried), Vec::new());
        }
        running.retain(|_, at| now < *at + TRIAL_TIMEOUT);
        if tried.iter().any(|it| running.contains_key(it)) {
            return (Admission::Wait, Vec::new());
        }
        self.ask_for_trial(now, tried);
        (Admission::Wait, self.finish(now))
    }

    /// Whether any suspect is known.
    pub fn has_suspects(&self) -> bool {
        !self.quarantine.suspects.is_empty()
    }

    /// Whether a request with these contents must not be sent without a trial.
    pub fn needs_trial(&self, now: Duration, contents: &[Suspect]) -> bool {
        self.has_suspects() && contents.iter().any(|it| self.hold(now, it) != Hold::Free)
    }

    /// Returns how requests with a suspect are handled. Without a leader nobody grants trials, so that
    /// one crash alone holds nothing back.
    fn hold(&self, now: Duration, suspect: &Suspect) -> Hold {
        let suspects = &self.quarantine.suspects;
        match suspects.hold(now, suspect) {
            Hold::Trial if self.leader.is_none() && !suspects.is_corroborated(suspect) => {
                Hold::Free
            }
            hold => hold,
        }
    }

    fn ask_for_trial(&mut self, now: Duration, suspects: Vec<Suspect>) {
        let asked = &mut self.quarantine.asked;
        if suspects.iter().all(|it| asked.get(it).is_some_and(|at| now < *at + TRIAL_INTERVAL)) {
            return;
        }
        asked.extend(suspects.iter().map(|it| (*it, now)));
        let Some(leader) = self.leader else { return };
        if leader == self.settings.host {
            self.handle_trial_request(now, leader, &suspects);
        } else {
            self.send(leader, FleetMsg::TrialRequest { suspects });
        }
    }

    pub(crate) fn handle_trial_request(
        &mut self,
        now: Duration,
        from: HostId,
        suspects: &[Suspect],
    ) {
        if self.leading.is_none() || suspects.iter().any(|it| self.is_unjudged(it)) {
            return;
        }
        match self.quarantine.suspects.grant(now, suspects, from) {
            Grant::NotYet => {}
            Grant::Granted if from == self.settings.host => self.trial_granted(now, suspects),
            Grant::Granted => {
                self.send(from, FleetMsg::TrialGranted { suspects: suspects.to_vec() });
            }
            Grant::Cleared => {
                for &suspect in suspects {
                    self.publish(FeedChange::Cleared(suspect));
                }
            }
        }
    }

    /// Whether the hosts may still report what else was lost with the targets of a suspect.
    fn is_unjudged(&self, suspect: &Suspect) -> bool {
        let Quarantine { suspects, losses, .. } = &self.quarantine;
        suspects.untried_crashes(suspect).any(|it| losses.is_open(it, suspect))
    }

    /// Counts the requests that were lost alone with their targets as failed trials. What they name
    /// is tried so only if it was lost before: many requests may name it.
    fn judge_losses(&mut self, now: Duration) {
        for (crash, tried) in self.quarantine.losses.take_judged(now) {
            let is_request = |it: &Suspect| matches!(it, Suspect::Request(_));
            if tried.iter().any(is_request) {
                self.count_routes(now, crash, &tried);
            }
            for suspect in tried.into_iter().filter(|it| !is_route(it)) {
                if !is_request(&suspect) && !self.quarantine.suspects.is_corroborated(&suspect) {
                    continue;
                }
                let failed = self.quarantine.suspects.fail_trials(now, &[suspect], crash);
                self.publish_suspects(failed);
            }
        }
    }

    /// Counts a crash against the routes among what was tried.
    fn count_routes(&mut self, now: Duration, crash: CrashId, tried: &[Suspect]) {
        let table = &mut self.quarantine.suspects;
        let routes = tried.iter().copied().filter(is_route);
        let records = routes.filter_map(|it| table.add_crash(now, it, crash)).collect();
        self.publish_suspects(records);
    }

    /// Returns what counts as tried when a request with these contents is lost with its target, after
    /// a trial of `trial`: on a route that is a suspect, the whole request in any case.
    pub fn tried(&self, contents: &[Suspect], trial: Vec<Suspect>) -> Vec<Suspect> {
        let mut tried = trial;
        let Some(route) = contents.iter().find(|it| is_route(it)) else { return tried };
        if tried.is_empty() {
            if !self.quarantine.suspects.is_suspected(route) {
                return tried;
            }
            tried.extend(contents.iter().filter(|it| matches!(it, Suspect::Request(_))));
        }
        tried.push(*route);
        tried
    }

    pub(crate) fn trial_granted(&mut self, now: Duration, suspects: &[Suspect]) {
        let running = &self.quarantine.running;
        if suspects.iter().any(|it| running.contains_key(it)) {
            return;
        }
        for &suspect in suspects {
            self.quarantine.granted.insert(suspect, now);
            self.log(Event::Trial { suspect: suspect.to_string() });
        }
        self.out.push(Output::RetryWaiting);
    }

    /// Ends a trial that neither crashed its target nor ran without a crash.
    pub fn end_trial(&mut self, now: Duration, suspects: &[Suspect]) -> Vec<Output> {
        self.give_back(suspects);
        self.out.push(Output::RetryWaiting);
        self.finish(now)
    }

    fn give_back(&mut self, suspects: &[Suspect]) {
        for suspect in suspects {
            self.quarantine.running.remove(suspect);
        }
        match self.leader {
            Some(leader) if leader != self.settings.host => {
                self.send(leader, FleetMsg::TrialEnded { suspects: suspects.to_vec() });
            }
            _ => self.trial_ended(self.settings.host, suspects),
        }
    }

    pub(crate) fn trial_ended(&mut self, from: HostId, suspects: &[Suspect]) {
        for suspect in suspects {
            self.quarantine.suspects.end_trial(suspect, from);
        }
    }

    /// Counts a crash, and publishes the suspects that need trials if this host leads. Of what was tried,
    /// `failed` is refused from now on; the leader judges the rest once all hosts need a trial for it.
    pub(crate) fn count_crash(
        &mut self,
        now: Duration,
        crash: CrashId,
        suspects: &[Suspect],
        tried: &[Suspect],
        failed: &[Suspect],
    ) {
        let table = &mut self.quarantine.suspects;
        let mut records: Vec<SuspectRecord> = Vec::new();
        for &suspect in suspects.iter().filter(|it| !is_route(it)) {
            records.extend(table.add_crash(now, suspect, crash));
        }
        records.extend(table.fail_trials(now, failed, crash));
        let rest = tried.iter().filter(|it| !is_route(it) && !failed.contains(it));
        self.quarantine.losses.add_tried(crash, rest);
        self.publish_suspects(records);
        self.count_routes(now, crash, tried);
    }

    /// Publishes suspects if this host leads.
    fn publish_suspects(&mut self, records: Vec<SuspectRecord>) {
        for record in records {
            self.log_suspect(&record);
            self.quarantine.releases.remove(&record.suspect);
            self.publish(FeedChange::Suspected(record));
        }
    }

    fn publish(&mut self, change: FeedChange) {
        if let Some(leading) = &mut self.leading {
            leading.feed.push(change);
        }
    }

    fn log_suspect(&mut self, record: &SuspectRecord) {
        self.log(Event::Barred {
            suspect: record.suspect.to_string(),
            crashes: record.crashes,
            failed_trials: record.failed_trials,
        });
    }

    /// Takes over what the leader or the log tells of a suspect. A suspect with which an answer began
    /// here shortly before is cleared instead, unless a trial has failed.
    pub(crate) fn merge_suspect(&mut self, now: Duration, record: &SuspectRecord) {
        let sound_at = self.quarantine.sound.get(&record.suspect);
        let is_sound = sound_at.is_some_and(|at| now < *at + SOUND_TTL);
        if is_sound && record.failed_trials == 0 {
            return self.tell_sound(vec![record.suspect]);
        }
        if self.quarantine.suspects.merge(now, record) {
            self.log_suspect(record);
        }
    }

    /// Reports that a request with these contents ran without a crash.
    pub fn report_sound(&mut self, now: Duration, contents: &[Suspect]) -> Vec<Output> {
        let quarantine = &mut self.quarantine;
        if quarantine.sound.len() >= MAX_SOUND {
            quarantine.sound.retain(|_, at| now < *at + SOUND_TTL);
        }
        if quarantine.sound.len() < MAX_SOUND {
            let sound = contents.iter().filter(|it| !is_route(it));
            quarantine.sound.extend(sound.map(|it| (*it, now)));
        }
        if quarantine.suspects.is_empty() {
            return Vec::new();
        }
        let mut cleared = Vec::new();
        for suspect in contents.iter().filter(|it| !is_route(it)) {
            if self.quarantine.suspects.contains(suspect) {
                cleared.push(*suspect);
            }
        }
        if cleared.is_empty() {
            return Vec::new();
        }
        self.tell_sound(cleared);
        self.finish(now)
    }

    /// Clears suspects here, and tells the leader.
    fn tell_sound(&mut self, suspects: Vec<Suspect>) {
        for suspect in &suspects {
            self.clear_suspect(suspect);
        }
        match self.leader {
            Some(leader) if leader != self.settings.host => {
                self.send(leader, FleetMsg::Sound { suspects });
            }
            _ => self.publish_cleared(&suspects),
        }
    }

    /// Publishes that suspects are cleared, if this host leads.
    pub(crate) fn publish_cleared(&mut self, suspects: &[Suspect]) {
        if self.leading.is_none() {
            return;
        }
        for suspect in suspects {
            self.clear_suspect(suspect);
            self.publish(FeedChange::Cleared(*suspect));
            self.quarantine.releases.insert(*suspect);
        }
    }

    pub(crate) fn clear_suspect(&mut self, suspect: &Suspect) {
        self.quarantine.forget(suspect);
        if self.quarantine.suspects.clear(suspect) {
            self.log(Event::Cleared { suspect: suspect.to_string() });
            self.out.push(Output::RetryWaiting);
        }
    }

    /// Forgets the suspects that a full table of the leader lacks, but for those in the log and
    /// those that this host has reported.
    pub(crate) fn reset_suspects(&mut self, table: &[FeedChange]) {
        let mut kept: BTreeSet<Suspect> = self.desired.quarantined.keys().copied().collect();
        for change in table {
            if let FeedChange::Suspected(record) = change {
                kept.insert(record.suspect);
            }
        }
        let Quarantine { suspects, reports, .. } = &mut self.quarantine;
        let reported: BTreeSet<Suspect> =
            reports.iter().flat_map(|it| it.suspects.iter().copied()).collect();
        suspects.retain(|it| kept.contains(it) || reported.contains(it));
    }

    /// Takes over the suspects in the log.
    pub(crate) fn apply_quarantined(&mut self, now: Duration) {
        let quarantined = &self.desired.quarantined;
        let records: Vec<SuspectRecord> = quarantined
            .iter()
            .map(|(&suspect, it)| SuspectRecord {
                suspect,
                crashes: TRIAL_CRASHES,
                failed_trials: it.failed_trials,
            })
            .collect();
        for record in records {
            self.merge_suspect(now, &record);
        }
    }

    pub(crate) fn tick_quarantine(&mut self, now: Duration) {
        self.judge_losses(now);
        let quarantine = &mut self.quarantine;
        if quarantine.suspects.is_empty() && quarantine.reports.is_empty() {
            return;
        }
        quarantine.suspects.expire(now);
        let unused = |at: &Duration| now >= *at + GRANT_TTL;
        let expired: Vec<Suspect> = quarantine
            .granted
            .iter()
            .filter(|(_, at)| unused(at))
            .map(|(&suspect, _)| suspect)
            .collect();
        quarantine.granted.retain(|_, at| !unused(at));
        if !expired.is_empty() {
            self.give_back(&expired);
        }
        let quarantine = &mut self.quarantine;
        quarantine.reports.retain(|it| now < it.at + CRASH_TTL && !it.suspects.is_empty());
        self.send_reports(now);
        self.propose_quarantine(now);
    }

    /// Lets the log keep the suspects with failed trials, and drop those that were cleared.
    fn propose_quarantine(&mut self, now: Duration) {
        if self.leading.is_none() || now < self.quarantine.proposed + PROPOSE_INTERVAL {
            return;
        }
        let mut commands = Vec::new();
        for record in self.quarantine.suspects.records().filter(|it| it.failed_trials > 0) {
            let SuspectRecord { suspect, failed_trials, .. } = record;
            commands.push(Command::Quarantine { suspect, failed_trials });
        }
        let quarantined = &self.desired.quarantined;
        self.quarantine.releases.retain(|it| quarantined.contains_key(it));
        let releases = self.quarantine.releases.iter();
        commands.extend(releases.map(|&suspect| Command::Release { suspect }));
        commands.retain(|it| !self.desired.is_redundant(it));
        if commands.is_empty() {
            return;
        }
        self.quarantine.proposed = now;
        for command in commands {
            self.step_log(now, LogInput::Propose(encode(&command).into()));
        }
    }
}
