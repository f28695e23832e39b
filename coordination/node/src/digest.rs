//! The periodic work of an owner, and the digest of its state for the other hosts.

use std::{collections::BTreeMap, time::Duration};

use wire::{AdapterId, Digest, ErrorKind, RequestId, Residency};

use crate::{attempt::AttemptStage, effect::Effects, owner::Owner, view::Ctx};

impl Owner {
    /// Returns the digest of this owner's state that is sent with lease renewals.
    pub(crate) fn digest(&self, now: Duration) -> Digest {
        let mut digest = Digest {
            queued: self.policy.queued() as u32,
            leaving: self.leaving,
            ..Digest::default()
        };
        let mut resident: BTreeMap<AdapterId, u16> = BTreeMap::new();
        for tracked in self.targets.values() {
            digest.running += tracked.running.len() as u32;
            if !tracked.is_usable(now) {
                continue;
            }
            digest.capacity += tracked.info.capacity.requests;
            for &adapter in tracked.adapters.keys() {
                if tracked.is_ready(adapter) {
                    *resident.entry(adapter).or_default() += 1;
                }
            }
        }
        for (adapter, targets) in resident {
            digest.resident.push(Residency { adapter, targets });
        }
        digest
    }

    /// Does the work that is due on each tick.
    pub(crate) fn tick(&mut self, ctx: &Ctx, fx: &mut Effects) {
        for tracked in self.targets.values_mut() {
            if tracked.update_accepting(ctx.now, ctx.lease.is_some()) {
                self.dirty.insert(tracked.id);
            }
        }
        if ctx.lease.is_none() {
            self.refuse_queued(fx);
        }
        self.refuse_unserved(ctx, fx);
        self.update_policy(ctx);
        self.run_policy(ctx, fx);
        self.send_load_requests(ctx, fx);
        self.tick_orders(ctx, fx);
        self.forget_silent(ctx, fx);
        self.sample(ctx);
    }

    /// Refuses all queued requests while this host has no lease: it sends nothing new to targets,
    /// and other owners may serve the requests.
    fn refuse_queued(&mut self, fx: &mut Effects) {
        let queued: Vec<RequestId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.stage == AttemptStage::Queued)
            .map(|(id, _)| *id)
            .collect();
        self.refuse_all(queued, ErrorKind::NoLease, fx);
    }

    fn sample(&mut self, ctx: &Ctx) {
        let mut running = 0;
        let mut capacity = 0;
        for tracked in self.targets.values() {
            if tracked.running.is_empty() {
                continue;
            }
            running += tracked.running.len() as u32;
            capacity += tracked.info.capacity.requests;
        }
        let stalled = self.policy.stall_seconds();
        self.stats.sample(ctx.now, stalled, running, capacity);
    }
}
