//! Operators' publishes on their way, and announcements of new targets.

use std::{collections::BTreeMap, time::Duration};

use history::Receipt;
use wire::{Ask, Command, DomainForce, ErrorKind, Fault, PeerMsg, Publish, TargetInfo};

use crate::{Output, Published, Tag, effect::Effects, view::Ctx};

const COMMIT_LIMIT: Duration = Duration::from_secs(10);
const FORCE_LIMIT: Duration = Duration::from_secs(20);
const ASK_EVERY: Duration = Duration::from_millis(200);
const REGISTER_EVERY: Duration = Duration::from_secs(2);
/// Marks the tags of questions that a publish asks.
const TAG_BIT: u64 = 1 << 63;

/// A publish under way.
#[derive(Debug)]
struct Job {
    publish: Publish,
    since: Duration,
    /// The receipt, once the publish is committed.
    receipt: Option<Receipt>,
    asked: Duration,
    domains: Vec<DomainForce>,
}

/// The table of operators' requests.
#[derive(Debug, Default)]
pub(crate) struct Desk {
    jobs: BTreeMap<Tag, Job>,
    registered: BTreeMap<String, Duration>,
}

impl Desk {
    /// Takes a publish.
    pub(crate) fn publish(&mut self, ctx: &Ctx, tag: Tag, publish: Publish, fx: &mut Effects) {
        fx.propose(Command::Publish(publish.clone()));
        let job = Job {
            publish,
            since: ctx.now,
            receipt: None,
            asked: Duration::ZERO,
            domains: Vec::new(),
        };
        self.jobs.insert(tag, job);
    }

    /// Takes the result of a publish of this host.
    pub(crate) fn published(
        &mut self,
        ctx: &Ctx,
        publish: &Publish,
        result: &Result<Receipt, Fault>,
        fx: &mut Effects,
    ) {
        let found =
            self.jobs.iter_mut().find(|(_, job)| job.receipt.is_none() && job.publish == *publish);
        let Some((&tag, job)) = found else { return };
        match result {
            Ok(receipt) => {
                job.receipt = Some(receipt.clone());
                job.since = ctx.now;
            }
            Err(fault) => {
                let result = Err(fault.clone());
                self.jobs.remove(&tag);
                fx.out(Output::Published { tag, result });
            }
        }
    }

    /// Takes the leader's answer on how far a publish has come.
    pub(crate) fn in_force(&mut self, tag: u64, domains: &[DomainForce], fx: &mut Effects) {
        if tag & TAG_BIT == 0 {
            return;
        }
        let tag = tag & !TAG_BIT;
        let Some(job) = self.jobs.get_mut(&tag) else { return };
        job.domains = domains.to_vec();
        if domains.is_empty() || domains.iter().any(|domain| domain.lagging > 0) {
            return;
        }
        self.finish(tag, fx);
    }

    fn finish(&mut self, tag: Tag, fx: &mut Effects) {
        let Some(job) = self.jobs.remove(&tag) else { return };
        let result = match job.receipt {
            Some(receipt) => Ok(Published { receipt, domains: job.domains }),
            None => Err(ErrorKind::NoQuorum.into()),
        };
        fx.out(Output::Published { tag, result });
    }

    pub(crate) fn tick(&mut self, ctx: &Ctx, fx: &mut Effects) {
        let mut ended = Vec::new();
        for (&tag, job) in &mut self.jobs {
            let limit = match job.receipt {
                Some(_) => FORCE_LIMIT,
                None => COMMIT_LIMIT,
            };
            if ctx.now >= job.since + limit {
                ended.push(tag);
                continue;
            }
            ask(ctx, tag, job, fx);
        }
        for tag in ended {
            self.finish(tag, fx);
        }
    }

    /// Registers a target that is new or whose entry changed.
    pub(crate) fn announce(&mut self, ctx: &Ctx, info: &TargetInfo, fx: &mut Effects) {
        let known = ctx.view.registry.named(&info.name);
        if known.is_some_and(|target| target.info == *info) {
            self.registered.remove(&info.name);
            return;
        }
        let last = self.registered.get(&info.name);
        if last.is_some_and(|&at| ctx.now < at + REGISTER_EVERY) {
            return;
        }
        self.registered.insert(info.name.clone(), ctx.now);
        fx.propose(Command::Register(info.clone()));
    }
}

fn ask(ctx: &Ctx, tag: Tag, job: &mut Job, fx: &mut Effects) {
    let Some(receipt) = &job.receipt else { return };
    if ctx.now < job.asked + ASK_EVERY {
        return;
    }
    let Some(leader) = ctx.view.leader else { return };
    job.asked = ctx.now;
    let ask = Ask::InForce { index: receipt.index, tag: tag | TAG_BIT };
    fx.send(leader, PeerMsg::Ask(ask));
}
