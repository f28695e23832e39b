//! Loads and evictions of adapters on owned targets.

use std::time::Duration;

use place::LoadOrder;
use wire::{
    Action, AdapterId, Command, HostId, Incarnation, Index, Intent, LoadEnded, LoadGrant, PeerMsg,
    TargetId,
};

use crate::{
    Order, OrderResult, Output,
    effect::Effects,
    owner::Owner,
    target::{AdapterSlot, Presence},
    view::Ctx,
};

const LOAD_REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const REPEAT_DELAY: Duration = Duration::from_millis(500);

/// The state of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderStage {
    /// Its intent is being committed.
    Recording,
    /// It was sent to the target and has not ended.
    Sent,
    /// No answer came. It is repeated at the given time.
    Unknown(Duration),
}

/// A load, with the eviction that precedes it if the target has no free slot.
#[derive(Debug, Clone)]
pub(crate) struct LoadJob {
    order: LoadOrder,
    grant: LoadGrant,
    granted_by: HostId,
    /// The load must be sent before this time.
    start_before: Duration,
    action: Action,
    stage: OrderStage,
    intent: Option<Index>,
    incarnation: Incarnation,
    /// Whether the load was sent, so that the target may have loaded from the weight store.
    store_used: bool,
    /// Whether the target was lost or has restarted. Only the intent is followed then.
    orphaned: bool,
}

impl LoadJob {
    fn adapter(&self) -> AdapterId {
        match self.action {
            Action::Load => self.order.adapter,
            Action::Evict => self.order.victim.unwrap_or(self.order.adapter),
        }
    }
}

impl Owner {
    /// Sends the leader requests for the loads that are worth a slot.
    pub(crate) fn send_load_requests(&mut self, ctx: &Ctx, fx: &mut Effects) {
        if ctx.now < self.loads_requested + LOAD_REQUEST_INTERVAL {
            return;
        }
        self.loads_requested = ctx.now;
        let Some(leader) = ctx.view.leader else { return };
        let load_requests = match ctx.lease {
            Some(_) => self.policy.load_requests(ctx.now),
            None => Vec::new(),
        };
        if load_requests.is_empty() && !self.stats.requested_any {
            return;
        }
        self.stats.requested_any = !load_requests.is_empty();
        fx.send(leader, PeerMsg::LoadRequests(load_requests));
    }

    /// Handles load slots that the leader granted.
    pub(crate) fn handle_slots(
        &mut self,
        ctx: &Ctx,
        from: HostId,
        grants: Vec<LoadGrant>,
        fx: &mut Effects,
    ) {
        self.update_policy(ctx);
        for grant in grants {
            self.use_slot(ctx, from, grant, fx);
        }
    }

    fn use_slot(&mut self, ctx: &Ctx, granted_by: HostId, grant: LoadGrant, fx: &mut Effects) {
        let placed = self.plan_load(ctx, grant.adapter);
        let reserved = placed.and_then(|order| Some((order, self.reserve(&order)?)));
        let Some((order, (action, incarnation))) = reserved else {
            let done = LoadEnded { slot: grant.slot, used: false, ok: false };
            fx.send(granted_by, PeerMsg::LoadEnded(done));
            return;
        };
        let id = self.next_order;
        self.next_order += 1;
        let job = LoadJob {
            order,
            grant,
            granted_by,
            start_before: ctx.now + grant.duration / 2,
            action,
            stage: OrderStage::Recording,
            intent: None,
            incarnation,
            store_used: false,
            orphaned: false,
        };
        self.load_jobs.insert(id, job);
        self.send_or_record(ctx, id, fx);
        self.update_policy(ctx);
    }

    /// Returns where the policy loads an adapter, if the target's state allows it.
    fn plan_load(&mut self, ctx: &Ctx, adapter: AdapterId) -> Option<LoadOrder> {
        ctx.lease?;
        let order = self.policy.order_load(ctx.now, adapter)?;
        if self.is_allowed(ctx, &order) {
            return Some(order);
        }
        self.policy.loaded(ctx.now, order, false);
        None
    }

    /// Reserves an adapter slot for an order: marks the adapters that the order will change.
    /// Returns its first action and the target's incarnation.
    fn reserve(&mut self, order: &LoadOrder) -> Option<(Action, Incarnation)> {
        let tracked = self.targets.get_mut(&order.target)?;
        let incarnation = tracked.incarnation?;
        self.dirty.insert(order.target);
        if let Some(victim) = order.victim {
            tracked.set_presence(victim, Presence::Evicting);
            return Some((Action::Evict, incarnation));
        }
        tracked.adapters.insert(order.adapter, AdapterSlot::new(Presence::Loading, false));
        Some((Action::Load, incarnation))
    }

    /// Returns whether the target's state allows an order of the policy.
    fn is_allowed(&self, ctx: &Ctx, order: &LoadOrder) -> bool {
        let Some(tracked) = self.targets.get(&order.target) else { return false };
        if !tracked.accepts_orders(ctx.now) || tracked.incarnation.is_none() {
            return false;
        }
        if tracked.adapters.contains_key(&order.adapter) || tracked.is_blocked(order.adapter) {
            return false;
        }
        order.victim.is_none_or(|victim| tracked.is_idle(victim))
    }

    /// Sends an order. If the target does not check fencing numbers, the order's intent is
    /// committed first.
    fn send_or_record(&mut self, ctx: &Ctx, id: u64, fx: &mut Effects) {
        let Some(job) = self.load_jobs.get_mut(&id) else { return };
        let Some(tracked) = self.targets.get(&job.order.target) else { return };
        if tracked.info.fenced {
            self.send_order(ctx, id, fx);
            return;
        }
        job.stage = OrderStage::Recording;
        fx.propose(Command::Intent(Intent {
            host: self.host,
            host_incarnation: self.incarnation,
            target: job.order.target,
            incarnation: job.incarnation,
            fence: tracked.fence,
            adapter: job.adapter(),
            action: job.action,
        }));
    }

    /// Handles the commit of an intent that this host proposed. The registry has refused it if
    /// `accepted` is false.
    pub(crate) fn intent_applied(
        &mut self,
        ctx: &Ctx,
        intent: &Intent,
        index: Index,
        accepted: bool,
        fx: &mut Effects,
    ) {
        let found = self.load_jobs.iter().find(|(_, job)| {
            job.stage == OrderStage::Recording
                && job.order.target == intent.target
                && job.adapter() == intent.adapter
                && job.action == intent.action
                && job.incarnation == intent.incarnation
                && !job.orphaned
        });
        let Some((&id, _)) = found else {
            if accepted {
                fx.propose(Command::Resolve(index));
            }
            return;
        };
        if !accepted {
            self.end_job(ctx, id, false, fx);
            return;
        }
        if let Some(job) = self.load_jobs.get_mut(&id) {
            job.intent = Some(index);
        }
        self.send_order(ctx, id, fx);
    }

    fn send_order(&mut self, ctx: &Ctx, id: u64, fx: &mut Effects) {
        let Some(job) = self.load_jobs.get_mut(&id) else { return };
        let Some(tracked) = self.targets.get(&job.order.target) else { return };
        let late = job.action == Action::Load && !job.store_used && ctx.now >= job.start_before;
        let Some(lease_until) = ctx.lease.filter(|_| !late) else {
            self.end_job(ctx, id, false, fx);
            return;
        };
        let adapter = job.adapter();
        let Some(name) = ctx.view.config.names.get(adapter as usize) else {
            self.end_job(ctx, id, false, fx);
            return;
        };
        job.stage = OrderStage::Sent;
        job.store_used |= job.action == Action::Load;
        fx.output(Output::Order(Order {
            order: id,
            target: job.order.target,
            addr: tracked.info.addr.clone(),
            fence: tracked.fence,
            lease_until,
            incarnation: job.incarnation,
            action: job.action,
            adapter: name.clone(),
        }));
    }

    /// Handles the end of an order.
    pub(crate) fn order_ended(
        &mut self,
        ctx: &Ctx,
        id: u64,
        result: &OrderResult,
        fx: &mut Effects,
    ) {
        let Some(job) = self.load_jobs.get_mut(&id) else { return };
        if *result == OrderResult::Unknown && !job.orphaned {
            job.stage = OrderStage::Unknown(ctx.now + REPEAT_DELAY);
            return;
        }
        if *result == OrderResult::Unknown {
            // The intent stays open: the order may still have an effect.
            self.load_jobs.remove(&id);
            return;
        }
        if let Some(index) = job.intent.take() {
            fx.propose(Command::Resolve(index));
        }
        if *result == OrderResult::NotSent && job.action == Action::Load {
            job.store_used = false;
        }
        let done = matches!(result, OrderResult::Done(_));
        if let Some(tracked) = self.targets.get_mut(&job.order.target) {
            tracked.order_ended = ctx.now;
        }
        self.advance(ctx, id, done, fx);
    }

    /// Continues a job after an order: with the load after an eviction, or else with the job's end.
    fn advance(&mut self, ctx: &Ctx, id: u64, done: bool, fx: &mut Effects) {
        let Some(job) = self.load_jobs.get_mut(&id) else { return };
        let evicted = done && job.action == Action::Evict && !job.orphaned;
        let tracked = self.targets.get_mut(&job.order.target);
        let (true, Some(tracked)) = (evicted, tracked) else {
            self.end_job(ctx, id, done, fx);
            return;
        };
        tracked.adapters.remove(&job.adapter());
        tracked.adapters.insert(job.order.adapter, AdapterSlot::new(Presence::Loading, false));
        self.dirty.insert(job.order.target);
        job.action = Action::Load;
        self.send_or_record(ctx, id, fx);
    }

    /// Ends a job and returns its slot to the leader that granted it.
    fn end_job(&mut self, ctx: &Ctx, id: u64, done: bool, fx: &mut Effects) {
        let Some(job) = self.load_jobs.remove(&id) else { return };
        let ok = done && job.action == Action::Load;
        let reply = LoadEnded { slot: job.grant.slot, used: job.store_used, ok };
        fx.send(job.granted_by, PeerMsg::LoadEnded(reply));
        if job.orphaned {
            return;
        }
        let Some(tracked) = self.targets.get_mut(&job.order.target) else { return };
        match job.action {
            Action::Load if ok => tracked.set_presence(job.order.adapter, Presence::Ready),
            Action::Load => {
                tracked.adapters.remove(&job.order.adapter);
            }
            Action::Evict => tracked.set_presence(job.adapter(), Presence::Ready),
        }
        self.dirty.insert(job.order.target);
        self.update_policy(ctx);
        self.policy.loaded(ctx.now, job.order, ok);
        self.run_policy(ctx, fx);
    }

    /// Repeats orders that were not answered. Orders are idempotent.
    pub(crate) fn tick_orders(&mut self, ctx: &Ctx, fx: &mut Effects) {
        let mut due = Vec::new();
        for (&id, job) in &self.load_jobs {
            let OrderStage::Unknown(at) = job.stage else { continue };
            if ctx.now >= at && ctx.lease.is_some() {
                due.push(id);
            }
        }
        for id in due {
            self.send_order(ctx, id, fx);
        }
    }

    /// Abandons the jobs on a target that was lost or has restarted. Orders in stage `Sent` are
    /// kept until they end, so that their intents can be resolved. Orders in stage `Unknown`
    /// are dropped, and their intents stay open.
    pub(crate) fn abandon_jobs(&mut self, ctx: &Ctx, target: TargetId, fx: &mut Effects) {
        let mut ended = Vec::new();
        for (&id, job) in &mut self.load_jobs {
            if job.order.target != target || job.orphaned {
                continue;
            }
            job.orphaned = true;
            self.policy.loaded(ctx.now, job.order, false);
            if job.stage != OrderStage::Sent {
                ended.push(id);
            }
        }
        for id in ended {
            let Some(job) = self.load_jobs.remove(&id) else { continue };
            let done = LoadEnded { slot: job.grant.slot, used: job.store_used, ok: false };
            fx.send(job.granted_by, PeerMsg::LoadEnded(done));
        }
    }
}
