//! Messages of other hosts, and the loss of hosts and of messages to them.

use std::time::Duration;

use wire::{Answer, Credit, HostId, PeerMsg, Query, RequestId};

use crate::{effect::Effects, node::Node};

impl Node {
    pub(crate) fn handle_message(
        &self,
        now: Duration,
        from: HostId,
        msg: PeerMsg,
        fx: &mut Effects,
    ) {
        match msg {
            PeerMsg::Log(msg) => {
                self.with_replicated(fx, |state, fx| state.handle_message(now, from, msg, fx))
            }
            PeerMsg::Propose(proposal) => {
                self.with_replicated(fx, |state, fx| state.append_proposal(now, &proposal, fx));
            }
            PeerMsg::Renew(renew) => {
                let ctx = self.ctx(now);
                self.leases().handle_renewal(&ctx, from, renew, fx);
            }
            PeerMsg::Grant(grant) => self.handle_grant(now, &grant, fx),
            PeerMsg::Report(report) => self.handle_report(now, *report, fx),
            PeerMsg::LoadRequests(load_requests) => {
                self.leases().set_load_requests(now, from, load_requests)
            }
            PeerMsg::LoadEnded(done) => self.leases().slot_done(now, from, done),
            PeerMsg::LoadGrants(grants) => {
                let ctx = self.ctx(now);
                self.owner().handle_slots(&ctx, from, grants, fx);
            }
            PeerMsg::Forward(forward) => {
                let ctx = self.ctx(now);
                self.owner().handle_forward(&ctx, from, forward, fx);
            }
            PeerMsg::Answer(answer) => self.handle_answer(now, from, answer, fx),
            PeerMsg::Credit(credit) => self.add_credit(credit, fx),
            PeerMsg::Cancel(request) => {
                let ctx = self.ctx(now);
                self.owner().cancel(&ctx, request, fx);
            }
            PeerMsg::Query(Query::InForce { index, tag }) => {
                self.send_in_force(now, from, index, tag, fx)
            }
            // These messages are for hosts that send requests to targets of all owners. This one
            // only sends requests to targets it owns.
            PeerMsg::Fleet(_) => {}
            PeerMsg::InForce { tag, commit: _, domains } => {
                self.publisher().in_force_reply(tag, &domains, fx);
                self.owner().strike_in_force(tag, &domains, fx);
            }
        }
    }

    fn handle_answer(&self, now: Duration, from: HostId, answer: Answer, fx: &mut Effects) {
        let ctx = self.ctx(now);
        self.with_entry(|entry, dir| entry.handle_answer(&ctx, dir, from, answer, fx));
    }

    fn add_credit(&self, credit: Credit, fx: &mut Effects) {
        self.owner().add_credit(credit, fx);
    }

    fn send_in_force(&self, now: Duration, from: HostId, index: u64, tag: u64, fx: &mut Effects) {
        let commit = self.view().commit;
        if commit < index {
            return;
        }
        let Some(domains) = self.leases().in_force(now, index) else { return };
        fx.send(from, PeerMsg::InForce { tag, commit, domains });
    }

    fn handle_grant(&self, now: Duration, grant: &wire::Grant, fx: &mut Effects) {
        let ctx = self.ctx(now);
        if !self.leases().handle_grant(&ctx, grant, fx) {
            return;
        }
        self.change_directory(|dir| dir.apply_grant(now, grant));
        let lost = {
            let mut lifecycle = self.lifecycle();
            let before = std::mem::replace(&mut lifecycle.suspects, grant.unleased.clone());
            let new = lifecycle.suspects.iter().filter(|host| !before.contains(host));
            new.copied().collect::<Vec<_>>()
        };
        for host in lost {
            let ctx = self.ctx(now);
            self.with_entry(|entry, dir| entry.owner_lost(&ctx, dir, host, fx));
        }
    }

    pub(crate) fn peer_lost(&self, now: Duration, host: HostId, fx: &mut Effects) {
        let ctx = self.ctx(now);
        self.change_directory(|dir| dir.mark_unreachable(now, host));
        self.with_entry(|entry, dir| entry.owner_lost(&ctx, dir, host, fx));
        self.owner().entry_lost(&ctx, host, fx);
    }

    pub(crate) fn undelivered(
        &self,
        now: Duration,
        to: HostId,
        request: RequestId,
        fx: &mut Effects,
    ) {
        let ctx = self.ctx(now);
        self.change_directory(|dir| dir.mark_unreachable(now, to));
        self.with_entry(|entry, dir| entry.undelivered(&ctx, dir, to, request, fx));
    }
}
