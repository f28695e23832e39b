//! A prompt's turn at its target.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use tokio::{sync::Notify, time::sleep};
use wire::{HostId, TurnAsk};

use crate::{edge::Edge, relay::Job};

/// How long the first word about a turn is waited for; without one the prompt is
/// sent, since whoever gives out the turns may be gone.
const FIRST_WORD: Duration = Duration::from_millis(120);
/// Time between two requests for the same turn.
const ASK_AGAIN: Duration = Duration::from_millis(300);
/// How long a turn is waited for, in latency objectives from the request's
/// arrival. Callers leave after four without an event.
const LONGEST_OBJECTIVES: f64 = 3.2;

/// What was heard of a turn.
#[derive(Default)]
struct Word {
    heard: Cell<bool>,
    granted: Cell<bool>,
    backlog: Cell<u32>,
    news: Notify,
}

/// The turns that requests of this host wait for.
#[derive(Default)]
pub(crate) struct TurnDesk {
    words: RefCell<HashMap<u64, Rc<Word>>>,
    next: Cell<u64>,
}

impl TurnDesk {
    /// Takes in a word about a turn.
    pub(crate) fn hear(&self, ticket: u64, granted: bool, backlog: u32) {
        let words = self.words.borrow();
        let Some(word) = words.get(&ticket) else { return };
        word.heard.set(true);
        word.backlog.set(backlog);
        word.granted.set(granted || word.granted.get());
        word.news.notify_one();
    }
}

/// A turn, or the wait for one. It is given back when it is dropped.
pub(crate) struct Turn {
    edge: Rc<Edge>,
    giver: HostId,
    ticket: u64,
    target: String,
    read: bool,
}

impl Turn {
    /// Gives the turn back: the prompt was read.
    pub(crate) fn read(mut self) {
        self.read = true;
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.edge.turns.words.borrow_mut().remove(&self.ticket);
        let edge = self.edge.clone();
        let now = edge.now();
        let outputs =
            edge.host.borrow_mut().end_turn(now, self.giver, self.ticket, &self.target, self.read);
        edge.carry_out(outputs);
    }
}

/// The longest pause of a stream on a route that does not say it: the objective
/// over this.
const UNTOLD_PAUSE_SHARE: u32 = 3;

/// Why a request has no turn at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoTurn {
    /// It did not come in time.
    Overdue,
    /// Another target has fewer prompts to read.
    BetterElsewhere,
}

/// Waits for a prompt's turn at a target; none if nobody gives out turns there.
pub(crate) async fn take(
    job: &mut Job,
    target: String,
    tokens: u32,
    may_move: bool,
) -> Result<Option<Turn>, NoTurn> {
    let edge = job.edge.clone();
    let ticket = edge.turns.next.replace(edge.turns.next.get() + 1);
    let word = Rc::new(Word::default());
    edge.turns.words.borrow_mut().insert(ticket, word.clone());
    let begun = edge.now();
    let objective = job.ask.route.objective;
    let pause = Some(job.ask.route.pause).filter(|it| !it.is_zero());
    let pause = pause.unwrap_or(objective / UNTOLD_PAUSE_SHARE);
    let latest = (job.arrived + objective.mul_f64(LONGEST_OBJECTIVES)).min(job.end);
    let mut turn: Option<Turn> = None;
    loop {
        let now = edge.now();
        if now >= latest {
            return Err(NoTurn::Overdue);
        }
        let ask = TurnAsk {
            ticket,
            target: target.clone(),
            tokens,
            priority: job.ask.route.priority,
            waited_ms: now.saturating_sub(job.arrived).as_millis() as u32,
            objective_ms: objective.as_millis() as u32,
            pause_ms: pause.as_millis() as u32,
        };
        let (giver, outputs) = edge.host.borrow_mut().ask_turn(now, &ask);
        edge.carry_out(outputs);
        let Some(giver) = giver else {
            edge.turns.words.borrow_mut().remove(&ticket);
            return Ok(None);
        };
        if turn.is_none() {
            turn = Some(Turn {
                edge: edge.clone(),
                giver,
                ticket,
                target: target.clone(),
                read: false,
            });
        }
        let span = if word.heard.get() { ASK_AGAIN } else { FIRST_WORD };
        let again = now + span;
        while !word.granted.get() && edge.now() < again.min(latest) {
            let rest = again.min(latest).saturating_sub(edge.now());
            tokio::select! {
                () = word.news.notified() => {}
                () = sleep(rest) => {}
            }
            if may_move && word.heard.get() && !word.granted.get() {
                let (now, backlog) = (edge.now(), word.backlog.get());
                let mut host = edge.host.borrow_mut();
                if host.is_better_elsewhere(now, &job.ask, &target, backlog) {
                    return Err(NoTurn::BetterElsewhere);
                }
            }
        }
        if word.granted.get() || !word.heard.get() {
            let waited = edge.now().saturating_sub(begun);
            edge.metrics.part("turn", waited.as_secs_f64());
            job.note("turn", if word.granted.get() { "granted" } else { "unheard" });
            return Ok(turn);
        }
    }
}
