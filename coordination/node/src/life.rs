//! How a host ends.

use std::time::Duration;

use wire::HostId;

use crate::{Change, Node, Output, effect::Effects};

/// The host's own life.
#[derive(Debug, Default)]
pub(crate) struct Life {
    pub(crate) ticks: u64,
    /// When a shutdown began.
    pub(crate) leaving: Option<Duration>,
    pub(crate) drain: Duration,
    pub(crate) exited: bool,
    /// Hosts without a lease, from the last grant.
    pub(crate) suspect: Vec<HostId>,
}

impl Node {
    /// Admits nothing from now on and gives its targets up.
    pub(crate) fn shutdown(&self, now: Duration, fx: &mut Effects) {
        let mut life = self.life();
        if life.leaving.is_some() {
            return;
        }
        life.leaving = Some(now);
        drop(life);
        self.entry().leave();
        self.owner().leaving = true;
        fx.out(Output::Changed(Change::Leaving));
    }

    /// Ends once nothing is in progress and the targets are given up, or when
    /// the limit is reached.
    pub(crate) fn try_exit(&self, now: Duration, fx: &mut Effects) {
        let (since, drain) = {
            let life = self.life();
            let Some(since) = life.leaving.filter(|_| !life.exited) else { return };
            (since, life.drain)
        };
        let requests = self.entry().len();
        let (attempts, owns) = {
            let owner = self.owner();
            (owner.attempts.len(), !owner.targets.is_empty())
        };
        let open = requests + attempts;
        let limit = now >= since + drain;
        let alone =
            self.ctx(now).lease.is_none() || !self.with_directory(|dir| dir.has_successor(now));
        if !limit && (open > 0 || (owns && !alone)) {
            return;
        }
        self.life().exited = true;
        fx.out(Output::Exit(open as u32));
    }
}
