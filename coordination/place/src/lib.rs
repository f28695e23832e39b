//! Placement policy: which waiting request starts on which target, which adapter is loaded next,
//! and which adapter is evicted for it.

mod demand;
mod interval;
mod loads;
mod missing;
mod owner;
mod planner;
mod policy;
mod prefix;
mod score;
mod starts;
mod targets;

pub use crate::{
    planner::{PlannerSettings, StorePlanner},
    policy::{Decision, LoadOrder, Policy, PolicySettings, Resident, TargetView, owner_policy},
};
