//! The end of a host's process, after it was told to end.

use std::time::Duration;

use crate::{Event, Host};

/// How long callers are still accepted: the entry addresses that the directory gave them stay valid for
/// up to 2 s, and 0.5 s are added.
const LISTEN_TIME: Duration = Duration::from_millis(2500);
/// The process exits this long before the grace period is over and it is killed.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// When the parts of a host's work end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// Callers' connections are accepted until then.
    pub listen_until: Duration,
    /// The process ends then at the latest.
    pub ends_at: Duration,
}

impl Shutdown {
    /// Returns the times of a process that was told to end now, and is killed after `grace`.
    fn begin(now: Duration, grace: Duration) -> Shutdown {
        let span = grace.saturating_sub(KILL_MARGIN);
        Shutdown { listen_until: now + LISTEN_TIME.min(span), ends_at: now + span }
    }
}

impl Host {
    /// Returns when the parts of this host's work end; `None` unless it was told to end.
    pub fn shutdown(&self) -> Option<Shutdown> {
        self.shutdown
    }

    /// Returns the time that the process has left; `None` unless it was told to end.
    pub fn time_to_end(&self, now: Duration) -> Option<Duration> {
        self.shutdown.map(|it| it.ends_at.saturating_sub(now))
    }

    pub(crate) fn begin_shutdown(&mut self, now: Duration) {
        let shutdown = Shutdown::begin(now, self.settings.bounds.shutdown_grace);
        self.shutdown = Some(shutdown);
        let ends_in_ms = shutdown.ends_at.saturating_sub(now).as_millis() as u64;
        self.log(Event::Stopping { ends_in_ms });
    }
}
