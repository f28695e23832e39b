//! A request's reservation at a target, and its wait for an adapter or a free target.

use std::{rc::Rc, time::Duration};

use fleet::{Choice, Outcome, Reservation, TargetQuery};
use tokio::time::sleep;

use crate::{
    edge::Edge,
    permit::{self, NoPermit, Permit},
    relay::Job,
};

/// Share of a request's time left that it may wait for its adapter or for a free target.
const RESERVE_WAIT_SHARE: f64 = 0.4;
/// Limit of the same wait, in latency objectives.
const RESERVE_WAIT_OBJECTIVES: f64 = 2.5;
/// How long a request waits while no target of its service accepts requests.
const NO_TARGET_WAIT: Duration = Duration::from_millis(400);
/// Time between two attempts to reserve while all targets are full.
const FULL_RETRY_INTERVAL: Duration = Duration::from_millis(30);
/// Time between two attempts to reserve while the adapter is being loaded or no target
/// accepts requests; `Edge::wake` triggers further ones.
const LOAD_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two attempts to reserve while this host has no place at a target with a request
/// limit; `Edge::wake` triggers further ones.
const PLACE_RETRY_INTERVAL: Duration = Duration::from_millis(160);
/// Time for which a target that was found fit may be sent the request. Within it the connection is opened.
const MAX_CHECK_AGE: Duration = Duration::from_millis(1500);
/// How often a request may move to another target while it waits for a prefill permit.
const MAX_MOVES: u32 = 2;
/// Why a request got no reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoReservation {
    /// Its adapter was not loaded, or all targets stayed full, within the time limit.
    Busy,
    /// Its prefill permit was not granted in time.
    NoPermit,
    /// No target of the service accepts requests.
    NoTarget,
    /// Its answer can't end before the process does.
    Stopping,
    /// The request's deadline has passed.
    DeadlinePassed,
    /// The targets that could run it take no more requests; the next place is due after this time.
    Limited(Duration),
    /// Its contents are suspected of crashing targets; the next trial is due after this time.
    Quarantined(Duration),
}

/// A request's reserved slot at a target. Dropping it releases the slot with the outcome `Left`.
pub(crate) struct ReservationGuard {
    pub(crate) edge: Rc<Edge>,
    pub(crate) reservation: Reservation,
    /// The prefill permit; none if the prompt needs none or was prefilled.
    pub(crate) permit: Option<Permit>,
    /// Whether the outcome was recorded.
    pub(crate) ended: bool,
    /// When the target was last found fit for the request, by [`Edge::now`].
    checked_at: Duration,
}

impl ReservationGuard {
    /// Returns the target's id.
    pub(crate) fn target(&self) -> &str {
        &self.reservation.target
    }

    /// Whether the reservation was made so long ago that its target may be fit no more: the process stood
    /// still, and has not heard what happened meanwhile.
    pub(crate) fn is_stale(&self) -> bool {
        self.edge.now() > self.checked_at + MAX_CHECK_AGE
    }

    /// Gives the prefill permit back, because the target has prefilled the prompt.
    pub(crate) fn prompt_prefilled(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.release_prefilled();
        }
    }

    /// Releases the reservation and records how the request ended at the target.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.finish(outcome);
    }

    /// Like [`ReservationGuard::end`], by reference; only the first call has an effect.
    pub(crate) fn finish(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let label = match outcome {
            Outcome::Answered(_) => "answered",
            Outcome::Failed => "failed",
            Outcome::Refused => "refused",
            Outcome::NoAnswer => "missed",
            Outcome::Left => "left",
        };
        self.edge.metrics.reservation_ended(label);
        self.edge.host.borrow_mut().end(self.edge.now(), &self.reservation, outcome);
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        self.finish(Outcome::Left);
    }
}

/// A request that waits for its adapter. The host reports the demand to the order lease holders
/// until this is dropped.
pub(crate) struct AdapterWait(pub(crate) Rc<Edge>, pub(crate) TargetQuery);

impl Drop for AdapterWait {
    fn drop(&mut self) {
        self.0.host.borrow_mut().wait_ended(&self.1);
    }
}

/// A request that waits for a place at a target with a request limit, until this is dropped.
struct PlaceWait {
    edge: Rc<Edge>,
    target: String,
    /// Whether the first estimate of its wait was found short enough.
    was_judged: bool,
}

impl PlaceWait {
    fn start(edge: &Rc<Edge>, target: String) -> PlaceWait {
        edge.host.borrow_mut().wait_for_place(&target);
        PlaceWait { edge: edge.clone(), target, was_judged: false }
    }
}

impl Drop for PlaceWait {
    fn drop(&mut self) {
        self.edge.host.borrow_mut().place_wait_ended(&self.target);
    }
}

/// What a request without a reservation waits for.
#[derive(Default)]
struct Waits {
    adapter: Option<AdapterWait>,
    place: Option<PlaceWait>,
    trial: bool,
}

/// Describes a reservation for the log line of its request.
fn placed(reservation: &Reservation) -> String {
    let Reservation { target, former_version, .. } = reservation;
    match former_version {
        Some((held, newest)) => format!("{target} with version {held} of {newest}"),
        None => target.clone(),
    }
}

impl Job {
    /// Reserves a target, and waits for one within the limits if necessary.
    pub(crate) async fn reserve(&mut self) -> Result<ReservationGuard, NoReservation> {
        let edge = self.edge.clone();
        let started = edge.now();
        let left = self.deadline.saturating_sub(started);
        let max_wait =
            left.mul_f64(RESERVE_WAIT_SHARE).min(self.objective().mul_f64(RESERVE_WAIT_OBJECTIVES));
        let latest = started + max_wait;
        let mut waits = Waits::default();
        loop {
            let now = edge.now();
            if now >= self.deadline {
                return Err(NoReservation::DeadlinePassed);
            }
            let last_start = self.last_start();
            if last_start.is_some_and(|at| now >= at) {
                return Err(NoReservation::Stopping);
            }
            let mut wake = std::pin::pin!(edge.wake.notified());
            wake.as_mut().enable();
            let (until, interval, why) = match self.choose(now, started, &mut waits)? {
                Choice::Send(reservation) => {
                    edge.metrics.observe_part("wait", now.saturating_sub(started).as_secs_f64());
                    return Ok(ReservationGuard {
                        edge: edge.clone(),
                        reservation,
                        permit: None,
                        ended: false,
                        checked_at: now,
                    });
                }
                Choice::Wait => {
                    self.wait_for_adapter(now, &mut waits);
                    (latest, LOAD_RETRY_INTERVAL, NoReservation::Busy)
                }
                Choice::Full => (latest, FULL_RETRY_INTERVAL, NoReservation::Busy),
                Choice::Limited { target, due, elsewhere } => {
                    if elsewhere {
                        self.wait_for_adapter(now, &mut waits);
                    }
                    let late = due.filter(|due| !elsewhere && now + *due > latest);
                    self.wait_for_place(target, due.is_some(), late, &mut waits)?;
                    (latest, PLACE_RETRY_INTERVAL, NoReservation::Limited(due.unwrap_or_default()))
                }
                Choice::None => {
                    (started + NO_TARGET_WAIT, LOAD_RETRY_INTERVAL, NoReservation::NoTarget)
                }
            };
            if now >= until || (why == NoReservation::NoTarget && !self.query.tried.is_empty()) {
                return Err(why);
            }
            let until = until.min(self.deadline).min(last_start.unwrap_or(Duration::MAX));
            let remaining = until.saturating_sub(now).min(interval);
            tokio::select! {
                () = wake => {}
                () = sleep(remaining) => {}
            }
        }
    }

    /// Chooses a target, once a trial is granted if the request needs one.
    fn choose(
        &mut self,
        now: Duration,
        started: Duration,
        waits: &mut Waits,
    ) -> Result<Choice, NoReservation> {
        if !self.admit(now, started)? {
            if !std::mem::replace(&mut waits.trial, true) {
                self.add_step("waits", "for a trial");
            }
            return Ok(Choice::Full);
        }
        let (choice, outputs) =
            self.edge.host.borrow_mut().choose(now, &self.query, rand::random());
        self.edge.carry_out(outputs);
        Ok(choice)
    }

    /// Reports that the request waits for its adapter, for as long as `waits` lives.
    fn wait_for_adapter(&mut self, now: Duration, waits: &mut Waits) {
        if waits.adapter.is_some() {
            return;
        }
        let edge = self.edge.clone();
        let adapter = self.query.adapter.clone().unwrap_or_default();
        self.add_step("waits", &adapter);
        edge.host.borrow_mut().wait_for(&self.query);
        waits.adapter = Some(AdapterWait(edge.clone(), self.query.clone()));
        let outputs = edge.host.borrow_mut().send_demands(now);
        edge.carry_out(outputs);
    }

    /// Counts the request among those that wait for a place at a target. Refuses it if its place
    /// would be `late` when that is first known; later requests do not delay its place.
    fn wait_for_place(
        &mut self,
        target: String,
        is_known: bool,
        late: Option<Duration>,
        waits: &mut Waits,
    ) -> Result<(), NoReservation> {
        if waits.place.as_ref().is_none_or(|it| it.target != target) {
            self.add_step("waits for a place at", &target);
            waits.place = Some(PlaceWait::start(&self.edge, target));
        }
        let Some(wait) = waits.place.as_mut().filter(|_| is_known) else { return Ok(()) };
        match late {
            Some(due) if !wait.was_judged => Err(NoReservation::Limited(due)),
            _ => {
                wait.was_judged = true;
                Ok(())
            }
        }
    }

    /// Reserves a target and, for a prompt, acquires a prefill permit there. If the target leaves
    /// or loses the adapter during the wait for the permit, another one is reserved.
    pub(crate) async fn reserve_with_permit(&mut self) -> Result<ReservationGuard, NoReservation> {
        let mut moves = 0;
        loop {
            let mut reservation = self.reserve().await?;
            if !self.kind().is_stream() || self.query.adapter.is_none() {
                return Ok(reservation);
            }
            let Some(tokens) = self.head.prompt_tokens else { return Ok(reservation) };
            self.add_step("placed", &placed(&reservation.reservation));
            let target = reservation.target().to_owned();
            match permit::acquire(self, target, tokens, moves < MAX_MOVES).await {
                Ok(permit) => reservation.permit = permit,
                Err(NoPermit::BetterElsewhere) => {
                    self.add_step("moves from", reservation.target());
                    reservation.finish(Outcome::Left);
                    moves += 1;
                    continue;
                }
                Err(NoPermit::TimedOut) => {
                    reservation.finish(Outcome::Left);
                    return Err(NoReservation::NoPermit);
                }
            }
            let now = self.edge.now();
            if self.edge.host.borrow().is_usable(now, &reservation.reservation, &self.query) {
                reservation.checked_at = now;
                return Ok(reservation);
            }
            self.add_step("gone", reservation.target());
            reservation.finish(Outcome::Left);
        }
    }
}
