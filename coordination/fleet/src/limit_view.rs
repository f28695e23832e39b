//! A host's view of the request limit of one target, and its places there.

use std::time::Duration;

use wire::{MilliRate, PlaceReply, RequestLimit};

use crate::places::PLACE_TTL;

/// Requests without a prompt that a host has at a time at a target of which no answer is known.
const UNKNOWN_REQUESTS: u32 = 1;
/// Time after which a place may go to a less urgent request than it was granted for.
const RANK_TTL: Duration = Duration::from_millis(60);
/// Time after which an unused place goes back to the holder.
const UNUSED_TTL: Duration = Duration::from_millis(100);
/// How long an estimate of the time to the next place is used.
const DUE_TTL: Duration = Duration::from_millis(300);
/// Time that a request is expected to wait for a place at a brittle target without an estimate.
const EXPECTED_WAIT: Duration = Duration::from_millis(50);
/// Time between two reports of the same limit that differs from the published one.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reports of a limit that is published.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a limit that this host heard prevails over a published one that is higher.
const OWN_TTL: Duration = Duration::from_secs(1);
/// Time between two requests for places at a target, unless a more urgent request needs one.
const ASK_INTERVAL: Duration = Duration::from_millis(150);

/// Order in which requests get places: those that can be on time first, then by priority.
pub(crate) type Rank = (bool, u8);

/// The right to send one request to a target with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    /// When it was granted, at the latest.
    granted: Duration,
    rank: Rank,
    /// Number of the limit's last change when it was granted.
    pub(crate) change: u64,
}

impl Place {
    pub(crate) fn is_valid(&self, now: Duration) -> bool {
        now < self.granted + PLACE_TTL
    }

    fn serves(&self, now: Duration, rank: Rank) -> bool {
        self.is_valid(now) && (rank <= self.rank || now >= self.granted + RANK_TTL)
    }
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    at: Duration,
    rank: Rank,
}

/// Whether a request may be sent to a target, as far as its limit is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Access {
    /// It may.
    Open,
    /// Not while an earlier request is unanswered.
    Full,
    /// Not without a place.
    NeedsPlace,
}

/// The request limit of a target in the local view of a host.
#[derive(Debug, Clone, Default)]
pub struct LimitView {
    /// What this host goes by.
    pub limit: RequestLimit,
    /// What the holder has published.
    published: RequestLimit,
    /// When an answer to this host named the limit, if the last one did.
    named_at: Option<Duration>,
    reported_at: Option<Duration>,
    places: Vec<Place>,
    asked: Option<Asked>,
    /// When the holder last refused a place, and the time to the next one that it gave.
    due: Option<(Duration, Duration)>,
    /// Requests that wait here for a place.
    waiting: u16,
    /// Requests sent since the last log line about sends.
    sends: u32,
    /// Requests per second that the target may turn away before it falls over, if it said so.
    brittle: Option<u32>,
}

impl LimitView {
    /// Returns the view of a target whose limit was known before it was silent.
    pub(crate) fn known(limit: RequestLimit) -> LimitView {
        LimitView { limit, ..LimitView::default() }
    }

    /// Whether a request of this rank may be sent; `own` is the number of this host's requests there.
    pub(crate) fn access(&self, now: Duration, own: u32, rank: Rank, is_prompt: bool) -> Access {
        match self.limit {
            RequestLimit::Unlimited => Access::Open,
            RequestLimit::Unknown if is_prompt || own < UNKNOWN_REQUESTS => Access::Open,
            RequestLimit::Unknown => Access::Full,
            RequestLimit::Rate(_) | RequestLimit::AtOnce(_) => {
                let has_place = self.places.iter().any(|it| it.serves(now, rank));
                if has_place { Access::Open } else { Access::NeedsPlace }
            }
        }
    }

    /// Returns the time that a request is expected to wait for a place.
    pub(crate) fn expected_wait(&self, now: Duration) -> Duration {
        if let Some(due) = self.time_to_place(now) {
            return due;
        }
        match self.limit {
            RequestLimit::Rate(rate) => Duration::from_secs_f64(1000.0 / f64::from(rate.max(1))),
            RequestLimit::AtOnce(_) => EXPECTED_WAIT,
            RequestLimit::Unknown | RequestLimit::Unlimited => Duration::ZERO,
        }
    }

    /// Returns the time to the next place by the holder's last estimate, if that is recent.
    pub(crate) fn time_to_place(&self, now: Duration) -> Option<Duration> {
        let (at, due) = self.due?;
        (now < at + DUE_TTL).then(|| (at + due).saturating_sub(now))
    }

    /// Takes a place for a request of this rank, if the target has a limit.
    pub(crate) fn take_place(&mut self, now: Duration, rank: Rank) -> Option<Place> {
        let at = self.places.iter().position(|it| it.serves(now, rank))?;
        Some(self.places.swap_remove(at))
    }

    /// Returns the limit and the number of waiting requests for a request for places, which is noted
    /// as sent; `None` if the target has no limit or was asked for a place of this rank recently.
    pub(crate) fn ask(&mut self, now: Duration, rank: Rank) -> Option<(MilliRate, u16)> {
        if !self.is_limited() {
            return None;
        }
        if self.asked.is_some_and(|it| now < it.at + ASK_INTERVAL && it.rank <= rank) {
            return None;
        }
        self.asked = Some(Asked { at: now, rank });
        Some((self.limit.rate().unwrap_or(0), self.waiting))
    }

    /// Takes over the answer to the last request for places; earlier ones have no effect. Returns
    /// whether this was one.
    pub(crate) fn take_reply(&mut self, now: Duration, reply: &PlaceReply) -> bool {
        let sent = Duration::from_millis(reply.sent_ms);
        let Some(asked) = self.asked.filter(|it| it.at.as_millis() == sent.as_millis()) else {
            return false;
        };
        if reply.places == 0 {
            self.due = Some((now, Duration::from_millis(u64::from(reply.due_ms))));
            return true;
        }
        self.asked = None;
        let granted = sent + Duration::from_millis(u64::from(reply.held_ms));
        let place = Place { granted, rank: asked.rank, change: reply.change };
        self.places.extend(std::iter::repeat_n(place, usize::from(reply.places)));
        true
    }

    /// Records that a request begins to wait for a place.
    pub(crate) fn begin_wait(&mut self) {
        self.waiting = self.waiting.saturating_add(1);
    }

    /// Records that a request no longer waits for a place.
    pub(crate) fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns and clears the number of requests sent since the last call.
    pub(crate) fn take_sends(&mut self) -> u32 {
        std::mem::take(&mut self.sends)
    }

    /// Counts a request that is sent.
    pub(crate) fn count_send(&mut self) {
        self.sends += 1;
    }

    /// Returns the limit if the holder has not published it and it has to be reported now.
    pub(crate) fn unpublished(&mut self, now: Duration) -> Option<RequestLimit> {
        let is_unpublished = self.is_limited() && self.limit != self.published;
        (is_unpublished && self.is_report_due(now, REPORT_INTERVAL)).then_some(self.limit)
    }

    /// Removes and counts the places that no request took in time. Those that expired don't go back to a
    /// target with a rate.
    pub(crate) fn take_unused(&mut self, now: Duration) -> u16 {
        if !self.counts_requests() {
            self.places.retain(|it| it.is_valid(now));
        }
        let valid = self.places.len();
        self.places.retain(|it| now < it.granted + UNUSED_TTL);
        (valid - self.places.len()) as u16
    }

    /// Forgets what the previous holder published.
    pub(crate) fn clear_published(&mut self) {
        self.published = RequestLimit::Unknown;
    }

    /// Whether the target has a limit.
    pub(crate) fn is_limited(&self) -> bool {
        self.limit.needs_places()
    }

    /// Whether the holder counts the requests at the target, and places go back when they end.
    pub(crate) fn counts_requests(&self) -> bool {
        matches!(self.limit, RequestLimit::AtOnce(_))
    }

    /// Takes over what the holder published.
    pub(crate) fn publish(&mut self, now: Duration, limit: RequestLimit) {
        self.published = limit;
        let named_now = self.named_at.is_some_and(|at| now < at + OWN_TTL);
        if !named_now || is_lower(limit, self.limit) {
            self.set(limit);
        }
    }

    fn set(&mut self, limit: RequestLimit) {
        self.limit = limit;
        if !self.is_limited() {
            self.places.clear();
            self.asked = None;
        }
    }

    /// Records whether an answer said that the target is brittle.
    pub(crate) fn hear_brittle(&mut self, brittle: Option<u32>) {
        self.brittle = brittle;
    }

    /// Lets requests need places from now on, so many at once. Returns whether they needed none.
    pub(crate) fn guard(&mut self, at_once: u32) -> bool {
        if self.is_limited() {
            return false;
        }
        self.set(RequestLimit::AtOnce(at_once));
        true
    }

    /// Takes over what an answer named. Returns whether it has to be reported.
    pub(crate) fn hear(&mut self, now: Duration, limit: RequestLimit) -> bool {
        if self.brittle.is_some() && limit == RequestLimit::Unlimited && self.is_limited() {
            return false;
        }
        if self.limit == RequestLimit::Unknown || is_lower(limit, self.limit) {
            self.set(limit);
        }
        self.named_at = (self.limit == limit).then_some(now);
        let span = match limit {
            RequestLimit::Unlimited if self.published == limit => return false,
            _ if self.published == limit => CONFIRM_INTERVAL,
            _ => REPORT_INTERVAL,
        };
        self.is_report_due(now, span)
    }

    fn is_report_due(&mut self, now: Duration, span: Duration) -> bool {
        if self.reported_at.is_some_and(|at| now < at + span) {
            return false;
        }
        self.reported_at = Some(now);
        true
    }
}

/// Whether a limit allows less than another.
pub(crate) fn is_lower(limit: RequestLimit, than: RequestLimit) -> bool {
    match (limit, than) {
        (RequestLimit::Rate(rate), RequestLimit::Rate(than)) => rate < than,
        (RequestLimit::AtOnce(count), RequestLimit::AtOnce(than)) => count < than,
        (RequestLimit::AtOnce(_), RequestLimit::Rate(_)) => false,
        _ => limit.needs_places() && limit != than,
    }
}
