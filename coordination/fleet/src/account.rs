//! What a target holds, by the numbers of its orders and reports.
//!
//! A target accepts an order only if the order expects the number of orders that were accepted so far, and
//! a report states that number as of the moment of its contents. A report of number n therefore shows
//! all that the orders below n did, and nothing of the later ones, however late it arrives. The account is
//! the report of the highest number and the orders that were accepted from that number on. If the target
//! accepts the next order, it holds what the account says, or less: what changes without an order only
//! frees slots.

use std::collections::BTreeMap;

use crate::{
    io::{Order, Report},
    row::Stage,
};

/// Number of reports, since the number of accepted orders came into doubt, that state a lower one before
/// it is lowered.
const DOUBTED_REPORTS: u32 = 10;
/// Number of reports after which an accepted order no longer hides an adapter, if none shows its end.
const AWAITED_REPORTS: u32 = 250;

/// Number of reports after which the end of a load no longer counts, if none shows it.
const UNSHOWN_REPORTS: u32 = 10;

/// A model or adapter by a target's account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Entry {
    /// Its version; zero while unknown.
    pub(crate) version: u64,
    pub(crate) stage: Stage,
    /// Whether an order of this holder accounts for its stage.
    pub(crate) is_ordered: bool,
}

/// An accepted order.
#[derive(Debug)]
struct AcceptedOrder {
    order: Order,
    /// Whether it had taken effect when it was answered.
    is_done: bool,
}

/// An order without an answer. The target accepts it as long as no other order of its number was accepted.
#[derive(Debug)]
struct UnansweredOrder {
    order: Order,
    /// Number of the last report request before it was given up. Later reports show whether it was
    /// carried out so far.
    request: u64,
}

/// A load of an adapter that has ended, as the target said, before a report shows it.
#[derive(Debug)]
struct EndedLoad {
    order: Order,
    /// The version that was loaded, or an earlier one; zero while unknown.
    version: u64,
    /// Number of reports that did not show it.
    reports: u32,
}

/// An accepted order whose end no report shows yet.
#[derive(Debug)]
struct AwaitedOrder {
    order: Order,
    /// Number of reports that did not show it.
    reports: u32,
}

/// The newest report: what the target held after a number of orders.
#[derive(Debug)]
struct NumberedReport {
    /// Number of the request.
    request: u64,
    /// Number of accepted orders.
    number: u64,
    loaded: Vec<(String, u64)>,
    pending: Vec<String>,
    /// Whether an order for a model was in progress.
    busy: bool,
}

/// The account of one process of a target.
#[derive(Debug, Default)]
pub(crate) struct Account {
    newest: Option<NumberedReport>,
    /// Orders accepted at the newest report's number and above, the oldest first.
    accepted: Vec<AcceptedOrder>,
    /// Orders accepted below that number that wait for requests to end or are still carried out, by name.
    awaited: BTreeMap<String, AwaitedOrder>,
    /// Loads that have ended, by name, until a report shows it or another order changes the adapter.
    ended: BTreeMap<String, EndedLoad>,
    unanswered: Vec<UnansweredOrder>,
    /// Number of orders that the target has accepted.
    number: u64,
    /// Whether an order of this holder has been accepted since the last one of another holder. If not,
    /// orders of that holder may still arrive and be accepted.
    is_own: bool,
    /// Number of reports since the number came into doubt; `None` if it isn't in doubt.
    doubted: Option<u32>,
}

impl Account {
    /// Returns the number that the next order has to expect; `None` while a report must show it.
    pub(crate) fn next_number(&self) -> Option<u64> {
        let is_known = self.newest.is_some() && self.doubted.is_none() && !self.is_busy();
        is_known.then_some(self.number)
    }

    /// Whether a model is being loaded or unloaded, whoever ordered it. The target accepts no order
    /// meanwhile, and a report doesn't name a model before it is ready.
    pub(crate) fn is_busy(&self) -> bool {
        self.newest.as_ref().is_some_and(|it| it.busy)
            || self.accepted.iter().any(|it| it.order.adapter.is_none())
    }

    /// Returns request number and order number of the newest report.
    pub(crate) fn newest(&self) -> (u64, u64) {
        self.newest.as_ref().map_or((0, 0), |it| (it.request, it.number))
    }

    /// Whether an order without an answer may still be accepted.
    pub(crate) fn has_unanswered(&self) -> bool {
        !self.unanswered.is_empty()
    }

    /// Doubts the number of accepted orders until reports confirm it.
    pub(crate) fn doubt(&mut self) {
        self.doubted.get_or_insert(0);
    }

    /// Records that an order was not accepted, since the target was busy or had accepted another one.
    pub(crate) fn record_busy(&mut self) {
        self.is_own = false;
    }

    /// Whether a load is known to have ended that no report shows.
    pub(crate) fn has_unreported(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Records that the target said that an accepted load of an adapter has ended. `version` is the one
    /// that was loaded, or an earlier one; zero if unknown.
    pub(crate) fn end_load(&mut self, order: &Order, version: u64) {
        let name = order.name();
        let last = self.accepted.iter().rfind(|it| it.order.name() == name);
        let is_unshown = last.map_or_else(|| self.hides(&name), |it| it.order == *order);
        if !is_unshown {
            return;
        }
        self.awaited.remove(&name);
        self.ended.insert(name, EndedLoad { order: order.clone(), version, reports: 0 });
    }

    /// Whether the newest report shows an adapter as being loaded, or an order for it as not carried out.
    fn hides(&self, name: &str) -> bool {
        self.awaited.contains_key(name)
            || self.newest.as_ref().is_some_and(|it| it.pending.iter().any(|it| it == name))
    }

    /// Records that an order was accepted. `is_done` tells whether it has taken effect.
    pub(crate) fn accept(&mut self, order: Order, is_done: bool) {
        let number = order.expected_orders;
        self.ended.remove(&order.name());
        let is_contested = !self.is_own || self.unanswered.iter().any(|it| it.is_of(number));
        if !is_done {
            self.unanswered.retain(|it| it.order.expected_orders > number);
            self.is_own = true;
        }
        if self.newest.as_ref().is_some_and(|it| it.number > number) {
            return self.await_end(order, is_done);
        }
        if is_done && is_contested {
            // An unload of what had just ended by itself is answered like this, too, and takes no
            // number: another order may still be accepted at it.
            self.doubt();
        }
        self.number = self.number.max(number + 1);
        self.accepted.push(AcceptedOrder { order, is_done });
    }

    /// Records that an order got no answer; `request` is the number of the last report request.
    pub(crate) fn give_up(&mut self, order: Order, request: u64) {
        if order.expected_orders >= self.newest().1 {
            self.unanswered.push(UnansweredOrder { order, request });
        }
    }

    /// Records a report, the answer to the request of the given number. `open` is the order that is not
    /// answered yet. Returns whether the report is the newest one.
    pub(crate) fn record_report(
        &mut self,
        request: u64,
        report: &Report,
        open: Option<&Order>,
    ) -> bool {
        let number = report.accepted_orders;
        if self.newest.is_some() && (number, request) < (self.newest().1, self.newest().0) {
            return false;
        }
        let (loaded, pending) = (report.loaded.clone(), report.pending.clone());
        self.newest = Some(NumberedReport { request, number, loaded, pending, busy: report.busy });
        let is_own_order = open.is_some_and(|it| it.expected_orders + 1 == number);
        if number > self.number && !is_own_order {
            self.is_own = false;
        }
        self.check_number(number);
        self.unanswered.retain(|it| it.order.expected_orders >= number);
        for awaited in self.awaited.values_mut() {
            awaited.reports += 1;
        }
        for AcceptedOrder { order, is_done } in std::mem::take(&mut self.accepted) {
            match order.expected_orders < number {
                true => self.await_end(order, is_done),
                false => self.accepted.push(AcceptedOrder { order, is_done }),
            }
        }
        if let Some(newest) = &self.newest {
            self.awaited.retain(|_, it| it.reports < AWAITED_REPORTS && it.is_waiting(newest));
            self.ended.retain(|_, it| {
                it.reports += 1;
                it.reports < UNSHOWN_REPORTS && it.is_unshown(newest)
            });
        }
        true
    }

    /// Compares the number of accepted orders with that of a new report.
    fn check_number(&mut self, number: u64) {
        if number >= self.number {
            self.number = number;
            self.doubted = None;
            return;
        }
        let Some(reports) = &mut self.doubted else { return };
        *reports += 1;
        if *reports >= DOUBTED_REPORTS {
            self.accepted.retain(|it| it.order.expected_orders < number);
            self.number = number;
            self.is_own = false;
            self.doubted = None;
        }
    }

    /// Awaits the end of an accepted order that the newest report covers.
    fn await_end(&mut self, order: Order, is_done: bool) {
        let name = order.name();
        self.awaited.remove(&name);
        let awaited = AwaitedOrder { order, reports: 0 };
        if !is_done && self.newest.as_ref().is_some_and(|it| awaited.is_waiting(it)) {
            self.awaited.insert(name, awaited);
        }
    }

    /// Returns the models and adapters that occupy room, under `model` or `model/adapter`. `open` is the
    /// order that is not answered yet.
    pub(crate) fn entries(&self, open: Option<&Order>) -> BTreeMap<String, Entry> {
        let mut entries = BTreeMap::new();
        let Some(report) = &self.newest else { return entries };
        let shown = |version, stage| Entry { version, stage, is_ordered: false };
        for (name, version) in &report.loaded {
            entries.insert(name.clone(), shown(*version, Stage::Ready));
        }
        for name in &report.pending {
            entries.insert(name.clone(), shown(0, Stage::Loading));
        }
        for awaited in self.awaited.values() {
            apply(&mut entries, &awaited.order, false);
        }
        for accepted in &self.accepted {
            apply(&mut entries, &accepted.order, accepted.is_done);
        }
        for (name, ended) in &self.ended {
            let version = ended.version;
            entries.insert(name.clone(), Entry { version, stage: Stage::Ready, is_ordered: true });
        }
        // A later report shows whether an order without an answer was carried out so far. If it still is
        // to be, the next order either precludes it or is not accepted.
        for unanswered in self.unanswered.iter().filter(|it| it.request >= report.request) {
            apply(&mut entries, &unanswered.order, false);
        }
        if let Some(open) = open.filter(|it| it.expected_orders >= report.number) {
            apply(&mut entries, open, false);
        }
        entries
    }
}

impl UnansweredOrder {
    fn is_of(&self, number: u64) -> bool {
        self.order.expected_orders == number
    }
}

impl EndedLoad {
    /// Whether a report still shows the adapter as being loaded, or as it was before the order, though it
    /// covers the order, or doesn't cover the order.
    fn is_unshown(&self, report: &NumberedReport) -> bool {
        let name = self.order.name();
        report.number <= self.order.expected_orders
            || report.pending.contains(&name)
            || report.loaded.iter().any(|(it, loaded)| *it == name && *loaded < self.version)
    }
}

impl AwaitedOrder {
    /// Whether a report that covers the order doesn't show its end: the target still works on it, or
    /// requests use the adapter.
    fn is_waiting(&self, report: &NumberedReport) -> bool {
        if self.order.adapter.is_none() {
            return report.busy;
        }
        let name = self.order.name();
        let loaded = report.loaded.iter().find(|(it, _)| *it == name);
        loaded.is_some_and(|(_, version)| !self.order.load || *version < self.order.version)
    }
}

/// Applies an order to the entries.
fn apply(entries: &mut BTreeMap<String, Entry>, order: &Order, is_done: bool) {
    let name = order.name();
    if order.load {
        let entry = Entry { version: order.version, stage: Stage::Loading, is_ordered: true };
        entries.insert(name, entry);
    } else if is_done {
        entries.remove(&name);
    } else if let Some(entry) = entries.get_mut(&name) {
        entry.stage = Stage::Unloading;
    }
}
