//! The reports that targets send and the orders that they receive.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use wire::{Capacity, Load, TargetInfo, TargetKind, TargetReport};

/// What a target serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum KindBody {
    /// A model engine, with the name of its base model.
    Engine(String),
    /// A plain service, with its name.
    Service(String),
}

/// The capacity of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CapacityBody {
    /// The most adapters that the target holds at a time.
    pub adapters: u32,
    /// The most requests that the target runs at a time.
    pub requests: u32,
}

/// The load of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct LoadBody {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait inside the target.
    pub queued: u32,
}

/// A target's heartbeat, sent to any host at `POST /v1/targets` about once a second. The first
/// one registers the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReportBody {
    /// The target's name, unique in the system.
    pub name: String,
    /// Its IP address and port.
    pub addr: String,
    /// Its failure domain.
    pub domain: String,
    /// What it serves.
    pub kind: KindBody,
    /// Its capacity.
    pub capacity: CapacityBody,
    /// Whether the target refuses orders with an outdated fencing number.
    pub fenced: bool,
    /// The incarnation of its process; later ones are higher.
    pub incarnation: u64,
    /// The number of the report within the incarnation.
    pub seq: u64,
    /// The highest fencing number that the target had seen when it made the report.
    pub fence: u64,
    /// The age of the report's content, in milliseconds.
    pub age_ms: u64,
    /// The adapters on the target, as `model@adapter@version`.
    pub loaded: Vec<String>,
    /// The adapters in `loaded` that running requests use.
    pub busy: Vec<String>,
    /// Its load.
    pub load: LoadBody,
    /// Whether the target accepts no new work because it is shutting down.
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

/// The response to a [`ReportBody`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReportReply {
    /// The owner's entry address, to which the target sends further reports; none while unknown.
    pub report_to: Option<String>,
    /// The owner's fencing number, which the target includes in further reports.
    pub fence: u64,
}

/// An order to a target, sent to `POST /v1/orders`. The target responds once the order is done:
/// 200 with [`OrderReply`], or 409 with [`Refusal`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct OrderBody {
    /// The sender's fencing number.
    pub fence: u64,
    /// The incarnation of the target that the order is for; any other refuses it.
    pub incarnation: u64,
    /// `load` or `evict`.
    pub action: String,
    /// The adapter, as `model@adapter@version`.
    pub adapter: String,
}

/// The response to an order that was carried out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct OrderReply {
    /// The adapters on the target after the order, as `model@adapter@version`.
    pub loaded: Vec<String>,
}

/// The response of a target that refuses before it runs anything, with status 409.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Refusal {
    /// `not_loaded`, `old_fence`, `other_incarnation`, `full`, `leaving` or `load_failed`.
    pub refused: String,
}
