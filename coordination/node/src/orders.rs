//! Loads and evictions on owned targets.

use std::time::Duration;

use place::LoadOrder;
use wire::{
    Action, AdapterId, Command, HostId, Incarnation, Index, Intent, PeerMsg, SlotDone, SlotGrant,
    TargetId,
};

use crate::{
    Order, OrderResult, Output,
    effect::Effects,
    held::{Presence, Slot},
    owner::Owner,
    view::Ctx,
};

const WANTS_EVERY: Duration = Duration::from_millis(100);
const REPEAT_AFTER: Duration = Duration::from_millis(500);

/// Where an order stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Its intent is being committed.
    Recording,
    /// The target has it.
    Sent,
    /// No answer came; it is repeated at the given time.
    Unknown(Duration),
}

/// A load, with the eviction before it.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    order: LoadOrder,
    grant: SlotGrant,
    planner: HostId,
    /// When the slot's right to start a load ends.
    expires: Duration,
    action: Action,
    stage: Stage,
    intent: Option<Index>,
    incarnation: Incarnation,
    /// Whether the store was asked.
    used: bool,
    /// The target is no longer owned: only the intent is of interest.
    orphan: bool,
}

impl Job {
    fn subject(&self) -> AdapterId {
        match self.action {
            Action::Load => self.order.adapter,
            Action::Evict => self.order.victim.unwrap_or(self.order.adapter),
        }
    }
}

impl Owner {
    /// Tells the leader which loads are worth a slot.
    pub(crate) fn send_wants(&mut self, ctx: &Ctx, fx: &mut Effects) {
        if ctx.now < self.sent_wants + WANTS_EVERY {
            return;
        }
        self.sent_wants = ctx.now;
        let Some(leader) = ctx.view.leader else { return };
        let wants = match ctx.lease {
            Some(_) => self.policy.wants(ctx.now),
            None => Vec::new(),
        };
        if wants.is_empty() && !self.stats.wanted {
            return;
        }
        self.stats.wanted = !wants.is_empty();
        fx.send(leader, PeerMsg::Wants(wants));
    }

    /// Takes slots granted by the leader.
    pub(crate) fn slots(
        &mut self,
        ctx: &Ctx,
        from: HostId,
        grants: Vec<SlotGrant>,
        fx: &mut Effects,
    ) {
        self.flush(ctx);
        for grant in grants {
            self.slot(ctx, from, grant, fx);
        }
    }

    fn slot(&mut self, ctx: &Ctx, planner: HostId, grant: SlotGrant, fx: &mut Effects) {
        let placed = self.place(ctx, grant.adapter);
        let reserved = placed.and_then(|order| Some((order, self.reserve(&order)?)));
        let Some((order, (action, incarnation))) = reserved else {
            let done = SlotDone { slot: grant.slot, used: false, ok: false };
            fx.send(planner, PeerMsg::SlotDone(done));
            return;
        };
        let id = self.next_order;
        self.next_order += 1;
        let job = Job {
            order,
            grant,
            planner,
            expires: ctx.now + grant.term / 2,
            action,
            stage: Stage::Recording,
            intent: None,
            incarnation,
            used: false,
            orphan: false,
        };
        self.jobs.insert(id, job);
        self.begin(ctx, id, fx);
        self.flush(ctx);
    }

    /// Asks the policy where to load an adapter, and checks its order.
    fn place(&mut self, ctx: &Ctx, adapter: AdapterId) -> Option<LoadOrder> {
        ctx.lease?;
        let order = self.policy.place(ctx.now, adapter)?;
        if self.is_allowed(ctx, &order) {
            return Some(order);
        }
        self.policy.loaded(ctx.now, order, false);
        None
    }

    /// Marks what an order will change. Returns its first action and the run of
    /// the target.
    fn reserve(&mut self, order: &LoadOrder) -> Option<(Action, Incarnation)> {
        let held = self.targets.get_mut(&order.target)?;
        let incarnation = held.incarnation?;
        self.dirty.insert(order.target);
        if let Some(victim) = order.victim {
            held.set_presence(victim, Presence::Evicting);
            return Some((Action::Evict, incarnation));
        }
        held.adapters.insert(order.adapter, Slot::new(Presence::Loading, false));
        Some((Action::Load, incarnation))
    }

    /// Checks an order of the policy against what must hold.
    fn is_allowed(&self, ctx: &Ctx, order: &LoadOrder) -> bool {
        let Some(held) = self.targets.get(&order.target) else { return false };
        if !held.takes_orders(ctx.now) || held.incarnation.is_none() {
            return false;
        }
        if held.adapters.contains_key(&order.adapter) || held.is_blocked(order.adapter) {
            return false;
        }
        order.victim.is_none_or(|victim| held.is_idle(victim))
    }

    /// Sends an order, after its intent is committed if the target does not
    /// check fencing numbers.
    fn begin(&mut self, ctx: &Ctx, id: u64, fx: &mut Effects) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(held) = self.targets.get(&job.order.target) else { return };
        if held.info.fenced {
            self.send_order(ctx, id, fx);
            return;
        }
        job.stage = Stage::Recording;
        fx.propose(Command::Intent(Intent {
            host: self.host,
            run: self.run,
            target: job.order.target,
            incarnation: job.incarnation,
            fence: held.fence,
            adapter: job.subject(),
            action: job.action,
        }));
    }

    /// Takes the commit of an intent of this host.
    pub(crate) fn intended(
        &mut self,
        ctx: &Ctx,
        intent: &Intent,
        index: Index,
        taken: bool,
        fx: &mut Effects,
    ) {
        let found = self.jobs.iter().find(|(_, job)| {
            job.stage == Stage::Recording
                && job.order.target == intent.target
                && job.subject() == intent.adapter
                && job.action == intent.action
                && job.incarnation == intent.incarnation
                && !job.orphan
        });
        let Some((&id, _)) = found else {
            if taken {
                fx.propose(Command::Resolve(index));
            }
            return;
        };
        if !taken {
            self.end(ctx, id, false, fx);
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.intent = Some(index);
        }
        self.send_order(ctx, id, fx);
    }

    fn send_order(&mut self, ctx: &Ctx, id: u64, fx: &mut Effects) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(held) = self.targets.get(&job.order.target) else { return };
        let late = job.action == Action::Load && !job.used && ctx.now >= job.expires;
        let Some(until) = ctx.lease.filter(|_| !late) else {
            self.end(ctx, id, false, fx);
            return;
        };
        let adapter = job.subject();
        let Some(name) = ctx.view.config.names.get(adapter as usize) else {
            self.end(ctx, id, false, fx);
            return;
        };
        job.stage = Stage::Sent;
        job.used |= job.action == Action::Load;
        fx.out(Output::Order(Order {
            order: id,
            target: job.order.target,
            addr: held.info.addr.clone(),
            fence: held.fence,
            until,
            incarnation: job.incarnation,
            action: job.action,
            adapter: name.clone(),
        }));
    }

    /// Takes the end of an order.
    pub(crate) fn order_ended(
        &mut self,
        ctx: &Ctx,
        id: u64,
        result: &OrderResult,
        fx: &mut Effects,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if *result == OrderResult::Unknown && !job.orphan {
            job.stage = Stage::Unknown(ctx.now + REPEAT_AFTER);
            return;
        }
        if *result == OrderResult::Unknown {
            // The intent stays open: the order may still have an effect.
            self.jobs.remove(&id);
            return;
        }
        if let Some(index) = job.intent.take() {
            fx.propose(Command::Resolve(index));
        }
        if *result == OrderResult::NotSent && job.action == Action::Load {
            job.used = false;
        }
        let done = matches!(result, OrderResult::Done(_));
        if let Some(held) = self.targets.get_mut(&job.order.target) {
            held.ordered = ctx.now;
        }
        self.step(ctx, id, done, fx);
    }

    /// Goes on after an order: from the eviction to the load, or to the end.
    fn step(&mut self, ctx: &Ctx, id: u64, done: bool, fx: &mut Effects) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let evicted = done && job.action == Action::Evict && !job.orphan;
        let held = self.targets.get_mut(&job.order.target);
        let (true, Some(held)) = (evicted, held) else {
            self.end(ctx, id, done, fx);
            return;
        };
        held.adapters.remove(&job.subject());
        held.adapters.insert(job.order.adapter, Slot::new(Presence::Loading, false));
        self.dirty.insert(job.order.target);
        job.action = Action::Load;
        self.begin(ctx, id, fx);
    }

    /// Ends a job and gives its slot back.
    fn end(&mut self, ctx: &Ctx, id: u64, done: bool, fx: &mut Effects) {
        let Some(job) = self.jobs.remove(&id) else { return };
        let ok = done && job.action == Action::Load;
        let reply = SlotDone { slot: job.grant.slot, used: job.used, ok };
        fx.send(job.planner, PeerMsg::SlotDone(reply));
        if job.orphan {
            return;
        }
        let Some(held) = self.targets.get_mut(&job.order.target) else { return };
        match job.action {
            Action::Load if ok => held.set_presence(job.order.adapter, Presence::Ready),
            Action::Load => {
                held.adapters.remove(&job.order.adapter);
            }
            Action::Evict => held.set_presence(job.subject(), Presence::Ready),
        }
        self.dirty.insert(job.order.target);
        self.flush(ctx);
        self.policy.loaded(ctx.now, job.order, ok);
        self.pump(ctx, fx);
    }

    /// Repeats orders that were not answered. They change nothing when repeated.
    pub(crate) fn tick_orders(&mut self, ctx: &Ctx, fx: &mut Effects) {
        let mut due = Vec::new();
        for (&id, job) in &self.jobs {
            let Stage::Unknown(at) = job.stage else { continue };
            if ctx.now >= at && ctx.lease.is_some() {
                due.push(id);
            }
        }
        for id in due {
            self.send_order(ctx, id, fx);
        }
    }

    /// Gives up the jobs on a target that is lost or restarted. Orders that were
    /// sent stay known until they are answered, for their intents.
    pub(crate) fn drop_jobs(&mut self, ctx: &Ctx, target: TargetId, fx: &mut Effects) {
        let mut ended = Vec::new();
        for (&id, job) in &mut self.jobs {
            if job.order.target != target || job.orphan {
                continue;
            }
            job.orphan = true;
            self.policy.loaded(ctx.now, job.order, false);
            if job.stage != Stage::Sent {
                ended.push(id);
            }
        }
        for id in ended {
            let Some(job) = self.jobs.remove(&id) else { continue };
            let done = SlotDone { slot: job.grant.slot, used: job.used, ok: false };
            fx.send(job.planner, PeerMsg::SlotDone(done));
        }
    }
}
