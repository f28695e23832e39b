//! Places at targets with a limit: each is the right of a host to send one request there.
//!
//! A target names how many requests a second it takes from all hosts together. The holder of its
//! failure domain hands these out as places. A holder begins with none, and no two hosts hold a
//! failure domain at the same time, so the places of two successive holders together stay within
//! the limit too. A place expires soon, so that requests of several seconds don't arrive together.
//!
//! A brittle target gets so many requests at once. A place there is taken until its request has ended
//! and the host gives it back.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

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

/// Minimum time between two places at a brittle target, in which the holder hears of a request that it
/// turned away.
const PACE: Duration = Duration::from_millis(10);
/// Time after which a place at a brittle target is free again although its host gave none back.
const TAKEN_TTL: Duration = Duration::from_secs(30);
/// Time for which a place is taken before one was given back, in seconds.
const EXPECTED_S: f64 = 0.2;
/// Weight of the newest place in the moving average of that time.
const NEWEST_WEIGHT: f64 = 0.1;

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

/// How many requests a brittle target gets at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AtOnce {
    /// The number.
    pub most: u32,
    /// Number of requests there by the last statuses of all hosts, with and without a place.
    pub present: u32,
    /// It gets none before this time.
    pub closed_until: Duration,
}

/// A target's limit, and the number of its last change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitInForce {
    /// Requests per second, in thousandths; zero at a brittle target.
    pub milli_rate: MilliRate,
    /// What a brittle target gets; `None` at a target with a rate.
    pub at_once: Option<AtOnce>,
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
    /// Places at a brittle target that are taken, and since when; oldest first.
    taken: VecDeque<(HostId, Duration)>,
    /// Moving average of the time for which they are, in seconds.
    taken_s: f64,
    waiting: BTreeMap<HostId, Waiting>,
}

impl Queue {
    fn new(now: Duration, started_at: u64, limit: LimitInForce) -> Queue {
        Queue {
            started_at,
            limit,
            unused: 0.0,
            updated: now,
            taken: VecDeque::new(),
            taken_s: EXPECTED_S,
            waiting: BTreeMap::new(),
        }
    }

    /// Returns the number of places that may be granted now.
    fn free(&self, now: Duration) -> u16 {
        let Some(AtOnce { most, present, closed_until }) = self.limit.at_once else {
            return self.unused as u16;
        };
        let present = present.max(self.taken.len() as u32);
        let is_paced = self.taken.back().is_some_and(|it| now < it.1 + PACE);
        u16::from(present < most && now >= closed_until && !is_paced)
    }

    fn take(&mut self, now: Duration, host: HostId, places: u16) {
        if self.limit.at_once.is_none() {
            self.unused -= f64::from(places);
        } else {
            self.taken.extend(std::iter::repeat_n((host, now), places.into()));
        }
    }

    fn take_back(&mut self, now: Duration, host: HostId, places: u16) {
        if self.limit.at_once.is_none() {
            self.unused = (self.unused + f64::from(places)).min(self.most_unused());
            return;
        }
        for _ in 0..places {
            let Some(at) = self.taken.iter().position(|it| it.0 == host) else { return };
            let since = self.taken.remove(at).map_or(now, |it| it.1);
            let taken_s = now.saturating_sub(since).as_secs_f64();
            self.taken_s += NEWEST_WEIGHT * (taken_s - self.taken_s);
        }
    }

    /// Whether a brittle target has no place for those that wait.
    fn is_used_up(&self) -> bool {
        let most = self.limit.at_once.map_or(u32::MAX, |it| it.most);
        !self.waiting.is_empty() && self.taken.len() as u32 >= most
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
        while self.free(now) > 0 {
            let next = self.waiting.iter().map(|(&host, it)| (it.rank(), it.arrived, host)).min();
            let Some((.., host)) = next else { break };
            let Some(waiting) = self.waiting.remove(&host) else { break };
            let most = if self.waiting.is_empty() { waiting.request.count.max(1) } else { 1 };
            let places = self.free(now).min(most);
            self.take(now, host, places);
            granted.push((host, reply(now, &waiting, places, self.limit.change, Duration::ZERO)));
        }
        granted
    }

    /// Returns the time until a further request of a host's rank would get a place.
    fn due(&self, now: Duration, rank: Rank) -> Duration {
        let before = self.waiting.values().filter(|it| it.rank() <= rank);
        let waiting: f64 = before.map(|it| f64::from(it.request.waiting.max(1))).sum();
        if let Some(AtOnce { most, closed_until, .. }) = self.limit.at_once {
            let each = self.taken_s / f64::from(most.max(1));
            return closed_until.saturating_sub(now) + Duration::from_secs_f64(waiting * each);
        }
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
            replies.push((host, reply(now, waiting, 0, limit.change, queue.due(now, rank))));
        }
        replies
    }

    /// Takes back places of a host that were not used, or whose requests have ended. Returns the
    /// grants that are due.
    pub fn take_back(
        &mut self,
        now: Duration,
        host: HostId,
        target: &str,
        started_at: u64,
        places: u16,
    ) -> Vec<(HostId, PlaceReply)> {
        let queue = self.queues.get_mut(target).filter(|it| it.started_at == started_at);
        let Some(queue) = queue else { return Vec::new() };
        queue.take_back(now, host, places);
        if queue.limit.at_once.is_some() { queue.grant(now) } else { Vec::new() }
    }

    /// Returns the brittle targets that have no place for those that wait.
    pub(crate) fn used_up(&self) -> Vec<String> {
        let used_up = self.queues.iter().filter(|(_, it)| it.is_used_up());
        used_up.map(|(target, _)| target.clone()).collect()
    }

    /// Drops targets without a limit, requests that were not repeated, and places of hosts that are not
    /// live. Returns the grants that are due.
    pub fn tick(
        &mut self,
        now: Duration,
        limit: impl Fn(&str) -> Option<LimitInForce>,
        is_live: impl Fn(HostId) -> bool,
    ) -> Vec<(HostId, PlaceReply)> {
        let mut granted = Vec::new();
        self.queues.retain(|target, queue| {
            let Some(limit) = limit(target) else { return false };
            queue.update(now, limit);
            queue.waiting.retain(|_, it| now < it.refreshed + WAIT_TTL);
            queue.taken.retain(|(host, since)| is_live(*host) && now < *since + TAKEN_TTL);
            granted.extend(queue.grant(now));
            true
        });
        granted
    }
}
