//! Choice of the target for a request.

use std::{collections::BTreeSet, time::Duration};

use crate::{Engine, Target, Targets};

/// Factor of a target's failure rate in its cost.
const FAILURE_COST: f64 = 6.0;
/// Factor on the cost of a target in another failure domain.
const REMOTE_COST: f64 = 1.1;
/// Tokens of prefill backlog that cost as much as one request in progress.
const TOKENS_PER_REQUEST: f64 = 250.0;
/// Minimum delay in the cost, in milliseconds; shorter delays count as equal.
const DELAY_FLOOR_MS: f64 = 5.0;

/// Requirements of a request on its target.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// The service that must run the request.
    pub service: &'a str,
    /// The model or adapter, as `model` or `model/adapter`; `None` if the service runs no engine.
    pub adapter: Option<&'a str>,
    /// The lowest adapter version that may run the request.
    pub min_version: u64,
    /// The newest adapter version; targets that hold it are preferred.
    pub newest: u64,
    /// The service's engine, if it runs models.
    pub engine: Option<&'a Engine>,
    /// This host's failure domain, whose targets are preferred.
    pub domain: &'a str,
    /// Targets that the request was sent to before; they are excluded.
    pub tried: &'a BTreeSet<String>,
}

/// Result of the choice of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pick {
    /// The target with this name.
    Target(String),
    /// No target holds the adapter in a version that may run the request.
    NoAdapter,
    /// All targets that could run the request are full.
    Full,
    /// The service has no ready target that was not tried.
    None,
}

/// Chooses the target with the lowest cost: targets with the newest version first, then targets
/// that are not avoided. `draw` is a random number that breaks ties.
pub fn pick(now: Duration, targets: &Targets, requirements: &Requirements<'_>, draw: u64) -> Pick {
    let mut best: Option<(bool, f64, &Target)> = None;
    let (mut any, mut held, mut newest) = (false, false, false);
    for target in targets.ready(requirements.service) {
        if requirements.tried.contains(&target.record.id) {
            continue;
        }
        any = true;
        let is_newest = match held_version(target, requirements) {
            None => continue,
            Some(version) => version >= requirements.newest,
        };
        held = true;
        if is_full(target, requirements) || (newest && !is_newest) {
            continue;
        }
        if is_newest && !newest {
            newest = true;
            best = None;
        }
        let avoided = target.health.avoid_until > now;
        let cost = cost(target, requirements, draw);
        if best.is_none_or(|(other, least, _)| (avoided, cost) < (other, least)) {
            best = Some((avoided, cost, target));
        }
    }
    match best {
        Some((_, _, target)) => Pick::Target(target.record.id.clone()),
        None if held => Pick::Full,
        None if any => Pick::NoAdapter,
        None => Pick::None,
    }
}

/// Returns the version of the adapter at a target, `u64::MAX` if the request needs no adapter, or
/// `None` if it cannot run there.
fn held_version(target: &Target, requirements: &Requirements<'_>) -> Option<u64> {
    let Some(adapter) = requirements.adapter else { return Some(u64::MAX) };
    let version = target.adapters.get(adapter).copied()?;
    (version >= requirements.min_version).then_some(version)
}

fn is_full(target: &Target, requirements: &Requirements<'_>) -> bool {
    let slots = requirements.engine.map_or(target.record.slots, |engine| engine.slots);
    requirements.adapter.is_some() && slots > 0 && target.load() >= slots
}

fn cost(target: &Target, requirements: &Requirements<'_>, draw: u64) -> f64 {
    let domain_factor = if target.record.domain == requirements.domain { 1.0 } else { REMOTE_COST };
    let failing = 1.0 + FAILURE_COST * target.health.failure_rate;
    let delay = if requirements.adapter.is_some() {
        1.0
    } else {
        target.health.delay_ms.max(DELAY_FLOOR_MS)
    };
    // Breaks ties by at most a thousandth of the cost.
    let tie = 1e-3 * f64::from((draw >> 32) as u32 ^ crate::adapter_hash(&target.record.id))
        / f64::from(u32::MAX);
    let backlog = f64::from(target.backlog) / TOKENS_PER_REQUEST;
    (f64::from(target.load()) + 1.0 + backlog) * domain_factor * failing * delay * (1.0 + tie)
}
