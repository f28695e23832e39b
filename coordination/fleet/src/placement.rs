//! A holder's placement table: which models and adapters are ordered, loaded and unloaded at each
//! target of its failure domain. The holder is the host that holds the order lease of the failure
//! domain: only it may send load and unload orders to the targets there.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use wire::{
    AdapterHash, DomainId, FeedChange, Fence, HostId, HostStatus, Placement, SoftwareHash,
    TargetNumber, TargetRecord, TargetState,
};

use crate::{
    Engine, Event, ReportVerdict,
    io::{Order, Report},
    other_domains::OtherDomains,
    rates::RequestRates,
    row::{RowChanges, Stage, TargetRow},
    store::AdapterStore,
    targets::stable_hash,
};

/// Interval between report requests while something changes of which only reports tell.
const REPORT_INTERVAL: Duration = Duration::from_millis(80);
/// Interval between report requests while adapters are loaded that the target is asked about.
pub(crate) const CHECKED_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between report requests while an order without an answer may still be executed.
const UNANSWERED_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a report request.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Bits of the number of a report request that count the requests of one holder; the bits above hold its
/// fencing number.
const REQUEST_BITS: u32 = 32;
/// Interval between checks for adapters that need a further copy.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
/// Lifetime of a host's status unless it is repeated.
const STATUS_TTL: Duration = Duration::from_secs(3);

/// Fixed parameters of a placement table.
#[derive(Debug, Clone)]
pub struct PlacementSettings {
    /// The failure domain whose targets the table contains.
    pub domain: DomainId,
    /// The time window over which loads from the weight store are counted.
    pub window: Duration,
    /// A target counts as silent after this time without a heartbeat or report.
    pub silence: Duration,
    /// Fencing number of the holder. Report requests of later holders have higher numbers.
    pub fence: Fence,
}

/// An action that the placement table requests from the host.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementStep {
    /// Send an order to a target.
    Order(Order),
    /// Ask a target, by sending an accepted load again, whether it has ended.
    CheckLoad {
        /// The order.
        order: Order,
        /// Time until the question is sent.
        after: Duration,
    },
    /// Request a report from a target.
    FetchReport {
        /// The target's name.
        target: String,
        /// IP address and port of the target.
        addr: String,
        /// Number of the request.
        request: u64,
    },
    /// Publish a change to all hosts, in the feed of the failure domain.
    Publish(FeedChange),
    /// Notify these hosts at once of the placement of an adapter that they wait for.
    NotifyWaiting(Vec<HostId>, Placement),
    /// Write a log line.
    Log(Event),
}

/// What requests wait for: an adapter, at a target of a software version if one is given.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Demand {
    /// The adapter.
    pub adapter: String,
    /// The software version; `None` if any will do.
    pub software: Option<SoftwareHash>,
}

impl Demand {
    /// An adapter at a target of any software version.
    pub fn anywhere(adapter: &str) -> Demand {
        Demand { adapter: adapter.to_owned(), software: None }
    }

    /// Whether a target has the software version.
    pub(crate) fn suits(&self, row: &TargetRow) -> bool {
        self.software.is_none_or(|it| it == row.software)
    }
}

/// Requests that wait for an adapter: the number of each host, and when it was last reported.
#[derive(Debug)]
pub(crate) struct AdapterDemand {
    pub(crate) service: String,
    pub(crate) hosts: BTreeMap<HostId, (u16, Duration)>,
    pub(crate) since: Duration,
}

/// The placement table of one failure domain.
#[derive(Debug)]
pub struct PlacementTable {
    pub(crate) settings: PlacementSettings,
    pub(crate) rows: BTreeMap<String, TargetRow>,
    pub(crate) engines: BTreeMap<String, Engine>,
    pub(crate) versions: BTreeMap<String, u64>,
    /// The shortest latency objective of each service's routes.
    pub(crate) objectives: BTreeMap<String, Duration>,
    pub(crate) demands: BTreeMap<Demand, AdapterDemand>,
    pub(crate) rates: RequestRates,
    /// The last status of each host, and when it was received.
    statuses: BTreeMap<HostId, (Duration, HostStatus)>,
    /// Summary of the targets of other failure domains.
    pub(crate) other_domains: OtherDomains,
    /// When `tick` ran for the first time.
    pub(crate) since: Option<Duration>,
    /// Adapters with requests in progress, by target.
    pub(crate) in_use: BTreeSet<(TargetNumber, AdapterHash)>,
    next_number: TargetNumber,
    /// Number of the last report request.
    pub(crate) report_requests: u64,
    pub(crate) store_loads: VecDeque<Duration>,
    pub(crate) store: AdapterStore,
    copies_checked: Duration,
    pub(crate) unplaced_logged: Duration,
    pub(crate) steps: Vec<PlacementStep>,
}

impl PlacementTable {
    /// Creates an empty table.
    pub fn new(settings: PlacementSettings) -> PlacementTable {
        let report_requests = settings.fence << REQUEST_BITS;
        PlacementTable {
            settings,
            rows: BTreeMap::new(),
            engines: BTreeMap::new(),
            versions: BTreeMap::new(),
            objectives: BTreeMap::new(),
            demands: BTreeMap::new(),
            rates: RequestRates::default(),
            statuses: BTreeMap::new(),
            other_domains: OtherDomains::default(),
            since: None,
            in_use: BTreeSet::new(),
            next_number: 1,
            report_requests,
            store_loads: VecDeque::new(),
            store: AdapterStore::default(),
            copies_checked: Duration::ZERO,
            unplaced_logged: Duration::ZERO,
            steps: Vec::new(),
        }
    }

    /// Returns and clears the requested actions.
    pub fn take_steps(&mut self) -> Vec<PlacementStep> {
        std::mem::take(&mut self.steps)
    }

    /// Replaces the engines, by service, and the newest versions, by adapter.
    pub fn configure(
        &mut self,
        engines: BTreeMap<String, Engine>,
        versions: BTreeMap<String, u64>,
    ) {
        self.engines = engines;
        self.versions = versions;
    }

    /// Replaces the shortest latency objective of each service's routes.
    pub fn set_objectives(&mut self, objectives: BTreeMap<String, Duration>) {
        self.objectives = objectives;
    }

    /// Replaces the summary of the targets of other failure domains.
    pub fn set_other_domains(&mut self, other_domains: OtherDomains) {
        self.other_domains = other_domains;
    }

    /// Returns the number of targets of a service in each failure domain: the ready ones in the
    /// other domains, and all of them in this one.
    pub(crate) fn target_counts(&self, service: &str) -> BTreeMap<DomainId, usize> {
        let own = self.rows.values().filter(|it| it.record.service == service).count();
        self.other_domains.sizes(service, &self.settings.domain, own)
    }

    /// Whether the table has a row for a target.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.rows.contains_key(id)
    }

    /// Returns the whole table as changes, for a host that begins to follow the feed.
    pub fn table(&self) -> Vec<FeedChange> {
        let mut changes = Vec::new();
        for row in self.rows.values() {
            changes.push(FeedChange::Target(row.number, row.record.clone()));
            for (name, held) in &row.held {
                if held.stage == Stage::Ready {
                    changes.push(FeedChange::Placed(placement(row.number, name, held.version)));
                }
            }
        }
        changes.extend(self.limits_table());
        changes
    }

    /// Returns, for each target with any, the requests in progress and the prefill backlog in
    /// tokens.
    pub fn running(&self) -> Vec<(TargetNumber, u16, u32)> {
        let mut counts: BTreeMap<TargetNumber, (u16, u32)> = BTreeMap::new();
        for running in self.statuses.values().flat_map(|(_, it)| &it.running) {
            let (count, _) = counts.entry(running.target).or_default();
            *count = count.saturating_add(running.count);
        }
        for &(target, tokens) in self.statuses.values().flat_map(|(_, it)| &it.backlogs) {
            counts.entry(target).or_default().1 += tokens;
        }
        counts.into_iter().map(|(target, (count, tokens))| (target, count, tokens)).collect()
    }

    /// Returns the number of requests at a target by the last statuses of all hosts.
    pub(crate) fn present(&self, number: TargetNumber) -> u32 {
        let running = self.statuses.values().flat_map(|(_, it)| &it.running);
        running.filter(|it| it.target == number).map(|it| u32::from(it.count)).sum()
    }

    /// Merges a target's record into the table. A new target gets a report request.
    pub fn update_target(&mut self, now: Duration, record: &TargetRecord) {
        match self.rows.get_mut(&record.id) {
            Some(row) if row.record.started_at == record.started_at => {
                row.last_heard = now;
                let mut same = record.clone();
                same.sequence = row.record.sequence;
                if row.record == same {
                    row.record.sequence = record.sequence.max(row.record.sequence);
                    return;
                }
                row.software = stable_hash(&record.software);
                row.record = record.clone();
                let change = FeedChange::Target(row.number, record.clone());
                self.steps.push(PlacementStep::Publish(change));
                if record.state == TargetState::Leaving {
                    self.rehome(now, &record.id);
                }
            }
            // News of the target's former process that arrives late.
            Some(row) if row.record.started_at > record.started_at => return,
            Some(row) => {
                let number = row.number;
                self.insert_row(now, record, number);
            }
            None if record.state == TargetState::Gone => {}
            None => {
                self.remove_former(record);
                let number = self.next_number;
                self.next_number = self.next_number.wrapping_add(1).max(1);
                self.insert_row(now, record, number);
            }
        }
        if record.state == TargetState::Gone {
            self.rows.remove(&record.id);
        }
    }

    /// Removes an earlier target at the address of a new one: reports of the new target would keep
    /// it alive.
    fn remove_former(&mut self, record: &TargetRecord) {
        let former = |it: &&TargetRow| {
            it.record.addr == record.addr && it.record.started_at < record.started_at
        };
        if let Some(id) = self.rows.values().find(former).map(|it| it.record.id.clone()) {
            self.mark_silent(&id);
        }
    }

    fn insert_row(&mut self, now: Duration, record: &TargetRecord, number: TargetNumber) {
        let row = TargetRow::new(now, record.clone(), number, self.report_requests);
        self.rows.insert(record.id.clone(), row);
        self.steps.push(PlacementStep::Publish(FeedChange::Target(number, record.clone())));
    }

    /// Records how many requests of a host wait for an adapter.
    pub fn record_demand(
        &mut self,
        now: Duration,
        host: HostId,
        service: &str,
        demand: Demand,
        waiting: u16,
    ) {
        let demand = self.demands.entry(demand).or_insert_with(|| AdapterDemand {
            service: service.to_owned(),
            hosts: BTreeMap::new(),
            since: now,
        });
        demand.hosts.insert(host, (waiting, now));
    }

    /// Records a host's status: its requests in progress and its adapter demand.
    pub fn record_status(&mut self, now: Duration, host: HostId, status: &HostStatus) {
        for &(adapter, count) in &status.arrivals {
            self.rates.count(adapter, count);
        }
        self.statuses.insert(host, (now, status.clone()));
        self.update_in_use();
        let used: BTreeSet<(TargetNumber, AdapterHash)> =
            status.running.iter().map(|it| (it.target, it.adapter)).collect();
        for row in self.rows.values_mut() {
            let number = row.number;
            for held in row.held.values_mut() {
                if used.contains(&(number, held.hash)) {
                    held.last_used = now;
                }
            }
        }
    }

    fn update_in_use(&mut self) {
        let all = self.statuses.values().flat_map(|(_, it)| &it.running);
        self.in_use = all.map(|it| (it.target, it.adapter)).collect();
    }

    /// Drops the status of hosts that have not repeated it.
    fn expire_statuses(&mut self, now: Duration) {
        let known = self.statuses.len();
        self.statuses.retain(|_, (at, _)| now < *at + STATUS_TTL);
        if self.statuses.len() < known {
            self.update_in_use();
        }
    }

    /// Requests all actions that are due. Orders are sent only if `fence` holds a fencing number.
    pub fn tick(&mut self, now: Duration, fence: Option<Fence>) {
        self.since.get_or_insert(now);
        self.rates.decay(now);
        self.remove_silent(now);
        self.expire_statuses(now);
        self.request_reports(now);
        let Some(fence) = fence else { return };
        self.load_models(now, fence);
        self.update_versions(now, fence);
        // Copies come first: a missing copy of a frequently requested adapter delays more requests
        // than an adapter that is requested once.
        if now >= self.copies_checked + COPY_INTERVAL {
            self.copies_checked = now;
            self.add_copies(now, fence);
        }
        self.serve_demands(now, fence);
    }

    fn remove_silent(&mut self, now: Duration) {
        let silent = |row: &&TargetRow| now >= row.last_heard + self.settings.silence;
        let ids: Vec<String> =
            self.rows.values().filter(silent).map(|it| it.record.id.clone()).collect();
        for id in ids {
            self.mark_silent(&id);
        }
    }

    /// Removes a target and publishes it as silent.
    pub(crate) fn mark_silent(&mut self, id: &str) {
        let Some(row) = self.rows.remove(id) else { return };
        let record = TargetRecord { state: TargetState::Silent, ..row.record };
        self.steps.push(PlacementStep::Log(Event::TargetSilent { target: id.to_owned() }));
        self.steps.push(PlacementStep::Publish(FeedChange::Target(row.number, record)));
    }

    fn request_reports(&mut self, now: Duration) {
        for row in self.rows.values_mut() {
            if row.requested_at.is_some_and(|at| now >= at + REPORT_TIMEOUT) {
                row.requested_at = None;
            }
            if !self.engines.contains_key(&row.record.service) || row.requested_at.is_some() {
                continue;
            }
            if row.report_due.is_some_and(|at| now >= at) {
                row.report_due = None;
                row.requested_at = Some(now);
                self.report_requests += 1;
                let (target, addr) = (row.record.id.clone(), row.record.addr.clone());
                let request = self.report_requests;
                self.steps.push(PlacementStep::FetchReport { target, addr, request });
            }
        }
    }

    /// Handles the answer to a report request; `None` if the target did not answer.
    pub fn handle_report(
        &mut self,
        now: Duration,
        id: &str,
        request: u64,
        report: Option<&Report>,
    ) {
        let Some(row) = self.rows.get_mut(id).filter(|it| request > it.requests_before) else {
            return;
        };
        let requested_at = row.requested_at.take().unwrap_or(now);
        let Some(report) = report else {
            row.report_due = Some(now + REPORT_INTERVAL * 4);
            return;
        };
        let known = row.account.next_number();
        let log = |verdict, changes: &RowChanges| {
            let names = |of: &[(String, u64)]| of.iter().map(|it| it.0.clone()).collect();
            PlacementStep::Log(Event::Reported {
                target: id.to_owned(),
                request,
                took_ms: now.saturating_sub(requested_at).as_millis() as u64,
                orders: report.accepted_orders,
                known,
                ready: names(&changes.ready),
                gone: names(&changes.gone),
                missing: names(&changes.missing),
                verdict,
            })
        };
        if report.started_at.is_some_and(|started_at| started_at != row.record.started_at) {
            // The address belongs to another process, or to the target's next incarnation.
            self.steps.push(log(ReportVerdict::OtherProcess, &RowChanges::default()));
            return self.mark_silent(id);
        }
        row.last_heard = now;
        let open = row.open_order.as_ref().map(|it| &it.order);
        if !row.account.record_report(request, report, open) {
            self.steps.push(log(ReportVerdict::OutOfDate, &RowChanges::default()));
            return self.plan_report(now, id);
        }
        row.stored = report.stored.clone();
        let changes = self.publish_changes(now, id);
        if !changes.is_empty() || known != Some(report.accepted_orders) {
            self.steps.push(log(ReportVerdict::Applied, &changes));
        }
        self.plan_report(now, id);
    }

    /// Plans the next report request, if another report is needed.
    pub(crate) fn plan_report(&mut self, now: Duration, id: &str) {
        let Some(row) = self.rows.get_mut(id) else { return };
        if row.needs_reports() {
            row.report_due = Some(now + REPORT_INTERVAL);
        } else if !row.load_checks.is_empty() || row.account.has_unreported() {
            row.report_due = Some(now + CHECKED_REPORT_INTERVAL);
        } else if row.account.has_unanswered() {
            row.report_due = Some(now + UNANSWERED_INTERVAL);
        }
    }

    /// Publishes what changed in a target's account.
    pub(crate) fn publish_changes(&mut self, now: Duration, id: &str) -> RowChanges {
        let Some(row) = self.rows.get_mut(id) else { return RowChanges::default() };
        let changes = row.refresh(now);
        let (number, software) = (row.number, row.software);
        for (name, version) in &changes.gone {
            let change = FeedChange::Removed(placement(number, name, *version));
            self.steps.push(PlacementStep::Publish(change));
        }
        for (name, version) in &changes.ready {
            let arrival = placement(number, name, *version);
            for software in [None, Some(software)] {
                let demand = Demand { adapter: name.clone(), software };
                let Some(demand) = self.demands.remove(&demand) else { continue };
                let hosts = demand.hosts.into_keys().collect();
                self.steps.push(PlacementStep::NotifyWaiting(hosts, arrival.clone()));
            }
            self.steps.push(PlacementStep::Publish(FeedChange::Placed(arrival)));
        }
        changes
    }
}

pub(crate) fn placement(target: TargetNumber, name: &str, version: u64) -> Placement {
    Placement { target, adapter: name.to_owned(), version }
}
