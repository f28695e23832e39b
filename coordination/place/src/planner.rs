//! The planner of one weight store, on the leader.

use std::time::Duration;

use wire::{HostId, SlotDone, SlotGrant, Want};

/// Parameters of the planner.
#[derive(Debug, Clone, Copy)]
pub struct PlannerSettings {
    /// Loads the store allows per second.
    pub rate: f64,
    /// Loads in flight at most.
    pub loads: usize,
    /// How long an owner has to finish a load.
    pub term: Duration,
}

/// Grants load slots to owners. Never exceeds the store's rate or the number in
/// flight, also after a change of leader.
#[derive(Debug)]
pub struct StorePlanner {
    _settings: PlannerSettings,
}

impl StorePlanner {
    /// Starts to plan. Slots of the leader before may be in use for a term.
    pub fn new(now: Duration, settings: PlannerSettings, founding: bool) -> StorePlanner {
        let _ = (now, founding);
        StorePlanner { _settings: settings }
    }

    /// Replaces the wants of a host.
    pub fn wants(&mut self, now: Duration, host: HostId, wants: Vec<Want>) {
        let _ = (now, host, wants);
        todo!()
    }

    /// Notes the end of a granted load.
    pub fn done(&mut self, now: Duration, host: HostId, done: SlotDone) {
        let _ = (now, host, done);
        todo!()
    }

    /// Forgets the wants of a host without a lease. Its slots stay taken until
    /// their term ends.
    pub fn remove_host(&mut self, host: HostId) {
        let _ = host;
        todo!()
    }

    /// Grants what can be granted now.
    pub fn grant(&mut self, now: Duration) -> Vec<(HostId, SlotGrant)> {
        let _ = now;
        todo!()
    }
}
