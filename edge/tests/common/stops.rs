//! What was done to hosts that were told to end, what callers and targets saw of it, and which requests that
//! got no whole answer the rules excuse.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::paced::{Exchange, PacedTarget, Run};

/// `graceS`: a process that still runs then is killed.
pub const GRACE: Duration = Duration::from_secs(8);
/// A request that was sent so long after SIGTERM at most may be cut off if its target is still at work
/// when [`LAST_WORK`] has passed.
const EARLY_SEND: Duration = Duration::from_secs(3);
/// Time from SIGTERM to the last sixth of the grace time.
const LAST_WORK: Duration = Duration::from_millis(8000 * 5 / 6);
/// `contactMs`: a freeze excuses what was cut off so long after it.
const CONTACT: Duration = Duration::from_secs(3);
/// `lossSlackMs`: what was sent so short a time before the close and not passed on doesn't count.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Timeouts of routes, in milliseconds. A request that has taken as long as the first isn't owed an answer.
pub const TIMEOUTS: [u64; 3] = [9000, 12_000, 20_000];

/// A request of a caller, what it got and when.
pub struct Sent {
    pub attempt: String,
    /// Name of the route.
    pub route: &'static str,
    pub host: u8,
    /// Body of a success.
    pub whole: String,
    /// How it was sent and read.
    pub plan: String,
    pub exchange: Exchange,
}

/// What was done to hosts, and what callers have seen.
#[derive(Default)]
pub struct Observed {
    pub sent: Vec<Sent>,
    pub next: u64,
    /// Time of the first SIGTERM to each process, by host.
    pub stops: Vec<(u8, Instant)>,
    pub freezes: Vec<(u8, Instant, Instant)>,
    pub findings: Vec<String>,
}

/// Whether the rules excuse that a request got no whole answer.
fn may_be_cut(request: &Sent, runs: &[&Run], observed: &Observed) -> bool {
    let Exchange { began, headed, sent, ended, .. } = request.exchange;
    // What wasn't sent whole, and what isn't passed on when its connection is closed.
    let Some(sent) = sent else { return runs.is_empty() };
    let crosses_close = runs.is_empty() && ended.saturating_duration_since(sent) <= LOSS_SLACK;
    let has_timed_out = headed.is_some_and(|it| ended - it >= Duration::from_millis(TIMEOUTS[0]));
    let mut freezes = observed.freezes.iter().filter(|it| it.0 == request.host);
    let is_impaired = freezes.any(|(_, from, to)| *from <= ended && *to + CONTACT >= began);
    // The latest process that was told to end by then.
    let stops = observed.stops.iter().filter(|it| it.0 == request.host && it.1 <= ended);
    let is_long = stops.max_by_key(|it| it.1).is_some_and(|(_, at)| {
        let is_at_work = |run: &&Run| {
            run.began <= *at + GRACE && run.ended.is_none_or(|it| it >= *at + LAST_WORK)
        };
        sent <= *at + EARLY_SEND && ended <= *at + GRACE && runs.iter().any(is_at_work)
    });
    crosses_close || has_timed_out || is_impaired || is_long
}

/// Returns what is wrong with a request, if anything is.
fn fault(request: &Sent, runs: &[&Run], observed: &Observed) -> Option<&'static str> {
    let Exchange { got, sent, .. } = &request.exchange;
    if ["solo", "brief", "once"].contains(&request.route) && runs.len() > 1 {
        return Some("may run once, and ran again");
    }
    if sent.is_none() && !runs.is_empty() {
        return Some("ran before all of it was sent");
    }
    let Some(body) = &got.body else {
        return (!may_be_cut(request, runs, observed)).then_some("got no whole answer");
    };
    match got.status {
        Some(200) if *body != request.whole => Some("got a success that isn't the target's"),
        Some(200) if runs.is_empty() => Some("got a success and never ran"),
        Some(408 | 429 | 503) if !runs.is_empty() => Some("was refused and ran"),
        Some(200 | 408 | 429 | 502 | 503 | 504) => None,
        _ => Some("is proper, and was rejected"),
    }
}

/// Describes a request, with times since the latest SIGTERM to its host.
fn describe(request: &Sent, runs: &[&Run], observed: &Observed) -> String {
    let Exchange { got, began, headed: _, sent, ended } = &request.exchange;
    let stops = observed.stops.iter().filter(|it| it.0 == request.host && it.1 <= *ended);
    let stop = stops.map(|it| it.1).max();
    let since = |at: Instant| {
        let stop = stop.unwrap_or(*began);
        at.saturating_duration_since(stop).as_secs_f64()
            - stop.saturating_duration_since(at).as_secs_f64()
    };
    let times: Vec<_> = runs.iter().map(|it| (since(it.began), it.ended.map(since))).collect();
    format!(
        "{} {} at host {} (stopped: {}): status {:?}, began {:.3}, sent {:.3?}, ended {:.3}, runs {times:.3?}",
        request.attempt,
        request.plan,
        request.host,
        stop.is_some(),
        got.status,
        since(*began),
        sent.map(since),
        since(*ended)
    )
}

/// Checks what was observed, and prints how many requests ended in which way.
pub fn check(seed: u64, observed: &mut Observed, targets: &[PacedTarget]) {
    let runs: Vec<Run> = targets.iter().flat_map(PacedTarget::runs).collect();
    let mut runs_of: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &runs {
        runs_of.entry(&run.attempt).or_default().push(run);
    }
    let (mut counts, mut findings) = (BTreeMap::new(), observed.findings.clone());
    for request in &observed.sent {
        let runs = runs_of.get(request.attempt.as_str()).map_or(&[][..], Vec::as_slice);
        let got = &request.exchange.got;
        let end = match got.status {
            Some(status) if got.body.is_some() => status.to_string(),
            _ if request.exchange.sent.is_none() => "not sent whole".to_owned(),
            _ => "cut off".to_owned(),
        };
        *counts.entry(end).or_insert(0) += 1;
        if let Some(what) = fault(request, runs, observed) {
            findings.push(format!("{what}: {}", describe(request, runs, observed)));
        }
    }
    let stops = observed.stops.len();
    println!("seed {seed}: {stops} stops, {} freezes, {counts:?}", observed.freezes.len());
    assert!(findings.is_empty(), "seed {seed}:\n{}", findings.join("\n"));
}
