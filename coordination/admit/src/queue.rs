//! Queue of the requests that wait at an owner.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use wire::{AdapterId, CallerId, ErrorKind, Pin, RequestId, Urgency};

/// Burst size: the first waiting requests of a caller, up to this number, get no delay.
const CALLER_BURST: u32 = 2;
/// Delay of the due time per full burst that the caller already has waiting.
const BURST_DELAY: Duration = Duration::from_millis(500);
/// Longest time from arrival to the due time, whatever the deadline, before burst delays.
const MAX_DUE_DELAY: Duration = Duration::from_secs(60);

/// Size limits of a queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueLimits {
    /// Maximum number of waiting requests.
    pub max_total: usize,
    /// Maximum number of waiting requests of one caller.
    pub max_per_caller: usize,
}

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Id of the request attempt.
    pub request: RequestId,
    /// The adapter or service that the request needs.
    pub pin: Pin,
    /// The caller; queue order is fair between callers.
    pub caller: CallerId,
    /// Urgency of the call; sets how early in its window the request is due.
    pub urgency: Urgency,
    /// Time at which the wait began.
    pub queued_at: Duration,
    /// Time by which the answer must have started.
    pub deadline: Duration,
    /// Hash of the prompt's prefix; zero if there is none.
    pub prefix: u64,
    /// Whether the request must run alone on its target, because it has a strike.
    pub exclusive: bool,
}

/// What the requests of a lane need from a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Requirement {
    /// The adapter with this id.
    Adapter(AdapterId),
    /// A service, by the number that the queue gave it.
    Service(u32),
}

/// Key of a group of requests that are interchangeable at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Lane {
    /// What the requests need from the target.
    pub requirement: Requirement,
    /// Whether each request must run alone on its target.
    pub exclusive: bool,
}

/// Number of waiting requests in a lane, by urgency.
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
    /// Returns the number of waiting requests of all urgencies.
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
    waiting: QueuedRequest,
    lane: Lane,
    due: Duration,
}

#[derive(Debug, Default)]
struct LaneState {
    by_due: BTreeSet<(Duration, RequestId)>,
    by_since: BTreeSet<(Duration, RequestId)>,
    depth: Depth,
}

/// Waiting requests ordered by deadline and urgency, fair between callers.
///
/// Each request gets a due time when it is added: a share of the window from its
/// arrival to its deadline that depends on its urgency, plus a delay for each full
/// burst that its caller already has waiting. The requests of a lane are served in
/// order of their due times. Because the due time is absolute, a request can only be
/// overtaken by requests that arrive before it is due.
#[derive(Debug)]
pub struct Queue {
    bounds: QueueLimits,
    entries: HashMap<RequestId, Entry>,
    lanes: BTreeMap<Lane, LaneState>,
    deadlines: BTreeSet<(Duration, RequestId)>,
    callers: HashMap<CallerId, u32>,
    services: HashMap<String, u32>,
}

impl Queue {
    /// Returns an empty queue.
    pub fn new(bounds: QueueLimits) -> Queue {
        Queue {
            bounds,
            entries: HashMap::new(),
            lanes: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            callers: HashMap::new(),
            services: HashMap::new(),
        }
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Expired`] if the deadline has passed, [`ErrorKind::QueueFull`] if a
    /// bound is reached, [`ErrorKind::Internal`] if the request already waits.
    pub fn push(&mut self, now: Duration, waiting: QueuedRequest) -> Result<(), ErrorKind> {
        if waiting.deadline <= now {
            return Err(ErrorKind::Expired);
        }
        if self.entries.len() >= self.bounds.max_total {
            return Err(ErrorKind::QueueFull);
        }
        let ahead = self.callers.get(&waiting.caller).copied().unwrap_or(0);
        if ahead as usize >= self.bounds.max_per_caller {
            return Err(ErrorKind::QueueFull);
        }
        if self.entries.contains_key(&waiting.request) {
            return Err(ErrorKind::Internal);
        }
        let lane = self.lane(&waiting.pin, waiting.exclusive);
        let due = self.due(&waiting);
        let state = self.lanes.entry(lane).or_default();
        state.by_due.insert((due, waiting.request));
        state.by_since.insert((waiting.queued_at, waiting.request));
        *state.depth.count(waiting.urgency) += 1;
        self.deadlines.insert((waiting.deadline, waiting.request));
        *self.callers.entry(waiting.caller.clone()).or_default() += 1;
        self.entries.insert(waiting.request, Entry { waiting, lane, due });
        Ok(())
    }

    /// Removes a request. Returns none if it does not wait.
    pub fn remove(&mut self, request: RequestId) -> Option<(Lane, QueuedRequest)> {
        let Entry { waiting, lane, due } = self.entries.remove(&request)?;
        self.deadlines.remove(&(waiting.deadline, request));
        if let Some(state) = self.lanes.get_mut(&lane) {
            state.by_due.remove(&(due, request));
            state.by_since.remove(&(waiting.queued_at, request));
            *state.depth.count(waiting.urgency) -= 1;
            if state.by_due.is_empty() {
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

    /// Removes the request with the earliest deadline if that deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Option<(Lane, QueuedRequest)> {
        let &(deadline, request) = self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.remove(request)
    }

    /// Returns a waiting request, or none if it does not wait.
    pub fn get(&self, request: RequestId) -> Option<&QueuedRequest> {
        self.entries.get(&request).map(|entry| &entry.waiting)
    }

    /// Returns the lane of requests with this pin.
    pub fn lane(&mut self, pin: &Pin, exclusive: bool) -> Lane {
        let requirement = match pin {
            Pin::Adapter { id, .. } => Requirement::Adapter(*id),
            Pin::Service { service } => self.service_need(service),
        };
        Lane { requirement, exclusive }
    }

    /// Returns the need for a service, and numbers the service on first use.
    pub fn service_need(&mut self, name: &str) -> Requirement {
        if let Some(&id) = self.services.get(name) {
            return Requirement::Service(id);
        }
        let id = self.services.len() as u32;
        self.services.insert(name.to_owned(), id);
        Requirement::Service(id)
    }

    /// Returns the due time of a request: the stored one if it already waits, else the one
    /// that it would get if it were added now.
    pub fn due(&self, waiting: &QueuedRequest) -> Duration {
        if let Some(entry) = self.entries.get(&waiting.request) {
            return entry.due;
        }
        due_time(waiting, self.callers.get(&waiting.caller).copied().unwrap_or(0))
    }

    /// Returns the number of requests of a lane that are due before `due`, at most `limit`.
    pub fn count_due_before(&self, lane: Lane, due: Duration, limit: usize) -> usize {
        let Some(state) = self.lanes.get(&lane) else { return 0 };
        state.by_due.range(..(due, RequestId::MIN)).take(limit).count()
    }

    /// Returns the request of a lane with the latest due time.
    pub fn last_due(&self, lane: Lane) -> Option<RequestId> {
        self.lanes.get(&lane)?.by_due.last().map(|&(_, request)| request)
    }

    /// Returns the request of a lane with the earliest due time, after that time.
    pub fn first_due(&self, lane: Lane) -> Option<(Duration, RequestId)> {
        self.lanes.get(&lane)?.by_due.first().copied()
    }

    /// Returns the requests of a lane in order of their due times.
    pub fn requests(&self, lane: Lane) -> impl Iterator<Item = RequestId> + '_ {
        self.lanes.get(&lane).into_iter().flat_map(|state| &state.by_due).map(|&(_, id)| id)
    }

    /// Returns when the longest-waiting request of a lane began to wait.
    pub fn oldest_since(&self, lane: Lane) -> Option<Duration> {
        self.lanes.get(&lane)?.by_since.first().map(|&(since, _)| since)
    }

    /// Returns the number of waiting requests in a lane, by urgency.
    pub fn depth(&self, lane: Lane) -> Depth {
        self.lanes.get(&lane).map_or(Depth::default(), |state| state.depth)
    }

    /// Returns the lanes that have waiting requests.
    pub fn lanes(&self) -> impl Iterator<Item = Lane> + '_ {
        self.lanes.keys().copied()
    }

    /// Returns the number of waiting requests in all lanes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns the due time of a request whose caller already has `ahead` requests waiting.
fn due_time(waiting: &QueuedRequest, ahead: u32) -> Duration {
    let window = waiting.deadline.saturating_sub(waiting.queued_at);
    let share = match waiting.urgency {
        Urgency::High => window / 4,
        Urgency::Normal => window / 2,
        Urgency::Low => window,
    };
    waiting.queued_at + share.min(MAX_DUE_DELAY) + BURST_DELAY * (ahead / CALLER_BURST)
}
