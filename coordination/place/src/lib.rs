//! Which request starts on which target, which adapter is loaded next, and
//! which one makes room for it.

mod demand;
mod fleet;
mod owner;
mod planner;
mod policy;

pub use crate::{
    planner::{PlannerSettings, StorePlanner},
    policy::{Decision, LoadOrder, Policy, PolicySettings, Resident, TargetView, owner_policy},
};
