//! The replica of one host.

use std::time::Duration;

use crate::{Input, Output, Recovered, Settings, Status};

/// A voter's, learner's or observer's part of the group.
#[derive(Debug)]
pub struct Replica {
    _settings: Settings,
}

impl Replica {
    /// Starts a replica. Without a disk it observes: it receives the log and
    /// never votes. The outputs restore the recovered state.
    pub fn new(
        now: Duration,
        settings: Settings,
        disk: Option<Recovered>,
    ) -> (Replica, Vec<Output>) {
        let _ = (now, disk);
        (Replica { _settings: settings }, Vec::new())
    }

    /// Takes one step.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let _ = (now, input);
        todo!()
    }

    /// Returns the replica's state at a glance.
    pub fn status(&self) -> Status {
        todo!()
    }
}
