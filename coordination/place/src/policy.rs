//! Interface of the placement policy of an owner.

use std::time::Duration;

use admit::{QueueLimits, QueuedRequest};
use serde::{Deserialize, Serialize};
use wire::{AdapterId, DomainId, ErrorKind, LoadRequest, RequestId, TargetId, TargetKind};

use crate::owner::Owner;

/// An adapter that a target holds or is loading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// Id of the adapter.
    pub adapter: AdapterId,
    /// Number of requests that use it.
    pub users: u32,
    /// Whether it may be evicted: no request uses or may be using it, and no order for it is in
    /// progress.
    pub idle: bool,
    /// Whether requests that use it may start.
    pub ready: bool,
}

/// A target as seen by the policy. The owner sets the view again after each change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetView {
    /// Id of the target.
    pub id: TargetId,
    /// Failure domain of the target.
    pub domain: DomainId,
    /// Whether it is an engine or a service, and which one.
    pub kind: TargetKind,
    /// Maximum number of adapters it holds at once.
    pub slots: u32,
    /// Maximum number of requests it runs at once.
    pub batch: u32,
    /// Requests of this owner that run there.
    pub running: u32,
    /// Requests reported by the target beyond those of this owner.
    pub external: u32,
    /// Whether it accepts new requests and loads.
    pub open: bool,
    /// Whether a request runs there that must run alone.
    pub exclusive: bool,
    /// Adapters that it holds or is loading.
    pub resident: Vec<Resident>,
}

/// A decision that the owner must carry out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// Start a waiting request. It is no longer in the policy's queue.
    Start {
        /// The request to start.
        request: RequestId,
        /// The target to start it on.
        target: TargetId,
    },
    /// Refuse a waiting request. It is no longer in the policy's queue.
    Refuse {
        /// The request to refuse.
        request: RequestId,
        /// The reason for the refusal.
        kind: ErrorKind,
    },
}

/// A load of an adapter, with the eviction that makes room for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// The target that loads the adapter.
    pub target: TargetId,
    /// The adapter to load.
    pub adapter: AdapterId,
    /// The adapter to evict first; `None` if the target has a free slot.
    pub victim: Option<AdapterId>,
}

/// Settings of the policy.
#[derive(Debug, Clone, Copy)]
pub struct PolicySettings {
    /// Limits of the queue.
    pub bounds: QueueLimits,
    /// Weight of the time that requests are stalled by loads.
    pub stall: f64,
    /// Weight of batch fullness. Only the ratio of the two weights counts; if both are zero, they
    /// count as equal.
    pub batch: f64,
    /// Expected duration of a load.
    pub load: Duration,
    /// Seed of the random delays after failed loads.
    pub seed: u64,
}

/// Makes the decisions for the targets of one owner. Implementations read no clock: the current
/// time is passed in.
pub trait Policy: Send {
    /// Adds a target or replaces its view.
    fn set_target(&mut self, now: Duration, view: TargetView);

    /// Removes a target that is no longer owned.
    fn remove_target(&mut self, id: TargetId);

    /// Adds a request to the queue, or returns the reason for refusing it.
    fn enqueue(&mut self, now: Duration, waiting: QueuedRequest) -> Result<(), ErrorKind>;

    /// Removes a request from the queue. Returns whether it was there.
    fn cancel(&mut self, request: RequestId) -> bool;

    /// Records that a started request ended after running for `took`.
    fn finished(&mut self, now: Duration, target: TargetId, took: Duration);

    /// Returns the starts and refusals that are due now. The owner must set the views of the
    /// targets again once it has carried them out.
    fn decide(&mut self, now: Duration) -> Vec<Decision>;

    /// Returns the load requests to send to the planner, best first.
    fn load_requests(&mut self, now: Duration) -> Vec<LoadRequest>;

    /// Returns the order for a granted slot, or `None` if the load is no longer useful.
    fn order_load(&mut self, now: Duration, adapter: AdapterId) -> Option<LoadOrder>;

    /// Records the end of a load and whether it succeeded.
    fn loaded(&mut self, now: Duration, order: LoadOrder, ok: bool);

    /// Returns the number of waiting requests.
    fn queued(&self) -> usize;

    /// Returns the total time that requests have waited for missing adapters, in seconds.
    fn stall_seconds(&self) -> f64;
}

/// Creates the policy that hosts run.
pub fn owner_policy(settings: PolicySettings) -> Box<dyn Policy> {
    Box::new(Owner::new(settings))
}
