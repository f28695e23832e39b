//! One target's row in a holder's placement table: its models and adapters.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use wire::{AdapterHash, SoftwareHash, TargetNumber, TargetRecord, TargetState};

use crate::{
    Basis, Engine,
    account::Account,
    io::Order,
    load_checks::LoadCheck,
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

/// A model or adapter at a target, as its account has it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldAdapter {
    /// Its version; zero while unknown.
    pub(crate) version: u64,
    pub(crate) stage: Stage,
    /// When it was ordered or a request last used it; zero if a report alone showed it.
    pub(crate) last_used: Duration,
    /// The hash of its name.
    pub(crate) hash: AdapterHash,
}

/// Changes of a row's models and adapters, with their versions.
#[derive(Debug, Default)]
pub(crate) struct RowChanges {
    /// Those that became ready.
    pub(crate) ready: Vec<(String, u64)>,
    /// Those that were ready and no longer are.
    pub(crate) gone: Vec<(String, u64)>,
    /// Those that were ordered and are not there.
    pub(crate) missing: Vec<(String, u64)>,
}

impl RowChanges {
    pub(crate) fn is_empty(&self) -> bool {
        self.ready.is_empty() && self.gone.is_empty() && self.missing.is_empty()
    }
}

/// An order that was sent and is not answered yet.
#[derive(Debug, Clone)]
pub(crate) struct SentOrder {
    pub(crate) order: Order,
    pub(crate) at: Duration,
    pub(crate) basis: Basis,
    /// The newest version of its adapter that was known then; zero if none was.
    pub(crate) newest: u64,
}

/// One target's row in the placement table.
#[derive(Debug)]
pub(crate) struct TargetRow {
    pub(crate) record: TargetRecord,
    pub(crate) number: TargetNumber,
    /// Hash of its software version.
    pub(crate) software: SoftwareHash,
    /// What the target holds, by its reports and orders.
    pub(crate) account: Account,
    /// The order that is not answered yet.
    pub(crate) open_order: Option<SentOrder>,
    /// The entries of the account, under `model` or `model/adapter`. Each occupies room.
    pub(crate) held: BTreeMap<String, HeldAdapter>,
    /// Loads that it is asked about.
    pub(crate) load_checks: Vec<LoadCheck>,
    /// Unloaded adapters that its memory may still cache, the newest last.
    cached: VecDeque<String>,
    /// Models on its disk or in its memory.
    pub(crate) stored: Vec<String>,
    /// When the next report request is due.
    pub(crate) report_due: Option<Duration>,
    /// Number of the last report request before this row was made: earlier ones went to a former process
    /// or were sent by a former holder.
    pub(crate) requests_before: u64,
    /// When the unanswered report request was sent, if there is one.
    pub(crate) requested_at: Option<Duration>,
    /// It receives no orders before this time.
    pub(crate) backoff_until: Duration,
    /// Time of the last heartbeat or report.
    pub(crate) last_heard: Duration,
    /// The request limit that it names.
    pub(crate) limit: RowLimit,
}

impl TargetRow {
    pub(crate) fn new(
        now: Duration,
        record: TargetRecord,
        number: TargetNumber,
        requests_before: u64,
    ) -> TargetRow {
        TargetRow {
            software: stable_hash(&record.software),
            record,
            number,
            account: Account::default(),
            open_order: None,
            held: BTreeMap::new(),
            load_checks: Vec::new(),
            cached: VecDeque::new(),
            stored: Vec::new(),
            report_due: Some(now),
            requests_before,
            requested_at: None,
            backoff_until: Duration::ZERO,
            last_heard: now,
            limit: RowLimit::default(),
        }
    }

    /// Whether an order can be sent now.
    pub(crate) fn is_free(&self, now: Duration) -> bool {
        self.account.next_number().is_some()
            && self.open_order.is_none()
            && now >= self.backoff_until
    }

    /// Whether the open order is so recent that its answer should arrive shortly.
    pub(crate) fn has_recent_order(&self, now: Duration) -> bool {
        self.account.next_number().is_some()
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
        let (report, report_orders) = self.account.newest();
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

    /// Whether something changes at the target of which only reports tell.
    pub(crate) fn needs_reports(&self) -> bool {
        let is_checked = |name: &str| self.load_checks.iter().any(|it| it.order.name() == name);
        let mut changing = self.held.iter().filter(|(_, it)| it.stage != Stage::Ready);
        self.account.next_number().is_none() || changing.any(|(name, _)| !is_checked(name))
    }

    /// Whether one more adapter may be loaded at the same time.
    pub(crate) fn can_start_load(&self) -> bool {
        let loading =
            |(name, it): &(&String, &HeldAdapter)| name.contains('/') && it.stage == Stage::Loading;
        self.held.iter().filter(loading).count() < MAX_LOADING
    }

    /// Whether a model is being loaded or unloaded.
    pub(crate) fn is_model_changing(&self) -> bool {
        self.account.is_busy()
            || self.held.iter().any(|(name, it)| !name.contains('/') && it.stage != Stage::Ready)
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

    /// Takes over the entries of the account.
    pub(crate) fn refresh(&mut self, now: Duration) -> RowChanges {
        let mut changes = RowChanges::default();
        let entries = self.account.entries(self.open_order.as_ref().map(|it| &it.order));
        let former = std::mem::take(&mut self.held);
        for (name, held) in &former {
            let entry = entries.get(name);
            if held.stage == Stage::Ready && entry.is_none_or(|it| it.stage != Stage::Ready) {
                changes.gone.push((name.clone(), held.version));
            }
            if entry.is_none() && held.stage == Stage::Loading {
                changes.missing.push((name.clone(), held.version));
            } else if entry.is_none() && name.contains('/') {
                self.add_cached(name);
            }
        }
        for (name, entry) in entries {
            let known = former.get(&name);
            let is_new =
                known.is_none_or(|it| (it.stage, it.version) != (entry.stage, entry.version));
            if is_new && entry.stage == Stage::Ready {
                changes.ready.push((name.clone(), entry.version));
            }
            let ordered_at = if entry.is_ordered { now } else { Duration::ZERO };
            let held = HeldAdapter {
                version: entry.version,
                stage: entry.stage,
                last_used: known.map_or(ordered_at, |it| it.last_used),
                hash: known.map_or_else(|| adapter_hash(&name), |it| it.hash),
            };
            self.held.insert(name, held);
        }
        changes
    }
}
