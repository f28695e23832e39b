//! Assignment of targets to owners.

use std::collections::{BTreeMap, BTreeSet};

use wire::{HostId, Incarnation, Move};

use crate::{LiveHost, Registry, Target};

/// A move must gain more than the mean load divided by this.
const HYSTERESIS_DIVISOR: i64 = 8;

/// Returns the moves that give every target a live owner. Hosts of the target's failure domain are
/// preferred, load is spread evenly, and few targets move. `limit` bounds the moves in progress
/// that only improve the balance; targets whose owner is not live or is leaving always move.
///
/// A live owner is never replaced in one step: the target is released first, and assigned again
/// once the previous owner has applied the release or lost its lease. This way two hosts never act
/// as owner of a target at the same time. Only a settled leader may carry out the moves, except for
/// those of [`hand_over`] and targets that never had an owner.
pub fn balance(registry: &Registry, live: &[LiveHost], limit: usize) -> Vec<Move> {
    let mut plan = Plan::new(registry, live);
    if plan.loads.is_empty() {
        return Vec::new();
    }
    let mut moves = plan.releases(registry);
    let mut pending = 0;
    for target in registry.targets() {
        let assignable = plan.is_assignable(target);
        if !assignable && target.owner.is_some() {
            continue;
        }
        // A released target that cannot be assigned yet counts towards the load of its likely
        // owner, so that no more targets are released than necessary.
        let Some(owner) = plan.assign(target) else { continue };
        if assignable {
            moves.push(Move { target: target.id, owner: Some(owner) });
        } else {
            pending += 1;
        }
    }
    plan.rebalance(registry, limit.saturating_sub(pending), &mut moves);
    moves
}

/// Returns the moves that a leader may carry out while leases of an earlier leader may be valid:
/// leaving owners that hold a lease of this leader release their targets, and targets whose previous
/// owner holds one and has applied the release are assigned. These hosts are known not to act as
/// owners any more, so no other lease matters.
pub fn hand_over(registry: &Registry, live: &[LiveHost]) -> Vec<Move> {
    let mut plan = Plan::new(registry, live);
    if plan.loads.is_empty() {
        return Vec::new();
    }
    let mut moves = plan.releases(registry);
    for target in registry.targets() {
        if !plan.has_applied_release(target) {
            continue;
        }
        let Some(owner) = plan.assign(target) else { continue };
        moves.push(Move { target: target.id, owner: Some(owner) });
    }
    moves
}

/// Load of the hosts that may own targets.
struct Plan<'a> {
    live: BTreeMap<HostId, &'a LiveHost>,
    /// Sum of the request capacities of the targets that each usable host owns.
    loads: BTreeMap<HostId, i64>,
    /// Usable hosts of each failure domain, ordered by load.
    domains: BTreeMap<&'a str, BTreeSet<(i64, HostId)>>,
    /// All usable hosts, ordered by load.
    by_load: BTreeSet<(i64, HostId)>,
    /// Mean load; also the penalty for owning a target of another failure domain.
    mean_load: i64,
}

impl<'a> Plan<'a> {
    fn new(registry: &Registry, live: &'a [LiveHost]) -> Plan<'a> {
        let live: BTreeMap<_, _> = live.iter().map(|host| (host.host, host)).collect();
        let usable = live.values().filter(|host| !host.leaving);
        let loads = usable.map(|host| (host.host, 0)).collect();
        let (domains, by_load) = Default::default();
        let mut plan = Plan { live, loads, domains, by_load, mean_load: 0 };
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
        plan.mean_load = total / (plan.loads.len().max(1) as i64) + 1;
        for (&host, &load) in &plan.loads {
            plan.by_load.insert((load, host));
            plan.domains.entry(&plan.live[&host].domain).or_default().insert((load, host));
        }
        plan
    }

    fn is_live(&self, (host, incarnation): (HostId, Incarnation)) -> bool {
        self.live.get(&host).is_some_and(|live| live.incarnation == incarnation)
    }

    /// Returns whether the owner of a target is live and is leaving.
    fn is_owner_leaving(&self, target: &Target) -> bool {
        let Some(owner) = target.owner else { return false };
        self.is_live(owner) && self.live[&owner.0].leaving
    }

    /// Returns the releases of the targets whose owners are live and are leaving.
    fn releases(&self, registry: &Registry) -> Vec<Move> {
        let leaving = registry.targets().filter(|target| self.is_owner_leaving(target));
        leaving.map(|target| Move { target: target.id, owner: None }).collect()
    }

    /// Returns whether a target can be assigned to an owner now.
    fn is_assignable(&self, target: &Target) -> bool {
        let Some(owner) = target.owner.or(target.previous_owner) else { return true };
        !self.is_live(owner) || self.has_applied_release(target)
    }

    /// Returns whether a target is released, and its previous owner is live and has applied that.
    fn has_applied_release(&self, target: &Target) -> bool {
        let Some(previous) = target.previous_owner else { return false };
        let is_released = target.owner.is_none() && self.is_live(previous);
        is_released && self.live[&previous.0].applied >= target.fence
    }

    /// Assigns a target to the cheapest host.
    fn assign(&mut self, target: &Target) -> Option<(HostId, Incarnation)> {
        let (_, host) = self.cheapest(target)?;
        self.add(host, weight(target));
        Some((host, self.live.get(&host)?.incarnation))
    }

    /// Returns the host on which a target costs least, and its load plus the penalty for another
    /// failure domain.
    fn cheapest(&self, target: &Target) -> Option<(i64, HostId)> {
        let same_domain = self.domains.get(target.info.domain.as_str()).and_then(BTreeSet::first);
        let (load, host) = *self.by_load.first()?;
        let overall = (load + self.domain_penalty(host, target), host);
        Some(same_domain.map_or(overall, |same_domain| overall.min(*same_domain)))
    }

    /// Returns the penalty for a host that owns a target of another failure domain, in units of
    /// load.
    fn domain_penalty(&self, host: HostId, target: &Target) -> i64 {
        let same = self.live.get(&host).is_some_and(|host| host.domain == target.info.domain);
        if same { 0 } else { self.mean_load }
    }

    fn add(&mut self, host: HostId, weight: i64) {
        let Some(load) = self.loads.get_mut(&host) else { return };
        let old = (*load, host);
        *load += weight;
        let new = (*load, host);
        self.by_load.remove(&old);
        self.by_load.insert(new);
        if let Some(hosts) = self.domains.get_mut(self.live[&host].domain.as_str()) {
            hosts.remove(&old);
            hosts.insert(new);
        }
    }

    /// Releases targets that another host would own at a much lower cost.
    fn rebalance(&mut self, registry: &Registry, limit: usize, moves: &mut Vec<Move>) {
        let mut remaining = limit;
        for target in registry.targets() {
            if remaining == 0 {
                return;
            }
            if self.release(target) {
                moves.push(Move { target: target.id, owner: None });
                remaining -= 1;
            }
        }
    }

    fn release(&mut self, target: &Target) -> bool {
        let Some(owner) = target.owner.filter(|owner| self.is_live(*owner)) else { return false };
        let Some(load) = self.loads.get(&owner.0) else { return false };
        let current = load + self.domain_penalty(owner.0, target);
        let Some((cost, other)) = self.cheapest(target) else { return false };
        let moved = cost + weight(target);
        if other == owner.0 || current - moved <= self.mean_load / HYSTERESIS_DIVISOR {
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
