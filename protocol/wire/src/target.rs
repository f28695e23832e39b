//! Targets as they describe themselves: registration, capacity and reports.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{DomainId, Fence, Incarnation};

/// What a target serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetKind {
    /// A model engine.
    Engine {
        /// The base model's name.
        model: String,
    },
    /// A plain service.
    Service {
        /// The service's name.
        service: String,
    },
}

/// The fixed capacity of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// The most adapters that the target holds at a time.
    pub adapters: u32,
    /// The most requests that the target runs at a time.
    pub requests: u32,
}

/// The registration of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// The name that the target chooses, unique in the system.
    pub name: String,
    /// The target's IP address and port, such as `127.0.9.1:9000`.
    pub addr: String,
    /// The target's failure domain.
    pub domain: DomainId,
    /// What the target serves.
    pub kind: TargetKind,
    /// The target's capacity.
    pub capacity: Capacity,
    /// Whether the target refuses orders with an outdated fencing number.
    pub fenced: bool,
}

/// The load of a target, as last reported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait inside the target.
    pub queued: u32,
}

/// A target's periodic report, of which the first one announces the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target's registration.
    pub info: TargetInfo,
    /// The incarnation of the target's process.
    pub incarnation: Incarnation,
    /// The number of the report within the incarnation.
    pub seq: u64,
    /// The highest fencing number the target had seen when it made the report.
    pub fence: Fence,
    /// The age of the report's content.
    pub age: Duration,
    /// The adapters on the target, as `model@adapter@version`.
    pub loaded: Vec<String>,
    /// The adapters in `loaded` that running requests use.
    pub busy: Vec<String>,
    /// The target's load.
    pub load: Load,
    /// Whether the target accepts no new work because it is shutting down.
    pub leaving: bool,
}
