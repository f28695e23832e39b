//! One target's row in a holder's placement table: its models and adapters.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use wire::{AdapterHash, SoftwareHash, TargetNumber, TargetRecord, TargetState};

use crate::{
    Basis, Engine,
    io::{Order, Report},
    row_limits::RowLimit,
    targets::{adapter_hash, stable_hash},
};

/// Usual upper bound of the time to the answer of an order.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Maximum number of adapters that one target loads at the same time.
const MAX_LOADING: usize = 4;
/// Maximum number of unloaded adapters that are assumed to be cached in a target's own memory. How
/// many a target keeps is not specified anywhere.
const MAX_CACHED: usize = 128;

/// Stage of a model or adapter at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// A load was ordered; no report shows the result yet.
    Loading,
    /// It can be used.
    Ready,
    /// An unload was ordered; no report shows the result yet.
    Unloading,
}

/// A model or adapter at a target. It occupies its slot from the load order until it is known to be
/// gone.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldAdapter {
    /// Its version; zero while unknown.
    pub(crate) version: u64,
    pub(crate) stage: Stage,
    /// When it entered this stage.
    pub(crate) since: Duration,
    /// When it was ordered or a request last used it; zero if a report alone showed it.
    pub(crate) last_used: Duration,
    /// The hash of its name.
    pub(crate) hash: AdapterHash,
    /// The version that is still there while a newer one is loaded in its place.
    pub(crate) replaces: Option<u64>,
}

/// Changes that a report shows: models and adapters that became ready, and those that are gone,
/// with their versions.
pub(crate) type ReportChanges = (Vec<(String, u64)>, Vec<(String, u64)>);

/// An order that was sent and is not answered yet.
#[derive(Debug, Clone)]
pub(crate) struct SentOrder {
    pub(crate) order: Order,
    pub(crate) at: Duration,
    pub(crate) basis: Basis,
}

/// One target's row in the placement table.
#[derive(Debug)]
pub(crate) struct TargetRow {
    pub(crate) record: TargetRecord,
    pub(crate) number: TargetNumber,
    /// Hash of its software version.
    pub(crate) software: SoftwareHash,
    /// Number of orders that the target has accepted; `None` while a report must show it first.
    pub(crate) sequence: Option<u64>,
    /// The order that is not answered yet.
    pub(crate) open_order: Option<SentOrder>,
    /// An earlier order that got no answer and may still be executed.
    pub(crate) unanswered: Option<Order>,
    /// Models and adapters, under `model` or `model/adapter`.
    pub(crate) held: BTreeMap<String, HeldAdapter>,
    /// Unloaded adapters that its memory may still cache, the newest last.
    cached: VecDeque<String>,
    /// Adapters that were removed from this row, and when. Reports that were made before still name
    /// them.
    removed: BTreeMap<String, Duration>,
    /// Models on its disk or in its memory.
    pub(crate) stored: Vec<String>,
    /// When the next report request is due.
    pub(crate) report_due: Option<Duration>,
    /// When the unanswered report request was sent, if there is one.
    pub(crate) requested_at: Option<Duration>,
    /// Request number and number of accepted orders of the last report that was applied.
    pub(crate) applied: (u64, u64),
    /// It receives no orders before this time.
    pub(crate) backoff_until: Duration,
    /// Time of the last heartbeat or report.
    pub(crate) last_heard: Duration,
    /// The request limit that it names.
    pub(crate) limit: RowLimit,
}

impl TargetRow {
    pub(crate) fn new(now: Duration, record: TargetRecord, number: TargetNumber) -> TargetRow {
        TargetRow {
            software: stable_hash(&record.software),
            record,
            number,
            sequence: None,
            open_order: None,
            unanswered: None,
            held: BTreeMap::new(),
            cached: VecDeque::new(),
            removed: BTreeMap::new(),
            stored: Vec::new(),
            report_due: Some(now),
            requested_at: None,
            applied: (0, 0),
            backoff_until: Duration::ZERO,
            last_heard: now,
            limit: RowLimit::default(),
        }
    }

    /// Whether an order can be sent now.
    pub(crate) fn is_free(&self, now: Duration) -> bool {
        self.sequence.is_some() && self.open_order.is_none() && now >= self.backoff_until
    }

    /// Whether the open order is so recent that its answer should arrive shortly.
    fn has_recent_order(&self, now: Duration) -> bool {
        self.sequence.is_some()
            && self.open_order.as_ref().is_some_and(|it| now < it.at + ANSWER_TIME)
    }

    /// Whether an adapter of a model can be ordered here now or shortly, regardless of free adapter
    /// slots.
    pub(crate) fn can_take(&self, now: Duration, model: &str, name: &str) -> bool {
        self.record.state == TargetState::Ready
            && (self.is_free(now) || self.has_recent_order(now))
            && !self.held.contains_key(name)
            && self.has_model(model)
            && !self.is_model_changing()
            && self.can_start_load()
    }

    /// Whether a model is ready.
    pub(crate) fn has_model(&self, model: &str) -> bool {
        self.held.get(model).is_some_and(|it| it.stage == Stage::Ready)
    }

    /// Returns the number of occupied adapter slots.
    pub(crate) fn adapters(&self) -> usize {
        self.held.keys().filter(|name| name.contains('/')).count()
    }

    /// Returns what the next order rests on.
    pub(crate) fn basis(&self, engine: Option<&Engine>) -> Basis {
        let (report, report_orders) = self.applied;
        let slots = engine.map_or(0, |it| self.max_adapters(it));
        Basis { report, report_orders, held: self.adapters(), slots }
    }

    /// Whether an adapter slot is free.
    pub(crate) fn has_room(&self, engine: &Engine) -> bool {
        self.adapters() < self.max_adapters(engine)
    }

    /// Returns the number of adapter slots beside the models held.
    fn max_adapters(&self, engine: &Engine) -> usize {
        let mut free = engine.weights_mb;
        let mut adapter_mb: f64 = 0.0;
        for model in &engine.models {
            if self.held.contains_key(&model.name) {
                free -= model.weights_mb;
                adapter_mb = adapter_mb.max(model.adapter_mb);
            }
        }
        if adapter_mb <= 0.0 {
            return engine.adapter_slots;
        }
        engine.adapter_slots.min((free / adapter_mb).floor().max(0.0) as usize)
    }

    /// Whether one more adapter may be loaded at the same time.
    pub(crate) fn can_start_load(&self) -> bool {
        let loading =
            |(name, it): &(&String, &HeldAdapter)| name.contains('/') && it.stage == Stage::Loading;
        self.held.iter().filter(loading).count() < MAX_LOADING
    }

    /// Whether a model is being loaded or unloaded.
    pub(crate) fn is_model_changing(&self) -> bool {
        self.held.iter().any(|(name, it)| !name.contains('/') && it.stage != Stage::Ready)
    }

    /// Whether the target is assumed to have an adapter cached in its own memory.
    pub(crate) fn has_cached(&self, adapter: &str) -> bool {
        self.cached.iter().any(|it| it == adapter)
    }

    fn add_cached(&mut self, adapter: &str) {
        self.cached.retain(|it| it != adapter);
        self.cached.push_back(adapter.to_owned());
        if self.cached.len() > MAX_CACHED {
            self.cached.pop_front();
        }
    }

    /// Applies the effect of an order that was, or may be, executed.
    pub(crate) fn apply_order(&mut self, now: Duration, order: &Order) {
        let name = order.name();
        if order.load {
            let last_used = now;
            let hash = adapter_hash(&name);
            let replaces = self.held.get(&name).and_then(|it| match it.stage {
                Stage::Ready => Some(it.version),
                Stage::Loading | Stage::Unloading => it.replaces,
            });
            let held = HeldAdapter {
                version: order.version,
                stage: Stage::Loading,
                since: now,
                last_used,
                hash,
                replaces,
            };
            self.held.insert(name, held);
        } else if let Some(held) = self.held.get_mut(&name) {
            held.stage = Stage::Unloading;
            held.since = now;
        }
    }

    /// Removes a model or adapter that is gone. An adapter counts as cached from then on.
    pub(crate) fn remove_adapter(&mut self, now: Duration, name: &str) {
        if self.held.remove(name).is_some() && name.contains('/') {
            self.removed.insert(name.to_owned(), now);
            self.add_cached(name);
        }
    }

    /// Whether a report names an adapter that was removed within the last `lag`. It is out of date
    /// then, and so is its count of accepted orders.
    pub(crate) fn is_stale(&mut self, now: Duration, report: &Report, lag: Duration) -> bool {
        self.removed.retain(|_, at| now < *at + lag);
        let there = report.loaded.iter().map(|(name, _)| name).chain(&report.pending);
        there.into_iter().any(|name| self.removed.contains_key(name))
    }

    /// Applies a report. It may be up to `lag` old on arrival, so entries that changed stage within
    /// that time are not removed. Returns what became ready and what is gone.
    pub(crate) fn apply_report(
        &mut self,
        now: Duration,
        report: &Report,
        lag: Duration,
    ) -> ReportChanges {
        let (mut added, mut gone) = (Vec::new(), Vec::new());
        self.stored = report.stored.clone();
        for name in &report.pending {
            let hash = adapter_hash(name);
            let loading = HeldAdapter {
                version: 0,
                stage: Stage::Loading,
                since: now,
                last_used: Duration::ZERO,
                hash,
                replaces: None,
            };
            self.held.entry(name.clone()).or_insert(loading);
        }
        for (name, version) in &report.loaded {
            let hash = adapter_hash(name);
            let ready = HeldAdapter {
                version: *version,
                stage: Stage::Ready,
                since: now,
                last_used: Duration::ZERO,
                hash,
                replaces: None,
            };
            let held = self.held.entry(name.clone()).or_insert(ready);
            match held.stage {
                Stage::Loading if held.version <= *version => {
                    *held = HeldAdapter { last_used: held.last_used, ..ready };
                    added.push((name.clone(), *version));
                }
                Stage::Loading => {}
                Stage::Unloading => {}
                Stage::Ready => {
                    if held.since == now || held.version != *version {
                        held.version = *version;
                        added.push((name.clone(), *version));
                    }
                }
            }
        }
        let mut absent = Vec::new();
        for (name, held) in &self.held {
            let there = report.loaded.iter().any(|(it, _)| it == name)
                || report.pending.iter().any(|it| it == name);
            if !there && now >= held.since + lag {
                absent.push(name.clone());
            }
        }
        for name in absent {
            let version = self.held.get(&name).map_or(0, |it| it.version);
            self.remove_adapter(now, &name);
            gone.push((name, version));
        }
        (added, gone)
    }
}
