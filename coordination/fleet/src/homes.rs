//! Placement of adapters at targets: the home target of each adapter, the choice of eviction
//! victims, and further copies of the adapters with the highest request rate.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use wire::{AdapterHash, Fence, TargetNumber, TargetState};

use crate::{
    Engine, Event, PlacementStep, PlacementTable,
    other_domains::{copies_of, unit_hash},
    placement::{AdapterDemand, Demand},
    row::{Stage, TargetRow},
    targets::adapter_hash,
};

/// Time without use after which an adapter may be evicted.
const MIN_IDLE: Duration = Duration::from_millis(700);
/// Load of a target, in proportion to the mean, above which its cost as a home target grows.
const HOME_SLACK: f64 = 1.25;
/// Cost of a load from the weight store, for a target without a cached copy of the adapter. All
/// costs are on one scale and are added up.
const STORE_LOAD_COST: f64 = 0.35;
/// Cost factor of an adapter's hash at a target times the number of targets. This product stands
/// for the target's rank in the adapter's order of home targets.
const HOME_COST: f64 = 0.25;
/// Cost of load above the slack, per mean load.
const EXCESS_COST: f64 = 4.0;
/// Cost of a prefill backlog of [`BACKLOG_UNIT_TOKENS`], which a target prefills in half a second.
const BACKLOG_COST: f64 = 1.0;
const BACKLOG_UNIT_TOKENS: f64 = 10_000.0;
/// Cost of a target that names a request limit: it gets an adapter only if no other can take it.
const LIMITED_COST: f64 = 1000.0;
/// Factor by which an adapter gets more copies than its share of all requests times the number of
/// targets, as a reserve for bursts.
const COPY_SLACK: f64 = 1.6;
/// Minimum requests per second for a second copy.
const COPY_RATE: f64 = 0.8;
/// Share of a request's latency objective within which its adapter has to be loaded, so that the request
/// can be on time.
const LOADED_SHARE: f64 = 0.8;
/// Lifetime of a host's adapter demand unless it is repeated.
const DEMAND_TTL: Duration = Duration::from_millis(1200);
/// Waiting time of an adapter after which the log states why it is not placed.
const UNPLACED_DELAY: Duration = Duration::from_millis(500);
/// Interval between these log lines.
const UNPLACED_INTERVAL: Duration = Duration::from_millis(1000);

/// The result of one scan of the placement table.
#[derive(Debug, Default)]
pub(crate) struct Survey {
    /// For each model and adapter, the ready targets of this failure domain that hold or load it.
    pub(crate) copies: HashMap<AdapterHash, usize>,
    /// Models and adapters that are being loaded.
    pub(crate) loading: BTreeSet<AdapterHash>,
    /// Expected requests per second at each target.
    pub(crate) shares: BTreeMap<TargetNumber, f64>,
    /// Prefill backlog of each target, in tokens.
    pub(crate) backlogs: BTreeMap<TargetNumber, u32>,
    /// Eviction victim of each target, once looked up; `None` if no adapter can be evicted.
    pub(crate) victims: HashMap<TargetNumber, Option<String>>,
}

impl PlacementTable {
    /// Scans the whole table once.
    pub(crate) fn survey(&self, now: Duration) -> Survey {
        let backlogs = self.running().into_iter().map(|(number, _, tokens)| (number, tokens));
        let mut survey = Survey { backlogs: backlogs.collect(), ..Survey::default() };
        let ready = || self.rows.values().filter(|it| it.record.state == TargetState::Ready);
        for row in ready() {
            let counts = self.counts_copies(now, row);
            for held in row.held.values() {
                if held.stage != Stage::Unloading && counts {
                    *survey.copies.entry(held.hash).or_default() += 1;
                }
                if held.stage == Stage::Loading {
                    survey.loading.insert(held.hash);
                }
            }
        }
        for row in ready() {
            let mut share = 0.0;
            for held in row.held.values() {
                if held.stage != Stage::Unloading {
                    let copies = survey.copies.get(&held.hash).copied().unwrap_or(0);
                    let copies = (copies + self.other_domains.copies(held.hash)).max(1);
                    share += self.rates.rate(held.hash) / copies as f64;
                }
            }
            survey.shares.insert(row.number, share);
        }
        survey
    }

    pub(crate) fn serve_demands(&mut self, now: Duration, fence: Fence) {
        let mut pending = Vec::new();
        let load_time = self.store.present_time();
        self.demands.retain(|_, demand| {
            demand.hosts.retain(|_, (_, at)| now < *at + DEMAND_TTL);
            !demand.hosts.is_empty()
        });
        for (wanted, demand) in &self.demands {
            let waiting: u32 = demand.hosts.values().map(|(count, _)| u32::from(*count)).sum();
            let objective = self.objectives.get(&demand.service).copied().unwrap_or_default();
            let latest = demand.since + objective.mul_f64(LOADED_SHARE);
            let is_late = now + load_time >= latest;
            let order = (Reverse(waiting), is_late, demand.since);
            pending.push((order, demand.service.clone(), wanted.clone()));
        }
        if pending.is_empty() {
            return;
        }
        self.log_unplaced(now);
        if !self.may_load_adapter(now) {
            return;
        }
        // Adapters with the most waiting requests go first, then those whose first request can still be
        // on time, then the oldest demands.
        pending.sort_by_key(|(order, ..)| *order);
        let mut survey = self.survey(now);
        for (_, service, wanted) in pending {
            if self.is_placed(now, &survey, &wanted) || !self.has_free(now, &service) {
                continue;
            }
            let is_ordered = self.place_adapter(now, fence, &mut survey, &service, &wanted, 0);
            if is_ordered && !self.may_load_adapter(now) {
                return;
            }
        }
    }

    /// Whether a wanted adapter is held or being loaded where it is wanted.
    fn is_placed(&self, now: Duration, survey: &Survey, wanted: &Demand) -> bool {
        let hash = adapter_hash(&wanted.adapter);
        if wanted.software.is_none() {
            return survey.loading.contains(&hash) || survey.copies.contains_key(&hash);
        }
        self.rows.values().any(|row| {
            let held = row.held.get(&wanted.adapter);
            let held = held.is_some_and(|it| it.stage != Stage::Unloading);
            row.record.state == TargetState::Ready
                && wanted.suits(row)
                && held
                && self.counts_copies(now, row)
        })
    }

    /// Whether any target of a service can receive an order now.
    fn has_free(&self, now: Duration, service: &str) -> bool {
        self.rows.values().any(|it| it.is_free(now) && it.record.service == service)
    }

    /// Logs why adapters with waiting requests are not placed yet.
    fn log_unplaced(&mut self, now: Duration) {
        let late = |it: &&AdapterDemand| now >= it.since + UNPLACED_DELAY;
        let adapters = self.demands.values().filter(late).count();
        if adapters == 0 || now < self.unplaced_logged + UNPLACED_INTERVAL {
            return;
        }
        self.unplaced_logged = now;
        let survey = self.survey(now);
        let (mut busy, mut transit, mut in_use, mut open) = (0, 0, 0, 0);
        for row in self.rows.values() {
            let Some(engine) = self.engines.get(&row.record.service) else { continue };
            match row {
                it if !it.is_free(now) || it.is_model_changing() => busy += 1,
                it if !it.can_start_load() => transit += 1,
                it if !it.has_room(engine) && self.find_victim(now, &survey, it).is_none() => {
                    in_use += 1
                }
                _ => open += 1,
            }
        }
        self.steps.push(PlacementStep::Log(Event::Unplaced {
            adapters,
            busy,
            transit,
            in_use,
            open,
        }));
    }

    /// Orders the load of an adapter at the best target that can take it, or the eviction that must
    /// come before it. Returns whether an order was sent.
    pub(crate) fn place_adapter(
        &mut self,
        now: Duration,
        fence: Fence,
        survey: &mut Survey,
        service: &str,
        wanted: &Demand,
        version: u64,
    ) -> bool {
        let Some((model, adapter)) = wanted.adapter.split_once('/') else { return false };
        let Some(engine) = self.engines.get(service).cloned() else { return false };
        let Some(id) = self.best_target(now, survey, service, &engine, wanted) else {
            return false;
        };
        let mut victim = None;
        {
            let row = &self.rows[&id];
            if !row.has_room(&engine) {
                victim = self.victim_of(now, survey, row);
            }
            survey.victims.remove(&row.number);
        }
        match victim {
            Some(evicted) => {
                let Some((m, a)) = evicted.split_once('/') else { return false };
                self.send_order(now, fence, &id, false, m, Some(a), 0)
            }
            None => self.send_order(now, fence, &id, true, model, Some(adapter), version),
        }
    }

    /// Finds the target for an adapter: its home target, unless that one has much more load than
    /// the others. Returns `None` also if the best target is still busy with an order that should
    /// be answered shortly.
    fn best_target(
        &self,
        now: Duration,
        survey: &mut Survey,
        service: &str,
        engine: &Engine,
        wanted: &Demand,
    ) -> Option<String> {
        let name = wanted.adapter.as_str();
        let (model, _) = name.split_once('/')?;
        let own_rate = self.rates.rate(adapter_hash(name));
        let of_service = |it: &&TargetRow| it.record.service == service;
        let count = self.rows.values().filter(of_service).count().max(1) as f64;
        let mean = survey.shares.values().sum::<f64>() / count;
        let mut best: Option<(f64, &str)> = None;
        for row in self.rows.values().filter(of_service) {
            if !wanted.suits(row) || !row.can_take(now, model, name) {
                continue;
            }
            if !row.has_room(engine) && self.victim_of(now, survey, row).is_none() {
                continue;
            }
            let share = survey.shares.get(&row.number).copied().unwrap_or(0.0);
            let excess = ((share + own_rate) / (mean + own_rate).max(0.1) - HOME_SLACK).max(0.0);
            let store_load = if row.has_cached(name) { 0.0 } else { STORE_LOAD_COST };
            let rank = unit_hash(&(name, row.record.id.as_str())) * count;
            let backlog = survey.backlogs.get(&row.number).copied().unwrap_or(0);
            let backlog = BACKLOG_COST * f64::from(backlog) / BACKLOG_UNIT_TOKENS;
            let limited = if row.is_limited(now) { LIMITED_COST } else { 0.0 };
            let cost = EXCESS_COST * excess + store_load + HOME_COST * rank + backlog + limited;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, &row.record.id));
            }
        }
        let (_, id) = best?;
        self.rows[id].is_free(now).then(|| id.to_owned())
    }

    /// Returns the eviction victim at a target: the unused adapter with the lowest request rate per
    /// copy, so that adapters with several copies go first.
    fn victim_of(&self, now: Duration, survey: &mut Survey, row: &TargetRow) -> Option<String> {
        if let Some(known) = survey.victims.get(&row.number) {
            return known.clone();
        }
        let victim = self.find_victim(now, survey, row);
        survey.victims.insert(row.number, victim.clone());
        victim
    }

    fn find_victim(&self, now: Duration, survey: &Survey, row: &TargetRow) -> Option<String> {
        let mut best: Option<(f64, Duration, &String)> = None;
        for (name, held) in &row.held {
            if !name.contains('/') || held.stage != Stage::Ready || now < held.last_used + MIN_IDLE
            {
                continue;
            }
            if self.in_use.contains(&(row.number, held.hash)) || self.is_wanted(name) {
                continue;
            }
            let copies = survey.copies.get(&held.hash).copied().unwrap_or(1).max(1);
            let copies = copies + self.other_domains.copies(held.hash);
            let rate = self.rates.rate(held.hash) / copies as f64;
            if best.is_none_or(|(least, used, _)| (rate, held.last_used) < (least, used)) {
                best = Some((rate, held.last_used, name));
            }
        }
        best.map(|(_, _, name)| name.clone())
    }

    /// Whether requests wait for an adapter.
    fn is_wanted(&self, name: &str) -> bool {
        let next = self.demands.range(Demand::anywhere(name)..).next();
        next.is_some_and(|(demand, _)| demand.adapter == name)
    }

    /// Places a further copy of adapters whose request rate exceeds the share of one copy.
    pub(crate) fn add_copies(&mut self, now: Duration, fence: Fence) {
        let total = self.rates.total();
        if total <= 0.0 {
            return;
        }
        let mut survey = self.survey(now);
        let domain = self.settings.domain.clone();
        for service in self.engines.keys().cloned().collect::<Vec<_>>() {
            let sizes = self.target_counts(&service);
            let count = sizes.values().sum::<usize>().max(1);
            let share = total / COPY_SLACK / count as f64;
            for name in self.hot(&service, share) {
                let hash = adapter_hash(&name);
                let wanted = (self.rates.rate(hash) / share).ceil() as usize;
                let here = survey.copies.get(&hash).copied().unwrap_or(0);
                let all = here + self.other_domains.copies(hash);
                let quota = copies_of(&name, wanted, &sizes, &domain);
                let lacking =
                    all > 0 && all < wanted.min(count) && here < quota.min(sizes[&domain]);
                if lacking && !survey.loading.contains(&hash) && self.may_load_adapter(now) {
                    let wanted = Demand::anywhere(&name);
                    self.place_adapter(now, fence, &mut survey, &service, &wanted, 0);
                }
            }
        }
    }

    /// Returns the adapters of a service whose request rate exceeds the share of one copy.
    fn hot(&self, service: &str, share: f64) -> BTreeSet<String> {
        let hot = |hash| self.rates.rate(hash) >= COPY_RATE.max(share);
        let mut names = BTreeSet::new();
        for row in self.rows.values().filter(|it| it.record.service == service) {
            for (name, held) in &row.held {
                if name.contains('/') && hot(held.hash) {
                    names.insert(name.clone());
                }
            }
        }
        let others = self.other_domains.names(service);
        names.extend(others.filter(|it| hot(adapter_hash(it))).cloned());
        names
    }

    /// Records a demand for the requested adapters of a leaving target that no other target of the
    /// domain holds, so that they are placed again before requests wait for them.
    pub(crate) fn rehome(&mut self, now: Duration, id: &str) {
        let Some(row) = self.rows.get(id) else { return };
        let service = row.record.service.clone();
        let survey = self.survey(now);
        let mut names = Vec::new();
        for (name, held) in &row.held {
            let absent = !survey.copies.contains_key(&held.hash);
            if name.contains('/') && absent && self.rates.rate(held.hash) >= COPY_RATE / 2.0 {
                names.push(name.clone());
            }
        }
        for name in names {
            // Host 0: no host waits yet.
            self.record_demand(now, 0, &service, Demand::anywhere(&name), 1);
        }
    }
}
