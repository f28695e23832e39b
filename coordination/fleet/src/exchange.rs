//! Messages between holders and the other hosts: domain loads, feeds and host statuses.

use std::time::Duration;

use wire::{DomainId, DomainLoads, FleetMsg, HostId, HostStatus, Placement, Topic};

use crate::{Host, feed::Position, io::Output, placement::PlacementStep};

/// Time between two broadcasts of domain loads for up to [`LOADS_HOSTS`] hosts. It grows in
/// proportion to the number of hosts, so that a holder's traffic stays bounded.
const LOADS_INTERVAL: Duration = Duration::from_millis(250);
const LOADS_HOSTS: u32 = 12;
/// Time between two messages of a holder's feed per full [`FEED_HOSTS`] hosts, up to
/// [`MAX_FEED_INTERVAL`]; with fewer hosts, changes are sent at once. Hosts that wait
/// for an adapter are always notified at once.
const FEED_INTERVAL: Duration = Duration::from_millis(50);
const FEED_HOSTS: u32 = 16;
const MAX_FEED_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two statuses while this host has requests.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two statuses of an idle host.
const IDLE_STATUS_INTERVAL: Duration = Duration::from_millis(1000);
/// Number of missed domain loads after which a holder counts as unavailable.
const MISSED_LOADS: u32 = 5;
/// Time between two requests for a full table.
const RESYNC_INTERVAL: Duration = Duration::from_millis(100);

/// Local view of the holder of a failure domain.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct HolderView {
    pub(crate) position: Position,
    /// When its domain loads last arrived.
    pub(crate) loads_at: Option<Duration>,
    /// Whether it could send orders at that time.
    can_order: bool,
    resync_sent: Option<Duration>,
}

impl Host {
    fn domain_loads_interval(hosts: usize) -> Duration {
        LOADS_INTERVAL * (hosts as u32).div_ceil(LOADS_HOSTS).max(1)
    }

    pub(crate) fn send_domain_loads(&mut self, now: Duration, domain: &str) {
        let live = self.hosts.live(now);
        let can_order = self.order_fence(now, domain).is_some();
        let Some(held) = self.held_domains.get_mut(domain) else { return };
        if now < held.loads_sent + Self::domain_loads_interval(live.len()) {
            return;
        }
        held.loads_sent = now;
        let loads = DomainLoads {
            domain: domain.to_owned(),
            can_order,
            epoch: held.feed.epoch,
            last: held.feed.last,
            loads: held.placement.running(),
            hosts: live.len() as u16,
        };
        self.apply_domain_loads(now, &loads);
        for host in live {
            self.send(host, FleetMsg::DomainLoads(loads.clone()));
        }
    }

    /// Handles a holder's domain loads. Requests the full table if changes of the holder's feed are
    /// missing here.
    pub(crate) fn handle_domain_loads(&mut self, now: Duration, from: HostId, loads: &DomainLoads) {
        let view = self.holder_views.entry(loads.domain.clone()).or_default();
        let (epoch, last) = (view.position.epoch, view.position.last);
        if loads.epoch == epoch {
            self.apply_domain_loads(now, loads);
        }
        if loads.epoch > epoch || (loads.epoch == epoch && loads.last > last) {
            self.resync(now, from, Topic::Targets(loads.domain.clone()));
        }
    }

    fn apply_domain_loads(&mut self, now: Duration, loads: &DomainLoads) {
        let view = self.holder_views.entry(loads.domain.clone()).or_default();
        view.loads_at = Some(now);
        view.can_order = loads.can_order;
        self.requests.set_hosts(loads.hosts);
        self.targets.set_loads(loads);
    }

    /// Whether the targets of a failure domain get orders now, according to this host's view.
    pub(crate) fn is_holder_active(&self, now: Duration, domain: &str) -> bool {
        if self.held_domains.contains_key(domain) {
            return self.order_fence(now, domain).is_some();
        }
        let timeout = Self::domain_loads_interval(self.hosts.len()) * MISSED_LOADS;
        let Some(view) = self.holder_views.get(domain) else { return false };
        view.can_order && view.loads_at.is_some_and(|at| now < at + timeout)
    }

    /// Whether the targets of any failure domain get orders now, according to this host's view.
    pub fn has_active_holder(&self, now: Duration) -> bool {
        self.desired.holders.keys().any(|domain| self.is_holder_active(now, domain))
    }

    /// Requests the full table of the leader's feed if changes are missing here that were in it when
    /// the leader answered the renewal before this one; those since may still be on their way.
    pub(crate) fn check_position(&mut self, now: Duration, leader: HostId, position: Position) {
        let missing = self.renewed_position > self.position;
        self.renewed_position = position;
        if missing {
            self.resync(now, leader, Topic::Hosts);
        }
    }

    /// Requests the full table from the writer of a feed.
    pub(crate) fn resync(&mut self, now: Duration, writer: HostId, topic: Topic) {
        let sent = match &topic {
            Topic::Hosts => &mut self.resync_sent,
            Topic::Targets(domain) => {
                &mut self.holder_views.entry(domain.clone()).or_default().resync_sent
            }
        };
        if sent.is_some_and(|at| now < at + RESYNC_INTERVAL) {
            return;
        }
        *sent = Some(now);
        self.send(writer, FleetMsg::Resync(topic));
    }

    /// Returns the failure domains, with their holders, whose present feed this host doesn't follow
    /// yet.
    pub(crate) fn feeds_missing(&self) -> Vec<(DomainId, HostId)> {
        let mut missing = Vec::new();
        for (domain, holder) in &self.desired.holders {
            let epoch = self.holder_views.get(domain).map(|it| it.position.epoch);
            if epoch < Some((holder.fence, holder.incarnation)) && holder.host != self.settings.host
            {
                missing.push((domain.clone(), holder.host));
            }
        }
        missing
    }

    /// Requests the full tables of holders whose present feed this host doesn't follow yet.
    pub(crate) fn request_tables(&mut self, now: Duration) {
        for (domain, host) in self.feeds_missing() {
            let sent = self.holder_views.entry(domain.clone()).or_default().resync_sent;
            if sent.is_none_or(|at| now >= at + RESYNC_INTERVAL * 4) {
                self.resync(now, host, Topic::Targets(domain));
            }
        }
    }

    /// Returns the full table of a failure domain's targets; `None` if this host doesn't hold it.
    pub(crate) fn targets_table(&self, domain: &str) -> Option<wire::Feed> {
        let held = self.held_domains.get(domain)?;
        Some(held.feed.table(held.placement.table()))
    }

    pub(crate) fn run_placement_steps(&mut self) {
        let mut notices = Vec::new();
        for (domain, held) in &mut self.held_domains {
            for step in held.placement.take_steps() {
                match step {
                    PlacementStep::Order(order) => self.out.push(Output::Order(order)),
                    PlacementStep::CheckLoad { order, after } => {
                        self.out.push(Output::CheckLoad { order, after })
                    }
                    PlacementStep::FetchReport { target, addr, request } => {
                        self.out.push(Output::FetchReport { target, addr, request })
                    }
                    PlacementStep::Publish(change) => held.feed.push(change),
                    PlacementStep::NotifyWaiting(hosts, placement) => {
                        notices.push((domain.clone(), hosts, placement))
                    }
                    PlacementStep::Log(event) => self.out.push(Output::Log(event)),
                }
            }
        }
        for (domain, hosts, placement) in notices {
            for host in hosts {
                if host == self.settings.host {
                    self.apply_placement(&domain, &placement);
                } else {
                    let (domain, placement) = (domain.clone(), placement.clone());
                    self.send(host, FleetMsg::AdapterReady { domain, placement });
                }
            }
        }
    }

    /// Records that an adapter is ready at a target, by the feed or by a message ahead of it.
    pub(crate) fn apply_placement(&mut self, domain: &str, placement: &Placement) {
        let Some(target) = self.targets.by_number(domain, placement.target) else { return };
        target.adapters.insert(placement.adapter.clone(), placement.version);
        if self.requests.is_waited_for(&placement.adapter) {
            self.out.push(Output::RetryWaiting);
        }
    }

    /// Sends the pending changes of this host's feeds to all live hosts.
    pub(crate) fn flush_feeds(&mut self, now: Duration) {
        let mut feeds = Vec::new();
        if let Some(leading) = &mut self.leading {
            feeds.extend(leading.feed.flush());
        }
        let span = FEED_INTERVAL * (self.hosts.len() as u32 / FEED_HOSTS);
        for held in self.held_domains.values_mut() {
            if now >= held.feed_sent + span.min(MAX_FEED_INTERVAL) {
                held.feed_sent = now;
                feeds.extend(held.feed.flush());
            }
        }
        for feed in feeds {
            for change in &feed.changes {
                self.apply_change(now, &feed.topic, change);
            }
            let last = feed.last;
            match &feed.topic {
                Topic::Hosts => self.position.last = last,
                Topic::Targets(domain) => {
                    self.holder_views.entry(domain.clone()).or_default().position.last = last;
                }
            }
            for host in self.hosts.live(now) {
                self.send(host, FleetMsg::Feed(feed.clone()));
            }
        }
    }

    /// Handles a host's status: its requests at the targets of a failure domain.
    pub(crate) fn handle_status(&mut self, now: Duration, from: HostId, status: &HostStatus) {
        if let Some(held) = self.held_domains.get_mut(&status.domain) {
            held.placement.record_status(now, from, status);
        }
    }

    /// Sends each holder the status of this host's requests at its targets.
    pub(crate) fn send_statuses(&mut self, now: Duration) {
        if now < self.statuses_sent + STATUS_INTERVAL {
            return;
        }
        let busy = self.requests.is_active() || self.targets.iter().any(|it| it.own() > 0);
        if !busy && now < self.statuses_sent + IDLE_STATUS_INTERVAL {
            return;
        }
        self.statuses_sent = now;
        let arrivals = self.requests.take_arrivals();
        let own = self.settings.host;
        let holders: Vec<(DomainId, HostId)> =
            self.desired.holders.iter().map(|(domain, it)| (domain.clone(), it.host)).collect();
        for (domain, holder) in holders {
            let running = self.targets.running(&domain);
            let backlogs = self.backlogs(&domain);
            let status = HostStatus { domain, running, arrivals: arrivals.clone(), backlogs };
            if holder == own {
                self.handle_status(now, own, &status);
            } else {
                self.send(holder, FleetMsg::Status(status));
            }
        }
    }
}
