//! The owner's policy.

use std::time::Duration;

use admit::{Bounds, Waiting};
use serde::{Deserialize, Serialize};
use wire::{AdapterId, DomainId, ErrorKind, RequestId, TargetId, TargetKind, Want};

use crate::owner::Owner;

/// An adapter on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The adapter.
    pub adapter: AdapterId,
    /// Requests that use it.
    pub users: u32,
    /// Whether it may be evicted: nothing uses it, nothing may be using it, and
    /// no order for it is under way.
    pub idle: bool,
    /// Whether requests may start on it.
    pub ready: bool,
}

/// A target as the policy sees it. The owner sets it anew after each change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetView {
    /// The target.
    pub id: TargetId,
    /// Its failure domain.
    pub domain: DomainId,
    /// What it serves.
    pub kind: TargetKind,
    /// Adapters it holds at once.
    pub slots: u32,
    /// Requests it runs at once.
    pub batch: u32,
    /// Requests that the owner has running there.
    pub running: u32,
    /// Requests the target reported beyond those of the owner.
    pub foreign: u32,
    /// Whether new work may go there.
    pub open: bool,
    /// Whether a request runs there alone.
    pub alone: bool,
    /// Adapters it holds or is loading.
    pub resident: Vec<Resident>,
}

/// What the owner should do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// Start a waiting request. The policy has taken it out of its queue.
    Start {
        /// The request.
        request: RequestId,
        /// The target.
        target: TargetId,
    },
    /// Refuse a waiting request. The policy has taken it out of its queue.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        kind: ErrorKind,
    },
}

/// A load with the adapter that makes room for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// The target.
    pub target: TargetId,
    /// The adapter to load.
    pub adapter: AdapterId,
    /// The adapter to evict first, if the target is full.
    pub victim: Option<AdapterId>,
}

/// Parameters of the policy.
#[derive(Debug, Clone, Copy)]
pub struct PolicySettings {
    /// Bounds of the queue.
    pub bounds: Bounds,
    /// Weight of load stalls.
    pub stall: f64,
    /// Weight of batch fullness. Only the ratio of the weights counts; both zero
    /// stand for equal weights.
    pub batch: f64,
    /// Expected time of a load.
    pub load: Duration,
    /// Seed of tie breaks.
    pub seed: u64,
}

/// Decides for the targets of one owner. Pure: the present time is given.
pub trait Policy: Send {
    /// Sets a target.
    fn set_target(&mut self, now: Duration, view: TargetView);

    /// Removes a target that is no longer owned.
    fn remove_target(&mut self, id: TargetId);

    /// Takes a request into the queue, or says why not.
    fn enqueue(&mut self, now: Duration, waiting: Waiting) -> Result<(), ErrorKind>;

    /// Takes a request out of the queue. Returns whether it was there.
    fn cancel(&mut self, request: RequestId) -> bool;

    /// Notes that a started request ended after `took`.
    fn finished(&mut self, now: Duration, target: TargetId, took: Duration);

    /// Returns what can be done now. The views are not changed by it: the owner
    /// sets them anew.
    fn decide(&mut self, now: Duration) -> Vec<Decision>;

    /// Returns the loads worth a slot, best first.
    fn wants(&mut self, now: Duration) -> Vec<Want>;

    /// Turns a granted slot into an order, or nothing if the load is of no use
    /// any more.
    fn place(&mut self, now: Duration, adapter: AdapterId) -> Option<LoadOrder>;

    /// Notes the end of a load.
    fn loaded(&mut self, now: Duration, order: LoadOrder, ok: bool);

    /// Returns how many requests wait.
    fn queued(&self) -> usize;

    /// Returns the seconds that requests have waited for adapters so far.
    fn stalled(&self) -> f64;
}

/// Makes the policy that hosts run.
pub fn owner_policy(settings: PolicySettings) -> Box<dyn Policy> {
    Box::new(Owner::new(settings))
}
