//! Loads models onto empty targets, and updates adapters to the newest versions.

use std::time::Duration;

use wire::{Fence, TargetState};

use crate::{
    Demand, Engine, PlacementTable,
    row::{Stage, TargetRow},
    targets::adapter_hash,
};

/// Maximum number of models that are being loaded or unloaded at the same time over all failure
/// domains. Each failure domain may always have one.
const MAX_MODEL_LOADS: usize = 2;
/// Time after a holder starts during which it assumes failure domains of equal size, since it may
/// not know their targets yet.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Fraction of the weight store's load rate that is used.
const STORE_RATE_SHARE: f64 = 0.9;

impl PlacementTable {
    /// Updates adapters to the newest version: in place where they are idle, otherwise at another
    /// target first.
    pub(crate) fn update_versions(&mut self, now: Duration, fence: Fence) {
        let mut stale = Vec::new();
        for row in self.rows.values() {
            if row.record.state != TargetState::Ready || !row.is_free(now) {
                continue;
            }
            for (name, held) in &row.held {
                let newest = self.versions.get(name).copied().unwrap_or(0);
                if name.contains('/') && held.stage == Stage::Ready && held.version < newest {
                    stale.push((row.record.id.clone(), name.clone(), newest));
                }
            }
        }
        for (id, name, newest) in stale {
            self.update_adapter(now, fence, &id, &name, newest);
        }
    }

    fn update_adapter(&mut self, now: Duration, fence: Fence, id: &str, name: &str, newest: u64) {
        let Some(row) = self.rows.get(id) else { return };
        if !row.is_free(now) || !row.can_start_load() {
            return;
        }
        let service = row.record.service.clone();
        let Some((model, adapter)) = name.split_once('/') else { return };
        let hash = adapter_hash(name);
        let in_use = self.in_use.contains(&(row.number, hash));
        if !in_use {
            self.send_order(now, fence, id, true, model, Some(adapter), newest);
            return;
        }
        let is_updated = |row: &TargetRow| {
            row.held
                .get(name)
                .is_some_and(|it| it.version >= newest && it.stage != Stage::Unloading)
        };
        if !self.rows.values().any(is_updated) {
            let mut survey = self.survey(now);
            let wanted = Demand::anywhere(name);
            self.place_adapter(now, fence, &mut survey, &service, &wanted, newest);
        }
    }

    /// Loads models onto targets that hold none, within the weight store's load rate.
    pub(crate) fn load_models(&mut self, now: Duration, fence: Fence) {
        // The latest entry stays: limits below one load per window are measured from it.
        while self.store_loads.len() > 1
            && self.store_loads.front().is_some_and(|&at| at + self.settings.window < now)
        {
            self.store_loads.pop_front();
        }
        let mut empty = Vec::new();
        for row in self.rows.values() {
            let has_model = row.held.keys().any(|name| !name.contains('/'));
            if !has_model && row.record.state == TargetState::Ready && row.is_free(now) {
                empty.push((row.record.id.clone(), row.record.service.clone()));
            }
        }
        if empty.is_empty() {
            return;
        }
        let mut copies = self.survey(now).copies;
        for engine in self.engines.values() {
            for model in &engine.models {
                let hash = adapter_hash(&model.name);
                *copies.entry(hash).or_default() += self.other_domains.copies(hash);
            }
        }
        for (id, service) in empty {
            let Some(engine) = self.engines.get(&service).cloned() else { continue };
            let fitting = engine.models.iter().filter(|it| it.weights_mb <= engine.weights_mb);
            let held = |name: &str| copies.get(&adapter_hash(name)).copied().unwrap_or(0);
            let Some(model) = fitting.min_by_key(|it| held(&it.name)) else { continue };
            let is_stored = self.rows[&id].stored.contains(&model.name);
            if !is_stored && !self.may_load(now, &service, &engine) {
                continue;
            }
            if self.send_order(now, fence, &id, true, &model.name, None, 0) && !is_stored {
                self.store_loads.push_back(now);
            }
        }
    }

    /// Whether this failure domain's share of the weight store's load rate allows another load.
    fn may_load(&self, now: Duration, service: &str, engine: &Engine) -> bool {
        let domains = self.other_domains.domains();
        let loading = self.rows.values().filter(|it| it.is_model_changing()).count();
        if loading >= (MAX_MODEL_LOADS / domains).max(1) {
            return false;
        }
        let window = self.settings.window;
        let limit = engine.loads_per_s
            * window.as_secs_f64()
            * STORE_RATE_SHARE
            * self.target_share(now, service);
        if limit >= 1.0 {
            return (self.store_loads.len() as f64) < limit.floor();
        }
        self.store_loads.back().is_none_or(|&at| now >= at + window.div_f64(limit.max(0.01)))
    }

    /// Fraction of a service's targets that are in this failure domain. Equal shares while the
    /// targets may not be known yet.
    fn target_share(&self, now: Duration, service: &str) -> f64 {
        let equal = 1.0 / self.other_domains.domains() as f64;
        if self.since.is_none_or(|at| now < at + SETTLING_TIME) {
            return equal;
        }
        let sizes = self.target_counts(service);
        let all = sizes.values().sum::<usize>().max(1);
        sizes[&self.settings.domain] as f64 / all as f64
    }
}
