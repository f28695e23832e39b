//! Reports of crashes that this host saw: they are repeated until a leader has counted them, and sent
//! to later leaders too.

use std::time::Duration;

use wire::{CrashId, FleetMsg, HostId, Suspect};

use crate::{Host, io::Output, quarantine::SOUND_TTL, stable_hash, suspects::is_route};

/// Time after which a report without an acknowledgement is sent again.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Number of reports to the leader without an acknowledgement after which one goes to all hosts.
const LEADER_REPORTS: u32 = 2;
/// Maximum number of crashes that this host reports to later leaders.
const MAX_REPORTS: usize = 256;

/// A target's crash that this host saw, and the requests that it lost there before their answers
/// began.
#[derive(Debug, Clone, Default)]
pub struct SeenCrash {
    /// Name of the target.
    pub target: String,
    /// Start time of the target's process, in milliseconds since the epoch.
    pub started_at: u64,
    /// What the lost requests had in them.
    pub suspects: Vec<Suspect>,
    /// Those of the suspects that were on trial, and the routes of the requests that were.
    pub trials: Vec<Suspect>,
    /// The request and what it names, if this host lost no other one.
    pub alone: Vec<Suspect>,
}

/// A crash that this host reports.
#[derive(Debug)]
pub(crate) struct CrashReport {
    crash: CrashId,
    alone: Vec<Suspect>,
    pub(crate) suspects: Vec<Suspect>,
    pub(crate) trials: Vec<Suspect>,
    pub(crate) at: Duration,
    sent: Duration,
    /// Number of times that it was sent to the present leader.
    sends: u32,
    /// Whether the present leader has counted it.
    acknowledged: bool,
    /// Whether any leader has.
    counted: bool,
}

impl Host {
    /// Reports that a target crashed.
    pub fn report_crash(&mut self, now: Duration, seen: SeenCrash) -> Vec<Output> {
        let SeenCrash { target, started_at, mut suspects, trials, mut alone } = seen;
        let running = &mut self.quarantine.running;
        let mut granted = trials.clone();
        granted.retain(|it| running.remove(it).is_some());
        let sound = &self.quarantine.sound;
        suspects.retain(|it| sound.get(it).is_none_or(|at| now >= *at + SOUND_TTL));
        suspects.sort_unstable();
        suspects.dedup();
        if suspects.iter().all(is_route) {
            return Vec::new();
        }
        alone.retain(|it| suspects.contains(it));
        let crash = stable_hash(&(target, started_at));
        self.record_loss(now, self.settings.host, crash, alone.clone());
        let failed = if self.leader.is_some() { &granted } else { &trials };
        self.count_crash(now, crash, &suspects, &trials, failed);
        let reports = &mut self.quarantine.reports;
        if reports.len() >= MAX_REPORTS {
            reports.remove(0);
        }
        let sent = now.saturating_sub(REPORT_INTERVAL);
        let report = CrashReport {
            crash,
            alone,
            suspects,
            trials,
            at: now,
            sent,
            sends: 0,
            acknowledged: false,
            counted: false,
        };
        reports.push(report);
        self.send_reports(now);
        self.finish(now)
    }

    /// Sends the reports that no leader has acknowledged.
    pub(crate) fn send_reports(&mut self, now: Duration) {
        let own = self.settings.host;
        let leader = self.leader;
        let mut messages = Vec::new();
        for report in &mut self.quarantine.reports {
            if report.acknowledged || now < report.sent + REPORT_INTERVAL {
                continue;
            }
            if leader == Some(own) {
                report.acknowledged = true;
                report.counted = true;
                continue;
            }
            report.sent = now;
            report.sends += 1;
            let msg = FleetMsg::Crashed {
                crash: report.crash,
                suspects: report.suspects.clone(),
                trials: report.trials.clone(),
            };
            let is_unheard =
                report.sends == LEADER_REPORTS + 1 || (leader.is_none() && report.sends == 1);
            let to_all = is_unheard && !report.counted;
            if !report.alone.is_empty() {
                let (crash, suspects) = (report.crash, report.alone.clone());
                messages.push((FleetMsg::LostAlone { crash, suspects }, to_all));
            }
            messages.push((msg, to_all));
        }
        for (msg, to_all) in messages {
            let to = if to_all { self.hosts.others() } else { leader.into_iter().collect() };
            for host in to {
                self.send(host, msg.clone());
            }
        }
    }

    /// Sends what this host saw to a new leader, whose counts may lack it.
    pub(crate) fn leader_changed(&mut self) {
        for report in &mut self.quarantine.reports {
            report.acknowledged = false;
            report.sends = 0;
            report.sent = Duration::ZERO;
        }
        self.quarantine.asked.clear();
        self.quarantine.granted.clear();
    }

    pub(crate) fn handle_crash(
        &mut self,
        now: Duration,
        from: HostId,
        crash: CrashId,
        suspects: &[Suspect],
        trials: &[Suspect],
    ) {
        self.record_loss(now, from, crash, Vec::new());
        let mut failed = trials.to_vec();
        if self.leading.is_some() {
            failed.retain(|it| self.quarantine.suspects.is_tried_at(it, from));
        }
        self.count_crash(now, crash, suspects, trials, &failed);
        if self.leading.is_some() {
            self.send(from, FleetMsg::CrashCounted { crash });
        }
    }

    /// Records what a host lost with a target; `alone` is the request and what it names, if it lost one
    /// only.
    pub(crate) fn record_loss(
        &mut self,
        now: Duration,
        host: HostId,
        crash: CrashId,
        alone: Vec<Suspect>,
    ) {
        if self.leading.is_some() {
            self.quarantine.losses.add(now, crash, host, alone);
        }
    }

    pub(crate) fn crash_counted(&mut self, crash: CrashId) {
        for report in self.quarantine.reports.iter_mut().filter(|it| it.crash == crash) {
            report.acknowledged = true;
            report.counted = true;
            report.trials.retain(is_route);
        }
    }
}
