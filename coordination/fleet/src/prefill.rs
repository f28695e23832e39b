//! Scheduling of prefill permits: when a prompt may be sent to a target.
//!
//! While a target prefills prompts, the streams that it generates pause. Prompts that many hosts
//! send at the same moment therefore delay all its streams beyond the longest allowed pause,
//! although there is time to prefill them one after the other. One host schedules the permits of
//! each target. It limits the tokens in prefill to what the target prefills well within the longest
//! pause, and grants permits by priority, with requests that can still meet their objective before
//! those that cannot.

use std::{collections::BTreeMap, time::Duration};

use wire::{HostId, PrefillRequest};

/// Share of the longest pause that prefill may take.
const PAUSE_SHARE: f64 = 0.65;
/// Tokens in prefill at a time while a target's speed is unknown.
const INITIAL_TOKENS: f64 = 2500.0;
/// Minimum limit of the tokens in prefill at a time.
const MIN_TOKENS: f64 = 600.0;
/// Factor by which the weight of a sample falls with each later one.
const SAMPLE_DECAY: f64 = 0.97;
/// Weight of samples, about their number, from which a target's speed counts as known.
const MIN_SAMPLES: f64 = 4.0;
/// Range to which speeds are clamped, in tokens per millisecond.
const SPEED_RANGE: std::ops::RangeInclusive<f64> = 2.0..=200.0;
/// Time after which a prefill counts as finished if its host does not report the end.
const MAX_PREFILL: Duration = Duration::from_millis(1500);
/// Time after which a waiting request is dropped unless its host repeats it.
const WAIT_TTL: Duration = Duration::from_millis(800);
/// Share of the objective after which an answer can no longer be on time.
const LATE_SHARE: f64 = 0.8;

/// Whether an answer to a request that arrived at `arrived` can no longer be on time.
pub(crate) fn is_late(now: Duration, arrived: Duration, objective: Duration) -> bool {
    now >= arrived + objective.mul_f64(LATE_SHARE)
}

/// Key of a prefill request: the host and its number for the request.
pub(crate) type PermitKey = (HostId, u64);

#[derive(Debug)]
struct Prefill {
    tokens: u32,
    since: Duration,
    /// Whether no other prompt was in prefill at any time since.
    exclusive: bool,
}

#[derive(Debug)]
struct Waiting {
    request: PrefillRequest,
    /// When the request arrived at its host.
    arrived: Duration,
    refreshed: Duration,
}

#[derive(Debug, Default)]
struct Queue {
    prefilling: BTreeMap<PermitKey, Prefill>,
    waiting: BTreeMap<PermitKey, Waiting>,
    speed: Speed,
}

/// A target's prefill speed: linear regression of the time to the first event over the prompt's
/// length. The slope gives the speed; time that does not depend on the length (network, first
/// steps) is in the intercept and does not count.
#[derive(Debug, Default)]
struct Speed {
    count: f64,
    tokens: f64,
    time: f64,
    tokens_tokens: f64,
    tokens_time: f64,
}

impl Speed {
    fn add(&mut self, tokens: f64, ms: f64) {
        self.count = self.count * SAMPLE_DECAY + 1.0;
        self.tokens = self.tokens * SAMPLE_DECAY + tokens;
        self.time = self.time * SAMPLE_DECAY + ms;
        self.tokens_tokens = self.tokens_tokens * SAMPLE_DECAY + tokens * tokens;
        self.tokens_time = self.tokens_time * SAMPLE_DECAY + tokens * ms;
    }

    /// Returns the speed in tokens per millisecond, or `None` while the samples do not suffice.
    fn get(&self) -> Option<f64> {
        if self.count < MIN_SAMPLES {
            return None;
        }
        let variance = self.count * self.tokens_tokens - self.tokens * self.tokens;
        let covariance = self.count * self.tokens_time - self.tokens * self.time;
        if variance <= 0.0 || covariance <= 0.0 {
            return None;
        }
        Some((variance / covariance).clamp(*SPEED_RANGE.start(), *SPEED_RANGE.end()))
    }
}

/// The prefill permits of the targets that this host schedules.
#[derive(Debug, Default)]
pub struct PrefillScheduler {
    queues: BTreeMap<String, Queue>,
}

impl Queue {
    fn token_limit(&self, pause: Duration) -> f64 {
        let Some(speed) = self.speed.get() else { return INITIAL_TOKENS };
        let tokens = speed * pause.as_secs_f64() * 1000.0 * PAUSE_SHARE;
        tokens.max(MIN_TOKENS)
    }

    /// Returns the request to grant next: those that can be on time or go on with a stream first, then
    /// by priority, then those that go on with a stream, whose first part would otherwise be in vain,
    /// then by time of arrival.
    fn next(&self, now: Duration) -> Option<PermitKey> {
        let rank = |(key, it): (&PermitKey, &Waiting)| {
            let objective = Duration::from_millis(u64::from(it.request.objective_ms));
            let resumes = it.request.resumes;
            let late = !resumes && is_late(now, it.arrived, objective);
            (late, it.request.priority, !resumes, it.arrived, *key)
        };
        self.waiting.iter().map(rank).min().map(|(.., key)| key)
    }

    fn grant(&mut self, now: Duration) -> Vec<PermitKey> {
        let mut granted = Vec::new();
        while let Some(key) = self.next(now) {
            let request = &self.waiting[&key].request;
            let pause = Duration::from_millis(u64::from(request.pause_ms));
            let in_prefill: u32 = self.prefilling.values().map(|it| it.tokens).sum();
            let room = self.token_limit(pause) - f64::from(in_prefill);
            if !self.prefilling.is_empty() && f64::from(request.tokens) > room {
                break;
            }
            let exclusive = self.prefilling.is_empty();
            for other in self.prefilling.values_mut() {
                other.exclusive = false;
            }
            let prefill = Prefill { tokens: request.tokens, since: now, exclusive };
            self.prefilling.insert(key, prefill);
            self.waiting.remove(&key);
            granted.push(key);
        }
        granted
    }

    /// Returns the prefill backlog: tokens in prefill or waiting.
    fn backlog(&self) -> u32 {
        let prefill: u32 = self.prefilling.values().map(|it| it.tokens).sum();
        let waiting: u32 = self.waiting.values().map(|it| it.request.tokens).sum();
        prefill + waiting
    }
}

impl PrefillScheduler {
    /// Handles a new or repeated prefill request. Returns the requests to which permits are
    /// granted.
    pub fn request(
        &mut self,
        now: Duration,
        host: HostId,
        request: &PrefillRequest,
    ) -> Vec<(HostId, u64)> {
        let key = (host, request.permit_id);
        let queue = self.queues.entry(request.target.clone()).or_default();
        if queue.prefilling.contains_key(&key) {
            return vec![key];
        }
        let waited = Duration::from_millis(u64::from(request.waited_ms));
        let arrived = now.saturating_sub(waited);
        let waiting = queue.waiting.entry(key).or_insert_with(|| Waiting {
            request: request.clone(),
            arrived,
            refreshed: now,
        });
        waiting.refreshed = now;
        queue.grant(now)
    }

    /// Handles the end of a prefill (`prefilled`), or of a request that no longer needs its permit.
    /// Returns the requests to which permits are granted.
    pub fn release(
        &mut self,
        now: Duration,
        key: (HostId, u64),
        target: &str,
        prefilled: bool,
    ) -> Vec<(HostId, u64)> {
        let Some(queue) = self.queues.get_mut(target) else { return Vec::new() };
        queue.waiting.remove(&key);
        let Some(prefill) = queue.prefilling.remove(&key) else { return Vec::new() };
        let took = now.saturating_sub(prefill.since).as_secs_f64() * 1000.0;
        if prefilled && prefill.exclusive {
            queue.speed.add(f64::from(prefill.tokens), took);
        }
        queue.grant(now)
    }

    /// Drops prefills and waiting requests that timed out. Returns the requests to which permits
    /// are granted.
    pub fn tick(&mut self, now: Duration) -> Vec<(HostId, u64)> {
        let mut granted = Vec::new();
        for queue in self.queues.values_mut() {
            queue.prefilling.retain(|_, it| now < it.since + MAX_PREFILL);
            queue.waiting.retain(|_, it| now < it.refreshed + WAIT_TTL);
            granted.extend(queue.grant(now));
        }
        granted
    }

    /// Returns the prefill backlog of a target in tokens.
    pub fn backlog(&self, target: &str) -> u32 {
        self.queues.get(target).map_or(0, Queue::backlog)
    }

    /// Returns the prefill backlog in tokens of each target with any.
    pub fn backlogs(&self) -> impl Iterator<Item = (&str, u32)> {
        let all = self.queues.iter().map(|(target, queue)| (target.as_str(), queue.backlog()));
        all.filter(|(_, tokens)| *tokens > 0)
    }

    /// Returns each target with waiting prompts, with its speed in tokens per millisecond, if
    /// known, and its prefill backlog in tokens.
    pub fn estimates(&self) -> Vec<(String, Option<f64>, u32)> {
        let mut estimates = Vec::new();
        for (target, queue) in &self.queues {
            if !queue.waiting.is_empty() {
                estimates.push((target.clone(), queue.speed.get(), queue.backlog()));
            }
        }
        estimates
    }

    /// Drops targets that `known` rejects, unless a prompt is in prefill there.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.queues.retain(|target, queue| known(target) || !queue.prefilling.is_empty());
    }
}
