//! What the leader knows of one target's places for models and adapters.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use wire::{AdapterPrint, TargetCard, TargetNumber, TargetState};

use crate::{
    Engine,
    io::{Order, Report},
    targets::adapter_print,
};

/// How long the answer to an order usually takes at most.
const BRIEF: Duration = Duration::from_millis(100);
/// Adapters in transit to one target at the same time.
const TRANSIT: usize = 4;
/// Adapters that are remembered as perhaps still in a target's own memory after they
/// were unloaded. How many it keeps is not said anywhere.
const COPIES: usize = 128;

/// Where a model or adapter is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Ordered, not seen there yet.
    Loading,
    /// It may be used.
    Ready,
    /// Ordered away, not seen gone yet.
    Leaving,
}

/// A model or adapter at a target. It takes its place from the order on until it
/// was seen gone.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Held {
    pub(crate) version: u64,
    pub(crate) stage: Stage,
    /// Since when it is at this stage.
    pub(crate) since: Duration,
    /// When a request last used it.
    pub(crate) used: Duration,
    /// The digest of its name.
    pub(crate) print: AdapterPrint,
}

/// What a report shows: adapters that became usable, and those that are gone, with
/// their versions.
pub(crate) type Changes = (Vec<(String, u64)>, Vec<(String, u64)>);

/// An order on its way to a target.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub(crate) order: Order,
    pub(crate) at: Duration,
}

/// One target's account.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) card: TargetCard,
    pub(crate) number: TargetNumber,
    /// Orders the target has accepted; none until it was asked.
    pub(crate) sequence: Option<u64>,
    /// The order on its way.
    pub(crate) sent: Option<Sent>,
    /// An order before it that got no answer.
    pub(crate) unsure: Option<Order>,
    /// Models and adapters, `model` or `model/adapter`.
    pub(crate) held: BTreeMap<String, Held>,
    /// Adapters it held before, the newest last.
    copies: VecDeque<String>,
    /// Adapters that were seen gone, and when. Reports that are older than that
    /// still name them.
    dropped: BTreeMap<String, Duration>,
    /// Models it has on its disk or in its memory.
    pub(crate) stored: Vec<String>,
    /// When to ask it for a report.
    pub(crate) ask_at: Option<Duration>,
    /// When it was last asked, while no answer has come.
    pub(crate) asked: Option<Duration>,
    /// Until when it gets no orders.
    pub(crate) rest: Duration,
    /// When it was last heard of.
    pub(crate) heard: Duration,
}

impl Place {
    pub(crate) fn new(now: Duration, card: TargetCard, number: TargetNumber) -> Place {
        Place {
            card,
            number,
            sequence: None,
            sent: None,
            unsure: None,
            held: BTreeMap::new(),
            copies: VecDeque::new(),
            dropped: BTreeMap::new(),
            stored: Vec::new(),
            ask_at: Some(now),
            asked: None,
            rest: Duration::ZERO,
            heard: now,
        }
    }

    /// Whether an order may be sent now.
    pub(crate) fn is_free(&self, now: Duration) -> bool {
        self.sequence.is_some() && self.sent.is_none() && now >= self.rest
    }

    /// Whether an order is on its way that should be answered at any moment.
    fn is_busy_briefly(&self, now: Duration) -> bool {
        self.sequence.is_some() && self.sent.as_ref().is_some_and(|it| now < it.at + BRIEF)
    }

    /// Whether an adapter of a model can be ordered here now or in a moment, room
    /// aside.
    pub(crate) fn can_take(&self, now: Duration, model: &str, name: &str) -> bool {
        self.card.state == TargetState::Ready
            && (self.is_free(now) || self.is_busy_briefly(now))
            && !self.held.contains_key(name)
            && self.has_model(model)
            && !self.is_changing()
            && self.has_transit()
    }

    /// Whether a model is there.
    pub(crate) fn has_model(&self, model: &str) -> bool {
        self.held.get(model).is_some_and(|it| it.stage == Stage::Ready)
    }

    /// Adapters that take a place.
    pub(crate) fn adapters(&self) -> usize {
        self.held.keys().filter(|name| name.contains('/')).count()
    }

    /// Whether one more adapter fits beside those that take a place.
    pub(crate) fn has_room(&self, engine: &Engine) -> bool {
        self.adapters() < self.most_adapters(engine)
    }

    /// How many adapters fit.
    fn most_adapters(&self, engine: &Engine) -> usize {
        let mut free = engine.weights_mb;
        let mut adapter_mb: f64 = 0.0;
        for model in &engine.models {
            if self.held.contains_key(&model.name) {
                free -= model.weights_mb;
                adapter_mb = adapter_mb.max(model.adapter_mb);
            }
        }
        if adapter_mb <= 0.0 {
            return engine.adapters;
        }
        engine.adapters.min((free / adapter_mb).floor().max(0.0) as usize)
    }

    /// Whether one more adapter may be on its way.
    pub(crate) fn has_transit(&self) -> bool {
        let coming =
            |(name, it): &(&String, &Held)| name.contains('/') && it.stage == Stage::Loading;
        self.held.iter().filter(coming).count() < TRANSIT
    }

    /// Whether a model is being loaded or unloaded.
    pub(crate) fn is_changing(&self) -> bool {
        self.held.iter().any(|(name, it)| !name.contains('/') && it.stage != Stage::Ready)
    }

    /// Whether the target has an adapter in its own memory, as far as known.
    pub(crate) fn has_copy(&self, adapter: &str) -> bool {
        self.copies.iter().any(|it| it == adapter)
    }

    fn remember(&mut self, adapter: &str) {
        self.copies.retain(|it| it != adapter);
        self.copies.push_back(adapter.to_owned());
        if self.copies.len() > COPIES {
            self.copies.pop_front();
        }
    }

    /// Notes what an order brings about that was, or may be, carried out.
    pub(crate) fn note(&mut self, now: Duration, order: &Order) {
        let name = order.name();
        if order.load {
            let used = now;
            let print = adapter_print(&name);
            let held =
                Held { version: order.version, stage: Stage::Loading, since: now, used, print };
            self.held.insert(name, held);
        } else if let Some(held) = self.held.get_mut(&name) {
            held.stage = Stage::Leaving;
            held.since = now;
        }
    }

    /// Notes that an adapter is gone.
    pub(crate) fn drop_adapter(&mut self, now: Duration, name: &str) {
        if self.held.remove(name).is_some() && name.contains('/') {
            self.dropped.insert(name.to_owned(), now);
            self.remember(name);
        }
    }

    /// Whether a report is older than what is known to be gone: then it tells
    /// nothing of how many orders were accepted either.
    pub(crate) fn is_stale(&mut self, now: Duration, report: &Report, lag: Duration) -> bool {
        self.dropped.retain(|_, at| now < *at + lag);
        let there = report.held.iter().map(|(name, _)| name).chain(&report.pending);
        there.into_iter().any(|name| self.dropped.contains_key(name))
    }

    /// Takes in a report. Reports are older than their arrival, so what was
    /// ordered within `lag` is left as it is. Returns what became usable and what
    /// is gone.
    pub(crate) fn reported(&mut self, now: Duration, report: &Report, lag: Duration) -> Changes {
        let (mut came, mut went) = (Vec::new(), Vec::new());
        self.stored = report.stored.clone();
        for name in &report.pending {
            let print = adapter_print(name);
            let coming =
                Held { version: 0, stage: Stage::Loading, since: now, used: Duration::ZERO, print };
            self.held.entry(name.clone()).or_insert(coming);
        }
        for (name, version) in &report.held {
            let print = adapter_print(name);
            let fresh = Held {
                version: *version,
                stage: Stage::Ready,
                since: now,
                used: Duration::ZERO,
                print,
            };
            let held = self.held.entry(name.clone()).or_insert(fresh);
            match held.stage {
                Stage::Loading if held.version <= *version => {
                    *held = Held { used: held.used, ..fresh };
                    came.push((name.clone(), *version));
                }
                Stage::Loading => {}
                Stage::Leaving => {}
                Stage::Ready => {
                    if held.since == now || held.version != *version {
                        held.version = *version;
                        came.push((name.clone(), *version));
                    }
                }
            }
        }
        let mut lost = Vec::new();
        for (name, held) in &self.held {
            let there = report.held.iter().any(|(it, _)| it == name)
                || report.pending.iter().any(|it| it == name);
            if !there && now >= held.since + lag {
                lost.push(name.clone());
            }
        }
        for name in lost {
            let version = self.held.get(&name).map_or(0, |it| it.version);
            self.drop_adapter(now, &name);
            went.push((name, version));
        }
        (came, went)
    }
}
