//! A target as its owner knows it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use history::Config;
use lease::Target;
use place::{Resident, TargetView};
use wire::{
    AdapterId, Fence, HostId, Incarnation, RequestId, TargetId, TargetInfo, TargetKind,
    TargetReport,
};

/// A target that sent no report for this long gets no new work.
const SILENCE: Duration = Duration::from_secs(4);
/// A report is believed against this host's own orders once the last of them
/// ended this long before the report's content.
const ORDER_LAG: Duration = Duration::from_secs(5);

/// What is known of an adapter on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Presence {
    /// Requests may start on it.
    Ready,
    /// A load is under way.
    Loading,
    /// An eviction is under way.
    Evicting,
}

/// An adapter on a target.
#[derive(Debug, Clone)]
pub(crate) struct Slot {
    pub(crate) presence: Presence,
    /// This host's requests that use it.
    pub(crate) users: u32,
    /// Whether requests of an earlier owner may be using it.
    pub(crate) doubted: bool,
}

impl Slot {
    pub(crate) fn new(presence: Presence, doubted: bool) -> Slot {
        Slot { presence, users: 0, doubted }
    }
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reported {
    /// It was older than what is known.
    Old,
    /// It was taken.
    Taken,
    /// It is the first of a new run of the target.
    Restarted,
}

/// An owned target.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) id: TargetId,
    pub(crate) info: TargetInfo,
    pub(crate) fence: Fence,
    pub(crate) incarnation: Option<Incarnation>,
    seq: u64,
    heard: Option<Duration>,
    pub(crate) leaving: bool,
    /// Whether a report was made after the target learned of this ownership.
    pub(crate) confirmed: bool,
    /// When the last order ended.
    pub(crate) ordered: Duration,
    pub(crate) adapters: BTreeMap<AdapterId, Slot>,
    /// Adapters with orders that an earlier owner may still have under way.
    blocked: BTreeSet<AdapterId>,
    /// Held adapters that the configuration does not know.
    strangers: u32,
    pub(crate) running: BTreeSet<RequestId>,
    pub(crate) alone: Option<RequestId>,
    foreign: u32,
    /// Whether the last call could not be sent.
    pub(crate) unreachable: bool,
    /// Whether it was open when that was last looked at.
    was_open: bool,
    /// When this host came to own it, or last proposed to forget it.
    since: Duration,
}

impl Held {
    pub(crate) fn new(now: Duration, target: &Target) -> Held {
        Held {
            id: target.id,
            info: target.info.clone(),
            fence: target.fence,
            incarnation: None,
            seq: 0,
            heard: None,
            leaving: false,
            confirmed: false,
            ordered: Duration::ZERO,
            adapters: BTreeMap::new(),
            blocked: blocked(target),
            strangers: 0,
            running: BTreeSet::new(),
            alone: None,
            foreign: 0,
            unreachable: false,
            was_open: false,
            since: now,
        }
    }

    /// Takes over what the registry says of the target.
    pub(crate) fn update(&mut self, target: &Target) {
        self.info = target.info.clone();
        self.blocked = blocked(target);
    }

    /// Takes a report of the target.
    pub(crate) fn report(
        &mut self,
        now: Duration,
        config: &Config,
        report: &TargetReport,
    ) -> Reported {
        let known = self.incarnation;
        if known.is_some_and(|run| report.incarnation < run) {
            return Reported::Old;
        }
        let restarted = known.is_some_and(|run| report.incarnation > run);
        if !restarted && known.is_some() && report.seq <= self.seq {
            return Reported::Old;
        }
        if restarted {
            self.restart();
        }
        self.incarnation = Some(report.incarnation);
        self.seq = report.seq;
        self.heard = Some(now);
        self.unreachable = false;
        self.leaving = report.leaving;
        let own = self.running.len() as u32;
        self.foreign = (report.load.running + report.load.queued).saturating_sub(own);
        self.take_adapters(now, config, report);
        if restarted {
            return Reported::Restarted;
        }
        Reported::Taken
    }

    fn restart(&mut self) {
        self.adapters.clear();
        self.running.clear();
        self.alone = None;
        self.confirmed = false;
        self.seq = 0;
    }

    fn take_adapters(&mut self, now: Duration, config: &Config, report: &TargetReport) {
        let loaded = ids(config, &report.loaded);
        let busy = ids(config, &report.busy);
        self.strangers = (report.loaded.len() - loaded.len()) as u32;
        if !self.confirmed {
            self.adopt(&loaded);
            self.confirmed = report.fence >= self.fence;
        }
        if self.confirmed && report.fence >= self.fence {
            self.clear_doubts(&busy);
        }
        if now.saturating_sub(report.age) > self.ordered + ORDER_LAG {
            self.reconcile(&loaded, &busy);
        }
    }

    /// Before the first order, the report says what the target holds.
    fn adopt(&mut self, loaded: &BTreeSet<AdapterId>) {
        self.adapters.retain(|id, slot| loaded.contains(id) || slot.users > 0);
        for &id in loaded {
            self.adapters.entry(id).or_insert_with(|| Slot::new(Presence::Ready, true));
        }
    }

    fn clear_doubts(&mut self, busy: &BTreeSet<AdapterId>) {
        for (id, slot) in &mut self.adapters {
            if !busy.contains(id) {
                slot.doubted = false;
            }
        }
    }

    /// Corrects what is known where no order explains the difference.
    fn reconcile(&mut self, loaded: &BTreeSet<AdapterId>, busy: &BTreeSet<AdapterId>) {
        self.adapters.retain(|id, slot| {
            loaded.contains(id) || slot.users > 0 || slot.presence != Presence::Ready
        });
        for &id in loaded {
            let doubted = busy.contains(&id);
            self.adapters.entry(id).or_insert_with(|| Slot::new(Presence::Ready, doubted));
        }
    }

    /// Returns whether new work may go to the target.
    pub(crate) fn is_open(&self, now: Duration) -> bool {
        let heard = self.heard.is_some_and(|at| now < at + SILENCE);
        heard && !self.leaving && !self.unreachable
    }

    /// Returns whether requests may wait for the target: it takes new work, or
    /// its next report may say so.
    pub(crate) fn is_usable(&self, now: Duration) -> bool {
        self.heard.is_some_and(|at| now < at + SILENCE) && !self.leaving
    }

    /// Returns whether nothing was heard of the target for so long; once per
    /// that time.
    pub(crate) fn is_silent(&mut self, now: Duration, limit: Duration) -> bool {
        let last = self.heard.unwrap_or_default().max(self.since);
        if now < last + limit {
            return false;
        }
        self.since = now;
        true
    }

    /// Returns whether the target opened or closed since the last look.
    pub(crate) fn note_open(&mut self, now: Duration, lease: bool) -> bool {
        let open = lease && self.is_open(now);
        std::mem::replace(&mut self.was_open, open) != open
    }

    /// Returns whether orders may be sent.
    pub(crate) fn takes_orders(&self, now: Duration) -> bool {
        self.is_open(now) && self.confirmed
    }

    /// Returns whether requests may start on an adapter.
    pub(crate) fn is_ready(&self, adapter: AdapterId) -> bool {
        let ready =
            self.adapters.get(&adapter).is_some_and(|slot| slot.presence == Presence::Ready);
        ready && !self.blocked.contains(&adapter)
    }

    /// Returns whether an adapter may be evicted.
    pub(crate) fn is_idle(&self, adapter: AdapterId) -> bool {
        let idle = self.adapters.get(&adapter).is_some_and(|slot| {
            slot.presence == Presence::Ready && slot.users == 0 && !slot.doubted
        });
        idle && !self.blocked.contains(&adapter)
    }

    /// Returns the target as the policy sees it.
    pub(crate) fn view(&self, now: Duration, lease: bool) -> TargetView {
        let mut resident: Vec<Resident> = self
            .adapters
            .iter()
            .map(|(&adapter, slot)| Resident {
                adapter,
                users: slot.users,
                idle: self.confirmed && self.is_idle(adapter),
                ready: self.is_ready(adapter),
            })
            .collect();
        for &adapter in &self.blocked {
            if self.adapters.contains_key(&adapter) {
                continue;
            }
            resident.push(Resident { adapter, users: 0, idle: false, ready: false });
        }
        TargetView {
            id: self.id,
            domain: self.info.domain.clone(),
            kind: self.info.kind.clone(),
            slots: self.info.capacity.adapters.saturating_sub(self.strangers),
            batch: self.info.capacity.requests,
            running: self.running.len() as u32,
            foreign: self.foreign,
            open: lease && self.is_open(now),
            alone: self.alone.is_some(),
            resident,
        }
    }

    /// Returns whether the target serves the model or service of a request.
    pub(crate) fn serves(&self, pin: &wire::Pin) -> bool {
        match (&self.info.kind, pin) {
            (TargetKind::Engine { model }, wire::Pin::Adapter { name, .. }) => {
                name.split('@').next() == Some(model)
            }
            (TargetKind::Service { service }, wire::Pin::Service { service: wanted }) => {
                service == wanted
            }
            _ => false,
        }
    }

    /// Returns whether an earlier owner's order for an adapter may be under way.
    pub(crate) fn is_blocked(&self, adapter: AdapterId) -> bool {
        self.blocked.contains(&adapter)
    }

    pub(crate) fn set_presence(&mut self, adapter: AdapterId, presence: Presence) {
        if let Some(slot) = self.adapters.get_mut(&adapter) {
            slot.presence = presence;
        }
    }

    /// Takes note that the target does not hold an adapter.
    pub(crate) fn forget_adapter(&mut self, adapter: Option<AdapterId>, request: RequestId) {
        self.stop(request, adapter);
        let Some(adapter) = adapter else { return };
        let unused = self
            .adapters
            .get(&adapter)
            .is_some_and(|slot| slot.users == 0 && slot.presence == Presence::Ready);
        if unused {
            self.adapters.remove(&adapter);
        }
    }

    /// Takes note that the target has no room, whatever it last reported.
    pub(crate) fn crowded(&mut self) {
        let own = self.running.len() as u32;
        self.foreign = self.foreign.max(self.info.capacity.requests.saturating_sub(own) + 1);
    }

    /// Takes a request into the target.
    pub(crate) fn start(&mut self, request: RequestId, adapter: Option<AdapterId>, alone: bool) {
        self.running.insert(request);
        if alone {
            self.alone = Some(request);
        }
        let slot = adapter.and_then(|id| self.adapters.get_mut(&id));
        if let Some(slot) = slot {
            slot.users += 1;
        }
    }

    /// Takes a request out of the target.
    pub(crate) fn stop(&mut self, request: RequestId, adapter: Option<AdapterId>) {
        if !self.running.remove(&request) {
            return;
        }
        if self.alone == Some(request) {
            self.alone = None;
        }
        let slot = adapter.and_then(|id| self.adapters.get_mut(&id));
        if let Some(slot) = slot {
            slot.users = slot.users.saturating_sub(1);
        }
    }
}

fn blocked(target: &Target) -> BTreeSet<AdapterId> {
    let foreign = target.intents.iter().filter(|open| open.intent.fence != target.fence);
    foreign.map(|open| open.intent.adapter).collect()
}

fn ids(config: &Config, names: &[String]) -> BTreeSet<AdapterId> {
    names.iter().filter_map(|name| config.adapters.get(name)).map(|info| info.id).collect()
}

/// Returns whether a target is owned by a host's run.
pub(crate) fn is_owned(target: &Target, host: HostId, run: Incarnation) -> bool {
    target.owner == Some((host, run))
}
