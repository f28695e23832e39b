//! Shutdown of a host.

use std::time::Duration;

use lease::{LiveHost, Target};
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
        self.publisher().stop_admitting();
        self.owner().leaving = true;
        self.leases().renew_now();
        fx.output(Output::StateChanged(StateChange::Leaving));
    }

    /// Exits once nothing is in progress and the targets have their next owners, or when the time
    /// limit is reached. Targets that no other host can take over are not waited for.
    pub(crate) fn try_exit(&self, now: Duration, fx: &mut Effects) {
        let (since, drain) = {
            let lifecycle = self.lifecycle();
            let Some(since) = lifecycle.leaving_since.filter(|_| !lifecycle.exited) else { return };
            (since, lifecycle.drain)
        };
        let requests = self.entry().len();
        let attempts = self.owner().attempts.len();
        let publishes = self.publisher().len();
        let in_progress = requests + attempts + publishes;
        let expired = now >= since + drain;
        if !expired && (in_progress > 0 || self.awaits_handover(now)) {
            return;
        }
        self.entry().end_all(fx);
        self.publisher().finish_all(fx);
        self.lifecycle().exited = true;
        fx.output(Output::Exit(in_progress as u32));
    }

    /// Returns whether a target of this host has no next owner yet and may get one.
    fn awaits_handover(&self, now: Duration) -> bool {
        let ctx = self.ctx(now);
        if ctx.lease.is_none() || !self.with_directory(|dir| dir.has_successor(now)) {
            return false;
        }
        let live = self.leases().live_hosts(now);
        ctx.view.registry.targets().any(|target| !self.is_handed_over(target, &live))
    }

    /// Returns whether a target needs nothing more of this host: another one owns it. The commit may
    /// need this host's vote until then. `live` are the hosts with a lease if this host leads, and
    /// have to know of the change, since a later leader may not get a quorum to commit it.
    fn is_handed_over(&self, target: &Target, live: &[LiveHost]) -> bool {
        let own = Some((self.host(), self.incarnation()));
        if target.owner == own {
            return false;
        }
        if target.previous_owner != own {
            return true;
        }
        let is_known = |host: &LiveHost| host.host == self.host() || host.applied >= target.fence;
        target.owner.is_some() && live.iter().all(is_known)
    }
}
