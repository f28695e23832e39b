//! Request limits that targets name in their answers: what a host knows of them, and its places at
//! these targets.
//!
//! A host that hears of a limit keeps it at once and reports it to the holder of the target's
//! failure domain, which publishes it to all hosts. A higher limit, or its end, counts only from an
//! answer to a request that had a place: such an answer is newer than what the holder knew when it
//! granted the place. While nothing is known of a target, a host has one request there at a time;
//! prompts need no such limit, as their prefill permits keep them apart until the first answer.

use std::time::Duration;

use wire::{FleetMsg, HostId, MilliRate, PlaceReply, PlaceRequest, RequestLimit};

use crate::{Event, Host, Reservation, Target, TargetQuery, io::Output, places::PLACE_TTL};

/// Requests without a prompt that a host has at a time at a target of which no answer is known.
const UNKNOWN_REQUESTS: u32 = 1;
/// Time between two requests for places at a target, unless a more urgent request needs one.
const ASK_INTERVAL: Duration = Duration::from_millis(150);
/// Places are asked for ahead of the requests of this time.
const ASK_AHEAD: Duration = Duration::from_millis(50);
/// Most places that are asked for at a time.
const MAX_ASKED: u32 = 16;
/// Time after which a place may go to a less urgent request than it was granted for.
const RANK_TTL: Duration = Duration::from_millis(60);
/// Time after which an unused place goes back to the holder.
const UNUSED_TTL: Duration = Duration::from_millis(100);
/// How long an estimate of the time to the next place is used.
const DUE_TTL: Duration = Duration::from_millis(300);
/// Time between two reports of the same limit that differs from the published one.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reports of a limit that is published.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a limit that this host heard prevails over a published one that is higher.
const OWN_TTL: Duration = Duration::from_secs(1);
/// Interval between log lines about the sends to targets with a limit.
const SENDS_LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Share of the objective after which an answer can no longer be on time.
const LATE_SHARE: f64 = 0.8;

/// Order in which requests get places: those that can be on time first, then by priority.
pub(crate) type Rank = (bool, u8);

/// The right to send one request to a target with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    /// When it was granted, at the latest.
    granted: Duration,
    rank: Rank,
    /// Number of the limit's last change when it was granted.
    change: u64,
}

impl Place {
    fn is_valid(&self, now: Duration) -> bool {
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
            RequestLimit::Rate(_) if self.places.iter().any(|it| it.serves(now, rank)) => {
                Access::Open
            }
            RequestLimit::Rate(_) => Access::NeedsPlace,
        }
    }

    /// Returns the time that a request is expected to wait for a place.
    pub(crate) fn expected_wait(&self, now: Duration) -> Duration {
        if let Some(due) = self.time_to_place(now) {
            return due;
        }
        match self.limit {
            RequestLimit::Rate(rate) => Duration::from_secs_f64(1000.0 / f64::from(rate.max(1))),
            RequestLimit::Unknown | RequestLimit::Unlimited => Duration::ZERO,
        }
    }

    /// Returns the time to the next place by the holder's last estimate, if that is recent.
    fn time_to_place(&self, now: Duration) -> Option<Duration> {
        let (at, due) = self.due?;
        (now < at + DUE_TTL).then(|| (at + due).saturating_sub(now))
    }

    /// Takes a place for a request of this rank, if the target has a limit.
    pub(crate) fn take_place(&mut self, now: Duration, rank: Rank) -> Option<Place> {
        self.places.retain(|it| it.is_valid(now));
        let at = self.places.iter().position(|it| it.serves(now, rank))?;
        Some(self.places.swap_remove(at))
    }

    /// Removes and counts the places that no request took in time, but for those that expired.
    fn take_unused(&mut self, now: Duration) -> u16 {
        self.places.retain(|it| it.is_valid(now));
        let valid = self.places.len();
        self.places.retain(|it| now < it.granted + UNUSED_TTL);
        (valid - self.places.len()) as u16
    }

    /// Forgets what the previous holder published.
    pub(crate) fn clear_published(&mut self) {
        self.published = RequestLimit::Unknown;
    }

    /// Whether a target with a limit.
    pub(crate) fn is_limited(&self) -> bool {
        matches!(self.limit, RequestLimit::Rate(_))
    }

    /// Takes over what the holder published.
    fn publish(&mut self, now: Duration, limit: RequestLimit) {
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

    /// Takes over what an answer named. Returns whether it has to be reported.
    fn hear(&mut self, now: Duration, limit: RequestLimit) -> bool {
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
        (RequestLimit::Rate(_), RequestLimit::Unlimited | RequestLimit::Unknown) => true,
        _ => false,
    }
}

impl Host {
    /// Whether a request may still be sent to its reserved target: the target has no limit, or the
    /// reservation has a place that has not expired.
    pub fn may_send(&self, now: Duration, reservation: &Reservation) -> bool {
        let Some(target) = self.targets.get(&reservation.target) else { return true };
        !target.limit.is_limited() || reservation.place.is_some_and(|it| it.is_valid(now))
    }

    /// Counts a request that is sent to its reserved target.
    pub fn record_send(&mut self, reservation: &Reservation) {
        if let Some(target) = self.targets.get_mut(&reservation.target) {
            target.limit.sends += 1;
        }
    }

    /// Records the request limit that a target named in an answer; `None` if it named none.
    pub fn record_limit(
        &mut self,
        now: Duration,
        reservation: &Reservation,
        milli_rate: Option<MilliRate>,
    ) -> Vec<Output> {
        let Some(target) = self.targets.get_mut(&reservation.target) else { return Vec::new() };
        if target.record.started_at != reservation.started_at {
            return Vec::new();
        }
        let limit = milli_rate.map_or(RequestLimit::Unlimited, RequestLimit::Rate);
        let before = target.limit.limit;
        let report = target.limit.hear(now, limit);
        if before != target.limit.limit {
            self.log_limit(&reservation.target, before);
            self.out.push(Output::RetryWaiting);
        }
        if report {
            let change = reservation.place.map(|it| it.change);
            self.report_limit(now, &reservation.target, limit, change);
        }
        if self.out.is_empty() { Vec::new() } else { self.finish(now) }
    }

    fn log_limit(&mut self, target: &str, before: RequestLimit) {
        let Some(view) = self.targets.get(target).map(|it| &it.limit) else { return };
        let milli_rate = match (before, view.limit) {
            (_, RequestLimit::Rate(rate)) => Some(rate),
            (RequestLimit::Rate(_), _) => None,
            _ => return,
        };
        self.log(Event::Limit { target: target.to_owned(), milli_rate });
    }

    fn report_limit(
        &mut self,
        now: Duration,
        target: &str,
        limit: RequestLimit,
        change: Option<u64>,
    ) {
        let Some(record) = self.targets.get(target).map(|it| &it.record) else { return };
        let (domain, started_at) = (record.domain.clone(), record.started_at);
        if self.held_domains.contains_key(&domain) {
            self.handle_limit_named(now, target, started_at, limit, change);
        } else if let Some(holder) = self.holder(&domain) {
            let target = target.to_owned();
            self.send(holder, FleetMsg::LimitNamed { target, started_at, limit, change });
        }
    }

    /// Handles a host's report of a limit, if this host holds the target's failure domain.
    pub(crate) fn handle_limit_named(
        &mut self,
        now: Duration,
        target: &str,
        started_at: u64,
        limit: RequestLimit,
        change: Option<u64>,
    ) {
        for held in self.held_domains.values_mut() {
            let in_force = held.placement.limit_in_force(target, held.fence);
            let is_newer = change.is_some() && change == in_force.map(|it| it.change);
            held.placement.record_limit(now, target, started_at, limit, is_newer);
        }
    }

    /// Takes over a limit that a holder published.
    pub(crate) fn limit_published(&mut self, now: Duration, target: &str, limit: RequestLimit) {
        let Some(known) = self.targets.get_mut(target) else { return };
        let before = known.limit.limit;
        known.limit.publish(now, limit);
        if before != known.limit.limit {
            self.log_limit(target, before);
            self.out.push(Output::RetryWaiting);
        }
    }

    /// Returns the rank of a request among those that wait for places.
    pub(crate) fn rank(now: Duration, query: &TargetQuery) -> Rank {
        let route = &query.route;
        (now >= query.arrived + route.latency_objective.mul_f64(LATE_SHARE), route.priority)
    }

    /// Returns the time until a target has a place for a further request, as the holder of its
    /// failure domain estimates it; `None` while that is not known.
    pub(crate) fn place_due(&self, now: Duration, target: &str) -> Option<Duration> {
        let target = self.targets.get(target)?;
        if !self.is_holder_active(now, &target.record.domain) {
            // A new holder waits for the lease of the former one.
            return Some(self.settings.bounds.lease);
        }
        target.limit.time_to_place(now)
    }

    /// Asks for places at a target with a limit, unless that was done recently.
    pub(crate) fn ask_for_place(&mut self, now: Duration, id: &str, rank: Rank) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let RequestLimit::Rate(milli_rate) = target.limit.limit else { return };
        let asked = target.limit.asked;
        if asked.is_some_and(|it| now < it.at + ASK_INTERVAL && it.rank <= rank) {
            return;
        }
        target.limit.asked = Some(Asked { at: now, rank });
        let ahead = ASK_AHEAD.as_millis() as u32 * (milli_rate / 1000) / 1000;
        let request = PlaceRequest {
            target: id.to_owned(),
            started_at: target.record.started_at,
            milli_rate,
            count: (1 + ahead).min(MAX_ASKED) as u16,
            waiting: target.limit.waiting,
            late: rank.0,
            priority: rank.1,
            sent_ms: now.as_millis() as u64,
        };
        let domain = target.record.domain.clone();
        if self.held_domains.contains_key(&domain) {
            self.handle_place_request(now, self.settings.host, &request);
        } else if let Some(holder) = self.holder(&domain) {
            self.send(holder, FleetMsg::PlaceRequest(request));
        }
    }

    /// Handles a host's request for places, if this host may send orders to the target.
    pub(crate) fn handle_place_request(
        &mut self,
        now: Duration,
        from: HostId,
        request: &PlaceRequest,
    ) {
        let Some(domain) = self.targets.get(&request.target).map(|it| it.record.domain.clone())
        else {
            return;
        };
        if self.order_fence(now, &domain).is_none() {
            return;
        }
        let Some(held) = self.held_domains.get_mut(&domain) else { return };
        let PlaceRequest { target, started_at, milli_rate, .. } = request;
        let named = RequestLimit::Rate(*milli_rate);
        held.placement.recall_limit(now, target, *started_at, named);
        let Some(limit) = held.placement.limit_in_force(target, held.fence) else { return };
        let replies = held.places.request(now, from, request, limit);
        self.send_places(now, replies);
    }

    /// Grants the places that are due at the targets of a failure domain.
    pub(crate) fn tick_places(&mut self, now: Duration, domain: &str) {
        if self.order_fence(now, domain).is_none() {
            return;
        }
        let Some(held) = self.held_domains.get_mut(domain) else { return };
        let fence = held.fence;
        let placement = &held.placement;
        let replies = held.places.tick(now, |it| placement.limit_in_force(it, fence));
        self.send_places(now, replies);
    }

    fn send_places(&mut self, now: Duration, replies: Vec<(HostId, PlaceReply)>) {
        for (host, reply) in replies {
            if host == self.settings.host {
                self.handle_place_reply(now, &reply);
            } else {
                self.send(host, FleetMsg::PlaceReply(reply));
            }
        }
    }

    /// Handles the answer to this host's last request for places; earlier ones have no effect.
    pub(crate) fn handle_place_reply(&mut self, now: Duration, reply: &PlaceReply) {
        let Some(target) = self.targets.get_mut(&reply.target) else { return };
        let view = &mut target.limit;
        let sent = Duration::from_millis(reply.sent_ms);
        let Some(asked) = view.asked else { return };
        if target.record.started_at != reply.started_at || asked.at.as_millis() != sent.as_millis()
        {
            return;
        }
        if reply.places == 0 {
            view.due = Some((now, Duration::from_millis(u64::from(reply.due_ms))));
            self.out.push(Output::RetryWaiting);
            return;
        }
        view.asked = None;
        let granted = sent + Duration::from_millis(u64::from(reply.held_ms));
        let place = Place { granted, rank: asked.rank, change: reply.change };
        view.places.extend(std::iter::repeat_n(place, usize::from(reply.places)));
        self.out.push(Output::RetryWaiting);
    }

    /// Records that a request begins to wait for a place at a target.
    pub fn wait_for_place(&mut self, target: &str) {
        if let Some(target) = self.targets.get_mut(target) {
            target.limit.waiting = target.limit.waiting.saturating_add(1);
        }
    }

    /// Records that a request no longer waits for a place at a target.
    pub fn place_wait_ended(&mut self, target: &str) {
        if let Some(target) = self.targets.get_mut(target) {
            target.limit.waiting = target.limit.waiting.saturating_sub(1);
        }
    }

    /// Reports the limits that the holders of the targets have not published, also after a change of
    /// the holder, and logs the sends to targets with a limit.
    pub(crate) fn tick_limits(&mut self, now: Duration) {
        let mut due = Vec::new();
        for target in self.targets.iter_mut() {
            let view = &mut target.limit;
            let known = view.is_limited() && view.limit != view.published;
            if known && view.is_report_due(now, REPORT_INTERVAL) {
                due.push((target.record.id.clone(), view.limit));
            }
        }
        for (target, limit) in due {
            self.report_limit(now, &target, limit, None);
        }
        self.give_back_places(now);
        self.log_limited_sends(now);
    }

    fn give_back_places(&mut self, now: Duration) {
        let mut unused = Vec::new();
        for Target { record, limit, .. } in self.targets.iter_mut() {
            let places = limit.take_unused(now);
            if places > 0 {
                unused.push((record.domain.clone(), record.id.clone(), record.started_at, places));
            }
        }
        for (domain, target, started_at, places) in unused {
            if self.held_domains.contains_key(&domain) {
                self.handle_unused_places(&target, started_at, places);
            } else if let Some(holder) = self.holder(&domain) {
                self.send(holder, FleetMsg::PlacesUnused { target, started_at, places });
            }
        }
    }

    /// Takes back places of a host, if this host holds the target's failure domain.
    pub(crate) fn handle_unused_places(&mut self, target: &str, started_at: u64, places: u16) {
        for held in self.held_domains.values_mut() {
            held.places.take_back(target, started_at, places);
        }
    }

    fn log_limited_sends(&mut self, now: Duration) {
        if now < self.sends_logged + SENDS_LOG_INTERVAL {
            return;
        }
        self.sends_logged = now;
        let mut lines = Vec::new();
        for Target { record, limit, .. } in self.targets.iter_mut() {
            let sends = std::mem::take(&mut limit.sends);
            let RequestLimit::Rate(milli_rate) = limit.limit else { continue };
            if sends > 0 {
                lines.push(Event::LimitedSends { target: record.id.clone(), milli_rate, sends });
            }
        }
        for line in lines {
            self.log(line);
        }
    }
}
