//! The host.

use std::time::Duration;

use api::{AuditPage, StatusBody};
use decl::Settings;
use wire::{Fence, HostId};

use crate::{Input, Output, Start};

/// One host of the system.
#[derive(Debug)]
pub struct Node {
    _settings: Settings,
}

impl Node {
    /// Starts a host.
    pub fn new(now: Duration, settings: Settings, start: Start) -> (Node, Vec<Output>) {
        let _ = (now, start);
        (Node { _settings: settings }, Vec::new())
    }

    /// Takes one step. Several threads may call it side by side.
    pub fn handle(&self, now: Duration, input: Input) -> Vec<Output> {
        let _ = (now, input);
        todo!()
    }

    /// Returns the entry hosts that a caller of `model` should use, best first.
    pub fn entries(&self, now: Duration, model: Option<&str>) -> Vec<HostId> {
        let _ = (now, model);
        todo!()
    }

    /// Returns the host that a target should report to and its fencing number.
    pub fn report_to(&self, target: &str) -> Option<(HostId, Fence)> {
        let _ = target;
        todo!()
    }

    /// Returns the state of the system as this host sees it.
    pub fn status(&self, now: Duration) -> StatusBody {
        let _ = now;
        todo!()
    }

    /// Returns at most `limit` audit entries from a sequence on.
    pub fn audit(&self, from: u64, limit: usize) -> AuditPage {
        let _ = (from, limit);
        todo!()
    }
}
