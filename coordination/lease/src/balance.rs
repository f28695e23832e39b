//! Which host should own which target.

use std::collections::BTreeMap;

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
    /// Mean load; what owning a target of another failure domain costs.
    mean: i64,
}

impl<'a> Plan<'a> {
    fn new(registry: &Registry, live: &'a [LiveHost]) -> Plan<'a> {
        let live: BTreeMap<_, _> = live.iter().map(|host| (host.host, host)).collect();
        let usable = live.values().filter(|host| !host.leaving);
        let mut loads: BTreeMap<_, i64> = usable.map(|host| (host.host, 0)).collect();
        let mut total = 0;
        for target in registry.targets() {
            total += weight(target);
            let Some((host, incarnation)) = target.owner else { continue };
            if live.get(&host).is_none_or(|host| host.incarnation != incarnation) {
                continue;
            }
            if let Some(load) = loads.get_mut(&host) {
                *load += weight(target);
            }
        }
        let mean = total / (loads.len().max(1) as i64) + 1;
        Plan { live, loads, mean }
    }

    /// Returns whether a target's owner is live and about to leave.
    fn is_leaving(&self, target: &Target) -> bool {
        let Some((host, incarnation)) = target.owner else { return false };
        let live = self.live.get(&host);
        live.is_some_and(|live| live.incarnation == incarnation && live.leaving)
    }

    /// Returns whether a target can be given an owner now.
    fn is_free(&self, target: &Target) -> bool {
        let Some((host, incarnation)) = target.owner.or(target.former) else { return true };
        let Some(live) = self.live.get(&host) else { return true };
        if live.incarnation != incarnation {
            return true;
        }
        target.owner.is_none() && live.applied >= target.fence
    }

    /// Gives a target to the cheapest host.
    fn place(&mut self, target: &Target) -> Option<(HostId, Incarnation)> {
        let host = self.cheapest(target)?;
        *self.loads.get_mut(&host)? += weight(target);
        Some((host, self.live.get(&host)?.incarnation))
    }

    fn cheapest(&self, target: &Target) -> Option<HostId> {
        let cost = |(host, load): &(&HostId, &i64)| **load + self.cost(**host, target);
        self.loads.iter().min_by_key(cost).map(|(host, _)| *host)
    }

    /// What it costs that a host owns a target, in units of load.
    fn cost(&self, host: HostId, target: &Target) -> i64 {
        let same = self.live.get(&host).is_some_and(|host| host.domain == target.info.domain);
        if same { 0 } else { self.mean }
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
        let Some((owner, incarnation)) = target.owner else { return false };
        if self.live.get(&owner).is_none_or(|host| host.incarnation != incarnation) {
            return false;
        }
        let Some(load) = self.loads.get(&owner) else { return false };
        let here = load + self.cost(owner, target);
        let Some(other) = self.cheapest(target) else { return false };
        let Some(load) = self.loads.get(&other) else { return false };
        let there = load + weight(target) + self.cost(other, target);
        if other == owner || here - there <= self.mean / HYSTERESIS_PARTS {
            return false;
        }
        *self.loads.entry(owner).or_default() -= weight(target);
        *self.loads.entry(other).or_default() += weight(target);
        true
    }
}

fn weight(target: &Target) -> i64 {
    i64::from(target.info.capacity.requests.max(1))
}
