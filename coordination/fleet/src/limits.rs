//! Request limits that targets name in their answers.

use std::time::Duration;

use wire::MilliRate;

use crate::{Event, Host, Reservation, io::Output};

/// Interval between log lines about the sends to targets with a limit.
const SENDS_LOG_INTERVAL: Duration = Duration::from_secs(2);

impl Host {
    /// Counts a request that is sent to its reserved target.
    pub fn record_send(&mut self, reservation: &Reservation) {
        if let Some(target) = self.targets.get_mut(&reservation.target) {
            target.sends += 1;
        }
    }

    /// Records the request limit that a target named in an answer; `None` if it named none.
    pub fn record_limit(
        &mut self,
        now: Duration,
        reservation: &Reservation,
        rate: Option<MilliRate>,
    ) -> Vec<Output> {
        let Some(target) = self.targets.get_mut(&reservation.target) else { return Vec::new() };
        if target.record.started_at != reservation.started_at || target.limit == rate {
            return Vec::new();
        }
        target.limit = rate;
        self.log(Event::Limit { target: reservation.target.clone(), milli_rate: rate });
        self.finish(now)
    }

    /// Logs this host's sends to each target with a limit, once per interval.
    pub(crate) fn log_limited_sends(&mut self, now: Duration) {
        if now < self.sends_logged + SENDS_LOG_INTERVAL {
            return;
        }
        self.sends_logged = now;
        let mut lines = Vec::new();
        for target in self.targets.iter_mut() {
            let sends = std::mem::take(&mut target.sends);
            let Some(milli_rate) = target.limit.filter(|_| sends > 0) else { continue };
            let target = target.record.id.clone();
            lines.push(Event::LimitedSends { target, milli_rate, sends });
        }
        for line in lines {
            self.log(line);
        }
    }
}
