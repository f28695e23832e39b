//! The end of a host's process, after it was told to end.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{Event, Host, TargetQuery};

/// How long callers are still accepted: the entry addresses that the directory gave them stay valid for
/// up to 2 s, and 0.5 s are added.
const LISTEN_TIME: Duration = Duration::from_millis(2500);
/// The process exits this long before the grace period is over and it is killed.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Answers end this long before the process does, so that callers can read their last bytes.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Answers whose times are kept of each route.
const KEPT_TIMES: usize = 64;
/// Fewer answers don't tell how long others take.
const MIN_TIMES: usize = 20;
/// A request that comes after the last caller was accepted has to fit into the longest kept time with this
/// factor: a slow upload, or the rest of one, is all that can come then. Before that, half of them suffice.
const LATE_RESERVE: f64 = 1.25;
/// An answer tells nothing about those that may be more than so many times as long.
const MAX_SIZE_RATIO: u32 = 2;

/// When the parts of a host's work end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// Callers' connections are accepted until then.
    pub listen_until: Duration,
    /// Answers that have not begun are given then at the latest.
    pub answers_until: Duration,
    /// The process ends then at the latest.
    pub ends_at: Duration,
}

impl Shutdown {
    /// Returns the times of a process that was told to end now, and is killed after `grace`.
    fn begin(now: Duration, grace: Duration) -> Shutdown {
        let span = grace - KILL_MARGIN.min(grace / 4);
        Shutdown {
            listen_until: now + LISTEN_TIME.min(span / 3),
            answers_until: now + span - ANSWER_MARGIN.min(span / 4),
            ends_at: now + span,
        }
    }
}

/// How long the answer to a request took, from the first send of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTime {
    /// Time to its end.
    pub whole: Duration,
    /// Maximum number of answer tokens, if the request stated it.
    pub tokens: Option<u32>,
}

impl AnswerTime {
    /// Whether it tells how long an answer with so many tokens takes.
    fn tells_of(&self, tokens: Option<u32>) -> bool {
        match (self.tokens, tokens) {
            (None, None) => true,
            (Some(own), Some(tokens)) => tokens <= own.saturating_mul(MAX_SIZE_RATIO),
            _ => false,
        }
    }
}

/// Times of the latest answers on each route, the newest last.
#[derive(Debug, Default)]
pub(crate) struct AnswerTimes {
    by_route: BTreeMap<String, VecDeque<AnswerTime>>,
}

impl AnswerTimes {
    fn add(&mut self, route: &str, time: AnswerTime) {
        let kept = match self.by_route.get_mut(route) {
            Some(kept) => kept,
            None => self.by_route.entry(route.to_owned()).or_default(),
        };
        if kept.len() == KEPT_TIMES {
            kept.pop_front();
        }
        kept.push_back(time);
    }

    /// Returns the times that answers with so many tokens take, as far as the kept ones tell, the shortest
    /// first.
    fn sorted(&self, route: &str, tokens: Option<u32>) -> Vec<Duration> {
        let kept = self.by_route.get(route).into_iter().flatten();
        let alike = kept.filter(|it| it.tells_of(tokens));
        let mut times: Vec<Duration> = alike.map(|it| it.whole).collect();
        times.sort();
        times
    }

    /// Forgets the routes that are not in force any more.
    pub(crate) fn keep_routes<'a>(&mut self, routes: impl Iterator<Item = &'a str>) {
        let mut kept = BTreeMap::new();
        for route in routes {
            kept.extend(self.by_route.remove_entry(route));
        }
        self.by_route = kept;
    }
}

impl Host {
    /// Returns when the parts of this host's work end; `None` unless it was told to end.
    pub fn shutdown(&self) -> Option<Shutdown> {
        self.shutdown
    }

    /// Returns the time that the process has left; `None` unless it was told to end.
    pub fn time_to_end(&self, now: Duration) -> Option<Duration> {
        self.shutdown.map(|it| it.ends_at.saturating_sub(now))
    }

    /// Records how long the whole answer to a request on a route took.
    pub fn record_answer(&mut self, route: &str, time: AnswerTime) {
        self.answer_times.add(route, time);
    }

    /// Records how long an answer took that was given up before its end. It counts only if it took longer than
    /// most others.
    pub fn record_unfinished(&mut self, route: &str, time: AnswerTime) {
        let times = self.answer_times.sorted(route, time.tokens);
        if usual(&times).is_some_and(|it| time.whole > it) {
            self.answer_times.add(route, time);
        }
    }

    /// Returns until when a request may be sent so that its answer can end before the process does; `None`
    /// if there is no such limit: the host was not told to end, or the deadline of the request comes first.
    /// `longest` is the time that a request on its route has been in progress by now.
    ///
    /// If too few answers tell how long it takes, it may be sent while callers are accepted: most of the
    /// grace time is left then.
    pub fn last_start(
        &self,
        query: &TargetQuery,
        deadline: Duration,
        longest: Duration,
    ) -> Option<Duration> {
        let Shutdown { listen_until, answers_until, .. } = self.shutdown?;
        if deadline <= answers_until {
            return None;
        }
        let times = self.answer_times.sorted(&query.route.name, query.tokens);
        let (Some(usual), Some(last)) = (usual(&times), times.last()) else {
            return Some(listen_until);
        };
        let early = match query.takes_up {
            // Only a part of the stream is left.
            true => listen_until,
            false => answers_until.saturating_sub(usual).min(listen_until),
        };
        let late = answers_until.saturating_sub(longest.max(last.mul_f64(LATE_RESERVE)));
        Some(early.max(late))
    }

    /// Whether other hosts accept callers' requests.
    pub fn has_other_entries(&self) -> bool {
        let own = self.settings.host;
        self.entries(None).iter().any(|it| *it != own)
    }

    /// Begins the shutdown, unless it has begun.
    pub(crate) fn begin_shutdown(&mut self, now: Duration) {
        if self.shutdown.is_some() {
            return;
        }
        let shutdown = Shutdown::begin(now, self.settings.bounds.shutdown_grace);
        self.shutdown = Some(shutdown);
        let ends_in_ms = shutdown.ends_at.saturating_sub(now).as_millis() as u64;
        self.log(Event::Stopping { ends_in_ms });
    }
}

/// Returns the time that half of the times don't exceed; `None` if they are too few to tell.
fn usual(sorted: &[Duration]) -> Option<Duration> {
    if sorted.len() < MIN_TIMES {
        return None;
    }
    sorted.get((sorted.len() - 1) / 2).copied()
}
