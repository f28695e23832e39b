//! This host's lease and, while it leads, the leases of all hosts, the
//! ownership of targets and the plan of loads.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lease::{Grantor, Holder, LiveHost, Terms, balance};
use place::{PlannerSettings, StorePlanner};
use wire::{
    Command, Digest, Grant, HostId, Incarnation, Index, Intent, PeerMsg, Renew, SlotDone, Term,
    Want,
};

use crate::{
    Change, Output,
    effect::Effects,
    view::{Ctx, View},
};

const BALANCE_EVERY: Duration = Duration::from_millis(500);
const REPROPOSE_AFTER: Duration = Duration::from_secs(2);
const BALANCE_MOVES: usize = 2;

/// What a leader keeps.
#[derive(Debug)]
struct Lead {
    term: Term,
    grantor: Grantor,
    planner: StorePlanner,
    balanced: Duration,
    /// Assignments under way, so that they are not proposed twice at once.
    proposed: Option<(Duration, Index)>,
    /// Lost runs whose claims were proposed to be put in doubt, and when.
    doubted: BTreeMap<(HostId, Incarnation), Duration>,
    /// Intents whose withdrawal was proposed.
    resolved: BTreeSet<Index>,
}

/// The table of leases.
#[derive(Debug)]
pub(crate) struct Member {
    hosts: Vec<HostId>,
    terms: Terms,
    planner: PlannerSettings,
    holder: Holder,
    lead: Option<Lead>,
    held: bool,
}

impl Member {
    pub(crate) fn new(
        hosts: Vec<HostId>,
        run: Incarnation,
        domain: &str,
        terms: Terms,
        planner: PlannerSettings,
    ) -> Member {
        let holder = Holder::new(terms, domain.to_owned(), run);
        Member { hosts, terms, planner, holder, lead: None, held: false }
    }

    /// Returns when the lease ends, if it counts now.
    pub(crate) fn lease(&self, now: Duration, applied: Index) -> Option<Duration> {
        self.holder.valid_until(applied).filter(|until| now < *until)
    }

    /// Returns the hosts that hold leases, on the leader.
    pub(crate) fn live(&self, now: Duration) -> Vec<LiveHost> {
        let Some(lead) = &self.lead else { return Vec::new() };
        lead.grantor.live(now)
    }

    pub(crate) fn in_force(&self, now: Duration, index: Index) -> Option<Vec<wire::DomainForce>> {
        let lead = self.lead.as_ref()?;
        Some(lead.grantor.in_force(now, index))
    }

    pub(crate) fn tick(&mut self, ctx: &Ctx, digest: &Digest, fx: &mut Effects) {
        self.follow(ctx);
        self.renew(ctx, digest, fx);
        self.note_lease(ctx, fx);
        let Some(lead) = &mut self.lead else { return };
        lead.grantor.committed(ctx.now, ctx.view.commit);
        for (host, grant) in lead.planner.grant(ctx.now) {
            fx.send(host, PeerMsg::Slots(vec![grant]));
        }
        lead.assign(ctx, fx);
    }

    /// On the leader: puts the claims of lost runs in doubt.
    pub(crate) fn doubt(
        &mut self,
        ctx: &Ctx,
        claimers: &[(HostId, Incarnation)],
        fx: &mut Effects,
    ) {
        let Some(lead) = &mut self.lead else { return };
        lead.doubt(ctx, claimers, fx);
    }

    /// Starts or stops to lead.
    fn follow(&mut self, ctx: &Ctx) {
        let view = &ctx.view;
        if !view.leading {
            self.lead = None;
            return;
        }
        if self.lead.as_ref().is_some_and(|lead| lead.term == view.term) {
            return;
        }
        let founding = view.registry.targets().next().is_none();
        let mut grantor = Grantor::new(ctx.now, self.terms, view.term);
        grantor.set_hosts(self.hosts.iter().copied());
        self.lead = Some(Lead {
            term: view.term,
            grantor,
            planner: StorePlanner::new(ctx.now, self.planner, founding).numbered(view.term),
            balanced: Duration::ZERO,
            proposed: None,
            doubted: BTreeMap::new(),
            resolved: BTreeSet::new(),
        });
    }

    fn renew(&mut self, ctx: &Ctx, digest: &Digest, fx: &mut Effects) {
        let Some(leader) = ctx.view.leader else { return };
        let Some(renew) = self.holder.due(ctx.now, ctx.view.applied, digest) else { return };
        fx.send(leader, PeerMsg::Renew(renew));
    }

    fn note_lease(&mut self, ctx: &Ctx, fx: &mut Effects) {
        let held = self.holder.valid(ctx.now, ctx.view.applied);
        if held == self.held {
            return;
        }
        self.held = held;
        fx.out(Output::Changed(Change::Lease(held)));
    }

    /// Makes a renewal due: the leader waits to hear that a change is applied.
    pub(crate) fn hurry(&mut self) {
        self.holder.hurry();
    }

    /// Answers a host that asks for a lease.
    pub(crate) fn asked(&mut self, ctx: &Ctx, from: HostId, renew: Renew, fx: &mut Effects) {
        self.follow(ctx);
        let Some(lead) = &mut self.lead else { return };
        let grant = lead.grantor.renew(ctx.now, ctx.view.quorum_at, from, renew);
        fx.send(from, PeerMsg::Grant(grant));
    }

    /// Takes a grant. Returns false if it is of no use.
    pub(crate) fn granted(&mut self, ctx: &Ctx, grant: &Grant, fx: &mut Effects) -> bool {
        let taken = self.holder.granted(ctx.now, grant);
        if let Some((seen, shown)) = self.holder.went_back() {
            let text = format!("commit index went back from {seen} to {shown}");
            fx.out(Output::Changed(Change::Alarm(text)));
        }
        self.note_lease(ctx, fx);
        taken
    }

    pub(crate) fn wants(&mut self, now: Duration, from: HostId, wants: Vec<Want>) {
        let Some(lead) = &mut self.lead else { return };
        lead.planner.wants(now, from, wants);
    }

    pub(crate) fn slot_done(&mut self, now: Duration, from: HostId, done: SlotDone) {
        let Some(lead) = &mut self.lead else { return };
        lead.planner.done(now, from, done);
    }
}

impl Lead {
    /// Puts claims in doubt whose claimers hold no lease. The open claims are
    /// looked at again and again: one may be committed after its host was lost.
    fn doubt(&mut self, ctx: &Ctx, claimers: &[(HostId, Incarnation)], fx: &mut Effects) {
        if !self.grantor.settled(ctx.now) {
            return;
        }
        self.doubted.retain(|_, at| ctx.now < *at + REPROPOSE_AFTER);
        for &(host, run) in claimers {
            if self.grantor.is_live(ctx.now, host, run) || self.doubted.contains_key(&(host, run)) {
                continue;
            }
            self.doubted.insert((host, run), ctx.now);
            fx.propose(Command::HostLost { host, before: run.saturating_add(1) });
        }
    }

    /// Moves targets to live owners and withdraws what lost runs left behind.
    fn assign(&mut self, ctx: &Ctx, fx: &mut Effects) {
        for (host, _) in self.grantor.lost(ctx.now) {
            self.planner.remove_host(host);
        }
        if ctx.now < self.balanced + BALANCE_EVERY {
            return;
        }
        self.balanced = ctx.now;
        if !self.grantor.settled(ctx.now) || self.is_waiting(ctx) {
            return;
        }
        let live = self.grantor.live(ctx.now);
        self.withdraw_intents(&live, &ctx.view, fx);
        let moves = balance(&ctx.view.registry, &live, BALANCE_MOVES);
        if moves.is_empty() {
            return;
        }
        self.proposed = Some((ctx.now, ctx.view.applied));
        fx.propose(Command::Assign(moves));
    }

    /// Returns whether an earlier assignment may still be on its way.
    fn is_waiting(&self, ctx: &Ctx) -> bool {
        let Some((at, applied)) = self.proposed else { return false };
        ctx.view.applied <= applied && ctx.now < at + REPROPOSE_AFTER
    }

    /// Withdraws intents whose sender's process has been replaced by a later
    /// run: a dead process sends nothing.
    fn withdraw_intents(&mut self, live: &[LiveHost], view: &View, fx: &mut Effects) {
        for target in view.registry.targets() {
            for open in &target.intents {
                if !is_replaced(&open.intent, live) || !self.resolved.insert(open.index) {
                    continue;
                }
                fx.propose(Command::Resolve(open.index));
            }
        }
    }
}

fn is_replaced(intent: &Intent, live: &[LiveHost]) -> bool {
    live.iter().any(|host| host.host == intent.host && host.incarnation > intent.run)
}
