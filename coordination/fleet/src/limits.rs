//! Request limits that targets name in their answers, and their way to all hosts.
//!
//! A brittle target names how many requests it may turn away in a second. The holder of its failure
//! domain estimates how many it takes at once: fewer with each that it turns away, more while there is
//! none. If it turns one away while requests there need no places, all hosts are told at once.
//!
//! A host that hears of a limit keeps it at once and reports it to the holder of the target's
//! failure domain, which publishes it to all hosts. A higher limit, or its end, counts only from an
//! answer to a request that had a place: such an answer is newer than what the holder knew when it
//! granted the place. While nothing is known of a target, a host has one request there at a time;
//! prompts need no such limit, as their prefill permits keep them apart until the first answer.

use std::time::Duration;

use wire::{FleetMsg, MilliRate, RequestLimit};

use crate::{Event, Host, Reservation, Target, io::Output, row_limits::BrittleReport};

/// Interval between log lines about the sends to targets with a limit.
const SENDS_LOG_INTERVAL: Duration = Duration::from_secs(2);

impl Host {
    /// Counts a request that is sent to its reserved target.
    pub fn record_send(&mut self, reservation: &Reservation) {
        if let Some(target) = self.targets.get_mut(&reservation.target) {
            target.limit.count_send();
        }
    }

    /// Records the request limit that a target named in an answer; `None` if it named none.
    pub fn record_limit(
        &mut self,
        now: Duration,
        reservation: &Reservation,
        milli_rate: Option<MilliRate>,
    ) -> Vec<Output> {
        let process = self.targets.process_mut(&reservation.target, reservation.started_at);
        let Some(target) = process else { return Vec::new() };
        let limit = milli_rate.map_or(RequestLimit::Unlimited, RequestLimit::Rate);
        let before = target.limit.limit;
        let report = target.limit.hear(now, limit);
        if before != target.limit.limit {
            self.log_limit(&reservation.target, before);
            self.out.push(Output::RetryWaiting);
        }
        if report {
            let change = reservation.place.map(|it| it.change);
            self.report_limit(now, &reservation.target, limit, change);
        }
        if self.out.is_empty() { Vec::new() } else { self.finish(now) }
    }

    /// Records whether a target said in an answer that it falls over once it has turned more than so
    /// many requests away in a second, and whether this answer turned one away.
    pub fn record_brittle(
        &mut self,
        now: Duration,
        reservation: &Reservation,
        brittle: Option<u32>,
        turned_away: bool,
    ) -> Vec<Output> {
        let process = self.targets.process_mut(&reservation.target, reservation.started_at);
        let Some(target) = process else { return Vec::new() };
        target.limit.hear_brittle(brittle);
        let Some(refusals) = brittle else { return Vec::new() };
        let was_limited = target.limit.is_limited();
        if was_limited && !turned_away {
            return Vec::new();
        }
        let load = target.load();
        let domain = target.record.domain.clone();
        let (target, started_at) = (reservation.target.clone(), reservation.started_at);
        self.handle_brittle(
            now,
            &target,
            started_at,
            BrittleReport { refusals, turned_away, load },
        );
        let msg = FleetMsg::Brittle { target, started_at, refusals, turned_away, load };
        if turned_away && !was_limited {
            for host in self.hosts.others() {
                self.send(host, msg.clone());
            }
        } else if let Some(holder) = self.holder(&domain) {
            self.send(holder, msg);
        }
        self.finish(now)
    }

    /// Handles the news that a target is brittle, from an answer to this host or another one.
    pub(crate) fn handle_brittle(
        &mut self,
        now: Duration,
        id: &str,
        started_at: u64,
        report: BrittleReport,
    ) {
        let Some(target) = self.targets.process_mut(id, started_at) else { return };
        let before = target.limit.limit;
        if target.limit.guard(report.at_once()) {
            self.log_limit(id, before);
        }
        for held in self.held_domains.values_mut() {
            held.placement.record_brittle(now, id, started_at, report);
        }
    }

    fn log_limit(&mut self, target: &str, before: RequestLimit) {
        let Some(view) = self.targets.get(target).map(|it| &it.limit) else { return };
        if !view.limit.needs_places() && !before.needs_places() {
            return;
        }
        let milli_rate = view.limit.rate();
        let at_once = match view.limit {
            RequestLimit::AtOnce(count) => Some(count),
            _ => None,
        };
        self.log(Event::Limit { target: target.to_owned(), milli_rate, at_once });
    }

    fn report_limit(
        &mut self,
        now: Duration,
        target: &str,
        limit: RequestLimit,
        change: Option<u64>,
    ) {
        let Some(record) = self.targets.get(target).map(|it| &it.record) else { return };
        let (domain, started_at) = (record.domain.clone(), record.started_at);
        if self.held_domains.contains_key(&domain) {
            self.handle_limit_named(now, target, started_at, limit, change);
        } else if let Some(holder) = self.holder(&domain) {
            let target = target.to_owned();
            self.send(holder, FleetMsg::LimitNamed { target, started_at, limit, change });
        }
    }

    /// Handles a host's report of a limit, if this host holds the target's failure domain.
    pub(crate) fn handle_limit_named(
        &mut self,
        now: Duration,
        target: &str,
        started_at: u64,
        limit: RequestLimit,
        change: Option<u64>,
    ) {
        for held in self.held_domains.values_mut() {
            let in_force = held.placement.limit_in_force(target, held.fence);
            let is_newer = change.is_some() && change == in_force.map(|it| it.change);
            held.placement.record_limit(now, target, started_at, limit, is_newer);
        }
    }

    /// Takes over a limit that a holder published.
    pub(crate) fn limit_published(&mut self, now: Duration, target: &str, limit: RequestLimit) {
        let Some(known) = self.targets.get_mut(target) else { return };
        let before = known.limit.limit;
        known.limit.publish(now, limit);
        if before != known.limit.limit {
            self.log_limit(target, before);
            self.out.push(Output::RetryWaiting);
        }
    }

    /// Reports the limits that the holders of the targets have not published, also after a change of
    /// the holder, and logs the sends to targets with a limit.
    pub(crate) fn tick_limits(&mut self, now: Duration) {
        let mut due = Vec::new();
        for target in self.targets.iter_mut() {
            if let Some(limit) = target.limit.unpublished(now) {
                due.push((target.record.id.clone(), limit));
            }
        }
        for (target, limit) in due {
            self.report_limit(now, &target, limit, None);
        }
        self.give_back_places(now);
        self.log_limited_sends(now);
    }

    fn log_limited_sends(&mut self, now: Duration) {
        if now < self.sends_logged + SENDS_LOG_INTERVAL {
            return;
        }
        self.sends_logged = now;
        let mut lines = Vec::new();
        for Target { record, limit, .. } in self.targets.iter_mut() {
            let sends = limit.take_sends();
            let Some(milli_rate) = limit.limit.rate() else { continue };
            if sends > 0 {
                lines.push(Event::LimitedSends { target: record.id.clone(), milli_rate, sends });
            }
        }
        for line in lines {
            self.log(line);
        }
    }
}
