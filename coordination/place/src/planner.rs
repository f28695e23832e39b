//! The planner of one weight store, on the leader.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use wire::{AdapterId, HostId, SlotDone, SlotGrant, Term, Want};

use crate::score::Score;

/// The share of a slot's term that the owner is not told of: it counts from
/// the receipt of the grant, the planner from the sending.
const MARGIN_PARTS: u32 = 8;
/// One grant in this many goes to the want with the longest waiting request.
const FAIR_EVERY: u64 = 4;
/// Bits of a slot's number that count within a leader's term.
const TERM_SHIFT: u32 = 32;

/// Parameters of the planner.
#[derive(Debug, Clone, Copy)]
pub struct PlannerSettings {
    /// Loads the store allows per second.
    pub rate: f64,
    /// Loads in flight at most.
    pub loads: usize,
    /// How long an owner has to finish a load.
    pub term: Duration,
}

impl PlannerSettings {
    /// Grants that fit into one window of [`PlannerSettings::window`].
    fn burst(&self) -> usize {
        (self.rate.floor() as usize).max(1)
    }

    /// A window with room for the burst.
    fn window(&self) -> Duration {
        Duration::from_secs_f64(self.burst() as f64 / self.rate.max(1e-6))
    }
}

/// A want's place in the two orders of grants.
#[derive(Debug, Clone, Copy)]
struct Listed {
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

/// Grants load slots to owners. Never exceeds the store's rate or the number in
/// flight, also after a change of leader.
#[derive(Debug)]
pub struct StorePlanner {
    settings: PlannerSettings,
    starts: Duration,
    next: u64,
    wants: BTreeMap<HostId, BTreeMap<AdapterId, Listed>>,
    order: BTreeSet<(Score, HostId, AdapterId)>,
    ages: BTreeSet<(Duration, HostId, AdapterId)>,
    granted: u64,
    slots: BTreeMap<u64, Slot>,
    recent: VecDeque<Duration>,
}

impl StorePlanner {
    /// Starts to plan. Slots of the leader before may be in use for a term,
    /// unless there was none.
    pub fn new(now: Duration, settings: PlannerSettings, founding: bool) -> StorePlanner {
        StorePlanner {
            settings,
            starts: if founding { now } else { now + settings.term },
            next: 1,
            wants: BTreeMap::new(),
            order: BTreeSet::new(),
            ages: BTreeSet::new(),
            granted: 0,
            slots: BTreeMap::new(),
            recent: VecDeque::new(),
        }
    }

    /// Numbers the slots apart from those of other leaders' terms, so that a
    /// late [`SlotDone`] for one of theirs ends none of this planner's.
    pub fn numbered(mut self, term: Term) -> StorePlanner {
        self.next = (term << TERM_SHIFT) | 1;
        self
    }

    /// Replaces the wants of a host.
    pub fn wants(&mut self, now: Duration, host: HostId, wants: Vec<Want>) {
        self.remove_host(host);
        let mut listed = BTreeMap::new();
        for want in wants {
            if want.score.is_nan() || listed.contains_key(&want.adapter) {
                continue;
            }
            let entry = Listed { score: Score(want.score), since: now.saturating_sub(want.age) };
            self.order.insert((entry.score, host, want.adapter));
            self.ages.insert((entry.since, host, want.adapter));
            listed.insert(want.adapter, entry);
        }
        self.wants.insert(host, listed);
    }

    /// Notes the end of a granted load. A slot that was not used gives its
    /// share of the rate back.
    pub fn done(&mut self, _now: Duration, host: HostId, done: SlotDone) {
        let Some(slot) = self.slots.get(&done.slot).copied() else { return };
        if slot.host != host {
            return;
        }
        self.slots.remove(&done.slot);
        if done.used {
            return;
        }
        if let Some(at) = self.recent.iter().position(|&granted| granted == slot.granted) {
            self.recent.remove(at);
        }
    }

    /// Forgets the wants of a host without a lease. Its slots stay taken until
    /// their term ends.
    pub fn remove_host(&mut self, host: HostId) {
        for (adapter, listed) in self.wants.remove(&host).unwrap_or_default() {
            self.order.remove(&(listed.score, host, adapter));
            self.ages.remove(&(listed.since, host, adapter));
        }
    }

    /// Grants what can be granted now.
    pub fn grant(&mut self, now: Duration) -> Vec<(HostId, SlotGrant)> {
        let mut grants = Vec::new();
        if now < self.starts {
            return grants;
        }
        self.slots.retain(|_, slot| slot.until > now);
        while self.has_room(now) {
            let Some((host, adapter)) = self.next_want() else { break };
            if self.is_granted(host, adapter) {
                continue;
            }
            self.granted += 1;
            grants.push((host, self.take(now, host, adapter)));
        }
        grants
    }

    /// Takes out the want that goes next: in turn the one whose load saves most
    /// or the one that is waited for longest.
    fn next_want(&mut self) -> Option<(HostId, AdapterId)> {
        let is_fair = self.granted % FAIR_EVERY == FAIR_EVERY - 1;
        let (host, adapter) = if is_fair {
            self.ages.first().map(|&(_, host, adapter)| (host, adapter))?
        } else {
            self.order.last().map(|&(_, host, adapter)| (host, adapter))?
        };
        let listed = self.wants.get_mut(&host)?.remove(&adapter)?;
        self.order.remove(&(listed.score, host, adapter));
        self.ages.remove(&(listed.since, host, adapter));
        Some((host, adapter))
    }

    fn has_room(&mut self, now: Duration) -> bool {
        if self.slots.len() >= self.settings.loads {
            return false;
        }
        let window = self.settings.window();
        while self.recent.front().is_some_and(|&granted| granted + window <= now) {
            self.recent.pop_front();
        }
        self.recent.len() < self.settings.burst()
    }

    fn is_granted(&self, host: HostId, adapter: AdapterId) -> bool {
        self.slots.values().any(|slot| slot.host == host && slot.adapter == adapter)
    }

    fn take(&mut self, now: Duration, host: HostId, adapter: AdapterId) -> SlotGrant {
        let term = self.settings.term;
        let slot = self.next;
        self.next += 1;
        self.slots.insert(slot, Slot { host, adapter, granted: now, until: now + term });
        self.recent.push_back(now);
        SlotGrant { slot, adapter, term: term - term / MARGIN_PARTS }
    }
}
