//! The end of a host's process, after it was told to end.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{Event, Host, Route};

/// How long callers are still accepted: the entry addresses that the directory gave them stay valid for
/// up to 2 s, and 0.5 s are added.
const LISTEN_TIME: Duration = Duration::from_millis(2500);
/// The process exits this long before the grace period is over and it is killed.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Answers end this long before the process does, so that their last bytes can be taken.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Answers whose times are kept of each route.
const KEPT_TIMES: usize = 64;
/// Share of them within whose times the answer to a request has to fit while callers are accepted. The few
/// requests that come later have to fit within all of them.
const FITTING_SHARE: f64 = 0.95;

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

/// How long the answer to a request took, from its first send to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTime {
    /// Time to the first event of a stream, or to the end of any other answer.
    pub first: Duration,
    /// Time from then to the end.
    pub rest: Duration,
    /// Maximum number of answer tokens, if the request stated it.
    pub tokens: Option<u32>,
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

    /// Returns the time within which a share of the answers with so many tokens ends; `None` if none has ended
    /// on the route. Answers whose number of tokens is not stated count as of one size.
    fn expected(&self, route: &str, tokens: Option<u32>, share: f64) -> Option<Duration> {
        let kept = self.by_route.get(route)?.iter();
        let alike = kept.filter(|it| it.tokens.is_some() == tokens.is_some());
        let first = not_exceeded(share, alike.clone().map(|it| it.first))?;
        let per_token = alike.map(|it| it.rest / it.tokens.unwrap_or(1).max(1));
        let per_token = not_exceeded(share, per_token)?;
        Some(first + per_token * tokens.unwrap_or(1))
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

    /// Records how long the answer to a request on a route took.
    pub fn record_answer(&mut self, route: &str, time: AnswerTime) {
        self.answer_times.add(route, time);
    }

    /// Returns until when a request may be sent so that its answer can end before the process does; `None`
    /// if there is no such limit: the host was not told to end, or the request's deadline comes first. `tokens`
    /// is the maximum number of its answer's tokens, if it stated it. On a route on which no answer has ended, the time that
    /// it takes isn't known, and no request is sent.
    pub fn last_start(
        &self,
        route: &Route,
        tokens: Option<u32>,
        deadline: Duration,
    ) -> Option<Duration> {
        let Shutdown { listen_until, answers_until, .. } = self.shutdown?;
        if deadline <= answers_until {
            return None;
        }
        let last = |share: f64| {
            let expected = self.answer_times.expected(&route.name, tokens, share);
            expected.map_or(Duration::ZERO, |it| answers_until.saturating_sub(it))
        };
        Some(last(1.0).max(last(FITTING_SHARE).min(listen_until)))
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

/// Returns the time that a share of some times don't exceed; `None` if there are none.
fn not_exceeded(share: f64, times: impl Iterator<Item = Duration>) -> Option<Duration> {
    let mut times: Vec<Duration> = times.collect();
    times.sort();
    let place = (times.len() as f64 * share).ceil() as usize;
    times.get(place.checked_sub(1)?).copied()
}
