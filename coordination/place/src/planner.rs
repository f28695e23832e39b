//! The leader's planner of loads from one weight store.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use wire::{AdapterId, HostId, LoadEnded, LoadGrant, LoadRequest, Term};

use crate::score::Score;

/// The owner's part of a slot's term is shorter by the term divided by this. The owner counts the
/// term from the receipt of the grant, the planner from the sending.
const MARGIN_DIVISOR: u32 = 8;
/// One grant in this many goes to the load request of the adapter that is waited for longest.
/// The owner's estimate of the wait for a load uses the same number.
const FAIR_EVERY: u64 = 4;
/// Number of low bits of a slot number that hold the sequence number within a leader's term.
const TERM_SHIFT: u32 = 32;

/// Parameters of the planner.
#[derive(Debug, Clone, Copy)]
pub struct PlannerSettings {
    /// Maximum number of loads per second that the store allows.
    pub rate: f64,
    /// Maximum number of loads in progress.
    pub max_loads: usize,
    /// Time that an owner has to finish a load, counted from the grant.
    pub slot_term: Duration,
}

impl PlannerSettings {
    /// Returns the number of grants that fit into one [`PlannerSettings::window`].
    fn burst(&self) -> usize {
        (self.rate.floor() as usize).max(1)
    }

    /// Returns the time in which at most one burst may be granted.
    fn window(&self) -> Duration {
        Duration::from_secs_f64(self.burst() as f64 / self.rate.max(1e-6))
    }
}

/// Position of a load request in the two orders of grants.
#[derive(Debug, Clone, Copy)]
struct RequestKey {
    score: Score,
    since: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    host: HostId,
    adapter: AdapterId,
    granted: Duration,
    until: Duration,
}

/// Grants load slots to owners. Never exceeds the store's rate or the maximum number of loads in
/// progress, even after a change of leader.
#[derive(Debug)]
pub struct StorePlanner {
    settings: PlannerSettings,
    grants_from: Duration,
    next_slot: u64,
    requests: BTreeMap<HostId, BTreeMap<AdapterId, RequestKey>>,
    by_score: BTreeSet<(Score, HostId, AdapterId)>,
    by_age: BTreeSet<(Duration, HostId, AdapterId)>,
    grant_count: u64,
    slots: BTreeMap<u64, Slot>,
    recent_grants: VecDeque<Duration>,
}

impl StorePlanner {
    /// Starts to plan. Slots granted by the previous leader may be in use for one slot term, so
    /// nothing is granted before it is over, unless the group is `founding` and had no leader.
    pub fn new(now: Duration, settings: PlannerSettings, founding: bool) -> StorePlanner {
        StorePlanner {
            settings,
            grants_from: if founding { now } else { now + settings.slot_term },
            next_slot: 1,
            requests: BTreeMap::new(),
            by_score: BTreeSet::new(),
            by_age: BTreeSet::new(),
            grant_count: 0,
            slots: BTreeMap::new(),
            recent_grants: VecDeque::new(),
        }
    }

    /// Numbers the slots within a leader's term, so that a late [`LoadEnded`] for a slot of another
    /// leader cannot release one of this planner's.
    pub fn with_term(mut self, term: Term) -> StorePlanner {
        self.next_slot = (term << TERM_SHIFT) | 1;
        self
    }

    /// Replaces the load requests of a host. Requests with a NaN score and repeated adapters are
    /// ignored.
    pub fn set_load_requests(&mut self, now: Duration, host: HostId, requests: Vec<LoadRequest>) {
        self.remove_host(host);
        let mut listed = BTreeMap::new();
        for want in requests {
            if want.score.is_nan() || listed.contains_key(&want.adapter) {
                continue;
            }
            let entry =
                RequestKey { score: Score(want.score), since: now.saturating_sub(want.age) };
            self.by_score.insert((entry.score, host, want.adapter));
            self.by_age.insert((entry.since, host, want.adapter));
            listed.insert(want.adapter, entry);
        }
        self.requests.insert(host, listed);
    }

    /// Records the end of a granted load. An unused slot no longer counts towards the rate.
    pub fn done(&mut self, _now: Duration, host: HostId, done: LoadEnded) {
        let Some(slot) = self.slots.get(&done.slot).copied() else { return };
        if slot.host != host {
            return;
        }
        self.slots.remove(&done.slot);
        if done.used {
            return;
        }
        if let Some(at) = self.recent_grants.iter().position(|&granted| granted == slot.granted) {
            self.recent_grants.remove(at);
        }
    }

    /// Drops the load requests of a host without a lease. Its slots stay taken until their term
    /// ends.
    pub fn remove_host(&mut self, host: HostId) {
        for (adapter, listed) in self.requests.remove(&host).unwrap_or_default() {
            self.by_score.remove(&(listed.score, host, adapter));
            self.by_age.remove(&(listed.since, host, adapter));
        }
    }

    /// Grants as many slots as the limits allow, each with the host it goes to.
    pub fn grant(&mut self, now: Duration) -> Vec<(HostId, LoadGrant)> {
        let mut grants = Vec::new();
        if now < self.grants_from {
            return grants;
        }
        self.slots.retain(|_, slot| slot.until > now);
        while self.has_capacity(now) {
            let Some((host, adapter)) = self.pop_next() else { break };
            if self.is_granted(host, adapter) {
                continue;
            }
            self.grant_count += 1;
            grants.push((host, self.allocate_slot(now, host, adapter)));
        }
        grants
    }

    /// Removes and returns the next load request: at every `FAIR_EVERY`-th grant the one that has
    /// waited longest, at the others the one with the highest score.
    fn pop_next(&mut self) -> Option<(HostId, AdapterId)> {
        let is_fair = self.grant_count % FAIR_EVERY == FAIR_EVERY - 1;
        let (host, adapter) = if is_fair {
            self.by_age.first().map(|&(_, host, adapter)| (host, adapter))?
        } else {
            self.by_score.last().map(|&(_, host, adapter)| (host, adapter))?
        };
        let listed = self.requests.get_mut(&host)?.remove(&adapter)?;
        self.by_score.remove(&(listed.score, host, adapter));
        self.by_age.remove(&(listed.since, host, adapter));
        Some((host, adapter))
    }

    fn has_capacity(&mut self, now: Duration) -> bool {
        if self.slots.len() >= self.settings.max_loads {
            return false;
        }
        let window = self.settings.window();
        while self.recent_grants.front().is_some_and(|&granted| granted + window <= now) {
            self.recent_grants.pop_front();
        }
        self.recent_grants.len() < self.settings.burst()
    }

    fn is_granted(&self, host: HostId, adapter: AdapterId) -> bool {
        self.slots.values().any(|slot| slot.host == host && slot.adapter == adapter)
    }

    fn allocate_slot(&mut self, now: Duration, host: HostId, adapter: AdapterId) -> LoadGrant {
        let term = self.settings.slot_term;
        let slot = self.next_slot;
        self.next_slot += 1;
        self.slots.insert(slot, Slot { host, adapter, granted: now, until: now + term });
        self.recent_grants.push_back(now);
        LoadGrant { slot, adapter, duration: term - term / MARGIN_DIVISOR }
    }
}
