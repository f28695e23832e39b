//! Ownership of targets, and their reports.

use std::{sync::Arc, time::Duration};

use lease::Registry;
use wire::{Command, TargetReport};

use crate::{
    Output, StateChange,
    effect::Effects,
    owner::Owner,
    target::{ReportOutcome, TrackedTarget, is_owned},
    view::Ctx,
};

/// A target without a report for this long is removed from the registry.
const FORGET_AFTER: Duration = Duration::from_secs(600);

impl Owner {
    /// Updates the owned targets from the registry: drops lost ones and adds new ones.
    pub(crate) fn sync_targets(&mut self, ctx: &Ctx, fx: &mut Effects) {
        if Arc::ptr_eq(&self.registry, &ctx.view.registry) {
            return;
        }
        self.registry = Arc::clone(&ctx.view.registry);
        let registry = Arc::clone(&self.registry);
        self.drop_lost(ctx, &registry, fx);
        for target in registry.targets() {
            if !is_owned(target, self.host, self.incarnation) {
                continue;
            }
            self.dirty.insert(target.id);
            if let Some(tracked) = self.targets.get_mut(&target.id) {
                tracked.update(target);
                continue;
            }
            let name = target.info.name.clone();
            fx.output(Output::StateChanged(StateChange::TargetOwned {
                target: name,
                fence: target.fence,
            }));
            self.targets.insert(target.id, TrackedTarget::new(ctx.now, target));
        }
        self.refuse_unserved(ctx, fx);
    }

    fn drop_lost(&mut self, ctx: &Ctx, registry: &Registry, fx: &mut Effects) {
        let mut lost = Vec::new();
        for (&id, tracked) in &self.targets {
            let kept = registry.get(id).is_some_and(|target| {
                is_owned(target, self.host, self.incarnation) && target.fence == tracked.fence
            });
            if !kept {
                lost.push(id);
            }
        }
        for id in lost {
            let Some(tracked) = self.targets.remove(&id) else { continue };
            self.dirty.remove(&id);
            self.policy.remove_target(id);
            self.abandon_jobs(ctx, id, fx);
            fx.output(Output::StateChanged(StateChange::TargetLost { target: tracked.info.name }));
        }
    }

    /// Handles a report of an owned target.
    pub(crate) fn handle_report(&mut self, ctx: &Ctx, report: &TargetReport, fx: &mut Effects) {
        let Some(target) = ctx.view.registry.by_name(&report.info.name) else { return };
        let Some(tracked) = self.targets.get_mut(&target.id) else { return };
        let id = target.id;
        let outcome = tracked.handle_report(ctx.now, &ctx.view.config, report);
        if outcome == ReportOutcome::Stale {
            return;
        }
        self.dirty.insert(id);
        if outcome == ReportOutcome::Restarted {
            let name = report.info.name.clone();
            fx.output(Output::StateChanged(StateChange::Restarted { target: name }));
            self.target_crashed(ctx, id, report.incarnation, fx);
            self.abandon_jobs(ctx, id, fx);
        }
        self.stop_lost_answers(ctx, id, fx);
        if target.intents.iter().any(|open| open.intent.incarnation < report.incarnation) {
            fx.propose(Command::Restarted { target: id, incarnation: report.incarnation });
        }
        self.run_policy(ctx, fx);
    }

    /// Proposes to forget targets without a report for `FORGET_AFTER`, so that the registry stays
    /// small.
    pub(crate) fn forget_silent(&mut self, ctx: &Ctx, fx: &mut Effects) {
        for tracked in self.targets.values_mut() {
            if tracked.check_silence(ctx.now, FORGET_AFTER) {
                fx.propose(Command::Forget(tracked.id));
            }
        }
    }
}
