//! What targets say of themselves in their answers, beside request limits: that they leave, and that
//! they want nothing from this host for a while.
//!
//! Both hold for the process that said so, whatever its heartbeats say, until it has ended or the time
//! is over. All hosts are told that a target leaves; a pause concerns the host that was asked for it.

use std::time::Duration;

use wire::{FleetMsg, HostId, TargetRecord, TargetState};

use crate::{Event, Host, Reservation, io::Output, targets::Pause};

/// Maximum time for which a target gets nothing because it asked for that.
pub(crate) const MAX_PAUSE: Duration = Duration::from_secs(600);

impl Host {
    /// Whether a request may still be sent to its reserved target: the target neither leaves nor has
    /// asked this host for a pause, and has no limit, or the reservation has a place that has not
    /// expired.
    pub fn may_send(&self, now: Duration, reservation: &Reservation) -> bool {
        if self.targets.is_ending(&reservation.target, reservation.started_at) {
            return false;
        }
        let Some(target) = self.targets.get(&reservation.target) else { return true };
        let has_place = reservation.place.is_some_and(|it| it.is_valid(now));
        !target.is_paused(now) && (has_place || !target.limit.is_limited())
    }

    /// Records that a target said in an answer to the attempt `id` that it leaves, and tells all hosts.
    pub fn record_leaving(
        &mut self,
        now: Duration,
        reservation: &Reservation,
        id: &str,
    ) -> Vec<Output> {
        // It may have been dropped as silent meanwhile, and come back.
        let last = self.targets.last_record(&reservation.target);
        let is_new = |it: &&TargetRecord| {
            it.started_at == reservation.started_at && it.state == TargetState::Ready
        };
        let Some(last) = last.filter(is_new) else { return Vec::new() };
        let record = TargetRecord { state: TargetState::Leaving, ..last.clone() };
        self.log(Event::LeavesByAnswer { target: record.id.clone(), id: id.to_owned() });
        self.broadcast_seen(now, &record);
        self.update_target(now, &record);
        self.finish(now)
    }

    /// Records that a target asked this host in an answer to the attempt `id` for no request during the
    /// next `span`. If another host passed the request on, the target asked that one: it is told.
    pub fn record_pause(
        &mut self,
        now: Duration,
        reservation: &Reservation,
        id: &str,
        span: Duration,
        relay: Option<HostId>,
    ) -> Vec<Output> {
        let (target, started_at) = (&reservation.target, reservation.started_at);
        if let Some(relay) = relay {
            let (target, id) = (target.clone(), id.to_owned());
            let span_ms = span.min(MAX_PAUSE).as_millis() as u64;
            self.send(relay, FleetMsg::PauseAsked { target, started_at, id, span_ms });
        }
        self.pause_target(now, target, started_at, id, span);
        self.finish(now)
    }

    /// Sends nothing to a process of a target for `span`. Of several such times the one that ends last
    /// counts.
    pub(crate) fn pause_target(
        &mut self,
        now: Duration,
        name: &str,
        started_at: u64,
        id: &str,
        span: Duration,
    ) {
        let until = now + span.min(MAX_PAUSE);
        let Some(target) = self.targets.process_mut(name, started_at) else { return };
        if let Some(pause) = &mut target.pause {
            pause.until = pause.until.max(until);
        } else {
            target.pause = Some(Pause { since: now, until, id: id.to_owned() });
            let span_ms = (until - now).as_millis() as u64;
            self.log(Event::Paused { target: name.to_owned(), id: id.to_owned(), span_ms });
        }
    }

    /// Ends the pauses whose time is over.
    pub(crate) fn tick_pauses(&mut self, now: Duration) {
        let mut ended = Vec::new();
        for target in self.targets.iter_mut() {
            if let Some(pause) = target.pause.take_if(|it| now >= it.until) {
                ended.push((target.record.id.clone(), pause));
            }
        }
        for (target, pause) in ended {
            let age_ms = now.saturating_sub(pause.since).as_millis() as u64;
            self.log(Event::PauseEnded { target, id: pause.id, age_ms });
            self.out.push(Output::RetryWaiting);
        }
    }
}
