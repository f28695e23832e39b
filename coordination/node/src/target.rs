//! An owned target, with the state that its owner tracks.

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

/// A target without a report for this long gets no new work.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// A report corrects the recorded adapters only if its content is at least this much later than the
/// end of the last order.
const ORDER_GRACE: Duration = Duration::from_secs(5);

/// The state of an adapter on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Presence {
    /// Requests may start on it.
    Ready,
    /// It is being loaded.
    Loading,
    /// It is being evicted.
    Evicting,
}

/// An occupied adapter slot of a target.
#[derive(Debug, Clone)]
pub(crate) struct AdapterSlot {
    pub(crate) presence: Presence,
    /// This host's requests that use the adapter.
    pub(crate) users: u32,
    /// Whether requests of an earlier owner may still use the adapter.
    pub(crate) maybe_used: bool,
}

impl AdapterSlot {
    pub(crate) fn new(presence: Presence, maybe_used: bool) -> AdapterSlot {
        AdapterSlot { presence, users: 0, maybe_used }
    }
}

/// The result of handling a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportOutcome {
    /// It is older than the last one, and was ignored.
    Stale,
    /// It was recorded.
    Accepted,
    /// It was recorded, and is the first of a new incarnation of the target.
    Restarted,
}

/// An owned target.
#[derive(Debug)]
pub(crate) struct TrackedTarget {
    pub(crate) id: TargetId,
    pub(crate) info: TargetInfo,
    pub(crate) fence: Fence,
    pub(crate) incarnation: Option<Incarnation>,
    seq: u64,
    reported_at: Option<Duration>,
    pub(crate) leaving: bool,
    /// Whether a report shows that the target knows of this ownership.
    pub(crate) confirmed: bool,
    /// When the last order ended.
    pub(crate) order_ended: Duration,
    pub(crate) adapters: BTreeMap<AdapterId, AdapterSlot>,
    /// Adapters with orders of an earlier owner that may still take effect.
    blocked: BTreeSet<AdapterId>,
    /// Number of loaded adapters that the configuration does not declare.
    undeclared: u32,
    pub(crate) running: BTreeSet<RequestId>,
    /// The request that must be the only one on the target, if there is one.
    pub(crate) alone: Option<RequestId>,
    /// Requests that the target reported beyond those of this host.
    foreign: u32,
    /// Whether a call since the last report could not be sent, or was refused for a reason without
    /// handling of its own.
    pub(crate) unreachable: bool,
    /// Whether it was open and this host had a lease at the last
    /// [`TrackedTarget::update_accepting`].
    was_accepting: bool,
    /// When this host came to own the target, or last proposed to forget it.
    since: Duration,
}

impl TrackedTarget {
    pub(crate) fn new(now: Duration, target: &Target) -> TrackedTarget {
        TrackedTarget {
            id: target.id,
            info: target.info.clone(),
            fence: target.fence,
            incarnation: None,
            seq: 0,
            reported_at: None,
            leaving: false,
            confirmed: false,
            order_ended: Duration::ZERO,
            adapters: BTreeMap::new(),
            blocked: blocked_adapters(target),
            undeclared: 0,
            running: BTreeSet::new(),
            alone: None,
            foreign: 0,
            unreachable: false,
            was_accepting: false,
            since: now,
        }
    }

    /// Updates the target from the registry.
    pub(crate) fn update(&mut self, target: &Target) {
        self.info = target.info.clone();
        self.blocked = blocked_adapters(target);
    }

    /// Handles a report of the target.
    pub(crate) fn handle_report(
        &mut self,
        now: Duration,
        config: &Config,
        report: &TargetReport,
    ) -> ReportOutcome {
        let known = self.incarnation;
        if known.is_some_and(|current| report.incarnation < current) {
            return ReportOutcome::Stale;
        }
        let restarted = known.is_some_and(|current| report.incarnation > current);
        if !restarted && known.is_some() && report.seq <= self.seq {
            return ReportOutcome::Stale;
        }
        if restarted {
            self.restart();
        }
        self.incarnation = Some(report.incarnation);
        self.seq = report.seq;
        self.reported_at = Some(now);
        self.unreachable = false;
        self.leaving = report.leaving;
        let own = self.running.len() as u32;
        self.foreign = (report.load.running + report.load.queued).saturating_sub(own);
        self.update_adapters(now, config, report);
        if restarted {
            return ReportOutcome::Restarted;
        }
        ReportOutcome::Accepted
    }

    fn restart(&mut self) {
        self.adapters.clear();
        self.running.clear();
        self.alone = None;
        self.confirmed = false;
        self.seq = 0;
    }

    fn update_adapters(&mut self, now: Duration, config: &Config, report: &TargetReport) {
        let loaded = adapter_ids(config, &report.loaded);
        let busy = adapter_ids(config, &report.busy);
        self.undeclared = (report.loaded.len() - loaded.len()) as u32;
        if !self.confirmed {
            self.adopt(&loaded);
            self.confirmed = report.fence >= self.fence;
        }
        if self.confirmed && report.fence >= self.fence {
            self.clear_maybe_used(&busy);
        }
        if now.saturating_sub(report.age) > self.order_ended + ORDER_GRACE {
            self.reconcile(&loaded, &busy);
        }
    }

    /// Sets the recorded adapters to the reported ones, but keeps those in use. Until the ownership
    /// is confirmed no order is sent, so the report says what the target holds.
    fn adopt(&mut self, loaded: &BTreeSet<AdapterId>) {
        self.adapters.retain(|id, slot| loaded.contains(id) || slot.users > 0);
        for &id in loaded {
            self.adapters.entry(id).or_insert_with(|| AdapterSlot::new(Presence::Ready, true));
        }
    }

    fn clear_maybe_used(&mut self, busy: &BTreeSet<AdapterId>) {
        for (id, slot) in &mut self.adapters {
            if !busy.contains(id) {
                slot.maybe_used = false;
            }
        }
    }

    /// Corrects the recorded adapters where no order explains a difference from the report.
    fn reconcile(&mut self, loaded: &BTreeSet<AdapterId>, busy: &BTreeSet<AdapterId>) {
        self.adapters.retain(|id, slot| {
            loaded.contains(id) || slot.users > 0 || slot.presence != Presence::Ready
        });
        for &id in loaded {
            let maybe_used = busy.contains(&id);
            self.adapters
                .entry(id)
                .or_insert_with(|| AdapterSlot::new(Presence::Ready, maybe_used));
        }
    }

    /// Returns whether new work may go to the target.
    pub(crate) fn is_open(&self, now: Duration) -> bool {
        let recent = self.reported_at.is_some_and(|at| now < at + REPORT_TIMEOUT);
        recent && !self.leaving && !self.unreachable
    }

    /// Returns whether requests may wait for the target: it accepts new work, or may do so with its
    /// next report.
    pub(crate) fn is_usable(&self, now: Duration) -> bool {
        self.reported_at.is_some_and(|at| now < at + REPORT_TIMEOUT) && !self.leaving
    }

    /// Returns whether no report came for the time `limit`. Returns true at most once per `limit`.
    pub(crate) fn check_silence(&mut self, now: Duration, limit: Duration) -> bool {
        let last = self.reported_at.unwrap_or_default().max(self.since);
        if now < last + limit {
            return false;
        }
        self.since = now;
        true
    }

    /// Records whether the target is open and this host has a lease. Returns whether that changed
    /// since the last call.
    pub(crate) fn update_accepting(&mut self, now: Duration, has_lease: bool) -> bool {
        let accepting = has_lease && self.is_open(now);
        std::mem::replace(&mut self.was_accepting, accepting) != accepting
    }

    /// Returns whether orders may be sent to the target.
    pub(crate) fn accepts_orders(&self, now: Duration) -> bool {
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
            slot.presence == Presence::Ready && slot.users == 0 && !slot.maybe_used
        });
        idle && !self.blocked.contains(&adapter)
    }

    /// Returns the target as the policy sees it.
    pub(crate) fn view(&self, now: Duration, has_lease: bool) -> TargetView {
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
            slots: self.info.capacity.adapters.saturating_sub(self.undeclared),
            batch: self.info.capacity.requests,
            running: self.running.len() as u32,
            external: self.foreign,
            open: has_lease && self.is_open(now),
            exclusive: self.alone.is_some(),
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

    /// Returns whether an earlier owner's order for an adapter may still take effect.
    pub(crate) fn is_blocked(&self, adapter: AdapterId) -> bool {
        self.blocked.contains(&adapter)
    }

    pub(crate) fn set_presence(&mut self, adapter: AdapterId, presence: Presence) {
        if let Some(slot) = self.adapters.get_mut(&adapter) {
            slot.presence = presence;
        }
    }

    /// Handles a refusal because the adapter is not loaded: removes the request, and the adapter
    /// unless others use it.
    pub(crate) fn forget_adapter(&mut self, adapter: Option<AdapterId>, request: RequestId) {
        self.remove_request(request, adapter);
        let Some(adapter) = adapter else { return };
        let unused = self
            .adapters
            .get(&adapter)
            .is_some_and(|slot| slot.users == 0 && slot.presence == Presence::Ready);
        if unused {
            self.adapters.remove(&adapter);
        }
    }

    /// Records that the target has no capacity left, whatever it last reported.
    pub(crate) fn mark_full(&mut self) {
        // The refused request still counts in `own` and is removed next.
        let own = self.running.len() as u32;
        self.foreign = self.foreign.max(self.info.capacity.requests.saturating_sub(own) + 1);
    }

    /// Records that a request runs on the target.
    pub(crate) fn add_request(
        &mut self,
        request: RequestId,
        adapter: Option<AdapterId>,
        alone: bool,
    ) {
        self.running.insert(request);
        if alone {
            self.alone = Some(request);
        }
        let slot = adapter.and_then(|id| self.adapters.get_mut(&id));
        if let Some(slot) = slot {
            slot.users += 1;
        }
    }

    /// Records that a request no longer runs on the target.
    pub(crate) fn remove_request(&mut self, request: RequestId, adapter: Option<AdapterId>) {
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

fn blocked_adapters(target: &Target) -> BTreeSet<AdapterId> {
    let foreign = target.intents.iter().filter(|open| open.intent.fence != target.fence);
    foreign.map(|open| open.intent.adapter).collect()
}

fn adapter_ids(config: &Config, names: &[String]) -> BTreeSet<AdapterId> {
    names.iter().filter_map(|name| config.adapters.get(name)).map(|info| info.id).collect()
}

/// Returns whether a target is owned by the given incarnation of a host.
pub(crate) fn is_owned(target: &Target, host: HostId, incarnation: Incarnation) -> bool {
    target.owner == Some((host, incarnation))
}
