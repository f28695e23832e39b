//! Callers' requests in progress, and how far each of them is.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use fleet::CutRequest;

use crate::edge::Edge;

/// Requests that the process' last log line names.
const NAMED_REQUESTS: usize = 16;

/// How far a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its body is being read.
    Reading,
    /// It waits for a target.
    Waiting,
    /// It was sent to a target, and the head of the answer has not come.
    Sent,
    /// Its answer is being forwarded.
    Answering,
}

impl Stage {
    fn as_str(self) -> &'static str {
        match self {
            Stage::Reading => "reading",
            Stage::Waiting => "waiting",
            Stage::Sent => "sent",
            Stage::Answering => "answering",
        }
    }
}

struct Entry {
    id: String,
    route: String,
    stage: Stage,
    arrived: Duration,
    /// When it was first sent to a target.
    sent_at: Option<Duration>,
}

/// The requests in progress, by number.
#[derive(Default)]
pub(crate) struct ActiveRequests {
    entries: RefCell<BTreeMap<u64, Entry>>,
    next: Cell<u64>,
}

impl ActiveRequests {
    pub(crate) fn count(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Returns how long a request on a route has been in progress at targets, the longest of all.
    pub(crate) fn longest(&self, now: Duration, route: &str) -> Duration {
        let entries = self.entries.borrow();
        let sent = entries.values().filter(|it| it.route == route).filter_map(|it| it.sent_at);
        sent.map(|at| now.saturating_sub(at)).max().unwrap_or_default()
    }

    /// Returns the oldest requests, for the log.
    pub(crate) fn oldest(&self, now: Duration) -> Vec<CutRequest> {
        let entries = self.entries.borrow();
        let named = entries.values().take(NAMED_REQUESTS).map(|it| CutRequest {
            id: it.id.clone(),
            route: it.route.clone(),
            stage: it.stage.as_str(),
            age_ms: now.saturating_sub(it.arrived).as_millis() as u64,
        });
        named.collect()
    }
}

/// A request that counts as active until this is dropped.
pub(crate) struct ActiveRequest {
    edge: Rc<Edge>,
    number: u64,
}

impl ActiveRequest {
    /// Counts a request whose head has just been read.
    pub(crate) fn begin(edge: &Rc<Edge>) -> ActiveRequest {
        let number = edge.active.next.replace(edge.active.next.get() + 1);
        let arrived = edge.now();
        let (id, route) = (String::new(), String::new());
        let entry = Entry { id, route, stage: Stage::Reading, arrived, sent_at: None };
        edge.active.entries.borrow_mut().insert(number, entry);
        ActiveRequest { edge: edge.clone(), number }
    }

    /// Records which request it is.
    pub(crate) fn name(&self, id: &str, route: &str) {
        if let Some(entry) = self.edge.active.entries.borrow_mut().get_mut(&self.number) {
            entry.id = id.to_owned();
            entry.route = route.to_owned();
        }
    }

    /// Records how far it is.
    pub(crate) fn reach(&self, stage: Stage) {
        if let Some(entry) = self.edge.active.entries.borrow_mut().get_mut(&self.number) {
            entry.stage = stage;
            if stage == Stage::Sent {
                entry.sent_at.get_or_insert(self.edge.now());
            }
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.edge.active.entries.borrow_mut().remove(&self.number);
    }
}
