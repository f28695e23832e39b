//! Which host should own which target.

use std::collections::{BTreeMap, BTreeSet};

use wire::{HostId, Incarnation, Move};

use crate::{LiveHost, Registry, Target};

/// A move must gain more than this part of the mean load.
const HYSTERESIS_PARTS: i64 = 8;

/// Returns the moves that give every target a live owner: the target's failure
/// domain first, even load, little movement. `limit` bounds the moves that only
/// improve the balance and are under way; targets without a live owner always move.
///
/// A live owner is never replaced in one step: the target is released first,
/// and given away once the former owner has applied the release or lost its
/// lease. So no two hosts ever act as owners side by side. Only a settled
/// leader may carry the moves out, but for targets that never had an owner.
pub fn balance(registry: &Registry, live: &[LiveHost], limit: usize) -> Vec<Move> {
    let mut plan = Plan::new(registry, live);
    if plan.loads.is_empty() {
        return Vec::new();
    }
    let mut moves = Vec::new();
    for target in registry.targets() {
        if plan.is_leaving(target) {
            moves.push(Move { target: target.id, owner: None });
        }
    }
    let mut pending = 0;
    for target in registry.targets() {
        let free = plan.is_free(target);
        if !free && target.owner.is_some() {
            continue;
        }
        // A released target that is not free yet takes its place in the loads,
        // so that no more are released than it needs.
        let Some(owner) = plan.place(target) else { continue };
        if free {
            moves.push(Move { target: target.id, owner: Some(owner) });
        } else {
            pending += 1;
        }
    }
    plan.improve(registry, limit.saturating_sub(pending), &mut moves);
    moves
}

/// Loads of the hosts that may own targets.
struct Plan<'a> {
    live: BTreeMap<HostId, &'a LiveHost>,
    /// Requests capacity of the targets each usable host owns.
    loads: BTreeMap<HostId, i64>,
    /// Usable hosts of each failure domain by their loads.
    domains: BTreeMap<&'a str, BTreeSet<(i64, HostId)>>,
    /// All usable hosts by their loads.
    all: BTreeSet<(i64, HostId)>,
    /// Mean load; what owning a target of another failure domain costs.
    mean: i64,
}

impl<'a> Plan<'a> {
    fn new(registry: &Registry, live: &'a [LiveHost]) -> Plan<'a> {
        let live: BTreeMap<_, _> = live.iter().map(|host| (host.host, host)).collect();
        let usable = live.values().filter(|host| !host.leaving);
        let loads = usable.map(|host| (host.host, 0)).collect();
        let (domains, all) = Default::default();
        let mut plan = Plan { live, loads, domains, all, mean: 0 };
        let mut total = 0;
        for target in registry.targets() {
            total += weight(target);
            let Some((host, _)) = target.owner.filter(|owner| plan.is_live(*owner)) else {
                continue;
            };
            if let Some(load) = plan.loads.get_mut(&host) {
                *load += weight(target);
            }
        }
        plan.mean = total / (plan.loads.len().max(1) as i64) + 1;
        for (&host, &load) in &plan.loads {
            plan.all.insert((load, host));
            plan.domains.entry(&plan.live[&host].domain).or_default().insert((load, host));
        }
        plan
    }

    fn is_live(&self, (host, incarnation): (HostId, Incarnation)) -> bool {
        self.live.get(&host).is_some_and(|live| live.incarnation == incarnation)
    }

    /// Returns whether a target's owner is live and about to leave.
    fn is_leaving(&self, target: &Target) -> bool {
        let Some(owner) = target.owner else { return false };
        self.is_live(owner) && self.live[&owner.0].leaving
    }

    /// Returns whether a target can be given an owner now.
    fn is_free(&self, target: &Target) -> bool {
        let Some(owner) = target.owner.or(target.former) else { return true };
        if !self.is_live(owner) {
            return true;
        }
        target.owner.is_none() && self.live[&owner.0].applied >= target.fence
    }

    /// Gives a target to the cheapest host.
    fn place(&mut self, target: &Target) -> Option<(HostId, Incarnation)> {
        let (_, host) = self.cheapest(target)?;
        self.add(host, weight(target));
        Some((host, self.live.get(&host)?.incarnation))
    }

    /// Returns the host where a target costs least, and its load with that of
    /// owning a target of another failure domain.
    fn cheapest(&self, target: &Target) -> Option<(i64, HostId)> {
        let near = self.domains.get(target.info.domain.as_str()).and_then(BTreeSet::first);
        let (load, host) = *self.all.first()?;
        let any = (load + self.cost(host, target), host);
        Some(near.map_or(any, |near| any.min(*near)))
    }

    /// What it costs that a host owns a target, in units of load.
    fn cost(&self, host: HostId, target: &Target) -> i64 {
        let same = self.live.get(&host).is_some_and(|host| host.domain == target.info.domain);
        if same { 0 } else { self.mean }
    }

    fn add(&mut self, host: HostId, weight: i64) {
        let Some(load) = self.loads.get_mut(&host) else { return };
        let old = (*load, host);
        *load += weight;
        let new = (*load, host);
        self.all.remove(&old);
        self.all.insert(new);
        if let Some(hosts) = self.domains.get_mut(self.live[&host].domain.as_str()) {
            hosts.remove(&old);
            hosts.insert(new);
        }
    }

    /// Releases targets whose next owner would be much better.
    fn improve(&mut self, registry: &Registry, limit: usize, moves: &mut Vec<Move>) {
        let mut left = limit;
        for target in registry.targets() {
            if left == 0 {
                return;
            }
            if self.release(target) {
                moves.push(Move { target: target.id, owner: None });
                left -= 1;
            }
        }
    }

    fn release(&mut self, target: &Target) -> bool {
        let Some(owner) = target.owner.filter(|owner| self.is_live(*owner)) else { return false };
        let Some(load) = self.loads.get(&owner.0) else { return false };
        let here = load + self.cost(owner.0, target);
        let Some((cost, other)) = self.cheapest(target) else { return false };
        let there = cost + weight(target);
        if other == owner.0 || here - there <= self.mean / HYSTERESIS_PARTS {
            return false;
        }
        self.add(owner.0, -weight(target));
        self.add(other, weight(target));
        true
    }
}

fn weight(target: &Target) -> i64 {
    i64::from(target.info.capacity.requests.max(1))
}
