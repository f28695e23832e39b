//! Request limits that targets name in their answers, and their way to all hosts.
//!
//! A host that hears of a limit keeps it at once and reports it to the holder of the target's
//! failure domain, which publishes it to all hosts. A higher limit, or its end, counts only from an
//! answer to a request that had a place: such an answer is newer than what the holder knew when it
//! granted the place. While nothing is known of a target, a host has one request there at a time;
//! prompts need no such limit, as their prefill permits keep them apart until the first answer.

use std::time::Duration;

use wire::{FleetMsg, MilliRate, RequestLimit};

use crate::{Event, Host, Reservation, Target, io::Output};

/// Interval between log lines about the sends to targets with a limit.
const SENDS_LOG_INTERVAL: Duration = Duration::from_secs(2);

impl Host {
    /// Whether a request may still be sent to its reserved target: the target has no limit, or the
    /// reservation has a place that has not expired.
    pub fn may_send(&self, now: Duration, reservation: &Reservation) -> bool {
        let Some(target) = self.targets.get(&reservation.target) else { return true };
        !target.limit.is_limited() || reservation.place.is_some_and(|it| it.is_valid(now))
    }

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
        let Some(target) = self.targets.get_mut(&reservation.target) else { return Vec::new() };
        if target.record.started_at != reservation.started_at {
            return Vec::new();
        }
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

    fn log_limit(&mut self, target: &str, before: RequestLimit) {
        let Some(view) = self.targets.get(target).map(|it| &it.limit) else { return };
        let milli_rate = match (before, view.limit) {
            (_, RequestLimit::Rate(rate)) => Some(rate),
            (RequestLimit::Rate(_), _) => None,
            _ => return,
        };
        self.log(Event::Limit { target: target.to_owned(), milli_rate });
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
            let RequestLimit::Rate(milli_rate) = limit.limit else { continue };
            if sends > 0 {
                lines.push(Event::LimitedSends { target: record.id.clone(), milli_rate, sends });
            }
        }
        for line in lines {
            self.log(line);
        }
    }
}
