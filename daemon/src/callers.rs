//! Table of the callers that wait for answers.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Instant,
};

use node::{Input, Tag};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use web::interface::{Answer, AnswerStep, Progress};

use crate::{metrics::Metrics, shards::Shards};

/// Partitions of the table, each with its own lock.
const PARTITIONS: usize = 16;

/// A caller that waits for the rest of its answer.
#[derive(Debug)]
pub(crate) struct WaitingCaller {
    steps: UnboundedSender<AnswerStep>,
    /// The requested model; `None` if the request names none.
    model: Option<String>,
    /// When the request arrived.
    pub(crate) since: Instant,
}

/// Code in the metrics for requests whose callers disconnected.
const CANCELLED: &str = "cancelled";

/// The waiting callers by tag. Locks are held for a single access only.
#[derive(Debug)]
pub(crate) struct Callers {
    partitions: [Mutex<HashMap<Tag, WaitingCaller>>; PARTITIONS],
    next: AtomicU64,
    metrics: Arc<Metrics>,
}

impl Callers {
    /// Creates an empty table.
    pub(crate) fn new(metrics: Arc<Metrics>) -> Arc<Callers> {
        Arc::new(Callers { partitions: Default::default(), next: AtomicU64::new(1), metrics })
    }

    /// Returns an unused tag.
    pub(crate) fn tag(&self) -> Tag {
        self.next.fetch_add(1, Relaxed)
    }

    fn partition(&self, tag: Tag) -> MutexGuard<'_, HashMap<Tag, WaitingCaller>> {
        self.partitions[tag as usize % PARTITIONS].lock().expect("the lock is not poisoned")
    }

    /// Adds a caller. Returns its tag and the receiving side of its answer.
    pub(crate) fn add(
        self: &Arc<Callers>,
        model: Option<String>,
        shards: &Shards,
    ) -> (Tag, Answer) {
        let tag = self.tag();
        let (sender, steps) = unbounded_channel();
        self.partition(tag)
            .insert(tag, WaitingCaller { steps: sender, model, since: Instant::now() });
        let progress =
            Box::new(CallerProgress { tag, callers: self.clone(), shards: shards.clone() });
        (tag, Answer { steps, progress })
    }

    /// Passes a step of the answer to the caller, unless the caller has disconnected.
    pub(crate) fn step(&self, tag: Tag, step: AnswerStep) {
        if let Some(caller) = self.partition(tag).get(&tag) {
            // A failed send needs no handling: the connection calls `CallerProgress::gone`.
            let _ = caller.steps.send(step);
        }
    }

    /// Passes the last step to the caller and removes the caller. Returns `None` if the caller has
    /// disconnected.
    pub(crate) fn end(&self, tag: Tag, step: AnswerStep) -> Option<WaitingCaller> {
        let caller = self.partition(tag).remove(&tag)?;
        let _ = caller.steps.send(step);
        Some(caller)
    }

    /// Returns the model that a caller requested and the time of the request.
    pub(crate) fn model_and_start(&self, tag: Tag) -> Option<(Option<String>, Instant)> {
        let partition = self.partition(tag);
        let caller = partition.get(&tag)?;
        Some((caller.model.clone(), caller.since))
    }

    /// Returns the number of waiting callers.
    pub(crate) fn count(&self) -> usize {
        let mut count = 0;
        for partition in &self.partitions {
            count += partition.lock().expect("the lock is not poisoned").len();
        }
        count
    }
}

/// Reports the progress of a caller's connection to the host.
struct CallerProgress {
    tag: Tag,
    callers: Arc<Callers>,
    shards: Shards,
}

impl Progress for CallerProgress {
    fn consumed(&self, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.shards.post(Input::AnswerConsumed { tag: self.tag, bytes });
    }

    fn disconnected(&self) {
        let caller = self.callers.partition(self.tag).remove(&self.tag);
        if let Some(caller) = caller {
            self.callers.metrics.ended(Some(CANCELLED), caller.since.elapsed());
        }
        self.shards.post(Input::CallerLeft(self.tag));
    }
}
