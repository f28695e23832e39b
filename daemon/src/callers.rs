//! Callers that wait for answers.

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
use web::border::{Answer, Progress, Step};

use crate::{metrics::Metrics, shards::Shards};

const PARTS: usize = 16;

/// A caller that waits.
#[derive(Debug)]
pub(crate) struct Waiting {
    steps: UnboundedSender<Step>,
    /// The model it asked for.
    model: Option<String>,
    /// When it asked.
    pub(crate) since: Instant,
}

/// The code under which requests of callers that left are counted.
const LEFT: &str = "cancelled";

/// The callers that wait, by tag. Each lock is held for one access.
#[derive(Debug)]
pub(crate) struct Callers {
    parts: [Mutex<HashMap<Tag, Waiting>>; PARTS],
    next: AtomicU64,
    metrics: Arc<Metrics>,
}

impl Callers {
    /// Makes an empty table.
    pub(crate) fn new(metrics: Arc<Metrics>) -> Arc<Callers> {
        Arc::new(Callers { parts: Default::default(), next: AtomicU64::new(1), metrics })
    }

    /// Returns a tag that was not used before.
    pub(crate) fn tag(&self) -> Tag {
        self.next.fetch_add(1, Relaxed)
    }

    fn part(&self, tag: Tag) -> MutexGuard<'_, HashMap<Tag, Waiting>> {
        self.parts[tag as usize % PARTS].lock().expect("no holder panics")
    }

    /// Adds a caller and returns the receiving side of its answer.
    pub(crate) fn add(
        self: &Arc<Callers>,
        model: Option<String>,
        shards: &Shards,
    ) -> (Tag, Answer) {
        let tag = self.tag();
        let (sender, steps) = unbounded_channel();
        self.part(tag).insert(tag, Waiting { steps: sender, model, since: Instant::now() });
        let progress = Box::new(Link { tag, callers: self.clone(), shards: shards.clone() });
        (tag, Answer { steps, progress })
    }

    /// Passes a step on, unless the caller is gone.
    pub(crate) fn step(&self, tag: Tag, step: Step) {
        if let Some(waiting) = self.part(tag).get(&tag) {
            // A closed channel reports itself as gone.
            let _ = waiting.steps.send(step);
        }
    }

    /// Passes the last step on and forgets the caller.
    pub(crate) fn end(&self, tag: Tag, step: Step) -> Option<Waiting> {
        let waiting = self.part(tag).remove(&tag)?;
        let _ = waiting.steps.send(step);
        Some(waiting)
    }

    /// Returns the model a caller asked for and when.
    pub(crate) fn asked(&self, tag: Tag) -> Option<(Option<String>, Instant)> {
        let part = self.part(tag);
        let waiting = part.get(&tag)?;
        Some((waiting.model.clone(), waiting.since))
    }

    /// Returns how many callers wait.
    pub(crate) fn count(&self) -> usize {
        let mut count = 0;
        for part in &self.parts {
            count += part.lock().expect("no holder panics").len();
        }
        count
    }
}

/// Connects the caller's connection with the host.
struct Link {
    tag: Tag,
    callers: Arc<Callers>,
    shards: Shards,
}

impl Progress for Link {
    fn taken(&self, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.shards.post(Input::Taken { tag: self.tag, bytes });
    }

    fn gone(&self) {
        let waiting = self.callers.part(self.tag).remove(&self.tag);
        if let Some(waiting) = waiting {
            self.callers.metrics.ended(Some(LEFT), waiting.since.elapsed());
        }
        self.shards.post(Input::Gone(self.tag));
    }
}
