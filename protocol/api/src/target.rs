//! What targets announce and which orders they take.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use wire::{Capacity, Load, TargetInfo, TargetKind, TargetReport};

/// What a target serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum KindBody {
    /// A model engine with its base model.
    Engine(String),
    /// A plain service with its name.
    Service(String),
}

/// The limits of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CapacityBody {
    /// Adapters it holds at once.
    pub adapters: u32,
    /// Requests it runs at once.
    pub requests: u32,
}

/// A target's load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct LoadBody {
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the target.
    pub queued: u32,
}

/// A target's announcement and report, sent to any host at `POST /v1/targets`
/// about once a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReportBody {
    /// The target's name, unique in the system.
    pub name: String,
    /// Its IP number and port.
    pub addr: String,
    /// Its failure domain.
    pub domain: String,
    /// What it serves.
    pub kind: KindBody,
    /// Its limits.
    pub capacity: CapacityBody,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// The run of its process; later runs have higher numbers.
    pub incarnation: u64,
    /// Counts the reports of a run.
    pub seq: u64,
    /// The highest fencing number it had seen when it made the report.
    pub fence: u64,
    /// How old the report's content is, in milliseconds.
    pub age_ms: u64,
    /// Adapters it holds, as `model@adapter@version`.
    pub loaded: Vec<String>,
    /// Held adapters that requests are using.
    pub busy: Vec<String>,
    /// Its load.
    pub load: LoadBody,
    /// Whether it wants no new work.
    pub leaving: bool,
}

impl From<ReportBody> for TargetReport {
    fn from(body: ReportBody) -> TargetReport {
        let kind = match body.kind {
            KindBody::Engine(model) => TargetKind::Engine { model },
            KindBody::Service(service) => TargetKind::Service { service },
        };
        let capacity =
            Capacity { adapters: body.capacity.adapters, requests: body.capacity.requests };
        TargetReport {
            info: TargetInfo {
                name: body.name,
                addr: body.addr,
                domain: body.domain,
                kind,
                capacity,
                fenced: body.fenced,
            },
            incarnation: body.incarnation,
            seq: body.seq,
            fence: body.fence,
            age: Duration::from_millis(body.age_ms),
            loaded: body.loaded,
            busy: body.busy,
            load: Load { running: body.load.running, queued: body.load.queued },
            leaving: body.leaving,
        }
    }
}

/// Answers a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReportReply {
    /// Address to report to from now on: the owner's.
    pub report_to: Option<String>,
    /// The owner's fencing number, to be named in the reports made from now on.
    pub fence: u64,
}

/// An order to a target, sent at `POST /v1/orders`. The answer comes when the
/// order is done: 200 with [`OrderReply`], or a [`Refusal`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct OrderBody {
    /// The sender's fencing number.
    pub fence: u64,
    /// The run of the target the order is for; another run refuses it.
    pub incarnation: u64,
    /// `load` or `evict`.
    pub action: String,
    /// The adapter, as `model@adapter@version`.
    pub adapter: String,
}

/// Confirms an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct OrderReply {
    /// Adapters held after the order.
    pub loaded: Vec<String>,
}

/// A target's refusal before running anything, with status 409.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Refusal {
    /// `not_loaded`, `old_fence`, `other_incarnation`, `full`, `leaving` or `load_failed`.
    pub refused: String,
}
