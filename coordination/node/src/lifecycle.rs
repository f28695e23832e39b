//! Shutdown of a host.

use std::time::Duration;

use wire::HostId;

use crate::{Node, Output, StateChange, effect::Effects};

/// State of the host's own process.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    pub(crate) ticks: u64,
    /// When the shutdown began.
    pub(crate) leaving_since: Option<Duration>,
    /// Time limit of a shutdown.
    pub(crate) drain: Duration,
    pub(crate) exited: bool,
    /// Hosts without a lease, from the last grant.
    pub(crate) suspects: Vec<HostId>,
}

impl Node {
    /// Starts the shutdown: refuses new requests, and announces that this host leaves, so that its
    /// targets move to other owners.
    pub(crate) fn shutdown(&self, now: Duration, fx: &mut Effects) {
        let mut lifecycle = self.lifecycle();
        if lifecycle.leaving_since.is_some() {
            return;
        }
        lifecycle.leaving_since = Some(now);
        drop(lifecycle);
        self.entry().stop_admitting();
        self.owner().leaving = true;
        fx.output(Output::StateChanged(StateChange::Leaving));
    }

    /// Exits once nothing is in progress and the targets have moved, or when the time limit is
    /// reached. Targets that no other host can take over are not waited for.
    pub(crate) fn try_exit(&self, now: Duration, fx: &mut Effects) {
        let (since, drain) = {
            let lifecycle = self.lifecycle();
            let Some(since) = lifecycle.leaving_since.filter(|_| !lifecycle.exited) else { return };
            (since, lifecycle.drain)
        };
        let requests = self.entry().len();
        let (attempts, owns) = {
            let owner = self.owner();
            (owner.attempts.len(), !owner.targets.is_empty())
        };
        let in_progress = requests + attempts;
        let expired = now >= since + drain;
        let no_handover =
            self.ctx(now).lease.is_none() || !self.with_directory(|dir| dir.has_successor(now));
        if !expired && (in_progress > 0 || (owns && !no_handover)) {
            return;
        }
        self.lifecycle().exited = true;
        fx.output(Output::Exit(in_progress as u32));
    }
}
