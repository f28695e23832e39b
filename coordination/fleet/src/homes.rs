//! Where adapters go: the usual home of each, which one makes way, and further
//! copies of those that are asked for most.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use wire::{AdapterPrint, Fence, TargetNumber, TargetState};

use crate::{
    Engine, Event, Loads, Step,
    elsewhere::{copies_of, unit},
    loads::Want,
    place::{Place, Stage},
    targets::adapter_print,
};

/// How long an adapter must be unused before it makes way.
const IDLE: Duration = Duration::from_millis(700);
/// A target may carry this much more than the mean before a home goes elsewhere.
const HOME_SLACK: f64 = 1.25;
/// What it costs to fetch an adapter that the target has no copy of, against its
/// share of the load.
const FETCH_COST: f64 = 0.35;
/// What it costs to go a step down in an adapter's usual order of homes, which
/// depends on nothing but its name and the targets'.
const HOME_COST: f64 = 0.25;
/// What it costs to go beyond the slack, for each mean load.
const OVER_COST: f64 = 4.0;
/// What it costs to go where this many prompt tokens are read or wait; it is as
/// many as a target reads in half a second.
const BACKLOG_COST: f64 = 1.0;
const BACKLOG_TOKENS: f64 = 10_000.0;
/// Copies that an adapter gets, against its share of the targets: a clump of its
/// requests needs more room than the mean.
const COPY_SLACK: f64 = 1.6;
/// Least requests a second for a second copy.
const COPY_RATE: f64 = 0.8;
/// How long a request for an adapter counts without being repeated.
const WANT_TIME: Duration = Duration::from_millis(1200);
/// How long an adapter is waited for before it is written why.
const UNPLACED_AFTER: Duration = Duration::from_millis(500);
/// Time between two such lines.
const UNPLACED_AGAIN: Duration = Duration::from_millis(1000);

/// What one look at all places shows.
#[derive(Debug, Default)]
pub(crate) struct Survey {
    /// Targets of this failure domain that hold each adapter, or will, and take
    /// requests.
    pub(crate) copies: HashMap<AdapterPrint, usize>,
    /// Adapters on their way.
    pub(crate) loading: BTreeSet<AdapterPrint>,
    /// Requests a second that each target can expect.
    pub(crate) shares: BTreeMap<TargetNumber, f64>,
    /// Prompt tokens that are read or wait at each target.
    pub(crate) backlogs: BTreeMap<TargetNumber, u32>,
    /// The adapter that makes way at each target, as far as it was looked for.
    pub(crate) victims: HashMap<TargetNumber, Option<String>>,
}

impl Loads {
    /// Looks at all places once.
    pub(crate) fn survey(&self) -> Survey {
        let backlogs = self.running().into_iter().map(|(number, _, tokens)| (number, tokens));
        let mut survey = Survey { backlogs: backlogs.collect(), ..Survey::default() };
        let ready = || self.places.values().filter(|it| it.card.state == TargetState::Ready);
        for place in ready() {
            for held in place.held.values() {
                if held.stage != Stage::Leaving {
                    *survey.copies.entry(held.print).or_default() += 1;
                }
                if held.stage == Stage::Loading {
                    survey.loading.insert(held.print);
                }
            }
            if let Some(sent) = &place.sent
                && sent.order.load
            {
                survey.loading.insert(adapter_print(&sent.order.name()));
            }
        }
        for place in ready() {
            let mut share = 0.0;
            for held in place.held.values() {
                if held.stage != Stage::Leaving {
                    let copies = survey.copies[&held.print] + self.elsewhere.copies(held.print);
                    share += self.demand.rate(held.print) / copies as f64;
                }
            }
            survey.shares.insert(place.number, share);
        }
        survey
    }

    pub(crate) fn serve_wants(&mut self, now: Duration, fence: Fence) {
        let mut due = Vec::new();
        self.wants.retain(|_, want| {
            want.hosts.retain(|_, (_, at)| now < *at + WANT_TIME);
            !want.hosts.is_empty()
        });
        for (name, want) in &self.wants {
            let waiting: u32 = want.hosts.values().map(|(count, _)| u32::from(*count)).sum();
            due.push((waiting, want.since, want.service.clone(), name.clone()));
        }
        if due.is_empty() {
            return;
        }
        self.note_unplaced(now);
        // Those that most requests wait for go first, then the oldest.
        due.sort_by_key(|(waiting, since, ..)| (std::cmp::Reverse(*waiting), *since));
        let mut survey = self.survey();
        for (_, _, service, name) in due {
            let print = adapter_print(&name);
            if survey.loading.contains(&print) || survey.copies.contains_key(&print) {
                continue;
            }
            if !self.has_free(now, &service) {
                continue;
            }
            self.place(now, fence, &mut survey, &service, &name, 0);
        }
    }

    /// Whether any target of a service can be given an order now.
    fn has_free(&self, now: Duration, service: &str) -> bool {
        self.places.values().any(|it| it.is_free(now) && it.card.service == service)
    }

    /// Writes why adapters that are waited for are nowhere yet.
    fn note_unplaced(&mut self, now: Duration) {
        let late = |it: &&Want| now >= it.since + UNPLACED_AFTER;
        let adapters = self.wants.values().filter(late).count();
        if adapters == 0 || now < self.noted + UNPLACED_AGAIN {
            return;
        }
        self.noted = now;
        let survey = self.survey();
        let (mut busy, mut transit, mut in_use, mut open) = (0, 0, 0, 0);
        for place in self.places.values() {
            let Some(engine) = self.engines.get(&place.card.service) else { continue };
            match place {
                it if !it.is_free(now) || it.is_changing() => busy += 1,
                it if !it.has_transit() => transit += 1,
                it if !it.has_room(engine) && self.find_victim(now, &survey, it).is_none() => {
                    in_use += 1
                }
                _ => open += 1,
            }
        }
        self.steps.push(Step::Log(Event::Unplaced { adapters, busy, transit, in_use, open }));
    }

    /// Orders an adapter to the best target that can take it.
    pub(crate) fn place(
        &mut self,
        now: Duration,
        fence: Fence,
        survey: &mut Survey,
        service: &str,
        name: &str,
        version: u64,
    ) -> bool {
        let Some((model, adapter)) = name.split_once('/') else { return false };
        let Some(engine) = self.engines.get(service).cloned() else { return false };
        let Some(id) = self.best_home(now, survey, service, &engine, name) else { return false };
        let mut victim = None;
        {
            let place = &self.places[&id];
            if !place.has_room(&engine) {
                victim = self.victim(now, survey, place);
            }
            survey.victims.remove(&place.number);
        }
        match victim {
            Some(out) => {
                let Some((m, a)) = out.split_once('/') else { return false };
                self.send(now, fence, &id, false, m, Some(a), 0)
            }
            None => self.send(now, fence, &id, true, model, Some(adapter), version),
        }
    }

    /// Finds the target for an adapter: its usual home, unless that carries much
    /// more than the others. None, too, if that target can take it in a moment.
    fn best_home(
        &self,
        now: Duration,
        survey: &mut Survey,
        service: &str,
        engine: &Engine,
        name: &str,
    ) -> Option<String> {
        let (model, _) = name.split_once('/')?;
        let own = self.demand.rate(adapter_print(name));
        let of_service = |it: &&Place| it.card.service == service;
        let count = self.places.values().filter(of_service).count().max(1) as f64;
        let mean = survey.shares.values().sum::<f64>() / count;
        let mut best: Option<(f64, &str)> = None;
        for place in self.places.values().filter(of_service) {
            if !place.can_take(now, model, name) {
                continue;
            }
            if !place.has_room(engine) && self.victim(now, survey, place).is_none() {
                continue;
            }
            let share = survey.shares.get(&place.number).copied().unwrap_or(0.0);
            let over = ((share + own) / (mean + own).max(0.1) - HOME_SLACK).max(0.0);
            let fetch = if place.has_copy(name) { 0.0 } else { FETCH_COST };
            let step = unit(&(name, place.card.id.as_str())) * count;
            let backlog = survey.backlogs.get(&place.number).copied().unwrap_or(0);
            let backlog = BACKLOG_COST * f64::from(backlog) / BACKLOG_TOKENS;
            let cost = OVER_COST * over + fetch + HOME_COST * step + backlog;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, &place.card.id));
            }
        }
        let (_, id) = best?;
        self.places[id].is_free(now).then(|| id.to_owned())
    }

    /// Returns the adapter that makes way at a target: unused, and the least asked
    /// for, copies before the last one.
    fn victim(&self, now: Duration, survey: &mut Survey, place: &Place) -> Option<String> {
        if let Some(known) = survey.victims.get(&place.number) {
            return known.clone();
        }
        let victim = self.find_victim(now, survey, place);
        survey.victims.insert(place.number, victim.clone());
        victim
    }

    fn find_victim(&self, now: Duration, survey: &Survey, place: &Place) -> Option<String> {
        let mut best: Option<(f64, Duration, &String)> = None;
        for (name, held) in &place.held {
            if !name.contains('/') || held.stage != Stage::Ready || now < held.used + IDLE {
                continue;
            }
            if self.in_use.contains(&(place.number, held.print)) || self.wants.contains_key(name) {
                continue;
            }
            let copies = survey.copies.get(&held.print).copied().unwrap_or(1).max(1);
            let copies = copies + self.elsewhere.copies(held.print);
            let rate = self.demand.rate(held.print) / copies as f64;
            if best.is_none_or(|(least, used, _)| (rate, held.used) < (least, used)) {
                best = Some((rate, held.used, name));
            }
        }
        best.map(|(_, _, name)| name.clone())
    }

    /// Gives adapters that are asked for more often than one target's share a
    /// further copy.
    pub(crate) fn add_copies(&mut self, now: Duration, fence: Fence) {
        let total = self.demand.total();
        if total <= 0.0 {
            return;
        }
        let mut survey = self.survey();
        let domain = self.settings.domain.clone();
        for service in self.engines.keys().cloned().collect::<Vec<_>>() {
            let sizes = self.sizes(&service);
            let count = sizes.values().sum::<usize>().max(1);
            let share = total / COPY_SLACK / count as f64;
            for name in self.hot(&service, share) {
                let print = adapter_print(&name);
                let wanted = (self.demand.rate(print) / share).ceil() as usize;
                let here = survey.copies.get(&print).copied().unwrap_or(0);
                let all = here + self.elsewhere.copies(print);
                let mine = copies_of(&name, wanted, &sizes, &domain);
                let lacks = all > 0 && all < wanted.min(count) && here < mine.min(sizes[&domain]);
                if lacks && !survey.loading.contains(&print) {
                    self.place(now, fence, &mut survey, &service, &name, 0);
                }
            }
        }
    }

    /// Adapters asked for more often than one copy's share.
    fn hot(&self, service: &str, share: f64) -> BTreeSet<String> {
        let hot = |print| self.demand.rate(print) >= COPY_RATE.max(share);
        let mut names = BTreeSet::new();
        for place in self.places.values().filter(|it| it.card.service == service) {
            for (name, held) in &place.held {
                if name.contains('/') && hot(held.print) {
                    names.insert(name.clone());
                }
            }
        }
        let elsewhere = self.elsewhere.names(service);
        names.extend(elsewhere.filter(|it| hot(adapter_print(it))).cloned());
        names
    }

    /// Adapters of a leaving target that are in use and are nowhere else get
    /// another home before they are missed.
    pub(crate) fn rehome(&mut self, now: Duration, id: &str) {
        let Some(place) = self.places.get(id) else { return };
        let service = place.card.service.clone();
        let survey = self.survey();
        let mut names = Vec::new();
        for (name, held) in &place.held {
            let missed = !survey.copies.contains_key(&held.print);
            if name.contains('/') && missed && self.demand.rate(held.print) >= COPY_RATE / 2.0 {
                names.push(name.clone());
            }
        }
        for name in names {
            self.want(now, 0, &service, &name, 1);
        }
    }
}
