//! Requests that wait at an owner.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use wire::{AdapterId, CallerId, ErrorKind, Pin, RequestId, Urgency};

/// Requests of one caller that may wait without being set back.
const BURST: u32 = 2;
/// How far each burst beyond the first sets a caller's request back.
const SETBACK: Duration = Duration::from_millis(500);
/// The latest a request is due, whatever its deadline.
const PATIENCE: Duration = Duration::from_secs(60);

/// Bounds of a queue.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Requests that may wait.
    pub total: usize,
    /// Requests of one caller that may wait.
    pub caller: usize,
}

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The request attempt.
    pub request: RequestId,
    /// What it is bound to.
    pub pin: Pin,
    /// Its caller.
    pub caller: CallerId,
    /// How soon it must be served.
    pub urgency: Urgency,
    /// Since when it waits.
    pub since: Duration,
    /// When its answer must have started.
    pub deadline: Duration,
    /// Hash of the prompt's prefix, zero for none.
    pub prefix: u64,
    /// Whether it must run alone on its target: it has a strike.
    pub alone: bool,
}

/// What a lane's requests need of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Need {
    /// An adapter.
    Adapter(AdapterId),
    /// A service, as numbered by the queue.
    Service(u32),
}

/// Requests that can be exchanged for one another at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Lane {
    /// What they need.
    pub need: Need,
    /// Whether they must run alone.
    pub alone: bool,
}

/// How much waits in a lane.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Depth {
    /// Waiting requests of high urgency.
    pub high: u32,
    /// Waiting requests of normal urgency.
    pub normal: u32,
    /// Waiting requests of low urgency.
    pub low: u32,
}

impl Depth {
    /// All waiting requests.
    pub fn total(&self) -> u32 {
        self.high + self.normal + self.low
    }

    fn count(&mut self, urgency: Urgency) -> &mut u32 {
        match urgency {
            Urgency::High => &mut self.high,
            Urgency::Normal => &mut self.normal,
            Urgency::Low => &mut self.low,
        }
    }
}

#[derive(Debug)]
struct Entry {
    waiting: Waiting,
    lane: Lane,
    due: Duration,
}

#[derive(Debug, Default)]
struct LaneState {
    order: BTreeSet<(Duration, RequestId)>,
    since: BTreeSet<(Duration, RequestId)>,
    depth: Depth,
}

/// Waiting requests by deadline and urgency, fair between callers.
///
/// Each request gets a time at which it is due: a share of its window that
/// depends on its urgency, later by a setback for each burst that its caller
/// already has waiting. Lanes are served in that order. Since it is a time, a
/// request is passed only by those that arrive before it is due.
#[derive(Debug)]
pub struct Queue {
    bounds: Bounds,
    entries: HashMap<RequestId, Entry>,
    lanes: BTreeMap<Lane, LaneState>,
    deadlines: BTreeSet<(Duration, RequestId)>,
    callers: HashMap<CallerId, u32>,
    services: HashMap<String, u32>,
}

impl Queue {
    /// An empty queue.
    pub fn new(bounds: Bounds) -> Queue {
        Queue {
            bounds,
            entries: HashMap::new(),
            lanes: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            callers: HashMap::new(),
            services: HashMap::new(),
        }
    }

    /// Adds a request, or says why it is refused: its deadline has passed, or
    /// a bound is reached.
    pub fn push(&mut self, now: Duration, waiting: Waiting) -> Result<(), ErrorKind> {
        if waiting.deadline <= now {
            return Err(ErrorKind::Expired);
        }
        if self.entries.len() >= self.bounds.total {
            return Err(ErrorKind::QueueFull);
        }
        let ahead = self.callers.get(&waiting.caller).copied().unwrap_or(0);
        if ahead as usize >= self.bounds.caller {
            return Err(ErrorKind::QueueFull);
        }
        if self.entries.contains_key(&waiting.request) {
            return Err(ErrorKind::Internal);
        }
        let lane = self.lane(&waiting.pin, waiting.alone);
        let due = self.due(&waiting);
        let state = self.lanes.entry(lane).or_default();
        state.order.insert((due, waiting.request));
        state.since.insert((waiting.since, waiting.request));
        *state.depth.count(waiting.urgency) += 1;
        self.deadlines.insert((waiting.deadline, waiting.request));
        *self.callers.entry(waiting.caller.clone()).or_default() += 1;
        self.entries.insert(waiting.request, Entry { waiting, lane, due });
        Ok(())
    }

    /// Takes a request out.
    pub fn remove(&mut self, request: RequestId) -> Option<(Lane, Waiting)> {
        let Entry { waiting, lane, due } = self.entries.remove(&request)?;
        self.deadlines.remove(&(waiting.deadline, request));
        if let Some(state) = self.lanes.get_mut(&lane) {
            state.order.remove(&(due, request));
            state.since.remove(&(waiting.since, request));
            *state.depth.count(waiting.urgency) -= 1;
            if state.order.is_empty() {
                self.lanes.remove(&lane);
            }
        }
        if let Some(count) = self.callers.get_mut(&waiting.caller) {
            *count -= 1;
            if *count == 0 {
                self.callers.remove(&waiting.caller);
            }
        }
        Some((lane, waiting))
    }

    /// Takes out the next request whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Option<(Lane, Waiting)> {
        let &(deadline, request) = self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.remove(request)
    }

    /// Returns a waiting request.
    pub fn get(&self, request: RequestId) -> Option<&Waiting> {
        self.entries.get(&request).map(|entry| &entry.waiting)
    }

    /// Returns the lane of a pin.
    pub fn lane(&mut self, pin: &Pin, alone: bool) -> Lane {
        let need = match pin {
            Pin::Adapter { id, .. } => Need::Adapter(*id),
            Pin::Service { service } => self.service(service),
        };
        Lane { need, alone }
    }

    /// Returns the number of a service.
    pub fn service(&mut self, name: &str) -> Need {
        if let Some(&id) = self.services.get(name) {
            return Need::Service(id);
        }
        let id = self.services.len() as u32;
        self.services.insert(name.to_owned(), id);
        Need::Service(id)
    }

    /// Returns when a request is due, whether it waits already or would be added.
    pub fn due(&self, waiting: &Waiting) -> Duration {
        if let Some(entry) = self.entries.get(&waiting.request) {
            return entry.due;
        }
        due(waiting, self.callers.get(&waiting.caller).copied().unwrap_or(0))
    }

    /// Returns how many requests of a lane are due before a time, up to a limit.
    pub fn before(&self, lane: Lane, due: Duration, limit: usize) -> usize {
        let Some(state) = self.lanes.get(&lane) else { return 0 };
        state.order.range(..(due, RequestId::MIN)).take(limit).count()
    }

    /// Returns the request of a lane that is due last.
    pub fn last(&self, lane: Lane) -> Option<RequestId> {
        self.lanes.get(&lane)?.order.last().map(|&(_, request)| request)
    }

    /// Returns the request of a lane that is due first, and when.
    pub fn head(&self, lane: Lane) -> Option<(Duration, RequestId)> {
        self.lanes.get(&lane)?.order.first().copied()
    }

    /// Returns the requests of a lane, first due first.
    pub fn requests(&self, lane: Lane) -> impl Iterator<Item = RequestId> + '_ {
        self.lanes.get(&lane).into_iter().flat_map(|state| &state.order).map(|&(_, id)| id)
    }

    /// Returns since when the longest waiting request of a lane waits.
    pub fn oldest(&self, lane: Lane) -> Option<Duration> {
        self.lanes.get(&lane)?.since.first().map(|&(since, _)| since)
    }

    /// Returns how much waits in a lane.
    pub fn depth(&self, lane: Lane) -> Depth {
        self.lanes.get(&lane).map_or(Depth::default(), |state| state.depth)
    }

    /// Returns the lanes in which requests wait.
    pub fn lanes(&self) -> impl Iterator<Item = Lane> + '_ {
        self.lanes.keys().copied()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// When a request is due, with `ahead` requests of its caller waiting.
fn due(waiting: &Waiting, ahead: u32) -> Duration {
    let window = waiting.deadline.saturating_sub(waiting.since);
    let share = match waiting.urgency {
        Urgency::High => window / 4,
        Urgency::Normal => window / 2,
        Urgency::Low => window,
    };
    waiting.since + share.min(PATIENCE) + SETBACK * (ahead / BURST)
}
