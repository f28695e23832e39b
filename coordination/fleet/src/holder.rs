//! Holders: the host that holds the order lease of a failure domain is its holder, and only it may
//! send load and unload orders to the targets there. A holder goes on for a while without a leader,
//! so orders continue through an election, and the loss of a holder affects one failure domain
//! only.
//!
//! The leader appoints holders in the replicated log. A holder sends orders for [`HOLD_LEASES`]
//! lease times after it sent the last renewal that a leader with a quorum answered. The leader
//! appoints another host at once if the holder announced its end, or resigned because it reaches no
//! targets; otherwise only after that time and [`HOLDER_MARGIN`] have passed since its last answer to
//! the holder, or since it became leader.
//! The new holder waits for one lease time and [`HOLDER_MARGIN`], but only if another host may have
//! sent orders shortly before ([`Holder::must_wait`]).

use std::{collections::BTreeMap, time::Duration};

use desired::{Command, Holder};
use replog::Input as LogInput;
use wire::{DomainId, Fence, FleetMsg, HostId, Index, Renewal, TargetRecord, Topic};

use crate::{
    Event, Host, Target,
    feed::{FeedWriter, Position},
    io::Order,
    machine::MISSED_HEARTBEATS,
    other_domains::OtherDomains,
    placement::{Demand, PlacementSettings, PlacementTable},
    places::PlaceScheduler,
    targets::stable_hash,
};

/// Lease times for which a holder may send orders after its last answered renewal was sent.
pub(crate) const HOLD_LEASES: u32 = 2;
/// Margin between the orders of two holders, for clock drift and queued work.
pub(crate) const HOLDER_MARGIN: Duration = Duration::from_millis(300);
/// Interval between renewals of a holder, and of a host whose last one was not answered or whose
/// state may be outdated.
const RENEW_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between renewals of a host that holds no failure domain.
const IDLE_RENEW_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval between updates of the summary of other failure domains.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(250);
/// Retry interval of the command that ends the wait of a new holder.
const BEGIN_INTERVAL: Duration = Duration::from_millis(1000);

/// Number of bits of a hash that the offset of the times in renewals leaves out: it has 52 bits, far more
/// than any such time.
const RENEWAL_OFFSET_SHIFT: u32 = 12;

/// A time as renewals carry it.
fn whole_ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// State of a holder for one failure domain.
#[derive(Debug)]
pub(crate) struct HeldDomain {
    pub(crate) placement: PlacementTable,
    pub(crate) feed: FeedWriter,
    pub(crate) places: PlaceScheduler,
    pub(crate) fence: Fence,
    /// Whether this host gives no more orders with this fencing number: it reached no targets.
    pub(crate) resigned: bool,
    /// No orders are sent before this time.
    orders_from: Duration,
    /// When [`Command::StartOrders`] was last proposed.
    begin_proposed: Option<Duration>,
    pub(crate) loads_sent: Duration,
    /// When the feed was last sent.
    pub(crate) feed_sent: Duration,
    summarised: Duration,
    /// Whether orders could be sent at the last tick.
    ordering: bool,
}

impl Host {
    /// Returns the holder of a failure domain; `None` if the leader has not appointed one.
    pub fn holder(&self, domain: &str) -> Option<HostId> {
        self.desired.holders.get(domain).map(|it| it.host)
    }

    /// Acquires and releases failure domains as the replicated state requires.
    pub(crate) fn apply_holders(&mut self, now: Duration) {
        let (host, incarnation) = (self.settings.host, self.incarnation);
        let holders = &self.desired.holders;
        self.held_domains.retain(|domain, it| {
            holders
                .get(domain)
                .is_some_and(|holder| holder.fence == it.fence && holder.incarnation == incarnation)
        });
        let mut new = Vec::new();
        for (domain, holder) in holders {
            if (holder.host, holder.incarnation) == (host, incarnation)
                && !self.held_domains.contains_key(domain)
            {
                new.push((domain.clone(), *holder));
            }
        }
        for (domain, holder) in new {
            self.start_holding(now, domain, holder);
        }
    }

    fn start_holding(&mut self, now: Duration, domain: DomainId, holder: Holder) {
        let wait = if holder.must_wait {
            self.settings.bounds.lease + HOLDER_MARGIN
        } else {
            Duration::ZERO
        };
        let epoch = (holder.fence, self.incarnation);
        let mut placement = PlacementTable::new(PlacementSettings {
            domain: domain.clone(),
            window: self.settings.bounds.load_window,
            silence: self.settings.heartbeat * MISSED_HEARTBEATS,
            fence: holder.fence,
        });
        for target in self.targets.iter().filter(|it| it.record.domain == domain) {
            placement.update_target(now, &target.record);
            let Target { record, limit, .. } = target;
            placement.recall_limit(now, &record.id, record.started_at, limit.limit);
        }
        let held = HeldDomain {
            placement,
            feed: FeedWriter::new(Topic::Targets(domain.clone()), epoch),
            places: PlaceScheduler::default(),
            fence: holder.fence,
            resigned: self.is_cut_off(),
            orders_from: now + wait,
            begin_proposed: None,
            loads_sent: now,
            feed_sent: Duration::ZERO,
            summarised: Duration::ZERO,
            ordering: false,
        };
        self.targets.clear_feed(&domain);
        self.holder_views.entry(domain.clone()).or_default().position = Position { epoch, last: 0 };
        self.held_domains.insert(domain, held);
        self.configure_placement();
    }

    /// Passes the engines and versions in force to the placement tables.
    pub(crate) fn configure_placement(&mut self) {
        let Some(config) = &self.config else { return };
        if self.held_domains.is_empty() {
            return;
        }
        let mut engines = BTreeMap::new();
        for service in config.services.values() {
            if let Some(engine) = &service.engine {
                engines.insert(service.name.clone(), engine.clone());
            }
        }
        let mut objectives: BTreeMap<String, Duration> = BTreeMap::new();
        for route in config.routes.iter().filter(|it| it.kind.is_stream()) {
            for (service, _) in &route.split {
                let least = objectives.entry(service.clone()).or_insert(route.latency_objective);
                *least = route.latency_objective.min(*least);
            }
        }
        for held in self.held_domains.values_mut() {
            held.placement.configure(engines.clone(), self.desired.versions.clone());
            held.placement.set_objectives(objectives.clone());
        }
    }

    /// Returns the fencing number for orders; `None` if this host may send none now.
    pub(crate) fn order_fence(&self, now: Duration, domain: &str) -> Option<Fence> {
        let held = self.held_domains.get(domain)?;
        let lapses_at = self.renewed_at? + self.settings.bounds.lease * HOLD_LEASES;
        (self.shutdown.is_none() && !held.resigned && now >= held.orders_from && now < lapses_at)
            .then_some(held.fence)
    }

    /// Sends a renewal to the leader if one is due.
    pub(crate) fn renew(&mut self, now: Duration) {
        let is_answered = self.renewed_at.map(whole_ms) >= self.renewal_sent.map(whole_ms);
        let is_current = is_answered && !self.may_be_outdated(now);
        let is_idle = self.held_domains.is_empty() && is_current;
        let span = if is_idle { IDLE_RENEW_INTERVAL } else { RENEW_INTERVAL };
        if self.renewal_sent.is_some_and(|at| now < at + span) {
            return;
        }
        self.renewal_sent = Some(now);
        self.drop_silent_leader(now);
        let own = self.settings.host;
        let Some(leader) = self.leader else { return };
        if leader != own {
            let sent_ms = self.renewal_offset() + whole_ms(now);
            let renewal =
                Renewal { incarnation: self.incarnation, ready: self.is_ready(), sent_ms };
            self.send(leader, FleetMsg::Renew(renewal));
        } else if self.grant_renewal(now, own) {
            self.renewed_at = Some(now);
            self.record_view(now, now, self.replica.status().commit);
        }
    }

    /// Looks for another leader if this one has answered no renewal for as long as a configuration may
    /// take to come into force.
    fn drop_silent_leader(&mut self, now: Duration) {
        let heard_at = self.renewed_at.max(self.leader_since).unwrap_or_default();
        if now >= heard_at + self.settings.bounds.config_deadline {
            self.step_log(now, LogInput::LeaderSilent);
        }
    }

    /// Returns what is added to the times in this process' renewals, so that answers to a former process
    /// are recognised.
    fn renewal_offset(&self) -> u64 {
        stable_hash(&self.incarnation) >> RENEWAL_OFFSET_SHIFT
    }

    /// Handles a leader's answer to the renewal that carried the time `sent_ms`. Answers to renewals of a
    /// former process have no effect.
    pub(crate) fn handle_renewed(&mut self, now: Duration, sent_ms: u64, commit: Index) {
        let Some(sent_ms) = sent_ms.checked_sub(self.renewal_offset()) else { return };
        let sent = Duration::from_millis(sent_ms);
        if sent > now {
            return;
        }
        self.renewed_at = self.renewed_at.max(Some(sent));
        self.record_view(now, sent, commit);
    }

    /// Ticks all placement tables.
    pub(crate) fn tick_placement(&mut self, now: Duration) {
        let domains: Vec<DomainId> = self.held_domains.keys().cloned().collect();
        for domain in domains {
            let fence = self.order_fence(now, &domain);
            if let Some(held) = self.held_domains.get_mut(&domain) {
                held.placement.tick(now, fence);
            }
        }
    }

    pub(crate) fn tick_holding(&mut self, now: Duration) {
        let domains: Vec<DomainId> = self.held_domains.keys().cloned().collect();
        for domain in domains {
            self.update_other_domains(now, &domain);
            self.log_ordering(now, &domain);
            self.propose_begin(now, &domain);
            self.send_domain_loads(now, &domain);
            self.tick_places(now, &domain);
        }
        self.tick_placement(now);
        self.request_tables(now);
    }

    fn update_other_domains(&mut self, now: Duration, domain: &str) {
        let Some(held) = self.held_domains.get_mut(domain) else { return };
        if now < held.summarised + SUMMARY_INTERVAL {
            return;
        }
        held.summarised = now;
        let other_domains = OtherDomains::new(domain, &self.targets, self.domains().len());
        if let Some(held) = self.held_domains.get_mut(domain) {
            held.placement.set_other_domains(other_domains);
        }
    }

    fn log_ordering(&mut self, now: Duration, domain: &str) {
        let ordering = self.order_fence(now, domain).is_some();
        let Some(held) = self.held_domains.get_mut(domain) else { return };
        if std::mem::replace(&mut held.ordering, ordering) == ordering {
            return;
        }
        let fence = held.fence;
        let age = self.renewed_at.map(|at| now.saturating_sub(at).as_millis() as u64);
        let domain = domain.to_owned();
        self.log(Event::Orders { domain, may: ordering, fence, renewed_ms: age });
    }

    /// Proposes a log entry that this holder sends orders, so that a later incarnation of this host
    /// does not have to wait.
    fn propose_begin(&mut self, now: Duration, domain: &str) {
        if self.order_fence(now, domain).is_none() {
            return;
        }
        let waits = self.desired.holders.get(domain).is_some_and(|it| it.must_wait);
        let Some(held) = self.held_domains.get_mut(domain) else { return };
        if !waits || held.begin_proposed.is_some_and(|at| now < at + BEGIN_INTERVAL) {
            return;
        }
        held.begin_proposed = Some(now);
        let command = Command::StartOrders { domain: domain.to_owned(), fence: held.fence };
        // Tags from the top of the range do not collide with operators' calls, which are far below.
        let tag = u64::MAX - held.fence;
        self.forward_command(now, tag, command);
    }

    /// Updates the placement table with a target's record. Returns whether this host holds its
    /// failure domain.
    pub(crate) fn update_held_target(&mut self, now: Duration, record: &TargetRecord) -> bool {
        let Some(held) = self.held_domains.get_mut(&record.domain) else { return false };
        held.placement.update_target(now, record);
        if let Some(target) = self.targets.get(&record.id) {
            let started_at = target.record.started_at;
            held.placement.recall_limit(now, &record.id, started_at, target.limit.limit);
        }
        true
    }

    /// Records the adapter demand of a host, if this host holds the failure domain.
    pub(crate) fn handle_demand(
        &mut self,
        now: Duration,
        from: HostId,
        domain: &str,
        service: &str,
        demand: Demand,
        waiting: u16,
    ) {
        if let Some(held) = self.held_domains.get_mut(domain) {
            held.placement.record_demand(now, from, service, demand, waiting);
        }
        self.tick_placement(now);
    }

    /// Whether this host may still send an order: its lease for the target's failure domain lasts.
    pub fn may_order(&self, now: Duration, order: &Order) -> bool {
        let mut held = self.held_domains.iter().filter(|(_, it)| it.fence == order.fence);
        held.any(|(domain, _)| self.order_fence(now, domain).is_some())
    }

    /// Returns the placement table that contains a target, if this host holds it.
    pub(crate) fn placement_of(&mut self, target: &str) -> Option<&mut PlacementTable> {
        self.held_domains.values_mut().map(|it| &mut it.placement).find(|it| it.contains(target))
    }
}
