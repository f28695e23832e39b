//! Choice of the target for a request.

use std::{collections::BTreeSet, time::Duration};

use wire::SoftwareHash;

use crate::{Engine, Target, Targets, limit_view::Access};

/// Factor of a target's failure rate in its cost.
const FAILURE_COST: f64 = 6.0;
/// Factor on the cost of a target in another failure domain.
const REMOTE_COST: f64 = 1.1;
/// Tokens of prefill backlog that cost as much as one request in progress.
const TOKENS_PER_REQUEST: f64 = 250.0;
/// Factor by which each second until the next place raises the cost of a target with a request limit.
const WAIT_COST: f64 = 10.0;
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
    /// The software version that must run it; `None` if any may.
    pub software: Option<SoftwareHash>,
    /// This host's failure domain, whose targets are preferred.
    pub domain: &'a str,
    /// Targets that the request was sent to before; they are excluded.
    pub tried: &'a BTreeSet<String>,
    /// Whether the request can no longer be on time, and its priority.
    pub rank: (bool, u8),
}

/// Result of the choice of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pick {
    /// The target with this name.
    Target(String),
    /// No target holds the adapter in a version that may run the request.
    NoAdapter,
    /// All targets that could run the request are full, or need a place that this host lacks.
    Full,
    /// The service has no ready target of the software version that was not tried.
    None,
}

/// The choice for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Picked {
    /// The chosen target, or why there is none.
    pub pick: Pick,
    /// A target with a request limit that would have been chosen, had this host a place there.
    pub lacks_place: Option<String>,
    /// The target whose pause ends first, if all that could run the request asked this host for one.
    pub paused: Option<(String, Duration)>,
}

/// Chooses the target with the lowest cost: targets with the newest version first, then targets
/// that are not avoided. `draw` is a random number that breaks ties.
pub fn pick(
    now: Duration,
    targets: &Targets,
    requirements: &Requirements<'_>,
    draw: u64,
) -> Picked {
    let mut best = Best::default();
    let mut limited = Best::default();
    let mut paused: Option<(Duration, &Target)> = None;
    let mut is_open = false;
    let (mut any, mut held, mut newest) = (false, false, false);
    for target in targets.ready(requirements.service) {
        if requirements.tried.contains(&target.record.id)
            || requirements.software.is_some_and(|it| it != target.software)
        {
            continue;
        }
        any = true;
        let is_newest = match held_version(target, requirements) {
            None => continue,
            Some(version) => version >= requirements.newest,
        };
        held = true;
        if let Some(until) = target.pause.as_ref().map(|it| it.until).filter(|it| now < *it) {
            if paused.is_none_or(|(least, _)| until < least) {
                paused = Some((until, target));
            }
            continue;
        }
        is_open = true;
        let is_prompt = requirements.adapter.is_some();
        let access = target.limit.access(now, target.own(), requirements.rank, is_prompt);
        let full = access == Access::Full || is_full(target, requirements);
        if full || (newest && !is_newest) {
            continue;
        }
        if is_newest && !newest {
            newest = true;
            best = Best::default();
            limited = Best::default();
        }
        let cost = (target.health.avoid_until > now, cost(target, requirements, draw));
        match access {
            Access::NeedsPlace => {
                let wait = target.limit.expected_wait(now).as_secs_f64();
                limited.offer((cost.0, cost.1 * (1.0 + WAIT_COST * wait)), target);
            }
            Access::Open | Access::Full => best.offer(cost, target),
        }
    }
    let lacks_place = match (limited.0, best.0) {
        (Some((cost, target)), Some((other, _))) => (cost < other).then_some(target),
        (limited, None) => limited.map(|(_, target)| target),
        (None, _) => None,
    };
    let lacks_place = lacks_place.map(|it| it.record.id.clone());
    let pick = match best.0 {
        Some((_, target)) => Pick::Target(target.record.id.clone()),
        None if held => Pick::Full,
        None if any => Pick::NoAdapter,
        None => Pick::None,
    };
    let paused = paused.filter(|_| !is_open);
    let paused = paused.map(|(until, target)| (target.record.id.clone(), until));
    Picked { pick, lacks_place, paused }
}

/// Whether a target is avoided, and its cost.
type Cost = (bool, f64);

/// The target with the lowest cost so far.
#[derive(Default)]
struct Best<'a>(Option<(Cost, &'a Target)>);

impl<'a> Best<'a> {
    fn offer(&mut self, cost: Cost, target: &'a Target) {
        if self.0.is_none_or(|(least, _)| cost < least) {
            self.0 = Some((cost, target));
        }
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
