//! Places at targets with a limit: each is the right of a host to send one request there.
//!
//! A target names how many requests a second it takes from all hosts together. The holder of its
//! failure domain hands these out as places. A holder begins with none, and no two hosts hold a
//! failure domain at the same time, so the places of two successive holders together stay within
//! the limit too. A place expires soon, so that requests of several seconds don't arrive together.

use std::{collections::BTreeMap, time::Duration};

use wire::{HostId, MilliRate, PlaceReply, PlaceRequest};

use crate::limit_view::Rank;

/// Time from a place's grant until it expires.
pub(crate) const PLACE_TTL: Duration = Duration::from_millis(500);
/// Time for which unused places add up, beside one.
const BURST: Duration = Duration::from_millis(500);
/// Time after which a host's request is dropped unless it is repeated.
const WAIT_TTL: Duration = Duration::from_millis(500);
/// Lowest rate at which places are granted: a target that gets no request cannot name a higher
/// limit.
const MIN_MILLI_RATE: MilliRate = 100;

/// A host's request for places.
#[derive(Debug)]
struct Waiting {
    request: PlaceRequest,
    arrived: Duration,
    refreshed: Duration,
}

impl Waiting {
    /// Order in which hosts get places: those with requests that can be on time, then by priority.
    fn rank(&self) -> Rank {
        (self.request.late, self.request.priority)
    }
}

/// A target's limit, and the number of its last change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitInForce {
    /// The limit.
    pub milli_rate: MilliRate,
    /// Number of its last change, over all holders.
    pub change: u64,
}

/// The places of one target.
#[derive(Debug)]
struct Queue {
    started_at: u64,
    limit: LimitInForce,
    /// Unused places.
    unused: f64,
    updated: Duration,
    waiting: BTreeMap<HostId, Waiting>,
}

impl Queue {
    fn new(now: Duration, started_at: u64, limit: LimitInForce) -> Queue {
        Queue { started_at, limit, unused: 0.0, updated: now, waiting: BTreeMap::new() }
    }

    /// Returns the places per second.
    fn rate(&self) -> f64 {
        f64::from(self.limit.milli_rate.max(MIN_MILLI_RATE)) / 1000.0
    }

    fn add_places(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.unused = (self.unused + elapsed * self.rate()).min(self.most_unused());
    }

    fn most_unused(&self) -> f64 {
        1.0 + self.rate() * BURST.as_secs_f64()
    }

    /// Adds the places of the time until now at the former limit, then takes over the limit.
    fn update(&mut self, now: Duration, limit: LimitInForce) {
        self.add_places(now);
        self.limit = limit;
        self.add_places(now);
    }

    fn grant(&mut self, now: Duration) -> Vec<(HostId, PlaceReply)> {
        let mut granted = Vec::new();
        while self.unused >= 1.0 {
            let next = self.waiting.iter().map(|(&host, it)| (it.rank(), it.arrived, host)).min();
            let Some((.., host)) = next else { break };
            let Some(waiting) = self.waiting.remove(&host) else { break };
            let most = if self.waiting.is_empty() { waiting.request.count.max(1) } else { 1 };
            let places = (self.unused as u16).min(most);
            self.unused -= f64::from(places);
            granted.push((host, reply(now, &waiting, places, self.limit.change, Duration::ZERO)));
        }
        granted
    }

    /// Returns the time until a further request of a host's rank would get a place.
    fn due(&self, rank: Rank) -> Duration {
        let before = self.waiting.values().filter(|it| it.rank() <= rank);
        let waiting: f64 = before.map(|it| f64::from(it.request.waiting.max(1))).sum();
        Duration::from_secs_f64(((waiting - self.unused) / self.rate()).max(0.0))
    }
}

fn reply(now: Duration, waiting: &Waiting, places: u16, change: u64, due: Duration) -> PlaceReply {
    let request = &waiting.request;
    PlaceReply {
        target: request.target.clone(),
        started_at: request.started_at,
        sent_ms: request.sent_ms,
        held_ms: now.saturating_sub(waiting.refreshed).as_millis() as u32,
        places,
        change,
        due_ms: due.as_millis() as u32,
    }
}

/// The places at the targets of one failure domain.
#[derive(Debug, Default)]
pub struct PlaceScheduler {
    queues: BTreeMap<String, Queue>,
}

impl PlaceScheduler {
    /// Handles a new or repeated request of a host. Returns the replies to send.
    pub fn request(
        &mut self,
        now: Duration,
        host: HostId,
        request: &PlaceRequest,
        limit: LimitInForce,
    ) -> Vec<(HostId, PlaceReply)> {
        let started_at = request.started_at;
        let queue = self
            .queues
            .entry(request.target.clone())
            .or_insert_with(|| Queue::new(now, started_at, limit));
        if queue.started_at != started_at {
            *queue = Queue::new(now, started_at, limit);
        }
        queue.update(now, limit);
        let arrived = queue.waiting.get(&host).map_or(now, |it| it.arrived);
        let waiting = Waiting { request: request.clone(), arrived, refreshed: now };
        let rank = waiting.rank();
        queue.waiting.insert(host, waiting);
        let mut replies = queue.grant(now);
        if let Some(waiting) = queue.waiting.get(&host) {
            replies.push((host, reply(now, waiting, 0, limit.change, queue.due(rank))));
        }
        replies
    }

    /// Takes back places that were not used.
    pub fn take_back(&mut self, target: &str, started_at: u64, places: u16) {
        let Some(queue) = self.queues.get_mut(target) else { return };
        if queue.started_at == started_at {
            queue.unused = (queue.unused + f64::from(places)).min(queue.most_unused());
        }
    }

    /// Drops targets without a limit and requests that were not repeated. Returns the grants that
    /// are due.
    pub fn tick(
        &mut self,
        now: Duration,
        limit: impl Fn(&str) -> Option<LimitInForce>,
    ) -> Vec<(HostId, PlaceReply)> {
        let mut granted = Vec::new();
        self.queues.retain(|target, queue| {
            let Some(limit) = limit(target) else { return false };
            queue.update(now, limit);
            queue.waiting.retain(|_, it| now < it.refreshed + WAIT_TTL);
            granted.extend(queue.grant(now));
            true
        });
        granted
    }
}
