//! This host's lease and, while it leads, the leases of all hosts, the ownership of targets and the
//! grants of load slots.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lease::{Grantor, HostLease, LeaseSettings, LiveHost, balance, hand_over};
use place::{PlannerSettings, StorePlanner};
use wire::{
    Command, Digest, Grant, HostId, Incarnation, Index, Intent, LoadEnded, LoadRequest, PeerMsg,
    Renew, Term,
};

use crate::{
    Output, StateChange,
    effect::Effects,
    view::{Ctx, View},
};

const BALANCE_INTERVAL: Duration = Duration::from_millis(500);
const REPROPOSE_INTERVAL: Duration = Duration::from_secs(2);
const MAX_BALANCE_MOVES: usize = 2;

/// State that only a leader keeps.
#[derive(Debug)]
struct LeaderState {
    term: Term,
    grantor: Grantor,
    planner: StorePlanner,
    balanced_at: Duration,
    /// When moves of targets were last proposed, and the index applied then. The same moves must
    /// not be proposed again while they are pending.
    proposed_moves: Option<(Duration, Index)>,
    /// Lost incarnations whose claims were proposed to be marked in doubt, and when.
    proposed_lost: BTreeMap<(HostId, Incarnation), Duration>,
    /// Log indexes of intents whose resolution was proposed.
    resolved: BTreeSet<Index>,
}

/// This host's lease, and its state as leader.
#[derive(Debug)]
pub(crate) struct Leases {
    hosts: Vec<HostId>,
    terms: LeaseSettings,
    planner: PlannerSettings,
    holder: HostLease,
    leader_state: Option<LeaderState>,
    lease_held: bool,
}

impl Leases {
    pub(crate) fn new(
        hosts: Vec<HostId>,
        incarnation: Incarnation,
        domain: &str,
        terms: LeaseSettings,
        planner: PlannerSettings,
    ) -> Leases {
        let holder = HostLease::new(terms, domain.to_owned(), incarnation);
        Leases { hosts, terms, planner, holder, leader_state: None, lease_held: false }
    }

    /// Returns when the lease ends, if it is valid now.
    pub(crate) fn lease_end(&self, now: Duration, applied: Index) -> Option<Duration> {
        self.holder.valid_until(applied).filter(|until| now < *until)
    }

    /// On the leader: returns the hosts that hold leases.
    pub(crate) fn live_hosts(&self, now: Duration) -> Vec<LiveHost> {
        let Some(state) = &self.leader_state else { return Vec::new() };
        state.grantor.live(now)
    }

    pub(crate) fn in_force(&self, now: Duration, index: Index) -> Option<Vec<wire::DomainForce>> {
        let state = self.leader_state.as_ref()?;
        Some(state.grantor.in_force(now, index))
    }

    pub(crate) fn tick(&mut self, ctx: &Ctx, digest: &Digest, fx: &mut Effects) {
        self.sync_leadership(ctx);
        self.send_renewal(ctx, digest, fx);
        self.report_lease_change(ctx, fx);
        let Some(state) = &mut self.leader_state else { return };
        state.grantor.record_commit(ctx.now, ctx.view.commit);
        for (host, grant) in state.planner.grant(ctx.now) {
            fx.send(host, PeerMsg::LoadGrants(vec![grant]));
        }
        state.rebalance(ctx, fx);
    }

    /// On the leader: marks the claims of lost incarnations as in doubt.
    pub(crate) fn mark_in_doubt(
        &mut self,
        ctx: &Ctx,
        claimers: &[(HostId, Incarnation)],
        fx: &mut Effects,
    ) {
        let Some(state) = &mut self.leader_state else { return };
        state.mark_in_doubt(ctx, claimers, fx);
    }

    /// Creates or drops the leader state after a change of leader or term.
    fn sync_leadership(&mut self, ctx: &Ctx) {
        let view = &ctx.view;
        if !view.leading {
            self.leader_state = None;
            return;
        }
        if self.leader_state.as_ref().is_some_and(|state| state.term == view.term) {
            return;
        }
        let founding = view.registry.targets().next().is_none();
        let mut grantor = Grantor::new(ctx.now, self.terms, view.term);
        grantor.set_hosts(self.hosts.iter().copied());
        self.leader_state = Some(LeaderState {
            term: view.term,
            grantor,
            planner: StorePlanner::new(ctx.now, self.planner, founding).with_term(view.term),
            balanced_at: Duration::ZERO,
            proposed_moves: None,
            proposed_lost: BTreeMap::new(),
            resolved: BTreeSet::new(),
        });
    }

    fn send_renewal(&mut self, ctx: &Ctx, digest: &Digest, fx: &mut Effects) {
        let Some(leader) = ctx.view.leader else { return };
        let Some(renew) = self.holder.due(ctx.now, ctx.view.applied, digest) else { return };
        fx.send(leader, PeerMsg::Renew(renew));
    }

    fn report_lease_change(&mut self, ctx: &Ctx, fx: &mut Effects) {
        let lease_held = self.holder.valid(ctx.now, ctx.view.applied);
        if lease_held == self.lease_held {
            return;
        }
        self.lease_held = lease_held;
        fx.output(Output::StateChanged(StateChange::Lease(lease_held)));
    }

    /// Makes a renewal due at once: the leader waits to learn that a change is applied here.
    pub(crate) fn renew_now(&mut self) {
        self.holder.renew_now();
    }

    /// On the leader: answers a host's request for a lease.
    pub(crate) fn handle_renewal(
        &mut self,
        ctx: &Ctx,
        from: HostId,
        renew: Renew,
        fx: &mut Effects,
    ) {
        self.sync_leadership(ctx);
        let Some(state) = &mut self.leader_state else { return };
        let grant = state.grantor.renew(ctx.now, ctx.view.quorum_at, from, renew);
        fx.send(from, PeerMsg::Grant(grant));
    }

    /// Handles a grant. Returns false if the grant was not accepted.
    pub(crate) fn handle_grant(&mut self, ctx: &Ctx, grant: &Grant, fx: &mut Effects) -> bool {
        let accepted = self.holder.granted(ctx.now, grant);
        if let Some((seen, shown)) = self.holder.state_regression() {
            let text = format!("commit index went back from {seen} to {shown}");
            fx.output(Output::StateChanged(StateChange::Alarm(text)));
        }
        self.report_lease_change(ctx, fx);
        accepted
    }

    pub(crate) fn set_load_requests(
        &mut self,
        now: Duration,
        from: HostId,
        load_requests: Vec<LoadRequest>,
    ) {
        let Some(state) = &mut self.leader_state else { return };
        state.planner.set_load_requests(now, from, load_requests);
    }

    pub(crate) fn slot_done(&mut self, now: Duration, from: HostId, done: LoadEnded) {
        let Some(state) = &mut self.leader_state else { return };
        state.planner.done(now, from, done);
    }
}

impl LeaderState {
    /// Marks claims as in doubt whose claimers hold no lease. The open claims are checked
    /// repeatedly, as a claim may be committed after its host was lost.
    fn mark_in_doubt(&mut self, ctx: &Ctx, claimers: &[(HostId, Incarnation)], fx: &mut Effects) {
        if !self.grantor.earlier_leases_expired(ctx.now) {
            return;
        }
        self.proposed_lost.retain(|_, at| ctx.now < *at + REPROPOSE_INTERVAL);
        for &(host, incarnation) in claimers {
            if self.grantor.is_live(ctx.now, host, incarnation)
                || self.proposed_lost.contains_key(&(host, incarnation))
            {
                continue;
            }
            self.proposed_lost.insert((host, incarnation), ctx.now);
            fx.propose(Command::HostLost { host, before: incarnation.saturating_add(1) });
        }
    }

    /// Moves targets to live owners, resolves the intents of replaced incarnations, and drops the
    /// load requests of hosts without a lease.
    fn rebalance(&mut self, ctx: &Ctx, fx: &mut Effects) {
        for (host, _) in self.grantor.take_lost(ctx.now) {
            self.planner.remove_host(host);
        }
        if ctx.now < self.balanced_at + BALANCE_INTERVAL {
            return;
        }
        self.balanced_at = ctx.now;
        if self.is_move_pending(ctx) {
            return;
        }
        let live = self.grantor.live(ctx.now);
        let moves = if self.grantor.earlier_leases_expired(ctx.now) {
            self.resolve_intents(&live, &ctx.view, fx);
            balance(&ctx.view.registry, &live, MAX_BALANCE_MOVES)
        } else {
            hand_over(&ctx.view.registry, &live)
        };
        if moves.is_empty() {
            return;
        }
        self.proposed_moves = Some((ctx.now, ctx.view.applied));
        fx.propose(Command::Assign(moves));
    }

    /// Returns whether moves that were proposed earlier may still be pending.
    fn is_move_pending(&self, ctx: &Ctx) -> bool {
        let Some((at, applied)) = self.proposed_moves else { return false };
        ctx.view.applied <= applied && ctx.now < at + REPROPOSE_INTERVAL
    }

    /// Resolves intents whose sender's process was replaced by a later incarnation: a dead process
    /// sends nothing.
    fn resolve_intents(&mut self, live: &[LiveHost], view: &View, fx: &mut Effects) {
        for target in view.registry.targets() {
            for open in &target.intents {
                if !is_sender_replaced(&open.intent, live) || !self.resolved.insert(open.index) {
                    continue;
                }
                fx.propose(Command::Resolve(open.index));
            }
        }
    }
}

fn is_sender_replaced(intent: &Intent, live: &[LiveHost]) -> bool {
    live.iter().any(|host| host.host == intent.host && host.incarnation > intent.host_incarnation)
}
