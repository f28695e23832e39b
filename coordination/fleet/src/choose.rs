//! Which target a request is sent to.

use std::{collections::BTreeSet, time::Duration};

use crate::{Engine, Target, Targets};

/// Weight of a failing target's share of failures against its load.
const FAILURE_WEIGHT: f64 = 6.0;
/// Weight of a target in another failure domain against one nearby.
const FAR_WEIGHT: f64 = 1.1;
/// Prompt tokens that weigh as much as one running request.
const BACKLOG_TOKENS: f64 = 250.0;
/// Least delay that distinguishes targets, in milliseconds.
const DELAY_FLOOR_MS: f64 = 5.0;

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a str,
    /// The adapter, `model` or `model/adapter`, of an engine's request.
    pub adapter: Option<&'a str>,
    /// The lowest version that may run it.
    pub version: u64,
    /// The newest version, which goes first.
    pub newest: u64,
    /// The service's engine.
    pub engine: Option<&'a Engine>,
    /// This host's failure domain.
    pub domain: &'a str,
    /// Targets it was sent to before.
    pub tried: &'a BTreeSet<String>,
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pick {
    /// Send it there.
    Target(String),
    /// Wait until the adapter is somewhere.
    Load,
    /// All targets that could run it are full.
    Full,
    /// No target of the service takes requests.
    None,
}

/// Chooses a target. `draw` decides between equals.
pub fn pick(now: Duration, targets: &Targets, wanted: &Wanted<'_>, draw: u64) -> Pick {
    let mut best: Option<(bool, f64, &Target)> = None;
    let (mut any, mut held, mut newest) = (false, false, false);
    for target in targets.ready(wanted.service) {
        if wanted.tried.contains(&target.card.id) {
            continue;
        }
        any = true;
        let is_newest = match held_version(target, wanted) {
            None => continue,
            Some(version) => version >= wanted.newest,
        };
        held = true;
        if is_full(target, wanted) || (newest && !is_newest) {
            continue;
        }
        if is_newest && !newest {
            newest = true;
            best = None;
        }
        let avoided = target.health.avoid > now;
        let weight = weight(target, wanted, draw);
        if best.is_none_or(|(other, least, _)| (avoided, weight) < (other, least)) {
            best = Some((avoided, weight, target));
        }
    }
    match best {
        Some((_, _, target)) => Pick::Target(target.card.id.clone()),
        None if held => Pick::Full,
        None if any => Pick::Load,
        None => Pick::None,
    }
}

/// The version of the adapter at a target; none if the request can't run there.
fn held_version(target: &Target, wanted: &Wanted<'_>) -> Option<u64> {
    let Some(adapter) = wanted.adapter else { return Some(u64::MAX) };
    let version = target.adapters.get(adapter).copied()?;
    (version >= wanted.version).then_some(version)
}

fn is_full(target: &Target, wanted: &Wanted<'_>) -> bool {
    let slots = wanted.engine.map_or(target.card.slots, |engine| engine.slots);
    wanted.adapter.is_some() && slots > 0 && target.load() >= slots
}

fn weight(target: &Target, wanted: &Wanted<'_>, draw: u64) -> f64 {
    let far = if target.card.domain == wanted.domain { 1.0 } else { FAR_WEIGHT };
    let failing = 1.0 + FAILURE_WEIGHT * target.health.failed;
    let delay =
        if wanted.adapter.is_some() { 1.0 } else { target.health.delay_ms.max(DELAY_FLOOR_MS) };
    // Equals are told apart by less than one request.
    let tie = 1e-3 * f64::from((draw >> 32) as u32 ^ crate::adapter_print(&target.card.id))
        / f64::from(u32::MAX);
    let backlog = f64::from(target.backlog) / BACKLOG_TOKENS;
    (f64::from(target.load()) + 1.0 + backlog) * far * failing * delay * (1.0 + tie)
}
