//! What an owner does with time, and what it tells the others of itself.

use std::{collections::BTreeMap, time::Duration};

use wire::{AdapterId, Digest, ErrorKind, RequestId, Residency};

use crate::{attempt::Stage, effect::Effects, owner::Owner, view::Ctx};

impl Owner {
    /// Returns what the other hosts should know of this one.
    pub(crate) fn digest(&self, now: Duration) -> Digest {
        let mut digest = Digest {
            queued: self.policy.queued() as u32,
            leaving: self.leaving,
            ..Digest::default()
        };
        let mut resident: BTreeMap<AdapterId, u16> = BTreeMap::new();
        for held in self.targets.values() {
            digest.running += held.running.len() as u32;
            if !held.is_usable(now) {
                continue;
            }
            digest.capacity += held.info.capacity.requests;
            for &adapter in held.adapters.keys() {
                if held.is_ready(adapter) {
                    *resident.entry(adapter).or_default() += 1;
                }
            }
        }
        for (adapter, targets) in resident {
            digest.resident.push(Residency { adapter, targets });
        }
        digest
    }

    /// Does what is due at any time.
    pub(crate) fn tick(&mut self, ctx: &Ctx, fx: &mut Effects) {
        for held in self.targets.values_mut() {
            if held.note_open(ctx.now, ctx.lease.is_some()) {
                self.dirty.insert(held.id);
            }
        }
        if ctx.lease.is_none() {
            self.refuse_queued(fx);
        }
        self.refuse_unserved(ctx, fx);
        self.flush(ctx);
        self.pump(ctx, fx);
        self.send_wants(ctx, fx);
        self.tick_orders(ctx, fx);
        self.forget_silent(ctx, fx);
        self.sample(ctx);
    }

    /// Without a lease nothing new is sent; other owners may serve what waits.
    fn refuse_queued(&mut self, fx: &mut Effects) {
        let queued: Vec<RequestId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.stage == Stage::Queued)
            .map(|(id, _)| *id)
            .collect();
        self.refuse_all(queued, ErrorKind::NoLease, fx);
    }

    fn sample(&mut self, ctx: &Ctx) {
        let mut running = 0;
        let mut places = 0;
        for held in self.targets.values() {
            if held.running.is_empty() {
                continue;
            }
            running += held.running.len() as u32;
            places += held.info.capacity.requests;
        }
        let stalled = self.policy.stalled();
        self.stats.sample(ctx.now, stalled, running, places);
    }
}
