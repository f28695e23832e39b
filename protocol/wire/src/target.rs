//! What targets say of themselves.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{DomainId, Fence, Incarnation};

/// What a target serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetKind {
    /// A model engine with the named base model.
    Engine {
        /// The base model.
        model: String,
    },
    /// A plain service.
    Service {
        /// The service's name.
        service: String,
    },
}

/// The fixed limits of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Adapters it holds at once.
    pub adapters: u32,
    /// Requests it runs at once.
    pub requests: u32,
}

/// A target as registered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// The name the target gives itself, unique in the system.
    pub name: String,
    /// IP number and port, such as `127.0.9.1:9000`.
    pub addr: String,
    /// Its failure domain.
    pub domain: DomainId,
    /// What it serves.
    pub kind: TargetKind,
    /// Its limits.
    pub capacity: Capacity,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
}

/// A target's load, as it last reported it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the target.
    pub queued: u32,
}

/// A target's announcement, repeated as its report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target.
    pub info: TargetInfo,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Counts the reports of a run.
    pub seq: u64,
    /// The highest fencing number the target had seen when it made the report.
    pub fence: Fence,
    /// How old the report's content is.
    pub age: Duration,
    /// Adapters it holds, as `model@adapter@version`.
    pub loaded: Vec<String>,
    /// Held adapters that requests are using.
    pub busy: Vec<String>,
    /// Its load.
    pub load: Load,
    /// Whether the target wants no new work.
    pub leaving: bool,
}
