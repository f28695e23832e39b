//! When prompts are sent to a target.
//!
//! While a target reads prompts, the streams that it runs pause. So prompts that
//! many hosts send at the same moment make all its streams late, though there
//! would be time to read them one after the other. One host gives out the turns
//! of each target: so many tokens at a time as are read well within the longest
//! pause, the most urgent first, and those that can still be on time before
//! those that can't.

use std::{collections::BTreeMap, time::Duration};

use wire::{HostId, TurnAsk};

/// Part of the longest pause that reading prompts may take.
const PAUSE_SHARE: f64 = 0.65;
/// Tokens at a time before a target's speed is known.
const FIRST_TOKENS: f64 = 2500.0;
/// Least tokens at a time.
const LEAST_TOKENS: f64 = 600.0;
/// What a reading counts after the next one.
const KEPT: f64 = 0.97;
/// Readings before a target's speed is known.
const LEAST_READINGS: f64 = 4.0;
/// Bounds of the speeds that are believed, in tokens a millisecond.
const SPEEDS: std::ops::RangeInclusive<f64> = 2.0..=200.0;
/// How long a prompt counts as being read if nobody says that it was.
const LONGEST_READ: Duration = Duration::from_millis(1500);
/// How long a host that waits for its turn may be silent.
const SILENT_ASK: Duration = Duration::from_millis(800);
/// Part of the objective after which an answer can't be on time any more.
const HOPEFUL_SHARE: f64 = 0.8;

/// A request for a turn: the host and its number for it.
pub(crate) type TurnKey = (HostId, u64);

#[derive(Debug)]
struct Reading {
    tokens: u32,
    since: Duration,
    /// Whether nothing else was read meanwhile.
    alone: bool,
}

#[derive(Debug)]
struct Asking {
    ask: TurnAsk,
    /// When the request arrived at its host.
    arrived: Duration,
    heard: Duration,
}

#[derive(Debug, Default)]
struct Queue {
    reading: BTreeMap<TurnKey, Reading>,
    asking: BTreeMap<TurnKey, Asking>,
    speed: Speed,
}

/// A target's speed in reading prompts: the slope of the time to the first event
/// over the prompt's length. The time that no prompt needs to be read (the way,
/// the first steps) is in the constant and doesn't count.
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
        self.count = self.count * KEPT + 1.0;
        self.tokens = self.tokens * KEPT + tokens;
        self.time = self.time * KEPT + ms;
        self.tokens_tokens = self.tokens_tokens * KEPT + tokens * tokens;
        self.tokens_time = self.tokens_time * KEPT + tokens * ms;
    }

    /// Tokens a millisecond, once enough was seen.
    fn get(&self) -> Option<f64> {
        if self.count < LEAST_READINGS {
            return None;
        }
        let spread = self.count * self.tokens_tokens - self.tokens * self.tokens;
        let common = self.count * self.tokens_time - self.tokens * self.time;
        if spread <= 0.0 || common <= 0.0 {
            return None;
        }
        Some((spread / common).clamp(*SPEEDS.start(), *SPEEDS.end()))
    }
}

/// The turns of the targets that this host gives out.
#[derive(Debug, Default)]
pub struct Turns {
    queues: BTreeMap<String, Queue>,
}

impl Queue {
    fn tokens_at_once(&self, pause: Duration) -> f64 {
        let Some(speed) = self.speed.get() else { return FIRST_TOKENS };
        let tokens = speed * pause.as_secs_f64() * 1000.0 * PAUSE_SHARE;
        tokens.max(LEAST_TOKENS)
    }

    /// The request that goes next: hopeful ones first, then by rank, then the
    /// longest in the system.
    fn next(&self, now: Duration) -> Option<TurnKey> {
        let rank = |(key, it): (&TurnKey, &Asking)| {
            let objective = Duration::from_millis(u64::from(it.ask.objective_ms));
            let late = now >= it.arrived + objective.mul_f64(HOPEFUL_SHARE);
            (late, it.ask.priority, it.arrived, *key)
        };
        self.asking.iter().map(rank).min().map(|(.., key)| key)
    }

    fn grant(&mut self, now: Duration) -> Vec<TurnKey> {
        let mut granted = Vec::new();
        while let Some(key) = self.next(now) {
            let ask = &self.asking[&key].ask;
            let pause = Duration::from_millis(u64::from(ask.pause_ms));
            let under_way: u32 = self.reading.values().map(|it| it.tokens).sum();
            let room = self.tokens_at_once(pause) - f64::from(under_way);
            if !self.reading.is_empty() && f64::from(ask.tokens) > room {
                break;
            }
            let alone = self.reading.is_empty();
            for other in self.reading.values_mut() {
                other.alone = false;
            }
            let reading = Reading { tokens: ask.tokens, since: now, alone };
            self.reading.insert(key, reading);
            self.asking.remove(&key);
            granted.push(key);
        }
        granted
    }

    /// Tokens that are read or wait.
    fn backlog(&self) -> u32 {
        let reading: u32 = self.reading.values().map(|it| it.tokens).sum();
        let asking: u32 = self.asking.values().map(|it| it.ask.tokens).sum();
        reading + asking
    }
}

impl Turns {
    /// Takes in that a request waits for its turn at a target, for the first time
    /// or again. Returns the requests whose turn it is.
    pub fn ask(&mut self, now: Duration, host: HostId, ask: &TurnAsk) -> Vec<(HostId, u64)> {
        let key = (host, ask.ticket);
        let queue = self.queues.entry(ask.target.clone()).or_default();
        if queue.reading.contains_key(&key) {
            return vec![key];
        }
        let waited = Duration::from_millis(u64::from(ask.waited_ms));
        let arrived = now.saturating_sub(waited);
        let asking = queue.asking.entry(key).or_insert_with(|| Asking {
            ask: ask.clone(),
            arrived,
            heard: now,
        });
        asking.heard = now;
        queue.grant(now)
    }

    /// Takes in that a prompt was read (`read`), or that its request no longer
    /// waits. Returns the requests whose turn it is.
    pub fn end(
        &mut self,
        now: Duration,
        key: (HostId, u64),
        target: &str,
        read: bool,
    ) -> Vec<(HostId, u64)> {
        let Some(queue) = self.queues.get_mut(target) else { return Vec::new() };
        queue.asking.remove(&key);
        let Some(reading) = queue.reading.remove(&key) else { return Vec::new() };
        let took = now.saturating_sub(reading.since).as_secs_f64() * 1000.0;
        if read && reading.alone {
            queue.speed.add(f64::from(reading.tokens), took);
        }
        queue.grant(now)
    }

    /// Forgets what nobody spoke of for too long. Returns the requests whose turn
    /// it is, with their targets.
    pub fn tick(&mut self, now: Duration) -> Vec<(HostId, u64)> {
        let mut granted = Vec::new();
        for queue in self.queues.values_mut() {
            queue.reading.retain(|_, it| now < it.since + LONGEST_READ);
            queue.asking.retain(|_, it| now < it.heard + SILENT_ASK);
            granted.extend(queue.grant(now));
        }
        granted
    }

    /// Returns the tokens that are read or wait at a target.
    pub fn backlog(&self, target: &str) -> u32 {
        self.queues.get(target).map_or(0, Queue::backlog)
    }

    /// Returns the same for each target with any.
    pub fn backlogs(&self) -> impl Iterator<Item = (&str, u32)> {
        let all = self.queues.iter().map(|(target, queue)| (target.as_str(), queue.backlog()));
        all.filter(|(_, tokens)| *tokens > 0)
    }

    /// Returns what is believed of each target whose prompts wait: tokens a
    /// millisecond, if known, and tokens that are read or wait.
    pub fn beliefs(&self) -> Vec<(String, Option<f64>, u32)> {
        let mut beliefs = Vec::new();
        for (target, queue) in &self.queues {
            if !queue.asking.is_empty() {
                beliefs.push((target.clone(), queue.speed.get(), queue.backlog()));
            }
        }
        beliefs
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.queues.retain(|target, queue| known(target) || !queue.reading.is_empty());
    }
}
