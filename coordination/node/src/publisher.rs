//! Operators' publishes in progress, and the registration of targets.

use std::{collections::BTreeMap, time::Duration};

use history::Receipt;
use wire::{Command, DomainForce, ErrorKind, Fault, PeerMsg, Publish, Query, TargetInfo};

use crate::{Output, Published, Tag, effect::Effects, view::Ctx};

const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const REGISTER_INTERVAL: Duration = Duration::from_secs(2);
/// Set in the tags of [`Query::InForce`] that follow a publish. Queries that follow a strike
/// have the request's id as tag.
const PUBLISH_TAG_BIT: u64 = 1 << 63;

/// A publish in progress.
#[derive(Debug)]
struct PublishJob {
    publish: Publish,
    since: Duration,
    /// The receipt, once the publish is committed.
    receipt: Option<Receipt>,
    polled_at: Duration,
    domains: Vec<DomainForce>,
}

/// Operators' publishes in progress, and the targets whose registration was proposed.
#[derive(Debug, Default)]
pub(crate) struct Publisher {
    jobs: BTreeMap<Tag, PublishJob>,
    register_proposed: BTreeMap<String, Duration>,
    leaving: bool,
}

impl Publisher {
    /// Refuses new publishes from now on.
    pub(crate) fn stop_admitting(&mut self) {
        self.leaving = true;
    }

    /// Returns how many publishes are in progress.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Proposes an operator's publish, to be followed until it is in force at every host.
    pub(crate) fn publish(&mut self, ctx: &Ctx, tag: Tag, publish: Publish, fx: &mut Effects) {
        if self.leaving {
            fx.output(Output::Published { tag, result: Err(ErrorKind::Leaving.into()) });
            return;
        }
        fx.propose(Command::Publish(publish.clone()));
        let job = PublishJob {
            publish,
            since: ctx.now,
            receipt: None,
            polled_at: Duration::ZERO,
            domains: Vec::new(),
        };
        self.jobs.insert(tag, job);
    }

    /// Handles the result of a publish that this host proposed.
    pub(crate) fn published(
        &mut self,
        ctx: &Ctx,
        publish: &Publish,
        result: &Result<Receipt, Fault>,
        fx: &mut Effects,
    ) {
        let waiting =
            self.jobs.iter_mut().find(|(_, job)| job.receipt.is_none() && job.publish == *publish);
        let Some((&tag, job)) = waiting else { return };
        match result {
            Ok(receipt) => {
                job.receipt = Some(receipt.clone());
                job.since = ctx.now;
            }
            Err(fault) => {
                let result = Err(fault.clone());
                self.jobs.remove(&tag);
                fx.output(Output::Published { tag, result });
            }
        }
    }

    /// Handles the leader's reply to a query. The publish ends once no host lags.
    pub(crate) fn in_force_reply(&mut self, tag: u64, domains: &[DomainForce], fx: &mut Effects) {
        if tag & PUBLISH_TAG_BIT == 0 {
            return;
        }
        let tag = tag & !PUBLISH_TAG_BIT;
        let Some(job) = self.jobs.get_mut(&tag) else { return };
        job.domains = domains.to_vec();
        if domains.is_empty() || domains.iter().any(|domain| domain.lagging > 0) {
            return;
        }
        self.finish(tag, fx);
    }

    /// Answers all publishes in progress with what is known of them.
    pub(crate) fn finish_all(&mut self, fx: &mut Effects) {
        let tags: Vec<Tag> = self.jobs.keys().copied().collect();
        for tag in tags {
            self.finish(tag, fx);
        }
    }

    fn finish(&mut self, tag: Tag, fx: &mut Effects) {
        let Some(job) = self.jobs.remove(&tag) else { return };
        let result = match job.receipt {
            Some(receipt) => Ok(Published { receipt, in_force: job.domains }),
            None => Err(ErrorKind::NoQuorum.into()),
        };
        fx.output(Output::Published { tag, result });
    }

    pub(crate) fn tick(&mut self, ctx: &Ctx, fx: &mut Effects) {
        let mut ended = Vec::new();
        for (&tag, job) in &mut self.jobs {
            let timeout = match job.receipt {
                Some(_) => IN_FORCE_TIMEOUT,
                None => COMMIT_TIMEOUT,
            };
            if ctx.now >= job.since + timeout {
                ended.push(tag);
                continue;
            }
            poll_in_force(ctx, tag, job, fx);
        }
        for tag in ended {
            self.finish(tag, fx);
        }
    }

    /// Proposes the registration of a target that is new or whose description changed.
    pub(crate) fn register(&mut self, ctx: &Ctx, info: &TargetInfo, fx: &mut Effects) {
        let known = ctx.view.registry.by_name(&info.name);
        if known.is_some_and(|target| target.info == *info) {
            self.register_proposed.remove(&info.name);
            return;
        }
        let last = self.register_proposed.get(&info.name);
        if last.is_some_and(|&proposed_at| ctx.now < proposed_at + REGISTER_INTERVAL) {
            return;
        }
        self.register_proposed.insert(info.name.clone(), ctx.now);
        fx.propose(Command::Register(info.clone()));
    }
}

fn poll_in_force(ctx: &Ctx, tag: Tag, job: &mut PublishJob, fx: &mut Effects) {
    let Some(receipt) = &job.receipt else { return };
    if ctx.now < job.polled_at + POLL_INTERVAL {
        return;
    }
    let Some(leader) = ctx.view.leader else { return };
    job.polled_at = ctx.now;
    let query = Query::InForce { index: receipt.index, tag: tag | PUBLISH_TAG_BIT };
    fx.send(leader, PeerMsg::Query(query));
}
