//! Which targets a host owns, and what they report.

use std::{sync::Arc, time::Duration};

use lease::Registry;
use wire::{Command, TargetReport};

use crate::{
    Change, Output,
    effect::Effects,
    held::{Held, Reported, is_owned},
    owner::Owner,
    view::Ctx,
};

/// A target that sent no report for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);

impl Owner {
    /// Follows the registry: takes over new targets and gives up lost ones.
    pub(crate) fn sync(&mut self, ctx: &Ctx, fx: &mut Effects) {
        if Arc::ptr_eq(&self.registry, &ctx.view.registry) {
            return;
        }
        self.registry = Arc::clone(&ctx.view.registry);
        let registry = Arc::clone(&self.registry);
        self.give_up(ctx, &registry, fx);
        for target in registry.targets() {
            if !is_owned(target, self.host, self.run) {
                continue;
            }
            self.dirty.insert(target.id);
            if let Some(held) = self.targets.get_mut(&target.id) {
                held.update(target);
                continue;
            }
            let name = target.info.name.clone();
            fx.out(Output::Changed(Change::Owns { target: name, fence: target.fence }));
            self.targets.insert(target.id, Held::new(ctx.now, target));
        }
        self.refuse_unserved(ctx, fx);
    }

    fn give_up(&mut self, ctx: &Ctx, registry: &Registry, fx: &mut Effects) {
        let mut lost = Vec::new();
        for (&id, held) in &self.targets {
            let kept = registry.get(id).is_some_and(|target| {
                is_owned(target, self.host, self.run) && target.fence == held.fence
            });
            if !kept {
                lost.push(id);
            }
        }
        for id in lost {
            let Some(held) = self.targets.remove(&id) else { continue };
            self.dirty.remove(&id);
            self.policy.remove_target(id);
            self.drop_jobs(ctx, id, fx);
            fx.out(Output::Changed(Change::Disowns { target: held.info.name }));
        }
    }

    /// Takes a report of an owned target.
    pub(crate) fn report(&mut self, ctx: &Ctx, report: &TargetReport, fx: &mut Effects) {
        let Some(target) = ctx.view.registry.named(&report.info.name) else { return };
        let Some(held) = self.targets.get_mut(&target.id) else { return };
        let id = target.id;
        let reported = held.report(ctx.now, &ctx.view.config, report);
        if reported == Reported::Old {
            return;
        }
        self.dirty.insert(id);
        if reported == Reported::Restarted {
            let name = report.info.name.clone();
            fx.out(Output::Changed(Change::Restarted { target: name }));
            self.crashed(ctx, id, report.incarnation, fx);
            self.drop_jobs(ctx, id, fx);
        }
        self.answers_lost(ctx, id, fx);
        if target.intents.iter().any(|open| open.intent.incarnation < report.incarnation) {
            fx.propose(Command::Restarted { target: id, incarnation: report.incarnation });
        }
        self.pump(ctx, fx);
    }

    /// Forgets targets that are gone for good, so that the registry stays small.
    pub(crate) fn forget_silent(&mut self, ctx: &Ctx, fx: &mut Effects) {
        for held in self.targets.values_mut() {
            if held.is_silent(ctx.now, FORGET_AFTER) {
                fx.propose(Command::Forget(held.id));
            }
        }
    }
}
