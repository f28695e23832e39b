//! Which request starts on which target, which adapter is loaded next, and
//! which one makes room for it.

mod demand;
mod fleet;
mod loads;
mod owner;
mod pace;
mod planner;
mod policy;
mod prefix;
mod score;
mod starts;
mod starved;

pub use crate::{
    planner::{PlannerSettings, StorePlanner},
    policy::{Decision, LoadOrder, Policy, PolicySettings, Resident, TargetView, owner_policy},
};
