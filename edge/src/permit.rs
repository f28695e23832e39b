//! Prefill permits: the scheduler of a target, one of the hosts, limits the prompts in prefill
//! there, and a prompt waits for its permit before it is sent.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use tokio::{sync::Notify, time::sleep};
use wire::{HostId, PrefillRequest};

use crate::{edge::Edge, relay::Job};

/// Time limit for the scheduler's first reply. Without a reply the prompt is sent, because the
/// scheduler may be down.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// Time between two requests for the same permit, once the scheduler has replied.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Time limit for a permit from the request's arrival, in latency objectives. Callers leave after
/// four objectives without an event.
const PERMIT_WAIT_OBJECTIVES: f64 = 3.2;

/// The scheduler's replies about one permit; once granted, it stays granted.
#[derive(Default)]
struct PermitState {
    /// Whether the scheduler has replied at all.
    answered: Cell<bool>,
    granted: Cell<bool>,
    /// Prompt tokens in prefill at the target or queued for it.
    backlog: Cell<u32>,
    changed: Notify,
}

/// The permits that this host's requests hold or wait for, by id.
pub(crate) struct PermitTable {
    states: RefCell<HashMap<u64, Rc<PermitState>>>,
    next: Cell<u64>,
}

impl Default for PermitTable {
    /// Returns an empty table. Its first id differs from process to process, so that a late reply to a
    /// former one grants no permit of this one.
    fn default() -> PermitTable {
        PermitTable { states: RefCell::default(), next: Cell::new(rand::random::<u32>().into()) }
    }
}

impl PermitTable {
    /// Records a scheduler's reply. Replies for unknown permits are ignored.
    pub(crate) fn update(&self, permit_id: u64, granted: bool, backlog: u32) {
        let states = self.states.borrow();
        let Some(state) = states.get(&permit_id) else { return };
        state.answered.set(true);
        state.backlog.set(backlog);
        state.granted.set(granted || state.granted.get());
        state.changed.notify_one();
    }
}

/// A requested or granted permit. Dropping it withdraws the request or gives the permit back.
pub(crate) struct Permit {
    edge: Rc<Edge>,
    scheduler: HostId,
    permit_id: u64,
    target: String,
    prefilled: bool,
}

impl Permit {
    /// Gives the permit back to the scheduler after the prompt was prefilled.
    pub(crate) fn release_prefilled(mut self) {
        self.prefilled = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.edge.permits.states.borrow_mut().remove(&self.permit_id);
        let edge = self.edge.clone();
        let now = edge.now();
        let outputs = edge.host.borrow_mut().release_permit(
            now,
            self.scheduler,
            self.permit_id,
            &self.target,
            self.prefilled,
        );
        edge.carry_out(outputs);
    }
}

/// On a route without a limit for the longest pause of a stream, the limit is the latency
/// objective divided by this.
const DEFAULT_PAUSE_DIVISOR: u32 = 3;

/// Why a request got no permit at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoPermit {
    /// It was not granted within the time limit.
    TimedOut,
    /// The request would now be sent to another target, given this one's prefill backlog.
    BetterElsewhere,
}

/// Waits for the permit to send a prompt of `tokens` tokens to a target; none if the target has
/// no scheduler. After [`FIRST_REPLY_TIMEOUT`] without a reply, it returns the permit although it
/// was not granted, so that the prompt is sent. With `can_move`, the wait ends early if another
/// target has become better.
pub(crate) async fn acquire(
    job: &mut Job,
    target: String,
    tokens: u32,
    can_move: bool,
) -> Result<Option<Permit>, NoPermit> {
    let edge = job.edge.clone();
    let permit_id = edge.permits.next.replace(edge.permits.next.get() + 1);
    let state = Rc::new(PermitState::default());
    edge.permits.states.borrow_mut().insert(permit_id, state.clone());
    let begun = edge.now();
    let objective = job.query.route.latency_objective;
    let pause = Some(job.query.route.max_pause).filter(|it| !it.is_zero());
    let pause = pause.unwrap_or(objective / DEFAULT_PAUSE_DIVISOR);
    let deadline = (job.arrived + objective.mul_f64(PERMIT_WAIT_OBJECTIVES)).min(job.deadline);
    let mut permit: Option<Permit> = None;
    loop {
        let now = edge.now();
        if now >= deadline {
            return Err(NoPermit::TimedOut);
        }
        let request = PrefillRequest {
            permit_id,
            target: target.clone(),
            tokens,
            priority: job.query.route.priority,
            resumes: job.query.software.is_some(),
            waited_ms: now.saturating_sub(job.arrived).as_millis() as u32,
            objective_ms: objective.as_millis() as u32,
            pause_ms: pause.as_millis() as u32,
        };
        let (scheduler, outputs) = edge.host.borrow_mut().request_permit(now, &request);
        edge.carry_out(outputs);
        let Some(scheduler) = scheduler else {
            edge.permits.states.borrow_mut().remove(&permit_id);
            return Ok(None);
        };
        if permit.is_none() {
            permit = Some(Permit {
                edge: edge.clone(),
                scheduler,
                permit_id,
                target: target.clone(),
                prefilled: false,
            });
        }
        let timeout = if state.answered.get() { REQUEST_INTERVAL } else { FIRST_REPLY_TIMEOUT };
        let retry_at = now + timeout;
        while !state.granted.get() && edge.now() < retry_at.min(deadline) {
            let remaining = retry_at.min(deadline).saturating_sub(edge.now());
            tokio::select! {
                () = state.changed.notified() => {}
                () = sleep(remaining) => {}
            }
            if can_move && state.answered.get() && !state.granted.get() {
                let (now, backlog) = (edge.now(), state.backlog.get());
                let mut host = edge.host.borrow_mut();
                if host.is_better_elsewhere(now, &job.query, &target, backlog) {
                    return Err(NoPermit::BetterElsewhere);
                }
            }
        }
        if state.granted.get() || !state.answered.get() {
            let waited = edge.now().saturating_sub(begun);
            edge.metrics.observe_part("turn", waited.as_secs_f64());
            job.add_step("turn", if state.granted.get() { "granted" } else { "unheard" });
            return Ok(permit);
        }
    }
}
